#pragma once

#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/time.h>
#include <acaciarail/state/replica.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Acaciarail::State {

struct MembershipSettings
{
    Duration heartbeatInterval = 500ms;
    /// An instance counts as live for this long after its last heartbeat.
    Duration liveFor = 2s;
    /// An instance counts as gone when it is silent for this long and the platform does not list it as live.
    Duration goneAfter = 30s;
    std::size_t maxZonePeers = 8;
    std::size_t maxOtherPeers = 2;
};

/// A shard that another instance says it holds.
struct ShardClaim
{
    Term term;
    InstanceName holder;
    TimePoint heardAt;
    std::uint64_t freeAccelerators = 0;
    std::uint32_t queuedJobs = 0;
};

/// What a heartbeat says about its sender.
struct PeerState
{
    InstanceName name;
    ZoneName zone;
    std::uint64_t incarnation = 0;
    LogOffset nextOffset = 0;
    bool draining = false;
    TimePoint heardAt;
};

/// Combines the platform's lagging list with the heartbeats between instances.
/// No method is thread-safe; one task owns an object.
class Membership
{
public:
    /// \pre \a self is named in the settings of this instance.
    Membership(InstanceInfo self, MembershipSettings settings, std::uint64_t seed);

    /// Replaces the entries from the platform's list. \pre none.
    auto setListed(const std::vector<InstanceInfo> &instances) -> void;

    auto heartbeat(const PeerState &peer, const std::map<ShardKey, ShardClaim> &held) -> void;

    /// Instances to which the next heartbeat goes: those of the zone that follow this one in name order, and a few others at random.
    /// \pre none.
    [[nodiscard]] auto heartbeatTargets() -> std::vector<InstanceInfo>;

    /// Number of live, not draining instances of this zone whose name sorts before this one's. \pre none.
    [[nodiscard]] auto rankInZone(TimePoint now) const -> std::uint32_t;

    /// Whether no live instance anywhere sorts before this one. \pre none.
    [[nodiscard]] auto isFirst(TimePoint now) const -> bool;

    /// Number of live instances, this one included. \pre none.
    [[nodiscard]] auto liveCount(TimePoint now) const -> std::size_t;

    [[nodiscard]] auto isLive(const InstanceName &name, TimePoint now) const -> bool;

    /// Whether the instance that wrote as \a incarnation is certainly not serving under it. \pre none.
    [[nodiscard]] auto isGone(const InstanceName &name, std::uint64_t incarnation, TimePoint now) const -> bool;

    /// Live peers whose replica is ahead of \a nextOffset, most advanced first. \pre none.
    [[nodiscard]] auto peersAhead(LogOffset nextOffset, TimePoint now) const -> std::vector<InstanceName>;

    /// The latest claim to a shard heard from others; empty when it is older than \a maxAge. \pre none.
    [[nodiscard]] auto claim(const ShardKey &key, TimePoint now, Duration maxAge) const -> std::optional<ShardClaim>;

    [[nodiscard]] auto claims() const noexcept -> const std::map<ShardKey, ShardClaim> &;

    [[nodiscard]] auto listed() const noexcept -> const std::map<InstanceName, InstanceInfo> &;

private:
    InstanceInfo m_self;
    MembershipSettings m_settings;
    std::mt19937_64 m_random;
    std::map<InstanceName, InstanceInfo> m_listed;
    std::map<InstanceName, PeerState> m_peers;
    std::map<ShardKey, ShardClaim> m_claims;
};

} // namespace Acaciarail::State
