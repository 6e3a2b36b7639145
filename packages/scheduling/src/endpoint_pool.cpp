#include "endpoint_pool.h"

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

namespace {

/// Weight of the recent failure rate when two endpoints are compared.
constexpr double failureRateWeight = 4.0;

/// Growth of the window of a region for each response, in attempts.
constexpr double regionWindowGrowth = 0.5;
/// Factor by which a busy response reduces the window of its region.
constexpr double regionWindowReductionFactor = 0.5;

auto isUsable(const Endpoint &endpoint, TimePoint now) -> bool
{
    return !endpoint.unlistedSince && !endpoint.info.leaving && !endpoint.limit.announcedDeparture(now);
}

auto isTried(const Endpoint &endpoint, std::span<const std::uint64_t> tried) -> bool
{
    return std::find(tried.begin(), tried.end(), endpoint.serial) != tried.end();
}

/// Cost of choosing an endpoint; lower is better: its mean latency, raised by load and recent failures. \a defaultLatency in
/// microseconds stands for the mean latency of an endpoint that has not answered yet.
auto costOf(const Endpoint &endpoint, double defaultLatency) -> double
{
    const auto &limit = endpoint.limit;
    const auto mean = limit.meanLatency();
    const auto latency = mean ? static_cast<double>(mean->count()) : defaultLatency;
    const auto load = 1.0 + limit.inFlight() / std::max(1.0, limit.limit());
    return latency * load * (1.0 + failureRateWeight * limit.failureRate());
}

} // namespace

EndpointPool::EndpointPool(const RequestRouterSettings &settings) noexcept
    : m_settings(settings)
{
}

auto EndpointPool::localityOf(const EndpointInfo &info) const -> Locality
{
    if (info.region != m_settings.region) {
        return Locality::OtherRegion;
    }
    return info.zone == m_settings.zone ? Locality::OwnZone : Locality::OwnRegion;
}

auto EndpointPool::find(const EndpointName &name) -> std::vector<EndpointPtr>::iterator
{
    return std::find_if(m_endpoints.begin(), m_endpoints.end(), [&name](const auto &it) { return it->info.name == name; });
}

auto EndpointPool::update(const EndpointInfo &info, std::uint64_t serial, TimePoint now) -> void
{
    removeUnlisted(now);
    const auto it = find(info.name);
    if (it == m_endpoints.end()) {
        m_endpoints.push_back(std::make_shared<Endpoint>(info, m_settings.limits, serial, localityOf(info)));
        return;
    }
    auto &entry = *it;
    if (entry->info.address != info.address) {
        m_removedEjections += entry->limit.totalEjections();
        entry = std::make_shared<Endpoint>(info, m_settings.limits, serial, localityOf(info));
        return;
    }
    entry->info = info;
    entry->locality = localityOf(info);
    entry->limit.setSlots(std::max(1U, info.slots));
    entry->unlistedSince.reset();
}

auto EndpointPool::markUnlisted(const EndpointName &name, TimePoint now) -> bool
{
    const auto it = find(name);
    if (it == m_endpoints.end()) {
        return false;
    }
    if (!(*it)->unlistedSince) {
        (*it)->unlistedSince = now;
    }
    removeUnlisted(now);
    return true;
}

auto EndpointPool::removeUnlisted(TimePoint now) -> void
{
    // An endpoint that is missing from a stale list for a short time keeps its state.
    std::erase_if(m_endpoints, [this, now](const auto &it) {
        const auto &endpoint = *it;
        const auto isExpired = endpoint.unlistedSince && now - *endpoint.unlistedSince >= m_settings.limits.departureRetention;
        if (isExpired) {
            m_removedEjections += endpoint.limit.totalEjections();
        }
        return isExpired;
    });
}

auto EndpointPool::isRegionWindowClosed(const Endpoint &endpoint, TimePoint now) const -> bool
{
    if (endpoint.locality != Locality::OtherRegion) {
        return false;
    }
    const auto it = m_regions.find(endpoint.info.region);
    if (it == m_regions.end()) {
        return false;
    }
    const auto &window = it->second;
    return now < window.pausedUntil || window.inFlight >= window.size;
}

auto EndpointPool::allUsableTried(std::span<const std::uint64_t> tried, TimePoint now) const -> bool
{
    return std::none_of(m_endpoints.begin(), m_endpoints.end(), [tried, now](const auto &it) {
        const auto &endpoint = *it;
        return isUsable(endpoint, now) && endpoint.limit.health() != EndpointHealth::Ejected && !isTried(endpoint, tried);
    });
}

auto EndpointPool::collectCandidates(const Selection &selection, Locality locality, TimePoint now) -> void
{
    m_candidates.clear();
    for (const auto &it : m_endpoints) {
        if (it->locality != locality || !isUsable(*it, now) || !it->limit.mayStart(now) || isRegionWindowClosed(*it, now)) {
            continue;
        }
        if (isTried(*it, selection.tried)) {
            continue;
        }
        if (it->limit.health() == EndpointHealth::Probing) {
            if (selection.mayProbe) {
                m_candidates.assign(1, it);
                return;
            }
            continue;
        }
        m_candidates.push_back(it);
    }
}

auto EndpointPool::chooseCandidate(std::mt19937_64 &random) const -> EndpointPtr
{
    const auto n = m_candidates.size();
    if (n == 1) {
        return m_candidates.front();
    }
    // Power of two choices: instances do not communicate, so choosing the best of all endpoints would make them all choose the same one.
    const auto a = std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    const auto other = std::uniform_int_distribution<std::size_t>(0, n - 2)(random);
    const auto b = other < a ? other : other + 1;
    return costOf(*m_candidates[b], 0.0) < costOf(*m_candidates[a], 0.0) ? m_candidates[b] : m_candidates[a];
}

auto EndpointPool::select(const Selection &selection, TimePoint now, std::mt19937_64 &random) -> EndpointPtr
{
    auto wanted = selection;
    if (!wanted.tried.empty() && allUsableTried(wanted.tried, now)) {
        wanted.tried = {};
    }
    for (const auto locality : {Locality::OwnZone, Locality::OwnRegion, Locality::OtherRegion}) {
        if (locality == Locality::OtherRegion && !selection.otherRegions) {
            break;
        }
        collectCandidates(wanted, locality, now);
        if (!m_candidates.empty()) {
            return chooseCandidate(random);
        }
    }
    return nullptr;
}

auto EndpointPool::attemptStarted(const Endpoint &endpoint) -> void
{
    if (endpoint.locality == Locality::OtherRegion) {
        ++m_regions[endpoint.info.region].inFlight;
    }
}

auto EndpointPool::attemptEnded(const Endpoint &endpoint, std::optional<AttemptResultKind> kind, TimePoint now) -> void
{
    if (endpoint.locality != Locality::OtherRegion) {
        return;
    }
    auto &window = m_regions[endpoint.info.region];
    --window.inFlight;
    if (kind == AttemptResultKind::Answered) {
        window.pause = Duration{};
        window.size += regionWindowGrowth;
    }
    if (kind == AttemptResultKind::Busy) {
        window.pause = std::clamp(2 * window.pause, m_settings.minRegionPause, m_settings.maxRegionPause);
        window.pausedUntil = now + window.pause;
        window.size = std::max(1.0, window.size * regionWindowReductionFactor);
    }
}

auto EndpointPool::checkHealth(TimePoint now, std::mt19937_64 &random) -> std::vector<EndpointPtr>
{
    std::vector<EndpointPtr> ejected;
    for (const auto &it : m_endpoints) {
        it->limit.update(now);
        if (it->limit.ejectIfUnresponsive(now, random)) {
            ejected.push_back(it);
        }
    }
    return ejected;
}

auto EndpointPool::anyUsable(TimePoint now) const -> bool
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [now](const auto &it) { return isUsable(*it, now); });
}

auto EndpointPool::anyHealthyInRegion(TimePoint now) const -> bool
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [now](const auto &it) {
        const auto &endpoint = *it;
        const auto healthy = endpoint.limit.health() == EndpointHealth::Healthy;
        return endpoint.locality != Locality::OtherRegion && healthy && isUsable(endpoint, now);
    });
}

auto EndpointPool::nextDeadline() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> next;
    for (const auto &it : m_endpoints) {
        const auto due = it->limit.nextDeadline();
        if (due && (!next || *due < *next)) {
            next = due;
        }
    }
    return next;
}

auto EndpointPool::addStats(RouterStats &stats, TimePoint now) const -> void
{
    stats.ejections += m_removedEjections;
    for (const auto &it : m_endpoints) {
        stats.ejections += it->limit.totalEjections();
        if (it->unlistedSince) {
            continue;
        }
        ++stats.endpoints;
        stats.endpointsEjected += it->limit.health() == EndpointHealth::Ejected ? 1 : 0;
        stats.endpointsLeaving += isUsable(*it, now) ? 0 : 1;
    }
}

} // namespace Acaciarail::Scheduling::Detail
