#include <acaciarail/core/logging.h>
#include <acaciarail/workflow/start_trace.h>

#include <set>

namespace Acaciarail::Workflow {

auto placementPathName(PlacementPath path) noexcept -> const char *
{
    constexpr std::array<const char *, placementPathCount> names{"free", "reserved", "preempting"};
    return names.at(static_cast<std::size_t>(path));
}

auto startObstacleName(StartObstacle obstacle) noexcept -> const char *
{
    constexpr std::array<const char *, startObstacleCount> names{"service", "label", "spread", "life", "draining", "evacuated"};
    return names.at(static_cast<std::size_t>(obstacle));
}

auto labelsLogValue(const std::vector<std::string> &labels) -> std::string
{
    std::string out;
    for (const auto &it : labels) {
        out += (out.empty() ? "" : ",") + it;
    }
    // Labels come from job submissions and from the list of workers, so they may hold any character.
    return quoteLogValue(out);
}

auto requiredLabelsLogField(const JobSpec &spec) -> std::string
{
    std::set<std::string> labels;
    for (const auto &it : spec.steps) {
        if (!it.requiredLabel.empty()) {
            labels.insert(it.requiredLabel);
        }
    }
    return labels.empty() ? std::string() : "required_labels=" + labelsLogValue({labels.begin(), labels.end()});
}

} // namespace Acaciarail::Workflow
