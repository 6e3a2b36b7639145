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

/// Address of an endpoint in parts.
struct HostAndPort
{
    std::string host;
    std::uint16_t port = 0;
};

/// Parses `ADDRESS:PORT` with a numeric IPv4 address or an IPv6 one in brackets.
[[nodiscard]] auto parseAddress(const std::string &address) -> std::optional<HostAndPort>;

/// Checks what would make evhttp send a malformed request. Returns what is wrong, or nothing.
[[nodiscard]] auto checkAttempt(const Attempt &attempt) -> std::optional<Failure>;

/// One connection that carries one attempt at a time.
class PooledConnection
{
public:
    /// Called once for each attempt. The connection may be used again when it is then reusable().
    using Done = std::function<void(PooledConnection &connection, AttemptOutcome outcome)>;
    /// Called when an unused connection was closed by the endpoint.
    using Lost = std::function<void(PooledConnection &connection)>;

    PooledConnection(event_base *base, const EndpointClientSettings &settings, const HostAndPort &address, Done done, Lost lost);
    PooledConnection(const PooledConnection &) = delete;
    auto operator=(const PooledConnection &) -> PooledConnection & = delete;
    ~PooledConnection();

    /// \pre checkAttempt() found no fault, and the connection is not busy.
    auto send(Attempt attempt) -> void;
    /// Gives up the attempt without calling Done. Returns whether any byte may have been sent.
    auto abandon() -> bool;
    /// The connection is closed after its attempt.
    auto retire() noexcept -> void
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
    /// Whether the peer has neither closed an unused connection nor sent anything on it.
    [[nodiscard]] auto isQuiet() const noexcept -> bool;
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
    /// Closes the connection at once, so that it cannot be established and used after the attempt was reported as not sent.
    /// \pre not called from a callback of evhttp.
    auto sever() -> void;
    auto onDeadline() -> void;
    auto onNoProgress() -> void;
    auto progressed() -> void;
    auto finish(std::variant<AttemptResponse, AttemptFailure> result) -> void;

    const EndpointClientSettings &m_settings;
    Done m_done;
    Lost m_lost;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> m_connection;
    Timer m_deadline;
    Timer m_progress;
    std::optional<Attempt> m_attempt;
    std::optional<evhttp_request_error> m_error;
    TimePoint m_startedAt;
    TimePoint m_idleSince;
    /// evhttp writes a request only once the connection is established, so that nothing can have been sent before.
    bool m_mayHaveBeenSent = false;
    bool m_receivedAny = false;
    bool m_reusable = true;
};

} // namespace Acaciarail::Endpoint::Detail
