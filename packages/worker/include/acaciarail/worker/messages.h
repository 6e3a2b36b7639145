#pragma once

#include <acaciarail/core/wire.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace Acaciarail::Worker {

/// Identifies one attempt of a job, that is one start of its gang.
struct AttemptId
{
    JobId job;
    std::uint32_t attempt = 0;

    friend auto operator<=>(const AttemptId &, const AttemptId &) noexcept -> std::strong_ordering = default;
};

enum class AttemptState : std::uint8_t {
    Reserved,
    /// Started, but not confirmed. The worker stops the attempt when the confirmation does not arrive in time.
    Unconfirmed,
    Running,
    /// Ended; the worker retains the attempt until the holder acknowledges the end.
    Ended,
};

/// State of an attempt at one worker.
struct AttemptReport
{
    AttemptId id;
    /// Term of the holder that reserved it.
    Term term;
    Job job;
    /// All members of the gang, so that a new holder can determine whether the gang is complete.
    std::vector<GangMember> members;
    AttemptState state = AttemptState::Reserved;
    /// Time since the start; zero before the start.
    Duration age{};
    /// Valid when the state is Ended.
    AttemptEnd end;
};

/// Requests the holder lease of a shard. Granted to a higher term when the previous lease has expired or was released.
struct Attach
{
    Term term;
    Duration lease{};
    /// Version of the witness set that the candidate uses. A worker refuses a version lower than the highest one it has received.
    std::uint64_t witnessVersion = 0;
};

/// Renews the holder lease and the leases of all tasks.
struct Renew
{
    Term term;
    std::uint64_t round = 0;
    Duration lease{};
    Duration taskLease{};
    std::uint64_t witnessVersion = 0;
};

/// Reserves capacity for the tasks of one gang member. A repeated message extends the reservation.
struct Reserve
{
    Term term;
    AttemptId id;
    Job job;
    std::uint32_t tasks = 0;
    std::vector<GangMember> members;
    Duration ttl{};
};

struct Start
{
    Term term;
    AttemptId id;
    /// The worker stops the attempt when no Confirm arrives within this time after the start.
    Duration confirmWithin{};
};

struct Confirm
{
    Term term;
    AttemptId id;
};

struct Checkpoint
{
    Term term;
    AttemptId id;
    Duration grace{};
};

/// Limits an attempt to a percentage of its cores.
struct Throttle
{
    Term term;
    AttemptId id;
    std::uint32_t percent = 100;
};

/// Ends a reserved or running attempt. Idempotent.
struct Stop
{
    Term term;
    AttemptId id;
};

/// Acknowledges the end of the attempt, so that the worker may discard the attempt.
struct Acknowledge
{
    Term term;
    AttemptId id;
};

/// Releases the holder lease immediately.
struct Release
{
    Term term;
};

using Request = std::variant<Attach, Renew, Reserve, Start, Confirm, Checkpoint, Throttle, Stop, Acknowledge, Release>;

/// Reply to Attach. When refused, \c term is the term that has the lease and \c retryAfter the remaining time of the lease.
struct Attached
{
    bool granted = false;
    Term term;
    Duration retryAfter{};
    WorkerInfo info;
    std::vector<AttemptReport> attempts;
};

struct Renewed
{
    Term term;
    std::uint64_t round = 0;
};

struct Reserved
{
    AttemptId id;
    bool granted = false;
    /// Ok when granted, otherwise StaleTerm, LeaseExpired, CapacityTaken or NeverFits.
    Error error = Error::Ok;
};

struct Started
{
    AttemptId id;
    bool started = false;
    Error error = Error::Ok;
};

struct Confirmed
{
    AttemptId id;
};

struct Checkpointed
{
    AttemptId id;
};

/// An attempt has ended on this worker. Repeated until the holder acknowledges it.
struct Ended
{
    AttemptId id;
    AttemptEnd end;
};

/// Resources in use, as measured \c lag ago.
struct Usage
{
    Resources used;
    Duration lag{};
};

/// State of the worker, sent at a regular interval.
struct Report
{
    Term term;
    std::vector<AttemptId> running;
    Usage usage;
};

/// A command was refused because its term does not have the lease.
struct Refused
{
    Term term;
    Error error = Error::StaleTerm;
};

using Reply = std::variant<Attached, Renewed, Reserved, Started, Confirmed, Checkpointed, Ended, Report, Refused>;

} // namespace Acaciarail::Worker

ACACIARAIL_WIRE_ENUM(Acaciarail::Worker::AttemptState, Acaciarail::Worker::AttemptState::Ended);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::AttemptId, v.job, v.attempt);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::AttemptReport, v.id, v.term, v.job, v.members, v.state, v.age, v.end);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Attach, v.term, v.lease, v.witnessVersion);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Renew, v.term, v.round, v.lease, v.taskLease, v.witnessVersion);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Reserve, v.term, v.id, v.job, v.tasks, v.members, v.ttl);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Start, v.term, v.id, v.confirmWithin);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Confirm, v.term, v.id);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Checkpoint, v.term, v.id, v.grace);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Throttle, v.term, v.id, v.percent);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Stop, v.term, v.id);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Acknowledge, v.term, v.id);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Release, v.term);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Attached, v.granted, v.term, v.retryAfter, v.info, v.attempts);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Renewed, v.term, v.round);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Reserved, v.id, v.granted, v.error);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Started, v.id, v.started, v.error);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Confirmed, v.id);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Checkpointed, v.id);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Ended, v.id, v.end);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Usage, v.used, v.lag);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Report, v.term, v.running, v.usage);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Worker::Refused, v.term, v.error);
