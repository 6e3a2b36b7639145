#include <acaciarail/scheduling/run_time_estimator.h>

#include <algorithm>
#include <cmath>

namespace Acaciarail::Scheduling {

namespace {

/// Enough samples for a 90% quantile, few enough to follow a change within a day.
constexpr std::size_t maxSamples = 32;
/// With fewer samples of a kind, those of the whole organisation are used.
constexpr std::size_t leastSamples = 3;
/// Bounds the memory used for kinds that callers invent.
constexpr std::size_t maxKeys = 8192;
/// Declared times are wrong by up to this factor.
constexpr double maxFactor = 10.0;
constexpr double cautiousQuantile = 0.9;
/// Assumed for the cautious estimate while nothing is known.
constexpr double unknownCautiousFactor = 3.0;

auto keyOf(const OrganisationName &organisation, std::string_view kind) -> std::string
{
    return organisation.str() + '/' + std::string(kind);
}

auto scaled(Duration declared, double factor) -> Duration
{
    return std::max(Duration(1), Duration(static_cast<Duration::rep>(static_cast<double>(declared.count()) * factor)));
}

} // namespace

auto RunTimeEstimator::observe(const OrganisationName &organisation, std::string_view kind, Duration declared, Duration actual) -> void
{
    const auto factor = std::clamp(static_cast<double>(actual.count()) / static_cast<double>(declared.count()), 1.0 / maxFactor, maxFactor);
    add(keyOf(organisation, kind), factor);
    add(keyOf(organisation, {}), factor);
}

auto RunTimeEstimator::typical(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration
{
    return scaled(declared, factorAt(organisation, kind, 0.5, 1.0));
}

auto RunTimeEstimator::cautious(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration
{
    return scaled(declared, factorAt(organisation, kind, cautiousQuantile, unknownCautiousFactor));
}

auto RunTimeEstimator::remaining(Duration estimate, Duration elapsed) noexcept -> Duration
{
    // Run times are spread over orders of magnitude: half of the time already run is a fair guess for a late job.
    return std::max({estimate - elapsed, elapsed / 2, Duration(1)});
}

auto RunTimeEstimator::add(const std::string &key, double factor) -> void
{
    if (m_samples.size() >= maxKeys && !m_samples.contains(key)) {
        return;
    }
    auto &it = m_samples[key];
    if (it.factors.size() < maxSamples) {
        it.factors.push_back(factor);
    } else {
        it.factors[it.next] = factor;
        it.next = (it.next + 1) % maxSamples;
    }
    it.sorted = it.factors;
    std::sort(it.sorted.begin(), it.sorted.end());
}

auto RunTimeEstimator::factorAt(const OrganisationName &organisation, std::string_view kind, double q, double fallback) const -> double
{
    auto it = m_samples.find(keyOf(organisation, kind));
    if (it == m_samples.end() || it->second.factors.size() < leastSamples) {
        it = m_samples.find(keyOf(organisation, {}));
    }
    if (it == m_samples.end() || it->second.factors.size() < leastSamples) {
        return fallback;
    }
    const auto &sorted = it->second.sorted;
    return sorted[static_cast<std::size_t>(std::lround(q * static_cast<double>(sorted.size() - 1)))];
}

} // namespace Acaciarail::Scheduling
