#pragma once

#include "timer.h"

#include <acaciarail/endpoint/endpoint_client.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Acaciarail::Endpoint::Detail {

struct ConnectionDeleter
{
    auto operator()(evhttp_connection *connection) const noexcept -> void
    {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_connection_free(connection);
    }
};

/// Host and port of an endpoint address.
struct HostAndPort
{
    std::string host;
    std::uint16_t port = 0;
};

/// Parses `ADDRESS:PORT` with a numeric IPv4 address or an IPv6 one in brackets.
[[nodiscard]] auto parseAddress(const std::string &address) -> std::optional<HostAndPort>;

/// Checks for input that would make evhttp send a malformed request. Returns the first fault found; empty when valid.
[[nodiscard]] auto checkAttempt(const Attempt &attempt) -> std::optional<Failure>;

/// Connection to an endpoint that carries one attempt at a time.
class PooledConnection
{
public:
    /// Called once for each attempt that was not cancelled. The connection can carry another attempt if it is reusable() then.
    using DoneHandler = std::function<void(PooledConnection &connection, AttemptOutcome outcome)>;
    /// Called when the endpoint has closed an idle connection.
    using ClosedHandler = std::function<void(PooledConnection &connection)>;

    PooledConnection(event_base *base, const EndpointClientSettings &settings, const HostAndPort &address, DoneHandler done,
                     ClosedHandler closed);
    PooledConnection(const PooledConnection &) = delete;
    auto operator=(const PooledConnection &) -> PooledConnection & = delete;
    ~PooledConnection();

    /// \pre checkAttempt() found no fault, and the connection is not busy.
    auto send(Attempt attempt) -> void;
    /// Cancels the attempt without calling the DoneHandler, and closes the connection. Returns whether any byte may have been sent.
    auto cancel() -> bool;
    /// Marks the connection as not reusable, so that it is closed after its attempt.
    auto closeAfterAttempt() noexcept -> void
    {
        m_reusable = false;
    }

    [[nodiscard]] auto busy() const noexcept -> bool
    {
        return m_attempt.has_value();
    }
    [[nodiscard]] auto reusable() const noexcept -> bool
    {
        return m_reusable;
    }
    /// Returns whether an idle connection is still open and without unread bytes from the endpoint.
    [[nodiscard]] auto isOpenWithoutInput() const noexcept -> bool;
    [[nodiscard]] auto idleSince() const noexcept -> TimePoint
    {
        return m_idleSince;
    }

private:
    static auto onDone(evhttp_request *request, void *arg) -> void;
    static auto onError(evhttp_request_error error, void *arg) -> void;
    static auto onClosed(evhttp_connection *connection, void *arg) -> void;
    static auto onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg) -> void;
    static auto onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg) -> void;

    auto readResponse(evhttp_request &request) -> std::variant<AttemptResponse, AttemptFailure>;
    auto describeError() -> AttemptFailure;
    auto failure(Error error, std::string detail) const -> AttemptFailure;
    /// Closes the connection at once, so that it cannot be established and send the request after the attempt was reported as not sent.
    /// \pre not called from a callback of evhttp.
    auto closeConnection() -> void;
    auto onDeadline() -> void;
    auto onNoProgress() -> void;
    auto onProgress() -> void;
    auto finish(std::variant<AttemptResponse, AttemptFailure> result) -> void;

    const EndpointClientSettings &m_settings;
    DoneHandler m_doneHandler;
    ClosedHandler m_closedHandler;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> m_connection;
    Timer m_deadlineTimer;
    Timer m_progressTimer;
    std::optional<Attempt> m_attempt;
    std::optional<evhttp_request_error> m_error;
    TimePoint m_startedAt;
    TimePoint m_idleSince;
    /// evhttp writes a request only after the connection is established; before that, nothing can have been sent.
    bool m_mayHaveBeenSent = false;
    bool m_receivedAny = false;
    bool m_reusable = true;
};

} // namespace Acaciarail::Endpoint::Detail
