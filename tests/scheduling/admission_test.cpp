#include <acaciarail/scheduling/admission.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <ostream>
#include <random>
#include <set>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Scheduling;
namespace data = boost::unit_test::data;

namespace {

struct EligibleCase
{
    ClassSet waiting;
    ClassCounts inFlight;
    ClassSet eligible;

    friend auto operator<<(std::ostream &out, const EligibleCase &c) -> std::ostream &
    {
        return out << c.waiting[0] << c.waiting[1] << c.waiting[2] << " with " << c.inFlight[0] << " " << c.inFlight[1] << " "
                   << c.inFlight[2];
    }
};

/// The limits are 0.5, 0.8 and 0.2 of the number of slots in use plus the one to be taken.
const EligibleCase eligibleCases[] = {
    {{true, true, true}, {0, 0, 0}, {true, true, true}},     {{true, true, true}, {5, 4, 0}, {false, true, true}},
    {{true, true, true}, {4, 3, 2}, {true, true, false}},    {{false, true, true}, {0, 8, 1}, {false, false, true}},
    {{true, false, true}, {5, 0, 4}, {false, false, true}},  {{true, false, false}, {9, 0, 0}, {true, false, false}},
    {{false, false, true}, {0, 0, 9}, {false, false, true}}, {{false, false, false}, {1, 1, 1}, {false, false, false}},
};

auto organisation(const char *name, std::uint32_t share) -> OrganisationPolicy
{
    OrganisationPolicy policy;
    policy.name = OrganisationName(name);
    policy.share = share;
    return policy;
}

/// Queues requests with consecutive numbers and serves them in a fixed number of slots.
struct Fixture
{
    Admission admission;
    RequestId nextId = 1;
    std::map<RequestId, QueuedRequest> requests;
    std::deque<Priority> inService;
    ClassCounts inFlight{};

    explicit Fixture(AdmissionSettings settings = {})
        : admission(settings)
    {
        admission.setPolicy({organisation("a", 3), organisation("b", 1)}, defaultClassLimits);
    }

    auto push(const char *organisationName, const std::string &caller, Priority priority = Priority::Normal) -> Admission::PushResult
    {
        const QueuedRequest request{nextId++, OrganisationName(organisationName), CallerName(caller), priority};
        requests.emplace(request.id, request);
        return admission.push(request);
    }

    auto pushMany(int count, const char *organisationName, const std::string &caller, Priority priority = Priority::Normal) -> void
    {
        for (int n = 0; n < count; ++n) {
            static_cast<void>(push(organisationName, caller, priority));
        }
    }

    /// Takes the next request when fewer than \a slots are in service, and otherwise ends the oldest one first.
    auto serve(std::size_t slots) -> const QueuedRequest &
    {
        if (inService.size() >= slots) {
            --inFlight[static_cast<std::size_t>(inService.front())];
            inService.pop_front();
        }
        const auto &request = requests.at(admission.pop(inFlight).value());
        inService.push_back(request.priority);
        ++inFlight[static_cast<std::size_t>(request.priority)];
        return request;
    }
};

struct ClassCase
{
    std::array<int, priorityCount> callers;
    std::array<double, priorityCount> least;
    std::array<double, priorityCount> most;

    friend auto operator<<(std::ostream &out, const ClassCase &c) -> std::ostream &
    {
        return out << c.callers[0] << " " << c.callers[1] << " " << c.callers[2];
    }
};

/// Number of callers of each class, all with more requests than can be served, and the fraction of 200 served requests that each class
/// gets.
const ClassCase classCases[] = {
    {{50, 2, 0}, {0.48, 0.48, 0.0}, {0.52, 0.52, 0.0}},     {{50, 0, 2}, {0.48, 0.0, 0.48}, {0.52, 0.0, 0.52}},
    {{0, 2, 50}, {0.0, 0.78, 0.18}, {0.0, 0.82, 0.22}},     {{0, 50, 2}, {0.0, 0.78, 0.18}, {0.0, 0.82, 0.22}},
    {{2, 50, 0}, {0.18, 0.78, 0.0}, {0.22, 0.82, 0.0}},     {{50, 2, 50}, {0.48, 0.28, 0.18}, {0.52, 0.32, 0.22}},
    {{10, 10, 10}, {0.38, 0.38, 0.18}, {0.42, 0.42, 0.22}}, {{0, 0, 5}, {0.0, 0.0, 1.0}, {0.0, 0.0, 1.0}},
};

} // namespace

// Guards against a class above its limit that keeps others waiting, and against a slot that stays idle because all classes are above
// their limits.
BOOST_DATA_TEST_CASE(classesAtTheirLimitAreSkipped, data::make(eligibleCases), c)
{
    BOOST_TEST((eligibleClasses(defaultClassLimits, c.waiting, c.inFlight) == c.eligible));
}

// Guards against a flood of one class, from many callers, that takes more than its limit from the few callers of the others.
BOOST_DATA_TEST_CASE(classesGetTheirShares, data::make(classCases), c)
{
    Fixture f({100'000, 1000, 100});
    for (std::size_t i = 0; i < priorityCount; ++i) {
        for (int n = 0; n < c.callers[i]; ++n) {
            f.pushMany(200, "a", "caller-" + std::to_string(i) + "-" + std::to_string(n), static_cast<Priority>(i));
        }
    }
    std::array<double, priorityCount> served{};
    constexpr int services = 200;
    for (int n = 0; n < services; ++n) {
        served[static_cast<std::size_t>(f.serve(50).priority)] += 1.0 / services;
    }
    for (std::size_t i = 0; i < priorityCount; ++i) {
        BOOST_TEST(served[i] >= c.least[i] - 1e-9);
        BOOST_TEST(served[i] <= c.most[i] + 1e-9);
    }
}

// Guards against an organisation that takes more than its share by having more callers or more requests.
BOOST_AUTO_TEST_CASE(organisationsAreServedByShare)
{
    Fixture f;
    f.pushMany(300, "a", "only");
    for (int n = 0; n < 20; ++n) {
        f.pushMany(40, "b", "caller-" + std::to_string(n));
    }
    std::map<std::string, int> served;
    for (int n = 0; n < 200; ++n) {
        ++served[f.serve(10).organisation.str()];
    }
    BOOST_TEST(served["a"] >= 148);
    BOOST_TEST(served["a"] <= 152);
}

// Guards against a large caller whose queue must empty before a small one is served.
BOOST_AUTO_TEST_CASE(smallCallerIsServedAheadOfALargeOne)
{
    Fixture f;
    f.pushMany(1000, "a", "large");
    for (int n = 0; n < 50; ++n) {
        f.serve(10);
    }
    f.pushMany(3, "a", "small");
    int position = 0;
    for (int left = 3; left > 0; ++position) {
        left -= f.serve(10).caller.str() == "small" ? 1 : 0;
    }
    BOOST_TEST(position <= 6);
}

// Guards against a small caller with two requests close together that waits for a round over a thousand busy callers.
BOOST_AUTO_TEST_CASE(idleCallerMaySendAFewRequestsAtOnce)
{
    Fixture f;
    static_cast<void>(f.push("a", "small"));
    f.serve(10);
    for (int round = 0; round < 15; ++round) {
        for (int n = 0; n < 100; ++n) {
            static_cast<void>(f.push("a", "busy-" + std::to_string(n)));
        }
        for (int n = 0; round < 14 && n < 100; ++n) {
            f.serve(10);
        }
    }
    f.pushMany(4, "a", "small");
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(f.serve(10).caller.str() == "small");
    }
}

// Guards against a flood of new callers that are all served before the callers that were active under normal load.
BOOST_AUTO_TEST_CASE(callersActiveBeforeAFloodKeepTheirCredit)
{
    Fixture f;
    for (int n = 0; n < 60; ++n) {
        static_cast<void>(f.push("a", "known-" + std::to_string(n % 20)));
        f.serve(10);
    }
    for (int n = 0; n < 1000; ++n) {
        f.pushMany(2, "a", "new-" + std::to_string(n));
    }
    for (int n = 0; n < 100; ++n) {
        f.serve(10);
    }
    f.pushMany(3, "a", "known-7");
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(f.serve(10).caller.str() == "known-7");
    }
}

// Guards against a new caller that waits until a flood of its class, delayed by the class limit, has caught up with another class.
BOOST_DATA_TEST_CASE(newCallerDoesNotWaitForAFloodOfItsClass, data::xrange(priorityCount), classIndex)
{
    const auto priority = static_cast<Priority>(classIndex);
    Fixture f({100'000, 1000, 100});
    for (int n = 0; n < 40; ++n) {
        f.pushMany(100, "a", "urgent-" + std::to_string(n), Priority::Urgent);
        f.pushMany(100, "a", "background-" + std::to_string(n), Priority::Background);
    }
    f.pushMany(500, "a", "leader", Priority::Normal);
    for (int n = 0; n < 400; ++n) {
        f.serve(20);
    }
    static_cast<void>(f.push("a", "new", priority));
    // At most one round over its class: no other caller of the class is served twice before it.
    std::map<std::string, int> served;
    for (bool done = false; !done;) {
        const auto &request = f.serve(20);
        done = request.caller.str() == "new";
        const auto times = ++served[request.caller.str()];
        BOOST_REQUIRE((request.priority != priority || times <= 1));
    }
}

// Guards against a caller that gets more than its share of the slots because its requests take long.
BOOST_AUTO_TEST_CASE(longRequestsAreCharged)
{
    Fixture f;
    f.pushMany(400, "a", "long");
    f.pushMany(400, "a", "short");
    std::map<std::string, int> served;
    for (int n = 0; n < 200; ++n) {
        const auto &request = f.serve(10);
        ++served[request.caller.str()];
        f.admission.adjustCharge(request.organisation, request.caller, request.caller.str() == "long" ? 1.6 : 0.4);
    }
    BOOST_TEST(served["short"] >= 3 * served["long"]);
}

// Guards against queues that grow with a flood, and against a flood that keeps small callers out of a full queue.
BOOST_AUTO_TEST_CASE(fullQueueEvictsFromTheCallerWithTheMostRequests)
{
    Fixture f({10, 8, 100});
    f.pushMany(8, "a", "large");
    BOOST_TEST(!f.push("a", "large").accepted);
    f.pushMany(2, "b", "other");
    const auto pushed = f.push("a", "small");
    BOOST_TEST(pushed.accepted);
    BOOST_REQUIRE(pushed.evicted.has_value());
    BOOST_TEST(f.requests.at(*pushed.evicted).caller.str() == "large");
    BOOST_TEST(*pushed.evicted == 8U);
    BOOST_TEST(!f.push("a", "large").accepted);
    BOOST_TEST(f.admission.size() == 10U);
}

// Guards against state that grows with every caller ever seen.
BOOST_AUTO_TEST_CASE(idleCallersAreRemoved)
{
    Fixture f;
    for (int n = 0; n < 100'000; ++n) {
        static_cast<void>(f.push("a", "caller-" + std::to_string(n)));
        f.pushMany(1, "a", "steady");
        f.serve(10);
        f.serve(10);
    }
    BOOST_TEST(f.admission.knownCallers() < 8192U);
}

// Guards against refusing a new caller because of the queue of a flood, and against accepting requests of the flooding caller that
// cannot be served in time.
BOOST_AUTO_TEST_CASE(expectedWaitDependsOnTheCallersOwnQueue)
{
    Fixture f;
    f.pushMany(500, "a", "large");
    const OrganisationName org("a");
    BOOST_TEST(f.admission.expectedRequestsAhead(org, CallerName("small"), Priority::Normal) == 0.0);
    BOOST_TEST(f.admission.expectedRequestsAhead(org, CallerName("large"), Priority::Normal) >= 490.0);
}

// Guards against requests that any order of operations loses, serves twice or leaves in the counts.
BOOST_DATA_TEST_CASE(everyRequestLeavesExactlyOnce, data::xrange(10), seed)
{
    std::mt19937_64 random(seed);
    Fixture f({50, 20, 100});
    std::set<RequestId> queued;
    const auto below = [&random](std::uint64_t n) { return random() % n; };
    for (int n = 0; n < 5000; ++n) {
        const auto action = below(10);
        if (action < 5) {
            const auto *organisationName = below(2) == 0 ? "a" : "unnamed";
            const auto pushed = f.push(organisationName, std::to_string(below(6)), static_cast<Priority>(below(priorityCount)));
            if (pushed.accepted) {
                queued.insert(f.nextId - 1);
            }
            if (pushed.evicted) {
                BOOST_REQUIRE(queued.erase(*pushed.evicted) == 1U);
            }
        } else if (action < 8) {
            const auto expected = f.admission.peek({});
            const auto id = f.admission.pop({});
            BOOST_REQUIRE((id == expected));
            BOOST_REQUIRE(id.has_value() == !queued.empty());
            BOOST_REQUIRE((!id || queued.erase(*id) == 1U));
        } else if (action < 9) {
            const auto id = 1 + below(f.nextId);
            BOOST_REQUIRE(f.admission.remove(id) == (queued.erase(id) == 1U));
        } else {
            f.admission.adjustCharge(OrganisationName("a"), CallerName(std::to_string(below(6))), 0.1 * static_cast<double>(below(100)));
        }
        BOOST_REQUIRE(f.admission.size() == queued.size());
        BOOST_REQUIRE(queued.size() <= 50U);
    }
}
