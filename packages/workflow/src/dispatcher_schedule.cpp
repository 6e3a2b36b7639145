#include "dispatcher_state.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace Acaciarail::Workflow {

namespace {

/// A job is of no use once this many times its objective has passed; stated by the users' accounting.
constexpr int lateFactor = 3;
/// Urgent work of another organisation is preempted only for a guarantee, and counts this many times its whole work.
constexpr double urgentLossFactor = 4.0;
/// Work of the middle priorities counts more than background work.
constexpr double normalLossFactor = 1.5;

constexpr Demand noRoom{-1, -1, -1};
/// Position of a worker that takes no part in a round.
constexpr auto nowhere = std::numeric_limits<std::size_t>::max();
/// What a worker is kept for that is kept for nothing.
constexpr auto nobody = std::numeric_limits<std::uint32_t>::max();

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

/// Returns the core-seconds that stopping a unit now throws away.
auto lostWork(const Unit &unit, TimePoint now) -> double
{
    double lost = 0;
    for (const auto &it : unit.members) {
        auto spent = it.phase == MemberPhase::Running ? now - it.startedAt : Duration::zero();
        if (unit.step->checkpoints && it.percent > 0) {
            spent = spent * (it.percent - std::min(it.percent, it.savedPercent)) / it.percent;
        }
        lost += seconds(spent) * weightedCores(unit.step->taskDemand);
    }
    return lost;
}

/// The requests that found no place in a round; an equal one is not tried again.
using Shape = std::tuple<std::uint32_t, std::int64_t, std::int64_t, std::int64_t, bool, std::string, RackName, std::uint32_t>;

auto shapeOf(const Unit &unit) -> Shape
{
    const auto demand = unit.demand();
    const auto &step = *unit.step;
    return {unit.tasks(),  demand.milliCores,  demand.memoryMiB, demand.accelerators,
            step.sameRack, step.requiredLabel, step.dataRack,    step.maxPerWorker};
}

auto withoutAvoided(std::vector<Candidate> candidates) -> std::vector<Candidate>
{
    for (auto &it : candidates) {
        it.free = it.avoided ? noRoom : it.free;
    }
    return candidates;
}

} // namespace

/// One round of placement over the whole pool.
class Round
{
public:
    Round(Dispatcher::State &state, std::set<const Job *> guaranteed, TimePoint now)
        : m_state(state)
        , m_guaranteed(std::move(guaranteed))
        , m_now(now)
        , m_slowZones(state.slowZones())
    {
        for (auto &[name, worker] : state.workers) {
            worker->position = worker->usable() ? m_workers.size() : nowhere;
            if (worker->usable()) {
                m_workers.push_back(worker.get());
            }
        }
        m_held.resize(m_workers.size(), nobody);
        for (const auto *it : m_workers) {
            auto &room = m_room[it->info.service];
            const auto free = it->free() - it->pledged;
            room.most.milliCores = std::max(room.most.milliCores, free.milliCores);
            room.most.memoryMiB = std::max(room.most.memoryMiB, free.memoryMiB);
            room.most.accelerators = std::max(room.most.accelerators, free.accelerators);
            room.acceleratorsOfRack[it->rack] += std::max<std::int64_t>(free.accelerators, 0);
        }
    }

    /// Returns false when no worker has room for a task of \a unit, or no rack for all of them; answers the backlog in which nearly every
    /// unit waits in vain. Room only shrinks during a round.
    [[nodiscard]] auto mayFit(const Unit &unit) const -> bool
    {
        const auto found = m_room.find(unit.job->policy.service);
        if (found == m_room.end() || !found->second.most.covers(unit.demand())) {
            return false;
        }
        const auto needed = unit.demand().accelerators * unit.tasks();
        const auto &racks = found->second.acceleratorsOfRack;
        return !unit.step->sameRack || std::any_of(racks.begin(), racks.end(), [&](const auto &it) { return it.second >= needed; });
    }

    /// Returns the workers as candidates for \a unit. Valid until the next call, or the next change of what workers are kept for.
    auto candidates(const Unit &unit) -> const std::vector<Candidate> &
    {
        // The tasks of a step are alike, and come one after the other.
        const PoolKey key{shapeOf(unit), unit.job->policy.priority, unit.job->policy.service,
                          m_now < unit.readySince + unit.step->estimate};
        if (unit.step->maxPerWorker > 0 || m_poolKey != key) {
            m_pool = makeCandidates(unit);
            m_poolKey = key;
        }
        return m_pool;
    }

    /// A unit was assigned to these seats; \a demand is that of each of its tasks.
    auto assigned(const Assignment &seats, const Demand &demand) -> void
    {
        for (const auto it : seats) {
            m_pool[it].free -= demand;
        }
    }

    /// Room was reserved, or workers are kept for other units.
    auto poolChanged() -> void
    {
        m_poolKey.reset();
    }

    /// Returns the units that \a unit may take room from.
    auto victims(const Unit &unit, bool guaranteed, std::vector<Unit *> &units) const -> std::vector<Victim>
    {
        std::vector<Victim> out;
        std::set<const Unit *> seen;
        for (const auto *w : m_workers) {
            for (auto *other : w->units) {
                const auto loss = lossOf(unit, *other, guaranteed);
                if (!loss || !seen.insert(other).second) {
                    continue;
                }
                Victim victim{*loss, {}};
                for (const auto &it : other->members) {
                    if (it.phase != MemberPhase::Gone && it.worker->position != nowhere) {
                        victim.parts.push_back({it.worker->position, other->demand()});
                    }
                }
                out.push_back(std::move(victim));
                units.push_back(other);
            }
        }
        return out;
    }

    /// Returns whether less than half of a service's capacity is in use.
    [[nodiscard]] auto idle(const ServiceName &service) const -> bool
    {
        Demand used;
        Demand capacity;
        for (const auto *w : m_workers) {
            if (w->info.service == service) {
                used += w->used;
                capacity += w->info.capacity;
            }
        }
        return capacity.covers({2 * used.milliCores, 2 * used.memoryMiB, 2 * used.accelerators});
    }

    /// Keeps workers with that many accelerators from all but urgent units: always the same ones, rack by rack, in quick zones first.
    auto keepForUrgent(double accelerators) -> void
    {
        std::vector<std::size_t> order(m_workers.size());
        std::iota(order.begin(), order.end(), 0);
        const auto key = [&](std::size_t i) { return std::pair(m_slowZones.contains(m_workers[i]->info.zone), m_workers[i]->rack); };
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
        for (const auto i : order) {
            if (accelerators <= 0) {
                return;
            }
            if (m_now >= m_workers[i]->avoidUntil) {
                m_held[i] = 0;
                accelerators -= static_cast<double>(m_workers[i]->info.capacity.accelerators);
            }
        }
    }

    /// Keeps workers for a gang from less urgent units of this round; returns whether there are any.
    auto hold(const Unit &unit) -> bool
    {
        const auto &pool = candidates(unit);
        std::vector<Demand> capacities;
        capacities.reserve(pool.size());
        for (std::size_t i = 0; i < pool.size(); ++i) {
            capacities.push_back(pool[i].free == noRoom ? noRoom : m_workers[i]->info.capacity);
        }
        const auto seats = chooseReservedWorkers(pool, capacities, unit.request());
        if (!seats) {
            return false;
        }
        const auto priority = unit.job->policy.priority;
        for (const auto i : *seats) {
            m_held[i] = std::min(m_held[i], priority);
        }
        poolChanged();
        return true;
    }

    [[nodiscard]] auto workersAt(const Assignment &seats) const -> std::vector<Worker *>
    {
        std::vector<Worker *> out;
        for (const auto it : seats) {
            out.push_back(m_workers[it]);
        }
        return out;
    }

private:
    /// What units have in common for which the candidates are the same.
    using PoolKey = std::tuple<Shape, std::uint32_t, ServiceName, bool>;

    auto makeCandidates(const Unit &unit) const -> std::vector<Candidate>
    {
        std::vector<Candidate> out(m_workers.size());
        // Elsewhere the tasks take several times as long, so it pays to wait for a run's length.
        const bool dataRackOnly = m_now < unit.readySince + unit.step->estimate;
        const auto sameStep = tasksOfStep(unit);
        const auto priority = unit.job->policy.priority;
        const bool urgent = priority == 0;
        for (std::size_t i = 0; i < out.size(); ++i) {
            const auto &w = *m_workers[i];
            const auto &step = *unit.step;
            const auto &labels = w.info.labels;
            const bool labelled = step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
            const bool nearData = !dataRackOnly || step.dataRack.empty() || w.info.rack == step.dataRack;
            const auto count = sameStep.find(&w);
            const bool crowded = step.maxPerWorker > 0 && count != sameStep.end() && count->second >= step.maxPerWorker;
            const bool kept = m_held[i] < priority;
            const bool allowed = w.info.service == unit.job->policy.service && labelled && nearData && !crowded && !kept;
            out[i] = {w.rack, allowed ? w.free() - w.pledged : noRoom, m_now < w.avoidUntil, urgent && m_slowZones.contains(w.info.zone),
                      urgent && m_held[i] == nobody};
        }
        return out;
    }

    auto lossOf(const Unit &unit, const Unit &other, bool guaranteed) const -> std::optional<double>
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
        // Urgent work that is stopped will be late, however little it has done.
        return priority == 0 ? loss + urgentLossFactor * other.cores() * seconds(other.step->estimate) : loss;
    }

    auto tasksOfStep(const Unit &unit) const -> std::map<const Worker *, std::uint32_t>
    {
        std::map<const Worker *, std::uint32_t> out;
        if (unit.step->maxPerWorker == 0 || unit.step->gang) {
            return out;
        }
        const UnitId first{unit.id.job, unit.id.occurrence, unit.id.step, 0};
        for (auto it = unit.job->units.lower_bound(first); it != unit.job->units.end(); ++it) {
            if (it->first.occurrence != unit.id.occurrence || it->first.step != unit.id.step) {
                break;
            }
            for (const auto &m : it->second->members) {
                out[m.worker] += m.phase != MemberPhase::Gone ? 1 : 0;
            }
        }
        return out;
    }

    /// Bounds of the room on the workers of a service, as of the start of the round.
    struct Room
    {
        /// The most of each kind that a worker has.
        Demand most;
        std::map<std::size_t, std::int64_t> acceleratorsOfRack;
    };

    Dispatcher::State &m_state;
    std::map<ServiceName, Room> m_room;
    std::vector<Candidate> m_pool;
    std::optional<PoolKey> m_poolKey;
    std::set<const Job *> m_guaranteed;
    TimePoint m_now;
    std::set<ZoneName> m_slowZones;
    std::vector<Worker *> m_workers;
    /// The priority of the gang that each worker is kept for.
    std::vector<std::uint32_t> m_held;
};

namespace {

/// Returns the urgent jobs that their organisations' guarantees cover: all of an organisation's, when together they need no more.
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

auto isHopeless(const Unit &unit, TimePoint now) -> bool
{
    const auto &policy = unit.job->policy;
    Duration chain{};
    for (const auto &it : unit.job->spec.steps) {
        chain += it.estimate;
    }
    const auto objective = std::chrono::duration_cast<Duration>(chain * policy.stretch) + policy.targetLatency;
    const auto finish = now + unit.step->estimate;
    return unit.job->spec.occurrences == 0 && finish > unit.job->acceptedAt + lateFactor * objective;
}

} // namespace

auto Dispatcher::State::noteUrgentUse(TimePoint now) -> void
{
    double use = 0;
    for (const auto &[id, job] : jobs) {
        if (job->ended || job->policy.priority != 0) {
            continue;
        }
        for (const auto &[key, unit] : job->units) {
            const bool counts = unit->stage == UnitStage::Active || unit->stage == UnitStage::Reserved || unit->stage == UnitStage::Waiting;
            use += counts ? static_cast<double>(unit->step->taskDemand.accelerators * unit->tasks()) : 0;
        }
    }
    const auto span = std::min(seconds(now - urgentUseAt) / seconds(settings.urgentUsageWindow), 1.0);
    urgentUse += (use - urgentUse) * span;
    urgentUseAt = now;
}

auto Dispatcher::State::assign(Unit &unit, const std::vector<Worker *> &seats, TimePoint now) -> void
{
    setStage(unit, UnitStage::Active);
    unit.record.phase = UnitPhase::Assigned;
    ++unit.record.run;
    unit.record.workers.clear();
    unit.members.assign(seats.size(), Member{});
    unit.ending = false;
    dirtyUnits.insert(&unit);
    unit.storing = true;
    unit.runStartedAt = now;
    std::string names;
    for (std::size_t i = 0; i < seats.size(); ++i) {
        unit.members[i].worker = seats[i];
        unit.members[i].phase = MemberPhase::Planned;
        occupy(unit, unit.members[i]);
        unit.record.workers.push_back(seats[i]->info.name);
        names += (i > 0 ? "," : "") + seats[i]->info.name.str();
    }
    const auto waited = now - unit.waitingSince;
    const auto priority = unit.job->policy.priority;
    const auto waitedMs = toMilliseconds(waited);
    observe({"unit-placed", unit.id.job,
             "step=" + std::to_string(unit.id.step) + " index=" + std::to_string(unit.id.index) + " run=" + std::to_string(unit.record.run)
                 + " priority=" + std::to_string(priority) + " waited_ms=" + std::to_string(waitedMs.count()) + " workers=" + names,
             waited, priority});
}

auto Dispatcher::State::release(Unit &unit) -> void
{
    if (unit.stage != UnitStage::Reserved) {
        return;
    }
    for (auto *it : unit.reserved) {
        it->pledged -= unit.demand();
    }
    unit.reserved.clear();
    setStage(unit, UnitStage::Waiting);
}

auto Dispatcher::State::placeReserved(TimePoint now) -> void
{
    // Releasing or assigning a unit takes it out of the set.
    const std::vector<Unit *> reserved(reservedUnits.begin(), reservedUnits.end());
    for (auto *unit : reserved) {
        std::map<Worker *, Demand> needs;
        for (auto *it : unit->reserved) {
            needs[it] += unit->demand();
        }
        const bool usable = std::all_of(needs.begin(), needs.end(), [](const auto &n) { return n.first->usable(); });
        const bool room = std::all_of(needs.begin(), needs.end(), [](const auto &n) { return n.first->free().covers(n.second); });
        const auto seats = unit->reserved;
        if (!usable || room || now > unit->reservedAt + settings.reservationTimeout) {
            release(*unit);
        }
        if (usable && room) {
            assign(*unit, seats, now);
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
    noteUrgentUse(now);
    if (waitingUnits.empty()) {
        return;
    }
    const auto guaranteed = guaranteedJobs(*this);
    Round round(*this, guaranteed, now);
    std::vector<Waiting> queue;
    for (auto *unit : waitingUnits) {
        const auto &job = *unit->job;
        if (!job.cancelled && !job.failed) {
            queue.push_back({unit, {guaranteed.contains(&job), isHopeless(*unit, now), job.policy.priority, unit->readySince}});
        }
    }
    std::stable_sort(queue.begin(), queue.end(), [](const Waiting &a, const Waiting &b) { return precedes(a.position, b.position); });

    round.keepForUrgent(urgentUse * settings.urgentReserveFactor);
    std::set<Shape> failed;
    std::size_t held = 0;
    for (const auto &it : queue) {
        auto &unit = *it.unit;
        const bool urgent = it.position.priority == 0;
        if (!urgent && failed.contains(shapeOf(unit))) {
            continue;
        }
        if (tryPlace(round, unit, now)) {
            continue;
        }
        failed.insert(shapeOf(unit));
        if (!urgent && unit.step->gang && !it.position.cannotFinishInTime && held < settings.maxReservedGangs) {
            held += round.hold(unit) ? 1 : 0;
        }
        if (urgent && now >= unit.nextPreempt) {
            unit.nextPreempt = now + settings.preemptInterval;
            tryPreempt(round, unit, it.position.guaranteed, now);
        }
    }
}

auto Dispatcher::State::tryPlace(Round &round, Unit &unit, TimePoint now) -> bool
{
    auto request = unit.request();
    // A worker on which runs just failed or stood still would take the same unit again and again, as its room is the first to be free.
    request.useAvoided = unit.job->policy.priority != 0 && now >= unit.waitingSince + settings.useAvoidedAfter;
    std::optional<Assignment> seats;
    if (round.mayFit(unit)) {
        seats = place(round.candidates(unit), request);
    }
    if (!seats && request.useAvoided && request.sameRack && round.idle(unit.job->policy.service)) {
        // Spread, the gang takes longer; but no rack may ever have room for it, while workers stand idle.
        auto anywhere = request;
        anywhere.sameRack = false;
        seats = place(round.candidates(unit), anywhere);
    }
    if (seats) {
        assign(unit, round.workersAt(*seats), now);
        round.assigned(*seats, unit.demand());
    }
    return seats.has_value();
}

auto Dispatcher::State::tryPreempt(Round &round, Unit &unit, bool guaranteed, TimePoint now) -> void
{
    auto request = unit.request();
    const auto &pool = round.candidates(unit);
    std::vector<Unit *> others;
    const auto victims = round.victims(unit, guaranteed, others);
    const auto gain = unit.cores() * seconds(unit.step->estimate);
    const auto cap = guaranteed ? std::numeric_limits<double>::infinity() : gain * settings.maxPreemptionLossFactor;
    auto plan = planPreemption(withoutAvoided(pool), victims, request, cap);
    if (!plan) {
        if (const auto seats = place(pool, request)) {
            assign(unit, round.workersAt(*seats), now);
            round.assigned(*seats, unit.demand());
            return;
        }
        plan = planPreemption(pool, victims, request, cap);
    }
    if (!plan && guaranteed && request.sameRack) {
        // A guarantee is kept also where no rack can be cleared.
        request.sameRack = false;
        plan = planPreemption(pool, victims, request, cap);
    }
    if (!plan) {
        return;
    }
    setStage(unit, UnitStage::Reserved);
    unit.reservedAt = now;
    unit.reserved = round.workersAt(plan->assignment);
    for (auto *w : unit.reserved) {
        w->pledged += unit.demand();
    }
    for (const auto v : plan->victims) {
        preemptions += others[v]->ending || others[v]->stage == UnitStage::Done ? 0 : 1;
        beginEnding(*others[v], "preempted-by-" + unit.id.job.str());
    }
    preemptedCoreSeconds += plan->loss;
    round.poolChanged();
    event("room-reserved", unit.id.job,
          "victims=" + std::to_string(plan->victims.size()) + " lost_core_s=" + std::to_string(static_cast<std::int64_t>(plan->loss))
              + " gained_core_s=" + std::to_string(static_cast<std::int64_t>(gain)));
}

auto Dispatcher::State::collectRecords(Decisions &out, TimePoint now) -> void
{
    if (batchInProgress) {
        return;
    }
    closeJobs(out);
    for (auto *unit : std::exchange(dirtyUnits, {})) {
        if (unit->job->ended) {
            continue;
        }
        out.records.push_back(unitRecord(unit->id, unit->step->gang, unit->record));
        if (unit->storing) {
            batchAssignments.emplace_back(unit, unit->record.run);
        }
    }
    for (auto *worker : std::exchange(endedOn, {})) {
        worker->batchEnds = worker->seenEnds;
        if (out.records.empty()) {
            endsRecorded(*worker, now);
        } else {
            batchEndedOn.insert(worker);
        }
    }
    batchInProgress = !out.records.empty();
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
                member.phase == MemberPhase::Unsure || member.phase == MemberPhase::Running || member.phase == MemberPhase::Restored;
            const bool due = member.stopSentAt == TimePoint{} || now > member.stopSentAt + settings.stopRetryDelay;
            if (member.stopping && sent && due) {
                member.stopSentAt = now;
                out.stops.push_back({member.worker->info.name, unit.task(i), unit.record.run});
            }
        }
        it = stopping ? std::next(it) : stoppingUnits.erase(it);
    }
    out.stops.insert(out.stops.end(), strayStops.begin(), strayStops.end());
    strayStops.clear();
}

auto Dispatcher::State::collectLooks(Decisions &out, TimePoint now) -> void
{
    for (auto &[name, worker] : workers) {
        auto &w = *worker;
        const bool known = w.answeredAt && !w.failingSince;
        if (!w.lookOutstanding && now >= w.nextLook) {
            w.lookOutstanding = true;
            const bool unrecorded = w.seenEnds > w.recordedEnds;
            // A worker that runs nothing has no end to wait for.
            const bool idle = known && !unrecorded && w.units.empty() && w.strays == Demand{};
            w.idleLook = idle;
            out.polls.push_back(
                {name, w.recordedEnds, Duration::zero(), known && !unrecorded && !idle ? settings.pollWait : Duration::zero()});
        }
        if (known && !w.extensionOutstanding && !w.units.empty() && now >= w.nextExtension) {
            w.extensionOutstanding = true;
            out.polls.push_back({name, w.recordedEnds, settings.lease, Duration::zero()});
        }
    }
}

auto Dispatcher::State::extensionPace(const Worker &worker, TimePoint now) const -> Duration
{
    const bool urgent = std::any_of(worker.units.begin(), worker.units.end(), [&](const Unit *u) {
        return u->job->policy.priority == 0 && now < u->runStartedAt + settings.urgentRenewPeriod;
    });
    const auto pace = urgent ? settings.urgentRenewInterval : settings.renewInterval;
    return std::min(std::chrono::duration_cast<Duration>(pace * fleetFactor()), settings.lease / 3);
}

/// Returns how many times the settings' paces the fleet is too large for.
auto Dispatcher::State::fleetFactor() const -> double
{
    return std::max(static_cast<double>(workers.size()) / settings.commandsPerSecond, 1.0);
}

} // namespace Acaciarail::Workflow
