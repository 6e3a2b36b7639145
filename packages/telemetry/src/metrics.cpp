#include <acaciarail/telemetry/metrics.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <stdexcept>
#include <utility>
#include <variant>

namespace Acaciarail::Telemetry {

namespace {

namespace bh = boost::histogram;

using LatencyAxis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using LatencyBins = bh::histogram<std::tuple<LatencyAxis>, bh::dense_storage<std::uint64_t>>;

auto makeBins(const LatencyBounds &bounds) -> LatencyBins
{
    // The text format's bounds are inclusive, whereas the bins of the axis exclude their upper edge. Latencies are whole microseconds,
    // so an edge one microsecond above the bound makes the bucket inclusive.
    std::vector<double> edges{0.0};
    for (const auto &it : bounds) {
        edges.push_back(static_cast<double>(it.count() + 1));
    }
    return bh::make_histogram_with(bh::dense_storage<std::uint64_t>(), LatencyAxis(edges));
}

auto isNameStart(char c) noexcept -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

auto isName(std::string_view name, bool colonAllowed) noexcept -> bool
{
    const auto valid = [colonAllowed](char c) { return isNameStart(c) || (colonAllowed && c == ':'); };
    const auto validLater = [&valid](char c) { return valid(c) || (c >= '0' && c <= '9'); };
    return !name.empty() && valid(name.front()) && std::all_of(name.begin() + 1, name.end(), validLater);
}

/// Returns the size of the valid UTF-8 sequence at the start of \a text, or 0.
auto utf8SequenceSize(std::string_view text) noexcept -> std::size_t
{
    const auto byte = [&text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const auto first = byte(0);
    if (first < 0x80) {
        return 1;
    }
    const std::size_t size = first >= 0xc2 && first <= 0xdf ? 2 : (first & 0xf0U) == 0xe0 ? 3 : first >= 0xf0 && first <= 0xf4 ? 4 : 0;
    if (size == 0 || size > text.size()) {
        return 0;
    }
    for (std::size_t i = 1; i < size; ++i) {
        if ((byte(i) & 0xc0U) != 0x80) {
            return 0;
        }
    }
    const bool overlong = (first == 0xe0 && byte(1) < 0xa0) || (first == 0xf0 && byte(1) < 0x90);
    const bool surrogate = first == 0xed && byte(1) > 0x9f;
    const bool tooLarge = first == 0xf4 && byte(1) > 0x8f;
    return overlong || surrogate || tooLarge ? 0 : size;
}

auto appendEscaped(std::string &out, std::string_view text, bool escapeQuotes) -> void
{
    constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";
    while (!text.empty()) {
        const auto size = utf8SequenceSize(text);
        const auto c = text.front();
        if (size == 0) {
            out += replacementCharacter;
        } else if (c == '\\') {
            out += "\\\\";
        } else if (c == '\n') {
            out += "\\n";
        } else if (c == '"' && escapeQuotes) {
            out += "\\\"";
        } else {
            out += text.substr(0, size);
        }
        text.remove_prefix(std::max<std::size_t>(size, 1));
    }
}

auto formatNumber(double value) -> std::string
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    // The shortest representation that round-trips a double takes at most 24 characters.
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    return {buf.data(), end};
}

auto formatSeconds(Duration value) -> std::string
{
    return formatNumber(std::chrono::duration<double>(value).count());
}

auto formatLabels(const Labels &labels, std::string_view bound = {}) -> std::string
{
    if (labels.empty() && bound.empty()) {
        return {};
    }
    std::string out = "{";
    for (const auto &it : labels) {
        out += out.size() > 1 ? "," : "";
        out += it.name + "=\"";
        appendEscaped(out, it.value, true);
        out += '"';
    }
    if (!bound.empty()) {
        out += out.size() > 1 ? "," : "";
        out += "le=\"";
        out += bound;
        out += '"';
    }
    return out + "}";
}

auto checkedLabels(const Labels &labels) -> Labels
{
    auto sorted = labels;
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const auto &name = sorted[i].name;
        if (!isName(name, false) || name.starts_with("__") || name == "le" || (i > 0 && name == sorted[i - 1].name)) {
            throw std::invalid_argument("label name: expected a unique one like [a-zA-Z_][a-zA-Z0-9_]* other than le, found " + name);
        }
    }
    return sorted;
}

auto otherLabels(Labels labels) -> Labels
{
    for (auto &it : labels) {
        it.value = "other";
    }
    return labels;
}

} // namespace

auto defaultLatencyBounds() -> LatencyBounds
{
    return {500us, 1ms, 2500us, 5ms, 10ms, 25ms, 50ms, 100ms, 250ms, 500ms, 1s, 2500ms, 5s, 10s, 30s, 60s};
}

struct LatencyHistogram::Storage
{
    LatencyBounds bounds;
    LatencyBins bins;
    std::uint64_t count = 0;
    Duration sum{};
};

LatencyHistogram::LatencyHistogram(const LatencyBounds &bounds)
{
    const bool ascending = std::adjacent_find(bounds.begin(), bounds.end(), std::greater_equal<>()) == bounds.end();
    if (bounds.empty() || bounds.front() <= Duration::zero() || !ascending) {
        throw std::invalid_argument("latency bounds: expected at least one, all positive and strictly ascending");
    }
    m_storage = std::make_unique<Storage>(Storage{bounds, makeBins(bounds)});
}

LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::record(Duration latency) -> void
{
    const auto value = std::max(latency, Duration::zero());
    m_storage->bins(static_cast<double>(value.count()));
    m_storage->count += 1;
    m_storage->sum += value;
}

auto LatencyHistogram::count() const noexcept -> std::uint64_t
{
    return m_storage->count;
}

auto LatencyHistogram::sum() const noexcept -> Duration
{
    return m_storage->sum;
}

auto LatencyHistogram::cumulativeCounts() const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> out;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < m_storage->bounds.size(); ++i) {
        total += m_storage->bins.at(static_cast<int>(i));
        out.push_back(total);
    }
    return out;
}

auto LatencyHistogram::bounds() const noexcept -> const LatencyBounds &
{
    return m_storage->bounds;
}

namespace {

template<typename Metric>
struct Family
{
    std::string help;
    std::map<Labels, std::unique_ptr<Metric>> series;
};

using CounterFamily = Family<Counter>;
using GaugeFamily = Family<Gauge>;
using HistogramFamily = Family<LatencyHistogram>;
using AnyFamily = std::variant<CounterFamily, GaugeFamily, HistogramFamily>;

auto typeName(const AnyFamily &family) -> std::string_view
{
    constexpr std::array<std::string_view, 3> names{"counter", "gauge", "histogram"};
    return names.at(family.index());
}

auto appendSeries(std::string &out, const std::string &name, const Labels &labels, const Counter &metric) -> void
{
    out += name + formatLabels(labels) + " " + std::to_string(metric.value()) + "\n";
}

auto appendSeries(std::string &out, const std::string &name, const Labels &labels, const Gauge &metric) -> void
{
    out += name + formatLabels(labels) + " " + formatNumber(metric.value()) + "\n";
}

auto appendSeries(std::string &out, const std::string &name, const Labels &labels, const LatencyHistogram &metric) -> void
{
    const auto counts = metric.cumulativeCounts();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        out += name + "_bucket" + formatLabels(labels, formatSeconds(metric.bounds()[i])) + " " + std::to_string(counts[i]) + "\n";
    }
    out += name + "_bucket" + formatLabels(labels, "+Inf") + " " + std::to_string(metric.count()) + "\n";
    out += name + "_sum" + formatLabels(labels) + " " + formatSeconds(metric.sum()) + "\n";
    out += name + "_count" + formatLabels(labels) + " " + std::to_string(metric.count()) + "\n";
}

} // namespace

struct MetricsRegistry::Families
{
    std::map<std::string, AnyFamily, std::less<>> byName;

    template<typename Metric>
    auto family(std::string_view name, std::string_view help) -> Family<Metric> &
    {
        if (!isName(name, true)) {
            throw std::invalid_argument("metric name: expected [a-zA-Z_:][a-zA-Z0-9_:]*, found " + std::string(name));
        }
        auto it = byName.find(name);
        if (it == byName.end()) {
            it = byName.emplace(name, Family<Metric>{std::string(help), {}}).first;
        }
        auto *family = std::get_if<Family<Metric>>(&it->second);
        if (family == nullptr) {
            throw std::invalid_argument("metric " + std::string(name) + ": already exists as a " + std::string(typeName(it->second)));
        }
        return *family;
    }

    template<typename Metric, typename Make>
    auto metric(std::string_view name, std::string_view help, const Labels &labels, const Make &make) -> Metric &
    {
        auto &series = family<Metric>(name, help).series;
        auto key = checkedLabels(labels);
        if (series.size() >= maxSeriesOfFamily && !series.contains(key)) {
            key = otherLabels(std::move(key));
        }
        auto &slot = series[std::move(key)];
        if (!slot) {
            slot = make(series);
        }
        return *slot;
    }
};

MetricsRegistry::MetricsRegistry()
    : m_families(std::make_unique<Families>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

auto MetricsRegistry::counter(std::string_view name, std::string_view help, const Labels &labels) -> Counter &
{
    return m_families->metric<Counter>(name, help, labels, [](const auto &) { return std::make_unique<Counter>(); });
}

auto MetricsRegistry::gauge(std::string_view name, std::string_view help, const Labels &labels) -> Gauge &
{
    return m_families->metric<Gauge>(name, help, labels, [](const auto &) { return std::make_unique<Gauge>(); });
}

auto MetricsRegistry::histogram(std::string_view name, std::string_view help, const Labels &labels, const LatencyBounds &bounds)
    -> LatencyHistogram &
{
    const auto make = [&bounds](const auto &series) {
        const auto existing = std::find_if(series.begin(), series.end(), [](const auto &it) { return it.second != nullptr; });
        return std::make_unique<LatencyHistogram>(existing == series.end() ? bounds : existing->second->bounds());
    };
    return m_families->metric<LatencyHistogram>(name, help, labels, make);
}

auto MetricsRegistry::render() const -> std::string
{
    std::string out;
    for (const auto &[name, family] : m_families->byName) {
        out += "# HELP " + name + " ";
        appendEscaped(out, std::visit([](const auto &it) -> std::string_view { return it.help; }, family), false);
        out += "\n# TYPE " + name + " " + std::string(typeName(family)) + "\n";
        const auto appendAll = [&out, &metricName = name](const auto &it) {
            for (const auto &[labels, metric] : it.series) {
                appendSeries(out, metricName, labels, *metric);
            }
        };
        std::visit(appendAll, family);
    }
    return out;
}

} // namespace Acaciarail::Telemetry
