#include "request_model.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>

namespace Acaciarail::Bench {

using Scheduling::AttemptResult;
using Scheduling::AttemptResultKind;
using Scheduling::CancelAttempt;
using Scheduling::DeliverResponse;
using Scheduling::RefuseRequest;
using Scheduling::RequestCommand;
using Scheduling::RequestInfo;
using Scheduling::SendAttempt;

namespace {

/// One-way latencies; every zone of the deployments is its own region.
constexpr Duration zoneLatency = std::chrono::milliseconds(1);
constexpr Duration regionLatency = std::chrono::milliseconds(8);
constexpr Duration clientLatency = std::chrono::milliseconds(3);
constexpr std::size_t zoneCount = 3;
constexpr double serviceSigma = 0.6;
constexpr Duration fastErrorTime = std::chrono::milliseconds(5);
constexpr double slowFactor = 5.0;
constexpr std::uint64_t bodyBytes = 4096;
constexpr std::uint32_t maxBaselineAttempts = 3;
constexpr std::size_t maxBaselineQueue = 4096;

class RouterDriver final : public RequestPolicyDriver
{
public:
    explicit RouterDriver(const InstanceView &view)
        : m_router(view.settings, view.seed)
    {
        m_router.setPolicy(view.policy, {});
        for (const auto &it : view.endpoints) {
            m_router.endpointListed(it, {});
        }
    }

    auto submit(const RequestInfo &request, TimePoint now) -> bool override
    {
        return !m_router.submit(request, now);
    }
    auto attemptEnded(RequestId id, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void override
    {
        m_router.attemptEnded(id, attempt, result, now);
    }
    auto decide(TimePoint now) -> std::vector<RequestCommand> override
    {
        return m_router.decide(now);
    }
    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint> override
    {
        return m_router.nextDeadline();
    }

private:
    Scheduling::RequestRouter m_router;
};

/// Base of the policies for comparison: they retry a failed request, with a new choice of endpoint, up to three attempts.
class BaselineDriver : public RequestPolicyDriver
{
public:
    explicit BaselineDriver(const InstanceView &view)
        : m_endpoints(view.endpoints)
        , m_inFlight(view.endpoints.size(), 0)
        , m_random(view.seed)
    {
    }

    auto submit(const RequestInfo &request, TimePoint /*now*/) -> bool override
    {
        if (m_queue.size() >= maxBaselineQueue) {
            return false;
        }
        m_requests.emplace(request.id, OpenRequest{request, 0, 0, false});
        m_queue.push_back(request.id);
        return true;
    }

    auto attemptEnded(RequestId id, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void override
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        auto &request = it->second;
        --m_inFlight[request.endpoint];
        const auto ran = result.kind != AttemptResultKind::Busy && result.kind != AttemptResultKind::ConnectFailed
            && result.kind != AttemptResultKind::Leaving;
        request.mayHaveRun = request.mayHaveRun || ran;
        const auto good = result.kind == AttemptResultKind::Answered && result.httpStatus < 500;
        const auto retry = !good && request.attempts < maxBaselineAttempts && now < request.info.deadline
            && (request.info.idempotent || !request.mayHaveRun);
        if (retry) {
            m_queue.push_front(id);
            return;
        }
        if (result.kind == AttemptResultKind::Answered) {
            m_commands.emplace_back(DeliverResponse{id, attempt});
            m_requests.erase(it);
            return;
        }
        refuse(id);
    }

    auto decide(TimePoint now) -> std::vector<RequestCommand> override
    {
        while (!m_queue.empty()) {
            const auto id = m_queue.front();
            auto &request = m_requests.at(id);
            if (request.info.deadline <= now) {
                m_queue.pop_front();
                refuse(id);
                continue;
            }
            const auto endpoint = choose();
            if (!endpoint) {
                break;
            }
            m_queue.pop_front();
            request.endpoint = *endpoint;
            ++m_inFlight[*endpoint];
            ++request.attempts;
            const auto &info = m_endpoints[*endpoint];
            m_commands.emplace_back(SendAttempt{id, request.attempts, info.name, info.address, request.info.deadline - now});
        }
        return std::exchange(m_commands, {});
    }

    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint> override
    {
        return std::nullopt;
    }

protected:
    [[nodiscard]] virtual auto choose() -> std::optional<std::size_t> = 0;

    [[nodiscard]] auto inFlight(std::size_t endpoint) const -> std::uint32_t
    {
        return m_inFlight[endpoint];
    }
    [[nodiscard]] auto endpointCount() const -> std::size_t
    {
        return m_endpoints.size();
    }
    [[nodiscard]] auto randomBelow(std::size_t n) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

private:
    struct OpenRequest
    {
        RequestInfo info;
        std::uint32_t attempts;
        std::size_t endpoint;
        bool mayHaveRun;
    };

    auto refuse(RequestId id) -> void
    {
        const auto execution = m_requests.at(id).mayHaveRun ? Execution::Unknown : Execution::NotRun;
        m_commands.emplace_back(RefuseRequest{id, Failure{Error::Overloaded, execution, {}}});
        m_requests.erase(id);
    }

    std::vector<EndpointInfo> m_endpoints;
    std::vector<std::uint32_t> m_inFlight;
    std::mt19937_64 m_random;
    std::unordered_map<RequestId, OpenRequest> m_requests;
    std::deque<RequestId> m_queue;
    std::vector<RequestCommand> m_commands;
};

class RoundRobinDriver final : public BaselineDriver
{
public:
    explicit RoundRobinDriver(const InstanceView &view)
        : BaselineDriver(view)
        , m_next(randomBelow(endpointCount()))
    {
    }

protected:
    [[nodiscard]] auto choose() -> std::optional<std::size_t> override
    {
        return m_next = (m_next + 1) % endpointCount();
    }

private:
    std::size_t m_next;
};

class RandomOfTwoDriver final : public BaselineDriver
{
public:
    using BaselineDriver::BaselineDriver;

protected:
    [[nodiscard]] auto choose() -> std::optional<std::size_t> override
    {
        const auto a = randomBelow(endpointCount());
        const auto b = randomBelow(endpointCount());
        return inFlight(b) < inFlight(a) ? b : a;
    }
};

class FifoDriver final : public BaselineDriver
{
public:
    using BaselineDriver::BaselineDriver;

protected:
    [[nodiscard]] auto choose() -> std::optional<std::size_t> override
    {
        for (std::size_t n = 0; n < endpointCount(); ++n) {
            m_next = (m_next + 1) % endpointCount();
            if (inFlight(m_next) < 1) {
                return m_next;
            }
        }
        return std::nullopt;
    }

private:
    std::size_t m_next = 0;
};

template<typename Driver>
auto makeDriver(const InstanceView &view) -> std::unique_ptr<RequestPolicyDriver>
{
    return std::make_unique<Driver>(view);
}

enum class EventKind : std::uint8_t {
    CallerArrival,
    Submit,
    EndpointArrival,
    SlotFree,
    AttemptEnd,
    Wake,
};

struct Event
{
    TimePoint at;
    std::uint64_t sequence;
    EventKind kind;
    std::uint32_t index;
    AttemptResultKind result = AttemptResultKind::Answered;
    std::uint32_t status = 0;

    friend auto operator<(const Event &a, const Event &b) noexcept -> bool
    {
        return a.at > b.at || (a.at == b.at && a.sequence > b.sequence);
    }
};

struct FakeEndpoint
{
    EndpointInfo info;
    std::uint32_t busy = 0;
    double serviceTimeFactor = 1.0;
    std::vector<FaultPeriod> faults;

    [[nodiscard]] auto faultAt(TimePoint now) const -> std::optional<EndpointFault>
    {
        for (const auto &it : faults) {
            if (now.time_since_epoch() >= it.from && now.time_since_epoch() < it.until) {
                return it.fault;
            }
        }
        return std::nullopt;
    }
};

struct Instance
{
    std::size_t zone = 0;
    std::unique_ptr<RequestPolicyDriver> policy;
    std::optional<TimePoint> wake;
};

struct ModelAttempt
{
    std::uint32_t request;
    std::uint32_t number;
    std::uint32_t instance;
    std::uint32_t endpoint;
    TimePoint sentAt;
    Duration oneWay;
    Duration timeout;
    bool cancelled = false;
    std::uint32_t status = 0;
};

auto zoneName(std::size_t zone) -> std::string
{
    return "zone-" + std::to_string(zone);
}

class Model
{
public:
    Model(const ModelSettings &settings, const NamedPolicy &policy, std::uint64_t seed);

    auto run() -> ModelResult;

private:
    auto createEndpoints() -> void;
    auto createInstances(const NamedPolicy &policy, std::uint64_t seed) -> void;
    auto push(TimePoint at, EventKind kind, std::uint32_t index, AttemptResultKind result = {}, std::uint32_t status = 0) -> void;
    auto handle(const Event &event) -> void;
    auto callerArrival(std::uint32_t group) -> void;
    auto scheduleArrival(std::uint32_t group) -> void;
    auto submit(std::uint32_t index) -> void;
    auto endpointArrival(std::uint32_t index) -> void;
    auto endAttempt(std::uint32_t index, TimePoint at, AttemptResultKind kind, std::uint32_t status) -> void;
    auto attemptEnd(const Event &event) -> void;
    auto runPolicy(std::uint32_t instance) -> void;
    auto execute(std::uint32_t instance, const SendAttempt &command) -> void;
    auto execute(std::uint32_t instance, const RefuseRequest &command) -> void;
    auto execute(std::uint32_t instance, const DeliverResponse &command) -> void;
    auto execute(std::uint32_t instance, const CancelAttempt &command) -> void;
    auto recordRefusal(std::uint32_t request, Execution execution) -> void;
    [[nodiscard]] auto serviceTime(double serviceTimeFactor) -> Duration;

    const ModelSettings &m_settings;
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextSequence = 0;
    TimePoint m_now{};
    std::vector<FakeEndpoint> m_endpoints;
    std::unordered_map<EndpointName, std::uint32_t> m_endpointIndex;
    std::vector<Instance> m_instances;
    std::vector<std::vector<CallerName>> m_callers;
    std::vector<ModelAttempt> m_attempts;
    std::vector<std::uint32_t> m_instanceOf;
    std::vector<std::uint32_t> m_callerOf;
    std::vector<std::vector<std::uint32_t>> m_attemptsOfRequest;
    ModelResult m_result;
};

Model::Model(const ModelSettings &settings, const NamedPolicy &policy, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
    createEndpoints();
    createInstances(policy, seed);
    for (std::uint32_t n = 0; n < settings.groups.size(); ++n) {
        const auto &group = settings.groups[n];
        auto &names = m_callers.emplace_back();
        for (std::uint32_t i = 0; i < group.callers; ++i) {
            names.emplace_back("caller-" + std::to_string(n) + "-" + std::to_string(i));
        }
        m_now = TimePoint(group.from);
        scheduleArrival(n);
    }
    m_now = {};
}

auto Model::createEndpoints() -> void
{
    for (std::size_t n = 0; n < modelEndpoints; ++n) {
        FakeEndpoint endpoint;
        const auto zone = zoneName(n % zoneCount);
        endpoint.info.name = EndpointName("endpoint-" + std::to_string(n));
        endpoint.info.service = modelService();
        endpoint.info.region = RegionName(zone);
        endpoint.info.zone = ZoneName(zone);
        endpoint.info.slots = modelSlots;
        endpoint.info.address = "127.0.0.1:" + std::to_string(10000 + n);
        endpoint.serviceTimeFactor = m_settings.serviceTimeFactors.empty() ? 1.0 : m_settings.serviceTimeFactors[n];
        m_endpointIndex.emplace(endpoint.info.name, static_cast<std::uint32_t>(n));
        m_endpoints.push_back(endpoint);
    }
    for (const auto &it : m_settings.faults) {
        m_endpoints[it.endpoint].faults.push_back(it);
    }
}

auto Model::createInstances(const NamedPolicy &policy, std::uint64_t seed) -> void
{
    for (std::size_t n = 0; n < modelInstances; ++n) {
        InstanceView view;
        view.zone = ZoneName(zoneName(n % zoneCount));
        view.region = RegionName(zoneName(n % zoneCount));
        view.policy = m_settings.policy;
        view.seed = seed * 1000 + n;
        view.settings = m_settings.router;
        view.settings.zone = view.zone;
        view.settings.region = view.region;
        for (const auto &it : m_endpoints) {
            view.endpoints.push_back(it.info);
        }
        m_instances.push_back({n % zoneCount, policy.create(view), std::nullopt});
    }
}

auto Model::push(TimePoint at, EventKind kind, std::uint32_t index, AttemptResultKind result, std::uint32_t status) -> void
{
    m_events.push({at, m_nextSequence++, kind, index, result, status});
}

auto Model::serviceTime(double serviceTimeFactor) -> Duration
{
    static const double mu = std::log(modelMeanServiceSeconds) - serviceSigma * serviceSigma / 2;
    const auto seconds = std::lognormal_distribution<double>(mu, serviceSigma)(m_random) * serviceTimeFactor;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

auto Model::scheduleArrival(std::uint32_t group) -> void
{
    const auto &it = m_settings.groups[group];
    const auto gap = std::exponential_distribution<double>(it.rate)(m_random);
    const auto at = m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
    if (at < TimePoint(it.until)) {
        push(at, EventKind::CallerArrival, group);
    }
}

auto Model::callerArrival(std::uint32_t group) -> void
{
    const auto &it = m_settings.groups[group];
    const auto request = static_cast<std::uint32_t>(m_result.requests.size());
    RequestRecord record;
    record.group = group;
    record.submittedAt = m_now;
    record.idempotent = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) >= it.nonIdempotentPart;
    m_result.requests.push_back(record);
    m_instanceOf.push_back(std::uniform_int_distribution<std::uint32_t>(0, modelInstances - 1)(m_random));
    m_callerOf.push_back(std::uniform_int_distribution<std::uint32_t>(0, it.callers - 1)(m_random));
    m_attemptsOfRequest.emplace_back();
    push(m_now + clientLatency, EventKind::Submit, request);
    scheduleArrival(group);
}

auto Model::submit(std::uint32_t index) -> void
{
    const auto &record = m_result.requests[index];
    const auto &group = m_settings.groups[record.group];
    RequestInfo info;
    info.id = index;
    info.service = modelService();
    info.organisation = group.organisation;
    info.caller = m_callers[record.group][m_callerOf[index]];
    info.priority = group.priority;
    info.deadline = record.submittedAt + m_settings.deadline;
    info.idempotent = record.idempotent;
    info.bodyBytes = bodyBytes;
    if (!m_instances[m_instanceOf[index]].policy->submit(info, m_now)) {
        recordRefusal(index, Execution::NotRun);
    }
    runPolicy(m_instanceOf[index]);
}

auto Model::endpointArrival(std::uint32_t index) -> void
{
    const auto &attempt = m_attempts[index];
    auto &endpoint = m_endpoints[attempt.endpoint];
    auto &record = m_result.requests[attempt.request];
    const auto fault = endpoint.faultAt(m_now);
    if (fault == EndpointFault::Refused) {
        endAttempt(index, m_now + attempt.oneWay, AttemptResultKind::ConnectFailed, 0);
        return;
    }
    if (fault == EndpointFault::Leaving) {
        endAttempt(index, m_now + attempt.oneWay, AttemptResultKind::Leaving, 503);
        return;
    }
    if (fault == EndpointFault::FastError) {
        ++record.executions;
        endAttempt(index, m_now + fastErrorTime + attempt.oneWay, AttemptResultKind::Answered, 500);
        return;
    }
    if (fault == EndpointFault::Silent) {
        ++record.executions;
        endAttempt(index, attempt.sentAt + attempt.timeout, AttemptResultKind::TimedOut, 0);
        return;
    }
    if (endpoint.busy >= modelSlots) {
        ++m_result.busyResponses;
        endAttempt(index, m_now + attempt.oneWay, AttemptResultKind::Busy, 503);
        return;
    }
    ++endpoint.busy;
    ++record.executions;
    const auto done = m_now + serviceTime(endpoint.serviceTimeFactor * (fault == EndpointFault::Slow ? slowFactor : 1.0));
    // An attempt that its instance has abandoned still occupies its slot.
    push(done, EventKind::SlotFree, attempt.endpoint);
    endAttempt(index, done + attempt.oneWay, AttemptResultKind::Answered, 200);
}

auto Model::endAttempt(std::uint32_t index, TimePoint at, AttemptResultKind kind, std::uint32_t status) -> void
{
    const auto &attempt = m_attempts[index];
    const auto expiry = attempt.sentAt + attempt.timeout;
    if (at > expiry) {
        push(std::max(m_now, expiry), EventKind::AttemptEnd, index, AttemptResultKind::TimedOut, 0);
        return;
    }
    push(at, EventKind::AttemptEnd, index, kind, status);
}

auto Model::attemptEnd(const Event &event) -> void
{
    auto &attempt = m_attempts[event.index];
    if (attempt.cancelled) {
        return;
    }
    attempt.status = event.status;
    const AttemptResult result{event.result, event.status, m_now - attempt.sentAt};
    m_instances[attempt.instance].policy->attemptEnded(attempt.request, attempt.number, result, m_now);
    runPolicy(attempt.instance);
}

auto Model::runPolicy(std::uint32_t instance) -> void
{
    auto &it = m_instances[instance];
    for (const auto &command : it.policy->decide(m_now)) {
        std::visit([this, instance](const auto &c) { execute(instance, c); }, command);
    }
    const auto next = it.policy->nextDeadline();
    if (next && (!it.wake || *next < *it.wake)) {
        it.wake = std::max(*next, m_now);
        push(*it.wake, EventKind::Wake, instance);
    }
}

auto Model::execute(std::uint32_t instance, const SendAttempt &command) -> void
{
    const auto request = static_cast<std::uint32_t>(command.request);
    const auto endpoint = m_endpointIndex.at(command.endpoint);
    const auto sameZone = endpoint % zoneCount == m_instances[instance].zone;
    const auto oneWay = sameZone ? zoneLatency : regionLatency;
    const auto index = static_cast<std::uint32_t>(m_attempts.size());
    m_attempts.push_back({request, command.attempt, instance, endpoint, m_now, oneWay, command.timeout});
    auto &record = m_result.requests[request];
    m_result.attempts.push_back({m_now, record.attempts > 0, !sameZone});
    ++record.attempts;
    m_attemptsOfRequest[request].push_back(index);
    push(m_now + oneWay, EventKind::EndpointArrival, index);
}

auto Model::recordRefusal(std::uint32_t request, Execution execution) -> void
{
    auto &record = m_result.requests[request];
    record.outcome = execution == Execution::NotRun ? RequestOutcome::RefusedNotRun : RequestOutcome::RefusedUnknown;
    record.endedAt = m_now + clientLatency;
    if (execution == Execution::NotRun && record.executions > 0) {
        ++m_result.falseNotRun;
    }
}

auto Model::execute(std::uint32_t /*instance*/, const RefuseRequest &command) -> void
{
    recordRefusal(static_cast<std::uint32_t>(command.request), command.failure.execution);
}

auto Model::execute(std::uint32_t /*instance*/, const DeliverResponse &command) -> void
{
    auto &record = m_result.requests[command.request];
    const auto &attempts = m_attemptsOfRequest[command.request];
    const auto it = std::find_if(attempts.begin(), attempts.end(), [&](auto index) { return m_attempts[index].number == command.attempt; });
    record.endedAt = m_now + clientLatency;
    const auto inTime = record.endedAt <= record.submittedAt + m_settings.deadline;
    record.outcome = m_attempts[*it].status == 200 && inTime ? RequestOutcome::Good : RequestOutcome::Bad;
}

auto Model::execute(std::uint32_t /*instance*/, const CancelAttempt &command) -> void
{
    for (const auto index : m_attemptsOfRequest[command.request]) {
        auto &attempt = m_attempts[index];
        attempt.cancelled = attempt.cancelled || attempt.number == command.attempt;
    }
}

auto Model::handle(const Event &event) -> void
{
    switch (event.kind) {
    case EventKind::CallerArrival:
        callerArrival(event.index);
        break;
    case EventKind::Submit:
        submit(event.index);
        break;
    case EventKind::EndpointArrival:
        endpointArrival(event.index);
        break;
    case EventKind::SlotFree:
        --m_endpoints[event.index].busy;
        break;
    case EventKind::AttemptEnd:
        attemptEnd(event);
        break;
    case EventKind::Wake:
        if (m_instances[event.index].wake == event.at) {
            m_instances[event.index].wake.reset();
            runPolicy(event.index);
        }
        break;
    }
}

auto Model::run() -> ModelResult
{
    const auto end = TimePoint(m_settings.length);
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    for (const auto &it : m_result.requests) {
        m_result.repeatedNonIdempotent += !it.idempotent && it.executions > 1 ? 1 : 0;
    }
    return std::move(m_result);
}

} // namespace

auto modelService() -> ServiceName
{
    return ServiceName("retake");
}

auto routerPolicy() -> NamedPolicy
{
    return {"router", makeDriver<RouterDriver>};
}

auto roundRobinPolicy() -> NamedPolicy
{
    return {"round-robin", makeDriver<RoundRobinDriver>};
}

auto randomOfTwoPolicy() -> NamedPolicy
{
    return {"random-of-two", makeDriver<RandomOfTwoDriver>};
}

auto fifoPolicy() -> NamedPolicy
{
    return {"fifo", makeDriver<FifoDriver>};
}

auto runRequestModel(const ModelSettings &settings, const NamedPolicy &policy, std::uint64_t seed) -> ModelResult
{
    return Model(settings, policy, seed).run();
}

auto runInParallel(std::size_t count, const std::function<void(std::size_t)> &task) -> void
{
    constexpr std::size_t maxThreads = 4;
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (std::size_t n = 0; n < std::min(count, maxThreads); ++n) {
        threads.emplace_back([&next, &task, count] {
            for (auto i = next++; i < count; i = next++) {
                task(i);
            }
        });
    }
}

} // namespace Acaciarail::Bench
