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

/// Answers one request, at once or later, and exactly once. Copies share the request.
/// When the last copy goes away without an answer, the caller gets `outcome-unknown`, so that no caller waits for ever.
/// Outlives the connection and the server safely. Used on the thread of the event loop only.
class ReplyHandle
{
public:
    ReplyHandle() = default;
    explicit ReplyHandle(std::shared_ptr<Detail::ReplyState> state) noexcept;

    /// Sends \a response. Returns false, without effect, when the request was answered before, the caller is gone or
    /// the server does not exist any more. \pre none.
    auto send(HttpResponse response) const -> bool;

    /// Returns whether an answer can still be sent. \pre none.
    [[nodiscard]] auto isOpen() const noexcept -> bool;

private:
    std::shared_ptr<Detail::ReplyState> m_state;
};

struct CallerServerSettings
{
    /// Address to bind to.
    std::string address = "127.0.0.1";
    /// 0 lets the kernel choose; CallerServer::port() reports the choice.
    std::uint16_t port = 0;
    RequestLimits limits;
    /// A further connection takes the place of one that has been without a request for evictableAfter; when there is none,
    /// it gets 503 `overloaded` and is closed.
    std::size_t maxConnections = 1024;
    Duration evictableAfter = std::chrono::seconds(1);
    /// Bytes of incomplete requests of all connections together, 16 MiB; beyond it, requests are refused with 503 `overloaded`.
    std::size_t maxBufferedBytes = std::size_t{16} * 1024 * 1024;
    /// A connection without a request is closed after this time.
    Duration idleTimeout = std::chrono::seconds(60);
    /// From the first byte of a request to the end of its headers; then 408.
    Duration headTimeout = std::chrono::seconds(5);
    /// From the end of the headers to the end of the body; then 408.
    Duration bodyTimeout = std::chrono::seconds(15);
    /// A connection that takes no byte of an answer for this time is closed.
    Duration writeTimeout = std::chrono::seconds(10);
    /// After a refusal, input is read and dropped for up to this time, so that the answer is not lost to a reset.
    Duration lingerTimeout = std::chrono::seconds(1);
    /// After stop(), connections without a request stay open for this time, so that a request that is under way is still answered.
    Duration stopGrace = std::chrono::milliseconds(500);
};

struct CallerServerHooks
{
    /// A complete request arrived. The reply may be sent at once or later, also after replies to other requests.
    std::function<void(HttpRequest request, ReplyHandle reply)> onRequest;
    /// The caller of a request that is not answered yet is gone; its reply is closed.
    std::function<void(RequestId id)> onDisconnect;
    /// After stop(): nothing is in progress and all connections are closed. Called once.
    std::function<void()> onStopped;
};

/// Counts since the start of the server.
struct CallerServerStats
{
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    /// Malformed, oversized and too slow requests that the hook did not see.
    std::uint64_t refused = 0;
    std::uint64_t refusedConnections = 0;
    /// Unused connections closed to make room.
    std::uint64_t evictedConnections = 0;
    std::uint64_t disconnected = 0;
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

    /// Returns the port that is listened on; 0 before start(). \pre none.
    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Stops accepting connections, lets requests in progress finish and then calls hooks.onStopped. Later calls have no effect.
    /// \pre start() succeeded.
    auto stop() -> void;

    /// Returns the number of requests handed to the hook and not answered yet. \pre none.
    [[nodiscard]] auto requestsInProgress() const noexcept -> std::size_t;

    /// Returns the number of open connections. \pre none.
    [[nodiscard]] auto connections() const noexcept -> std::size_t;

    /// \pre none.
    [[nodiscard]] auto stats() const noexcept -> const CallerServerStats &;

private:
    std::shared_ptr<Detail::ServerState> m_state;
};

} // namespace Acaciarail::Caller
