#pragma once

#include <acaciarail/core/error.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Acaciarail::Operator {

/// Address of an instance.
struct ServerAddress
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator==(const ServerAddress &, const ServerAddress &) noexcept -> bool = default;
};

/// Returns `HOST:PORT`. \pre none. Thread-safe.
[[nodiscard]] auto serverText(const ServerAddress &server) -> std::string;

/// Result of parseServer(): the address, or what is wrong with the text.
struct ParsedServer
{
    ServerAddress server;
    Failure failure;
};

/// Parses `HOST:PORT`, also `[IPV6]:PORT`. \pre none. Thread-safe.
[[nodiscard]] auto parseServer(std::string_view text) -> ParsedServer;

enum class HttpMethod {
    Get,
    Post,
    Delete,
};

struct HttpCall
{
    HttpMethod method = HttpMethod::Get;
    /// Path and query; starts with `/`.
    std::string path;
    /// JSON text; empty for none.
    std::string body;
    /// Repeating the call has the same effect as making it once, so that it may be sent again to another server.
    bool repeatable = true;
};

/// How a call ended, other than by an answer.
enum class HttpEnd {
    Answered,
    /// No server could be connected to, or none answered a read; the call had no effect.
    Unreachable,
    /// The call was sent and no complete answer arrived; it may have taken effect.
    AnswerLost,
};

struct HttpReply
{
    HttpEnd end = HttpEnd::Unreachable;
    std::uint32_t status = 0;
    std::string body;
    /// Server that answered, or the last one that was tried.
    ServerAddress server;
    /// Why there is no answer, for people.
    std::string detail;
};

struct HttpClientSettings
{
    /// Tried in this order.
    std::vector<ServerAddress> servers;
    /// Bearer token; empty for none.
    std::string token;
    /// Time for connecting to one server, and for each part of its answer.
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
};

/// Blocking HTTP client of the command line. Not thread-safe.
class HttpClient
{
public:
    /// \pre settings.servers is not empty.
    explicit HttpClient(HttpClientSettings settings);

    /// Sends \a call to the first server that can be connected to. The next one is tried when connecting fails, when a server
    /// answers 503 and says that it did not carry the call out, and when the answer to a repeatable call is lost.
    /// \pre call.path starts with `/`. Errors are in the reply.
    [[nodiscard]] auto exchange(const HttpCall &call) -> HttpReply;

    /// Sends \a call to every server and returns one reply for each, in their order. \pre call.repeatable.
    [[nodiscard]] auto exchangeAll(const HttpCall &call) -> std::vector<HttpReply>;

private:
    [[nodiscard]] auto exchangeWith(const ServerAddress &server, const HttpCall &call) const -> HttpReply;

    HttpClientSettings m_settings;
};

/// Escapes \a text for use as one segment of a path. \pre none. Thread-safe.
[[nodiscard]] auto pathSegment(std::string_view text) -> std::string;

} // namespace Acaciarail::Operator
