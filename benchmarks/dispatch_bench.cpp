#include "dispatch_bench.h"

#include <acaciarail/workflow/dispatcher.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Acaciarail::Bench {

namespace {

using namespace Workflow;

constexpr std::size_t targetWorkers = 3000;
constexpr std::size_t targetWaiting = 400;
constexpr double targetMilliseconds = 5;
constexpr std::size_t workersPerRack = 20;
constexpr std::int64_t acceleratorsPerWorker = 8;
constexpr Duration roundInterval = 20ms;
/// The backlogs of tasks with a limit per worker. The pause between placement rounds grows with them, so that only the p95 of the decisions
/// shows what a round takes.
constexpr std::uint32_t limitedWorkers = 350;
constexpr std::uint32_t limitedWaiting = 5000;
constexpr std::uint32_t limitedWarmUpRounds = 50;
/// Arrivals a second and worker of the deployment with 350 workers that docs/hard-load.md describes.
constexpr double urgentArrivals = 6.19 / 350;
constexpr double normalArrivals = 2.28 / 350;

/// Workers that carry out commands at once, and report an end with the next response to a poll.
class Pool
{
public:
    /// Which workers are full at first. Half of the workers are of either kind.
    enum class Use {
        All,
        FirstKind,
        None,
    };

    Pool(std::size_t workers, std::size_t waiting, std::uint64_t seed, Use use = Use::All)
        : m_waiting(waiting)
        , m_random(seed)
        , m_dispatcher(
              {}, [](const DispatchEvent &) {}, m_now)
    {
        auto configuration = std::make_shared<Configuration>();
        for (std::uint32_t i = 0; i < queues.size(); ++i) {
            Queue queue;
            queue.name = QueueName(queues[i]);
            queue.policy = {ServiceName("service"), i, 3, i == 0 ? 1.5 : 3.0, 1s};
            configuration->queues.push_back(queue);
        }
        m_dispatcher.setConfiguration(configuration);
        for (std::size_t i = 0; i < workers; ++i) {
            WorkerInfo info;
            info.name = WorkerName("worker-" + std::to_string(i));
            info.service = ServiceName("service");
            info.rack = RackName("rack-" + std::to_string(i / workersPerRack));
            info.capacity = {32'000, 65'536, acceleratorsPerWorker};
            info.labels = {"kind-" + std::to_string(i % 2)};
            info.incarnation = 1;
            m_dispatcher.workerListed(info, m_now);
            m_workers[info.name];
        }
        const auto tasks = static_cast<std::uint32_t>(workers * acceleratorsPerWorker);
        if (use == Use::All) {
            for (std::uint32_t i = 0; i < tasks; i += tasksPerJob) {
                submit(2, tasksPerJob, 1);
            }
        } else if (use == Use::FirstKind) {
            StepSpec step;
            step.count = tasks / 2;
            step.taskDemand = {3000, 6000, 1};
            step.estimate = longRunTime;
            step.requiredLabel = "kind-0";
            submit(2, step);
        }
    }

    /// Advances the time, and returns the milliseconds of processor time that the decision took.
    auto round() -> double
    {
        m_now += roundInterval;
        endRuns();
        const auto arrives = [&](double rate) {
            const auto expected = rate * static_cast<double>(m_workers.size()) * std::chrono::duration<double>(roundInterval).count();
            return std::uniform_real_distribution<double>(0, 1)(m_random) < expected;
        };
        constexpr std::array<std::int64_t, 4> accelerators{1, 2, 4, 8};
        if (arrives(urgentArrivals)) {
            submit(0, 5, accelerators.at(m_random() % accelerators.size()));
        }
        if (m_dispatcher.stats().waitingUnits < m_waiting && arrives(normalArrivals)) {
            submit(1, 13, accelerators.at(m_random() % accelerators.size()));
        }
        const auto waiting = m_dispatcher.stats().waitingUnits;
        if (waiting < m_waiting) {
            submit(2, static_cast<std::uint32_t>(m_waiting - waiting), 1);
        }
        const auto begin = std::clock();
        const auto decisions = m_dispatcher.decide(m_now, unixNow(), {});
        const auto time = std::clock() - begin;
        carryOut(decisions);
        constexpr double milliseconds = 1000;
        return static_cast<double>(time) * milliseconds / CLOCKS_PER_SEC;
    }

    /// Adds jobs of one step each, whose tasks may not share a worker.
    auto submitLimited(std::uint32_t jobs, std::uint32_t tasks, const Demand &taskDemand, const std::string &label) -> void
    {
        StepSpec step;
        step.count = tasks;
        step.taskDemand = taskDemand;
        step.estimate = longRunTime;
        step.maxPerWorker = 1;
        step.requiredLabel = label;
        for (std::uint32_t i = 0; i < jobs; ++i) {
            submit(1, step);
        }
    }

    [[nodiscard]] auto stats() const -> DispatcherStats
    {
        return m_dispatcher.stats();
    }

private:
    struct Run
    {
        TaskId task;
        std::uint32_t run = 0;
        TimePoint startedAt;
        Duration length{};
    };
    struct PoolWorker
    {
        std::vector<Run> runs;
        std::vector<EndedTask> ends;
        std::uint64_t endCount = 0;
        std::optional<std::tuple<PollCommand, TimePoint, TimePoint>> pendingPoll;
    };
    using End = std::tuple<TimePoint, WorkerName, TaskId, std::uint32_t>;

    auto unixNow() const -> std::chrono::milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
    }

    auto submit(std::uint32_t priority, std::uint32_t count, std::int64_t accelerators) -> void
    {
        constexpr std::array<Duration, 3> runTimes{2100ms, 5800ms, 20s};
        StepSpec step;
        step.count = count;
        step.taskDemand = {3000, 6000, accelerators};
        step.estimate = runTimes.at(priority);
        step.gang = priority < 2;
        step.sameRack = step.gang && m_random() % 4 != 0;
        submit(priority, step);
    }

    auto submit(std::uint32_t priority, const StepSpec &step) -> void
    {
        JobSpec job;
        job.id = JobId("job-" + std::to_string(++m_jobCount));
        job.queue = QueueName(queues.at(priority));
        job.organisation = OrganisationName("organisation");
        job.acceptedAt = unixNow();
        job.steps = {step};
        m_dispatcher.accept(job, m_now, unixNow());
        m_runTimes.emplace(job.id, std::pair(step.estimate, step.gang));
    }

    auto endRuns() -> void
    {
        while (!m_ends.empty() && std::get<0>(m_ends.top()) <= m_now) {
            const auto [at, worker, task, run] = m_ends.top();
            m_ends.pop();
            end(worker, task, run, EndKind::Done);
        }
        for (auto &[name, worker] : m_workers) {
            if (worker.pendingPoll && (!worker.ends.empty() || std::get<2>(*worker.pendingPoll) <= m_now)) {
                const auto [command, sentAt, until] = *std::exchange(worker.pendingPoll, std::nullopt);
                answer(worker, command, sentAt);
            }
        }
    }

    auto end(const WorkerName &name, const TaskId &task, std::uint32_t run, EndKind kind) -> void
    {
        auto &worker = m_workers.at(name);
        const auto it = std::find_if(worker.runs.begin(), worker.runs.end(), [&](const Run &r) { return r.task == task && r.run == run; });
        if (it != worker.runs.end()) {
            worker.runs.erase(it);
            worker.ends.push_back({++worker.endCount, task, run, kind, {}});
        }
    }

    auto answer(PoolWorker &worker, const PollCommand &command, TimePoint sentAt) -> void
    {
        std::erase_if(worker.ends, [&](const EndedTask &e) { return e.number <= command.recordedEnds; });
        WorkerReport report{1, {}, worker.ends};
        for (const auto &it : worker.runs) {
            report.running.push_back({it.task, it.run, {}, static_cast<std::uint32_t>(100 * (m_now - it.startedAt) / it.length)});
        }
        m_dispatcher.pollAnswered(command, sentAt, report, m_now);
    }

    auto carryOut(const Decisions &decisions) -> void
    {
        if (!decisions.records.empty()) {
            m_dispatcher.recordsStored(m_now);
        }
        for (const auto &it : decisions.starts) {
            const auto [mean, gang] = m_runTimes.at(it.task.job);
            // The members of a gang end together. The ends of single tasks are spread from the start on.
            const Duration length = gang ? mean : mean * static_cast<int>(1 + m_random() % 100) / 50;
            m_workers.at(it.worker).runs.push_back({it.task, it.run, m_now, length});
            m_ends.emplace(m_now + length, it.worker, it.task, it.run);
            m_dispatcher.startAnswered(it, StartOutcome::Started, m_now);
        }
        for (const auto &it : decisions.stops) {
            end(it.worker, it.task, it.run, EndKind::Stopped);
            m_dispatcher.stopAnswered(it, true, m_now);
        }
        for (const auto &it : decisions.polls) {
            auto &worker = m_workers.at(it.worker);
            if (it.wait == Duration::zero()) {
                answer(worker, it, m_now);
            } else {
                worker.pendingPoll.emplace(it, m_now, m_now + it.wait);
            }
        }
    }

    static constexpr std::array<const char *, 3> queues{"urgent", "normal", "background"};
    static constexpr std::uint32_t tasksPerJob = 400;
    static constexpr Duration longRunTime = 600s;

    std::size_t m_waiting;
    std::mt19937_64 m_random;
    TimePoint m_now{1h};
    Dispatcher m_dispatcher;
    std::map<WorkerName, PoolWorker> m_workers;
    std::map<JobId, std::pair<Duration, bool>> m_runTimes;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    std::uint64_t m_jobCount = 0;
};

struct DecisionTimes
{
    double median = 0;
    double p95 = 0;
};

/// Returns the processor times of \a rounds decisions after \a warmUpRounds others.
auto measureRounds(Pool &pool, std::uint32_t warmUpRounds, std::uint32_t rounds) -> DecisionTimes
{
    for (std::uint32_t i = 0; i < warmUpRounds; ++i) {
        pool.round();
    }
    std::vector<double> times;
    for (std::uint32_t i = 0; i < rounds; ++i) {
        times.push_back(pool.round());
    }
    constexpr double p95 = 0.95;
    return {median(times), quantile(times, p95)};
}

auto measure(std::size_t workers, std::size_t waiting, std::uint64_t seed, std::uint32_t rounds) -> DecisionTimes
{
    // Until the ends of the first tasks are spread, and urgent work has its usual usage.
    constexpr std::uint32_t warmUpRounds = 200;
    Pool pool(workers, waiting, seed);
    return measureRounds(pool, warmUpRounds, rounds);
}

/// Tasks that may not share a worker wait for workers of a kind that is fully used, beside idle ones.
auto measureLimitedJobs(std::uint64_t seed, std::uint32_t rounds) -> double
{
    Pool pool(limitedWorkers, 0, seed, Pool::Use::FirstKind);
    pool.submitLimited(limitedWaiting, 1, {3000, 6000, 1}, "kind-0");
    return measureRounds(pool, limitedWarmUpRounds, rounds).p95;
}

/// Each of some steps has as many tasks on each worker as it may have.
auto measureStepsAtLimit(std::uint64_t seed, std::uint32_t rounds) -> double
{
    constexpr std::uint32_t steps = 20;
    Pool pool(limitedWorkers, 0, seed, Pool::Use::None);
    pool.submitLimited(steps, limitedWorkers + limitedWaiting / steps, {10, 10, 0}, {});
    return measureRounds(pool, limitedWarmUpRounds, rounds).p95;
}

} // namespace

auto measureDispatch(const Options &options, Report &report) -> void
{
    const auto seeds = options.quick ? 1U : 3U;
    const auto rounds = options.quick ? 50U : 200U;
    std::vector<double> half;
    std::vector<double> full;
    std::vector<double> twice;
    std::vector<double> p95;
    for (std::uint32_t i = 0; i < seeds; ++i) {
        half.push_back(measure(targetWorkers / 2, targetWaiting / 2, options.seed + i, rounds).median);
        const auto times = measure(targetWorkers, targetWaiting, options.seed + i, rounds);
        full.push_back(times.median);
        p95.push_back(times.p95);
        twice.push_back(measure(targetWorkers * 2, targetWaiting * 2, options.seed + i, rounds).median);
    }
    report.figure("decision, 1500 workers, 200 waiting units, median, ms", medianWithSpread(half));
    report.check("decision, 3000 workers, 400 waiting units, median, ms", "<= " + decimal(targetMilliseconds, 0), medianWithSpread(full),
                 median(full) <= targetMilliseconds);
    report.figure("decision, 3000 workers, 400 waiting units, p95, ms", medianWithSpread(p95));
    report.figure("decision, 6000 workers, 800 waiting units, median, ms", medianWithSpread(twice));
    report.figure("decision, cost ratio at twice the size, twice in a row",
                  decimal(median(full) / median(half)) + ", " + decimal(median(twice) / median(full)));
    std::vector<double> limitedJobs;
    std::vector<double> stepsAtLimit;
    for (std::uint32_t i = 0; i < seeds; ++i) {
        limitedJobs.push_back(measureLimitedJobs(options.seed + i, rounds));
        stepsAtLimit.push_back(measureStepsAtLimit(options.seed + i, rounds));
    }
    report.figure("decision, 350 workers, 5000 waiting jobs of one task with a limit per worker, p95, ms", medianWithSpread(limitedJobs));
    report.figure("decision, 350 workers, 20 steps of 250 waiting tasks at their limit per worker, p95, ms",
                  medianWithSpread(stepsAtLimit));
    report.note("decision: the pool is full; each 20 ms tasks end, gangs arrive and may preempt, and single tasks are "
                "added to the backlog; processor time");
}

} // namespace Acaciarail::Bench
