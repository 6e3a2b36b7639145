#pragma once

#include <acaciarail/caller/http_message.h>
#include <acaciarail/core/error.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/shape.h>
#include <acaciarail/core/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Acaciarail::Caller {

/// Longest deadline that a caller may request.
inline constexpr Duration maxDeadline = std::chrono::hours(1);
/// In bytes.
inline constexpr std::size_t maxTokenSize = 512;
/// In bytes.
inline constexpr std::size_t maxIdempotencyKeySize = 200;

/// A value, or the reason why the input has none.
template<typename T>
using Parsed = std::variant<T, Failure>;

/// A request to a service: `ANY /services/SERVICE/PATH` and its headers.
struct ServiceRequest
{
    ServiceName service;
    /// Path and query for the endpoint; starts with `/`.
    std::string target;
    /// Token of `Authorization: Bearer TOKEN`; empty when the header is absent.
    std::string token;
    /// Time from now within which the caller wants a response; empty when the header is absent.
    std::optional<Duration> deadline;
    Priority priority = Priority::Normal;
    std::string idempotencyKey;
    /// From `Acaciarail-Idempotent`; without the header GET, HEAD, OPTIONS, PUT and DELETE are idempotent, POST and PATCH are not.
    bool idempotent = false;
    /// As received; empty when absent. A malformed value is not an error; a new trace is then started.
    std::string traceparent;
};

/// Parses the path and headers of a request to a service. Every failure names the header, what was expected and what was found.
/// Refuses repeated headers of which only one is allowed. \pre none. Thread-safe.
[[nodiscard]] auto parseServiceRequest(const HttpRequest &request) -> Parsed<ServiceRequest>;

/// Parses `Authorization: Bearer TOKEN`; an absent header gives an empty token, another scheme or an invalid token gives a failure.
/// \pre none. Thread-safe.
[[nodiscard]] auto parseBearerToken(const HttpHeaders &headers) -> Parsed<std::string>;

/// Parses a whole number from \a minimum to \a maximum in decimal digits only.
/// \a field names the input in the failure. \pre minimum is not above maximum. Thread-safe.
[[nodiscard]] auto parseWholeNumber(std::string_view field, std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
    -> Parsed<std::uint64_t>;

} // namespace Acaciarail::Caller
