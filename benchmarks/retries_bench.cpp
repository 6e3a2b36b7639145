#include "bench.h"
#include "request_model.h"

#include <algorithm>
#include <string>

namespace Acaciarail::Bench {

namespace {

constexpr std::size_t fullSeedCount = 5;
constexpr double load = 0.6;
constexpr std::uint32_t callers = 100;
constexpr double nonIdempotentPart = 0.1;
constexpr double allowedExtra = 0.1;

enum class Phase : std::uint8_t {
    Healthy,
    TenthFails,
    ThirdFails,
    Recovered,
};

constexpr std::size_t phaseCount = 4;
constexpr std::array<const char *, phaseCount> phaseNames{"healthy", "a tenth fails", "a third fails", "recovered"};

/// A phase is measured from its start, so that the time until a fault is detected counts.
struct Phases
{
    Duration warmUp;
    Duration length;

    [[nodiscard]] auto start(Phase phase) const -> Duration
    {
        return warmUp + static_cast<int>(phase) * length;
    }
    [[nodiscard]] auto end() const -> Duration
    {
        return warmUp + static_cast<int>(phaseCount) * length;
    }
    [[nodiscard]] auto at(TimePoint t) const -> std::optional<std::size_t>
    {
        const auto since = t.time_since_epoch() - warmUp;
        if (since < Duration{} || since >= static_cast<int>(phaseCount) * length) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(since / length);
    }
};

struct Figures
{
    std::array<double, phaseCount> extra{};
    std::array<double, phaseCount> good{};
    std::array<double, phaseCount> p99{};
    double repeated = 0.0;
    double falseNotRun = 0.0;
};

struct Mode
{
    std::string name;
    std::vector<EndpointFault> faults;
};

auto settingsOf(const Mode &mode, const Phases &phases) -> ModelSettings
{
    ModelSettings settings;
    OrganisationPolicy organisation;
    organisation.name = OrganisationName("a");
    ServicePolicy service;
    service.name = modelService();
    settings.policy.organisations = {organisation};
    settings.policy.services = {service};
    settings.length = phases.end() + settings.deadline;
    settings.groups.push_back({organisation.name, callers, Priority::Normal, modelCapacity * load, {}, phases.end(), nonIdempotentPart});
    constexpr auto tenth = modelEndpoints / 10;
    constexpr auto third = modelEndpoints / 3;
    for (std::size_t n = 0; n < third; ++n) {
        const auto from = phases.start(n < tenth ? Phase::TenthFails : Phase::ThirdFails);
        settings.faults.push_back({n, mode.faults[n % mode.faults.size()], from, phases.start(Phase::Recovered)});
    }
    return settings;
}

auto figuresOf(const ModelResult &result, const Phases &phases) -> Figures
{
    Figures figures;
    std::array<double, phaseCount> first{};
    std::array<double, phaseCount> extra{};
    std::array<double, phaseCount> offered{};
    std::array<std::vector<double>, phaseCount> latency;
    for (const auto &it : result.attempts) {
        if (const auto phase = phases.at(it.at)) {
            ++(it.extra ? extra : first)[*phase];
        }
    }
    for (const auto &it : result.requests) {
        if (const auto phase = phases.at(it.submittedAt)) {
            ++offered[*phase];
            if (it.outcome == RequestOutcome::Good) {
                ++figures.good[*phase];
                latency[*phase].push_back(std::chrono::duration<double, std::milli>(it.endedAt - it.submittedAt).count());
            }
        }
    }
    for (std::size_t i = 0; i < phaseCount; ++i) {
        figures.extra[i] = extra[i] / std::max(1.0, first[i]);
        figures.good[i] /= std::max(1.0, offered[i]);
        figures.p99[i] = latency[i].empty() ? 0.0 : quantile(latency[i], 0.99);
    }
    figures.repeated = static_cast<double>(result.repeatedNonIdempotent);
    figures.falseNotRun = static_cast<double>(result.falseNotRun);
    return figures;
}

template<typename Get>
auto column(const std::vector<Figures> &runs, const Get &get) -> std::vector<double>
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const auto &it : runs) {
        values.push_back(get(it));
    }
    return values;
}

auto reportNone(Report &report, const std::string &name, const std::vector<double> &values) -> void
{
    report.check(name, "0", medianWithSpread(values, 0), *std::max_element(values.begin(), values.end()) == 0.0);
}

auto reportMode(Report &report, const std::string &name, bool checked, const std::vector<Figures> &runs) -> void
{
    for (std::size_t i = 0; i < phaseCount; ++i) {
        const auto prefix = name + ", " + phaseNames[i] + ": ";
        const auto extra = column(runs, [i](const Figures &it) { return it.extra[i]; });
        if (checked) {
            report.check(prefix + "extra attempts", "<= 0.10", medianWithSpread(extra, 3), median(extra) <= allowedExtra);
        } else {
            report.figure(prefix + "extra attempts", medianWithSpread(extra, 3));
        }
        report.figure(prefix + "good answers", medianWithSpread(column(runs, [i](const Figures &it) { return it.good[i]; }), 4));
        if (checked) {
            const auto p99 = column(runs, [i](const Figures &it) { return it.p99[i]; });
            report.figure(prefix + "p99 ms", medianWithSpread(p99, 0));
        }
    }
    if (checked) {
        reportNone(report, name + ": non-idempotent run twice", column(runs, [](const Figures &it) { return it.repeated; }));
        reportNone(report, name + ": false not-run", column(runs, [](const Figures &it) { return it.falseNotRun; }));
    }
}

auto retries(const Options &options, Report &report) -> void
{
    const auto phases = options.quick ? Phases{2s, 2s} : Phases{2s, 8s};
    const auto seeds = options.quick ? std::size_t{1} : fullSeedCount;
    const std::vector<Mode> modes{
        {"answers 500", {EndpointFault::FastError}},
        {"refuses connections", {EndpointFault::Refused}},
        {"silent", {EndpointFault::Silent}},
        {"5 times slower", {EndpointFault::Slow}},
        {"leaving, list lags", {EndpointFault::Leaving}},
        {"mixed", {EndpointFault::FastError, EndpointFault::Refused, EndpointFault::Silent, EndpointFault::Slow, EndpointFault::Leaving}},
    };
    const std::vector<NamedPolicy> policies{routerPolicy(), roundRobinPolicy(), randomOfTwoPolicy(), fifoPolicy()};
    for (const auto &mode : modes) {
        const auto settings = settingsOf(mode, phases);
        std::vector<std::vector<Figures>> runs(policies.size(), std::vector<Figures>(seeds));
        runInParallel(policies.size() * seeds, [&](std::size_t n) {
            const auto result = runRequestModel(settings, policies[n / seeds], options.seed + n % seeds);
            runs[n / seeds][n % seeds] = figuresOf(result, phases);
        });
        for (std::size_t n = 0; n < policies.size(); ++n) {
            const auto prefix = n == 0 ? std::string() : "[" + std::string(policies[n].name) + "] ";
            reportMode(report, prefix + mode.name, n == 0, runs[n]);
        }
    }
    report.note("seeds " + std::to_string(options.seed) + ".." + std::to_string(options.seed + seeds - 1)
                + "; load 60% of the healthy capacity, one request in ten not idempotent, deadline 2 s");
}

const Registration registration("retries", "a tenth, then a third of the endpoints fail in several ways", retries);

} // namespace

} // namespace Acaciarail::Bench
