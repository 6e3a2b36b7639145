#include <acaciarail/scheduling/placement.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace Acaciarail::Scheduling {

namespace {

/// A search over the racks and workers, with the available capacity of each worker given by \c capacityOf.
template<typename CapacityOf>
struct Search
{
    const Fleet &fleet;
    const Shape &shape;
    const CapacityOf &capacityOf;
    PlacementOrder order;

    [[nodiscard]] auto preferredFits(WorkerIndex i) const -> std::uint32_t
    {
        return order.preferred ? tasksThatFit(order.preferred(i), shape.perTask, shape.tasks) : 0;
    }

    /// Returns how many tasks a rack could hold in all; the rack with the least is the tightest fit.
    [[nodiscard]] auto tightness(RackIndex rack, std::uint64_t fitsHere) const -> std::uint64_t
    {
        if (!order.tightness) {
            return fitsHere;
        }
        std::uint64_t n = 0;
        for (const auto it : fleet.racks()[rack].workers) {
            n += tasksThatFit(order.tightness(it), shape.perTask, shape.tasks);
        }
        return n;
    }

    /// Returns how many tasks fit on a worker.
    [[nodiscard]] auto fits(WorkerIndex i) const -> std::uint32_t
    {
        return tasksThatFit(capacityOf(i), shape.perTask, shape.tasks);
    }

    /// Returns how many tasks fit on the workers of a rack.
    [[nodiscard]] auto fitsInRack(RackIndex rack) const -> std::uint64_t
    {
        std::uint64_t n = 0;
        for (const auto it : fleet.racks()[rack].workers) {
            n += fits(it);
        }
        return n;
    }

    /// Distributes the tasks over workers. Preferred workers and then those with the least available capacity come first, so that the
    /// others stay unfragmented.
    [[nodiscard]] auto distribute(const std::vector<WorkerIndex> &workers) const -> Placement
    {
        using Key = std::tuple<std::int64_t, std::int64_t, std::int64_t, WorkerIndex>;
        std::vector<Key> keys;
        keys.reserve(workers.size());
        for (const auto it : workers) {
            const auto &available = capacityOf(it);
            if (tasksThatFit(available, shape.perTask, 1) > 0) {
                keys.emplace_back(-std::int64_t{preferredFits(it)}, available.accelerators, available.cores, it);
            }
        }
        std::sort(keys.begin(), keys.end());
        Placement placement;
        auto rest = shape.tasks;
        for (const auto &key : keys) {
            const auto it = std::get<WorkerIndex>(key);
            const auto n = std::min(fits(it), rest);
            if (n > 0) {
                placement.push_back({it, n});
                rest -= n;
            }
        }
        return placement;
    }

    [[nodiscard]] auto findInOneRack() const -> std::optional<Placement>
    {
        std::optional<RackIndex> best;
        auto bestKey = std::pair(std::numeric_limits<std::uint64_t>::max(), std::uint64_t{0});
        for (RackIndex rack = 0; rack < fleet.racks().size(); ++rack) {
            const auto n = fitsInRack(rack);
            if (n < shape.tasks) {
                continue;
            }
            const auto key = std::pair(tightness(rack, n), n);
            if (key < bestKey) {
                best = rack;
                bestKey = key;
            }
        }
        if (!best) {
            return std::nullopt;
        }
        return distribute(fleet.racks()[*best].workers);
    }

    /// Finds the shortest sequence of neighbouring racks, and among those the tightest fit.
    [[nodiscard]] auto findInNeighbouringRacks() const -> std::optional<Placement>
    {
        const auto racks = fleet.racksByPosition();
        std::vector<std::uint64_t> fitsOf;
        std::vector<std::uint64_t> tightnessOf;
        for (const auto rack : racks) {
            fitsOf.push_back(fitsInRack(rack));
            tightnessOf.push_back(tightness(rack, fitsOf.back()));
        }
        std::size_t first = 0;
        std::uint64_t n = 0;
        std::optional<std::pair<std::size_t, std::size_t>> best;
        auto bestKey = std::tuple(std::numeric_limits<std::size_t>::max(), std::uint64_t{0}, std::uint64_t{0});
        for (std::size_t last = 0; last < racks.size(); ++last) {
            if (fitsOf[last] == 0 || (last > 0 && fleet.racks()[racks[last]].position - fleet.racks()[racks[last - 1]].position > 1)) {
                first = fitsOf[last] == 0 ? last + 1 : last;
                n = 0;
            }
            n += fitsOf[last];
            while (first < last && n - fitsOf[first] >= shape.tasks) {
                n -= fitsOf[first++];
            }
            if (n < shape.tasks) {
                continue;
            }
            std::uint64_t tightnessSum = 0;
            for (auto i = first; i <= last; ++i) {
                tightnessSum += tightnessOf[i];
            }
            const auto key = std::tuple(last - first, tightnessSum, n);
            if (key < bestKey) {
                best = std::pair(first, last);
                bestKey = key;
            }
        }
        if (!best) {
            return std::nullopt;
        }
        // The sequence is minimal, so filling it from one end leaves no rack in between unused.
        Placement placement;
        auto rest = shape;
        for (auto i = best->first; i <= best->second; ++i) {
            const Search<CapacityOf> inRack{fleet, rest, capacityOf, order};
            for (const auto &it : inRack.distribute(fleet.racks()[racks[i]].workers)) {
                placement.push_back(it);
                rest.tasks -= it.tasks;
            }
        }
        return placement;
    }
};

auto gangResources(const Shape &shape) noexcept -> Resources
{
    const auto total = times(shape.perTask, shape.tasks);
    const auto narrow = [](std::int64_t n) {
        return static_cast<std::uint32_t>(std::min<std::int64_t>(n, std::numeric_limits<std::uint32_t>::max()));
    };
    return {narrow(total.accelerators), narrow(total.cores), narrow(total.memoryMiB)};
}

/// What an accelerator task usually needs besides its accelerator. Work without accelerators leaves this much for each available
/// accelerator as long as another worker fits, because an accelerator without cores or memory cannot be used.
constexpr std::uint32_t coresPerAccelerator = 4;
constexpr std::uint32_t memoryMiBPerAccelerator = 8192;

auto findOnOneWorker(const Fleet &fleet, const Resources &need, std::uint32_t tasks, CapacityKind kind, const WorkerFilter &filter,
                     bool leaveForAccelerators) -> std::optional<Placement>
{
    std::optional<Placement> found;
    fleet.index(kind).visit(need, leaveForAccelerators ? coresPerAccelerator : 0, [&](WorkerIndex i) {
        const auto rest = leaveForAccelerators ? usableCapacity(fleet.available(i, kind), need) : fleet.available(i, kind);
        if (tasksThatFit(rest, need, 1) == 0 || (filter && !filter(i))) {
            return true;
        }
        found = Placement{{i, tasks}};
        return false;
    });
    return found;
}

auto findOnOneWorker(const Fleet &fleet, const Shape &shape, CapacityKind kind, const WorkerFilter &filter) -> std::optional<Placement>
{
    const auto need = shape.tasks == 1 ? shape.perTask : gangResources(shape);
    if (need.accelerators == 0) {
        if (auto found = findOnOneWorker(fleet, need, shape.tasks, kind, filter, true)) {
            return found;
        }
    }
    return findOnOneWorker(fleet, need, shape.tasks, kind, filter, false);
}

auto findOnAnyWorkers(const Fleet &fleet, const Shape &shape, CapacityKind kind, const WorkerFilter &filter) -> std::optional<Placement>
{
    Placement placement;
    auto rest = shape.tasks;
    fleet.index(kind).visit(shape.perTask, 0, [&](WorkerIndex i) {
        const auto n = tasksThatFit(fleet.available(i, kind), shape.perTask, rest);
        if (n > 0 && (!filter || filter(i))) {
            placement.push_back({i, n});
            rest -= n;
        }
        return rest > 0;
    });
    return rest == 0 ? std::optional(std::move(placement)) : std::nullopt;
}

/// A gang within one rack also satisfies the wider levels.
template<typename CapacityOf>
auto findAdjacent(const Fleet &fleet, const Shape &shape, const CapacityOf &capacityOf, const PlacementOrder &order)
    -> std::optional<Placement>
{
    const Search<CapacityOf> search{fleet, shape, capacityOf, order};
    if (auto found = search.findInOneRack()) {
        return found;
    }
    return shape.adjacency == Adjacency::NeighbouringRacks ? search.findInNeighbouringRacks() : std::nullopt;
}

} // namespace

auto findPlacement(const Fleet &fleet, const Shape &shape, CapacityKind kind, const WorkerFilter &filter) -> std::optional<Placement>
{
    if (shape.tasks == 1 || shape.adjacency == Adjacency::Worker) {
        return findOnOneWorker(fleet, shape, kind, filter);
    }
    if (shape.adjacency == Adjacency::Any) {
        return findOnAnyWorkers(fleet, shape, kind, filter);
    }
    static constexpr ResourceTotals noCapacity{};
    const auto capacityOf = [&](WorkerIndex i) -> const ResourceTotals & {
        return filter && !filter(i) ? noCapacity : fleet.available(i, kind);
    };
    return findAdjacent(fleet, shape, capacityOf, {});
}

auto findPlacementIn(const Fleet &fleet, const Shape &shape, const CapacityFunction &available, const PlacementOrder &order)
    -> std::optional<Placement>
{
    if (shape.tasks > 1 && (shape.adjacency == Adjacency::Rack || shape.adjacency == Adjacency::NeighbouringRacks)) {
        return findAdjacent(fleet, shape, available, order);
    }
    std::vector<WorkerIndex> workers(fleet.workers().size());
    std::iota(workers.begin(), workers.end(), WorkerIndex{0});
    const Search<CapacityFunction> search{fleet, shape, available, order};
    if (shape.tasks == 1 || shape.adjacency == Adjacency::Worker) {
        std::erase_if(workers, [&](WorkerIndex i) { return search.fits(i) < shape.tasks; });
        if (workers.empty()) {
            return std::nullopt;
        }
    }
    auto placement = search.distribute(workers);
    const auto add = [](std::uint64_t n, const PlacedTasks &it) { return n + it.tasks; };
    const auto placed = std::accumulate(placement.begin(), placement.end(), std::uint64_t{0}, add);
    return placed == shape.tasks ? std::optional(std::move(placement)) : std::nullopt;
}

auto usableCapacity(const ResourceTotals &available, const Resources &need) noexcept -> ResourceTotals
{
    if (need.accelerators > 0) {
        return available;
    }
    return {available.accelerators, available.cores - coresPerAccelerator * available.accelerators,
            available.memoryMiB - memoryMiBPerAccelerator * available.accelerators};
}

auto fitsEmptyFleet(const Fleet &fleet, const Shape &shape) -> bool
{
    const auto capacityOf = [&fleet](WorkerIndex i) { return times(fleet.worker(i).info.capacity, 1); };
    if (shape.tasks > 1 && (shape.adjacency == Adjacency::Rack || shape.adjacency == Adjacency::NeighbouringRacks)) {
        return findPlacementIn(fleet, shape, capacityOf).has_value();
    }
    const auto isOnOneWorker = shape.tasks == 1 || shape.adjacency == Adjacency::Worker;
    std::uint64_t sum = 0;
    for (WorkerIndex i = 0; i < fleet.workers().size(); ++i) {
        const auto n = tasksThatFit(capacityOf(i), shape.perTask, shape.tasks);
        sum = isOnOneWorker ? n : sum + n;
        if (sum >= shape.tasks) {
            return true;
        }
    }
    return false;
}

auto isAdjacent(const Fleet &fleet, const Placement &placement, Adjacency adjacency) -> bool
{
    if (placement.size() <= 1 || adjacency == Adjacency::Any) {
        return true;
    }
    if (adjacency == Adjacency::Worker) {
        return false;
    }
    std::vector<RackIndex> racks;
    for (const auto &it : placement) {
        racks.push_back(fleet.worker(it.worker).rack);
    }
    std::sort(racks.begin(), racks.end());
    racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
    if (adjacency == Adjacency::Rack) {
        return racks.size() == 1;
    }
    std::vector<std::uint32_t> positions;
    positions.reserve(racks.size());
    for (const auto rack : racks) {
        positions.push_back(fleet.racks()[rack].position);
    }
    std::sort(positions.begin(), positions.end());
    const auto gap = [](std::uint32_t a, std::uint32_t b) { return b - a > 1; };
    return std::adjacent_find(positions.begin(), positions.end(), gap) == positions.end();
}

} // namespace Acaciarail::Scheduling
