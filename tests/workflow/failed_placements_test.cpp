#include "fake_fleet.h"

#include <acaciarail/workflow/failed_placements.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <ostream>
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

struct CoverCase
{
    const char *name;
    PlacementConstraints failed;
    PlacementConstraints next;
    bool isCovered = true;
};

auto operator<<(std::ostream &out, const CoverCase &c) -> std::ostream &
{
    return out << c.name;
}

auto constraints(std::optional<StepOccurrence> limitedStep = std::nullopt, std::uint32_t maxPerWorker = 1) -> PlacementConstraints
{
    return {ServiceName("service"), {1, 1000, 1000, 1, false, "", RackName(), maxPerWorker}, std::move(limitedStep)};
}

auto ofService(const char *service) -> PlacementConstraints
{
    auto out = constraints();
    out.service = ServiceName(service);
    return out;
}

const StepOccurrence firstStep{JobId("j1"), 0, 0};

const std::vector<CoverCase> coverCases{
    {"equal constraints", constraints(firstStep), constraints(firstStep)},
    {"another job at its limit", constraints(firstStep), constraints(StepOccurrence{JobId("j2"), 0, 0}), false},
    {"another step at its limit", constraints(firstStep), constraints(StepOccurrence{JobId("j1"), 0, 1}), false},
    {"another occurrence at its limit", constraints(firstStep), constraints(StepOccurrence{JobId("j1"), 1, 0}), false},
    {"a failure that no limit caused", constraints(), constraints(firstStep)},
    {"another shape", constraints(std::nullopt, 1), constraints(std::nullopt, 2), false},
    {"another service", ofService("busy"), ofService("idle"), false},
};

// Guards against a failure that is taken to concern units which can be placed, and against trying all units of a backlog.
BOOST_DATA_TEST_CASE(aFailureCoversTheUnitsThatCannotBePlacedEither, data::make(coverCases), c)
{
    FailedPlacements failed;
    BOOST_TEST(!failed.covers(c.next));
    failed.add(c.failed);
    BOOST_TEST(failed.covers(c.next) == c.isCovered);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
