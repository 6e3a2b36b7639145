#include "bench.h"
#include "request_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace Acaciarail::Bench {

namespace {

constexpr std::size_t fullSeedCount = 5;
constexpr double overloadFactor = 10.0;
constexpr double baseLoad = 0.6;
constexpr std::uint32_t callersPerGroup = 20;
constexpr std::uint32_t smallCallerCount = 200;
/// Requests a second of one small caller in the flooding organisation. Its fair share is 0.42 beside a thousand others.
constexpr double smallCallerRate = 0.3;
/// Time after the start of the flood from which goodput is counted: answers to the first requests take about one service time.
constexpr Duration rampUp = std::chrono::milliseconds(500);
constexpr double requiredRatio = 0.95;
constexpr double allowedSlowdown = 2.0;
constexpr double requiredGoodput = 0.95;

/// Times at which the warm-up ends, the flood begins and the run ends.
struct Phases
{
    Duration warmUpEnd;
    Duration flood;
    Duration end;
};

struct Scenario
{
    std::string name;
    std::vector<Priority> classes;
    std::uint32_t callers;
};

/// Figures of one run.
struct Figures
{
    double successRatio = 0.0;
    double successRatioSmall = 0.0;
    double slowdown = 0.0;
    double slowdownSmall = 0.0;
    double goodput = 0.0;
    double busy = 0.0;
    double extra = 0.0;
    double crossRegion = 0.0;
    /// Success ratio of the callers of each class outside the flooding organisation.
    std::array<double, priorityCount> successRatioOfClass{};
    std::uint64_t falseNotRun = 0;
};

auto organisation(const char *name, std::uint32_t share) -> OrganisationPolicy
{
    OrganisationPolicy policy;
    policy.name = OrganisationName(name);
    policy.share = share;
    return policy;
}

auto policyOfModel() -> RequestPolicy
{
    RequestPolicy policy;
    policy.organisations = {organisation("a", 4), organisation("b", 2), organisation("c", 1), organisation("d", 1)};
    ServicePolicy service;
    service.name = modelService();
    policy.services = {service};
    return policy;
}

/// Organisations a, b and c use 60% of their shares; their classes stay below the limits of the classes. Group 9 contains the
/// small callers of d, the organisation that floods; the groups of the flood follow.
auto baseGroups(const Phases &phases) -> std::vector<CallerGroup>
{
    constexpr std::array<double, priorityCount> mix{0.3, 0.58, 0.12};
    const std::array<std::pair<const char *, double>, 3> organisations{{{"a", 4.0 / 8}, {"b", 2.0 / 8}, {"c", 1.0 / 8}}};
    std::vector<CallerGroup> groups;
    for (const auto &[name, part] : organisations) {
        for (std::size_t i = 0; i < priorityCount; ++i) {
            const auto rate = modelCapacity * baseLoad * part * mix[i];
            groups.push_back({OrganisationName(name), callersPerGroup, static_cast<Priority>(i), rate, {}, phases.end, 0.1});
        }
    }
    groups.push_back({OrganisationName("d"), smallCallerCount, Priority::Normal, smallCallerCount * smallCallerRate, {}, phases.end, 0.1});
    return groups;
}

constexpr std::uint32_t smallGroup = 9;

auto settingsOf(const Scenario &scenario, const Phases &phases) -> ModelSettings
{
    ModelSettings settings;
    settings.policy = policyOfModel();
    settings.groups = baseGroups(phases);
    settings.length = phases.end;
    const auto rate = modelCapacity * overloadFactor / static_cast<double>(scenario.classes.size());
    for (const auto it : scenario.classes) {
        settings.groups.push_back({OrganisationName("d"), scenario.callers, it, rate, phases.flood, phases.end, 0.1});
    }
    return settings;
}

/// Compares the success and latency of a set of requests before and during the flood.
class Comparison
{
public:
    auto add(const RequestRecord &record, bool flood) -> void
    {
        ++m_offered[flood];
        if (record.outcome == RequestOutcome::Good) {
            ++m_good[flood];
            m_latency[flood].push_back(std::chrono::duration<double, std::milli>(record.endedAt - record.submittedAt).count());
        }
    }

    /// Returns the success rate during the flood divided by the one before it.
    [[nodiscard]] auto successRatio() const -> double
    {
        const auto before = m_good[0] / std::max(1.0, m_offered[0]);
        const auto during = m_good[1] / std::max(1.0, m_offered[1]);
        return before > 0.0 ? during / before : 0.0;
    }

    [[nodiscard]] auto slowdown() const -> double
    {
        if (m_latency[0].empty() || m_latency[1].empty()) {
            return INFINITY;
        }
        return quantile(m_latency[1], 0.99) / quantile(m_latency[0], 0.99);
    }

private:
    std::array<double, 2> m_offered{};
    std::array<double, 2> m_good{};
    std::array<std::vector<double>, 2> m_latency;
};

auto figuresOf(const ModelResult &result, const ModelSettings &settings, const Phases &phases) -> Figures
{
    Comparison all;
    Comparison small;
    std::array<Comparison, priorityCount> classes;
    double good = 0.0;
    const auto from = TimePoint(phases.flood + rampUp);
    // Requests submitted less than one deadline before the end may still be open.
    const auto last = TimePoint(phases.end - settings.deadline);
    for (const auto &it : result.requests) {
        good += it.outcome == RequestOutcome::Good && it.endedAt >= from && it.endedAt < TimePoint(phases.end) ? 1 : 0;
        if (it.group > smallGroup || it.submittedAt < TimePoint(phases.warmUpEnd) || it.submittedAt >= last) {
            continue;
        }
        // A request submitted shortly before the flood belongs to neither phase.
        const auto flood = it.submittedAt >= TimePoint(phases.flood);
        if (!flood && it.submittedAt >= TimePoint(phases.flood - settings.deadline / 4)) {
            continue;
        }
        all.add(it, flood);
        if (it.group == smallGroup) {
            small.add(it, flood);
        } else {
            classes[static_cast<std::size_t>(settings.groups[it.group].priority)].add(it, flood);
        }
    }
    Figures figures;
    figures.successRatio = all.successRatio();
    figures.successRatioSmall = small.successRatio();
    figures.slowdown = all.slowdown();
    figures.slowdownSmall = small.slowdown();
    const auto seconds = std::chrono::duration<double>(phases.end - phases.flood - rampUp).count();
    figures.goodput = good / (modelCapacity * seconds);
    double extra = 0.0;
    for (const auto &it : result.attempts) {
        extra += it.extra ? 1 : 0;
        figures.crossRegion += it.crossRegion ? 1 : 0;
    }
    const auto attempts = static_cast<double>(result.attempts.size());
    figures.extra = extra / std::max(1.0, attempts - extra);
    figures.crossRegion /= std::max(1.0, attempts);
    figures.busy = static_cast<double>(result.busyResponses) / std::max(1.0, attempts);
    for (std::size_t i = 0; i < priorityCount; ++i) {
        figures.successRatioOfClass[i] = classes[i].successRatio();
    }
    figures.falseNotRun = result.falseNotRun;
    return figures;
}

template<typename Member>
auto column(const std::vector<Figures> &runs, Member member) -> std::vector<double>
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const auto &it : runs) {
        values.push_back(std::invoke(member, it));
    }
    return values;
}

auto reportScenario(Report &report, const std::string &name, bool checked, const std::vector<Figures> &runs) -> void
{
    const auto row = [&](const std::string &what, const std::string &target, const std::vector<double> &values, bool ok) {
        const auto measured = medianWithSpread(values, 3);
        checked ? report.check(name + " " + what, target, measured, ok) : report.figure(name + " " + what, measured);
    };
    const auto atLeast = [](const std::vector<double> &values, double bound) { return median(values) >= bound; };
    const auto atMost = [](const std::vector<double> &values, double bound) { return median(values) <= bound; };
    const auto successRatio = column(runs, &Figures::successRatio);
    row("kept below share", ">= 0.95", successRatio, atLeast(successRatio, requiredRatio));
    const auto successRatioSmall = column(runs, &Figures::successRatioSmall);
    row("kept small, same org", ">= 0.95", successRatioSmall, atLeast(successRatioSmall, requiredRatio));
    const auto slowdown = column(runs, &Figures::slowdown);
    row("p99 below share", "<= 2 x", slowdown, atMost(slowdown, allowedSlowdown));
    const auto slowdownSmall = column(runs, &Figures::slowdownSmall);
    row("p99 small, same org", "<= 2 x", slowdownSmall, atMost(slowdownSmall, allowedSlowdown));
    const auto goodput = column(runs, &Figures::goodput);
    row("goodput / capacity", ">= 0.95", goodput, atLeast(goodput, requiredGoodput));
    if (!checked) {
        return;
    }
    for (std::size_t i = 0; i < priorityCount; ++i) {
        const auto values = column(runs, [i](const Figures &it) { return it.successRatioOfClass[i]; });
        row("kept class " + std::string(priorityName(static_cast<Priority>(i))), ">= 0.95", values, atLeast(values, requiredRatio));
    }
    report.figure(name + " busy answers / attempts", medianWithSpread(column(runs, &Figures::busy), 3));
    report.figure(name + " extra / first attempts", medianWithSpread(column(runs, &Figures::extra), 3));
    report.figure(name + " other regions / attempts", medianWithSpread(column(runs, &Figures::crossRegion), 3));
    const auto falseAnswers = column(runs, [](const Figures &it) { return static_cast<double>(it.falseNotRun); });
    report.check(name + " false not-run", "0", medianWithSpread(falseAnswers, 0),
                 *std::max_element(falseAnswers.begin(), falseAnswers.end()) == 0.0);
}

/// Number of callers that flood in each class, in each of the organisations.
struct ClassFlood
{
    std::string name;
    std::array<std::uint32_t, priorityCount> callers;
};

auto classPartsOf(const ClassFlood &flood, const Phases &phases, std::uint64_t seed) -> std::array<double, priorityCount>
{
    ModelSettings settings;
    settings.policy = policyOfModel();
    settings.length = phases.end;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        for (const auto *name : {"a", "b", "c", "d"}) {
            if (flood.callers[i] > 0) {
                const auto rate = modelCapacity * overloadFactor / priorityCount / 4;
                settings.groups.push_back({OrganisationName(name), flood.callers[i], static_cast<Priority>(i), rate, {}, phases.end, 0.1});
            }
        }
    }
    const auto result = runRequestModel(settings, routerPolicy(), seed);
    std::array<double, priorityCount> good{};
    double total = 0.0;
    for (const auto &it : result.requests) {
        if (it.outcome == RequestOutcome::Good && it.endedAt >= TimePoint(phases.warmUpEnd)) {
            ++good[static_cast<std::size_t>(settings.groups[it.group].priority)];
            ++total;
        }
    }
    for (auto &it : good) {
        it /= std::max(1.0, total);
    }
    return good;
}

/// Checks that a class receives at least the capacity that the limits of the other flooding classes leave.
auto reportClassParts(Report &report, const Phases &phases, const Options &options, std::size_t seeds) -> void
{
    const std::vector<ClassFlood> floods{
        {"250 urgent, 5 normal", {250, 5, 0}},
        {"250 urgent, 5 background", {250, 0, 5}},
        {"250 background, 5 normal", {0, 5, 250}},
        {"250 normal, 5 background", {0, 250, 5}},
        {"250 urgent and background, 5 normal", {250, 5, 250}},
    };
    for (const auto &flood : floods) {
        std::vector<std::array<double, priorityCount>> parts(seeds);
        runInParallel(seeds, [&](std::size_t n) { parts[n] = classPartsOf(flood, phases, options.seed + n); });
        Scheduling::ClassSet waiting{};
        std::transform(flood.callers.begin(), flood.callers.end(), waiting.begin(), [](auto it) { return it > 0; });
        for (std::size_t i = 0; i < priorityCount; ++i) {
            if (flood.callers[i] != 5) {
                continue;
            }
            std::vector<double> values;
            values.reserve(parts.size());
            for (const auto &it : parts) {
                values.push_back(it[i]);
            }
            const auto minShare = Scheduling::minClassShare(defaultClassLimits, waiting, i);
            report.check(flood.name + ": part of " + std::string(priorityName(static_cast<Priority>(i))), ">= 0.95 x " + decimal(minShare),
                         medianWithSpread(values, 3), median(values) >= requiredRatio * minShare);
        }
    }
}

/// Reports latency without a flood, with service times multiplied by 0.5, 1, 2 and 4 on a quarter of the endpoints each.
auto reportHeterogeneousEndpoints(Report &report, const Phases &phases, const Options &options, std::size_t seeds) -> void
{
    constexpr std::array<double, 4> serviceTimeFactors{0.5, 1.0, 2.0, 4.0};
    double capacity = 0.0;
    ModelSettings settings;
    settings.policy = policyOfModel();
    settings.length = phases.end;
    for (std::size_t n = 0; n < modelEndpoints; ++n) {
        settings.serviceTimeFactors.push_back(serviceTimeFactors[n % serviceTimeFactors.size()]);
        capacity += modelSlots / (modelMeanServiceSeconds * settings.serviceTimeFactors.back());
    }
    for (const auto load : {0.5, 0.7, 0.9}) {
        settings.groups = {{OrganisationName("a"), callersPerGroup, Priority::Normal, capacity * load, {}, phases.end, 0.1}};
        for (const auto &policy : {routerPolicy(), roundRobinPolicy(), randomOfTwoPolicy()}) {
            std::vector<double> mean(seeds);
            std::vector<double> p99(seeds);
            std::vector<double> good(seeds);
            runInParallel(seeds, [&](std::size_t n) {
                std::vector<double> latency;
                double offered = 0.0;
                for (const auto &it : runRequestModel(settings, policy, options.seed + n).requests) {
                    if (it.submittedAt < TimePoint(phases.warmUpEnd) || it.submittedAt >= TimePoint(phases.end - settings.deadline)) {
                        continue;
                    }
                    ++offered;
                    if (it.outcome == RequestOutcome::Good) {
                        latency.push_back(std::chrono::duration<double, std::milli>(it.endedAt - it.submittedAt).count());
                    }
                }
                mean[n] = std::accumulate(latency.begin(), latency.end(), 0.0) / static_cast<double>(latency.size());
                p99[n] = quantile(latency, 0.99);
                good[n] = static_cast<double>(latency.size()) / offered;
            });
            const auto name = "unlike endpoints, load " + decimal(load, 1) + " [" + std::string(policy.name) + "]: ";
            report.figure(name + "good", medianWithSpread(good, 4));
            report.figure(name + "mean ms", medianWithSpread(mean, 0));
            report.figure(name + "p99 ms", medianWithSpread(p99, 0));
        }
    }
}

auto flood(const Options &options, Report &report) -> void
{
    const auto phases = options.quick ? Phases{1s, 3s, 6s} : Phases{2s, 6s, 12s};
    const auto seeds = options.quick ? std::size_t{1} : fullSeedCount;
    const std::vector<Scenario> scenarios{
        {"background flood x 1:", {Priority::Background}, 1},
        {"background flood x 1000:", {Priority::Background}, 1000},
        {"urgent flood x 1:", {Priority::Urgent}, 1},
        {"urgent flood x 1000:", {Priority::Urgent}, 1000},
        {"urgent+background x 1:", {Priority::Urgent, Priority::Background}, 1},
        {"urgent+background x 1000:", {Priority::Urgent, Priority::Background}, 500},
    };
    const std::vector<NamedPolicy> policies{routerPolicy(), roundRobinPolicy(), randomOfTwoPolicy(), fifoPolicy()};
    for (const auto &scenario : scenarios) {
        const auto settings = settingsOf(scenario, phases);
        std::vector<std::vector<Figures>> runs(policies.size(), std::vector<Figures>(seeds));
        runInParallel(policies.size() * seeds, [&](std::size_t n) {
            const auto result = runRequestModel(settings, policies[n / seeds], options.seed + n % seeds);
            runs[n / seeds][n % seeds] = figuresOf(result, settings, phases);
        });
        for (std::size_t n = 0; n < policies.size(); ++n) {
            const auto prefix = n == 0 ? std::string() : "[" + std::string(policies[n].name) + "] ";
            reportScenario(report, prefix + scenario.name, n == 0, runs[n]);
        }
    }
    reportClassParts(report, phases, options, seeds);
    reportHeterogeneousEndpoints(report, phases, options, seeds);
    report.note("seeds " + std::to_string(options.seed) + ".." + std::to_string(options.seed + seeds - 1)
                + "; 8 instances, 50 endpoints of 8 slots, service time log-normal with mean 100 ms, deadline 2 s");
    report.note("capacity is slots / mean service time; goodput counts answers within the deadline, from 0.5 s after the flood began");
}

const Registration registration("flood", "10 times overload of the least urgent, the most urgent, and both classes", flood);

} // namespace

} // namespace Acaciarail::Bench
