#include <acaciarail/state/snapshot_scanner.h>

namespace Acaciarail::State {

SnapshotScanner::SnapshotScanner(LogOffset earliest)
    : m_earliest(earliest)
    , m_nextOffset(earliest)
{
}

auto SnapshotScanner::read(const LogEntry &entry) -> void
{
    m_nextOffset = entry.offset + 1;
    Record record;
    if (decodeRecord(entry.bytes, record)) {
        return;
    }
    const auto *part = std::get_if<SnapshotRecord>(&record.body);
    if (!part || part->asOf < m_earliest) {
        return;
    }
    if (part->index == 0) {
        m_partial = {part->asOf, {}};
    }
    if (part->asOf != m_partial.asOf || part->index != m_partial.parts.size()) {
        return;
    }
    m_partial.parts.push_back(part->bytes);
    if (m_partial.parts.size() == part->count) {
        m_found = std::exchange(m_partial, {});
    }
}

auto SnapshotScanner::nextOffset() const noexcept -> LogOffset
{
    return m_nextOffset;
}

auto SnapshotScanner::found() const noexcept -> const std::optional<FoundSnapshot> &
{
    return m_found;
}

} // namespace Acaciarail::State
