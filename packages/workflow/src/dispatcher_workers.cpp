#include "dispatcher_state.h"

#include <acaciarail/core/logging.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Acaciarail::Workflow {

namespace {

constexpr std::uint32_t fullPercent = 100;
/// Progress is extrapolated only from reports at least this far apart; over shorter spans the rounding to whole percents dominates.
constexpr Duration minProgressSpan = 800ms;
/// Least number of runs for the mean run time ratio of a zone. An estimate is wrong by up to half in either direction, the mean of this
/// many ratios only by a tenth.
constexpr std::uint64_t minRatioRuns = 12;
/// A zone counts as slow when its runs take this many times as long as in the fastest zone.
constexpr double slowZoneRatio = 1.15;
/// The members' rates of progress are compared once each has been reported this long after its start.
constexpr Duration minRateSpan = 300ms;
/// The run time of a task outside a gang is projected once its progress has been observed for this long.
constexpr Duration minSingleSpan = 700ms;
/// Least progress from which a worker's speed is derived; rounding to whole percents then changes it by a tenth at most.
constexpr std::uint32_t minSpeedPercent = 10;
/// Such a task is slow when the projected run time is more than this many times its estimate; estimates are wrong by up to half, and zones
/// differ by a third.
constexpr double maxEstimateError = 4.0;
/// Time that a restart takes beside the work itself: the stop, the record and the start.
constexpr Duration restartCost = 500ms;
/// Added to a task lease for the accuracy of the worker's timer and for network delay.
constexpr Duration leaseSlack = 300ms;
/// When a gang is done, a member whose end has not been reported after this long is stopped.
constexpr Duration gangEndWait = 1500ms;
/// Work on a draining worker is moved unless it is expected to end at least this long before the worker shuts down.
constexpr Duration drainMargin = 300ms;

auto workerDetail(const Worker &worker) -> std::string
{
    return "worker=" + worker.info.name.str();
}

auto isEqualForPlacement(const WorkerInfo &a, const WorkerInfo &b) -> bool
{
    return a.service == b.service && a.rack == b.rack && a.labels == b.labels && a.capacity == b.capacity && a.draining == b.draining;
}

/// Returns whether a changed entry of a listed worker is logged.
auto isChangeLogged(const WorkerInfo &a, const WorkerInfo &b) -> bool
{
    return a.service != b.service || a.rack != b.rack || a.labels != b.labels || a.draining != b.draining || a.incarnation != b.incarnation;
}

/// Returns the fields of a log line with the entry \a info of a worker in the list, each after a space, and with what it changes of the
/// worker's kind and life.
auto entryDetail(const Worker &worker, const WorkerInfo &info) -> std::string
{
    auto out = std::string(" state=") + (info.draining ? "draining" : "ready") + " service=" + quoteLogValue(info.service.str()) + " rack="
        + quoteLogValue(info.rack.str()) + " labels=" + labelsLogValue(info.labels) + " life=" + std::to_string(info.incarnation);
    const bool hasEarlierEntry = worker.listed || worker.info.incarnation != 0;
    if (hasEarlierEntry && worker.info.labels != info.labels) {
        out += " previous_labels=" + labelsLogValue(worker.info.labels);
    }
    if (hasEarlierEntry && worker.info.incarnation != info.incarnation) {
        out += " previous_life=" + std::to_string(worker.info.incarnation);
    }
    if (worker.incarnation != 0 && worker.incarnation != info.incarnation) {
        out += " reported_life=" + std::to_string(worker.incarnation);
    }
    return out;
}

auto noteUnansweredGrant(Worker &worker, const UnansweredGrant &grant) -> void
{
    if (!worker.unansweredGrant || worker.unansweredGrant->at <= grant.at) {
        worker.unansweredGrant = grant;
    }
}

} // namespace

auto knownKind(const Worker &worker) -> std::string
{
    return " service=" + quoteLogValue(worker.info.service.str()) + " labels=" + labelsLogValue(worker.info.labels)
        + " listed_life=" + std::to_string(worker.info.incarnation) + " life=" + std::to_string(worker.incarnation);
}

auto endKindName(EndKind kind) noexcept -> const char *
{
    constexpr std::array<const char *, 6> names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(kind));
}

auto startOutcomeName(StartOutcome outcome) noexcept -> const char *
{
    constexpr std::array<const char *, 10> names{"started", "fenced",   "superseded", "late",    "no-room",
                                                 "invalid", "declined", "other-life", "unknown", "not-sent"};
    return names.at(static_cast<std::size_t>(outcome));
}

auto minReportSpan(const Unit &unit) -> Duration
{
    return unit.members.size() > 1 ? minRateSpan : minSingleSpan;
}

auto remainingTime(const Unit &unit, const Member &member, TimePoint now) -> Duration
{
    const auto span = member.lastProgress - member.firstSeen;
    if (member.percent > member.firstPercent && span >= minProgressSpan) {
        const auto left = span * (fullPercent - member.percent) / (member.percent - member.firstPercent);
        return std::max(left - (now - member.lastProgress), Duration::zero());
    }
    return unit.step->estimate * (fullPercent - member.percent) / fullPercent;
}

auto Dispatcher::State::findOrCreateWorker(const WorkerName &name) -> Worker &
{
    auto &slot = workers[name];
    if (!slot) {
        slot = std::make_shared<Worker>();
        slot->info.name = name;
        unverifiedWorkers.insert(name);
    }
    return *slot;
}

auto Dispatcher::State::allocate(Unit &unit, Member &member) -> void
{
    member.worker->used += unit.demand();
    // An idle worker is polled at a longer interval; now its next poll is due at once.
    if (member.worker->units.empty()) {
        member.worker->nextPoll = std::min(member.worker->nextPoll, TimePoint{});
    }
    member.worker->units.push_back(&unit);
}

auto Dispatcher::State::releaseMember(Unit &unit, Member &member) -> void
{
    if (member.phase == MemberPhase::Ended) {
        return;
    }
    member.phase = MemberPhase::Ended;
    member.stopping = false;
    member.worker->used -= unit.demand();
    auto &list = member.worker->units;
    list.erase(std::find(list.begin(), list.end(), &unit));
    capacityChanged = true;
    changedJobs.insert(unit.id.job);
}

auto Dispatcher::State::findMember(Unit &unit, const Worker &worker, const TaskId &task) -> Member *
{
    const std::size_t i = unit.step->gang ? task.index : 0;
    // A worker that was removed from the list and is back is another object with the same name.
    const bool isItsMember = i < unit.members.size() && unit.members[i].worker && unit.members[i].worker->info.name == worker.info.name;
    return isItsMember ? &unit.members[i] : nullptr;
}

/// Returns the member that a run belongs to, or null when it is not of the unit's newest run.
auto Dispatcher::State::findCurrentMember(Unit *unit, const Worker &worker, const TaskId &task, std::uint32_t run) -> Member *
{
    return unit != nullptr && unit->record.run == run ? findMember(*unit, worker, task) : nullptr;
}

auto Dispatcher::workerListed(const WorkerInfo &info, TimePoint now) -> void
{
    auto &worker = m_state->findOrCreateWorker(info.name);
    if (!worker.listed || isChangeLogged(worker.info, info)) {
        m_state->emitEvent("worker-listed", {}, workerDetail(worker) + entryDetail(worker, info));
    }
    if (info.draining && !worker.info.draining) {
        worker.drainEnds = now + info.timeUntilShutdown;
    }
    if (!worker.listed) {
        worker.nextPoll = now;
    }
    if (!worker.listed || !isEqualForPlacement(worker.info, info)) {
        m_state->idleFits.clear();
    }
    worker.info = info;
    worker.evacuated = m_state->evacuatedZones.contains(info.zone);
    worker.coldUntil = info.coldTime > Duration::zero() ? now + info.coldTime : worker.coldUntil;
    worker.rack = m_state->rackNumbers.emplace(info.rack, m_state->rackNumbers.size()).first->second;
    worker.listed = true;
    m_state->capacityChanged = true;
    if (worker.incarnation != 0 && info.incarnation > worker.incarnation && !worker.earlierIncarnations.contains(info.incarnation)) {
        m_state->handleRestart(worker, info.incarnation, "list", now);
    }
}

auto Dispatcher::workerUnlisted(const WorkerName &name, TimePoint) -> void
{
    const auto it = m_state->workers.find(name);
    if (it != m_state->workers.end()) {
        it->second->listed = false;
        m_state->idleFits.clear();
        m_state->unverifiedWorkers.insert(name);
        m_state->emitEvent("worker-unlisted", {}, workerDetail(*it->second));
    }
}

/// Sets the incarnation from the first report of a worker. When it differs from that of the worker's entry, the service and the labels of
/// the entry may be those of another life.
auto Dispatcher::State::setFirstIncarnation(Worker &worker, std::int64_t incarnation, TimePoint now) const -> void
{
    worker.incarnation = incarnation;
    worker.incarnationKnownAt = now;
    if (worker.listed && worker.info.incarnation != 0 && worker.info.incarnation != incarnation) {
        emitEvent("worker-life-differs", {}, workerDetail(worker) + knownKind(worker));
    }
}

/// Handles the restart of a worker under its name. \a shownBy is `list` or `report`, whichever showed it first.
auto Dispatcher::State::handleRestart(Worker &worker, std::int64_t incarnation, std::string_view shownBy, TimePoint now) -> void
{
    const auto details = " shown_by=" + std::string(shownBy) + " previous_life=" + std::to_string(worker.incarnation);
    worker.earlierIncarnations.insert(std::exchange(worker.incarnation, incarnation));
    worker.incarnationKnownAt = now;
    worker.seenEnds = worker.batchEnds = worker.recordedEnds = 0;
    worker.orphanUsage = {};
    // It may be of another kind now.
    speeds.remove(worker.info.name);
    // A start command in transit may reach the new incarnation, so runs with an unanswered start are not treated as ended.
    markWorkerLost(worker, "worker-reborn", now, TimePoint::min(), details);
}

auto Dispatcher::pollAnswered(const PollCommand &command, TimePoint sentAt, const std::optional<WorkerReport> &report, TimePoint now,
                              bool maybeSent) -> void
{
    auto &s = *m_state;
    auto &worker = s.findOrCreateWorker(command.worker);
    const bool renews = command.lease > Duration::zero();
    (renews ? worker.renewalOutstanding : worker.pollOutstanding) = false;
    if (!report) {
        if (renews && maybeSent) {
            noteUnansweredGrant(worker, {sentAt, false});
        }
        ++worker.unansweredPolls;
        if (worker.unansweredPolls >= s.settings.unansweredPollLimit && !worker.unreachableSince) {
            worker.unreachableSince = sentAt;
            worker.pollRetryDelay = s.settings.pollRetryDelay;
            s.unverifiedWorkers.insert(command.worker);
            s.requestRunningList(now);
            s.emitEvent("worker-unreachable", {},
                        workerDetail(worker) + " units=" + std::to_string(worker.units.size()) + s.silenceDetail(worker, now));
            s.pollRackOf(worker, now);
        }
        worker.nextPoll = now;
        if (worker.unreachableSince) {
            worker.nextPoll += worker.pollRetryDelay;
            worker.pollRetryDelay = std::min(worker.pollRetryDelay * 2, s.settings.maxPollRetryDelay);
        }
        return;
    }
    if (renews) {
        worker.renewedAt = now;
        worker.leaseExtendedAt = std::max(worker.leaseExtendedAt, sentAt);
    }
    if (!s.processReport(worker, *report, sentAt, now)) {
        worker.nextPoll = now;
    } else if (worker.seenEnds > worker.recordedEnds) {
        worker.nextPoll = now + s.settings.stopRetryDelay;
    } else if (!renews) {
        const auto pause = std::chrono::duration_cast<Duration>(s.settings.idlePollInterval * s.intervalFactor());
        worker.nextPoll = worker.idlePoll && worker.units.empty() ? now + pause : now;
    }
}

auto Dispatcher::reportReceived(const WorkerName &name, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> void
{
    auto &worker = m_state->findOrCreateWorker(name);
    if (!m_state->processReport(worker, report, sentAt, now)) {
        worker.nextPoll = now;
    }
}

/// Returns whether the report comes from the present incarnation of the worker; of an earlier one, only work that is done counts.
auto Dispatcher::State::processReport(Worker &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> bool
{
    worker.unansweredPolls = 0;
    worker.absences = 0;
    worker.coldUntil = report.coldTime > Duration::zero() ? now + report.coldTime : worker.coldUntil;
    worker.lastReport = now;
    worker.nextRenewal = renewalTime(worker);
    if (worker.unreachableSince) {
        emitEvent("worker-reachable", {}, workerDetail(worker));
        capacityChanged = true;
        worker.unreachableSince.reset();
    }
    capacityChanged = capacityChanged || !worker.lastAnsweredPoll;
    worker.lastAnsweredPoll = std::max(sentAt, worker.lastAnsweredPoll.value_or(sentAt));
    if (worker.incarnation == 0) {
        setFirstIncarnation(worker, report.incarnation, now);
    } else if (worker.isLaterIncarnation(report.incarnation, sentAt)) {
        handleRestart(worker, report.incarnation, "report", now);
    } else if (report.incarnation != worker.incarnation) {
        // Its numbers of ends are not those of the present incarnation, and nothing that it lists as running still runs.
        for (const auto &it : report.ended) {
            if (auto *unit = findUnit(it.task)) {
                setBegun(*unit, now);
                processEarlierEnd(*unit, it, now);
            }
        }
        return false;
    }
    processRunning(worker, report, now);
    for (const auto &it : report.ended) {
        processEnd(worker, it, now);
    }
    processMissing(worker, report, sentAt, now);
    return true;
}

auto Dispatcher::State::processRunning(Worker &worker, const WorkerReport &report, TimePoint now) -> void
{
    worker.orphanUsage = {};
    for (const auto &it : report.running) {
        auto *unit = findUnit(it.task);
        if (unit != nullptr) {
            setBegun(*unit, now);
        }
        auto *member = findCurrentMember(unit, worker, it.task, it.run);
        if (member == nullptr || member->phase == MemberPhase::Ended) {
            if (unit != nullptr) {
                worker.orphanUsage += unit->demand();
            }
            orphanStops.push_back({worker.info.name, it.task, it.run});
            continue;
        }
        if (member->phase != MemberPhase::Running) {
            member->phase = MemberPhase::Running;
            member->firstSeen = now;
            member->firstPercent = it.percent;
            member->lastProgress = now;
            member->absenceConclusiveFrom.reset();
        } else if (it.percent > member->percent) {
            member->lastProgress = now;
        }
        member->percent = it.percent;
        member->lastReport = now;
        if (!it.checkpoint.empty() && it.checkpoint != member->checkpoint) {
            member->checkpoint = it.checkpoint;
            member->checkpointPercent = it.percent;
        }
    }
}

auto Dispatcher::State::processEnd(Worker &worker, const EndedTask &end, TimePoint now) -> void
{
    if (end.number <= worker.seenEnds) {
        return;
    }
    worker.seenEnds = end.number;
    workersWithUnrecordedEnds.insert(worker.shared_from_this());
    auto *unit = findUnit(end.task);
    if (unit == nullptr) {
        return;
    }
    setBegun(*unit, now);
    if (unit->record.run != end.run) {
        processEarlierEnd(*unit, end, now);
        return;
    }
    auto *member = findMember(*unit, worker, end.task);
    if (member == nullptr) {
        // The run was given up, and none has been assigned since.
        processEarlierEnd(*unit, end, now);
        return;
    }
    switch (auto &gathered = gatheredEnds[end.task.job]; end.kind) {
    case EndKind::Done:
        ++gathered.done;
        break;
    case EndKind::Stopped:
        ++gathered.stopped;
        break;
    case EndKind::GangFailed:
        ++gathered.broken;
        break;
    default:
        // Ends that explain why a job is late or failed are logged one by one.
        emitEvent("run-ended", end.task.job,
                  workerDetail(worker) + " step=" + std::to_string(end.task.step) + " index=" + std::to_string(end.task.index)
                      + " run=" + std::to_string(end.run) + " how=" + endKindName(end.kind));
    }
    releaseMember(*unit, *member);
    if (!end.checkpoint.empty() && unit->stage == UnitStage::Active) {
        unit->record.checkpoint = end.checkpoint;
        dirtyUnits.insert(unit);
    }
    if (end.kind == EndKind::Done && !unit->step->longRunning) {
        recordRunTimeRatio(*unit, now);
        setDone(*unit, now);
        for (auto &it : unit->members) {
            it.absenceConclusiveFrom = now;
        }
        return;
    }
    if (end.kind == EndKind::Failed && unit->stage == UnitStage::Active) {
        worker.avoidUntil = now + settings.avoidTime;
        if (unit->record.failedRun < end.run) {
            unit->record.failedRun = end.run;
            ++unit->record.failures;
            dirtyUnits.insert(unit);
        }
    }
    stopUnit(*unit, endKindName(end.kind));
    requeueIfEnded(*unit, now);
}

auto Dispatcher::State::processEarlierEnd(Unit &unit, const EndedTask &end, TimePoint now) -> void
{
    // A run that was given up has done the work anyway; nothing may start after its end is acknowledged.
    if (end.kind != EndKind::Done || unit.stage == UnitStage::Done || unit.step->longRunning) {
        return;
    }
    emitEvent("run-ended-late", end.task.job,
              "step=" + std::to_string(end.task.step) + " index=" + std::to_string(end.task.index) + " run=" + std::to_string(end.run)
                  + " newest_run=" + std::to_string(unit.record.run));
    cancelReservation(unit);
    stopUnit(unit, "done-by-an-earlier-run");
    setDone(unit, now);
}

auto Dispatcher::State::processMissing(Worker &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> void
{
    worker.hasUnlistedEnds = !report.isComplete;
    if (!report.isComplete) {
        // A run that is not listed may have ended as done; its end is listed once those before it are acknowledged.
        emitEvent("report-incomplete", {},
                  workerDetail(worker) + " running=" + std::to_string(report.running.size())
                      + " ended=" + std::to_string(report.ended.size()) + " units=" + std::to_string(worker.units.size()));
        return;
    }
    const auto units = worker.units;
    for (auto *unit : units) {
        for (std::uint32_t i = 0; i < unit->members.size(); ++i) {
            auto &member = unit->members[i];
            const bool sent =
                member.phase != MemberPhase::Planned && member.phase != MemberPhase::Ended && member.phase != MemberPhase::Starting;
            if (member.worker.get() != &worker || !sent) {
                continue;
            }
            const auto task = unit->task(i);
            const bool listed = std::any_of(report.running.begin(), report.running.end(),
                                            [&](const RunningTask &r) { return r.task == task && r.run == unit->record.run; });
            if (listed) {
                continue;
            }
            if (member.absenceConclusiveFrom && sentAt >= *member.absenceConclusiveFrom) {
                releaseMember(*unit, member);
                stopUnit(*unit, "not-running");
            } else if (!member.absenceConclusiveFrom && sentAt > member.startedAt) {
                // The stop makes sure that the run does not start later.
                requestStop(*unit, member);
                stopUnit(*unit, "not-running");
            }
        }
        requeueIfEnded(*unit, now);
    }
}

auto Dispatcher::startAnswered(const StartCommand &command, StartOutcome outcome, TimePoint now) -> void
{
    auto &s = *m_state;
    auto &worker = s.findOrCreateWorker(command.worker);
    auto *unit = s.findUnit(command.task);
    auto *member = s.findCurrentMember(unit, worker, command.task, command.run);
    const bool repeats = outcome == StartOutcome::Unknown && member != nullptr && member->phase == MemberPhase::Starting && !unit->ending
        && member->unansweredStarts + 1 < s.settings.maxStartAttempts;
    if (repeats) {
        ++member->unansweredStarts;
        s.emitEvent("start-repeated", command.task.job,
                    workerDetail(worker) + " step=" + std::to_string(command.task.step) + " index=" + std::to_string(command.task.index)
                        + " run=" + std::to_string(command.run) + " attempt=" + std::to_string(member->unansweredStarts + 1)
                        + requiredLabelField(unit->step->requiredLabel) + knownKind(worker));
    } else if (outcome != StartOutcome::Started) {
        s.emitEvent("start-refused", command.task.job,
                    workerDetail(worker) + " step=" + std::to_string(command.task.step) + " index=" + std::to_string(command.task.index)
                        + " run=" + std::to_string(command.run) + " outcome=" + startOutcomeName(outcome));
    }
    if (outcome == StartOutcome::NotSent && member != nullptr) {
        if (const auto obstacle = startObstacle(worker, *unit)) {
            s.reportIneligibleStart(*unit, command.task, worker, *obstacle);
        }
    }
    if (outcome == StartOutcome::Unknown) {
        noteUnansweredGrant(worker, {now, true});
    }
    if (outcome == StartOutcome::OtherIncarnation) {
        // Nothing more is placed on the worker until a poll has shown what it is now.
        worker.lastAnsweredPoll.reset();
        worker.nextPoll = now;
        worker.avoidUntil = std::max(worker.avoidUntil, now + s.settings.declineAvoidTime);
    }
    if (outcome == StartOutcome::Started) {
        if (unit != nullptr) {
            s.setBegun(*unit, now);
        }
        worker.renewedAt = now;
        // A repeated start that finds its run started already extends nothing.
        if (member != nullptr && member->phase == MemberPhase::Starting && member->unansweredStarts == 0) {
            worker.leaseExtendedAt = std::max(worker.leaseExtendedAt, member->startedAt);
        }
        // A worker that was idle has nothing else to report yet.
        if (worker.units.size() <= 1) {
            worker.lastReport = now;
        }
        worker.nextRenewal = s.renewalTime(worker);
    }
    if (member == nullptr || member->phase != MemberPhase::Starting) {
        return;
    }
    if (outcome == StartOutcome::Started) {
        member->phase = MemberPhase::Running;
        member->startedAt = now;
        member->firstSeen = now;
        member->lastProgress = now;
        return;
    }
    if (repeats) {
        member->startedAt = now;
        s.pendingStarts.push_back(command);
        return;
    }
    if (outcome == StartOutcome::Unknown || member->unansweredStarts > 0) {
        // A refusal applies only to the command that it answers; an earlier command without a response may have started the run.
        member->phase = MemberPhase::Unknown;
        member->startedAt = now;
        s.requestStop(*unit, *member);
        s.stopUnit(*unit, "start-unanswered");
        return;
    }
    const bool countsAsFailure =
        outcome == StartOutcome::InsufficientCapacity || outcome == StartOutcome::Declined || outcome == StartOutcome::Invalid;
    if (countsAsFailure) {
        worker.avoidUntil = std::max(worker.avoidUntil, now + s.settings.declineAvoidTime);
    }
    s.releaseMember(*unit, *member);
    s.stopUnit(*unit, startOutcomeName(outcome));
    s.requeueIfEnded(*unit, now);
}

auto Dispatcher::stopAnswered(const StopCommand &command, bool answered, TimePoint now) -> void
{
    auto &s = *m_state;
    auto *member = s.findCurrentMember(s.findUnit(command.task), s.findOrCreateWorker(command.worker), command.task, command.run);
    if (member == nullptr) {
        return;
    }
    if (!answered) {
        member->stopSentAt = {};
        return;
    }
    if (!member->absenceConclusiveFrom && member->phase != MemberPhase::Ended) {
        // From now on the worker refuses to start this run, and if it is running, ends it within its stop time.
        member->absenceConclusiveFrom = now;
    }
}

auto Dispatcher::State::recordRunTimeRatio(const Unit &unit, TimePoint now) -> void
{
    // The time of a run that started from a checkpoint, or was taken over from an earlier holder, is not that of the whole work.
    const bool completeRun = unit.stage == UnitStage::Active && unit.record.checkpoint.empty() && unit.runStartedAt > latestPreviousGrant;
    if (!completeRun || unit.step->estimate <= Duration::zero()) {
        return;
    }
    // A record may name fewer workers than the gang has tasks.
    const auto &first = unit.members.front().worker;
    const bool oneZone = std::all_of(unit.members.begin(), unit.members.end(), [&](const Member &m) {
        return m.worker && m.worker->info.zone == first->info.zone && m.worker->coldUntil <= unit.runStartedAt;
    });
    if (oneZone) {
        auto &ratio = zoneRunTimeRatios[first->info.zone];
        ratio.sum += std::chrono::duration<double>(now - unit.runStartedAt) / std::chrono::duration<double>(unit.step->estimate);
        ++ratio.runs;
    }
}

auto Dispatcher::State::slowZones() const -> std::set<ZoneName>
{
    std::set<ZoneName> out;
    double best = 0;
    for (const auto &[zone, ratio] : zoneRunTimeRatios) {
        best = ratio.runs >= minRatioRuns && (best <= 0 || ratio.mean() < best) ? ratio.mean() : best;
    }
    for (const auto &[zone, ratio] : zoneRunTimeRatios) {
        if (ratio.runs >= minRatioRuns && ratio.mean() > best * slowZoneRatio) {
            out.insert(zone);
        }
    }
    return out;
}

auto Dispatcher::State::leaseBound(const Worker &worker) const -> LeaseBound
{
    const auto lease = std::chrono::duration_cast<Duration>(settings.taskLease * (1.0 + settings.workerClockDrift)) + leaseSlack;
    LeaseBound out{latestPreviousGrant + lease, "earlier-holder"};
    const auto extend = [&](TimePoint grantedAt, std::string_view source) {
        if (grantedAt + lease > out.expiry) {
            out = {grantedAt + lease, source};
        }
    };
    if (worker.renewedAt) {
        extend(*worker.renewedAt, "answered-command");
    }
    if (worker.unansweredGrant) {
        extend(worker.unansweredGrant->at + settings.maxCommandDelay,
               worker.unansweredGrant->isStart ? "unanswered-start" : "unanswered-renewal");
    }
    for (const auto *unit : worker.units) {
        for (const auto &it : unit->members) {
            const bool startUnanswered = it.phase == MemberPhase::Starting || it.phase == MemberPhase::Unknown;
            if (startUnanswered && it.worker.get() == &worker) {
                extend(it.startedAt + settings.maxCommandDelay, "unanswered-start");
            }
        }
    }
    return out;
}

/// Returns the fields of a log line about a worker that does not respond, each after a space: how long it has been silent, the command that
/// bounds the lease of its runs, and how long they may go on.
auto Dispatcher::State::silenceDetail(const Worker &worker, TimePoint now) const -> std::string
{
    const auto bound = leaseBound(worker);
    auto out = " bound_by=" + std::string(bound.source) + " lease_left_ms=" + std::to_string(toMilliseconds(bound.expiry - now).count());
    if (worker.lastReport != TimePoint{}) {
        out += " silent_ms=" + std::to_string(toMilliseconds(now - worker.lastReport).count());
    }
    return out;
}

namespace {

/// Returns whether a run may still start on a worker that has ended: its start was sent after \a settledUntil and has not been answered.
auto mayStillStart(const Member &member, TimePoint settledUntil) -> bool
{
    return (member.phase == MemberPhase::Starting || member.phase == MemberPhase::Unknown) && member.startedAt > settledUntil;
}

} // namespace

/// Treats the runs on a worker as ended, except for those whose start was sent after \a startsSettledUntil and has not been answered.
auto Dispatcher::State::markWorkerLost(Worker &worker, std::string_view reason, TimePoint now, TimePoint startsSettledUntil,
                                       const std::string &details) -> void
{
    DispatchEvent event{reason, {}, workerDetail(worker) + " units=" + std::to_string(worker.units.size()) + details + knownKind(worker)};
    if (!worker.units.empty() && worker.lastReport != TimePoint{}) {
        event.silence = now - worker.lastReport;
    }
    observe(event);
    const auto units = worker.units;
    for (auto *unit : units) {
        for (auto &member : unit->members) {
            const bool spared = member.phase == MemberPhase::Planned || mayStillStart(member, startsSettledUntil);
            if (member.worker.get() == &worker && !spared) {
                releaseMember(*unit, member);
            }
        }
        stopUnit(*unit, reason);
        requeueIfEnded(*unit, now);
    }
}

auto Dispatcher::workerReplaced(const PollCommand &command, TimePoint now) -> void
{
    auto &worker = m_state->findOrCreateWorker(command.worker);
    if (!worker.units.empty()) {
        m_state->markWorkerLost(worker, "worker-replaced", now);
    }
}

/// Returns whether markWorkerLost() would treat any run on a worker as ended.
auto Dispatcher::State::hasEndedRuns(const Worker &worker, TimePoint startsSettledUntil) const -> bool
{
    return std::any_of(worker.units.begin(), worker.units.end(), [&](const Unit *unit) {
        return std::any_of(unit->members.begin(), unit->members.end(), [&](const Member &m) {
            const bool assigned = m.phase != MemberPhase::Planned && m.phase != MemberPhase::Ended;
            return m.worker.get() == &worker && assigned && !mayStillStart(m, startsSettledUntil);
        });
    });
}

/// Asks for the list of running workers as soon as the least pause since the last request has passed.
auto Dispatcher::State::requestRunningList(TimePoint now) -> void
{
    runningListPause = settings.runningListInterval;
    nextRunningList = std::min(nextRunningList, std::max(now, runningListAskedAt + runningListPause));
}

/// Returns whether work waits for a worker that does not respond. One that has crashed or left differs from one that is only cut off by the
/// list alone, and its work would wait until its lease has expired.
auto Dispatcher::State::needsRunningList() const -> bool
{
    return std::any_of(unverifiedWorkers.begin(), unverifiedWorkers.end(), [this](const WorkerName &name) {
        const auto &worker = *workers.at(name);
        return worker.unreachableSince && !worker.units.empty();
    });
}

/// Returns whether a list names at least half of the workers that respond. Otherwise it may be outdated, or that of another fleet.
auto Dispatcher::State::isCredible(const std::set<WorkerName> &running) const -> bool
{
    std::size_t responding = 0;
    std::size_t named = 0;
    for (const auto &[name, worker] : workers) {
        if (worker->listed && worker->lastAnsweredPoll && !worker->unreachableSince) {
            ++responding;
            named += running.contains(name) ? 1 : 0;
        }
    }
    return named * 2 >= responding;
}

auto Dispatcher::runningWorkersListed(const std::optional<RunningWorkers> &running, TimePoint askedAt, TimePoint now) -> void
{
    auto &s = *m_state;
    s.runningListOutstanding = false;
    const auto pause = s.runningListPause;
    s.runningListPause = std::min(pause * 2, s.settings.maxRunningListInterval);
    s.nextRunningList = now + pause;
    if (!running) {
        return;
    }
    if (!s.isCredible(running->workers)) {
        s.emitEvent("running-list-ignored", {}, "workers=" + std::to_string(running->workers.size()));
        return;
    }
    for (const auto &name : s.unverifiedWorkers) {
        auto &worker = *s.workers.at(name);
        // A list that was asked for earlier may be older than the worker.
        if (!worker.unreachableSince || *worker.unreachableSince > askedAt || worker.units.empty()) {
            continue;
        }
        worker.absences = running->workers.contains(name) ? 0 : worker.absences + 1;
        // A start that has not been answered might still be carried out by the next incarnation of the worker, if there can be one.
        const bool mayReturn = worker.info.machine.empty() || running->machines.contains(worker.info.machine);
        const auto startsSettledUntil = mayReturn ? now - s.settings.maxCommandDelay : TimePoint::max();
        if (worker.absences < s.settings.absencesUntilEnded) {
            s.nextRunningList = worker.absences > 0 ? now + s.settings.runningListInterval : s.nextRunningList;
        } else if (s.hasEndedRuns(worker, startsSettledUntil)) {
            s.markWorkerLost(worker, "worker-ended", now, startsSettledUntil, s.silenceDetail(worker, now));
        }
    }
}

auto Dispatcher::State::expireWorkers(TimePoint now) -> void
{
    for (auto name = unverifiedWorkers.begin(); name != unverifiedWorkers.end();) {
        const auto it = workers.find(*name);
        auto &w = *it->second;
        const bool noContact = w.unreachableSince || (!w.lastAnsweredPoll && !w.listed);
        // A worker that has announced its shutdown, is not listed and does not answer may be cut off and run on.
        if (noContact && !w.units.empty() && now > leaseBound(w).expiry) {
            markWorkerLost(w, "worker-lost", now, TimePoint::max(), silenceDetail(w, now));
        }
        const bool removable =
            !w.listed && w.units.empty() && !w.pollOutstanding && !w.renewalOutstanding && w.reservedCapacity == Demand{};
        const bool verified = w.listed && !w.unreachableSince;
        if (removable) {
            speeds.remove(*name);
            workersWithUnrecordedEnds.erase(it->second);
            workersWithEndsInBatch.erase(it->second);
            workers.erase(it);
        }
        name = removable || verified ? unverifiedWorkers.erase(name) : std::next(name);
    }
}

auto Dispatcher::State::checkProgress(TimePoint now) -> void
{
    for (auto &[name, worker] : workers) {
        if (!worker->schedulable() && !worker->info.draining && !worker->evacuated) {
            continue;
        }
        const auto units = worker->units;
        for (auto *unit : units) {
            if (unit->stage == UnitStage::Done) {
                for (auto &it : unit->members) {
                    if (it.absenceConclusiveFrom && now > *it.absenceConclusiveFrom + gangEndWait) {
                        requestStop(*unit, it);
                    }
                }
                continue;
            }
            if (unit->stage != UnitStage::Active || unit->ending || unit->step->longRunning) {
                continue;
            }
            const auto limit = std::max(settings.stallTimeout, unit->step->estimate / 4);
            for (auto &it : unit->members) {
                // A member that has finished waits for the slowest of its gang.
                const bool finished = it.percent >= fullPercent;
                // Time without a report does not count as time without progress.
                const bool stalled = it.phase == MemberPhase::Running && !finished && it.lastReport >= it.lastProgress + limit
                    && !it.worker->unreachableSince;
                if (it.worker == worker && stalled) {
                    const auto sinceProgress = toMilliseconds(now - it.lastProgress);
                    emitEvent("run-stalled", unit->id.job,
                              workerDetail(*worker) + " run=" + std::to_string(unit->record.run) + " percent=" + std::to_string(it.percent)
                                  + " quiet_ms=" + std::to_string(sinceProgress.count()));
                    worker->avoidUntil = now + settings.avoidTime;
                    stopUnit(*unit, "no-progress");
                    break;
                }
            }
        }
    }
}

auto Dispatcher::State::restartSlowSingle(Unit &unit, TimePoint now) -> void
{
    if (unit.stage != UnitStage::Active || unit.ending || unit.members.size() != 1 || unit.step->longRunning
        || unit.step->estimate <= Duration::zero() || unit.job->policy.priority != 0
        || unit.slowRestarts >= settings.maxSlowSingleRestarts) {
        return;
    }
    const auto &member = unit.members.front();
    const auto span = member.lastReport - member.firstSeen;
    if (member.phase != MemberPhase::Running || span < minSingleSpan || member.percent >= fullPercent) {
        return;
    }
    const auto projectedTime = std::chrono::duration<double>(span) * fullPercent / std::max(member.percent - member.firstPercent, 1U);
    if (projectedTime > std::chrono::duration<double>(unit.step->estimate) * maxEstimateError) {
        member.worker->avoidUntil = now + settings.avoidTime;
        emitEvent("run-slow", unit.id.job,
                  workerDetail(*member.worker) + " run=" + std::to_string(unit.record.run) + " percent=" + std::to_string(member.percent));
        ++unit.slowRestarts;
        stopUnit(unit, "slow-worker");
    }
}

auto Dispatcher::State::restartSlowRuns(TimePoint now) -> void
{
    // The rate that the member would have on a worker of usual speed.
    const auto rate = [this](const Member &m) {
        const auto span = std::chrono::duration<double>(m.lastReport - m.firstSeen).count();
        return span > 0 ? (m.percent - m.firstPercent) / span / speeds.speed(m.worker->info.name).value_or(1.0) : 0.0;
    };
    for (auto &[id, job] : jobs) {
        for (auto &[key, unit] : job->units) {
            restartSlowSingle(*unit, now);
            const bool comparable = unit->stage == UnitStage::Active && !unit->ending && unit->members.size() > 1
                && !unit->step->longRunning && unit->slowRestarts < settings.maxSlowGangRestarts
                && std::all_of(unit->members.begin(), unit->members.end(), [](const Member &m) {
                                        return m.phase == MemberPhase::Running && m.lastReport >= m.firstSeen + minRateSpan;
                                    });
            if (!comparable) {
                continue;
            }
            std::vector<double> rates;
            for (const auto &it : unit->members) {
                rates.push_back(rate(it));
            }
            auto sorted = rates;
            std::sort(sorted.begin(), sorted.end());
            // The rate of a finished member falls with time, which can only lower the median.
            const auto medianRate = sorted[sorted.size() / 2];
            const auto slowest = static_cast<std::size_t>(std::min_element(rates.begin(), rates.end()) - rates.begin());
            if (medianRate <= 0 || rates[slowest] >= medianRate * settings.slowRatio || unit->members[slowest].percent >= fullPercent) {
                continue;
            }
            if (unit->slowMember == slowest) {
                // It lags on another worker as well, so its task has more work than the others.
                continue;
            }
            const auto saved = unit->step->checkpoints ? unit->members[slowest].checkpointPercent : 0U;
            const auto restartTime = (fullPercent - saved) / medianRate + std::chrono::duration<double>(restartCost).count();
            const auto left = (fullPercent - unit->members[slowest].percent) / std::max(rates[slowest], 0.1);
            for (std::size_t i = 0; i < rates.size(); ++i) {
                if (rates[i] < medianRate * settings.slowRatio && unit->members[i].percent < fullPercent) {
                    unit->members[i].worker->avoidUntil = now + settings.avoidTime;
                }
            }
            if (left > restartTime * settings.minRestartSpeedup) {
                emitEvent("run-slow", unit->id.job,
                          workerDetail(*unit->members[slowest].worker) + " run=" + std::to_string(unit->record.run)
                              + " percent=" + std::to_string(unit->members[slowest].percent) + " left_s=" + std::to_string(left)
                              + " again_s=" + std::to_string(restartTime));
                ++unit->slowRestarts;
                unit->slowMember = static_cast<std::uint32_t>(slowest);
                stopUnit(*unit, "slow-worker");
            }
        }
    }
}

/// Compares the progress of tasks with equal work, and determines which workers are slow.
auto Dispatcher::State::learnSpeeds(TimePoint now) -> void
{
    if (now < nextSpeedUpdate) {
        return;
    }
    nextSpeedUpdate = now + settings.speedUpdateInterval;
    std::vector<ProgressSample> siblings;
    const auto addSample = [&](Unit &unit, std::size_t index) {
        const auto &m = unit.members[index];
        const auto span = std::chrono::duration<double>(m.lastReport - m.firstSeen);
        if (m.phase == MemberPhase::Running && m.percent < fullPercent && m.percent >= m.firstPercent + minSpeedPercent
            && m.lastReport >= m.firstSeen + minRateSpan) {
            unit.progressId = unit.progressId == 0 ? ++lastProgressId : unit.progressId;
            siblings.push_back({m.worker->info.name, {unit.progressId, index}, (m.percent - m.firstPercent) / span.count()});
        }
    };
    for (const auto &[id, job] : jobs) {
        std::optional<std::pair<std::uint32_t, std::uint32_t>> step;
        for (const auto &[key, unit] : job->units) {
            if (step != std::pair(key.occurrence, key.step)) {
                speeds.observe(std::exchange(siblings, {}));
                step.emplace(key.occurrence, key.step);
            }
            if (unit->stage == UnitStage::Active && !unit->ending && !unit->step->longRunning) {
                for (std::size_t i = 0; i < unit->members.size(); ++i) {
                    addSample(*unit, i);
                }
            }
        }
        speeds.observe(std::exchange(siblings, {}));
    }
    updateSlowness(now);
}

/// Determines how slow each worker is beside the others of its service. One whose speed is not known is as slow as most.
auto Dispatcher::State::updateSlowness(TimePoint now) -> void
{
    std::map<ServiceName, std::vector<double>> speedsByService;
    for (const auto &[name, worker] : workers) {
        if (const auto speed = speeds.speed(name)) {
            speedsByService[worker->info.service].push_back(*speed);
        }
    }
    struct Scale
    {
        double fastest = 1.0;
        double typical = 1.0;
    };
    std::map<ServiceName, Scale> scales;
    for (auto &[service, values] : speedsByService) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        scales[service] = {fastestSpeed(values), *middle};
    }
    std::vector<std::uint32_t> levels;
    for (auto &[name, worker] : workers) {
        const auto scale = scales.find(worker->info.service);
        worker->slowness =
            scale == scales.end() ? 0 : slownessOf(speeds.speed(name).value_or(scale->second.typical), scale->second.fastest);
        levels.push_back(worker->slowness);
    }
    if (!levels.empty()) {
        const auto middle = levels.begin() + static_cast<std::ptrdiff_t>(levels.size() / 2);
        std::nth_element(levels.begin(), middle, levels.end());
        typicalSlowness = *middle;
    }
    const auto fast = static_cast<std::size_t>(
        std::count_if(levels.begin(), levels.end(), [this](std::uint32_t level) { return level < typicalSlowness; }));
    if (fastWorkers != fast && now >= nextSpeedLog) {
        nextSpeedLog = now + settings.speedLogInterval;
        emitEvent("worker-speeds", {}, "workers=" + std::to_string(levels.size()) + " fast=" + std::to_string(fast));
    }
    fastWorkers = fast;
}

auto Dispatcher::State::stopRunsOnDrainingWorkers(TimePoint now) -> void
{
    for (auto &[name, worker] : workers) {
        if (!worker->info.draining) {
            continue;
        }
        const auto units = worker->units;
        for (auto *unit : units) {
            for (const auto &it : unit->members) {
                const bool affected = it.worker == worker && it.phase == MemberPhase::Running && !unit->ending;
                if (affected && now + remainingTime(*unit, it, now) + drainMargin > worker->drainEnds) {
                    stopUnit(*unit, "worker-draining");
                }
            }
        }
    }
}

} // namespace Acaciarail::Workflow
