#include <acaciarail/state/replica.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Acaciarail::State {

namespace {

/// Number of workers that are in exactly one of two sorted sets.
auto differenceSize(const std::vector<WorkerName> &a, const std::vector<WorkerName> &b) -> std::size_t
{
    std::vector<WorkerName> difference;
    std::set_symmetric_difference(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(difference));
    return difference.size();
}

} // namespace

Replica::Replica(ReplicaLimits limits)
    : m_limits(limits)
{
}

auto Replica::apply(const LogEntry &entry) -> RecordEffect
{
    if (entry.offset != m_nextOffset) {
        return {};
    }
    ++m_nextOffset;
    Record record;
    if (const auto ec = decodeRecord(entry.bytes, record)) {
        return {};
    }
    if (isRepeated(record.id)) {
        return {};
    }
    return std::visit([this, &record](const auto &body) { return applyBody(record.id, body); }, record.body);
}

auto Replica::nextOffset() const noexcept -> LogOffset
{
    return m_nextOffset;
}

auto Replica::isApplied(const RecordId &id) const -> bool
{
    const auto it = m_incarnations.find(id.incarnation);
    return it != m_incarnations.end() && it->second.lastSequence >= id.sequence;
}

auto Replica::configVersion() const noexcept -> std::uint64_t
{
    return m_configVersion;
}

auto Replica::documents() const noexcept -> const std::map<std::string, Document> &
{
    return m_documents;
}

auto Replica::job(const JobId &id) const -> const JobState *
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

auto Replica::jobByName(const OrganisationName &organisation, std::string_view name) const -> const JobState *
{
    const auto it = m_jobNames.find({organisation, std::string(name)});
    return it == m_jobNames.end() ? nullptr : job(it->second);
}

auto Replica::jobs() const noexcept -> const std::map<JobId, JobState> &
{
    return m_jobs;
}

auto Replica::idempotencyState(const IdempotencyKey &key) const -> const IdempotencyState *
{
    const auto it = m_idempotencyStates.find(key);
    return it == m_idempotencyStates.end() ? nullptr : &it->second;
}

auto Replica::idempotencyStates() const noexcept -> const std::map<IdempotencyKey, IdempotencyState> &
{
    return m_idempotencyStates;
}

auto Replica::shard(const ShardKey &key) const -> const ShardState *
{
    const auto it = m_shards.find(key);
    return it == m_shards.end() ? nullptr : &it->second;
}

auto Replica::lastSnapshot() const noexcept -> std::optional<LogOffset>
{
    return m_lastSnapshot;
}

auto Replica::isRepeated(const RecordId &id) -> bool
{
    auto &state = m_incarnations[id.incarnation];
    if (id.sequence <= state.lastSequence) {
        return true;
    }
    state = {id.sequence, m_nextOffset};
    if (m_incarnations.size() > m_limits.incarnations) {
        const auto oldest = std::min_element(m_incarnations.begin(), m_incarnations.end(),
                                             [](const auto &a, const auto &b) { return a.second.lastOffset < b.second.lastOffset; });
        m_incarnations.erase(oldest);
    }
    return false;
}

auto Replica::shardTerm(const ShardKey &key) const -> Term
{
    const auto *state = shard(key);
    return state ? state->term : Term{};
}

auto Replica::applyBody(const RecordId &id, const ConfigChange &change) -> RecordEffect
{
    for (const auto &it : change.documents) {
        const auto found = m_documents.find(it.name);
        const auto version = found == m_documents.end() ? 0 : found->second.version;
        if (version != it.baseVersion) {
            const auto conflictingDocument = found == m_documents.end() ? Document{it.name, 0, {}, {}} : found->second;
            return ConfigEffect{id, false, m_configVersion, conflictingDocument};
        }
    }
    for (const auto &it : change.documents) {
        m_documents[it.name] = Document{it.name, it.baseVersion + 1, it.text, it.origin};
    }
    ++m_configVersion;
    return ConfigEffect{id, true, m_configVersion, std::nullopt};
}

auto Replica::applyBody(const RecordId &id, const JobAccepted &accepted) -> RecordEffect
{
    const auto &job = accepted.job;
    const auto [it, isNew] = m_jobNames.try_emplace({job.spec.organisation, job.spec.name}, job.id);
    if (!isNew) {
        return JobEffect{id, job.id, false, it->second};
    }
    m_jobs[job.id].job = job;
    return JobEffect{id, job.id, true, {}};
}

auto Replica::applyBody(const RecordId &id, const JobAssigned &assigned) -> RecordEffect
{
    const JobEffect refused{id, assigned.job, false, {}};
    const auto it = m_jobs.find(assigned.job);
    if (it == m_jobs.end() || it->second.phase == JobPhase::Finished || it->second.job.zone != assigned.zone) {
        return refused;
    }
    auto &state = it->second;
    const auto isAdoption = assigned.attempt == state.attempt && assigned.term > state.term;
    const auto isNext = assigned.attempt > state.attempt && (!state.mayHaveStarted || state.job.spec.idempotent);
    if (assigned.term < shardTerm({assigned.zone, assigned.shard}) || (!isAdoption && !isNext)) {
        return refused;
    }
    state.phase = JobPhase::Assigned;
    state.attempt = assigned.attempt;
    state.mayHaveStarted = true;
    state.term = assigned.term;
    state.members = assigned.members;
    return JobEffect{id, assigned.job, true, {}};
}

auto Replica::applyBody(const RecordId &id, const AttemptAbandoned &abandoned) -> RecordEffect
{
    const auto it = m_jobs.find(abandoned.job);
    const auto accepted = it != m_jobs.end() && it->second.phase == JobPhase::Assigned && it->second.attempt == abandoned.attempt
        && it->second.term == abandoned.term && abandoned.term >= shardTerm({abandoned.zone, abandoned.shard});
    if (accepted) {
        it->second.phase = JobPhase::Accepted;
        it->second.mayHaveStarted = false;
        it->second.members.clear();
    }
    return JobEffect{id, abandoned.job, accepted, {}};
}

auto Replica::applyBody(const RecordId &id, const JobFinished &finished) -> RecordEffect
{
    const JobEffect refused{id, finished.job, false, {}};
    const auto it = m_jobs.find(finished.job);
    if (it == m_jobs.end() || it->second.phase == JobPhase::Finished || it->second.job.zone != finished.zone) {
        return refused;
    }
    if (finished.term < shardTerm({finished.zone, finished.shard})) {
        return refused;
    }
    auto &state = it->second;
    state.phase = JobPhase::Finished;
    state.members.clear();
    state.outcome = finished.outcome;
    state.reason = finished.reason;
    state.detail = finished.detail;
    m_finishedJobs.push_back(finished.job);
    forgetOldJobs();
    return JobEffect{id, finished.job, true, {}};
}

auto Replica::applyBody(const RecordId &id, const CancelRequested &cancel) -> RecordEffect
{
    const auto it = m_jobs.find(cancel.job);
    const auto accepted = it != m_jobs.end() && it->second.phase != JobPhase::Finished;
    if (accepted) {
        it->second.cancelRequested = true;
    }
    return JobEffect{id, cancel.job, accepted, {}};
}

auto Replica::applyBody(const RecordId &id, const JobMoved &moved) -> RecordEffect
{
    const auto it = m_jobs.find(moved.job);
    const auto accepted = it != m_jobs.end() && it->second.phase == JobPhase::Accepted && it->second.job.zone == moved.from
        && it->second.job.spec.zone.empty();
    if (accepted) {
        it->second.job.zone = moved.to;
    }
    return JobEffect{id, moved.job, accepted, {}};
}

auto Replica::applyBody(const RecordId &id, const RequestClaimed &claimed) -> RecordEffect
{
    const IdempotencyKey key{claimed.organisation, claimed.key};
    auto &state = m_idempotencyStates[key];
    const auto isNew = state.claim == RecordId{};
    const auto didNotRun = state.finished && state.execution == Execution::NotRun;
    if (!isNew && !didNotRun) {
        return IdempotencyEffect{id, key, false};
    }
    if (didNotRun) {
        std::erase(m_finishedRequests, key);
    }
    state = IdempotencyState{key, claimed.fingerprint, claimed.claimant, id, false, false, Execution::Unknown, 0, {}, {}};
    return IdempotencyEffect{id, key, true};
}

auto Replica::applyBody(const RecordId &id, const RequestFinished &finished) -> RecordEffect
{
    const IdempotencyKey key{finished.organisation, finished.key};
    const auto it = m_idempotencyStates.find(key);
    if (it == m_idempotencyStates.end() || it->second.confirmed) {
        return IdempotencyEffect{id, key, false};
    }
    auto &state = it->second;
    const auto isClaimant = state.claim.incarnation == id.incarnation;
    // Another instance may only report an unknown outcome, which a later outcome of the claimant replaces.
    if (!isClaimant && (finished.execution != Execution::Unknown || state.finished)) {
        return IdempotencyEffect{id, key, false};
    }
    if (!state.finished) {
        m_finishedRequests.push_back(key);
    }
    state.finished = true;
    state.confirmed = isClaimant;
    state.execution = finished.execution;
    state.httpStatus = finished.httpStatus;
    state.contentType = finished.contentType;
    state.body = finished.body;
    forgetOldIdempotencyStates();
    return IdempotencyEffect{id, key, true};
}

auto Replica::applyBody(const RecordId &, const HolderChanged &changed) -> RecordEffect
{
    const ShardKey key{changed.zone, changed.shard};
    const auto accepted = changed.term > shardTerm(key);
    if (accepted) {
        auto &state = m_shards[key];
        state.key = key;
        state.term = changed.term;
        state.holder = changed.instance;
    }
    return ShardEffect{key, accepted};
}

auto Replica::applyBody(const RecordId &, const WitnessesChanged &changed) -> RecordEffect
{
    const ShardKey key{changed.zone, changed.shard};
    const auto *current = shard(key);
    const auto version = current ? current->witnessVersion : 0;
    auto workers = changed.workers;
    std::sort(workers.begin(), workers.end());
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    const auto isSmallStep = version == 0 || differenceSize(current->witnesses, workers) == 1;
    if (changed.version != version + 1 || workers.empty() || !isSmallStep) {
        return ShardEffect{key, false};
    }
    auto &state = m_shards[key];
    state.key = key;
    state.witnessVersion = changed.version;
    state.previousWitnesses = std::exchange(state.witnesses, std::move(workers));
    return ShardEffect{key, true};
}

auto Replica::applyBody(const RecordId &, const SnapshotRecord &snapshot) -> RecordEffect
{
    if (snapshot.index == 0) {
        m_partialSnapshot = snapshot.asOf;
        m_partialSnapshotParts = 0;
    }
    if (snapshot.asOf != m_partialSnapshot || snapshot.index != m_partialSnapshotParts) {
        return {};
    }
    ++m_partialSnapshotParts;
    if (m_partialSnapshotParts == snapshot.count) {
        m_lastSnapshot = std::max(m_lastSnapshot.value_or(0), snapshot.asOf);
    }
    return {};
}

auto Replica::forgetOldJobs() -> void
{
    while (m_finishedJobs.size() > m_limits.finishedJobs) {
        const auto it = m_jobs.find(m_finishedJobs.front());
        m_jobNames.erase({it->second.job.spec.organisation, it->second.job.spec.name});
        m_jobs.erase(it);
        m_finishedJobs.pop_front();
    }
}

auto Replica::forgetOldIdempotencyStates() -> void
{
    while (m_finishedRequests.size() > m_limits.finishedRequests) {
        m_idempotencyStates.erase(m_finishedRequests.front());
        m_finishedRequests.pop_front();
    }
}

} // namespace Acaciarail::State
