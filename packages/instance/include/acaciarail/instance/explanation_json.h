#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/scheduling/zone_scheduler.h>
#include <acaciarail/state/replica.h>

#include <string>

namespace Acaciarail::Instance {

/// Renders why a job waits, runs or ended, as one JSON object. \a explanation is null when no holder has explained the job.
/// \pre none. Thread-safe.
[[nodiscard]] auto renderExplanation(const State::JobState &state, const Scheduling::Explanation *explanation, TimePoint now)
    -> std::string;

} // namespace Acaciarail::Instance
