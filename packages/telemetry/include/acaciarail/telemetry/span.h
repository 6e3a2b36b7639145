#pragma once

#include <acaciarail/core/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

/// Spans with W3C trace ids, and metrics in a text format. Without side effects: the caller supplies time and random seeds.
namespace Acaciarail::Telemetry {

/// W3C trace id; all zero is invalid. All methods: no preconditions; thread-safe.
struct TraceId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const TraceId &, const TraceId &) noexcept -> std::strong_ordering = default;

    [[nodiscard]] constexpr auto valid() const noexcept -> bool
    {
        return high != 0 || low != 0;
    }
    /// Returns 32 lower-case hexadecimal digits.
    [[nodiscard]] auto str() const -> std::string;
};

/// W3C span id; zero is invalid. All methods: no preconditions; thread-safe.
struct SpanId
{
    std::uint64_t value = 0;

    friend auto operator<=>(const SpanId &, const SpanId &) noexcept -> std::strong_ordering = default;

    [[nodiscard]] constexpr auto valid() const noexcept -> bool
    {
        return value != 0;
    }
    /// Returns 16 lower-case hexadecimal digits.
    [[nodiscard]] auto str() const -> std::string;
};

/// Content of a `traceparent` header.
struct TraceContext
{
    TraceId trace;
    /// The span of the sender, which is the parent of the receiver's span.
    SpanId parent;
    bool sampled = true;

    friend auto operator==(const TraceContext &, const TraceContext &) noexcept -> bool = default;
};

/// Parses 32 lower-case hexadecimal digits that are not all zero. \pre none. Thread-safe.
[[nodiscard]] auto parseTraceId(std::string_view text) noexcept -> std::optional<TraceId>;

/// Parses a `traceparent` header as the W3C recommendation requires: version `ff`, upper-case digits, zero ids and a
/// wrong length are refused; a later version may carry more fields, which are ignored. \pre none. Thread-safe.
[[nodiscard]] auto parseTraceparent(std::string_view text) noexcept -> std::optional<TraceContext>;

/// Formats a version 00 `traceparent` header. \pre both ids are valid. Thread-safe.
[[nodiscard]] auto formatTraceparent(const TraceContext &context) -> std::string;

/// Generates trace and span ids from a seeded random number engine. Not thread-safe.
class IdGenerator
{
public:
    /// \pre \a seed differs between processes, so that their ids do not collide.
    explicit IdGenerator(std::uint64_t seed);

    /// Returns a valid id. \pre none.
    [[nodiscard]] auto nextTraceId() -> TraceId;
    /// Returns a valid id. \pre none.
    [[nodiscard]] auto nextSpanId() -> SpanId;

private:
    std::mt19937_64 m_engine;
};

enum class SpanStatus : std::uint8_t {
    Ok,
    Failed,
    Cancelled,
};

/// Returns `ok`, `failed` or `cancelled`. \pre none. Thread-safe.
[[nodiscard]] auto spanStatusName(SpanStatus status) noexcept -> std::string_view;

struct SpanAttribute
{
    std::string key;
    std::string value;

    friend auto operator==(const SpanAttribute &, const SpanAttribute &) noexcept -> bool = default;
};

/// One timed step of a request or job.
struct Span
{
    TraceId trace;
    SpanId id;
    /// Zero for the first span of a trace.
    SpanId parent;
    std::string name;
    TimePoint start;
    TimePoint end;
    SpanStatus status = SpanStatus::Ok;
    /// Set when the status is not Ok.
    std::error_code error;
    std::vector<SpanAttribute> attributes;
};

} // namespace Acaciarail::Telemetry
