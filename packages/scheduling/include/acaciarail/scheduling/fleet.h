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

/// Returns how many tasks of \a perTask fit into \a room; at most \a most. \pre none. Thread-safe.
[[nodiscard]] auto tasksThatFit(const ResourceTotals &room, const Resources &perTask, std::uint32_t most) noexcept -> std::uint32_t;

/// Number of a worker within a Fleet; stays valid while the fleet exists.
using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;

/// The capacity of a worker that a search may use.
enum class Room : std::uint8_t {
    /// Not in use and not held by a reservation.
    Free,
    /// Not promised by a guarantee, whether in use or not.
    Unpromised,
    /// Both free and unpromised.
    FreeUnpromised,
    /// Free and outside all promises even when these are in use, so that work here will not be reclaimed.
    Spare,
};

inline constexpr std::size_t roomCount = 4;

/// Set of worker numbers with constant-time updates and fast search for the next member.
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

/// Workers grouped by accelerators and by the magnitude of their cores, so that the tightest fit is found without a scan.
class RoomIndex
{
public:
    static constexpr std::size_t acceleratorClasses = 17;
    static constexpr std::size_t coreClasses = 64;

    /// \pre the worker is not in the index.
    auto insert(WorkerIndex i, const ResourceTotals &room, bool idle) -> void;
    /// \pre the worker was inserted with the same arguments.
    auto erase(WorkerIndex i, const ResourceTotals &room, bool idle) noexcept -> void;

    /// Calls \a visit(worker) in order of increasing room, idle workers after all others, until it returns false.
    /// Only workers whose class can hold \a need are visited, with \a coresPerAccelerator more for each free accelerator;
    /// the caller checks the exact room. \pre none.
    template<typename Visit>
    auto visit(const Resources &need, std::uint32_t coresPerAccelerator, const Visit &visit) const -> void
    {
        for (std::size_t row = 0; row < m_masks.size(); ++row) {
            const auto accelerators = row % acceleratorClasses;
            if (accelerators < acceleratorClass(need.accelerators)) {
                continue;
            }
            const auto leastClass = coreClass(need.cores + static_cast<std::int64_t>(accelerators * coresPerAccelerator));
            for (auto mask = m_masks[row] >> leastClass << leastClass; mask != 0; mask &= mask - 1) {
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
    [[nodiscard]] static auto rowOf(const ResourceTotals &room, bool idle) noexcept -> std::size_t;
    [[nodiscard]] static auto coreClass(std::int64_t cores) noexcept -> std::size_t;
    [[nodiscard]] static auto acceleratorClass(std::int64_t accelerators) noexcept -> std::size_t;

    /// One row for each accelerator class, first of workers in use, then of idle ones; a bit for each core class with members.
    std::array<std::uint64_t, 2 * acceleratorClasses> m_masks{};
    std::array<WorkerSet, 2 * acceleratorClasses * coreClasses> m_buckets;
};

/// One worker with its sums.
struct FleetWorker
{
    WorkerInfo info;
    RackIndex rack = 0;
    /// Listed by the platform and not lost.
    bool present = false;
    bool leaving = false;
    /// May get new work: present, not leaving, and not barred by its health.
    bool open = false;
    /// Guarantees may stay located here: present, not leaving and not quarantined. A worker that is only barred keeps them.
    bool keepsPromises = false;
    ResourceTotals capacity;
    ResourceTotals used;
    /// Part of \c used that is outside guarantees.
    ResourceTotals borrowed;
    /// Held for waiting gangs with a reservation.
    ResourceTotals held;
    /// Placed for guarantees, used or not.
    ResourceTotals promised;
};

struct FleetRack
{
    RackName name;
    std::uint32_t position = 0;
    std::vector<WorkerIndex> workers;
    /// Sums of the workers' room, for each kind of room; an upper bound for what a gang finds.
    std::array<ResourceTotals, roomCount> room{};
};

/// The workers of a shard with their racks, sums and search indexes. All methods: not thread-safe.
class Fleet
{
public:
    /// Adds or updates a worker and returns its number. \pre none.
    auto join(const WorkerInfo &info) -> WorkerIndex;
    /// Returns the number of \a name, adding an absent worker without capacity when it is unknown. \pre none.
    auto indexOrAdd(const WorkerName &name) -> WorkerIndex;
    [[nodiscard]] auto find(const WorkerName &name) const -> std::optional<WorkerIndex>;

    /// \pre \a i is valid for all of the following.
    auto setLeaving(WorkerIndex i, bool leaving) -> void;
    auto setAbsent(WorkerIndex i) -> void;
    auto setBarred(WorkerIndex i, bool barred, bool quarantined) -> void;
    auto addUsed(WorkerIndex i, const ResourceTotals &amount, bool borrowed) -> void;
    auto removeUsed(WorkerIndex i, const ResourceTotals &amount, bool borrowed) -> void;
    auto addHeld(WorkerIndex i, const ResourceTotals &amount) -> void;
    auto removeHeld(WorkerIndex i, const ResourceTotals &amount) -> void;
    auto addPromised(WorkerIndex i, const ResourceTotals &amount) -> void;
    auto removePromised(WorkerIndex i, const ResourceTotals &amount) -> void;

    [[nodiscard]] auto worker(WorkerIndex i) const noexcept -> const FleetWorker &;
    [[nodiscard]] auto workers() const noexcept -> std::span<const FleetWorker>;
    [[nodiscard]] auto racks() const noexcept -> std::span<const FleetRack>;
    /// Racks in the order of their positions.
    [[nodiscard]] auto racksByPosition() const noexcept -> std::span<const RackIndex>;
    [[nodiscard]] auto index(Room room) const noexcept -> const RoomIndex &;
    /// Returns the room of a worker; zero when it is not open.
    [[nodiscard]] auto room(WorkerIndex i, Room room) const noexcept -> const ResourceTotals &;
    /// Sum of the capacities of present workers.
    [[nodiscard]] auto capacity() const noexcept -> const ResourceTotals &;
    /// Changes whenever room may have grown anywhere.
    [[nodiscard]] auto growthCount() const noexcept -> std::uint64_t;

private:
    struct Indexed
    {
        std::array<ResourceTotals, roomCount> room;
        std::array<bool, roomCount> idle{};
        bool present = false;
    };

    template<typename Change>
    auto update(WorkerIndex i, const Change &change) -> void;
    auto unindex(WorkerIndex i) -> void;
    auto reindex(WorkerIndex i) -> void;
    auto rackOf(const WorkerInfo &info) -> RackIndex;

    std::vector<FleetWorker> m_workers;
    std::vector<Indexed> m_indexed;
    std::vector<bool> m_barred;
    std::vector<bool> m_quarantined;
    std::vector<FleetRack> m_racks;
    std::vector<RackIndex> m_racksByPosition;
    std::unordered_map<WorkerName, WorkerIndex> m_byName;
    std::unordered_map<RackName, RackIndex> m_rackByName;
    std::array<RoomIndex, roomCount> m_indexes;
    ResourceTotals m_capacity;
    std::uint64_t m_growth = 0;
};

} // namespace Acaciarail::Scheduling
