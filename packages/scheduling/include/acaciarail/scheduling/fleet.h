#pragma once

#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/shape.h>

#include <array>
#include <bit>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Scheduling {

/// Sums of resources over many workers.
struct ResourceTotals
{
    std::int64_t accelerators = 0;
    std::int64_t cores = 0;
    std::int64_t memoryMiB = 0;

    friend auto operator==(const ResourceTotals &, const ResourceTotals &) noexcept -> bool = default;

    auto operator+=(const ResourceTotals &o) noexcept -> ResourceTotals &;
    auto operator-=(const ResourceTotals &o) noexcept -> ResourceTotals &;
};

/// Returns \a n times \a r. \pre none. Thread-safe.
[[nodiscard]] auto times(const Resources &r, std::int64_t n) noexcept -> ResourceTotals;

/// Returns how many tasks of \a perTask fit into \a available; at most \a limit. \pre none. Thread-safe.
[[nodiscard]] auto tasksThatFit(const ResourceTotals &available, const Resources &perTask, std::uint32_t limit) noexcept -> std::uint32_t;

/// Index of a worker within a Fleet; stays valid while the fleet exists.
using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;

/// The part of a worker's capacity that a placement search may use.
enum class CapacityKind : std::uint8_t {
    /// Not in use and not reserved for a waiting gang.
    Free,
    /// Not covered by a guarantee, whether in use or not.
    Unguaranteed,
    /// Both free and not covered by a guarantee.
    FreeUnguaranteed,
    /// Free even when every guarantee is fully used, so that work placed here will not be reclaimed.
    Spare,
};

inline constexpr std::size_t capacityKindCount = 4;

/// Set of worker indexes with constant-time updates and fast search for the next member.
class WorkerSet
{
public:
    auto insert(WorkerIndex i) -> void;
    auto erase(WorkerIndex i) noexcept -> void;
    /// Returns the first member that is not below \a from. \pre none.
    [[nodiscard]] auto next(WorkerIndex from) const noexcept -> std::optional<WorkerIndex>;
    [[nodiscard]] auto empty() const noexcept -> bool;

private:
    std::vector<std::uint64_t> m_words;
    std::vector<std::uint64_t> m_summary;
    std::uint32_t m_count = 0;
};

/// Workers grouped by available accelerators and by the magnitude of available cores, so that the tightest fit is found without a scan.
class CapacityIndex
{
public:
    static constexpr std::size_t acceleratorClasses = 17;
    static constexpr std::size_t coreClasses = 64;

    /// \pre the worker is not in the index.
    auto insert(WorkerIndex i, const ResourceTotals &available, bool idle) -> void;
    /// \pre the worker was inserted with the same arguments.
    auto erase(WorkerIndex i, const ResourceTotals &available, bool idle) noexcept -> void;

    /// Calls \a visit(worker) in order of increasing available capacity, idle workers after all others, until it returns false.
    /// Only workers whose class can hold \a need are visited, with \a coresPerAccelerator additional cores for each available accelerator;
    /// the caller checks the exact capacity. \pre none.
    template<typename Visit>
    auto visit(const Resources &need, std::uint32_t coresPerAccelerator, const Visit &visit) const -> void
    {
        for (std::size_t row = 0; row < m_masks.size(); ++row) {
            const auto accelerators = row % acceleratorClasses;
            if (accelerators < acceleratorClass(need.accelerators)) {
                continue;
            }
            const auto lowestClass = coreClass(need.cores + static_cast<std::int64_t>(accelerators * coresPerAccelerator));
            for (auto mask = m_masks[row] >> lowestClass << lowestClass; mask != 0; mask &= mask - 1) {
                const auto &members = m_buckets[row * coreClasses + static_cast<std::size_t>(std::countr_zero(mask))];
                for (auto it = members.next(0); it; it = members.next(*it + 1)) {
                    if (!visit(*it)) {
                        return;
                    }
                }
            }
        }
    }

private:
    [[nodiscard]] static auto rowOf(const ResourceTotals &available, bool idle) noexcept -> std::size_t;
    [[nodiscard]] static auto coreClass(std::int64_t cores) noexcept -> std::size_t;
    [[nodiscard]] static auto acceleratorClass(std::int64_t accelerators) noexcept -> std::size_t;

    /// One row for each accelerator class, first for workers in use, then for idle ones; a bit is set for each core class with members.
    std::array<std::uint64_t, 2 * acceleratorClasses> m_masks{};
    std::array<WorkerSet, 2 * acceleratorClasses * coreClasses> m_buckets;
};

/// A worker with the sums of its resources, by use.
struct FleetWorker
{
    WorkerInfo info;
    RackIndex rack = 0;
    /// Listed by the platform and not lost.
    bool present = false;
    bool leaving = false;
    /// May get new work: present, not leaving, and not excluded by its health.
    bool schedulable = false;
    /// Guarantees may stay located here: present, not leaving and not quarantined. A worker that is excluded but not quarantined
    /// retains them.
    bool retainsGuarantees = false;
    ResourceTotals capacity;
    ResourceTotals used;
    /// Part of \c used that is outside guarantees.
    ResourceTotals borrowed;
    /// Reserved for waiting gangs.
    ResourceTotals reserved;
    /// Covered by the guarantees located here, used or not.
    ResourceTotals guaranteed;
};

struct FleetRack
{
    RackName name;
    std::uint32_t position = 0;
    std::vector<WorkerIndex> workers;
    /// Sums of the workers' available capacity, for each kind; an upper bound for what a gang finds.
    std::array<ResourceTotals, capacityKindCount> available{};
};

/// The workers of a shard with their racks, sums and search indexes. All methods: not thread-safe.
class Fleet
{
public:
    /// Adds or updates a worker and returns its index. \pre none.
    auto join(const WorkerInfo &info) -> WorkerIndex;
    /// Returns the index of \a name; an unknown name is added as an absent worker without capacity. \pre none.
    auto indexOrAdd(const WorkerName &name) -> WorkerIndex;
    [[nodiscard]] auto find(const WorkerName &name) const -> std::optional<WorkerIndex>;

    /// \pre \a i is valid for all of the following.
    auto setLeaving(WorkerIndex i, bool leaving) -> void;
    auto setAbsent(WorkerIndex i) -> void;
    auto setExcluded(WorkerIndex i, bool excluded, bool quarantined) -> void;
    auto addUsed(WorkerIndex i, const ResourceTotals &amount, bool borrowed) -> void;
    auto removeUsed(WorkerIndex i, const ResourceTotals &amount, bool borrowed) -> void;
    auto addReserved(WorkerIndex i, const ResourceTotals &amount) -> void;
    auto removeReserved(WorkerIndex i, const ResourceTotals &amount) -> void;
    auto addGuaranteed(WorkerIndex i, const ResourceTotals &amount) -> void;
    auto removeGuaranteed(WorkerIndex i, const ResourceTotals &amount) -> void;

    [[nodiscard]] auto worker(WorkerIndex i) const noexcept -> const FleetWorker &;
    [[nodiscard]] auto workers() const noexcept -> std::span<const FleetWorker>;
    [[nodiscard]] auto racks() const noexcept -> std::span<const FleetRack>;
    /// Racks in the order of their positions.
    [[nodiscard]] auto racksByPosition() const noexcept -> std::span<const RackIndex>;
    [[nodiscard]] auto index(CapacityKind kind) const noexcept -> const CapacityIndex &;
    /// Returns the available capacity of a worker; zero when it is not schedulable.
    [[nodiscard]] auto available(WorkerIndex i, CapacityKind kind) const noexcept -> const ResourceTotals &;
    /// Sum of the capacities of present workers.
    [[nodiscard]] auto capacity() const noexcept -> const ResourceTotals &;
    /// Increases whenever the available capacity of any worker may have grown.
    [[nodiscard]] auto growthCount() const noexcept -> std::uint64_t;

private:
    struct Indexed
    {
        std::array<ResourceTotals, capacityKindCount> available;
        std::array<bool, capacityKindCount> idle{};
        bool present = false;
    };

    template<typename Change>
    auto update(WorkerIndex i, const Change &change) -> void;
    auto unindex(WorkerIndex i) -> void;
    auto reindex(WorkerIndex i) -> void;
    auto rackOf(const WorkerInfo &info) -> RackIndex;

    std::vector<FleetWorker> m_workers;
    std::vector<Indexed> m_indexed;
    std::vector<bool> m_excluded;
    std::vector<bool> m_quarantined;
    std::vector<FleetRack> m_racks;
    std::vector<RackIndex> m_racksByPosition;
    std::unordered_map<WorkerName, WorkerIndex> m_byName;
    std::unordered_map<RackName, RackIndex> m_rackByName;
    std::array<CapacityIndex, capacityKindCount> m_indexes;
    ResourceTotals m_capacity;
    std::uint64_t m_growthCount = 0;
};

} // namespace Acaciarail::Scheduling
