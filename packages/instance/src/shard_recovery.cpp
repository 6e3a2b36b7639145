#include <acaciarail/instance/shard_controller.h>

#include <acaciarail/core/logging.h>

#include <algorithm>

namespace Acaciarail::Instance {

auto ShardController::tickRecovery(TimePoint now) -> void
{
    if (m_recovered || !isHolder(now)) {
        return;
    }
    const auto allAttached = std::all_of(m_workers.begin(), m_workers.end(), [](const auto &it) { return it.second.attached; });
    if (allAttached || now - m_holderSince >= m_settings.recoveryTimeout) {
        recover(now);
    }
}

auto ShardController::recover(TimePoint now) -> void
{
    m_recovered = true;
    for (auto &[name, state] : m_workers) {
        if (state.attached && !state.listed.leaving) {
            state.joined = true;
            m_scheduler->workerJoined(state.listed.info, now);
        }
    }
    for (const auto &[worker, reports] : m_reports) {
        for (const auto &it : reports) {
            recoverReport(it, now);
        }
    }
    for (const auto &[id, state] : m_replica.jobs()) {
        if (isOwnShard(state) && state.phase != State::JobPhase::Finished && !m_running.contains(id)) {
            recoverJob(state, now);
        }
    }
    for (const auto &[worker, reports] : std::exchange(m_reports, {})) {
        reconcile(worker, reports, now);
    }
    logEvent(LogLevel::Info, "shard-recovered",
             {{"zone", m_settings.key.zone.str()}, {"shard", m_settings.key.shard}, {"running", m_running.size()}});
}

auto ShardController::recoverReport(const Worker::AttemptReport &report, TimePoint now) -> void
{
    const auto *state = m_replica.job(report.id.job);
    const auto isObsolete =
        state && (state->phase == State::JobPhase::Finished || !isOwnShard(*state) || state->attempt > report.id.attempt);
    const auto it = m_running.find(report.id.job);
    const auto isSuperseded = it != m_running.end() && it->second.launch.id().attempt >= report.id.attempt;
    if (isObsolete || isSuperseded || report.state == Worker::AttemptState::Reserved || report.members.empty()) {
        return;
    }
    adopt(report.job, report.id.attempt, report.members, now - report.age, now);
}

auto ShardController::recoverJob(const State::JobState &state, TimePoint now) -> void
{
    if (state.phase == State::JobPhase::Assigned && state.mayHaveStarted && !state.members.empty()) {
        adopt(state.job, state.attempt, state.members, now, now);
    } else {
        submit(state, now);
    }
}

auto ShardController::adopt(const Job &job, std::uint32_t attempt, const std::vector<GangMember> &members, TimePoint startedAt,
                            TimePoint now) -> void
{
    const Worker::AttemptId id{job.id, attempt};
    m_running.insert_or_assign(job.id, RunningJob{GangLaunch::adopt(m_settings.launch, id, job, members, m_lease.term()), 0, {}, true});
    m_active.insert(job.id);
    m_attemptBase[job.id] = 0;
    m_scheduler->adopt({job, attempt, members, startedAt}, now);
    m_hooks.append(State::JobAssigned{job.id, attempt, m_settings.key.zone, m_settings.key.shard, m_lease.term(), members});
    const auto *state = m_replica.job(job.id);
    if (state && state->cancelRequested) {
        m_scheduler->cancel(job.id, now);
    }
}

auto ShardController::reconcile(const WorkerName &worker, const std::vector<Worker::AttemptReport> &reports, TimePoint now) -> void
{
    for (const auto &it : reports) {
        if (auto *launch = findLaunch(it.id)) {
            launch->reported(worker, it);
        } else if (it.state == Worker::AttemptState::Ended) {
            onReply(worker, Worker::Ended{it.id, it.end}, now);
        } else {
            send(worker, Worker::Stop{m_lease.term(), it.id}, now);
        }
    }
    for (auto &[id, job] : m_running) {
        auto &launch = job.launch;
        const auto isReported = std::any_of(reports.begin(), reports.end(), [&launch](const auto &it) { return it.id == launch.id(); });
        const auto isActive = launch.phase() == LaunchPhase::Running || launch.phase() == LaunchPhase::Stopping;
        if (isActive && !isReported && launch.hasMember(worker)) {
            launch.memberLost(worker);
            m_active.insert(id);
        }
    }
}

auto ShardController::submit(const State::JobState &state, TimePoint now) -> void
{
    if (state.cancelRequested) {
        writeOutcome(state.job.id, JobOutcome::Cancelled, JobReason::CancelledByCaller, {});
        return;
    }
    if (state.mayHaveStarted && !state.job.spec.idempotent) {
        writeOutcome(state.job.id, JobOutcome::Lost, JobReason::WorkerLost, "a previous attempt may have started");
        return;
    }
    m_attemptBase[state.job.id] = state.attempt;
    const auto failure = m_scheduler->submit(state.job, now);
    if (failure && failure->error != Error::DuplicateName) {
        const auto reason = failure->error == Error::QuotaExceeded ? JobReason::QuotaExceeded
            : failure->error == Error::UnknownOrganisation         ? JobReason::OrganisationRemoved
                                                                   : JobReason::NeverFits;
        writeOutcome(state.job.id, JobOutcome::Refused, reason, failure->detail);
    }
}

auto ShardController::jobChanged(const JobId &id, TimePoint now) -> void
{
    const auto *state = m_replica.job(id);
    if (!state || !m_scheduler || !m_recovered) {
        return;
    }
    if (state->phase == State::JobPhase::Finished || !isOwnShard(*state)) {
        dropJob(id, now);
        return;
    }
    const auto it = m_running.find(id);
    if (it != m_running.end() && it->second.launch.phase() == LaunchPhase::WaitingForLog) {
        beginIfAssigned(it->second, now);
    } else if (it == m_running.end() && !m_attemptBase.contains(id) && !m_finishing.contains(id)) {
        submit(*state, now);
    }
    if (state->cancelRequested) {
        m_scheduler->cancel(id, now);
    }
}

auto ShardController::dropJob(const JobId &id, TimePoint now) -> void
{
    const auto it = m_unacknowledged.find(id);
    if (it != m_unacknowledged.end()) {
        acknowledge(it->second.first, it->second.second, now);
        m_unacknowledged.erase(it);
    }
    m_finishing.erase(id);
    m_attemptBase.erase(id);
    if (m_running.contains(id)) {
        // Another holder wrote the outcome; the scheduler removes the job once the attempt has stopped.
        m_scheduler->cancel(id, now);
    }
}

} // namespace Acaciarail::Instance
