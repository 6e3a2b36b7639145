#include <acaciarail/workflow/objective.h>

#include <algorithm>
#include <vector>

namespace Acaciarail::Workflow {

auto longestChain(const JobSpec &job) -> Duration
{
    // A step depends only on steps with lower numbers; a chain that does not keep to this is counted as far as it does.
    std::vector<Duration> ends(job.steps.size());
    Duration longest{};
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        Duration begin{};
        for (const auto it : job.steps[i].dependsOn) {
            begin = it < i ? std::max(begin, ends[it]) : begin;
        }
        ends[i] = begin + job.steps[i].estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

auto objectiveOf(const JobSpec &job, const QueuePolicy &policy) -> Duration
{
    // Bounds what a wrong estimate or stretch can give.
    constexpr std::chrono::duration<double> longest = 1e6s;
    return std::chrono::duration_cast<Duration>(std::min(policy.stretch * std::chrono::duration<double>(longestChain(job)), longest))
        + policy.targetLatency;
}

} // namespace Acaciarail::Workflow
