#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Jobs made of dependent steps: their durable state, their placement on workers, and the holder, the instance that runs them.
namespace Acaciarail::Workflow {

using QueueName = Name<struct QueueTag>;

/// Resources: those that a task uses on its worker, or those that a worker has.
struct Demand
{
    /// Thousandths of a core.
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;

    /// Returns whether these resources are enough for \a other. \pre none. Thread-safe.
    [[nodiscard]] constexpr auto covers(const Demand &other) const noexcept -> bool
    {
        return other.milliCores <= milliCores && other.memoryMiB <= memoryMiB && other.accelerators <= accelerators;
    }
    constexpr auto operator+=(const Demand &other) noexcept -> Demand &
    {
        milliCores += other.milliCores;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        return *this;
    }
    constexpr auto operator-=(const Demand &other) noexcept -> Demand &
    {
        milliCores -= other.milliCores;
        memoryMiB -= other.memoryMiB;
        accelerators -= other.accelerators;
        return *this;
    }
    friend constexpr auto operator-(Demand a, const Demand &b) noexcept -> Demand
    {
        return a -= b;
    }
    friend constexpr auto operator==(const Demand &, const Demand &) noexcept -> bool = default;
};

/// Number of cores that an accelerator is equivalent to when work is measured in core-seconds; stated by the users' accounting.
inline constexpr double coresPerAccelerator = 8.0;

/// Returns the number of cores that \a demand is equivalent to. \pre none. Thread-safe.
[[nodiscard]] constexpr auto weightedCores(const Demand &demand) noexcept -> double
{
    constexpr double milli = 1000.0;
    return static_cast<double>(demand.milliCores) / milli + coresPerAccelerator * static_cast<double>(demand.accelerators);
}

/// A set of equal tasks of a job.
struct StepSpec
{
    std::uint32_t count = 1;
    Demand taskDemand;
    /// Estimated run time of a task; may be wrong by half in either direction.
    Duration estimate{};
    /// Numbers of the steps whose tasks must all have ended before this one starts.
    std::vector<std::uint32_t> dependsOn;
    /// The tasks save their progress.
    bool checkpoints = false;
    /// The tasks run together or not at all.
    bool gang = false;
    /// The tasks are to run in one rack; they run several times slower when they are spread over racks.
    bool sameRack = false;
    /// Copies of a task may run at the same time.
    bool speculative = false;
    /// The tasks run until the job is cancelled.
    bool longRunning = false;
    /// The tasks use only processor time that other tasks leave idle; no cores are allocated to them.
    bool usesSpareCores = false;
    /// Label that the worker must have; empty for any.
    std::string requiredLabel;
    /// Rack that stores the data; the tasks run several times slower elsewhere. Empty for none.
    RackName dataRack;
    /// Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Most tasks of a long-running step that may be interrupted at the same time.
    std::uint32_t maxUnavailable = 0;

    friend auto operator==(const StepSpec &, const StepSpec &) noexcept -> bool = default;
};

/// The part of a queue's configuration that applies to its jobs.
struct QueuePolicy
{
    ServiceName service;
    /// 0 is the most urgent and may preempt.
    std::uint32_t priority = 0;
    /// Failed runs of a task after which its job fails.
    std::uint32_t maxAttempts = 1;
    /// A job is on time when it ends within this many times its longest chain of work plus targetLatency.
    double stretch = 1.0;
    Duration targetLatency{};
};

/// A job as it was accepted.
struct JobSpec
{
    JobId id;
    QueueName queue;
    OrganisationName organisation;
    /// Passed to each task unchanged.
    std::string payload;
    std::vector<StepSpec> steps;
    /// How often the steps run; 0 for a job without a schedule, which runs once.
    std::uint32_t occurrences = 0;
    std::chrono::milliseconds firstRun{};
    std::chrono::milliseconds interval{};
    /// Since 1970, by the clock of the accepting instance.
    std::chrono::milliseconds acceptedAt{};
    /// The policy of the queue at acceptance; used once the queue is no longer configured.
    QueuePolicy policy;
};

enum class JobPhase : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// Returns `queued`, `running`, `completed`, `failed` or `cancelled`. \pre none. Thread-safe.
[[nodiscard]] auto jobPhaseName(JobPhase phase) noexcept -> const char *;

/// Returns whether a job in \a phase has ended. \pre none. Thread-safe.
[[nodiscard]] constexpr auto isFinal(JobPhase phase) noexcept -> bool
{
    return phase != JobPhase::Queued && phase != JobPhase::Running;
}

/// One task of one occurrence of a step.
struct TaskId
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator==(const TaskId &, const TaskId &) noexcept -> bool = default;
    friend auto operator<=>(const TaskId &, const TaskId &) noexcept -> std::strong_ordering = default;
};

/// The unit of placement, execution and retry: a whole gang, or a task of a step that is not a gang.
struct UnitId
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    /// Index of the task; 0 for a gang.
    std::uint32_t index = 0;

    friend auto operator==(const UnitId &, const UnitId &) noexcept -> bool = default;
    friend auto operator<=>(const UnitId &, const UnitId &) noexcept -> std::strong_ordering = default;
};

} // namespace Acaciarail::Workflow
