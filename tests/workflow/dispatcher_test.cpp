#include "fake_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand workerCapacity{32'000, 65'536, 8};

auto gangStep(std::uint32_t count, std::int64_t accelerators) -> StepSpec
{
    StepSpec step;
    step.count = count;
    step.taskDemand = {1000, 1000, accelerators};
    step.estimate = 2s;
    step.gang = true;
    return step;
}

auto makeFleet() -> FakeFleet
{
    FakeFleet fleet(2, 2, workerCapacity);
    fleet.duration = [](const TaskId &) { return Duration(2s); };
    addQueue(*fleet.configuration, "urgent", 0);
    addQueue(*fleet.configuration, "normal", 1);
    addQueue(*fleet.configuration, "background", 2);
    return fleet;
}

/// Returns the run numbers of the start commands for a task.
auto runsOf(const FakeFleet &fleet, const std::string &job, std::uint32_t index) -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> runs;
    for (const auto &it : fleet.starts) {
        if (it.task.job.str() == job && it.task.index == index) {
            runs.push_back(it.run);
        }
    }
    return runs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher)

struct ShapeCase
{
    const char *name;
    std::uint32_t count;
    bool gang;
    std::vector<std::uint32_t> dependsOn;
};

auto operator<<(std::ostream &out, const ShapeCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ShapeCase> shapeCases{
    {"one task", 1, false, {}},
    {"many tasks", 20, false, {}},
    {"a gang", 3, true, {}},
    {"a second step", 4, false, {0}},
};

// Guards against tasks that never start or start twice, and against steps that do not wait for those they depend on.
BOOST_DATA_TEST_CASE(everyTaskRunsOnceAndTheJobCompletes, data::make(shapeCases), c)
{
    auto fleet = makeFleet();
    auto job = simpleJob("j1", "normal", gangStep(2, 1));
    auto step = gangStep(c.count, 1);
    step.gang = c.gang;
    step.dependsOn = c.dependsOn;
    job.steps.push_back(step);
    fleet.submit(job);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 20s));
    BOOST_TEST((fleet.outcome("j1") == JobPhase::Completed));
    BOOST_TEST(fleet.starts.size() == 2 + c.count);
    BOOST_TEST(fleet.violations.empty());
}

BOOST_AUTO_TEST_CASE(aFailureThatAnEarlierHolderRecordedCountsOnce)
{
    // Guards against a failure that is counted by two holders. The first holder records the failure of one member while the other member
    // still runs, and is replaced before it acknowledges the end.
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &t) { return t.index == 0 ? Duration(1s) : Duration(1500ms); };
    fleet.ending = [](const StartCommand &command) { return command.task.index == 0 ? EndKind::Failed : EndKind::Done; };
    addQueue(*fleet.configuration, "three", 1, 3);
    fleet.submit(simpleJob("j1", "three", gangStep(2, 8)));
    const auto recordedFailure = [&] {
        return std::any_of(fleet.stored.begin(), fleet.stored.end(), [](const auto &r) {
            StateEntry entry;
            return !decodeState({r.first, r.second}, entry) && std::holds_alternative<UnitEntry>(entry)
                && std::get<UnitEntry>(entry).state->failures == 1;
        });
    };
    BOOST_REQUIRE(fleet.runUntil(recordedFailure, 5s));
    fleet.takeOver();
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 60s));
    BOOST_TEST((fleet.outcome("j1") == JobPhase::Failed));
    BOOST_TEST(runsOf(fleet, "j1", 0).size() == 3);
}

struct StallCase
{
    const char *name;
    /// Factor by which tasks take longer than on a healthy worker; 0 for no progress.
    double slowdown;
    std::size_t runs;
};

auto operator<<(std::ostream &out, const StallCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<StallCase> stallCases{
    {"all members equally fast", 1.0, 1},
    {"finished members wait for a slower one", 1.8, 1},
    {"a gang is restarted without a much slower worker", 6.0, 2},
    {"a gang with a member without progress is restarted on other workers", 0.0, 2},
};

// Guards against gangs that stay on a stalled or much slower worker, and against restarts of healthy runs.
BOOST_DATA_TEST_CASE(onlyStalledOrMuchSlowerRunsAreRestarted, data::make(stallCases), c)
{
    auto fleet = makeFleet();
    // In an empty fleet, the workers are chosen in the order of their names.
    fleet.workers.at(WorkerName("w0-0")).slowdown = c.slowdown;
    auto step = gangStep(2, 8);
    step.sameRack = true;
    fleet.duration = [](const TaskId &) { return Duration(4s); };
    fleet.submit(simpleJob("j1", "normal", step));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 30s));
    BOOST_TEST(runsOf(fleet, "j1", 0).size() == c.runs);
}

struct UnreachableCase
{
    const char *name;
    bool takeOver;
    bool gang;
    /// Longest time from the disconnection to the next start: the lease, its clock error, and the time of a poll.
    Duration atMost;
};

auto operator<<(std::ostream &out, const UnreachableCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<UnreachableCase> unreachableCases{
    {"a task, same holder", false, false, 8s},
    {"a gang, same holder", false, true, 8s},
    {"a task, new holder", true, false, 8s},
    {"a gang, new holder", true, true, 8s},
};

// Guards against tasks of an unreachable worker that run twice, or that wait much longer than the lease before they are restarted.
BOOST_DATA_TEST_CASE(tasksOfAnUnreachableWorkerStartElsewhereOnceItsLeaseHasExpired, data::make(unreachableCases), c)
{
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &) { return Duration(60s); };
    auto step = gangStep(c.gang ? 2 : 1, 8);
    step.gang = c.gang;
    step.estimate = 60s;
    fleet.submit(simpleJob("j1", "normal", step));
    fleet.run(3s);
    BOOST_REQUIRE(!fleet.starts.empty());
    const auto before = fleet.starts.size();
    fleet.disconnect(fleet.starts[0].worker.str());
    const auto disconnectedAt = fleet.now();
    if (c.takeOver) {
        fleet.takeOver();
    }
    BOOST_TEST(fleet.runUntil([&] { return fleet.starts.size() > before; }, 60s));
    BOOST_TEST((fleet.now() - disconnectedAt <= c.atMost));
    fleet.run(3s);
    BOOST_TEST(fleet.violations.empty());
}

struct LateGrantCase
{
    const char *name;
    /// Time of the command that gets no response and is carried out 5 s later.
    Duration delayedAt;
};

auto operator<<(std::ostream &out, const LateGrantCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<LateGrantCase> lateGrantCases{
    {"the start, which is repeated", 0s},
    {"a renewal", 2s},
};

// Guards against a second run while a renewal, which got no response, still extends the first one's lease: responses to later commands do
// not show what became of it.
BOOST_DATA_TEST_CASE(aGrantWithoutAResponseCountsUntilItCanNoLongerTakeEffect, data::make(lateGrantCases), c)
{
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &) { return Duration(60s); };
    auto step = gangStep(1, 8);
    step.gang = false;
    step.estimate = 60s;
    fleet.run(1s);
    fleet.submit(simpleJob("j1", "normal", step));
    if (c.delayedAt > Duration::zero()) {
        BOOST_REQUIRE(fleet.runUntil([&] { return !fleet.starts.empty(); }, 1s));
        fleet.run(c.delayedAt);
    }
    bool delayed = false;
    fleet.commandDelay = [&](bool grants) -> std::optional<Duration> {
        return !grants || std::exchange(delayed, true) ? std::nullopt : std::optional(5s);
    };
    BOOST_REQUIRE(fleet.runUntil([&] { return delayed; }, 2s));
    fleet.run(500ms);
    fleet.disconnect(fleet.starts[0].worker.str());
    fleet.run(30s);
    BOOST_TEST(fleet.violations.empty());
    // The longest delay, the lease and its clock error.
    BOOST_TEST(runsOf(fleet, "j1", 0).back() == 2U);
}

struct GivenUpCase
{
    const char *name;
    std::uint32_t tasks;
    /// Whether there is room to start the unit again before the end is reported.
    bool startsAgain;
};

auto operator<<(std::ostream &out, const GivenUpCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<GivenUpCase> givenUpCases{
    {"a task that waits", 1, false},
    {"a gang that waits", 2, false},
    {"a task that was started again", 1, true},
    {"a gang that was started again", 2, true},
};

// Guards against work that is done again although its `done` was reported and acknowledged, after its run was given up.
BOOST_DATA_TEST_CASE(aDoneOfARunThatWasGivenUpCounts, data::make(givenUpCases), c)
{
    auto fleet = makeFleet();
    fleet.allowsRunsAfterLapse = true;
    fleet.duration = [](const TaskId &t) { return t.job.str() == "j1" ? Duration(3s) : Duration(60s); };
    auto step = gangStep(c.tasks, 8);
    step.gang = c.tasks > 1;
    step.sameRack = true;
    auto job = simpleJob("j1", "normal", step);
    job.steps[0].requiredLabel = c.startsAgain ? "a" : "rack0";
    fleet.submit(job);
    fleet.run(1s);
    BOOST_REQUIRE(fleet.starts.size() == c.tasks);
    fleet.disconnect("w0-0");
    fleet.disconnect("w0-1");
    // Until the lease has expired.
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.stats().waitingUnits > 0 || fleet.starts.size() > c.tasks; }, 30s));
    fleet.run(500ms);
    const auto startsBefore = fleet.starts.size();
    BOOST_TEST((startsBefore > c.tasks) == c.startsAgain);
    fleet.reconnect("w0-0");
    fleet.reconnect("w0-1");
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 3s));
    BOOST_TEST((fleet.outcome("j1") == JobPhase::Completed));
    BOOST_TEST(fleet.starts.size() == startsBefore);
    BOOST_TEST(fleet.violations.empty());
}

struct ManyEndsCase
{
    const char *name;
    /// Of the runs whose ends do not fit.
    EndKind end;
    /// Another holder takes over before any end is recorded; otherwise the records of the same one are not stored for a while.
    bool takeOver;
    JobPhase outcome;
};

auto operator<<(std::ostream &out, const ManyEndsCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ManyEndsCase> manyEndsCases{
    {"done, and a new holder", EndKind::Done, true, JobPhase::Completed},
    {"done, and a slow store", EndKind::Done, false, JobPhase::Completed},
    {"failed, and a new holder", EndKind::Failed, true, JobPhase::Failed},
    {"failed, and a slow store", EndKind::Failed, false, JobPhase::Failed},
};

// Guards against tasks that run again after they have ended, because their ends did not fit into one report and were taken for missing.
BOOST_DATA_TEST_CASE(aRunWhoseEndDoesNotFitIntoAReportIsNotStartedAgain, data::make(manyEndsCases), c)
{
    constexpr std::uint32_t tasks = FakeFleet::maxListedEnds + 100;
    FakeFleet fleet(1, 1, {tasks, tasks, tasks});
    fleet.duration = [](const TaskId &) { return Duration(2s); };
    fleet.ending = [&](const StartCommand &s) { return s.task.index < FakeFleet::maxListedEnds ? EndKind::Done : c.end; };
    fleet.responseDelay = 40ms;
    addQueue(*fleet.configuration, "once", 1, 1);
    StepSpec step;
    step.count = tasks;
    step.taskDemand = {1, 1, 1};
    step.estimate = 2s;
    fleet.submit(simpleJob("j1", "once", step));
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.size() == tasks; }, 1s));
    fleet.run(1s);
    fleet.storeUp = false;
    fleet.run(2s);
    if (c.takeOver) {
        fleet.takeOver();
    }
    fleet.run(2s);
    fleet.storeUp = true;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 5s));
    BOOST_TEST((fleet.outcome("j1") == c.outcome));
    BOOST_TEST(fleet.starts.size() == tasks);
    BOOST_TEST(fleet.violations.empty());
}

struct LateReportCase
{
    const char *name;
    /// Whether the list shows the restart before the report arrives.
    bool listed;
};

auto operator<<(std::ostream &out, const LateReportCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<LateReportCase> lateReportCases{
    {"once the restart is known", true},
    {"while the restart is not known", false},
};

// Guards against work that is done again because a worker restarted while its report of the end was on the way.
BOOST_DATA_TEST_CASE(anEndThatArrivesAfterItsWorkerHasRestartedCounts, data::make(lateReportCases), c)
{
    auto fleet = makeFleet();
    // The end is the answer to a poll that waits.
    fleet.duration = [](const TaskId &) { return Duration(1s); };
    auto step = gangStep(1, 8);
    step.gang = false;
    fleet.submit(simpleJob("j1", "normal", step));
    BOOST_REQUIRE(fleet.runUntil([&] { return !fleet.starts.empty(); }, 1s));
    const auto name = fleet.starts[0].worker.str();
    const auto &worker = fleet.workers.at(WorkerName(name));
    fleet.responseDelay = 200ms;
    BOOST_REQUIRE(fleet.runUntil([&] { return worker.endCount == 1 && !worker.pendingPoll; }, 3s));
    fleet.responseDelay = {};
    fleet.restart(name);
    if (c.listed) {
        fleet.list(name);
    }
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 1s));
    BOOST_TEST((fleet.outcome("j1") == JobPhase::Completed));
}

struct CrashCase
{
    const char *name;
    bool refusesConnections;
    /// Bounds of the time from the crash to the next start.
    Duration atLeast;
    Duration atMost;
};

auto operator<<(std::ostream &out, const CrashCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<CrashCase> crashCases{
    {"connections are refused", true, 5s, 8s},
    {"nothing is answered", false, 12s, 20s},
};

// Guards against work of a crashed worker that waits for renewals which cannot have been sent.
BOOST_DATA_TEST_CASE(aRenewalThatWasNotSentGrantsNothing, data::make(crashCases), c)
{
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &) { return Duration(60s); };
    auto step = gangStep(1, 8);
    step.gang = false;
    step.estimate = 60s;
    fleet.submit(simpleJob("j1", "normal", step));
    fleet.run(3s);
    BOOST_REQUIRE(fleet.starts.size() == 1U);
    auto &worker = fleet.workers.at(fleet.starts[0].worker);
    fleet.crash(worker.info.name.str());
    worker.refusesConnections = c.refusesConnections;
    const auto crashedAt = fleet.now();
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.size() > 1; }, 60s));
    BOOST_TEST((fleet.now() - crashedAt >= c.atLeast));
    BOOST_TEST((fleet.now() - crashedAt <= c.atMost));
}

struct DepartureCase
{
    const char *name;
    Duration runTime;
    std::uint32_t tasks;
    /// Whether the worker is cut off and comes back; otherwise it shuts down.
    bool comesBack;
    /// Longest time from the cut or the shutdown to the end of the job.
    Duration atMost;
};

auto operator<<(std::ostream &out, const DepartureCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<DepartureCase> departureCases{
    {"a task that is done behind the cut", 2400ms, 1, true, 8s},      {"a task that runs on behind the cut", 20s, 1, true, 28s},
    {"a gang that is done behind the cut", 2400ms, 2, true, 8s},      {"a task whose worker shuts down", 2400ms, 1, false, 13s},
    {"a gang of which one worker shuts down", 2400ms, 2, false, 13s},
};

// Guards against work that runs twice because a worker that has announced its shutdown, and whose entry is removed, is only cut off.
BOOST_DATA_TEST_CASE(aDrainingWorkerThatIsCutOffKeepsItsRunsUntilItsLeaseHasExpired, data::make(departureCases), c)
{
    auto fleet = makeFleet();
    fleet.settings.taskLease = 10s;
    fleet.takeOver();
    fleet.duration = [&](const TaskId &) { return c.runTime; };
    auto step = gangStep(c.tasks, 8);
    step.gang = c.tasks > 1;
    fleet.submit(simpleJob("j1", "normal", step));
    fleet.run(800ms);
    BOOST_REQUIRE(fleet.starts.size() == c.tasks);
    const auto worker = fleet.starts[0].worker.str();
    // Before the next check of what can end in time.
    fleet.announceShutdown(worker, 2500ms);
    const auto cutAt = fleet.now();
    if (c.comesBack) {
        // The platform removes an entry after 4.5 s of silence.
        fleet.disconnect(worker);
        fleet.run(4500ms);
        fleet.unlist(worker);
        fleet.run(1s);
        fleet.reconnect(worker);
    } else {
        fleet.shutDown(worker);
    }
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 60s));
    BOOST_TEST((fleet.now() - cutAt <= c.atMost));
    BOOST_TEST((fleet.outcome("j1") == JobPhase::Completed));
    BOOST_TEST(fleet.violations.empty());
}

struct RemovedWorkerCase
{
    const char *name;
    /// Whether the worker that leaves is listed again before the others report.
    bool isListedAgain;
    bool takeOver;
};

auto operator<<(std::ostream &out, const RemovedWorkerCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<RemovedWorkerCase> removedWorkerCases{
    {"the worker does not come back", false, false},
    {"the worker is listed again", true, false},
    {"a new holder", false, true},
};

// Guards against a member that refers to a worker which was removed, when another member of its gang reports its end late. The access shows
// with AddressSanitizer.
BOOST_DATA_TEST_CASE(aMemberOutlivesTheEntryOfItsWorker, data::make(removedWorkerCases), c)
{
    FakeFleet fleet(1, 3, workerCapacity);
    addQueue(*fleet.configuration, "normal", 1);
    fleet.duration = [](const TaskId &) { return Duration(2s); };
    fleet.submit(simpleJob("j1", "normal", gangStep(3, 8)));
    fleet.run(1s);
    BOOST_REQUIRE(fleet.starts.size() == 3U);
    if (c.takeOver) {
        fleet.takeOver();
        fleet.run(100ms);
    }
    fleet.announceShutdown("w0-0", 2500ms);
    fleet.disconnect("w0-1");
    fleet.disconnect("w0-2");
    fleet.run(1200ms);
    fleet.shutDown("w0-0");
    fleet.run(1s);
    if (c.isListedAgain) {
        fleet.announceShutdown("w0-0", 1s);
    }
    fleet.reconnect("w0-1");
    fleet.reconnect("w0-2");
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 10s));
    fleet.run(5s);
    BOOST_TEST((fleet.outcome("j1") == JobPhase::Completed));
    BOOST_TEST(fleet.starts.size() == 3U);
    BOOST_TEST(fleet.violations.empty());
}

struct UnansweredStartCase
{
    const char *name;
    Duration idle;
};

auto operator<<(std::ostream &out, const UnansweredStartCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<UnansweredStartCase> unansweredStartCases{
    {"a worker that has been idle for a long time", 30s},
    {"a worker that is new", 1s},
};

BOOST_DATA_TEST_CASE(aStartInProgressIsNotTreatedAsEndedWhenAnEarlierLeaseHasExpired, data::make(unansweredStartCases), c)
{
    // Guards against a second start of a task that may be running: the worker becomes unreachable while the response to a start is in
    // transit, and its earlier lease expired long ago.
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &) { return Duration(20s); };
    fleet.run(c.idle);
    auto &worker = fleet.workers.at(WorkerName("w0-0"));
    worker.withholdsResponses = true;
    fleet.submit(simpleJob("j1", "normal", gangStep(2, 8)));
    BOOST_REQUIRE(fleet.runUntil([&] { return !worker.runs.empty(); }, 5s));
    fleet.disconnect("w0-0");
    fleet.run(40s);
    BOOST_TEST(fleet.violations.empty());
    BOOST_TEST(runsOf(fleet, "j1", 1).size() == 2U);
}

// Guards against starts on a worker that is already known to be unreachable, which would wait for its lease to expire.
BOOST_AUTO_TEST_CASE(noStartIsSentToAWorkerThatBecameUnreachableWhileTheAssignmentWasRecorded)
{
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &) { return Duration(2s); };
    fleet.run(1s);
    fleet.storeUp = false;
    fleet.submit(simpleJob("j1", "normal", gangStep(2, 8)));
    fleet.run(100ms);
    fleet.disconnect("w0-0");
    fleet.run(1s);
    fleet.storeUp = true;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 6s));
    BOOST_TEST(std::none_of(fleet.starts.begin(), fleet.starts.end(), [](const auto &s) { return s.worker == WorkerName("w0-0"); }));
}

// Guards against urgent work on slower workers while faster ones have capacity.
BOOST_AUTO_TEST_CASE(urgentWorkIsPlacedInTheFasterZone)
{
    // Two zones of equal workers, one 1.3 times slower; the tasks' estimates do not reflect that.
    auto fleet = makeFleet();
    for (auto &[name, worker] : fleet.workers) {
        const bool slow = worker.info.rack == RackName("rack0");
        worker.info.zone = ZoneName(slow ? "slow" : "quick");
        worker.slowdown = slow ? 1.3 : 1.0;
    }
    fleet.takeOver();
    for (int i = 0; i < 40; ++i) {
        auto step = gangStep(1, 8);
        step.gang = false;
        fleet.submit(simpleJob("background" + std::to_string(i), "background", step));
    }
    fleet.run(60s);
    for (int i = 0; i < 4; ++i) {
        fleet.submit(simpleJob("urgent" + std::to_string(i), "urgent", gangStep(1, 4)));
    }
    fleet.run(200ms);
    BOOST_REQUIRE(fleet.starts.size() == 44U);
    for (auto it = fleet.starts.end() - 4; it != fleet.starts.end(); ++it) {
        BOOST_TEST(fleet.workers.at(it->worker).info.zone == ZoneName("quick"));
    }
}

struct BurstCase
{
    const char *name;
    std::uint32_t priority;
    std::int64_t guaranteed;
    /// Latest time from the submission of the gang to the start of all its tasks.
    Duration atMost;
    bool preempts;
};

auto operator<<(std::ostream &out, const BurstCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<BurstCase> burstCases{
    {"an urgent gang in a fleet full of long single tasks", 0, 0, 500ms, true},
    {"a guaranteed urgent gang", 0, 32, 500ms, true},
    {"a normal gang waits for its turn", 1, 0, 25s, false},
};

// Guards against urgent gangs that wait for long tasks to end, and against preemption by work that is not urgent.
BOOST_DATA_TEST_CASE(onlyAnUrgentGangPreempts, data::make(burstCases), c)
{
    auto fleet = makeFleet();
    fleet.configuration->organisations.push_back({OrganisationName("org"), c.guaranteed});
    fleet.duration = [](const TaskId &t) { return t.job.str() == "gang" ? Duration(2s) : Duration(20s); };
    for (int i = 0; i < 32; ++i) {
        auto step = gangStep(1, 1);
        step.gang = false;
        step.estimate = 20s;
        fleet.submit(simpleJob("single" + std::to_string(i), "background", step));
    }
    fleet.run(1s);
    auto step = gangStep(2, 8);
    step.sameRack = true;
    step.estimate = 20s;
    fleet.submit(simpleJob("gang", c.priority == 0 ? "urgent" : "normal", step));
    const auto submitted = fleet.now();
    BOOST_TEST(fleet.runUntil([&] { return runsOf(fleet, "gang", 0).size() == 1 && runsOf(fleet, "gang", 1).size() == 1; }, 60s));
    BOOST_TEST((fleet.now() - submitted <= c.atMost));
    BOOST_TEST((fleet.stats().preemptions > 0) == c.preempts);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("gang").has_value(); }, 60s));
    BOOST_TEST(fleet.violations.empty());
}

// Guards against a gang that is repeatedly placed on the same stalled worker.
BOOST_AUTO_TEST_CASE(anUrgentGangIsNotPlacedOnAStalledWorkerAgain)
{
    // The stalled worker's capacity is the first to become free again; the other rack has to be cleared for the second run.
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &t) { return t.job.str() == "gang" ? Duration(3s) : Duration(30s); };
    for (int i = 0; i < 2; ++i) {
        auto step = gangStep(1, 8);
        step.gang = false;
        step.estimate = 30s;
        auto job = simpleJob("background" + std::to_string(i), "background", step);
        job.steps[0].requiredLabel = "rack1";
        fleet.submit(job);
    }
    fleet.run(1s);
    auto step = gangStep(2, 8);
    step.sameRack = true;
    step.estimate = 30s;
    fleet.submit(simpleJob("gang", "urgent", step));
    fleet.run(500ms);
    fleet.workers.at(WorkerName("w0-0")).slowdown = 0;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("gang").has_value(); }, 15s));
    BOOST_TEST(runsOf(fleet, "gang", 0).size() == 2U);
}

struct BacklogCase
{
    const char *name;
    StepSpec waiting;
};

auto operator<<(std::ostream &out, const BacklogCase &c) -> std::ostream &
{
    return out << c.name;
}

/// Returns a gang step whose tasks need \a taskDemand each.
auto largeStep(std::uint32_t count, Demand taskDemand, bool sameRack) -> StepSpec
{
    auto step = gangStep(count, 0);
    step.taskDemand = taskDemand;
    step.sameRack = sameRack;
    return step;
}

const std::vector<BacklogCase> backlogCases{
    {"too many accelerators", largeStep(1, {1000, 1000, 4}, false)},
    {"too much memory", largeStep(1, {1000, 40'000, 0}, false)},
    {"too many cores", largeStep(1, {20'000, 1000, 0}, false)},
    {"gangs that fill a rack", largeStep(4, {1000, 1000, 2}, true)},
};

// Guards against a backlog that cannot be placed and delays less urgent work that can.
BOOST_DATA_TEST_CASE(aBacklogThatCannotBePlacedDoesNotDelayWorkThatCan, data::make(backlogCases), c)
{
    // Three quarters of each worker are in use for a long time; the remaining quarter is not enough for the backlog.
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &t) { return t.job.str().starts_with("full") ? Duration(60s) : Duration(2s); };
    for (int i = 0; i < 4; ++i) {
        auto step = gangStep(1, 6);
        step.taskDemand = {24'000, 48'000, 6};
        step.estimate = 60s;
        fleet.submit(simpleJob("full" + std::to_string(i), "normal", step));
    }
    fleet.run(1s);
    for (int i = 0; i < 100; ++i) {
        auto step = c.waiting;
        step.taskDemand.milliCores += i;
        fleet.submit(simpleJob("waiting" + std::to_string(i), "normal", step));
    }
    fleet.run(1s);
    fleet.submit(simpleJob("small", "background", gangStep(1, 1)));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("small").has_value(); }, 5s));
    BOOST_TEST(fleet.violations.empty());
}

struct SingleCase
{
    const char *name;
    double slowdown;
    /// On all workers; otherwise on the first one.
    bool everywhere;
    std::size_t runs;
};

auto operator<<(std::ostream &out, const SingleCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<SingleCase> singleCases{
    {"as estimated", 1.0, false, 1},
    {"twice as long, within the error of the estimate", 2.0, false, 1},
    {"six times as long", 6.0, false, 2},
    {"six times as long on any worker, by an estimate that is far too low", 6.0, true, 2},
};

// Guards against urgent tasks that stay on a much slower worker, and against endless restarts when the estimate is wrong.
BOOST_DATA_TEST_CASE(anUrgentSingleTaskIsRestartedOnceWhenItsWorkerIsMuchSlower, data::make(singleCases), c)
{
    auto fleet = makeFleet();
    for (auto &[name, worker] : fleet.workers) {
        worker.slowdown = c.everywhere || name == WorkerName("w0-0") ? c.slowdown : 1.0;
    }
    fleet.submit(simpleJob("j1", "urgent", gangStep(1, 8)));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 30s));
    BOOST_TEST(runsOf(fleet, "j1", 0).size() == c.runs);
}

struct LostStartCase
{
    const char *name;
    std::vector<StartOutcome> responses;
    /// Number of the run that completes the task.
    std::size_t runs;
};

auto operator<<(std::ostream &out, const LostStartCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<LostStartCase> lostStartCases{
    {"a response lost once", {StartOutcome::Unknown}, 1},
    {"lost three times", {StartOutcome::Unknown, StartOutcome::Unknown, StartOutcome::Unknown}, 1},
    {"lost, then declined", {StartOutcome::Unknown, StartOutcome::Declined}, 2},
    {"lost, then no capacity", {StartOutcome::Unknown, StartOutcome::InsufficientCapacity}, 2},
    {"lost, then too late", {StartOutcome::Unknown, StartOutcome::Late}, 2},
};

// Guards against a second run of a task whose start was carried out, because a repeated start command was refused.
BOOST_DATA_TEST_CASE(aRefusalAfterALostResponseDoesNotProveThatTheRunIsNotThere, data::make(lostStartCases), c)
{
    auto fleet = makeFleet();
    fleet.workers.at(WorkerName("w0-0")).scriptedResponses = c.responses;
    auto step = gangStep(1, 8);
    step.gang = false;
    fleet.submit(simpleJob("j1", "background", step));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 20s));
    BOOST_TEST(fleet.violations.empty());
    const auto runs = runsOf(fleet, "j1", 0);
    BOOST_TEST((runs.empty() ? 0U : runs.back()) == c.runs);
}

// Guards against gangs that starve in a steady stream of smaller, less urgent tasks.
BOOST_AUTO_TEST_CASE(aNormalGangIsPlacedDespiteAStreamOfBackgroundTasks)
{
    // Background tasks with one accelerator are submitted faster than they end, so that no whole worker ever becomes free by chance.
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &t) { return Duration(4s + std::chrono::milliseconds(t.index * 300)); };
    int n = 0;
    const auto submitBackground = [&] {
        auto step = gangStep(8, 1);
        step.gang = false;
        step.estimate = 4s;
        fleet.submit(simpleJob("background" + std::to_string(n++), "background", step));
    };
    for (int i = 0; i < 5; ++i) {
        submitBackground();
    }
    fleet.run(1s);
    auto step = gangStep(2, 8);
    step.sameRack = true;
    step.estimate = 4s;
    fleet.submit(simpleJob("gang", "normal", step));
    const auto submitted = fleet.now();
    while (fleet.now() < submitted + 12s && runsOf(fleet, "gang", 0).empty()) {
        submitBackground();
        fleet.run(1s);
    }
    // The longest background task, and one poll of each worker.
    BOOST_TEST((fleet.now() - submitted <= 8s));
    BOOST_TEST(runsOf(fleet, "gang", 1).size() == 1U);
    BOOST_TEST(fleet.stats().preemptions == 0U);
}

// Guards against preemption for every unit of a steady urgent load.
BOOST_AUTO_TEST_CASE(steadyUrgentWorkNeedsNoPreemption)
{
    // Urgent gangs are submitted one after the other to a fleet full of background tasks; the first ones preempt, later ones use reserved
    // workers.
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &t) { return t.job.str().starts_with("urgent") ? Duration(2s) : Duration(4s); };
    std::uint64_t preemptionsAtFirst = 0;
    for (int i = 0; i < 20; ++i) {
        auto step = gangStep(8, 1);
        step.gang = false;
        step.estimate = 4s;
        fleet.submit(simpleJob("background" + std::to_string(3 * i), "background", step));
        fleet.submit(simpleJob("background" + std::to_string(3 * i + 1), "background", step));
        fleet.submit(simpleJob("urgent" + std::to_string(i), "urgent", gangStep(1, 8)));
        fleet.run(2s);
        preemptionsAtFirst = i == 9 ? fleet.stats().preemptions : preemptionsAtFirst;
    }
    BOOST_TEST(fleet.stats().preemptions == preemptionsAtFirst);
    BOOST_TEST((fleet.latency("urgent18") < 3s));
}

// Guards against a start whose assignment is not stored, which a later holder would not know about.
BOOST_AUTO_TEST_CASE(noStartIsSentBeforeItsRecordIsStoredWhileTheStoreIsSlow)
{
    // A member fails. While the batch that records the failure is still being stored, the gang ends and is assigned again.
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &t) { return t.index == 0 ? Duration(1s) : Duration(1500ms); };
    fleet.ending = [](const StartCommand &command) {
        return command.task.index == 0 && command.run == 1 ? EndKind::Failed : EndKind::Done;
    };
    fleet.submit(simpleJob("j1", "normal", gangStep(2, 8)));
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.size() == 2; }, 5s));
    fleet.run(900ms);
    fleet.storeUp = false;
    fleet.run(2s);
    fleet.storeUp = true;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 20s));
    BOOST_TEST(fleet.violations.empty());
}

struct SpreadCase
{
    const char *name;
    /// Workers that background work fills for a long time.
    std::uint32_t busyWorkers;
    bool spreads;
};

auto operator<<(std::ostream &out, const SpreadCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<SpreadCase> spreadCases{
    {"an idle fleet in which no rack has enough workers", 0, true},
    {"a busy fleet: the gang waits for a rack", 1, false},
};

// Guards against a gang that waits forever for a rack while workers are idle.
BOOST_DATA_TEST_CASE(aGangIsSpreadOverRacksOnlyInAnIdleFleet, data::make(spreadCases), c)
{
    // One worker of each rack is permanently missing, so that no rack has two.
    auto fleet = makeFleet();
    fleet.workers.erase(WorkerName("w0-1"));
    fleet.workers.erase(WorkerName("w1-1"));
    fleet.takeOver();
    fleet.duration = [](const TaskId &t) { return t.job.str() == "gang" ? Duration(2s) : Duration(60s); };
    if (c.busyWorkers > 0) {
        auto step = gangStep(c.busyWorkers, 8);
        step.gang = false;
        step.estimate = 60s;
        fleet.submit(simpleJob("background", "background", step));
        fleet.run(500ms);
    }
    auto step = gangStep(2, 4);
    step.taskDemand.milliCores = 20'000;
    step.sameRack = true;
    fleet.submit(simpleJob("gang", "normal", step));
    fleet.run(4s);
    BOOST_TEST(runsOf(fleet, "gang", 0).empty() == !c.spreads);
}

struct NoRackCase
{
    const char *name;
    const char *queue;
    std::int64_t guaranteed;
    /// Workers that background tasks fill for a long time before the gang is submitted.
    std::uint32_t busyWorkers;
    /// The workers that are missing leave, or are cut off for a while.
    bool missingWorkersReturn;
    /// Latest time from the submission of the gang to the start of all its tasks.
    Duration atMost;
    bool startsInOneRack;
};

auto operator<<(std::ostream &out, const NoRackCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<NoRackCase> noRackCases{
    {"an urgent gang", "urgent", 0, 0, false, 500ms, false},
    {"a guaranteed urgent gang", "urgent", 100, 0, false, 500ms, false},
    {"a normal gang", "normal", 0, 0, false, 500ms, false},
    {"a background gang", "background", 0, 0, false, 500ms, false},
    {"an urgent gang in a fleet full of background tasks", "urgent", 0, 4, false, 500ms, false},
    {"an urgent gang, while workers are cut off", "urgent", 0, 0, true, 3s, true},
    {"a normal gang, while workers are cut off", "normal", 0, 0, true, 3s, true},
};

// Guards against a gang that prefers one rack and waits forever, or keeps workers free, since no rack is large enough for it.
BOOST_DATA_TEST_CASE(aGangThatNoRackIsLargeEnoughForStartsOnSeveral, data::make(noRackCases), c)
{
    FakeFleet fleet(2, 3, workerCapacity);
    addQueue(*fleet.configuration, "urgent", 0);
    addQueue(*fleet.configuration, "normal", 1);
    addQueue(*fleet.configuration, "background", 2);
    fleet.configuration->organisations.push_back({OrganisationName("org"), c.guaranteed});
    fleet.duration = [](const TaskId &t) { return t.job.str().starts_with("gang") ? Duration(2s) : Duration(60s); };
    fleet.run(1s);
    for (const auto *worker : {"w0-0", "w1-0"}) {
        if (c.missingWorkersReturn) {
            fleet.disconnect(worker);
        } else {
            fleet.shutDown(worker);
        }
    }
    fleet.run(1s);
    if (c.busyWorkers > 0) {
        auto step = gangStep(c.busyWorkers, 8);
        step.gang = false;
        step.estimate = 60s;
        fleet.submit(simpleJob("full", "background", step));
        fleet.run(200ms);
    }
    auto step = gangStep(3, 8);
    step.sameRack = true;
    // Long enough for the loss of a preemption.
    step.estimate = 20s;
    fleet.submit(simpleJob("gang", c.queue, step));
    const auto submitted = fleet.now();
    fleet.run(1500ms);
    if (c.missingWorkersReturn) {
        fleet.reconnect("w0-0");
        fleet.reconnect("w1-0");
    }
    const auto startsOfGang = [&] {
        return std::count_if(fleet.starts.begin(), fleet.starts.end(), [](const auto &s) { return s.task.job == JobId("gang"); });
    };
    BOOST_REQUIRE(fleet.runUntil([&] { return startsOfGang() >= 3; }, 20s));
    std::set<RackName> racks;
    TimePoint startedAt;
    for (const auto &[name, worker] : fleet.workers) {
        for (const auto &run : worker.runs) {
            if (run.command.task.job == JobId("gang")) {
                racks.insert(worker.info.rack);
                startedAt = std::max(startedAt, run.startedAt);
            }
        }
    }
    BOOST_TEST((startedAt - submitted <= c.atMost));
    BOOST_TEST((racks.size() == 1) == c.startsInOneRack);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("gang").has_value(); }, 20s));
    BOOST_TEST(fleet.violations.empty());
}

struct ImpossibleCase
{
    const char *name;
    StepSpec step;
};

auto operator<<(std::ostream &out, const ImpossibleCase &c) -> std::ostream &
{
    return out << c.name;
}

/// Returns a step that requires a label.
auto labelledStep(StepSpec step, const char *label) -> StepSpec
{
    step.requiredLabel = label;
    return step;
}

const std::vector<ImpossibleCase> impossibleCases{
    {"a task that is larger than any worker", largeStep(1, {1000, 1000, 9}, false)},
    {"a gang that is larger than the fleet", largeStep(5, {1000, 1000, 8}, true)},
    {"a gang with more memory than any worker has", largeStep(2, {1000, 70'000, 8}, true)},
    {"a gang with a label that too few workers have", labelledStep(largeStep(3, {1000, 1000, 8}, false), "rack0")},
};

// Guards against less urgent work that starves while workers are kept free for urgent work that can never be placed.
BOOST_DATA_TEST_CASE(urgentWorkThatCanNeverBePlacedKeepsNoWorkersFree, data::make(impossibleCases), c)
{
    auto fleet = makeFleet();
    for (int i = 0; i < 8; ++i) {
        fleet.submit(simpleJob("impossible" + std::to_string(i), "urgent", c.step));
    }
    fleet.run(5s);
    auto step = gangStep(4, 8);
    step.gang = false;
    fleet.submit(simpleJob("background", "background", step));
    fleet.submit(simpleJob("normal", "normal", gangStep(2, 8)));
    // Two rounds of the run time, as all together need one and a half times the fleet.
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("background") && fleet.outcome("normal"); }, 5s));
    BOOST_TEST(fleet.violations.empty());
}

struct AfterBurstCase
{
    const char *name;
    const char *queue;
    bool gang;
};

auto operator<<(std::ostream &out, const AfterBurstCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<AfterBurstCase> afterBurstCases{
    {"background tasks", "background", false},
    {"a background gang", "background", true},
    {"a normal gang", "normal", true},
};

// Guards against workers that are kept free after a burst of urgent work has ended, while other work has been waiting for seconds.
BOOST_DATA_TEST_CASE(workThatHasWaitedStartsOnceABurstOfUrgentWorkHasEnded, data::make(afterBurstCases), c)
{
    auto fleet = makeFleet();
    fleet.duration = [](const TaskId &t) { return t.job.str().starts_with("urgent") ? Duration(4s) : Duration(2s); };
    for (int i = 0; i < 16; ++i) {
        auto step = gangStep(1, 8);
        step.estimate = 4s;
        fleet.submit(simpleJob("urgent" + std::to_string(i), "urgent", step));
    }
    fleet.run(1s);
    auto step = gangStep(2, 8);
    step.gang = c.gang;
    fleet.submit(simpleJob("waiting", c.queue, step));
    const auto urgentWorkHasEnded = [&] {
        for (int i = 0; i < 16; ++i) {
            if (!fleet.outcome("urgent" + std::to_string(i))) {
                return false;
            }
        }
        return true;
    };
    BOOST_REQUIRE(fleet.runUntil(urgentWorkHasEnded, 60s));
    // Most of the fleet is idle now, and the platform counts a job as lost after 3 s.
    BOOST_TEST(fleet.runUntil([&] { return runsOf(fleet, "waiting", 0).size() + runsOf(fleet, "waiting", 1).size() >= 2; }, 500ms));
    BOOST_TEST(fleet.violations.empty());
}

// Guards against a new holder that restarts a unit whose failure is already final.
BOOST_AUTO_TEST_CASE(aSuccessorDoesNotRunAFailedUnitAgain)
{
    // One task of a step fails permanently while the job's other task is on an unreachable worker, so that the job cannot end yet.
    auto fleet = makeFleet();
    addQueue(*fleet.configuration, "once", 1, 1);
    fleet.duration = [](const TaskId &t) { return t.index == 0 ? Duration(2s) : Duration(30s); };
    fleet.ending = [](const StartCommand &command) { return command.task.index == 0 ? EndKind::Failed : EndKind::Done; };
    auto step = gangStep(2, 8);
    step.gang = false;
    fleet.submit(simpleJob("j1", "once", step));
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.size() == 2; }, 5s));
    fleet.disconnect(fleet.starts[1].worker.str());
    fleet.run(3s);
    BOOST_REQUIRE(!fleet.outcome("j1").has_value());
    fleet.takeOver();
    fleet.run(40s);
    BOOST_TEST(runsOf(fleet, "j1", 0).size() == 1U);
    BOOST_TEST((fleet.outcome("j1") == JobPhase::Failed));
}

// Guards against an end that is acknowledged without being recorded, after which a new holder would run the gang again.
BOOST_AUTO_TEST_CASE(anEndIsRecordedWhenAnotherMemberReportsACheckpointAfterIt)
{
    // Both ends of a gang arrive while a batch is being stored; the second one contains a checkpoint.
    auto fleet = makeFleet();
    fleet.checkpointAtEnd = "saved";
    fleet.submit(simpleJob("j1", "normal", gangStep(2, 8)));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 20s));
    auto job = simpleJob("j2", "normal", gangStep(2, 8));
    job.steps.push_back(gangStep(1, 1));
    job.steps[1].dependsOn = {0};
    fleet.duration = [](const TaskId &t) { return t.step == 0 ? Duration(2s) : Duration(30s); };
    fleet.submit(job);
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.back().task.step == 1; }, 20s));
    // The ends are acknowledged with the next polls.
    fleet.run(5s);
    fleet.takeOver();
    fleet.run(10s);
    BOOST_TEST(fleet.violations.empty());
    BOOST_TEST(runsOf(fleet, "j2", 0).size() == 2U);
}

/// Two racks of two workers, each rack in a zone of its own, that the operator can evacuate.
auto makeZonedFleet() -> FakeFleet
{
    auto fleet = makeFleet();
    fleet.settings.evacuationDelay = 5s;
    for (auto &[name, worker] : fleet.workers) {
        worker.info.zone = ZoneName(worker.info.rack.str());
    }
    fleet.takeOver();
    fleet.run(200ms);
    return fleet;
}

auto startsIn(const FakeFleet &fleet, const std::string &zone, std::size_t from) -> std::ptrdiff_t
{
    return std::count_if(fleet.starts.begin() + static_cast<std::ptrdiff_t>(from), fleet.starts.end(),
                         [&](const StartCommand &s) { return fleet.workers.at(s.worker).info.zone.str() == zone; });
}

enum class WorkState {
    Waiting,
    /// Placed in the zone, and the assignment is not stored.
    Recording,
    /// The starts were sent to the zone and got no response.
    Unanswered,
    Running,
    /// Units of the zone are being stopped for it.
    Reserved,
};

struct EvacuationCase
{
    const char *name;
    WorkState state;
    bool takeOver;
    /// Number of the run that ends as done, outside the zone unless it was running there.
    std::uint32_t lastRun;
};

auto operator<<(std::ostream &out, const EvacuationCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<EvacuationCase> evacuationCases{
    {"waiting", WorkState::Waiting, false, 1},
    {"waiting, new holder", WorkState::Waiting, true, 1},
    {"placed, not recorded", WorkState::Recording, false, 2},
    {"placed, not recorded, new holder", WorkState::Recording, true, 1},
    {"started without an answer", WorkState::Unanswered, false, 2},
    {"started without an answer, new holder", WorkState::Unanswered, true, 2},
    {"running", WorkState::Running, false, 1},
    {"running, new holder", WorkState::Running, true, 1},
    {"reserved", WorkState::Reserved, false, 1},
    {"reserved, new holder", WorkState::Reserved, true, 1},
};

// Guards against starts in an evacuated zone, against running work that is stopped there, and against work that is not placed elsewhere.
BOOST_DATA_TEST_CASE(workForAnEvacuatedZoneIsPlacedElsewhere, data::make(evacuationCases), c)
{
    auto fleet = makeZonedFleet();
    auto step = gangStep(2, 8);
    step.sameRack = true;
    if (c.state == WorkState::Reserved) {
        // The second zone is full of urgent work, so capacity is freed in the first one.
        auto blocking = simpleJob("blocking", "urgent", step);
        blocking.steps[0].requiredLabel = "rack1";
        fleet.submit(blocking);
        auto background = gangStep(2, 8);
        background.gang = false;
        fleet.submit(simpleJob("background", "background", background));
        fleet.run(500ms);
        BOOST_REQUIRE(fleet.starts.size() == 4U);
    }
    fleet.storeUp = c.state != WorkState::Recording;
    if (c.state == WorkState::Unanswered) {
        fleet.commandDelay = [](bool grants) { return grants ? std::optional(Duration(8s)) : std::nullopt; };
    }
    if (c.state == WorkState::Waiting) {
        fleet.evacuate("rack0");
    }
    const auto first = fleet.starts.size();
    fleet.submit(simpleJob("j1", "urgent", step));
    if (c.state == WorkState::Unanswered || c.state == WorkState::Running) {
        BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.size() == first + 2; }, 1s));
        BOOST_REQUIRE(startsIn(fleet, "rack0", first) == 2);
    } else if (c.state == WorkState::Reserved) {
        BOOST_REQUIRE(fleet.runUntil([&] { return fleet.events.back().starts_with("room-reserved"); }, 1s));
    } else if (c.state == WorkState::Recording) {
        fleet.run(100ms);
    }
    const auto before = fleet.starts.size();
    fleet.evacuate("rack0");
    fleet.commandDelay = nullptr;
    if (c.takeOver) {
        fleet.takeOver();
    }
    fleet.storeUp = true;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 40s));
    BOOST_TEST(startsIn(fleet, "rack0", before) == 0);
    BOOST_TEST(runsOf(fleet, "j1", 0).back() == c.lastRun);
    BOOST_TEST(fleet.violations.empty());
}

// Guards against a gang of which some members run and others may no longer be started.
BOOST_AUTO_TEST_CASE(aGangThatMayNotStartCompletelyIsStoppedAndPlacedAgain)
{
    auto fleet = makeZonedFleet();
    // The start on the first worker is carried out, but not answered, and may not be repeated.
    fleet.workers.at(WorkerName("w0-0")).scriptedResponses = {StartOutcome::Unknown};
    fleet.submit(simpleJob("j1", "normal", gangStep(4, 8)));
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.size() == 4; }, 1s));
    fleet.evacuate("rack0");
    fleet.run(1s);
    for (const auto &[name, worker] : fleet.workers) {
        BOOST_TEST(std::all_of(worker.runs.begin(), worker.runs.end(), [](const auto &run) { return run.end.has_value(); }), name.str());
    }
    fleet.evacuate("rack0", false);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 10s));
    BOOST_TEST(runsOf(fleet, "j1", 0).back() == 2U);
}

// Guards against work that is refused or lost while all zones are evacuated, or that does not start after the revocation.
BOOST_AUTO_TEST_CASE(workWaitsWhileAllZonesAreEvacuated)
{
    auto fleet = makeZonedFleet();
    fleet.evacuate("rack0");
    fleet.evacuate("rack1");
    fleet.submit(simpleJob("j1", "urgent", gangStep(2, 8)));
    fleet.run(10s);
    BOOST_TEST(fleet.starts.empty());
    BOOST_TEST(!fleet.outcome("j1").has_value());
    BOOST_TEST(std::count_if(fleet.events.begin(), fleet.events.end(), [](const auto &e) { return e.starts_with("all-zones-evacuated"); })
               == 1);
    fleet.evacuate("rack0", false);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j1").has_value(); }, 3s));
    BOOST_TEST(startsIn(fleet, "rack0", 0) == 2);
}

// Guards against a guarantee that is not met because its workers are all in the evacuated zone.
BOOST_AUTO_TEST_CASE(aGuaranteeIsMetOutsideTheEvacuatedZone)
{
    auto fleet = makeZonedFleet();
    fleet.duration = [](const TaskId &) { return Duration(20s); };
    fleet.configuration->organisations = {{OrganisationName("guaranteed"), 16}};
    auto step = gangStep(2, 8);
    step.sameRack = true;
    for (const auto *id : {"a", "b"}) {
        auto job = simpleJob(id, "urgent", step);
        job.organisation = OrganisationName("other");
        fleet.submit(job);
    }
    fleet.run(500ms);
    BOOST_REQUIRE(fleet.starts.size() == 4U);
    fleet.evacuate("rack0");
    auto job = simpleJob("j1", "urgent", step);
    job.organisation = OrganisationName("guaranteed");
    fleet.submit(job);
    BOOST_TEST(fleet.runUntil([&] { return runsOf(fleet, "j1", 1).size() == 1; }, 2700ms));
    BOOST_TEST(startsIn(fleet, "rack1", 4) == 2);
}

// Guards against a gang that waits for a rack of the evacuated zone because no other rack is large enough.
BOOST_AUTO_TEST_CASE(aGangIsSpreadWhenOnlyAnEvacuatedRackIsLargeEnough)
{
    auto fleet = makeZonedFleet();
    fleet.workers.at(WorkerName("w1-0")).info.rack = RackName("rack2");
    fleet.list("w1-0");
    fleet.evacuate("rack0");
    auto step = gangStep(2, 8);
    step.sameRack = true;
    fleet.submit(simpleJob("j1", "normal", step));
    BOOST_TEST(fleet.runUntil([&] { return fleet.starts.size() == 2; }, 500ms));
}

struct OutdatedCase
{
    const char *name;
    /// How long the operator's topic cannot be read.
    Duration unreadable;
    bool evacuatedMeanwhile;
    bool pauses;
};

auto operator<<(std::ostream &out, const OutdatedCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<OutdatedCase> outdatedCases{
    {"a short time", 4s, false, false},
    {"longer than the bound", 8s, false, true},
    {"longer than the bound, with an evacuation", 8s, true, true},
};

// Guards against starts by a holder that cannot know whether a zone was evacuated, and against running work that is stopped then.
BOOST_DATA_TEST_CASE(nothingStartsWhileTheEvacuationsMayBeOutdated, data::make(outdatedCases), c)
{
    auto fleet = makeZonedFleet();
    fleet.duration = [](const TaskId &t) { return t.job.str() == "long" ? Duration(15s) : Duration(100ms); };
    auto step = gangStep(1, 1);
    step.gang = false;
    step.estimate = 15s;
    fleet.submit(simpleJob("long", "normal", step));
    fleet.run(1s);
    fleet.operatorTopicReadable = false;
    const auto since = fleet.now();
    if (c.evacuatedMeanwhile) {
        fleet.evacuate("rack0");
    }
    int jobs = 0;
    auto lastStart = since;
    std::size_t known = 0;
    const auto submitFor = [&](Duration length) {
        for (const auto end = fleet.now() + length; fleet.now() < end;) {
            fleet.submit(simpleJob("j" + std::to_string(jobs++), "normal", step));
            fleet.run(200ms);
            lastStart = fleet.starts.size() > known ? fleet.now() : lastStart;
            known = fleet.starts.size();
        }
    };
    submitFor(c.unreadable);
    BOOST_TEST((lastStart <= since + 4300ms + 200ms));
    BOOST_TEST((lastStart >= since + 3800ms));
    const bool paused = std::any_of(fleet.events.begin(), fleet.events.end(), [](const auto &e) { return e.starts_with("starts-paused"); });
    BOOST_TEST(paused == c.pauses);
    fleet.operatorTopicReadable = true;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("j" + std::to_string(jobs - 1)).has_value(); }, 5s));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("long").has_value(); }, 15s));
    BOOST_TEST(runsOf(fleet, "long", 0).size() == 1U);
    BOOST_TEST(fleet.violations.empty());
}

// Guards against workers of a restored zone that are avoided, or preferred, while they are still slow.
BOOST_AUTO_TEST_CASE(coldWorkersAreUsedAfterOthers)
{
    auto fleet = makeZonedFleet();
    fleet.evacuate("rack0");
    fleet.run(1s);
    for (const auto *name : {"w0-0", "w0-1"}) {
        fleet.workers.at(WorkerName(name)).info.coldTime = 10s;
        fleet.list(name);
    }
    fleet.evacuate("rack0", false);
    auto step = gangStep(1, 8);
    step.gang = false;
    for (const auto *id : {"a", "b", "c", "d"}) {
        fleet.submit(simpleJob(id, "normal", step));
        fleet.run(100ms);
    }
    BOOST_REQUIRE(fleet.starts.size() == 4U);
    BOOST_TEST(startsIn(fleet, "rack0", 0) == 2);
    BOOST_TEST(startsIn(fleet, "rack0", 2) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
