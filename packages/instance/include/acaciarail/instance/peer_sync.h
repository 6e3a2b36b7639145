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
    /// Limits on the recent log entries that are buffered for peers.
    std::size_t maxEntries = 4096;
    std::size_t maxBytes = 4U << 20U;
    /// Largest total of the entries in one Records message; a single larger entry is sent alone.
    std::size_t maxRecordsBytes = 256U << 10U;
    /// A request that a peer does not answer within this time is repeated, with another peer if there is one.
    Duration requestTimeout = 500ms;
};

/// Exchanges log entries and snapshots with other instances, so that an instance that cannot reach the log still follows it.
/// No method is thread-safe; one task owns an object.
class PeerSync
{
public:
    /// \pre \a replica outlives this object.
    PeerSync(PeerSyncSettings settings, const State::Replica &replica);

    /// Buffers an applied entry for peers. \pre entries come in order without gaps.
    auto entryApplied(const LogEntry &entry) -> void;

    /// Answers a peer that is behind. \pre none.
    [[nodiscard]] auto answer(const Peer::RecordsRequest &request) const -> std::vector<Peer::Message>;
    [[nodiscard]] auto answer(const Peer::SnapshotRequest &request) const -> std::vector<Peer::Message>;

    /// Adds a part of a snapshot; returns all parts once they are complete. \pre none.
    [[nodiscard]] auto received(const Peer::SnapshotPart &part) -> std::optional<std::vector<std::string>>;

    /// Returns the request to send to the first of \a peersAhead, or nothing while one is in progress.
    /// \a wantSnapshot asks for a snapshot instead of records. \pre none.
    [[nodiscard]] auto nextRequest(const std::vector<InstanceName> &peersAhead, bool wantSnapshot, TimePoint now)
        -> std::optional<std::pair<InstanceName, Peer::Message>>;

    /// The answer to a request has arrived. \pre none.
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
