#include <acaciarail/workflow/failed_placements.h>

#include <algorithm>

namespace Acaciarail::Workflow {

namespace {

/// Returns whether a unit with \a b, which has the same service and shape, can be placed only where one with \a a can.
auto isAtMostAsStrict(const PlacementConstraints &a, const PlacementConstraints &b) -> bool
{
    return !a.limitedStep || a.limitedStep == b.limitedStep;
}

} // namespace

auto FailedPlacements::add(const PlacementConstraints &constraints) -> void
{
    auto &failures = m_failed[{constraints.service, constraints.shape}];
    std::erase_if(failures, [&](const PlacementConstraints &it) { return isAtMostAsStrict(constraints, it); });
    failures.push_back(constraints);
}

auto FailedPlacements::covers(const PlacementConstraints &constraints) const -> bool
{
    const auto found = m_failed.find({constraints.service, constraints.shape});
    return found != m_failed.end() && std::any_of(found->second.begin(), found->second.end(), [&](const PlacementConstraints &it) {
               return isAtMostAsStrict(it, constraints);
           });
}

} // namespace Acaciarail::Workflow
