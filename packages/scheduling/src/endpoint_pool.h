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

/// How far an endpoint is from this instance.
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
    /// Number that is never used again, also when an endpoint of the same name appears at another address.
    std::uint64_t serial;
    Locality locality;
    std::optional<TimePoint> unlistedSince;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

/// What a request asks of its endpoint.
struct Selection
{
    /// Whether the request may be the probe of an endpoint that was ejected.
    bool mayProbe = false;
    bool otherRegions = false;
    /// Serial numbers of endpoints that already had an attempt of this request.
    std::span<const std::uint64_t> tried;
};

/// The endpoints of one service as one entry instance sees them.
class EndpointPool
{
public:
    /// \pre \a settings outlives the pool. Not thread-safe.
    explicit EndpointPool(const RequestRouterSettings &settings) noexcept;

    /// \pre none. Not thread-safe.
    auto seen(const EndpointInfo &info, std::uint64_t serial, TimePoint now) -> void;

    /// Returns false when the name is unknown. \pre none. Not thread-safe.
    auto gone(const EndpointName &name, TimePoint now) -> bool;

    /// Returns an endpoint for one attempt, or null when none may take it now. \pre none. Not thread-safe.
    [[nodiscard]] auto select(const Selection &selection, TimePoint now, std::mt19937_64 &random) -> EndpointPtr;

    /// Counts an attempt towards the window of its region. \pre none. Not thread-safe.
    auto attemptStarted(const Endpoint &endpoint) -> void;

    /// Reports the end of an attempt; \a kind is empty when it was given up. \pre attemptStarted() was called. Not thread-safe.
    auto attemptEnded(const Endpoint &endpoint, std::optional<AttemptResultKind> kind, TimePoint now) -> void;

    /// Updates ejections; returns the endpoints that were found silent. \pre none. Not thread-safe.
    [[nodiscard]] auto check(TimePoint now, std::mt19937_64 &random) -> std::vector<EndpointPtr>;

    /// Returns whether a listed endpoint exists that is not leaving. \pre none. Not thread-safe.
    [[nodiscard]] auto anyUsable(TimePoint now) const -> bool;

    /// Returns whether a usable endpoint of the own region is not ejected. \pre none. Not thread-safe.
    [[nodiscard]] auto anyHealthyNearby(TimePoint now) const -> bool;

    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;

    /// Adds sizes and ejections to \a stats. \pre none. Not thread-safe.
    auto addTo(RouterStats &stats, TimePoint now) const -> void;

private:
    /// Attempts that may be in progress in another region, so that finding out that it is full costs few busy answers.
    struct RegionWindow
    {
        double size = 1.0;
        std::uint32_t inFlight = 0;
        TimePoint pausedUntil{};
        Duration pause{};
    };

    [[nodiscard]] auto localityOf(const EndpointInfo &info) const -> Locality;
    [[nodiscard]] auto find(const EndpointName &name) -> std::vector<EndpointPtr>::iterator;
    [[nodiscard]] auto isRegionClosed(const Endpoint &endpoint, TimePoint now) const -> bool;
    [[nodiscard]] auto allUsableTried(std::span<const std::uint64_t> tried, TimePoint now) const -> bool;
    auto collect(const Selection &selection, Locality locality, TimePoint now) -> void;
    [[nodiscard]] auto pick(std::mt19937_64 &random) const -> EndpointPtr;
    auto forgetUnlisted(TimePoint now) -> void;

    const RequestRouterSettings &m_settings;
    /// In the order in which they were first seen, so that choices do not depend on hashes.
    std::vector<EndpointPtr> m_endpoints;
    std::unordered_map<RegionName, RegionWindow> m_regions;
    std::vector<EndpointPtr> m_candidates;
    std::uint64_t m_forgottenEjections = 0;
};

} // namespace Acaciarail::Scheduling::Detail
