#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Bench {

/// Options given on the command line.
struct Options
{
    /// Smaller sizes, so that a run takes a few seconds.
    bool quick = false;
    /// First seed; a benchmark that uses several takes the following ones.
    std::uint64_t seed = 1;
    /// Number of command sequences, for the benchmarks that use it; 0 selects the default of the benchmark.
    std::uint32_t sequences = 0;
};

/// One printed line: a measured figure, with its target when it has one.
struct Row
{
    std::string name;
    std::string measured;
    std::string target;
    /// Empty when there is no target.
    std::optional<bool> ok;
};

/// Rows collected by one benchmark.
class Report
{
public:
    /// Adds a figure without a target. \pre none. Not thread-safe.
    auto figure(std::string name, std::string measured) -> void;
    /// Adds a figure with its target and whether it is met. \pre none. Not thread-safe.
    auto check(std::string name, std::string target, std::string measured, bool ok) -> void;
    /// Adds a remark that is printed after the figures, such as the seeds used. \pre none. Not thread-safe.
    auto note(std::string text) -> void;

    [[nodiscard]] auto rows() const noexcept -> const std::vector<Row> &;
    [[nodiscard]] auto notes() const noexcept -> const std::vector<std::string> &;

private:
    std::vector<Row> m_rows;
    std::vector<std::string> m_notes;
};

using Function = std::function<void(const Options &, Report &)>;

/// Registers a benchmark under its command-line name; create one static object in each benchmark's source file.
class Registration
{
public:
    Registration(std::string_view name, std::string_view description, Function function);
};

/// Returns the median. \pre \a values is not empty. Thread-safe.
[[nodiscard]] auto median(std::span<const double> values) -> double;

/// Returns the value below which the fraction \a q of \a values lies. \pre \a values is not empty and 0 <= q <= 1. Thread-safe.
[[nodiscard]] auto quantile(std::span<const double> values, double q) -> double;

/// Returns "MEDIAN (MIN..MAX)" with \a digits decimals. \pre \a values is not empty. Thread-safe.
[[nodiscard]] auto medianWithSpread(std::span<const double> values, int digits = 2) -> std::string;

/// Returns \a value with \a digits decimals. \pre none. Thread-safe.
[[nodiscard]] auto decimal(double value, int digits = 2) -> std::string;

} // namespace Acaciarail::Bench
