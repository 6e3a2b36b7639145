#include <acaciarail/instance/witness_planner.h>

#include <algorithm>
#include <map>

namespace Acaciarail::Instance {

namespace {

auto contains(const std::vector<WorkerName> &names, const WorkerName &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Returns the worker outside \a chosen whose rack has the fewest chosen workers; of equal ones, the first by name.
auto bestAddition(const std::vector<WorkerName> &chosen, const std::vector<WorkerInfo> &workers) -> const WorkerInfo *
{
    std::map<RackName, std::size_t> chosenInRack;
    for (const auto &it : workers) {
        chosenInRack[it.rack] += contains(chosen, it.name) ? 1 : 0;
    }
    const WorkerInfo *best = nullptr;
    for (const auto &it : workers) {
        if (contains(chosen, it.name)) {
            continue;
        }
        const auto key = std::pair(chosenInRack[it.rack], it.name);
        if (!best || key < std::pair(chosenInRack[best->rack], best->name)) {
            best = &it;
        }
    }
    return best;
}

auto withAdded(std::vector<WorkerName> names, const WorkerName &name) -> std::vector<WorkerName>
{
    names.insert(std::upper_bound(names.begin(), names.end(), name), name);
    return names;
}

} // namespace

auto chooseWitnesses(const std::vector<WorkerInfo> &workers) -> std::vector<WorkerName>
{
    std::vector<WorkerName> chosen;
    while (chosen.size() < std::min(maxWitnesses, workers.size())) {
        const auto &addition = bestAddition(chosen, workers)->name;
        chosen = withAdded(std::move(chosen), addition);
    }
    return chosen;
}

auto nextWitnesses(const std::vector<WorkerName> &current, const std::vector<WorkerInfo> &usable) -> std::optional<std::vector<WorkerName>>
{
    const auto isUsable = [&usable](const WorkerName &name) {
        return std::any_of(usable.begin(), usable.end(), [&name](const WorkerInfo &it) { return it.name == name; });
    };
    const auto *addition = bestAddition(current, usable);
    const auto unusable = std::find_if_not(current.begin(), current.end(), isUsable);
    if (unusable != current.end() && current.size() > 1) {
        auto next = current;
        std::erase(next, *unusable);
        return next;
    }
    if (current.size() < maxWitnesses && addition) {
        return withAdded(current, addition->name);
    }
    return std::nullopt;
}

} // namespace Acaciarail::Instance
