#pragma once

#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Acaciarail::Workflow {

/// A worker as the platform lists it.
struct WorkerInfo
{
    WorkerName name;
    ServiceName service;
    ZoneName zone;
    RackName rack;
    std::vector<std::string> labels;
    Demand capacity;
    /// The worker is about to leave.
    bool draining = false;
    /// Least time that a draining worker still has.
    Duration remaining{};
    /// Identifies a life of the worker: it changes when the worker starts anew under its name.
    std::int64_t incarnation = 0;
};

/// How a run ended on a worker.
enum class EndKind : std::uint8_t {
    Done,
    /// By its own fault or the worker's.
    Failed,
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangFailed,
    /// The rest of its gang did not come in time.
    IncompleteGang,
};

/// Returns `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`. \pre none. Thread-safe.
[[nodiscard]] auto endKindName(EndKind kind) noexcept -> const char *;

struct RunningTask
{
    TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /// Part of the work that is done, 0 to 100.
    std::uint32_t percent = 0;
};

struct EndedTask
{
    /// Counts the ends of this life of the worker, from 1.
    std::uint64_t number = 0;
    TaskId task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/// What a worker says of its runs.
struct WorkerReport
{
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/// What became of the order to start a run.
enum class StartOutcome : std::uint8_t {
    Started,
    /// The worker has seen a higher term.
    Fenced,
    /// The worker has stopped or ended this run or a later one.
    Superseded,
    /// The order arrived after its lease had ended.
    Late,
    InsufficientCapacity,
    Invalid,
    /// The worker declined and did nothing.
    Declined,
    /// Another life of the worker got the order and did nothing.
    OtherIncarnation,
    /// No answer; the run may start, also later.
    Unknown,
};

/// Returns a kebab-case name of \a outcome. \pre none. Thread-safe.
[[nodiscard]] auto startOutcomeName(StartOutcome outcome) noexcept -> const char *;

/// Starts a run of a task.
struct StartCommand
{
    WorkerName worker;
    TaskId task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    /// How long the worker may run it without a further order.
    Duration lease{};
};

/// Stops a run, also one that has not started yet.
struct StopCommand
{
    WorkerName worker;
    TaskId task;
    std::uint32_t run = 0;
};

/// Asks a worker for its runs and extends their lease.
struct PollCommand
{
    WorkerName worker;
    /// Ends up to this number are recorded and may be forgotten.
    std::uint64_t recordedEnds = 0;
    /// Zero leaves the lease as it is. A look either extends the lease or waits: an answer that never comes must not leave in doubt for
    /// long whether the lease was extended.
    Duration lease{};
    /// The answer may wait this long for a run to end.
    Duration wait{};
};

} // namespace Acaciarail::Workflow
