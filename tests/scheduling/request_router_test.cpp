#include <acaciarail/scheduling/request_router.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <random>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Scheduling;
namespace data = boost::unit_test::data;

namespace {

auto endpoint(const std::string &name, const std::string &zone = "bne-a") -> EndpointInfo
{
    EndpointInfo info;
    info.name = EndpointName(name);
    info.service = ServiceName("engraving");
    info.zone = ZoneName(zone);
    info.region = RegionName(zone.substr(0, 3));
    info.address = name + ":80";
    return info;
}

auto examplePolicy() -> RequestPolicy
{
    RequestPolicy policy;
    OrganisationPolicy organisation;
    organisation.name = OrganisationName("moreton");
    ServicePolicy service;
    service.name = ServiceName("engraving");
    policy.organisations = {organisation};
    policy.services = {service};
    return policy;
}

auto exampleSettings() -> RequestRouterSettings
{
    RequestRouterSettings settings;
    settings.zone = ZoneName("bne-a");
    settings.region = RegionName("bne");
    return settings;
}

/// A router and its commands, collected by kind.
struct Fixture
{
    RequestRouter router;
    TimePoint now{1s};
    std::vector<SendAttempt> sent;
    std::vector<RefuseRequest> refused;
    std::vector<DeliverResponse> delivered;
    std::vector<CancelAttempt> cancelled;

    explicit Fixture(const std::vector<EndpointInfo> &endpoints, const RequestPolicy &policy = examplePolicy(),
                     const RequestRouterSettings &settings = exampleSettings())
        : router(settings, 1)
    {
        router.setPolicy(policy, now);
        for (const auto &it : endpoints) {
            router.endpointListed(it, now);
        }
    }

    auto request(RequestId id, bool idempotent = true, Duration timeLeft = 2s) const -> RequestInfo
    {
        RequestInfo info;
        info.id = id;
        info.service = ServiceName("engraving");
        info.organisation = OrganisationName("moreton");
        info.caller = CallerName("shop");
        info.deadline = now + timeLeft;
        info.idempotent = idempotent;
        info.bodyBytes = 1000;
        return info;
    }

    auto decide() -> void
    {
        for (const auto &command : router.decide(now)) {
            if (const auto *send = std::get_if<SendAttempt>(&command)) {
                sent.push_back(*send);
            } else if (const auto *refuse = std::get_if<RefuseRequest>(&command)) {
                refused.push_back(*refuse);
            } else if (const auto *deliver = std::get_if<DeliverResponse>(&command)) {
                delivered.push_back(*deliver);
            } else {
                cancelled.push_back(std::get<CancelAttempt>(command));
            }
        }
    }

    auto submit(const RequestInfo &info) -> std::optional<Failure>
    {
        auto failure = router.submit(info, now);
        decide();
        return failure;
    }

    auto end(const SendAttempt &attempt, AttemptResultKind kind, std::uint32_t status = 200, Duration latency = 100ms) -> void
    {
        router.attemptEnded(attempt.request, attempt.attempt, {kind, status, latency}, now);
        decide();
    }

    /// Calls decide() at each nextDeadline() for \a d, as the owner does without other events.
    auto wait(Duration d) -> void
    {
        const auto until = now + d;
        while (const auto next = router.nextDeadline()) {
            if (*next > until) {
                break;
            }
            BOOST_REQUIRE((*next >= now));
            now = std::max(*next, now + 1us);
            decide();
        }
        now = std::max(now, until);
        decide();
    }

    auto sentTo(const std::string &name) const -> std::ptrdiff_t
    {
        return std::count_if(sent.begin(), sent.end(), [&name](const auto &it) { return it.endpoint.str() == name; });
    }
};

struct SubmissionCase
{
    std::string name;
    std::function<void(RequestInfo &)> change;
    Error expected;

    friend auto operator<<(std::ostream &out, const SubmissionCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const SubmissionCase submissionCases[] = {
    {"unknown service", [](RequestInfo &r) { r.service = ServiceName("retake"); }, Error::UnknownService},
    {"unknown organisation", [](RequestInfo &r) { r.organisation = OrganisationName("nobody"); }, Error::UnknownOrganisation},
    {"deadline passed", [](RequestInfo &r) { r.deadline = TimePoint(1s); }, Error::DeadlinePassed},
    {"number in use", [](RequestInfo &r) { r.id = 100; }, Error::DuplicateName},
    {"deadline shorter than any response", [](RequestInfo &r) { r.deadline = TimePoint(1s) + 20ms; }, Error::DeadlineUnreachable},
};

enum class Next : std::uint8_t {
    Retry,
    Deliver,
    Refuse,
};

struct ResultCase
{
    std::string name;
    AttemptResultKind kind;
    std::uint32_t status;
    bool idempotent;
    Next next;
    Error error = Error::Ok;
    Execution execution = Execution::NotRun;

    friend auto operator<<(std::ostream &out, const ResultCase &c) -> std::ostream &
    {
        return out << c.name << (c.idempotent ? " idempotent" : " non-idempotent");
    }
};

/// What the router does after the first attempt has ended.
const ResultCase resultCases[] = {
    {"answered", AttemptResultKind::Answered, 200, true, Next::Deliver},
    {"answered", AttemptResultKind::Answered, 200, false, Next::Deliver},
    {"client error", AttemptResultKind::Answered, 404, true, Next::Deliver},
    {"server error", AttemptResultKind::Answered, 500, true, Next::Retry},
    {"server error", AttemptResultKind::Answered, 500, false, Next::Deliver},
    {"not implemented", AttemptResultKind::Answered, 501, true, Next::Deliver},
    {"busy", AttemptResultKind::Busy, 503, true, Next::Retry},
    {"busy", AttemptResultKind::Busy, 503, false, Next::Retry},
    {"leaving", AttemptResultKind::Leaving, 503, false, Next::Retry},
    {"connect failed", AttemptResultKind::ConnectFailed, 0, false, Next::Retry},
    {"failed", AttemptResultKind::Failed, 0, true, Next::Retry},
    {"failed", AttemptResultKind::Failed, 0, false, Next::Refuse, Error::OutcomeUnknown, Execution::Unknown},
    {"timed out", AttemptResultKind::TimedOut, 0, true, Next::Retry},
    {"timed out", AttemptResultKind::TimedOut, 0, false, Next::Refuse, Error::OutcomeUnknown, Execution::Unknown},
};

struct ExhaustedCase
{
    AttemptResultKind first;
    AttemptResultKind others;
    Error error;
    Execution execution;

    friend auto operator<<(std::ostream &out, const ExhaustedCase &c) -> std::ostream &
    {
        return out << attemptResultName(c.first) << " then " << attemptResultName(c.others);
    }
};

/// Results of the attempts of an idempotent request that all end without a response.
const ExhaustedCase exhaustedCases[] = {
    {AttemptResultKind::Busy, AttemptResultKind::Busy, Error::Overloaded, Execution::NotRun},
    {AttemptResultKind::ConnectFailed, AttemptResultKind::ConnectFailed, Error::NoEndpoint, Execution::NotRun},
    {AttemptResultKind::Failed, AttemptResultKind::Busy, Error::Overloaded, Execution::Unknown},
    {AttemptResultKind::Busy, AttemptResultKind::Failed, Error::EndpointFailed, Execution::Unknown},
    {AttemptResultKind::ConnectFailed, AttemptResultKind::TimedOut, Error::Timeout, Execution::Unknown},
};

} // namespace

// Guards against accepting requests that can never be answered, and against refusals with a wrong error or execution.
BOOST_DATA_TEST_CASE(invalidSubmissionsAreRefused, data::make(submissionCases), c)
{
    Fixture f({endpoint("e1")});
    // After one response the router expects that a request takes 100 ms.
    BOOST_REQUIRE(!f.submit(f.request(1)));
    f.end(f.sent.at(0), AttemptResultKind::Answered);
    BOOST_REQUIRE(!f.submit(f.request(100)));
    auto info = f.request(2);
    c.change(info);
    const auto failure = f.submit(info);
    BOOST_REQUIRE(failure.has_value());
    BOOST_TEST(make_error_code(failure->error) == make_error_code(c.expected));
    BOOST_TEST((failure->execution == Execution::NotRun));
    BOOST_TEST(f.sent.size() == 2U);
}

// Guards against queueing requests of a service that has no endpoint, or only leaving ones.
BOOST_AUTO_TEST_CASE(submissionIsRefusedWithoutEndpoint)
{
    auto leaving = endpoint("e1");
    leaving.leaving = true;
    for (const auto &endpoints : {std::vector<EndpointInfo>{}, std::vector<EndpointInfo>{leaving}}) {
        Fixture f(endpoints);
        const auto failure = f.submit(f.request(1));
        BOOST_REQUIRE(failure.has_value());
        BOOST_TEST(make_error_code(failure->error) == make_error_code(Error::NoEndpoint));
    }
}

// Guards against a second run of a non-idempotent request, and against refusing a request that may be retried.
BOOST_DATA_TEST_CASE(firstResultDecidesOnTheRetry, data::make(resultCases), c)
{
    Fixture f({endpoint("e1"), endpoint("e2"), endpoint("e3")});
    BOOST_REQUIRE(!f.submit(f.request(1, c.idempotent)));
    f.end(f.sent.at(0), c.kind, c.status);
    f.wait(1s);
    BOOST_TEST(f.sent.size() == (c.next == Next::Retry ? 2U : 1U));
    BOOST_TEST(f.delivered.size() == (c.next == Next::Deliver ? 1U : 0U));
    BOOST_REQUIRE(f.refused.size() == (c.next == Next::Refuse ? 1U : 0U));
    if (c.next == Next::Retry) {
        BOOST_TEST(f.sent[1].endpoint != f.sent[0].endpoint);
        BOOST_TEST(f.sent[1].attempt == 2U);
    }
    if (c.next == Next::Refuse) {
        BOOST_TEST(make_error_code(f.refused[0].failure.error) == make_error_code(c.error));
        BOOST_TEST((f.refused[0].failure.execution == c.execution));
    }
}

// Guards against `not-run` for a request of which one attempt may have run, whatever the result of its last attempt.
BOOST_DATA_TEST_CASE(exhaustedAttemptsReportTheExecution, data::make(exhaustedCases), c)
{
    Fixture f({endpoint("e1"), endpoint("e2"), endpoint("e3"), endpoint("e4")});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    for (std::size_t n = 0; n < 3; ++n) {
        BOOST_REQUIRE(f.sent.size() == n + 1);
        f.end(f.sent[n], n == 0 ? c.first : c.others, 0, 100ms);
        f.wait(200ms);
    }
    BOOST_TEST(f.sent.size() == 3U);
    BOOST_REQUIRE(f.refused.size() == 1U);
    BOOST_TEST(make_error_code(f.refused[0].failure.error) == make_error_code(c.error));
    BOOST_TEST((f.refused[0].failure.execution == c.execution));
}

// Guards against a caller that waits past its deadline, and against `not-run` while an attempt is in progress.
BOOST_AUTO_TEST_CASE(deadlineEndsARequestInProgress)
{
    Fixture f({endpoint("e1")});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    f.wait(2s);
    BOOST_REQUIRE(f.refused.size() == 1U);
    BOOST_TEST((f.refused[0].failure.execution == Execution::Unknown));
    BOOST_TEST(f.cancelled.size() == 1U);
    // The response arrives after the refusal.
    f.end(f.sent[0], AttemptResultKind::Answered);
    BOOST_TEST(f.delivered.empty());
    BOOST_TEST(f.router.stats().lateResults == 1U);
    BOOST_TEST(f.router.stats().inFlight == 0U);
}

// Guards against requests that wait until their deadline has passed, although an earlier refusal lets the caller send them elsewhere.
BOOST_AUTO_TEST_CASE(waitingRequestIsRefusedBeforeItsDeadline)
{
    auto singleSlot = endpoint("e1");
    singleSlot.slots = 1;
    Fixture f({singleSlot});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    f.end(f.sent[0], AttemptResultKind::Answered);
    BOOST_REQUIRE(!f.submit(f.request(2, true, 10s)));
    BOOST_REQUIRE(!f.submit(f.request(3, false, 1s)));
    f.wait(990ms);
    BOOST_TEST(f.sent.size() == 2U);
    BOOST_REQUIRE(f.refused.size() == 1U);
    BOOST_TEST(f.refused[0].request == 3U);
    BOOST_TEST((f.refused[0].failure.execution == Execution::NotRun));
}

// Guards against repeated results that end a request twice or release a slot twice.
BOOST_AUTO_TEST_CASE(repeatedAndUnknownResultsAreIgnored)
{
    Fixture f({endpoint("e1")});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    BOOST_REQUIRE(!f.submit(f.request(2)));
    f.router.attemptEnded(1, 7, {AttemptResultKind::Failed, 0, 1ms}, f.now);
    f.router.attemptEnded(99, 1, {AttemptResultKind::Answered, 200, 1ms}, f.now);
    f.end(f.sent[0], AttemptResultKind::Answered);
    f.end(f.sent[0], AttemptResultKind::Answered);
    BOOST_TEST(f.delivered.size() == 1U);
    BOOST_TEST(f.router.stats().lateResults == 3U);
    BOOST_TEST(f.router.stats().inFlight == 1U);
}

// Guards against attempts for callers that have disconnected, and against responses to them.
BOOST_AUTO_TEST_CASE(cancelledRequestsEndWithoutResponse)
{
    auto singleSlot = endpoint("e1");
    singleSlot.slots = 1;
    Fixture f({singleSlot});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    BOOST_REQUIRE(!f.submit(f.request(2)));
    f.router.cancel(1, f.now);
    f.router.cancel(2, f.now);
    f.decide();
    f.end(f.sent[0], AttemptResultKind::Answered);
    f.wait(5s);
    BOOST_TEST(f.sent.size() == 1U);
    BOOST_TEST(f.cancelled.size() == 1U);
    BOOST_TEST((f.delivered.empty() && f.refused.empty()));
    BOOST_TEST(f.router.stats().queued == 0U);
}

// Guards against new attempts at an endpoint that announced that it leaves while the platform's list still shows it as live.
BOOST_AUTO_TEST_CASE(announcedDepartureOutweighsAStaleList)
{
    Fixture f({endpoint("e1"), endpoint("e2")});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    const auto leaving = f.sent[0].endpoint.str();
    f.end(f.sent[0], AttemptResultKind::Leaving, 503);
    for (RequestId id = 2; id < 20; ++id) {
        f.router.endpointListed(endpoint("e1"), f.now);
        f.router.endpointListed(endpoint("e2"), f.now);
        BOOST_REQUIRE(!f.submit(f.request(id)));
        f.end(f.sent.back(), AttemptResultKind::Answered);
        f.wait(100ms);
    }
    BOOST_TEST(f.sentTo(leaving) == 1);
    // The same name at another address is a new endpoint.
    auto replacement = endpoint(leaving);
    replacement.address = "elsewhere:80";
    f.router.endpointListed(replacement, f.now);
    for (RequestId id = 20; id < 40; ++id) {
        BOOST_REQUIRE(!f.submit(f.request(id)));
        f.end(f.sent.back(), AttemptResultKind::Answered);
    }
    BOOST_TEST(f.sentTo(leaving) > 1);
}

// Guards against dropping the response of an endpoint that is removed from the list or leaves during an attempt, and against new attempts
// at it.
BOOST_DATA_TEST_CASE(responseOfALeavingEndpointIsDelivered, data::make({false, true}), unlisted)
{
    Fixture f({endpoint("e1")});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    if (unlisted) {
        f.router.endpointUnlisted(EndpointName("e1"), f.now);
    } else {
        auto leaving = endpoint("e1");
        leaving.leaving = true;
        f.router.endpointListed(leaving, f.now);
    }
    BOOST_TEST(f.submit(f.request(2)).has_value());
    f.wait(500ms);
    f.end(f.sent[0], AttemptResultKind::Answered);
    BOOST_TEST(f.delivered.size() == 1U);
    BOOST_TEST(f.sent.size() == 1U);
}

// Guards against billed traffic between regions while the own zone or region has available capacity.
BOOST_AUTO_TEST_CASE(nearestEndpointsAreUsedFirst)
{
    Fixture f({endpoint("own", "bne-a"), endpoint("near", "bne-b"), endpoint("far", "tsv-a")});
    for (RequestId id = 1; id <= 4; ++id) {
        BOOST_REQUIRE(!f.submit(f.request(id)));
    }
    BOOST_TEST(f.sentTo("own") == 2);
    BOOST_TEST(f.sentTo("near") == 2);
    BOOST_REQUIRE(!f.submit(f.request(5)));
    BOOST_TEST(f.sent.size() == 4U);
    f.wait(20ms);
    BOOST_TEST(f.sentTo("far") == 1);
}

// Guards against exceeding the byte budget for other regions when the own region has no endpoint.
BOOST_AUTO_TEST_CASE(otherRegionsAreUsedWithinTheByteBudget)
{
    auto policy = examplePolicy();
    policy.services[0].crossRegionBytesPerSecond = 10'000;
    std::vector<EndpointInfo> endpoints;
    endpoints.reserve(20);
    for (int n = 0; n < 20; ++n) {
        endpoints.push_back(endpoint("far-" + std::to_string(n), "tsv-a"));
    }
    Fixture f(endpoints, policy);
    for (RequestId id = 1; id <= 200; ++id) {
        if (!f.submit(f.request(id, true, 1s))) {
            f.wait(25ms);
        }
    }
    // 5 s at 10,000 B/s plus the saved bytes of one second, and 1512 B for each request.
    BOOST_TEST(f.router.stats().crossRegionBytes <= 60'000U);
    BOOST_TEST(f.router.stats().crossRegionBytes >= 45'000U);
    BOOST_TEST(f.router.stats().crossRegionAttempts == f.sent.size());
}

// Guards against requests that hang on an endpoint whose connections stopped responding, and against delivering a second response
// afterwards.
BOOST_AUTO_TEST_CASE(unresponsiveEndpointIsBypassed)
{
    Fixture f({endpoint("e1"), endpoint("e2"), endpoint("e3")});
    RequestId id = 1;
    for (; id <= 60; ++id) {
        BOOST_REQUIRE(!f.submit(f.request(id)));
        f.now += 100ms;
        f.end(f.sent.back(), AttemptResultKind::Answered);
    }
    const auto before = f.sent.size();
    for (; id <= 66; ++id) {
        BOOST_REQUIRE(!f.submit(f.request(id, true, 5s)));
    }
    // All connections of the first endpoint stop responding; the other endpoints answer.
    const auto unresponsive = f.sent[before].endpoint;
    for (auto n = before; n < before + 6; ++n) {
        if (f.sent[n].endpoint != unresponsive) {
            f.end(SendAttempt(f.sent[n]), AttemptResultKind::Answered);
        }
    }
    const auto attemptsBefore = f.sentTo(unresponsive.str());
    f.wait(900ms);
    BOOST_TEST(f.sentTo(unresponsive.str()) == attemptsBefore);
    BOOST_TEST(f.router.stats().ejections == 1U);
    BOOST_REQUIRE(f.sent.size() > before + 6);
    const auto second = f.sent.back();
    BOOST_TEST(second.endpoint != unresponsive);
    f.end(second, AttemptResultKind::Answered);
    BOOST_TEST(f.delivered.back().request == second.request);
    BOOST_TEST(f.delivered.back().attempt == second.attempt);
    BOOST_TEST(f.cancelled.back().request == second.request);
    const auto delivered = f.delivered.size();
    f.router.attemptEnded(second.request, 1, {AttemptResultKind::Answered, 200, 3s}, f.now);
    f.decide();
    BOOST_TEST(f.delivered.size() == delivered);
}

// Guards against a request that hangs on one unresponsive connection of an endpoint that answers on its other connections.
BOOST_AUTO_TEST_CASE(requestOnAnUnresponsiveConnectionGetsASecondAttempt)
{
    Fixture f({endpoint("e1"), endpoint("e2")});
    RequestId id = 1;
    for (; id <= 60; ++id) {
        BOOST_REQUIRE(!f.submit(f.request(id)));
        f.now += 100ms;
        f.end(f.sent.back(), AttemptResultKind::Answered);
    }
    const auto waitingId = id++;
    BOOST_REQUIRE(!f.submit(f.request(waitingId, true, 5s)));
    const auto isForWaitingRequest = [waitingId](const SendAttempt &it) { return it.request == waitingId; };
    for (int n = 0; n < 15; ++n) {
        BOOST_REQUIRE(!f.submit(f.request(id++)));
        f.wait(100ms);
        for (std::size_t i = 0; i < f.sent.size(); ++i) {
            if (!isForWaitingRequest(f.sent[i])) {
                f.end(SendAttempt(f.sent[i]), AttemptResultKind::Answered);
            }
        }
    }
    BOOST_TEST(std::count_if(f.sent.begin(), f.sent.end(), isForWaitingRequest) == 2);
    BOOST_TEST(f.router.stats().ejections == 0U);
    const auto second = std::find_if(f.sent.rbegin(), f.sent.rend(), isForWaitingRequest);
    f.end(SendAttempt(*second), AttemptResultKind::Answered);
    BOOST_TEST(f.delivered.back().request == waitingId);
    BOOST_TEST(f.delivered.back().attempt == 2U);
    BOOST_TEST(f.cancelled.size() == 1U);
}

// Guards against a second run of a non-idempotent request because its endpoint stopped responding.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestStaysOnItsUnresponsiveEndpoint)
{
    Fixture f({endpoint("e1"), endpoint("e2")});
    for (RequestId id = 1; id <= 3; ++id) {
        BOOST_REQUIRE(!f.submit(f.request(id, false, 20s)));
    }
    f.wait(9s);
    BOOST_TEST(f.router.stats().ejections >= 1U);
    BOOST_TEST(f.sent.size() == 3U);
    BOOST_TEST(f.refused.empty());
}

// Guards against an attempt whose result is never reported and that occupies its slot and blocks its caller permanently.
BOOST_AUTO_TEST_CASE(unreportedAttemptIsEndedByTheRouter)
{
    auto policy = examplePolicy();
    policy.services[0].attemptTimeout = 1s;
    Fixture f({endpoint("e1")}, policy);
    BOOST_REQUIRE(!f.submit(f.request(1, false, 60s)));
    BOOST_TEST((f.sent[0].timeout == 1s));
    f.wait(2s);
    BOOST_REQUIRE(f.refused.size() == 1U);
    BOOST_TEST((f.refused[0].failure.execution == Execution::Unknown));
    BOOST_TEST(f.cancelled.size() == 1U);
}

// Guards against requests that wait for a service or an organisation that is no longer configured.
BOOST_AUTO_TEST_CASE(removedServiceRefusesWaitingRequests)
{
    auto singleSlot = endpoint("e1");
    singleSlot.slots = 1;
    Fixture f({singleSlot});
    BOOST_REQUIRE(!f.submit(f.request(1)));
    BOOST_REQUIRE(!f.submit(f.request(2)));
    f.router.setPolicy({}, f.now);
    f.decide();
    BOOST_REQUIRE(f.refused.size() == 1U);
    BOOST_TEST(f.refused[0].request == 2U);
    f.end(f.sent[0], AttemptResultKind::Answered);
    BOOST_TEST(f.delivered.size() == 1U);
}

namespace {

/// Random events of endpoints, callers and a stale list, with a record of the requests that may have run.
class RandomScenario
{
public:
    explicit RandomScenario(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < endpointCount; ++n) {
            m_endpoints.push_back(endpoint("e" + std::to_string(n), n % 3 == 0 ? "tsv-a" : "bne-a"));
        }
        m_fixture.emplace(m_endpoints);
    }

    auto run() -> void
    {
        for (int n = 0; n < 4000; ++n) {
            step();
        }
        m_fixture->wait(60s);
        checkCommands();
        BOOST_TEST(m_openRequests.empty());
        const auto stats = m_fixture->router.stats();
        BOOST_TEST(stats.inFlight == 0U);
        BOOST_TEST(stats.queued == 0U);
        BOOST_TEST(stats.extraAttempts <= std::max<double>(3.0, 0.1 * static_cast<double>(stats.firstAttempts) + 1e-6));
        BOOST_TEST(stats.submitted == stats.delivered + stats.refusedNotRun + stats.refusedUnknown + stats.cancelled);
        BOOST_TEST(stats.delivered > 100U);
    }

private:
    static constexpr std::size_t endpointCount = 9;

    struct OpenRequest
    {
        bool idempotent = true;
        std::uint32_t mayHaveRun = 0;
    };

    auto below(std::uint64_t n) -> std::uint64_t
    {
        return m_random() % n;
    }

    auto step() -> void
    {
        const auto action = below(100);
        if (action < 45) {
            submitOne();
        } else if (action < 85) {
            endOne();
        } else if (action < 88 && !m_openRequests.empty()) {
            const auto id = m_openRequests.begin()->first;
            m_fixture->router.cancel(id, m_fixture->now);
            m_openRequests.erase(id);
        } else if (action < 92) {
            changeEndpointList();
        } else {
            m_fixture->wait(std::chrono::milliseconds(below(200)));
        }
        m_fixture->decide();
        checkCommands();
    }

    auto submitOne() -> void
    {
        auto info = m_fixture->request(m_nextId++, below(3) != 0, std::chrono::milliseconds(50 + below(3000)));
        info.caller = CallerName(std::to_string(below(5)));
        info.priority = static_cast<Priority>(below(priorityCount));
        if (!m_fixture->router.submit(info, m_fixture->now)) {
            m_openRequests.emplace(info.id, OpenRequest{info.idempotent, 0});
        }
    }

    auto endOne() -> void
    {
        if (m_liveAttempts.empty()) {
            return;
        }
        const auto it = std::next(m_liveAttempts.begin(), static_cast<std::ptrdiff_t>(below(m_liveAttempts.size())));
        const auto attempt = *it;
        m_liveAttempts.erase(it);
        // An endpoint answers as often as it refuses or fails; most results of the kind Leaving are dropped to simulate lost results.
        constexpr std::array kinds{AttemptResultKind::Answered, AttemptResultKind::Answered, AttemptResultKind::Answered,
                                   AttemptResultKind::Answered, AttemptResultKind::Answered, AttemptResultKind::Busy,
                                   AttemptResultKind::Leaving,  AttemptResultKind::Failed,   AttemptResultKind::ConnectFailed,
                                   AttemptResultKind::TimedOut};
        const auto kind = kinds[below(kinds.size())];
        if (kind == AttemptResultKind::Leaving && below(10) != 0) {
            return;
        }
        const auto open = m_openRequests.find(attempt.request);
        const auto notRun =
            kind == AttemptResultKind::Busy || kind == AttemptResultKind::Leaving || kind == AttemptResultKind::ConnectFailed;
        if (open != m_openRequests.end() && notRun) {
            --open->second.mayHaveRun;
        }
        const auto status = below(10) == 0 ? 500U : 200U;
        m_fixture->router.attemptEnded(attempt.request, attempt.attempt, {kind, status, 100ms}, m_fixture->now);
    }

    auto changeEndpointList() -> void
    {
        auto &listed = m_endpoints[below(endpointCount)];
        if (below(3) == 0) {
            // Replaced by a new endpoint of the same name, which has not announced that it leaves.
            listed.address = listed.name.str() + ":" + std::to_string(m_nextId);
        }
        auto info = listed;
        if (below(3) == 0) {
            m_fixture->router.endpointUnlisted(info.name, m_fixture->now);
            m_unlisted.insert(info.name.str());
            return;
        }
        info.leaving = below(3) == 0;
        m_fixture->router.endpointListed(info, m_fixture->now);
        info.leaving ? static_cast<void>(m_unlisted.insert(info.name.str())) : static_cast<void>(m_unlisted.erase(info.name.str()));
    }

    auto checkCommands() -> void
    {
        for (const auto &it : m_fixture->sent) {
            BOOST_REQUIRE(!m_unlisted.contains(it.endpoint.str()));
            auto &open = m_openRequests.at(it.request);
            ++open.mayHaveRun;
            BOOST_REQUIRE((open.idempotent || open.mayHaveRun == 1));
            m_liveAttempts.push_back(it);
        }
        for (const auto &it : m_fixture->refused) {
            BOOST_REQUIRE((it.failure.execution != Execution::NotRun || m_openRequests.at(it.request).mayHaveRun == 0));
            BOOST_REQUIRE(m_openRequests.erase(it.request) == 1U);
        }
        for (const auto &it : m_fixture->delivered) {
            BOOST_REQUIRE(m_openRequests.erase(it.request) == 1U);
        }
        m_fixture->sent.clear();
        m_fixture->refused.clear();
        m_fixture->delivered.clear();
    }

    std::mt19937_64 m_random;
    std::vector<EndpointInfo> m_endpoints;
    std::optional<Fixture> m_fixture;
    std::map<RequestId, OpenRequest> m_openRequests;
    std::vector<SendAttempt> m_liveAttempts;
    std::set<std::string> m_unlisted;
    RequestId m_nextId = 1;
};

} // namespace

// Guards against any order of events that loses a request, answers it twice, runs a non-idempotent one twice, reports a false
// `not-run`, exceeds the retry budget or sends an attempt to an endpoint that is leaving or no longer listed.
BOOST_DATA_TEST_CASE(randomEventsKeepTheInvariants, data::xrange(20), seed)
{
    RandomScenario(static_cast<std::uint64_t>(seed)).run();
}
