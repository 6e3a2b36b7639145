#include <acaciarail/telemetry/span.h>

#include <cstddef>

namespace Acaciarail::Telemetry {

namespace {

constexpr std::size_t wordDigits = 16;

auto appendHex(std::string &out, std::uint64_t value, std::size_t digits) -> void
{
    constexpr std::string_view alphabet = "0123456789abcdef";
    for (auto n = digits; n > 0; --n) {
        out += alphabet[(value >> ((n - 1) * 4)) & 0xfU];
    }
}

/// Only lower-case digits are valid in W3C ids.
auto parseHex(std::string_view text) noexcept -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    for (const char c : text) {
        if (c >= '0' && c <= '9') {
            value = (value << 4U) | static_cast<std::uint64_t>(c - '0');
        } else if (c >= 'a' && c <= 'f') {
            value = (value << 4U) | static_cast<std::uint64_t>(c - 'a' + 10);
        } else {
            return std::nullopt;
        }
    }
    return value;
}

} // namespace

auto TraceId::str() const -> std::string
{
    std::string out;
    out.reserve(2 * wordDigits);
    appendHex(out, high, wordDigits);
    appendHex(out, low, wordDigits);
    return out;
}

auto SpanId::str() const -> std::string
{
    std::string out;
    out.reserve(wordDigits);
    appendHex(out, value, wordDigits);
    return out;
}

auto parseTraceId(std::string_view text) noexcept -> std::optional<TraceId>
{
    if (text.size() != 2 * wordDigits) {
        return std::nullopt;
    }
    const auto high = parseHex(text.substr(0, wordDigits));
    const auto low = parseHex(text.substr(wordDigits));
    if (!high || !low) {
        return std::nullopt;
    }
    const TraceId id{*high, *low};
    return id.valid() ? std::optional(id) : std::nullopt;
}

auto parseTraceparent(std::string_view text) noexcept -> std::optional<TraceContext>
{
    // VERSION(2) - TRACE(32) - PARENT(16) - FLAGS(2)
    constexpr std::size_t tracePosition = 3;
    constexpr std::size_t parentPosition = 36;
    constexpr std::size_t flagsPosition = 53;
    constexpr std::size_t version00Size = 55;
    constexpr std::uint64_t invalidVersion = 0xff;

    if (text.size() < version00Size || text[2] != '-' || text[parentPosition - 1] != '-' || text[flagsPosition - 1] != '-') {
        return std::nullopt;
    }
    const auto version = parseHex(text.substr(0, 2));
    if (!version || *version == invalidVersion) {
        return std::nullopt;
    }
    if (text.size() > version00Size && (*version == 0 || text[version00Size] != '-')) {
        return std::nullopt;
    }
    const auto trace = parseTraceId(text.substr(tracePosition, 2 * wordDigits));
    const auto parent = parseHex(text.substr(parentPosition, wordDigits));
    const auto flags = parseHex(text.substr(flagsPosition, 2));
    if (!trace || !parent || *parent == 0 || !flags) {
        return std::nullopt;
    }
    return TraceContext{*trace, SpanId{*parent}, (*flags & 1U) != 0};
}

auto formatTraceparent(const TraceContext &context) -> std::string
{
    return "00-" + context.trace.str() + "-" + context.parent.str() + (context.sampled ? "-01" : "-00");
}

IdGenerator::IdGenerator(std::uint64_t seed)
    : m_engine(seed)
{
}

auto IdGenerator::nextTraceId() -> TraceId
{
    TraceId id;
    while (!id.valid()) {
        id.high = m_engine();
        id.low = m_engine();
    }
    return id;
}

auto IdGenerator::nextSpanId() -> SpanId
{
    SpanId id;
    while (!id.valid()) {
        id.value = m_engine();
    }
    return id;
}

auto spanStatusName(SpanStatus status) noexcept -> std::string_view
{
    switch (status) {
    case SpanStatus::Ok:
        return "ok";
    case SpanStatus::Failed:
        return "failed";
    case SpanStatus::Cancelled:
        break;
    }
    return "cancelled";
}

} // namespace Acaciarail::Telemetry
