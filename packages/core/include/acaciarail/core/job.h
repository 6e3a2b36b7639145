#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/shape.h>
#include <acaciarail/core/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail {

/// Description of a job as its caller submitted it.
struct JobSpec
{
    OrganisationName organisation;
    TeamName team;
    CallerName caller;
    /// Unique within the organisation; a second submission with the same name is the same job or is refused.
    std::string name;
    /// Groups jobs of similar run time for the run time estimates, for example `class-retouch`.
    std::string kind;
    Shape shape;
    Priority priority = Priority::Normal;
    /// Run time that the caller declared; may be wrong by a factor of 10.
    Duration declaredRunTime{};
    /// Time from acceptance after which the job is cancelled instead of started.
    std::optional<Duration> startWithin;
    bool idempotent = true;
    bool checkpointable = false;
    /// Requested zone; empty when the job may run in any zone.
    ZoneName zone;
};

/// An accepted job.
struct Job
{
    JobId id;
    JobSpec spec;
    /// Zone that runs the job.
    ZoneName zone;
};

/// Tasks of a gang on one worker.
struct GangMember
{
    WorkerName worker;
    std::uint32_t tasks = 0;

    friend auto operator==(const GangMember &, const GangMember &) noexcept -> bool = default;
};

/// One attempt of a job that a worker reported as running.
struct RunningAttempt
{
    Job job;
    std::uint32_t attempt = 0;
    std::vector<GangMember> members;
    TimePoint startedAt;
};

/// How an attempt ended.
enum class AttemptEndKind : std::uint8_t {
    Succeeded,
    /// The tasks themselves failed.
    Failed,
    /// Stopped by command, for example to reclaim its capacity.
    Stopped,
    /// Its worker was lost, or its lease expired.
    Lost,
    /// The gang could not be reserved or started as a whole. For a non-idempotent job it also means that no task ran,
    /// so that another attempt is allowed.
    NotStarted,
};

struct AttemptEnd
{
    AttemptEndKind kind = AttemptEndKind::Failed;
    /// Worker on which the first task failed; empty when unknown.
    WorkerName worker;
    /// Whether a checkpoint was taken, so that a later attempt continues from it.
    bool checkpointed = false;
};

/// Final outcome of an accepted job.
enum class JobOutcome : std::uint8_t {
    Succeeded,
    Failed,
    Refused,
    Cancelled,
    /// A non-idempotent job was started and lost; it is not started again.
    Lost,
};

/// Why a job ended, in addition to its outcome.
enum class JobReason : std::uint8_t {
    None,
    CancelledByCaller,
    StartDeadlinePassed,
    NeverFits,
    FailedOnSeveralWorkers,
    TaskFailed,
    WorkerLost,
    OrganisationRemoved,
    QuotaExceeded,
};

/// Returns `succeeded`, `failed`, `refused`, `cancelled` or `lost`. \pre none. Thread-safe.
[[nodiscard]] auto jobOutcomeName(JobOutcome outcome) noexcept -> std::string_view;

/// Returns the kebab-case name of \a reason. \pre none. Thread-safe.
[[nodiscard]] auto jobReasonName(JobReason reason) noexcept -> std::string_view;

/// Returns the kebab-case name of \a kind. \pre none. Thread-safe.
[[nodiscard]] auto attemptEndName(AttemptEndKind kind) noexcept -> std::string_view;

/// Checks a submitted description: sizes and times are within their limits and not zero where that makes no sense, and text is of
/// bounded length. Returns the first fault, or nothing. \pre none. Thread-safe.
[[nodiscard]] auto validateJobSpec(const JobSpec &spec) -> std::optional<Failure>;

} // namespace Acaciarail
