#pragma once

#include <acaciarail/workflow.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// Workers, a store and one holder in simulated time. Commands take effect at once unless commandDelay says otherwise; a poll that waits is
/// answered when a run ends.
class FakeFleet
{
public:
    /// \a racks racks of \a perRack workers of \a capacity each.
    FakeFleet(std::size_t racks, std::size_t perRack, Demand capacity);

    auto submit(JobSpec spec) -> void;
    auto cancel(const std::string &job) -> void;
    /// Advances the simulated time.
    auto run(Duration length) -> void;
    /// Advances the simulated time until \a done returns true or the limit is reached; returns the last result of \a done.
    auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;
    /// Replaces the holder by one that knows only the stored records.
    auto takeOver() -> void;
    /// Disconnects a worker. Its runs continue until their leases expire by the worker's clock, which is 2% slow.
    auto disconnect(const std::string &worker) -> void;
    /// Crashes a worker whose machine refuses further connections; a poll that waits gets no response.
    auto crash(const std::string &worker) -> void;
    /// Connects a disconnected worker again.
    auto reconnect(const std::string &worker) -> void;
    /// A worker reports that it is going to shut down, in \a remaining at the earliest.
    auto announceShutdown(const std::string &worker, Duration remaining) -> void;
    /// Adds a worker's entry to the list again.
    auto list(const std::string &worker) -> void;
    /// Removes a worker's entry from the list.
    auto unlist(const std::string &worker) -> void;
    /// Restarts a worker: its runs end without a report, and it knows nothing of before. Its entry is as it was until list() is called.
    auto restart(const std::string &worker) -> void;
    /// Shuts a worker down: its runs end without a report, and its entry is removed.
    auto shutDown(const std::string &worker) -> void;

    /// Evacuates a zone, or revokes it. The holder learns of it at once, or when operatorTopicReadable is true again.
    auto evacuate(const std::string &zone, bool on = true) -> void;

    [[nodiscard]] auto now() const -> TimePoint;
    [[nodiscard]] auto outcome(const std::string &job) const -> std::optional<JobPhase>;
    /// Time from submission to outcome.
    [[nodiscard]] auto latency(const std::string &job) const -> Duration;
    [[nodiscard]] auto stats() const -> DispatcherStats;

    struct Run
    {
        StartCommand command;
        TimePoint startedAt;
        std::optional<EndKind> end;
        TimePoint endedAt;
        /// The worker restarted or shut down, and will not report the end.
        bool isForgotten = false;
        /// Number of the end, and whether the holder has acknowledged it.
        std::uint64_t endNumber = 0;
        bool acknowledged = false;
        /// The worker's lease expired between the end and its acknowledgement, so the end need not be heeded.
        bool lapsedBeforeAcknowledgement = false;
    };
    struct FakeWorker
    {
        WorkerInfo info;
        bool reachable = true;
        /// While it is not reachable, commands are known not to have been sent.
        bool refusesConnections = false;
        /// Responses to the next start commands, whether or not they match what the worker did; the first command is carried out. Further
        /// commands are answered correctly.
        std::vector<StartOutcome> scriptedResponses;
        /// Commands that grant or renew a task lease are carried out, but their responses do not arrive.
        bool withholdsResponses = false;
        /// Factor by which tasks take longer than on a healthy worker; 0 for no progress at all.
        double slowdown = 1.0;
        bool failsAllRuns = false;
        std::vector<Run> runs;
        /// Of everything that runs on the worker.
        TimePoint leaseEnds;
        /// The newest term of a command.
        std::uint64_t term = 0;
        /// Highest run of each task that was stopped or has ended; starts of these and of earlier runs are refused.
        std::map<TaskId, std::uint32_t> refusedRuns;
        std::vector<EndedTask> ends;
        std::uint64_t endCount = 0;
        std::optional<std::pair<PollCommand, TimePoint>> pendingPoll;
    };

    /// Of the next holder.
    DispatcherSettings settings;
    /// Run time of a task on a healthy worker.
    std::function<Duration(const TaskId &)> duration;
    /// How a run ends when its run time has passed.
    std::function<EndKind(const StartCommand &)> ending = [](const StartCommand &) { return EndKind::Done; };
    /// Checkpoint that is reported with every end of a run.
    std::string checkpointAtEnd;
    std::map<WorkerName, FakeWorker> workers;
    std::map<std::string, std::string> stored;
    std::shared_ptr<Configuration> configuration = std::make_shared<Configuration>();
    /// Returns by how much a command is delayed that grants or renews a task lease, or one that does not. A delayed command gets no
    /// response, and is carried out also by a worker that is disconnected; its lease counts from then on. Commands take effect at once when
    /// this is empty or returns nothing.
    std::function<std::optional<Duration>(bool grants)> commandDelay;
    /// Whether a run may start although another has ended as done, while the end is not acknowledged or no longer counts.
    bool allowsRunsAfterLapse = false;
    std::vector<StartCommand> starts;
    std::vector<std::string> events;
    bool storeUp = true;
    bool operatorTopicReadable = true;
    /// Violations of invariants that the workers observed.
    std::vector<std::string> violations;

private:
    struct DelayedCommand
    {
        TimePoint at;
        WorkerName worker;
        std::int64_t incarnation = 0;
        std::uint64_t term = 0;
        std::function<void(FakeWorker &)> execute;
    };

    auto step() -> void;
    auto executeDelayed() -> void;
    /// Returns whether a command is delayed, and if so, schedules it.
    auto isDelayed(const FakeWorker &worker, bool grants, std::function<void(FakeWorker &)> execute) -> bool;
    auto sendPoll(const PollCommand &command) -> void;
    auto sendStop(const StopCommand &command) -> void;
    auto extendLease(FakeWorker &worker, Duration lease) -> void;
    auto stopRun(FakeWorker &worker, const StopCommand &command) -> void;
    auto applyEvacuations() -> void;
    auto checkZone(const StartCommand &command) -> void;
    auto startRun(FakeWorker &worker, const StartCommand &command) -> StartOutcome;
    auto forgetRuns(FakeWorker &worker) -> void;
    auto acknowledgeEnds(FakeWorker &worker, std::uint64_t number) -> void;
    auto finishRuns(FakeWorker &worker) -> void;
    auto answerPoll(FakeWorker &worker) -> void;
    auto answer(FakeWorker &worker, const PollCommand &command, TimePoint sentAt) -> void;
    auto start(const StartCommand &command) -> void;
    auto checkRecord(const StartCommand &command) -> void;
    auto checkStart(const StartCommand &command) -> void;
    auto end(FakeWorker &worker, Run &run, EndKind kind) -> void;
    auto workTime(const FakeWorker &worker, const Run &run) const -> Duration;
    auto makeReport(const FakeWorker &worker) const -> WorkerReport;

    TimePoint m_now{1h};
    /// Evacuated zones, and since when.
    std::map<ZoneName, TimePoint> m_evacuated;
    std::uint64_t m_term = 0;
    std::vector<DelayedCommand> m_delayed;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::map<std::string, JobSpec> m_jobs;
    std::vector<std::string> m_cancelled;
    std::map<std::string, TimePoint> m_submitted;
    std::map<std::string, std::pair<JobPhase, TimePoint>> m_outcomes;
    std::vector<KeyedRecord> m_batch;
    std::vector<OutcomeEntry> m_batchOutcomes;
};

/// Returns a job with one step.
[[nodiscard]] auto simpleJob(const std::string &id, const std::string &queue, StepSpec step) -> JobSpec;

/// Adds a queue to a configuration.
auto addQueue(Configuration &configuration, const std::string &name, std::uint32_t priority, std::uint32_t maxAttempts = 3) -> void;

} // namespace Acaciarail::Workflow::Tests
