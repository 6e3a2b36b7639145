#include <acaciarail/core/error.h>
#include <acaciarail/runtime/backoff.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/reconnecting_connection.h>
#include <acaciarail/runtime/timer.h>

#include <utility>

namespace Acaciarail::Runtime {

struct ReconnectingConnection::State
{
    State(EventLoop &l, SocketAddress a, const ReconnectSettings &s, ReconnectHooks h, std::uint64_t seed)
        : loop(l)
        , address(std::move(a))
        , settings(s)
        , hooks(std::make_shared<const ReconnectHooks>(std::move(h)))
        , backoff(s.minBackoff, s.maxBackoff, seed)
        , retryTimer(l, [this] { open(); })
    {
    }

    auto open() -> void
    {
        // The hooks of a connection are dropped when it is closed, so that they never outlive this state.
        FrameHooks events;
        events.connected = [this] { opened(); };
        events.received = [this](std::string_view content) { frameReceived(content); };
        events.closed = [this](const CloseInfo &info) { lost(info); };
        connection = FrameConnection::connect(loop, address, settings.frames, std::move(events));
        if (!hooks->handshake) {
            return;
        }
        if (const auto content = hooks->handshake(); !content.empty()) {
            [[maybe_unused]] const auto error = connection->send(content);
            connection->expectReplies();
        }
    }

    auto opened() const -> void
    {
        const auto current = hooks;
        if (current->up) {
            current->up();
        }
    }

    auto frameReceived(std::string_view content) -> void
    {
        backoff.reset();
        const auto current = hooks;
        if (current->received) {
            current->received(content);
        }
    }

    auto lost(const CloseInfo &info) -> void
    {
        connection.reset();
        retryTimer.start(backoff.next());
        const auto current = hooks;
        if (current->down) {
            current->down(info);
        }
    }

    EventLoop &loop;
    SocketAddress address;
    ReconnectSettings settings;
    std::shared_ptr<const ReconnectHooks> hooks;
    Backoff backoff;
    Timer retryTimer;
    std::unique_ptr<FrameConnection> connection;
};

ReconnectingConnection::ReconnectingConnection(EventLoop &loop, SocketAddress address, const ReconnectSettings &settings,
                                               ReconnectHooks hooks, std::uint64_t seed)
    : m_state(std::make_shared<State>(loop, std::move(address), settings, std::move(hooks), seed))
{
}

ReconnectingConnection::~ReconnectingConnection()
{
    disconnect();
}

auto ReconnectingConnection::connect() -> void
{
    if (!m_state->connection && !m_state->retryTimer.pending()) {
        m_state->open();
    }
}

auto ReconnectingConnection::disconnect() -> void
{
    m_state->retryTimer.cancel();
    m_state->backoff.reset();
    m_state->connection.reset();
}

auto ReconnectingConnection::setAddress(const SocketAddress &address) -> void
{
    const auto shouldReopen = m_state->connection || m_state->retryTimer.pending();
    disconnect();
    m_state->address = address;
    if (shouldReopen) {
        m_state->open();
    }
}

auto ReconnectingConnection::send(std::string_view content) -> std::error_code
{
    connect();
    return m_state->connection ? m_state->connection->send(content) : make_error_code(Error::ConnectionLost);
}

auto ReconnectingConnection::connection() const noexcept -> FrameConnection *
{
    return m_state->connection.get();
}

auto ReconnectingConnection::isUp() const noexcept -> bool
{
    return m_state->connection && m_state->connection->isOpen();
}

auto ReconnectingConnection::address() const noexcept -> const SocketAddress &
{
    return m_state->address;
}

} // namespace Acaciarail::Runtime
