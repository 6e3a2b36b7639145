#pragma once

#include <acaciarail/scheduling/job_command.h>
#include <acaciarail/scheduling/placement.h>

#include <acaciarail/core/policy.h>

#include <algorithm>
#include <list>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Bench {

/// Rules that the job scheduler is compared with; none of them stops running work.
enum class Baseline {
    /// In order of arrival; a job that does not fit blocks all that follow.
    Fifo,
    /// In order of arrival, but jobs that do not fit are skipped; no reservations.
    FirstFit,
    /// The organisation with the least usage relative to its share comes first; jobs that do not fit are skipped.
    WeightedShares,
};

/// Scheduler that applies one of these rules and has the methods that the job driver calls. \pre jobs are valid. Not thread-safe.
class BaselineScheduler
{
public:
    explicit BaselineScheduler(Baseline rule)
        : m_rule(rule)
    {
    }

    auto setPolicy(const JobPolicy &policy, TimePoint) -> void
    {
        for (const auto &it : policy.organisations) {
            m_share[it.name] = it.share;
        }
    }
    auto workerJoined(const WorkerInfo &worker, TimePoint) -> void
    {
        m_fleet.join(worker);
    }
    auto workerLost(const WorkerName &, TimePoint) -> void
    {
    }
    auto submit(const Job &job, TimePoint) -> std::optional<Failure>
    {
        m_queue.push_back(job);
        m_changed = true;
        return std::nullopt;
    }
    auto cancel(const JobId &, TimePoint) -> void
    {
    }
    auto attemptStarted(const JobId &, std::uint32_t, TimePoint) -> void
    {
    }
    auto attemptEnded(const JobId &id, std::uint32_t, const AttemptEnd &, TimePoint) -> void
    {
        const auto node = m_running.extract(id);
        const auto &[job, placement] = node.mapped();
        for (const auto &it : placement) {
            m_fleet.removeUsed(it.worker, Scheduling::times(job.spec.shape.perTask, it.tasks), true);
        }
        m_usage[job.spec.organisation] -= weight(job);
        m_commands.emplace_back(Scheduling::FinishJob{id, JobOutcome::Succeeded, JobReason::None, {}});
        m_changed = true;
    }
    auto decide(TimePoint) -> std::vector<Scheduling::JobCommand>
    {
        if (m_changed) {
            m_changed = false;
            m_rule == Baseline::WeightedShares ? runShares() : runInOrder();
        }
        return std::exchange(m_commands, {});
    }
    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>
    {
        return std::nullopt;
    }
    [[nodiscard]] auto fleet() const noexcept -> const Scheduling::Fleet &
    {
        return m_fleet;
    }

private:
    struct Running
    {
        Job job;
        Scheduling::Placement placement;
    };

    [[nodiscard]] static auto weight(const Job &job) -> double
    {
        const auto &shape = job.spec.shape;
        return static_cast<double>(shape.accelerators()) + static_cast<double>(std::uint64_t{shape.tasks} * shape.perTask.cores) / 8.0;
    }

    auto runInOrder() -> void
    {
        std::vector<Shape> unplaceable;
        for (auto it = m_queue.begin(); it != m_queue.end();) {
            const auto isKnownUnplaceable = std::find(unplaceable.begin(), unplaceable.end(), it->spec.shape) != unplaceable.end();
            if (!isKnownUnplaceable && start(*it)) {
                it = m_queue.erase(it);
                continue;
            }
            if (m_rule == Baseline::Fifo) {
                return;
            }
            if (!isKnownUnplaceable) {
                unplaceable.push_back(it->spec.shape);
            }
            ++it;
        }
    }

    auto runShares() -> void
    {
        std::vector<Shape> unplaceable;
        auto hasProgress = true;
        while (hasProgress) {
            hasProgress = false;
            std::map<double, OrganisationName> order;
            for (const auto &[name, share] : m_share) {
                order.emplace(m_usage[name] / share + 1e-9 * static_cast<double>(order.size()), name);
            }
            for (auto next = order.begin(); next != order.end() && !hasProgress; ++next) {
                for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
                    const auto isKnownUnplaceable = std::find(unplaceable.begin(), unplaceable.end(), it->spec.shape) != unplaceable.end();
                    if (it->spec.organisation != next->second || isKnownUnplaceable) {
                        continue;
                    }
                    if (start(*it)) {
                        m_queue.erase(it);
                        hasProgress = true;
                        break;
                    }
                    unplaceable.push_back(it->spec.shape);
                }
            }
        }
    }

    [[nodiscard]] auto placeInOrder(const Shape &shape, const std::vector<Scheduling::WorkerIndex> &workers) const
        -> std::optional<Scheduling::Placement>
    {
        Scheduling::Placement placement;
        auto remaining = shape.tasks;
        for (const auto i : workers) {
            const auto n = Scheduling::tasksThatFit(m_fleet.available(i, Scheduling::CapacityKind::Free), shape.perTask, remaining);
            if (n > 0) {
                placement.push_back({i, n});
                remaining -= n;
            }
            if (remaining == 0) {
                return placement;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] auto firstFit(const Shape &shape) const -> std::optional<Scheduling::Placement>
    {
        std::vector<Scheduling::WorkerIndex> all(m_fleet.workers().size());
        std::iota(all.begin(), all.end(), 0U);
        if (shape.tasks == 1 || shape.adjacency == Adjacency::Any) {
            return placeInOrder(shape, all);
        }
        if (shape.adjacency == Adjacency::Worker) {
            for (const auto i : all) {
                if (auto placement = placeInOrder(shape, {i})) {
                    return placement;
                }
            }
            return std::nullopt;
        }
        for (const auto &rack : m_fleet.racks()) {
            if (auto placement = placeInOrder(shape, rack.workers)) {
                return placement;
            }
        }
        return shape.adjacency == Adjacency::Rack ? std::nullopt
                                                  : Scheduling::findPlacement(m_fleet, shape, Scheduling::CapacityKind::Free);
    }

    auto start(const Job &job) -> bool
    {
        auto placement = firstFit(job.spec.shape);
        if (!placement) {
            return false;
        }
        Scheduling::StartGang command{job.id, 1, {}};
        for (const auto &it : *placement) {
            m_fleet.addUsed(it.worker, Scheduling::times(job.spec.shape.perTask, it.tasks), true);
            command.members.push_back({m_fleet.worker(it.worker).info.name, it.tasks});
        }
        m_usage[job.spec.organisation] += weight(job);
        m_running.emplace(job.id, Running{job, std::move(*placement)});
        m_commands.emplace_back(std::move(command));
        return true;
    }

    Baseline m_rule;
    Scheduling::Fleet m_fleet;
    std::list<Job> m_queue;
    std::unordered_map<JobId, Running> m_running;
    std::map<OrganisationName, std::uint32_t> m_share;
    std::map<OrganisationName, double> m_usage;
    std::vector<Scheduling::JobCommand> m_commands;
    bool m_changed = false;
};

} // namespace Acaciarail::Bench
