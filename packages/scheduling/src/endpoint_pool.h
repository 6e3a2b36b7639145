#pragma once

#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>
#include <acaciarail/scheduling/endpoint_limits.h>
#include <acaciarail/scheduling/request_router.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Scheduling::Detail {

/// Location of an endpoint relative to this instance.
enum class Locality : std::uint8_t {
    OwnZone,
    OwnRegion,
    OtherRegion,
};

struct Endpoint
{
    Endpoint(const EndpointInfo &endpoint, const EndpointLimitSettings &settings, std::uint64_t number, Locality where)
        : info(endpoint)
        , limit(settings, std::max(1U, endpoint.slots))
        , serial(number)
        , locality(where)
    {
    }

    EndpointInfo info;
    EndpointLimit limit;
    /// Unique number that is never reused; an endpoint of the same name at another address gets a new one.
    std::uint64_t serial;
    Locality locality;
    std::optional<TimePoint> unlistedSince;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

/// Constraints of a request on the choice of its endpoint.
struct Selection
{
    /// Whether the request may be used to probe an endpoint after its ejection.
    bool mayProbe = false;
    bool otherRegions = false;
    /// Serial numbers of the endpoints at which this request already had an attempt.
    std::span<const std::uint64_t> tried;
};

/// The endpoints of one service as one entry instance sees them.
class EndpointPool
{
public:
    /// \pre \a settings outlives the pool. Not thread-safe.
    explicit EndpointPool(const RequestRouterSettings &settings) noexcept;

    /// Adds or updates a listed endpoint. \a serial is used when the endpoint is new. \pre none. Not thread-safe.
    auto update(const EndpointInfo &info, std::uint64_t serial, TimePoint now) -> void;

    /// Records that an endpoint is no longer listed. Returns false when the name is unknown. \pre none. Not thread-safe.
    auto markUnlisted(const EndpointName &name, TimePoint now) -> bool;

    /// Returns an endpoint for one attempt, or null when none may take it now. \pre none. Not thread-safe.
    [[nodiscard]] auto select(const Selection &selection, TimePoint now, std::mt19937_64 &random) -> EndpointPtr;

    /// Counts an attempt against the window of its region. \pre none. Not thread-safe.
    auto attemptStarted(const Endpoint &endpoint) -> void;

    /// Reports the end of an attempt; \a kind is empty when it was cancelled. \pre attemptStarted() was called. Not thread-safe.
    auto attemptEnded(const Endpoint &endpoint, std::optional<AttemptResultKind> kind, TimePoint now) -> void;

    /// Ends ejections that are due and ejects unresponsive endpoints; returns the endpoints ejected by this call. \pre none. Not
    /// thread-safe.
    [[nodiscard]] auto checkHealth(TimePoint now, std::mt19937_64 &random) -> std::vector<EndpointPtr>;

    /// Returns whether a listed endpoint exists that is not leaving. \pre none. Not thread-safe.
    [[nodiscard]] auto anyUsable(TimePoint now) const -> bool;

    /// Returns whether the region of this instance has a healthy and usable endpoint. \pre none. Not thread-safe.
    [[nodiscard]] auto anyHealthyInRegion(TimePoint now) const -> bool;

    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;

    /// Adds sizes and ejections to \a stats. \pre none. Not thread-safe.
    auto addStats(RouterStats &stats, TimePoint now) const -> void;

private:
    /// Limits the concurrent attempts in another region, so that few busy responses suffice to detect that the region is full.
    struct RegionWindow
    {
        double size = 1.0;
        std::uint32_t inFlight = 0;
        TimePoint pausedUntil{};
        Duration pause{};
    };

    [[nodiscard]] auto localityOf(const EndpointInfo &info) const -> Locality;
    [[nodiscard]] auto find(const EndpointName &name) -> std::vector<EndpointPtr>::iterator;
    [[nodiscard]] auto isRegionWindowClosed(const Endpoint &endpoint, TimePoint now) const -> bool;
    [[nodiscard]] auto allUsableTried(std::span<const std::uint64_t> tried, TimePoint now) const -> bool;
    auto collectCandidates(const Selection &selection, Locality locality, TimePoint now) -> void;
    [[nodiscard]] auto chooseCandidate(std::mt19937_64 &random) const -> EndpointPtr;
    auto removeUnlisted(TimePoint now) -> void;

    const RequestRouterSettings &m_settings;
    /// In the order of their first listing, so that choices do not depend on hash values.
    std::vector<EndpointPtr> m_endpoints;
    std::unordered_map<RegionName, RegionWindow> m_regions;
    std::vector<EndpointPtr> m_candidates;
    std::uint64_t m_removedEjections = 0;
};

} // namespace Acaciarail::Scheduling::Detail
