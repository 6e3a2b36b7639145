#include "zone_state.h"

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

namespace {

auto stateOf(const JobRecord &job) noexcept -> JobState
{
    switch (job.attempt.phase) {
    case Phase::None:
        break;
    case Phase::Planned:
        return JobState::Reclaiming;
    case Phase::Starting:
        return JobState::Starting;
    case Phase::Running:
        return JobState::Running;
    case Phase::Checkpointing:
    case Phase::Stopping:
        return JobState::Stopping;
    }
    return job.reserved ? JobState::Reserved : JobState::Queued;
}

auto atMost(const ResourceTotals &a, const ResourceTotals &b) noexcept -> bool
{
    return a.accelerators <= b.accelerators && a.cores <= b.cores && a.memoryMiB <= b.memoryMiB;
}

} // namespace

auto ZoneState::waitingText(const JobRecord &job, WaitReason reason) const -> std::string
{
    const auto &organisation = m_organisations[job.organisation];
    const auto &team = organisation.teams[job.team];
    switch (reason) {
    case WaitReason::TeamQuota:
        return "team " + team.name.str() + " uses " + std::to_string(team.acceleratorsInUse) + " of "
            + std::to_string(team.maxAccelerators.value_or(0)) + " accelerators; the job needs " + std::to_string(job.shape.accelerators());
    case WaitReason::ClassLimit:
        return "priority " + std::string(priorityName(job.priority)) + " has reached its part of the capacity while other work waits";
    case WaitReason::RetryBackoff:
        return "waits before the next attempt after " + std::to_string(job.failures) + " failed attempts";
    case WaitReason::GuaranteeShortfall:
        return "the guarantee of " + organisation.name.str() + " cannot be met with the present workers";
    case WaitReason::FleetTooSmall:
        return "the present workers cannot hold the shape, even when empty";
    case WaitReason::NoCapacity:
        return "no available capacity for " + std::to_string(job.shape.tasks) + " tasks with adjacency "
            + std::string(adjacencyName(job.shape.adjacency));
    case WaitReason::NotConsideredYet:
        return "has not been considered yet";
    case WaitReason::None:
        break;
    }
    return {};
}

auto ZoneState::explain(const JobId &id, TimePoint now) const -> std::optional<Explanation>
{
    static_cast<void>(now);
    const auto known = findJob(id);
    if (!known) {
        return std::nullopt;
    }
    const auto &job = m_jobs[*known];
    Explanation result;
    result.job = id;
    result.state = stateOf(job);
    result.attempt = job.attempt.number != 0 ? job.attempt.number : job.attempts;
    result.guaranteed = !job.attempt.slotUses.empty();
    if (job.attempt.phase != Phase::None) {
        result.members = membersOf(job);
        result.detail = result.guaranteed ? "inside the guarantee of its organisation" : "on borrowed capacity, which may be reclaimed";
        return result;
    }
    if (job.reserved) {
        const auto isForJob = [&](const Reservation &it) { return it.job == *known; };
        result.expectedStart = std::find_if(m_reservations.begin(), m_reservations.end(), isForJob)->start;
        result.reason = WaitReason::NoCapacity;
    } else if (job.group == noIndex) {
        result.reason = WaitReason::RetryBackoff;
        result.expectedStart = job.retryAt;
    } else {
        result.reason = m_groups[job.group].reason;
    }
    if (result.reason == WaitReason::NoCapacity) {
        const auto &shortfall = m_guarantees.hasShortfall() ? m_guarantees.shortfall() : std::vector<GuaranteeShortfall>{};
        const auto isOwn = [&](const GuaranteeShortfall &it) { return it.organisation == m_organisations[job.organisation].name; };
        const auto schedulableCapacity = [this](WorkerIndex w) {
            return m_fleet.worker(w).schedulable ? m_fleet.worker(w).capacity : ResourceTotals{};
        };
        if (!findPlacementIn(m_fleet, job.shape, schedulableCapacity)) {
            result.reason = WaitReason::FleetTooSmall;
        } else if (std::any_of(shortfall.begin(), shortfall.end(), isOwn)) {
            result.reason = WaitReason::GuaranteeShortfall;
        }
    }
    for (const auto &it : m_groups) {
        if (it.key.organisation == job.organisation && it.key.priority == job.priority) {
            const auto end = it.waiting.lower_bound({job.order, 0});
            result.ahead += static_cast<std::uint32_t>(std::distance(it.waiting.begin(), end));
        }
    }
    result.detail = waitingText(job, result.reason);
    return result;
}

auto ZoneState::summary() const -> ZoneSummary
{
    ZoneSummary result;
    for (WorkerIndex w = 0; w < m_fleet.workers().size(); ++w) {
        const auto &worker = m_fleet.worker(w);
        if (!worker.present) {
            continue;
        }
        ++result.workers;
        result.leavingWorkers += worker.leaving ? 1 : 0;
        result.guaranteed += worker.guaranteed;
        auto free = worker.capacity;
        free -= worker.used;
        result.free += {std::max<std::int64_t>(free.accelerators, 0), std::max<std::int64_t>(free.cores, 0),
                        std::max<std::int64_t>(free.memoryMiB, 0)};
    }
    for (const auto &it : m_jobs) {
        if (it.sequence != 0 && it.attempt.phase != Phase::None) {
            auto &sum = isBorrowed(it) ? result.borrowed : result.guaranteedInUse;
            sum += times(it.shape.perTask, it.shape.tasks);
        }
    }
    result.quarantinedWorkers = m_health.quarantinedCount();
    result.capacity = m_fleet.capacity();
    result.queued = m_queued;
    result.runningAttempts = m_running;
    result.reservations = static_cast<std::uint32_t>(m_reservations.size());
    result.reclaiming = static_cast<std::uint32_t>(m_planned.size());
    result.shortfall = m_guarantees.shortfall();
    return result;
}

auto ZoneState::verify() const -> std::string
{
    const auto count = m_fleet.workers().size();
    std::vector<ResourceTotals> used(count);
    std::vector<ResourceTotals> guaranteedUse(count);
    std::vector<ResourceTotals> guaranteed(count);
    std::vector<ResourceTotals> unused(count);
    std::vector<ResourceTotals> planned(count);
    std::vector<std::vector<std::uint32_t>> slotUse(m_guarantees.slots().size());
    for (SlotIndex i = 0; i < m_guarantees.slots().size(); ++i) {
        slotUse[i].resize(m_guarantees.slots()[i].places.size());
    }
    std::uint32_t running = 0;
    for (const auto &job : m_jobs) {
        if (job.sequence == 0 || job.attempt.phase == Phase::None) {
            continue;
        }
        ++running;
        std::uint32_t tasks = 0;
        for (const auto &it : job.attempt.members) {
            tasks += it.tasks;
            used[it.worker] += amountOn(job, it);
            if (!isBorrowed(job)) {
                guaranteedUse[it.worker] += amountOn(job, it);
            }
            if (job.attempt.phase == Phase::Planned) {
                planned[it.worker] += amountOn(job, it);
            }
        }
        if (tasks != job.shape.tasks) {
            return "job " + job.id.str() + ": expected " + std::to_string(job.shape.tasks) + " tasks, found " + std::to_string(tasks);
        }
        // The rack of a worker that an adopted attempt names is unknown until the worker joins.
        const auto isKnown = [this](const auto &it) { return !m_fleet.worker(it.worker).info.rack.empty(); };
        const auto areKnown = std::all_of(job.attempt.members.begin(), job.attempt.members.end(), isKnown);
        if (areKnown && !isAdjacent(m_fleet, job.attempt.members, job.shape.adjacency)) {
            return "job " + job.id.str() + ": expected adjacency " + std::string(adjacencyName(job.shape.adjacency))
                + ", found other workers";
        }
        for (const auto &use : job.attempt.slotUses) {
            const auto &slot = m_guarantees.slots()[use.slot];
            for (const auto &it : use.places) {
                for (std::size_t k = 0; k < slot.places.size(); ++k) {
                    slotUse[use.slot][k] += slot.places[k].worker == it.worker ? it.tasks : 0;
                }
            }
        }
    }
    for (SlotIndex i = 0; i < m_guarantees.slots().size(); ++i) {
        const auto &slot = m_guarantees.slots()[i];
        if (slot.removed) {
            continue;
        }
        if (slotUse[i] != slot.usedPlaces) {
            return "slot " + std::to_string(i) + " of " + slot.organisation.str() + ": recorded use differs from the attempts";
        }
        if (slot.isLocated() && !isAdjacent(m_fleet, slot.places, slot.shape.adjacency)) {
            return "slot " + std::to_string(i) + " of " + slot.organisation.str() + ": places are not adjacent";
        }
        std::uint32_t places = 0;
        for (std::size_t k = 0; k < slot.places.size(); ++k) {
            places += slot.places[k].tasks;
            guaranteed[slot.places[k].worker] += times(slot.shape.perTask, slot.places[k].tasks);
            unused[slot.places[k].worker] += times(slot.shape.perTask, slot.places[k].tasks - slot.usedPlaces[k]);
        }
        if (slot.isLocated() && places != slot.shape.tasks) {
            return "slot " + std::to_string(i) + " of " + slot.organisation.str() + ": expected " + std::to_string(slot.shape.tasks)
                + " places, found " + std::to_string(places);
        }
    }
    for (WorkerIndex w = 0; w < count; ++w) {
        const auto &worker = m_fleet.worker(w);
        const auto name = "worker " + worker.info.name.str() + ": ";
        if (worker.used != used[w]) {
            return name + "recorded use differs from the attempts";
        }
        if (worker.guaranteed != guaranteed[w]) {
            return name + "recorded guaranteed capacity differs from the slots";
        }
        if (m_loads[w].planned != planned[w]) {
            return name + "recorded plans differ from the attempts";
        }
        auto committed = unused[w];
        committed += guaranteedUse[w];
        if (worker.retainsGuarantees && !m_relocate && !atMost(committed, worker.capacity)) {
            return name + "unused guarantees and guaranteed work exceed the capacity";
        }
        auto inUse = used[w];
        inUse -= planned[w];
        if (worker.present && !atMost(inUse, worker.capacity)) {
            return name + "running attempts exceed the capacity";
        }
    }
    if (running != m_running) {
        return "attempts: expected " + std::to_string(m_running) + ", found " + std::to_string(running);
    }
    return {};
}

} // namespace Acaciarail::Scheduling::Detail
