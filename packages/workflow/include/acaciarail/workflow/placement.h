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
    /// Number of the worker's rack; equal numbers mean the same rack. Racks are numbered from 0.
    std::size_t rack = 0;
    Demand free;
    /// Used only when no other worker has capacity.
    bool avoided = false;
    /// 0 for the fastest workers, more for slower ones.
    std::uint32_t slowness = 0;
    /// Not reserved for work of this kind; used only when no reserved worker that is otherwise equal has capacity.
    bool unreserved = false;
    /// Tasks may run there at all. Not a matter of capacity: stopping other work does not make such a worker usable.
    bool usable = true;
    /// Its tasks take longer for the moment; used only when no other worker that is not avoided has capacity.
    bool cold = false;
};

/// Which workers are preferred by their speed.
enum class SpeedPreference : std::uint8_t {
    /// Fast ones, before any reservation.
    Fast,
    /// Slow ones among those that are otherwise equal, so that the fast ones stay free for work with little time.
    Slow,
};

/// Tasks to be placed together.
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
    SpeedPreference speed = SpeedPreference::Fast;
};

/// The index of the candidate of each task; for a reservation, the indices of the reserved candidates.
using Assignment = std::vector<std::size_t>;

/// Places all tasks on free capacity, or none.
///
/// Best fit: tasks go where the least capacity is left over, so that whole workers and racks stay free. Prevents single tasks from
/// occupying a part of every worker while gangs wait for whole ones. Tasks that are placed together end together or are as late as the
/// slowest, so with SpeedPreference::Fast they get workers that are as fast as possible, but no faster than the slowest among them.
/// \pre none. Thread-safe.
[[nodiscard]] auto place(std::span<const Candidate> candidates, const PlacementRequest &request) -> std::optional<Assignment>;

/// Chooses the workers to reserve for a gang that cannot be placed: those of one rack, or of the whole pool, on which most of its tasks
/// already fit. Returns nothing when no rack, or the pool, is large enough for the gang even without other work.
///
/// Prevents single tasks of less urgent work from taking all capacity as it becomes free, so that gangs never find enough of it.
/// \pre \a capacities has an entry for each candidate. Thread-safe.
[[nodiscard]] auto chooseReservedWorkers(std::span<const Candidate> candidates, std::span<const Demand> capacities,
                                         const PlacementRequest &request) -> std::optional<Assignment>;

/// A running unit that may be stopped to free its capacity.
struct Victim
{
    /// Core-seconds of work that are lost when it is stopped.
    double loss = 0;
    /// Capacity that a member uses on a candidate.
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
    /// Indices of the victims to stop.
    std::vector<std::size_t> victims;
    /// Core-seconds of work that are lost.
    double loss = 0;
};

/// Places all tasks on free capacity and on that of victims, with the least loss of work that a greedy search finds.
///
/// Handles a burst of urgent gangs in a full fleet: it chooses the rack and the workers on which the least work is lost. A victim that is
/// stopped for one task frees its capacity on all its workers. Returns nothing when the loss would exceed \a maxLoss core-seconds.
/// \pre the parts of victims contain indices of \a candidates. Thread-safe.
[[nodiscard]] auto planPreemption(std::span<const Candidate> candidates, std::span<const Victim> victims, const PlacementRequest &request,
                                  double maxLoss) -> std::optional<PreemptionPlan>;

/// Sort key of a unit in the queue of waiting units.
struct QueuePosition
{
    /// The organisation's guarantee covers it.
    bool guaranteed = false;
    /// It would end so late that its result is worthless.
    bool cannotFinishInTime = false;
    std::uint32_t priority = 0;
    TimePoint readySince;
    /// It would end after its objective even if it started now, but not so late that its result is worthless.
    bool late = false;
};

/// Returns whether \a a is before \a b in the queue: guaranteed urgent units come first, the others by priority and age. Units whose result
/// is worthless come last, and those that are late anyway after the others of their priority, so that a backlog does not delay the units
/// behind it until they are late as well. \pre none. Thread-safe.
[[nodiscard]] auto precedes(const QueuePosition &a, const QueuePosition &b) noexcept -> bool;

} // namespace Acaciarail::Workflow
