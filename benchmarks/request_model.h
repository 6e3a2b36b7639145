#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/policy.h>
#include <acaciarail/core/time.h>
#include <acaciarail/scheduling/request_command.h>
#include <acaciarail/scheduling/request_router.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

/// Simulation of request policies: entry instances that do not communicate share the endpoints of one service, in simulated time.
/// Endpoints, callers and the load balancer are simple fakes.
namespace Acaciarail::Bench {

/// The policy of one entry instance.
class RequestPolicyDriver
{
public:
    RequestPolicyDriver() = default;
    RequestPolicyDriver(const RequestPolicyDriver &) = delete;
    RequestPolicyDriver(RequestPolicyDriver &&) = delete;
    auto operator=(const RequestPolicyDriver &) -> RequestPolicyDriver & = delete;
    auto operator=(RequestPolicyDriver &&) -> RequestPolicyDriver & = delete;
    virtual ~RequestPolicyDriver() = default;

    /// Returns false when the request is refused as `not-run`.
    virtual auto submit(const Scheduling::RequestInfo &request, TimePoint now) -> bool = 0;
    virtual auto attemptEnded(RequestId id, std::uint32_t attempt, const Scheduling::AttemptResult &result, TimePoint now) -> void = 0;
    virtual auto decide(TimePoint now) -> std::vector<Scheduling::RequestCommand> = 0;
    [[nodiscard]] virtual auto nextDeadline() const -> std::optional<TimePoint> = 0;
};

/// What the policy of an instance knows at its start.
struct InstanceView
{
    ZoneName zone;
    RegionName region;
    RequestPolicy policy;
    std::vector<EndpointInfo> endpoints;
    std::uint64_t seed = 0;
    Scheduling::RequestRouterSettings settings;
};

using PolicyFactory = std::function<std::unique_ptr<RequestPolicyDriver>(const InstanceView &)>;

struct NamedPolicy
{
    std::string_view name;
    PolicyFactory create;
};

/// The router under test.
[[nodiscard]] auto routerPolicy() -> NamedPolicy;
/// Sends at once to the next endpoint, without a queue; up to three attempts.
[[nodiscard]] auto roundRobinPolicy() -> NamedPolicy;
/// Sends at once to the one of two random endpoints that has fewer attempts of this instance; up to three attempts.
[[nodiscard]] auto randomOfTwoPolicy() -> NamedPolicy;
/// One queue in order of arrival with a fixed limit of one attempt per endpoint; up to three attempts.
[[nodiscard]] auto fifoPolicy() -> NamedPolicy;

/// Callers that behave alike.
struct CallerGroup
{
    OrganisationName organisation;
    std::uint32_t callers = 1;
    Priority priority = Priority::Normal;
    /// Requests a second of the whole group.
    double rate = 0.0;
    Duration from{};
    Duration until{};
    double nonIdempotentPart = 0.0;
};

enum class EndpointFault : std::uint8_t {
    /// Answers 500 after a few milliseconds.
    FastError,
    /// Refuses connections.
    Refused,
    /// Accepts requests and never answers.
    Silent,
    /// Service times are five times as long.
    Slow,
    /// Announces that it is leaving, although the list still shows it as live.
    Leaving,
};

struct FaultPeriod
{
    std::size_t endpoint = 0;
    EndpointFault fault = EndpointFault::FastError;
    Duration from{};
    Duration until{};
};

struct ModelSettings
{
    RequestPolicy policy;
    std::vector<CallerGroup> groups;
    std::vector<FaultPeriod> faults;
    /// Factor of the service time of each endpoint; empty when it is 1 for all.
    std::vector<double> serviceTimeFactors;
    Duration length{};
    Duration deadline = std::chrono::seconds(2);
    Scheduling::RequestRouterSettings router;
};

enum class RequestOutcome : std::uint8_t {
    Open,
    /// Answered without a server error and within its deadline.
    Good,
    /// Answered with a server error, or too late.
    Bad,
    RefusedNotRun,
    RefusedUnknown,
};

struct RequestRecord
{
    std::uint32_t group = 0;
    RequestOutcome outcome = RequestOutcome::Open;
    bool idempotent = true;
    bool faultAtAnswer = false;
    /// Number of times that an endpoint accepted the request.
    std::uint8_t executions = 0;
    std::uint8_t attempts = 0;
    TimePoint submittedAt{};
    /// Time at which the caller received its answer.
    TimePoint endedAt{};
};

struct AttemptRecord
{
    TimePoint at{};
    bool extra = false;
    bool crossRegion = false;
};

struct ModelResult
{
    std::vector<RequestRecord> requests;
    std::vector<AttemptRecord> attempts;
    std::uint64_t busyResponses = 0;
    /// Requests refused as `not-run` that an endpoint had accepted.
    std::uint64_t falseNotRun = 0;
    /// Non-idempotent requests that endpoints accepted more than once.
    std::uint64_t repeatedNonIdempotent = 0;
};

inline constexpr std::size_t modelEndpoints = 50;
inline constexpr std::uint32_t modelSlots = 8;
inline constexpr std::size_t modelInstances = 8;
inline constexpr double modelMeanServiceSeconds = 0.1;
/// Requests a second that all slots together can serve.
inline constexpr double modelCapacity = modelEndpoints * modelSlots / modelMeanServiceSeconds;

/// Name of the service that the fake endpoints offer.
[[nodiscard]] auto modelService() -> ServiceName;

/// Runs one simulation. \pre none. Thread-safe.
[[nodiscard]] auto runRequestModel(const ModelSettings &settings, const NamedPolicy &policy, std::uint64_t seed) -> ModelResult;

/// Runs \a task for each number below \a count on a few threads. \pre \a task is thread-safe. Thread-safe.
auto runInParallel(std::size_t count, const std::function<void(std::size_t)> &task) -> void;

} // namespace Acaciarail::Bench
