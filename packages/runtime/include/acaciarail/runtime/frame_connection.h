#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/runtime/socket_address.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace Acaciarail::Runtime {

class EventLoop;

/// Largest content of a frame in bytes.
inline constexpr std::size_t maxFrameBytes = std::size_t{1024} * 1024;

/// Bytes that precede the content of each frame: its length, big-endian.
inline constexpr std::size_t frameHeaderBytes = 4;

struct FrameSettings
{
    /// Bytes that may wait to be written; more are refused, so that a slow reader cannot use up the memory.
    std::size_t maxQueuedBytes = 4 * maxFrameBytes;
    Duration connectTimeout = 2s;
    /// Longest time without a received byte while replies are expected. Restarts when the process itself was paused.
    Duration progressTimeout = 3s;
};

enum class CloseReason : std::uint8_t {
    /// close() was called.
    ClosedLocally,
    ClosedByPeer,
    ConnectFailed,
    ConnectTimeout,
    /// Replies were expected, and no byte arrived for the progress timeout.
    ProgressTimeout,
    /// The peer announced a frame larger than maxFrameBytes.
    FrameTooLarge,
    /// The owner refused the content of a frame; see FrameConnection::reject().
    FrameRefused,
    IoError,
};

/// Returns the kebab-case name of \a reason. \pre none. Thread-safe.
[[nodiscard]] auto closeReasonName(CloseReason reason) noexcept -> std::string_view;

struct CloseInfo
{
    CloseReason reason = CloseReason::ClosedLocally;
    /// Cause given by the operating system or by the owner; empty when there is none.
    std::error_code error;
};

/// Events of a connection. A hook may close or destroy the connection.
struct FrameHooks
{
    /// An outgoing connection is established.
    std::function<void()> connected;
    /// The content of one complete frame; the view is valid during the call.
    std::function<void(std::string_view content)> received;
    /// Called once, unless the connection was closed by close() or destroyed.
    std::function<void(const CloseInfo &info)> closed;
};

/// A TCP connection that carries frames. Not thread-safe; used on the loop's thread.
class FrameConnection
{
public:
    /// Starts to connect to \a address. Failures are reported through FrameHooks::closed, never from inside this call.
    /// \pre \a loop outlives the connection.
    [[nodiscard]] static auto connect(EventLoop &loop, const SocketAddress &address, const FrameSettings &settings, FrameHooks hooks)
        -> std::unique_ptr<FrameConnection>;

    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    auto operator=(const FrameConnection &) -> FrameConnection & = delete;

    /// Replaces the hooks. \pre none.
    auto setHooks(FrameHooks hooks) -> void;

    /// Queues one frame; a frame queued while the connection is being established is sent afterwards. Errors: Error::TooLarge,
    /// Error::Overloaded when the queue is full, Error::ConnectionLost when closed. On an error nothing is queued. \pre none.
    [[nodiscard]] auto send(std::string_view content) -> std::error_code;

    /// Records that \a count more replies are expected, which starts the progress timeout when there were none. \pre none.
    auto expectReplies(std::size_t count = 1) -> void;

    /// Records that \a count expected replies arrived; a larger number than expected counts as all of them. \pre none.
    auto repliesArrived(std::size_t count = 1) -> void;

    /// \pre none.
    [[nodiscard]] auto expectedReplies() const noexcept -> std::size_t;

    /// Closes without a call of FrameHooks::closed; frames not yet written are dropped. \pre none.
    auto close() -> void;

    /// Closes because the content of a frame was refused, and reports \a error through FrameHooks::closed. \pre none.
    auto reject(std::error_code error) -> void;

    /// Returns whether the connection is established. \pre none.
    [[nodiscard]] auto isOpen() const noexcept -> bool;

    /// Returns whether the connection is closed; false while it is being established. \pre none.
    [[nodiscard]] auto isClosed() const noexcept -> bool;

    /// Returns the number of bytes that wait to be written. \pre none.
    [[nodiscard]] auto queuedBytes() const noexcept -> std::size_t;

    /// Returns the address of the other side. \pre none.
    [[nodiscard]] auto remote() const -> SocketAddress;

private:
    friend class FrameServer;
    struct State;
    explicit FrameConnection(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

struct FrameServerSettings
{
    SocketAddress address;
    FrameSettings frames;
    /// Further connections are closed at once.
    std::size_t maxConnections = 4096;
};

/// Accepts connections that carry frames. Not thread-safe; used on the loop's thread.
class FrameServer
{
public:
    /// Receives each accepted connection and sets its hooks before it returns.
    using Accepted = std::function<void(std::unique_ptr<FrameConnection> connection)>;

    /// Does not listen yet. \pre \a loop outlives the server.
    FrameServer(EventLoop &loop, FrameServerSettings settings, Accepted accepted);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    auto operator=(const FrameServer &) -> FrameServer & = delete;

    /// Starts to listen. Returns the operating system's error when the address cannot be used. \pre not listening.
    [[nodiscard]] auto listen() -> std::error_code;

    /// Stops accepting; accepted connections stay open. \pre none.
    auto stop() -> void;

    /// Returns the address in use, with the port that the kernel chose. \pre listen() succeeded.
    [[nodiscard]] auto address() const -> SocketAddress;

    /// Returns the port in use. \pre listen() succeeded.
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Returns the number of accepted connections that still exist. \pre none.
    [[nodiscard]] auto connectionCount() const noexcept -> std::size_t;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Runtime
