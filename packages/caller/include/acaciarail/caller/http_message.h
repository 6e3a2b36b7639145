#pragma once

#include <acaciarail/core/names.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP server for callers and operators, and the text formats of their requests and responses.
namespace Acaciarail::Caller {

enum class HttpMethod : std::uint8_t {
    Get,
    Head,
    Post,
    Put,
    Patch,
    Delete,
    Options,
};

/// Returns the method as in a request line, for example `GET`. \pre none. Thread-safe.
[[nodiscard]] auto httpMethodName(HttpMethod method) noexcept -> std::string_view;

/// Parses the method of a request line; empty for any other text. \pre none. Thread-safe.
[[nodiscard]] auto parseHttpMethod(std::string_view text) noexcept -> std::optional<HttpMethod>;

struct HttpHeader
{
    std::string name;
    std::string value;

    friend auto operator==(const HttpHeader &, const HttpHeader &) noexcept -> bool = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header called \a name, compared without regard to case. The view is valid as long as \a headers.
/// \pre none. Thread-safe.
[[nodiscard]] auto findHeader(const HttpHeaders &headers, std::string_view name) noexcept -> std::optional<std::string_view>;

/// One complete request as received.
struct HttpRequest
{
    /// Unique within one server.
    RequestId id = 0;
    HttpMethod method = HttpMethod::Get;
    /// As received, without the query and not decoded; starts with `/`.
    std::string path;
    /// As received after `?`, not decoded; empty when there is none.
    std::string query;
    HttpHeaders headers;
    std::string body;
    /// `ADDRESS:PORT` of the caller.
    std::string peer;
};

/// Returns the decoded value of the parameter \a name of \a query; empty when it is absent or not decodable.
/// \pre none. Thread-safe.
[[nodiscard]] auto queryParameter(std::string_view query, std::string_view name) -> std::optional<std::string>;

/// Decodes `%XX`; returns nothing for a malformed sequence or an encoded NUL. \pre none. Thread-safe.
[[nodiscard]] auto percentDecode(std::string_view text) -> std::optional<std::string>;

struct HttpResponse
{
    std::uint16_t status = 200;
    /// Without Content-Length, Connection and Transfer-Encoding, which the server sets.
    HttpHeaders headers;
    std::string body;
};

/// Builds a response with a body of type \a contentType. \pre none. Thread-safe.
[[nodiscard]] auto makeResponse(std::uint16_t status, std::string_view contentType, std::string body) -> HttpResponse;

} // namespace Acaciarail::Caller
