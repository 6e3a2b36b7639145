#include "zone_state.h"

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

namespace {

/// Rounds of one decide() call; what is left is handled by the next call.
constexpr std::size_t maxRounds = 3;

auto combine(std::size_t seed, std::uint64_t value) noexcept -> std::size_t
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    return (seed ^ value) * multiplier + (seed >> 29U);
}

/// Whether the lack of a placement for \a failed implies that \a shape has none either.
auto isAtLeast(const Shape &shape, const Shape &failed) noexcept -> bool
{
    const auto sameLevel = shape.adjacency == failed.adjacency || failed.tasks == 1 || failed.adjacency == Adjacency::Any;
    return sameLevel && shape.tasks >= failed.tasks && shape.perTask.accelerators >= failed.perTask.accelerators
        && shape.perTask.cores >= failed.perTask.cores && shape.perTask.memoryMiB >= failed.perTask.memoryMiB;
}

} // namespace

auto GroupKeyHash::operator()(const GroupKey &key) const noexcept -> std::size_t
{
    auto n = combine(key.organisation, key.team);
    n = combine(n, static_cast<std::uint64_t>(key.priority) * 2 + (key.idempotent ? 1 : 0));
    n = combine(n, key.soleJob);
    n = combine(n, std::uint64_t{key.shape.tasks} << 8U | static_cast<std::uint64_t>(key.shape.adjacency));
    n = combine(n, std::uint64_t{key.shape.perTask.accelerators} << 32U | key.shape.perTask.cores);
    return combine(n, key.shape.perTask.memoryMiB);
}

auto FailedShapes::clear() noexcept -> void
{
    m_shapes.clear();
}

auto FailedShapes::add(const Shape &shape) -> void
{
    std::erase_if(m_shapes, [&shape](const Shape &it) { return isAtLeast(it, shape); });
    m_shapes.push_back(shape);
}

auto FailedShapes::covers(const Shape &shape) const noexcept -> bool
{
    return std::any_of(m_shapes.begin(), m_shapes.end(), [&shape](const Shape &it) { return isAtLeast(shape, it); });
}

auto ZoneState::enqueue(JobIndex j) -> void
{
    auto &job = m_jobs[j];
    const auto soleJob = job.failedOn.empty() ? noIndex : j;
    const GroupKey key{job.organisation, job.team, job.priority, job.idempotent, job.shape, soleJob};
    const auto [it, added] = m_groupByKey.try_emplace(key, noIndex);
    if (added) {
        if (m_freeGroups.empty()) {
            m_freeGroups.push_back(static_cast<GroupIndex>(m_groups.size()));
            m_groups.emplace_back();
        }
        it->second = m_freeGroups.back();
        m_freeGroups.pop_back();
        m_groups[it->second].key = key;
    }
    job.group = it->second;
    m_groups[job.group].waiting.emplace(job.order, j);
    ++m_waiting;
    ++m_queued[static_cast<std::size_t>(job.priority)];
    refreshReady(job.group);
}

auto ZoneState::dequeue(JobIndex j) -> void
{
    auto &job = m_jobs[j];
    if (job.reserved) {
        cancelReservation(j);
        return;
    }
    if (job.retryAt && job.group == noIndex) {
        --m_waiting;
        --m_queued[static_cast<std::size_t>(job.priority)];
        return;
    }
    if (job.group == noIndex) {
        return;
    }
    const auto g = job.group;
    job.group = noIndex;
    --m_waiting;
    --m_queued[static_cast<std::size_t>(job.priority)];
    auto &group = m_groups[g];
    group.waiting.erase({job.order, j});
    refreshReady(g);
    if (group.waiting.empty()) {
        m_groupByKey.erase(group.key);
        group = {};
        m_freeGroups.push_back(g);
    }
}

auto ZoneState::refreshReady(GroupIndex g) -> void
{
    auto &group = m_groups[g];
    std::optional<std::int64_t> first;
    if (!group.blocked && !group.waiting.empty()) {
        first = group.waiting.begin()->first;
    }
    // Also true for the index of a group that is no longer in use.
    if (first == group.readyOrder) {
        return;
    }
    const auto priority = static_cast<std::size_t>(group.key.priority);
    auto &ready = m_organisations[group.key.organisation].ready[priority];
    if (group.readyOrder) {
        ready.erase({*group.readyOrder, g});
    }
    group.readyOrder = first;
    if (first) {
        ready.emplace(*first, g);
        m_readyOrganisations[priority].insert(group.key.organisation);
    } else if (ready.empty()) {
        m_readyOrganisations[priority].erase(group.key.organisation);
    }
}

auto ZoneState::block(GroupIndex g, WaitReason reason) -> void
{
    auto &group = m_groups[g];
    group.blocked = true;
    group.reason = reason;
    m_blocked.push_back(g);
    refreshReady(g);
}

auto ZoneState::unblockAll() -> void
{
    for (const auto g : m_blocked) {
        m_groups[g].blocked = false;
        refreshReady(g);
    }
    m_blocked.clear();
    m_failedShapes.clear();
    m_failedPreemptions.clear();
    m_failedReservations.clear();
}

auto ZoneState::decide(TimePoint now) -> std::vector<JobCommand>
{
    m_lastDecision = now;
    fireTimers(now);
    updateExclusions(m_health.endQuarantines(now));
    relocateGuarantees();
    startPlanned(now);
    // A round may free capacity, for example the reservation of a gang that started elsewhere.
    for (std::size_t round = 0; round < maxRounds && (round == 0 || m_unblock); ++round) {
        runRound(now);
    }
    startPlanned(now);
    m_lastGrowthCount = m_fleet.growthCount();
    return std::exchange(m_commands, {});
}

auto ZoneState::runRound(TimePoint now) -> void
{
    const auto grew = m_unblock || m_lastGrowthCount != m_fleet.growthCount();
    if (grew) {
        unblockAll();
    }
    m_unblock = false;
    startGuaranteed(now);
    processReservations(now, grew);
    runPass(now, false);
    std::vector<GroupIndex> limited;
    std::copy_if(m_blocked.begin(), m_blocked.end(), std::back_inserter(limited),
                 [this](GroupIndex g) { return m_groups[g].blocked && m_groups[g].reason == WaitReason::ClassLimit; });
    if (limited.empty()) {
        return;
    }
    // Capacity that the other classes cannot use is given out beyond the class limits, so that it is not left idle.
    for (const auto g : limited) {
        m_groups[g].blocked = false;
        refreshReady(g);
    }
    runPass(now, true);
}

auto ZoneState::startGuaranteed(TimePoint now) -> void
{
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        const auto organisations = m_readyOrganisations[priority];
        for (const auto o : organisations) {
            if (!hasUnusedSlot(m_organisations[o])) {
                continue;
            }
            const auto ready = m_organisations[o].ready[priority];
            for (const auto &[order, g] : ready) {
                while (m_groups[g].readyOrder) {
                    const auto j = m_groups[g].waiting.begin()->second;
                    if (isOverQuota(m_jobs[j]) || !tryGuarantee(j, now)) {
                        break;
                    }
                }
            }
        }
    }
}

auto ZoneState::runPass(TimePoint now, bool ignoreLimits) -> void
{
    for (const auto priority : {Priority::Urgent, Priority::Normal, Priority::Background}) {
        runClass(priority, now, ignoreLimits);
    }
}

auto ZoneState::runClass(Priority priority, TimePoint now, bool ignoreLimits) -> void
{
    const auto p = static_cast<std::size_t>(priority);
    std::set<std::pair<double, OrganisationIndex>> turns;
    for (const auto o : m_readyOrganisations[p]) {
        turns.emplace(shareInUse(m_organisations[o]), o);
    }
    while (!turns.empty()) {
        const auto o = turns.begin()->second;
        turns.erase(turns.begin());
        const auto &ready = m_organisations[o].ready[p];
        if (ready.empty()) {
            continue;
        }
        const auto g = ready.begin()->second;
        const auto result = tryStart(m_groups[g].waiting.begin()->second, now, ignoreLimits);
        if (!result.started) {
            block(g, result.reason);
        }
        if (!ready.empty()) {
            turns.emplace(shareInUse(m_organisations[o]), o);
        }
    }
}

auto ZoneState::tryStart(JobIndex j, TimePoint now, bool ignoreLimits) -> TryResult
{
    const auto &job = m_jobs[j];
    if (isOverQuota(job)) {
        return {false, WaitReason::TeamQuota};
    }
    if (!ignoreLimits && isOverClassLimit(job)) {
        return {false, WaitReason::ClassLimit};
    }
    const auto shape = job.shape;
    const auto isUnfiltered = job.failedOn.empty() && job.idempotent;
    if (!m_failedShapes.covers(shape)) {
        if (tryBorrow(j, now)) {
            return {true, WaitReason::None};
        }
        if (isUnfiltered) {
            m_failedShapes.add(shape);
        }
    }
    if (tryBackfill(j, now) || tryPreempt(j, now) || tryReserve(j, now)) {
        return {true, WaitReason::None};
    }
    return {false, WaitReason::NoCapacity};
}

auto ZoneState::isOverClassLimit(const JobRecord &job) const -> bool
{
    const auto own = static_cast<std::size_t>(job.priority);
    const auto others = m_queued[0] + m_queued[1] + m_queued[2] - m_queued[own];
    if (others == 0) {
        return false;
    }
    auto used = m_usedByClass[own];
    used += times(job.shape.perTask, job.shape.tasks);
    return fractionOfCapacity(used) > m_classLimits[own];
}

auto ZoneState::isOverQuota(const JobRecord &job) const -> bool
{
    const auto &team = m_organisations[job.organisation].teams[job.team];
    const auto wanted = team.acceleratorsInUse + static_cast<std::int64_t>(job.shape.accelerators());
    return team.maxAccelerators && job.shape.accelerators() > 0 && wanted > *team.maxAccelerators;
}

auto ZoneState::shareInUse(const Organisation &organisation) const -> double
{
    return fractionOfCapacity(organisation.used) / organisation.share;
}

auto ZoneState::fractionOfCapacity(const ResourceTotals &amount) const -> double
{
    const auto &all = m_fleet.capacity();
    const auto fraction = [](std::int64_t part, std::int64_t whole) {
        return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    return std::max(
        {fraction(amount.accelerators, all.accelerators), fraction(amount.cores, all.cores), fraction(amount.memoryMiB, all.memoryMiB)});
}

} // namespace Acaciarail::Scheduling::Detail
