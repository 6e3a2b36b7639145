#pragma once

#include <acaciarail/state/record.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Acaciarail::State {

/// A configuration document in force.
struct Document
{
    std::string name;
    /// 0 when the document does not exist. Increases with each change, and is retained after a removal.
    std::uint64_t version = 0;
    std::string text;
    Origin origin;
};

enum class JobPhase : std::uint8_t {
    Accepted,
    Assigned,
    Finished,
};

/// State of a job as of the applied log records.
struct JobState
{
    Job job;
    JobPhase phase = JobPhase::Accepted;
    bool cancelRequested = false;
    /// Number of the latest assigned attempt; 0 when the job was never assigned.
    std::uint32_t attempt = 0;
    /// Whether an assigned attempt may have started.
    bool mayHaveStarted = false;
    Term term;
    std::vector<GangMember> members;
    JobOutcome outcome = JobOutcome::Failed;
    JobReason reason = JobReason::None;
    std::string detail;
};

struct IdempotencyKey
{
    OrganisationName organisation;
    std::string key;

    friend auto operator<=>(const IdempotencyKey &, const IdempotencyKey &) noexcept -> std::strong_ordering = default;
};

/// Idempotency record of a non-idempotent request, as of the applied log records.
struct IdempotencyState
{
    IdempotencyKey key;
    std::uint64_t fingerprint = 0;
    InstanceName claimant;
    RecordId claim;
    bool finished = false;
    /// Whether the claimant wrote the outcome, which makes it final.
    bool confirmed = false;
    Execution execution = Execution::Unknown;
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

struct ShardKey
{
    ZoneName zone;
    std::uint32_t shard = 0;

    friend auto operator<=>(const ShardKey &, const ShardKey &) noexcept -> std::strong_ordering = default;
};

/// Latest holder and witnesses of a shard in the log.
struct ShardState
{
    ShardKey key;
    Term term;
    InstanceName holder;
    /// 0 before the first witness set.
    std::uint64_t witnessVersion = 0;
    /// Sorted by name.
    std::vector<WorkerName> witnesses;
    /// The witness set before the latest change.
    std::vector<WorkerName> previousWitnesses;
};

/// Effect of a ConfigChange.
struct ConfigEffect
{
    RecordId record;
    bool accepted = false;
    std::uint64_t version = 0;
    /// When the change was refused: the current document whose version differs from the base version of the change.
    std::optional<Document> conflictingDocument;
};

struct JobEffect
{
    RecordId record;
    JobId job;
    /// False when the record had no effect: an unknown job, a duplicate name, a stale term, or an outcome that is already known.
    bool accepted = false;
    /// When a JobAccepted was refused: the job that already has the name.
    JobId existing;
};

struct IdempotencyEffect
{
    RecordId record;
    IdempotencyKey key;
    bool accepted = false;
};

/// Effect of a new holder or a new witness set of a shard.
struct ShardEffect
{
    ShardKey shard;
    bool accepted = false;
};

using RecordEffect = std::variant<std::monostate, ConfigEffect, JobEffect, IdempotencyEffect, ShardEffect>;

/// Limits on the entries that a replica retains. They must be equal on all instances, since the replicated state depends on them.
struct ReplicaLimits
{
    std::size_t finishedJobs = 20'000;
    std::size_t finishedRequests = 50'000;
    std::size_t incarnations = 16'384;
};

/// Replicated state machine that applies the records of the platform's log: two replicas with the same next offset are equal.
/// No method is thread-safe; one task owns a replica.
class Replica
{
public:
    /// \pre none.
    explicit Replica(ReplicaLimits limits = {});

    /// Applies the entry at nextOffset(). Entries before it are ignored.
    /// Returns the effect of its record; std::monostate for an undecodable, repeated or older entry.
    /// \pre entry.offset <= nextOffset().
    auto apply(const LogEntry &entry) -> RecordEffect;

    /// Offset of the next entry to apply. \pre none.
    [[nodiscard]] auto nextOffset() const noexcept -> LogOffset;

    /// Whether this record, or a later one of the same incarnation, was applied. \pre none.
    [[nodiscard]] auto isApplied(const RecordId &id) const -> bool;

    /// Number of accepted configuration changes. \pre none.
    [[nodiscard]] auto configVersion() const noexcept -> std::uint64_t;

    /// All documents by name, including removed ones. \pre none.
    [[nodiscard]] auto documents() const noexcept -> const std::map<std::string, Document> &;

    /// Returns the job, or null when it is unknown or forgotten. \pre none.
    [[nodiscard]] auto job(const JobId &id) const -> const JobState *;

    /// Returns the job with this name in the organisation, or null. \pre none.
    [[nodiscard]] auto jobByName(const OrganisationName &organisation, std::string_view name) const -> const JobState *;

    /// All retained jobs by id. \pre none.
    [[nodiscard]] auto jobs() const noexcept -> const std::map<JobId, JobState> &;

    /// Returns the state of the key, or null when it is unknown or forgotten. \pre none.
    [[nodiscard]] auto idempotencyState(const IdempotencyKey &key) const -> const IdempotencyState *;

    [[nodiscard]] auto idempotencyStates() const noexcept -> const std::map<IdempotencyKey, IdempotencyState> &;

    /// Returns the shard's latest holder in the log, or null. \pre none.
    [[nodiscard]] auto shard(const ShardKey &key) const -> const ShardState *;

    /// Offset before which the newest complete snapshot in the log covers all records; empty when there was none. \pre none.
    [[nodiscard]] auto lastSnapshot() const noexcept -> std::optional<LogOffset>;

    /// Encodes the state in parts of at most half of maxWireBytes each. \pre none.
    [[nodiscard]] auto snapshot() const -> std::vector<std::string>;

    /// Replaces the state by a snapshot taken at \a nextOffset, unless that is not newer than this replica.
    /// Error: MalformedInput (the replica is unchanged). \pre \a parts are complete and in order.
    [[nodiscard]] auto restore(LogOffset nextOffset, const std::vector<std::string> &parts) -> std::error_code;

    /// Hash over the whole state, to compare replicas. \pre none.
    [[nodiscard]] auto digest() const -> std::uint64_t;

private:
    friend class SnapshotCodec;

    auto applyBody(const RecordId &id, const ConfigChange &change) -> RecordEffect;
    auto applyBody(const RecordId &id, const JobAccepted &accepted) -> RecordEffect;
    auto applyBody(const RecordId &id, const JobAssigned &assigned) -> RecordEffect;
    auto applyBody(const RecordId &id, const AttemptAbandoned &abandoned) -> RecordEffect;
    auto applyBody(const RecordId &id, const JobFinished &finished) -> RecordEffect;
    auto applyBody(const RecordId &id, const CancelRequested &cancel) -> RecordEffect;
    auto applyBody(const RecordId &id, const JobMoved &moved) -> RecordEffect;
    auto applyBody(const RecordId &id, const RequestClaimed &claimed) -> RecordEffect;
    auto applyBody(const RecordId &id, const RequestFinished &finished) -> RecordEffect;
    auto applyBody(const RecordId &id, const HolderChanged &changed) -> RecordEffect;
    auto applyBody(const RecordId &id, const SnapshotRecord &snapshot) -> RecordEffect;
    auto applyBody(const RecordId &id, const WitnessesChanged &changed) -> RecordEffect;

    auto isRepeated(const RecordId &id) -> bool;
    auto forgetOldJobs() -> void;
    auto forgetOldIdempotencyStates() -> void;
    [[nodiscard]] auto shardTerm(const ShardKey &key) const -> Term;

    ReplicaLimits m_limits;
    LogOffset m_nextOffset = 0;
    std::uint64_t m_configVersion = 0;
    std::map<std::string, Document> m_documents;
    std::map<JobId, JobState> m_jobs;
    std::map<std::pair<OrganisationName, std::string>, JobId> m_jobNames;
    std::deque<JobId> m_finishedJobs;
    std::map<IdempotencyKey, IdempotencyState> m_idempotencyStates;
    std::deque<IdempotencyKey> m_finishedRequests;
    std::map<ShardKey, ShardState> m_shards;

    struct IncarnationState
    {
        std::uint64_t lastSequence = 0;
        LogOffset lastOffset = 0;
    };
    std::map<std::uint64_t, IncarnationState> m_incarnations;

    std::optional<LogOffset> m_lastSnapshot;
    LogOffset m_partialSnapshot = 0;
    std::uint32_t m_partialSnapshotParts = 0;
};

} // namespace Acaciarail::State
