#pragma once

#include <acaciarail/core/job.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Acaciarail::Scheduling {

/// Why a running attempt is stopped.
enum class StopReason : std::uint8_t {
    /// An organisation takes back its guaranteed capacity.
    Reclaimed,
    /// Urgent work takes the capacity of less urgent work.
    Preempted,
    /// The gang that holds a reservation takes its capacity from backfilled work that exceeded its estimated run time, or from work
    /// that loses little by a stop.
    ReservationDue,
    Cancelled,
    /// A worker of the gang was lost, so the rest of the gang must not continue.
    WorkerLost,
    OrganisationRemoved,
};

/// Returns the kebab-case name of \a reason. \pre none. Thread-safe.
[[nodiscard]] auto stopReasonName(StopReason reason) noexcept -> std::string_view;

/// Start all members of the gang, or none. The driver calls attemptStarted() once all run, and always calls attemptEnded()
/// exactly once.
struct StartGang
{
    JobId job;
    std::uint32_t attempt = 0;
    std::vector<GangMember> members;
};

/// Take a checkpoint and stop the attempt. The driver may report attemptEnded() as soon as the checkpoint is complete;
/// otherwise a StopGang follows once \c grace has passed.
struct CheckpointGang
{
    JobId job;
    std::uint32_t attempt = 0;
    Duration grace{};
    StopReason reason = StopReason::Reclaimed;
};

/// Stop all members of the attempt at once. The driver calls attemptEnded() once all have stopped; until then the
/// capacity counts as occupied.
struct StopGang
{
    JobId job;
    std::uint32_t attempt = 0;
    StopReason reason = StopReason::Reclaimed;
};

/// The job has ended; emitted exactly once for each accepted or adopted job. The scheduler then no longer knows the job.
struct FinishJob
{
    JobId job;
    JobOutcome outcome = JobOutcome::Succeeded;
    JobReason reason = JobReason::None;
    std::string detail;
};

using JobCommand = std::variant<StartGang, CheckpointGang, StopGang, FinishJob>;

} // namespace Acaciarail::Scheduling
