#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

struct event_base;

/// HTTP client for the endpoints of services.
namespace Acaciarail::Endpoint {

/// Identifies an attempt; unique among the attempts in progress of one client.
struct AttemptId
{
    RequestId request = 0;
    std::uint32_t attempt = 0;

    friend auto operator==(const AttemptId &, const AttemptId &) noexcept -> bool = default;
    friend auto operator<(const AttemptId &a, const AttemptId &b) noexcept -> bool
    {
        return std::tie(a.request, a.attempt) < std::tie(b.request, b.attempt);
    }
};

struct HeaderField
{
    std::string name;
    std::string value;

    friend auto operator==(const HeaderField &, const HeaderField &) noexcept -> bool = default;
};

/// One attempt: a single transmission of a request to one endpoint.
struct Attempt
{
    AttemptId id;
    /// `ADDRESS:PORT` with a numeric address.
    std::string address;
    /// `GET`, `HEAD`, `POST`, `PUT`, `PATCH`, `DELETE` or `OPTIONS`.
    std::string method;
    /// Path and query; starts with `/`.
    std::string target;
    /// Headers that apply to a single connection (`Connection`, `Host`, `Content-Length`, `Transfer-Encoding`...) are not forwarded.
    std::vector<HeaderField> headers;
    std::string body;
    /// Maximum duration of the whole attempt. Must be positive.
    Duration timeout{};
    /// Maximum time without a byte sent or received once the request is being sent; 0 means that only the timeout applies.
    Duration progressTimeout{};
    /// Replaces the `traceparent` header when not empty.
    std::string traceparent;
    /// Sends on a new connection. The endpoint may close an idle connection while the request is being sent, which makes the outcome
    /// unknown; for a non-idempotent request this costs more than a new connection.
    bool freshConnection = false;
};

/// A complete response of an endpoint, with any status.
struct AttemptResponse
{
    std::uint16_t status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// Whether the response has the status 503 and the header `Acaciarail-Execution: not-run`.
    bool notRun = false;
    /// Whether the response has the header `Acaciarail-Leaving: true`.
    bool leaving = false;

    /// Returns the value of the first header \a name, compared case-insensitively; empty when absent.
    /// \pre none. Thread-safe.
    [[nodiscard]] auto header(std::string_view name) const noexcept -> std::string_view;
};

/// Result of an attempt without a complete response.
struct AttemptFailure
{
    /// The execution is NotRun only when no byte can have been sent, and Unknown otherwise.
    Failure failure;
    /// Whether any byte of the request may have reached the endpoint.
    bool mayHaveBeenSent = false;
    /// Whether the connection was established and then made no progress within the progress timeout, or the endpoint sent no byte within
    /// the timeout.
    bool unresponsive = false;
};

struct AttemptOutcome
{
    AttemptId id;
    std::string address;
    std::variant<AttemptResponse, AttemptFailure> result;
    /// Time from send() to the outcome; 0 for an attempt that was refused unsent.
    Duration latency{};
};

struct EndpointClientSettings
{
    std::size_t maxConnectionsPerEndpoint = 64;
    /// Maximum time to establish a connection.
    Duration connectTimeout = std::chrono::seconds(1);
    /// An idle connection is closed after this time, or up to one more such interval later.
    Duration idleTimeout = std::chrono::seconds(30);
    /// In bytes; a response with a larger body fails with Error::TooLarge.
    std::size_t maxResponseBody = std::size_t{1024} * 1024;
    /// In bytes.
    std::size_t maxResponseHead = std::size_t{64} * 1024;
};

struct EndpointClientHooks
{
    /// Called exactly once for each attempt that was sent and not cancelled, never from within send() or cancel().
    std::function<void(AttemptOutcome outcome)> onOutcome;
    /// Called once when no attempt is in progress after stop(), never from within stop().
    std::function<void()> onStopped;
};

struct EndpointClientStats
{
    std::uint64_t connectionsOpened = 0;
    /// Connections closed because an attempt on them timed out, failed or was cancelled.
    std::uint64_t connectionsDropped = 0;
    std::uint64_t attempts = 0;
    std::uint64_t reusedConnections = 0;
};

/// Sends attempts over pooled connections, one attempt at a time on each. A connection is reused only after a complete response without
/// further bytes, so that a response cannot be attributed to another request.
/// All methods run on the thread of the event loop; not thread-safe.
class EndpointClient
{
public:
    /// \pre \a base outlives the client; hooks.onOutcome is set.
    EndpointClient(event_base *base, EndpointClientSettings settings, EndpointClientHooks hooks);
    EndpointClient(const EndpointClient &) = delete;
    auto operator=(const EndpointClient &) -> EndpointClient & = delete;
    /// Closes all connections; no hook is called.
    ~EndpointClient();

    /// Sends \a attempt. Invalid input (Error::MalformedInput), an exhausted pool (Error::Overloaded) and a stopped client
    /// (Error::Draining) are reported by onOutcome like other failures. \pre no attempt with the same id is in progress.
    auto send(Attempt attempt) -> void;

    /// Cancels an attempt: its connection is closed and onOutcome is not called. Returns whether any byte of the request may have been
    /// sent; false for an unknown id. \pre none.
    auto cancel(AttemptId id) -> bool;

    /// Closes the idle connections to \a address; connections in use are closed after their attempt. \pre none.
    auto removeEndpoint(std::string_view address) -> void;

    /// Refuses new attempts, waits for the attempts in progress and then calls hooks.onStopped. Repeated calls have no effect. \pre none.
    auto stop() -> void;

    /// Returns the number of attempts in progress. \pre none.
    [[nodiscard]] auto attemptsInProgress() const noexcept -> std::size_t;

    /// Returns the number of connections to \a address, in use or idle. \pre none.
    [[nodiscard]] auto connections(std::string_view address) const noexcept -> std::size_t;

    /// \pre none.
    [[nodiscard]] auto stats() const noexcept -> const EndpointClientStats &;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Endpoint
