#pragma once

#include <acaciarail/workflow/admission_policy.h>
#include <acaciarail/workflow/configuration.h>
#include <acaciarail/workflow/dispatcher.h>
#include <acaciarail/workflow/log_lease.h>
#include <acaciarail/workflow/main_candidates.h>
#include <acaciarail/workflow/store.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace Acaciarail::Workflow {

struct EngineSettings
{
    InstanceName instance;
    /// Identifies one run of the process between start and exit; differs after every restart of the instance.
    std::uint64_t incarnation = 0;
    /// Fraction of a core that is available to the instance.
    double processorShare = 1.0;
    /// The instance's zone; empty when it is not known.
    ZoneName zone;
    MainCandidatesSettings candidates;
    /// Additional claim delay of an instance that has less processor time than another one, or is no main candidate; longer than the random
    /// part of the claim delay and the poll interval of the state topic together. The holder that is to be replaced does not count.
    Duration smallInstanceClaimDelay = 800ms;
    /// Additional claim delay when all instances with more processor time are in the zone of the holder that is to be replaced, which may
    /// be lost as a whole; the poll interval of the state topic.
    Duration lostZoneClaimDelay = 300ms;
    DispatcherSettings dispatcher;
    LogLeaseSettings lease;
    AdmissionSettings admission;
    /// Interval at which a main candidate reads the state topic, and every instance while the holder is silent; a quarter of the holder's
    /// time to live.
    Duration statePollInterval = 300ms;
    /// Interval at which the other instances and the holder read the state topic. A takeover is later by at most this much when all main
    /// candidates are gone. Half of the age up to which a load summary counts, since the age of one is known only to within this interval.
    Duration relaxedStatePollInterval = 1s;
    /// The holder is silent when this long no record of it has been read; two of its renewals.
    Duration holderSilence = 600ms;
    /// Interval at which an instance that is not the holder reads the submissions topic; the queue lengths that it reports are at most 2 s
    /// old.
    Duration submissionsPollInterval = 1800ms;
    /// How long a read of the submissions topic by the holder waits for a record.
    Duration submissionsReadWait = 1s;
    /// How long a read of the operator's topic waits for a record. A connection that no longer responds is noticed after this time and the
    /// timeout of a call; the read that follows does not wait, so that the API keys are confirmed again before they are no longer trusted.
    Duration configurationReadWait = 2s;
    /// Timeout of an append that a caller waits for.
    Duration submitTimeout = 800ms;
    /// Timeout of an append of the holder.
    Duration appendTimeout = 1s;
    /// Delay before the holder retries a failed append.
    Duration appendRetryDelay = 100ms;
    /// An append without a response may still be carried out up to this much later; twice the delay that the platform documents.
    Duration maxAppendDelay = 12s;
    /// A lookup of a running job is answered after this long, or as soon as the job has ended. Callers ask when the last task has ended,
    /// but this instance learns that the job has ended only after a poll, an append and a read; a caller that is told in between that the
    /// job is running asks again much later.
    Duration lookupWait = 150ms;
    /// Callers may look up the outcome of a job for this long; then its records are removed from the store.
    Duration outcomeRetention = 180s;
    /// Interval at which the holder removes expired records; limits the number of calls to the store.
    Duration removalInterval = 1s;
    /// Jobs whose records are removed at once, at most; limits the size of a call to the store.
    std::size_t removalBatchSize = 200;
    /// An instance that shuts down serves requests for this long, until two health checks of the load balancer have failed.
    Duration drainTime = 2500ms;
    /// Interval between two decisions of the holder when no event arrives.
    Duration idleDecisionInterval = 50ms;
    /// Events that arrive within this time are handled by one decision; limits the processor time of a burst.
    Duration eventBatchDelay = 2ms;
    /// A start command that has waited this long to be sent is dropped, and the unit is placed again.
    Duration maxStartDelay = 500ms;
    /// Longest time for which a revoked API key may still work; from the platform's limits.
    Duration keyRevocationDelay = 5s;
    /// API keys are trusted for keyRevocationDelay less this margin after the last confirmation of the configuration; the margin is for
    /// requests in transit.
    Duration keyRevocationMargin = 700ms;
    /// An instance without contact to the store for this long reports that it is not ready; the platform's own timeout of a health check is
    /// two seconds.
    Duration readinessTimeout = 2500ms;
};

/// Commands to workers. Each hook calls its callback once, never before the hook returns.
struct WorkerHooks
{
    struct PollResponse
    {
        /// The worker has seen a higher term.
        bool fenced = false;
        /// Another worker responded at the address of this one, which therefore has ended, and its runs with it.
        bool replaced = false;
        /// Empty when there was no usable response.
        std::optional<WorkerReport> report;
        /// False when the command was certainly not sent, and therefore renews nothing.
        bool maybeSent = true;
    };
    struct StopResponse
    {
        bool fenced = false;
        bool answered = false;
    };
    std::function<void(const StartCommand &, std::uint64_t term, std::function<void(StartOutcome)>)> start;
    std::function<void(const StopCommand &, std::uint64_t term, std::function<void(StopResponse)>)> stop;
    std::function<void(const PollCommand &, std::uint64_t term, std::function<void(PollResponse)>)> poll;
    /// Starts or stops calls of Engine::workerListed() and Engine::workerUnlisted() for the workers that the platform lists.
    std::function<void(bool)> watchWorkers;
    /// Asks the platform which workers run; the result is empty when it does not say. The hook may be empty.
    std::function<void(std::function<void(std::optional<RunningWorkers>)>)> listRunningWorkers = {};
};

struct EngineHooks
{
    StoreHooks store;
    WorkerHooks workers;
    ClockHooks clock;
    /// Called for each decision of the holder, after it is logged; may be empty.
    std::function<void(const DispatchEvent &)> observe = {};
    /// Called with the time from the claim to the first decision of a new holder; may be empty.
    std::function<void(Duration)> takeoverCompleted = {};
};

enum class Admission : std::uint8_t {
    Admitted,
    /// No configuration has been read yet, or the API keys may be outdated.
    Unready,
    UnknownQueue,
    UnknownKey,
};

struct AdmissionResult
{
    Admission status = Admission::Unready;
    /// Set when admitted.
    const Queue *queue = nullptr;
    OrganisationName organisation;
};

enum class SubmitOutcome : std::uint8_t {
    /// The request is stored.
    Accepted,
    /// The request is not stored and never will be.
    Refused,
    /// Likewise, because under the present load the job would end when it has no value any more.
    Rejected,
    /// There is no such job, and if it was submitted before, it will not run.
    NoSuchJob,
    /// The request may be stored.
    Unknown,
};

struct SubmitResult
{
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    /// When rejected: time after which the caller may try again.
    std::chrono::seconds retryAfter{};
};

struct LookupResult
{
    /// Empty when the job is not known.
    std::optional<JobPhase> phase;
    /// Whether the result is up to date. Otherwise the store could not be read, and a job that is not known here may exist.
    bool upToDate = false;
};

/// State of an instance for its metrics.
struct InstanceState
{
    std::uint64_t term = 0;
    std::size_t knownJobs = 0;
    std::uint64_t configurationVersion = 0;
    std::size_t evacuatedZones = 0;
    /// Time since the configuration was last confirmed to be the newest.
    Duration configurationAge{};
    Duration timeSinceStoreContact{};
};

/// An instance: accepts jobs, answers lookups of them, and runs them while it is the holder of the lease. All durable state is in the
/// store; a restarted instance begins without any. Not thread-safe.
class Engine
{
public:
    /// \pre the hooks stay callable until the engine is destroyed.
    Engine(EngineSettings settings, EngineHooks hooks);
    ~Engine();
    Engine(const Engine &) = delete;
    auto operator=(const Engine &) -> Engine & = delete;

    /// Starts to read the topics of the store. \pre not started.
    auto start() -> void;

    /// Applies a configuration unless its version is not newer than the present one. \pre none.
    auto setConfiguration(Configuration configuration) -> void;
    /// Records that the configuration was the newest at \a at. \pre none.
    auto configurationConfirmed(TimePoint at) -> void;
    /// Sets the availability zones in which nothing may be started. \pre none.
    auto setEvacuatedZones(std::set<ZoneName> zones) -> void;
    /// Records that the evacuated zones contain every change that was stored before \a at. While DispatcherSettings::evacuationDelay is
    /// set, an instance becomes the holder only after this was called once. \pre none.
    auto operatorStateConfirmed(TimePoint at) -> void;
    /// Records whether a call to the store succeeded. \pre none.
    auto recordStoreContact(bool ok) -> void;

    /// Finds the queue of a request and checks its API key. The queue is valid until the next configuration. \pre none.
    [[nodiscard]] auto admit(std::string_view host, std::string_view path, std::string_view key) const -> AdmissionResult;

    /// Stores a job so that it will run, or rejects it because of the load; a job that is known, is being stored or may be stored is never
    /// rejected. \a done may be called before this returns. \pre none.
    auto submit(const JobSpec &spec, std::function<void(const SubmitResult &)> done) -> void;
    /// Cancels a job. The cancellation of one that is not known is stored as well, since another instance may still store its submission.
    /// \a done may be called before this returns. \pre none.
    auto cancel(const JobId &job, std::function<void(SubmitOutcome)> done) -> void;
    /// Looks up the present phase of a job; when the store cannot be reached, the phase as of the last contact. Waits for a running job to
    /// end, for EngineSettings::lookupWait at most. The result is not up to date while a submission through this instance may still be
    /// stored. \pre none.
    auto lookup(const JobId &job, std::function<void(const LookupResult &)> done) -> void;
    /// Returns the number of accepted jobs of a queue that have not started; empty until both topics have been read once. \pre none.
    [[nodiscard]] auto waitingJobs(const QueueName &queue) const -> std::optional<std::size_t>;

    /// \pre none.
    auto workerListed(const WorkerInfo &worker) -> void;
    /// \pre none.
    auto workerUnlisted(const WorkerName &worker) -> void;

    /// Returns whether the instance is ready for new connections. \pre none.
    [[nodiscard]] auto isReady() const -> bool;
    [[nodiscard]] auto isHolder() const -> bool;

    /// Begins a graceful shutdown: releases the lease, and calls \a done once it is released and the load balancer is expected to send no
    /// new connections. Requests are still served. \pre none.
    auto drain(std::function<void()> done) -> void;

    /// Returns the statistics of the holder; zeros when this instance is not the holder. \pre none.
    [[nodiscard]] auto stats() const -> DispatcherStats;
    /// \pre none.
    [[nodiscard]] auto instanceState() const -> InstanceState;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
