#include <acaciarail/state/membership.h>

#include <algorithm>

namespace Acaciarail::State {

Membership::Membership(InstanceInfo self, MembershipSettings settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
{
}

auto Membership::setListed(const std::vector<InstanceInfo> &instances) -> void
{
    m_listed.clear();
    for (const auto &it : instances) {
        if (it.name != m_self.name) {
            m_listed.emplace(it.name, it);
        }
    }
}

auto Membership::heartbeat(const PeerState &peer, const std::map<ShardKey, ShardClaim> &held) -> void
{
    if (peer.name == m_self.name) {
        return;
    }
    m_peers[peer.name] = peer;
    for (const auto &[key, claim] : held) {
        auto &current = m_claims[key];
        if (claim.term >= current.term) {
            current = claim;
        }
    }
}

auto Membership::heartbeatTargets() -> std::vector<InstanceInfo>
{
    std::vector<InstanceInfo> zonePeers;
    std::vector<InstanceInfo> others;
    for (const auto &[name, it] : m_listed) {
        (it.zone == m_self.zone ? zonePeers : others).push_back(it);
    }
    // The instances form a ring by name that starts after this one, so each receives heartbeats from as many peers as it sends to.
    const auto next = std::find_if(zonePeers.begin(), zonePeers.end(), [this](const InstanceInfo &it) { return it.name > m_self.name; });
    std::rotate(zonePeers.begin(), next, zonePeers.end());
    zonePeers.resize(std::min(zonePeers.size(), m_settings.maxZonePeers));
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(others.size(), m_settings.maxOtherPeers));
    zonePeers.insert(zonePeers.end(), others.begin(), others.end());
    return zonePeers;
}

auto Membership::rankInZone(TimePoint now) const -> std::uint32_t
{
    const auto n = std::count_if(m_peers.begin(), m_peers.end(), [this, now](const auto &it) {
        return it.second.zone == m_self.zone && it.first < m_self.name && !it.second.draining && isLive(it.first, now);
    });
    return static_cast<std::uint32_t>(n);
}

auto Membership::isFirst(TimePoint now) const -> bool
{
    return std::none_of(m_peers.begin(), m_peers.end(),
                        [this, now](const auto &it) { return it.first < m_self.name && !it.second.draining && isLive(it.first, now); });
}

auto Membership::liveCount(TimePoint now) const -> std::size_t
{
    const auto n = std::count_if(m_peers.begin(), m_peers.end(), [this, now](const auto &it) { return isLive(it.first, now); });
    return static_cast<std::size_t>(n) + 1;
}

auto Membership::isLive(const InstanceName &name, TimePoint now) const -> bool
{
    const auto it = m_peers.find(name);
    return name == m_self.name || (it != m_peers.end() && now - it->second.lastContact <= m_settings.livenessTimeout);
}

auto Membership::hasEnded(const InstanceName &name, std::uint64_t incarnation, TimePoint now) const -> bool
{
    if (name == m_self.name) {
        return false;
    }
    const auto it = m_peers.find(name);
    if (it != m_peers.end() && it->second.incarnation != incarnation) {
        return true;
    }
    const auto isListed = m_listed.contains(name) && !m_listed.at(name).leaving;
    const auto isWithoutContact = it == m_peers.end() || now - it->second.lastContact > m_settings.endedAfter;
    return isWithoutContact && !isListed;
}

auto Membership::peersAhead(LogOffset nextOffset, TimePoint now) const -> std::vector<InstanceName>
{
    std::vector<const PeerState *> ahead;
    for (const auto &[name, it] : m_peers) {
        if (it.nextOffset > nextOffset && isLive(name, now)) {
            ahead.push_back(&it);
        }
    }
    std::sort(ahead.begin(), ahead.end(), [](const auto *a, const auto *b) { return a->nextOffset > b->nextOffset; });
    std::vector<InstanceName> names;
    names.reserve(ahead.size());
    for (const auto *it : ahead) {
        names.push_back(it->name);
    }
    return names;
}

auto Membership::claim(const ShardKey &key, TimePoint now, Duration maxAge) const -> std::optional<ShardClaim>
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end() || now - it->second.lastContact > maxAge) {
        return std::nullopt;
    }
    return it->second;
}

auto Membership::claims() const noexcept -> const std::map<ShardKey, ShardClaim> &
{
    return m_claims;
}

auto Membership::listed() const noexcept -> const std::map<InstanceName, InstanceInfo> &
{
    return m_listed;
}

} // namespace Acaciarail::State
