#include <acaciarail/scheduling/fleet.h>

#include <algorithm>

namespace Acaciarail::Scheduling {

namespace {

constexpr std::size_t wordBits = 64;

auto totals(const Resources &r) noexcept -> ResourceTotals
{
    return {r.accelerators, r.cores, r.memoryMiB};
}

auto clampedDifference(const ResourceTotals &a, const ResourceTotals &b) noexcept -> ResourceTotals
{
    constexpr std::int64_t zero = 0;
    return {std::max(a.accelerators - b.accelerators, zero), std::max(a.cores - b.cores, zero), std::max(a.memoryMiB - b.memoryMiB, zero)};
}

auto minimum(const ResourceTotals &a, const ResourceTotals &b) noexcept -> ResourceTotals
{
    return {std::min(a.accelerators, b.accelerators), std::min(a.cores, b.cores), std::min(a.memoryMiB, b.memoryMiB)};
}

auto sum(ResourceTotals a, const ResourceTotals &b) noexcept -> ResourceTotals
{
    return a += b;
}

auto limitBy(std::uint32_t limit, std::int64_t available, std::uint32_t need) noexcept -> std::uint32_t
{
    if (need == 0) {
        return limit;
    }
    const auto n = std::max<std::int64_t>(available, 0) / need;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(n, limit));
}

} // namespace

auto ResourceTotals::operator+=(const ResourceTotals &o) noexcept -> ResourceTotals &
{
    accelerators += o.accelerators;
    cores += o.cores;
    memoryMiB += o.memoryMiB;
    return *this;
}

auto ResourceTotals::operator-=(const ResourceTotals &o) noexcept -> ResourceTotals &
{
    accelerators -= o.accelerators;
    cores -= o.cores;
    memoryMiB -= o.memoryMiB;
    return *this;
}

auto times(const Resources &r, std::int64_t n) noexcept -> ResourceTotals
{
    return {r.accelerators * n, r.cores * n, r.memoryMiB * n};
}

auto tasksThatFit(const ResourceTotals &available, const Resources &perTask, std::uint32_t limit) noexcept -> std::uint32_t
{
    limit = limitBy(limit, available.accelerators, perTask.accelerators);
    limit = limitBy(limit, available.cores, perTask.cores);
    return limitBy(limit, available.memoryMiB, perTask.memoryMiB);
}

auto WorkerSet::insert(WorkerIndex i) -> void
{
    const auto word = i / wordBits;
    if (word >= m_words.size()) {
        m_words.resize(word + 1);
        m_summary.resize(word / wordBits + 1);
    }
    m_words[word] |= std::uint64_t{1} << i % wordBits;
    m_summary[word / wordBits] |= std::uint64_t{1} << word % wordBits;
    ++m_count;
}

auto WorkerSet::erase(WorkerIndex i) noexcept -> void
{
    const auto word = i / wordBits;
    m_words[word] &= ~(std::uint64_t{1} << i % wordBits);
    if (m_words[word] == 0) {
        m_summary[word / wordBits] &= ~(std::uint64_t{1} << word % wordBits);
    }
    --m_count;
}

auto WorkerSet::next(WorkerIndex from) const noexcept -> std::optional<WorkerIndex>
{
    auto word = from / wordBits;
    if (m_count == 0 || word >= m_words.size()) {
        return std::nullopt;
    }
    const auto rest = m_words[word] >> from % wordBits;
    if (rest != 0) {
        return from + static_cast<WorkerIndex>(std::countr_zero(rest));
    }
    ++word;
    auto group = word / wordBits;
    if (group >= m_summary.size()) {
        return std::nullopt;
    }
    auto summary = m_summary[group] >> word % wordBits << word % wordBits;
    while (summary == 0) {
        if (++group == m_summary.size()) {
            return std::nullopt;
        }
        summary = m_summary[group];
    }
    word = group * wordBits + static_cast<std::size_t>(std::countr_zero(summary));
    return static_cast<WorkerIndex>(word * wordBits + static_cast<std::size_t>(std::countr_zero(m_words[word])));
}

auto WorkerSet::empty() const noexcept -> bool
{
    return m_count == 0;
}

auto CapacityIndex::coreClass(std::int64_t cores) noexcept -> std::size_t
{
    // Small counts have a class each, so that nearly full workers are not visited without result; larger ones share four classes
    // for each power of 2.
    constexpr std::size_t exactClasses = 32;
    const auto n = static_cast<std::uint64_t>(cores);
    if (n < exactClasses) {
        return n;
    }
    const auto magnitude = static_cast<std::size_t>(std::bit_width(n)) - 6;
    const auto quarter = static_cast<std::size_t>(n >> (magnitude + 3U)) - 4;
    return std::min(exactClasses + 4 * magnitude + quarter, coreClasses - 1);
}

auto CapacityIndex::acceleratorClass(std::int64_t accelerators) noexcept -> std::size_t
{
    return std::min<std::size_t>(static_cast<std::size_t>(accelerators), acceleratorClasses - 1);
}

auto CapacityIndex::rowOf(const ResourceTotals &available, bool idle) noexcept -> std::size_t
{
    return acceleratorClass(available.accelerators) + (idle ? acceleratorClasses : 0);
}

auto CapacityIndex::insert(WorkerIndex i, const ResourceTotals &available, bool idle) -> void
{
    const auto row = rowOf(available, idle);
    const auto column = coreClass(available.cores);
    m_buckets[row * coreClasses + column].insert(i);
    m_masks[row] |= std::uint64_t{1} << column;
}

auto CapacityIndex::erase(WorkerIndex i, const ResourceTotals &available, bool idle) noexcept -> void
{
    const auto row = rowOf(available, idle);
    const auto column = coreClass(available.cores);
    auto &members = m_buckets[row * coreClasses + column];
    members.erase(i);
    if (members.empty()) {
        m_masks[row] &= ~(std::uint64_t{1} << column);
    }
}

auto Fleet::join(const WorkerInfo &info) -> WorkerIndex
{
    const auto i = indexOrAdd(info.name);
    const auto rack = rackOf(info);
    update(i, [&](FleetWorker &it) {
        if (it.present) {
            m_capacity -= it.capacity;
        }
        std::erase(m_racks[it.rack].workers, i);
        it.info = info;
        it.rack = rack;
        it.present = true;
        it.leaving = false;
        it.capacity = totals(info.capacity);
        m_capacity += it.capacity;
        auto &members = m_racks[rack].workers;
        members.insert(std::upper_bound(members.begin(), members.end(), i), i);
    });
    return i;
}

auto Fleet::indexOrAdd(const WorkerName &name) -> WorkerIndex
{
    if (const auto known = find(name)) {
        return *known;
    }
    const auto i = static_cast<WorkerIndex>(m_workers.size());
    WorkerInfo info;
    info.name = name;
    const auto rack = rackOf(info);
    m_workers.emplace_back();
    m_workers[i].info = info;
    m_workers[i].rack = rack;
    m_racks[rack].workers.push_back(i);
    m_indexed.emplace_back();
    m_excluded.push_back(false);
    m_quarantined.push_back(false);
    m_byName.emplace(name, i);
    return i;
}

auto Fleet::find(const WorkerName &name) const -> std::optional<WorkerIndex>
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? std::nullopt : std::optional(it->second);
}

auto Fleet::setLeaving(WorkerIndex i, bool leaving) -> void
{
    update(i, [leaving](FleetWorker &it) { it.leaving = leaving; });
}

auto Fleet::setAbsent(WorkerIndex i) -> void
{
    update(i, [this](FleetWorker &it) {
        if (it.present) {
            m_capacity -= it.capacity;
        }
        it.present = false;
        it.capacity = {};
    });
}

auto Fleet::setExcluded(WorkerIndex i, bool excluded, bool quarantined) -> void
{
    if (m_excluded[i] == excluded && m_quarantined[i] == quarantined) {
        return;
    }
    update(i, [&](FleetWorker &) {
        m_excluded[i] = excluded;
        m_quarantined[i] = quarantined;
    });
}

auto Fleet::addUsed(WorkerIndex i, const ResourceTotals &amount, bool borrowed) -> void
{
    update(i, [&](FleetWorker &it) {
        it.used += amount;
        it.borrowed += borrowed ? amount : ResourceTotals{};
    });
}

auto Fleet::removeUsed(WorkerIndex i, const ResourceTotals &amount, bool borrowed) -> void
{
    update(i, [&](FleetWorker &it) {
        it.used -= amount;
        it.borrowed -= borrowed ? amount : ResourceTotals{};
    });
    ++m_growthCount;
}

auto Fleet::addReserved(WorkerIndex i, const ResourceTotals &amount) -> void
{
    update(i, [&](FleetWorker &it) { it.reserved += amount; });
}

auto Fleet::removeReserved(WorkerIndex i, const ResourceTotals &amount) -> void
{
    update(i, [&](FleetWorker &it) { it.reserved -= amount; });
    ++m_growthCount;
}

auto Fleet::addGuaranteed(WorkerIndex i, const ResourceTotals &amount) -> void
{
    update(i, [&](FleetWorker &it) { it.guaranteed += amount; });
}

auto Fleet::removeGuaranteed(WorkerIndex i, const ResourceTotals &amount) -> void
{
    update(i, [&](FleetWorker &it) { it.guaranteed -= amount; });
}

auto Fleet::worker(WorkerIndex i) const noexcept -> const FleetWorker &
{
    return m_workers[i];
}

auto Fleet::workers() const noexcept -> std::span<const FleetWorker>
{
    return m_workers;
}

auto Fleet::racks() const noexcept -> std::span<const FleetRack>
{
    return m_racks;
}

auto Fleet::racksByPosition() const noexcept -> std::span<const RackIndex>
{
    return m_racksByPosition;
}

auto Fleet::index(CapacityKind kind) const noexcept -> const CapacityIndex &
{
    return m_indexes[static_cast<std::size_t>(kind)];
}

auto Fleet::available(WorkerIndex i, CapacityKind kind) const noexcept -> const ResourceTotals &
{
    return m_indexed[i].available[static_cast<std::size_t>(kind)];
}

auto Fleet::capacity() const noexcept -> const ResourceTotals &
{
    return m_capacity;
}

auto Fleet::growthCount() const noexcept -> std::uint64_t
{
    return m_growthCount;
}

template<typename Change>
auto Fleet::update(WorkerIndex i, const Change &change) -> void
{
    unindex(i);
    const auto wasSchedulable = m_workers[i].schedulable;
    change(m_workers[i]);
    auto &it = m_workers[i];
    it.retainsGuarantees = it.present && !it.leaving && !m_quarantined[i];
    it.schedulable = it.retainsGuarantees && !m_excluded[i];
    reindex(i);
    m_growthCount += it.schedulable && !wasSchedulable ? 1 : 0;
}

auto Fleet::unindex(WorkerIndex i) -> void
{
    auto &it = m_indexed[i];
    if (!it.present) {
        return;
    }
    auto &rack = m_racks[m_workers[i].rack];
    for (std::size_t k = 0; k < capacityKindCount; ++k) {
        m_indexes[k].erase(i, it.available[k], it.idle[k]);
        rack.available[k] -= it.available[k];
    }
    it = {};
}

auto Fleet::reindex(WorkerIndex i) -> void
{
    const auto &worker = m_workers[i];
    if (!worker.schedulable) {
        return;
    }
    auto &it = m_indexed[i];
    const auto occupied = sum(worker.used, worker.reserved);
    it.present = true;
    it.available[0] = clampedDifference(worker.capacity, occupied);
    it.available[1] = clampedDifference(worker.capacity, worker.guaranteed);
    it.available[2] = minimum(it.available[0], it.available[1]);
    it.available[3] = clampedDifference(worker.capacity, sum(sum(worker.guaranteed, worker.borrowed), worker.reserved));
    it.idle[0] = occupied == ResourceTotals{};
    it.idle[1] = worker.guaranteed == ResourceTotals{};
    it.idle[2] = it.idle[0] && it.idle[1];
    it.idle[3] = it.idle[2];
    auto &rack = m_racks[worker.rack];
    for (std::size_t k = 0; k < capacityKindCount; ++k) {
        m_indexes[k].insert(i, it.available[k], it.idle[k]);
        rack.available[k] += it.available[k];
    }
}

auto Fleet::rackOf(const WorkerInfo &info) -> RackIndex
{
    const auto [it, added] = m_rackByName.try_emplace(info.rack, static_cast<RackIndex>(m_racks.size()));
    const auto rack = it->second;
    if (added) {
        m_racks.emplace_back();
        m_racks[rack].name = info.rack;
    } else if (m_racks[rack].position == info.rackPosition) {
        return rack;
    }
    m_racks[rack].position = info.rackPosition;
    std::erase(m_racksByPosition, rack);
    const auto before = [this](RackIndex a, RackIndex b) { return m_racks[a].position < m_racks[b].position; };
    m_racksByPosition.insert(std::upper_bound(m_racksByPosition.begin(), m_racksByPosition.end(), rack, before), rack);
    return rack;
}

} // namespace Acaciarail::Scheduling
