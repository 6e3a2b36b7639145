#include <acaciarail/core/job.h>

#include <array>

namespace Acaciarail {

namespace {

constexpr std::array<std::string_view, 5> outcomeNames{"succeeded", "failed", "refused", "cancelled", "lost"};
constexpr std::array<std::string_view, 9> reasonNames{"none",        "cancelled-by-caller",       "start-deadline-passed",
                                                      "never-fits",  "failed-on-several-workers", "task-failed",
                                                      "worker-lost", "organisation-removed",      "quota-exceeded"};
constexpr std::array<std::string_view, 5> endNames{"succeeded", "failed", "stopped", "lost", "not-started"};

constexpr std::size_t maxNameLength = 128;
constexpr std::uint32_t maxAcceleratorsPerTask = 1024;
constexpr std::uint32_t maxCoresPerTask = 4096;
constexpr std::uint32_t maxMemoryMiBPerTask = 64U * 1024U * 1024U;
constexpr Duration maxRunTime = std::chrono::hours(24 * 90);

auto invalid(std::string detail) -> std::optional<Failure>
{
    return Failure{Error::InvalidShape, Execution::NotRun, std::move(detail)};
}

auto outOfRange(std::string_view field, std::uint64_t found, std::uint64_t least, std::uint64_t most) -> std::optional<Failure>
{
    if (found >= least && found <= most) {
        return std::nullopt;
    }
    return invalid(std::string(field) + ": expected " + std::to_string(least) + " to " + std::to_string(most) + ", found "
                   + std::to_string(found));
}

} // namespace

auto jobOutcomeName(JobOutcome outcome) noexcept -> std::string_view
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

auto jobReasonName(JobReason reason) noexcept -> std::string_view
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

auto attemptEndName(AttemptEndKind kind) noexcept -> std::string_view
{
    return endNames.at(static_cast<std::size_t>(kind));
}

auto validateJobSpec(const JobSpec &spec) -> std::optional<Failure>
{
    if (auto f = outOfRange("name length", spec.name.size(), 1, maxNameLength)) {
        return f;
    }
    if (auto f = outOfRange("kind length", spec.kind.size(), 0, maxNameLength)) {
        return f;
    }
    if (auto f = outOfRange("tasks", spec.shape.tasks, 1, maxGangTasks)) {
        return f;
    }
    if (auto f = outOfRange("accelerators per task", spec.shape.perTask.accelerators, 0, maxAcceleratorsPerTask)) {
        return f;
    }
    if (auto f = outOfRange("cores per task", spec.shape.perTask.cores, 0, maxCoresPerTask)) {
        return f;
    }
    if (auto f = outOfRange("memory_mib per task", spec.shape.perTask.memoryMiB, 0, maxMemoryMiBPerTask)) {
        return f;
    }
    if (spec.shape.perTask == Resources{}) {
        return invalid("resources per task: expected at least one accelerator, core or MiB of memory, found none");
    }
    if (spec.declaredRunTime <= Duration::zero() || spec.declaredRunTime > maxRunTime) {
        return invalid("run time: expected more than 0 and at most 90 days, found " + std::to_string(spec.declaredRunTime.count()) + " us");
    }
    if (spec.startWithin && *spec.startWithin <= Duration::zero()) {
        return Failure{Error::DeadlinePassed, Execution::NotRun, "start deadline: expected a time in the future, found one in the past"};
    }
    return std::nullopt;
}

} // namespace Acaciarail
