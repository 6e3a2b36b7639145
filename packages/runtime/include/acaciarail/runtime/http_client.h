#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace Acaciarail::Runtime {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Identifies a connection of any client in the process. Never used again once the connection has closed; 0 for none.
using HttpConnectionId = std::uint64_t;

struct HttpClientSettings
{
    SocketAddress address;
    /// Sent with every request, in addition to `Host`.
    HttpHeaders headers;
    /// `Content-Type` of every request that has a body.
    std::string contentType = "application/json";
    /// Larger responses are refused with Error::TooLarge.
    std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;
    /// Idle connections that are kept for reuse.
    std::size_t maxIdleConnections = 4;
    /// Further requests are refused, so that a server that does not respond cannot use up the descriptors of the process.
    std::size_t maxBusyConnections = 256;
};

struct HttpRequest
{
    /// Path and query.
    std::string target;
    /// A POST when set, a GET otherwise.
    std::optional<std::string> body;
    Duration timeout{};
    /// Sent in addition to those of the client.
    HttpHeaders headers = {};
    /// When set, the request is sent over an idle connection for which it returns true; without one, it fails with Error::NoEndpoint.
    std::function<bool(HttpConnectionId)> mayUse = {};
};

struct HttpResult
{
    /// Empty once a complete response arrived; otherwise Error::Timeout, Error::ConnectionLost, Error::TooLarge, Error::Overloaded when too
    /// many requests are in progress, or Error::NoEndpoint when no idle connection may be used.
    std::error_code error;
    /// False when it is certain that the server never received any part of the request.
    bool maybeSent = false;
    int status = 0;
    std::string body;
    /// The connection that carried the response.
    HttpConnectionId connection = 0;
};

/// Requests to one HTTP server. Each request in progress has a connection of its own, so that a long poll or a connection without
/// a response does not delay another request; idle connections are kept for reuse. Not thread-safe.
class HttpClient
{
public:
    /// \pre \a loop outlives the client.
    HttpClient(EventLoop &loop, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Starts \a request and calls \a done with its result on the loop, never from inside this call. The call is dropped when the client is
    /// destroyed. \pre none.
    auto start(HttpRequest request, std::function<void(HttpResult)> done) -> void;

    /// Returns whether a connection is still open. \pre none.
    [[nodiscard]] auto isOpen(HttpConnectionId connection) const -> bool;
    /// Returns the number of requests without a result. \pre none.
    [[nodiscard]] auto inProgress() const -> std::size_t;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Runtime
