#include <acaciarail/workflow/placement.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace Acaciarail::Workflow {

namespace {

using Group = std::vector<std::size_t>;

/// Returns how many tasks that need \a taskDemand fit into \a free, at most \a limit.
auto countFitting(const Demand &free, const Demand &taskDemand, std::uint32_t limit) -> std::uint32_t
{
    auto n = std::int64_t{limit};
    const auto bound = [&n](std::int64_t have, std::int64_t need) {
        if (need > 0) {
            n = std::min(n, std::max<std::int64_t>(have, 0) / need);
        }
    };
    bound(free.milliCores, taskDemand.milliCores);
    bound(free.memoryMiB, taskDemand.memoryMiB);
    bound(free.accelerators, taskDemand.accelerators);
    return static_cast<std::uint32_t>(n);
}

auto perWorkerLimit(const PlacementRequest &request) -> std::uint32_t
{
    return request.maxPerWorker == 0 ? request.tasks : std::min(request.maxPerWorker, request.tasks);
}

auto byRack(std::span<const Candidate> candidates) -> std::vector<Group>
{
    std::vector<Group> groups;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].rack >= groups.size()) {
            groups.resize(candidates[i].rack + 1);
        }
        groups[candidates[i].rack].push_back(i);
    }
    std::erase_if(groups, [](const Group &it) { return it.empty(); });
    return groups;
}

auto wholePool(std::span<const Candidate> candidates) -> Group
{
    Group group(candidates.size());
    std::iota(group.begin(), group.end(), 0);
    return group;
}

/// Returns the groups of workers; all tasks of a request are placed within one of them.
auto groupsFor(std::span<const Candidate> candidates, const PlacementRequest &request) -> std::vector<Group>
{
    return request.sameRack ? byRack(candidates) : std::vector<Group>(1, wholePool(candidates));
}

/// Sort key of a candidate; the smaller one is used first.
auto preferenceKey(const Candidate &candidate, SpeedPreference speed) -> std::tuple<bool, bool, std::uint32_t, bool, std::int64_t>
{
    const bool fast = speed == SpeedPreference::Fast;
    return {candidate.avoided, candidate.cold, fast ? candidate.slowness : 0, candidate.unreserved,
            fast ? 0 : -static_cast<std::int64_t>(candidate.slowness)};
}

auto isAllowed(const Candidate &candidate, const PlacementRequest &request) -> bool
{
    return candidate.usable && (request.useAvoided || !candidate.avoided);
}

/// Places the tasks on the workers of a group, those with the least free capacity first.
auto fill(std::span<const Candidate> candidates, Group group, const PlacementRequest &request) -> std::optional<Assignment>
{
    const auto less = [&](std::size_t a, std::size_t b) {
        const auto key = [&](std::size_t i) {
            return std::tuple(preferenceKey(candidates[i], request.speed), candidates[i].free.accelerators, candidates[i].free.milliCores,
                              i);
        };
        return key(a) < key(b);
    };
    if (request.tasks == 1) {
        // The first worker of the sorted group with enough capacity, found without sorting.
        std::erase_if(group,
                      [&](std::size_t i) { return !isAllowed(candidates[i], request) || !candidates[i].free.covers(request.taskDemand); });
        const auto best = std::min_element(group.begin(), group.end(), less);
        return best == group.end() ? std::nullopt : std::optional(Assignment{*best});
    }
    std::sort(group.begin(), group.end(), less);
    Assignment assignment;
    for (const auto it : group) {
        if (!isAllowed(candidates[it], request)) {
            continue;
        }
        const auto left = request.tasks - static_cast<std::uint32_t>(assignment.size());
        const auto n = countFitting(candidates[it].free, request.taskDemand, std::min(left, perWorkerLimit(request)));
        assignment.insert(assignment.end(), n, it);
        if (assignment.size() == request.tasks) {
            return assignment;
        }
    }
    return std::nullopt;
}

auto freeAccelerators(std::span<const Candidate> candidates, const Group &group) -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto it : group) {
        sum += candidates[it].usable ? std::max<std::int64_t>(candidates[it].free.accelerators, 0) : 0;
    }
    return sum;
}

auto countAvoided(std::span<const Candidate> candidates, const Assignment &assignment) -> std::ptrdiff_t
{
    return std::count_if(assignment.begin(), assignment.end(), [&](std::size_t i) { return candidates[i].avoided; });
}

auto countCold(std::span<const Candidate> candidates, const Assignment &assignment) -> std::ptrdiff_t
{
    return std::count_if(assignment.begin(), assignment.end(), [&](std::size_t i) { return candidates[i].cold; });
}

auto countUnreserved(std::span<const Candidate> candidates, const Assignment &assignment) -> std::ptrdiff_t
{
    return std::count_if(assignment.begin(), assignment.end(), [&](std::size_t i) { return candidates[i].unreserved; });
}

auto greatestSlowness(std::span<const Candidate> candidates, const Assignment &assignment) -> std::uint32_t
{
    std::uint32_t slowness = 0;
    for (const auto it : assignment) {
        slowness = std::max(slowness, candidates[it].slowness);
    }
    return slowness;
}

auto totalSlowness(std::span<const Candidate> candidates, const Assignment &assignment) -> std::int64_t
{
    std::int64_t slowness = 0;
    for (const auto it : assignment) {
        slowness += candidates[it].slowness;
    }
    return slowness;
}

/// Returns the assignment on workers that are all as slow as the slowest of \a assignment, if there is one, so that the faster ones stay
/// free.
auto withoutFasterWorkers(std::span<const Candidate> candidates, const Group &group, const PlacementRequest &request, Assignment assignment)
    -> Assignment
{
    const auto slowness = greatestSlowness(candidates, assignment);
    const bool mixed = std::any_of(assignment.begin(), assignment.end(), [&](std::size_t i) { return candidates[i].slowness != slowness; });
    if (!mixed) {
        return assignment;
    }
    auto equals = group;
    std::erase_if(equals, [&](std::size_t i) { return candidates[i].slowness != slowness; });
    return fill(candidates, std::move(equals), request).value_or(std::move(assignment));
}

/// Chooses victims for one request within one group of workers.
class GreedyPreemption
{
public:
    GreedyPreemption(std::span<const Candidate> candidates, std::span<const Victim> victims, const PlacementRequest &request)
        : m_candidates(candidates)
        , m_victims(victims)
        , m_request(request)
        , m_victimsByCandidate(candidates.size())
    {
        for (std::size_t v = 0; v < victims.size(); ++v) {
            for (const auto &it : victims[v].parts) {
                m_victimsByCandidate[it.candidate].push_back(v);
            }
        }
        for (auto &it : m_victimsByCandidate) {
            std::sort(it.begin(), it.end(),
                      [&](auto a, auto b) { return std::tuple(victims[a].loss, a) < std::tuple(victims[b].loss, b); });
            it.erase(std::unique(it.begin(), it.end()), it.end());
        }
    }

    auto plan(const Group &group, double maxLoss) -> std::optional<PreemptionPlan>
    {
        m_free.clear();
        for (const auto &it : m_candidates) {
            m_free.push_back(it.free);
        }
        m_stopped.assign(m_victims.size(), false);
        std::vector<std::uint32_t> assignedTasks(m_candidates.size(), 0);
        PreemptionPlan plan;
        while (plan.assignment.size() < m_request.tasks) {
            const auto best = cheapestChoice(group, assignedTasks);
            if (!best || plan.loss + best->loss > maxLoss) {
                return std::nullopt;
            }
            for (const auto it : best->victims) {
                stop(it);
                plan.victims.push_back(it);
            }
            plan.loss += best->loss;
            m_free[best->candidate] -= m_request.taskDemand;
            ++assignedTasks[best->candidate];
            plan.assignment.push_back(best->candidate);
        }
        return plan;
    }

private:
    struct Choice
    {
        std::size_t candidate = 0;
        std::vector<std::size_t> victims;
        double loss = 0;
    };

    auto cheapestChoice(const Group &group, const std::vector<std::uint32_t> &assignedTasks) const -> std::optional<Choice>
    {
        std::optional<Choice> best;
        for (const auto it : group) {
            if (!m_candidates[it].usable || assignedTasks[it] >= perWorkerLimit(m_request)) {
                continue;
            }
            auto choice = chooseVictims(it);
            const auto key = [&](const Choice &c) {
                return std::tuple(m_candidates[c.candidate].avoided, c.loss, m_free[c.candidate].accelerators);
            };
            if (choice && (!best || key(*choice) < key(*best))) {
                best = std::move(choice);
            }
        }
        return best;
    }

    auto chooseVictims(std::size_t candidate) const -> std::optional<Choice>
    {
        Choice choice{candidate, {}, 0};
        auto free = m_free[candidate];
        for (const auto v : m_victimsByCandidate[candidate]) {
            if (free.covers(m_request.taskDemand)) {
                break;
            }
            if (m_stopped[v]) {
                continue;
            }
            for (const auto &part : m_victims[v].parts) {
                if (part.candidate == candidate) {
                    free += part.demand;
                }
            }
            choice.victims.push_back(v);
            choice.loss += m_victims[v].loss;
        }
        return free.covers(m_request.taskDemand) ? std::optional(std::move(choice)) : std::nullopt;
    }

    auto stop(std::size_t victim) -> void
    {
        m_stopped[victim] = true;
        for (const auto &it : m_victims[victim].parts) {
            m_free[it.candidate] += it.demand;
        }
    }

    std::span<const Candidate> m_candidates;
    std::span<const Victim> m_victims;
    PlacementRequest m_request;
    /// Victims on each candidate, the cheapest first.
    std::vector<std::vector<std::size_t>> m_victimsByCandidate;
    std::vector<Demand> m_free;
    std::vector<bool> m_stopped;
};

} // namespace

auto place(std::span<const Candidate> candidates, const PlacementRequest &request) -> std::optional<Assignment>
{
    const bool fast = request.speed == SpeedPreference::Fast;
    using Key = std::tuple<std::ptrdiff_t, std::ptrdiff_t, std::uint32_t, std::ptrdiff_t, std::int64_t, std::int64_t>;
    std::optional<std::pair<Key, Assignment>> best;
    for (const auto &group : groupsFor(candidates, request)) {
        auto assignment = fill(candidates, group, request);
        if (!assignment) {
            continue;
        }
        if (fast) {
            assignment = withoutFasterWorkers(candidates, group, request, std::move(*assignment));
        }
        const Key key{countAvoided(candidates, *assignment),
                      countCold(candidates, *assignment),
                      fast ? greatestSlowness(candidates, *assignment) : 0,
                      countUnreserved(candidates, *assignment),
                      fast ? 0 : -totalSlowness(candidates, *assignment),
                      freeAccelerators(candidates, group)};
        if (!best || key < best->first) {
            best.emplace(key, std::move(*assignment));
        }
    }
    return best ? std::optional(std::move(best->second)) : std::nullopt;
}

auto chooseReservedWorkers(std::span<const Candidate> candidates, std::span<const Demand> capacities, const PlacementRequest &request)
    -> std::optional<Assignment>
{
    std::optional<Assignment> best;
    std::uint32_t bestFitting = 0;
    for (auto group : groupsFor(candidates, request)) {
        const auto fittingNow = [&](std::size_t i) {
            return candidates[i].usable ? countFitting(candidates[i].free, request.taskDemand, perWorkerLimit(request)) : 0U;
        };
        std::stable_sort(group.begin(), group.end(), [&](std::size_t a, std::size_t b) { return fittingNow(a) > fittingNow(b); });
        Assignment reserved;
        std::uint32_t taskCapacity = 0;
        std::uint32_t fitting = 0;
        for (const auto i : group) {
            const bool usable = candidates[i].usable && !candidates[i].avoided;
            const auto workerTaskCapacity = usable ? countFitting(capacities[i], request.taskDemand, perWorkerLimit(request)) : 0U;
            if (taskCapacity >= request.tasks || workerTaskCapacity == 0) {
                continue;
            }
            reserved.push_back(i);
            taskCapacity += workerTaskCapacity;
            fitting += fittingNow(i);
        }
        if (taskCapacity >= request.tasks && (!best || fitting > bestFitting)) {
            best = std::move(reserved);
            bestFitting = fitting;
        }
    }
    return best;
}

auto planPreemption(std::span<const Candidate> candidates, std::span<const Victim> victims, const PlacementRequest &request, double maxLoss)
    -> std::optional<PreemptionPlan>
{
    GreedyPreemption greedy(candidates, victims, request);
    std::optional<PreemptionPlan> best;
    for (const auto &group : groupsFor(candidates, request)) {
        auto plan = greedy.plan(group, maxLoss);
        const auto key = [&](const PreemptionPlan &p) { return std::tuple(countAvoided(candidates, p.assignment), p.loss); };
        if (plan && (!best || key(*plan) < key(*best))) {
            best = std::move(plan);
        }
    }
    return best;
}

auto precedes(const QueuePosition &a, const QueuePosition &b) noexcept -> bool
{
    const auto key = [](const QueuePosition &p) {
        return std::tuple(!p.guaranteed, p.cannotFinishInTime, p.priority, p.late, p.readySince);
    };
    return key(a) < key(b);
}

} // namespace Acaciarail::Workflow
