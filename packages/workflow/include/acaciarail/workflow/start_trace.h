#pragma once

#include <acaciarail/workflow/job.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Acaciarail::Workflow {

/// How the workers of a run were found.
enum class PlacementPath : std::uint8_t {
    /// On free capacity.
    Free,
    /// On workers that were reserved while the units on them were being stopped.
    Reserved,
    /// On free capacity, when a preemption was to be planned and was not needed; includes workers that are avoided otherwise.
    Preempting,
};
inline constexpr std::size_t placementPathCount = 3;

/// Returns `free`, `reserved` or `preempting`. \pre none. Thread-safe.
[[nodiscard]] auto placementPathName(PlacementPath path) noexcept -> const char *;

/// Why a start was withheld: the worker may not, or no longer, run the unit.
enum class StartObstacle : std::uint8_t {
    /// The worker belongs to another service.
    Service,
    /// The worker lacks the required label.
    Label,
    /// The worker runs as many tasks of the step as it may.
    Spread,
    /// The worker has restarted since it was chosen, or its entry in the list is of another life than its reports.
    Life,
    /// The worker has announced its shutdown.
    Draining,
    /// The worker's availability zone is evacuated.
    Evacuated,
};
inline constexpr std::size_t startObstacleCount = 6;

/// Returns `service`, `label`, `spread`, `life`, `draining` or `evacuated`. \pre none. Thread-safe.
[[nodiscard]] auto startObstacleName(StartObstacle obstacle) noexcept -> const char *;

/// Numbers of units placed, by PlacementPath, and of starts withheld, by StartObstacle.
using PlacementCounts = std::array<std::uint64_t, placementPathCount>;
using WithheldStartCounts = std::array<std::uint64_t, startObstacleCount>;

/// Returns labels, separated by commas, as the value of a log field. \pre none. Thread-safe.
[[nodiscard]] auto labelsLogValue(const std::vector<std::string> &labels) -> std::string;

/// Returns the log field `required_labels` with the labels that the steps of a job require, or an empty string when they require none.
/// \pre none. Thread-safe.
[[nodiscard]] auto requiredLabelsLogField(const JobSpec &spec) -> std::string;

} // namespace Acaciarail::Workflow
