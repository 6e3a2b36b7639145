#pragma once

#include <acaciarail/workflow/job.h>

namespace Acaciarail::Workflow {

/// A job has no value once this many times its objective has passed; stated by the users' accounting.
inline constexpr int valuelessAfterObjectives = 3;

/// Returns the sum of the estimates along the longest chain of dependent steps. \pre none. Thread-safe.
[[nodiscard]] auto longestChain(const JobSpec &job) -> Duration;
/// Returns the time after acceptance within which the job is on time, by its estimates. \pre none. Thread-safe.
[[nodiscard]] auto objectiveOf(const JobSpec &job, const QueuePolicy &policy) -> Duration;

} // namespace Acaciarail::Workflow
