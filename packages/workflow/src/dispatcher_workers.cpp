#include "dispatcher_state.h"

#include <algorithm>
#include <array>

namespace Acaciarail::Workflow {

namespace {

constexpr std::uint32_t fullPercent = 100;
/// Progress is extrapolated only from reports at least this far apart; shorter spans are dominated by rounding to whole percents.
constexpr Duration minProgressSpan = 800ms;
/// Estimates are off by half in either direction; the mean of this many is off by a tenth.
constexpr std::uint64_t minPaceRuns = 12;
/// A zone counts as slow when its runs take this many times as long as in the fastest zone.
constexpr double slowZoneRatio = 1.15;
/// Rates of members are compared once each was reported this long after its start.
constexpr Duration minRateSpan = 300ms;
/// A task without siblings is slow when its progress, over this long, ...
constexpr Duration minSingleSpan = 700ms;
/// ... points to a run this many times its estimate; estimates are off by half and zones by a third.
constexpr double maxEstimateError = 4.0;
/// Time that a restart takes beside the work: the stop, the record and the start.
constexpr Duration restartCost = 500ms;
/// Added to the end of a lease for the worker's timer and the way there.
constexpr Duration leaseSlack = 300ms;
/// A worker that said it would leave, is no longer listed and does not answer for this long has left.
constexpr Duration leftAfter = 1s;
/// A member that the other members' end covers is stopped when the worker does not list its end by then.
constexpr Duration gangEndWait = 1500ms;
/// Work that would end this close to a draining worker's departure is moved.
constexpr Duration drainMargin = 300ms;

auto workerDetail(const Worker &worker) -> std::string
{
    return "worker=" + worker.info.name.str();
}

} // namespace

auto endKindName(EndKind kind) noexcept -> const char *
{
    constexpr std::array<const char *, 6> names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(kind));
}

auto startOutcomeName(StartOutcome outcome) noexcept -> const char *
{
    constexpr std::array<const char *, 9> names{"started", "fenced",   "superseded", "late",   "no-room",
                                                "invalid", "declined", "other-life", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
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

auto Dispatcher::State::worker(const WorkerName &name) -> Worker &
{
    auto &slot = workers[name];
    if (!slot) {
        slot = std::make_unique<Worker>();
        slot->info.name = name;
        doubtfulWorkers.insert(name);
    }
    return *slot;
}

auto Dispatcher::State::occupy(Unit &unit, Member &member) -> void
{
    member.worker->used += unit.demand();
    member.worker->units.push_back(&unit);
    // A worker that ran nothing is looked at rarely.
    member.worker->nextLook = std::min(member.worker->nextLook, TimePoint{});
}

auto Dispatcher::State::leave(Unit &unit, Member &member) -> void
{
    if (member.phase == MemberPhase::Gone) {
        return;
    }
    member.phase = MemberPhase::Gone;
    member.stopping = false;
    member.worker->used -= unit.demand();
    auto &list = member.worker->units;
    list.erase(std::find(list.begin(), list.end(), &unit));
    roomChanged = true;
    changedJobs.insert(unit.id.job);
}

auto Dispatcher::State::memberOn(Unit &unit, const Worker &worker, const TaskId &task) -> Member *
{
    const std::size_t i = unit.step->gang ? task.index : 0;
    return i < unit.members.size() && unit.members[i].worker == &worker ? &unit.members[i] : nullptr;
}

/// Returns the member that a run belongs to, when it is of the unit's newest run.
auto Dispatcher::State::memberOf(Unit *unit, const Worker &worker, const TaskId &task, std::uint32_t run) -> Member *
{
    return unit != nullptr && unit->record.run == run ? memberOn(*unit, worker, task) : nullptr;
}

auto Dispatcher::workerListed(const WorkerInfo &info, TimePoint now) -> void
{
    auto &worker = m_state->worker(info.name);
    if (!worker.listed || worker.info.draining != info.draining) {
        m_state->event("worker-listed", {}, workerDetail(worker) + " state=" + (info.draining ? "draining" : "ready"));
    }
    if (info.draining && !worker.info.draining) {
        worker.drainEnds = now + info.remaining;
    }
    if (!worker.listed) {
        worker.nextLook = now;
    }
    worker.info = info;
    worker.rack = m_state->rackNumbers.emplace(info.rack, m_state->rackNumbers.size()).first->second;
    worker.listed = true;
    m_state->roomChanged = true;
    if (worker.incarnation != 0 && info.incarnation > worker.incarnation) {
        m_state->reborn(worker, info.incarnation, now);
    }
}

auto Dispatcher::workerUnlisted(const WorkerName &name, TimePoint) -> void
{
    const auto it = m_state->workers.find(name);
    if (it != m_state->workers.end()) {
        it->second->listed = false;
        m_state->doubtfulWorkers.insert(name);
        m_state->event("worker-unlisted", {}, workerDetail(*it->second));
    }
}

auto Dispatcher::State::reborn(Worker &worker, std::int64_t incarnation, TimePoint now) -> void
{
    worker.incarnation = incarnation;
    worker.seenEnds = worker.batchEnds = worker.recordedEnds = 0;
    worker.strays = {};
    // An order that is still on its way reaches the new life.
    giveUpWorker(worker, "worker-reborn", now, true);
}

auto Dispatcher::pollAnswered(const PollCommand &order, TimePoint sentAt, const std::optional<WorkerReport> &report, TimePoint now) -> void
{
    auto &s = *m_state;
    auto &worker = s.worker(order.worker);
    const bool extends = order.lease > Duration::zero();
    (extends ? worker.extensionOutstanding : worker.lookOutstanding) = false;
    if (!report) {
        if (extends) {
            worker.unansweredGrant = worker.unansweredGrant.value_or(sentAt);
        }
        ++worker.unansweredLooks;
        if (worker.unansweredLooks >= s.settings.unansweredPollLimit && !worker.failingSince) {
            worker.failingSince = sentAt;
            s.doubtfulWorkers.insert(order.worker);
            s.event("worker-unreachable", {}, workerDetail(worker));
        }
        worker.nextLook = worker.failingSince ? now + s.settings.pollRetryDelay : now;
        return;
    }
    worker.unansweredLooks = 0;
    if (extends) {
        worker.extendedAt = now;
        worker.nextExtension = now + s.extensionPace(worker, now);
    }
    if (worker.failingSince) {
        s.event("worker-reachable", {}, workerDetail(worker));
        s.roomChanged = true;
        worker.failingSince.reset();
    }
    worker.unansweredGrant.reset();
    s.roomChanged = s.roomChanged || !worker.answeredAt;
    worker.answeredAt = std::max(sentAt, worker.answeredAt.value_or(sentAt));
    if (worker.incarnation == 0) {
        worker.incarnation = report->incarnation;
    } else if (report->incarnation > worker.incarnation) {
        s.reborn(worker, report->incarnation, now);
    } else if (report->incarnation < worker.incarnation) {
        worker.nextLook = now;
        return;
    }
    s.processRunning(worker, *report, now);
    for (const auto &it : report->ended) {
        s.processEnd(worker, it, now);
    }
    s.processMissing(worker, *report, sentAt, now);
    if (worker.seenEnds > worker.recordedEnds) {
        worker.nextLook = now + s.settings.stopRetryDelay;
    } else if (!extends) {
        const auto pause = std::chrono::duration_cast<Duration>(s.settings.idlePollInterval * s.fleetFactor());
        worker.nextLook = worker.idleLook && worker.units.empty() ? now + pause : now;
    }
}

auto Dispatcher::State::processRunning(Worker &worker, const WorkerReport &report, TimePoint now) -> void
{
    worker.strays = {};
    for (const auto &it : report.running) {
        auto *unit = findUnit(it.task);
        auto *member = memberOf(unit, worker, it.task, it.run);
        if (member == nullptr || member->phase == MemberPhase::Gone) {
            if (unit != nullptr) {
                worker.strays += unit->demand();
            }
            strayStops.push_back({worker.info.name, it.task, it.run});
            continue;
        }
        if (member->phase != MemberPhase::Running) {
            member->phase = MemberPhase::Running;
            member->firstSeen = now;
            member->firstPercent = it.percent;
            member->lastProgress = now;
            member->provableSince.reset();
        } else if (it.percent > member->percent) {
            member->lastProgress = now;
        }
        member->percent = it.percent;
        member->lastReport = now;
        if (!it.checkpoint.empty() && it.checkpoint != member->checkpoint) {
            member->checkpoint = it.checkpoint;
            member->savedPercent = it.percent;
        }
    }
}

auto Dispatcher::State::processEnd(Worker &worker, const EndedTask &end, TimePoint now) -> void
{
    if (end.number <= worker.seenEnds) {
        return;
    }
    worker.seenEnds = end.number;
    endedOn.insert(&worker);
    auto *unit = findUnit(end.task);
    if (unit == nullptr) {
        return;
    }
    if (unit->record.run != end.run) {
        processEarlierEnd(*unit, end, now);
        return;
    }
    auto *member = memberOn(*unit, worker, end.task);
    if (member == nullptr) {
        return;
    }
    event("run-ended", end.task.job,
          workerDetail(worker) + " step=" + std::to_string(end.task.step) + " index=" + std::to_string(end.task.index)
              + " run=" + std::to_string(end.run) + " how=" + endKindName(end.kind));
    leave(*unit, *member);
    if (!end.checkpoint.empty() && unit->stage == UnitStage::Active) {
        unit->record.checkpoint = end.checkpoint;
        dirtyUnits.insert(unit);
    }
    if (end.kind == EndKind::Done && !unit->step->longRunning) {
        notePace(*unit, now);
        setDone(*unit, now);
        for (auto &it : unit->members) {
            it.provableSince = now;
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
    beginEnding(*unit, endKindName(end.kind));
    settle(*unit, now);
}

auto Dispatcher::State::processEarlierEnd(Unit &unit, const EndedTask &end, TimePoint now) -> void
{
    // A run that was given up for lost has done the work all the same; nothing may start after its end is acknowledged.
    if (end.kind != EndKind::Done || unit.stage == UnitStage::Done || unit.step->longRunning) {
        return;
    }
    event("run-ended-late", end.task.job,
          "step=" + std::to_string(end.task.step) + " index=" + std::to_string(end.task.index) + " run=" + std::to_string(end.run)
              + " newest_run=" + std::to_string(unit.record.run));
    release(unit);
    beginEnding(unit, "done-by-an-earlier-run");
    setDone(unit, now);
}

auto Dispatcher::State::processMissing(Worker &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> void
{
    const auto units = worker.units;
    for (auto *unit : units) {
        for (std::uint32_t i = 0; i < unit->members.size(); ++i) {
            auto &member = unit->members[i];
            const bool sent =
                member.phase != MemberPhase::Planned && member.phase != MemberPhase::Gone && member.phase != MemberPhase::Starting;
            if (member.worker != &worker || !sent) {
                continue;
            }
            const auto task = unit->task(i);
            const bool listed = std::any_of(report.running.begin(), report.running.end(),
                                            [&](const RunningTask &r) { return r.task == task && r.run == unit->record.run; });
            if (listed) {
                continue;
            }
            if (member.provableSince && sentAt >= *member.provableSince) {
                leave(*unit, member);
                beginEnding(*unit, "not-running");
            } else if (!member.provableSince && sentAt > member.startedAt) {
                // A stop makes sure that it does not start later.
                requestStop(*unit, member);
                beginEnding(*unit, "not-running");
            }
        }
        settle(*unit, now);
    }
}

auto Dispatcher::startAnswered(const StartCommand &order, StartOutcome outcome, TimePoint now) -> void
{
    auto &s = *m_state;
    auto &worker = s.worker(order.worker);
    auto *unit = s.findUnit(order.task);
    auto *member = s.memberOf(unit, worker, order.task, order.run);
    if (outcome != StartOutcome::Started) {
        s.event("start-refused", order.task.job,
                workerDetail(worker) + " step=" + std::to_string(order.task.step) + " index=" + std::to_string(order.task.index)
                    + " run=" + std::to_string(order.run) + " outcome=" + startOutcomeName(outcome));
    }
    if (outcome == StartOutcome::Unknown) {
        worker.unansweredGrant = worker.unansweredGrant.value_or(now);
    }
    if (outcome == StartOutcome::Started) {
        worker.extendedAt = now;
        worker.nextExtension = std::min(worker.nextExtension, now + s.extensionPace(worker, now));
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
    if (outcome == StartOutcome::Unknown && !unit->ending && ++member->unansweredStarts < s.settings.maxStartAttempts) {
        member->startedAt = now;
        s.pendingStarts.push_back(order);
        return;
    }
    if (outcome == StartOutcome::Unknown || member->unansweredStarts > 0) {
        // A refusal speaks for its own order only; an earlier one without an answer may have started the run.
        member->phase = MemberPhase::Unsure;
        member->startedAt = now;
        s.requestStop(*unit, *member);
        s.beginEnding(*unit, "start-unanswered");
        return;
    }
    const bool blamed =
        outcome == StartOutcome::InsufficientCapacity || outcome == StartOutcome::Declined || outcome == StartOutcome::Invalid;
    if (blamed) {
        worker.avoidUntil = std::max(worker.avoidUntil, now + s.settings.declineAvoidTime);
    }
    s.leave(*unit, *member);
    s.beginEnding(*unit, startOutcomeName(outcome));
    s.settle(*unit, now);
}

auto Dispatcher::stopAnswered(const StopCommand &order, bool answered, TimePoint now) -> void
{
    auto &s = *m_state;
    auto *member = s.memberOf(s.findUnit(order.task), s.worker(order.worker), order.task, order.run);
    if (member == nullptr) {
        return;
    }
    if (!answered) {
        member->stopSentAt = {};
        return;
    }
    if (!member->provableSince && member->phase != MemberPhase::Gone) {
        // The worker refuses this run from now on, and ends it within its stop time if it is there.
        member->provableSince = now;
    }
}

auto Dispatcher::State::notePace(const Unit &unit, TimePoint now) -> void
{
    const auto &zone = unit.members.front().worker->info.zone;
    const bool oneZone =
        std::all_of(unit.members.begin(), unit.members.end(), [&](const Member &m) { return m.worker->info.zone == zone; });
    // A run that began from a checkpoint, or was taken over, says little about the whole.
    const bool whole = unit.stage == UnitStage::Active && unit.record.checkpoint.empty() && unit.runStartedAt > previousGrants;
    if (oneZone && whole && unit.step->estimate > Duration::zero()) {
        auto &pace = zonePaces[zone];
        pace.sum += std::chrono::duration<double>(now - unit.runStartedAt) / std::chrono::duration<double>(unit.step->estimate);
        ++pace.runs;
    }
}

auto Dispatcher::State::slowZones() const -> std::set<ZoneName>
{
    std::set<ZoneName> out;
    double best = 0;
    for (const auto &[zone, pace] : zonePaces) {
        best = pace.runs >= minPaceRuns && (best <= 0 || pace.mean() < best) ? pace.mean() : best;
    }
    for (const auto &[zone, pace] : zonePaces) {
        if (pace.runs >= minPaceRuns && pace.mean() > best * slowZoneRatio) {
            out.insert(zone);
        }
    }
    return out;
}

auto Dispatcher::State::goneAt(const Worker &worker) const -> TimePoint
{
    const auto lease = std::chrono::duration_cast<Duration>(settings.lease * (1.0 + settings.workerClockDrift)) + leaseSlack;
    auto extended = std::max(worker.extendedAt.value_or(previousGrants), previousGrants);
    if (worker.unansweredGrant) {
        extended = std::max(extended, *worker.unansweredGrant + settings.maxCommandDelay);
    }
    for (const auto *unit : worker.units) {
        for (const auto &it : unit->members) {
            const bool ordered = it.phase == MemberPhase::Starting || it.phase == MemberPhase::Unsure;
            if (ordered && it.worker == &worker) {
                extended = std::max(extended, it.startedAt + settings.maxCommandDelay);
            }
        }
    }
    return extended + lease;
}

/// Takes what runs on a worker for gone; with \a keepOrdered, except for runs whose start is not answered.
auto Dispatcher::State::giveUpWorker(Worker &worker, std::string_view reason, TimePoint now, bool keepOrdered) -> void
{
    event(reason, {},
          workerDetail(worker) + " life=" + std::to_string(worker.incarnation) + " units=" + std::to_string(worker.units.size()));
    const auto units = worker.units;
    for (auto *unit : units) {
        for (auto &member : unit->members) {
            const bool ordered = member.phase == MemberPhase::Starting || member.phase == MemberPhase::Unsure;
            const bool kept = member.phase == MemberPhase::Planned || (keepOrdered && ordered);
            if (member.worker == &worker && !kept) {
                leave(*unit, member);
            }
        }
        beginEnding(*unit, reason);
        settle(*unit, now);
    }
}

auto Dispatcher::workerReplaced(const PollCommand &order, TimePoint now) -> void
{
    auto &worker = m_state->worker(order.worker);
    if (!worker.units.empty()) {
        m_state->giveUpWorker(worker, "worker-replaced", now);
    }
}

auto Dispatcher::State::expireWorkers(TimePoint now) -> void
{
    for (auto name = doubtfulWorkers.begin(); name != doubtfulWorkers.end();) {
        const auto it = workers.find(*name);
        auto &w = *it->second;
        const bool silent = w.failingSince || (!w.answeredAt && !w.listed);
        const bool left = w.info.draining && !w.listed && w.failingSince && now > *w.failingSince + leftAfter;
        if (silent && !w.units.empty() && (left || now > goneAt(w))) {
            giveUpWorker(w, "worker-lost", now);
        }
        const bool forget = !w.listed && w.units.empty() && !w.lookOutstanding && !w.extensionOutstanding && w.pledged == Demand{};
        const bool sound = w.listed && !w.failingSince;
        if (forget) {
            endedOn.erase(&w);
            batchEndedOn.erase(&w);
            workers.erase(it);
        }
        name = forget || sound ? doubtfulWorkers.erase(name) : std::next(name);
    }
}

auto Dispatcher::State::watchProgress(TimePoint now) -> void
{
    for (auto &[name, worker] : workers) {
        if (!worker->usable() && !worker->info.draining) {
            continue;
        }
        const auto units = worker->units;
        for (auto *unit : units) {
            if (unit->stage == UnitStage::Done) {
                for (auto &it : unit->members) {
                    if (it.provableSince && now > *it.provableSince + gangEndWait) {
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
                // Time without a report says nothing about progress.
                const bool stalled =
                    it.phase == MemberPhase::Running && !finished && it.lastReport >= it.lastProgress + limit && !it.worker->failingSince;
                if (it.worker == worker.get() && stalled) {
                    const auto quiet = toMilliseconds(now - it.lastProgress);
                    event("run-stalled", unit->id.job,
                          workerDetail(*worker) + " run=" + std::to_string(unit->record.run) + " percent=" + std::to_string(it.percent)
                              + " quiet_ms=" + std::to_string(quiet.count()));
                    worker->avoidUntil = now + settings.avoidTime;
                    beginEnding(*unit, "no-progress");
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
    const auto whole = std::chrono::duration<double>(span) * fullPercent / std::max(member.percent - member.firstPercent, 1U);
    if (whole > std::chrono::duration<double>(unit.step->estimate) * maxEstimateError) {
        member.worker->avoidUntil = now + settings.avoidTime;
        event("run-slow", unit.id.job,
              workerDetail(*member.worker) + " run=" + std::to_string(unit.record.run) + " percent=" + std::to_string(member.percent));
        ++unit.slowRestarts;
        beginEnding(unit, "slow-worker");
    }
}

auto Dispatcher::State::restartSlowRuns(TimePoint now) -> void
{
    const auto rate = [](const Member &m) {
        const auto span = std::chrono::duration<double>(m.lastReport - m.firstSeen).count();
        return span > 0 ? (m.percent - m.firstPercent) / span : 0.0;
    };
    for (auto &[id, job] : jobs) {
        for (auto &[key, unit] : job->units) {
            restartSlowSingle(*unit, now);
            const bool measured = unit->stage == UnitStage::Active && !unit->ending && unit->members.size() > 1 && !unit->step->longRunning
                && unit->slowRestarts < settings.maxSlowGangRestarts
                && std::all_of(unit->members.begin(), unit->members.end(), [](const Member &m) {
                                      return m.phase == MemberPhase::Running && m.lastReport >= m.firstSeen + minRateSpan;
                                  });
            if (!measured) {
                continue;
            }
            std::vector<double> rates;
            for (const auto &it : unit->members) {
                rates.push_back(rate(it));
            }
            auto sorted = rates;
            std::sort(sorted.begin(), sorted.end());
            // Finished members no longer show their rate, which only makes the usual rate look lower.
            const auto usual = sorted[sorted.size() / 2];
            const auto worst = static_cast<std::size_t>(std::min_element(rates.begin(), rates.end()) - rates.begin());
            if (usual <= 0 || rates[worst] >= usual * settings.slowRatio || unit->members[worst].percent >= fullPercent) {
                continue;
            }
            const auto saved = unit->step->checkpoints ? unit->members[worst].savedPercent : 0U;
            const auto again = (fullPercent - saved) / usual + std::chrono::duration<double>(restartCost).count();
            const auto left = (fullPercent - unit->members[worst].percent) / std::max(rates[worst], 0.1);
            for (std::size_t i = 0; i < rates.size(); ++i) {
                if (rates[i] < usual * settings.slowRatio && unit->members[i].percent < fullPercent) {
                    unit->members[i].worker->avoidUntil = now + settings.avoidTime;
                }
            }
            if (left > again * settings.minRestartSpeedup) {
                event("run-slow", unit->id.job,
                      workerDetail(*unit->members[worst].worker) + " run=" + std::to_string(unit->record.run)
                          + " percent=" + std::to_string(unit->members[worst].percent) + " left_s=" + std::to_string(left)
                          + " again_s=" + std::to_string(again));
                ++unit->slowRestarts;
                beginEnding(*unit, "slow-worker");
            }
        }
    }
}

auto Dispatcher::State::evacuate(TimePoint now) -> void
{
    for (auto &[name, worker] : workers) {
        if (!worker->info.draining) {
            continue;
        }
        const auto units = worker->units;
        for (auto *unit : units) {
            for (const auto &it : unit->members) {
                const bool here = it.worker == worker.get() && it.phase == MemberPhase::Running && !unit->ending;
                if (here && now + remainingTime(*unit, it, now) + drainMargin > worker->drainEnds) {
                    beginEnding(*unit, "worker-draining");
                }
            }
        }
    }
}

} // namespace Acaciarail::Workflow
