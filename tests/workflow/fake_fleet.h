#pragma once

#include <acaciarail/workflow.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// Workers, a store and one holder in simulated time: orders take effect at once, and looks are answered when a run ends.
class FakeFleet
{
public:
    /// \a racks racks of \a perRack workers of \a capacity each.
    FakeFleet(std::size_t racks, std::size_t perRack, Demand capacity);

    auto submit(JobSpec spec) -> void;
    auto cancel(const std::string &job) -> void;
    /// Lets time pass.
    auto run(Duration length) -> void;
    /// Lets time pass until \a done or the limit is reached; returns the former.
    auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;
    /// Replaces the holder by one that knows only what is stored.
    auto takeOver() -> void;
    /// Lets a worker fall silent; what it runs goes on until its lease ends, at which its clock is 2% slow.
    auto silence(const std::string &worker) -> void;

    [[nodiscard]] auto now() const -> TimePoint;
    [[nodiscard]] auto outcome(const std::string &job) const -> std::optional<JobPhase>;
    /// Time from submission to outcome.
    [[nodiscard]] auto latency(const std::string &job) const -> Duration;
    [[nodiscard]] auto stats() const -> DispatcherStats;

    struct Run
    {
        StartCommand order;
        TimePoint startedAt;
        TimePoint leaseEnds;
        std::optional<EndKind> end;
        TimePoint endedAt;
    };
    struct FakeWorker
    {
        WorkerInfo info;
        bool reachable = true;
        /// Answers to the next orders to start, whatever comes of them; the first is carried out. Later orders are answered truly.
        std::vector<StartOutcome> scriptedAnswers;
        /// Orders that grant a lease are carried out, and their answers are still under way.
        bool withholdsAnswers = false;
        /// Times as long as on a sound worker; 0 for no progress at all.
        double slowness = 1.0;
        bool failsAll = false;
        std::vector<Run> runs;
        std::vector<EndedTask> ends;
        std::uint64_t endCount = 0;
        std::optional<std::pair<PollCommand, TimePoint>> look;
    };

    /// How long a task works on a sound worker.
    std::function<Duration(const TaskId &)> duration;
    /// How a run ends when its work is done.
    std::function<EndKind(const StartCommand &)> ending = [](const StartCommand &) { return EndKind::Done; };
    /// Checkpoint that every end reports.
    std::string checkpointAtEnd;
    std::map<WorkerName, FakeWorker> workers;
    std::map<std::string, std::string> stored;
    std::shared_ptr<Configuration> configuration = std::make_shared<Configuration>();
    std::vector<StartCommand> starts;
    std::vector<std::string> events;
    bool storeUp = true;
    /// Violations of what must always hold, seen by the workers.
    std::vector<std::string> violations;

private:
    auto step() -> void;
    auto finishRuns(FakeWorker &worker) -> void;
    auto answerLook(FakeWorker &worker) -> void;
    auto answer(FakeWorker &worker, const PollCommand &order, TimePoint sentAt) -> void;
    auto start(const StartCommand &order) -> void;
    auto checkStart(const StartCommand &order) -> void;
    auto end(FakeWorker &worker, Run &run, EndKind kind) -> void;
    auto wholeWork(const FakeWorker &worker, const Run &run) const -> Duration;
    auto listed(const FakeWorker &worker) const -> WorkerReport;

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
