#include <acaciarail/telemetry/trace_buffer.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Acaciarail::Telemetry {

namespace {

// A span takes at most about 9 KiB, so that a buffer of 1000 spans stays well below the memory budget of an instance.
constexpr std::size_t maxNameSize = 128;
constexpr std::size_t maxAttributes = 16;
constexpr std::size_t maxAttributeTextSize = 256;

auto truncate(std::string &text, std::size_t limit) -> void
{
    if (text.size() > limit) {
        text.resize(limit);
        text.shrink_to_fit();
    }
}

auto toJson(const Span &span, TimePoint origin) -> nlohmann::ordered_json
{
    nlohmann::ordered_json out;
    out["span_id"] = span.id.str();
    if (span.parent.valid()) {
        out["parent_id"] = span.parent.str();
    }
    out["name"] = span.name;
    out["start_us"] = (span.start - origin).count();
    out["duration_us"] = std::max(span.end - span.start, Duration::zero()).count();
    out["status"] = spanStatusName(span.status);
    if (span.error) {
        out["error"] = span.error.message();
    }
    auto &attributes = out["attributes"] = nlohmann::ordered_json::object();
    for (const auto &it : span.attributes) {
        attributes[it.key] = it.value;
    }
    return out;
}

} // namespace

TraceBuffer::TraceBuffer(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{
}

auto TraceBuffer::add(Span span) -> void
{
    truncate(span.name, maxNameSize);
    if (span.attributes.size() > maxAttributes) {
        span.attributes.resize(maxAttributes);
    }
    for (auto &it : span.attributes) {
        truncate(it.key, maxAttributeTextSize);
        truncate(it.value, maxAttributeTextSize);
    }
    if (m_spans.size() < m_capacity) {
        m_spans.push_back(std::move(span));
        return;
    }
    m_spans[m_next] = std::move(span);
    m_next = (m_next + 1) % m_capacity;
    ++m_overwritten;
}

auto TraceBuffer::spansOf(TraceId trace) const -> std::vector<Span>
{
    std::vector<Span> out;
    for (std::size_t i = 0; i < m_spans.size(); ++i) {
        // m_next is the oldest span once the ring is full, and 0 before.
        const auto &span = m_spans[(m_next + i) % m_spans.size()];
        if (span.trace == trace) {
            out.push_back(span);
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const Span &a, const Span &b) { return a.start < b.start; });
    return out;
}

auto TraceBuffer::size() const noexcept -> std::size_t
{
    return m_spans.size();
}

auto TraceBuffer::overwritten() const noexcept -> std::uint64_t
{
    return m_overwritten;
}

auto renderTrace(TraceId trace, const std::vector<Span> &spans) -> std::string
{
    nlohmann::ordered_json out;
    out["trace"] = trace.str();
    auto &list = out["spans"] = nlohmann::ordered_json::array();
    const auto first = std::min_element(spans.begin(), spans.end(), [](const Span &a, const Span &b) { return a.start < b.start; });
    for (const auto &it : spans) {
        list.push_back(toJson(it, first->start));
    }
    return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace Acaciarail::Telemetry
