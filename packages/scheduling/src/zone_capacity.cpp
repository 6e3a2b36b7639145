#include "zone_state.h"

#include <algorithm>
#include <cmath>

namespace Acaciarail::Scheduling::Detail {

namespace {

/// Cores that weigh as much as one accelerator when lost work is compared.
constexpr double coresPerAccelerator = 8.0;
/// A non-idempotent job cannot be run again, so it is stopped only when no other choice frees the capacity.
constexpr double nonIdempotentPenalty = 1e6;
/// Racks with fixed work and enough capacity that are searched for a worker for more fixed work. The limit bounds the cost of a
/// placement.
constexpr std::size_t maxFixedRacksSearched = 4;
/// Workers on racks with fixed work that are skipped when movable work is placed. The limit bounds the cost of a placement.
constexpr std::size_t maxFixedWorkersSkipped = 32;
/// Workers compared when urgent work preempts less urgent work.
constexpr std::size_t maxPreemptionCandidates = 8;

auto isPositive(const ResourceTotals &r) noexcept -> bool
{
    return r.accelerators > 0 || r.cores > 0 || r.memoryMiB > 0;
}

auto covers(const ResourceTotals &available, const ResourceTotals &need) noexcept -> bool
{
    return available.accelerators >= need.accelerators && available.cores >= need.cores && available.memoryMiB >= need.memoryMiB;
}

auto seconds(Duration d) noexcept -> double
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

auto ZoneState::plan(JobIndex j, Placement places, std::vector<SlotUse> slotUses, TimePoint now) -> void
{
    dequeue(j);
    auto &job = m_jobs[j];
    job.retryAt.reset();
    job.attempt = {};
    job.attempt.phase = Phase::Planned;
    job.attempt.members = std::move(places);
    job.attempt.slotUses = std::move(slotUses);
    const auto typical = m_estimator.typicalRunTime(m_organisations[job.organisation].name, job.kind, job.declaredRunTime);
    job.attempt.estimate = std::max(typical - job.progress, Duration(1));
    for (const auto &use : job.attempt.slotUses) {
        m_guarantees.use(use);
    }
    ++m_running;
    applyUsage(j, 1);
    if (isFreeNow(job.attempt.members, {})) {
        start(j, now);
    } else {
        m_planned.push_back(j);
    }
}

auto ZoneState::start(JobIndex j, TimePoint now) -> void
{
    auto &job = m_jobs[j];
    for (const auto &it : job.attempt.members) {
        m_loads[it.worker].planned -= amountOn(job, it);
    }
    std::erase(m_planned, j);
    job.attempt.phase = Phase::Starting;
    job.attempt.number = ++job.attempts;
    job.attempt.startedAt = now;
    m_commands.emplace_back(StartGang{job.id, job.attempt.number, membersOf(job)});
}

auto ZoneState::startPlanned(TimePoint now) -> void
{
    // Capacity that an earlier plan waits for is not given to a later plan, whose own victims end later.
    std::unordered_map<WorkerIndex, ResourceTotals> claimed;
    const auto planned = m_planned;
    for (const auto j : planned) {
        const auto &job = m_jobs[j];
        const auto canStart = [&](const PlacedTasks &it) {
            const auto &worker = m_fleet.worker(it.worker);
            auto available = worker.capacity;
            available -= worker.used;
            available += m_loads[it.worker].planned;
            available -= claimed[it.worker];
            return covers(available, amountOn(job, it));
        };
        if (std::all_of(job.attempt.members.begin(), job.attempt.members.end(), canStart)) {
            start(j, now);
            continue;
        }
        for (const auto &it : job.attempt.members) {
            claimed[it.worker] += amountOn(job, it);
        }
    }
}

auto ZoneState::applyUsage(JobIndex j, int sign) -> void
{
    auto &job = m_jobs[j];
    auto &attempt = job.attempt;
    const auto isEnding = attempt.phase == Phase::Checkpointing || attempt.phase == Phase::Stopping;
    const auto add = [sign](ResourceTotals &sum, const ResourceTotals &amount) { sign > 0 ? sum += amount : sum -= amount; };
    for (const auto &it : attempt.members) {
        const auto amount = amountOn(job, it);
        auto &load = m_loads[it.worker];
        if (sign > 0) {
            m_fleet.addUsed(it.worker, amount, isBorrowed(job));
            load.jobs.push_back(j);
        } else {
            m_fleet.removeUsed(it.worker, amount, isBorrowed(job));
            load.jobs.erase(std::find(load.jobs.begin(), load.jobs.end(), j));
        }
        if (!isLarge(job.shape) && !isFixed(job) && isBorrowed(job)) {
            add(load.movable, amount);
        }
        if (isFixed(job)) {
            updateFixedCount(m_fleet.worker(it.worker).rack, std::int64_t{sign} * it.tasks);
        }
        load.jobsWithoutSuccess += static_cast<std::uint32_t>(attempt.successRecorded ? 0 : sign);
        if (attempt.phase == Phase::Planned) {
            add(load.planned, amount);
        }
        if (isEnding) {
            add(load.ending, amount);
        } else if (isBorrowed(job)) {
            add(load.reclaimable[static_cast<std::size_t>(job.priority)], amount);
        }
    }
    const auto whole = times(job.shape.perTask, job.shape.tasks);
    add(m_organisations[job.organisation].used, whole);
    add(m_usedByClass[static_cast<std::size_t>(job.priority)], whole);
    m_organisations[job.organisation].teams[job.team].acceleratorsInUse += sign * whole.accelerators;
    if (m_limitedWorkers.empty()) {
        return;
    }
    for (const auto &it : attempt.members) {
        if (m_limitedWorkers.contains(m_fleet.worker(it.worker).info.name)) {
            updateExclusion(it.worker);
        }
    }
}

auto ZoneState::release(JobIndex j) -> void
{
    applyUsage(j, -1);
    for (const auto &use : m_jobs[j].attempt.slotUses) {
        m_guarantees.release(use);
        const auto mustMove = [this](const PlacedTasks &it) { return !m_fleet.worker(it.worker).retainsGuarantees; };
        m_relocate = m_relocate || m_guarantees.hasShortfall() || std::any_of(use.places.begin(), use.places.end(), mustMove);
    }
    std::erase(m_planned, j);
}

auto ZoneState::markEnding(JobIndex j) -> void
{
    auto &job = m_jobs[j];
    for (const auto &it : job.attempt.members) {
        auto &load = m_loads[it.worker];
        const auto amount = amountOn(job, it);
        load.ending += amount;
        if (isBorrowed(job)) {
            load.reclaimable[static_cast<std::size_t>(job.priority)] -= amount;
        }
    }
}

auto ZoneState::stop(JobIndex j, StopReason reason, TimePoint now) -> void
{
    auto &job = m_jobs[j];
    if (job.attempt.phase == Phase::Planned) {
        cancelPlan(j);
        return;
    }
    if (job.attempt.phase != Phase::Running || !job.checkpointable) {
        stopNow(j, reason);
        return;
    }
    markEnding(j);
    job.attempt.phase = Phase::Checkpointing;
    job.attempt.stopReason = reason;
    m_commands.emplace_back(CheckpointGang{job.id, job.attempt.number, m_settings.checkpointGrace, reason});
    addTimer(now + m_settings.checkpointGrace, TimerKind::GraceEnd, j);
}

auto ZoneState::stopNow(JobIndex j, StopReason reason) -> void
{
    auto &job = m_jobs[j];
    if (job.attempt.phase == Phase::Stopping || job.attempt.phase == Phase::None) {
        return;
    }
    if (job.attempt.phase != Phase::Checkpointing) {
        markEnding(j);
    }
    job.attempt.phase = Phase::Stopping;
    job.attempt.stopReason = reason;
    m_commands.emplace_back(StopGang{job.id, job.attempt.number, reason});
}

auto ZoneState::cancelPlan(JobIndex j) -> void
{
    release(j);
    m_jobs[j].attempt = {};
    --m_running;
    m_unblock = true;
    enqueue(j);
}

auto ZoneState::isStoppable(const JobRecord &job) const noexcept -> bool
{
    const auto phase = job.attempt.phase;
    return isBorrowed(job) && (phase == Phase::Planned || phase == Phase::Starting || phase == Phase::Running);
}

auto ZoneState::isFreeNow(const Placement &places, const Resources &perTask) const -> bool
{
    return std::all_of(places.begin(), places.end(), [&](const PlacedTasks &it) {
        const auto &worker = m_fleet.worker(it.worker);
        auto available = worker.capacity;
        available -= worker.used;
        return covers(available, times(perTask, it.tasks));
    });
}

auto ZoneState::lostWork(const JobRecord &job, TimePoint now) const -> double
{
    const auto weight = static_cast<double>(job.shape.accelerators())
        + static_cast<double>(std::uint64_t{job.shape.tasks} * job.shape.perTask.cores) / coresPerAccelerator;
    auto lost = seconds(m_settings.restartCost);
    const auto isRunning = job.attempt.phase == Phase::Running;
    if (isRunning && !job.checkpointable) {
        lost += seconds(now - job.attempt.startedAt);
    }
    const auto penalty = job.idempotent ? 1.0 : nonIdempotentPenalty;
    // Less urgent work is stopped first when the lost work is equal.
    const auto tieBreaker = 1.0 - static_cast<double>(job.priority) * 1e-6;
    return std::max(weight, 1e-3) * lost * penalty * tieBreaker;
}

auto ZoneState::costOf(const std::vector<JobIndex> &victims, TimePoint now) const -> double
{
    double sum = 0;
    for (const auto j : victims) {
        sum += lostWork(m_jobs[j], now);
    }
    return sum;
}

auto ZoneState::shortageOn(WorkerIndex w, const ResourceTotals &need) const -> ResourceTotals
{
    const auto &worker = m_fleet.worker(w);
    auto shortage = need;
    shortage -= worker.capacity;
    shortage += worker.used;
    shortage -= m_loads[w].ending;
    return shortage;
}

auto ZoneState::victimsOn(WorkerIndex w, ResourceTotals shortage, const std::set<JobIndex> &chosen, TimePoint now,
                          const MayStop &mayStop) const -> std::optional<std::vector<JobIndex>>
{
    struct Candidate
    {
        JobIndex job;
        ResourceTotals amount;
        double cost;
        double costPerGain;
    };
    std::vector<Candidate> candidates;
    for (const auto j : m_loads[w].jobs) {
        const auto &job = m_jobs[j];
        if (!isStoppable(job) || chosen.contains(j) || !mayStop(job)) {
            continue;
        }
        for (const auto &it : job.attempt.members) {
            if (it.worker == w) {
                const auto amount = amountOn(job, it);
                const auto part = [](std::int64_t given, std::int64_t wanted) {
                    return wanted <= 0 ? 0.0 : static_cast<double>(std::min(given, wanted)) / static_cast<double>(wanted);
                };
                const auto gain = part(amount.accelerators, shortage.accelerators) + part(amount.cores, shortage.cores)
                    + part(amount.memoryMiB, shortage.memoryMiB);
                const auto cost = lostWork(job, now);
                if (gain > 0) {
                    candidates.push_back({j, amount, cost, cost / gain});
                }
            }
        }
    }
    const auto cheaper = [this](const Candidate &a, const Candidate &b) {
        return std::pair(a.costPerGain, m_jobs[a.job].sequence) < std::pair(b.costPerGain, m_jobs[b.job].sequence);
    };
    std::sort(candidates.begin(), candidates.end(), cheaper);
    const Candidate *single = nullptr;
    for (const auto &it : candidates) {
        if (covers(it.amount, shortage) && (single == nullptr || it.cost < single->cost)) {
            single = &it;
        }
    }
    std::vector<JobIndex> victims;
    double cost = 0;
    for (const auto &it : candidates) {
        if (!isPositive(shortage)) {
            break;
        }
        const auto helps = (it.amount.accelerators > 0 && shortage.accelerators > 0) || (it.amount.cores > 0 && shortage.cores > 0)
            || (it.amount.memoryMiB > 0 && shortage.memoryMiB > 0);
        if (helps) {
            victims.push_back(it.job);
            cost += it.cost;
            shortage -= it.amount;
        }
    }
    if (isPositive(shortage)) {
        return std::nullopt;
    }
    if (single != nullptr && single->cost <= cost) {
        return std::vector<JobIndex>{single->job};
    }
    return victims;
}

auto ZoneState::isCoveredWithout(const std::map<WorkerIndex, ResourceTotals> &shortage, const std::vector<JobIndex> &victims,
                                 JobIndex without) const -> bool
{
    std::map<WorkerIndex, ResourceTotals> rest;
    for (const auto &it : m_jobs[without].attempt.members) {
        const auto found = shortage.find(it.worker);
        if (found != shortage.end()) {
            rest.insert(*found);
        }
    }
    for (const auto j : victims) {
        if (j == without) {
            continue;
        }
        for (const auto &it : m_jobs[j].attempt.members) {
            const auto found = rest.find(it.worker);
            if (found != rest.end()) {
                found->second -= amountOn(m_jobs[j], it);
            }
        }
    }
    return std::none_of(rest.begin(), rest.end(), [](const auto &it) { return isPositive(it.second); });
}

auto ZoneState::chooseVictims(const Placement &places, const Resources &perTask, TimePoint now, const MayStop &mayStop) const
    -> std::optional<std::vector<JobIndex>>
{
    std::map<WorkerIndex, ResourceTotals> shortage;
    for (const auto &it : places) {
        const auto amount = shortageOn(it.worker, times(perTask, it.tasks));
        if (isPositive(amount)) {
            shortage.emplace(it.worker, amount);
        }
    }
    auto rest = shortage;
    std::set<JobIndex> chosen;
    for (const auto &entry : shortage) {
        const auto w = entry.first;
        if (!isPositive(rest[w])) {
            continue;
        }
        const auto found = victimsOn(w, rest[w], chosen, now, mayStop);
        if (!found) {
            return std::nullopt;
        }
        for (const auto j : *found) {
            chosen.insert(j);
            for (const auto &it : m_jobs[j].attempt.members) {
                const auto other = rest.find(it.worker);
                if (other != rest.end()) {
                    other->second -= amountOn(m_jobs[j], it);
                }
            }
        }
    }
    // Victims chosen for one worker may make an earlier choice unnecessary; the most costly victims are dropped first.
    std::vector<JobIndex> victims(chosen.begin(), chosen.end());
    auto byCost = victims;
    std::sort(byCost.begin(), byCost.end(), [&](JobIndex a, JobIndex b) { return lostWork(m_jobs[a], now) > lostWork(m_jobs[b], now); });
    if (victims.size() > 1) {
        for (const auto j : byCost) {
            if (isCoveredWithout(shortage, victims, j)) {
                std::erase(victims, j);
            }
        }
    }
    return victims;
}

auto ZoneState::canAvoidFailed(const JobRecord &job) const -> bool
{
    const auto capacityOf = [&](WorkerIndex i) {
        const auto failed = std::find(job.failedOn.begin(), job.failedOn.end(), i) != job.failedOn.end();
        return failed || !m_fleet.worker(i).schedulable ? ResourceTotals{} : m_fleet.worker(i).capacity;
    };
    return findPlacementIn(m_fleet, job.shape, capacityOf).has_value();
}

auto ZoneState::filterFor(const JobRecord &job) const -> WorkerFilter
{
    const auto avoidsFailed = !job.failedOn.empty() && canAvoidFailed(job);
    if (!avoidsFailed && m_limitedWorkers.empty()) {
        return {};
    }
    const auto isOnOneWorker = job.shape.tasks == 1 || job.shape.adjacency == Adjacency::Worker;
    return [this, &job, avoidsFailed, isOnOneWorker](WorkerIndex i) {
        if (avoidsFailed && std::find(job.failedOn.begin(), job.failedOn.end(), i) != job.failedOn.end()) {
            return false;
        }
        const auto state = m_limitedWorkers.empty() ? HealthState::Healthy : m_health.state(m_fleet.worker(i).info.name);
        return state == HealthState::Healthy || (job.idempotent && (state == HealthState::Suspect || isOnOneWorker));
    };
}

auto ZoneState::mayUse(const JobRecord &job, const Placement &places) const -> bool
{
    const auto filter = filterFor(job);
    return std::all_of(places.begin(), places.end(),
                       [&](const PlacedTasks &it) { return m_fleet.worker(it.worker).schedulable && (!filter || filter(it.worker)); });
}

auto ZoneState::tryBorrow(JobIndex j, TimePoint now) -> bool
{
    const auto &job = m_jobs[j];
    const auto filter = filterFor(job);
    std::optional<Placement> places;
    for (const auto kind : {CapacityKind::Spare, CapacityKind::Free}) {
        if (isFixed(job)) {
            places = findAmongFixed(job, kind, filter);
        }
        if (isMovable(job)) {
            places = findAwayFromFixed(job, kind, filter);
        }
        if (!places && isRackGang(job.shape)) {
            places = findTightRacks(job, kind, filter);
        } else if (!places) {
            places = findPlacement(m_fleet, job.shape, kind, filter);
        }
        if (places) {
            break;
        }
    }
    if (!places) {
        return false;
    }
    plan(j, std::move(*places), {}, now);
    return true;
}

auto ZoneState::isRackGang(const Shape &shape) noexcept -> bool
{
    return shape.tasks > 1 && (shape.adjacency == Adjacency::Rack || shape.adjacency == Adjacency::NeighbouringRacks);
}

auto ZoneState::findTightRacks(const JobRecord &job, CapacityKind kind, const WorkerFilter &filter) const -> std::optional<Placement>
{
    const auto availableOn = [&](WorkerIndex w) { return filter && !filter(w) ? ResourceTotals{} : m_fleet.available(w, kind); };
    // Movable work counts as available capacity, so that racks which could be cleared for a larger gang stay free for it.
    const auto clearable = [&](WorkerIndex w) {
        auto sum = availableOn(w);
        sum += m_loads[w].movable;
        return sum;
    };
    return findPlacementIn(m_fleet, job.shape, availableOn, {clearable, {}});
}

auto ZoneState::isFixed(const JobRecord &job) const noexcept -> bool
{
    return !isLarge(job.shape) && !(job.idempotent && job.checkpointable);
}

auto ZoneState::updateFixedCount(RackIndex rack, std::int64_t tasks) -> void
{
    if (rack >= m_fixedOnRack.size()) {
        m_fixedOnRack.resize(rack + 1);
    }
    auto &count = m_fixedOnRack[rack];
    m_racksByFixed.erase({-count, rack});
    count += tasks;
    if (count > 0) {
        m_racksByFixed.emplace(-count, rack);
    }
}

auto ZoneState::findAmongFixed(const JobRecord &job, CapacityKind kind, const WorkerFilter &filter) const -> std::optional<Placement>
{
    const auto need = times(job.shape.perTask, job.shape.tasks);
    std::size_t searched = 0;
    for (const auto &[count, rack] : m_racksByFixed) {
        if (searched == maxFixedRacksSearched) {
            break;
        }
        const auto &it = m_fleet.racks()[rack];
        if (!covers(it.available[static_cast<std::size_t>(kind)], need)) {
            continue;
        }
        ++searched;
        std::optional<WorkerIndex> best;
        for (const auto w : it.workers) {
            const auto &available = m_fleet.available(w, kind);
            const auto isTighter = [&] {
                const auto &other = m_fleet.available(*best, kind);
                return std::pair(available.accelerators, available.cores) < std::pair(other.accelerators, other.cores);
            };
            if (covers(usableCapacity(available, job.shape.perTask), need) && (!filter || filter(w)) && (!best || isTighter())) {
                best = w;
            }
        }
        if (best) {
            return Placement{{*best, job.shape.tasks}};
        }
    }
    return std::nullopt;
}

auto ZoneState::findAwayFromFixed(const JobRecord &job, CapacityKind kind, const WorkerFilter &filter) const -> std::optional<Placement>
{
    std::size_t skipped = 0;
    const auto isAway = [&](WorkerIndex w) {
        const auto rack = m_fleet.worker(w).rack;
        const auto hasFixed = rack < m_fixedOnRack.size() && m_fixedOnRack[rack] > 0;
        if (hasFixed && skipped < maxFixedWorkersSkipped) {
            ++skipped;
            return false;
        }
        return !filter || filter(w);
    };
    return findPlacement(m_fleet, job.shape, kind, isAway);
}

auto ZoneState::tryBackfill(JobIndex j, TimePoint now) -> bool
{
    const auto &job = m_jobs[j];
    const auto isOnOneWorker = job.shape.tasks == 1 || job.shape.adjacency == Adjacency::Worker;
    if (m_reservations.empty() || !job.idempotent) {
        return false;
    }
    if (!isOnOneWorker) {
        return tryBackfillGang(j, now);
    }
    const auto cautious = m_estimator.cautiousRunTime(m_organisations[job.organisation].name, job.kind, job.declaredRunTime);
    // Work that can be moved at any time does not delay the gang, however long it runs.
    const auto canMove = isMovable(job);
    const auto end = now + std::max(cautious - job.progress, Duration(1));
    const auto need = times(job.shape.perTask, job.shape.tasks);
    std::optional<WorkerIndex> best;
    ResourceTotals bestAvailable;
    for (const auto &reservation : m_reservations) {
        for (const auto &it : reservation.places) {
            const auto &worker = m_fleet.worker(it.worker);
            auto available = worker.capacity;
            available -= worker.used;
            if ((!canMove && m_loads[it.worker].earliestReservationStart < end) || !worker.schedulable || !covers(available, need)) {
                continue;
            }
            const auto isTighter =
                std::pair(available.accelerators, available.cores) < std::pair(bestAvailable.accelerators, bestAvailable.cores);
            if (!best || isTighter) {
                best = it.worker;
                bestAvailable = available;
            }
        }
    }
    if (!best || !mayUse(job, {{*best, job.shape.tasks}})) {
        return false;
    }
    plan(j, {{*best, job.shape.tasks}}, {}, now);
    m_jobs[j].attempt.backfilled = true;
    return true;
}

auto ZoneState::tryBackfillGang(JobIndex j, TimePoint now) -> bool
{
    const auto &job = m_jobs[j];
    const auto filter = filterFor(job);
    const auto cautious = m_estimator.cautiousRunTime(m_organisations[job.organisation].name, job.kind, job.declaredRunTime);
    const auto end = now + std::max(cautious - job.progress, Duration(1));
    const auto capacityOf = [&](WorkerIndex w) {
        const auto &worker = m_fleet.worker(w);
        if (!worker.schedulable || (filter && !filter(w)) || m_loads[w].earliestReservationStart < end) {
            return filter && !filter(w) ? ResourceTotals{} : m_fleet.available(w, CapacityKind::Free);
        }
        auto free = worker.capacity;
        free -= worker.used;
        return free;
    };
    auto places = findPlacementIn(m_fleet, job.shape, capacityOf);
    if (!places) {
        return false;
    }
    plan(j, std::move(*places), {}, now);
    m_jobs[j].attempt.backfilled = true;
    return true;
}

auto ZoneState::tryPreempt(JobIndex j, TimePoint now) -> bool
{
    const auto &job = m_jobs[j];
    if (job.priority != Priority::Urgent || m_failedPreemptions.covers(job.shape) || isOverClassLimit(job)) {
        return false;
    }
    const auto filter = filterFor(job);
    const auto capacityOf = [&](WorkerIndex w) {
        const auto &worker = m_fleet.worker(w);
        if (!worker.schedulable || (filter && !filter(w))) {
            return ResourceTotals{};
        }
        const auto &load = m_loads[w];
        auto sum = worker.capacity;
        sum -= worker.used;
        sum -= worker.reserved;
        sum += load.ending;
        sum += load.reclaimable[static_cast<std::size_t>(Priority::Normal)];
        sum += load.reclaimable[static_cast<std::size_t>(Priority::Background)];
        return sum;
    };
    const auto mayStop = [](const JobRecord &it) { return it.priority != Priority::Urgent && it.idempotent; };
    std::optional<Placement> best;
    std::vector<JobIndex> bestVictims;
    auto bestCost = 0.0;
    std::set<WorkerIndex> tried;
    const auto isOnOneWorker = job.shape.tasks == 1 || job.shape.adjacency == Adjacency::Worker;
    for (std::size_t i = 0; i < (isOnOneWorker ? maxPreemptionCandidates : 1); ++i) {
        const auto untried = [&](WorkerIndex w) { return tried.contains(w) ? ResourceTotals{} : capacityOf(w); };
        const auto places = findPlacementIn(m_fleet, job.shape, untried);
        if (!places) {
            break;
        }
        tried.insert(places->front().worker);
        const auto victims = chooseVictims(*places, job.shape.perTask, now, mayStop);
        if (victims && (!best || costOf(*victims, now) < bestCost)) {
            best = places;
            bestVictims = *victims;
            bestCost = costOf(*victims, now);
        }
    }
    if (!best) {
        m_failedPreemptions.add(job.shape);
        return false;
    }
    plan(j, std::move(*best), {}, now);
    for (const auto victim : bestVictims) {
        stop(victim, StopReason::Preempted, now);
    }
    return true;
}

auto ZoneState::isBorrowed(const JobRecord &job) const noexcept -> bool
{
    return job.attempt.slotUses.empty();
}

auto ZoneState::amountOn(const JobRecord &job, const PlacedTasks &it) const noexcept -> ResourceTotals
{
    return times(job.shape.perTask, it.tasks);
}

auto ZoneState::membersOf(const JobRecord &job) const -> std::vector<GangMember>
{
    std::vector<GangMember> members;
    members.reserve(job.attempt.members.size());
    for (const auto &it : job.attempt.members) {
        members.push_back({m_fleet.worker(it.worker).info.name, it.tasks});
    }
    return members;
}

} // namespace Acaciarail::Scheduling::Detail
