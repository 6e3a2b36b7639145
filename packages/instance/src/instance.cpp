#include <acaciarail/instance/instance.h>

#include <acaciarail/instance/explanation_json.h>

#include <xxhash.h>

#include <algorithm>

namespace Acaciarail::Instance {

namespace {

/// Number of consecutive racks that belong to the same shard, so that neighbouring racks are usually in one shard.
constexpr std::uint32_t racksPerGroup = 16;

} // namespace

Instance::Instance(InstanceSettings settings, InstanceHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_outbox(m_settings.incarnation, m_settings.outbox)
    , m_membership(m_settings.self, m_settings.membership, m_settings.seed)
    , m_router(m_settings.router, m_settings.seed)
    , m_sync(m_settings.sync, m_replica)
    , m_idempotency(m_settings.self.name, m_settings.incarnation, m_replica, idempotencyHooks())
{
}

Instance::~Instance() = default;

auto Instance::idempotencyHooks() -> IdempotencyHooks
{
    IdempotencyHooks hooks;
    hooks.append = [this](State::RecordBody body) { return append(std::move(body)); };
    hooks.withdraw = [this](const State::RecordId &id) { return m_outbox.withdraw(id); };
    hooks.isLogAvailable = [this](TimePoint now) { return isLogAvailable(now); };
    hooks.hasEnded = [this](const InstanceName &name, std::uint64_t incarnation, TimePoint now) {
        return m_membership.hasEnded(name, incarnation, now);
    };
    hooks.route = [this](const Scheduling::RequestInfo &request, TimePoint now) { return m_router.submit(request, now); };
    hooks.refuse = [this](RequestId id, const Failure &failure) { m_hooks.refuseRequest(id, failure); };
    hooks.replay = [this](RequestId id, const StoredResponse &response) { m_hooks.replayResponse(id, response); };
    return hooks;
}

auto Instance::shardHooks() -> ShardHooks
{
    ShardHooks hooks;
    hooks.send = [this](const WorkerName &worker, const Worker::Request &request) { m_hooks.sendToWorker(worker, request); };
    hooks.append = [this](State::RecordBody body) { return append(std::move(body)); };
    hooks.withdraw = [this](const State::RecordId &id) { return m_outbox.withdraw(id); };
    hooks.isLogAvailable = [this](TimePoint now) { return isLogAvailable(now); };
    return hooks;
}

auto Instance::append(State::RecordBody body) -> State::RecordId
{
    return m_outbox.add(std::move(body), m_hooks.wallClock(), m_now);
}

auto Instance::logAppended(TimePoint now) -> void
{
    m_now = now;
    m_outbox.appendSucceeded(now);
    flushOutbox(now);
}

auto Instance::logAppendFailed(State::AppendFailure failure, TimePoint now) -> void
{
    m_now = now;
    m_outbox.appendFailed(failure, now);
}

auto Instance::logRead(const std::vector<LogEntry> &entries, const LogRange &range, TimePoint now) -> void
{
    m_now = now;
    m_logRange = range;
    m_logFailingSince.reset();
    m_lastLogRead = now;
    applyEntries(entries, now);
    if (!m_ready && m_replica.nextOffset() >= range.end) {
        becomeReady(now);
    }
    tick(now);
}

auto Instance::applyEntries(const std::vector<LogEntry> &entries, TimePoint now) -> void
{
    for (const auto &it : entries) {
        if (it.offset != m_replica.nextOffset()) {
            continue;
        }
        const auto effect = m_replica.apply(it);
        m_sync.entryApplied(it);
        handleEffect(effect, now);
    }
}

auto Instance::becomeReady(TimePoint now) -> void
{
    m_ready = true;
    m_lastSnapshotAt = now;
    m_configurationChangedAt = now;
    logEvent(LogLevel::Info, "instance-ready", {{"offset", m_replica.nextOffset()}, {"version", m_replica.configVersion()}});
}

auto Instance::logReadFailed(TimePoint now) -> void
{
    m_now = now;
    if (!m_logFailingSince) {
        m_logFailingSince = now;
    }
}

auto Instance::restoreSnapshot(LogOffset asOf, const std::vector<std::string> &parts, TimePoint now) -> std::error_code
{
    m_now = now;
    const auto before = m_replica.nextOffset();
    if (const auto ec = m_replica.restore(asOf, parts)) {
        return ec;
    }
    if (m_replica.nextOffset() != before) {
        stateRestored(now);
    }
    return {};
}

auto Instance::stateRestored(TimePoint now) -> void
{
    m_configurationChangedAt = now;
    for (auto &it : m_shards) {
        it->replicaRestored(now);
    }
    m_idempotency.replicaRestored(now);
    std::vector<State::RecordId> done;
    for (const auto &[record, it] : m_operations) {
        if (m_replica.isApplied(record)) {
            done.push_back(record);
        }
    }
    for (const auto &it : done) {
        // A snapshot does not contain the effect of a single record. Only a submitted job can be recognised, by its id.
        const auto operation = m_operations.at(it);
        if (operation.submitted && m_replica.job(operation.job)) {
            answer(it, JobSubmitted{operation.job, true});
        } else {
            answer(it,
                   OperationFailed{{Error::OutcomeUnknown, Execution::Unknown,
                                    "the state was restored from a snapshot; query it to see whether the operation took effect"},
                                   operation.job});
        }
    }
}

auto Instance::handleEffect(const State::RecordEffect &effect, TimePoint now) -> void
{
    if (const auto *config = std::get_if<State::ConfigEffect>(&effect)) {
        m_configurationChangedAt = config->accepted && !m_configurationChangedAt ? now : m_configurationChangedAt;
        tickConfiguration(now);
        handleConfigEffect(*config);
    } else if (const auto *job = std::get_if<State::JobEffect>(&effect)) {
        handleJobEffect(*job, now);
    } else if (const auto *idempotency = std::get_if<State::IdempotencyEffect>(&effect)) {
        m_idempotency.idempotencyChanged(*idempotency, now);
    } else if (std::holds_alternative<State::ShardEffect>(effect)) {
        for (auto &it : m_shards) {
            it->shardChanged(now);
        }
    }
}

auto Instance::handleConfigEffect(const State::ConfigEffect &effect) -> void
{
    if (effect.accepted && effect.version > m_versionInForce) {
        m_unansweredChanges.push_back(effect);
    } else {
        answer(effect.record, ConfigPublished{effect});
    }
}

auto Instance::handleJobEffect(const State::JobEffect &effect, TimePoint now) -> void
{
    const auto operation = m_operations.find(effect.record);
    if (operation != m_operations.end() && !operation->second.submitted) {
        const auto result = effect.accepted
            ? OperationResult(CancelAccepted{effect.job})
            : OperationResult(OperationFailed{{Error::UnknownJob, Execution::NotRun, "the job is unknown or has ended"}, effect.job});
        answer(effect.record, result);
    } else if (operation != m_operations.end() && effect.accepted) {
        answer(effect.record, JobSubmitted{effect.job, true});
    } else if (operation != m_operations.end()) {
        const auto *existing = m_replica.job(effect.existing);
        const auto isSame = existing && encode(existing->job.spec) == encode(*operation->second.submitted);
        const auto result = isSame ? OperationResult(JobSubmitted{effect.existing, false})
                                   : OperationResult(OperationFailed{
                                       {Error::DuplicateName, Execution::NotRun, "the organisation has another job with this name"}, {}});
        answer(effect.record, result);
    }
    if (effect.accepted && m_shards.size() > shardOf(effect.job)) {
        m_shards[shardOf(effect.job)]->jobChanged(effect.job, now);
    }
}

auto Instance::answer(const State::RecordId &record, const OperationResult &result) -> void
{
    const auto it = m_operations.find(record);
    if (it != m_operations.end()) {
        const auto id = it->second.id;
        m_operations.erase(it);
        m_hooks.answerOperation(id, result);
    }
}

auto Instance::failOperation(OperationId id, Failure failure, JobId job) -> void
{
    m_hooks.answerOperation(id, OperationFailed{std::move(failure), std::move(job)});
}

auto Instance::refusal(TimePoint now) const -> std::optional<Failure>
{
    if (m_draining) {
        return Failure{Error::Draining, Execution::NotRun, "this instance is shutting down"};
    }
    if (!isLogAvailable(now)) {
        return Failure{Error::LogUnavailable, Execution::NotRun, "the platform's log is not available"};
    }
    return std::nullopt;
}

auto Instance::submitRequest(const Scheduling::RequestInfo &request, TimePoint now) -> void
{
    m_now = now;
    if (m_draining) {
        m_hooks.refuseRequest(request.id, {Error::Draining, Execution::NotRun, "this instance is shutting down"});
        return;
    }
    if (const auto failure = m_router.submit(request, now)) {
        m_hooks.refuseRequest(request.id, *failure);
    }
    route(now);
}

auto Instance::submitNonIdempotentRequest(const NonIdempotentRequest &keyedRequest, TimePoint now) -> void
{
    m_now = now;
    if (m_draining) {
        m_hooks.refuseRequest(keyedRequest.request.id, {Error::Draining, Execution::NotRun, "this instance is shutting down"});
        return;
    }
    m_idempotency.submit(keyedRequest, now);
    flushOutbox(now);
}

auto Instance::cancelRequest(RequestId id, TimePoint now) -> void
{
    m_now = now;
    m_router.cancel(id, now);
    route(now);
}

auto Instance::attemptEnded(RequestId id, std::uint32_t attempt, const Scheduling::AttemptResult &result, TimePoint now) -> void
{
    m_now = now;
    m_router.attemptEnded(id, attempt, result, now);
    route(now);
}

auto Instance::route(TimePoint now) -> void
{
    for (const auto &command : m_router.decide(now)) {
        if (const auto *send = std::get_if<Scheduling::SendAttempt>(&command)) {
            m_hooks.sendAttempt(*send);
        } else if (const auto *refuse = std::get_if<Scheduling::RefuseRequest>(&command)) {
            m_idempotency.refused(refuse->request, refuse->failure);
            m_hooks.refuseRequest(refuse->request, refuse->failure);
        } else if (const auto *deliver = std::get_if<Scheduling::DeliverResponse>(&command)) {
            m_idempotency.completed(deliver->request, m_hooks.deliverResponse(deliver->request, deliver->attempt));
        } else if (const auto *cancel = std::get_if<Scheduling::CancelAttempt>(&command)) {
            m_hooks.cancelAttempt(*cancel);
        }
    }
}

auto Instance::submitJob(OperationId id, const JobSpec &spec, TimePoint deadline, TimePoint now) -> void
{
    m_now = now;
    if (const auto failure = refusal(now)) {
        failOperation(id, *failure);
        return;
    }
    if (const auto failure = validateJobSpec(spec)) {
        failOperation(id, *failure);
        return;
    }
    const auto *existing = m_replica.jobByName(spec.organisation, spec.name);
    if (existing) {
        encode(existing->job.spec) == encode(spec)
            ? m_hooks.answerOperation(id, JobSubmitted{existing->job.id, false})
            : failOperation(
                id, {Error::DuplicateName, Execution::NotRun, "the organisation has another job with the name \"" + spec.name + "\""});
        return;
    }
    const auto zone = chooseZone(spec);
    if (!canFit(spec, zone)) {
        failOperation(id,
                      {Error::NeverFits, Execution::NotRun,
                       "no worker of zone \"" + zone.str() + "\" can hold one task of this shape, or the zone has too few workers"});
        return;
    }
    Job job{{}, spec, zone};
    const auto n = m_settings.incarnation;
    char buf[32];
    std::snprintf(buf, sizeof buf, "j%llx-%zx", static_cast<unsigned long long>(n & 0xffff'ffffU),
                  static_cast<std::size_t>(++m_lastNumber));
    job.id = JobId(std::string(buf));
    const auto record = append(State::JobAccepted{job});
    m_operations.emplace(record, PendingOperation{id, deadline, job.id, spec});
    flushOutbox(now);
}

auto Instance::cancelJob(OperationId id, const JobId &job, const CallerName &caller, TimePoint deadline, TimePoint now) -> void
{
    m_now = now;
    if (const auto failure = refusal(now)) {
        failOperation(id, *failure, job);
        return;
    }
    m_operations.emplace(append(State::CancelRequested{job, caller}), PendingOperation{id, deadline, job, {}});
    flushOutbox(now);
}

auto Instance::publish(OperationId id, const State::ConfigChange &change, TimePoint deadline, TimePoint now) -> void
{
    m_now = now;
    if (const auto failure = refusal(now)) {
        failOperation(id, *failure);
        return;
    }
    m_operations.emplace(append(change), PendingOperation{id, deadline, {}, {}});
    flushOutbox(now);
}

auto Instance::explainJob(OperationId id, const JobId &job, TimePoint deadline, TimePoint now) -> void
{
    m_now = now;
    const auto *state = m_replica.job(job);
    if (!state) {
        failOperation(id, {Error::UnknownJob, Execution::NotRun, "the job is unknown"}, job);
        return;
    }
    const auto explanation = explain(job, now);
    const auto claim = m_membership.claim({state->job.zone, shardOf(job)}, now, m_settings.membership.livenessTimeout);
    if (explanation || !claim || state->phase == State::JobPhase::Finished) {
        m_hooks.answerOperation(id, JobExplained{renderExplanation(*state, explanation ? &*explanation : nullptr, now)});
        return;
    }
    m_pendingExplanations.emplace(++m_lastNumber, PendingOperation{id, std::min(deadline, now + m_settings.logUnavailableAfter), job, {}});
    m_hooks.sendToPeer(claim->holder, Peer::ExplainRequest{m_lastNumber, job});
}

auto Instance::explain(const JobId &job, TimePoint now) const -> std::optional<Scheduling::Explanation>
{
    const auto shard = shardOf(job);
    return shard < m_shards.size() ? m_shards[shard]->explain(job, now) : std::nullopt;
}

auto Instance::describeIdempotency(const State::IdempotencyState &state, TimePoint now) const -> std::optional<Failure>
{
    return m_idempotency.describe(state, now);
}

auto Instance::chooseZone(const JobSpec &spec) const -> ZoneName
{
    if (!spec.zone.empty()) {
        return spec.zone;
    }
    const auto &organisations = m_configuration.jobs.organisations;
    const auto organisation =
        std::find_if(organisations.begin(), organisations.end(), [&spec](const auto &it) { return it.name == spec.organisation; });
    std::map<ZoneName, std::int64_t> scores;
    for (const auto &it : m_list.workers) {
        scores.try_emplace(it.info.zone, 0);
    }
    for (const auto &[key, claim] : m_membership.claims()) {
        scores[key.zone] += static_cast<std::int64_t>(claim.freeAccelerators) - static_cast<std::int64_t>(claim.queuedJobs);
    }
    for (const auto &shard : m_shards) {
        const auto status = shard->status(m_now);
        if (status.summary) {
            const auto queued = status.summary->queued;
            scores[status.key.zone] += static_cast<std::int64_t>(status.summary->free.accelerators) - queued[0] - queued[1] - queued[2];
        }
    }
    // A zone where the organisation has a large enough guarantee is preferred: a job there does not depend on borrowed capacity.
    constexpr std::int64_t guaranteePreference = 1'000'000;
    if (organisation != organisations.end()) {
        for (const auto &it : organisation->guarantees) {
            if (it.shape.accelerators() >= spec.shape.accelerators() && it.shape.perTask.accelerators >= spec.shape.perTask.accelerators) {
                scores[it.zone] += guaranteePreference;
            }
        }
    }
    std::erase_if(scores, [this, &spec](const auto &it) { return !canFit(spec, it.first); });
    const auto best = std::max_element(scores.begin(), scores.end(), [this](const auto &a, const auto &b) {
        const auto key = [this](const auto &it) { return std::pair(it.second, it.first == m_settings.self.zone); };
        return key(a) < key(b);
    });
    return best == scores.end() ? m_settings.self.zone : best->first;
}

auto Instance::canFit(const JobSpec &spec, const ZoneName &zone) const -> bool
{
    const auto &need = spec.shape.perTask;
    std::uint64_t tasks = 0;
    for (const auto &it : m_list.workers) {
        const auto &has = it.info.capacity;
        if (it.info.zone != zone) {
            continue;
        }
        std::uint64_t n = spec.shape.tasks;
        n = need.accelerators > 0 ? std::min<std::uint64_t>(n, has.accelerators / need.accelerators) : n;
        n = need.cores > 0 ? std::min<std::uint64_t>(n, has.cores / need.cores) : n;
        n = need.memoryMiB > 0 ? std::min<std::uint64_t>(n, has.memoryMiB / need.memoryMiB) : n;
        tasks = spec.shape.adjacency == Adjacency::Worker ? std::max(tasks, n) : tasks + n;
    }
    return tasks >= spec.shape.tasks;
}

auto Instance::isReady() const noexcept -> bool
{
    return m_ready && !m_draining;
}

auto Instance::versionInForce() const noexcept -> std::uint64_t
{
    return m_versionInForce;
}

auto Instance::hasConfiguration() const noexcept -> bool
{
    return m_hasConfiguration;
}

auto Instance::isLogAvailable(TimePoint now) const -> bool
{
    return m_ready && m_outbox.isLogAvailable(now) && !(m_logFailingSince && now - *m_logFailingSince >= m_settings.logUnavailableAfter);
}

auto Instance::nextOffset() const noexcept -> LogOffset
{
    return m_replica.nextOffset();
}

auto Instance::replica() const noexcept -> const State::Replica &
{
    return m_replica;
}

auto Instance::configuration() const noexcept -> const Configuration &
{
    return m_configuration;
}

auto Instance::isHolder(TimePoint now) const -> bool
{
    return std::any_of(m_shards.begin(), m_shards.end(), [now](const auto &it) { return it->isHolder(now); });
}

auto Instance::verify() const -> std::string
{
    for (const auto &it : m_shards) {
        if (auto fault = it->verify(); !fault.empty()) {
            return fault;
        }
    }
    return {};
}

auto Instance::status(TimePoint now) const -> InstanceStatus
{
    InstanceStatus status;
    status.name = m_settings.self.name;
    status.zone = m_settings.self.zone;
    status.nextOffset = m_replica.nextOffset();
    status.configVersion = m_replica.configVersion();
    status.isReady = isReady();
    status.isDraining = m_draining;
    status.isLogAvailable = isLogAvailable(now);
    status.livePeers = m_membership.liveCount(now) - 1;
    status.pendingRecords = m_outbox.pendingCount();
    status.appends = m_outbox.appendCount();
    status.openNonIdempotentRequests = m_idempotency.openCount();
    status.router = m_router.stats();
    for (const auto &it : m_shards) {
        status.shards.push_back(it->status(now));
    }
    return status;
}

auto Instance::drain(TimePoint now) -> void
{
    m_now = now;
    m_draining = true;
    for (auto &it : m_shards) {
        it->setEligible(false, now);
    }
    m_nextHeartbeat = now;
    tick(now);
}

auto Instance::isDrained(TimePoint now) const -> bool
{
    const auto stats = m_router.stats();
    const auto isIdle = stats.queued == 0 && stats.inFlight == 0 && m_idempotency.openCount() == 0 && m_operations.empty();
    return m_draining && isIdle && (m_outbox.pendingCount() == 0 || !isLogAvailable(now));
}

auto Instance::shardOf(const JobId &job) const -> std::uint32_t
{
    const auto hash = XXH64(job.str().data(), job.str().size(), 0);
    return static_cast<std::uint32_t>(hash % m_configuration.shards);
}

auto Instance::workersOf(std::uint32_t shard) const -> std::vector<ListedWorker>
{
    std::vector<ListedWorker> workers;
    for (const auto &it : m_list.workers) {
        if (it.info.zone == m_settings.self.zone && it.info.rackPosition / racksPerGroup % m_configuration.shards == shard) {
            workers.push_back(it);
        }
    }
    return workers;
}

} // namespace Acaciarail::Instance
