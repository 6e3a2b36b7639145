#include "load_replay.h"

#include "fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iterator>
#include <numeric>
#include <string_view>
#include <utility>

namespace Acaciarail::Workflow::Tests {

namespace {

constexpr Duration networkDelay = 5ms;
constexpr Duration storeDelay = 20ms;
constexpr Duration commandTimeout = 300ms;
/// A job is worthless when it ends after this many times its objective; stated by the users' accounting.
constexpr double maxLateness = 3;
/// A job's weight grows with its core-seconds up to this many times the mean of its class; stated by the users' accounting.
constexpr double maxRelativeSize = 4;
constexpr double fixedWeight = 0.3;
/// The members of a gang's run start within this time of each other; a rule of the platform.
constexpr Duration gangStartTime = 4s;

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

auto fromSeconds(double s) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

/// Returns what a task uses of its worker's capacity.
auto usedCapacity(const StepSpec &step) -> Demand
{
    auto demand = step.taskDemand;
    demand.milliCores = step.usesSpareCores ? 0 : demand.milliCores;
    return demand;
}

auto canRun(const WorkerInfo &worker, const StepSpec &step) -> bool
{
    const auto &labels = worker.labels;
    return worker.service == ServiceName("service") && !worker.draining
        && (step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

auto unixTime(TimePoint t) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch());
}

} // namespace

auto ClassResult::operator+=(const ClassResult &other) -> ClassResult &
{
    submitted += other.submitted;
    ended += other.ended;
    inTime += other.inTime;
    late += other.late;
    worthless += other.worthless;
    earned += other.earned;
    owed += other.owed;
    wastedCoreSeconds += other.wastedCoreSeconds;
    longestWait = std::max(longestWait, other.longestWait);
    longestLatency = std::max(longestLatency, other.longestLatency);
    return *this;
}

auto LoadReplay::UnitRun::progressTime(TimePoint now) const -> Duration
{
    const auto until = haltedAt ? std::min(now, *haltedAt) : now;
    return progressFrom ? std::max(until - *progressFrom, Duration::zero()) : Duration::zero();
}

auto LoadReplay::UnitRun::doneWork(std::size_t member, Duration progressTime) const -> double
{
    const auto &it = members[member];
    return std::min(it.work, it.doneBefore + seconds(progressTime) * it.worker->speed);
}

auto LoadReplay::ReplayJob::criticalPath() const -> double
{
    double sum = 0;
    for (const auto &it : work) {
        sum += *std::max_element(it.begin(), it.end());
    }
    return sum;
}

auto LoadReplay::ReplayJob::coreSeconds() const -> double
{
    double sum = 0;
    for (std::size_t i = 0; i < work.size(); ++i) {
        sum += std::accumulate(work[i].begin(), work[i].end(), 0.0) * weightedCores(spec.steps[i].taskDemand);
    }
    return sum;
}

auto LoadReplay::ReplayJob::accelerators() const -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &it : spec.steps) {
        sum += it.taskDemand.accelerators * it.count;
    }
    return sum;
}

LoadReplay::LoadReplay(LoadPattern pattern, DispatcherSettings settings)
    : m_pattern(std::move(pattern))
    , m_random(m_pattern.seed)
    , m_lastChange(m_clock.now())
    , m_begin(m_clock.now())
{
    auto configuration = std::make_shared<Configuration>();
    for (const auto &it : m_pattern.classes) {
        addQueue(*configuration, it.queue, it.priority);
        configuration->queues.back().policy.stretch = it.stretch;
        configuration->queues.back().policy.targetLatency = it.targetLatency;
    }
    for (const auto &it : m_pattern.organisations) {
        configuration->organisations.push_back({OrganisationName(it.name), it.guaranteedAccelerators});
        m_guarantees.emplace(it.name, it.guaranteedAccelerators);
    }
    m_dispatcher = std::make_unique<Dispatcher>(
        std::move(settings),
        [this](const DispatchEvent &e) {
            m_logLines += e.logged ? 1 : 0;
            checkPreemption(e);
        },
        m_clock.now());
    m_dispatcher->setConfiguration(configuration);
    for (std::size_t r = 0; r < m_pattern.racks; ++r) {
        for (std::size_t i = 0; i < m_pattern.workersPerRack; ++i) {
            ReplayWorker worker;
            worker.info.name = WorkerName("w" + std::to_string(r) + "-" + std::to_string(i));
            worker.info.service = ServiceName("service");
            worker.info.rack = RackName("rack" + std::to_string(r));
            worker.info.capacity = m_pattern.workerCapacity;
            worker.info.incarnation = 1;
            if (m_pattern.varyWorker) {
                m_pattern.varyWorker(worker.info);
            }
            worker.speed = m_pattern.speeds[m_workers.size() % m_pattern.speeds.size()];
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
    step.taskDemand = {of.milliCores, of.memoryMiB,
                       of.accelerators[static_cast<std::size_t>(random() * static_cast<double>(of.accelerators.size()))]};
    const auto rackAccelerators = m_pattern.workerCapacity.accelerators * static_cast<std::int64_t>(m_pattern.workersPerRack);
    step.sameRack = of.gang && random() < of.sameRackShare && step.taskDemand.accelerators * step.count <= rackAccelerators;
    ReplayJob job;
    job.jobClass = jobClass;
    const auto runTime = vary(of.runTime);
    const auto estimateError = of.estimateError.value_or(of.spread);
    step.estimate = fromSeconds(seconds(runTime) * (1.0 + estimateError * (2.0 * random() - 1.0)));
    step.checkpoints = m_pattern.checkpointInterval > Duration::zero();
    job.submittedAt = m_clock.now();
    job.spec = simpleJob(std::string(of.queue) + std::to_string(m_jobs.size()), of.queue, step);
    // Patterns without these features draw the same numbers as before they were added.
    const auto happens = [&](double probability) { return probability > 0 && random() < probability; };
    if (happens(of.secondStepShare)) {
        step.dependsOn = {0};
        job.spec.steps.push_back(step);
    }
    if (m_pattern.varyJob) {
        m_pattern.varyJob(job.spec);
    }
    for (const auto &varied : job.spec.steps) {
        auto &work = job.work.emplace_back(varied.count, seconds(runTime));
        for (auto &it : work) {
            it *= of.unevenness > 0 ? 1.0 + of.unevenness * (2.0 * random() - 1.0) : 1.0;
            it *= happens(m_pattern.tailShare) ? m_pattern.tailFactor : 1.0;
        }
    }
    job.failsAfter = happens(m_pattern.failureShare) ? random() : 0;
    addToOrganisation(job);
    job.spec.acceptedAt = unixTime(m_clock.now());
    m_dispatcher->accept(job.spec, m_clock.now(), unixTime(m_clock.now()));
    m_jobs.emplace(job.spec.id, std::move(job));
    ++m_openJobs;
}

auto LoadReplay::addToOrganisation(ReplayJob &job) -> void
{
    if (m_pattern.organisations.empty()) {
        return;
    }
    auto share = random();
    auto organisation = m_pattern.organisations.begin();
    while (share >= organisation->share && std::next(organisation) != m_pattern.organisations.end()) {
        share -= organisation->share;
        ++organisation;
    }
    job.spec.organisation = OrganisationName(organisation->name);
    if (m_pattern.classes[job.jobClass].priority != 0) {
        return;
    }
    auto &used = m_urgentAccelerators[job.spec.organisation];
    used += job.accelerators();
    job.guaranteed = used <= organisation->guaranteedAccelerators;
    if (job.guaranteed) {
        return;
    }
    for (auto &[id, other] : m_jobs) {
        if (other.spec.organisation == job.spec.organisation && m_clock.now() < other.submittedAt + m_pattern.reclaimTime) {
            other.guaranteed = other.guaranteed && other.allStartedAt;
        }
    }
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
                end(*it.unit, it.member, EndKind::Failed);
                // The other members of a gang notice that one is gone.
                endMembers(*it.unit, EndKind::GangFailed);
            }
        });
        m_clock.schedule(departure.notice + departure.listedAfterwards,
                         [this, name = name] { m_dispatcher->workerUnlisted(name, m_clock.now()); });
    }
}

auto LoadReplay::begin() -> void
{
    for (std::size_t i = 0; i < m_pattern.classes.size(); ++i) {
        scheduleArrivals(i);
    }
    for (const auto &it : m_pattern.departures) {
        m_clock.schedule(it.at, [this, &it] { depart(it); });
    }
    decide();
}

auto LoadReplay::run(Duration after) -> void
{
    begin();
    m_clock.run(m_pattern.length + after);
}

auto LoadReplay::runUntilEnded(Duration limit) -> void
{
    begin();
    m_clock.run(m_pattern.length);
    double longestTask = 0;
    for (const auto &[id, job] : m_jobs) {
        longestTask = std::max(longestTask, job.criticalPath());
    }
    const auto slowest = *std::min_element(m_pattern.speeds.begin(), m_pattern.speeds.end());
    const auto longestPause = fromSeconds(longestTask / slowest) + 30s;
    const auto end = m_begin + m_pattern.length + limit;
    while (m_openJobs > 0 && m_clock.now() < std::min(end, m_lastChange + longestPause)) {
        m_clock.run(1s);
    }
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
                auto &job = m_jobs.at(it.job);
                job.endedAt = m_clock.now();
                job.phase = it.phase;
                --m_openJobs;
                if (m_pattern.classes[job.jobClass].priority == 0) {
                    m_urgentAccelerators[job.spec.organisation] -= job.accelerators();
                }
            }
        });
    }
    checkGangs(decisions.starts);
    for (const auto &it : decisions.starts) {
        m_clock.schedule(networkDelay, [this, it] { start(it); });
    }
    for (const auto &it : decisions.stops) {
        m_clock.schedule(networkDelay, [this, it] { stop(it); });
    }
    for (const auto &it : decisions.polls) {
        poll(it);
    }
    m_clock.schedule(m_pattern.decisionInterval, [this] { decide(); });
}

auto LoadReplay::start(const StartCommand &command) -> void
{
    auto &worker = m_workers.at(command.worker);
    if (worker.gone) {
        m_clock.schedule(commandTimeout, [this, command] { m_dispatcher->startAnswered(command, StartOutcome::Unknown, m_clock.now()); });
        return;
    }
    checkStart(command, worker);
    auto &job = m_jobs.at(command.task.job);
    const auto &step = job.spec.steps[command.task.step];
    const auto unit = unitRunFor(command);
    const std::size_t member = step.gang ? command.task.index : 0;
    unit->members[member].worker = &worker;
    worker.runs.push_back({command, m_clock.now(), unit, member});
    m_lastChange = m_clock.now();
    markStarted(job, command);
    if (++unit->startedMembers == unit->members.size()) {
        beginProgress(unit);
    }
    m_clock.schedule(networkDelay, [this, command] { m_dispatcher->startAnswered(command, StartOutcome::Started, m_clock.now()); });
}

auto LoadReplay::checkStart(const StartCommand &command, const ReplayWorker &worker) -> void
{
    const auto &job = m_jobs.at(command.task.job);
    const auto &step = job.spec.steps[command.task.step];
    const auto name = command.task.job.str() + " task " + std::to_string(command.task.index);
    Demand used;
    std::uint32_t ofStep = 0;
    for (const auto &it : worker.runs) {
        const auto &task = it.command.task;
        used += usedCapacity(m_jobs.at(task.job).spec.steps[task.step]);
        ofStep += task.job == command.task.job && task.step == command.task.step ? 1 : 0;
    }
    if (!(worker.info.capacity - used).covers(usedCapacity(step))) {
        violations.push_back("no capacity for " + name);
    }
    // A worker that announced its shutdown while the command was in transit starts the run anyway.
    auto info = worker.info;
    info.draining = false;
    if (!canRun(info, step)) {
        violations.push_back("wrong service or no label '" + step.requiredLabel + "' on " + info.name.str() + " for " + name);
    }
    if (step.maxPerWorker > 0 && ofStep >= step.maxPerWorker) {
        violations.push_back("more than " + std::to_string(step.maxPerWorker) + " tasks of the step on a worker: " + name);
    }
    for (const auto &[id, other] : m_workers) {
        const bool runs = std::any_of(other.runs.begin(), other.runs.end(), [&](const Run &r) { return r.command.task == command.task; });
        if (runs) {
            violations.push_back("runs twice at the same time: " + name);
        }
    }
    if (m_doneTasks.contains(command.task)) {
        violations.push_back("runs again after its end: " + name);
    }
}

auto LoadReplay::checkGangs(const std::vector<StartCommand> &starts) -> void
{
    std::map<std::tuple<JobId, std::uint32_t, std::uint32_t>, std::set<std::uint32_t>> members;
    for (const auto &it : starts) {
        if (m_jobs.at(it.task.job).spec.steps[it.task.step].gang) {
            members[{it.task.job, it.task.step, it.run}].insert(it.task.index);
        }
    }
    for (const auto &[key, indices] : members) {
        const auto &[job, step, run] = key;
        // A command that was not answered is repeated for its member alone.
        const bool first = m_sentGangs.insert(key).second;
        if (first && indices.size() != m_jobs.at(job).spec.steps[step].count) {
            violations.push_back("only " + std::to_string(indices.size()) + " members are started: " + job.str());
        }
    }
}

auto LoadReplay::checkPreemption(const DispatchEvent &event) -> void
{
    constexpr std::string_view reason = "reason=preempted-by-";
    const auto at = event.details.find(reason);
    const auto victim = m_jobs.find(event.job);
    if (event.name != "unit-stopping" || at == std::string::npos || victim == m_jobs.end()) {
        return;
    }
    const auto preemptor = m_jobs.find(JobId(event.details.substr(at + reason.size())));
    if (preemptor == m_jobs.end()) {
        return;
    }
    const auto priority = [this](const ReplayJob &job) { return m_pattern.classes[job.jobClass].priority; };
    const auto &organisation = preemptor->second.spec.organisation;
    const auto guarantee = m_guarantees.find(organisation);
    // Work without accelerators fits the guarantee of any organisation.
    const bool mayBeGuaranteed = guarantee != m_guarantees.end() && (guarantee->second > 0 || preemptor->second.accelerators() == 0);
    const bool reclaims = mayBeGuaranteed && victim->second.spec.organisation != organisation;
    if (priority(preemptor->second) >= priority(victim->second) && !reclaims) {
        violations.push_back(event.job.str() + " is preempted for work that is not more urgent: " + preemptor->first.str());
    }
}

auto LoadReplay::unitRunFor(const StartCommand &command) -> std::shared_ptr<UnitRun>
{
    const auto &job = m_jobs.at(command.task.job);
    const auto &step = job.spec.steps[command.task.step];
    auto &unit = m_unitRuns[{command.task.job, command.task.step, step.gang ? 0 : command.task.index, command.run}];
    if (!unit) {
        unit = std::make_shared<UnitRun>();
        unit->job = command.task.job;
        unit->step = command.task.step;
        unit->index = step.gang ? 0 : command.task.index;
        unit->run = command.run;
        unit->firstStart = m_clock.now();
        unit->checkpoint = command.checkpoint;
        const auto &work = job.work[command.task.step];
        const auto count = step.gang ? work.size() : 1;
        for (std::size_t i = 0; i < count; ++i) {
            const auto done = command.checkpoint.empty() ? 0.0 : m_checkpoints.at(command.checkpoint)[i];
            unit->members.push_back({nullptr, work[step.gang ? i : command.task.index], done});
        }
    }
    if (m_clock.now() > unit->firstStart + gangStartTime) {
        violations.push_back("a member starts late: " + command.task.job.str());
    }
    return unit;
}

auto LoadReplay::markStarted(ReplayJob &job, const StartCommand &command) -> void
{
    job.startedAt = job.startedAt.value_or(m_clock.now());
    if (command.task.step != 0 || job.allStartedAt) {
        return;
    }
    job.startedTasks.insert(command.task.index);
    if (job.startedTasks.size() == job.spec.steps.front().count) {
        job.allStartedAt = m_clock.now();
        if (job.guaranteed && *job.allStartedAt > job.submittedAt + m_pattern.reclaimTime) {
            violations.push_back("a guaranteed job starts after "
                                 + std::to_string(toMilliseconds(*job.allStartedAt - job.submittedAt).count())
                                 + " ms: " + job.spec.id.str());
        }
    }
}

/// Called when all members of a run have started.
auto LoadReplay::beginProgress(const std::shared_ptr<UnitRun> &unit) -> void
{
    const auto restoring = unit->checkpoint.empty() ? Duration::zero() : m_pattern.restoreTime;
    unit->progressFrom = m_clock.now() + restoring;
    double longest = 0;
    for (const auto &it : unit->members) {
        longest = std::max(longest, (it.work - it.doneBefore) / it.worker->speed);
    }
    auto &job = m_jobs.at(unit->job);
    const bool fails = unit->step == 0 && job.failsAfter > 0;
    if (fails) {
        longest *= std::exchange(job.failsAfter, 0);
    }
    m_clock.schedule(restoring + fromSeconds(longest), [this, unit, fails] {
        if (unit->haltedAt) {
            return;
        }
        if (fails) {
            end(*unit, 0, EndKind::Failed);
        }
        endMembers(*unit, fails ? EndKind::GangFailed : EndKind::Done);
    });
}

auto LoadReplay::stop(const StopCommand &command) -> void
{
    auto &worker = m_workers.at(command.worker);
    const auto it = std::find_if(worker.runs.begin(), worker.runs.end(), [&](const Run &r) {
        return r.command.task == command.task && r.command.run == command.run && !r.stopping;
    });
    if (it != worker.runs.end()) {
        it->stopping = true;
        it->unit->haltedAt = it->unit->haltedAt.value_or(m_clock.now());
        m_clock.schedule(m_pattern.stopTime, [this, unit = it->unit, member = it->member] {
            end(*unit, member, EndKind::Stopped);
            endMembers(*unit, EndKind::GangFailed);
        });
    }
    m_clock.schedule(networkDelay,
                     [this, command, answered = !worker.gone] { m_dispatcher->stopAnswered(command, answered, m_clock.now()); });
}

auto LoadReplay::endMembers(UnitRun &unit, EndKind kind) -> void
{
    for (std::size_t i = 0; i < unit.members.size(); ++i) {
        const auto *worker = unit.members[i].worker;
        const bool stopping = worker != nullptr && std::any_of(worker->runs.begin(), worker->runs.end(), [&](const Run &r) {
                                  return r.unit.get() == &unit && r.member == i && r.stopping;
                              });
        if (!stopping) {
            end(unit, i, kind);
        }
    }
}

auto LoadReplay::end(UnitRun &unit, std::size_t member, EndKind kind) -> void
{
    auto *worker = unit.members[member].worker;
    if (worker == nullptr) {
        return;
    }
    const auto it =
        std::find_if(worker->runs.begin(), worker->runs.end(), [&](const Run &r) { return r.unit.get() == &unit && r.member == member; });
    if (it == worker->runs.end()) {
        return;
    }
    if (kind != EndKind::Done) {
        unit.haltedAt = unit.haltedAt.value_or(m_clock.now());
        auto &job = m_jobs.at(unit.job);
        const auto lost = std::max(*unit.haltedAt - it->startedAt, Duration::zero()) - savedTime(unit);
        job.wastedCoreSeconds += seconds(lost) * weightedCores(job.spec.steps[unit.step].taskDemand);
    }
    m_lastChange = m_clock.now();
    const auto command = it->command;
    worker->runs.erase(it);
    if (!worker->gone) {
        worker->ends.push_back({++worker->endCount, command.task, command.run, kind, checkpointOf(unit)});
        answerPoll(*worker);
    }
}

auto LoadReplay::savedTime(const UnitRun &unit) const -> Duration
{
    const auto interval = m_pattern.checkpointInterval;
    return interval > Duration::zero() ? interval * (unit.progressTime(m_clock.now()) / interval) : Duration::zero();
}

auto LoadReplay::checkpointOf(UnitRun &unit) -> const std::string &
{
    const auto saved = savedTime(unit);
    const auto count = saved > Duration::zero() ? saved / m_pattern.checkpointInterval : 0;
    if (count > unit.savedCheckpoints) {
        unit.savedCheckpoints = count;
        unit.checkpoint = unit.job.str() + '/' + std::to_string(unit.step) + '/' + std::to_string(unit.index) + '/'
            + std::to_string(unit.run) + '/' + std::to_string(count);
        auto &work = m_checkpoints[unit.checkpoint];
        for (std::size_t i = 0; i < unit.members.size(); ++i) {
            work.push_back(unit.doneWork(i, saved));
        }
    }
    return unit.checkpoint;
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
        const auto done = it.unit->doneWork(it.member, it.unit->progressTime(m_clock.now())) / it.unit->members[it.member].work;
        report.running.push_back({it.command.task, it.command.run, checkpointOf(*it.unit), static_cast<std::uint32_t>(done * 100.0)});
    }
    m_clock.schedule(networkDelay, [this, poll, report = std::move(report)] {
        for (const auto &it : report.ended) {
            if (it.kind == EndKind::Done) {
                m_doneTasks.insert(it.task);
            }
        }
        const auto begin = std::clock();
        m_dispatcher->pollAnswered(poll.first, poll.second, report, m_clock.now());
        m_processorTime += fromSeconds(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    });
}

auto LoadReplay::result(std::size_t jobClass) const -> ClassResult
{
    const auto &of = m_pattern.classes[jobClass];
    ClassResult out;
    double coreSeconds = 0;
    for (const auto &[id, job] : m_jobs) {
        out.submitted += job.jobClass == jobClass ? 1 : 0;
        coreSeconds += job.jobClass == jobClass ? job.coreSeconds() : 0;
    }
    const auto meanCoreSeconds = coreSeconds / static_cast<double>(std::max<std::size_t>(out.submitted, 1));
    for (const auto &[id, job] : m_jobs) {
        if (job.jobClass != jobClass) {
            continue;
        }
        const auto relativeSize = std::min(job.coreSeconds() / meanCoreSeconds, maxRelativeSize);
        const auto weight = fixedWeight + (1 - fixedWeight) * relativeSize;
        const auto objective = job.criticalPath() * of.stretch + seconds(of.targetLatency);
        const auto latency = seconds(job.endedAt.value_or(m_clock.now()) - job.submittedAt);
        const bool completed = job.endedAt && job.phase == JobPhase::Completed;
        const bool inTime = completed && latency <= objective;
        const bool late = completed && !inTime && latency <= objective * maxLateness;
        out.ended += job.endedAt ? 1 : 0;
        out.inTime += inTime ? 1 : 0;
        out.late += late ? 1 : 0;
        out.worthless += inTime || late ? 0 : 1;
        out.owed += weight * of.value;
        out.earned += weight * (inTime ? of.value : late ? of.lateValue : 0);
        out.wastedCoreSeconds += job.wastedCoreSeconds;
        out.longestLatency = std::max(out.longestLatency, fromSeconds(latency));
        out.longestWait = std::max(out.longestWait, job.startedAt.value_or(m_clock.now()) - job.submittedAt);
    }
    return out;
}

auto LoadReplay::unfinishedPlaceableJobs() const -> std::vector<JobId>
{
    const auto tasksOn = [](const WorkerInfo &worker, const StepSpec &step) {
        std::uint32_t n = 0;
        auto left = worker.capacity;
        const auto limit = step.maxPerWorker > 0 ? std::min(step.maxPerWorker, step.count) : step.count;
        for (; n < limit && left.covers(usedCapacity(step)); ++n) {
            left -= usedCapacity(step);
        }
        return n;
    };
    std::vector<JobId> out;
    for (const auto &[id, job] : m_jobs) {
        const bool placeable = std::all_of(job.spec.steps.begin(), job.spec.steps.end(), [&](const StepSpec &step) {
            std::uint32_t tasks = 0;
            for (const auto &[name, worker] : m_workers) {
                tasks += !worker.gone && canRun(worker.info, step) ? tasksOn(worker.info, step) : 0;
            }
            return tasks >= (step.gang ? step.count : 1);
        });
        if (!job.endedAt && placeable) {
            out.push_back(id);
        }
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

auto LoadReplay::preemptions() const -> std::uint64_t
{
    return m_dispatcher->stats().preemptions;
}

auto LoadReplay::guaranteedJobs() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &it) { return it.second.guaranteed; }));
}

auto LoadReplay::longestReclaim() const -> Duration
{
    Duration longest{};
    for (const auto &[id, job] : m_jobs) {
        if (job.guaranteed) {
            longest = std::max(longest, job.allStartedAt.value_or(m_clock.now()) - job.submittedAt);
        }
    }
    return longest;
}

auto LoadReplay::processorTime() const -> Duration
{
    return m_processorTime;
}

} // namespace Acaciarail::Workflow::Tests
