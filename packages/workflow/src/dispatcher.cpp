#include "dispatcher_state.h"

#include <acaciarail/core/logging.h>
#include <acaciarail/workflow/objective.h>

#include <algorithm>
#include <array>

namespace Acaciarail::Workflow {

namespace {

auto isActive(const Unit &unit) -> bool
{
    return unit.stage == UnitStage::Active || !unit.allEnded();
}

auto detail(std::string_view key, std::uint64_t value) -> std::string
{
    return std::string(key) + '=' + std::to_string(value);
}

} // namespace

auto Unit::isUrgent() const -> bool
{
    return job->policy.priority == 0;
}

auto Unit::allEnded() const -> bool
{
    return std::all_of(members.begin(), members.end(), [](const Member &m) { return m.phase == MemberPhase::Ended; });
}

Dispatcher::Dispatcher(DispatcherSettings settings, std::function<void(const DispatchEvent &)> observe, TimePoint latestPreviousGrant)
    : m_state(std::make_unique<State>(std::move(settings), std::move(observe), latestPreviousGrant))
{
}

Dispatcher::~Dispatcher() = default;

auto Dispatcher::setConfiguration(std::shared_ptr<const Configuration> configuration) -> void
{
    m_state->configuration = std::move(configuration);
    for (auto &[id, job] : m_state->jobs) {
        m_state->updatePolicy(*job);
    }
}

auto Dispatcher::setEvacuatedZones(std::set<ZoneName> zones) -> void
{
    auto &s = *m_state;
    s.evacuatedZones = std::move(zones);
    for (auto &[name, worker] : s.workers) {
        worker->evacuated = s.evacuatedZones.contains(worker->info.zone);
    }
    s.idleFits.clear();
    s.capacityChanged = true;
}

auto Dispatcher::evacuationsConfirmed(TimePoint at) -> void
{
    m_state->evacuationsConfirmedAt = std::max(at, m_state->evacuationsConfirmedAt.value_or(at));
}

auto Dispatcher::maySend(const StartCommand &command, TimePoint now) const -> bool
{
    auto &s = *m_state;
    const auto worker = s.workers.find(command.worker);
    if (!s.evacuationsKnown(now) || worker == s.workers.end()) {
        return false;
    }
    // When one member of a gang may not start, its run is ending, and no other member of it is started any more.
    auto *unit = s.findUnit(command.task);
    return s.findCurrentMember(unit, *worker->second, command.task, command.run) != nullptr && !unit->ending
        && !startObstacle(*worker->second, *unit);
}

/// Returns whether the evacuated zones were confirmed recently enough to start work.
auto Dispatcher::State::evacuationsKnown(TimePoint now) const -> bool
{
    return settings.evacuationDelay == Duration::zero()
        || (evacuationsConfirmedAt && now <= *evacuationsConfirmedAt + settings.evacuationDelay - settings.evacuationMargin);
}

/// Logs when evacuations begin or cease to prevent all starts.
auto Dispatcher::State::reportEvacuationState(TimePoint now) -> void
{
    if (settings.evacuationDelay == Duration::zero()) {
        return;
    }
    const bool outdated = !evacuationsKnown(now);
    if (std::exchange(evacuationsOutdated, outdated) != outdated) {
        emitEvent(outdated ? "starts-paused" : "starts-resumed", {}, "reason=evacuations-outdated");
    }
    std::size_t usable = 0;
    std::size_t evacuated = 0;
    for (const auto &[name, worker] : workers) {
        usable += worker->listed && !worker->evacuated ? 1 : 0;
        evacuated += worker->listed && worker->evacuated ? 1 : 0;
    }
    const bool all = evacuated > 0 && usable == 0;
    if (std::exchange(allEvacuated, all) != all) {
        emitEvent(all ? "all-zones-evacuated" : "zones-usable", {}, detail("zones", evacuatedZones.size()));
    }
}

auto Dispatcher::accept(const JobSpec &spec, TimePoint now, std::chrono::milliseconds unixNow) -> void
{
    if (m_state->endedJobs.contains(spec.id)) {
        return;
    }
    auto &slot = m_state->jobs[spec.id];
    if (slot) {
        return;
    }
    slot = std::make_unique<Job>();
    m_state->changedJobs.insert(spec.id);
    slot->spec = spec;
    m_state->updatePolicy(*slot);
    // The accepting instance's clock may be ahead of this one's.
    slot->acceptedAt = now - std::max(unixNow - spec.acceptedAt, std::chrono::milliseconds::zero());
    if (spec.occurrences == 0) {
        m_state->createOccurrence(*slot, 0, now);
    }
    if (m_state->cancelledInAdvance.erase(spec.id) > 0) {
        cancel(spec.id, now);
    }
}

auto Dispatcher::markEnded(const JobId &job) -> void
{
    m_state->endedJobs.insert(job);
}

auto Dispatcher::outcomeRemoved(const JobId &job) -> void
{
    m_state->endedJobs.erase(job);
    m_state->cancelledInAdvance.erase(job);
}

auto Dispatcher::cancel(const JobId &job, TimePoint now) -> void
{
    const auto it = m_state->jobs.find(job);
    if (it == m_state->jobs.end()) {
        if (!m_state->endedJobs.contains(job) && m_state->cancelledInAdvance.insert(job).second) {
            m_state->emitEvent("job-cancelled-in-advance", job, {});
        }
        return;
    }
    if (it->second->cancelled || it->second->ended) {
        return;
    }
    it->second->cancelled = true;
    m_state->changedJobs.insert(job);
    m_state->emitEvent("job-cancelling", job, detail("units", it->second->units.size()));
    for (auto &[id, unit] : it->second->units) {
        m_state->cancelReservation(*unit);
        m_state->stopUnit(*unit, "cancelled");
        m_state->requeueIfEnded(*unit, now);
    }
}

auto Dispatcher::awaitsSubmission(const JobId &job) const -> bool
{
    return m_state->cancelledInAdvance.contains(job);
}

auto Dispatcher::restore(const UnitId &id, const UnitRecord &record, TimePoint now) -> void
{
    const auto it = m_state->jobs.find(id.job);
    if (it == m_state->jobs.end()) {
        return;
    }
    auto &job = *it->second;
    while (job.spec.occurrences > id.occurrence && job.nextOccurrence <= id.occurrence) {
        m_state->createOccurrence(job, job.nextOccurrence, now);
    }
    const auto found = job.units.find(id);
    if (found == job.units.end()) {
        return;
    }
    auto &unit = *found->second;
    unit.record = record;
    job.hasBegun = job.hasBegun || record.hasBegun;
    if (record.phase == UnitPhase::Done) {
        m_state->setDone(unit, now);
        m_state->dirtyUnits.erase(&unit);
        return;
    }
    if (record.phase == UnitPhase::Failed) {
        m_state->setStage(unit, UnitStage::Failed);
        m_state->failJob(job);
        return;
    }
    if (record.phase != UnitPhase::Assigned) {
        return;
    }
    m_state->setStage(unit, UnitStage::Active);
    unit.runStartedAt = now;
    unit.members.assign(unit.taskCount(), Member{});
    for (std::size_t i = 0; i < unit.members.size() && i < record.workers.size(); ++i) {
        auto &member = unit.members[i];
        member.worker = m_state->findOrCreateWorker(record.workers[i]).shared_from_this();
        member.phase = MemberPhase::Restored;
        member.startedAt = now;
        member.lastProgress = now;
        member.absenceConclusiveFrom = now;
        m_state->allocate(unit, member);
    }
    if (job.failed) {
        m_state->stopUnit(unit, "job-failed");
    }
}

auto Dispatcher::State::emitEvent(std::string_view name, const JobId &job, std::string details) const -> void
{
    observe({name, job, std::move(details), {}, 0});
}

auto Dispatcher::State::logEnds(const JobId &job, const EndCounts &counts) const -> void
{
    emitEvent("tasks-ended", job,
              detail("done", counts.done) + ' ' + detail("stopped", counts.stopped) + ' ' + detail("broken", counts.broken));
}

auto Dispatcher::State::logGatheredEnds(TimePoint now) -> void
{
    if (now < nextEndsLog) {
        return;
    }
    nextEndsLog = now + settings.endsLogInterval;
    for (const auto &[job, counts] : std::exchange(gatheredEnds, {})) {
        logEnds(job, counts);
    }
}

auto startFields(PlacementPath path, const std::string &requiredLabel) -> std::string
{
    return std::string(" path=") + placementPathName(path) + requiredLabelField(requiredLabel);
}

auto requiredLabelField(const std::string &label) -> std::string
{
    return label.empty() ? std::string() : " required_label=" + quoteLogValue(label);
}

/// Reports that the start of a task on the worker that was chosen for it is withheld. \a unit is the task's unit.
auto Dispatcher::State::reportIneligibleStart(const Unit &unit, const TaskId &task, const Worker &worker, StartObstacle obstacle) -> void
{
    ++withheldStarts.at(static_cast<std::size_t>(obstacle));
    observe({"start-ineligible",
             task.job,
             "worker=" + worker.info.name.str() + ' ' + detail("step", task.step) + ' ' + detail("index", task.index) + ' '
                 + detail("run", unit.record.run) + " reason=" + startObstacleName(obstacle) + requiredLabelField(unit.step->requiredLabel)
                 + knownKind(worker),
             {},
             0,
             true,
             std::nullopt,
             obstacle});
}

auto Dispatcher::State::logPlacedTasks() -> void
{
    for (const auto &[key, placed] : std::exchange(placedTasks, {})) {
        const auto &[job, occurrence, step, path] = key;
        const auto waitedMs = static_cast<std::uint64_t>(toMilliseconds(placed.longestWait).count());
        emitEvent("tasks-placed", job,
                  detail("occurrence", occurrence) + ' ' + detail("step", step) + ' ' + detail("tasks", placed.count) + ' '
                      + detail("first_index", placed.firstIndex) + ' ' + detail("last_index", placed.lastIndex) + ' '
                      + detail("priority", placed.priority) + ' ' + detail("waited_ms", waitedMs)
                      + startFields(path, placed.requiredLabel));
    }
}

auto Dispatcher::State::createOccurrence(Job &job, std::uint32_t occurrence, TimePoint now) -> void
{
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
        const auto &step = job.spec.steps[s];
        const auto n = step.gang ? 1U : step.count;
        for (std::uint32_t i = 0; i < n; ++i) {
            auto unit = std::make_unique<Unit>();
            unit->id = {job.spec.id, occurrence, s, i};
            unit->job = &job;
            unit->step = &step;
            job.units.emplace(unit->id, std::move(unit));
        }
        if (n > 0) {
            job.unfinishedUnits[{occurrence, s}] = n;
        }
    }
    job.nextOccurrence = std::max(job.nextOccurrence, occurrence + 1);
    unblock(job, occurrence, now);
}

auto Dispatcher::State::unblock(Job &job, std::uint32_t occurrence, TimePoint now) -> void
{
    const auto isUnfinished = [&](std::uint32_t step) { return job.unfinishedUnits.contains({occurrence, step}); };
    const UnitId first{job.spec.id, occurrence, 0, 0};
    for (auto it = job.units.lower_bound(first); it != job.units.end() && it->first.occurrence == occurrence; ++it) {
        auto &unit = *it->second;
        const auto &needs = unit.step->dependsOn;
        if (unit.stage == UnitStage::Blocked && std::none_of(needs.begin(), needs.end(), isUnfinished)) {
            setStage(unit, UnitStage::Waiting);
            unit.waitingSince = now;
            unit.readySince = occurrence == 0 && needs.empty() && job.spec.occurrences == 0 ? job.acceptedAt : now;
        }
    }
}

auto Dispatcher::State::startDueOccurrences(TimePoint now, std::chrono::milliseconds unixNow) -> void
{
    for (auto &[id, job] : jobs) {
        const auto &spec = job->spec;
        while (!job->cancelled && !job->failed && job->nextOccurrence < spec.occurrences
               && unixNow >= spec.firstRun + job->nextOccurrence * spec.interval) {
            createOccurrence(*job, job->nextOccurrence, now);
        }
    }
}

auto Dispatcher::State::updatePolicy(Job &job) const -> void
{
    job.policy = policyFor(job.spec);
    job.objective = objectiveOf(job.spec, job.policy);
}

auto Dispatcher::State::policyFor(const JobSpec &spec) const -> QueuePolicy
{
    const auto *queue = configuration ? configuration->queue(spec.queue) : nullptr;
    return queue != nullptr ? queue->policy : spec.policy;
}

auto Dispatcher::State::findUnit(const TaskId &task) -> Unit *
{
    const auto it = jobs.find(task.job);
    if (it == jobs.end() || task.step >= it->second->spec.steps.size()) {
        return nullptr;
    }
    const bool gang = it->second->spec.steps[task.step].gang;
    const auto found = it->second->units.find(UnitId{task.job, task.occurrence, task.step, gang ? 0 : task.index});
    return found == it->second->units.end() ? nullptr : found->second.get();
}

/// Reports that a run of \a unit has begun on a worker.
auto Dispatcher::State::setBegun(Unit &unit, TimePoint now) -> void
{
    if (std::exchange(unit.record.hasBegun, true) || std::exchange(unit.job->hasBegun, true)) {
        return;
    }
    if (newlyBegunUnits.empty()) {
        beginsRecordedBy = now + settings.beginRecordDelay;
    }
    newlyBegunUnits.insert(&unit);
}

auto Dispatcher::State::setDone(Unit &unit, TimePoint now) -> void
{
    if (unit.stage == UnitStage::Done) {
        return;
    }
    observeEnd(unit, now);
    setStage(unit, UnitStage::Done);
    unit.record.phase = UnitPhase::Done;
    unit.record.checkpoint.clear();
    dirtyUnits.insert(&unit);
    auto &job = *unit.job;
    const std::pair key{unit.id.occurrence, unit.id.step};
    if (--job.unfinishedUnits[key] == 0) {
        job.unfinishedUnits.erase(key);
        unblock(job, unit.id.occurrence, now);
    }
}

auto Dispatcher::State::stopUnit(Unit &unit, std::string_view reason) -> void
{
    if (unit.stage != UnitStage::Active || unit.ending) {
        return;
    }
    unit.ending = true;
    emitEvent("unit-stopping", unit.id.job,
              detail("occurrence", unit.id.occurrence) + ' ' + detail("step", unit.id.step) + ' ' + detail("index", unit.id.index) + ' '
                  + detail("run", unit.record.run) + " reason=" + std::string(reason));
    for (auto &it : unit.members) {
        requestStop(unit, it);
    }
}

auto Dispatcher::State::setStage(Unit &unit, UnitStage stage) -> void
{
    unit.stage = stage;
    const auto setMembership = [&](UnitSet &set, bool member) {
        if (member) {
            set.insert(&unit);
        } else {
            set.erase(&unit);
        }
    };
    setMembership(waitingUnits, stage == UnitStage::Waiting);
    setMembership(reservedUnits, stage == UnitStage::Reserved);
    capacityChanged = true;
    changedJobs.insert(unit.id.job);
}

auto Dispatcher::State::requestStop(Unit &unit, Member &member) -> void
{
    member.stopping = member.phase != MemberPhase::Ended;
    if (member.stopping) {
        stoppingUnits.insert(&unit);
    }
}

auto Dispatcher::State::removeFromUnitSets(Job &job) -> void
{
    for (auto &[id, unit] : job.units) {
        for (auto *set : {&waitingUnits, &reservedUnits, &stoppingUnits, &dirtyUnits, &newlyBegunUnits}) {
            set->erase(unit.get());
        }
    }
}

auto Dispatcher::State::requeueIfEnded(Unit &unit, TimePoint now) -> void
{
    if (unit.stage != UnitStage::Active || !unit.allEnded() || unit.recordingAssignment) {
        return;
    }
    unit.ending = false;
    unit.record.phase = UnitPhase::Pending;
    unit.record.workers.clear();
    unit.members.clear();
    dirtyUnits.insert(&unit);
    setStage(unit, UnitStage::Waiting);
    unit.waitingSince = now;
    unit.readySince = std::min(unit.readySince == TimePoint{} ? now : unit.readySince, now);
    if (unit.record.failures >= unit.job->policy.maxAttempts && !unit.step->longRunning && !unit.job->cancelled) {
        setStage(unit, UnitStage::Failed);
        unit.record.phase = UnitPhase::Failed;
        emitEvent("unit-failed", unit.id.job, detail("step", unit.id.step) + ' ' + detail("failures", unit.record.failures));
        failJob(*unit.job);
    }
}

auto Dispatcher::State::failJob(Job &job) -> void
{
    job.failed = true;
    changedJobs.insert(job.spec.id);
    for (auto &[id, unit] : job.units) {
        cancelReservation(*unit);
        stopUnit(*unit, "job-failed");
    }
}

auto Dispatcher::State::closeJobs(Decisions &out) -> void
{
    for (const auto &id : std::exchange(changedJobs, {})) {
        const auto it = jobs.find(id);
        if (it == jobs.end()) {
            continue;
        }
        auto &job = *it->second;
        const bool allDone = job.unfinishedUnits.empty() && job.nextOccurrence >= job.spec.occurrences && !job.units.empty();
        const bool abandoned = job.cancelled || job.failed;
        const bool active = std::any_of(job.units.begin(), job.units.end(), [](const auto &u) { return isActive(*u.second); });
        if (!job.ended && (allDone || (abandoned && !active))) {
            closeJob(job, out);
        }
        if (job.ended && !active) {
            removeFromUnitSets(job);
            jobs.erase(it);
        }
    }
}

auto Dispatcher::State::closeJob(Job &job, Decisions &out) -> void
{
    auto phase = JobPhase::Completed;
    if (job.failed) {
        phase = JobPhase::Failed;
    } else if (job.cancelled) {
        phase = JobPhase::Cancelled;
    }
    job.ended = true;
    endedJobs.insert(job.spec.id);
    out.outcomes.push_back({job.spec.id, phase});
    out.records.push_back(outcomeRecord(job.spec.id, phase));
    for (auto &[id, unit] : job.units) {
        dirtyUnits.erase(unit.get());
        if (unit->record.run > 0) {
            auto record = unitRecord(id, unit->step->gang, unit->record);
            record.value.clear();
            out.records.push_back(std::move(record));
        }
    }
    if (const auto it = gatheredEnds.find(job.spec.id); it != gatheredEnds.end()) {
        logEnds(it->first, it->second);
        gatheredEnds.erase(it);
    }
    emitEvent("job-ended", job.spec.id, std::string("outcome=") + jobPhaseName(phase));
}

auto Dispatcher::State::endsRecorded(Worker &worker, TimePoint now) -> void
{
    worker.recordedEnds = std::max(worker.recordedEnds, worker.batchEnds);
    if (!worker.unreachableSince && worker.recordedEnds == worker.seenEnds) {
        const bool mayWait = worker.units.empty() && !worker.hasUnlistedEnds;
        worker.nextPoll = mayWait ? now + std::min(settings.idleAcknowledgementDelay, settings.taskLease / 6) : now;
    }
}

/// Returns the size of the start commands of units that are placed and whose starts have not been returned by a decision yet.
auto Dispatcher::State::unsentStartBytes() const -> std::int64_t
{
    std::size_t bytes = 0;
    for (const auto &it : pendingStarts) {
        bytes += startCommandBytes(it.payload.size());
    }
    const auto add = [&bytes](const Unit &unit) {
        bytes += unit.recordingAssignment ? unit.taskCount() * startCommandBytes(unit.job->spec.payload.size()) : 0;
    };
    for (const auto *unit : dirtyUnits) {
        add(*unit);
    }
    for (const auto &[unit, run] : batchAssignments) {
        add(*unit);
    }
    return static_cast<std::int64_t>(bytes);
}

auto Dispatcher::recordsStored(TimePoint now) -> void
{
    auto &s = *m_state;
    s.batchInProgress = false;
    for (const auto &worker : std::exchange(s.workersWithEndsInBatch, {})) {
        s.endsRecorded(*worker, now);
    }
    for (const auto &[unit, run] : std::exchange(s.batchAssignments, {})) {
        if (unit->record.run != run) {
            continue;
        }
        unit->recordingAssignment = false;
        s.observeStart(*unit, now);
        for (std::uint32_t i = 0; i < unit->members.size(); ++i) {
            const auto &chosen = *unit->members[i].worker;
            const auto obstacle = startObstacle(chosen, *unit);
            if (obstacle && !unit->ending) {
                s.reportIneligibleStart(*unit, unit->task(i), chosen, *obstacle);
            }
            if (obstacle || !chosen.schedulable()) {
                s.stopUnit(*unit, "worker-unusable");
            }
        }
        for (std::uint32_t i = 0; i < unit->members.size(); ++i) {
            auto &member = unit->members[i];
            if (member.phase != MemberPhase::Planned) {
                continue;
            }
            if (unit->ending || unit->job->cancelled || unit->job->failed) {
                s.releaseMember(*unit, member);
                continue;
            }
            member.phase = MemberPhase::Starting;
            member.startedAt = now;
            member.lastProgress = now;
            s.pendingStarts.push_back({member.worker->info.name, unit->task(i), unit->record.run, unit->job->spec.payload,
                                       unit->record.checkpoint, s.settings.taskLease, unit->job->policy.priority,
                                       member.worker->incarnation});
        }
        s.requeueIfEnded(*unit, now);
    }
}

auto Dispatcher::decide(TimePoint now, std::chrono::milliseconds unixNow, DecisionScope scope) -> Decisions
{
    auto &s = *m_state;
    Decisions out;
    s.expireWorkers(now);
    s.logGatheredEnds(now);
    if (scope.mayStart) {
        s.startDueOccurrences(now, unixNow);
        if (now >= s.nextProgressCheck) {
            s.nextProgressCheck = now + s.settings.progressCheckInterval;
            s.checkProgress(now);
            if (s.settings.placeBySpeed) {
                s.learnSpeeds(now);
            }
            s.restartSlowRuns(now);
            s.stopRunsOnDrainingWorkers(now);
            s.reportEvacuationState(now);
        }
        if (now >= s.nextSchedule && s.evacuationsKnown(now)) {
            const auto pause = s.settings.schedulePausePerUnit * static_cast<Duration::rep>(s.waitingUnits.size());
            s.nextSchedule = now + std::max({s.settings.scheduleInterval, pause, scope.minSchedulePause});
            s.placeReserved(now);
            if (std::exchange(s.capacityChanged, false) || now >= s.latestSchedule) {
                s.latestSchedule = now + s.settings.maxScheduleInterval;
                s.placementBudget = scope.startBytes - s.unsentStartBytes();
                s.schedule(now);
            }
        } else if (s.capacityChanged && now < s.nextSchedule) {
            out.deferredFor = s.nextSchedule - now;
        }
        s.logPlacedTasks();
        if (scope.mayRecord) {
            s.collectRecords(out, now);
        }
        out.starts = std::exchange(s.pendingStarts, {});
    }
    s.collectStops(out, now);
    if (!s.runningListOutstanding && now >= s.nextRunningList && s.needsRunningList()) {
        s.runningListOutstanding = true;
        s.runningListAskedAt = now;
        out.listRunningWorkers = true;
    }
    if (now >= s.nextPollRound) {
        s.nextPollRound = now + std::chrono::duration_cast<Duration>(s.settings.pollRoundInterval * s.intervalFactor());
        s.collectPolls(out, now);
    } else {
        out.deferredFor = std::min(out.deferredFor.value_or(Duration::max()), s.nextPollRound - now);
    }
    return out;
}

auto Dispatcher::stats() const -> DispatcherStats
{
    DispatcherStats out;
    out.jobs = m_state->jobs.size();
    for (const auto &[id, job] : m_state->jobs) {
        for (const auto &[key, unit] : job->units) {
            out.waitingUnits += unit->stage == UnitStage::Waiting || unit->stage == UnitStage::Reserved ? 1 : 0;
            out.activeUnits += unit->stage == UnitStage::Active ? 1 : 0;
        }
    }
    for (const auto &[name, worker] : m_state->workers) {
        out.workers += worker->listed ? 1 : 0;
        out.unreachableWorkers += worker->unreachableSince ? 1 : 0;
        out.freeAccelerators += worker->schedulable() ? worker->free().accelerators : 0;
    }
    out.fastWorkers = m_state->fastWorkers;
    out.preemptions = m_state->preemptions;
    out.preemptedCoreSeconds = m_state->preemptedCoreSeconds;
    out.placements = m_state->placements;
    out.withheldStarts = m_state->withheldStarts;
    return out;
}

} // namespace Acaciarail::Workflow
