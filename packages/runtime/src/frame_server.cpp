#include "frame_connection_state.h"

#include <acaciarail/core/logging.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace Acaciarail::Runtime {

namespace {

/// After an accept error, for example too many open files, a shorter delay would keep the loop busy with failing calls.
constexpr Duration acceptRetryDelay = 100ms;
constexpr int listenBacklog = 1024;

} // namespace

struct FrameServer::State
{
    State(EventLoop &l, FrameServerSettings s, Accepted a)
        : loop(l)
        , settings(std::move(s))
        , accepted(std::move(a))
        , resumeTimer(l, [this] { resume(); })
    {
    }
    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    auto resume() const -> void
    {
        if (listener != nullptr) {
            evconnlistener_enable(listener);
        }
    }

    auto accept(evutil_socket_t fd, const sockaddr *peer) -> void
    {
        if (*count >= settings.maxConnections) {
            logEvent(LogLevel::Warning, "connection-refused", {{"reason", "too-many-connections"}, {"limit", settings.maxConnections}});
            ::close(fd);
            return;
        }
        auto state = std::make_shared<FrameConnection::State>(loop, settings.frames, Detail::fromSystemAddress(peer));
        ++*count;
        state->serverSlot = std::shared_ptr<void>(nullptr, [n = count](void *) { --*n; });
        state->attach(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
        state->handleOpened();
        // The hook may destroy the server, so a copy is called.
        const auto hook = accepted;
        hook(std::unique_ptr<FrameConnection>(new FrameConnection(std::move(state))));
    }

    auto acceptFailed() -> void
    {
        const std::error_code error(EVUTIL_SOCKET_ERROR(), std::generic_category());
        logEvent(LogLevel::Error, "accept-failed", {{"error", error.message()}});
        evconnlistener_disable(listener);
        resumeTimer.start(acceptRetryDelay);
    }

    EventLoop &loop;
    FrameServerSettings settings;
    Accepted accepted;
    Timer resumeTimer;
    evconnlistener *listener = nullptr;
    SocketAddress bound;
    std::shared_ptr<std::size_t> count = std::make_shared<std::size_t>(0);
};

FrameServer::FrameServer(EventLoop &loop, FrameServerSettings settings, Accepted accepted)
    : m_state(std::make_shared<State>(loop, std::move(settings), std::move(accepted)))
{
}

FrameServer::~FrameServer()
{
    stop();
}

auto FrameServer::listen() -> std::error_code
{
    auto target = Detail::toSystemAddress(m_state->settings.address);
    if (!target) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    const auto onAccept = [](evconnlistener *, evutil_socket_t fd, sockaddr *peer, int, void *arg) {
        static_cast<State *>(arg)->accept(fd, peer);
    };
    const auto flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    m_state->listener =
        evconnlistener_new_bind(m_state->loop.base(), onAccept, m_state.get(), flags, listenBacklog, target->get(), target->length);
    if (m_state->listener == nullptr) {
        return {errno, std::generic_category()};
    }
    evconnlistener_set_error_cb(m_state->listener, [](evconnlistener *, void *arg) { static_cast<State *>(arg)->acceptFailed(); });
    Detail::SystemAddress actual;
    socklen_t length = sizeof actual.storage;
    if (::getsockname(evconnlistener_get_fd(m_state->listener), actual.get(), &length) != 0) {
        const std::error_code error(errno, std::generic_category());
        stop();
        return error;
    }
    m_state->bound = Detail::fromSystemAddress(actual.get());
    return {};
}

auto FrameServer::stop() -> void
{
    m_state->resumeTimer.cancel();
    if (m_state->listener != nullptr) {
        evconnlistener_free(std::exchange(m_state->listener, nullptr));
    }
}

auto FrameServer::address() const -> SocketAddress
{
    return m_state->bound;
}

auto FrameServer::port() const -> std::uint16_t
{
    return m_state->bound.port;
}

auto FrameServer::connectionCount() const noexcept -> std::size_t
{
    return *m_state->count;
}

} // namespace Acaciarail::Runtime
