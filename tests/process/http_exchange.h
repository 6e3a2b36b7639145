#pragma once

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::ProcessTest {

/// Renders an HTTP/1.1 request with `Connection: close`. Each of \a headers is a header line without its line end. \pre none.
[[nodiscard]] auto renderRequest(std::string_view method, std::string_view target, const std::vector<std::string> &headers,
                                 std::string_view body) -> std::string;

/// Sends arbitrary bytes, also malformed requests, on a new connection and collects the response. Not thread-safe.
class HttpExchange
{
public:
    /// \pre \a loop outlives the exchange.
    HttpExchange(Runtime::EventLoop &loop, const Runtime::SocketAddress &address, std::string_view bytes);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    auto operator=(const HttpExchange &) -> HttpExchange & = delete;

    /// Returns whether a complete response has arrived or the connection has ended. \pre none.
    [[nodiscard]] auto isDone() const -> bool;
    /// Returns the status of the complete response; 0 when there is none. \pre none.
    [[nodiscard]] auto status() const -> int;
    /// Returns the body of the complete response; empty when there is none. \pre none.
    [[nodiscard]] auto body() const -> std::string;
    /// Returns the body as JSON; a null value when it is not JSON. \pre none.
    [[nodiscard]] auto json() const -> nlohmann::json;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::ProcessTest
