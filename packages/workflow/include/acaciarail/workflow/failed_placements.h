#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::Workflow {

/// What a unit asks of the workers, whatever else runs on them and however long it has waited.
struct UnitRequirements
{
    ServiceName service;
    std::uint32_t tasks = 1;
    Demand taskDemand;
    bool sameRack = false;
    std::string requiredLabel;
    /// Most tasks of its step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;

    friend auto operator==(const UnitRequirements &, const UnitRequirements &) noexcept -> bool = default;
    /// Any total order.
    friend auto operator<(const UnitRequirements &a, const UnitRequirements &b) noexcept -> bool;
};

/// The tasks of a step in one occurrence of its job.
struct StepOccurrence
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator==(const StepOccurrence &, const StepOccurrence &) noexcept -> bool = default;
};

/// All that the placement of a unit depends on beside the workers. Units with equal constraints have the same candidates.
struct PlacementConstraints
{
    UnitRequirements requirements;
    /// The rack of its data while the unit waits for that rack; empty for any.
    RackName onlyRack;
    /// It cannot use workers that are reserved for more urgent work.
    std::uint32_t priority = 0;
    /// Estimated run time, where it decides whether a worker that is reserved for other work may be used until that work fits; otherwise
    /// zero.
    Duration estimate{};
    /// It may use the workers that are reserved for urgent work with little time.
    bool shortOfTime = false;
    bool mayUseAvoided = false;
    /// It may also use reserved workers, and several racks.
    bool ignoresReservations = false;
    /// The step whose tasks, where they run already, count towards the unit's limit per worker; empty without such a limit.
    std::optional<StepOccurrence> limitedStep;

    friend auto operator==(const PlacementConstraints &, const PlacementConstraints &) noexcept -> bool = default;
};

/// The units that could not be placed in a round. Bounds the cost of a round with a long backlog: a unit need not be tried when one whose
/// constraints are equal or looser has failed. A shorter estimate does not count as looser: a unit that overtakes an equal one by its
/// estimate uses a worker that is reserved for more urgent work, which waits when the estimate is wrong. Valid while capacity only shrinks.
/// Not thread-safe.
class FailedPlacements
{
public:
    /// Records that no unit with \a constraints can be placed. Without \c limitedStep, this holds for the units of all steps. \pre none.
    auto add(const PlacementConstraints &constraints) -> void;

    /// Returns whether a recorded failure shows that a unit with \a constraints cannot be placed. \pre none.
    [[nodiscard]] auto covers(const PlacementConstraints &constraints) const -> bool;

private:
    /// Without those that another one covers.
    std::map<UnitRequirements, std::vector<PlacementConstraints>> m_failed;
};

} // namespace Acaciarail::Workflow
