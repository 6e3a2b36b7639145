#include "fake_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand workerCapacity{32'000, 65'536, 8};

/// Takes all accelerators of a worker, so that no two such tasks fit on one.
auto wholeWorkerStep(Duration estimate) -> StepSpec
{
    StepSpec step;
    step.count = 1;
    step.taskDemand = {1000, 1000, 8};
    step.estimate = estimate;
    return step;
}

/// One rack of two workers: `w0-0` of kind `a`, and `w0-1` of kind `b`.
auto makeFleet() -> FakeFleet
{
    FakeFleet fleet(1, 2, workerCapacity);
    fleet.duration = [](const TaskId &t) { return t.job.str() == "long" ? Duration(60s) : Duration(500ms); };
    addQueue(*fleet.configuration, "urgent", 0);
    addQueue(*fleet.configuration, "background", 2);
    fleet.workers.at(WorkerName("w0-1")).info.labels = {"b", "rack0"};
    fleet.list("w0-1");
    return fleet;
}

/// Submits a job that requires the label `b`.
auto submitLabelled(FakeFleet &fleet) -> void
{
    auto step = wholeWorkerStep(1s);
    step.requiredLabel = "b";
    fleet.submit(simpleJob("labelled", "urgent", step));
}

auto startsOfLabelled(const FakeFleet &fleet) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(fleet.starts.begin(), fleet.starts.end(), [](const auto &it) { return it.task.job.str() == "labelled"; }));
}

auto hasEvent(const FakeFleet &fleet, const std::string &name) -> bool
{
    return std::any_of(fleet.events.begin(), fleet.events.end(), [&](const auto &it) { return it.starts_with(name + ' '); });
}

/// Restarts `w0-1` under its name as a worker of kind \a kind.
auto restartAs(FakeFleet &fleet, const char *kind) -> void
{
    fleet.restart("w0-1");
    fleet.workers.at(WorkerName("w0-1")).info.labels = {kind, "rack0"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(changedWorker)

struct ChangeCase
{
    const char *name;
    /// Submits the labelled job, and makes `w0-1` a worker of kind `a` before the start.
    std::function<void(FakeFleet &)> changeBeforeStart;
    /// Whether a start that was decided is reported as withheld.
    bool withholdsStart = false;
};

auto operator<<(std::ostream &out, const ChangeCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ChangeCase> changeCases{
    {"while a preemption reserves it",
     [](FakeFleet &fleet) {
         auto step = wholeWorkerStep(60s);
         step.count = 2;
         fleet.submit(simpleJob("long", "background", step));
         fleet.run(500ms);
         submitLabelled(fleet);
         BOOST_REQUIRE(fleet.runUntil([&] { return hasEvent(fleet, "room-reserved"); }, 1s));
         restartAs(fleet, "a");
         fleet.list("w0-1");
     }},
    {"while its assignment is recorded, without a restart",
     [](FakeFleet &fleet) {
         fleet.storeUp = false;
         submitLabelled(fleet);
         fleet.run(100ms);
         fleet.workers.at(WorkerName("w0-1")).info.labels = {"a", "rack0"};
         fleet.list("w0-1");
         fleet.storeUp = true;
     },
     true},
    {"while its start is queued, without a restart",
     [](FakeFleet &fleet) {
         fleet.startQueueDelay = 300ms;
         submitLabelled(fleet);
         fleet.run(100ms);
         fleet.workers.at(WorkerName("w0-1")).info.labels = {"a", "rack0"};
         fleet.list("w0-1");
     },
     true},
    {"while a start without a response is repeated",
     [](FakeFleet &fleet) {
         fleet.commandDelay = [](bool grants) { return grants ? std::optional<Duration>(10s) : std::nullopt; };
         submitLabelled(fleet);
         BOOST_REQUIRE(fleet.runUntil([&] { return startsOfLabelled(fleet) > 0; }, 1s));
         fleet.commandDelay = {};
         restartAs(fleet, "a");
         fleet.list("w0-1");
         fleet.starts.clear();
     },
     true},
};

const std::vector<ChangeCase> staleEntryCases{
    {"only its report shows that it has restarted",
     [](FakeFleet &fleet) {
         fleet.run(1s);
         restartAs(fleet, "a");
         BOOST_REQUIRE(fleet.runUntil([&] { return hasEvent(fleet, "worker-reborn"); }, 10s));
         submitLabelled(fleet);
     }},
    {"an older entry is read again after the newer one",
     [](FakeFleet &fleet) {
         const auto older = fleet.workers.at(WorkerName("w0-1")).info;
         restartAs(fleet, "a");
         fleet.list("w0-1");
         fleet.run(100ms);
         const auto newer = std::exchange(fleet.workers.at(WorkerName("w0-1")).info, older);
         fleet.list("w0-1");
         fleet.workers.at(WorkerName("w0-1")).info = newer;
         submitLabelled(fleet);
     }},
};

auto checkStarts(const ChangeCase &c) -> void
{
    auto fleet = makeFleet();
    fleet.run(100ms);
    c.changeBeforeStart(fleet);
    fleet.run(3s);
    BOOST_TEST(startsOfLabelled(fleet) == 0U);
    BOOST_TEST(hasEvent(fleet, "start-ineligible") == c.withholdsStart);
    BOOST_TEST(fleet.stats().withheldStarts.at(static_cast<std::size_t>(StartObstacle::Label)) == (c.withholdsStart ? 1U : 0U));
    restartAs(fleet, "b");
    fleet.list("w0-1");
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("labelled").has_value(); }, 20s));
    BOOST_TEST((fleet.outcome("labelled") == JobPhase::Completed));
    BOOST_TEST(fleet.violations.empty());
}

// Guards against a start on a worker that had the required label when the unit was placed, and has lost it since.
BOOST_DATA_TEST_CASE(aStartOnAWorkerThatLostTheLabelIsNotSent, data::make(changeCases), c)
{
    checkStarts(c);
}

// Guards against a start on a worker by the labels that it had before it restarted under its name.
BOOST_DATA_TEST_CASE(aRestartedWorkerIsNotUsedByItsEarlierEntry, data::make(staleEntryCases), c)
{
    checkStarts(c);
}

// Guards against a worker that is of no use for good, and runs that are taken to go on there, after it has restarted with a lower number of
// its life, because its machine's clock was set back.
BOOST_AUTO_TEST_CASE(aWorkerThatRestartsWithALowerIncarnationIsUsedAgain)
{
    auto fleet = makeFleet();
    auto &worker = fleet.workers.at(WorkerName("w0-1"));
    worker.info.incarnation = 9;
    fleet.list("w0-1");
    fleet.run(100ms);
    // As estimated, so that the worker does not count as slow.
    fleet.duration = [](const TaskId &) { return Duration(1s); };
    submitLabelled(fleet);
    BOOST_REQUIRE(fleet.runUntil([&] { return startsOfLabelled(fleet) > 0; }, 1s));
    fleet.run(500ms);
    fleet.restart("w0-1");
    worker.info.incarnation = 5;
    fleet.list("w0-1");
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("labelled").has_value(); }, 60s));
    BOOST_TEST((fleet.outcome("labelled") == JobPhase::Completed));
    BOOST_TEST(startsOfLabelled(fleet) == 2U);
}

// Guards against a start by the labels of an entry that names no life, which another writer may have stored under the worker's key.
BOOST_AUTO_TEST_CASE(anEntryWithoutALifeDoesNotDescribeAWorkerThatReportsOne)
{
    auto fleet = makeFleet();
    restartAs(fleet, "a");
    fleet.list("w0-1");
    fleet.run(1s);
    auto &info = fleet.workers.at(WorkerName("w0-1")).info;
    const auto own = info;
    info.labels = {"b", "rack0"};
    info.incarnation = 0;
    fleet.list("w0-1");
    info = own;
    submitLabelled(fleet);
    fleet.run(3s);
    BOOST_TEST(startsOfLabelled(fleet) == 0U);
    BOOST_TEST(fleet.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
