#include "holder.h"

#include <acaciarail/core/logging.h>

#include <array>
#include <string>
#include <utility>

namespace Acaciarail::Workflow {

namespace {

/// Divide the state topic into ranges of about equal size, since job ids are random hexadecimal numbers.
constexpr std::array<const char *, 7> stateSplitKeys{"2", "4", "6", "8", "a", "c", "e"};

/// The pause between placement rounds is this many times the time of a round, so that they take at most a sixth of the time of an instance,
/// whatever its processor and the size of the fleet.
constexpr int schedulePauseFactor = 5;

/// Least interval between two load summaries; a quarter of the age up to which one counts.
constexpr Duration loadSummaryInterval = 500ms;
/// Interval at which a backlog that has not changed is written again, before the last summary is too old to be used.
constexpr Duration loadSummaryRefreshInterval = 1s;

auto logDecision(const DispatchEvent &event, std::uint64_t term) -> void
{
    const auto level = event.obstacle ? LogLevel::Warning : LogLevel::Info;
    if (event.job.empty()) {
        logEvent(level, event.name, {{"term", term}}, event.details);
    } else {
        logEvent(level, event.name, {{"job", event.job.str()}, {"term", term}}, event.details);
    }
}

} // namespace

Holder::Holder(const EngineSettings &settings, const EngineHooks &hooks, LogLease &lease, Hooks holderHooks)
    : m_settings(settings)
    , m_hooks(hooks)
    , m_lease(lease)
    , m_holderHooks(std::move(holderHooks))
    , m_term(lease.term())
    , m_claimedAt(hooks.clock.now())
{
}

/// Wraps a callback so that it does nothing once this holder is destroyed.
template<typename F>
auto Holder::guarded(F call)
{
    return [weak = weak_from_this(), call = std::move(call)](auto &&...args) {
        if (const auto self = weak.lock()) {
            call(*self, std::forward<decltype(args)>(args)...);
        }
    };
}

auto Holder::start(std::uint64_t sequence, std::shared_ptr<const Configuration> configuration) -> void
{
    m_sequence = sequence;
    const auto observe = [this](const DispatchEvent &event) {
        if (event.logged) {
            logDecision(event, m_term);
        }
        if (m_hooks.observe) {
            m_hooks.observe(event);
        }
    };
    m_dispatcher = std::make_unique<Dispatcher>(m_settings.dispatcher, observe, m_lease.latestPreviousGrant());
    m_dispatcher->setConfiguration(std::move(configuration));
    // The claim may have been stored some time ago; the validity of the lease is counted from this renewal.
    append({}, guarded([](Holder &self) {
               self.m_hooks.workers.watchWorkers(true);
               self.load();
           }));
}

auto Holder::load() -> void
{
    using Apply = void (Holder::*)(const std::vector<KeyedRecord> &);
    const auto scan = [this](std::string_view topic, std::vector<std::string> splitKeys, Apply applyPage,
                             std::unique_ptr<TopicScan> Holder::*slot) {
        TopicScanHooks hooks;
        hooks.page = guarded(
            [applyPage](Holder &self, const std::vector<KeyedRecord> &records, std::uint64_t, TimePoint) { (self.*applyPage)(records); });
        hooks.failed = [] {};
        hooks.done = guarded([slot](Holder &self) {
            (self.*slot).reset();
            if (!self.m_stateScan && !self.m_submissionsScan) {
                self.finishLoading();
            }
        });
        return std::make_unique<TopicScan>(TopicScanSettings{std::string(topic), std::move(splitKeys), m_settings.appendRetryDelay},
                                           m_hooks.store, m_hooks.clock, std::move(hooks));
    };
    m_stateScan = scan(stateTopic, {stateSplitKeys.begin(), stateSplitKeys.end()}, &Holder::applyLoadedState, &Holder::m_stateScan);
    m_submissionsScan = scan(submissionsTopic, {}, &Holder::applyLoadedSubmissions, &Holder::m_submissionsScan);
    m_stateScan->start();
    m_submissionsScan->start();
}

auto Holder::applyLoadedState(const std::vector<KeyedRecord> &records) -> void
{
    for (const auto &it : records) {
        StateEntry entry;
        if (const auto ec = decodeState(it, entry)) {
            logEvent(LogLevel::Warning, "record-skipped", {{"topic", stateTopic}, {"key", it.key}, {"error", ec.message()}});
        } else if (auto *unit = std::get_if<UnitEntry>(&entry)) {
            if (unit->state) {
                m_loadedUnits.emplace_back(unit->unit, std::move(*unit->state));
            }
        } else if (const auto *outcome = std::get_if<OutcomeEntry>(&entry)) {
            m_loadedOutcomes.insert(outcome->job);
        }
    }
}

auto Holder::applyLoadedSubmissions(const std::vector<KeyedRecord> &records) -> void
{
    for (const auto &it : records) {
        SubmissionEntry entry;
        if (const auto ec = decodeSubmission(it, entry)) {
            logEvent(LogLevel::Warning, "record-skipped", {{"topic", submissionsTopic}, {"key", it.key}, {"error", ec.message()}});
        } else if (auto *job = std::get_if<JobEntry>(&entry)) {
            m_loadedSubmissions.push_back(std::move(*job));
        }
    }
}

auto Holder::finishLoading() -> void
{
    const auto now = m_hooks.clock.now();
    for (const auto &it : m_loadedOutcomes) {
        m_dispatcher->markEnded(it);
        m_expiringJobs.push_back({now, it});
    }
    const auto submissions = std::exchange(m_loadedSubmissions, {});
    m_loaded = true;
    m_loadedAt = now;
    for (const auto &it : submissions) {
        if (it.spec) {
            apply(it);
        }
    }
    for (const auto &[unit, record] : std::exchange(m_loadedUnits, {})) {
        m_dispatcher->restore(unit, record, now);
    }
    for (const auto &it : submissions) {
        if (!it.spec) {
            apply(it);
        }
    }
    logEvent(LogLevel::Info, "holder-loaded",
             {{"term", m_term},
              {"jobs", m_dispatcher->stats().jobs},
              {"active", m_dispatcher->stats().activeUnits},
              {"ended", m_loadedOutcomes.size()},
              {"took_ms", toMilliseconds(now - m_claimedAt).count()}});
    m_loadedOutcomes.clear();
    if (m_hooks.takeoverCompleted) {
        m_hooks.takeoverCompleted(now - m_claimedAt);
    }
    scheduleStep(Duration::zero());
}

auto Holder::setConfiguration(std::shared_ptr<const Configuration> configuration) -> void
{
    m_dispatcher->setConfiguration(std::move(configuration));
    scheduleStep(m_settings.eventBatchDelay);
}

auto Holder::setEvacuatedZones(std::set<ZoneName> zones) -> void
{
    m_dispatcher->setEvacuatedZones(std::move(zones));
    dropForbiddenStarts();
    scheduleStep(m_settings.eventBatchDelay);
}

auto Holder::evacuationsConfirmed(TimePoint at) -> void
{
    m_dispatcher->evacuationsConfirmed(at);
}

auto Holder::apply(const JobEntry &entry) -> void
{
    if (!m_loaded) {
        m_loadedSubmissions.push_back(entry);
        return;
    }
    const auto now = m_hooks.clock.now();
    if (entry.spec) {
        m_dispatcher->accept(*entry.spec, now, m_hooks.clock.unixNow());
    } else {
        const bool isKnown = m_dispatcher->awaitsSubmission(entry.job);
        m_dispatcher->cancel(entry.job, now);
        if (!isKnown && m_dispatcher->awaitsSubmission(entry.job)) {
            m_expiringJobs.push_back({now, entry.job, true});
        }
    }
    scheduleStep(m_settings.eventBatchDelay);
}

auto Holder::workerListed(const WorkerInfo &worker) -> void
{
    m_dispatcher->workerListed(worker, m_hooks.clock.now());
    scheduleStep(m_settings.eventBatchDelay);
}

auto Holder::workerUnlisted(const WorkerName &worker) -> void
{
    m_dispatcher->workerUnlisted(worker, m_hooks.clock.now());
    scheduleStep(m_settings.eventBatchDelay);
}

auto Holder::pause() -> void
{
    m_paused = true;
}

auto Holder::release(std::function<void()> done) -> void
{
    if (m_appending) {
        m_releaseDone = std::move(done);
        return;
    }
    m_leaseRecordedAt = m_hooks.clock.now();
    // The workers that reported these ends may have left before the next holder asks them.
    auto records = m_dispatcher->takeFinalRecords();
    records.push_back(holderRecord(m_lease.record(true)));
    append(std::move(records), std::move(done));
}

auto Holder::stats() const -> DispatcherStats
{
    return m_dispatcher->stats();
}

auto Holder::scheduleStep(Duration delay) -> void
{
    const auto at = m_hooks.clock.now() + delay;
    if (!m_loaded || (m_nextStepAt && *m_nextStepAt <= at)) {
        return;
    }
    m_nextStepAt = at;
    m_hooks.clock.schedule(delay, guarded([at](Holder &self) {
                               // An earlier step may have replaced this one.
                               if (self.m_nextStepAt == at) {
                                   self.m_nextStepAt.reset();
                                   self.step();
                               }
                           }));
}

auto Holder::step() -> void
{
    const auto now = m_hooks.clock.now();
    if (!m_paused && m_lease.mayRenewTaskLeases(now)) {
        auto decisions = m_dispatcher->decide(now, m_hooks.clock.unixNow(),
                                              {m_lease.isValid(now), !m_appending, m_decisionTime * schedulePauseFactor, startBudget()});
        // A decision without a placement round is short; it must not hide how long a round takes.
        m_decisionTime = std::max(m_hooks.clock.now() - now, m_decisionTime * 15 / 16);
        sendCommands(decisions);
        if (decisions.deferredFor) {
            scheduleStep(*decisions.deferredFor);
        }
        if (!decisions.records.empty()) {
            append(std::move(decisions.records), guarded([outcomes = std::move(decisions.outcomes)](Holder &self) {
                       const auto stored = self.m_hooks.clock.now();
                       self.m_dispatcher->recordsStored(stored);
                       for (const auto &it : outcomes) {
                           self.m_expiringJobs.push_back({stored, it.job});
                       }
                   }));
        }
        removeExpiredJobs();
    }
    if (!m_appending && !m_paused && m_lease.renewalDue(now)) {
        append({}, [] {});
    }
    scheduleStep(m_settings.idleDecisionInterval);
}

auto Holder::removeExpiredJobs() -> void
{
    const auto now = m_hooks.clock.now();
    if (!m_lease.isValid(now)) {
        return;
    }
    if (!m_outcomesToRemove.empty() && !m_appending) {
        std::vector<KeyedRecord> records;
        for (const auto &it : m_outcomesToRemove) {
            records.push_back(outcomeRemovalRecord(it));
        }
        append(std::move(records), guarded([removed = std::exchange(m_outcomesToRemove, {})](Holder &self) {
                   for (const auto &it : removed) {
                       self.m_dispatcher->outcomeRemoved(it);
                   }
                   self.m_removing = false;
                   logEvent(LogLevel::Info, "outcomes-removed", {{"jobs", removed.size()}, {"term", self.m_term}});
               }));
        return;
    }
    const auto isDue = [&](const ExpiringJob &it) { return now >= it.since + m_settings.outcomeRetention; };
    if (m_removing || now < m_nextRemoval || m_expiringJobs.empty() || !isDue(m_expiringJobs.front())) {
        return;
    }
    m_nextRemoval = now + m_settings.removalInterval;
    // A job that was submitted after its cancellation has ended since, and has an entry of its own.
    std::erase_if(m_expiringJobs,
                  [&](const ExpiringJob &it) { return it.cancelledInAdvance && isDue(it) && !m_dispatcher->awaitsSubmission(it.job); });
    AppendRequest request{std::string(submissionsTopic), {}, std::nullopt, std::nullopt, 0, m_settings.appendTimeout};
    std::vector<ExpiringJob> expired;
    for (const auto &it : m_expiringJobs) {
        if (!isDue(it) || expired.size() == m_settings.removalBatchSize) {
            break;
        }
        expired.push_back(it);
        for (auto &record : submissionRemovalRecords(it.job)) {
            request.records.push_back(std::move(record));
        }
    }
    if (expired.empty()) {
        return;
    }
    m_removing = true;
    // A job whose outcome is removed before its submission would run again. If this append gets no response, both are removed with a later
    // batch.
    m_hooks.store.append(std::move(request), guarded([expired = std::move(expired)](Holder &self, const AppendResult &result) {
                             if (result.status != AppendStatus::Stored) {
                                 self.m_removing = false;
                                 return;
                             }
                             self.m_expiringJobs.erase(self.m_expiringJobs.begin(),
                                                       self.m_expiringJobs.begin() + static_cast<std::ptrdiff_t>(expired.size()));
                             for (const auto &it : expired) {
                                 self.m_outcomesToRemove.push_back(it.job);
                             }
                             self.scheduleStep(Duration::zero());
                         }));
}

auto Holder::addLoadSummary(std::vector<KeyedRecord> &records) -> void
{
    const auto now = m_hooks.clock.now();
    if (!m_loaded || m_paused || now < m_nextLoadSummary) {
        return;
    }
    m_nextLoadSummary = now + loadSummaryInterval;
    auto summary = m_dispatcher->loadSummary(now, m_loadedAt);
    summary.term = m_term;
    const bool mustRefresh = !summary.priorities.empty() && summary.timeInOffice >= m_loadSummary.timeInOffice + loadSummaryRefreshInterval;
    if (mustRefresh || summary.services != m_loadSummary.services || summary.priorities != m_loadSummary.priorities
        || summary.guarantees != m_loadSummary.guarantees) {
        records.push_back(loadRecord(summary));
        m_loadSummary = std::move(summary);
    }
}

auto Holder::append(std::vector<KeyedRecord> records, Done done) -> void
{
    if (records.empty()) {
        m_leaseRecordedAt = m_hooks.clock.now();
        records.push_back(holderRecord(m_lease.record(false)));
    }
    addLoadSummary(records);
    sendAppend(std::move(records), std::move(done));
}

auto Holder::sendAppend(std::vector<KeyedRecord> records, Done done) -> void
{
    m_appending = true;
    const auto sentAt = m_hooks.clock.now();
    if (sentAt >= m_leaseRecordedAt + m_settings.lease.renewInterval) {
        m_leaseRecordedAt = sentAt;
        records.push_back(holderRecord(m_lease.record(false)));
    }
    AppendRequest request{std::string(stateTopic), records, std::nullopt, m_term, m_sequence, m_settings.appendTimeout};
    m_hooks.store.append(std::move(request),
                         guarded([records = std::move(records), sentAt, done = std::move(done)](Holder &self, const AppendResult &result) {
                             self.appendAnswered(result, records, sentAt, done);
                         }));
}

auto Holder::appendAnswered(const AppendResult &result, const std::vector<KeyedRecord> &records, TimePoint sentAt, const Done &done) -> void
{
    const bool alreadyStored = result.status == AppendStatus::OutOfSequence && result.expectedSequence > m_sequence;
    if (result.status == AppendStatus::Stored || alreadyStored) {
        m_sequence = alreadyStored ? result.expectedSequence : m_sequence + 1;
        m_appending = false;
        m_lease.renewed(sentAt);
        m_holderHooks.stored(records);
        done();
        // Changes that arose during the append are recorded at once.
        scheduleStep(Duration::zero());
        if (m_releaseDone && !m_appending) {
            release(std::exchange(m_releaseDone, nullptr));
        }
        return;
    }
    if (result.status == AppendStatus::Fenced) {
        m_holderHooks.fenced("store");
        return;
    }
    logEvent(LogLevel::Warning, "append-retried",
             {{"topic", stateTopic},
              {"status", appendStatusName(result.status)},
              {"records", records.size()},
              {"sequence", m_sequence},
              {"expected", result.expectedSequence}});
    if (result.status == AppendStatus::OutOfSequence) {
        m_sequence = result.expectedSequence;
    }
    m_hooks.clock.schedule(m_settings.appendRetryDelay, guarded([records, done](Holder &self) { self.sendAppend(records, done); }));
}

auto Holder::startBudget() const -> std::int64_t
{
    // One window is in progress while the next one is decided and recorded.
    return static_cast<std::int64_t>(2 * m_startWindow.size()) - static_cast<std::int64_t>(m_queuedBytes + m_startWindow.inProgress());
}

auto Holder::sendStarts() -> void
{
    const auto now = m_hooks.clock.now();
    // The lease may have expired since the decision.
    const bool permitted = !m_paused && m_lease.isValid(now);
    for (auto &[priority, queue] : m_queuedStarts) {
        while (!queue.empty()) {
            const auto bytes = startCommandBytes(queue.front().command.payload.size());
            const bool expired =
                !permitted || now > queue.front().queuedAt + m_settings.maxStartDelay || !m_dispatcher->maySend(queue.front().command, now);
            if (!expired && !m_startWindow.hasRoom(bytes)) {
                return;
            }
            const auto command = std::move(queue.front().command);
            queue.pop_front();
            m_queuedBytes -= bytes;
            if (expired) {
                // What was decided then may be wrong by now, so it is decided anew.
                m_dispatcher->startAnswered(command, StartOutcome::NotSent, now);
                scheduleStep(m_settings.eventBatchDelay);
            } else {
                sendStart(command);
            }
        }
    }
}

auto Holder::dropForbiddenStarts() -> void
{
    const auto now = m_hooks.clock.now();
    // Dropping the start of one member ends the run of its gang, so the starts before it are checked once more.
    for (bool repeat = true; std::exchange(repeat, false);) {
        for (auto &[priority, queue] : m_queuedStarts) {
            for (auto it = queue.begin(); it != queue.end();) {
                if (m_dispatcher->maySend(it->command, now)) {
                    ++it;
                    continue;
                }
                const auto command = std::move(it->command);
                it = queue.erase(it);
                m_queuedBytes -= startCommandBytes(command.payload.size());
                m_dispatcher->startAnswered(command, StartOutcome::NotSent, now);
                repeat = true;
            }
        }
    }
}

auto Holder::mayStart(const StartCommand &command) const -> bool
{
    const auto now = m_hooks.clock.now();
    return !m_paused && m_lease.isValid(now) && m_dispatcher->maySend(command, now);
}

auto Holder::reportHook(const WorkerName &worker) -> ReportHook
{
    return guarded([worker](Holder &self, const WorkerReport &report, TimePoint sentAt) {
        self.m_dispatcher->reportReceived(worker, report, sentAt, self.m_hooks.clock.now());
        self.scheduleStep(self.m_settings.eventBatchDelay);
    });
}

auto Holder::sendStart(StartCommand command) -> void
{
    auto copy = command;
    copy.payload.clear();
    command.maySend = [weak = weak_from_this(), copy = std::move(copy)] {
        const auto self = weak.lock();
        return self && self->mayStart(copy);
    };
    command.reported = reportHook(command.worker);
    const auto bytes = startCommandBytes(command.payload.size());
    m_startWindow.sent(bytes);
    m_hooks.workers.start(command, m_term, guarded([command, bytes, sentAt = m_hooks.clock.now()](Holder &self, StartOutcome outcome) {
                              const auto now = self.m_hooks.clock.now();
                              self.m_startWindow.finished(bytes, outcome != StartOutcome::Unknown, now - sentAt, now);
                              self.m_dispatcher->startAnswered(command, outcome, now);
                              if (outcome == StartOutcome::Fenced) {
                                  self.m_holderHooks.fenced(command.worker.str());
                                  return;
                              }
                              self.sendStarts();
                              self.scheduleStep(self.m_settings.eventBatchDelay);
                          }));
}

auto Holder::sendCommands(Decisions &decisions) -> void
{
    for (const auto &it : decisions.stops) {
        m_hooks.workers.stop(it, m_term, guarded([it](Holder &self, const WorkerHooks::StopResponse &response) {
                                 if (response.fenced) {
                                     self.m_holderHooks.fenced(it.worker.str());
                                     return;
                                 }
                                 self.m_dispatcher->stopAnswered(it, response.answered, self.m_hooks.clock.now());
                                 self.scheduleStep(self.m_settings.eventBatchDelay);
                             }));
    }
    const auto now = m_hooks.clock.now();
    for (auto &it : decisions.starts) {
        m_queuedBytes += startCommandBytes(it.payload.size());
        auto &queue = m_queuedStarts[it.priority];
        queue.push_back({std::move(it), now});
    }
    sendStarts();
    // Without the hook there is never a result, and the dispatcher does not ask again.
    if (decisions.listRunningWorkers && m_hooks.workers.listRunningWorkers) {
        m_hooks.workers.listRunningWorkers(guarded([now](Holder &self, const std::optional<RunningWorkers> &running) {
            self.m_dispatcher->runningWorkersListed(running, now, self.m_hooks.clock.now());
            self.scheduleStep(self.m_settings.eventBatchDelay);
        }));
    }
    for (auto &it : decisions.polls) {
        it.reported = reportHook(it.worker);
        const auto sentAt = m_hooks.clock.now();
        m_hooks.workers.poll(it, m_term, guarded([it, sentAt](Holder &self, const WorkerHooks::PollResponse &response) {
                                 if (response.fenced) {
                                     self.m_holderHooks.fenced(it.worker.str());
                                     return;
                                 }
                                 if (response.replaced) {
                                     self.m_dispatcher->workerReplaced(it, self.m_hooks.clock.now());
                                 }
                                 self.m_dispatcher->pollAnswered(it, sentAt, response.report, self.m_hooks.clock.now(), response.maybeSent);
                                 self.scheduleStep(self.m_settings.eventBatchDelay);
                             }));
    }
}

} // namespace Acaciarail::Workflow
