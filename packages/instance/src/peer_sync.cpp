#include <acaciarail/instance/peer_sync.h>

namespace Acaciarail::Instance {

PeerSync::PeerSync(PeerSyncSettings settings, const State::Replica &replica)
    : m_settings(settings)
    , m_replica(replica)
{
}

auto PeerSync::entryApplied(const LogEntry &entry) -> void
{
    if (!m_recent.empty() && entry.offset != m_recent.back().offset + 1) {
        m_recent.clear();
        m_recentBytes = 0;
    }
    m_recent.push_back(entry);
    m_recentBytes += entry.bytes.size();
    while (m_recent.size() > m_settings.maxEntries || m_recentBytes > m_settings.maxBytes) {
        m_recentBytes -= m_recent.front().bytes.size();
        m_recent.pop_front();
    }
}

auto PeerSync::answer(const Peer::RecordsRequest &request) const -> std::vector<Peer::Message>
{
    if (request.from >= m_replica.nextOffset()) {
        return {Peer::Records{}};
    }
    if (m_recent.empty() || request.from < m_recent.front().offset) {
        return answer(Peer::SnapshotRequest{request.from});
    }
    Peer::Records records;
    std::size_t bytes = 0;
    for (auto i = request.from - m_recent.front().offset; i < m_recent.size(); ++i) {
        bytes += m_recent[i].bytes.size();
        if (!records.entries.empty() && bytes > m_settings.maxRecordsBytes) {
            break;
        }
        records.entries.push_back(m_recent[i]);
    }
    return {std::move(records)};
}

auto PeerSync::answer(const Peer::SnapshotRequest &request) const -> std::vector<Peer::Message>
{
    if (request.from >= m_replica.nextOffset()) {
        return {Peer::Records{}};
    }
    std::vector<Peer::Message> messages;
    const auto parts = m_replica.snapshot();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        messages.emplace_back(
            Peer::SnapshotPart{m_replica.nextOffset(), static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(parts.size()), parts[i]});
    }
    return messages;
}

auto PeerSync::received(const Peer::SnapshotPart &part) -> std::optional<std::vector<std::string>>
{
    if (part.index == 0) {
        m_partial.clear();
        m_partialOffset = part.nextOffset;
    }
    if (part.nextOffset != m_partialOffset || part.index != m_partial.size()) {
        return std::nullopt;
    }
    m_partial.push_back(part.bytes);
    if (m_partial.size() < part.count) {
        return std::nullopt;
    }
    answered();
    return std::exchange(m_partial, {});
}

auto PeerSync::nextRequest(const std::vector<InstanceName> &peersAhead, bool wantSnapshot, TimePoint now)
    -> std::optional<std::pair<InstanceName, Peer::Message>>
{
    if (peersAhead.empty() || (m_requestedAt && now - *m_requestedAt < m_settings.requestTimeout)) {
        return std::nullopt;
    }
    // The next peer is tried after a request that was not answered.
    m_attempts = m_requestedAt ? m_attempts + 1 : 0;
    m_requestedAt = now;
    const auto &peer = peersAhead[m_attempts % peersAhead.size()];
    const auto from = m_replica.nextOffset();
    return std::pair(peer, wantSnapshot ? Peer::Message(Peer::SnapshotRequest{from}) : Peer::Message(Peer::RecordsRequest{from}));
}

auto PeerSync::answered() -> void
{
    m_requestedAt.reset();
    m_attempts = 0;
}

} // namespace Acaciarail::Instance
