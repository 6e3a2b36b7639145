#include <acaciarail/instance/instance.h>

#include <acaciarail/instance/explanation_json.h>

#include <algorithm>
#include <utility>

namespace Acaciarail::Instance {

namespace {

constexpr Duration housekeepingInterval = 1s;
constexpr std::size_t maxOrphanedRequestsPerPass = 200;
/// No snapshot is written for fewer new records, such as those of the last snapshot itself.
constexpr std::uint64_t minRecordsForSnapshot = 64;

} // namespace

auto Instance::tick(TimePoint now) -> void
{
    m_now = now;
    tickConfiguration(now);
    tickHeartbeat(now);
    tickSync(now);
    m_idempotency.tick(now);
    tickOperations(now);
    if (now >= m_nextHousekeeping) {
        m_nextHousekeeping = now + housekeepingInterval;
        tickHousekeeping(now);
    }
    for (auto &it : m_shards) {
        it->tick(now);
    }
    route(now);
    flushOutbox(now);
}

auto Instance::nextDeadline(TimePoint now) const -> TimePoint
{
    auto deadline = std::min({m_nextHeartbeat, m_nextHousekeeping, now + housekeepingInterval});
    const auto consider = [&deadline](std::optional<TimePoint> t) { deadline = std::min(deadline, t.value_or(TimePoint::max())); };
    consider(m_outbox.nextDeadline());
    consider(m_router.nextDeadline());
    consider(m_idempotency.nextDeadline());
    if (m_configurationChangedAt) {
        consider(std::max(*m_configurationChangedAt, m_configuredAt + m_settings.configurationDelay));
    }
    for (const auto &it : m_shards) {
        consider(it->nextDeadline(now));
    }
    for (const auto &[record, it] : m_operations) {
        consider(it.deadline);
    }
    for (const auto &[id, it] : m_pendingExplanations) {
        consider(it.deadline);
    }
    return deadline;
}

auto Instance::flushOutbox(TimePoint now) -> void
{
    if (auto batch = m_outbox.nextBatch(now); !batch.empty()) {
        m_hooks.appendLog(std::move(batch));
    }
}

auto Instance::tickConfiguration(TimePoint now) -> void
{
    // The first change of a burst takes effect at once, and the others together after the delay.
    if (!m_ready || !m_configurationChangedAt || now < m_configuredAt + m_settings.configurationDelay) {
        return;
    }
    m_configurationChangedAt.reset();
    m_configuredAt = now;
    m_configuration = m_hooks.readConfiguration(m_replica.documents());
    m_configuration.shards = std::max(m_configuration.shards, 1U);
    m_hasConfiguration = true;
    m_versionInForce = m_replica.configVersion();
    m_router.setPolicy(m_configuration.requests, now);
    updateShards(now);
    for (auto &it : m_shards) {
        it->setPolicy(m_configuration.jobs, now);
    }
    for (const auto &it : std::exchange(m_unansweredChanges, {})) {
        answer(it.record, ConfigPublished{it});
    }
    logEvent(LogLevel::Info, "configuration-in-force", {{"version", m_replica.configVersion()}, {"offset", m_replica.nextOffset()}});
}

auto Instance::updateShards(TimePoint now) -> void
{
    if (!m_hasConfiguration) {
        return;
    }
    if (m_shards.size() != m_configuration.shards) {
        for (auto &it : m_shards) {
            it->setEligible(false, now);
        }
        m_shards.clear();
        for (std::uint32_t i = 0; i < m_configuration.shards; ++i) {
            auto settings = m_settings.shard;
            settings.key = {m_settings.self.zone, i};
            settings.instance = m_settings.self.name;
            settings.incarnation = m_settings.incarnation;
            m_shards.push_back(std::make_unique<ShardController>(settings, shardHooks(), m_replica, m_settings.seed + i));
            m_shards.back()->setPolicy(m_configuration.jobs, now);
            m_shards.back()->shardChanged(now);
            m_shards.back()->setEligible(!m_draining, now);
        }
    }
    for (std::uint32_t i = 0; i < m_shards.size(); ++i) {
        m_shards[i]->setWorkers(workersOf(i), now);
    }
}

auto Instance::setPlatformList(const PlatformList &list, TimePoint now) -> void
{
    m_now = now;
    std::map<EndpointName, EndpointInfo> removed;
    for (const auto &it : m_list.endpoints) {
        removed.emplace(it.name, it);
    }
    for (const auto &it : list.endpoints) {
        removed.erase(it.name);
        m_router.endpointListed(it, now);
    }
    for (const auto &[name, it] : removed) {
        m_router.endpointUnlisted(name, now);
    }
    m_list = list;
    m_membership.setListed(list.instances);
    updateShards(now);
    route(now);
}

auto Instance::tickHeartbeat(TimePoint now) -> void
{
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + m_settings.membership.heartbeatInterval;
    Peer::Heartbeat heartbeat{m_settings.self.name, m_settings.incarnation, m_settings.self.zone, m_replica.nextOffset(), m_draining, {}};
    for (const auto &it : m_shards) {
        if (!it->isHolder(now)) {
            continue;
        }
        const auto status = it->status(now);
        Peer::HeldShard held{status.key.zone, status.key.shard, status.term, 0, 0};
        if (status.summary) {
            held.freeAccelerators = status.summary->free.accelerators;
            held.queuedJobs = status.summary->queued[0] + status.summary->queued[1] + status.summary->queued[2];
        }
        heartbeat.held.push_back(held);
    }
    for (const auto &it : m_membership.heartbeatTargets()) {
        m_hooks.sendToPeer(it.name, heartbeat);
    }
}

auto Instance::tickSync(TimePoint now) -> void
{
    // Records are requested from peers only while the log cannot be read, or until this instance has caught up.
    const auto needsPeers = m_logFailingSince || !m_ready || now - m_lastLogRead > m_settings.askPeersAfter;
    if (!needsPeers) {
        return;
    }
    if (const auto request =
            m_sync.nextRequest(m_membership.peersAhead(m_replica.nextOffset(), now), !m_ready && m_replica.nextOffset() == 0, now)) {
        m_hooks.sendToPeer(request->first, request->second);
    }
}

auto Instance::tickOperations(TimePoint now) -> void
{
    std::vector<State::RecordId> late;
    for (const auto &[record, it] : m_operations) {
        if (now >= it.deadline) {
            late.push_back(record);
        }
    }
    for (const auto &it : late) {
        const auto job = m_operations.at(it).job;
        const auto failure = m_outbox.withdraw(it)
            ? Failure{Error::LogUnavailable, Execution::NotRun,
                      "the record was not appended to the log before the deadline and was withdrawn"}
            : Failure{Error::OutcomeUnknown, Execution::Unknown,
                      "the log did not confirm the record before the deadline; it may still take effect"};
        answer(it, OperationFailed{failure, job});
    }
    std::erase_if(m_pendingExplanations, [this, now](const auto &it) {
        if (now < it.second.deadline) {
            return false;
        }
        const auto *state = m_replica.job(it.second.job);
        m_hooks.answerOperation(it.second.id, JobExplained{state ? renderExplanation(*state, nullptr, now) : "{}"});
        return true;
    });
}

auto Instance::tickHousekeeping(TimePoint now) -> void
{
    const auto perInstance = m_settings.appendsPerSecond / static_cast<double>(m_membership.liveCount(now));
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / perInstance));
    m_outbox.setInterval(std::max(interval, m_settings.outbox.interval));
    const auto rank = m_membership.rankInZone(now);
    for (auto &it : m_shards) {
        it->setRank(rank);
    }
    if (m_ready && m_wasLogAvailable != isLogAvailable(now)) {
        m_wasLogAvailable = !m_wasLogAvailable;
        logEvent(m_wasLogAvailable ? LogLevel::Info : LogLevel::Warning, m_wasLogAvailable ? "log-available" : "log-unavailable",
                 {{"offset", m_replica.nextOffset()}, {"pending", m_outbox.pendingCount()}});
    }
    if (!m_ready || m_draining || !isLogAvailable(now)) {
        return;
    }
    if (m_membership.isFirst(now)) {
        m_idempotency.closeOrphanedRequests(maxOrphanedRequestsPerPass, now);
        tickSnapshot(now);
        tickUnassignedJobs(now);
    }
}

auto Instance::tickSnapshot(TimePoint now) -> void
{
    if (m_lastSnapshot != m_replica.lastSnapshot()) {
        m_lastSnapshot = m_replica.lastSnapshot();
        m_lastSnapshotAt = now;
    }
    const auto last = std::max(m_lastSnapshot.value_or(0), m_snapshotProposedAt.value_or(0));
    const auto asOf = m_replica.nextOffset();
    const auto added = asOf - last;
    const auto middle = m_logRange.earliest + (m_logRange.end - m_logRange.earliest) / 2;
    const auto isLeavingLog = m_logRange.earliest > 0 && last < middle;
    const auto isOld = now - m_lastSnapshotAt >= m_settings.snapshotInterval && added >= minRecordsForSnapshot;
    if (m_outbox.pendingCount() > 0 || (added < m_settings.snapshotEvery && !isLeavingLog && !isOld)) {
        return;
    }
    const auto parts = m_replica.snapshot();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        append(State::SnapshotRecord{asOf, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(parts.size()), parts[i]});
    }
    m_snapshotProposedAt = asOf;
    m_lastSnapshotAt = now;
    logEvent(LogLevel::Info, "snapshot-written", {{"offset", asOf}, {"parts", parts.size()}});
    flushOutbox(now);
}

auto Instance::tickUnassignedJobs(TimePoint now) -> void
{
    std::erase_if(m_unassignedSince, [this](const auto &it) {
        const auto *state = m_replica.job(it.first);
        return !state || state->phase != State::JobPhase::Accepted;
    });
    for (const auto &[id, state] : m_replica.jobs()) {
        if (state.phase != State::JobPhase::Accepted || state.attempt != 0 || !state.job.spec.zone.empty()) {
            continue;
        }
        const auto hasHolder =
            std::any_of(m_membership.claims().begin(), m_membership.claims().end(),
                        [&state = state, now](const auto &it) {
                            return it.first.zone == state.job.zone && now - it.second.lastContact < housekeepingInterval * 5;
                        })
            || (state.job.zone == m_settings.self.zone
                && std::any_of(m_shards.begin(), m_shards.end(), [now](const auto &it) { return it->isHolder(now); }));
        auto &since = m_unassignedSince.try_emplace(id, now).first->second;
        since = hasHolder ? now : since;
        if (now - since < m_settings.moveJobsAfter) {
            continue;
        }
        const auto zone = chooseZone(state.job.spec);
        if (zone != state.job.zone) {
            append(State::JobMoved{id, state.job.zone, zone});
        }
        since = now;
    }
}

auto Instance::workerReply(const WorkerName &worker, const Worker::Reply &reply, TimePoint now) -> void
{
    m_now = now;
    for (auto &it : m_shards) {
        it->workerReply(worker, reply, now);
        it->tick(now);
    }
    flushOutbox(now);
}

auto Instance::workerDisconnected(const WorkerName &worker, TimePoint now) -> void
{
    m_now = now;
    for (auto &it : m_shards) {
        it->workerDisconnected(worker, now);
    }
}

auto Instance::peerMessage(const InstanceName &from, const Peer::Message &message, TimePoint now) -> void
{
    m_now = now;
    std::visit([this, &from, now](const auto &it) { receive(from, it, now); }, message);
}

auto Instance::receive(const InstanceName &, const Peer::Heartbeat &message, TimePoint now) -> void
{
    std::map<State::ShardKey, State::ShardClaim> held;
    for (const auto &it : message.held) {
        held[{it.zone, it.shard}] = {it.term, message.instance, now, it.freeAccelerators, it.queuedJobs};
        if (it.zone == m_settings.self.zone && it.shard < m_shards.size()) {
            m_shards[it.shard]->onHolderContact(it.term, now);
        }
    }
    m_membership.heartbeat({message.instance, message.zone, message.incarnation, message.nextOffset, message.draining, now}, held);
}

auto Instance::receive(const InstanceName &from, const Peer::RecordsRequest &message, TimePoint) -> void
{
    for (const auto &it : m_sync.answer(message)) {
        m_hooks.sendToPeer(from, it);
    }
}

auto Instance::receive(const InstanceName &, const Peer::Records &message, TimePoint now) -> void
{
    m_sync.answered();
    applyEntries(message.entries, now);
    if (!m_ready && !message.entries.empty()) {
        becomeReady(now);
    }
    tick(now);
}

auto Instance::receive(const InstanceName &from, const Peer::SnapshotRequest &message, TimePoint) -> void
{
    for (const auto &it : m_sync.answer(message)) {
        m_hooks.sendToPeer(from, it);
    }
}

auto Instance::receive(const InstanceName &, const Peer::SnapshotPart &message, TimePoint now) -> void
{
    const auto parts = m_sync.received(message);
    if (parts && !restoreSnapshot(message.nextOffset, *parts, now) && !m_ready) {
        becomeReady(now);
    }
}

auto Instance::receive(const InstanceName &from, const Peer::ExplainRequest &message, TimePoint now) -> void
{
    const auto *state = m_replica.job(message.job);
    const auto explanation = explain(message.job, now);
    Peer::ExplainReply reply{message.request, state && explanation, {}};
    if (reply.found) {
        reply.explanation = renderExplanation(*state, &*explanation, now);
    }
    m_hooks.sendToPeer(from, reply);
}

auto Instance::receive(const InstanceName &, const Peer::ExplainReply &message, TimePoint now) -> void
{
    const auto it = m_pendingExplanations.find(message.request);
    if (it == m_pendingExplanations.end()) {
        return;
    }
    const auto operation = it->second;
    m_pendingExplanations.erase(it);
    const auto *state = m_replica.job(operation.job);
    const auto fallback = state ? renderExplanation(*state, nullptr, now) : std::string("{}");
    m_hooks.answerOperation(operation.id, JobExplained{message.found ? message.explanation : fallback});
}

} // namespace Acaciarail::Instance
