#pragma once

#include "event_handles.h"

#include <acaciarail/caller/caller_server.h>

#include <evhtp/evhtp.h>

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Caller::Detail {

class Connection;

/// State of a server, which outlives the server object while one of its callbacks runs.
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    ServerState(event_base *base, CallerServerSettings settings, CallerServerHooks hooks);
    ServerState(const ServerState &) = delete;
    auto operator=(const ServerState &) -> ServerState & = delete;
    ~ServerState();

    [[nodiscard]] auto start() -> std::error_code;
    auto stop() -> void;
    /// Closes everything without further hooks.
    auto shutDown() -> void;

    /// Removes \a connection and keeps it alive until the current callback has returned.
    auto remove(Connection *connection) -> void;
    /// Keeps the order in which connections became unused.
    auto connectionIdle(Connection *connection) -> void;
    auto connectionBusy(Connection *connection) -> void;
    auto requestOpened() -> void;
    auto requestClosed() -> void;
    /// Books a change of the bytes that connections hold.
    auto bookBytes(std::size_t before, std::size_t after) noexcept -> void
    {
        m_bufferedBytes = m_bufferedBytes - before + after;
    }
    [[nodiscard]] auto buffersFull() const noexcept -> bool
    {
        return m_bufferedBytes > settings.maxBufferedBytes;
    }

    [[nodiscard]] auto nextRequestId() noexcept -> RequestId
    {
        return ++m_lastRequestId;
    }
    [[nodiscard]] auto stopping() const noexcept -> bool
    {
        return m_stopping;
    }
    /// Whether hooks may still be called.
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
    /// Connections without a request, the longest unused first.
    std::list<Connection *> idle;

private:
    static auto onPreAccept(evhtp_connection_t *connection, void *arg) -> evhtp_res;
    static auto onPostAccept(evhtp_connection_t *connection, void *arg) -> evhtp_res;
    static auto onAcceptError(evconnlistener *listener, void *arg) -> void;

    auto reportIfStopped() -> void;
    /// Closes an unused connection when there are too many. Returns false when none can be closed.
    auto makeRoom() -> bool;

    EvhtpHandle m_htp;
    Timer m_acceptTimer;
    Timer m_cleanTimer;
    std::vector<std::shared_ptr<Connection>> m_removed;
    RequestId m_lastRequestId = 0;
    std::size_t m_bufferedBytes = 0;
    bool m_stopping = false;
    bool m_stopReported = false;
    bool m_active = true;
};

/// One connection of a caller. It frames requests itself and passes them to libevhtp one at a time, complete.
/// libevhtp closes a connection with a faulty or oversized request without any answer, stops noticing a lost caller while
/// a request is paused, and has no limits on headers; therefore its bufferevent callbacks are wrapped.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(ServerState &server, evhtp_connection_t *connection);
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;
    ~Connection() = default;

    /// Takes over the callbacks of the connection. \pre called once.
    auto attach() -> void;
    /// Answers with a problem and reads away further input.
    auto refuse(std::uint16_t status, const Failure &failure) -> void;
    /// Answers the request \a id; false when it is not open.
    auto reply(RequestId id, HttpResponse response) -> bool;
    [[nodiscard]] auto isOpen(RequestId id) const noexcept -> bool;
    /// Starts the time after which the connection is closed unless a request arrives.
    auto prepareStop() -> void;
    auto close() -> void;
    /// Whether it has been without a request since \a before and nothing is unread.
    [[nodiscard]] auto isEvictable(TimePoint before) const -> bool;

private:
    friend class ServerState;

    enum class Mode {
        /// Between requests, or while one arrives.
        Receiving,
        /// The request is with the hook.
        Handling,
        /// The answer is on its way.
        Answering,
        /// The last answer is on its way or sent; input is dropped.
        Lingering,
        Closed,
    };

    static auto onRead(bufferevent *bev, void *arg) -> void;
    static auto onWrite(bufferevent *bev, void *arg) -> void;
    static auto onEvent(bufferevent *bev, short what, void *arg) -> void;
    static auto onConnectionEnd(evhtp_connection_t *connection, void *arg) -> evhtp_res;

    auto takeInput() -> void;
    auto process() -> void;
    auto awaitMore(const Framing &framing) -> void;
    auto dispatch(const Framing &framing) -> void;
    auto answerWritten() -> void;
    auto startLingering() -> void;
    auto ended() -> void;
    auto closeWhenIdle() -> void;
    /// Replaces the held bytes.
    auto hold(std::string bytes) -> void;
    auto dropInput() -> void;
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
    /// Received bytes that libevhtp has not seen.
    std::string m_pending;
    RequestFramer m_framer;
    FramingState m_timedState = FramingState::Complete;
    bool m_sentContinue = false;
    bool m_askedToClose = false;
    bool m_closeAfterAnswer = false;
    bool m_isHead = false;
    evhtp_request_t *m_request = nullptr;
    std::optional<RequestId> m_openRequest;
    Timer m_timer;
    TimePoint m_idleSince;
    std::optional<std::list<Connection *>::iterator> m_idlePosition;

    friend auto acceptRequest(evhtp_request_t *request, void *arg) -> void;
};

/// Callback of libevhtp for every complete request.
auto acceptRequest(evhtp_request_t *request, void *arg) -> void;

/// What the copies of a reply handle share.
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
