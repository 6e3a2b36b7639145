#include "fake_fleet.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace Acaciarail::Workflow::Tests {

namespace {

constexpr Duration tick = 20ms;
constexpr double fullPercent = 100.0;

/// Returns the true duration of a lease on a worker whose clock is 2% slow.
auto byWorkerClock(Duration lease) -> Duration
{
    constexpr double clockFactor = 1.02;
    return std::chrono::duration_cast<Duration>(lease * clockFactor);
}

auto kindOf(const WorkerInfo &info) -> std::string
{
    return info.labels.empty() ? std::string() : info.labels.front();
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
            worker.info.machine = MachineName("machine-of-" + worker.info.name.str());
            workers.emplace(worker.info.name, std::move(worker));
        }
    }
    takeOver();
}

auto FakeFleet::takeOver() -> void
{
    for (auto &[name, worker] : workers) {
        worker.pendingPoll.reset();
    }
    m_batch.clear();
    m_batchOutcomes.clear();
    m_deferred.clear();
    ++m_term;
    record("holder term=" + std::to_string(m_term));
    m_dispatcher = std::make_unique<Dispatcher>(
        settings,
        [this](const DispatchEvent &e) {
            events.push_back(std::string(e.name) + ' ' + e.job.str() + ' ' + e.details);
            record(events.back());
        },
        m_now);
    m_dispatcher->setConfiguration(configuration);
    recordServices();
    applyEvacuations();
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
    for (auto &[name, worker] : workers) {
        worker.knownIncarnation = 0;
        worker.newestListedIncarnation = 0;
        readEntry(worker.outdatedEntry.value_or(worker.info));
    }
}

auto FakeFleet::record(std::string line) -> void
{
    constexpr TimePoint begin{1h};
    trace.push_back(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_now - begin).count()) + " ms "
                    + std::move(line));
}

auto FakeFleet::violation(std::string text) -> void
{
    record("violation: " + text);
    violations.push_back(std::move(text));
}

auto FakeFleet::recordServices() -> void
{
    for (const auto &it : configuration->queues) {
        m_queueServices[it.name].insert(it.policy.service);
    }
}

auto FakeFleet::moveQueue(const std::string &queue, const std::string &service) -> void
{
    auto changed = std::make_shared<Configuration>(*configuration);
    for (auto &it : changed->queues) {
        if (it.name == QueueName(queue)) {
            it.policy.service = ServiceName(service);
        }
    }
    ++changed->version;
    configuration = std::move(changed);
    recordServices();
    m_dispatcher->setConfiguration(configuration);
}

auto FakeFleet::readEntry(const WorkerInfo &info) -> void
{
    auto &worker = workers.at(info.name);
    worker.knownIncarnation = std::max(worker.knownIncarnation, info.incarnation);
    worker.newestListedIncarnation = std::max(worker.newestListedIncarnation, info.incarnation);
    worker.listedIncarnation = info.incarnation;
    record("entry-read worker=" + info.name.str() + " life=" + std::to_string(info.incarnation) + " service=" + info.service.str()
           + " kind=" + kindOf(info));
    m_dispatcher->workerListed(info, m_now);
}

/// The newest entry is that of the present life from now on.
auto FakeFleet::entryWritten(FakeWorker &worker) -> void
{
    if (auto outdated = std::exchange(worker.outdatedEntry, std::nullopt)) {
        worker.earlierEntry = std::move(outdated);
    }
}

auto FakeFleet::submit(JobSpec spec) -> void
{
    spec.acceptedAt = unixTime(m_now);
    recordServices();
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

auto FakeFleet::disconnect(const std::string &worker) -> void
{
    auto &w = workers.at(WorkerName(worker));
    w.reachable = false;
    if (const auto poll = std::exchange(w.pendingPoll, std::nullopt)) {
        m_dispatcher->pollAnswered(poll->first, poll->second, std::nullopt, m_now);
    }
}

auto FakeFleet::crash(const std::string &worker) -> void
{
    auto &w = workers.at(WorkerName(worker));
    forgetRuns(w);
    w.pendingPoll.reset();
    w.reachable = false;
    w.refusesConnections = true;
    w.hasEnded = true;
}

auto FakeFleet::lose(const std::string &worker, bool isForGood) -> void
{
    auto &w = workers.at(WorkerName(worker));
    forgetRuns(w);
    w.reachable = false;
    w.hasEnded = true;
    w.machineExists = !isForGood;
    if (const auto poll = std::exchange(w.pendingPoll, std::nullopt)) {
        const auto timesOutAt = poll->second + poll->first.wait + pollTimeout;
        defer(std::max(timesOutAt - m_now, Duration::zero()),
              [this, poll] { m_dispatcher->pollAnswered(poll->first, poll->second, std::nullopt, m_now); });
    }
}

auto FakeFleet::reconnect(const std::string &worker) -> void
{
    workers.at(WorkerName(worker)).reachable = true;
}

auto FakeFleet::announceShutdown(const std::string &worker, Duration remaining) -> void
{
    auto &w = workers.at(WorkerName(worker));
    w.info.draining = true;
    w.info.timeUntilShutdown = remaining;
    list(worker);
}

auto FakeFleet::list(const std::string &worker) -> void
{
    auto &w = workers.at(WorkerName(worker));
    entryWritten(w);
    readEntry(w.info);
}

auto FakeFleet::listEarlierEntry(const std::string &worker) -> void
{
    if (const auto &entry = workers.at(WorkerName(worker)).earlierEntry) {
        readEntry(*entry);
    }
}

auto FakeFleet::listNewestEntry(const std::string &worker) -> void
{
    const auto &w = workers.at(WorkerName(worker));
    readEntry(w.outdatedEntry.value_or(w.info));
}

auto FakeFleet::unlist(const std::string &worker) -> void
{
    m_dispatcher->workerUnlisted(WorkerName(worker), m_now);
}

auto FakeFleet::shutDown(const std::string &worker) -> void
{
    disconnect(worker);
    auto &w = workers.at(WorkerName(worker));
    forgetRuns(w);
    w.hasEnded = true;
    unlist(worker);
}

auto FakeFleet::restart(const std::string &worker) -> void
{
    auto &w = workers.at(WorkerName(worker));
    forgetRuns(w);
    w.hasEnded = false;
    ++w.info.incarnation;
    record("restart worker=" + worker + " life=" + std::to_string(w.info.incarnation) + " service=" + w.info.service.str()
           + " kind=" + kindOf(w.info));
    w.info.draining = false;
    w.leaseEnds = {};
    w.term = 0;
    w.refusedRuns.clear();
    w.ends.clear();
    w.endCount = 0;
    if (const auto poll = std::exchange(w.pendingPoll, std::nullopt)) {
        m_dispatcher->pollAnswered(poll->first, poll->second, std::nullopt, m_now);
    }
}

auto FakeFleet::restartAs(const std::string &worker, const std::string &service, const std::string &kind) -> void
{
    auto &w = workers.at(WorkerName(worker));
    if (!w.outdatedEntry) {
        w.outdatedEntry = w.info;
    }
    w.info.service = ServiceName(service);
    w.info.labels.front() = kind;
    restart(worker);
}

auto FakeFleet::forgetRuns(FakeWorker &worker) -> void
{
    for (auto &run : worker.runs) {
        run.isForgotten = run.isForgotten || !run.acknowledged;
        if (!run.end) {
            run.end = EndKind::Stopped;
            run.endedAt = m_now;
        }
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
    executeDelayed();
    runDeferred();
    for (auto &[name, worker] : workers) {
        finishRuns(worker);
        answerPoll(worker);
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
    applyEvacuations();
    auto decisions = m_dispatcher->decide(m_now, unixTime(m_now), {});
    if (!decisions.records.empty()) {
        m_batch = std::move(decisions.records);
        m_batchOutcomes = std::move(decisions.outcomes);
    }
    for (const auto &it : decisions.stops) {
        sendStop(it);
    }
    for (const auto &it : decisions.starts) {
        record("start-decided " + it.task.job.str() + " index=" + std::to_string(it.task.index) + " run=" + std::to_string(it.run)
               + " worker=" + it.worker.str());
        defer(startQueueDelay, [this, it] { start(it); });
    }
    for (const auto &it : decisions.polls) {
        sendPoll(it);
    }
    if (decisions.listRunningWorkers) {
        ++listRequests;
        if (listsRunningWorkers) {
            listRunningWorkers();
        }
    }
}

auto FakeFleet::listRunningWorkers() -> void
{
    RunningWorkers running;
    for (const auto &[name, worker] : workers) {
        if (worker.machineExists) {
            running.machines.insert(worker.info.machine);
        }
        if (!worker.hasEnded && !omittedFromList.contains(name.str())) {
            running.workers.insert(name);
        }
    }
    defer(listDelay,
          [this, running = std::move(running), askedAt = m_now] { m_dispatcher->runningWorkersListed(running, askedAt, m_now); });
}

auto FakeFleet::defer(Duration delay, std::function<void()> call) -> void
{
    if (delay == Duration::zero()) {
        call();
    } else {
        m_deferred.push_back({m_now + delay, std::move(call)});
    }
}

auto FakeFleet::runDeferred() -> void
{
    std::vector<Deferred> due;
    for (auto it = m_deferred.begin(); it != m_deferred.end();) {
        if (it->at <= m_now) {
            due.push_back(std::move(*it));
            it = m_deferred.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto &it : due) {
        it.call();
    }
}

auto FakeFleet::isDelayed(const FakeWorker &worker, bool grants, std::function<void(FakeWorker &)> execute, bool isStart) -> bool
{
    const auto delay = commandDelay ? commandDelay(grants) : std::nullopt;
    if (!worker.reachable || !delay) {
        return false;
    }
    m_delayed.push_back({m_now + *delay, worker.info.name, worker.info.incarnation, m_term, std::move(execute), isStart});
    return true;
}

auto FakeFleet::executeDelayed() -> void
{
    for (auto it = m_delayed.begin(); it != m_delayed.end();) {
        if (it->at > m_now) {
            ++it;
            continue;
        }
        auto &worker = workers.at(it->worker);
        const bool reaches = it->incarnation == worker.info.incarnation || (it->isStart && delayedStartsReachNewLives);
        if (reaches && !worker.hasEnded && it->term >= worker.term) {
            it->execute(worker);
        }
        it = m_delayed.erase(it);
    }
}

auto FakeFleet::extendLease(FakeWorker &worker, Duration lease) -> void
{
    if (lease > Duration::zero()) {
        worker.leaseEnds = std::max(worker.leaseEnds, m_now + byWorkerClock(lease));
    }
}

auto FakeFleet::sendStop(const StopCommand &command) -> void
{
    auto &worker = workers.at(command.worker);
    if (isDelayed(worker, false, [this, command](FakeWorker &w) { stopRun(w, command); })) {
        m_dispatcher->stopAnswered(command, false, m_now);
        return;
    }
    if (worker.reachable) {
        worker.term = m_term;
        stopRun(worker, command);
    }
    m_dispatcher->stopAnswered(command, worker.reachable, m_now);
}

auto FakeFleet::stopRun(FakeWorker &worker, const StopCommand &command) -> void
{
    worker.refusedRuns[command.task] = std::max(worker.refusedRuns[command.task], command.run);
    for (auto &run : worker.runs) {
        if (!run.end && run.command.task == command.task && run.command.run == command.run) {
            if (stopDuration == Duration::zero()) {
                end(worker, run, EndKind::Stopped);
            } else {
                run.stopsAt = run.stopsAt.value_or(m_now + stopDuration);
            }
        }
    }
}

auto FakeFleet::sendPoll(PollCommand command) -> void
{
    auto &worker = workers.at(command.worker);
    // Ends are acknowledged only over a connection to the incarnation that reported them.
    command.recordedEnds = command.incarnation == worker.info.incarnation ? command.recordedEnds : 0;
    const auto addressee = worker.knownIncarnation;
    const auto execute = [this, command, addressee](FakeWorker &w) {
        extendLease(w, command.lease);
        acknowledgeEnds(w, command.recordedEnds, addressee);
    };
    if (isDelayed(worker, command.lease > Duration::zero(), execute) || !worker.reachable) {
        defer(pollTimeout, [this, command, sentAt = m_now, maybeSent = !worker.refusesConnections] {
            m_dispatcher->pollAnswered(command, sentAt, std::nullopt, m_now, maybeSent);
        });
        return;
    }
    worker.term = m_term;
    extendLease(worker, command.lease);
    if (command.wait == Duration::zero() && !worker.withholdsResponses) {
        answer(worker, command, m_now, addressee);
    } else if (command.wait > Duration::zero()) {
        worker.pendingPoll.emplace(command, m_now);
        worker.pendingPollAddressee = addressee;
    }
}

auto FakeFleet::evacuate(const std::string &zone, bool on) -> void
{
    if (on) {
        m_evacuated.emplace(ZoneName(zone), m_now);
    } else {
        m_evacuated.erase(ZoneName(zone));
    }
    applyEvacuations();
}

auto FakeFleet::applyEvacuations() -> void
{
    if (operatorTopicReadable && settings.evacuationDelay > Duration::zero()) {
        std::set<ZoneName> zones;
        for (const auto &[zone, since] : m_evacuated) {
            zones.insert(zone);
        }
        m_dispatcher->setEvacuatedZones(std::move(zones));
        m_dispatcher->evacuationsConfirmed(m_now);
    }
}

auto FakeFleet::checkZone(const StartCommand &command) -> void
{
    const auto found = m_evacuated.find(workers.at(command.worker).info.zone);
    if (found != m_evacuated.end() && m_now > found->second + settings.evacuationDelay) {
        violation("a start of " + command.task.job.str() + " in an evacuated zone");
    }
}

auto FakeFleet::start(const StartCommand &command) -> void
{
    if (!m_dispatcher->maySend(command, m_now)) {
        m_dispatcher->startAnswered(command, StartOutcome::NotSent, m_now);
        return;
    }
    auto &worker = workers.at(command.worker);
    // A start goes over a connection to the incarnation that it is meant for, and a connection ends with its process.
    if (worker.reachable && command.incarnation != worker.info.incarnation) {
        record("start-not-sent " + command.task.job.str() + " worker=" + command.worker.str()
               + " target_life=" + std::to_string(command.incarnation) + " life=" + std::to_string(worker.info.incarnation));
        m_dispatcher->startAnswered(command, StartOutcome::OtherIncarnation, m_now);
        return;
    }
    checkZone(command);
    // Not when it is carried out: a late command may arrive after its job has ended and its records were removed.
    checkRecord(command);
    starts.push_back(command);
    const Addressee addressee{worker.knownIncarnation, worker.info.incarnation};
    record("start-sent " + command.task.job.str() + " index=" + std::to_string(command.task.index) + " run=" + std::to_string(command.run)
           + " worker=" + command.worker.str() + " known_life=" + std::to_string(addressee.known)
           + " life=" + std::to_string(addressee.present));
    const auto execute = [this, command, addressee](FakeWorker &w) { startRun(w, command, addressee); };
    const auto delay = startDelay && worker.reachable ? startDelay(command) : std::nullopt;
    if (delay) {
        m_delayed.push_back({m_now + *delay, command.worker, worker.info.incarnation, m_term, execute, true});
    }
    if (delay || isDelayed(worker, true, execute, true) || !worker.reachable) {
        defer(responseTimeout, [this, command] { m_dispatcher->startAnswered(command, StartOutcome::Unknown, m_now); });
        return;
    }
    if (worker.refusal) {
        m_dispatcher->startAnswered(command, *worker.refusal, m_now);
        return;
    }
    worker.term = m_term;
    auto response = startRun(worker, command, addressee);
    if (!worker.scriptedResponses.empty()) {
        response = worker.scriptedResponses.front();
        worker.scriptedResponses.erase(worker.scriptedResponses.begin());
    }
    if (!worker.withholdsResponses) {
        m_dispatcher->startAnswered(command, response, m_now);
    }
}

auto FakeFleet::startRun(FakeWorker &worker, const StartCommand &command, const Addressee &addressee) -> StartOutcome
{
    const auto isSameRun = [&](const Run &run) { return !run.end && run.command.task == command.task && run.command.run == command.run; };
    extendLease(worker, command.lease);
    if (std::any_of(worker.runs.begin(), worker.runs.end(), isSameRun)) {
        return StartOutcome::Started;
    }
    const auto refused = worker.refusedRuns.find(command.task);
    if (refused != worker.refusedRuns.end() && command.run <= refused->second) {
        return StartOutcome::Superseded;
    }
    checkStart(command);
    checkEligibility(worker, command, addressee);
    Run run;
    run.command = command;
    run.startedAt = m_now;
    worker.runs.push_back(std::move(run));
    return StartOutcome::Started;
}

auto FakeFleet::checkRecord(const StartCommand &command) -> void
{
    const bool gang = m_jobs.at(command.task.job.str()).steps[command.task.step].gang;
    const UnitId unit{command.task.job, command.task.occurrence, command.task.step, gang ? 0 : command.task.index};
    const auto record = stored.find(unitRecord(unit, gang, {}).key);
    StateEntry entry;
    const bool recorded = record != stored.end() && !decodeState({record->first, record->second}, entry)
        && std::get<UnitEntry>(entry).state->run >= command.run;
    if (!recorded) {
        violation("a start of " + command.task.job.str() + " that is not recorded");
    }
}

auto FakeFleet::checkStart(const StartCommand &command) -> void
{
    for (const auto &[name, other] : workers) {
        for (const auto &run : other.runs) {
            if (!run.end && run.command.task == command.task) {
                violation("two runs of " + command.task.job.str());
            }
            const bool counts = !allowsRunsAfterLapse || (run.acknowledged && !run.lapsedBeforeAcknowledgement);
            if (run.end == EndKind::Done && run.command.task == command.task && counts) {
                violation("a run after the end of " + command.task.job.str()
                          + (run.acknowledgedToEarlierLife ? " that was acknowledged to an earlier life" : ""));
            }
        }
    }
}

auto FakeFleet::brokenRule(const FakeWorker &worker, const StartCommand &command) -> std::string
{
    const auto &job = m_jobs.at(command.task.job.str());
    const auto &step = job.steps[command.task.step];
    recordServices();
    const auto services = m_queueServices.find(job.queue);
    // A queue that was never configured has the policy with which the job was accepted.
    const bool sent =
        services == m_queueServices.end() ? worker.info.service == job.policy.service : services->second.contains(worker.info.service);
    if (!sent) {
        return "service " + worker.info.service.str();
    }
    const auto &labels = worker.info.labels;
    if (!step.requiredLabel.empty() && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end()) {
        return "required label " + step.requiredLabel + ", kind " + kindOf(worker.info);
    }
    const auto isOfStep = [&](const Run &run) {
        const auto &task = run.command.task;
        return !run.end && task.job == command.task.job && task.occurrence == command.task.occurrence && task.step == command.task.step;
    };
    const auto tasks = std::count_if(worker.runs.begin(), worker.runs.end(), isOfStep);
    if (step.maxPerWorker > 0 && tasks >= static_cast<std::ptrdiff_t>(step.maxPerWorker)) {
        return "more than " + std::to_string(step.maxPerWorker) + " tasks of the step";
    }
    return {};
}

auto FakeFleet::checkEligibility(const FakeWorker &worker, const StartCommand &command, const Addressee &addressee) -> void
{
    StartFinding finding{command, Awareness::Known, brokenRule(worker, command), {}, EntryKnowledge::Unread, m_now};
    if (worker.newestListedIncarnation == worker.info.incarnation) {
        finding.entry = worker.listedIncarnation == worker.info.incarnation ? EntryKnowledge::Newest : EntryKnowledge::Replaced;
    }
    if (worker.info.incarnation > addressee.present) {
        finding.awareness = Awareness::Late;
    } else if (worker.info.incarnation > addressee.known) {
        finding.awareness = Awareness::Unknown;
    }
    if (finding.awareness == Awareness::Known && finding.rule.empty()) {
        return;
    }
    if (finding.awareness == Awareness::Known) {
        constexpr std::array<const char *, 3> entryNames{"entry unread", "entry replaced by an earlier one", "entry read"};
        finding.violation = "a start of " + command.task.job.str() + " on " + worker.info.name.str() + " against its " + finding.rule + ", "
            + entryNames.at(static_cast<std::size_t>(finding.entry));
        violation(finding.violation);
    } else {
        record("start-on-other-life " + command.task.job.str() + " worker=" + worker.info.name.str()
               + (finding.awareness == Awareness::Late ? " late" : " unknown")
               + (finding.rule.empty() ? "" : " against its " + finding.rule));
    }
    startFindings.push_back(std::move(finding));
}

auto FakeFleet::end(FakeWorker &worker, Run &run, EndKind kind) -> void
{
    run.end = kind;
    run.endedAt = m_now;
    run.endNumber = ++worker.endCount;
    record("run-end " + run.command.task.job.str() + " index=" + std::to_string(run.command.task.index)
           + " run=" + std::to_string(run.command.run) + " worker=" + worker.info.name.str() + " how=" + endKindName(kind));
    auto &refused = worker.refusedRuns[run.command.task];
    refused = std::max(refused, run.command.run);
    worker.ends.push_back({run.endNumber, run.command.task, run.command.run, kind, checkpointAtEnd});
}

auto FakeFleet::finishRuns(FakeWorker &worker) -> void
{
    for (auto &run : worker.runs) {
        if (!run.end && m_now > worker.leaseEnds) {
            end(worker, run, EndKind::LeaseExpired);
        }
        if (!run.end && run.stopsAt && m_now >= *run.stopsAt) {
            end(worker, run, EndKind::Stopped);
        }
        run.lapsedBeforeAcknowledgement = run.lapsedBeforeAcknowledgement || (run.end && !run.acknowledged && m_now > worker.leaseEnds);
        if (run.end || worker.slowdown <= 0) {
            continue;
        }
        const auto kind = worker.failsAllRuns ? EndKind::Failed : ending(run.command);
        const auto ownTime = std::chrono::duration_cast<Duration>(duration(run.command.task) * worker.slowdown);
        const auto work = kind == EndKind::Done ? workTime(worker, run) : ownTime;
        if (m_now >= run.startedAt + (worker.failsAllRuns ? tick : work)) {
            end(worker, run, kind);
        }
    }
}

/// Returns the run time of a run. The members of a gang end together, when the slowest has done its work.
auto FakeFleet::workTime(const FakeWorker &worker, const Run &run) const -> Duration
{
    const auto &task = run.command.task;
    auto longest = std::chrono::duration_cast<Duration>(duration(task) * worker.slowdown);
    if (m_jobs.at(task.job.str()).steps[task.step].gang) {
        for (const auto &[name, other] : workers) {
            for (const auto &it : other.runs) {
                const bool sameRun = !it.end && it.command.task.job == task.job && it.command.run == run.command.run;
                longest =
                    sameRun ? std::max(longest, std::chrono::duration_cast<Duration>(duration(it.command.task) * other.slowdown)) : longest;
            }
        }
    }
    return longest;
}

auto FakeFleet::makeReport(const FakeWorker &worker) const -> WorkerReport
{
    WorkerReport report;
    report.incarnation = worker.info.incarnation;
    report.isComplete = worker.ends.size() < maxListedEnds;
    report.ended.assign(worker.ends.begin(),
                        worker.ends.begin() + static_cast<std::ptrdiff_t>(std::min(worker.ends.size(), maxListedEnds)));
    for (const auto &run : worker.runs) {
        if (!run.end) {
            const auto work = std::chrono::duration<double>(duration(run.command.task)).count() * worker.slowdown;
            const auto spent = std::chrono::duration<double>(m_now - run.startedAt).count();
            const auto percent = work > 0 ? std::min(spent / work * fullPercent, fullPercent) : 0.0;
            report.running.push_back({run.command.task, run.command.run, {}, static_cast<std::uint32_t>(percent)});
        }
    }
    return report;
}

auto FakeFleet::answerPoll(FakeWorker &worker) -> void
{
    if (!worker.pendingPoll || !worker.reachable) {
        return;
    }
    const auto [command, sentAt] = *worker.pendingPoll;
    const auto recorded = command.recordedEnds;
    const bool ended = std::any_of(worker.ends.begin(), worker.ends.end(), [&](const EndedTask &e) { return e.number > recorded; });
    if (!ended && m_now < sentAt + command.wait) {
        return;
    }
    worker.pendingPoll.reset();
    answer(worker, command, sentAt, worker.pendingPollAddressee);
}

auto FakeFleet::answer(FakeWorker &worker, const PollCommand &command, TimePoint sentAt, std::int64_t addressee) -> void
{
    acknowledgeEnds(worker, command.recordedEnds, addressee);
    if (worker.knownIncarnation < worker.info.incarnation) {
        worker.knownIncarnation = worker.info.incarnation;
        record("first-report worker=" + worker.info.name.str() + " life=" + std::to_string(worker.info.incarnation));
    }
    defer(responseDelay,
          [this, command, sentAt, report = makeReport(worker)] { m_dispatcher->pollAnswered(command, sentAt, report, m_now); });
}

auto FakeFleet::acknowledgeEnds(FakeWorker &worker, std::uint64_t number, std::int64_t addressee) -> void
{
    if (number > 0 && !worker.ends.empty() && worker.ends.front().number <= number) {
        std::string ends;
        for (const auto &it : worker.ends) {
            ends += it.number <= number ? " " + it.task.job.str() + " index=" + std::to_string(it.task.index) : std::string();
        }
        record("acknowledge worker=" + worker.info.name.str() + " n=" + std::to_string(number) + ends);
    }
    std::erase_if(worker.ends, [&](const EndedTask &e) { return e.number <= number; });
    for (auto &run : worker.runs) {
        if (!run.end || run.acknowledged || run.isForgotten || run.endNumber == 0 || run.endNumber > number) {
            continue;
        }
        run.acknowledged = true;
        run.acknowledgedToEarlierLife = addressee < worker.info.incarnation;
        if (run.end != EndKind::Done || run.lapsedBeforeAcknowledgement) {
            continue;
        }
        for (const auto &[name, other] : workers) {
            for (const auto &later : other.runs) {
                if (&later != &run && later.command.task == run.command.task && later.startedAt > run.endedAt) {
                    violation("an acknowledged end of " + run.command.task.job.str() + " before a later run");
                }
            }
        }
    }
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
