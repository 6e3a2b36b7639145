#pragma once

#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/job.h>
#include <acaciarail/core/policy.h>
#include <acaciarail/scheduling/guarantee.h>
#include <acaciarail/scheduling/job_command.h>
#include <acaciarail/scheduling/worker_health.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Scheduling {

struct ZoneSchedulerSettings
{
    /// Zone whose guarantees apply.
    ZoneName zone;
    /// Time for the checkpoint of an attempt that is reclaimed. Checkpoint, stop and the start of the new attempt together must stay
    /// below 1.2 s.
    Duration checkpointGrace = std::chrono::milliseconds(700);
    /// Distinct healthy workers on which a job must fail before the job itself is considered faulty.
    std::uint32_t jobFaultWorkers = 3;
    /// Failed attempts after which a job ends as failed, whichever workers they ran on.
    std::uint32_t maxFailedAttempts = 6;
    /// Wait before the first retry of a failed job; doubled for each further failure, up to \c maxRetryBackoff.
    Duration retryBackoff = std::chrono::milliseconds(500);
    Duration maxRetryBackoff = std::chrono::seconds(30);
    /// Waiting gangs that hold a reservation at the same time.
    std::uint32_t maxReservations = 8;
    /// Jobs waiting at the same time; more are refused with Error::Overloaded.
    std::uint32_t maxQueuedJobs = 100'000;
    /// Time lost by restarting a checkpointed attempt, used to choose which attempts to stop.
    Duration restartCost = std::chrono::seconds(30);
    /// Number of the first attempt of a job without earlier attempts. The holder of the shard derives it from its term, so that an
    /// attempt number is never used twice for a job that was queued again after a takeover.
    std::uint32_t firstAttempt = 1;
    WorkerHealthSettings health{};
};

/// State of a job that has not ended.
enum class JobState : std::uint8_t {
    Queued,
    /// Holds a reservation and waits for the capacity to become free.
    Reserved,
    /// Its capacity is being reclaimed from borrowers.
    Reclaiming,
    Starting,
    Running,
    Stopping,
};

/// Why a job does not run yet.
enum class WaitReason : std::uint8_t {
    None,
    NotConsideredYet,
    NoCapacity,
    TeamQuota,
    ClassLimit,
    RetryBackoff,
    /// The guaranteed shape cannot be met since workers were lost.
    GuaranteeShortfall,
    /// No worker of the present fleet could hold the shape; workers may return.
    FleetTooSmall,
};

/// Returns the kebab-case name. \pre none. Thread-safe.
[[nodiscard]] auto jobStateName(JobState state) noexcept -> std::string_view;

/// Returns the kebab-case name. \pre none. Thread-safe.
[[nodiscard]] auto waitReasonName(WaitReason reason) noexcept -> std::string_view;

/// The state of a job, and the reason for it.
struct Explanation
{
    JobId job;
    JobState state = JobState::Queued;
    WaitReason reason = WaitReason::None;
    /// Number of the current or last attempt; 0 before the first.
    std::uint32_t attempt = 0;
    /// Runs inside the guarantee of its organisation, so that it is not reclaimable.
    bool guaranteed = false;
    /// Waiting jobs of the same organisation and priority that come earlier in the queue.
    std::uint32_t ahead = 0;
    /// Estimated start of a job with a reservation.
    std::optional<TimePoint> expectedStart;
    std::vector<GangMember> members;
    /// One sentence for a human reader, with the figures.
    std::string detail;
};

/// Sums over one shard.
struct ZoneSummary
{
    std::uint32_t workers = 0;
    std::uint32_t leavingWorkers = 0;
    std::uint32_t quarantinedWorkers = 0;
    ResourceTotals capacity;
    /// Not in use; may be covered by guarantees or reserved.
    ResourceTotals free;
    /// In use by reclaimable work.
    ResourceTotals borrowed;
    /// In use by work inside guarantees.
    ResourceTotals guaranteedInUse;
    /// Covered by located guarantees, used or not.
    ResourceTotals guaranteed;
    /// Waiting jobs by priority.
    std::array<std::uint32_t, priorityCount> queued{};
    std::uint32_t runningAttempts = 0;
    std::uint32_t reservations = 0;
    std::uint32_t reclaiming = 0;
    /// Guarantees that cannot be met with the present workers; empty when all are met.
    std::vector<GuaranteeShortfall> shortfall;
};

namespace Detail {
class ZoneState;
}

/// Schedules the jobs of one shard. It does no input or output: time is passed in, and decisions come out as commands.
/// All methods: not thread-safe. Times passed to successive calls must not decrease.
class ZoneScheduler
{
public:
    /// \pre settings are valid; \a seed may be any number. Equal inputs give equal decisions.
    ZoneScheduler(ZoneSchedulerSettings settings, std::uint64_t seed);
    ~ZoneScheduler();
    ZoneScheduler(ZoneScheduler &&other) noexcept;
    auto operator=(ZoneScheduler &&other) noexcept -> ZoneScheduler &;
    ZoneScheduler(const ZoneScheduler &) = delete;
    auto operator=(const ZoneScheduler &) -> ZoneScheduler & = delete;

    /// Sets organisations, shares, guarantees and team quotas. Jobs of removed organisations end as refused; running
    /// ones are stopped first. \pre team and organisation names are unique.
    auto setPolicy(const JobPolicy &policy, TimePoint now) -> void;

    /// Adds a worker, or updates one that is known; also called after a loss. \pre none.
    auto workerJoined(const WorkerInfo &worker, TimePoint now) -> void;

    /// Gives the worker no new work. Running attempts continue. \pre none; unknown names are ignored.
    auto workerLeaving(const WorkerName &name, TimePoint now) -> void;

    /// Ends all attempts on the worker as lost. Attempts that also run elsewhere get a StopGang, and end with the driver's
    /// attemptEnded(); for the others no attemptEnded() is needed. \pre none; unknown names are ignored.
    auto workerLost(const WorkerName &name, TimePoint now) -> void;

    /// Accepts a job, or returns why not: NeverFits, QuotaExceeded, UnknownOrganisation, DuplicateName (known id),
    /// Overloaded. \pre \a job passed validateJobSpec().
    [[nodiscard]] auto submit(const Job &job, TimePoint now) -> std::optional<Failure>;

    /// Takes over an attempt that already runs; the job may have been submitted before or not. Repetitions are ignored.
    /// \pre none; workers that are not known yet may join later.
    auto adopt(const RunningAttempt &attempt, TimePoint now) -> void;

    /// Cancels a job; FinishJob follows, after the attempt ended if one is running. \pre none; unknown ids are ignored.
    auto cancel(const JobId &id, TimePoint now) -> void;

    /// Reports that all members of the attempt run. \pre none; attempts that are not current are ignored.
    auto attemptStarted(const JobId &id, std::uint32_t attempt, TimePoint now) -> void;

    /// Reports that the attempt ended on all its workers. \pre none; attempts that are not current are ignored.
    auto attemptEnded(const JobId &id, std::uint32_t attempt, const AttemptEnd &end, TimePoint now) -> void;

    /// Returns the commands to carry out now, in this order. \pre the driver carries out every command.
    [[nodiscard]] auto decide(TimePoint now) -> std::vector<JobCommand>;

    /// Returns when decide() must be called at the latest; empty when nothing is pending. After any other call, decide() is
    /// called at once. \pre none.
    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;

    /// Explains a waiting or running job; empty when the id is unknown. \pre none.
    [[nodiscard]] auto explain(const JobId &id, TimePoint now) const -> std::optional<Explanation>;

    /// Returns the sums over the shard. \pre none.
    [[nodiscard]] auto summary() const -> ZoneSummary;

    /// Recomputes all internal sums and checks the invariant of the guarantees; returns the first fault found, or an empty text.
    /// Slow; for tests and benchmarks. \pre none.
    [[nodiscard]] auto verify() const -> std::string;

private:
    std::unique_ptr<Detail::ZoneState> m_state;
};

} // namespace Acaciarail::Scheduling
