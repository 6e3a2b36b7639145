#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow {

/// Progress of one run of a task on a worker.
struct ProgressSample
{
    WorkerName worker;
    /// Number of the run and of the task in it; samples of the same one replace each other.
    std::pair<std::uint64_t, std::size_t> run;
    /// Percent of the work a second.
    double rate = 0;
};

/// Learns how fast workers are from the progress of tasks with equal work: the tasks of a step, or the members of a gang.
///
/// Answers a load pattern in which some workers are permanently slower than others, while estimates of run times are too inaccurate to
/// compare a run with. A gang is as slow as its slowest member, and urgent work with little time to spare is late on a slow worker however
/// soon it starts. Speeds are relative to each other; 1 is the speed of a worker about which nothing is known. Not thread-safe.
class WorkerSpeeds
{
public:
    /// Takes note of the progress of tasks with equal work. Fewer than three siblings say nothing. \pre rates are positive.
    auto observe(std::span<const ProgressSample> siblings) -> void;

    /// Returns the speed of a worker; empty when it is not known. \pre none.
    [[nodiscard]] auto speed(const WorkerName &worker) const -> std::optional<double>;

    /// Forgets a worker that has left. \pre none.
    auto remove(const WorkerName &worker) -> void;

private:
    struct Ratio
    {
        std::pair<std::uint64_t, std::size_t> run;
        double value = 0;
    };
    struct History
    {
        /// The newest last.
        std::vector<Ratio> ratios;
        double speed = 1.0;
    };

    [[nodiscard]] auto speedOrTypical(const WorkerName &worker) const -> double;

    std::map<WorkerName, History> m_histories;
};

/// Slowest level of slownessOf(); such workers may be slower still.
inline constexpr std::uint32_t maxSlowness = 4;

/// Returns how slow a worker is beside the fastest ones: 0 for those, and 1 more for each quarter by which they are faster, up to
/// maxSlowness. \pre both speeds are positive. Thread-safe.
[[nodiscard]] auto slownessOf(double speed, double fastest) -> std::uint32_t;

/// Returns the speed that the fastest tenth of workers reach. \pre \a speeds is not empty. Thread-safe.
[[nodiscard]] auto fastestSpeed(std::vector<double> speeds) -> double;

} // namespace Acaciarail::Workflow
