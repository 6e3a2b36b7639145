#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/policy.h>
#include <acaciarail/core/time.h>
#include <acaciarail/scheduling/admission.h>
#include <acaciarail/scheduling/endpoint_limits.h>
#include <acaciarail/scheduling/request_command.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Acaciarail::Scheduling {

struct RequestRouterSettings
{
    /// Zone and region of this instance.
    ZoneName zone;
    RegionName region;
    AdmissionSettings admission;
    EndpointLimitSettings limits;
    /// A request goes to another region only after it has waited this long, which is more than the latency between regions costs.
    Duration spillAfter = std::chrono::milliseconds(10);
    /// Bounds of the pause after a busy answer from another region.
    Duration leastRegionPause = std::chrono::milliseconds(50);
    Duration longestRegionPause = std::chrono::seconds(2);
    /// Bounds of the delay before an extra attempt after a failure.
    Duration leastRetryDelay = std::chrono::milliseconds(10);
    Duration longestRetryDelay = std::chrono::milliseconds(500);
    /// Added to an attempt's timeout before the router itself ends an attempt whose result was not reported.
    Duration resultGrace = std::chrono::milliseconds(250);
    /// Interval at which decide() is asked for while requests wait.
    Duration tick = std::chrono::milliseconds(10);
    /// Bytes of headers that are counted for each request to another region.
    std::uint64_t headerBytes = 512;
};

/// Counters since the start, and current sizes.
struct RouterStats
{
    std::uint64_t submitted = 0;
    std::uint64_t delivered = 0;
    /// Refused on arrival or later, with execution `not-run`.
    std::uint64_t refusedNotRun = 0;
    /// Refused with execution `unknown`.
    std::uint64_t refusedUnknown = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t extraAttempts = 0;
    std::uint64_t busyAnswers = 0;
    std::uint64_t leavingAnswers = 0;
    /// Attempts that failed, could not connect or timed out.
    std::uint64_t failedAttempts = 0;
    /// Results of attempts that were already given up.
    std::uint64_t lateResults = 0;
    std::uint64_t ejections = 0;
    std::uint64_t crossRegionAttempts = 0;
    std::uint64_t crossRegionBytes = 0;
    std::uint64_t queued = 0;
    std::uint64_t inFlight = 0;
    std::uint64_t endpoints = 0;
    std::uint64_t endpointsEjected = 0;
    std::uint64_t endpointsLeaving = 0;
};

/// Decides which request goes to which endpoint and when, for one entry instance and without input or output.
///
/// Every submitted request that is not refused by submit() and not cancelled ends with exactly one RefuseRequest or DeliverResponse.
/// After each batch of calls, decide() is called and its commands are carried out in order.
class RequestRouter
{
public:
    /// \a seed fixes all random choices. \pre none. Not thread-safe.
    explicit RequestRouter(RequestRouterSettings settings, std::uint64_t seed);
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter(RequestRouter &&) noexcept;
    auto operator=(const RequestRouter &) -> RequestRouter & = delete;
    auto operator=(RequestRouter &&) noexcept -> RequestRouter &;
    ~RequestRouter();

    /// Replaces the policy. Requests of services that are no longer named are refused unless they are in progress.
    /// \pre \a now does not decrease between calls (this holds for every method). Not thread-safe.
    auto setPolicy(const RequestPolicy &policy, TimePoint now) -> void;

    /// Adds or updates an endpoint from the instance list. An endpoint that itself said that it is leaving stays so although the list
    /// says otherwise, unless its address changed. \pre none. Not thread-safe.
    auto endpointSeen(const EndpointInfo &endpoint, TimePoint now) -> void;

    /// The endpoint is no longer listed: no new attempts; those in progress continue. \pre none. Not thread-safe.
    auto endpointGone(const EndpointName &name, TimePoint now) -> void;

    /// Queues a request, or returns why it is refused; the execution is then always `not-run`. Errors: UnknownService,
    /// UnknownOrganisation, DuplicateName, DeadlinePassed, DeadlineUnreachable, Overloaded, NoEndpoint.
    /// \pre the id is new. Not thread-safe.
    [[nodiscard]] auto submit(const RequestInfo &request, TimePoint now) -> std::optional<Failure>;

    /// The caller went away: no answer is wanted. Unknown ids are ignored. \pre none. Not thread-safe.
    auto cancel(RequestId id, TimePoint now) -> void;

    /// Reports the end of an attempt. Unknown, repeated and late results are counted and otherwise ignored.
    /// \pre none. Not thread-safe.
    auto attemptEnded(RequestId id, std::uint32_t attempt, const AttemptResult &result, TimePoint now) -> void;

    /// Returns the commands that are due. \pre none. Not thread-safe.
    [[nodiscard]] auto decide(TimePoint now) -> std::vector<RequestCommand>;

    /// Returns when decide() is to be called at the latest, if no other call comes first. \pre none. Not thread-safe.
    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;

    /// \pre none. Not thread-safe.
    [[nodiscard]] auto stats() const -> RouterStats;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Acaciarail::Scheduling
