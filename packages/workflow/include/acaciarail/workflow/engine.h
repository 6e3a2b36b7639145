#pragma once

#include <acaciarail/workflow/configuration.h>
#include <acaciarail/workflow/dispatcher.h>
#include <acaciarail/workflow/log_lease.h>
#include <acaciarail/workflow/store.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Acaciarail::Workflow {

struct EngineSettings
{
    InstanceName instance;
    /// Differs between two lives of the instance.
    std::uint64_t incarnation = 0;
    /// Share of a core that the instance has.
    double processorShare = 1.0;
    /// An instance that has less processor than another waits this much longer before it becomes the holder; more than the random part of
    /// a candidate's patience and the pace of the follower together.
    Duration smallInstanceDelay = 800ms;
    DispatcherSettings dispatcher;
    LogLeaseSettings lease;
    /// Pace at which an instance that is not the holder reads the state topic; a quarter of the holder's time to live.
    Duration statePace = 300ms;
    /// Pace at which an instance that is not the holder reads the intake topic; the queue lengths shown are at most this old.
    Duration intakePace = 1s;
    /// How long the holder's reads of the intake topic wait.
    Duration intakeWait = 1s;
    /// Time for an append that a caller waits for.
    Duration submitTimeout = 800ms;
    /// Time for an append of the holder.
    Duration appendTimeout = 1s;
    /// Pause before the holder repeats an append that failed.
    Duration appendRetry = 100ms;
    /// An append without an answer may be carried out this much later; twice what the platform describes.
    Duration lateAppend = 12s;
    /// A question about a running job is answered after this long, or as soon as the job has ended. Callers ask when the last task has
    /// ended, which takes a look, an append and a read to become known here; who asks in between would ask again much later.
    Duration lookupWait = 150ms;
    /// Callers may ask for the outcome of a job for this long; then its records are removed from the store.
    Duration outcomeRetention = 180s;
    /// Pace at which the holder removes records, and jobs that it removes at once; they bound the calls to the store.
    Duration removalPace = 1s;
    std::size_t removalBatch = 200;
    /// An instance that leaves serves for this long, until the balancer has missed two checks.
    Duration leaveTime = 2500ms;
    /// Pace of the holder's decisions when nothing happens.
    Duration holderTick = 50ms;
    /// Events this close together are decided upon at once; bounds the processor time of a burst.
    Duration gatherTime = 2ms;
    /// Longest time for which a withdrawn key may still work; from the platform's bounds.
    Duration keyRevocation = 5s;
    /// Keys are trusted for this much less, counted from the last confirmation of the configuration, for requests that are on their way.
    Duration keyMargin = 700ms;
    /// An instance without contact to the store for this long takes no new connections; the platform's own patience with a check is two
    /// seconds.
    Duration readyTrust = 2500ms;
};

/// Orders to workers. Each hook calls back once, never from inside the call.
struct WorkerHooks
{
    struct PollResponse
    {
        /// The worker has seen a higher term.
        bool fenced = false;
        /// Another worker answers at its address: this one has ended, and what it ran with it.
        bool replaced = false;
        /// Empty when there was no usable answer.
        std::optional<WorkerReport> report;
    };
    struct StopResponse
    {
        bool fenced = false;
        bool answered = false;
    };
    std::function<void(const StartCommand &, std::uint64_t term, std::function<void(StartOutcome)>)> start;
    std::function<void(const StopCommand &, std::uint64_t term, std::function<void(StopResponse)>)> stop;
    std::function<void(const PollCommand &, std::uint64_t term, std::function<void(PollResponse)>)> poll;
    /// Starts or ends the reports of listed workers through Engine::workerListed() and Engine::workerUnlisted().
    std::function<void(bool)> watch;
};

struct EngineHooks
{
    StoreHooks store;
    WorkerHooks workers;
    ClockHooks clock;
    /// Called for each decision of the holder, after its log line; may be empty.
    std::function<void(const DispatchEvent &)> observe = {};
    /// Called with the time from the claim to the first decision of a holder; may be empty.
    std::function<void(Duration)> tookOver = {};
};

enum class Admission : std::uint8_t {
    Admitted,
    /// No configuration has been read yet, or the keys may be out of date.
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
    /// There is no such job.
    NoSuchJob,
    /// The request may be stored.
    Unknown,
};

struct LookupResult
{
    /// Empty when the job is not known.
    std::optional<JobPhase> phase;
    /// Whether the store could be asked; without it, an unknown job may exist.
    bool certain = false;
};

/// What an instance knows, for its metrics.
struct InstanceState
{
    std::uint64_t term = 0;
    std::size_t knownJobs = 0;
    std::uint64_t configurationVersion = 0;
    /// Since the configuration was last confirmed to be the newest.
    Duration configurationAge{};
    Duration storeSilence{};
};

/// An instance: it accepts jobs, answers questions about them, and, while it holds the lease, runs them. Everything durable is in the
/// store; an instance that starts anew knows nothing. Not thread-safe.
class Engine
{
public:
    /// \pre the hooks stay callable until the engine is destroyed.
    Engine(EngineSettings settings, EngineHooks hooks);
    ~Engine();
    Engine(const Engine &) = delete;
    auto operator=(const Engine &) -> Engine & = delete;

    /// Starts to follow the store. \pre not started.
    auto start() -> void;

    /// Puts a configuration into force unless it is older than the present one. \pre none.
    auto setConfiguration(Configuration configuration) -> void;
    /// The configuration was known to be the newest at \a at. \pre none.
    auto configurationConfirmed(TimePoint at) -> void;
    /// A call to the store succeeded or failed. \pre none.
    auto storeContact(bool ok) -> void;

    /// Finds the queue of a request and checks its key. The queue is valid until the next configuration. \pre none.
    [[nodiscard]] auto admit(std::string_view host, std::string_view path, std::string_view key) const -> AdmissionResult;

    /// Accepts a job. \a done may be called from inside. \pre none.
    auto submit(const JobSpec &spec, std::function<void(SubmitOutcome)> done) -> void;
    /// Cancels a job. \a done may be called from inside. \pre none.
    auto cancel(const JobId &job, std::function<void(SubmitOutcome)> done) -> void;
    /// Looks a job up as of now; as of the last contact when the store cannot be reached. Waits for a running job to end, for
    /// EngineSettings::lookupWait at most. \pre none.
    auto lookup(const JobId &job, std::function<void(const LookupResult &)> done) -> void;
    /// Returns the accepted jobs of a queue that have not begun. \pre none.
    [[nodiscard]] auto waiting(const QueueName &queue) const -> std::size_t;

    /// \pre none.
    auto workerListed(const WorkerInfo &worker) -> void;
    /// \pre none.
    auto workerUnlisted(const WorkerName &worker) -> void;

    /// Whether new connections are welcome. \pre none.
    [[nodiscard]] auto ready() const -> bool;
    [[nodiscard]] auto holds() const -> bool;

    /// Hands the holder's role over, and calls \a done once that is done and no new connections are expected; requests are still served.
    /// \pre none.
    auto leave(std::function<void()> done) -> void;

    /// Returns the figures of the holder; zeros where this instance is not. \pre none.
    [[nodiscard]] auto stats() const -> DispatcherStats;
    /// \pre none.
    [[nodiscard]] auto instanceState() const -> InstanceState;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
