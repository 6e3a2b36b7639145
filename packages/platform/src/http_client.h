#pragma once

#include <acaciarail/platform/platform_settings.h>
#include <acaciarail/runtime/event_loop.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace Acaciarail::Platform::Detail {

struct HttpRequest
{
    /// Path and query.
    std::string target;
    /// A POST when set, a GET otherwise.
    std::optional<std::string> body;
    Duration timeout{};
};

struct HttpResult
{
    /// Empty once a complete answer arrived; otherwise Error::Timeout, Error::ConnectionLost, Error::TooLarge,
    /// or Error::Overloaded when too many requests are in progress.
    std::error_code error;
    /// False when it is certain that the server never received any part of the request.
    bool maybeSent = false;
    int status = 0;
    std::string body;
};

/// Requests to one HTTP server. Each request in progress has a connection of its own, so that a long poll or a silent connection
/// does not hold up another request; idle connections are kept for reuse. Not thread-safe.
class HttpClient
{
public:
    /// \pre \a loop outlives the client.
    HttpClient(Runtime::EventLoop &loop, PlatformSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Calls \a done on the loop, never from inside this call. Dropped when the client is destroyed. \pre none.
    auto start(HttpRequest request, std::function<void(HttpResult)> done) -> void;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Platform::Detail
