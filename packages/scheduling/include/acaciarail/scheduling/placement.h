#pragma once

#include <acaciarail/core/shape.h>
#include <acaciarail/scheduling/fleet.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Acaciarail::Scheduling {

/// Tasks on one worker.
struct PlacedTasks
{
    WorkerIndex worker = 0;
    std::uint32_t tasks = 0;

    friend auto operator==(const PlacedTasks &, const PlacedTasks &) noexcept -> bool = default;
};

/// The workers for the tasks of a whole gang; one entry for each worker.
using Placement = std::vector<PlacedTasks>;

/// Returns whether a worker may be used; an empty function accepts all.
using WorkerFilter = std::function<bool(WorkerIndex)>;

/// Finds workers for a whole gang, or returns nothing. The tightest fit is preferred, so that whole workers and racks stay free.
/// A single task costs a bounded number of index look-ups. \pre shape.tasks is at least 1. Not thread-safe.
[[nodiscard]] auto findPlacement(const Fleet &fleet, const Shape &shape, CapacityKind kind, const WorkerFilter &filter = {})
    -> std::optional<Placement>;

/// Returns the capacity of a worker that a search may use.
using CapacityFunction = std::function<ResourceTotals(WorkerIndex)>;

/// How findPlacementIn() ranks the placements that fit; an empty function stands for the available capacity itself.
struct PlacementOrder
{
    /// Racks where the gang is the tightest fit in this capacity come first.
    CapacityFunction tightness;
    /// Within a rack, workers with most of this capacity come first; by default those with the least available capacity.
    CapacityFunction preferred;
};

/// As findPlacement(), with the available capacity of each worker given by a function; costs a scan over the workers.
/// \pre shape.tasks is at least 1. Not thread-safe.
[[nodiscard]] auto findPlacementIn(const Fleet &fleet, const Shape &shape, const CapacityFunction &available,
                                   const PlacementOrder &order = {}) -> std::optional<Placement>;

/// Returns the capacity that a task may use without stranding accelerators: work without accelerators leaves what an accelerator task
/// usually needs for each available accelerator. \pre none. Thread-safe.
[[nodiscard]] auto usableCapacity(const ResourceTotals &available, const Resources &need) noexcept -> ResourceTotals;

/// Returns whether the gang fits the fleet when it is empty. \pre shape.tasks is at least 1. Not thread-safe.
[[nodiscard]] auto fitsEmptyFleet(const Fleet &fleet, const Shape &shape) -> bool;

/// Returns whether \a placement satisfies \a adjacency. \pre all workers are valid. Not thread-safe.
[[nodiscard]] auto isAdjacent(const Fleet &fleet, const Placement &placement, Adjacency adjacency) -> bool;

} // namespace Acaciarail::Scheduling
