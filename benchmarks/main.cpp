#include "bench.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>

DEFINE_bool(quick, false, "Use smaller sizes, so that the run takes a few seconds");
DEFINE_bool(json, false, "Print one JSON object for each row instead of a table");
DEFINE_uint64(seed, 1, "First seed");
DEFINE_uint32(sequences, 0, "Number of command sequences; 0 uses the default of the benchmark");

namespace Acaciarail::Bench {

namespace {

struct Benchmark
{
    std::string description;
    Function function;
};

auto benchmarks() -> std::map<std::string, Benchmark, std::less<>> &
{
    static std::map<std::string, Benchmark, std::less<>> all;
    return all;
}

auto okText(const Row &row) -> std::string_view
{
    if (!row.ok) {
        return "-";
    }
    return *row.ok ? "yes" : "NO";
}

auto printTable(const Report &report) -> void
{
    std::printf("%-58s %-28s %-30s %s\n", "name", "target", "measured", "ok");
    for (const auto &it : report.rows()) {
        std::printf("%-58s %-28s %-30s %s\n", it.name.c_str(), it.target.c_str(), it.measured.c_str(), okText(it).data());
    }
    for (const auto &it : report.notes()) {
        std::printf("note: %s\n", it.c_str());
    }
}

auto printJson(std::string_view benchmark, const Report &report) -> void
{
    for (const auto &it : report.rows()) {
        std::cout << R"({"bench":")" << benchmark << R"(","name":")" << it.name << R"(","target":")" << it.target << R"(","measured":")"
                  << it.measured << R"(","ok":")" << okText(it) << "\"}\n";
    }
}

auto listBenchmarks() -> void
{
    std::cout << "usage: ./bench NAME [--quick] [--json] [--seed N] [--sequences M]\n\n";
    for (const auto &[name, it] : benchmarks()) {
        std::printf("%-12s %s\n", name.c_str(), it.description.c_str());
    }
}

auto run(int argc, char **argv) -> int
{
    if (argc < 2 || !benchmarks().contains(argv[1])) {
        listBenchmarks();
        return 2;
    }
    const std::string_view name = argv[1];
    Options options{FLAGS_quick, FLAGS_seed, FLAGS_sequences};
    Report report;
    benchmarks().find(name)->second.function(options, report);
    FLAGS_json ? printJson(name, report) : printTable(report);
    const auto missed = std::any_of(report.rows().begin(), report.rows().end(), [](const Row &row) { return row.ok == false; });
    return missed ? 1 : 0;
}

} // namespace

auto Report::figure(std::string name, std::string measured) -> void
{
    m_rows.push_back({std::move(name), std::move(measured), "-", std::nullopt});
}

auto Report::check(std::string name, std::string target, std::string measured, bool ok) -> void
{
    m_rows.push_back({std::move(name), std::move(measured), std::move(target), ok});
}

auto Report::note(std::string text) -> void
{
    m_notes.push_back(std::move(text));
}

auto Report::rows() const noexcept -> const std::vector<Row> &
{
    return m_rows;
}

auto Report::notes() const noexcept -> const std::vector<std::string> &
{
    return m_notes;
}

Registration::Registration(std::string_view name, std::string_view description, Function function)
{
    benchmarks().emplace(std::string(name), Benchmark{std::string(description), std::move(function)});
}

auto quantile(std::span<const double> values, double q) -> double
{
    std::vector<double> sorted(values.begin(), values.end());
    const auto n = static_cast<std::size_t>(std::lround(q * static_cast<double>(sorted.size() - 1)));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n), sorted.end());
    return sorted[n];
}

auto median(std::span<const double> values) -> double
{
    return quantile(values, 0.5);
}

auto decimal(double value, int digits) -> std::string
{
    char buf[64];
    const auto n = std::snprintf(buf, sizeof buf, "%.*f", digits, value);
    return {buf, static_cast<std::size_t>(n)};
}

auto medianWithSpread(std::span<const double> values, int digits) -> std::string
{
    const auto [min, max] = std::minmax_element(values.begin(), values.end());
    return decimal(median(values), digits) + " (" + decimal(*min, digits) + ".." + decimal(*max, digits) + ")";
}

} // namespace Acaciarail::Bench

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("acaciarail_bench NAME");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Acaciarail::Bench::run(argc, argv);
}
