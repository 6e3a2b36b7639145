#pragma once

#include "snapshot_search.h"

#include <acaciarail/operator/audit.h>
#include <acaciarail/platform/log_client.h>
#include <acaciarail/state/replica.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Acaciarail::Daemon {

/// Audit events of the records that the log still retains, in log order.
struct AuditEvents
{
    /// Whether the events start at the first record ever written.
    bool complete = false;
    std::vector<Operator::AuditEvent> events;
    /// Set when the log could not be read to its end.
    std::optional<Failure> failure;
};

/// Reads the whole log once and converts the records that took effect into audit events.
/// Not thread-safe; used on the loop's thread.
class AuditSource : public std::enable_shared_from_this<AuditSource>
{
public:
    /// Starts to read; \a done is called once, never from inside this call. \pre \a client outlives the read.
    static auto read(Platform::LogClient &client, std::function<void(AuditEvents)> done) -> void;

    /// Public for std::make_shared only; use read(). \pre none.
    AuditSource(Platform::LogClient &client, std::function<void(AuditEvents)> done);

private:
    auto readNext() -> void;
    auto handleRead(const Platform::ReadResult &result) -> void;
    auto handleSearch(const SnapshotSearchResult &result) -> void;
    auto finish(std::optional<Failure> failure) -> void;

    Platform::LogClient &m_client;
    std::function<void(AuditEvents)> m_done;
    State::Replica m_replica;
    AuditEvents m_events;
};

} // namespace Acaciarail::Daemon
