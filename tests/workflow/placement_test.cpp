#include <acaciarail/workflow/placement.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <ostream>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand whole{32'000, 64'000, 8};

auto withFree(std::size_t rack, std::int64_t accelerators) -> Candidate
{
    return {rack, {4000 * accelerators, 8000 * accelerators, accelerators}, false, false, false};
}

auto avoided(Candidate candidate) -> Candidate
{
    candidate.avoided = true;
    return candidate;
}

auto slow(Candidate candidate) -> Candidate
{
    candidate.slow = true;
    return candidate;
}

auto request(std::uint32_t tasks, std::int64_t accelerators, bool sameRack) -> PlacementRequest
{
    return {tasks, {1000, 1000, accelerators}, sameRack, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

struct PlaceCase
{
    const char *load;
    std::vector<Candidate> candidates;
    PlacementRequest request;
    /// Empty when there is no place.
    Assignment assignment;
};

auto operator<<(std::ostream &out, const PlaceCase &c) -> std::ostream &
{
    return out << c.load;
}

const std::vector<PlaceCase> placeCases{
    {"a single takes the fullest worker that has room", {withFree(0, 8), withFree(0, 2), withFree(0, 1)}, request(1, 2, false), {1}},
    {"singles leave whole workers free", {withFree(0, 8), withFree(0, 3)}, request(3, 1, false), {1, 1, 1}},
    {"a gang takes the rack with the least left over",
     {withFree(0, 8), withFree(0, 8), withFree(1, 8), withFree(1, 4)},
     request(1, 8, true),
     {2}},
    {"a gang that needs one rack does not spread", {withFree(0, 8), withFree(1, 8)}, request(2, 8, true), {}},
    {"a gang that may spread does", {withFree(0, 8), withFree(1, 8)}, request(2, 8, false), {0, 1}},
    {"an avoided worker is the last choice", {avoided(withFree(0, 1)), withFree(0, 8)}, request(1, 1, false), {1}},
    {"a slow worker is taken before an avoided one", {avoided(withFree(0, 1)), slow(withFree(0, 8))}, request(1, 1, false), {1}},
    {"a rack of fast workers is taken before a fuller slow one", {slow(withFree(0, 2)), withFree(1, 8)}, request(1, 2, true), {1}},
    {"at most so many on a worker", {withFree(0, 8), withFree(0, 8)}, {2, {1000, 1000, 1}, false, 1}, {0, 1}},
    {"cores bind where accelerators do not", {{0, {500, 64'000, 8}, false, false, false}, withFree(0, 8)}, request(1, 1, false), {1}},
};

BOOST_DATA_TEST_CASE(tasksGoWhereTheLeastIsLeftOver, data::make(placeCases), c)
{
    const auto seats = place(c.candidates, c.request);
    BOOST_TEST(seats.has_value() == !c.assignment.empty());
    BOOST_TEST(seats.value_or(Assignment{}) == c.assignment, boost::test_tools::per_element());
}

struct PreemptCase
{
    const char *load;
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
    return out << c.load;
}

constexpr double anyLoss = std::numeric_limits<double>::infinity();

const std::vector<PreemptCase> preemptCases{
    {"the cheaper of two workers is cleared",
     {withFree(0, 0), withFree(0, 0)},
     {{10, {{0, whole}}}, {4, {{1, whole}}}},
     request(1, 8, false),
     anyLoss,
     true,
     {1},
     4},
    {"a gang of victims frees all its workers at once",
     {withFree(0, 0), withFree(0, 0), withFree(0, 0)},
     {{5, {{0, whole}, {1, whole}}}, {4, {{2, whole}}}},
     request(2, 8, true),
     anyLoss,
     true,
     {1, 0},
     9},
    {"free room is used first", {withFree(0, 8), withFree(0, 0)}, {{1, {{1, whole}}}}, request(1, 8, false), anyLoss, true, {}, 0},
    {"the loss is bounded", {withFree(0, 0)}, {{10, {{0, whole}}}}, request(1, 8, false), 9, false, {}, 0},
    {"the rack with the smaller loss",
     {withFree(0, 0), withFree(0, 8), withFree(1, 0), withFree(1, 8)},
     {{10, {{0, whole}}}, {3, {{2, whole}}}},
     request(2, 8, true),
     anyLoss,
     true,
     {1},
     3},
    {"singles are stopped only as far as needed",
     {withFree(0, 4)},
     {{2, {{0, {4000, 8000, 1}}}}, {1, {{0, {4000, 8000, 1}}}}, {3, {{0, {4000, 8000, 1}}}}},
     request(1, 6, false),
     anyLoss,
     true,
     {1, 0},
     3},
    {"without victims there is no room", {withFree(0, 4)}, {}, request(1, 8, false), anyLoss, false, {}, 0},
};

BOOST_DATA_TEST_CASE(preemptionThrowsTheLeastWorkAway, data::make(preemptCases), c)
{
    const auto plan = planPreemption(c.candidates, c.victims, c.request, c.maxLoss);
    BOOST_REQUIRE(plan.has_value() == c.possible);
    if (plan) {
        BOOST_TEST(plan->victims == c.stopped, boost::test_tools::per_element());
        BOOST_TEST(plan->loss == c.loss);
        BOOST_TEST(plan->assignment.size() == c.request.tasks);
    }
}

struct HoldCase
{
    const char *load;
    std::vector<Candidate> candidates;
    PlacementRequest request;
    /// Empty when no group is large enough.
    Assignment held;
};

auto operator<<(std::ostream &out, const HoldCase &c) -> std::ostream &
{
    return out << c.load;
}

const std::vector<HoldCase> holdCases{
    {"the rack in which most of the gang already fits",
     {withFree(0, 0), withFree(0, 2), withFree(1, 8), withFree(1, 1)},
     request(2, 8, true),
     {2, 3}},
    {"only as many workers as the gang needs", {withFree(0, 4), withFree(0, 8), withFree(0, 0)}, request(1, 8, true), {1}},
    {"no rack is large enough", {withFree(0, 0), withFree(1, 0)}, request(2, 8, true), {}},
    {"a gang that may spread keeps the freest of the pool", {withFree(0, 0), withFree(1, 8)}, request(1, 8, false), {1}},
    {"avoided workers are not kept", {avoided(withFree(0, 8)), withFree(0, 0)}, request(1, 8, true), {1}},
};

BOOST_DATA_TEST_CASE(workersAreKeptForAGang, data::make(holdCases), c)
{
    const std::vector<Demand> capacities(c.candidates.size(), whole);
    const auto held = chooseReservedWorkers(c.candidates, capacities, c.request);
    BOOST_TEST(held.has_value() == !c.held.empty());
    BOOST_TEST(held.value_or(Assignment{}) == c.held, boost::test_tools::per_element());
}

struct OrderCase
{
    const char *load;
    QueuePosition first;
    QueuePosition second;
};

auto operator<<(std::ostream &out, const OrderCase &c) -> std::ostream &
{
    return out << c.load;
}

const TimePoint early{1s};
const TimePoint late{2s};

const std::vector<OrderCase> orderCases{
    {"a guarantee goes first", {true, false, 0, late}, {false, false, 0, early}},
    {"urgent before normal", {false, false, 0, late}, {false, false, 1, early}},
    {"older first", {false, false, 1, early}, {false, false, 1, late}},
    {"what is too late for any use goes last", {false, false, 2, late}, {false, true, 0, early}},
    {"a guarantee holds for what is late, too", {true, true, 0, late}, {false, false, 0, early}},
};

BOOST_DATA_TEST_CASE(waitingUnitsAreOrdered, data::make(orderCases), c)
{
    BOOST_TEST(precedes(c.first, c.second));
    BOOST_TEST(!precedes(c.second, c.first));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
