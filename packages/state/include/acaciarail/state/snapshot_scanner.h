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

/// Finds the newest complete snapshot among the records that the log still has, for an instance that starts after the
/// beginning of the log has left it.
/// No method is thread-safe; one task owns an object.
class SnapshotScanner
{
public:
    /// \a earliest is the first offset that the log still has; a snapshot of an older state is of no use. \pre none.
    explicit SnapshotScanner(LogOffset earliest);

    /// Looks at the next entry. Undecodable entries are skipped. \pre entries come in order.
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
