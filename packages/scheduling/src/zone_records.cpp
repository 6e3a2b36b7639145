#include "zone_state.h"

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

ZoneState::ZoneState(ZoneSchedulerSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_health(m_settings.health)
{
    // All ties are broken by name or by order of arrival, so the seed is not needed.
    static_cast<void>(seed);
}

auto ZoneState::setPolicy(const JobPolicy &policy, TimePoint now) -> void
{
    for (auto &it : m_organisations) {
        it.present = false;
        for (auto &team : it.teams) {
            team.maxAccelerators.reset();
        }
    }
    for (const auto &it : policy.organisations) {
        auto &organisation = m_organisations[findOrAddOrganisation(it.name)];
        organisation.present = true;
        organisation.share = std::max(it.share, 1U);
        for (const auto &team : it.teams) {
            organisation.teams[findOrAddTeam(organisation, team.name)].maxAccelerators = team.maxAccelerators;
        }
    }
    m_classLimits = policy.classLimits;
    for (const auto slot : m_guarantees.setGuarantees(m_fleet, policy.organisations, m_settings.zone)) {
        makeBorrowed(slot);
    }
    removeOrganisations(now);
    m_relocate = true;
    m_unblock = true;
}

auto ZoneState::removeOrganisations(TimePoint now) -> void
{
    static_cast<void>(now);
    for (JobIndex j = 0; j < m_jobs.size(); ++j) {
        auto &job = m_jobs[j];
        if (job.sequence == 0 || m_organisations[job.organisation].present || job.organisationRemoved) {
            continue;
        }
        if (job.attempt.phase == Phase::Planned) {
            cancelPlan(j);
        }
        if (job.attempt.phase != Phase::None) {
            job.organisationRemoved = true;
            stopNow(j, StopReason::OrganisationRemoved);
            continue;
        }
        finishJob(j, JobOutcome::Refused, JobReason::OrganisationRemoved,
                  "organisation " + m_organisations[job.organisation].name.str() + " was removed from the configuration");
    }
}

auto ZoneState::makeBorrowed(SlotIndex slot) -> void
{
    for (JobIndex j = 0; j < m_jobs.size(); ++j) {
        auto &job = m_jobs[j];
        const auto usesSlot = [slot](const SlotUse &use) { return use.slot == slot; };
        if (job.sequence == 0 || std::none_of(job.attempt.slotUses.begin(), job.attempt.slotUses.end(), usesSlot)) {
            continue;
        }
        applyUsage(j, -1);
        std::erase_if(job.attempt.slotUses, usesSlot);
        for (const auto &use : job.attempt.slotUses) {
            m_guarantees.release(use);
        }
        job.attempt.slotUses.clear();
        applyUsage(j, 1);
    }
}

auto ZoneState::workerJoined(const WorkerInfo &info, TimePoint now) -> void
{
    static_cast<void>(now);
    const auto w = m_fleet.join(info);
    m_loads.resize(m_fleet.workers().size());
    m_largestAccelerators = std::max<std::int64_t>(m_largestAccelerators, info.capacity.accelerators);
    m_largestCores = std::max<std::int64_t>(m_largestCores, info.capacity.cores);
    updateExclusion(w);
    m_relocate = true;
    m_unblock = true;
}

auto ZoneState::workerLeaving(const WorkerName &name, TimePoint now) -> void
{
    const auto w = m_fleet.find(name);
    if (!w) {
        return;
    }
    m_fleet.setLeaving(*w, true);
    cancelUnschedulablePlans(now);
    m_relocate = true;
    m_unblock = true;
}

auto ZoneState::workerLost(const WorkerName &name, TimePoint now) -> void
{
    const auto w = m_fleet.find(name);
    if (!w || !m_fleet.worker(*w).present) {
        return;
    }
    m_fleet.setAbsent(*w);
    cancelUnschedulablePlans(now);
    endLostAttempts(*w, now);
    m_relocate = true;
    m_unblock = true;
}

auto ZoneState::submit(const Job &job, TimePoint now) -> std::optional<Failure>
{
    const auto refuse = [](Error error, std::string detail) { return Failure{error, Execution::NotRun, std::move(detail)}; };
    if (m_jobById.contains(job.id)) {
        return refuse(Error::DuplicateName, "job " + job.id.str() + ": expected a new id, found one that is known");
    }
    const auto found = m_organisationByName.find(job.spec.organisation);
    if (found == m_organisationByName.end() || !m_organisations[found->second].present) {
        return refuse(Error::UnknownOrganisation, "organisation " + job.spec.organisation.str() + ": not in the configuration");
    }
    if (m_waiting >= m_settings.maxQueuedJobs) {
        return refuse(Error::Overloaded, "waiting jobs: expected fewer than " + std::to_string(m_settings.maxQueuedJobs));
    }
    auto &organisation = m_organisations[found->second];
    const auto &team = organisation.teams[findOrAddTeam(organisation, job.spec.team)];
    if (team.maxAccelerators && job.spec.shape.accelerators() > *team.maxAccelerators) {
        return refuse(Error::QuotaExceeded,
                      "team " + team.name.str() + ": expected at most " + std::to_string(*team.maxAccelerators) + " accelerators, found "
                          + std::to_string(job.spec.shape.accelerators()));
    }
    if (!m_fleet.workers().empty() && !fitsEmptyFleet(m_fleet, job.spec.shape)) {
        const auto &shape = job.spec.shape;
        return refuse(Error::NeverFits,
                      std::to_string(shape.tasks) + " tasks of " + std::to_string(shape.perTask.accelerators) + " accelerators, "
                          + std::to_string(shape.perTask.cores) + " cores, " + std::to_string(shape.perTask.memoryMiB) + " MiB, adjacency "
                          + std::string(adjacencyName(shape.adjacency)) + ": does not fit even when all "
                          + std::to_string(m_fleet.workers().size()) + " known workers are empty");
    }
    const auto j = addJob(job, now);
    if (job.spec.startWithin) {
        m_jobs[j].startDeadline = now + *job.spec.startWithin;
        addTimer(*m_jobs[j].startDeadline, TimerKind::StartDeadline, j);
    }
    enqueue(j);
    return std::nullopt;
}

auto ZoneState::adopt(const RunningAttempt &running, TimePoint now) -> void
{
    auto known = findJob(running.job.id);
    if (known) {
        const auto &attempt = m_jobs[*known].attempt;
        if (attempt.phase == Phase::Planned) {
            cancelPlan(*known);
        } else if (attempt.phase != Phase::None) {
            if (attempt.number != running.attempt) {
                m_commands.emplace_back(StopGang{running.job.id, running.attempt, StopReason::WorkerLost});
            }
            return;
        }
        dequeue(*known);
    } else {
        known = addJob(running.job, now);
    }
    const auto j = *known;
    for (const auto &it : running.members) {
        static_cast<void>(m_fleet.indexOrAdd(it.worker));
    }
    m_loads.resize(m_fleet.workers().size());
    auto &job = m_jobs[j];
    job.startDeadline.reset();
    job.retryAt.reset();
    job.attempts = std::max(job.attempts, running.attempt);
    job.attempt = {};
    job.attempt.phase = Phase::Running;
    job.attempt.number = running.attempt;
    job.attempt.startedAt = std::min(running.startedAt, now);
    for (const auto &it : running.members) {
        job.attempt.members.push_back({*m_fleet.find(it.worker), it.tasks});
    }
    const auto &organisation = m_organisations[job.organisation];
    job.attempt.estimate = m_estimator.typicalRunTime(organisation.name, job.kind, job.declaredRunTime);
    ++m_running;
    assignSlotInPlace(j);
    applyUsage(j, 1);
    addTimer(now + m_settings.health.successAfter, TimerKind::AttemptSuccess, j);
    if (!organisation.present) {
        job.organisationRemoved = true;
        stopNow(j, StopReason::OrganisationRemoved);
    }
}

auto ZoneState::cancel(const JobId &id, TimePoint now) -> void
{
    static_cast<void>(now);
    const auto known = findJob(id);
    if (!known) {
        return;
    }
    auto &job = m_jobs[*known];
    if (job.attempt.phase == Phase::Planned) {
        cancelPlan(*known);
    }
    if (job.attempt.phase == Phase::None) {
        finishJob(*known, JobOutcome::Cancelled, JobReason::CancelledByCaller, "cancelled before it started");
        return;
    }
    job.cancelled = true;
    stopNow(*known, StopReason::Cancelled);
}

auto ZoneState::attemptStarted(const JobId &id, std::uint32_t attempt, TimePoint now) -> void
{
    const auto known = findAttempt(id, attempt);
    if (!known || m_jobs[*known].attempt.phase != Phase::Starting) {
        return;
    }
    auto &it = m_jobs[*known].attempt;
    it.phase = Phase::Running;
    it.startedAt = now;
    m_jobs[*known].startDeadline.reset();
    addTimer(now + m_settings.health.successAfter, TimerKind::AttemptSuccess, *known);
}

auto ZoneState::addJob(const Job &job, TimePoint now) -> JobIndex
{
    if (m_freeJobs.empty()) {
        m_freeJobs.push_back(static_cast<JobIndex>(m_jobs.size()));
        m_jobs.emplace_back();
    }
    const auto j = m_freeJobs.back();
    m_freeJobs.pop_back();
    auto &it = m_jobs[j];
    it = {};
    it.id = job.id;
    it.kind = job.spec.kind;
    it.sequence = m_nextSequence++;
    it.organisation = findOrAddOrganisation(job.spec.organisation);
    it.team = findOrAddTeam(m_organisations[it.organisation], job.spec.team);
    it.shape = job.spec.shape;
    it.priority = job.spec.priority;
    it.idempotent = job.spec.idempotent;
    it.checkpointable = job.spec.checkpointable;
    it.declaredRunTime = std::max(job.spec.declaredRunTime, Duration(1));
    it.attempts = m_settings.firstAttempt - 1;
    // Short jobs go first, but no job is overtaken by later ones for longer than its own estimated run time.
    const auto estimate = m_estimator.typicalRunTime(job.spec.organisation, it.kind, it.declaredRunTime);
    it.order = (now + estimate).time_since_epoch().count();
    m_jobById.emplace(job.id, j);
    return j;
}

auto ZoneState::finishJob(JobIndex j, JobOutcome outcome, JobReason reason, std::string detail) -> void
{
    dequeue(j);
    auto &job = m_jobs[j];
    m_commands.emplace_back(FinishJob{job.id, outcome, reason, std::move(detail)});
    m_jobById.erase(job.id);
    job = {};
    m_freeJobs.push_back(j);
}

auto ZoneState::findJob(const JobId &id) const -> std::optional<JobIndex>
{
    const auto it = m_jobById.find(id);
    return it == m_jobById.end() ? std::nullopt : std::optional(it->second);
}

auto ZoneState::findAttempt(const JobId &id, std::uint32_t attempt) const -> std::optional<JobIndex>
{
    const auto known = findJob(id);
    if (!known) {
        return std::nullopt;
    }
    const auto &it = m_jobs[*known].attempt;
    const auto isCurrent = it.phase != Phase::None && it.phase != Phase::Planned && it.number == attempt;
    return isCurrent ? known : std::nullopt;
}

auto ZoneState::findOrAddOrganisation(const OrganisationName &name) -> OrganisationIndex
{
    const auto [it, added] = m_organisationByName.try_emplace(name, static_cast<OrganisationIndex>(m_organisations.size()));
    if (added) {
        m_organisations.emplace_back().name = name;
    }
    return it->second;
}

auto ZoneState::findOrAddTeam(Organisation &organisation, const TeamName &name) -> TeamIndex
{
    const auto [it, added] = organisation.teamByName.try_emplace(name, static_cast<TeamIndex>(organisation.teams.size()));
    if (added) {
        organisation.teams.emplace_back().name = name;
    }
    return it->second;
}

auto ZoneState::addTimer(TimePoint at, TimerKind kind, JobIndex j) -> void
{
    m_timers.insert({at, kind, j, m_jobs[j].sequence, m_jobs[j].attempt.number});
}

auto ZoneState::fireTimers(TimePoint now) -> void
{
    while (!m_timers.empty() && m_timers.begin()->at <= now) {
        const auto timer = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        // The job may have ended, and its record may belong to another job.
        if (m_jobs[timer.job].sequence == timer.sequence) {
            fire(timer, now);
        }
    }
}

auto ZoneState::fire(const Timer &timer, TimePoint now) -> void
{
    auto &job = m_jobs[timer.job];
    const auto isCurrent = job.attempt.number == timer.attempt;
    switch (timer.kind) {
    case TimerKind::StartDeadline:
        if (job.attempt.phase == Phase::Planned) {
            cancelPlan(timer.job);
        }
        if (job.attempt.phase == Phase::None && job.startDeadline) {
            finishJob(timer.job, JobOutcome::Cancelled, JobReason::StartDeadlinePassed, "no capacity before the start deadline");
        }
        break;
    case TimerKind::GraceEnd:
        if (isCurrent && job.attempt.phase == Phase::Checkpointing) {
            job.attempt.phase = Phase::Stopping;
            m_commands.emplace_back(StopGang{job.id, job.attempt.number, job.attempt.stopReason});
        }
        break;
    case TimerKind::RetryBackoff:
        if (job.attempt.phase == Phase::None && job.retryAt && *job.retryAt <= now) {
            dequeue(timer.job);
            job.retryAt.reset();
            enqueue(timer.job);
        }
        break;
    case TimerKind::AttemptSuccess:
        if (isCurrent && job.attempt.phase != Phase::None) {
            recordAttemptSuccess(timer.job, now);
        }
        break;
    }
}

auto ZoneState::nextDeadline() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint at) { next = next ? std::min(*next, at) : at; };
    if (!m_timers.empty()) {
        consider(m_timers.begin()->at);
    }
    if (const auto quarantineEnd = m_health.nextQuarantineEnd()) {
        consider(*quarantineEnd);
    }
    for (const auto &it : m_reservations) {
        consider(it.start);
    }
    if (m_unblock) {
        constexpr Duration nextRoundDelay = 100ms;
        consider(m_lastDecision + nextRoundDelay);
    }
    return next;
}

} // namespace Acaciarail::Scheduling::Detail
