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

/// Where the tasks of a whole gang go; one entry for each worker.
using Placement = std::vector<PlacedTasks>;

/// Returns whether a worker may be used; an empty function accepts all.
using WorkerFilter = std::function<bool(WorkerIndex)>;

/// Finds a place for a whole gang, or nothing. The tightest fit is preferred, so that whole workers and racks stay free.
/// A single task costs a bounded number of index look-ups. \pre shape.tasks is at least 1. Not thread-safe.
[[nodiscard]] auto findPlacement(const Fleet &fleet, const Shape &shape, Room room, const WorkerFilter &filter = {})
    -> std::optional<Placement>;

/// Returns how many tasks of \a perTask a worker can take.
using RoomFunction = std::function<ResourceTotals(WorkerIndex)>;

/// How findPlacementIn() chooses among places that fit; empty functions stand for the room itself.
struct PlacementOrder
{
    /// Racks where the gang is the tightest fit in this room come first.
    RoomFunction tightness;
    /// Within a rack, workers with most of this room come first; by default those with the least room.
    RoomFunction preferred;
};

/// As findPlacement(), with the room of each worker given by a function; costs a scan over the workers.
/// \pre shape.tasks is at least 1. Not thread-safe.
[[nodiscard]] auto findPlacementIn(const Fleet &fleet, const Shape &shape, const RoomFunction &room, const PlacementOrder &order = {})
    -> std::optional<Placement>;

/// Returns the room that a task may use without stranding accelerators: work without accelerators leaves what an accelerator task
/// usually needs for each free accelerator. \pre none. Thread-safe.
[[nodiscard]] auto unreservedRoom(const ResourceTotals &room, const Resources &need) noexcept -> ResourceTotals;

/// Returns whether the gang fits the fleet when it is empty. \pre shape.tasks is at least 1. Not thread-safe.
[[nodiscard]] auto fitsEmptyFleet(const Fleet &fleet, const Shape &shape) -> bool;

/// Returns whether \a placement satisfies \a adjacency. \pre all workers are valid. Not thread-safe.
[[nodiscard]] auto isAdjacent(const Fleet &fleet, const Placement &placement, Adjacency adjacency) -> bool;

} // namespace Acaciarail::Scheduling
