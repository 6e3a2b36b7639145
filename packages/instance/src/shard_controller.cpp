#include <acaciarail/instance/shard_controller.h>

#include <acaciarail/core/logging.h>
#include <acaciarail/instance/witness_planner.h>

#include <algorithm>

namespace Acaciarail::Instance {

namespace {

/// Intervals between passes over all workers or witnesses. A pass for each message of a worker would take time that grows with the
/// square of their number.
constexpr Duration workerPassInterval = 100ms;
constexpr Duration witnessPassInterval = 1s;

} // namespace

ShardController::ShardController(ShardControllerSettings settings, ShardHooks hooks, const State::Replica &replica, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_replica(replica)
    , m_seed(seed)
    , m_lease(m_settings.incarnation, m_settings.lease, seed)
{
}

ShardController::~ShardController() = default;

auto ShardController::setPolicy(const JobPolicy &policy, TimePoint now) -> void
{
    m_policy = policy;
    if (m_scheduler) {
        m_scheduler->setPolicy(policy, now);
    }
}

auto ShardController::setWorkers(const std::vector<ListedWorker> &workers, TimePoint now) -> void
{
    for (auto &[name, state] : m_workers) {
        state.isListed = false;
    }
    for (const auto &it : workers) {
        auto &state = m_workers[it.info.name];
        const auto isChanged = state.listed.info != it.info || state.listed.leaving != it.leaving;
        state.listed = it;
        state.isListed = true;
        if (isChanged && state.joined && m_scheduler) {
            m_scheduler->workerJoined(it.info, now);
            if (it.leaving) {
                m_scheduler->workerLeaving(it.info.name, now);
            }
        }
    }
    std::erase_if(m_workers, [](const auto &it) { return !it.second.isListed && !it.second.joined; });
}

auto ShardController::shardChanged(TimePoint now) -> void
{
    const auto *state = m_replica.shard(m_settings.key);
    if (!state) {
        return;
    }
    m_lease.setWitnesses({state->witnessVersion, state->witnesses, state->previousWitnesses});
    if (state->term > m_lease.term()) {
        perform(m_lease.refused(state->term, now), now);
    }
}

auto ShardController::replicaRestored(TimePoint now) -> void
{
    shardChanged(now);
    if (m_scheduler && m_recovered) {
        for (const auto &[id, it] : m_replica.jobs()) {
            jobChanged(id, now);
        }
    }
}

auto ShardController::workerReply(const WorkerName &worker, const Worker::Reply &reply, TimePoint now) -> void
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        return;
    }
    it->second.lastContact = now;
    std::visit([this, &worker, now](const auto &body) { onReply(worker, body, now); }, reply);
}

auto ShardController::workerDisconnected(const WorkerName &worker, TimePoint now) -> void
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        return;
    }
    it->second.attached = false;
    if (m_scheduler && it->second.joined) {
        it->second.suspended = true;
        m_scheduler->workerLeaving(worker, now);
    }
}

auto ShardController::onHolderContact(const Term &term, TimePoint now) -> void
{
    m_lease.onHolderContact(term, now);
}

auto ShardController::setRank(std::uint32_t rank) -> void
{
    m_lease.setRank(rank);
}

auto ShardController::setEligible(bool eligible, TimePoint now) -> void
{
    perform(m_lease.setEligible(eligible, now), now);
}

auto ShardController::tick(TimePoint now) -> void
{
    perform(m_lease.tick(now), now);
    if (now >= m_nextWitnessPass) {
        m_nextWitnessPass = now + witnessPassInterval;
        tickWitnesses(now);
    }
    if (!m_scheduler) {
        return;
    }
    if (now >= m_nextWorkerPass) {
        m_nextWorkerPass = now + workerPassInterval;
        tickWorkers(now);
    }
    tickRecovery(now);
    tickLaunches(now);
    tickScheduler(now);
}

auto ShardController::nextDeadline(TimePoint now) const -> TimePoint
{
    auto deadline = std::min(m_lease.nextDeadline(), now + workerPassInterval);
    for (const auto &id : m_active) {
        const auto it = m_running.find(id);
        deadline = it == m_running.end() ? deadline : std::min(deadline, it->second.launch.nextDeadline());
    }
    if (m_scheduler && mayDecide(now)) {
        deadline = std::min(deadline, m_scheduler->nextDeadline().value_or(TimePoint::max()));
    }
    return deadline;
}

auto ShardController::isHolder(TimePoint now) const -> bool
{
    return m_lease.isHolder(now);
}

auto ShardController::status(TimePoint now) const -> ShardStatus
{
    ShardStatus status{m_settings.key,   isHolder(now), m_recovered, m_lease.term(), m_workers.size(), 0,
                       m_running.size(), m_takeovers,   std::nullopt};
    status.workersAttached =
        static_cast<std::size_t>(std::count_if(m_workers.begin(), m_workers.end(), [](const auto &it) { return it.second.attached; }));
    if (m_scheduler) {
        status.summary = m_scheduler->summary();
    }
    return status;
}

auto ShardController::verify() const -> std::string
{
    return m_scheduler ? m_scheduler->verify() : std::string();
}

auto ShardController::explain(const JobId &id, TimePoint now) const -> std::optional<Scheduling::Explanation>
{
    return m_scheduler ? m_scheduler->explain(id, now) : std::nullopt;
}

auto ShardController::perform(const std::vector<State::LeaseCommand> &commands, TimePoint now) -> void
{
    for (const auto &command : commands) {
        if (const auto *attach = std::get_if<State::SendAttach>(&command)) {
            sendAttach(attach->worker, attach->term, now);
        } else if (const auto *renew = std::get_if<State::SendRenew>(&command)) {
            sendRenew(renew->worker, renew->term, renew->round, now);
        } else if (const auto *release = std::get_if<State::SendRelease>(&command)) {
            if (const auto it = m_workers.find(release->worker); it != m_workers.end()) {
                it->second.attached = false;
            }
            m_hooks.send(release->worker, Worker::Release{release->term});
        } else if (const auto *acquired = std::get_if<State::LeaseAcquired>(&command)) {
            becomeHolder(acquired->term, now);
        } else {
            loseShard();
        }
    }
}

auto ShardController::becomeHolder(const Term &term, TimePoint now) -> void
{
    ++m_takeovers;
    logEvent(LogLevel::Info, "shard-acquired",
             {{"zone", m_settings.key.zone.str()}, {"shard", m_settings.key.shard}, {"term", term.number}});
    m_hooks.append(State::HolderChanged{m_settings.key.zone, m_settings.key.shard, term, m_settings.instance});
    Scheduling::ZoneSchedulerSettings settings;
    settings.zone = m_settings.key.zone;
    m_scheduler.emplace(settings, m_seed + term.number);
    m_scheduler->setPolicy(m_policy, now);
    m_holderSince = now;
    m_nextWorkerPass = now;
    m_recovered = false;
    for (auto &[name, state] : m_workers) {
        state.joined = false;
        // The previous holder may have renewed the task leases until its own lease expired.
        state.lastLeaseSent = now;
        if (!state.attached) {
            sendAttach(name, term, now);
        }
    }
}

auto ShardController::loseShard() -> void
{
    logEvent(LogLevel::Warning, "shard-lost",
             {{"zone", m_settings.key.zone.str()}, {"shard", m_settings.key.shard}, {"term", m_lease.term().number}});
    m_scheduler.reset();
    m_recovered = false;
    m_running.clear();
    m_active.clear();
    m_attemptBase.clear();
    m_unacknowledged.clear();
    m_finishing.clear();
    m_reports.clear();
    for (auto &[name, state] : m_workers) {
        state.attached = false;
        state.joined = false;
    }
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Attached &reply, TimePoint now) -> void
{
    auto &state = m_workers.at(worker);
    if (!reply.granted) {
        if (reply.term > m_lease.term()) {
            perform(m_lease.refused(reply.term, now), now);
        }
        perform(m_lease.attachAnswered(worker, reply.term, false, now), now);
        return;
    }
    if (reply.term != m_lease.term()) {
        return;
    }
    state.attached = true;
    m_reports[worker] = reply.attempts;
    perform(m_lease.attachAnswered(worker, reply.term, true, now), now);
    if (m_scheduler && m_recovered) {
        reconcile(worker, reply.attempts, now);
    }
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Renewed &reply, TimePoint now) -> void
{
    perform(m_lease.renewAnswered(worker, reply.term, reply.round, now), now);
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Reserved &reply, TimePoint now) -> void
{
    if (auto *launch = findLaunch(reply.id)) {
        launch->reserved(worker, reply, now);
    }
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Started &reply, TimePoint) -> void
{
    if (auto *launch = findLaunch(reply.id)) {
        launch->started(worker, reply);
    }
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Confirmed &reply, TimePoint) -> void
{
    if (auto *launch = findLaunch(reply.id)) {
        launch->confirmed(worker);
    }
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Checkpointed &reply, TimePoint) -> void
{
    if (auto *launch = findLaunch(reply.id)) {
        launch->checkpointed(worker);
    }
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Ended &reply, TimePoint now) -> void
{
    if (auto *launch = findLaunch(reply.id)) {
        launch->ended(worker, reply.end);
        return;
    }
    if (!m_scheduler || !m_recovered || m_unacknowledged.contains(reply.id.job)) {
        return;
    }
    // A newer attempt has replaced this one, or the job's outcome is in the log.
    send(worker, Worker::Acknowledge{m_lease.term(), reply.id}, now);
}

auto ShardController::onReply(const WorkerName &, const Worker::Report &, TimePoint) -> void
{
}

auto ShardController::onReply(const WorkerName &worker, const Worker::Refused &reply, TimePoint now) -> void
{
    if (reply.term > m_lease.term()) {
        perform(m_lease.refused(reply.term, now), now);
    } else if (reply.error != Error::StaleTerm) {
        // The worker has restarted, or its grant was released: it must be attached again.
        m_workers.at(worker).attached = false;
    }
}

auto ShardController::sendAttach(const WorkerName &worker, const Term &term, TimePoint now) -> void
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end()) {
        it->second.attached = false;
        it->second.lastAttachSent = now;
        it->second.lastRenewSent = now;
    }
    m_hooks.send(worker, Worker::Attach{term, m_settings.lease.lease, m_lease.witnessVersion()});
}

auto ShardController::sendRenew(const WorkerName &worker, const Term &term, std::uint64_t round, TimePoint now) -> void
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end()) {
        it->second.lastRenewSent = now;
        it->second.lastLeaseSent = now;
    }
    m_hooks.send(worker, Worker::Renew{term, round, m_settings.lease.lease, m_settings.taskLease, m_lease.witnessVersion()});
}

auto ShardController::send(const WorkerName &worker, Worker::Request request, TimePoint now) -> void
{
    const auto it = m_workers.find(worker);
    // A worker accepts commands only under an unexpired holder lease. Without commands, only witnesses are renewed often enough for that.
    if (it != m_workers.end() && now - it->second.lastRenewSent > m_settings.lease.lease / 4) {
        sendRenew(worker, m_lease.term(), 0, now);
    }
    m_hooks.send(worker, std::move(request));
}

auto ShardController::sender(TimePoint now) -> SendToWorker
{
    return [this, now](const WorkerName &worker, Worker::Request request) { send(worker, std::move(request), now); };
}

auto ShardController::tickWorkers(TimePoint now) -> void
{
    if (!isHolder(now)) {
        return;
    }
    for (auto &[name, state] : m_workers) {
        tickWorker(name, state, now);
    }
    std::erase_if(m_workers, [](const auto &it) { return !it.second.isListed && !it.second.joined; });
}

auto ShardController::tickWorker(const WorkerName &name, WorkerState &state, TimePoint now) -> void
{
    const auto attachInterval = m_recovered ? m_settings.workerTimeout : m_settings.attachInterval;
    if (!state.attached && state.isListed && now - state.lastAttachSent >= attachInterval) {
        sendAttach(name, m_lease.term(), now);
    }
    const auto interval = renewInterval();
    if (state.attached && now - state.lastRenewSent >= interval) {
        sendRenew(name, m_lease.term(), 0, now);
    }
    if (state.attached && state.lastRenewSent > state.lastContact && now - state.lastContact > interval + m_settings.workerTimeout) {
        workerDisconnected(name, now);
    }
    if (!m_recovered) {
        return;
    }
    if (state.attached && !state.listed.leaving && (!state.joined || state.suspended)) {
        state.joined = true;
        state.suspended = false;
        m_scheduler->workerJoined(state.listed.info, now);
    }
    if (state.joined && !state.attached && now - state.lastLeaseSent > withDriftMargin(m_settings.taskLease)) {
        state.joined = false;
        for (auto &[id, it] : m_running) {
            if (it.launch.hasMember(name)) {
                it.launch.memberLost(name);
                m_active.insert(id);
            }
        }
        m_scheduler->workerLost(name, now);
    }
}

auto ShardController::renewInterval() const -> Duration
{
    const auto spread = m_settings.renewSpacing * static_cast<Duration::rep>(m_workers.size());
    return std::clamp(spread, m_settings.taskRenewInterval, std::max(m_settings.taskRenewInterval, m_settings.taskLease / 2));
}

auto ShardController::tickWitnesses(TimePoint now) -> void
{
    const auto *shard = m_replica.shard(m_settings.key);
    const auto version = shard ? shard->witnessVersion : 0;
    if (m_workers.empty() || m_proposedWitnessVersion > version || !m_hooks.isLogAvailable(now)) {
        return;
    }
    std::vector<WorkerInfo> usable;
    for (const auto &[name, it] : m_workers) {
        const auto isUsable = it.isListed && !it.listed.leaving && (it.attached || !m_scheduler);
        auto &since = m_unusableSince.try_emplace(name, now).first->second;
        since = isUsable ? now : since;
        if (now - since < m_settings.witnessReplaceAfter) {
            usable.push_back(it.listed.info);
        }
    }
    std::erase_if(m_unusableSince, [this](const auto &it) { return !m_workers.contains(it.first); });
    std::optional<std::vector<WorkerName>> next;
    if (version == 0) {
        next = chooseWitnesses(usable);
    } else if (isHolder(now) && m_lease.isWitnessVersionKnown()) {
        next = nextWitnesses(shard->witnesses, usable);
    }
    if (next && !next->empty()) {
        m_proposedWitnessVersion = version + 1;
        m_hooks.append(State::WitnessesChanged{m_settings.key.zone, m_settings.key.shard, version + 1, *next});
    }
}

auto ShardController::mayDecide(TimePoint now) const -> bool
{
    if (!m_recovered || !isHolder(now)) {
        return false;
    }
    const auto *shard = m_replica.shard(m_settings.key);
    // Once the term of this holder is in the log, the assignments of earlier holders are either known or will be refused.
    const auto isTermInLog = shard && shard->term == m_lease.term();
    return isTermInLog || (!m_hooks.isLogAvailable(now) && allWorkersAccountedFor(now));
}

auto ShardController::allWorkersAccountedFor(TimePoint now) const -> bool
{
    return now - m_holderSince > withDriftMargin(m_settings.taskLease)
        || std::all_of(m_workers.begin(), m_workers.end(), [](const auto &it) { return it.second.attached; });
}

auto ShardController::findLaunch(const Worker::AttemptId &id) -> GangLaunch *
{
    const auto it = m_running.find(id.job);
    if (it == m_running.end() || it->second.launch.id() != id) {
        return nullptr;
    }
    m_active.insert(id.job);
    return &it->second.launch;
}

auto ShardController::isOwnShard(const State::JobState &state) const -> bool
{
    return state.job.zone == m_settings.key.zone;
}

} // namespace Acaciarail::Instance
