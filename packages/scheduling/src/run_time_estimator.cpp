#include <acaciarail/scheduling/run_time_estimator.h>

#include <algorithm>
#include <cmath>

namespace Acaciarail::Scheduling {

namespace {

/// Samples for each key: enough for a 90% quantile, few enough to follow a change within a day.
constexpr std::size_t maxSamples = 32;
/// With fewer samples of a kind, the samples of the whole organisation are used.
constexpr std::size_t minSamples = 3;
/// Bounds the memory, because callers choose the names of kinds freely.
constexpr std::size_t maxKeys = 8192;
/// Ratios are clamped to this factor in both directions, the largest error of declared times.
constexpr double maxRatio = 10.0;
constexpr double cautiousQuantile = 0.9;
/// Ratio for the cautious estimate while there are too few samples.
constexpr double defaultCautiousRatio = 3.0;

auto keyOf(const OrganisationName &organisation, std::string_view kind) -> std::string
{
    return organisation.str() + '/' + std::string(kind);
}

auto scaled(Duration declared, double ratio) -> Duration
{
    return std::max(Duration(1), Duration(static_cast<Duration::rep>(static_cast<double>(declared.count()) * ratio)));
}

} // namespace

auto RunTimeEstimator::recordRunTime(const OrganisationName &organisation, std::string_view kind, Duration declared, Duration actual)
    -> void
{
    const auto ratio = std::clamp(static_cast<double>(actual.count()) / static_cast<double>(declared.count()), 1.0 / maxRatio, maxRatio);
    add(keyOf(organisation, kind), ratio);
    add(keyOf(organisation, {}), ratio);
}

auto RunTimeEstimator::typicalRunTime(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration
{
    return scaled(declared, ratioQuantile(organisation, kind, 0.5, 1.0));
}

auto RunTimeEstimator::cautiousRunTime(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration
{
    return scaled(declared, ratioQuantile(organisation, kind, cautiousQuantile, defaultCautiousRatio));
}

auto RunTimeEstimator::remainingRunTime(Duration estimate, Duration elapsed) noexcept -> Duration
{
    // Run times are spread over orders of magnitude, so half of the elapsed time is a reasonable estimate for a job that has exceeded its
    // estimate.
    return std::max({estimate - elapsed, elapsed / 2, Duration(1)});
}

auto RunTimeEstimator::add(const std::string &key, double ratio) -> void
{
    if (m_samples.size() >= maxKeys && !m_samples.contains(key)) {
        return;
    }
    auto &it = m_samples[key];
    if (it.ratios.size() < maxSamples) {
        it.ratios.push_back(ratio);
    } else {
        it.ratios[it.next] = ratio;
        it.next = (it.next + 1) % maxSamples;
    }
    it.sorted = it.ratios;
    std::sort(it.sorted.begin(), it.sorted.end());
}

auto RunTimeEstimator::ratioQuantile(const OrganisationName &organisation, std::string_view kind, double quantile, double fallback) const
    -> double
{
    auto it = m_samples.find(keyOf(organisation, kind));
    if (it == m_samples.end() || it->second.ratios.size() < minSamples) {
        it = m_samples.find(keyOf(organisation, {}));
    }
    if (it == m_samples.end() || it->second.ratios.size() < minSamples) {
        return fallback;
    }
    const auto &sorted = it->second.sorted;
    return sorted[static_cast<std::size_t>(std::lround(quantile * static_cast<double>(sorted.size() - 1)))];
}

} // namespace Acaciarail::Scheduling
