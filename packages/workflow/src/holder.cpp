#include "holder.h"

#include <acaciarail/core/logging.h>

#include <string>
#include <utility>

namespace Acaciarail::Workflow {

namespace {

auto logDecision(const DispatchEvent &event, std::uint64_t term) -> void
{
    if (event.job.empty()) {
        logEvent(LogLevel::Info, event.name, {{"term", term}}, event.details);
    } else {
        logEvent(LogLevel::Info, event.name, {{"job", event.job.str()}, {"term", term}}, event.details);
    }
}

} // namespace

Holder::Holder(const EngineSettings &settings, const EngineHooks &hooks, LogLease &lease, Hooks own)
    : m_settings(settings)
    , m_hooks(hooks)
    , m_lease(lease)
    , m_own(std::move(own))
    , m_term(lease.term())
    , m_began(hooks.clock.now())
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

auto Holder::begin(std::uint64_t sequence, std::shared_ptr<const Configuration> configuration) -> void
{
    m_sequence = sequence;
    const auto decided = [this](const DispatchEvent &event) {
        logDecision(event, m_term);
        if (m_hooks.observe) {
            m_hooks.observe(event);
        }
    };
    m_dispatcher = std::make_unique<Dispatcher>(m_settings.dispatcher, decided, m_lease.previousGrants());
    m_dispatcher->setConfiguration(std::move(configuration));
    // The claim may have been stored some time ago; the validity of the lease is counted from this renewal.
    append({}, guarded([](Holder &self) {
               self.m_hooks.workers.watch(true);
               self.loadState({});
           }));
}

auto Holder::loadState(const std::string &after) -> void
{
    m_hooks.store.newest(
        std::string(stateTopic), after, guarded([after](Holder &self, const NewestResult &page) {
            if (!page.ok) {
                self.m_hooks.clock.schedule(self.m_settings.appendRetry, self.guarded([after](Holder &s) { s.loadState(after); }));
                return;
            }
            for (const auto &it : page.records) {
                StateEntry entry;
                if (const auto ec = decodeState(it, entry)) {
                    logEvent(LogLevel::Warning, "record-skipped", {{"topic", stateTopic}, {"key", it.key}, {"error", ec.message()}});
                } else if (auto *unit = std::get_if<UnitEntry>(&entry)) {
                    if (unit->state) {
                        self.m_loadedUnits.emplace_back(unit->unit, std::move(*unit->state));
                    }
                } else if (const auto *outcome = std::get_if<OutcomeEntry>(&entry)) {
                    self.m_loadedOutcomes.insert(outcome->job);
                }
            }
            if (page.more && !page.records.empty()) {
                self.loadState(page.records.back().key);
            } else {
                self.loadIntake({});
            }
        }));
}

auto Holder::loadIntake(const std::string &after) -> void
{
    m_hooks.store.newest(
        std::string(intakeTopic), after, guarded([after](Holder &self, const NewestResult &page) {
            if (!page.ok) {
                self.m_hooks.clock.schedule(self.m_settings.appendRetry, self.guarded([after](Holder &s) { s.loadIntake(after); }));
                return;
            }
            for (const auto &it : page.records) {
                IntakeEntry entry;
                if (const auto ec = decodeIntake(it, entry)) {
                    logEvent(LogLevel::Warning, "record-skipped", {{"topic", intakeTopic}, {"key", it.key}, {"error", ec.message()}});
                } else if (auto *job = std::get_if<JobEntry>(&entry)) {
                    self.m_loadedIntake.push_back(std::move(*job));
                }
            }
            if (page.more && !page.records.empty()) {
                self.loadIntake(page.records.back().key);
            } else {
                self.loaded();
            }
        }));
}

auto Holder::loaded() -> void
{
    const auto now = m_hooks.clock.now();
    for (const auto &it : m_loadedOutcomes) {
        m_dispatcher->markEnded(it);
        m_ended.emplace_back(now, it);
    }
    const auto intake = std::exchange(m_loadedIntake, {});
    m_running = true;
    for (const auto &it : intake) {
        if (it.spec) {
            apply(it);
        }
    }
    for (const auto &[unit, record] : std::exchange(m_loadedUnits, {})) {
        m_dispatcher->restore(unit, record, now);
    }
    for (const auto &it : intake) {
        if (!it.spec) {
            apply(it);
        }
    }
    logEvent(LogLevel::Info, "holder-loaded",
             {{"term", m_term},
              {"jobs", m_dispatcher->stats().jobs},
              {"active", m_dispatcher->stats().activeUnits},
              {"ended", m_loadedOutcomes.size()},
              {"took_ms", toMilliseconds(now - m_began).count()}});
    m_loadedOutcomes.clear();
    if (m_hooks.tookOver) {
        m_hooks.tookOver(now - m_began);
    }
    wake(Duration::zero());
}

auto Holder::setConfiguration(std::shared_ptr<const Configuration> configuration) -> void
{
    m_dispatcher->setConfiguration(std::move(configuration));
    wake(m_settings.gatherTime);
}

auto Holder::apply(const JobEntry &entry) -> void
{
    if (!m_running) {
        m_loadedIntake.push_back(entry);
        return;
    }
    const auto now = m_hooks.clock.now();
    if (entry.spec) {
        m_dispatcher->accept(*entry.spec, now, m_hooks.clock.unixNow());
    } else {
        m_dispatcher->cancel(entry.job, now);
    }
    wake(m_settings.gatherTime);
}

auto Holder::workerListed(const WorkerInfo &worker) -> void
{
    m_dispatcher->workerListed(worker, m_hooks.clock.now());
    wake(m_settings.gatherTime);
}

auto Holder::workerUnlisted(const WorkerName &worker) -> void
{
    m_dispatcher->workerUnlisted(worker, m_hooks.clock.now());
    wake(m_settings.gatherTime);
}

auto Holder::pause() -> void
{
    m_paused = true;
}

auto Holder::release(std::function<void()> done) -> void
{
    if (m_appending) {
        m_released = std::move(done);
        return;
    }
    m_recordedAt = m_hooks.clock.now();
    append({holderRecord(m_lease.record(true))}, std::move(done));
}

auto Holder::stats() const -> DispatcherStats
{
    return m_dispatcher->stats();
}

auto Holder::wake(Duration delay) -> void
{
    const auto at = m_hooks.clock.now() + delay;
    if (!m_running || (m_wakeAt && *m_wakeAt <= at)) {
        return;
    }
    m_wakeAt = at;
    m_hooks.clock.schedule(delay, guarded([at](Holder &self) {
                               // An earlier step may have replaced this one.
                               if (self.m_wakeAt == at) {
                                   self.m_wakeAt.reset();
                                   self.step();
                               }
                           }));
}

auto Holder::step() -> void
{
    const auto now = m_hooks.clock.now();
    if (!m_paused && m_lease.mayExtend(now)) {
        auto decisions = m_dispatcher->decide(now, m_hooks.clock.unixNow(), {m_lease.valid(now), !m_appending});
        order(decisions);
        if (decisions.deferredFor) {
            wake(*decisions.deferredFor);
        }
        if (!decisions.records.empty()) {
            append(std::move(decisions.records), guarded([outcomes = std::move(decisions.outcomes)](Holder &self) {
                       const auto stored = self.m_hooks.clock.now();
                       self.m_dispatcher->recordsStored(stored);
                       for (const auto &it : outcomes) {
                           self.m_ended.emplace_back(stored, it.job);
                       }
                   }));
        }
        removeExpired();
    }
    if (!m_appending && !m_paused && m_lease.renewalDue(now)) {
        append({}, [] {});
    }
    wake(m_settings.holderTick);
}

auto Holder::removeExpired() -> void
{
    const auto now = m_hooks.clock.now();
    if (!m_lease.valid(now)) {
        return;
    }
    if (!m_removed.empty() && !m_appending) {
        std::vector<KeyedRecord> records;
        for (const auto &it : m_removed) {
            records.push_back(removeOutcome(it));
        }
        append(std::move(records), guarded([removed = std::exchange(m_removed, {})](Holder &self) {
                   for (const auto &it : removed) {
                       self.m_dispatcher->forget(it);
                   }
                   self.m_removing = false;
                   logEvent(LogLevel::Info, "outcomes-removed", {{"jobs", removed.size()}, {"term", self.m_term}});
               }));
        return;
    }
    if (m_removing || now < m_nextRemoval || m_ended.empty() || now < m_ended.front().first + m_settings.outcomeRetention) {
        return;
    }
    m_removing = true;
    m_nextRemoval = now + m_settings.removalPace;
    AppendRequest request{std::string(intakeTopic), {}, std::nullopt, std::nullopt, 0, m_settings.appendTimeout};
    std::vector<JobId> expired;
    for (const auto &[since, job] : m_ended) {
        if (now < since + m_settings.outcomeRetention || expired.size() == m_settings.removalBatch) {
            break;
        }
        expired.push_back(job);
        for (auto &record : removeFromIntake(job)) {
            request.records.push_back(std::move(record));
        }
    }
    // A job whose outcome is removed before its submission would run again. If this append gets no response, both are removed with a later
    // batch.
    m_hooks.store.append(std::move(request), guarded([expired = std::move(expired)](Holder &self, const AppendResult &result) {
                             if (result.status != AppendStatus::Stored) {
                                 self.m_removing = false;
                                 return;
                             }
                             self.m_ended.erase(self.m_ended.begin(), self.m_ended.begin() + static_cast<std::ptrdiff_t>(expired.size()));
                             self.m_removed = expired;
                             self.wake(Duration::zero());
                         }));
}

auto Holder::append(std::vector<KeyedRecord> records, Done done) -> void
{
    m_appending = true;
    const auto sentAt = m_hooks.clock.now();
    if (records.empty() || sentAt >= m_recordedAt + m_settings.lease.renewInterval) {
        m_recordedAt = sentAt;
        records.push_back(holderRecord(m_lease.record(false)));
    }
    AppendRequest request{std::string(stateTopic), records, std::nullopt, m_term, m_sequence, m_settings.appendTimeout};
    m_hooks.store.append(std::move(request),
                         guarded([records = std::move(records), sentAt, done = std::move(done)](Holder &self, const AppendResult &result) {
                             self.appended(result, records, sentAt, done);
                         }));
}

auto Holder::appended(const AppendResult &result, const std::vector<KeyedRecord> &records, TimePoint sentAt, const Done &done) -> void
{
    const bool storedBefore = result.status == AppendStatus::OutOfSequence && result.expectedSequence > m_sequence;
    if (result.status == AppendStatus::Stored || storedBefore) {
        m_sequence = storedBefore ? result.expectedSequence : m_sequence + 1;
        m_appending = false;
        m_lease.renewed(sentAt);
        m_own.stored(records);
        done();
        // Changes that arose during the append are recorded at once.
        wake(Duration::zero());
        if (m_released && !m_appending) {
            release(std::exchange(m_released, nullptr));
        }
        return;
    }
    if (result.status == AppendStatus::Fenced) {
        m_own.fenced("store");
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
    m_hooks.clock.schedule(m_settings.appendRetry, guarded([records, done](Holder &self) { self.append(records, done); }));
}

auto Holder::order(Decisions &decisions) -> void
{
    for (const auto &it : decisions.stops) {
        m_hooks.workers.stop(it, m_term, guarded([it](Holder &self, const WorkerHooks::StopResponse &answer) {
                                 if (answer.fenced) {
                                     self.m_own.fenced(it.worker.str());
                                     return;
                                 }
                                 self.m_dispatcher->stopAnswered(it, answer.answered, self.m_hooks.clock.now());
                                 self.wake(self.m_settings.gatherTime);
                             }));
    }
    for (const auto &it : decisions.starts) {
        m_hooks.workers.start(it, m_term, guarded([it](Holder &self, StartOutcome outcome) {
                                  self.m_dispatcher->startAnswered(it, outcome, self.m_hooks.clock.now());
                                  if (outcome == StartOutcome::Fenced) {
                                      self.m_own.fenced(it.worker.str());
                                      return;
                                  }
                                  self.wake(self.m_settings.gatherTime);
                              }));
    }
    for (const auto &it : decisions.polls) {
        const auto sentAt = m_hooks.clock.now();
        m_hooks.workers.poll(it, m_term, guarded([it, sentAt](Holder &self, const WorkerHooks::PollResponse &answer) {
                                 if (answer.fenced) {
                                     self.m_own.fenced(it.worker.str());
                                     return;
                                 }
                                 if (answer.replaced) {
                                     self.m_dispatcher->workerReplaced(it, self.m_hooks.clock.now());
                                 }
                                 self.m_dispatcher->pollAnswered(it, sentAt, answer.report, self.m_hooks.clock.now());
                                 self.wake(self.m_settings.gatherTime);
                             }));
    }
}

} // namespace Acaciarail::Workflow
