#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Scheduling {

struct WorkerHealthSettings
{
    /// Number of distinct jobs that fail on a worker, without a success in between, before the worker is quarantined.
    std::uint32_t failuresToQuarantine = 3;
    /// Duration of the first quarantine; doubled for each further quarantine without a full recovery in between.
    Duration quarantine = std::chrono::minutes(1);
    Duration maxQuarantine = std::chrono::hours(1);
    /// An attempt that has run for this long counts as a success of its worker, because a job can take hours to finish.
    Duration successAfter = std::chrono::seconds(60);
};

/// Health of a worker as the scheduler sees it.
enum class HealthState : std::uint8_t {
    Healthy,
    /// Some attempts failed recently; runs at most as many jobs as are needed to decide on a quarantine.
    Suspect,
    Quarantined,
    /// Runs one idempotent job at a time, then two, four and eight, until it is healthy.
    Probation,
};

/// Returns `healthy`, `suspect`, `quarantined` or `probation`. \pre none. Thread-safe.
[[nodiscard]] auto healthStateName(HealthState state) noexcept -> std::string_view;

/// Distinguishes faulty workers from faulty jobs by the distinct jobs that fail on a worker. An attempt is one start of a unit or gang
/// of a job. All methods: no preconditions unless stated; not thread-safe.
class WorkerHealth
{
public:
    explicit WorkerHealth(WorkerHealthSettings settings);

    /// Records that an attempt of \a job failed on \a worker. Returns whether the failure quarantined the worker.
    auto recordFailure(const WorkerName &worker, const JobId &job, TimePoint now) -> bool;

    /// Records that an attempt on \a worker succeeded, or has run for WorkerHealthSettings::successAfter.
    auto recordSuccess(const WorkerName &worker, TimePoint now) -> void;

    /// Excludes the failures of \a job from the health of workers, because the job itself is faulty, or likely to be.
    /// Returns the workers whose state may have changed, in order of name.
    auto excludeJobFailures(const JobId &job) -> std::vector<WorkerName>;

    /// Removes a worker that has left permanently.
    auto removeWorker(const WorkerName &worker) -> void;

    /// Moves workers whose quarantine has ended into probation and returns them, in order of name.
    auto endQuarantines(TimePoint now) -> std::vector<WorkerName>;

    [[nodiscard]] auto state(const WorkerName &worker) const -> HealthState;

    /// Returns the number of jobs that may run on the worker at the same time; empty when there is no limit.
    [[nodiscard]] auto jobLimit(const WorkerName &worker) const -> std::optional<std::uint32_t>;

    /// Returns the end of the quarantine that ends next.
    [[nodiscard]] auto nextQuarantineEnd() const -> std::optional<TimePoint>;

    [[nodiscard]] auto quarantinedCount() const noexcept -> std::uint32_t;

private:
    struct Record
    {
        HealthState state = HealthState::Healthy;
        /// Distinct jobs that have failed since the last success.
        std::vector<JobId> failedJobs;
        TimePoint quarantinedUntil;
        std::uint32_t quarantines = 0;
        std::uint32_t probationJobs = 1;
    };

    auto quarantine(Record &record, TimePoint now) -> void;

    WorkerHealthSettings m_settings;
    std::unordered_map<WorkerName, Record> m_records;
    std::uint32_t m_quarantined = 0;
};

} // namespace Acaciarail::Scheduling
