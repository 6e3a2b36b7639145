#include "zone_state.h"

#include <acaciarail/core/logging.h>

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

namespace {

/// A kind of job that fails on this many workers without a success is itself the likely cause.
constexpr std::size_t kindFaultWorkers = 3;
/// Bounds the memory used for job kinds, which callers name freely.
constexpr std::size_t maxFailedKinds = 4096;

} // namespace

auto ZoneState::attemptEnded(const JobId &id, std::uint32_t attempt, const AttemptEnd &end, TimePoint now) -> void
{
    const auto known = findAttempt(id, attempt);
    if (!known) {
        return;
    }
    const auto wasRunning = m_jobs[*known].attempt.phase != Phase::Starting;
    const auto elapsed = wasRunning ? now - m_jobs[*known].attempt.startedAt : Duration::zero();
    auto effectiveEnd = end;
    if (m_jobs[*known].attempt.workerLost && end.kind == AttemptEndKind::Stopped) {
        effectiveEnd.kind = AttemptEndKind::Lost;
    }
    handleEnd(*known, effectiveEnd, elapsed, now);
}

auto ZoneState::handleEnd(JobIndex j, const AttemptEnd &end, Duration elapsed, TimePoint now) -> void
{
    auto &job = m_jobs[j];
    const auto stopReason = job.attempt.stopReason;
    const auto wasStopping = job.attempt.phase == Phase::Checkpointing || job.attempt.phase == Phase::Stopping;
    if (end.kind == AttemptEndKind::Succeeded) {
        handleSuccess(j, elapsed, now);
        clearAttempt(j);
        finishJob(j, JobOutcome::Succeeded, JobReason::None, {});
        return;
    }
    if (end.checkpointed && end.kind != AttemptEndKind::NotStarted) {
        job.progress += elapsed;
    }
    const auto members = job.attempt.members;
    clearAttempt(j);
    if (end.kind != AttemptEndKind::NotStarted) {
        job.startDeadline.reset();
    }
    if (job.cancelled) {
        finishJob(j, JobOutcome::Cancelled, JobReason::CancelledByCaller, "cancelled while it ran");
        return;
    }
    if (job.organisationRemoved) {
        finishJob(j, JobOutcome::Refused, JobReason::OrganisationRemoved, "the organisation was removed while the job ran");
        return;
    }
    if (end.kind == AttemptEndKind::Failed || end.kind == AttemptEndKind::NotStarted) {
        job.attempt.members = members;
        handleFailure(j, end, now);
        return;
    }
    if (!job.idempotent) {
        const auto reclaimed = wasStopping && end.kind == AttemptEndKind::Stopped;
        finishJob(j, JobOutcome::Lost, JobReason::WorkerLost,
                  reclaimed ? "non-idempotent job stopped: " + std::string(stopReasonName(stopReason))
                            : "non-idempotent job lost with its worker; it is not started again");
        return;
    }
    enqueue(j);
}

auto ZoneState::clearAttempt(JobIndex j) -> void
{
    release(j);
    auto &job = m_jobs[j];
    job.attempt = {};
    --m_running;
    m_unblock = true;
}

auto ZoneState::handleSuccess(JobIndex j, Duration elapsed, TimePoint now) -> void
{
    const auto &job = m_jobs[j];
    m_estimator.recordRunTime(m_organisations[job.organisation].name, job.kind, job.declaredRunTime,
                              std::max(job.progress + elapsed, Duration(1)));
    recordAttemptSuccess(j, now);
}

auto ZoneState::recordAttemptSuccess(JobIndex j, TimePoint now) -> void
{
    auto &job = m_jobs[j];
    if (job.attempt.successRecorded) {
        return;
    }
    job.attempt.successRecorded = true;
    m_failedKinds.erase(m_organisations[job.organisation].name.str() + '/' + job.kind);
    for (const auto &it : job.attempt.members) {
        --m_loads[it.worker].jobsWithoutSuccess;
        const auto &name = m_fleet.worker(it.worker).info.name;
        if (m_limitedWorkers.contains(name)) {
            m_health.recordSuccess(name, now);
            updateExclusion(it.worker);
        }
    }
}

auto ZoneState::handleFailure(JobIndex j, const AttemptEnd &end, TimePoint now) -> void
{
    auto &job = m_jobs[j];
    auto failedWorker = m_fleet.find(end.worker).value_or(noIndex);
    if (failedWorker == noIndex && end.kind == AttemptEndKind::Failed && job.attempt.members.size() == 1) {
        failedWorker = job.attempt.members.front().worker;
    }
    job.attempt.members.clear();
    if (failedWorker != noIndex) {
        recordFailureOn(j, failedWorker, now);
    }
    if (!job.idempotent && end.kind == AttemptEndKind::Failed) {
        finishJob(j, JobOutcome::Failed, JobReason::TaskFailed, "a task of the non-idempotent job failed; it is not started again");
        return;
    }
    if (end.kind == AttemptEndKind::Failed) {
        ++job.failures;
        const auto workers = failedHealthyWorkers(job);
        const auto knownWorkers = static_cast<std::uint32_t>(m_fleet.workers().size());
        if (workers >= std::min(m_settings.jobFaultWorkers, std::max(knownWorkers, 1U))) {
            updateExclusions(m_health.excludeJobFailures(job.id));
            finishJob(j, JobOutcome::Failed, JobReason::FailedOnSeveralWorkers,
                      "failed on " + std::to_string(workers) + " healthy workers");
            return;
        }
        if (job.failures >= m_settings.maxFailedAttempts) {
            finishJob(j, JobOutcome::Failed, JobReason::TaskFailed, "failed in " + std::to_string(job.failures) + " attempts");
            return;
        }
    }
    if (job.startDeadline && *job.startDeadline <= now) {
        finishJob(j, JobOutcome::Cancelled, JobReason::StartDeadlinePassed, "the start was not completed before the start deadline");
        return;
    }
    retryLater(j, now);
}

auto ZoneState::recordFailureOn(JobIndex j, WorkerIndex w, TimePoint now) -> void
{
    auto &job = m_jobs[j];
    const auto &name = m_fleet.worker(w).info.name;
    const auto hadFailures = m_health.state(name) != HealthState::Healthy;
    if (std::find(job.failedOn.begin(), job.failedOn.end(), w) == job.failedOn.end()) {
        job.failedOn.push_back(w);
    }
    auto &kindWorkers = m_failedKinds[m_organisations[job.organisation].name.str() + '/' + job.kind];
    if (std::find(kindWorkers.begin(), kindWorkers.end(), w) == kindWorkers.end() && kindWorkers.size() < kindFaultWorkers) {
        kindWorkers.push_back(w);
    }
    const auto kindIsFaulty = kindWorkers.size() >= kindFaultWorkers;
    if (m_failedKinds.size() > maxFailedKinds) {
        m_failedKinds.clear();
    }
    // A job that also failed elsewhere is more likely to be at fault than a worker on which no other job failed.
    if (job.failedOn.size() > 1) {
        updateExclusions(m_health.excludeJobFailures(job.id));
    }
    const auto jobIsSuspect = job.failedOn.size() > 1 && !hadFailures;
    if (kindIsFaulty || jobIsSuspect) {
        return;
    }
    if (m_health.recordFailure(name, job.id, now)) {
        logEvent(LogLevel::Warning, "worker-quarantined", {{"worker", name.str()}, {"zone", m_settings.zone.str()}});
    }
    updateExclusion(w);
}

auto ZoneState::failedHealthyWorkers(const JobRecord &job) const -> std::uint32_t
{
    const auto isHealthy = [this](WorkerIndex w) {
        const auto state = m_health.state(m_fleet.worker(w).info.name);
        return state == HealthState::Healthy || state == HealthState::Suspect;
    };
    return static_cast<std::uint32_t>(std::count_if(job.failedOn.begin(), job.failedOn.end(), isHealthy));
}

auto ZoneState::retryLater(JobIndex j, TimePoint now) -> void
{
    auto &job = m_jobs[j];
    auto wait = m_settings.retryBackoff;
    for (std::uint32_t i = 1; i < job.failures && wait < m_settings.maxRetryBackoff; ++i) {
        wait *= 2;
    }
    job.retryAt = now + std::min(wait, m_settings.maxRetryBackoff);
    ++m_waiting;
    ++m_queued[static_cast<std::size_t>(job.priority)];
    addTimer(*job.retryAt, TimerKind::RetryBackoff, j);
}

auto ZoneState::updateExclusion(WorkerIndex w) -> void
{
    const auto &name = m_fleet.worker(w).info.name;
    const auto limit = m_health.jobLimit(name);
    const auto isSuspect = m_health.state(name) == HealthState::Suspect;
    const auto jobs = isSuspect ? m_loads[w].jobsWithoutSuccess : static_cast<std::uint32_t>(m_loads[w].jobs.size());
    if (limit) {
        m_limitedWorkers.insert(name);
    } else {
        m_limitedWorkers.erase(name);
    }
    const auto &worker = m_fleet.worker(w);
    const auto before = std::pair(worker.schedulable, worker.retainsGuarantees);
    m_fleet.setExcluded(w, limit && jobs >= *limit, limit == 0U);
    m_unblock = m_unblock || (worker.schedulable && !before.first);
    m_relocate = m_relocate || worker.retainsGuarantees != before.second;
}

auto ZoneState::updateExclusions(const std::vector<WorkerName> &names) -> void
{
    for (const auto &it : names) {
        if (const auto w = m_fleet.find(it)) {
            updateExclusion(*w);
        }
    }
}

auto ZoneState::endLostAttempts(WorkerIndex w, TimePoint now) -> void
{
    const auto jobs = m_loads[w].jobs;
    for (const auto j : jobs) {
        auto &attempt = m_jobs[j].attempt;
        const auto isAbsent = [this](const PlacedTasks &it) { return !m_fleet.worker(it.worker).present; };
        if (std::all_of(attempt.members.begin(), attempt.members.end(), isAbsent)) {
            handleEnd(j, {AttemptEndKind::Lost, m_fleet.worker(w).info.name, false}, Duration::zero(), now);
            continue;
        }
        attempt.workerLost = true;
        stopNow(j, StopReason::WorkerLost);
    }
}

auto ZoneState::cancelUnschedulablePlans(TimePoint now) -> void
{
    static_cast<void>(now);
    const auto isUnschedulable = [this](const PlacedTasks &it) { return !m_fleet.worker(it.worker).schedulable; };
    const auto planned = m_planned;
    for (const auto j : planned) {
        const auto &members = m_jobs[j].attempt.members;
        if (std::any_of(members.begin(), members.end(), isUnschedulable)) {
            cancelPlan(j);
        }
    }
    const auto reservations = m_reservations;
    for (const auto &it : reservations) {
        if (std::any_of(it.places.begin(), it.places.end(), isUnschedulable)) {
            cancelReservation(it.job);
            enqueue(it.job);
        }
    }
}

auto ZoneState::relocateGuarantees() -> void
{
    if (!m_relocate) {
        return;
    }
    m_relocate = false;
    m_guarantees.relocate(m_fleet);
    const auto hasShortfall = m_guarantees.hasShortfall();
    if (hasShortfall != m_loggedShortfall) {
        m_loggedShortfall = hasShortfall;
        for (const auto &it : m_guarantees.shortfall()) {
            logEvent(LogLevel::Error, "guarantee-shortfall",
                     {{"zone", m_settings.zone.str()},
                      {"organisation", it.organisation.str()},
                      {"team", it.team.str()},
                      {"promised", it.guaranteed},
                      {"kept", it.met}});
        }
        if (!hasShortfall) {
            logEvent(LogLevel::Info, "guarantee-shortfall-over", {{"zone", m_settings.zone.str()}});
        }
    }
}

} // namespace Acaciarail::Scheduling::Detail
