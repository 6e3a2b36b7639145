#include "log_follower.h"

#include <acaciarail/core/logging.h>

namespace Acaciarail::Daemon {

namespace {

constexpr Duration retryDelay = 200ms;

} // namespace

LogFollower::LogFollower(Runtime::EventLoop &loop, Platform::LogClient &client, Instance::Instance &instance, Duration readWait)
    : m_loop(loop)
    , m_client(client)
    , m_instance(instance)
    , m_readWait(readWait)
    , m_retryTimer(loop, [this] { read(); })
{
}

auto LogFollower::start() -> void
{
    read();
}

auto LogFollower::read() -> void
{
    Platform::ReadRequest request;
    request.from = m_instance.nextOffset();
    request.wait = m_readWait;
    m_client.read(request, [this](const Platform::ReadResult &result) { handleRead(result); });
}

auto LogFollower::handleRead(const Platform::ReadResult &result) -> void
{
    switch (result.status) {
    case Platform::ReadStatus::Ok:
        m_instance.logRead(result.entries, {result.earliest, result.next}, m_loop.now());
        read();
        return;
    case Platform::ReadStatus::NotRetained:
        logEvent(LogLevel::Warning, "log-scan", {{"offset", m_instance.nextOffset()}, {"earliest", result.earliest}});
        SnapshotSearch::start(m_client, result.earliest, [this](const SnapshotSearchResult &found) { handleSearch(found); });
        return;
    case Platform::ReadStatus::Failed:
        break;
    }
    m_instance.logReadFailed(m_loop.now());
    m_retryTimer.start(retryDelay);
}

auto LogFollower::handleSearch(const SnapshotSearchResult &result) -> void
{
    const auto &found = result.snapshot;
    const auto isRestored = found && !m_instance.restoreSnapshot(found->asOf, found->parts, m_loop.now());
    if (result.reachedEnd && !isRestored) {
        logEvent(LogLevel::Error, "no-snapshot", {{"offset", m_instance.nextOffset()}});
    }
    if (!isRestored) {
        m_instance.logReadFailed(m_loop.now());
    }
    m_retryTimer.start(isRestored ? Duration::zero() : retryDelay);
}

} // namespace Acaciarail::Daemon
