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
    /// Distinct jobs that must fail on a worker, without a success in between, before it is quarantined.
    std::uint32_t failuresToQuarantine = 3;
    /// First quarantine; doubled for each one that follows without a full recovery.
    Duration quarantine = std::chrono::minutes(1);
    Duration maxQuarantine = std::chrono::hours(1);
    /// An attempt that runs for this long counts as a success of its worker, because jobs can run for hours.
    Duration provenAfter = std::chrono::seconds(60);
};

/// Health of a worker as the scheduler sees it.
enum class HealthState : std::uint8_t {
    Healthy,
    /// Some attempts failed lately; gets work, but no more jobs than it takes to decide.
    Suspect,
    Quarantined,
    /// Gets one idempotent job at a time, then two, four and eight, until it is healthy.
    Probation,
};

/// Returns the kebab-case name. \pre none. Thread-safe.
[[nodiscard]] auto healthStateName(HealthState state) noexcept -> std::string_view;

/// Tells faulty workers from faulty jobs. All methods: no preconditions unless stated; not thread-safe.
class WorkerHealth
{
public:
    explicit WorkerHealth(WorkerHealthSettings settings);

    /// An attempt of \a job failed on \a worker. Returns whether the worker is quarantined by it.
    auto failed(const WorkerName &worker, const JobId &job, TimePoint now) -> bool;

    /// An attempt succeeded on \a worker, or ran long enough to prove it.
    auto succeeded(const WorkerName &worker, TimePoint now) -> void;

    /// \a job itself is faulty, or likely to be; workers are no longer blamed for its failures.
    /// Returns the workers whose state may have changed, in order of name.
    auto jobBlamed(const JobId &job) -> std::vector<WorkerName>;

    /// Forgets a worker that left for good.
    auto forget(const WorkerName &worker) -> void;

    /// Moves workers whose quarantine has ended into probation, and returns them.
    auto expire(TimePoint now) -> std::vector<WorkerName>;

    [[nodiscard]] auto state(const WorkerName &worker) const -> HealthState;

    /// Returns the number of jobs that may run on the worker at the same time; empty when there is no limit.
    [[nodiscard]] auto jobLimit(const WorkerName &worker) const -> std::optional<std::uint32_t>;

    /// Returns when the next quarantine ends.
    [[nodiscard]] auto nextExpiry() const -> std::optional<TimePoint>;

    [[nodiscard]] auto quarantinedCount() const noexcept -> std::uint32_t;

private:
    struct Record
    {
        HealthState state = HealthState::Healthy;
        /// Distinct jobs that failed since the last success.
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
