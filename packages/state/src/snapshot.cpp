#include <acaciarail/state/replica.h>

#include <xxhash.h>

#include <algorithm>

namespace Acaciarail::State {

namespace {

struct IncarnationEntry
{
    std::uint64_t incarnation = 0;
    std::uint64_t lastSequence = 0;
    LogOffset lastOffset = 0;
};

/// A part of a snapshot that can be decoded on its own.
struct Part
{
    std::uint64_t configVersion = 0;
    std::vector<Document> documents;
    std::vector<JobState> jobs;
    std::vector<JobId> finishedJobs;
    std::vector<IdempotencyState> idempotencyStates;
    std::vector<IdempotencyKey> finishedRequests;
    std::vector<ShardState> shards;
    std::vector<IncarnationEntry> incarnations;
    std::optional<LogOffset> lastSnapshot;
    LogOffset partialSnapshot = 0;
    std::uint32_t partialSnapshotParts = 0;
};

constexpr std::size_t maxPartBytes = maxWireBytes / 2;

} // namespace

} // namespace Acaciarail::State

ACACIARAIL_WIRE_ENUM(Acaciarail::State::JobPhase, Acaciarail::State::JobPhase::Finished);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::IncarnationEntry, v.incarnation, v.lastSequence, v.lastOffset);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::Document, v.name, v.version, v.text, v.origin);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::JobState, v.job, v.phase, v.cancelRequested, v.attempt, v.mayHaveStarted, v.term, v.members,
                       v.outcome, v.reason, v.detail);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::IdempotencyKey, v.organisation, v.key);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::IdempotencyState, v.key, v.fingerprint, v.claimant, v.claim, v.finished, v.confirmed, v.execution,
                       v.httpStatus, v.contentType, v.body);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::ShardKey, v.zone, v.shard);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::ShardState, v.key, v.term, v.holder, v.witnessVersion, v.witnesses, v.previousWitnesses);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::Part, v.configVersion, v.documents, v.jobs, v.finishedJobs, v.idempotencyStates,
                       v.finishedRequests, v.shards, v.incarnations, v.lastSnapshot, v.partialSnapshot, v.partialSnapshotParts);

namespace Acaciarail::State {

/// Collects items into parts of bounded size.
class SnapshotCodec
{
public:
    explicit SnapshotCodec(const Replica &replica)
    {
        m_part.configVersion = replica.m_configVersion;
        m_part.lastSnapshot = replica.m_lastSnapshot;
        m_part.partialSnapshot = replica.m_partialSnapshot;
        m_part.partialSnapshotParts = replica.m_partialSnapshotParts;
        for (const auto &[name, it] : replica.m_documents) {
            add(m_part.documents, it);
        }
        for (const auto &[id, it] : replica.m_jobs) {
            add(m_part.jobs, it);
        }
        for (const auto &it : replica.m_finishedJobs) {
            add(m_part.finishedJobs, it);
        }
        for (const auto &[key, it] : replica.m_idempotencyStates) {
            add(m_part.idempotencyStates, it);
        }
        for (const auto &it : replica.m_finishedRequests) {
            add(m_part.finishedRequests, it);
        }
        for (const auto &[key, it] : replica.m_shards) {
            add(m_part.shards, it);
        }
        for (const auto &[incarnation, it] : replica.m_incarnations) {
            add(m_part.incarnations, IncarnationEntry{incarnation, it.lastSequence, it.lastOffset});
        }
        flush();
    }

    [[nodiscard]] auto takeParts() -> std::vector<std::string>
    {
        return std::move(m_parts);
    }

    static auto restorePart(const Part &part, Replica &replica) -> void
    {
        replica.m_configVersion = std::max(replica.m_configVersion, part.configVersion);
        replica.m_lastSnapshot = std::max(replica.m_lastSnapshot, part.lastSnapshot);
        replica.m_partialSnapshot = std::max(replica.m_partialSnapshot, part.partialSnapshot);
        replica.m_partialSnapshotParts = std::max(replica.m_partialSnapshotParts, part.partialSnapshotParts);
        for (const auto &it : part.documents) {
            replica.m_documents[it.name] = it;
        }
        for (const auto &it : part.jobs) {
            replica.m_jobNames[{it.job.spec.organisation, it.job.spec.name}] = it.job.id;
            replica.m_jobs[it.job.id] = it;
        }
        replica.m_finishedJobs.insert(replica.m_finishedJobs.end(), part.finishedJobs.begin(), part.finishedJobs.end());
        for (const auto &it : part.idempotencyStates) {
            replica.m_idempotencyStates[it.key] = it;
        }
        replica.m_finishedRequests.insert(replica.m_finishedRequests.end(), part.finishedRequests.begin(), part.finishedRequests.end());
        for (const auto &it : part.shards) {
            replica.m_shards[it.key] = it;
        }
        for (const auto &it : part.incarnations) {
            replica.m_incarnations[it.incarnation] = {it.lastSequence, it.lastOffset};
        }
    }

    static auto create(const ReplicaLimits &limits, LogOffset nextOffset) -> Replica
    {
        Replica replica(limits);
        replica.m_nextOffset = nextOffset;
        return replica;
    }

    static auto limits(const Replica &replica) -> const ReplicaLimits &
    {
        return replica.m_limits;
    }

private:
    template<typename T>
    auto add(std::vector<T> &items, const T &item) -> void
    {
        const auto n = encode(item).size();
        if (m_bytes + n > maxPartBytes) {
            flush();
        }
        items.push_back(item);
        m_bytes += n;
    }

    auto flush() -> void
    {
        m_parts.push_back(encode(m_part));
        m_part = Part{};
        m_bytes = 0;
    }

    Part m_part;
    std::size_t m_bytes = 0;
    std::vector<std::string> m_parts;
};

auto Replica::snapshot() const -> std::vector<std::string>
{
    return SnapshotCodec(*this).takeParts();
}

auto Replica::restore(LogOffset nextOffset, const std::vector<std::string> &parts) -> std::error_code
{
    if (nextOffset <= m_nextOffset) {
        return {};
    }
    auto replica = SnapshotCodec::create(m_limits, nextOffset);
    for (const auto &it : parts) {
        Part part;
        if (const auto ec = decode(it, part)) {
            return ec;
        }
        SnapshotCodec::restorePart(part, replica);
    }
    *this = std::move(replica);
    return {};
}

auto Replica::digest() const -> std::uint64_t
{
    auto hash = XXH64(&m_nextOffset, sizeof m_nextOffset, 0);
    for (const auto &it : snapshot()) {
        hash = XXH64(it.data(), it.size(), hash);
    }
    return hash;
}

} // namespace Acaciarail::State
