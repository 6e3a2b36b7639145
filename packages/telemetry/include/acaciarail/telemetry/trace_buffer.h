#pragma once

#include <acaciarail/telemetry/span.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Acaciarail::Telemetry {

/// Ring buffer of fixed size with the latest spans of one instance; the oldest span is overwritten first. Not thread-safe.
class TraceBuffer
{
public:
    /// \a capacity is the number of spans kept. \pre capacity is at least 1.
    explicit TraceBuffer(std::size_t capacity);

    /// Stores \a span; names, attribute texts and the number of attributes are truncated to fixed bounds, so that the memory
    /// of the buffer is bounded. \pre none.
    auto add(Span span) -> void;

    /// Returns the spans of \a trace that are still kept, ordered by start, then by the order of add(). \pre none.
    [[nodiscard]] auto spansOf(TraceId trace) const -> std::vector<Span>;

    /// Returns the number of spans kept. \pre none.
    [[nodiscard]] auto size() const noexcept -> std::size_t;

    /// Returns the number of spans that were overwritten. \pre none.
    [[nodiscard]] auto overwritten() const noexcept -> std::uint64_t;

private:
    std::size_t m_capacity;
    std::size_t m_next = 0;
    std::uint64_t m_overwritten = 0;
    std::vector<Span> m_spans;
};

/// Renders spans as JSON: `{"trace":ID,"spans":[{"span_id","parent_id","name","start_us","duration_us","status","error","attributes"}]}`.
/// Times are microseconds after the earliest start. Text that is not UTF-8 is replaced. \pre none. Thread-safe.
[[nodiscard]] auto renderTrace(TraceId trace, const std::vector<Span> &spans) -> std::string;

} // namespace Acaciarail::Telemetry
