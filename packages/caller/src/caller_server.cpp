#include <acaciarail/caller/caller_server.h>

#include "connection.h"

#include <acaciarail/core/logging.h>

#include <event2/listener.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <optional>
#include <utility>

namespace Acaciarail::Caller {

namespace Detail {

namespace {

constexpr int listenBacklog = 512;
/// Pause after a failed accept: without free file descriptors, for example, the listener would fail again at once.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);
constexpr Duration limitLogInterval = std::chrono::seconds(1);

auto systemError() noexcept -> std::error_code
{
    return {errno, std::system_category()};
}

auto withParserLimits(CallerServerSettings settings) -> CallerServerSettings
{
    settings.limits.maxRequestLine = std::min(settings.limits.maxRequestLine, maxParsedLine);
    settings.limits.maxHeaderLine = std::min(settings.limits.maxHeaderLine, maxParsedLine);
    return settings;
}

auto localPort(evutil_socket_t fd) noexcept -> std::uint16_t
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return 0;
    }
    return ntohs(address.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_port
                                               : reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

auto bindSocket(const std::string &address, std::uint16_t port, evutil_socket_t &fd) -> std::error_code
{
    sockaddr_storage storage{};
    int size = sizeof(storage);
    auto *sa = reinterpret_cast<sockaddr *>(&storage);
    if (evutil_parse_sockaddr_port(address.c_str(), sa, &size) != 0) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    if (storage.ss_family == AF_INET6) {
        reinterpret_cast<sockaddr_in6 *>(&storage)->sin6_port = htons(port);
    } else {
        reinterpret_cast<sockaddr_in *>(&storage)->sin_port = htons(port);
    }
    fd = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return systemError();
    }
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, sa, static_cast<socklen_t>(size)) != 0) {
        const auto ec = systemError();
        ::close(fd);
        return ec;
    }
    return {};
}

} // namespace

ServerState::ServerState(event_base *eventBase, CallerServerSettings serverSettings, CallerServerHooks serverHooks)
    : base(eventBase)
    , settings(withParserLimits(std::move(serverSettings)))
    , hooks(std::move(serverHooks))
    , m_htp(evhtp_new(eventBase, this))
    , m_acceptTimer(eventBase,
                    [this] {
                        if (m_htp && m_htp->server != nullptr) {
                            evconnlistener_enable(m_htp->server);
                        }
                    })
    , m_cleanupTimer(eventBase, [this] {
        const auto self = shared_from_this();
        m_removed.clear();
        reportIfStopped();
    })
{
    evhtp_set_gencb(m_htp.get(), &acceptRequest, this);
    evhtp_set_pre_accept_cb(m_htp.get(), &ServerState::onPreAccept, this);
    evhtp_set_post_accept_cb(m_htp.get(), &ServerState::onPostAccept, this);
    // Connection handles Expect itself, after it has checked the size of the body.
    evhtp_disable_flag(m_htp.get(), EVHTP_FLAG_ENABLE_100_CONT);
}

ServerState::~ServerState()
{
    shutDown();
}

auto ServerState::start() -> std::error_code
{
    evutil_socket_t fd = -1;
    if (const auto ec = bindSocket(settings.address, settings.port, fd)) {
        return ec;
    }
    if (evhtp_accept_socket(m_htp.get(), fd, listenBacklog) != 0) {
        const auto ec = systemError();
        ::close(fd);
        return ec ? ec : std::make_error_code(std::errc::io_error);
    }
    evconnlistener_set_error_cb(m_htp->server, &ServerState::onAcceptError);
    port = localPort(fd);
    return {};
}

auto ServerState::stop() -> void
{
    if (std::exchange(m_stopping, true)) {
        return;
    }
    m_acceptTimer.cancel();
    evhtp_unbind_socket(m_htp.get());
    const auto open = connections;
    for (const auto &it : open) {
        it.second->prepareStop();
    }
    m_cleanupTimer.start(Duration::zero());
}

auto ServerState::shutDown() -> void
{
    if (!std::exchange(m_active, false)) {
        return;
    }
    const auto open = std::exchange(connections, {});
    for (const auto &it : open) {
        it.second->close();
    }
    m_acceptTimer.cancel();
    m_cleanupTimer.cancel();
    if (m_htp->server != nullptr) {
        evhtp_unbind_socket(m_htp.get());
    }
}

auto ServerState::remove(Connection *connection) -> void
{
    const auto it = connections.find(connection);
    if (it == connections.end()) {
        return;
    }
    m_removed.push_back(std::move(it->second));
    connections.erase(it);
    if (m_active) {
        m_cleanupTimer.start(Duration::zero());
    }
}

auto ServerState::markIdle(Connection *connection) -> void
{
    idle.push_back(connection);
    connection->m_idlePosition = std::prev(idle.end());
}

auto ServerState::markBusy(Connection *connection) -> void
{
    if (const auto position = std::exchange(connection->m_idlePosition, std::nullopt)) {
        idle.erase(*position);
    }
}

auto ServerState::evictIfFull() -> bool
{
    if (connections.size() < settings.maxConnections) {
        return true;
    }
    // The first connections may have a request that is not read yet, so a few are tried.
    constexpr std::size_t maxTried = 16;
    const auto before = MonotonicClock::now() - settings.evictableAfter;
    const auto end = std::next(idle.begin(), static_cast<std::ptrdiff_t>(std::min(idle.size(), maxTried)));
    const auto found = std::find_if(idle.begin(), end, [before](const auto *it) { return it->isEvictable(before); });
    if (found == end) {
        return false;
    }
    ++stats.evictedConnections;
    reportLimit("replaced");
    (*found)->close();
    return true;
}

auto ServerState::reportLimit(std::string_view limit) -> void
{
    auto &count = m_limitCounts[limit];
    ++count.unlogged;
    const auto now = MonotonicClock::now();
    if (now - count.loggedAt >= limitLogInterval) {
        logEvent(LogLevel::Info, "client-limited",
                 {{"limit", limit}, {"count", count.unlogged}, {"connections", connections.size()}, {"bytes", stats.bufferedBytes}});
        count = {0, now};
    }
}

auto ServerState::requestOpened() -> void
{
    ++inProgress;
}

auto ServerState::requestClosed() -> void
{
    --inProgress;
}

auto ServerState::reportIfStopped() -> void
{
    if (m_active && m_stopping && connections.empty() && !std::exchange(m_stopReported, true) && hooks.onStopped) {
        hooks.onStopped();
    }
}

auto ServerState::onPreAccept(evhtp_connection_t *, void *arg) -> evhtp_res
{
    // Connections above the limit get a refusal as response, up to twice the limit; the others are closed without one.
    auto &self = *static_cast<ServerState *>(arg);
    if (self.connections.size() >= 2 * self.settings.maxConnections) {
        ++self.stats.refusedConnections;
        self.reportLimit("too-many");
        return EVHTP_RES_ERROR;
    }
    return EVHTP_RES_OK;
}

auto ServerState::onPostAccept(evhtp_connection_t *connection, void *arg) -> evhtp_res
{
    auto &self = *static_cast<ServerState *>(arg);
    const bool full = !self.evictIfFull();
    auto accepted = std::make_shared<Connection>(self, connection);
    self.connections.emplace(accepted.get(), accepted);
    ++self.stats.accepted;
    accepted->attach();
    if (full) {
        ++self.stats.refusedConnections;
        self.reportLimit("too-many");
        accepted->refuse(503,
                         {Error::Overloaded, Execution::NotRun,
                          "connections: expected at most " + std::to_string(self.settings.maxConnections) + ", found more"});
    }
    return EVHTP_RES_OK;
}

auto ServerState::onAcceptError(evconnlistener *listener, void *arg) -> void
{
    // libevhtp passes its own context, whose arg is this object.
    auto &self = *static_cast<ServerState *>(static_cast<evhtp_t *>(arg)->arg);
    logEvent(LogLevel::Warning, "accept-failed", {{"error", std::system_category().message(EVUTIL_SOCKET_ERROR())}});
    evconnlistener_disable(listener);
    self.m_acceptTimer.start(acceptRetryDelay);
}

} // namespace Detail

ReplyHandle::ReplyHandle(std::shared_ptr<Detail::ReplyState> state) noexcept
    : m_state(std::move(state))
{
}

auto ReplyHandle::send(HttpResponse response) const -> bool
{
    return m_state && m_state->send(std::move(response));
}

auto ReplyHandle::isOpen() const noexcept -> bool
{
    return m_state && m_state->isOpen();
}

CallerServer::CallerServer(event_base *base, CallerServerSettings settings, CallerServerHooks hooks)
    : m_state(std::make_shared<Detail::ServerState>(base, std::move(settings), std::move(hooks)))
{
}

CallerServer::~CallerServer()
{
    m_state->shutDown();
}

auto CallerServer::start() -> std::error_code
{
    return m_state->start();
}

auto CallerServer::port() const noexcept -> std::uint16_t
{
    return m_state->port;
}

auto CallerServer::stop() -> void
{
    m_state->stop();
}

auto CallerServer::requestsInProgress() const noexcept -> std::size_t
{
    return m_state->inProgress;
}

auto CallerServer::connections() const noexcept -> std::size_t
{
    return m_state->connections.size();
}

auto CallerServer::stats() const noexcept -> const CallerServerStats &
{
    return m_state->stats;
}

} // namespace Acaciarail::Caller
