#include <acaciarail/scheduling/endpoint_limits.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Scheduling;
namespace data = boost::unit_test::data;

namespace {

constexpr AttemptResult response{AttemptResultKind::Answered, 200, 100ms};

struct Fixture
{
    EndpointLimitSettings settings;
    std::mt19937_64 random{1};
    EndpointLimit limit{settings, 8};
    TimePoint now{1s};

    /// Starts one attempt and ends it after \a latency.
    auto attempt(AttemptResultKind kind, Duration latency = 100ms, std::uint32_t status = 200) -> void
    {
        const auto startedAt = now;
        limit.attemptStarted(now);
        now += latency;
        limit.attemptEnded(startedAt, {kind, status, latency}, now, random);
    }

    /// Starts as many concurrent attempts as the limit allows, until \a responses attempts were answered.
    auto fillToLimit(int responses, Duration latency = 100ms) -> void
    {
        for (int n = 0; n < responses;) {
            const auto startedAt = now;
            int started = 0;
            while (limit.mayStart(now)) {
                limit.attemptStarted(now);
                ++started;
            }
            now += latency;
            for (; started > 0; --started, ++n) {
                limit.attemptEnded(startedAt, {AttemptResultKind::Answered, 200, latency}, now, random);
            }
        }
    }
};

struct EjectionCase
{
    std::string name;
    AttemptResultKind kind;
    std::uint32_t status;
    Duration latency;
    bool ejects;

    friend auto operator<<(std::ostream &out, const EjectionCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const EjectionCase ejectionCases[] = {
    {"connection refused", AttemptResultKind::ConnectFailed, 0, 1ms, true},
    {"connection lost", AttemptResultKind::Failed, 0, 10ms, true},
    {"fast server error", AttemptResultKind::Answered, 500, 1ms, true},
    {"no response", AttemptResultKind::TimedOut, 0, 2s, true},
    {"short deadline of the caller", AttemptResultKind::TimedOut, 0, 50ms, false},
    {"busy", AttemptResultKind::Busy, 503, 2ms, false},
    {"response of the request's own fault", AttemptResultKind::Answered, 404, 5ms, false},
};

} // namespace

// Guards against endpoints that attract all requests because they fail fast, and against ejecting endpoints that work.
BOOST_DATA_TEST_CASE(consecutiveFailuresEject, data::make(ejectionCases), c)
{
    Fixture f;
    f.fillToLimit(20);
    for (std::uint32_t n = 0; n < f.settings.ejectAfterFailures; ++n) {
        f.attempt(c.kind, c.latency, c.status);
    }
    BOOST_TEST((f.limit.health() == EndpointHealth::Ejected) == c.ejects);
    BOOST_TEST(f.limit.mayStart(f.now + 1s) != c.ejects);
}

// Guards against an endpoint that fails most requests but is never ejected because no three consecutive ones fail.
BOOST_AUTO_TEST_CASE(frequentFailuresEject)
{
    Fixture f;
    f.fillToLimit(20);
    for (int n = 0; n < 100 && f.limit.health() == EndpointHealth::Healthy; ++n) {
        f.attempt(n % 3 == 0 ? AttemptResultKind::Answered : AttemptResultKind::Failed);
    }
    BOOST_TEST((f.limit.health() == EndpointHealth::Ejected));
}

// Guards against a recovered endpoint that gets its full load at once, and against several concurrent probes that all fail.
BOOST_AUTO_TEST_CASE(ejectedEndpointReturnsGradually)
{
    Fixture f;
    f.fillToLimit(50);
    for (int n = 0; n < 3; ++n) {
        f.attempt(AttemptResultKind::ConnectFailed, 1ms);
    }
    f.now = f.limit.nextDeadline().value();
    f.limit.update(f.now);
    BOOST_REQUIRE((f.limit.health() == EndpointHealth::Probing));
    f.limit.attemptStarted(f.now);
    BOOST_TEST(!f.limit.mayStart(f.now));
    f.limit.attemptEnded(f.now, response, f.now + 100ms, f.random);
    BOOST_TEST((f.limit.health() == EndpointHealth::Healthy));
    BOOST_TEST(f.limit.limit() <= 2.0);
    f.now += 1s;
    f.fillToLimit(40);
    BOOST_TEST(f.limit.limit() > 4.0);
}

// Guards against an endpoint that does not recover and costs a failed probe several times a second.
BOOST_AUTO_TEST_CASE(failedProbesLengthenTheEjection)
{
    Fixture f;
    for (int n = 0; n < 3; ++n) {
        f.attempt(AttemptResultKind::ConnectFailed, 1ms);
    }
    int probes = 0;
    while (f.now < TimePoint(120s)) {
        f.now = f.limit.nextDeadline().value();
        f.limit.update(f.now);
        f.attempt(AttemptResultKind::ConnectFailed, 1ms);
        ++probes;
    }
    BOOST_TEST(probes <= 20);
    BOOST_TEST((f.limit.nextDeadline().value() - f.now <= f.settings.maxEjection));
}

// Guards against attempts that accumulate on an endpoint whose connections have stopped responding.
BOOST_AUTO_TEST_CASE(unresponsiveEndpointIsEjected)
{
    Fixture f;
    f.fillToLimit(20);
    f.limit.attemptStarted(f.now);
    f.limit.attemptStarted(f.now);
    const auto due = f.limit.nextDeadline().value();
    BOOST_TEST((due == f.now + f.limit.progressTimeout()));
    BOOST_TEST(!f.limit.ejectIfUnresponsive(due - 1us, f.random));
    BOOST_TEST(f.limit.ejectIfUnresponsive(due, f.random));
    BOOST_TEST(!f.limit.mayStart(due));
}

// Guards against ejecting an endpoint that answers other requests, or has one long request, as unresponsive.
BOOST_AUTO_TEST_CASE(endpointThatAnswersOthersIsNotEjected)
{
    Fixture f;
    f.fillToLimit(20);
    const auto longRunningStart = f.now;
    f.limit.attemptStarted(longRunningStart);
    BOOST_TEST(!f.limit.ejectIfUnresponsive(f.now + 10s, f.random));
    f.limit.attemptStarted(longRunningStart);
    for (int n = 0; n < 100; ++n) {
        f.attempt(AttemptResultKind::Answered);
        BOOST_REQUIRE(!f.limit.ejectIfUnresponsive(f.now, f.random));
    }
}

// Guards against a slow endpoint that stays ejected although it has answered late.
BOOST_AUTO_TEST_CASE(lateResponseEndsTheEjectionOfAnUnresponsiveEndpoint)
{
    Fixture f;
    f.fillToLimit(20);
    const auto startedAt = f.now;
    f.limit.attemptStarted(startedAt);
    f.limit.attemptStarted(startedAt);
    f.now += 2s;
    BOOST_REQUIRE(f.limit.ejectIfUnresponsive(f.now, f.random));
    f.limit.attemptEnded(startedAt, {AttemptResultKind::Answered, 200, 2s}, f.now, f.random);
    BOOST_TEST((f.limit.health() == EndpointHealth::Healthy));
}

// Guards against a limit that ignores busy responses, so that most attempts under overload are wasted.
BOOST_AUTO_TEST_CASE(limitSettlesWhereBusyResponsesAreRare)
{
    Fixture f;
    constexpr std::uint32_t share = 3;
    int busy = 0;
    int responses = 0;
    while (responses < 2000) {
        const auto startedAt = f.now;
        std::uint32_t started = 0;
        while (f.limit.mayStart(f.now)) {
            f.limit.attemptStarted(f.now);
            ++started;
        }
        f.now += 100ms;
        for (std::uint32_t n = 0; n < started; ++n) {
            const auto isBusy = n >= share;
            f.limit.attemptEnded(startedAt, {isBusy ? AttemptResultKind::Busy : AttemptResultKind::Answered, 200, 100ms}, f.now, f.random);
            ++(isBusy ? busy : responses);
        }
    }
    BOOST_TEST(busy < responses / 20);
    BOOST_TEST(f.limit.limit() > 2.0);
    BOOST_TEST(f.limit.limit() < 5.0);
}

// Guards against an endpoint that queues instead of answering busy and is filled without bound.
BOOST_AUTO_TEST_CASE(risingLatencyLowersTheLimit)
{
    Fixture f;
    f.fillToLimit(100);
    const auto before = f.limit.limit();
    f.fillToLimit(50, 600ms);
    BOOST_TEST(f.limit.limit() < before / 2);
    BOOST_TEST(f.limit.limit() >= 1.0);
}

// Guards against a limit above the endpoint's slots.
BOOST_DATA_TEST_CASE(limitNeverExceedsTheSlots, data::make({1U, 2U, 8U, 64U}), slots)
{
    EndpointLimit limit({}, slots);
    std::mt19937_64 random(1);
    TimePoint now(1s);
    for (int n = 0; n < 500; ++n) {
        std::uint32_t started = 0;
        while (limit.mayStart(now)) {
            limit.attemptStarted(now);
            ++started;
        }
        BOOST_REQUIRE(started <= slots);
        for (; started > 0; --started) {
            limit.attemptEnded(now, response, now + 100ms, random);
        }
        now += 100ms;
    }
    BOOST_TEST(limit.limit() == slots);
}

// Guards against a high rate of attempts at an endpoint whose slots are all in use by other instances.
BOOST_AUTO_TEST_CASE(repeatedBusyResponsesPauseTheEndpoint)
{
    Fixture f;
    f.fillToLimit(20);
    int busy = 0;
    const auto end = f.now + 10s;
    while (f.now < end) {
        if (f.limit.mayStart(f.now)) {
            f.attempt(AttemptResultKind::Busy, 2ms);
            ++busy;
        }
        f.now += 1ms;
    }
    BOOST_TEST(busy < 40);
    BOOST_TEST(f.limit.mayStart(f.now + 2s));
}
