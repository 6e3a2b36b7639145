#include "fake_fleet.h"

#include <algorithm>
#include <utility>

namespace Acaciarail::Workflow::Tests {

namespace {

constexpr Duration tick = 20ms;
constexpr double fullPercent = 100.0;

/// The time that a lease lasts on a worker whose clock is 2% slow.
auto byWorkerClock(Duration lease) -> Duration
{
    constexpr double slowness = 1.02;
    return std::chrono::duration_cast<Duration>(lease * slowness);
}

auto unixTime(TimePoint t) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch());
}

} // namespace

FakeFleet::FakeFleet(std::size_t racks, std::size_t perRack, Demand capacity)
{
    for (std::size_t r = 0; r < racks; ++r) {
        for (std::size_t i = 0; i < perRack; ++i) {
            FakeWorker worker;
            worker.info.name = WorkerName("w" + std::to_string(r) + "-" + std::to_string(i));
            worker.info.service = ServiceName("service");
            worker.info.rack = RackName("rack" + std::to_string(r));
            worker.info.labels = {"a", worker.info.rack.str()};
            worker.info.capacity = capacity;
            worker.info.incarnation = 1;
            workers.emplace(worker.info.name, std::move(worker));
        }
    }
    takeOver();
}

auto FakeFleet::takeOver() -> void
{
    for (auto &[name, worker] : workers) {
        worker.look.reset();
    }
    m_batch.clear();
    m_batchOutcomes.clear();
    m_dispatcher = std::make_unique<Dispatcher>(
        DispatcherSettings{},
        [this](const DispatchEvent &e) { events.push_back(std::string(e.name) + ' ' + e.job.str() + ' ' + e.details); }, m_now);
    m_dispatcher->setConfiguration(configuration);
    for (const auto &[key, value] : stored) {
        StateEntry entry;
        if (!decodeState({key, value}, entry) && std::holds_alternative<OutcomeEntry>(entry)) {
            m_dispatcher->markEnded(std::get<OutcomeEntry>(entry).job);
        }
    }
    for (const auto &[id, spec] : m_jobs) {
        m_dispatcher->accept(spec, m_now, unixTime(m_now));
    }
    for (const auto &[key, value] : stored) {
        StateEntry entry;
        if (!decodeState({key, value}, entry) && std::holds_alternative<UnitEntry>(entry)) {
            const auto &unit = std::get<UnitEntry>(entry);
            m_dispatcher->restore(unit.unit, *unit.state, m_now);
        }
    }
    for (const auto &it : m_cancelled) {
        m_dispatcher->cancel(JobId(it), m_now);
    }
    for (const auto &[name, worker] : workers) {
        m_dispatcher->workerListed(worker.info, m_now);
    }
}

auto FakeFleet::submit(JobSpec spec) -> void
{
    spec.acceptedAt = unixTime(m_now);
    if (const auto *queue = configuration->queue(spec.queue)) {
        spec.policy = queue->policy;
    }
    m_submitted[spec.id.str()] = m_now;
    m_dispatcher->accept(spec, m_now, unixTime(m_now));
    m_jobs.emplace(spec.id.str(), std::move(spec));
}

auto FakeFleet::cancel(const std::string &job) -> void
{
    m_cancelled.push_back(job);
    m_dispatcher->cancel(JobId(job), m_now);
}

auto FakeFleet::silence(const std::string &worker) -> void
{
    auto &w = workers.at(WorkerName(worker));
    w.reachable = false;
    if (const auto look = std::exchange(w.look, std::nullopt)) {
        m_dispatcher->pollAnswered(look->first, look->second, std::nullopt, m_now);
    }
}

auto FakeFleet::run(Duration length) -> void
{
    runUntil([] { return false; }, length);
}

auto FakeFleet::runUntil(const std::function<bool()> &done, Duration limit) -> bool
{
    const auto end = m_now + limit;
    while (m_now < end && !done()) {
        step();
    }
    return done();
}

auto FakeFleet::step() -> void
{
    m_now += tick;
    for (auto &[name, worker] : workers) {
        finishRuns(worker);
        answerLook(worker);
    }
    if (storeUp && !m_batch.empty()) {
        for (const auto &it : m_batch) {
            if (it.value.empty()) {
                stored.erase(it.key);
            } else {
                stored[it.key] = it.value;
            }
        }
        for (const auto &it : m_batchOutcomes) {
            m_outcomes.emplace(it.job.str(), std::pair(it.phase, m_now));
        }
        m_batch.clear();
        m_dispatcher->recordsStored(m_now);
    }
    auto decisions = m_dispatcher->decide(m_now, unixTime(m_now), {});
    if (!decisions.records.empty()) {
        m_batch = std::move(decisions.records);
        m_batchOutcomes = std::move(decisions.outcomes);
    }
    for (const auto &it : decisions.stops) {
        auto &worker = workers.at(it.worker);
        if (worker.reachable) {
            for (auto &run : worker.runs) {
                if (!run.end && run.order.task == it.task && run.order.run == it.run) {
                    end(worker, run, EndKind::Stopped);
                }
            }
        }
        m_dispatcher->stopAnswered(it, worker.reachable, m_now);
    }
    for (const auto &it : decisions.starts) {
        start(it);
    }
    for (const auto &it : decisions.polls) {
        auto &worker = workers.at(it.worker);
        if (worker.reachable) {
            if (it.wait == Duration::zero() && !worker.withholdsAnswers) {
                answer(worker, it, m_now);
            } else if (it.wait > Duration::zero()) {
                worker.look.emplace(it, m_now);
            }
            for (auto &run : worker.runs) {
                run.leaseEnds = std::max(run.leaseEnds, m_now + byWorkerClock(it.lease));
            }
        } else {
            m_dispatcher->pollAnswered(it, m_now, std::nullopt, m_now);
        }
    }
}

auto FakeFleet::start(const StartCommand &order) -> void
{
    starts.push_back(order);
    auto &worker = workers.at(order.worker);
    if (!worker.reachable) {
        m_dispatcher->startAnswered(order, StartOutcome::Unknown, m_now);
        return;
    }
    auto answer = StartOutcome::Started;
    if (!worker.scriptedAnswers.empty()) {
        answer = worker.scriptedAnswers.front();
        worker.scriptedAnswers.erase(worker.scriptedAnswers.begin());
    }
    const auto isThere = [&](const Run &run) { return run.order.task == order.task && run.order.run == order.run; };
    if (std::none_of(worker.runs.begin(), worker.runs.end(), isThere)) {
        checkStart(order);
        worker.runs.push_back({order, m_now, m_now + byWorkerClock(order.lease), std::nullopt, {}});
    }
    if (!worker.withholdsAnswers) {
        m_dispatcher->startAnswered(order, answer, m_now);
    }
}

auto FakeFleet::checkStart(const StartCommand &order) -> void
{
    const bool gang = m_jobs.at(order.task.job.str()).steps[order.task.step].gang;
    const UnitId unit{order.task.job, order.task.occurrence, order.task.step, gang ? 0 : order.task.index};
    const auto record = stored.find(unitRecord(unit, gang, {}).key);
    StateEntry entry;
    const bool recorded = record != stored.end() && !decodeState({record->first, record->second}, entry)
        && std::get<UnitEntry>(entry).state->run >= order.run;
    if (!recorded) {
        violations.push_back("a start of " + order.task.job.str() + " that is not recorded");
    }
    for (const auto &[name, other] : workers) {
        for (const auto &run : other.runs) {
            if (!run.end && run.order.task == order.task) {
                violations.push_back("two runs of " + order.task.job.str());
            }
            if (run.end == EndKind::Done && run.order.task == order.task) {
                violations.push_back("a run after the end of " + order.task.job.str());
            }
        }
    }
}

auto FakeFleet::end(FakeWorker &worker, Run &run, EndKind kind) -> void
{
    run.end = kind;
    run.endedAt = m_now;
    worker.ends.push_back({++worker.endCount, run.order.task, run.order.run, kind, checkpointAtEnd});
}

auto FakeFleet::finishRuns(FakeWorker &worker) -> void
{
    for (auto &run : worker.runs) {
        if (!run.end && m_now > run.leaseEnds) {
            end(worker, run, EndKind::LeaseExpired);
        }
        if (run.end || worker.slowness <= 0) {
            continue;
        }
        const auto kind = worker.failsAll ? EndKind::Failed : ending(run.order);
        const auto own = std::chrono::duration_cast<Duration>(duration(run.order.task) * worker.slowness);
        const auto work = kind == EndKind::Done ? wholeWork(worker, run) : own;
        if (m_now >= run.startedAt + (worker.failsAll ? tick : work)) {
            end(worker, run, kind);
        }
    }
}

/// The members of a gang end together, when the slowest has done its work.
auto FakeFleet::wholeWork(const FakeWorker &worker, const Run &run) const -> Duration
{
    const auto &task = run.order.task;
    auto longest = std::chrono::duration_cast<Duration>(duration(task) * worker.slowness);
    if (m_jobs.at(task.job.str()).steps[task.step].gang) {
        for (const auto &[name, other] : workers) {
            for (const auto &it : other.runs) {
                const bool sameRun = !it.end && it.order.task.job == task.job && it.order.run == run.order.run;
                longest =
                    sameRun ? std::max(longest, std::chrono::duration_cast<Duration>(duration(it.order.task) * other.slowness)) : longest;
            }
        }
    }
    return longest;
}

auto FakeFleet::listed(const FakeWorker &worker) const -> WorkerReport
{
    WorkerReport report;
    report.incarnation = worker.info.incarnation;
    report.ended = worker.ends;
    for (const auto &run : worker.runs) {
        if (!run.end) {
            const auto work = std::chrono::duration<double>(duration(run.order.task)).count() * worker.slowness;
            const auto spent = std::chrono::duration<double>(m_now - run.startedAt).count();
            const auto percent = work > 0 ? std::min(spent / work * fullPercent, fullPercent) : 0.0;
            report.running.push_back({run.order.task, run.order.run, {}, static_cast<std::uint32_t>(percent)});
        }
    }
    return report;
}

auto FakeFleet::answerLook(FakeWorker &worker) -> void
{
    if (!worker.look || !worker.reachable) {
        return;
    }
    const auto [order, sentAt] = *worker.look;
    const auto recorded = order.recordedEnds;
    const bool ended = std::any_of(worker.ends.begin(), worker.ends.end(), [&](const EndedTask &e) { return e.number > recorded; });
    if (!ended && m_now < sentAt + order.wait) {
        return;
    }
    worker.look.reset();
    answer(worker, order, sentAt);
}

auto FakeFleet::answer(FakeWorker &worker, const PollCommand &order, TimePoint sentAt) -> void
{
    std::erase_if(worker.ends, [&](const EndedTask &e) { return e.number <= order.recordedEnds; });
    m_dispatcher->pollAnswered(order, sentAt, listed(worker), m_now);
}

auto FakeFleet::now() const -> TimePoint
{
    return m_now;
}

auto FakeFleet::outcome(const std::string &job) const -> std::optional<JobPhase>
{
    const auto it = m_outcomes.find(job);
    return it == m_outcomes.end() ? std::nullopt : std::optional(it->second.first);
}

auto FakeFleet::latency(const std::string &job) const -> Duration
{
    const auto it = m_outcomes.find(job);
    return it == m_outcomes.end() ? Duration::max() : it->second.second - m_submitted.at(job);
}

auto FakeFleet::stats() const -> DispatcherStats
{
    return m_dispatcher->stats();
}

auto simpleJob(const std::string &id, const std::string &queue, StepSpec step) -> JobSpec
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.queue = QueueName(queue);
    spec.organisation = OrganisationName("org");
    spec.payload = "payload";
    spec.steps = {std::move(step)};
    return spec;
}

auto addQueue(Configuration &configuration, const std::string &name, std::uint32_t priority, std::uint32_t maxAttempts) -> void
{
    Queue queue;
    queue.name = QueueName(name);
    queue.policy.service = ServiceName("service");
    queue.policy.priority = priority;
    queue.policy.maxAttempts = maxAttempts;
    queue.policy.stretch = 3.0;
    queue.policy.targetLatency = 1s;
    configuration.queues.push_back(queue);
}

} // namespace Acaciarail::Workflow::Tests
