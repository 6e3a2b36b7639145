#include "dispatcher_state.h"

#include <acaciarail/workflow/objective.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace Acaciarail::Workflow {

namespace {

/// Urgent work of another organisation is preempted only for a guarantee; its loss is increased by this many times its estimated work.
constexpr double urgentLossFactor = 4.0;
/// The loss of work of priority 1 is weighted more than that of background work.
constexpr double normalLossFactor = 1.5;

/// A unit may run on slow workers while it has this many times its estimated run time left; workers differ by a factor of up to two.
constexpr int minSpareFactor = 2;

/// Bounds the memory for the shapes of jobs that have ended.
constexpr std::size_t maxIdleFits = 1000;
/// Candidate index of a worker that takes no part in a round.
constexpr auto invalidIndex = std::numeric_limits<std::size_t>::max();
/// Stands for the priority of a reservation on a worker that has none.
constexpr auto unreserved = std::numeric_limits<std::uint32_t>::max();

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

/// Returns the core-seconds of work that are lost when \a unit is stopped now.
auto lostWork(const Unit &unit, TimePoint now) -> double
{
    double lost = 0;
    for (const auto &it : unit.members) {
        auto spent = it.phase == MemberPhase::Running ? now - it.startedAt : Duration::zero();
        if (unit.step->checkpoints && it.percent > 0) {
            spent = spent * (it.percent - std::min(it.percent, it.checkpointPercent)) / it.percent;
        }
        lost += seconds(spent) * weightedCores(unit.step->taskDemand);
    }
    return lost;
}

auto requirementsOf(const Unit &unit) -> UnitRequirements
{
    const auto &step = *unit.step;
    return {unit.job->policy.service, unit.taskCount(), unit.demand(), step.sameRack, step.requiredLabel, step.maxPerWorker};
}

/// Returns whether a unit has little time left beside its run time, so that it would be late on a slow worker. Both are derived from the
/// same estimate, so an error of the estimate changes their ratio little.
auto isShortOfTime(const Unit &unit, TimePoint now) -> bool
{
    const auto left = unit.job->acceptedAt + unit.job->objective - now;
    return unit.job->policy.priority == 0 || left < unit.step->estimate * minSpareFactor;
}

/// Returns whether a unit would end after its objective if it started now.
auto isLate(const Unit &unit, TimePoint now) -> bool
{
    return unit.job->spec.occurrences == 0 && now + unit.step->estimate > unit.job->acceptedAt + unit.job->objective;
}

auto withoutAvoided(std::vector<Candidate> candidates) -> std::vector<Candidate>
{
    for (auto &it : candidates) {
        it.usable = it.usable && !it.avoided;
    }
    return candidates;
}

} // namespace

auto isSuitable(const WorkerInfo &worker, const Unit &unit) -> bool
{
    const auto &label = unit.step->requiredLabel;
    return worker.service == unit.job->policy.service
        && (label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end());
}

auto startObstacle(const Worker &worker, const Unit &unit) -> std::optional<StartObstacle>
{
    if (!worker.listed || !worker.entryIsCurrent()) {
        return StartObstacle::Life;
    }
    if (worker.info.draining) {
        return StartObstacle::Draining;
    }
    if (worker.evacuated) {
        return StartObstacle::Evacuated;
    }
    if (worker.info.service != unit.job->policy.service) {
        return StartObstacle::Service;
    }
    return isSuitable(worker.info, unit) ? std::nullopt : std::optional(StartObstacle::Label);
}

/// One round of placement over the whole pool.
class PlacementRound
{
public:
    PlacementRound(Dispatcher::State &state, std::set<const Job *> guaranteed, TimePoint now)
        : m_state(state)
        , m_guaranteed(std::move(guaranteed))
        , m_now(now)
        , m_slowZones(state.slowZones())
    {
        for (auto &[name, worker] : state.workers) {
            worker->candidateIndex = worker->schedulable() ? m_workers.size() : invalidIndex;
            if (worker->schedulable()) {
                m_workers.push_back(worker.get());
            }
        }
        m_reservedFor.resize(m_workers.size(), unreserved);
        m_exclusions.resize(m_workers.size(), Exclusion::None);
        for (const auto *it : m_workers) {
            auto &bounds = m_capacityBounds[it->info.service];
            const auto free = it->free() - it->reservedCapacity;
            bounds.maxFree.milliCores = std::max(bounds.maxFree.milliCores, free.milliCores);
            bounds.maxFree.memoryMiB = std::max(bounds.maxFree.memoryMiB, free.memoryMiB);
            bounds.maxFree.accelerators = std::max(bounds.maxFree.accelerators, free.accelerators);
            bounds.freeAcceleratorsByRack[it->rack] += std::max<std::int64_t>(free.accelerators, 0);
            auto &load = m_loads[it->info.service];
            load.used += it->used;
            load.capacity += it->info.capacity;
        }
    }

    /// Returns false when no worker has capacity for a task of \a unit, or no rack for all of a request \a inOneRack. This bounds the cost
    /// of a backlog in which hardly any unit can be placed. Relies on capacity only shrinking during a round.
    [[nodiscard]] auto mayFit(const Unit &unit, bool inOneRack) const -> bool
    {
        const auto found = m_capacityBounds.find(unit.job->policy.service);
        if (found == m_capacityBounds.end() || !found->second.maxFree.covers(unit.demand())) {
            return false;
        }
        const auto needed = unit.demand().accelerators * unit.taskCount();
        const auto &racks = found->second.freeAcceleratorsByRack;
        return !inOneRack || std::any_of(racks.begin(), racks.end(), [&](const auto &it) { return it.second >= needed; });
    }

    /// Returns what the placement of \a unit depends on at present.
    [[nodiscard]] auto constraintsOf(const Unit &unit) const -> PlacementConstraints
    {
        const auto &step = *unit.step;
        PlacementConstraints out;
        out.requirements = requirementsOf(unit);
        // On other racks the tasks take several times as long, so waiting for up to one estimated run time is cheaper.
        if (m_now < unit.readySince + step.estimate) {
            out.onlyRack = step.dataRack;
        }
        out.priority = unit.job->policy.priority;
        out.shortOfTime = isShortOfTime(unit, m_now);
        // A worker on which runs just failed or made no progress would otherwise get the same unit repeatedly, as its capacity is the first
        // to become free.
        out.mayUseAvoided = hasWaitedLong(unit) && (out.priority != 0 || !m_state.settings.preempt);
        // The reservations follow the usage of late, which may be far above the present one.
        out.ignoresReservations = hasWaitedLong(unit) && isMostlyIdle(out.requirements.service);
        // Only reservations for work that is neither urgent nor of the unit's own priority depend on when the unit ends.
        if (out.priority > 1 && !out.ignoresReservations) {
            out.estimate = step.estimate;
        }
        if (step.maxPerWorker > 0 && !step.gang) {
            out.limitedStep = {unit.id.job, unit.id.occurrence, unit.id.step};
        }
        return out;
    }

    /// Returns the workers as candidates for \a unit under \a constraints, which are its own or without the limit of its step. Valid until
    /// the next call, or the next reservation.
    auto candidates(const Unit &unit, const PlacementConstraints &constraints) -> const std::vector<Candidate> &
    {
        // The tasks of a step have the same constraints and are next to each other in the queue, so the candidates are seldom rebuilt.
        if (m_candidatesFor != constraints) {
            m_candidates = makeCandidates(unit, constraints);
            m_candidatesFor = constraints;
        }
        return m_candidates;
    }

    /// Subtracts an assigned unit from the candidates; \a demand is that of each of its tasks.
    auto recordAssignment(const Assignment &assignment, const Demand &demand) -> void
    {
        for (const auto it : assignment) {
            m_candidates[it].free -= demand;
            m_loads[m_workers[it]->info.service].used += demand;
        }
        if (m_candidatesFor && m_candidatesFor->limitedStep) {
            // One of the workers may have reached the limit.
            invalidateCandidates();
        }
    }

    /// Called when capacity or workers have been reserved.
    auto invalidateCandidates() -> void
    {
        m_candidatesFor.reset();
    }

    /// Returns the units that may be preempted for \a unit as victims, and appends them to \a units in the same order.
    auto victims(const Unit &unit, bool guaranteed, std::vector<Unit *> &units) const -> std::vector<Victim>
    {
        std::vector<Victim> out;
        std::set<const Unit *> seen;
        for (const auto *w : m_workers) {
            for (auto *other : w->units) {
                const auto loss = preemptionLoss(unit, *other, guaranteed);
                if (!loss || !seen.insert(other).second) {
                    continue;
                }
                Victim victim{*loss, {}};
                for (const auto &it : other->members) {
                    if (it.phase != MemberPhase::Ended && it.worker->candidateIndex != invalidIndex) {
                        victim.parts.push_back({it.worker->candidateIndex, other->demand()});
                    }
                }
                out.push_back(std::move(victim));
                units.push_back(other);
            }
        }
        return out;
    }

    /// Returns whether less than half of a service's capacity is in use.
    [[nodiscard]] auto isMostlyIdle(const ServiceName &service) const -> bool
    {
        const auto found = m_loads.find(service);
        if (found == m_loads.end()) {
            return true;
        }
        const auto &[used, capacity] = found->second;
        return capacity.covers({2 * used.milliCores, 2 * used.memoryMiB, 2 * used.accelerators});
    }

    /// Returns whether a unit has waited for so long that it may use avoided workers and, in a fleet that is mostly idle, several racks and
    /// workers that are kept for more urgent work.
    [[nodiscard]] auto hasWaitedLong(const Unit &unit) const -> bool
    {
        return m_now >= unit.waitingSince + m_state.settings.useAvoidedAfter;
    }

    /// Reserves workers for the usage of each priority, rack by rack and always the same ones as far as possible. Urgent units get the fast
    /// workers and zones, and the others the opposite end, so that neither moves when the usage of the other changes, and the single tasks
    /// of the least urgent work do not stand on every rack. Work of a priority that does not wait may be displaced by less urgent work.
    auto reserveForPriorities() -> void
    {
        std::vector<std::size_t> order(m_workers.size());
        std::iota(order.begin(), order.end(), 0);
        const auto key = [&](std::size_t i) {
            const auto &worker = *m_workers[i];
            return std::tuple(worker.slowness, m_slowZones.contains(worker.info.zone), worker.rack);
        };
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
        for (const auto &[group, usage] : m_state.usage) {
            const auto &[service, priority] = group;
            const bool urgent = priority == 0;
            const auto amount = urgent ? usage.average * m_state.settings.urgentReserveFactor : std::max(usage.average, usage.present);
            if (urgent) {
                reserve(order.begin(), order.end(), service, priority, Exclusion::Always, amount);
                const auto isFast = [this](std::size_t i) { return m_workers[i]->slowness < m_state.typicalSlowness; };
                const auto more = usage.average * (m_state.settings.urgentFastReserveFactor - m_state.settings.urgentReserveFactor);
                reserve(order.begin(), std::find_if_not(order.begin(), order.end(), isFast), service, priority,
                        Exclusion::UnlessShortOfTime, more);
            } else {
                reserve(order.rbegin(), order.rend(), service, priority, usage.waiting ? Exclusion::Always : Exclusion::None, amount);
            }
        }
    }

    /// Reserves workers for a gang, so that less urgent units of this round cannot use them; returns whether there are enough.
    auto reserveForGang(const Unit &unit, const PlacementConstraints &constraints) -> bool
    {
        const auto &pool = candidates(unit, constraints);
        std::vector<Demand> capacities;
        capacities.reserve(pool.size());
        for (std::size_t i = 0; i < pool.size(); ++i) {
            capacities.push_back(m_workers[i]->info.capacity);
        }
        const auto assignment = chooseReservedWorkers(pool, capacities, m_state.requestFor(unit));
        if (!assignment) {
            return false;
        }
        const auto priority = unit.job->policy.priority;
        for (const auto i : *assignment) {
            m_reservedFor[i] = std::min(m_reservedFor[i], priority);
            m_exclusions[i] = Exclusion::Always;
        }
        invalidateCandidates();
        return true;
    }

    [[nodiscard]] auto workersAt(const Assignment &assignment) const -> std::vector<std::shared_ptr<Worker>>
    {
        std::vector<std::shared_ptr<Worker>> out;
        for (const auto it : assignment) {
            out.push_back(m_workers[it]->shared_from_this());
        }
        return out;
    }

private:
    /// Which less urgent work must not be placed on a reserved worker; for the rest, other workers are preferred.
    enum class Exclusion : std::uint8_t {
        None,
        /// Work that has time to spare.
        UnlessShortOfTime,
        Always,
    };

    /// Reserves workers of a service that are not reserved yet, in the order of the iterators, until they have \a accelerators in total.
    template<typename Iterator>
    auto reserve(Iterator begin, Iterator end, const ServiceName &service, std::uint32_t priority, Exclusion exclusion, double accelerators)
        -> void
    {
        for (auto it = begin; it != end && accelerators > 0; ++it) {
            const auto &worker = *m_workers[*it];
            if (worker.info.service == service && m_reservedFor[*it] == unreserved && m_now >= worker.avoidUntil) {
                m_reservedFor[*it] = priority;
                m_exclusions[*it] = exclusion;
                accelerators -= static_cast<double>(worker.info.capacity.accelerators);
            }
        }
    }

    static auto excludes(Exclusion exclusion, bool shortOfTime) -> bool
    {
        return exclusion == Exclusion::Always || (exclusion == Exclusion::UnlessShortOfTime && !shortOfTime);
    }

    auto makeCandidates(const Unit &unit, const PlacementConstraints &constraints) const -> std::vector<Candidate>
    {
        std::vector<Candidate> out(m_workers.size());
        const auto stepTasks = constraints.limitedStep ? tasksPerWorker(unit) : std::map<const Worker *, std::uint32_t>();
        const auto priority = constraints.priority;
        const bool urgent = priority == 0;
        const bool hasReservation = m_state.usage.contains({constraints.requirements.service, priority});
        for (std::size_t i = 0; i < out.size(); ++i) {
            const auto &w = *m_workers[i];
            const bool nearData = constraints.onlyRack.empty() || w.info.rack == constraints.onlyRack;
            const auto count = stepTasks.find(&w);
            const bool crowded = count != stepTasks.end() && count->second >= constraints.requirements.maxPerWorker;
            const bool forMoreUrgent = m_reservedFor[i] < priority;
            const bool blocked = !constraints.ignoresReservations && forMoreUrgent && excludes(m_exclusions[i], constraints.shortOfTime)
                && (m_reservedFor[i] == 0 || !endsBeforeDrained(constraints.estimate, w));
            const bool allowed = isSuitable(w.info, unit) && nearData && !crowded && !blocked;
            const bool elsewhere = forMoreUrgent || (hasReservation && m_reservedFor[i] != priority);
            out[i] = {w.rack,
                      w.free() - w.reservedCapacity,
                      m_now < w.avoidUntil,
                      w.slowness + (urgent && m_slowZones.contains(w.info.zone) ? 1U : 0U),
                      elsewhere,
                      allowed,
                      m_now < w.coldUntil};
        }
        return out;
    }

    /// Returns whether a unit with this estimate ends before a worker runs nothing else, so that it does not delay the unit that waits for
    /// it.
    auto endsBeforeDrained(Duration estimate, const Worker &worker) const -> bool
    {
        if (m_drainTimes.empty()) {
            m_drainTimes = drainTimes();
        }
        return estimate <= m_drainTimes[worker.candidateIndex];
    }

    /// Returns for each worker the time until all that it runs now is expected to have ended.
    auto drainTimes() const -> std::vector<Duration>
    {
        std::vector<Duration> out(m_workers.size());
        for (const auto *w : m_workers) {
            for (auto *other : w->units) {
                // A gang has members on several workers.
                if (std::exchange(other->drainRound, m_state.placementRounds) == m_state.placementRounds) {
                    continue;
                }
                for (const auto &it : other->members) {
                    if (it.phase != MemberPhase::Ended && it.worker->candidateIndex != invalidIndex) {
                        auto &time = out[it.worker->candidateIndex];
                        time = std::max(time, remainingTime(*other, it, m_now));
                    }
                }
            }
        }
        return out;
    }

    auto preemptionLoss(const Unit &unit, const Unit &other, bool guaranteed) const -> std::optional<double>
    {
        if (other.stage == UnitStage::Done || other.ending) {
            return 0.0;
        }
        const auto priority = other.job->policy.priority;
        const bool reclaimable =
            guaranteed && !m_guaranteed.contains(other.job) && other.job->spec.organisation != unit.job->spec.organisation;
        if (other.job == unit.job || other.stage != UnitStage::Active || (priority == 0 && !reclaimable)) {
            return std::nullopt;
        }
        const auto factor = priority == 1 ? normalLossFactor : 1.0;
        const auto loss = factor * (lostWork(other, m_now) + other.cores() * seconds(m_state.settings.preemptionCost));
        // Urgent work that is stopped will be late, no matter how little of it has been done.
        return priority == 0 ? loss + urgentLossFactor * other.cores() * seconds(other.step->estimate) : loss;
    }

    /// Returns the number of tasks of the unit's step, in its occurrence, on each worker.
    auto tasksPerWorker(const Unit &unit) const -> std::map<const Worker *, std::uint32_t>
    {
        std::map<const Worker *, std::uint32_t> out;
        const UnitId first{unit.id.job, unit.id.occurrence, unit.id.step, 0};
        for (auto it = unit.job->units.lower_bound(first); it != unit.job->units.end(); ++it) {
            if (it->first.occurrence != unit.id.occurrence || it->first.step != unit.id.step) {
                break;
            }
            for (const auto &m : it->second->members) {
                out[m.worker.get()] += m.phase != MemberPhase::Ended ? 1 : 0;
            }
            for (const auto &w : it->second->reservedWorkers) {
                ++out[w.get()];
            }
        }
        return out;
    }

    /// Upper bounds of the available capacity on the workers of a service, as of the start of the round.
    struct CapacityBounds
    {
        /// Largest available amount of each resource on any worker.
        Demand maxFree;
        std::map<std::size_t, std::int64_t> freeAcceleratorsByRack;
    };

    /// What the runs on the workers of a service use; includes what this round has placed.
    struct Load
    {
        Demand used;
        Demand capacity;
    };

    Dispatcher::State &m_state;
    std::map<ServiceName, CapacityBounds> m_capacityBounds;
    std::map<ServiceName, Load> m_loads;
    std::vector<Candidate> m_candidates;
    /// The constraints that the candidates are for.
    std::optional<PlacementConstraints> m_candidatesFor;
    std::set<const Job *> m_guaranteed;
    TimePoint m_now;
    std::set<ZoneName> m_slowZones;
    std::vector<Worker *> m_workers;
    /// The priority that each worker is reserved for.
    std::vector<std::uint32_t> m_reservedFor;
    std::vector<Exclusion> m_exclusions;
    /// Computed when first needed.
    mutable std::vector<Duration> m_drainTimes;
};

namespace {

/// Returns the urgent jobs that are covered by guarantees: all of an organisation when together they fit its guarantee, otherwise none.
auto guaranteedJobs(const Dispatcher::State &state) -> std::set<const Job *>
{
    std::map<OrganisationName, std::int64_t> needs;
    std::vector<const Job *> urgent;
    for (const auto &[id, job] : state.jobs) {
        if (job->ended || job->cancelled || job->policy.priority != 0) {
            continue;
        }
        urgent.push_back(job.get());
        for (const auto &step : job->spec.steps) {
            needs[job->spec.organisation] += step.taskDemand.accelerators * step.count;
        }
    }
    std::set<const Job *> out;
    for (const auto *job : urgent) {
        const auto &name = job->spec.organisation;
        if (state.configuration && needs[name] <= state.configuration->guaranteed(name)) {
            out.insert(job);
        }
    }
    return out;
}

} // namespace

auto cannotFinishInTime(const Unit &unit, TimePoint now) -> bool
{
    const auto &job = *unit.job;
    return job.spec.occurrences == 0 && now + unit.step->estimate > job.acceptedAt + valuelessAfterObjectives * job.objective;
}

/// Returns where a unit could be placed if nothing else ran. A worker that is listed and does not answer counts: it may be back soon.
auto Dispatcher::State::idleFit(const Unit &unit) -> IdleFit
{
    if (idleFits.size() >= maxIdleFits) {
        idleFits.clear();
    }
    const auto [it, isNew] = idleFits.try_emplace(requirementsOf(unit), IdleFit::Nowhere);
    if (isNew) {
        it->second = computeIdleFit(unit);
    }
    return it->second;
}

auto Dispatcher::State::computeIdleFit(const Unit &unit) const -> IdleFit
{
    std::vector<Candidate> candidates;
    for (const auto &[name, worker] : workers) {
        const auto &info = worker->info;
        if (worker->listed && !info.draining && !worker->evacuated && isSuitable(info, unit)) {
            candidates.push_back({worker->rack, info.capacity});
        }
    }
    auto request = unit.request();
    if (place(candidates, request)) {
        return IdleFit::AsAsked;
    }
    const bool needsOneRack = std::exchange(request.sameRack, false);
    return needsOneRack && place(candidates, request) ? IdleFit::SeveralRacks : IdleFit::Nowhere;
}

/// Returns the request for a unit. A gang that no rack is large enough for is not kept waiting for one: it runs on several, if more slowly.
auto Dispatcher::State::requestFor(const Unit &unit) -> PlacementRequest
{
    auto request = unit.request();
    request.sameRack = request.sameRack && idleFit(unit) != IdleFit::SeveralRacks;
    return request;
}

auto Dispatcher::State::updateUsage(TimePoint now) -> void
{
    if (now < usageUpdatedAt + settings.usageInterval) {
        return;
    }
    std::map<ServiceName, std::uint32_t> leastUrgent;
    for (const auto &[id, job] : jobs) {
        auto &priority = leastUrgent[job->policy.service];
        priority = std::max(priority, job->policy.priority);
    }
    for (auto &[group, it] : usage) {
        it.present = 0;
        it.waiting = false;
    }
    for (const auto &[id, job] : jobs) {
        const auto priority = job->policy.priority;
        if (job->ended || (priority != 0 && priority == leastUrgent[job->policy.service])) {
            continue;
        }
        auto &group = usage[{job->policy.service, priority}];
        for (const auto &[key, unit] : job->units) {
            const auto accelerators = static_cast<double>(unit->step->taskDemand.accelerators);
            // Work that can never be placed must not keep workers free.
            const bool waits = unit->stage == UnitStage::Waiting && !job->cancelled && !job->failed
                && (priority == 0 || !cannotFinishInTime(*unit, now)) && idleFit(*unit) != IdleFit::Nowhere;
            if (waits || unit->stage == UnitStage::Reserved) {
                group.present += accelerators * unit->taskCount();
            }
            // Members on workers that are gone use none of the capacity that is left.
            group.present +=
                accelerators * static_cast<double>(std::count_if(unit->members.begin(), unit->members.end(), [](const Member &m) {
                    return m.phase != MemberPhase::Ended && m.worker->schedulable();
                }));
            group.waiting = group.waiting || waits;
        }
    }
    const auto weight = std::min(seconds(now - usageUpdatedAt) / seconds(settings.usageWindow), 1.0);
    for (auto it = usage.begin(); it != usage.end();) {
        auto &group = it->second;
        group.average += (group.present - group.average) * weight;
        const bool unused =
            group.present <= 0 && (group.average < 1 || (it->first.second != 0 && it->first.second >= leastUrgent[it->first.first]));
        it = unused ? usage.erase(it) : std::next(it);
    }
    usageUpdatedAt = now;
}

auto Dispatcher::State::assign(Unit &unit, const std::vector<std::shared_ptr<Worker>> &assignedWorkers, PlacementPath path, TimePoint now)
    -> void
{
    setStage(unit, UnitStage::Active);
    placementBudget -= static_cast<std::int64_t>(assignedWorkers.size() * startCommandBytes(unit.job->spec.payload.size()));
    unit.record.phase = UnitPhase::Assigned;
    ++unit.record.run;
    unit.progressId = 0;
    unit.record.workers.clear();
    unit.members.assign(assignedWorkers.size(), Member{});
    unit.ending = false;
    dirtyUnits.insert(&unit);
    unit.recordingAssignment = true;
    unit.runStartedAt = now;
    std::string names;
    for (std::size_t i = 0; i < assignedWorkers.size(); ++i) {
        unit.members[i].worker = assignedWorkers[i];
        unit.members[i].phase = MemberPhase::Planned;
        allocate(unit, unit.members[i]);
        unit.record.workers.push_back(assignedWorkers[i]->info.name);
        names += (i > 0 ? "," : "") + assignedWorkers[i]->info.name.str();
    }
    const auto waited = now - unit.waitingSince;
    const auto priority = unit.job->policy.priority;
    ++placements.at(static_cast<std::size_t>(path));
    if (!unit.step->gang) {
        auto &placed = placedTasks[{unit.id.job, unit.id.occurrence, unit.id.step, path}];
        if (placed.count == 0) {
            placed.requiredLabel = unit.step->requiredLabel;
        }
        placed.firstIndex = placed.count == 0 ? unit.id.index : std::min(placed.firstIndex, unit.id.index);
        placed.lastIndex = std::max(placed.lastIndex, unit.id.index);
        placed.longestWait = std::max(placed.longestWait, waited);
        placed.priority = priority;
        ++placed.count;
        observe({"unit-placed", unit.id.job, {}, waited, priority, false, path});
        return;
    }
    const auto waitedMs = toMilliseconds(waited);
    observe({"unit-placed", unit.id.job,
             "step=" + std::to_string(unit.id.step) + " index=" + std::to_string(unit.id.index) + " run=" + std::to_string(unit.record.run)
                 + " priority=" + std::to_string(priority) + " waited_ms=" + std::to_string(waitedMs.count())
                 + startFields(path, unit.step->requiredLabel) + " workers=" + names,
             waited, priority, true, path});
}

auto Dispatcher::State::cancelReservation(Unit &unit) -> void
{
    if (unit.stage != UnitStage::Reserved) {
        return;
    }
    for (const auto &it : unit.reservedWorkers) {
        it->reservedCapacity -= unit.demand();
    }
    unit.reservedWorkers.clear();
    setStage(unit, UnitStage::Waiting);
}

auto Dispatcher::State::placeReserved(TimePoint now) -> void
{
    // Iterates over a copy, as cancelling a reservation or assigning the unit removes it from the set.
    const std::vector<Unit *> reserved(reservedUnits.begin(), reservedUnits.end());
    for (auto *unit : reserved) {
        std::map<Worker *, Demand> needs;
        for (const auto &it : unit->reservedWorkers) {
            needs[it.get()] += unit->demand();
        }
        const bool usable = std::all_of(needs.begin(), needs.end(),
                                        [&](const auto &n) { return n.first->schedulable() && !startObstacle(*n.first, *unit); });
        const bool fits = std::all_of(needs.begin(), needs.end(), [](const auto &n) { return n.first->free().covers(n.second); });
        const auto reservedWorkers = unit->reservedWorkers;
        if (!usable || fits || now > unit->reservedAt + settings.reservationTimeout) {
            cancelReservation(*unit);
        }
        if (usable && fits) {
            assign(*unit, reservedWorkers, PlacementPath::Reserved, now);
        }
    }
}

auto Dispatcher::State::schedule(TimePoint now) -> void
{
    struct Waiting
    {
        Unit *unit;
        QueuePosition position;
    };
    updateUsage(now);
    if (waitingUnits.empty()) {
        return;
    }
    const auto guaranteed = guaranteedJobs(*this);
    ++placementRounds;
    PlacementRound round(*this, guaranteed, now);
    std::vector<Waiting> queue;
    for (auto *unit : waitingUnits) {
        const auto &job = *unit->job;
        if (!job.cancelled && !job.failed) {
            queue.push_back(
                {unit,
                 {guaranteed.contains(&job), cannotFinishInTime(*unit, now), job.policy.priority, unit->readySince, isLate(*unit, now)}});
        }
    }
    std::stable_sort(queue.begin(), queue.end(),
                     [&](const Waiting &a, const Waiting &b) { return settings.queueOrder(a.position, b.position); });

    if (settings.reserveForPriorities) {
        round.reserveForPriorities();
    }
    FailedPlacements failed;
    std::size_t reservedGangs = 0;
    for (const auto &it : queue) {
        auto &unit = *it.unit;
        const bool urgent = it.position.priority == 0;
        if (!urgent && placementBudget <= 0) {
            continue;
        }
        const auto constraints = round.constraintsOf(unit);
        if (!urgent && settings.skipFailedPlacements && failed.covers(constraints)) {
            continue;
        }
        if (const auto assignment = findPlacement(round, unit, constraints)) {
            assign(unit, round.workersAt(*assignment), PlacementPath::Free, now);
            round.recordAssignment(*assignment, unit.demand());
            continue;
        }
        // Unless it is the tasks of its own step that keep the unit off the workers, this holds for the other steps as well.
        auto withoutLimit = constraints;
        withoutLimit.limitedStep.reset();
        const bool isHeldByLimit = constraints.limitedStep && findPlacement(round, unit, withoutLimit);
        failed.add(isHeldByLimit ? constraints : withoutLimit);
        const bool preempts = urgent && settings.preempt;
        if (!preempts && unit.step->gang && !it.position.cannotFinishInTime && reservedGangs < settings.maxReservedGangs) {
            reservedGangs += round.reserveForGang(unit, constraints) ? 1 : 0;
        }
        if (preempts && now >= unit.nextPreemption) {
            unit.nextPreemption = now + settings.preemptInterval;
            tryPreempt(round, unit, constraints, it.position.guaranteed, now);
        }
    }
}

/// Returns the workers for a unit by their free capacity, under \a constraints as in PlacementRound::candidates().
auto Dispatcher::State::findPlacement(PlacementRound &round, const Unit &unit, const PlacementConstraints &constraints)
    -> std::optional<Assignment>
{
    auto request = requestFor(unit);
    request.useAvoided = constraints.mayUseAvoided;
    request.speed = constraints.shortOfTime ? SpeedPreference::Fast : SpeedPreference::Slow;
    std::optional<Assignment> assignment;
    if (round.mayFit(unit, request.sameRack)) {
        assignment = place(round.candidates(unit, constraints), request);
    }
    if (!assignment && constraints.ignoresReservations && request.sameRack) {
        // A gang that is spread over racks takes longer, but otherwise it may wait forever for a rack with enough capacity while workers
        // are idle.
        auto anywhere = request;
        anywhere.sameRack = false;
        anywhere.useAvoided = true;
        assignment = place(round.candidates(unit, constraints), anywhere);
    }
    return assignment;
}

auto Dispatcher::State::tryPreempt(PlacementRound &round, Unit &unit, const PlacementConstraints &constraints, bool guaranteed,
                                   TimePoint now) -> void
{
    auto request = requestFor(unit);
    const auto &pool = round.candidates(unit, constraints);
    std::vector<Unit *> victimUnits;
    const auto victims = round.victims(unit, guaranteed, victimUnits);
    const auto gain = unit.cores() * seconds(unit.step->estimate);
    const auto maxLoss = guaranteed ? std::numeric_limits<double>::infinity() : gain * settings.maxPreemptionLossFactor;
    auto plan = planPreemption(withoutAvoided(pool), victims, request, maxLoss);
    if (!plan) {
        if (const auto assignment = place(pool, request)) {
            assign(unit, round.workersAt(*assignment), PlacementPath::Preempting, now);
            round.recordAssignment(*assignment, unit.demand());
            return;
        }
        plan = planPreemption(pool, victims, request, maxLoss);
    }
    if (!plan && guaranteed && request.sameRack) {
        // A guarantee is met even when no rack can be cleared.
        request.sameRack = false;
        plan = planPreemption(pool, victims, request, maxLoss);
    }
    if (!plan) {
        return;
    }
    setStage(unit, UnitStage::Reserved);
    unit.reservedAt = now;
    unit.reservedWorkers = round.workersAt(plan->assignment);
    for (const auto &w : unit.reservedWorkers) {
        w->reservedCapacity += unit.demand();
    }
    for (const auto v : plan->victims) {
        preemptions += victimUnits[v]->ending || victimUnits[v]->stage == UnitStage::Done ? 0 : 1;
        stopUnit(*victimUnits[v], "preempted-by-" + unit.id.job.str());
    }
    preemptedCoreSeconds += plan->loss;
    round.invalidateCandidates();
    emitEvent("room-reserved", unit.id.job,
              "victims=" + std::to_string(plan->victims.size()) + " lost_core_s=" + std::to_string(static_cast<std::int64_t>(plan->loss))
                  + " gained_core_s=" + std::to_string(static_cast<std::int64_t>(gain)));
}

auto Dispatcher::State::collectRecords(Decisions &out, TimePoint now) -> void
{
    if (batchInProgress) {
        return;
    }
    closeJobs(out);
    const bool recordsOthers = !out.records.empty() || !dirtyUnits.empty() || !workersWithUnrecordedEnds.empty();
    if (recordsOthers || now >= beginsRecordedBy) {
        dirtyUnits.merge(std::exchange(newlyBegunUnits, {}));
    }
    for (auto *unit : std::exchange(dirtyUnits, {})) {
        if (unit->job->ended) {
            continue;
        }
        out.records.push_back(unitRecord(unit->id, unit->step->gang, unit->record));
        if (unit->recordingAssignment) {
            batchAssignments.emplace_back(unit, unit->record.run);
        }
    }
    for (const auto &worker : std::exchange(workersWithUnrecordedEnds, {})) {
        worker->batchEnds = worker->seenEnds;
        if (out.records.empty()) {
            endsRecorded(*worker, now);
        } else {
            workersWithEndsInBatch.insert(worker);
        }
    }
    batchInProgress = !out.records.empty();
}

auto Dispatcher::takeFinalRecords() -> std::vector<KeyedRecord>
{
    auto &s = *m_state;
    Decisions out;
    s.closeJobs(out);
    s.dirtyUnits.merge(std::exchange(s.newlyBegunUnits, {}));
    for (const auto *unit : std::exchange(s.dirtyUnits, {})) {
        auto record = unit->record;
        if (unit->recordingAssignment) {
            record.phase = UnitPhase::Pending;
            record.workers.clear();
            --record.run;
        }
        if (!unit->job->ended && record.run > 0) {
            out.records.push_back(unitRecord(unit->id, unit->step->gang, record));
        }
    }
    return std::move(out.records);
}

auto Dispatcher::State::collectStops(Decisions &out, TimePoint now) -> void
{
    for (auto it = stoppingUnits.begin(); it != stoppingUnits.end();) {
        auto &unit = **it;
        bool stopping = false;
        for (std::uint32_t i = 0; i < unit.members.size(); ++i) {
            auto &member = unit.members[i];
            stopping = stopping || member.stopping;
            const bool sent =
                member.phase == MemberPhase::Unknown || member.phase == MemberPhase::Running || member.phase == MemberPhase::Restored;
            const bool due = member.stopSentAt == TimePoint{} || now > member.stopSentAt + settings.stopRetryDelay;
            // A worker that is unreachable gets its stops once it has answered a poll.
            if (member.stopping && sent && due && !member.worker->unreachableSince) {
                member.stopSentAt = now;
                out.stops.push_back({member.worker->info.name, unit.task(i), unit.record.run});
            }
        }
        it = stopping ? std::next(it) : stoppingUnits.erase(it);
    }
    out.stops.insert(out.stops.end(), orphanStops.begin(), orphanStops.end());
    orphanStops.clear();
}

auto Dispatcher::State::collectPolls(Decisions &out, TimePoint now) -> void
{
    for (auto &[name, worker] : workers) {
        auto &w = *worker;
        const bool known = w.lastAnsweredPoll && !w.unreachableSince;
        if (!w.pollOutstanding && now >= w.nextPoll) {
            w.pollOutstanding = true;
            const bool unrecorded = w.seenEnds > w.recordedEnds;
            // A worker that runs nothing has no end of a run to wait for.
            const bool idle = known && !unrecorded && w.units.empty() && w.orphanUsage == Demand{};
            w.idlePoll = idle;
            out.polls.push_back({name, w.recordedEnds, Duration::zero(),
                                 known && !unrecorded && !idle ? settings.pollWait : Duration::zero(), w.incarnation});
        }
        if (known && !w.renewalOutstanding && !w.units.empty() && now >= w.nextRenewal) {
            w.renewalOutstanding = true;
            out.polls.push_back({name, w.recordedEnds, settings.taskLease, Duration::zero(), w.incarnation});
        }
    }
}

/// A run begins about this much later than it is assigned: the record and the start command take as long.
constexpr Duration startDelay = 100ms;

/// Returns when the task lease of a worker is to be renewed, because of the lease or because of the report that comes with the response.
auto Dispatcher::State::renewalTime(const Worker &worker) const -> TimePoint
{
    const auto bounded = [&](Duration interval) {
        return std::min(std::chrono::duration_cast<Duration>(interval * intervalFactor()), settings.taskLease / 3);
    };
    auto due = std::min(worker.lastReport + bounded(settings.reportInterval), worker.leaseExtendedAt + bounded(settings.renewInterval));
    for (const auto *unit : worker.units) {
        const auto meaningful = unit->runStartedAt + minReportSpan(*unit) + startDelay;
        if (unit->isUrgent() && worker.lastReport < meaningful) {
            due = std::min(due, meaningful + bounded(settings.urgentReportDelay));
        }
    }
    return due;
}

/// Polls the idle workers in the rack of a worker that has become unreachable, since a rack or a zone often fails as a whole, and a start
/// on a worker that no longer responds delays its task for longer than a lease.
auto Dispatcher::State::pollRackOf(const Worker &lost, TimePoint now) -> void
{
    for (auto &[name, worker] : workers) {
        const bool recent = worker->lastReport + settings.rackPollInterval > now;
        if (worker->rack == lost.rack && worker->units.empty() && !worker->unreachableSince && !recent) {
            worker->nextPoll = std::min(worker->nextPoll, now);
        }
    }
}

/// Returns the factor by which the poll and renewal intervals of the settings are lengthened for the size of the fleet.
auto Dispatcher::State::intervalFactor() const -> double
{
    return std::max(static_cast<double>(workers.size()) / settings.commandsPerSecond, 1.0);
}

} // namespace Acaciarail::Workflow
