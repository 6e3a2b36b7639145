#pragma once

#include <acaciarail/caller/request_parser.h>
#include <acaciarail/core/job.h>
#include <acaciarail/core/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Caller {

/// Longest run time that a job may declare.
inline constexpr Duration maxDeclaredRunTime = std::chrono::hours(24 * 90);

/// State of a job as callers see it.
enum class JobPhase : std::uint8_t {
    Queued,
    Starting,
    Running,
    Stopping,
    Finished,
};

/// Returns `queued`, `starting`, `running`, `stopping` or `finished`. \pre none. Thread-safe.
[[nodiscard]] auto jobPhaseName(JobPhase phase) noexcept -> std::string_view;

/// Description of a job for callers.
struct JobDocument
{
    Job job;
    JobPhase phase = JobPhase::Queued;
    /// Number of the latest attempt; 0 before the first.
    std::uint32_t attempt = 0;
    std::vector<GangMember> members;
    /// Set when the phase is Finished.
    std::optional<JobOutcome> outcome;
    JobReason reason = JobReason::None;
    /// A sentence that explains the current phase; may be empty.
    std::string detail;
};

/// Parses the body of `POST /v1/jobs`:
/// `{"name","team","kind","shape":{"tasks","accelerators","cores","memory_mib","adjacency"},"priority","run_time_ms",
/// "start_within_ms","idempotent","checkpointable","zone"}`; `name`, `shape.tasks` and `run_time_ms` are required.
/// Organisation and caller stay empty, as they follow from the token. Refuses duplicate and unknown members (with the nearest
/// known one), wrong types, and numbers that are negative, zero where that is invalid, fractional, or out of range.
/// Each failure names the field, what was expected and what was found. \pre none. Thread-safe.
[[nodiscard]] auto parseJobSpec(std::string_view body) -> Parsed<JobSpec>;

/// Renders one job as JSON. \pre none. Thread-safe.
[[nodiscard]] auto renderJob(const JobDocument &document) -> std::string;

/// Renders `{"jobs":[...]}`. \pre none. Thread-safe.
[[nodiscard]] auto renderJobs(const std::vector<JobDocument> &documents) -> std::string;

} // namespace Acaciarail::Caller
