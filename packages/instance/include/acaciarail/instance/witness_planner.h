#pragma once

#include <acaciarail/core/fleet_info.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace Acaciarail::Instance {

/// Largest number of witnesses of a shard: the workers that grant its holder lease. A majority of nine survives the loss of any four.
inline constexpr std::size_t maxWitnesses = 9;

/// Chooses the first witness set of a shard: up to maxWitnesses workers spread evenly over the racks, sorted by name.
/// \pre none. Thread-safe.
[[nodiscard]] auto chooseWitnesses(const std::vector<WorkerInfo> &workers) -> std::vector<WorkerName>;

/// Returns the set that follows \a current by adding or removing one worker, or nothing when no change is needed.
/// A witness that is not in \a usable is removed; one is added while there are fewer than maxWitnesses and other usable workers.
/// \pre \a current is sorted. Thread-safe.
[[nodiscard]] auto nextWitnesses(const std::vector<WorkerName> &current, const std::vector<WorkerInfo> &usable)
    -> std::optional<std::vector<WorkerName>>;

} // namespace Acaciarail::Instance
