#pragma once

#include <acaciarail/peer/messages.h>
#include <acaciarail/state/replica.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::Instance {

struct PeerSyncSettings
{
    /// Recent log entries that are kept for peers.
    std::size_t maxEntries = 4096;
    std::size_t maxBytes = 4U << 20U;
    /// Bytes of one Records message.
    std::size_t maxRecordsBytes = 256U << 10U;
    /// A request to a peer that is not answered for this long is repeated, at another peer if there is one.
    Duration requestTimeout = 500ms;
};

/// Passes log entries and snapshots between instances, so that one that cannot reach the log still follows it.
/// No method is thread-safe; one task owns an object.
class PeerSync
{
public:
    /// \pre \a replica outlives this object.
    PeerSync(PeerSyncSettings settings, const State::Replica &replica);

    /// Keeps an applied entry for peers. \pre entries come in order without gaps.
    auto entryApplied(const LogEntry &entry) -> void;

    /// Answers a peer that is behind. \pre none.
    [[nodiscard]] auto answer(const Peer::RecordsRequest &request) const -> std::vector<Peer::Message>;
    [[nodiscard]] auto answer(const Peer::SnapshotRequest &request) const -> std::vector<Peer::Message>;

    /// Takes a part; returns the whole snapshot once it is complete. \pre none.
    [[nodiscard]] auto received(const Peer::SnapshotPart &part) -> std::optional<std::vector<std::string>>;

    /// Returns the request to send to the first of \a peersAhead, or nothing while one is under way.
    /// \a wantSnapshot asks for a snapshot instead of records. \pre none.
    [[nodiscard]] auto nextRequest(const std::vector<InstanceName> &peersAhead, bool wantSnapshot, TimePoint now)
        -> std::optional<std::pair<InstanceName, Peer::Message>>;

    /// Notes that the answer to a request arrived. \pre none.
    auto answered() -> void;

private:
    PeerSyncSettings m_settings;
    const State::Replica &m_replica;
    std::deque<LogEntry> m_recent;
    std::size_t m_recentBytes = 0;
    LogOffset m_partialOffset = 0;
    std::vector<std::string> m_partial;
    std::optional<TimePoint> m_requestedAt;
    std::size_t m_attempts = 0;
};

} // namespace Acaciarail::Instance
