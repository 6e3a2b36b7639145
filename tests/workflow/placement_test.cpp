#include <acaciarail/workflow/placement.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <ostream>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand workerCapacity{32'000, 64'000, 8};

auto withFree(std::size_t rack, std::int64_t accelerators) -> Candidate
{
    return {rack, {4000 * accelerators, 8000 * accelerators, accelerators}, false, 0, false};
}

auto avoided(Candidate candidate) -> Candidate
{
    candidate.avoided = true;
    return candidate;
}

auto slow(Candidate candidate) -> Candidate
{
    candidate.slowness = 1;
    return candidate;
}

auto unreserved(Candidate candidate) -> Candidate
{
    candidate.unreserved = true;
    return candidate;
}

auto preferringSlow(PlacementRequest request) -> PlacementRequest
{
    request.speed = SpeedPreference::Slow;
    return request;
}

auto request(std::uint32_t tasks, std::int64_t accelerators, bool sameRack) -> PlacementRequest
{
    return {tasks, {1000, 1000, accelerators}, sameRack, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

struct PlaceCase
{
    const char *name;
    std::vector<Candidate> candidates;
    PlacementRequest request;
    /// Empty when the request cannot be placed.
    Assignment assignment;
};

auto operator<<(std::ostream &out, const PlaceCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<PlaceCase> placeCases{
    {"a single task goes to the fullest worker that has capacity",
     {withFree(0, 8), withFree(0, 2), withFree(0, 1)},
     request(1, 2, false),
     {1}},
    {"single tasks leave whole workers free", {withFree(0, 8), withFree(0, 3)}, request(3, 1, false), {1, 1, 1}},
    {"a gang goes to the rack with the least capacity left over",
     {withFree(0, 8), withFree(0, 8), withFree(1, 8), withFree(1, 4)},
     request(1, 8, true),
     {2}},
    {"a gang that needs one rack is not spread", {withFree(0, 8), withFree(1, 8)}, request(2, 8, true), {}},
    {"a gang that may be spread is", {withFree(0, 8), withFree(1, 8)}, request(2, 8, false), {0, 1}},
    {"an avoided worker is the last choice", {avoided(withFree(0, 1)), withFree(0, 8)}, request(1, 1, false), {1}},
    {"a slow worker is chosen before an avoided one", {avoided(withFree(0, 1)), slow(withFree(0, 8))}, request(1, 1, false), {1}},
    {"a rack of fast workers is chosen before a fuller slow one", {slow(withFree(0, 2)), withFree(1, 8)}, request(1, 2, true), {1}},
    {"the fast workers of a rack are used for a gang before the slow ones",
     {slow(withFree(0, 8)), withFree(0, 8), slow(withFree(0, 8)), withFree(0, 8)},
     request(2, 8, true),
     {1, 3}},
    {"a gang that is slow anyway leaves the fast workers free",
     {slow(withFree(0, 8)), withFree(0, 8), slow(withFree(0, 8))},
     request(2, 8, true),
     {0, 2}},
    {"work with time to spare leaves the fast workers free",
     {withFree(0, 8), slow(withFree(0, 8)), withFree(0, 8)},
     preferringSlow(request(1, 1, false)),
     {1}},
    {"work with time to spare prefers its own reservation to slow workers",
     {withFree(0, 8), unreserved(slow(withFree(0, 8)))},
     preferringSlow(request(1, 1, false)),
     {0}},
    {"no more tasks on a worker than the limit", {withFree(0, 8), withFree(0, 8)}, {2, {1000, 1000, 1}, false, 1}, {0, 1}},
    {"cores limit placement where accelerators do not",
     {{0, {500, 64'000, 8}, false, 0, false}, withFree(0, 8)},
     request(1, 1, false),
     {1}},
};

// Guards against placements that fragment workers and racks, or that prefer avoided workers, or those of the wrong speed.
BOOST_DATA_TEST_CASE(tasksArePlacedWhereTheLeastCapacityIsLeftOver, data::make(placeCases), c)
{
    const auto assignment = place(c.candidates, c.request);
    BOOST_TEST(assignment.has_value() == !c.assignment.empty());
    BOOST_TEST(assignment.value_or(Assignment{}) == c.assignment, boost::test_tools::per_element());
}

struct PreemptCase
{
    const char *name;
    std::vector<Candidate> candidates;
    std::vector<Victim> victims;
    PlacementRequest request;
    double maxLoss;
    bool possible;
    std::vector<std::size_t> stopped;
    double loss;
};

auto operator<<(std::ostream &out, const PreemptCase &c) -> std::ostream &
{
    return out << c.name;
}

constexpr double unlimitedLoss = std::numeric_limits<double>::infinity();

const std::vector<PreemptCase> preemptCases{
    {"the cheaper of two workers is cleared",
     {withFree(0, 0), withFree(0, 0)},
     {{10, {{0, workerCapacity}}}, {4, {{1, workerCapacity}}}},
     request(1, 8, false),
     unlimitedLoss,
     true,
     {1},
     4},
    {"a gang of victims frees all its workers at once",
     {withFree(0, 0), withFree(0, 0), withFree(0, 0)},
     {{5, {{0, workerCapacity}, {1, workerCapacity}}}, {4, {{2, workerCapacity}}}},
     request(2, 8, true),
     unlimitedLoss,
     true,
     {1, 0},
     9},
    {"free capacity is used first",
     {withFree(0, 8), withFree(0, 0)},
     {{1, {{1, workerCapacity}}}},
     request(1, 8, false),
     unlimitedLoss,
     true,
     {},
     0},
    {"the loss does not exceed its limit", {withFree(0, 0)}, {{10, {{0, workerCapacity}}}}, request(1, 8, false), 9, false, {}, 0},
    {"the rack with the smaller loss is cleared",
     {withFree(0, 0), withFree(0, 8), withFree(1, 0), withFree(1, 8)},
     {{10, {{0, workerCapacity}}}, {3, {{2, workerCapacity}}}},
     request(2, 8, true),
     unlimitedLoss,
     true,
     {1},
     3},
    {"no more single tasks are stopped than needed",
     {withFree(0, 4)},
     {{2, {{0, {4000, 8000, 1}}}}, {1, {{0, {4000, 8000, 1}}}}, {3, {{0, {4000, 8000, 1}}}}},
     request(1, 6, false),
     unlimitedLoss,
     true,
     {1, 0},
     3},
    {"without victims there is no capacity", {withFree(0, 4)}, {}, request(1, 8, false), unlimitedLoss, false, {}, 0},
};

// Guards against preemption that stops more work than is needed.
BOOST_DATA_TEST_CASE(preemptionLosesTheLeastWork, data::make(preemptCases), c)
{
    const auto plan = planPreemption(c.candidates, c.victims, c.request, c.maxLoss);
    BOOST_REQUIRE(plan.has_value() == c.possible);
    if (plan) {
        BOOST_TEST(plan->victims == c.stopped, boost::test_tools::per_element());
        BOOST_TEST(plan->loss == c.loss);
        BOOST_TEST(plan->assignment.size() == c.request.tasks);
    }
}

struct ReservationCase
{
    const char *name;
    std::vector<Candidate> candidates;
    PlacementRequest request;
    /// Empty when no group is large enough.
    Assignment reserved;
};

auto operator<<(std::ostream &out, const ReservationCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ReservationCase> reservationCases{
    {"the rack in which most of the gang already fits",
     {withFree(0, 0), withFree(0, 2), withFree(1, 8), withFree(1, 1)},
     request(2, 8, true),
     {2, 3}},
    {"only as many workers as the gang needs", {withFree(0, 4), withFree(0, 8), withFree(0, 0)}, request(1, 8, true), {1}},
    {"no rack is large enough", {withFree(0, 0), withFree(1, 0)}, request(2, 8, true), {}},
    {"a gang that may be spread reserves the workers of the pool with the most free capacity",
     {withFree(0, 0), withFree(1, 8)},
     request(1, 8, false),
     {1}},
    {"avoided workers are not reserved", {avoided(withFree(0, 8)), withFree(0, 0)}, request(1, 8, true), {1}},
};

// Guards against gangs that never find enough capacity because no workers, or useless ones, are reserved for them.
BOOST_DATA_TEST_CASE(workersAreReservedForAGang, data::make(reservationCases), c)
{
    const std::vector<Demand> capacities(c.candidates.size(), workerCapacity);
    const auto reserved = chooseReservedWorkers(c.candidates, capacities, c.request);
    BOOST_TEST(reserved.has_value() == !c.reserved.empty());
    BOOST_TEST(reserved.value_or(Assignment{}) == c.reserved, boost::test_tools::per_element());
}

struct QueueOrderCase
{
    const char *name;
    QueuePosition first;
    QueuePosition second;
};

auto operator<<(std::ostream &out, const QueueOrderCase &c) -> std::ostream &
{
    return out << c.name;
}

const TimePoint early{1s};
const TimePoint late{2s};

const std::vector<QueueOrderCase> queueOrderCases{
    {"a guarantee goes first", {true, false, 0, late}, {false, false, 0, early}},
    {"urgent before normal", {false, false, 0, late}, {false, false, 1, early}},
    {"older first", {false, false, 1, early}, {false, false, 1, late}},
    {"a unit that cannot finish in time goes last", {false, false, 2, late}, {false, true, 0, early}},
    {"a unit that is late anyway waits for one that can be in time", {false, false, 0, late}, {false, false, 0, early, true}},
    {"a unit that is late anyway goes before less urgent ones", {false, false, 0, late, true}, {false, false, 1, early}},
    {"a guarantee also covers a unit that cannot finish in time", {true, true, 0, late}, {false, false, 0, early}},
};

// Guards against a queue in which late or less urgent units delay others, and against urgent work that waits because it is late.
BOOST_DATA_TEST_CASE(waitingUnitsAreOrdered, data::make(queueOrderCases), c)
{
    BOOST_TEST(precedes(c.first, c.second));
    BOOST_TEST(!precedes(c.second, c.first));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
