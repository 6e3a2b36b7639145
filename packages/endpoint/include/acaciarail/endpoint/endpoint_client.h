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

/// HTTP client to the endpoints of services.
namespace Acaciarail::Endpoint {

/// Number of an attempt, unique within one client at any time.
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

/// One attempt of one request at one endpoint.
struct Attempt
{
    AttemptId id;
    /// `ADDRESS:PORT` with a numeric address.
    std::string address;
    /// `GET`, `HEAD`, `POST`, `PUT`, `PATCH`, `DELETE` or `OPTIONS`.
    std::string method;
    /// Path and query; starts with `/`.
    std::string target;
    /// Headers that belong to one connection (`Connection`, `Host`, `Content-Length`, `Transfer-Encoding`...) are left out.
    std::vector<HeaderField> headers;
    std::string body;
    /// Longest time for the whole attempt. Must be positive.
    Duration timeout{};
    /// Longest time without a byte from the endpoint once the request was sent; 0 means the same as the timeout.
    Duration progressTimeout{};
    /// Replaces a `traceparent` among the headers when not empty.
    std::string traceparent;
    /// Sends on a new connection. An unused one may be closed by the endpoint just as the request is sent, so that its outcome would be
    /// unknown; for a non-idempotent request that costs more than a connection.
    bool freshConnection = false;
};

/// A complete answer of an endpoint, whatever its status.
struct AttemptResponse
{
    std::uint16_t status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// The endpoint stated `Acaciarail-Execution: not-run` with status 503.
    bool notRun = false;
    /// The endpoint stated `Acaciarail-Leaving: true`.
    bool leaving = false;

    /// Returns the value of the first header called \a name, compared without case; empty when absent.
    /// \pre none. Thread-safe.
    [[nodiscard]] auto header(std::string_view name) const noexcept -> std::string_view;
};

/// An attempt without a complete answer.
struct AttemptFailure
{
    /// The execution is NotRun only when no byte may have been sent, and Unknown otherwise.
    Failure failure;
    /// Whether any byte of the request may have reached the endpoint.
    bool mayHaveBeenSent = false;
    /// No byte came within the timeout on a connection that was open.
    bool silent = false;
};

struct AttemptOutcome
{
    AttemptId id;
    std::string address;
    std::variant<AttemptResponse, AttemptFailure> result;
    /// From send() to the outcome.
    Duration latency{};
};

struct EndpointClientSettings
{
    std::size_t maxConnectionsPerEndpoint = 64;
    /// Longest time until a connection is established.
    Duration connectTimeout = std::chrono::seconds(1);
    /// An unused connection is closed after this time.
    Duration idleTimeout = std::chrono::seconds(30);
    /// In bytes; a larger answer fails with Error::TooLarge.
    std::size_t maxResponseBody = std::size_t{1024} * 1024;
    /// In bytes.
    std::size_t maxResponseHead = std::size_t{64} * 1024;
};

struct EndpointClientHooks
{
    /// Called exactly once for each attempt that was sent and not cancelled, never from within send() or cancel().
    std::function<void(AttemptOutcome outcome)> onOutcome;
    /// After stop(): nothing is in progress. Called once, never from within stop().
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

/// Sends attempts over pooled connections, one attempt at a time on each. A connection is used again only after a complete
/// answer with nothing after it, so that an answer cannot be taken for the answer to another request.
/// All methods run on the thread of the event loop; not thread-safe.
class EndpointClient
{
public:
    /// \pre \a base outlives the client; hooks.onOutcome is set.
    EndpointClient(event_base *base, EndpointClientSettings settings, EndpointClientHooks hooks);
    EndpointClient(const EndpointClient &) = delete;
    auto operator=(const EndpointClient &) -> EndpointClient & = delete;
    /// Closes all connections without further hooks.
    ~EndpointClient();

    /// Sends \a attempt. Faulty input, a full pool (Error::Overloaded) and a stopped client (Error::Draining) are reported
    /// by the hook like other failures. \pre no attempt with the same id is in progress.
    auto send(Attempt attempt) -> void;

    /// Gives up an attempt; its connection is closed and its hook is not called. Returns whether any byte of it may have been
    /// sent; false when it is unknown. \pre none.
    auto cancel(AttemptId id) -> bool;

    /// Closes the unused connections to \a address; those in use are closed after their attempt. \pre none.
    auto forget(std::string_view address) -> void;

    /// Refuses new attempts, lets those in progress finish and then calls hooks.onStopped. Later calls have no effect. \pre none.
    auto stop() -> void;

    /// Returns the number of attempts in progress. \pre none.
    [[nodiscard]] auto attemptsInProgress() const noexcept -> std::size_t;

    /// Returns the number of connections to \a address, used or not. \pre none.
    [[nodiscard]] auto connections(std::string_view address) const noexcept -> std::size_t;

    /// \pre none.
    [[nodiscard]] auto stats() const noexcept -> const EndpointClientStats &;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Endpoint
