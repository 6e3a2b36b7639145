#pragma once

#include <acaciarail/platform/log_client.h>
#include <acaciarail/state/snapshot_scanner.h>

#include <functional>
#include <memory>
#include <optional>

namespace Acaciarail::Daemon {

/// Result of a search; \c reachedEnd tells whether the log was read to its end.
struct SnapshotSearchResult
{
    bool reachedEnd = false;
    std::optional<State::FoundSnapshot> snapshot;
};

/// Reads the log once from its earliest record to its end and finds the newest complete snapshot.
/// Not thread-safe; used on the loop's thread.
class SnapshotSearch : public std::enable_shared_from_this<SnapshotSearch>
{
public:
    using Done = std::function<void(const SnapshotSearchResult &)>;

    /// Starts to read; \a done is called once, never from inside this call. \pre \a client outlives the search.
    static auto start(Platform::LogClient &client, LogOffset earliest, Done done) -> void;

    /// Public for std::make_shared only; use start(). \pre none.
    SnapshotSearch(Platform::LogClient &client, LogOffset earliest, Done done);

private:
    auto readNext() -> void;
    auto handleRead(const Platform::ReadResult &result) -> void;

    Platform::LogClient &m_client;
    State::SnapshotScanner m_scanner;
    Done m_done;
};

} // namespace Acaciarail::Daemon
