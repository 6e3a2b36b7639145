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
    /// Each run of its tasks fails.
    bool fails = false;
};

struct JobPlan
{
    std::string id;
    std::string payload;
    std::vector<StepPlan> steps;
};

/// A task as its name says: JOB.OCCURRENCE.STEP.INDEX.
struct TaskName
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};

/// Parses a task's name; empty for any other text. \pre none.
[[nodiscard]] auto parseTask(const std::string &name) -> std::optional<TaskName>;

/// A run that a worker has begun.
struct RunSeen
{
    std::string worker;
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
};

/// What callers were told and what workers saw, and whether it keeps the promises. Knows nothing of the system under test.
/// Not thread-safe.
class Ledger
{
public:
    /// Runs of a task that may fail before its job does; the soak configures its queues so.
    static constexpr std::uint32_t maxAttempts = 2;

    auto plan(const JobPlan &job) -> void;
    /// An attempt to submit was answered; status 0 when there was no answer.
    auto submitAnswered(const std::string &job, int status) -> void;
    auto cancelRequested(const std::string &job) -> void;
    auto cancelAcknowledged(const std::string &job) -> void;
    /// A caller was shown a job as \a state, or as not known.
    auto shown(const std::string &job, const std::string &state) -> void;

    auto runBegan(const RunSeen &run) -> void;
    /// A run is over; \a checkpoint is what it saved.
    auto runOver(const RunSeen &run, const std::string &how, const std::string &checkpoint) -> void;
    /// The end of a run was acknowledged to its worker.
    auto endNoted(const RunSeen &run, const std::string &how) -> void;
    /// A run showed this checkpoint while it went on.
    auto checkpointSeen(const std::string &task, const std::string &checkpoint) -> void;

    auto violated(const std::string &what) -> void;
    /// Checks what holds once all is quiet. \pre every accepted job was shown in its final state, or never will be.
    auto checkAtEnd() -> void;

    [[nodiscard]] auto job(const std::string &id) const -> const JobPlan *;
    /// Returns whether a job was accepted.
    [[nodiscard]] auto accepted(const std::string &id) const -> bool;
    /// Returns whether the outcome of a job was shown.
    [[nodiscard]] auto final(const std::string &id) const -> bool;
    [[nodiscard]] auto acceptedJobs() const -> std::vector<std::string>;
    [[nodiscard]] auto runsInProgress() const -> std::size_t
    {
        return m_live.size();
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
    struct TaskState
    {
        bool done = false;
        bool doneNoted = false;
        /// Runs that ended as done, and whether another one began after that.
        std::map<std::uint32_t, bool> doneRuns;
        std::set<std::uint32_t> failedRuns;
        std::set<std::uint32_t> notedFailures;
        std::set<std::string> checkpoints;
    };

    auto checkOrder(const TaskName &task) -> void;
    auto unitOf(const TaskName &task) const -> std::string;
    auto stepDone(const std::string &job, std::uint32_t occurrence, std::uint32_t step) -> bool;

    std::map<std::string, JobState> m_jobs;
    /// By unit: a task, or a whole gang, which ends as one.
    std::map<std::string, TaskState> m_tasks;
    /// Runs in progress on workers that are up, by task.
    std::map<std::string, RunSeen> m_live;
    std::vector<std::string> m_violations;
    std::size_t m_starts = 0;
};

} // namespace Acaciarail::Soak
