#pragma once

#include <acaciarail/state/record.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::State {

/// A complete snapshot found in the log.
struct FoundSnapshot
{
    LogOffset asOf = 0;
    std::vector<std::string> parts;
};

/// Finds the newest complete snapshot among the records that the log retains, for an instance that starts when the log no longer
/// has its first records.
/// No method is thread-safe; one task owns an object.
class SnapshotScanner
{
public:
    /// \a earliest is the first offset that the log retains. A snapshot of an older state is ignored, since the records after it are
    /// missing. \pre none.
    explicit SnapshotScanner(LogOffset earliest);

    /// Processes the next entry. Undecodable entries are skipped. \pre entries come in order.
    auto read(const LogEntry &entry) -> void;

    /// Offset of the next entry to read. \pre none.
    [[nodiscard]] auto nextOffset() const noexcept -> LogOffset;

    /// Returns the newest complete snapshot so far. \pre none.
    [[nodiscard]] auto found() const noexcept -> const std::optional<FoundSnapshot> &;

private:
    LogOffset m_earliest;
    LogOffset m_nextOffset;
    FoundSnapshot m_partial;
    std::optional<FoundSnapshot> m_found;
};

} // namespace Acaciarail::State
