#pragma once

#include "event_handles.h"

#include <acaciarail/caller/caller_server.h>

#include <evhtp/evhtp.h>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Caller::Detail {

class Connection;

/// State of a server. While one of its callbacks runs, it is kept alive beyond the server object.
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    ServerState(event_base *base, CallerServerSettings settings, CallerServerHooks hooks);
    ServerState(const ServerState &) = delete;
    auto operator=(const ServerState &) -> ServerState & = delete;
    ~ServerState();

    [[nodiscard]] auto start() -> std::error_code;
    auto stop() -> void;
    /// Closes all connections without calling further hooks.
    auto shutDown() -> void;

    /// Removes \a connection and keeps it alive until the current callback has returned.
    auto remove(Connection *connection) -> void;
    /// Appends \a connection to the list of idle ones.
    auto markIdle(Connection *connection) -> void;
    /// Removes \a connection from the list of idle ones.
    auto markBusy(Connection *connection) -> void;
    auto requestOpened() -> void;
    auto requestClosed() -> void;
    /// Updates the total of buffered bytes when a connection's share changes.
    auto updateBufferedBytes(std::size_t before, std::size_t after) noexcept -> void
    {
        stats.bufferedBytes = stats.bufferedBytes - before + after;
    }
    [[nodiscard]] auto areBuffersFull() const noexcept -> bool
    {
        return stats.bufferedBytes > settings.maxBufferedBytes;
    }

    /// Logs that a limit for clients acted, at most once a second for each \a limit.
    auto reportLimit(std::string_view limit) -> void;

    [[nodiscard]] auto nextRequestId() noexcept -> RequestId
    {
        return ++m_lastRequestId;
    }
    [[nodiscard]] auto stopping() const noexcept -> bool
    {
        return m_stopping;
    }
    /// Returns whether hooks may still be called.
    [[nodiscard]] auto active() const noexcept -> bool
    {
        return m_active;
    }

    event_base *base;
    const CallerServerSettings settings;
    CallerServerHooks hooks;
    CallerServerStats stats;
    std::uint16_t port = 0;
    std::size_t inProgress = 0;
    std::unordered_map<Connection *, std::shared_ptr<Connection>> connections;
    /// Connections without a request, the one that has been idle longest first.
    std::list<Connection *> idle;

private:
    static auto onPreAccept(evhtp_connection_t *connection, void *arg) -> evhtp_res;
    static auto onPostAccept(evhtp_connection_t *connection, void *arg) -> evhtp_res;
    static auto onAcceptError(evconnlistener *listener, void *arg) -> void;

    /// How often a limit acted since the last log line about it.
    struct LimitCount
    {
        std::uint64_t unlogged = 0;
        TimePoint loggedAt;
    };

    auto reportIfStopped() -> void;
    /// Closes an idle connection when the limit is reached. Returns false when none can be closed.
    auto evictIfFull() -> bool;

    EvhtpHandle m_htp;
    Timer m_acceptTimer;
    Timer m_cleanupTimer;
    std::vector<std::shared_ptr<Connection>> m_removed;
    RequestId m_lastRequestId = 0;
    std::map<std::string_view, LimitCount> m_limitCounts;
    bool m_stopping = false;
    bool m_stopReported = false;
    bool m_active = true;
};

/// One connection of a caller. It frames requests itself and passes them to libevhtp one at a time, each complete.
/// Its own bufferevent callbacks wrap those of libevhtp, which closes a connection without a response after a malformed or
/// oversized request, does not detect that a caller disconnects while a request is paused, and has no limits on headers.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(ServerState &server, evhtp_connection_t *connection);
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;
    ~Connection() = default;

    /// Replaces the callbacks of the connection. \pre called once.
    auto attach() -> void;
    /// Sends a problem response, discards further input and then closes the connection.
    auto refuse(std::uint16_t status, const Failure &failure) -> void;
    /// Sends the response to request \a id; returns false when that is not open.
    auto reply(RequestId id, HttpResponse response) -> bool;
    [[nodiscard]] auto isOpen(RequestId id) const noexcept -> bool;
    /// Starts the timer that closes the connection unless a request arrives.
    auto prepareStop() -> void;
    auto close() -> void;
    /// Returns whether it has been without a request since \a before and has no unread input.
    [[nodiscard]] auto isEvictable(TimePoint before) const -> bool;

private:
    friend class ServerState;

    enum class Mode {
        /// Between requests, or while one is being received.
        Receiving,
        /// The request was passed to the hook, which has not sent the response yet.
        Handling,
        /// The response is being sent.
        Responding,
        /// The last response is being sent or has been sent; input is discarded.
        Lingering,
        Closed,
    };

    static auto onRead(bufferevent *bev, void *arg) -> void;
    static auto onWrite(bufferevent *bev, void *arg) -> void;
    static auto onEvent(bufferevent *bev, short what, void *arg) -> void;
    static auto onConnectionEnd(evhtp_connection_t *connection, void *arg) -> evhtp_res;

    auto readInput() -> void;
    auto process() -> void;
    auto awaitMore(const Framing &framing) -> void;
    auto dispatch(const Framing &framing) -> void;
    auto handleResponseWritten() -> void;
    auto startLingering() -> void;
    auto handleConnectionEnd() -> void;
    auto closeWhenIdle() -> void;
    /// Replaces the received bytes that libevhtp has not seen.
    auto setPending(std::string bytes) -> void;
    /// Reports the size of the buffer of m_pending to the server after a change.
    auto updateBufferedBytes() -> void;
    auto discardInput() -> void;
    auto onTimer() -> void;
    [[nodiscard]] auto hasUnreadInput() const -> bool;

    std::weak_ptr<ServerState> m_server;
    evhtp_connection_t *m_connection;
    bufferevent *m_bev;
    bufferevent_data_cb m_evhtpRead = nullptr;
    bufferevent_data_cb m_evhtpWrite = nullptr;
    void *m_evhtpArg = nullptr;
    std::string m_peer;
    Mode m_mode = Mode::Receiving;
    /// Received bytes that were not passed to libevhtp yet.
    std::string m_pending;
    /// Its share of the server's total.
    std::size_t m_bufferedBytes = 0;
    RequestFramer m_framer;
    /// Framing state for which the timer runs.
    FramingState m_timedState = FramingState::Complete;
    bool m_sentContinue = false;
    bool m_callerAskedToClose = false;
    bool m_closeAfterResponse = false;
    bool m_isHeadRequest = false;
    evhtp_request_t *m_request = nullptr;
    std::optional<RequestId> m_openRequestId;
    Timer m_timer;
    TimePoint m_idleSince;
    std::optional<std::list<Connection *>::iterator> m_idlePosition;

    friend auto acceptRequest(evhtp_request_t *request, void *arg) -> void;
};

/// Callback of libevhtp for every complete request.
auto acceptRequest(evhtp_request_t *request, void *arg) -> void;

/// State shared by the copies of a reply handle.
class ReplyState
{
public:
    ReplyState(std::weak_ptr<Connection> connection, RequestId id);
    ReplyState(const ReplyState &) = delete;
    auto operator=(const ReplyState &) -> ReplyState & = delete;
    ~ReplyState();

    auto send(HttpResponse response) -> bool;
    [[nodiscard]] auto isOpen() const noexcept -> bool;

private:
    std::weak_ptr<Connection> m_connection;
    RequestId m_id;
};

} // namespace Acaciarail::Caller::Detail
