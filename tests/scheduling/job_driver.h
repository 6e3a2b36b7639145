#pragma once

#include <acaciarail/scheduling/job_command.h>

#include <acaciarail/core/fleet_info.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Acaciarail::Scheduling::Testing {

/// Delays of the simulated workers.
struct DriverTimes
{
    Duration start = 20ms;
    Duration checkpoint = 300ms;
    Duration stop = 30ms;
    /// Additional run time of an attempt that continues from a checkpoint.
    Duration resume{};
};

/// One finished job as the driver saw it.
struct FinishedJob
{
    FinishJob finish;
    TimePoint submitted;
    TimePoint firstStart;
    TimePoint end;
    bool wasStarted = false;
};

/// Carries out the commands of a scheduler in simulated time and accounts for the resources independently, so that faults in the
/// scheduler's accounting are found. It models commands and their results only; workers have no other behaviour.
template<typename Scheduler>
class JobDriver
{
public:
    explicit JobDriver(Scheduler &scheduler, DriverTimes times = {})
        : m_scheduler(scheduler)
        , m_times(times)
    {
    }

    /// Decides how an attempt ends; by default it succeeds.
    std::function<AttemptEnd(const Job &, const StartGang &)> outcome;
    /// Called after each round of commands.
    std::function<void(TimePoint)> afterRound;

    auto join(const WorkerInfo &worker) -> void
    {
        m_capacity[worker.name] = worker.capacity;
        m_scheduler.workerJoined(worker, m_now);
    }

    auto lose(const WorkerName &name) -> void
    {
        for (auto &[id, it] : m_jobs) {
            const auto isThere = [&](const GangMember &m) { return m.worker == name; };
            if (!it.running || std::none_of(it.members.begin(), it.members.end(), isThere)) {
                continue;
            }
            std::erase_if(it.members, isThere);
            free({{name, 0}}, it.job);
            if (it.members.empty()) {
                it.running = false;
            }
        }
        m_used.erase(name);
        m_capacity.erase(name);
        m_scheduler.workerLost(name, m_now);
        settle();
    }

    auto submit(const Job &job, Duration trueRunTime) -> std::optional<Failure>
    {
        auto failure = m_scheduler.submit(job, m_now);
        if (!failure) {
            m_jobs[job.id] = {job, trueRunTime, Duration::zero(), m_now, {}, {}, 0, false, false, false, {}, 0, 0};
        }
        return failure;
    }

    auto cancel(const JobId &id) -> void
    {
        m_scheduler.cancel(id, m_now);
    }

    /// Calls decide() and carries out its commands.
    auto settle() -> void
    {
        const auto commands = m_scheduler.decide(m_now);
        for (const auto &it : commands) {
            std::visit([this](const auto &command) { this->apply(command); }, it);
        }
        if (afterRound) {
            afterRound(m_now);
        }
    }

    /// Advances the time to \a until and handles all events up to then.
    auto runUntil(TimePoint until) -> void
    {
        settle();
        while (true) {
            const auto deadline = m_scheduler.nextDeadline();
            auto next = until;
            if (!m_events.empty()) {
                next = std::min(next, m_events.begin()->first.first);
            }
            if (deadline) {
                next = std::min(next, std::max(*deadline, m_now));
            }
            const auto stalled = deadline && *deadline <= m_now && next == m_now;
            if (next >= until && (m_events.empty() || m_events.begin()->first.first > until) && !stalled) {
                m_now = until;
                settle();
                return;
            }
            m_now = next;
            while (!m_events.empty() && m_events.begin()->first.first <= m_now) {
                const auto event = m_events.begin()->second;
                m_events.erase(m_events.begin());
                event();
            }
            settle();
            if (stalled && m_scheduler.nextDeadline() && *m_scheduler.nextDeadline() <= m_now) {
                fault("nextDeadline() does not advance");
                return;
            }
        }
    }

    auto runFor(Duration d) -> void
    {
        runUntil(m_now + d);
    }

    [[nodiscard]] auto now() const noexcept -> TimePoint
    {
        return m_now;
    }
    [[nodiscard]] auto finished() const noexcept -> const std::map<JobId, FinishedJob> &
    {
        return m_finished;
    }
    /// Faults found by the driver's own accounting; empty when there are none.
    [[nodiscard]] auto faults() const noexcept -> const std::vector<std::string> &
    {
        return m_faults;
    }
    [[nodiscard]] auto starts(const JobId &id) const -> std::uint32_t
    {
        const auto it = m_jobs.find(id);
        return it == m_jobs.end() ? 0 : it->second.starts;
    }
    [[nodiscard]] auto isRunning(const JobId &id) const -> bool
    {
        const auto it = m_jobs.find(id);
        return it != m_jobs.end() && it->second.running;
    }
    [[nodiscard]] auto membersOf(const JobId &id) const -> std::vector<GangMember>
    {
        const auto it = m_jobs.find(id);
        return it == m_jobs.end() ? std::vector<GangMember>{} : it->second.members;
    }
    [[nodiscard]] auto firstStart(const JobId &id) const -> std::optional<TimePoint>
    {
        const auto it = m_jobs.find(id);
        return it == m_jobs.end() || it->second.starts == 0 ? std::nullopt : std::optional(it->second.firstStart);
    }
    /// Returns the free resources of each worker by the driver's own accounting.
    [[nodiscard]] auto freeResources() const -> std::vector<Resources>
    {
        std::vector<Resources> resources;
        for (const auto &[name, capacity] : m_capacity) {
            const auto it = m_used.find(name);
            const auto used = it == m_used.end() ? Resources{} : it->second;
            resources.push_back(
                {capacity.accelerators - used.accelerators, capacity.cores - used.cores, capacity.memoryMiB - used.memoryMiB});
        }
        return resources;
    }
    /// Accelerators of the attempts that were checkpointed or stopped by command, by reason; a stop after a checkpoint counts once.
    std::map<StopReason, double> stoppedAccelerators;
    /// StopGang commands, by reason.
    std::map<StopReason, std::uint32_t> stops;
    std::uint32_t checkpoints = 0;
    /// Accelerator seconds of all attempts.
    double acceleratorSeconds = 0;

private:
    struct DrivenJob
    {
        Job job;
        Duration trueRunTime{};
        Duration progress{};
        TimePoint submitted;
        TimePoint firstStart;
        TimePoint startedAt;
        std::uint32_t starts = 0;
        bool running = false;
        /// An attempt ended other than as NotStarted, so some of its tasks may have run.
        bool mayHaveRun = false;
        bool isFinished = false;
        std::vector<GangMember> members;
        std::uint32_t attempt = 0;
        /// Number of starts when a stop was last counted.
        std::uint32_t countedStop = 0;
    };

    auto fault(std::string text) -> void
    {
        if (m_faults.size() < 20) {
            m_faults.push_back(std::move(text));
        }
    }

    auto at(Duration delay, std::function<void()> event) -> void
    {
        m_events.emplace(std::pair(m_now + delay, m_nextEvent++), std::move(event));
    }

    auto free(const std::vector<GangMember> &members, const Job &job) -> void
    {
        for (const auto &it : members) {
            auto &used = m_used[it.worker];
            used.accelerators -= it.tasks * job.spec.shape.perTask.accelerators;
            used.cores -= it.tasks * job.spec.shape.perTask.cores;
            used.memoryMiB -= it.tasks * job.spec.shape.perTask.memoryMiB;
        }
    }

    auto apply(const StartGang &start) -> void
    {
        auto &it = m_jobs[start.job];
        if (it.running || it.isFinished) {
            fault(start.job.str() + ": started while running or finished");
            return;
        }
        if (it.mayHaveRun && !it.job.spec.idempotent) {
            fault(start.job.str() + ": non-idempotent job started again");
        }
        std::uint32_t tasks = 0;
        for (const auto &member : start.members) {
            tasks += member.tasks;
            const auto capacity = m_capacity.find(member.worker);
            auto &used = m_used[member.worker];
            used.accelerators += member.tasks * it.job.spec.shape.perTask.accelerators;
            used.cores += member.tasks * it.job.spec.shape.perTask.cores;
            used.memoryMiB += member.tasks * it.job.spec.shape.perTask.memoryMiB;
            if (capacity == m_capacity.end() || used.accelerators > capacity->second.accelerators || used.cores > capacity->second.cores
                || used.memoryMiB > capacity->second.memoryMiB) {
                fault(start.job.str() + ": worker " + member.worker.str() + " overcommitted or unknown");
            }
        }
        if (tasks != it.job.spec.shape.tasks) {
            fault(start.job.str() + ": only a part of the gang was started");
        }
        it.running = true;
        it.members = start.members;
        it.attempt = start.attempt;
        it.firstStart = it.starts == 0 ? m_now : it.firstStart;
        ++it.starts;
        it.startedAt = m_now + m_times.start;
        at(m_times.start, [this, start] {
            if (isCurrent(start.job, start.attempt)) {
                m_scheduler.attemptStarted(start.job, start.attempt, m_now);
            }
        });
        const auto end = outcome ? outcome(it.job, start) : AttemptEnd{AttemptEndKind::Succeeded, {}, false};
        const auto resume = it.progress > Duration::zero() ? m_times.resume : Duration::zero();
        const auto rest = end.kind == AttemptEndKind::Succeeded ? it.trueRunTime - it.progress + resume : Duration(200ms);
        at(m_times.start + std::max(rest, Duration(1)), [this, start, end] { endAttempt(start.job, start.attempt, end); });
    }

    auto apply(const CheckpointGang &command) -> void
    {
        ++checkpoints;
        countStopped(command.job, command.reason);
        at(m_times.checkpoint, [this, command] { endAttempt(command.job, command.attempt, {AttemptEndKind::Stopped, {}, true}); });
    }

    auto apply(const StopGang &command) -> void
    {
        ++stops[command.reason];
        countStopped(command.job, command.reason);
        at(m_times.stop, [this, command] { endAttempt(command.job, command.attempt, {AttemptEndKind::Stopped, {}, false}); });
    }

    auto apply(const FinishJob &finish) -> void
    {
        auto &it = m_jobs[finish.job];
        if (it.isFinished || it.running) {
            fault(finish.job.str() + ": finished twice or while running");
        }
        it.isFinished = true;
        m_finished[finish.job] = {finish, it.submitted, it.firstStart, m_now, it.starts > 0};
    }

    auto countStopped(const JobId &id, StopReason reason) -> void
    {
        auto &it = m_jobs[id];
        if (it.countedStop != it.starts) {
            it.countedStop = it.starts;
            stoppedAccelerators[reason] += static_cast<double>(it.job.spec.shape.accelerators());
        }
    }

    [[nodiscard]] auto isCurrent(const JobId &id, std::uint32_t attempt) const -> bool
    {
        const auto &it = m_jobs.at(id);
        return it.running && it.attempt == attempt;
    }

    auto endAttempt(const JobId &id, std::uint32_t attempt, const AttemptEnd &end) -> void
    {
        if (!isCurrent(id, attempt)) {
            return;
        }
        auto &it = m_jobs[id];
        it.running = false;
        it.mayHaveRun = it.mayHaveRun || end.kind != AttemptEndKind::NotStarted;
        const auto elapsed = std::max(m_now - it.startedAt, Duration::zero());
        acceleratorSeconds += std::chrono::duration<double>(elapsed).count() * static_cast<double>(it.job.spec.shape.accelerators());
        if (end.checkpointed) {
            const auto resume = it.progress > Duration::zero() ? m_times.resume : Duration::zero();
            it.progress = std::min(it.progress + std::max(elapsed - resume, Duration::zero()), it.trueRunTime);
        }
        free(it.members, it.job);
        it.members.clear();
        m_scheduler.attemptEnded(id, attempt, end, m_now);
    }

    Scheduler &m_scheduler;
    DriverTimes m_times;
    TimePoint m_now{};
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_nextEvent = 0;
    std::unordered_map<JobId, DrivenJob> m_jobs;
    std::map<JobId, FinishedJob> m_finished;
    std::unordered_map<WorkerName, Resources> m_capacity;
    std::unordered_map<WorkerName, Resources> m_used;
    std::vector<std::string> m_faults;
};

/// Returns workers `w000`, `w001`, ... with the given number to a rack; racks have consecutive positions.
inline auto makeWorkers(std::uint32_t count, std::uint32_t perRack, const Resources &capacity, const ZoneName &zone)
    -> std::vector<WorkerInfo>
{
    std::vector<WorkerInfo> workers;
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto number = std::to_string(100000 + i).substr(1);
        const auto rack = std::to_string(10000 + i / perRack).substr(1);
        workers.push_back({WorkerName("w" + number), RegionName("midwest"), zone, RackName("r" + rack), i / perRack, capacity, {}});
    }
    return workers;
}

} // namespace Acaciarail::Scheduling::Testing
