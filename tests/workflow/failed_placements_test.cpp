#include "fake_fleet.h"

#include <acaciarail/workflow/failed_placements.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand workerCapacity{32'000, 65'536, 8};
/// A job that has nothing running for this long, while there is capacity for it, counts as lost; from the platform's rules.
constexpr Duration longestIdleWait = 3s;
constexpr Duration longRunTime = 120s;

auto makeStep(std::uint32_t count, std::uint32_t maxPerWorker = 0) -> StepSpec
{
    StepSpec step;
    step.count = count;
    step.taskDemand = {1000, 1000, 1};
    step.estimate = longRunTime;
    step.maxPerWorker = maxPerWorker;
    return step;
}

/// Two racks of four workers that are idle.
auto makeFleet() -> FakeFleet
{
    FakeFleet fleet(2, 4, workerCapacity);
    fleet.duration = [](const TaskId &) { return longRunTime; };
    addQueue(*fleet.configuration, "urgent", 0);
    addQueue(*fleet.configuration, "normal", 1);
    addQueue(*fleet.configuration, "background", 2);
    return fleet;
}

/// Returns the number of started tasks of a step.
auto startedTasks(const FakeFleet &fleet, const std::string &job, std::uint32_t step = 0, std::uint32_t occurrence = 0) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(fleet.starts.begin(), fleet.starts.end(), [&](const StartCommand &it) {
        return it.task.job.str() == job && it.task.step == step && it.task.occurrence == occurrence;
    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(failedPlacements)

/// Tasks beside a step that has as many tasks on each worker as it may have, while another one waits.
struct LimitCase
{
    const char *name;
    const char *queue;
    /// The step at its limit and the one beside it are of the same job.
    bool isSameJob = false;
    bool isSecondOccurrence = false;
    const char *organisation = "org";
    std::uint32_t limit = 1;
};

auto operator<<(std::ostream &out, const LimitCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<LimitCase> limitCases{
    {"another job", "normal"},
    {"another job after an urgent one", "urgent"},
    {"a job of another organisation", "normal", false, false, "other"},
    {"another step of the job", "normal", true},
    {"the next occurrence of the step", "normal", false, true},
    {"a limit of two", "normal", false, false, "org", 2},
};

// Guards against jobs that wait beside idle workers because a step of equal shape has reached its own limit per worker.
BOOST_DATA_TEST_CASE(aStepAtItsLimitPerWorkerHoldsUpNoOther, data::make(limitCases), c)
{
    constexpr std::uint32_t workerCount = 8;
    auto fleet = makeFleet();
    auto wide = simpleJob("j1", c.queue, makeStep(workerCount * c.limit + 1, c.limit));
    if (c.isSameJob) {
        wide.steps.push_back(makeStep(1, c.limit));
    }
    if (c.isSecondOccurrence) {
        wide.occurrences = 2;
        wide.firstRun = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now().time_since_epoch());
        wide.interval = 5s;
    }
    fleet.submit(wide);
    BOOST_REQUIRE(fleet.runUntil([&] { return startedTasks(fleet, "j1") == workerCount * c.limit; }, 2s));
    auto next = simpleJob("j2", "normal", makeStep(1, c.limit));
    next.organisation = OrganisationName(c.organisation);
    if (!c.isSameJob && !c.isSecondOccurrence) {
        fleet.run(1s);
        fleet.submit(next);
    }
    const auto hasStarted = [&] {
        if (c.isSecondOccurrence) {
            return startedTasks(fleet, "j1", 0, 1) == workerCount;
        }
        return c.isSameJob ? startedTasks(fleet, "j1", 1) == 1 : startedTasks(fleet, "j2") == 1;
    };
    BOOST_TEST(fleet.runUntil(hasStarted, longestIdleWait + (c.isSecondOccurrence ? 5s : 0s)));
    // The step itself stays within its limit.
    BOOST_TEST(startedTasks(fleet, "j1") == workerCount * c.limit);
    BOOST_TEST(fleet.violations.empty());
}

/// Jobs of an idle service beside equal ones that wait for a service whose workers are all in use.
struct ServiceCase
{
    const char *name;
    StepSpec step;
    std::uint32_t busyPriority = 1;
    std::uint32_t idlePriority = 1;
};

auto operator<<(std::ostream &out, const ServiceCase &c) -> std::ostream &
{
    return out << c.name;
}

auto asGang(StepSpec step, bool sameRack = false) -> StepSpec
{
    step.gang = true;
    step.sameRack = sameRack;
    return step;
}

const std::vector<ServiceCase> serviceCases{
    {"single tasks", makeStep(1)},
    {"single tasks after urgent ones", makeStep(1), 0, 1},
    {"background tasks after others", makeStep(1), 1, 2},
    {"tasks with a limit per worker", makeStep(2, 1)},
    {"gangs", asGang(makeStep(4))},
    {"gangs in one rack", asGang(makeStep(4), true)},
};

// Guards against jobs that wait beside the idle workers of their service because jobs of equal shape wait for another service.
BOOST_DATA_TEST_CASE(aFullServiceHoldsUpNoOther, data::make(serviceCases), c)
{
    constexpr std::uint32_t busyCapacity = 4 * 8;
    auto fleet = makeFleet();
    for (auto &[name, worker] : fleet.workers) {
        worker.info.service = ServiceName(worker.info.rack == RackName("rack0") ? "busy" : "idle");
    }
    addQueue(*fleet.configuration, "busy", c.busyPriority);
    fleet.configuration->queues.back().policy.service = ServiceName("busy");
    addQueue(*fleet.configuration, "idle", c.idlePriority);
    fleet.configuration->queues.back().policy.service = ServiceName("idle");
    fleet.takeOver();
    for (std::uint32_t i = 0; i <= busyCapacity / c.step.count; ++i) {
        fleet.submit(simpleJob("busy" + std::to_string(i), "busy", c.step));
    }
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.starts.size() == busyCapacity; }, 2s));
    fleet.run(1s);
    fleet.submit(simpleJob("idle", "idle", c.step));
    BOOST_TEST(fleet.runUntil([&] { return startedTasks(fleet, "idle") == c.step.count; }, longestIdleWait));
    BOOST_TEST(fleet.starts.size() == busyCapacity + c.step.count);
    BOOST_TEST(fleet.violations.empty());
}

struct ConstraintCase
{
    const char *name;
    /// Submits the unit `next` and another one of equal shape that cannot be placed and comes before it in the queue.
    std::function<void(FakeFleet &)> submit;
};

auto operator<<(std::ostream &out, const ConstraintCase &c) -> std::ostream &
{
    return out << c.name;
}

/// Lets a run fail on each worker, so that all of them are avoided for a while.
auto failOnAllWorkers(FakeFleet &fleet) -> void
{
    fleet.ending = [](const StartCommand &it) { return it.task.job == JobId("failing") ? EndKind::Failed : EndKind::Done; };
    fleet.duration = [](const TaskId &it) { return it.job == JobId("failing") ? 100ms : longRunTime; };
    fleet.submit(simpleJob("failing", "once", makeStep(8, 1)));
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.outcome("failing").has_value(); }, 2s));
}

auto withEstimate(Duration estimate) -> StepSpec
{
    auto step = makeStep(1);
    step.estimate = estimate;
    return step;
}

auto nearData(Duration estimate) -> StepSpec
{
    auto step = withEstimate(estimate);
    step.dataRack = RackName("rack0");
    return step;
}

const std::vector<ConstraintCase> constraintCases{
    {"a fresh unit that may not use avoided workers, before a less urgent one that may",
     [](FakeFleet &fleet) {
         failOnAllWorkers(fleet);
         fleet.submit(simpleJob("next", "background", makeStep(1)));
         fleet.run(2s);
         fleet.submit(simpleJob("other", "normal", makeStep(1)));
     }},
    {"a fresh unit that may not use avoided workers, before a late one that may",
     [](FakeFleet &fleet) {
         failOnAllWorkers(fleet);
         fleet.submit(simpleJob("next", "normal", withEstimate(500ms)));
         fleet.run(2200ms);
         fleet.submit(simpleJob("other", "normal", withEstimate(500ms)));
     }},
    {"a unit that waits for the rack of its data, before one that no longer does",
     [](FakeFleet &fleet) {
         auto filling = makeStep(4 * 8);
         filling.requiredLabel = "rack0";
         fleet.submit(simpleJob("filling", "normal", filling));
         fleet.run(1s);
         fleet.submit(simpleJob("next", "background", nearData(500ms)));
         fleet.submit(simpleJob("other", "normal", nearData(10s)));
     }},
    {"an urgent unit that waits for the rack of its data, before one that no longer does",
     [](FakeFleet &fleet) {
         auto filling = makeStep(4 * 8);
         filling.requiredLabel = "rack0";
         fleet.submit(simpleJob("filling", "urgent", filling));
         fleet.run(1s);
         fleet.submit(simpleJob("next", "normal", nearData(500ms)));
         fleet.submit(simpleJob("other", "urgent", nearData(10s)));
     }},
};

// Guards against a unit that waits beside workers it may use because one with stricter constraints could not be placed.
BOOST_DATA_TEST_CASE(aUnitWithStricterConstraintsHoldsUpNoOther, data::make(constraintCases), c)
{
    auto fleet = makeFleet();
    addQueue(*fleet.configuration, "once", 1, 1);
    fleet.takeOver();
    fleet.run(1s);
    const auto before = fleet.now();
    c.submit(fleet);
    const auto hasStarted = [&] { return startedTasks(fleet, "next") == 1; };
    BOOST_TEST(fleet.runUntil(hasStarted, longestIdleWait - std::min(longestIdleWait, fleet.now() - before - 1s)));
    BOOST_TEST(fleet.violations.empty());
}

/// A fleet of two services with random work, labels, limits, racks of data and failing workers.
class RandomFleet
{
public:
    RandomFleet(int seed, bool skipsFailedPlacements)
        : m_random(static_cast<std::uint64_t>(seed))
        , m_fleet(3, 4, workerCapacity)
    {
        std::size_t i = 0;
        for (auto &[name, worker] : m_fleet.workers) {
            worker.info.service = ServiceName(i % 3 == 2 ? "small" : "service");
            worker.failsAllRuns = i++ % 5 == 4;
        }
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            addQueue(*m_fleet.configuration, "large" + std::to_string(priority), priority, 100);
            addQueue(*m_fleet.configuration, "small" + std::to_string(priority), priority, 100);
            m_fleet.configuration->queues.back().policy.service = ServiceName("small");
        }
        m_fleet.duration = [](const TaskId &it) { return 500ms + 700ms * (it.index % 4) + 400ms * (it.step % 2); };
        m_fleet.settings.skipFailedPlacements = skipsFailedPlacements;
        // A gang that is skipped reserves no workers.
        m_fleet.settings.maxReservedGangs = 0;
        m_fleet.takeOver();
    }

    auto run() -> void
    {
        m_fleet.run(1s);
        for (int i = 0; i < 60; ++i) {
            // Bursts fill the fleet, and it empties in between.
            if (i % 20 < 12) {
                submit(i);
            }
            m_fleet.run(200ms);
        }
    }

    [[nodiscard]] auto starts() const -> std::vector<std::string>
    {
        std::vector<std::string> out;
        for (const auto &it : m_fleet.starts) {
            out.push_back(it.task.job.str() + '.' + std::to_string(it.task.step) + '.' + std::to_string(it.task.index) + " run "
                          + std::to_string(it.run) + " on " + it.worker.str());
        }
        return out;
    }

private:
    auto submit(int number) -> void
    {
        JobSpec job = simpleJob("j" + std::to_string(number), (m_random() % 3 == 0 ? "small" : "large") + std::to_string(m_random() % 3),
                                randomStep());
        if (m_random() % 3 == 0) {
            job.steps.push_back(randomStep());
        }
        m_fleet.submit(job);
    }

    auto randomStep() -> StepSpec
    {
        StepSpec step;
        step.count = 1 + m_random() % 12;
        step.taskDemand = {1000, 1000, m_random() % 4 == 0 ? 4 : 1};
        // Units do not overtake each other by their estimates.
        step.estimate = 1s * step.taskDemand.accelerators;
        step.gang = m_random() % 4 == 0;
        step.sameRack = step.gang && m_random() % 2 == 0;
        step.maxPerWorker = m_random() % 3 == 0 ? 1 : 0;
        step.dataRack = m_random() % 4 == 0 ? RackName("rack" + std::to_string(m_random() % 3)) : RackName();
        step.requiredLabel = m_random() % 5 == 0 ? "rack" + std::to_string(m_random() % 3) : "";
        return step;
    }

    std::mt19937_64 m_random;
    FakeFleet m_fleet;
};

// Guards against skipping a unit that could have been placed, whatever the placement depends on.
BOOST_DATA_TEST_CASE(skippingUnitsChangesNoPlacement, data::xrange(1, 21), seed)
{
    RandomFleet trying(seed, false);
    RandomFleet skipping(seed, true);
    trying.run();
    skipping.run();
    BOOST_TEST(skipping.starts().size() > 100);
    BOOST_TEST(skipping.starts() == trying.starts(), boost::test_tools::per_element());
}

struct CoverCase
{
    const char *name;
    std::function<void(PlacementConstraints &)> failed;
    std::function<void(PlacementConstraints &)> next;
    bool isCovered = true;
};

auto operator<<(std::ostream &out, const CoverCase &c) -> std::ostream &
{
    return out << c.name;
}

const auto unchanged = [](PlacementConstraints &) {};

auto atLimit(const char *job, std::uint32_t occurrence, std::uint32_t step) -> std::function<void(PlacementConstraints &)>
{
    return [=](PlacementConstraints &it) { it.limitedStep = {JobId(job), occurrence, step}; };
}

/// Sets one field, which makes the constraints looser or stricter than those with its default.
template<typename T>
auto with(T PlacementConstraints::*field, T value) -> std::function<void(PlacementConstraints &)>
{
    return [=](PlacementConstraints &it) { it.*field = value; };
}

const auto ofOtherService = [](PlacementConstraints &it) { it.requirements.service = ServiceName("other"); };
const auto withLimitOfTwo = [](PlacementConstraints &it) { it.requirements.maxPerWorker = 2; };
const auto urgent = with(&PlacementConstraints::priority, 0U);
const auto waitingForRack0 = with(&PlacementConstraints::onlyRack, RackName("rack0"));
const auto waitingForRack1 = with(&PlacementConstraints::onlyRack, RackName("rack1"));
const auto longer = with(&PlacementConstraints::estimate, Duration(10s));
const auto shortOfTime = with(&PlacementConstraints::shortOfTime, true);
const auto mayUseAvoided = with(&PlacementConstraints::mayUseAvoided, true);
const auto ignoresReservations = with(&PlacementConstraints::ignoresReservations, true);

const std::vector<CoverCase> coverCases{
    {"equal constraints", unchanged, unchanged},
    {"another service", unchanged, ofOtherService, false},
    {"another limit", unchanged, withLimitOfTwo, false},
    {"the same step at its limit", atLimit("j1", 0, 0), atLimit("j1", 0, 0)},
    {"another job at its limit", atLimit("j1", 0, 0), atLimit("j2", 0, 0), false},
    {"another step at its limit", atLimit("j1", 0, 0), atLimit("j1", 0, 1), false},
    {"another occurrence at its limit", atLimit("j1", 0, 0), atLimit("j1", 1, 0), false},
    {"a failure that no limit caused", unchanged, atLimit("j1", 0, 0)},
    {"less urgent", urgent, unchanged},
    {"more urgent", unchanged, urgent, false},
    {"waits for the rack of its data", unchanged, waitingForRack0},
    {"no longer waits for the rack of its data", waitingForRack0, unchanged, false},
    {"waits for another rack", waitingForRack0, waitingForRack1, false},
    {"takes longer", unchanged, longer},
    {"takes less time", longer, unchanged},
    {"has time to spare", shortOfTime, unchanged},
    {"is short of time", unchanged, shortOfTime, false},
    {"may not use avoided workers", mayUseAvoided, unchanged},
    {"may use avoided workers", unchanged, mayUseAvoided, false},
    {"heeds reservations", ignoresReservations, unchanged},
    {"ignores reservations", unchanged, ignoresReservations, false},
};

// Guards against a failure that is taken to concern units which can be placed, and against trying all units of a backlog.
BOOST_DATA_TEST_CASE(aFailureCoversTheUnitsThatCannotBePlacedEither, data::make(coverCases), c)
{
    PlacementConstraints failure;
    failure.requirements = {ServiceName("service"), 1, {1000, 1000, 1}, false, "", 1};
    failure.priority = 2;
    auto next = failure;
    c.failed(failure);
    c.next(next);
    FailedPlacements failed;
    BOOST_TEST(!failed.covers(next));
    failed.add(failure);
    BOOST_TEST(failed.covers(next) == c.isCovered);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
