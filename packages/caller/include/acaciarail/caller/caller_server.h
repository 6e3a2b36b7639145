#pragma once

#include <acaciarail/caller/http_message.h>
#include <acaciarail/caller/request_framer.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

struct event_base;

namespace Acaciarail::Caller {

namespace Detail {
class ReplyState;
class ServerState;
} // namespace Detail

/// Sends the response to one request, at once or later, and exactly once. Copies refer to the same request.
/// When the last copy is destroyed without a response, the caller gets `outcome-unknown`, so that no caller waits forever.
/// May outlive the connection and the server. Not thread-safe; used on the thread of the event loop only.
class ReplyHandle
{
public:
    ReplyHandle() = default;
    explicit ReplyHandle(std::shared_ptr<Detail::ReplyState> state) noexcept;

    /// Sends \a response. Returns false, without effect, when the request already has a response, the caller has disconnected
    /// or the server has been destroyed. \pre none.
    auto send(HttpResponse response) const -> bool;

    /// Returns whether a response can still be sent. \pre none.
    [[nodiscard]] auto isOpen() const noexcept -> bool;

private:
    std::shared_ptr<Detail::ReplyState> m_state;
};

struct CallerServerSettings
{
    /// Address to bind to.
    std::string address = "127.0.0.1";
    /// 0 lets the kernel choose the port, which CallerServer::port() then returns.
    std::uint16_t port = 0;
    RequestLimits limits;
    /// At this limit, a new connection replaces one that has been without a request for evictableAfter. When there is none,
    /// the new connection gets 503 `overloaded` and is closed.
    std::size_t maxConnections = 1024;
    Duration evictableAfter = std::chrono::seconds(1);
    /// Limit of the received bytes that all connections together buffer, 16 MiB. Above it, requests of more than 16 KiB are refused
    /// with 503 `overloaded`, and connections with a request in progress are not read from.
    std::size_t maxBufferedBytes = std::size_t{16} * 1024 * 1024;
    /// A connection without a request is closed after this time.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Time from the first byte of a request to the end of its headers; a slower request is refused with 408.
    Duration headTimeout = std::chrono::seconds(5);
    /// Time from the end of the headers to the end of the body; a slower request is refused with 408.
    Duration bodyTimeout = std::chrono::seconds(15);
    /// A connection that accepts no byte of a response for this time is closed.
    Duration writeTimeout = std::chrono::seconds(10);
    /// Before the server closes a connection, it reads and discards input for up to this time, as a connection reset would
    /// destroy the last response.
    Duration lingerTimeout = std::chrono::seconds(1);
    /// After stop(), connections without a request stay open for this time, so that a request in transit still gets a response.
    Duration stopGrace = std::chrono::milliseconds(500);
};

struct CallerServerHooks
{
    /// Called for each complete request. The reply may be sent at once or later, also after replies to other requests.
    std::function<void(HttpRequest request, ReplyHandle reply)> onRequest;
    /// Called when the caller has disconnected before the response to its request; the reply is closed.
    std::function<void(RequestId id)> onDisconnect;
    /// Called once after stop(), when no request is in progress and all connections are closed.
    std::function<void()> onStopped;
};

/// Counts since the start of the server.
struct CallerServerStats
{
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    /// Malformed, oversized and too slow requests, and surplus connections, which did not reach onRequest.
    std::uint64_t refused = 0;
    std::uint64_t refusedConnections = 0;
    /// Idle connections closed in favour of new ones.
    std::uint64_t evictedConnections = 0;
    std::uint64_t disconnected = 0;
    /// Connections closed because a response was not read.
    std::uint64_t unreadConnections = 0;
    /// Bytes of requests that are buffered at present.
    std::size_t bufferedBytes = 0;
};

/// HTTP/1.1 server on libevhtp. All methods run on the thread of the event loop; not thread-safe.
class CallerServer
{
public:
    /// \pre \a base outlives the server; hooks.onRequest is set. Does not listen yet.
    CallerServer(event_base *base, CallerServerSettings settings, CallerServerHooks hooks);
    CallerServer(const CallerServer &) = delete;
    auto operator=(const CallerServer &) -> CallerServer & = delete;
    /// Closes all connections without further hooks; open reply handles become closed.
    ~CallerServer();

    /// Binds and listens. Returns the system's error when that fails. \pre not called before.
    [[nodiscard]] auto start() -> std::error_code;

    /// Returns the port on which the server listens; 0 before start(). \pre none.
    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Stops accepting connections, lets requests in progress finish and then calls hooks.onStopped. Later calls have no effect.
    /// \pre start() succeeded.
    auto stop() -> void;

    /// Returns the number of requests passed to hooks.onRequest that have no response yet. \pre none.
    [[nodiscard]] auto requestsInProgress() const noexcept -> std::size_t;

    /// Returns the number of open connections. \pre none.
    [[nodiscard]] auto connections() const noexcept -> std::size_t;

    /// Returns the counts since the start. \pre none.
    [[nodiscard]] auto stats() const noexcept -> const CallerServerStats &;

private:
    std::shared_ptr<Detail::ServerState> m_state;
};

} // namespace Acaciarail::Caller
