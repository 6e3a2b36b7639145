#pragma once

#include <acaciarail/core/wire.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Acaciarail::State {

/// Identifies a record, so that a record that was appended twice is applied once.
/// Sequence numbers of one incarnation reach the log in increasing order.
struct RecordId
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RecordId &, const RecordId &) noexcept -> std::strong_ordering = default;
};

/// Source of a document that an operator published.
struct Origin
{
    std::string operatorName;
    std::string file;
    std::string revision;
};

/// New text of one configuration document; an empty text removes it.
struct DocumentChange
{
    std::string name;
    /// Version that the change was based on; 0 for a new document.
    std::uint64_t baseVersion = 0;
    std::string text;
    Origin origin;
};

/// Change of several documents, applied atomically.
struct ConfigChange
{
    std::vector<DocumentChange> documents;
};

struct JobAccepted
{
    Job job;
};

/// Written by the holder of a shard before it starts an attempt, and by a new holder that adopts one. An attempt is one start of a
/// job's gang.
struct JobAssigned
{
    JobId job;
    std::uint32_t attempt = 0;
    ZoneName zone;
    std::uint32_t shard = 0;
    Term term;
    std::vector<GangMember> members;
};

/// Written by the holder when an assigned attempt was never started, so that even a non-idempotent job may be assigned again.
struct AttemptAbandoned
{
    JobId job;
    std::uint32_t attempt = 0;
    ZoneName zone;
    std::uint32_t shard = 0;
    Term term;
};

struct JobFinished
{
    JobId job;
    ZoneName zone;
    std::uint32_t shard = 0;
    Term term;
    JobOutcome outcome = JobOutcome::Failed;
    JobReason reason = JobReason::None;
    std::string detail;
};

struct CancelRequested
{
    JobId job;
    CallerName caller;
};

/// Moves a job to another zone. Accepted only while the job was never assigned.
struct JobMoved
{
    JobId job;
    ZoneName from;
    ZoneName to;
};

/// Claims the idempotency key of a non-idempotent request. Only the first claim of a key in the log is valid, and allows its writer to send
/// the request.
struct RequestClaimed
{
    OrganisationName organisation;
    std::string key;
    std::uint64_t fingerprint = 0;
    InstanceName claimant;
    ServiceName service;
};

/// Outcome of a claimed request. Only the claimant writes NotRun, and only when it has not sent the request.
struct RequestFinished
{
    OrganisationName organisation;
    std::string key;
    Execution execution = Execution::Unknown;
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

struct HolderChanged
{
    ZoneName zone;
    std::uint32_t shard = 0;
    Term term;
    InstanceName instance;
};

/// New set of witnesses of a shard: the workers that grant its holder lease. Consecutive sets differ by one worker, so that their
/// majorities overlap.
struct WitnessesChanged
{
    ZoneName zone;
    std::uint32_t shard = 0;
    std::uint64_t version = 0;
    std::vector<WorkerName> workers;
};

/// Part of a replica's state from all records before offset \c asOf, so that the log need not retain those.
struct SnapshotRecord
{
    LogOffset asOf = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;
};

using RecordBody = std::variant<ConfigChange, JobAccepted, JobAssigned, JobFinished, CancelRequested, JobMoved, RequestClaimed,
                                RequestFinished, HolderChanged, SnapshotRecord, WitnessesChanged, AttemptAbandoned>;

struct Record
{
    RecordId id;
    /// Wall clock of the writer, for readers of the audit trail; no decision depends on it.
    std::chrono::milliseconds writtenAt{};
    RecordBody body;
};

/// Encodes a record for the log. \pre none. Thread-safe.
[[nodiscard]] auto encodeRecord(const Record &record) -> std::string;

/// Decodes a record. Errors: MalformedInput, TooLarge, UnknownVersion. \pre none. Thread-safe.
[[nodiscard]] auto decodeRecord(std::string_view bytes, Record &record) -> std::error_code;

} // namespace Acaciarail::State

ACACIARAIL_WIRE_STRUCT(Acaciarail::State::RecordId, v.incarnation, v.sequence);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::Origin, v.operatorName, v.file, v.revision);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::DocumentChange, v.name, v.baseVersion, v.text, v.origin);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::ConfigChange, v.documents);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::JobAccepted, v.job);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::JobAssigned, v.job, v.attempt, v.zone, v.shard, v.term, v.members);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::JobFinished, v.job, v.zone, v.shard, v.term, v.outcome, v.reason, v.detail);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::AttemptAbandoned, v.job, v.attempt, v.zone, v.shard, v.term);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::CancelRequested, v.job, v.caller);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::JobMoved, v.job, v.from, v.to);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::RequestClaimed, v.organisation, v.key, v.fingerprint, v.claimant, v.service);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::RequestFinished, v.organisation, v.key, v.execution, v.httpStatus, v.contentType, v.body);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::HolderChanged, v.zone, v.shard, v.term, v.instance);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::WitnessesChanged, v.zone, v.shard, v.version, v.workers);
ACACIARAIL_WIRE_STRUCT(Acaciarail::State::SnapshotRecord, v.asOf, v.index, v.count, v.bytes);
