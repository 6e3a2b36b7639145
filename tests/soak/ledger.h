#pragma once

#include <acaciarail/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Acaciarail::Soak {

/// A step of a job that the soak submits.
struct StepPlan
{
    std::uint32_t count = 1;
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    Duration work{};
    bool gang = false;
    bool checkpoints = false;
    std::vector<std::uint32_t> dependsOn;
    /// Label that the workers of its tasks must have; empty for any worker.
    std::string requiredLabel;
    /// Each run of its tasks fails.
    bool fails = false;
};

struct JobPlan
{
    std::string id;
    std::string payload;
    std::vector<StepPlan> steps;
};

/// The parts of a task's name: JOB.OCCURRENCE.STEP.INDEX.
struct TaskName
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};

/// Parses a task's name; returns an empty optional for any other text. \pre none.
[[nodiscard]] auto parseTask(const std::string &name) -> std::optional<TaskName>;

/// One run of a task as its worker observes it.
struct ObservedRun
{
    std::string worker;
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    /// Labels of the incarnation of the worker that began the run.
    std::vector<std::string> workerLabels;
};

/// Records the responses that callers received and the runs that workers observed, and reports a violation where they break a rule of the
/// system. Independent of the code under test. Not thread-safe.
class Ledger
{
public:
    /// Number of failed runs of a task after which its job fails; the soak configures its queues with it.
    static constexpr std::uint32_t maxAttempts = 2;

    /// Registers a job before it is submitted.
    auto registerJob(const JobPlan &job) -> void;
    /// An attempt to submit the job has ended; \a status is 0 when there was no response.
    auto submitAttemptEnded(const std::string &job, int status) -> void;
    auto cancelRequested(const std::string &job) -> void;
    auto cancelAcknowledged(const std::string &job) -> void;
    /// A caller received \a state as the state of the job, or a response body that holds no state.
    auto stateReported(const std::string &job, const std::string &state) -> void;

    auto runStarted(const ObservedRun &run) -> void;
    /// A run has ended; \a checkpoint is the last one that it saved, or empty.
    auto runEnded(const ObservedRun &run, const std::string &outcome, const std::string &checkpoint) -> void;
    /// The system has acknowledged the end of a run to its worker.
    auto endAcknowledged(const ObservedRun &run, const std::string &outcome) -> void;
    /// A run in progress has saved this checkpoint.
    auto checkpointSaved(const std::string &task, const std::string &checkpoint) -> void;

    auto addViolation(const std::string &description) -> void;
    /// Checks the rules that hold at the end of a scenario. \pre every accepted job has been reported in its final state, or never
    /// will be.
    auto checkAtEnd() -> void;

    /// Returns a registered job; null for an unknown one.
    [[nodiscard]] auto job(const std::string &id) const -> const JobPlan *;
    /// Returns whether a job was accepted.
    [[nodiscard]] auto isAccepted(const std::string &id) const -> bool;
    /// Returns whether a caller has received the outcome of the job.
    [[nodiscard]] auto hasOutcome(const std::string &id) const -> bool;
    [[nodiscard]] auto acceptedJobs() const -> std::vector<std::string>;
    [[nodiscard]] auto runsInProgress() const -> std::size_t
    {
        return m_activeRuns.size();
    }
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return m_violations;
    }
    [[nodiscard]] auto summary() const -> std::string;

private:
    struct JobState
    {
        JobPlan plan;
        std::uint32_t refusals = 0;
        std::uint32_t unanswered = 0;
        bool accepted = false;
        bool cancelRequested = false;
        bool cancelAcknowledged = false;
        std::string state;
        std::size_t starts = 0;
    };
    struct UnitState
    {
        bool done = false;
        bool doneAcknowledged = false;
        /// Runs that ended as done, and whether another run has started since.
        std::map<std::uint32_t, bool> doneRuns;
        std::set<std::uint32_t> failedRuns;
        std::set<std::uint32_t> acknowledgedFailures;
        std::set<std::string> checkpoints;
    };

    auto checkDependencies(const TaskName &task) -> void;
    auto checkRequiredLabel(const TaskName &task, const ObservedRun &run) -> void;
    auto unitKey(const TaskName &task) const -> std::string;
    auto isStepDone(const std::string &job, std::uint32_t occurrence, std::uint32_t step) -> bool;

    std::map<std::string, JobState> m_jobs;
    /// By unit: a single task, or a gang, whose tasks end together.
    std::map<std::string, UnitState> m_units;
    /// Runs in progress on workers that are up, by task.
    std::map<std::string, ObservedRun> m_activeRuns;
    std::vector<std::string> m_violations;
    std::size_t m_runStarts = 0;
};

} // namespace Acaciarail::Soak
