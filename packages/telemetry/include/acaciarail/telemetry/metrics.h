#pragma once

#include <acaciarail/core/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Acaciarail::Telemetry {

struct Label
{
    std::string name;
    std::string value;

    friend auto operator==(const Label &, const Label &) noexcept -> bool = default;
    friend auto operator<(const Label &a, const Label &b) noexcept -> bool
    {
        return std::tie(a.name, a.value) < std::tie(b.name, b.value);
    }
};

using Labels = std::vector<Label>;

/// Counts events; never decreases. Not thread-safe.
class Counter
{
public:
    /// \pre none.
    auto add(std::uint64_t n = 1) noexcept -> void
    {
        m_value += n;
    }
    /// \pre none.
    [[nodiscard]] auto value() const noexcept -> std::uint64_t
    {
        return m_value;
    }

private:
    std::uint64_t m_value = 0;
};

/// A value that goes up and down. Not thread-safe.
class Gauge
{
public:
    /// \pre none.
    auto set(double value) noexcept -> void
    {
        m_value = value;
    }
    /// \pre none.
    auto add(double difference) noexcept -> void
    {
        m_value += difference;
    }
    /// \pre none.
    [[nodiscard]] auto value() const noexcept -> double
    {
        return m_value;
    }

private:
    double m_value = 0;
};

/// Upper bounds of latency buckets.
using LatencyBounds = std::vector<Duration>;

/// Returns bounds from 500 microseconds to 60 seconds, about three for each power of ten. \pre none. Thread-safe.
[[nodiscard]] auto defaultLatencyBounds() -> LatencyBounds;

/// Histogram of latencies with fixed buckets. Not thread-safe.
class LatencyHistogram
{
public:
    /// \pre \a bounds are positive and ascend strictly; std::invalid_argument otherwise.
    explicit LatencyHistogram(const LatencyBounds &bounds);
    LatencyHistogram(const LatencyHistogram &) = delete;
    auto operator=(const LatencyHistogram &) -> LatencyHistogram & = delete;
    ~LatencyHistogram();

    /// Records \a latency; a negative one counts as zero. \pre none.
    auto record(Duration latency) -> void;

    /// Returns the number of recorded latencies. \pre none.
    [[nodiscard]] auto count() const noexcept -> std::uint64_t;

    /// Returns the sum of recorded latencies. \pre none.
    [[nodiscard]] auto sum() const noexcept -> Duration;

    /// Returns the number of latencies at or below each bound, in the order of the bounds. \pre none.
    [[nodiscard]] auto cumulativeCounts() const -> std::vector<std::uint64_t>;

    /// Returns the bounds. \pre none.
    [[nodiscard]] auto bounds() const noexcept -> const LatencyBounds &;

private:
    struct Storage;
    std::unique_ptr<Storage> m_storage;
};

/// Owns the metrics of one instance and renders them. Not thread-safe.
///
/// A metric is identified by its name and labels. Names match `[a-zA-Z_:][a-zA-Z0-9_:]*`, label names match
/// `[a-zA-Z_][a-zA-Z0-9_]*`; an invalid name, or one name used for two metric types, throws std::invalid_argument, because it is a
/// programming error.
/// The references stay valid for the lifetime of the registry. A family that already has maxSeriesOfFamily series counts
/// further label sets in one series whose label values are all `other`, so that input from outside cannot exhaust the memory.
class MetricsRegistry
{
public:
    static constexpr std::size_t maxSeriesOfFamily = 1024;

    MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    auto operator=(const MetricsRegistry &) -> MetricsRegistry & = delete;
    ~MetricsRegistry();

    /// Returns the counter of that name and labels, created at zero. \pre names as above.
    [[nodiscard]] auto counter(std::string_view name, std::string_view help, const Labels &labels = {}) -> Counter &;
    /// Returns the gauge of that name and labels, created at zero. \pre names as above.
    [[nodiscard]] auto gauge(std::string_view name, std::string_view help, const Labels &labels = {}) -> Gauge &;
    /// Returns the histogram of that name and labels, created empty; all series of a name use the bounds of the first.
    /// It is rendered in seconds, so its name should end in `_seconds`. \pre names as above; no label is named `le`.
    [[nodiscard]] auto histogram(std::string_view name, std::string_view help, const Labels &labels = {},
                                 const LatencyBounds &bounds = defaultLatencyBounds()) -> LatencyHistogram &;

    /// Renders all metrics in the Prometheus text exposition format, families by name and series by labels. \pre none.
    [[nodiscard]] auto render() const -> std::string;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

/// Content type of MetricsRegistry::render().
inline constexpr std::string_view metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace Acaciarail::Telemetry
