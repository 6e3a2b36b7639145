#pragma once

#include <acaciarail/workflow/job.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Acaciarail::Workflow {

/// A worker that a unit may be placed on.
struct Candidate
{
    /// Number of the worker's rack; equal numbers mean the same rack. Racks are counted from 0.
    std::size_t rack = 0;
    Demand free;
    /// Used only when no other worker has room.
    bool avoided = false;
    /// Used when no equal worker that is faster has room.
    bool slow = false;
    /// Used when no equal worker that is kept for such work has room.
    bool unreserved = false;
};

/// What is to be placed.
struct PlacementRequest
{
    std::uint32_t tasks = 1;
    Demand taskDemand;
    /// All tasks in one rack.
    bool sameRack = false;
    /// Most tasks on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Workers that are avoided may be used too.
    bool useAvoided = true;
};

/// The candidate of each task, by position.
using Assignment = std::vector<std::size_t>;

/// Places all tasks on free capacity, or none.
///
/// Answers the load in which single tasks stand on every worker while gangs wait for whole ones: tasks go where the least is left
/// over, so that whole workers and racks stay free. \pre none. Thread-safe.
[[nodiscard]] auto place(std::span<const Candidate> candidates, const PlacementRequest &request) -> std::optional<Assignment>;

/// Chooses the workers to keep for a gang that finds no place: those of one rack, or of the pool, on which most of its tasks already fit.
/// Returns nothing when the group is too small for the gang even when it is empty.
///
/// Answers the load in which single tasks of less urgent work take each piece of room that comes free, so that gangs never find enough of
/// it. \pre \a capacities has an entry for each candidate. Thread-safe.
[[nodiscard]] auto chooseReservedWorkers(std::span<const Candidate> candidates, std::span<const Demand> capacities,
                                         const PlacementRequest &request) -> std::optional<Assignment>;

/// A running unit that may be stopped to make room.
struct Victim
{
    /// Core-seconds of work that stopping it throws away.
    double loss = 0;
    /// What it occupies, for each member.
    struct Part
    {
        std::size_t candidate = 0;
        Demand demand;
    };
    std::vector<Part> parts;
};

struct PreemptionPlan
{
    Assignment assignment;
    /// Positions of the victims to stop.
    std::vector<std::size_t> victims;
    double loss = 0;
};

/// Places all tasks on free capacity and on that of victims, with the least work lost that a greedy choice finds.
///
/// Answers the burst of urgent gangs onto a full fleet: the rack and workers are chosen where the least is thrown away; a victim that is
/// stopped for one task gives its room on all its workers. Returns nothing when the loss would exceed \a maxLoss.
/// \pre the parts of victims name positions in \a candidates. Thread-safe.
[[nodiscard]] auto planPreemption(std::span<const Candidate> candidates, std::span<const Victim> victims, const PlacementRequest &request,
                                  double maxLoss) -> std::optional<PreemptionPlan>;

/// What decides when a waiting unit gets its turn.
struct QueuePosition
{
    /// The organisation's guarantee covers it.
    bool guaranteed = false;
    /// It would be finished too late to be of use.
    bool cannotFinishInTime = false;
    std::uint32_t priority = 0;
    TimePoint readySince;
};

/// Orders waiting units: guaranteed urgent ones first, then by priority and age; those that are too late for any use come last, so that a
/// backlog does not make everything behind it late as well. \pre none. Thread-safe.
[[nodiscard]] auto precedes(const QueuePosition &a, const QueuePosition &b) noexcept -> bool;

} // namespace Acaciarail::Workflow
