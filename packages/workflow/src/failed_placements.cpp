#include <acaciarail/workflow/failed_placements.h>

#include <algorithm>
#include <tuple>

namespace Acaciarail::Workflow {

namespace {

auto sortKey(const UnitRequirements &r)
{
    return std::tie(r.service, r.tasks, r.taskDemand.milliCores, r.taskDemand.memoryMiB, r.taskDemand.accelerators, r.sameRack,
                    r.requiredLabel, r.maxPerWorker);
}

/// Returns whether a unit with \a strict, which has the same requirements, can be placed only where one with \a loose can, their estimates
/// aside.
auto isAtMostAsStrict(const PlacementConstraints &loose, const PlacementConstraints &strict) -> bool
{
    return (loose.onlyRack.empty() || loose.onlyRack == strict.onlyRack) && loose.priority <= strict.priority
        && loose.shortOfTime >= strict.shortOfTime && loose.mayUseAvoided >= strict.mayUseAvoided
        && loose.ignoresReservations >= strict.ignoresReservations && (!loose.limitedStep || loose.limitedStep == strict.limitedStep);
}

} // namespace

auto operator<(const UnitRequirements &a, const UnitRequirements &b) noexcept -> bool
{
    return sortKey(a) < sortKey(b);
}

auto FailedPlacements::add(const PlacementConstraints &constraints) -> void
{
    auto &failures = m_failed[constraints.requirements];
    std::erase_if(failures, [&](const PlacementConstraints &it) { return isAtMostAsStrict(constraints, it); });
    failures.push_back(constraints);
}

auto FailedPlacements::covers(const PlacementConstraints &constraints) const -> bool
{
    const auto found = m_failed.find(constraints.requirements);
    return found != m_failed.end() && std::any_of(found->second.begin(), found->second.end(), [&](const PlacementConstraints &it) {
               return isAtMostAsStrict(it, constraints);
           });
}

} // namespace Acaciarail::Workflow
