#include "fake_fleet.h"
#include "sim_world.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

auto gang(std::uint32_t count) -> StepSpec
{
    StepSpec step;
    step.count = count;
    step.taskDemand = {1000, 1000, 1};
    step.estimate = 2s;
    step.gang = true;
    return step;
}

auto makeWorld(std::size_t instances, std::uint64_t seed) -> std::unique_ptr<SimWorld>
{
    auto world = std::make_unique<SimWorld>(instances, seed);
    for (int i = 0; i < 4; ++i) {
        world->workers.add("w" + std::to_string(i), {32'000, 65'536, 8}, "rack" + std::to_string(i / 2));
    }
    for (std::size_t i = 0; i < instances; ++i) {
        world->restart(i);
    }
    return world;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine)

struct HandoverCase
{
    const char *name;
    Duration serviceTime;
    double responseLossRate;
};

auto operator<<(std::ostream &out, const HandoverCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<HandoverCase> handoverCases{
    {"quick store", 4ms, 0},
    {"slow store", 240ms, 0},
    {"slow store that loses responses", 240ms, 0.3},
    {"quick store that loses responses", 4ms, 0.5},
};

// Guards against restarts that leave no holder or two, lose an accepted job or run a task twice.
BOOST_DATA_TEST_CASE(aRollingRestartLeavesOneHolder, data::xrange(1, 13) * data::make(handoverCases), seed, c)
{
    auto world = makeWorld(5, static_cast<std::uint64_t>(seed));
    world->run(3s);
    world->store.serviceTime = c.serviceTime;
    world->store.responseLossRate = c.responseLossRate;
    for (std::size_t i = 0; i < world->instances.size(); ++i) {
        const auto id = "j" + std::to_string(i);
        world->submit((i + 1) % world->instances.size(), simpleJob(id, "queue", gang(3)));
        world->instances[i].engine->drain([] {});
        world->run(Duration(1500ms) + seed * Duration(37ms));
        world->restart(i);
        world->run(500ms);
    }
    world->store.serviceTime = 4ms;
    world->store.responseLossRate = 0;
    world->run(40s);
    BOOST_TEST(world->holders().size() == 1U);
    BOOST_TEST(world->workers.violations.empty());
    for (const auto &[id, outcome] : world->outcomes) {
        if (outcome == SubmitOutcome::Accepted) {
            const auto phase = world->phase(0, id);
            BOOST_TEST((phase == JobPhase::Completed), id << " is " << (phase ? jobPhaseName(*phase) : "unknown"));
        }
    }
}

struct ShortTermCase
{
    const char *name;
    /// Instance that claimed the last term, which ended before its first renewal.
    const char *claimant;
    bool released;
};

auto operator<<(std::ostream &out, const ShortTermCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ShortTermCase> shortTermCases{
    {"an earlier incarnation of the successor", "instance-0", false},
    {"an earlier incarnation of the successor, which released its lease", "instance-0", true},
    {"another instance", "instance-9", false},
    {"another instance, which released its lease", "instance-9", true},
};

BOOST_DATA_TEST_CASE(aTermThatEndsAtOnceDoesNotHideTheLeasesOfTheTermBefore, data::make(shortTermCases), c)
{
    // A holder renews task leases; another instance claims the next term and is killed at once, so that its claim is the only record of a
    // holder that the successor finds. The successor must still wait for the leases of the earlier term to end.
    auto world = makeWorld(1, 1);
    world->workers.taskTime = 8s;
    world->run(3s);
    world->submit(0, simpleJob("j1", "queue", gang(4)));
    world->run(2s);
    BOOST_REQUIRE(world->workers.startCount == 4U);
    world->workers.unreachable.insert("w0");
    world->kill(0);
    auto &topic = world->store.topics.at("keyed.state");
    topic.records.push_back(holderRecord({++topic.epoch, InstanceName(c.claimant), 7, c.released}));
    topic.nextSequence = 0;
    world->restart(0);
    world->run(5s);
    BOOST_TEST(world->workers.violations.empty());
    world->workers.unreachable.clear();
    world->run(30s);
    BOOST_TEST((world->phase(0, "j1") == JobPhase::Completed));
    BOOST_TEST(world->workers.violations.empty());
}

// Guards against a start that waits for a timer instead of following the submission directly.
BOOST_DATA_TEST_CASE(theHolderStartsANewJobWithoutDelay, data::xrange(0, 50, 7), offsetMs)
{
    auto world = makeWorld(1, 1);
    world->run(3s);
    world->run(std::chrono::milliseconds(offsetMs));
    const EngineSettings settings;
    world->submit(0, simpleJob("j1", "queue", gang(2)));
    // The append of the submission, the read of it, a renewal that may be in progress, the record of the assignment, and the command.
    const auto calls =
        3 * (2 * world->store.latency + world->store.serviceTime) + FakeStore::pollInterval + world->store.latency + world->workers.latency;
    world->run(calls + 2 * settings.eventBatchDelay + settings.dispatcher.scheduleInterval);
    BOOST_TEST(world->workers.startCount == 2U);
}

// Guards against work that is done again after its worker has listed the end only in the report that was asked for before an
// acknowledgement, and has left then.
BOOST_DATA_TEST_CASE(anEndThatAWorkerReportsRightBeforeItLeavesCounts, data::xrange(0, 60, 4), offsetMs)
{
    SimWorld world(1, 1);
    world.workers.add("w0", {32'000, 65'536, 8}, "rack0");
    world.workers.closesConnections = true;
    world.workers.taskTimes = {{"first", 2s}, {"second", Duration(2s) + std::chrono::milliseconds(offsetMs)}};
    world.restart(0);
    world.run(3s);
    auto step = gang(1);
    step.gang = false;
    for (const auto *id : {"first", "second"}) {
        auto job = simpleJob(id, "queue", step);
        job.payload = id;
        world.submit(0, job);
    }
    world.run(1s);
    BOOST_REQUIRE(world.workers.startCount == 2U);
    world.workers.add("w1", {32'000, 65'536, 8}, "rack1");
    world.instances[0].engine->workerListed(world.workers.machines.at("w1").info);
    world.workers.leaving.insert("w0");
    world.run(30s);
    BOOST_TEST(world.workers.unreachable.contains("w0"));
    BOOST_TEST(world.workers.startCount == 2U);
    for (const auto *id : {"first", "second"}) {
        BOOST_TEST((world.phase(0, id) == JobPhase::Completed), id);
    }
}

struct EndedWorkerCase
{
    const char *name;
    bool isListed;
    /// Whether the holder is killed right after the worker has ended.
    bool holderIsKilled;
    /// Longest time until the work starts elsewhere: two commands without a response and two lists, or the lease of a late renewal.
    Duration atMost;
};

auto operator<<(std::ostream &out, const EndedWorkerCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<EndedWorkerCase> endedWorkerCases{
    {"with a list", true, false, 6s},
    {"with a list, new holder", true, true, 12s},
    {"without a list", false, false, 24s},
};

// Guards against work of an ended worker that waits for its lease although the platform no longer lists the worker.
BOOST_DATA_TEST_CASE(workOfAnEndedWorkerStartsOnceItIsNotListed, data::make(endedWorkerCases) * data::xrange(0, 2000, 250), c, offsetMs)
{
    SimWorld world(2, 1);
    world.workers.runningWorkersAreListed = c.isListed;
    world.workers.taskTime = 60s;
    world.workers.add("w0", {32'000, 65'536, 8}, "rack0");
    world.restart(0);
    world.run(3s);
    world.restart(1);
    auto step = gang(1);
    step.gang = false;
    step.estimate = 60s;
    world.submit(0, simpleJob("j1", "queue", step));
    world.run(2s);
    BOOST_REQUIRE(world.workers.startCount == 1U);
    for (const auto *name : {"w1", "w2"}) {
        world.workers.add(name, {32'000, 65'536, 8}, "rack1");
        world.instances[0].engine->workerListed(world.workers.machines.at(name).info);
    }
    world.run(std::chrono::milliseconds(offsetMs));
    world.workers.end("w0");
    const auto endedAt = world.clock.now();
    if (c.holderIsKilled) {
        world.kill(0);
    }
    while (world.workers.startCount < 2 && world.clock.now() < endedAt + c.atMost) {
        world.run(50ms);
    }
    BOOST_TEST(world.workers.startCount == 2U);
    BOOST_TEST(world.workers.violations.empty());
}

// Guards against work that is done again because the holder released its lease without recording the ends that it had been told.
BOOST_DATA_TEST_CASE(anEndThatIsReportedToAHolderThatShutsDownCounts, data::xrange(0, 90, 10), offsetMs)
{
    const auto world = std::make_unique<SimWorld>(2, 1);
    world->workers.add("w0", {32'000, 65'536, 8}, "rack0");
    // The end is the answer to a poll that waits.
    world->workers.taskTime = 1s;
    world->restart(0);
    world->restart(1);
    world->run(4s);
    const auto holder = world->holders().at(0);
    auto step = gang(1);
    step.gang = false;
    world->submit(holder, simpleJob("j1", "queue", step));
    BOOST_REQUIRE(world->workers.startCount == 0U);
    while (world->workers.startCount == 0) {
        world->run(1ms);
    }
    world->workers.add("w1", {32'000, 65'536, 8}, "rack1");
    world->workers.leaving.insert("w0");
    world->run(world->workers.taskTime - std::chrono::milliseconds(offsetMs));
    world->instances[holder].engine->drain([] {});
    world->run(30s);
    BOOST_TEST(world->workers.startCount == 1U);
    BOOST_TEST((world->phase(1 - holder, "j1") == JobPhase::Completed));
}

struct RemovalCase
{
    const char *name;
    /// The holder is replaced this long after the job has ended.
    std::optional<Duration> replacedAfter;
    double responseLossRate;
};

auto operator<<(std::ostream &out, const RemovalCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<RemovalCase> removalCases{
    {"by the holder that ran the job", std::nullopt, 0},
    {"by a later holder", 1s, 0},
    {"while the holder is replaced", 5s, 0},
    {"with half of the responses lost", std::nullopt, 0.5},
};

// Guards against records that stay in the store permanently, and against a job that runs again because only its outcome was removed.
BOOST_DATA_TEST_CASE(recordsOfEndedJobsAreRemovedAfterTheRetentionTime, data::make(removalCases) * data::xrange(1, 6), c, seed)
{
    auto world = makeWorld(2, static_cast<std::uint64_t>(seed));
    world->outcomeRetention = 5s;
    world->restart(0);
    world->restart(1);
    world->run(3s);
    world->submit(0, simpleJob("j1", "queue", gang(2)));
    world->run(4s);
    BOOST_TEST((world->phase(1, "j1") == JobPhase::Completed));
    world->store.responseLossRate = c.responseLossRate;
    if (c.replacedAfter) {
        world->run(*c.replacedAfter - Duration(1s));
        world->restart(world->holders().at(0));
    }
    world->run(40s);
    // A holder that is replaced between the two removals leaves the second one to its successor.
    world->store.responseLossRate = 0;
    world->run(20s);
    for (const auto *topic : {"keyed.intake", "keyed.state"}) {
        std::map<std::string, std::string> newest;
        for (const auto &it : world->store.topics.at(topic).records) {
            newest[it.key] = it.value;
        }
        BOOST_TEST(newest["j1"].empty(), topic);
    }
    BOOST_TEST(!world->phase(0, "j1"));
    BOOST_TEST(!world->phase(1, "j1"));
    BOOST_TEST(world->workers.startCount == 2U);
}

struct FleetRestartCase
{
    const char *name;
    std::size_t jobs;
    std::uint32_t tasksPerJob;
    /// Another instance than the restarted ones held the lease, so that its time to live must pass first.
    bool foreignHolder;
    Duration limit;
    double bytesPerSecond = 2e6;
    bool sharesLink = false;
};

auto operator<<(std::ostream &out, const FleetRestartCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<FleetRestartCase> fleetRestartCases{
    {"a small backlog", 16, 10, false, 700ms},
    {"the backlog of a large fleet", 16, 600, false, 1s},
    {"the backlog of a large fleet, after another holder", 16, 600, true, 2200ms},
    {"the backlog of a large fleet over a link of 2 Mbit/s", 16, 600, false, 15s, 250'000, true},
};

// All instances lose power while thousands of tasks are recorded. Guards against an outage that grows with the number of records, because
// every instance reads all of them before one claims the lease, and that one reads them again.
BOOST_DATA_TEST_CASE(aRestartOfAllInstancesStartsWorkSoon, data::make(fleetRestartCases), c)
{
    auto world = std::make_unique<SimWorld>(3, 1);
    world->workers.add("w0", {32'000, 65'536, 8}, "rack0");
    world->store.bytesPerSecond = c.bytesPerSecond;
    world->store.sharesLink = c.sharesLink;
    for (std::size_t i = 0; i < c.jobs; ++i) {
        StepSpec step;
        step.count = c.tasksPerJob;
        step.taskDemand = {1000, 1000, 1};
        step.estimate = 2s;
        const auto id = std::string(1, "0123456789abcdef"[i % 16]) + std::to_string(100'000'000'000'000 + i);
        const auto spec = simpleJob(id, "queue", step);
        world->store.topics["keyed.intake"].records.push_back(submissionRecord(spec));
        // The last task of each job waits.
        for (std::uint32_t task = 0; task + 1 < c.tasksPerJob; ++task) {
            UnitRecord record;
            record.phase = UnitPhase::Done;
            record.run = 1;
            record.workers = {WorkerName("w0")};
            world->store.topics["keyed.state"].records.push_back(unitRecord({spec.id, 0, 0, task}, false, record));
        }
    }
    if (c.foreignHolder) {
        auto &topic = world->store.topics["keyed.state"];
        topic.epoch = 1;
        topic.records.push_back(holderRecord({topic.epoch, InstanceName("instance-9"), 7, false}));
    }
    for (std::size_t i = 0; i < (c.sharesLink ? 1 : world->instances.size()); ++i) {
        world->restart(i);
    }
    world->run(c.limit);
    BOOST_TEST(world->workers.startCount > 0U);
    world->run(30s);
    BOOST_TEST(world->workers.startCount == c.jobs);
    BOOST_TEST(world->workers.violations.empty());
}

struct SlowLinkCase
{
    const char *name;
    std::uint32_t tasks;
    double bytesPerSecond;
    /// Share of the starts that may get no response in time.
    double unanswered;
};

auto operator<<(std::ostream &out, const SlowLinkCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<SlowLinkCase> slowLinkCases{
    {"2 Mbit/s", 200, 250'000, 0.1},
    {"20 Mbit/s", 800, 2'500'000, 0.1},
    {"200 Mbit/s", 2000, 25'000'000, 0},
};

// Replays a job of many tasks that is submitted to an idle pool. Guards against a holder that sends all starts at once over a slow link, so
// that most of them reach their timeout and are sent again.
BOOST_DATA_TEST_CASE(aBurstOfStartsDoesNotExceedTheLink, data::make(slowLinkCases), c)
{
    auto world = std::make_unique<SimWorld>(1, 1);
    for (std::uint32_t i = 0; i < c.tasks / 50; ++i) {
        world->workers.add("w" + std::to_string(i), {64'000, 65'536, 64}, "rack0");
    }
    world->restart(0);
    world->run(3s);
    world->workers.startBytesPerSecond = c.bytesPerSecond;
    world->workers.taskTime = 30s;
    StepSpec step;
    step.count = c.tasks;
    step.taskDemand = {1000, 1000, 1};
    step.estimate = 30s;
    auto spec = simpleJob("j1", "queue", step);
    spec.payload = std::string(2000, 'x');
    world->submit(0, spec);
    const auto transfer = static_cast<double>(c.tasks) * static_cast<double>(startCommandBytes(spec.payload.size())) / c.bytesPerSecond;
    world->run(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(2 * transfer)) + Duration(2s));
    BOOST_TEST(world->workers.startCount == c.tasks);
    BOOST_TEST(world->workers.unansweredStarts <= c.unanswered * c.tasks);
    BOOST_TEST(world->holders().size() == 1U);
    BOOST_TEST(world->workers.violations.empty());
}

// Guards against a restarted instance that denies a job, or reports it as queued, because it has not read all records yet.
BOOST_DATA_TEST_CASE(aRestartedInstanceLooksUpJobsBeforeItHasReadAllRecords, data::xrange(1, 9), seed)
{
    auto world = makeWorld(2, static_cast<std::uint64_t>(seed));
    world->workers.taskTime = 20s;
    world->run(3s);
    world->submit(0, simpleJob("00000000000000a0", "queue", gang(2)));
    world->submit(0, simpleJob("00000000000000a1", "queue", gang(2)));
    world->run(2s);
    const auto other = 1 - world->holders().at(0);
    world->restart(other);
    world->run(200ms);
    for (const auto *job : {"00000000000000a0", "00000000000000a1"}) {
        std::optional<LookupResult> found;
        world->instances[other].engine->lookup(JobId(job), [&found](const LookupResult &result) { found = result; });
        world->run(300ms);
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST((found->phase == JobPhase::Running), job);
    }
    std::optional<LookupResult> unknown;
    world->instances[other].engine->lookup(JobId("00000000000000b0"), [&unknown](const LookupResult &result) { unknown = result; });
    world->run(100ms);
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST(!unknown->phase.has_value());
    world->run(5s);
    unknown.reset();
    world->instances[other].engine->lookup(JobId("00000000000000b0"), [&unknown](const LookupResult &result) { unknown = result; });
    world->run(100ms);
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST((!unknown->phase.has_value() && unknown->upToDate));
}

struct RetryCase
{
    const char *name;
    /// Times after the first attempt at which the store is found to be unreachable, and at which the caller retries.
    Duration lostAfter;
    Duration retriedAfter;
};

auto operator<<(std::ostream &out, const RetryCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<RetryCase> retryCases{
    {"while the first append is in progress", 100ms, 200ms},
    {"after the first append got no response", 100ms, 3s},
};

// Guards against reporting a job as refused although an earlier append of it may still be carried out.
BOOST_DATA_TEST_CASE(aRetryIsNotRefusedWhileTheFirstAttemptMayBeStored, data::make(retryCases), c)
{
    auto world = makeWorld(1, 1);
    world->run(3s);
    // The append does not reach the store, which the instance cannot distinguish from a lost response.
    world->store.down = true;
    const auto job = simpleJob("j1", "queue", gang(1));
    std::optional<SubmitOutcome> first;
    std::optional<SubmitOutcome> second;
    auto &engine = *world->instances[0].engine;
    engine.submit(job, [&](const SubmitResult &result) { first = result.outcome; });
    world->run(c.lostAfter);
    engine.recordStoreContact(false);
    world->run(c.retriedAfter - c.lostAfter);
    engine.submit(job, [&](const SubmitResult &result) { second = result.outcome; });
    world->run(3s);
    BOOST_TEST((first == SubmitOutcome::Unknown));
    BOOST_TEST((second == SubmitOutcome::Unknown));
}

enum class Fate {
    Stored,
    Refused,
    StoredLate,
    Lost,
};

enum class Asked {
    SameInstance,
    /// Restarted before it is asked.
    RestartedInstance,
    OtherInstance,
};

struct CancelCase
{
    const char *name;
    Fate submission;
    /// Time from the submission to the cancellation.
    Duration cancelAfter;
    Asked asked = Asked::SameInstance;
    bool repeated = false;
    bool holderReplaced = false;
};

auto operator<<(std::ostream &out, const CancelCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<CancelCase> cancelCases{
    {"stored", Fate::Stored, 1s},
    {"stored, at another instance", Fate::Stored, 1s, Asked::OtherInstance},
    {"refused", Fate::Refused, 1s},
    {"stored late, while the append is in progress", Fate::StoredLate, 300ms},
    {"stored late, after the append got no response", Fate::StoredLate, 1s},
    {"stored late, at the instance after a restart", Fate::StoredLate, 1s, Asked::RestartedInstance},
    {"stored late, at another instance", Fate::StoredLate, 1s, Asked::OtherInstance},
    {"stored late, and submitted again", Fate::StoredLate, 1s, Asked::SameInstance, true},
    {"stored late, and submitted again at another instance", Fate::StoredLate, 1s, Asked::OtherInstance, true},
    {"stored late, and a new holder", Fate::StoredLate, 1s, Asked::SameInstance, false, true},
    {"stored late, at another instance, and a new holder", Fate::StoredLate, 1s, Asked::OtherInstance, false, true},
    {"never stored", Fate::Lost, 1s},
    {"never stored, at another instance, and a new holder", Fate::Lost, 1s, Asked::OtherInstance, false, true},
};

// Guards against a job that runs after its cancellation was acknowledged, because its submission was stored only later.
BOOST_DATA_TEST_CASE(aJobDoesNotRunOnceItsCancellationIsAcknowledged, data::make(cancelCases), c)
{
    constexpr Duration lateBy = 5s;
    constexpr Duration never = 1h;
    const auto world = makeWorld(3, 1);
    world->outcomeRetention = 20s;
    for (std::size_t i = 0; i < 3; ++i) {
        world->restart(i);
    }
    world->run(4s);
    const auto holder = world->holders().at(0);
    const auto taker = (holder + 1) % 3;
    const auto asked = c.asked == Asked::OtherInstance ? (holder + 2) % 3 : taker;
    const auto submit = [&](std::size_t i) { world->submit(i, simpleJob("00000000000000a0", "queue", gang(4))); };
    const bool isLate = c.submission == Fate::StoredLate || c.submission == Fate::Lost;
    bool first = true;
    world->store.lateAppend = [&](const AppendRequest &request) -> std::optional<Duration> {
        const bool submits = request.topic == "keyed.intake" && request.records.front().key == "00000000000000a0";
        return submits && isLate && std::exchange(first, false) ? std::optional(c.submission == Fate::Lost ? never : lateBy) : std::nullopt;
    };
    const auto submittedAt = world->clock.now();
    if (c.submission == Fate::Refused) {
        world->instances[taker].engine->recordStoreContact(false);
    }
    submit(taker);
    world->run(c.cancelAfter);
    if (c.asked == Asked::RestartedInstance) {
        world->restart(taker);
        world->run(4s - c.cancelAfter);
    }
    std::optional<SubmitOutcome> outcome;
    for (int i = 0; i < 10 && outcome != SubmitOutcome::Accepted && outcome != SubmitOutcome::NoSuchJob; ++i) {
        world->instances[asked].engine->cancel(JobId("00000000000000a0"), [&outcome](SubmitOutcome o) { outcome = o; });
        world->run(300ms);
    }
    BOOST_REQUIRE((outcome == SubmitOutcome::Accepted || outcome == SubmitOutcome::NoSuchJob));
    const auto startsBefore = world->workers.startCount;
    BOOST_TEST(startsBefore == (c.submission == Fate::Stored ? 4U : 0U));
    if (c.repeated) {
        submit(asked);
    }
    if (c.holderReplaced) {
        world->kill(holder);
    }
    world->run(submittedAt + lateBy + 8s - world->clock.now());
    BOOST_TEST(world->workers.startCount == startsBefore);
    BOOST_TEST(world->workers.violations.empty());
    const bool exists = c.submission == Fate::Stored || c.submission == Fate::StoredLate || c.repeated;
    for (const auto i : {taker, (holder + 2) % 3}) {
        BOOST_TEST((world->phase(i, "00000000000000a0") == (exists ? std::optional(JobPhase::Cancelled) : std::nullopt)));
    }
    // Nothing of it stays in the store or in the memory of the instances.
    world->run(40s);
    std::map<std::string, std::string> newest;
    for (const auto &it : world->store.topics.at("keyed.intake").records) {
        newest[it.key] = it.value;
    }
    BOOST_TEST(newest["00000000000000a0"].empty());
    BOOST_TEST(newest["00000000000000a0/cancel"].empty());
    for (const auto i : {taker, (holder + 2) % 3}) {
        BOOST_TEST(world->instances[i].engine->instanceState().knownJobs == 0U);
    }
}

struct DenialCase
{
    const char *name;
    Fate submission;
    /// Time from the submission to the question.
    Duration askedAfter;
    /// Whether the answer may be that there is no such job.
    bool mayDeny;
};

auto operator<<(std::ostream &out, const DenialCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<DenialCase> denialCases{
    {"refused", Fate::Refused, 1s, true},
    {"the append is in progress", Fate::StoredLate, 300ms, false},
    {"the append got no response", Fate::StoredLate, 2s, false},
    {"the append can no longer be carried out", Fate::Lost, 14s, true},
};

// Guards against a caller that is told that there is no such job while its own submission may still be stored.
BOOST_DATA_TEST_CASE(aJobIsNotDeniedWhileItsSubmissionMayBeStored, data::make(denialCases), c)
{
    const auto world = makeWorld(2, 1);
    world->run(4s);
    const auto taker = 1 - world->holders().at(0);
    auto &engine = *world->instances[taker].engine;
    world->store.lateAppend = [&](const AppendRequest &request) -> std::optional<Duration> {
        const bool submits = request.topic == "keyed.intake" && request.records.front().key == "00000000000000a0";
        return submits ? std::optional(c.submission == Fate::Lost ? Duration(1h) : Duration(5s)) : std::nullopt;
    };
    if (c.submission == Fate::Refused) {
        engine.recordStoreContact(false);
    }
    world->submit(taker, simpleJob("00000000000000a0", "queue", gang(4)));
    world->run(c.askedAfter);
    std::optional<LookupResult> found;
    engine.lookup(JobId("00000000000000a0"), [&found](const LookupResult &result) { found = result; });
    world->run(100ms);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(!found->phase.has_value());
    BOOST_TEST(found->upToDate == c.mayDeny);
}

// Guards against an instance that reports few waiting jobs, or jobs that have ended as waiting, because it has not read all records yet.
BOOST_DATA_TEST_CASE(aRestartedInstanceReportsNoNumberOfWaitingJobsBeforeItHasReadThem, data::xrange(1, 9), seed)
{
    auto world = makeWorld(2, static_cast<std::uint64_t>(seed));
    world->run(4s);
    world->submit(0, simpleJob("00000000000000a0", "queue", gang(2)));
    world->run(5s);
    world->workers.taskTime = 60s;
    // The second gang waits for the workers that the first one fills.
    auto filling = gang(32);
    filling.estimate = 60s;
    world->submit(0, simpleJob("00000000000000a1", "queue", filling));
    world->run(1s);
    world->submit(0, simpleJob("00000000000000a2", "queue", filling));
    world->run(1s);
    const auto other = 1 - world->holders().at(0);
    world->restart(other);
    for (int i = 0; i < 50; ++i) {
        world->run(100ms);
        const auto n = world->instances[other].engine->waitingJobs(QueueName("queue"));
        BOOST_TEST((!n || *n == 1U), "reports " << n.value_or(0) << " after " << i << " tenths of a second");
    }
    BOOST_TEST((world->instances[other].engine->waitingJobs(QueueName("queue")) == 1U));
}

/// Adds two workers in each of two zones.
auto addZonedWorkers(SimWorld &world) -> void
{
    for (int i = 0; i < 4; ++i) {
        const auto name = "w" + std::to_string(i);
        world.workers.add(name, {32'000, 65'536, 8}, "rack" + std::to_string(i / 2));
        world.workers.machines.at(name).info.zone = ZoneName("zone" + std::to_string(i / 2));
    }
}

struct ZoneCase
{
    const char *name;
    /// What happens before the evacuation is stored, how long before, and what ends it later.
    std::function<void(SimWorld &)> begin;
    Duration before;
    std::function<void(SimWorld &)> end;
};

auto operator<<(std::ostream &out, const ZoneCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::function<void(SimWorld &)> nothing = [](SimWorld &) {};

const std::function<void(SimWorld &)> restartAll = [](SimWorld &world) {
    for (std::size_t i = 0; i < world.instances.size(); ++i) {
        world.restart(i);
    }
};

const std::vector<ZoneCase> zoneCases{
    {"same holder", nothing, 0s, nothing},
    {"new holder", [](SimWorld &w) { w.kill(w.holders().at(0)); }, 0s, restartAll},
    {"restart of all instances", restartAll, 0s, nothing},
    {"store down", [](SimWorld &w) { w.store.down = true; }, 0s, [](SimWorld &w) { w.store.down = false; }},
    {"store slow", [](SimWorld &w) { w.store.serviceTime = 300ms; }, 0s, [](SimWorld &w) { w.store.serviceTime = 4ms; }},
    {"store without its history", [](SimWorld &w) { w.store.retainedFrom = 1'000'000; }, 0s, nothing},
    // The read that is in progress still gets its response.
    {"operator's topic silent", [](SimWorld &w) { w.store.silentTopics.insert(SimWorld::operatorTopic); }, 1200ms,
     [](SimWorld &w) { w.store.silentTopics.clear(); }},
    {"operator's topic silent, new holder",
     [](SimWorld &w) {
         w.store.silentTopics.insert(SimWorld::operatorTopic);
         w.kill(w.holders().at(0));
     },
     1200ms,
     [](SimWorld &w) {
         w.store.silentTopics.clear();
         restartAll(w);
     }},
    {"starts wait for a slow link", [](SimWorld &w) { w.workers.startBytesPerSecond = 20'000; }, 0s,
     [](SimWorld &w) { w.workers.startBytesPerSecond = 0; }},
};

// Guards against starts in a zone that was evacuated for longer than the bound, against work that does not continue elsewhere, and against
// a revocation that goes unnoticed.
BOOST_DATA_TEST_CASE(nothingStartsInAnEvacuatedZone, data::xrange(1, 4) * data::make(zoneCases), seed, c)
{
    SimWorld world(3, static_cast<std::uint64_t>(seed));
    world.evacuationDelay = 5s;
    addZonedWorkers(world);
    world.workers.taskTime = 300ms;
    for (std::size_t i = 0; i < world.instances.size(); ++i) {
        world.restart(i);
    }
    world.run(4s);
    int jobs = 0;
    const auto submitFor = [&](Duration length) {
        for (const auto end = world.clock.now() + length; world.clock.now() < end;) {
            auto job = simpleJob("j" + std::to_string(jobs), "queue", gang(6));
            job.payload.resize(1000);
            const auto i = static_cast<std::size_t>(jobs++) % world.instances.size();
            if (world.instances[i].engine) {
                world.submit(i, job);
            }
            world.run(100ms);
        }
    };
    submitFor(2s);
    BOOST_REQUIRE(world.workers.lastStarts.size() == 2U);
    c.begin(world);
    submitFor(c.before);
    world.evacuate("zone0");
    submitFor(9s);
    c.end(world);
    submitFor(4s);
    BOOST_TEST((world.workers.lastStarts[ZoneName("zone1")] > world.clock.now() - 1s));
    world.evacuate("zone0", false);
    submitFor(4s);
    BOOST_TEST((world.workers.lastStarts[ZoneName("zone0")] > world.clock.now() - 1s));
    BOOST_TEST(world.workers.violations.empty());
}

// Guards against starts of a gang's members that are sent although another member may no longer start.
BOOST_AUTO_TEST_CASE(queuedStartsOfAGangAreDroppedTogether)
{
    SimWorld world(1, 1);
    world.evacuationDelay = 5s;
    addZonedWorkers(world);
    world.restart(0);
    world.run(4s);
    auto step = gang(4);
    step.taskDemand.accelerators = 8;
    auto job = simpleJob("j1", "queue", step);
    // The window has room for the first start only, and its response is late.
    job.payload.resize(20'000);
    world.workers.startBytesPerSecond = 100'000;
    world.submit(0, job);
    world.run(150ms);
    world.evacuate("zone1");
    world.run(3s);
    BOOST_TEST(world.workers.startCount == 1U);
    BOOST_TEST(world.workers.violations.empty());
}

// Guards against a holder that does not know which zones are evacuated.
BOOST_AUTO_TEST_CASE(anInstanceBecomesHolderOnlyWhenItKnowsTheEvacuatedZones)
{
    SimWorld world(1, 1);
    world.evacuationDelay = 5s;
    world.store.silentTopics.insert(SimWorld::operatorTopic);
    world.restart(0);
    world.run(10s);
    BOOST_TEST(world.holders().empty());
    world.store.silentTopics.clear();
    world.run(4s);
    BOOST_TEST(world.holders().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
