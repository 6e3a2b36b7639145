#include <acaciarail/workflow/worker_speeds.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Acaciarail::Workflow {

namespace {

constexpr std::size_t minSiblings = 3;
/// Runs that a worker's speed is derived from. Few enough to follow a change within seconds, enough to outvote a task whose work differs
/// from that of its siblings.
constexpr std::size_t maxRatios = 9;
/// A run that is slower than this in comparison says nothing about the worker's usual speed: the task has far more work than its siblings,
/// or the worker is disturbed, which WorkerSpeeds does not track.
constexpr double minRatio = 0.3;
constexpr double maxRatio = 3.0;
/// Quantile of the speeds that stands for the fastest workers; single ones may seem faster than they are.
constexpr double fastQuantile = 0.9;
/// Ratio of the speeds of two levels of slowness. Tasks of a step differ by up to a third, so smaller differences are not told apart.
constexpr double levelRatio = 1.25;

auto medianOf(std::vector<double> values) -> double
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Returns the mean without the smallest and the largest value, if there are enough of them.
auto trimmedMean(std::vector<double> values) -> double
{
    std::sort(values.begin(), values.end());
    const std::ptrdiff_t trimmed = values.size() > 2 ? 1 : 0;
    const auto begin = values.begin() + trimmed;
    const auto end = values.end() - trimmed;
    return std::accumulate(begin, end, 0.0) / static_cast<double>(end - begin);
}

} // namespace

auto WorkerSpeeds::observe(std::span<const ProgressSample> siblings) -> void
{
    if (siblings.size() < minSiblings) {
        return;
    }
    std::vector<double> workRates;
    workRates.reserve(siblings.size());
    for (const auto &it : siblings) {
        workRates.push_back(it.rate / speedOrTypical(it.worker));
    }
    const auto typicalRate = medianOf(std::move(workRates));
    for (const auto &it : siblings) {
        const auto ratio = it.rate / typicalRate;
        if (ratio < minRatio || ratio > maxRatio) {
            continue;
        }
        auto &history = m_histories[it.worker];
        auto &ratios = history.ratios;
        const auto known = std::find_if(ratios.begin(), ratios.end(), [&](const Ratio &r) { return r.run == it.run; });
        if (known != ratios.end()) {
            known->value = ratio;
        } else {
            if (ratios.size() == maxRatios) {
                ratios.erase(ratios.begin());
            }
            ratios.push_back({it.run, ratio});
        }
        std::vector<double> values;
        values.reserve(ratios.size());
        for (const auto &r : ratios) {
            values.push_back(r.value);
        }
        history.speed = trimmedMean(std::move(values));
    }
}

auto WorkerSpeeds::speed(const WorkerName &worker) const -> std::optional<double>
{
    const auto it = m_histories.find(worker);
    return it == m_histories.end() ? std::nullopt : std::optional(it->second.speed);
}

auto WorkerSpeeds::speedOrTypical(const WorkerName &worker) const -> double
{
    return speed(worker).value_or(1.0);
}

auto WorkerSpeeds::remove(const WorkerName &worker) -> void
{
    m_histories.erase(worker);
}

auto slownessOf(double speed, double fastest) -> std::uint32_t
{
    const auto levels = std::log(fastest / speed) / std::log(levelRatio);
    return static_cast<std::uint32_t>(std::clamp(std::round(levels), 0.0, double{maxSlowness}));
}

auto fastestSpeed(std::vector<double> speeds) -> double
{
    const auto index = static_cast<std::ptrdiff_t>(static_cast<double>(speeds.size() - 1) * fastQuantile);
    std::nth_element(speeds.begin(), speeds.begin() + index, speeds.end());
    return speeds[static_cast<std::size_t>(index)];
}

} // namespace Acaciarail::Workflow
