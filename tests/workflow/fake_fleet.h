#pragma once

#include <acaciarail/workflow.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// Workers, a store and one holder in simulated time. Commands take effect at once; a poll that waits is answered when a run ends.
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
    /// Connects a disconnected worker again.
    auto reconnect(const std::string &worker) -> void;
    /// A worker reports that it is going to shut down, in \a remaining at the earliest.
    auto announceShutdown(const std::string &worker, Duration remaining) -> void;
    /// Removes a worker's entry from the list.
    auto unlist(const std::string &worker) -> void;
    /// Shuts a worker down: its runs end without a report, and its entry is removed.
    auto shutDown(const std::string &worker) -> void;

    [[nodiscard]] auto now() const -> TimePoint;
    [[nodiscard]] auto outcome(const std::string &job) const -> std::optional<JobPhase>;
    /// Time from submission to outcome.
    [[nodiscard]] auto latency(const std::string &job) const -> Duration;
    [[nodiscard]] auto stats() const -> DispatcherStats;

    struct Run
    {
        StartCommand command;
        TimePoint startedAt;
        TimePoint leaseEnds;
        std::optional<EndKind> end;
        TimePoint endedAt;
    };
    struct FakeWorker
    {
        WorkerInfo info;
        bool reachable = true;
        /// Responses to the next start commands, whether or not they match what the worker did; the first command is carried out. Further
        /// commands are answered correctly.
        std::vector<StartOutcome> scriptedResponses;
        /// Commands that grant or renew a task lease are carried out, but their responses do not arrive.
        bool withholdsResponses = false;
        /// Factor by which tasks take longer than on a healthy worker; 0 for no progress at all.
        double slowdown = 1.0;
        bool failsAllRuns = false;
        std::vector<Run> runs;
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
    std::vector<StartCommand> starts;
    std::vector<std::string> events;
    bool storeUp = true;
    /// Violations of invariants that the workers observed.
    std::vector<std::string> violations;

private:
    auto step() -> void;
    auto finishRuns(FakeWorker &worker) -> void;
    auto answerPoll(FakeWorker &worker) -> void;
    auto answer(FakeWorker &worker, const PollCommand &command, TimePoint sentAt) -> void;
    auto start(const StartCommand &command) -> void;
    auto checkStart(const StartCommand &command) -> void;
    auto end(FakeWorker &worker, Run &run, EndKind kind) -> void;
    auto workTime(const FakeWorker &worker, const Run &run) const -> Duration;
    auto makeReport(const FakeWorker &worker) const -> WorkerReport;

    TimePoint m_now{1h};
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
