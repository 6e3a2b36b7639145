#include <acaciarail/instance/shard_controller.h>

#include <algorithm>
#include <iterator>

namespace Acaciarail::Instance {

auto ShardController::tickLaunches(TimePoint now) -> void
{
    std::vector<JobId> ended;
    const auto sendToWorker = sender(now);
    for (auto active = m_active.begin(); active != m_active.end();) {
        const auto it = m_running.find(*active);
        if (it == m_running.end()) {
            active = m_active.erase(active);
            continue;
        }
        const auto &id = it->first;
        auto &job = it->second;
        if (job.launch.phase() == LaunchPhase::WaitingForLog) {
            beginIfAssigned(job, now);
        }
        job.launch.tick(now, m_lease.validUntil(), sendToWorker);
        if (job.launch.phase() == LaunchPhase::Running && !job.startReported) {
            job.startReported = true;
            m_scheduler->attemptStarted(id, job.launch.id().attempt - job.attemptBase, now);
        }
        if (job.launch.phase() == LaunchPhase::Ended) {
            ended.push_back(id);
        }
        const auto isIdle = job.launch.phase() == LaunchPhase::Running && job.launch.nextDeadline() == TimePoint::max();
        active = isIdle ? m_active.erase(active) : std::next(active);
    }
    for (const auto &it : ended) {
        finishAttempt(it, now);
    }
}

auto ShardController::tickScheduler(TimePoint now) -> void
{
    if (!mayDecide(now)) {
        return;
    }
    for (const auto &command : m_scheduler->decide(now)) {
        std::visit([this, now](const auto &it) { execute(it, now); }, command);
    }
}

auto ShardController::execute(const Scheduling::StartGang &command, TimePoint now) -> void
{
    const auto *state = m_replica.job(command.job);
    const auto base = m_attemptBase.contains(command.job) ? m_attemptBase.at(command.job) : 0;
    if (!state || state->phase == State::JobPhase::Finished) {
        m_scheduler->attemptEnded(command.job, command.attempt, {AttemptEndKind::Stopped, {}, false}, now);
        m_scheduler->cancel(command.job, now);
        return;
    }
    const Worker::AttemptId id{command.job, base + command.attempt};
    RunningJob job{GangLaunch(m_settings.launch, id, state->job, command.members, m_lease.term()), base, {}, false};
    job.assignment = m_hooks.append(
        State::JobAssigned{command.job, id.attempt, m_settings.key.zone, m_settings.key.shard, m_lease.term(), command.members});
    const auto it = m_running.insert_or_assign(command.job, std::move(job)).first;
    m_active.insert(command.job);
    beginIfAssigned(it->second, now);
}

auto ShardController::beginIfAssigned(RunningJob &job, TimePoint now) -> void
{
    const auto &id = job.launch.id();
    const auto *state = m_replica.job(id.job);
    const auto isAssigned =
        state && state->attempt == id.attempt && state->term == m_lease.term() && state->phase == State::JobPhase::Assigned;
    const auto mayStartBeforeLog = job.launch.job().spec.idempotent && !m_hooks.isLogAvailable(now);
    if (isAssigned || mayStartBeforeLog) {
        job.launch.begin(now, sender(now));
        return;
    }
    if (state && m_replica.isApplied(job.assignment)) {
        // The assignment had no effect, because a late record of an earlier holder precedes it in the log.
        if (state->mayHaveStarted && !state->job.spec.idempotent) {
            writeOutcome(id.job, JobOutcome::Lost, JobReason::WorkerLost, "an attempt of an earlier holder may have started");
            m_scheduler->cancel(id.job, now);
        }
        job.launch.stop(now);
        return;
    }
    const auto isSuperseded = state && state->attempt >= id.attempt && state->term > m_lease.term();
    // A non-idempotent job does not reserve capacity while it waits for the log.
    if (isSuperseded || (!m_hooks.isLogAvailable(now) && m_hooks.withdraw(job.assignment))) {
        job.launch.stop(now);
    }
}

auto ShardController::execute(const Scheduling::CheckpointGang &command, TimePoint now) -> void
{
    const auto it = m_running.find(command.job);
    if (it != m_running.end()) {
        it->second.launch.checkpoint(command.grace, sender(now));
        m_active.insert(command.job);
    }
}

auto ShardController::execute(const Scheduling::StopGang &command, TimePoint now) -> void
{
    const auto it = m_running.find(command.job);
    if (it != m_running.end()) {
        it->second.launch.stop(now);
        m_active.insert(command.job);
    }
}

auto ShardController::execute(const Scheduling::FinishJob &command, TimePoint) -> void
{
    m_attemptBase.erase(command.job);
    const auto *state = m_replica.job(command.job);
    if (!state || (state->phase != State::JobPhase::Finished && isOwnShard(*state))) {
        writeOutcome(command.job, command.outcome, command.reason, command.detail);
    }
}

auto ShardController::finishAttempt(const JobId &id, TimePoint now) -> void
{
    const auto it = m_running.find(id);
    const auto launch = std::move(it->second.launch);
    const auto base = it->second.attemptBase;
    const auto assignment = it->second.assignment;
    m_running.erase(it);
    m_active.erase(id);
    const auto result = launch.result();
    if (!launch.mayHaveStarted() && !m_hooks.withdraw(assignment)) {
        m_hooks.append(State::AttemptAbandoned{id, launch.id().attempt, m_settings.key.zone, m_settings.key.shard, m_lease.term()});
    }
    m_unacknowledged.insert_or_assign(id, std::pair(launch.id(), launch.members()));
    m_scheduler->attemptEnded(id, launch.id().attempt - base, result, now);
    const auto *state = m_replica.job(id);
    const auto willRunAgain = launch.job().spec.idempotent && result.kind != AttemptEndKind::Succeeded;
    if (willRunAgain || (state && state->phase == State::JobPhase::Finished)) {
        acknowledge(launch.id(), launch.members(), now);
        m_unacknowledged.erase(id);
    }
}

auto ShardController::writeOutcome(const JobId &id, JobOutcome outcome, JobReason reason, std::string detail) -> void
{
    if (m_finishing.insert(id).second) {
        m_hooks.append(
            State::JobFinished{id, m_settings.key.zone, m_settings.key.shard, m_lease.term(), outcome, reason, std::move(detail)});
    }
}

auto ShardController::acknowledge(const Worker::AttemptId &id, const std::vector<GangMember> &members, TimePoint now) -> void
{
    for (const auto &it : members) {
        send(it.worker, Worker::Acknowledge{m_lease.term(), id}, now);
    }
}

} // namespace Acaciarail::Instance
