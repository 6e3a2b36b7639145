#pragma once

#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow {

/// What a unit asks for: number and demand of its tasks, adjacency, label, rack of the data and limit per worker.
using Shape = std::tuple<std::uint32_t, std::int64_t, std::int64_t, std::int64_t, bool, std::string, RackName, std::uint32_t>;

/// The tasks of a step in one occurrence of its job.
struct StepOccurrence
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator==(const StepOccurrence &, const StepOccurrence &) noexcept -> bool = default;
};

/// What the placement of a unit depends on beside the workers.
struct PlacementConstraints
{
    /// The service whose workers run the unit's tasks.
    ServiceName service;
    Shape shape;
    /// The step whose tasks, where they run already, count towards the unit's limit per worker; empty without such a limit.
    std::optional<StepOccurrence> limitedStep;
};

/// The units that could not be placed in a round. It bounds the cost of a round with a long backlog: a unit is tried only if no failure so
/// far shows that it cannot be placed either. Valid while capacity only shrinks. Not thread-safe.
class FailedPlacements
{
public:
    /// Records that no unit with \a constraints can be placed. Without \c limitedStep, this holds for the units of all steps. \pre none.
    auto add(const PlacementConstraints &constraints) -> void;

    /// Returns whether a recorded failure shows that a unit with \a constraints cannot be placed. \pre none.
    [[nodiscard]] auto covers(const PlacementConstraints &constraints) const -> bool;

private:
    /// By service and shape.
    std::map<std::pair<ServiceName, Shape>, std::vector<PlacementConstraints>> m_failed;
};

} // namespace Acaciarail::Workflow
