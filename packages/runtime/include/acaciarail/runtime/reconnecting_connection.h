#pragma once

#include <acaciarail/runtime/frame_connection.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace Acaciarail::Runtime {

struct ReconnectSettings
{
    FrameSettings frames;
    /// Bounds of the delay before a connection is attempted again; see Backoff.
    Duration minBackoff = 100ms;
    Duration maxBackoff = 5s;
};

/// Events of the connection; called on the loop, never from inside a method. A hook may destroy the connection.
struct ReconnectHooks
{
    /// Returns the content of the first frame of each new connection, to which a reply is expected; when empty, there is none.
    std::function<std::string()> handshake;
    std::function<void()> up;
    std::function<void(std::string_view content)> received;
    /// An established connection was lost, or an attempt to connect failed.
    std::function<void(const CloseInfo &info)> down;
};

/// An outgoing connection that is opened on demand, and reopened after a loss until disconnect() is called.
/// The delay before the next attempt is reset only by a received frame, so that a server that accepts and closes at once does
/// not receive connections at a high rate. Not thread-safe; used on the loop's thread.
class ReconnectingConnection
{
public:
    /// \pre \a loop outlives the connection; bounds of the settings as for Backoff.
    ReconnectingConnection(EventLoop &loop, SocketAddress address, const ReconnectSettings &settings, ReconnectHooks hooks,
                           std::uint64_t seed);
    ~ReconnectingConnection();
    ReconnectingConnection(const ReconnectingConnection &) = delete;
    auto operator=(const ReconnectingConnection &) -> ReconnectingConnection & = delete;

    /// Opens the connection unless it is open, being opened, or waiting to be reopened. \pre none.
    auto connect() -> void;

    /// Closes without a call of a hook, and resets the delay between attempts. \pre none.
    auto disconnect() -> void;

    /// Uses another address from now on; an existing connection is closed without a call of a hook, and reopened. \pre none.
    auto setAddress(const SocketAddress &address) -> void;

    /// Sends one frame, and connects first when necessary. Errors as for FrameConnection::send(), and Error::ConnectionLost while
    /// waiting to be reopened. \pre none.
    [[nodiscard]] auto send(std::string_view content) -> std::error_code;

    /// Returns the connection, or null when there is none. Valid until the next event. \pre none.
    [[nodiscard]] auto connection() const noexcept -> FrameConnection *;

    /// \pre none.
    [[nodiscard]] auto isUp() const noexcept -> bool;

    /// \pre none.
    [[nodiscard]] auto address() const noexcept -> const SocketAddress &;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Runtime
