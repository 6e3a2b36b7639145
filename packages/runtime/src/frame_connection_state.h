#pragma once

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/frame_connection.h>
#include <acaciarail/runtime/timer.h>

#include <sys/socket.h>

#include <memory>
#include <optional>

struct bufferevent;

namespace Acaciarail::Runtime {

namespace Detail {

/// An address in the representation of the socket interface.
struct SystemAddress
{
    sockaddr_storage storage{};
    int length = 0;

    [[nodiscard]] auto get() noexcept -> sockaddr *
    {
        return reinterpret_cast<sockaddr *>(&storage);
    }
    [[nodiscard]] auto get() const noexcept -> const sockaddr *
    {
        return reinterpret_cast<const sockaddr *>(&storage);
    }
};

/// Empty when the host is not numeric.
[[nodiscard]] auto toSystemAddress(const SocketAddress &address) -> std::optional<SystemAddress>;
[[nodiscard]] auto fromSystemAddress(const sockaddr *address) -> SocketAddress;

} // namespace Detail

/// Owned jointly by the connection and its running callbacks, so that a hook may destroy the connection.
struct FrameConnection::State : std::enable_shared_from_this<State>
{
    State(EventLoop &l, const FrameSettings &s, SocketAddress address);
    ~State();
    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    auto attach(bufferevent *connection) -> void;
    auto handleOpened() -> void;
    auto readFrames() -> void;
    auto handleEvent(short what) -> void;
    auto checkProgress() -> void;
    auto fail(CloseReason reason, std::error_code error) -> void;
    auto tearDown() -> void;

    EventLoop &loop;
    FrameSettings settings;
    SocketAddress remote;
    /// Null once the connection is closed.
    bufferevent *bev = nullptr;
    bool isOpen = false;
    std::size_t expected = 0;
    TimePoint expectedSince;
    TimePoint lastByteAt;
    /// Whether the progress timeout has passed once without a byte.
    bool timeoutPassedOnce = false;
    std::shared_ptr<const FrameHooks> hooks;
    Timer progressTimer;
    Timer connectTimer;
    /// Decrements the connection count of the server that accepted this connection when it is released; null for outgoing ones.
    std::shared_ptr<void> serverSlot;
};

} // namespace Acaciarail::Runtime
