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
    /// Time after its last heartbeat for which an instance counts as live.
    Duration livenessTimeout = 2s;
    /// An instance counts as ended when it has sent no heartbeat for this long and the platform does not list it, or lists it as leaving.
    Duration endedAfter = 30s;
    /// Largest numbers of heartbeat targets in this zone, and in other zones.
    std::size_t maxZonePeers = 8;
    std::size_t maxOtherPeers = 2;
};

/// Announcement of another instance that it holds a shard.
struct ShardClaim
{
    Term term;
    InstanceName holder;
    TimePoint lastContact;
    std::uint64_t freeAccelerators = 0;
    std::uint32_t queuedJobs = 0;
};

/// State of a peer as of its latest heartbeat.
struct PeerState
{
    InstanceName name;
    ZoneName zone;
    std::uint64_t incarnation = 0;
    LogOffset nextOffset = 0;
    bool draining = false;
    TimePoint lastContact;
};

/// Determines which instances are live, from the platform's list, which lags, and the heartbeats between instances.
/// No method is thread-safe; one task owns an object.
class Membership
{
public:
    /// \pre \a self describes this instance.
    Membership(InstanceInfo self, MembershipSettings settings, std::uint64_t seed);

    /// Replaces the entries from the platform's list. \pre none.
    auto setListed(const std::vector<InstanceInfo> &instances) -> void;

    auto heartbeat(const PeerState &peer, const std::map<ShardKey, ShardClaim> &held) -> void;

    /// Targets of the next heartbeat: the instances of the zone that follow this one by name, and randomly chosen ones of other zones.
    /// \pre none.
    [[nodiscard]] auto heartbeatTargets() -> std::vector<InstanceInfo>;

    /// Number of live, not draining instances of this zone whose names precede this one's. \pre none.
    [[nodiscard]] auto rankInZone(TimePoint now) const -> std::uint32_t;

    /// Whether no live, not draining instance of any zone has a name that precedes this one's. \pre none.
    [[nodiscard]] auto isFirst(TimePoint now) const -> bool;

    /// Number of live instances, this one included. \pre none.
    [[nodiscard]] auto liveCount(TimePoint now) const -> std::size_t;

    [[nodiscard]] auto isLive(const InstanceName &name, TimePoint now) const -> bool;

    /// Whether \a incarnation of the instance has certainly ended. \pre none.
    [[nodiscard]] auto hasEnded(const InstanceName &name, std::uint64_t incarnation, TimePoint now) const -> bool;

    /// Live peers whose replica is ahead of \a nextOffset, most advanced first. \pre none.
    [[nodiscard]] auto peersAhead(LogOffset nextOffset, TimePoint now) const -> std::vector<InstanceName>;

    /// The claim to a shard with the highest term that a peer announced; empty when it is older than \a maxAge. \pre none.
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
