#include "job_driver.h"

#include <acaciarail/scheduling/guarantee.h>
#include <acaciarail/scheduling/placement.h>
#include <acaciarail/scheduling/run_time_estimator.h>
#include <acaciarail/scheduling/worker_health.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace Acaciarail;
using namespace Acaciarail::Scheduling;
namespace data = boost::unit_test::data;

namespace {

const ZoneName zone("bne-a");
const Resources gpuWorker{8, 32, 65536};

struct CheckCase
{
    std::string name;
    std::vector<Guarantee> guarantees;
    std::uint32_t met;

    friend auto operator<<(std::ostream &out, const CheckCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

auto guaranteeOf(std::uint32_t tasks, std::uint32_t accelerators, Adjacency adjacency, std::uint32_t count) -> Guarantee
{
    return {zone, {}, {tasks, {accelerators, 4, 8192}, adjacency}, count};
}

// Four workers of 8 accelerators on two neighbouring racks.
const CheckCase checkCases[] = {
    {"exactly all racks", {guaranteeOf(16, 1, Adjacency::Rack, 2)}, 2},
    {"one rack too many", {guaranteeOf(16, 1, Adjacency::Rack, 3)}, 2},
    {"sum fits but the shape does not", {guaranteeOf(1, 5, Adjacency::Worker, 6)}, 4},
    {"over both racks", {guaranteeOf(32, 1, Adjacency::NeighbouringRacks, 1)}, 1},
    {"large shape next to small ones", {guaranteeOf(1, 4, Adjacency::Any, 4), guaranteeOf(16, 1, Adjacency::Rack, 1)}, 5},
    {"other zone", {{ZoneName("tsv-a"), {}, {99, {8, 1, 1}, Adjacency::Rack}, 9}}, 0},
    {"cores are the limit", {{zone, {}, {8, {1, 5, 1}, Adjacency::Worker}, 1}}, 0},
};

struct PlacementCase
{
    std::string name;
    Shape shape;
    bool fits;
    std::uint32_t workers;

    friend auto operator<<(std::ostream &out, const PlacementCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

// Workers 0 to 3 have 3, 8, 8 and 8 free accelerators; 0 and 1 are on the first rack, 2 and 3 on the second.
const PlacementCase placementCases[] = {
    {"tightest worker", {1, {3, 1, 1}, Adjacency::Any}, true, 1},
    {"one worker", {8, {1, 1, 1}, Adjacency::Worker}, true, 1},
    {"more than one worker", {9, {1, 1, 1}, Adjacency::Worker}, false, 0},
    {"tightest rack", {11, {1, 1, 1}, Adjacency::Rack}, true, 2},
    {"more than a rack", {17, {1, 1, 1}, Adjacency::Rack}, false, 0},
    {"neighbouring racks", {17, {1, 1, 1}, Adjacency::NeighbouringRacks}, true, 3},
    {"all that is free", {27, {1, 1, 1}, Adjacency::Any}, true, 4},
    {"more than is free", {28, {1, 1, 1}, Adjacency::Any}, false, 0},
    {"whole tasks only", {4, {5, 1, 1}, Adjacency::Any}, false, 0},
};

} // namespace

// Guards against publishing guarantees that cannot be met at the same time, and against refusing ones that can.
BOOST_DATA_TEST_CASE(guaranteesAreCheckedAsShapes, data::make(checkCases), c)
{
    OrganisationPolicy organisation;
    organisation.name = OrganisationName("retake");
    organisation.guarantees = c.guarantees;
    const auto check = checkGuarantees(Testing::makeWorkers(4, 2, gpuWorker, zone), std::vector{organisation}, zone);
    std::uint32_t guaranteed = 0;
    std::uint32_t missing = 0;
    for (const auto &it : c.guarantees) {
        guaranteed += it.zone == zone ? it.count : 0;
    }
    for (const auto &it : check.shortfall) {
        missing += it.guaranteed - it.met;
    }
    BOOST_TEST(guaranteed - missing == c.met, check.calculation);
    BOOST_TEST(check.fits == (missing == 0));
    BOOST_TEST((check.calculation.find("does not fit: retake") == std::string::npos) == check.fits);
}

// Guards against a placement that splits tasks, ignores adjacency or breaks up whole workers without need.
BOOST_DATA_TEST_CASE(gangsArePlacedTightly, data::make(placementCases), c)
{
    Fleet fleet;
    for (const auto &it : Testing::makeWorkers(4, 2, gpuWorker, zone)) {
        fleet.join(it);
    }
    fleet.addUsed(0, {5, 5, 5}, true);
    const auto places = findPlacement(fleet, c.shape, CapacityKind::Free);
    BOOST_TEST(places.has_value() == c.fits);
    BOOST_TEST((places ? places->size() : 0U) == c.workers);
    if (places) {
        BOOST_TEST(places->front().worker == (c.shape.adjacency == Adjacency::Worker ? 1U : 0U));
        BOOST_TEST(isAdjacent(fleet, *places, c.shape.adjacency));
    }
}

// Guards against racks that count as neighbours although a rack between them takes no part.
BOOST_AUTO_TEST_CASE(neighbouringRacksHaveNoGap)
{
    Fleet fleet;
    auto workers = Testing::makeWorkers(3, 1, gpuWorker, zone);
    workers[2].rackPosition = 3;
    for (const auto &it : workers) {
        fleet.join(it);
    }
    BOOST_TEST(findPlacement(fleet, {16, {1, 1, 1}, Adjacency::NeighbouringRacks}, CapacityKind::Free).has_value());
    BOOST_TEST(!findPlacement(fleet, {17, {1, 1, 1}, Adjacency::NeighbouringRacks}, CapacityKind::Free).has_value());
    fleet.addUsed(1, {8, 8, 8}, true);
    BOOST_TEST(!findPlacement(fleet, {9, {1, 1, 1}, Adjacency::NeighbouringRacks}, CapacityKind::Free).has_value());
}

// Guards against estimates that keep a wrong declaration, or mix organisations and kinds.
BOOST_AUTO_TEST_CASE(runTimesAreLearnedByKind)
{
    RunTimeEstimator estimator;
    const OrganisationName a("a");
    for (int i = 0; i < 10; ++i) {
        estimator.recordRunTime(a, "slow", 1h, i == 0 ? 10h : 4h);
        estimator.recordRunTime(a, "fast", 1h, 15min);
    }
    BOOST_TEST((estimator.typicalRunTime(a, "slow", 2h) == 8h));
    BOOST_TEST((estimator.typicalRunTime(a, "fast", 2h) == 30min));
    BOOST_TEST((estimator.typicalRunTime(OrganisationName("b"), "slow", 2h) == 2h));
    BOOST_TEST((estimator.cautiousRunTime(a, "slow", 1h) >= estimator.typicalRunTime(a, "slow", 1h)));
    BOOST_TEST((RunTimeEstimator::remainingRunTime(1h, 3h) > Duration::zero()));
}

// Guards against a worker that returns from quarantine to full load at once, or never.
BOOST_AUTO_TEST_CASE(quarantinedWorkerReturnsGradually)
{
    WorkerHealth health({});
    const WorkerName w("w");
    TimePoint now{};
    BOOST_TEST(!health.recordFailure(w, JobId("a"), now));
    BOOST_TEST(!health.recordFailure(w, JobId("a"), now));
    BOOST_TEST(!health.recordFailure(w, JobId("b"), now));
    BOOST_TEST(health.jobLimit(w).value_or(99) == 1U);
    BOOST_TEST(health.recordFailure(w, JobId("c"), now));
    BOOST_TEST(health.jobLimit(w).value_or(99) == 0U);
    now += 1min;
    BOOST_TEST(health.endQuarantines(now).size() == 1U);
    BOOST_TEST(health.jobLimit(w).value_or(99) == 1U);
    BOOST_TEST(health.recordFailure(w, JobId("d"), now));
    now += 1min;
    BOOST_TEST(health.endQuarantines(now).empty());
    now += 1min;
    BOOST_TEST(health.endQuarantines(now).size() == 1U);
    for (const auto limit : {1U, 2U, 4U, 8U}) {
        BOOST_TEST(health.jobLimit(w).value_or(99) == limit);
        health.recordSuccess(w, now);
    }
    BOOST_TEST(!health.jobLimit(w).has_value());
}
