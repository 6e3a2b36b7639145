#include "earlier_records.h"
#include "fake_fleet.h"

#include <acaciarail/workflow/job_directory.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand workerCapacity{32'000, 65'536, 8};
/// Age up to which the number of waiting jobs may be outdated; from the platform's pages.
constexpr Duration longestDelay = 2s;
constexpr Duration checkInterval = 100ms;
/// Longer than the time after which an accepted job must be counted.
constexpr Duration delayLength = 6s;

auto makeJob(bool isGang) -> JobSpec
{
    StepSpec step;
    step.count = isGang ? 2 : 1;
    step.gang = isGang;
    step.maxPerWorker = 1;
    step.taskDemand = {1000, 1000, 1};
    step.estimate = 60s;
    return simpleJob("j1", "normal", step);
}

/// Two workers, whose runs take a minute.
auto makeFleet() -> FakeFleet
{
    FakeFleet fleet(1, 2, workerCapacity);
    fleet.duration = [](const TaskId &) { return 60s; };
    addQueue(*fleet.configuration, "normal", 1, 100);
    fleet.takeOver();
    fleet.run(1s);
    return fleet;
}

auto refuseStarts(FakeFleet &fleet, std::optional<StartOutcome> refusal) -> void
{
    for (auto &[name, worker] : fleet.workers) {
        worker.refusal = refusal;
    }
}

auto hasRun(const FakeFleet &fleet) -> bool
{
    return std::any_of(fleet.workers.begin(), fleet.workers.end(), [](const auto &it) { return !it.second.runs.empty(); });
}

/// Returns the directory of an instance that reads the stored records.
auto readDirectory(const FakeFleet &fleet, const JobSpec &job) -> JobDirectory
{
    JobDirectory out;
    out.apply(JobEntry{job.id, job});
    for (const auto &[key, value] : fleet.stored) {
        StateEntry entry;
        BOOST_REQUIRE(!decodeState({key, value}, entry));
        out.apply(entry);
    }
    return out;
}

/// Checks that a job counts as waiting until one of its tasks has run, and not for much longer.
class DirectoryCheck
{
public:
    DirectoryCheck(FakeFleet &fleet, JobSpec job)
        : m_fleet(fleet)
        , m_job(std::move(job))
    {
    }

    /// Advances the time.
    auto run(Duration length) -> void
    {
        for (Duration passed{}; passed < length; passed += checkInterval) {
            m_fleet.run(checkInterval);
            check();
        }
    }

    [[nodiscard]] auto hasBegun() const -> bool
    {
        return m_firstRunSeen.has_value();
    }

private:
    auto check() -> void
    {
        const auto now = m_fleet.now();
        if (!m_firstRunSeen && hasRun(m_fleet)) {
            m_firstRunSeen = now;
        }
        const auto directory = readDirectory(m_fleet, m_job);
        const auto waiting = directory.waitingJobs(m_job.queue);
        const auto phase = directory.phase(m_job.id);
        BOOST_REQUIRE(phase.has_value());
        if (!m_firstRunSeen) {
            BOOST_TEST(waiting == 1U, "no task has run");
            BOOST_TEST((phase == JobPhase::Queued));
        } else if (now > *m_firstRunSeen + longestDelay) {
            BOOST_TEST(waiting == 0U, "a task has run " << toMilliseconds(now - *m_firstRunSeen).count() << " ms ago");
            BOOST_TEST((phase == JobPhase::Running));
        }
    }

    FakeFleet &m_fleet;
    JobSpec m_job;
    std::optional<TimePoint> m_firstRunSeen;
};

} // namespace

BOOST_AUTO_TEST_SUITE(begunJobs)

/// What keeps an assigned job from beginning for a while.
struct DelayCase
{
    const char *name;
    bool isGang;
    /// Called before the job is submitted, and after delayLength.
    std::function<void(FakeFleet &)> begin;
    std::function<void(FakeFleet &)> end;
};

auto operator<<(std::ostream &out, const DelayCase &c) -> std::ostream &
{
    return out << c.name;
}

auto refusal(const char *name, StartOutcome outcome, bool isGang = false) -> DelayCase
{
    return {name, isGang, [outcome](FakeFleet &fleet) { refuseStarts(fleet, outcome); },
            [](FakeFleet &fleet) { refuseStarts(fleet, std::nullopt); }};
}

const std::vector<DelayCase> delayCases{
    refusal("no room", StartOutcome::InsufficientCapacity),
    refusal("superseded", StartOutcome::Superseded),
    refusal("late", StartOutcome::Late),
    refusal("declined", StartOutcome::Declined),
    refusal("another life of the worker", StartOutcome::OtherIncarnation),
    refusal("no response", StartOutcome::Unknown),
    refusal("not sent", StartOutcome::NotSent),
    refusal("a gang, declined", StartOutcome::Declined, true),
    refusal("a gang, no response", StartOutcome::Unknown, true),
    {"the holder is replaced before it sends the start", false, [](FakeFleet &fleet) { fleet.startQueueDelay = 60s; },
     [](FakeFleet &fleet) {
         fleet.startQueueDelay = {};
         fleet.takeOver();
     }},
    {"no worker can be reached any more", false,
     [](FakeFleet &fleet) {
         fleet.startQueueDelay = 500ms;
         fleet.startDelay = [](const StartCommand &) { return Duration(4s); };
     },
     [](FakeFleet &fleet) { fleet.startDelay = nullptr; }},
    {"the worker shuts down while the assignment is recorded", false,
     [](FakeFleet &fleet) {
         fleet.startQueueDelay = 200ms;
         fleet.announceShutdown("w0-0", 60s);
         refuseStarts(fleet, StartOutcome::Declined);
     },
     [](FakeFleet &fleet) { refuseStarts(fleet, std::nullopt); }},
    {"nothing", true, [](FakeFleet &) {}, [](FakeFleet &) {}},
};

// Guards against jobs that count as begun because they were assigned to a worker, though no task has started there.
BOOST_DATA_TEST_CASE(aJobWaitsUntilOneOfItsTasksHasStarted, data::make(delayCases), c)
{
    auto fleet = makeFleet();
    const auto job = makeJob(c.isGang);
    c.begin(fleet);
    fleet.submit(job);
    DirectoryCheck check(fleet, job);
    check.run(delayLength);
    c.end(fleet);
    check.run(30s);
    BOOST_TEST(check.hasBegun());
    BOOST_TEST(fleet.violations.empty());
}

struct BegunCase
{
    const char *name;
    bool isGang;
    /// Ends the runs of the job, or the term of the holder.
    std::function<void(FakeFleet &)> interrupt;
};

auto operator<<(std::ostream &out, const BegunCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<BegunCase> begunCases{
    {"its worker restarts", false, [](FakeFleet &fleet) { fleet.restart(fleet.starts.back().worker.str()); }},
    {"the worker of a member restarts", true, [](FakeFleet &fleet) { fleet.restart(fleet.starts.back().worker.str()); }},
    {"its worker is lost", false, [](FakeFleet &fleet) { fleet.lose(fleet.starts.back().worker.str(), true); }},
    {"its worker shuts down", false, [](FakeFleet &fleet) { fleet.announceShutdown(fleet.starts.back().worker.str(), 1s); }},
    {"the holder is replaced", false, [](FakeFleet &fleet) { fleet.takeOver(); }},
    {"the holder is replaced and the worker restarts", false,
     [](FakeFleet &fleet) {
         fleet.takeOver();
         fleet.run(2s);
         fleet.restart(fleet.starts.back().worker.str());
     }},
};

// Guards against jobs that count as waiting again because their run has ended, when none of their tasks can start anew.
BOOST_DATA_TEST_CASE(aJobThatHasBegunDoesNotWaitAgain, data::make(begunCases), c)
{
    auto fleet = makeFleet();
    const auto job = makeJob(c.isGang);
    fleet.submit(job);
    BOOST_REQUIRE(fleet.runUntil([&] { return hasRun(fleet); }, 2s));
    const auto firstRunSeen = fleet.now();
    refuseStarts(fleet, StartOutcome::Declined);
    // Before the holder has to record that the job has begun.
    fleet.run(100ms);
    c.interrupt(fleet);
    while (fleet.now() < firstRunSeen + 30s) {
        fleet.run(checkInterval);
        if (fleet.now() > firstRunSeen + longestDelay) {
            const auto directory = readDirectory(fleet, job);
            BOOST_TEST(directory.waitingJobs(job.queue) == 0U);
            BOOST_TEST((directory.phase(job.id) == JobPhase::Running));
        }
    }
    BOOST_TEST(fleet.violations.empty());
}

/// Records of the unit of a job of one task, in the order in which they are read.
struct RecordCase
{
    const char *name;
    std::vector<KeyedRecord> records;
    JobPhase phase;
    bool isAcceptanceRead = true;
};

auto operator<<(std::ostream &out, const RecordCase &c) -> std::ostream &
{
    return out << c.name;
}

const UnitId unitOfJob{JobId("j1"), 0, 0, 0};

auto record(UnitPhase phase, std::uint32_t run, bool hasBegun) -> KeyedRecord
{
    UnitRecord out;
    out.phase = phase;
    out.run = run;
    out.hasBegun = hasBegun;
    return unitRecord(unitOfJob, false, out);
}

/// A record as builds wrote it that did not record whether a run has begun.
auto earlierRecord(UnitPhase phase, std::uint32_t run) -> KeyedRecord
{
    auto out = record(phase, run, false);
    out.value = encode(EarlierUnitRecord{static_cast<std::uint64_t>(phase), run, 0, {}, {"w0"}, 0});
    return out;
}

const std::vector<RecordCase> recordCases{
    {"accepted", {}, JobPhase::Queued},
    {"assigned", {record(UnitPhase::Assigned, 1, false)}, JobPhase::Queued},
    {"assigned, the acceptance is not read yet", {record(UnitPhase::Assigned, 1, false)}, JobPhase::Queued, false},
    {"begun", {record(UnitPhase::Assigned, 1, false), record(UnitPhase::Assigned, 1, true)}, JobPhase::Running},
    {"refused", {record(UnitPhase::Assigned, 1, false), record(UnitPhase::Pending, 1, false)}, JobPhase::Queued},
    {"refused and assigned again", {record(UnitPhase::Pending, 1, false), record(UnitPhase::Assigned, 2, false)}, JobPhase::Queued},
    {"begun and lost", {record(UnitPhase::Assigned, 1, true), record(UnitPhase::Pending, 1, true)}, JobPhase::Running},
    {"done", {record(UnitPhase::Done, 1, true)}, JobPhase::Running},
    {"assigned by an earlier build", {earlierRecord(UnitPhase::Assigned, 1)}, JobPhase::Running},
    {"released by an earlier build before it began", {earlierRecord(UnitPhase::Pending, 0)}, JobPhase::Queued},
    {"assigned by an earlier build, then by this one",
     {earlierRecord(UnitPhase::Assigned, 1), record(UnitPhase::Assigned, 2, false)},
     JobPhase::Running},
    {"ended", {record(UnitPhase::Assigned, 1, false), outcomeRecord(JobId("j1"), JobPhase::Cancelled)}, JobPhase::Cancelled},
};

// Guards against a phase that the records do not show, and against records that one of two builds cannot read.
BOOST_DATA_TEST_CASE(theDirectoryTellsAnAssignmentFromAStart, data::make(recordCases), c)
{
    JobDirectory directory;
    if (c.isAcceptanceRead) {
        directory.apply(JobEntry{JobId("j1"), simpleJob("j1", "normal", StepSpec())});
    }
    for (const auto &it : c.records) {
        StateEntry entry;
        BOOST_REQUIRE(!decodeState(it, entry));
        directory.apply(entry);
    }
    BOOST_TEST((directory.phase(JobId("j1")) == c.phase));
    BOOST_TEST(directory.waitingJobs(QueueName("normal")) == (c.isAcceptanceRead && c.phase == JobPhase::Queued ? 1U : 0U));
}

// Guards against a record that an earlier build cannot read while both run side by side.
BOOST_AUTO_TEST_CASE(anEarlierBuildReadsTheRecordOfAUnitThatHasBegun)
{
    EarlierUnitRecord earlier;
    BOOST_TEST(!decode(record(UnitPhase::Assigned, 2, true).value, earlier));
    BOOST_TEST((earlier == EarlierUnitRecord{static_cast<std::uint64_t>(UnitPhase::Assigned), 2, 0, {}, {}, 0}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
