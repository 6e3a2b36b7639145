#include <acaciarail/scheduling/request_router.h>

#include "endpoint_pool.h"
#include <acaciarail/scheduling/retry_budget.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace Acaciarail::Scheduling {

using Detail::Endpoint;
using Detail::EndpointPool;
using Detail::EndpointPtr;
using Detail::Locality;

namespace {

constexpr double latencySmoothing = 0.02;
/// A request is accepted only if at least this multiple of the mean latency is left after its expected wait; with less time left, most
/// responses would arrive after the deadline.
constexpr double requiredLatencyMultiple = 0.5;
/// A request that had to wait is sent only while the mean latency plus this multiple of its mean deviation is left, because a response
/// after the deadline wastes a slot that other requests wait for.
constexpr double latencyDeviationsLeftAfterWaiting = 4.0;
/// A request may wait for at least this fraction of the time until its deadline, however short that time is.
constexpr double minWaitingFraction = 0.5;
constexpr std::uint32_t firstServerError = 500;
constexpr std::uint32_t notImplemented = 501;

using Deadlines = std::set<std::pair<TimePoint, RequestId>>;

struct Service
{
    explicit Service(const RequestRouterSettings &settings)
        : admission(settings.admission)
        , pool(settings)
    {
    }

    ServicePolicy policy;
    bool configured = false;
    Admission admission;
    EndpointPool pool;
    RetryBudget retries;
    ByteBudget bytes;
    /// Requests that wait for an extra attempt, ordered by the earliest time at which it may start.
    Deadlines pendingRetries;
    ClassCounts inFlight{};
    /// Microseconds; 0 before the first response.
    double meanLatency = 0.0;
    double latencyDeviation = 0.0;
    TimePoint lastResponse{};
};

struct OpenAttempt
{
    std::uint32_t number = 0;
    EndpointPtr endpoint;
    TimePoint startedAt;
    TimePoint expiresAt;
    /// When an extra attempt may start while this one is still open; empty once that time has passed, and for non-idempotent requests.
    std::optional<TimePoint> hedgeAt;
};

struct Request
{
    RequestInfo info;
    Service *service = nullptr;
    TimePoint submittedAt;
    /// Time after which no further attempt is started.
    TimePoint latestStart;
    std::vector<OpenAttempt> openAttempts;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;
    /// Whether an attempt that has ended may have run.
    bool mayHaveRun = false;
    bool queued = false;
    std::optional<TimePoint> retryAt;
    std::optional<TimePoint> timer;
    Error lastError = Error::DeadlineUnreachable;
    std::vector<std::uint64_t> tried;
};

auto milliseconds(Duration d) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

auto scaled(double factor, double microseconds) -> Duration
{
    return Duration(static_cast<Duration::rep>(factor * microseconds));
}

/// Mean latency in microseconds. It decays while no request is answered, so that an estimate that causes every request to be refused does
/// not persist.
auto expectedLatency(const Service &service, TimePoint now) -> double
{
    constexpr double decayStartSeconds = 1.0;
    const auto idle = std::chrono::duration<double>(now - service.lastResponse).count();
    return idle <= decayStartSeconds ? service.meanLatency : service.meanLatency * decayStartSeconds / idle;
}

auto isServerError(const AttemptResult &result) -> bool
{
    return result.kind == AttemptResultKind::Answered && result.httpStatus >= firstServerError && result.httpStatus != notImplemented;
}

auto mayHaveRun(AttemptResultKind kind) -> bool
{
    switch (kind) {
    case AttemptResultKind::Busy:
    case AttemptResultKind::Leaving:
    case AttemptResultKind::ConnectFailed:
        return false;
    case AttemptResultKind::Answered:
    case AttemptResultKind::Failed:
    case AttemptResultKind::TimedOut:
        break;
    }
    return true;
}

auto errorOf(AttemptResultKind kind) -> Error
{
    switch (kind) {
    case AttemptResultKind::Busy:
        return Error::Overloaded;
    case AttemptResultKind::Leaving:
    case AttemptResultKind::ConnectFailed:
        return Error::NoEndpoint;
    case AttemptResultKind::TimedOut:
        return Error::Timeout;
    case AttemptResultKind::Answered:
    case AttemptResultKind::Failed:
        break;
    }
    return Error::EndpointFailed;
}

auto contains(const std::vector<OrganisationPolicy> &organisations, const OrganisationName &name) -> bool
{
    return std::any_of(organisations.begin(), organisations.end(), [&name](const auto &it) { return it.name == name; });
}

/// Progress timeout of an endpoint; the mean latency of its service stands in for that of an endpoint that has never answered.
auto progressTimeout(const Service &service, const Endpoint &endpoint) -> Duration
{
    const auto &settings = endpoint.limit.settings();
    if (endpoint.limit.meanLatency() || service.meanLatency <= 0.0) {
        return endpoint.limit.progressTimeout();
    }
    return std::clamp(scaled(settings.progressTimeoutLatencyMultiple, service.meanLatency), settings.minProgressTimeout,
                      settings.maxProgressTimeout);
}

} // namespace

class RequestRouter::Impl
{
public:
    Impl(RequestRouterSettings settings, std::uint64_t seed)
        : m_settings(std::move(settings))
        , m_random(seed)
    {
    }

    auto setPolicy(const RequestPolicy &policy) -> void;
    auto endpointListed(const EndpointInfo &info, TimePoint now) -> void;
    auto endpointUnlisted(const EndpointName &name, TimePoint now) -> void;
    auto submit(const RequestInfo &info, TimePoint now) -> std::optional<Failure>;
    auto cancel(RequestId id, TimePoint now) -> void;
    auto attemptEnded(RequestId id, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void;
    auto decide(TimePoint now) -> std::vector<RequestCommand>;
    auto nextDeadline() const -> std::optional<TimePoint>;
    auto stats() const -> RouterStats;

private:
    auto findOrCreateService(const ServiceName &name) -> Service &;
    auto checkSubmission(const RequestInfo &info, TimePoint now) const -> std::optional<Failure>;
    auto checkDeadline(const Service &service, const RequestInfo &info, TimePoint now) const -> std::optional<Failure>;
    auto expectedWait(const Service &service, const RequestInfo &info, TimePoint now) const -> Duration;

    /// Returns the time after which a waiting request is refused instead of sent.
    auto latestStartTime(const Service &service, const RequestInfo &info, TimePoint now) const -> TimePoint;

    auto checkEndpoints(TimePoint now) -> void;
    auto hedgeAttemptsOf(const Endpoint &endpoint, TimePoint now) -> void;
    auto hedge(Request &request, TimePoint now) -> void;
    auto runTimers(TimePoint now) -> void;
    auto onTimer(Request &request, TimePoint now) -> void;
    auto dispatch(Service &service, TimePoint now) -> void;
    auto dispatchRetries(Service &service, TimePoint now) -> void;
    auto dispatchQueued(Service &service, TimePoint now) -> void;
    auto selectFor(const Request &request, TimePoint now) -> EndpointPtr;
    auto send(Request &request, const EndpointPtr &endpoint, TimePoint now) -> void;

    auto attemptFailed(Request &request, const AttemptResult &result, TimePoint now) -> void;
    auto mayRetry(const Request &request, AttemptResultKind kind, TimePoint now) const -> bool;
    auto scheduleRetry(Request &request, Duration delay, TimePoint now) -> void;
    auto clearRetry(Request &request) -> void;
    auto deliver(Request &request, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void;
    auto refuse(Request &request, Error error, std::string detail, TimePoint now) -> void;
    auto cancelAttempts(Request &request, TimePoint now) -> void;
    auto removeRequest(Request &request, TimePoint now) -> void;
    auto setTimer(Request &request) -> void;

    RequestRouterSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<OrganisationPolicy> m_organisations;
    ClassLimits m_classLimits = defaultClassLimits;
    std::unordered_map<ServiceName, std::unique_ptr<Service>> m_services;
    std::unordered_map<EndpointName, ServiceName> m_serviceOfEndpoint;
    std::unordered_map<RequestId, Request> m_requests;
    Deadlines m_timers;
    std::vector<RequestCommand> m_commands;
    std::uint64_t m_nextSerial = 0;
    TimePoint m_now{};
    TimePoint m_lastEndpointCheck{};
    RouterStats m_stats;
};

auto RequestRouter::Impl::findOrCreateService(const ServiceName &name) -> Service &
{
    auto &entry = m_services[name];
    if (!entry) {
        entry = std::make_unique<Service>(m_settings);
        entry->policy.name = name;
        entry->admission.setPolicy(m_organisations, m_classLimits);
    }
    return *entry;
}

auto RequestRouter::Impl::setPolicy(const RequestPolicy &policy) -> void
{
    m_organisations = policy.organisations;
    m_classLimits = policy.classLimits;
    for (const auto &[name, it] : m_services) {
        it->configured = false;
    }
    for (const auto &it : policy.services) {
        auto &service = findOrCreateService(it.name);
        service.policy = it;
        service.configured = true;
        service.retries.setRatio(it.retryBudget);
        service.bytes.setRate(it.crossRegionBytesPerSecond);
    }
    for (const auto &[name, it] : m_services) {
        it->admission.setPolicy(m_organisations, m_classLimits);
    }
    std::vector<RequestId> removed;
    for (const auto &[id, it] : m_requests) {
        if (it.openAttempts.empty() && (!it.service->configured || !contains(m_organisations, it.info.organisation))) {
            removed.push_back(id);
        }
    }
    std::sort(removed.begin(), removed.end());
    for (const auto id : removed) {
        auto &request = m_requests.at(id);
        const auto error = request.service->configured ? Error::UnknownOrganisation : Error::UnknownService;
        refuse(request, error, "the configuration no longer names the service or organisation of this request", m_now);
    }
}

auto RequestRouter::Impl::endpointListed(const EndpointInfo &info, TimePoint now) -> void
{
    const auto it = m_serviceOfEndpoint.find(info.name);
    if (it != m_serviceOfEndpoint.end() && it->second != info.service) {
        endpointUnlisted(info.name, now);
    }
    m_serviceOfEndpoint.insert_or_assign(info.name, info.service);
    findOrCreateService(info.service).pool.update(info, m_nextSerial++, now);
}

auto RequestRouter::Impl::endpointUnlisted(const EndpointName &name, TimePoint now) -> void
{
    const auto it = m_serviceOfEndpoint.find(name);
    if (it == m_serviceOfEndpoint.end()) {
        return;
    }
    findOrCreateService(it->second).pool.markUnlisted(name, now);
    m_serviceOfEndpoint.erase(it);
}

auto RequestRouter::Impl::expectedWait(const Service &service, const RequestInfo &info, TimePoint now) const -> Duration
{
    const auto ahead = service.admission.expectedRequestsAhead(info.organisation, info.caller, info.priority);
    double inFlight = 0.0;
    for (const auto n : service.inFlight) {
        inFlight += n;
    }
    // By Little's law, requests are served at the rate inFlight / latency.
    return inFlight > 0.0 ? scaled(ahead / inFlight, expectedLatency(service, now)) : Duration{};
}

auto RequestRouter::Impl::latestStartTime(const Service &service, const RequestInfo &info, TimePoint now) const -> TimePoint
{
    const auto requiredTimeLeft = expectedLatency(service, now) + latencyDeviationsLeftAfterWaiting * service.latencyDeviation;
    const auto minWait = scaled(minWaitingFraction, static_cast<double>((info.deadline - now).count()));
    return std::max(info.deadline - scaled(1.0, requiredTimeLeft), now + minWait);
}

auto RequestRouter::Impl::checkDeadline(const Service &service, const RequestInfo &info, TimePoint now) const -> std::optional<Failure>
{
    if (info.deadline <= now) {
        return Failure{Error::DeadlinePassed, Execution::NotRun, "the deadline passed before the request arrived"};
    }
    const auto wait = expectedWait(service, info, now);
    const auto needed = wait + scaled(requiredLatencyMultiple, expectedLatency(service, now));
    if (now + needed > info.deadline || now + wait > latestStartTime(service, info, now)) {
        return Failure{Error::DeadlineUnreachable, Execution::NotRun,
                       "the deadline leaves " + milliseconds(info.deadline - now) + ", expected to need at least " + milliseconds(needed)};
    }
    return std::nullopt;
}

auto RequestRouter::Impl::checkSubmission(const RequestInfo &info, TimePoint now) const -> std::optional<Failure>
{
    if (m_requests.contains(info.id)) {
        return Failure{Error::DuplicateName, Execution::NotRun, "a request with the number " + std::to_string(info.id) + " is in progress"};
    }
    const auto it = m_services.find(info.service);
    if (it == m_services.end() || !it->second->configured) {
        return Failure{Error::UnknownService, Execution::NotRun, "the service " + info.service.str() + " is not configured"};
    }
    if (!contains(m_organisations, info.organisation)) {
        return Failure{Error::UnknownOrganisation, Execution::NotRun, "the organisation " + info.organisation.str() + " is not configured"};
    }
    if (!it->second->pool.anyUsable(now)) {
        return Failure{Error::NoEndpoint, Execution::NotRun, "the service " + info.service.str() + " has no endpoint"};
    }
    return checkDeadline(*it->second, info, now);
}

auto RequestRouter::Impl::submit(const RequestInfo &info, TimePoint now) -> std::optional<Failure>
{
    m_now = std::max(m_now, now);
    ++m_stats.submitted;
    if (auto failure = checkSubmission(info, now)) {
        ++m_stats.refusedNotRun;
        return failure;
    }
    auto &service = findOrCreateService(info.service);
    const auto pushed = service.admission.push({info.id, info.organisation, info.caller, info.priority});
    if (!pushed.accepted) {
        ++m_stats.refusedNotRun;
        return Failure{Error::Overloaded, Execution::NotRun,
                       "the queue holds " + std::to_string(service.admission.size()) + " requests and has no place for this caller"};
    }
    if (pushed.evicted) {
        auto &evicted = m_requests.at(*pushed.evicted);
        evicted.queued = false;
        refuse(evicted, Error::Overloaded, "the queue is full and this caller has the most requests in it", now);
    }
    auto &request = m_requests[info.id];
    request.info = info;
    request.service = &service;
    request.submittedAt = now;
    request.queued = true;
    request.latestStart = latestStartTime(service, info, now);
    setTimer(request);
    return std::nullopt;
}

auto RequestRouter::Impl::cancel(RequestId id, TimePoint now) -> void
{
    m_now = std::max(m_now, now);
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    ++m_stats.cancelled;
    removeRequest(it->second, now);
}

auto RequestRouter::Impl::attemptEnded(RequestId id, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void
{
    m_now = std::max(m_now, now);
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        ++m_stats.lateResults;
        return;
    }
    auto &request = found->second;
    const auto it = std::find_if(request.openAttempts.begin(), request.openAttempts.end(),
                                 [attempt](const auto &openAttempt) { return openAttempt.number == attempt; });
    if (it == request.openAttempts.end()) {
        ++m_stats.lateResults;
        return;
    }
    const auto ended = *it;
    request.openAttempts.erase(it);
    --request.service->inFlight[static_cast<std::size_t>(request.info.priority)];
    ended.endpoint->limit.attemptEnded(ended.startedAt, result, now, m_random);
    request.service->pool.attemptEnded(*ended.endpoint, result.kind, now);
    request.mayHaveRun = request.mayHaveRun || mayHaveRun(result.kind);
    if (result.kind == AttemptResultKind::Answered && !(isServerError(result) && mayRetry(request, result.kind, now))) {
        deliver(request, attempt, result, now);
        return;
    }
    attemptFailed(request, result, now);
}

auto RequestRouter::Impl::attemptFailed(Request &request, const AttemptResult &result, TimePoint now) -> void
{
    request.lastError = errorOf(result.kind);
    switch (result.kind) {
    case AttemptResultKind::Busy:
        ++m_stats.busyResponses;
        break;
    case AttemptResultKind::Leaving:
        ++m_stats.leavingResponses;
        break;
    default:
        ++m_stats.failedAttempts;
        break;
    }
    if (!request.openAttempts.empty() || request.retryAt) {
        setTimer(request);
        return;
    }
    if (!mayRetry(request, result.kind, now)) {
        const auto outcomeUnknown = request.mayHaveRun && !request.info.idempotent;
        refuse(request, outcomeUnknown ? Error::OutcomeUnknown : request.lastError,
               "attempt " + std::to_string(request.attempts) + " ended as " + std::string(attemptResultName(result.kind)), now);
        return;
    }
    const auto refusedByEndpoint = result.kind == AttemptResultKind::Busy || result.kind == AttemptResultKind::Leaving;
    const auto immediate = refusedByEndpoint && request.failures == 0;
    ++request.failures;
    const auto delay = immediate ? Duration{} : retryDelay(request.failures, m_settings.minRetryDelay, m_settings.maxRetryDelay, m_random);
    scheduleRetry(request, delay, now);
}

auto RequestRouter::Impl::mayRetry(const Request &request, AttemptResultKind kind, TimePoint now) const -> bool
{
    const auto &service = *request.service;
    if (!service.configured || request.attempts >= service.policy.maxAttempts || now >= request.latestStart) {
        return false;
    }
    if (request.mayHaveRun && !request.info.idempotent) {
        return false;
    }
    // A complete response is discarded only if the budget permits the extra attempt.
    return kind != AttemptResultKind::Answered || service.retries.available();
}

auto RequestRouter::Impl::scheduleRetry(Request &request, Duration delay, TimePoint now) -> void
{
    clearRetry(request);
    request.retryAt = now + delay;
    request.service->pendingRetries.emplace(*request.retryAt, request.info.id);
    setTimer(request);
}

auto RequestRouter::Impl::clearRetry(Request &request) -> void
{
    if (request.retryAt) {
        request.service->pendingRetries.erase({*request.retryAt, request.info.id});
        request.retryAt.reset();
    }
}

auto RequestRouter::Impl::deliver(Request &request, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void
{
    auto &service = *request.service;
    const auto latency = static_cast<double>(result.latency.count());
    if (service.meanLatency > 0.0) {
        service.admission.adjustCharge(request.info.organisation, request.info.caller, latency / service.meanLatency);
        service.latencyDeviation += latencySmoothing * (std::abs(latency - service.meanLatency) - service.latencyDeviation);
        service.meanLatency += latencySmoothing * (latency - service.meanLatency);
    } else {
        service.meanLatency = latency;
    }
    service.lastResponse = now;
    ++m_stats.delivered;
    m_commands.emplace_back(DeliverResponse{request.info.id, attempt});
    removeRequest(request, now);
}

auto RequestRouter::Impl::refuse(Request &request, Error error, std::string detail, TimePoint now) -> void
{
    const auto unknown = request.mayHaveRun || !request.openAttempts.empty();
    const auto execution = unknown ? Execution::Unknown : Execution::NotRun;
    ++(unknown ? m_stats.refusedUnknown : m_stats.refusedNotRun);
    m_commands.emplace_back(RefuseRequest{request.info.id, Failure{error, execution, std::move(detail)}});
    removeRequest(request, now);
}

auto RequestRouter::Impl::cancelAttempts(Request &request, TimePoint now) -> void
{
    for (const auto &it : request.openAttempts) {
        m_commands.emplace_back(CancelAttempt{request.info.id, it.number});
        it.endpoint->limit.attemptAbandoned(it.startedAt, now, m_random);
        request.service->pool.attemptEnded(*it.endpoint, std::nullopt, now);
        --request.service->inFlight[static_cast<std::size_t>(request.info.priority)];
    }
    request.openAttempts.clear();
}

auto RequestRouter::Impl::removeRequest(Request &request, TimePoint now) -> void
{
    cancelAttempts(request, now);
    clearRetry(request);
    if (request.queued) {
        request.service->admission.remove(request.info.id);
    }
    if (request.timer) {
        m_timers.erase({*request.timer, request.info.id});
    }
    m_requests.erase(RequestId(request.info.id));
}

auto RequestRouter::Impl::setTimer(Request &request) -> void
{
    auto next = request.info.deadline;
    if (request.openAttempts.empty()) {
        next = std::min(next, request.latestStart);
    }
    for (const auto &it : request.openAttempts) {
        next = std::min(next, it.hedgeAt ? std::min(*it.hedgeAt, it.expiresAt) : it.expiresAt);
    }
    if (request.timer == next) {
        return;
    }
    if (request.timer) {
        m_timers.erase({*request.timer, request.info.id});
    }
    request.timer = next;
    m_timers.emplace(next, request.info.id);
}

auto RequestRouter::Impl::runTimers(TimePoint now) -> void
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        onTimer(m_requests.at(m_timers.begin()->second), now);
    }
}

auto RequestRouter::Impl::onTimer(Request &request, TimePoint now) -> void
{
    if (now >= request.info.deadline) {
        refuse(request, request.openAttempts.empty() ? request.lastError : Error::Timeout, "the deadline passed before a response arrived",
               now);
        return;
    }
    if (request.openAttempts.empty()) {
        refuse(request, request.lastError,
               "no endpoint was free in time; " + milliseconds(request.info.deadline - now) + " are left until the deadline", now);
        return;
    }
    hedge(request, now);
    const auto expired =
        std::find_if(request.openAttempts.begin(), request.openAttempts.end(), [now](const auto &it) { return it.expiresAt <= now; });
    if (expired == request.openAttempts.end()) {
        setTimer(request);
        return;
    }
    m_commands.emplace_back(CancelAttempt{request.info.id, expired->number});
    attemptEnded(request.info.id, expired->number, {AttemptResultKind::TimedOut, 0, now - expired->startedAt}, now);
}

auto RequestRouter::Impl::hedge(Request &request, TimePoint now) -> void
{
    const auto due = std::find_if(request.openAttempts.begin(), request.openAttempts.end(),
                                  [now](const auto &it) { return it.hedgeAt && *it.hedgeAt <= now; });
    if (due == request.openAttempts.end()) {
        return;
    }
    due->hedgeAt.reset();
    due->endpoint->limit.attemptStalled(due->startedAt, now, m_random);
    if (!request.retryAt && mayRetry(request, AttemptResultKind::TimedOut, now)) {
        // The first attempt stays open; the first response of either attempt is delivered.
        scheduleRetry(request, Duration{}, now);
    }
}

auto RequestRouter::Impl::checkEndpoints(TimePoint now) -> void
{
    // The health of endpoints needs no finer resolution than half a decision interval.
    if (now - m_lastEndpointCheck < m_settings.decisionInterval / 2) {
        return;
    }
    m_lastEndpointCheck = now;
    for (const auto &[name, service] : m_services) {
        for (const auto &it : service->pool.checkHealth(now, m_random)) {
            hedgeAttemptsOf(*it, now);
        }
    }
}

auto RequestRouter::Impl::hedgeAttemptsOf(const Endpoint &endpoint, TimePoint now) -> void
{
    for (auto &[id, request] : m_requests) {
        for (auto &it : request.openAttempts) {
            if (it.endpoint.get() == &endpoint && it.hedgeAt) {
                it.hedgeAt = now;
                setTimer(request);
            }
        }
    }
}

auto RequestRouter::Impl::selectFor(const Request &request, TimePoint now) -> EndpointPtr
{
    auto &service = *request.service;
    const auto bytes = request.info.bodyBytes + m_settings.estimatedHeaderBytes;
    const auto mayLeaveRegion = now - request.submittedAt >= m_settings.crossRegionDelay || !service.pool.anyHealthyInRegion(now);
    Detail::Selection selection;
    selection.otherRegions = mayLeaveRegion && service.bytes.available(bytes, now);
    selection.mayProbe = request.info.idempotent && request.attempts == 0 && service.retries.available();
    selection.tried = request.tried;
    return service.pool.select(selection, now, m_random);
}

auto RequestRouter::Impl::send(Request &request, const EndpointPtr &endpoint, TimePoint now) -> void
{
    auto &service = *request.service;
    if (endpoint->locality == Locality::OtherRegion) {
        const auto bytes = request.info.bodyBytes + m_settings.estimatedHeaderBytes;
        // selectFor() has checked the budget for the same time.
        static_cast<void>(service.bytes.tryTake(bytes, now));
        ++m_stats.crossRegionAttempts;
        m_stats.crossRegionBytes += bytes;
    }
    ++(request.attempts == 0 ? m_stats.firstAttempts : m_stats.extraAttempts);
    ++request.attempts;
    ++service.inFlight[static_cast<std::size_t>(request.info.priority)];
    endpoint->limit.attemptStarted(now);
    service.pool.attemptStarted(*endpoint);
    const auto timeout = std::min(service.policy.attemptTimeout, Duration(request.info.deadline - now));
    OpenAttempt attempt{request.attempts, endpoint, now, now + timeout + m_settings.resultGracePeriod, std::nullopt};
    if (request.info.idempotent) {
        attempt.hedgeAt = now + progressTimeout(service, *endpoint);
    }
    request.openAttempts.push_back(std::move(attempt));
    request.tried.push_back(endpoint->serial);
    request.queued = false;
    m_commands.emplace_back(SendAttempt{request.info.id, request.attempts, endpoint->info.name, endpoint->info.address, timeout});
    setTimer(request);
}

auto RequestRouter::Impl::dispatchRetries(Service &service, TimePoint now) -> void
{
    for (auto it = service.pendingRetries.begin(); it != service.pendingRetries.end() && it->first <= now;) {
        auto &request = m_requests.at(it->second);
        ++it;
        if (!service.retries.available()) {
            return;
        }
        const auto endpoint = selectFor(request, now);
        if (!endpoint) {
            continue;
        }
        static_cast<void>(service.retries.tryTake());
        clearRetry(request);
        send(request, endpoint, now);
    }
}

auto RequestRouter::Impl::dispatchQueued(Service &service, TimePoint now) -> void
{
    while (const auto id = service.admission.peek(service.inFlight)) {
        auto &request = m_requests.at(*id);
        const auto endpoint = selectFor(request, now);
        if (!endpoint) {
            return;
        }
        static_cast<void>(service.admission.pop(service.inFlight));
        service.retries.firstAttempt();
        send(request, endpoint, now);
    }
}

auto RequestRouter::Impl::dispatch(Service &service, TimePoint now) -> void
{
    dispatchRetries(service, now);
    dispatchQueued(service, now);
}

auto RequestRouter::Impl::decide(TimePoint now) -> std::vector<RequestCommand>
{
    m_now = std::max(m_now, now);
    checkEndpoints(now);
    runTimers(now);
    for (const auto &[name, it] : m_services) {
        dispatch(*it, now);
    }
    return std::exchange(m_commands, {});
}

auto RequestRouter::Impl::nextDeadline() const -> std::optional<TimePoint>
{
    if (!m_commands.empty()) {
        return m_now;
    }
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint t) { next = next ? std::min(*next, t) : t; };
    if (!m_timers.empty()) {
        consider(m_timers.begin()->first);
    }
    for (const auto &[name, it] : m_services) {
        if (it->admission.size() > 0) {
            consider(m_now + m_settings.decisionInterval);
        }
        if (!it->pendingRetries.empty()) {
            const auto due = it->pendingRetries.begin()->first;
            consider(due > m_now ? due : m_now + m_settings.decisionInterval);
        }
        if (const auto due = it->pool.nextDeadline()) {
            consider(std::max(*due, m_lastEndpointCheck + m_settings.decisionInterval / 2));
        }
    }
    return next;
}

auto RequestRouter::Impl::stats() const -> RouterStats
{
    auto stats = m_stats;
    for (const auto &[name, it] : m_services) {
        stats.queued += it->admission.size() + it->pendingRetries.size();
        for (const auto n : it->inFlight) {
            stats.inFlight += n;
        }
        it->pool.addStats(stats, m_now);
    }
    return stats;
}

RequestRouter::RequestRouter(RequestRouterSettings settings, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(settings), seed))
{
}

RequestRouter::RequestRouter(RequestRouter &&) noexcept = default;
auto RequestRouter::operator=(RequestRouter &&) noexcept -> RequestRouter & = default;
RequestRouter::~RequestRouter() = default;

auto RequestRouter::setPolicy(const RequestPolicy &policy, TimePoint /*now*/) -> void
{
    m_impl->setPolicy(policy);
}

auto RequestRouter::endpointListed(const EndpointInfo &endpoint, TimePoint now) -> void
{
    m_impl->endpointListed(endpoint, now);
}

auto RequestRouter::endpointUnlisted(const EndpointName &name, TimePoint now) -> void
{
    m_impl->endpointUnlisted(name, now);
}

auto RequestRouter::submit(const RequestInfo &request, TimePoint now) -> std::optional<Failure>
{
    return m_impl->submit(request, now);
}

auto RequestRouter::cancel(RequestId id, TimePoint now) -> void
{
    m_impl->cancel(id, now);
}

auto RequestRouter::attemptEnded(RequestId id, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void
{
    m_impl->attemptEnded(id, attempt, result, now);
}

auto RequestRouter::decide(TimePoint now) -> std::vector<RequestCommand>
{
    return m_impl->decide(now);
}

auto RequestRouter::nextDeadline() const -> std::optional<TimePoint>
{
    return m_impl->nextDeadline();
}

auto RequestRouter::stats() const -> RouterStats
{
    return m_impl->stats();
}

} // namespace Acaciarail::Scheduling
