#include "holder.h"

#include <acaciarail/core/logging.h>
#include <acaciarail/workflow/engine.h>
#include <acaciarail/workflow/topic_follower.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace Acaciarail::Workflow {

namespace {

/// Delay before an instance that shuts down releases the lease, so that commands in progress are still answered.
constexpr Duration releaseDelay = 100ms;
/// Interval at which an instance checks whether to claim the lease.
constexpr Duration claimCheckInterval = 100ms;
constexpr Duration announceRetryDelay = 1s;
/// Interval at which a further read begins while a caller waits for a job to end. Under load, a read that waits returns at once.
constexpr Duration waiterReadInterval = 40ms;
/// Longest delay before an instance reads all records of both topics after its start, or after the store has dropped its history. All
/// instances together may need seconds of the store's bandwidth for it.
constexpr Duration maxScanDelay = 2s;

auto outcomeOf(AppendStatus status) -> SubmitOutcome
{
    switch (status) {
    case AppendStatus::Stored:
        return SubmitOutcome::Accepted;
    case AppendStatus::Refused:
        return SubmitOutcome::Refused;
    default:
        return SubmitOutcome::Unknown;
    }
}

/// The newest load summary that was read.
struct KnownLoad
{
    LoadSummary summary;
    TimePoint readAt;
    /// It was stored after this time, when the last read before it was sent that reached the end of the topic.
    TimePoint storedAfter;
    /// Latest time at which the takeover of its holder ended.
    TimePoint beganAt;
};

} // namespace

struct Engine::State : std::enable_shared_from_this<State>
{
    State(EngineSettings s, EngineHooks h)
        : settings(std::move(s))
        , hooks(std::move(h))
        , lease(settings.lease, settings.instance, settings.incarnation)
        , admission(settings.admission)
        , candidates(settings.candidates, {settings.instance, settings.processorShare, settings.zone})
        , random(static_cast<std::minstd_rand::result_type>(settings.incarnation))
    {
    }

    auto now() const -> TimePoint
    {
        return hooks.clock.now();
    }

    auto scanDelay() -> Duration
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, maxScanDelay.count())(random));
    }

    /// Returns whether the API keys of the configuration are recent enough to be relied on.
    auto apiKeysTrusted() const -> bool
    {
        return configuration && now() <= configurationConfirmedAt + settings.keyRevocationDelay - settings.keyRevocationMargin;
    }

    auto start() -> void
    {
        const auto contact = [this](bool ok, std::optional<TimePoint>) { recordStoreContact(ok); };
        TopicFollowerSettings submissions{.topic = std::string(submissionsTopic), .pause = settings.submissionsPollInterval};
        submissions.tailKey = std::string(beforeAnnouncements);
        submissions.scanDelay = scanDelay();
        submissionsFollower =
            std::make_unique<TopicFollower>(std::move(submissions), hooks.store, hooks.clock,
                                            TopicFollowerHooks{[this](const KeyedRecord &r) { applySubmissionRecord(r); }, contact, {}});
        TopicFollowerSettings state{.topic = std::string(stateTopic), .pause = settings.statePollInterval};
        state.tailKey = std::string(beforeHolderRecord);
        state.scanDelay = scanDelay();
        TopicFollowerHooks stateHooks;
        stateHooks.apply = [this](const KeyedRecord &r) { applyStateRecord(r); };
        stateHooks.applyScanned = [this](const KeyedRecord &r) { applyKnownStateRecord(r); };
        stateHooks.contact = [this](bool ok, std::optional<TimePoint> confirmedAt) {
            stateConfirmedAt = confirmedAt.value_or(stateConfirmedAt);
            lease.recordContact(ok, now());
            recordStoreContact(ok);
            updateStatePollInterval();
        };
        stateFollower = std::make_unique<TopicFollower>(std::move(state), hooks.store, hooks.clock, std::move(stateHooks));
        submissionsFollower->start();
        stateFollower->start();
        announce();
        tick();
    }

    auto tick() -> void
    {
        topicsRead = topicsRead || (submissionsFollower->isLoaded() && stateFollower->isLoaded());
        announceIfDue();
        claimIfDue();
        hooks.clock.schedule(claimCheckInterval, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->tick();
            }
        });
    }

    auto recordStoreContact(bool ok) -> void
    {
        if (ok) {
            lastStoreContact = now();
        }
        if (ok != storeHealthy) {
            logEvent(ok ? LogLevel::Info : LogLevel::Warning, ok ? "store-regained" : "store-lost",
                     {{"holder", holder != nullptr ? 1 : 0}});
        }
        storeHealthy = ok;
    }

    auto applySubmissionRecord(const KeyedRecord &record) -> void
    {
        if (record.value.empty()) {
            return;
        }
        SubmissionEntry entry;
        if (const auto ec = decodeSubmission(record, entry)) {
            logEvent(LogLevel::Warning, "record-skipped", {{"topic", submissionsTopic}, {"key", record.key}, {"error", ec.message()}});
            return;
        }
        if (const auto *announcement = std::get_if<InstanceAnnouncement>(&entry)) {
            candidates.observe(*announcement, now());
            return;
        }
        const auto &job = std::get<JobEntry>(entry);
        directory.apply(job);
        if (holder) {
            holder->apply(job);
        }
    }

    /// A main candidate reads the state topic often, and every other instance does while the holder is silent, as it may have to replace
    /// it.
    auto updateStatePollInterval() -> void
    {
        const bool silent = lease.inactiveFor(now()).value_or(Duration::zero()) >= settings.holderSilence;
        const bool often = !holder && (mainCandidate || silent);
        stateFollower->setPollInterval(Duration::zero(), often ? settings.statePollInterval : settings.relaxedStatePollInterval);
    }

    /// Announces a main candidate again and again; another instance takes its place when it is no longer heard of.
    auto announceIfDue() -> void
    {
        mainCandidate = candidates.includesSelf(now());
        if (!mainCandidate) {
            nextAnnouncement.reset();
            return;
        }
        if (!nextAnnouncement) {
            // Many instances may notice at the same time that a place is free; the announcement of one tells the others.
            nextAnnouncement =
                now() + Duration(std::uniform_int_distribution<Duration::rep>(0, settings.candidates.announceInterval.count())(random));
        } else if (now() >= *nextAnnouncement) {
            nextAnnouncement = now() + settings.candidates.announceInterval;
            announce();
        }
    }

    /// Announces to the other instances how much processor time this one has, so that the instance with the most becomes the holder.
    auto announce() -> void
    {
        if (std::exchange(announcing, true)) {
            return;
        }
        AppendRequest request{std::string(submissionsTopic),
                              {announcementRecord({settings.instance, settings.processorShare, settings.zone})},
                              std::nullopt,
                              std::nullopt,
                              0,
                              settings.appendTimeout};
        hooks.store.append(std::move(request), [weak = weak_from_this()](const AppendResult &result) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (result.status == AppendStatus::Stored) {
                self->announcing = false;
                return;
            }
            self->hooks.clock.schedule(announceRetryDelay, [weak] {
                if (const auto s = weak.lock()) {
                    s->announcing = false;
                    s->announce();
                }
            });
        });
    }

    auto decodeStateRecord(const KeyedRecord &record, StateEntry &entry) const -> bool
    {
        if (const auto ec = decodeState(record, entry)) {
            logEvent(LogLevel::Warning, "record-skipped", {{"topic", stateTopic}, {"key", record.key}, {"error", ec.message()}});
            return false;
        }
        return true;
    }

    /// Applies a record that may have been written long ago, and therefore says nothing about the present holder.
    auto applyKnownStateRecord(const KeyedRecord &record) -> void
    {
        StateEntry entry;
        if (decodeStateRecord(record, entry) && !std::holds_alternative<HolderRecord>(entry)) {
            applyState(entry);
        }
    }

    auto applyStateRecord(const KeyedRecord &record) -> void
    {
        StateEntry entry;
        if (!decodeStateRecord(record, entry)) {
            return;
        }
        const auto *claim = std::get_if<HolderRecord>(&entry);
        if (claim == nullptr) {
            lease.observeActivity(now());
            observeLoad(entry);
            applyState(entry);
            return;
        }
        const bool wasHolder = lease.isHolder();
        const bool newTerm = claim->term > lease.term();
        const bool isOwn = lease.observeHolderRecord(*claim, now());
        if (wasHolder && !lease.isHolder()) {
            stepDown("log");
        }
        if (newTerm) {
            logEvent(LogLevel::Info, "holder-changed", {{"term", claim->term}, {"instance", claim->instance.str()}});
        }
        // A claim whose response was lost may have been stored anyway.
        if (isOwn && newTerm && !holder && !draining) {
            becomeHolder(claim->term);
        }
    }

    /// Keeps a load summary that was read.
    auto observeLoad(const StateEntry &entry) -> void
    {
        const auto *summary = std::get_if<LoadSummary>(&entry);
        if (summary == nullptr) {
            return;
        }
        const bool sameTerm = load && load->summary.term == summary->term;
        // After the store has dropped its history, the newest record of the key is read again.
        if (sameTerm && summary->timeInOffice <= load->summary.timeInOffice) {
            return;
        }
        // The end of the holder's takeover by this clock, as the summary that took least time to arrive shows it. A summary that was stored
        // long after it was made, because its append got no response at first, is recognised by it.
        auto beganAt = now() - summary->timeInOffice;
        if (sameTerm) {
            const auto drift = std::chrono::duration_cast<Duration>((now() - load->readAt) * maxClockDrift);
            beganAt = std::min(beganAt, load->beganAt + drift);
        }
        load = KnownLoad{*summary, now(), stateConfirmedAt, beganAt};
    }

    auto decideAdmission(const JobSpec &spec, Duration summaryAge) const -> AdmissionDecision
    {
        const bool isPresentTerm = load && load->summary.term == lease.term();
        const auto guaranteed = configuration ? configuration->guaranteed(spec.organisation) : 0;
        return admission.decide({spec, spec.policy, guaranteed, isPresentTerm ? &load->summary : nullptr, summaryAge});
    }

    /// Returns whether a newer load summary may reject the job. Most instances read the state topic less often than the age allows up to
    /// which a summary counts, so it is read again for a job that the last known backlog would reject.
    auto mayBeRejected(const JobSpec &spec) const -> bool
    {
        return decideAdmission(spec, std::min(loadAge(), settings.admission.maxSummaryAge)).rejected;
    }

    /// Returns an upper bound of the time since the newest load summary was made.
    auto loadAge() const -> Duration
    {
        return load ? now() - std::min(load->storedAfter, load->beganAt + load->summary.timeInOffice) : Duration::max();
    }

    auto logRejection(const JobSpec &spec, const AdmissionDecision &decision) const -> void
    {
        const auto ms = [](Duration d) { return toMilliseconds(d).count(); };
        logEvent(LogLevel::Info, "job-rejected",
                 {{"job", spec.id.str()},
                  {"queue", spec.queue.str()},
                  {"organisation", spec.organisation.str()},
                  {"priority", spec.policy.priority},
                  {"objective_ms", ms(decision.objective)},
                  {"expected_end_ms", ms(decision.expectedEnd)},
                  {"earliest_end_ms", ms(decision.earliestEnd)},
                  {"units_ahead", decision.unitsAhead},
                  {"core_seconds_ahead", decision.workAhead},
                  {"core_seconds_started", decision.startedPerSecond},
                  {"summary_age_ms", ms(loadAge())},
                  {"term", load->summary.term},
                  {"retry_after_s", decision.retryAfter.count()}});
    }

    /// Rejects a job unless the topic shows that another instance has accepted it since the last read.
    auto rejectIfNotStored(const JobSpec &spec) -> void
    {
        if (loadAge() > settings.admission.maxSummaryAge / 2) {
            stateFollower->refresh([weak = weak_from_this(), spec](bool) {
                if (const auto self = weak.lock()) {
                    self->confirmRejection(spec);
                }
            });
        } else {
            confirmRejection(spec);
        }
    }

    auto confirmRejection(const JobSpec &spec) -> void
    {
        submissionsFollower->refresh([weak = weak_from_this(), spec](bool read) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (self->directory.phase(spec.id)) {
                self->answerSubmission(spec.id, {SubmitOutcome::Accepted});
                return;
            }
            if (read && self->submissionsFollower->isLoaded()) {
                if (const auto decision = self->decideAdmission(spec, self->loadAge()); decision.rejected) {
                    self->logRejection(spec, decision);
                    self->answerSubmission(spec.id, {SubmitOutcome::Rejected, decision.retryAfter});
                    return;
                }
            }
            self->storeSubmission(spec);
        });
    }

    auto storeSubmission(const JobSpec &spec) -> void
    {
        AppendRequest request{std::string(submissionsTopic), {submissionRecord(spec)}, std::nullopt, std::nullopt, 0,
                              settings.submitTimeout};
        hooks.store.append(std::move(request), [weak = weak_from_this(), spec](const AppendResult &result) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (result.status == AppendStatus::Stored) {
                self->directory.apply(JobEntry{spec.id, spec});
            }
            auto outcome = outcomeOf(result.status);
            if (outcome == SubmitOutcome::Unknown) {
                self->unansweredAppends[spec.id] = self->now();
                // The next read may be due only much later; further jobs are refused at once if the store cannot be reached.
                self->submissionsFollower->refresh([](bool) {});
            } else if (outcome == SubmitOutcome::Refused && self->mayBeStored(spec.id)) {
                outcome = SubmitOutcome::Unknown;
            }
            self->answerSubmission(spec.id, {outcome});
        });
    }

    auto answerSubmission(const JobId &job, const SubmitResult &result) -> void
    {
        const auto callbacks = std::exchange(pendingSubmissions[job], {});
        pendingSubmissions.erase(job);
        for (const auto &it : callbacks) {
            it(result);
        }
    }

    auto claimIfDue() -> void
    {
        // The announcements come with the tail of the submissions.
        const bool attached = stateFollower->isAttached() && submissionsFollower->isAttached();
        // A zone may have been evacuated before this instance has read all evacuations once.
        const bool zonesKnown = settings.dispatcher.evacuationDelay == Duration::zero() || evacuationsConfirmedAt;
        if (!attached || claiming || holder || draining || !configuration || !zonesKnown || !stateFollower->atEnd()) {
            return;
        }
        const auto claim = lease.makeClaim(now(), claimDelay());
        if (!claim) {
            return;
        }
        claiming = true;
        // The claim fences the previous holder in the same step. Its sequence number distinguishes it from another candidate's claim to the
        // same term.
        AppendRequest request{std::string(stateTopic), {holderRecord(*claim)}, stateFollower->position(), claim->term,
                              claimSequence(),         settings.appendTimeout};
        hooks.store.append(std::move(request), [weak = weak_from_this(), term = claim->term](const AppendResult &result) {
            if (const auto self = weak.lock()) {
                logEvent(LogLevel::Info, "holder-claim", {{"term", term}, {"status", appendStatusName(result.status)}});
                if (result.status == AppendStatus::Stored && !self->holder && self->lease.term() <= term && !self->draining) {
                    self->claiming = false;
                    self->becomeHolder(term);
                    return;
                }
                self->stateFollower->refresh([weak](bool) {
                    if (const auto s = weak.lock()) {
                        s->claiming = false;
                    }
                });
            }
        });
    }

    /// Returns how much longer than the best candidate this instance waits before it claims the lease.
    auto claimDelay() const -> Duration
    {
        const auto larger = candidates.findLarger(lease.latestHolder(), now());
        if (!mainCandidate || larger == MainCandidates::Larger::Elsewhere) {
            return settings.smallInstanceClaimDelay;
        }
        return larger == MainCandidates::Larger::None ? Duration::zero() : settings.lostZoneClaimDelay;
    }

    auto claimSequence() const -> std::uint64_t
    {
        constexpr std::uint64_t maxSequence = 0x3fff'ffff;
        return settings.incarnation & maxSequence;
    }

    auto becomeHolder(std::uint64_t term) -> void
    {
        lease.acquired(term);
        logEvent(LogLevel::Info, "holder-began", {{"term", term}});
        holder = std::make_shared<Holder>(settings, hooks, lease,
                                          Holder::Hooks{[this](const std::vector<KeyedRecord> &records) {
                                                            for (const auto &it : records) {
                                                                applyKnownStateRecord(it);
                                                            }
                                                        },
                                                        [this](std::string_view source) { stepDown(source); }});
        submissionsFollower->setPollInterval(settings.submissionsReadWait, Duration::zero());
        submissionsFollower->scanAtOnce();
        // The records of this holder are applied when they are stored; the state topic is still read to notice a successor.
        holder->start(claimSequence() + 1, configuration);
        holder->setEvacuatedZones(evacuatedZones);
        if (evacuationsConfirmedAt) {
            holder->evacuationsConfirmed(*evacuationsConfirmedAt);
        }
        submissionsFollower->refresh([](bool) {});
    }

    auto stepDown(std::string_view source) -> void
    {
        if (!holder) {
            return;
        }
        logEvent(LogLevel::Warning, "holder-ended", {{"term", lease.term()}, {"fenced_by", source}});
        lease.lost(now());
        // The holder is still on the call stack; it is destroyed after this call has returned.
        hooks.clock.schedule(Duration::zero(), [endedHolder = std::exchange(holder, nullptr)] {});
        hooks.workers.watchWorkers(false);
        submissionsFollower->setPollInterval(Duration::zero(), settings.submissionsPollInterval);
    }

    /// Looks up the present phase of a job.
    auto findPhase(const JobId &job, std::function<void(const LookupResult &)> done) -> void
    {
        const auto known = directory.phase(job);
        const bool current = known && (isFinal(*known) || lease.isValid(now()));
        if (current || !storeHealthy) {
            done({known, current});
            return;
        }
        stateFollower->refresh([weak = weak_from_this(), job, done = std::move(done)](bool stateRead) {
            const auto self = weak.lock();
            if (!self) {
                done({});
                return;
            }
            const auto phase = self->directory.phase(job);
            if (self->stateFollower->isLoaded() || (phase && isFinal(*phase))) {
                self->findSubmission(job, stateRead, done);
            } else {
                self->readStateOf(job, done);
            }
        });
    }

    /// Reads the state records of one job, while those of all jobs are still being read.
    auto readStateOf(const JobId &job, std::function<void(const LookupResult &)> done) -> void
    {
        hooks.store.readNewest({std::string(stateTopic), keyBefore(job)},
                               [weak = weak_from_this(), job, done = std::move(done)](const NewestResult &page) {
                                   const auto self = weak.lock();
                                   if (!self) {
                                       done({});
                                       return;
                                   }
                                   for (const auto &it : page.records) {
                                       if (isStateKeyOf(it.key, job)) {
                                           self->applyKnownStateRecord(it);
                                       }
                                   }
                                   self->findSubmission(job, page.ok, done);
                               });
    }

    /// Looks up a job whose state is known as far as \a stateRead says, and reads new submissions if it is not known at all.
    auto findSubmission(const JobId &job, bool stateRead, std::function<void(const LookupResult &)> done) -> void
    {
        if (const auto phase = directory.phase(job)) {
            done({phase, stateRead});
            return;
        }
        submissionsFollower->refresh([weak = weak_from_this(), job, stateRead, done = std::move(done)](bool submissionsRead) {
            const auto self = weak.lock();
            const bool complete = self && submissionsRead && self->submissionsFollower->isLoaded();
            done({self ? self->directory.phase(job) : std::nullopt, stateRead && complete});
        });
    }

    /// Calls \a done when the job has ended or the wait has timed out.
    auto awaitOutcome(const JobId &job, std::function<void(const LookupResult &)> done) -> void
    {
        const auto until = now() + settings.lookupWait;
        const auto waiter = std::make_shared<std::function<void(const LookupResult &)>>(std::move(done));
        lookupWaiters[job].push_back(waiter);
        // The topic has just been read.
        scheduleReadForWaiters(until);
        hooks.clock.schedule(settings.lookupWait, [weak = weak_from_this(), job, waiter] {
            if (const auto self = weak.lock()) {
                self->answerWaiter(job, waiter);
            }
        });
    }

    using LookupWaiter = std::shared_ptr<std::function<void(const LookupResult &)>>;

    auto answerWaiter(const JobId &job, const LookupWaiter &waiter) -> void
    {
        const auto it = lookupWaiters.find(job);
        if (it != lookupWaiters.end() && std::erase(it->second, waiter) > 0) {
            if (it->second.empty()) {
                lookupWaiters.erase(it);
            }
            (*waiter)({directory.phase(job), true});
        }
    }

    /// Continues to read while a caller waits. The holder does not need to: it applies its own records.
    auto readForWaiters(TimePoint until) -> void
    {
        if (!holder && !lookupWaiters.empty() && now() < until) {
            stateFollower->awaitRecords(until - now());
            scheduleReadForWaiters(until);
        }
    }

    auto scheduleReadForWaiters(TimePoint until) -> void
    {
        hooks.clock.schedule(waiterReadInterval, [weak = weak_from_this(), until] {
            if (const auto self = weak.lock()) {
                self->readForWaiters(until);
            }
        });
    }

    auto applyState(const StateEntry &entry) -> void
    {
        directory.apply(entry);
        if (const auto *outcome = std::get_if<OutcomeEntry>(&entry)) {
            const auto it = lookupWaiters.find(outcome->job);
            if (it != lookupWaiters.end()) {
                for (const auto &waiter : std::vector<LookupWaiter>(it->second)) {
                    answerWaiter(outcome->job, waiter);
                }
            }
        }
    }

    /// Returns whether an earlier append of this job, which got no response, may still be carried out. Reporting the job as refused would
    /// then be wrong.
    auto mayBeStored(const JobId &job) -> bool
    {
        std::erase_if(unansweredAppends, [this](const auto &u) { return now() > u.second + settings.maxAppendDelay; });
        return unansweredAppends.contains(job);
    }

    /// Returns whether a job that is not known may become known, because this instance's append of it is in progress or got no response.
    auto isSubmissionOpen(const JobId &job) -> bool
    {
        return pendingSubmissions.contains(job) || mayBeStored(job);
    }

    /// Stores the cancellation of a job that has not ended. One that is not known may have been submitted to another instance, whose append
    /// may be carried out after this one; the record then cancels it as well.
    auto storeCancellation(const JobId &job, bool isKnown, std::function<void(SubmitOutcome)> done) -> void
    {
        if (directory.isCancelled(job)) {
            done(cancelledOutcome(job, isKnown));
            return;
        }
        AppendRequest request{std::string(submissionsTopic), {cancellationRecord(job)}, std::nullopt, std::nullopt, 0,
                              settings.submitTimeout};
        hooks.store.append(std::move(request), [weak = weak_from_this(), job, isKnown, done = std::move(done)](const AppendResult &result) {
            const auto self = weak.lock();
            if (!self || result.status != AppendStatus::Stored) {
                done(outcomeOf(result.status));
                return;
            }
            self->directory.apply(JobEntry{job, std::nullopt});
            done(self->cancelledOutcome(job, isKnown));
        });
    }

    auto cancelledOutcome(const JobId &job, bool isKnown) -> SubmitOutcome
    {
        return isKnown || isSubmissionOpen(job) ? SubmitOutcome::Accepted : SubmitOutcome::NoSuchJob;
    }

    EngineSettings settings;
    EngineHooks hooks;
    LogLease lease;
    AdmissionPolicy admission;
    std::optional<KnownLoad> load;
    /// Every record of the state topic that was appended before this time has been read; long ago when none has.
    TimePoint stateConfirmedAt;
    MainCandidates candidates;
    std::minstd_rand random;
    JobDirectory directory;
    /// Both topics have been read once, so that the directory contains every job.
    bool topicsRead = false;
    /// Jobs whose last append got no response, with the time at which it failed.
    std::map<JobId, TimePoint> unansweredAppends;
    std::map<JobId, std::vector<LookupWaiter>> lookupWaiters;
    std::unique_ptr<TopicFollower> submissionsFollower;
    std::unique_ptr<TopicFollower> stateFollower;
    std::shared_ptr<const Configuration> configuration;
    TimePoint configurationConfirmedAt;
    std::set<ZoneName> evacuatedZones;
    std::optional<TimePoint> evacuationsConfirmedAt;
    std::shared_ptr<Holder> holder;
    bool mainCandidate = true;
    std::optional<TimePoint> nextAnnouncement;
    bool announcing = false;
    bool claiming = false;
    bool draining = false;
    bool storeHealthy = false;
    TimePoint lastStoreContact;
    /// Jobs that are being stored, or whose rejection is being confirmed.
    std::map<JobId, std::vector<std::function<void(const SubmitResult &)>>> pendingSubmissions;
};

Engine::Engine(EngineSettings settings, EngineHooks hooks)
    : m_state(std::make_shared<State>(std::move(settings), std::move(hooks)))
{
}

Engine::~Engine() = default;

auto Engine::start() -> void
{
    m_state->start();
}

auto Engine::setConfiguration(Configuration configuration) -> void
{
    auto &s = *m_state;
    if (s.configuration && configuration.version <= s.configuration->version) {
        return;
    }
    logEvent(LogLevel::Info, "configuration-in-force",
             {{"version", configuration.version}, {"queues", configuration.queues.size()}, {"keys", configuration.apiKeys.size()}});
    s.configuration = std::make_shared<const Configuration>(std::move(configuration));
    if (s.holder) {
        s.holder->setConfiguration(s.configuration);
    }
}

auto Engine::configurationConfirmed(TimePoint at) -> void
{
    m_state->configurationConfirmedAt = std::max(m_state->configurationConfirmedAt, at);
}

auto Engine::setEvacuatedZones(std::set<ZoneName> zones) -> void
{
    auto &s = *m_state;
    s.evacuatedZones = std::move(zones);
    if (s.holder) {
        s.holder->setEvacuatedZones(s.evacuatedZones);
    }
}

auto Engine::operatorStateConfirmed(TimePoint at) -> void
{
    auto &s = *m_state;
    s.evacuationsConfirmedAt = std::max(at, s.evacuationsConfirmedAt.value_or(at));
    if (s.holder) {
        s.holder->evacuationsConfirmed(*s.evacuationsConfirmedAt);
    }
}

auto Engine::recordStoreContact(bool ok) -> void
{
    m_state->recordStoreContact(ok);
}

auto Engine::admit(std::string_view host, std::string_view path, std::string_view key) const -> AdmissionResult
{
    const auto &s = *m_state;
    if (!s.apiKeysTrusted()) {
        return {Admission::Unready, nullptr, {}};
    }
    const auto *queue = s.configuration->findQueue(host, path);
    if (queue == nullptr) {
        return {Admission::UnknownQueue, nullptr, {}};
    }
    const auto found = s.configuration->apiKeys.find(key);
    if (found == s.configuration->apiKeys.end() && !queue->isPublic) {
        return {Admission::UnknownKey, nullptr, {}};
    }
    return {Admission::Admitted, queue, found == s.configuration->apiKeys.end() ? OrganisationName() : found->second};
}

auto Engine::submit(const JobSpec &spec, std::function<void(const SubmitResult &)> done) -> void
{
    auto &s = *m_state;
    if (s.directory.phase(spec.id)) {
        done({SubmitOutcome::Accepted});
        return;
    }
    if (const auto pending = s.pendingSubmissions.find(spec.id); pending != s.pendingSubmissions.end()) {
        pending->second.push_back(std::move(done));
        return;
    }
    const bool mayBeStored = s.mayBeStored(spec.id);
    if (!s.storeHealthy) {
        done({mayBeStored ? SubmitOutcome::Unknown : SubmitOutcome::Refused});
        return;
    }
    s.pendingSubmissions[spec.id].push_back(std::move(done));
    if (!mayBeStored && s.mayBeRejected(spec)) {
        s.rejectIfNotStored(spec);
    } else {
        s.storeSubmission(spec);
    }
}

auto Engine::cancel(const JobId &job, std::function<void(SubmitOutcome)> done) -> void
{
    m_state->findPhase(job, [weak = std::weak_ptr(m_state), job, done = std::move(done)](const LookupResult &found) {
        const auto self = weak.lock();
        if (!self || (!found.phase && !found.upToDate)) {
            done(SubmitOutcome::Refused);
        } else if (found.phase && isFinal(*found.phase)) {
            done(SubmitOutcome::Accepted);
        } else {
            self->storeCancellation(job, found.phase.has_value(), done);
        }
    });
}

auto Engine::lookup(const JobId &job, std::function<void(const LookupResult &)> done) -> void
{
    auto &s = *m_state;
    s.findPhase(job, [weak = std::weak_ptr(m_state), job, done = std::move(done)](const LookupResult &found) {
        const auto self = weak.lock();
        if (self && found.upToDate && found.phase == JobPhase::Running) {
            self->awaitOutcome(job, done);
        } else if (self && !found.phase && self->isSubmissionOpen(job)) {
            const bool isCancelled = self->directory.isCancelled(job);
            done({isCancelled ? std::optional(JobPhase::Cancelled) : std::nullopt, isCancelled});
        } else {
            done(found);
        }
    });
}

auto Engine::waitingJobs(const QueueName &queue) const -> std::optional<std::size_t>
{
    const auto &s = *m_state;
    return s.topicsRead ? std::optional(s.directory.waitingJobs(queue)) : std::nullopt;
}

auto Engine::workerListed(const WorkerInfo &worker) -> void
{
    if (m_state->holder) {
        m_state->holder->workerListed(worker);
    }
}

auto Engine::workerUnlisted(const WorkerName &worker) -> void
{
    if (m_state->holder) {
        m_state->holder->workerUnlisted(worker);
    }
}

auto Engine::isReady() const -> bool
{
    const auto &s = *m_state;
    return s.apiKeysTrusted() && s.now() < s.lastStoreContact + s.settings.readinessTimeout;
}

auto Engine::isHolder() const -> bool
{
    return m_state->holder != nullptr;
}

auto Engine::drain(std::function<void()> done) -> void
{
    auto &s = *m_state;
    s.draining = true;
    const auto until = s.now() + s.settings.drainTime;
    const auto finish = [weak = std::weak_ptr(m_state), until, done = std::move(done)] {
        if (const auto self = weak.lock()) {
            self->hooks.clock.schedule(until - self->now(), done);
        }
    };
    if (!s.holder) {
        finish();
        return;
    }
    s.holder->pause();
    s.hooks.clock.schedule(releaseDelay, [weak = std::weak_ptr(m_state), finish] {
        const auto self = weak.lock();
        if (!self || !self->holder) {
            finish();
            return;
        }
        self->holder->release([weak, finish] {
            if (const auto s2 = weak.lock()) {
                s2->stepDown("released");
            }
            finish();
        });
    });
}

auto Engine::instanceState() const -> InstanceState
{
    const auto &s = *m_state;
    const auto now = s.now();
    return {s.lease.term(),
            s.directory.size(),
            s.configuration ? s.configuration->version : 0,
            s.evacuatedZones.size(),
            now - s.configurationConfirmedAt,
            now - s.lastStoreContact};
}

auto Engine::stats() const -> DispatcherStats
{
    return m_state->holder ? m_state->holder->stats() : DispatcherStats{};
}

} // namespace Acaciarail::Workflow
