#pragma once

#include "snapshot_search.h"

#include <acaciarail/instance/instance.h>
#include <acaciarail/platform/log_client.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/timer.h>

namespace Acaciarail::Daemon {

/// Reads the platform's log and passes the entries to the instance. When the log no longer retains the entries that the
/// instance needs, it searches the log for the newest snapshot and restores it. Not thread-safe; used on the loop's thread.
class LogFollower
{
public:
    /// \pre all arguments outlive the follower.
    LogFollower(Runtime::EventLoop &loop, Platform::LogClient &client, Instance::Instance &instance, Duration readWait);

    /// Starts to read and continues until the follower is destroyed. \pre called once.
    auto start() -> void;

private:
    auto read() -> void;
    auto handleRead(const Platform::ReadResult &result) -> void;
    auto handleSearch(const SnapshotSearchResult &result) -> void;

    Runtime::EventLoop &m_loop;
    Platform::LogClient &m_client;
    Instance::Instance &m_instance;
    /// Time for which the log may hold a read open.
    Duration m_readWait;
    Runtime::Timer m_retryTimer;
};

} // namespace Acaciarail::Daemon
