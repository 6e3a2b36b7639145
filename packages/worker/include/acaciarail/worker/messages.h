#pragma once

#include <acaciarail/core/wire.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace Acaciarail::Worker {

/// Identifies one attempt of a job.
struct AttemptId
{
    JobId job;
    std::uint32_t attempt = 0;

    friend auto operator<=>(const AttemptId &, const AttemptId &) noexcept -> std::strong_ordering = default;
};

enum class AttemptState : std::uint8_t {
    Reserved,
    /// Started, but not yet confirmed; stopped by the worker when the confirmation does not arrive in time.
    Unconfirmed,
    Running,
    /// Ended and kept until the holder acknowledges it.
    Ended,
};

/// One attempt as a worker knows it.
struct AttemptReport
{
    AttemptId id;
    /// Term under which it was reserved.
    Term term;
    Job job;
    /// All members of the gang, so that a new holder can tell whether the gang is complete.
    std::vector<GangMember> members;
    AttemptState state = AttemptState::Reserved;
    /// Time since the start; zero before it.
    Duration age{};
    /// Set once the state is Ended.
    AttemptEnd end;
};

/// Asks for the holder lease of a shard. Granted to a higher term when the previous lease has expired or was released.
struct Attach
{
    Term term;
    Duration lease{};
    /// Version of the witness set that the candidate counts on. A worker refuses a version lower than the highest it was told.
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

/// Holds capacity for the tasks of one gang member. Repeating it extends the reservation.
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
    /// The worker stops the attempt when no Confirm arrives for this long after the start.
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

/// Limits an attempt to a fraction of its cores, in percent.
struct Throttle
{
    Term term;
    AttemptId id;
    std::uint32_t percent = 100;
};

/// Ends a reserved or running attempt. Repeating it is harmless.
struct Stop
{
    Term term;
    AttemptId id;
};

/// Tells the worker that the end of the attempt is known, so that it may forget it.
struct Acknowledge
{
    Term term;
    AttemptId id;
};

/// Gives up the holder lease at once.
struct Release
{
    Term term;
};

using Request = std::variant<Attach, Renew, Reserve, Start, Confirm, Checkpoint, Throttle, Stop, Acknowledge, Release>;

/// Reply to Attach. When refused, \c term is the term in force and \c retryAfter the rest of its lease.
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

/// An attempt ended on this worker; repeated until acknowledged.
struct Ended
{
    AttemptId id;
    AttemptEnd end;
};

/// Resources in use, measured some time ago.
struct Usage
{
    Resources used;
    Duration lag{};
};

/// Sent at a regular interval.
struct Report
{
    Term term;
    std::vector<AttemptId> running;
    Usage usage;
};

/// A command was refused because of its term.
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
