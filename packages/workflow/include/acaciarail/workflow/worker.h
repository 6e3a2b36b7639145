#pragma once

#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <functional>
#include <set>
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
    /// The worker is going to be shut down and gets no new work.
    bool draining = false;
    /// Least time until a draining worker shuts down.
    Duration timeUntilShutdown{};
    /// How long its tasks will take longer because it was unused for a while.
    Duration coldTime{};
    /// Identifies the worker's process: another one under the same name has a higher number, or a lower one after its clock was set back.
    std::int64_t incarnation = 0;
    /// The machine that it runs on; empty when it is not known.
    MachineName machine;
};

/// What the platform says of its machines at one time.
struct RunningWorkers
{
    /// The workers that run, also those that no instance can reach.
    std::set<WorkerName> workers;
    /// The machines that exist, whether or not they run a worker at present.
    std::set<MachineName> machines;
};

/// How a run of a task ended on a worker. A run is one start of a unit, that is of a gang or of a single task.
enum class EndKind : std::uint8_t {
    Done,
    /// By a fault of the task or of the worker.
    Failed,
    Stopped,
    /// Its lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangFailed,
    /// Not all members of its gang started in time.
    IncompleteGang,
};

/// Returns `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`. \pre none. Thread-safe.
[[nodiscard]] auto endKindName(EndKind kind) noexcept -> const char *;

struct RunningTask
{
    TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /// Share of the work that is done, 0 to 100.
    std::uint32_t percent = 0;
};

struct EndedTask
{
    /// Sequence number of the end within this incarnation of the worker, from 1.
    std::uint64_t number = 0;
    TaskId task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/// The runs of a worker, as it reports them.
struct WorkerReport
{
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    /// Ends that are not acknowledged, the earliest first.
    std::vector<EndedTask> ended;
    /// See WorkerInfo::coldTime.
    Duration coldTime{};
    /// False when runs or ends may be missing, so that a run that is not listed may have ended in any way.
    bool isComplete = true;
};

/// Called with each report that had to be asked for before a command could be sent, and the time at which it was asked for. The worker may
/// leave before it reports the same again. Empty when it is not wanted.
using ReportHook = std::function<void(const WorkerReport &, TimePoint sentAt)>;

/// Outcome of a command to start a run.
enum class StartOutcome : std::uint8_t {
    Started,
    /// The worker has seen a higher term.
    Fenced,
    /// The worker has stopped or ended this run or a later one.
    Superseded,
    /// The command arrived after its lease had expired.
    Late,
    InsufficientCapacity,
    Invalid,
    /// The worker declined and did nothing.
    Declined,
    /// Another incarnation of the worker got the command and did nothing.
    OtherIncarnation,
    /// No response; the run may have started, or may start later.
    Unknown,
    /// The command waited too long to be sent, and was dropped.
    NotSent,
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
    /// How long the worker may run it without a renewal.
    Duration lease{};
    /// Priority of the job's queue; more urgent commands are sent first.
    std::uint32_t priority = 0;
    /// The incarnation of the worker that the run was assigned to; the command must not reach another one. 0 when it is not known.
    std::int64_t incarnation = 0;
    /// Asked again when something else had to be sent first; empty when the command may be sent at any time.
    std::function<bool()> maySend = {};
    /// See ReportHook.
    ReportHook reported = {};
};

/// Stops a run. A run that has not started yet will not start.
struct StopCommand
{
    WorkerName worker;
    TaskId task;
    std::uint32_t run = 0;
};

/// Asks a worker for its runs, and may renew their lease.
struct PollCommand
{
    WorkerName worker;
    /// Ends up to this number are recorded; the worker need not report them again.
    std::uint64_t recordedEnds = 0;
    /// Length of the renewed lease; zero leaves the lease unchanged. A poll either renews the lease or waits for an end, so that a missing
    /// response does not leave it unknown for long whether the lease was renewed.
    Duration lease{};
    /// The response may wait this long for a run to end.
    Duration wait{};
    /// The incarnation of the worker whose ends are recorded; another one must not forget its own. 0 when it is not known.
    std::int64_t incarnation = 0;
    /// See ReportHook.
    ReportHook reported = {};
};

} // namespace Acaciarail::Workflow
