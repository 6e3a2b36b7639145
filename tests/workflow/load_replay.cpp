#include "load_replay.h"

#include "fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <utility>

namespace Acaciarail::Workflow::Tests {

namespace {

constexpr Duration networkDelay = 5ms;
constexpr Duration storeDelay = 20ms;
constexpr Duration commandTimeout = 300ms;
constexpr Duration decisionInterval = 10ms;

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

auto fromSeconds(double s) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

auto unixTime(TimePoint t) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch());
}

} // namespace

LoadReplay::LoadReplay(LoadPattern pattern)
    : m_pattern(std::move(pattern))
    , m_random(m_pattern.seed)
    , m_begin(m_clock.now())
{
    auto configuration = std::make_shared<Configuration>();
    for (const auto &it : m_pattern.classes) {
        addQueue(*configuration, it.queue, it.priority);
        configuration->queues.back().policy.stretch = it.stretch;
        configuration->queues.back().policy.targetLatency = it.targetLatency;
    }
    m_dispatcher = std::make_unique<Dispatcher>(
        DispatcherSettings{}, [this](const DispatchEvent &e) { m_logLines += e.logged ? 1 : 0; }, m_clock.now());
    m_dispatcher->setConfiguration(configuration);
    for (std::size_t r = 0; r < m_pattern.racks; ++r) {
        for (std::size_t i = 0; i < m_pattern.workersPerRack; ++i) {
            ReplayWorker worker;
            worker.info.name = WorkerName("w" + std::to_string(r) + "-" + std::to_string(i));
            worker.info.service = ServiceName("service");
            worker.info.rack = RackName("rack" + std::to_string(r));
            worker.info.capacity = m_pattern.workerCapacity;
            worker.info.incarnation = 1;
            m_dispatcher->workerListed(worker.info, m_clock.now());
            m_workers.emplace(worker.info.name, std::move(worker));
        }
    }
}

auto LoadReplay::random() -> double
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

auto LoadReplay::scheduleArrivals(std::size_t jobClass) -> void
{
    const auto now = m_clock.now() - m_begin;
    auto rate = m_pattern.classes[jobClass].rate * static_cast<double>(m_workers.size()) / 100.0;
    for (const auto &it : m_pattern.bursts) {
        rate *= it.jobClass == jobClass && now >= it.from && now < it.from + it.length ? it.factor : 1.0;
    }
    const auto pause = fromSeconds(-std::log(1.0 - random()) / rate);
    if (now + pause < m_pattern.length) {
        m_clock.schedule(pause, [this, jobClass] {
            submit(jobClass);
            scheduleArrivals(jobClass);
        });
    }
}

auto LoadReplay::submit(std::size_t jobClass) -> void
{
    const auto &of = m_pattern.classes[jobClass];
    const auto vary = [&](Duration mean) { return fromSeconds(seconds(mean) * (1.0 + of.spread * (2.0 * random() - 1.0))); };
    StepSpec step;
    step.count = std::clamp(static_cast<std::uint32_t>(-std::log(1.0 - random()) * of.meanTasks) + 1, 1U, of.maxTasks);
    step.gang = of.gang;
    step.checkpoints = false;
    step.taskDemand = {of.milliCores, of.memoryMiB,
                       of.accelerators[static_cast<std::size_t>(random() * static_cast<double>(of.accelerators.size()))]};
    const auto rackAccelerators = m_pattern.workerCapacity.accelerators * static_cast<std::int64_t>(m_pattern.workersPerRack);
    step.sameRack = of.gang && random() < of.sameRackShare && step.taskDemand.accelerators * step.count <= rackAccelerators;
    ReplayJob job;
    job.jobClass = jobClass;
    job.runTime = vary(of.runTime);
    step.estimate = vary(job.runTime);
    job.submittedAt = m_clock.now();
    job.spec = simpleJob(std::string(of.queue) + std::to_string(m_jobs.size()), of.queue, step);
    job.spec.acceptedAt = unixTime(m_clock.now());
    m_dispatcher->accept(job.spec, m_clock.now(), unixTime(m_clock.now()));
    m_jobs.emplace(job.spec.id, std::move(job));
}

auto LoadReplay::depart(const Departure &departure) -> void
{
    for (auto &[name, worker] : m_workers) {
        if (worker.gone || worker.info.draining || random() >= departure.share) {
            continue;
        }
        worker.info.draining = true;
        worker.info.timeUntilShutdown = departure.notice;
        m_dispatcher->workerListed(worker.info, m_clock.now());
        m_clock.schedule(departure.notice, [this, &worker = worker] {
            worker.gone = true;
            ++m_goneWorkers;
            if (const auto pending = std::exchange(worker.pendingPoll, std::nullopt)) {
                m_clock.schedule(commandTimeout + pending->first.wait, [this, pending] {
                    m_dispatcher->pollAnswered(pending->first, pending->second, std::nullopt, m_clock.now());
                });
            }
            for (const auto &it : std::vector<Run>(worker.runs)) {
                // The other members of a gang notice that one is gone.
                endGang(it.command.task.job, it.command.run, EndKind::GangFailed);
            }
            worker.runs.clear();
        });
        m_clock.schedule(departure.notice + departure.listedAfterwards,
                         [this, name = name] { m_dispatcher->workerUnlisted(name, m_clock.now()); });
    }
}

auto LoadReplay::run(Duration after) -> void
{
    for (std::size_t i = 0; i < m_pattern.classes.size(); ++i) {
        scheduleArrivals(i);
    }
    for (const auto &it : m_pattern.departures) {
        m_clock.schedule(it.at, [this, &it] { depart(it); });
    }
    decide();
    m_clock.run(m_pattern.length + after);
}

auto LoadReplay::decide() -> void
{
    const auto begin = std::clock();
    auto decisions = m_dispatcher->decide(m_clock.now(), unixTime(m_clock.now()), {});
    m_processorTime += fromSeconds(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    if (!decisions.records.empty()) {
        m_clock.schedule(storeDelay, [this, outcomes = decisions.outcomes] {
            m_dispatcher->recordsStored(m_clock.now());
            for (const auto &it : outcomes) {
                m_jobs.at(it.job).endedAt = m_clock.now();
            }
        });
    }
    for (const auto &it : decisions.starts) {
        m_clock.schedule(networkDelay, [this, it] { start(it); });
    }
    for (const auto &it : decisions.stops) {
        m_clock.schedule(networkDelay, [this, it] { stop(it); });
    }
    for (const auto &it : decisions.polls) {
        poll(it);
    }
    m_clock.schedule(decisionInterval, [this] { decide(); });
}

auto LoadReplay::start(const StartCommand &command) -> void
{
    auto &worker = m_workers.at(command.worker);
    if (worker.gone) {
        m_clock.schedule(commandTimeout, [this, command] { m_dispatcher->startAnswered(command, StartOutcome::Unknown, m_clock.now()); });
        return;
    }
    auto &job = m_jobs.at(command.task.job);
    const auto &step = job.spec.steps[command.task.step];
    Demand used;
    for (const auto &it : worker.runs) {
        used += m_jobs.at(it.command.task.job).spec.steps[it.command.task.step].taskDemand;
    }
    if (!(worker.info.capacity - used).covers(step.taskDemand)) {
        violations.push_back("no capacity for " + command.task.job.str());
    }
    worker.runs.push_back({command, m_clock.now()});
    job.startedAt = job.startedAt.value_or(m_clock.now());
    if (std::exchange(job.run, command.run) != command.run) {
        job.startedMembers = 0;
    }
    if (!step.gang) {
        m_clock.schedule(job.runTime, [this, &worker, command] { end(worker, command.task, command.run, EndKind::Done); });
    } else if (++job.startedMembers == step.count) {
        m_clock.schedule(job.runTime, [this, command] { endGang(command.task.job, command.run, EndKind::Done); });
    }
    m_clock.schedule(networkDelay, [this, command] { m_dispatcher->startAnswered(command, StartOutcome::Started, m_clock.now()); });
}

auto LoadReplay::stop(const StopCommand &command) -> void
{
    auto &worker = m_workers.at(command.worker);
    if (!worker.gone) {
        end(worker, command.task, command.run, EndKind::Stopped);
    }
    m_clock.schedule(networkDelay,
                     [this, command, answered = !worker.gone] { m_dispatcher->stopAnswered(command, answered, m_clock.now()); });
}

auto LoadReplay::endGang(const JobId &job, std::uint32_t run, EndKind kind) -> void
{
    const auto &spec = m_jobs.at(job).spec;
    if (!spec.steps.front().gang) {
        return;
    }
    for (auto &[name, worker] : m_workers) {
        for (const auto &it : std::vector<Run>(worker.runs)) {
            if (it.command.task.job == job && it.command.run == run && !worker.gone) {
                end(worker, it.command.task, run, kind);
            }
        }
    }
}

auto LoadReplay::end(ReplayWorker &worker, const TaskId &task, std::uint32_t run, EndKind kind) -> void
{
    const auto it =
        std::find_if(worker.runs.begin(), worker.runs.end(), [&](const Run &r) { return r.command.task == task && r.command.run == run; });
    if (it == worker.runs.end() || worker.gone) {
        return;
    }
    const auto &step = m_jobs.at(task.job).spec.steps[task.step];
    if (kind != EndKind::Done) {
        m_wasted += seconds(m_clock.now() - it->startedAt) * static_cast<double>(step.taskDemand.accelerators);
    }
    worker.runs.erase(it);
    worker.ends.push_back({++worker.endCount, task, run, kind, {}});
    answerPoll(worker);
    if (kind == EndKind::Stopped && step.gang) {
        endGang(task.job, run, EndKind::GangFailed);
    }
}

auto LoadReplay::poll(const PollCommand &command) -> void
{
    const auto sentAt = m_clock.now();
    m_clock.schedule(networkDelay, [this, command, sentAt] {
        auto &worker = m_workers.at(command.worker);
        if (worker.gone) {
            ++m_unansweredPolls;
            m_clock.schedule(commandTimeout + command.wait,
                             [this, command, sentAt] { m_dispatcher->pollAnswered(command, sentAt, std::nullopt, m_clock.now()); });
            return;
        }
        std::erase_if(worker.ends, [&](const EndedTask &e) { return e.number <= command.recordedEnds; });
        if (command.wait == Duration::zero()) {
            const auto pending = std::exchange(worker.pendingPoll, std::pair(command, sentAt));
            answerPoll(worker);
            worker.pendingPoll = pending;
            return;
        }
        worker.pendingPoll.emplace(command, sentAt);
        if (!worker.ends.empty()) {
            answerPoll(worker);
            return;
        }
        m_clock.schedule(command.wait, [this, &worker, number = ++worker.pollNumber] {
            if (number == worker.pollNumber) {
                answerPoll(worker);
            }
        });
    });
}

auto LoadReplay::answerPoll(ReplayWorker &worker) -> void
{
    if (!worker.pendingPoll || worker.gone) {
        return;
    }
    const auto poll = *std::exchange(worker.pendingPoll, std::nullopt);
    WorkerReport report{1, {}, worker.ends};
    for (const auto &it : worker.runs) {
        const auto &job = m_jobs.at(it.command.task.job);
        const auto done = seconds(m_clock.now() - it.startedAt) / seconds(job.runTime);
        report.running.push_back({it.command.task, it.command.run, {}, static_cast<std::uint32_t>(std::min(done * 100.0, 100.0))});
    }
    m_clock.schedule(networkDelay, [this, poll, report = std::move(report)] {
        const auto begin = std::clock();
        m_dispatcher->pollAnswered(poll.first, poll.second, report, m_clock.now());
        m_processorTime += fromSeconds(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    });
}

auto LoadReplay::result(std::size_t jobClass) const -> ClassResult
{
    const auto &of = m_pattern.classes[jobClass];
    ClassResult out;
    for (const auto &[id, job] : m_jobs) {
        if (job.jobClass != jobClass) {
            continue;
        }
        ++out.submitted;
        out.ended += job.endedAt ? 1 : 0;
        out.longestWait = std::max(out.longestWait, job.startedAt.value_or(m_clock.now()) - job.submittedAt);
        const auto limit = fromSeconds(seconds(job.runTime) * of.stretch) + of.targetLatency;
        out.inTime += job.endedAt && *job.endedAt <= job.submittedAt + limit ? 1 : 0;
    }
    return out;
}

auto LoadReplay::unansweredPollsPerGoneWorker() const -> double
{
    return m_goneWorkers == 0 ? 0 : static_cast<double>(m_unansweredPolls) / static_cast<double>(m_goneWorkers);
}

auto LoadReplay::logLinesPerTask() const -> double
{
    std::uint32_t tasks = 0;
    for (const auto &[id, job] : m_jobs) {
        tasks += job.spec.steps.front().count;
    }
    return static_cast<double>(m_logLines) / tasks;
}

auto LoadReplay::wastedAcceleratorSeconds() const -> double
{
    return m_wasted;
}

auto LoadReplay::processorTime() const -> Duration
{
    return m_processorTime;
}

} // namespace Acaciarail::Workflow::Tests
