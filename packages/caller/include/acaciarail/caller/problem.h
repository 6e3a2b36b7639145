#pragma once

#include <acaciarail/caller/http_message.h>
#include <acaciarail/core/error.h>
#include <acaciarail/core/time.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Acaciarail::Caller {

inline constexpr std::string_view problemContentType = "application/problem+json";

/// Returns the HTTP status of \a error. Every refusal and failure has a 4xx or 5xx status; Error::Ok gives 500, because it is not a
/// failure. \pre none. Thread-safe.
[[nodiscard]] auto httpStatus(Error error) noexcept -> std::uint16_t;

/// Renders \a failure as problem+json with `status`, `title`, `code`, `execution`, `detail` and, when given, `retry_after_ms`.
/// With \a retryAfter, a Retry-After header in whole seconds is added; `Acaciarail-Execution` is always set.
/// Bytes that are not UTF-8 are replaced. \pre none. Thread-safe.
[[nodiscard]] auto renderProblem(const Failure &failure, std::optional<Duration> retryAfter = std::nullopt) -> HttpResponse;

/// Does the same as renderProblem(), with \a status instead of that of httpStatus(). \pre \a status is 4xx or 5xx. Thread-safe.
[[nodiscard]] auto renderProblemAs(std::uint16_t status, const Failure &failure, std::optional<Duration> retryAfter = std::nullopt)
    -> HttpResponse;

} // namespace Acaciarail::Caller
