#pragma once

#include <acaciarail/workflow.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// Workers, a store and one holder in simulated time. Commands take effect at once unless commandDelay says otherwise; a poll that waits is
/// answered when a run ends.
class FakeFleet
{
public:
    /// \a racks racks of \a perRack workers of \a capacity each.
    FakeFleet(std::size_t racks, std::size_t perRack, Demand capacity);

    auto submit(JobSpec spec) -> void;
    auto cancel(const std::string &job) -> void;
    /// Advances the simulated time.
    auto run(Duration length) -> void;
    /// Advances the simulated time until \a done returns true or the limit is reached; returns the last result of \a done.
    auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;
    /// Replaces the holder by one that knows only the stored records.
    auto takeOver() -> void;
    /// Disconnects a worker. Its runs continue until their leases expire by the worker's clock, which is 2% slow.
    auto disconnect(const std::string &worker) -> void;
    /// Crashes a worker whose machine refuses further connections; a poll that waits gets no response.
    auto crash(const std::string &worker) -> void;
    /// A worker ends without a word, as its machine loses power; when \a isForGood, the machine does not exist any more either.
    auto lose(const std::string &worker, bool isForGood) -> void;
    /// Connects a disconnected worker again.
    auto reconnect(const std::string &worker) -> void;
    /// A worker reports that it is going to shut down, in \a remaining at the earliest.
    auto announceShutdown(const std::string &worker, Duration remaining) -> void;
    /// Adds a worker's entry to the list again.
    auto list(const std::string &worker) -> void;
    /// Removes a worker's entry from the list.
    auto unlist(const std::string &worker) -> void;
    /// Restarts a worker: its runs end without a report, and it knows nothing of before. Its entry is as it was until list() is called.
    auto restart(const std::string &worker) -> void;
    /// Restarts a worker as one of another service or kind, that is its first label. The holder reads the new entry when list() is called;
    /// until then the list holds the entry of an earlier life, also for a new holder.
    auto restartAs(const std::string &worker, const std::string &service, const std::string &kind) -> void;
    /// The list is read again from an older position: the entry before the newest one arrives again. Does nothing when there is none.
    auto listEarlierEntry(const std::string &worker) -> void;
    /// The newest entry of a worker arrives again; it may be that of an earlier life, see restartAs().
    auto listNewestEntry(const std::string &worker) -> void;
    /// A new version of the configuration sends a queue to another service.
    auto moveQueue(const std::string &queue, const std::string &service) -> void;
    /// Shuts a worker down: its runs end without a report, and its entry is removed.
    auto shutDown(const std::string &worker) -> void;

    /// Evacuates a zone, or revokes it. The holder learns of it at once, or when operatorTopicReadable is true again.
    auto evacuate(const std::string &zone, bool on = true) -> void;

    [[nodiscard]] auto now() const -> TimePoint;
    [[nodiscard]] auto outcome(const std::string &job) const -> std::optional<JobPhase>;
    /// Time from submission to outcome.
    [[nodiscard]] auto latency(const std::string &job) const -> Duration;
    [[nodiscard]] auto stats() const -> DispatcherStats;

    struct Run
    {
        StartCommand command;
        TimePoint startedAt;
        std::optional<EndKind> end;
        TimePoint endedAt;
        /// The worker restarted or shut down, and will not report the end.
        bool isForgotten = false;
        /// Number of the end, and whether the holder has acknowledged it.
        std::uint64_t endNumber = 0;
        bool acknowledged = false;
        /// The worker's lease expired between the end and its acknowledgement, so the end need not be heeded.
        bool lapsedBeforeAcknowledgement = false;
        /// The end was acknowledged by a poll that the holder sent before it knew of this life, so it was never reported.
        bool acknowledgedToEarlierLife = false;
        /// When a stop takes effect.
        std::optional<TimePoint> stopsAt;
    };
    /// What the holder knew of the life that a start reached.
    enum class Awareness {
        /// An entry or a report of this life had reached the holder when it sent the start.
        Known,
        /// The worker had restarted, and neither an entry nor a report of the new life had reached the holder.
        Unknown,
        /// The worker restarted after the start was sent, and the new life carried it out late.
        Late,
    };
    /// What the holder had read of the life's entry when the start was carried out.
    enum class EntryKnowledge {
        Unread,
        /// It has read that of an earlier life since.
        Replaced,
        Newest,
    };
    /// A start that the worker's present life may not get, or that reached another life than the holder knew.
    struct StartFinding
    {
        StartCommand command;
        Awareness awareness = Awareness::Known;
        /// Of an ineligible start: what it breaks.
        std::string rule;
        /// Of an ineligible start on a life that the holder knew: its violation.
        std::string violation;
        EntryKnowledge entry = EntryKnowledge::Unread;
        TimePoint at;
    };
    struct FakeWorker
    {
        WorkerInfo info;
        bool reachable = true;
        /// Its process has ended, and no other one has started under its name.
        bool hasEnded = false;
        bool machineExists = true;
        /// While it is not reachable, commands are known not to have been sent.
        bool refusesConnections = false;
        /// Responses to the next start commands, whether or not they match what the worker did; the first command is carried out. Further
        /// commands are answered correctly.
        std::vector<StartOutcome> scriptedResponses;
        /// Response to all start commands, which the worker does not carry out.
        std::optional<StartOutcome> refusal;
        /// Commands that grant or renew a task lease are carried out, but their responses do not arrive.
        bool withholdsResponses = false;
        /// Factor by which tasks take longer than on a healthy worker; 0 for no progress at all.
        double slowdown = 1.0;
        bool failsAllRuns = false;
        std::vector<Run> runs;
        /// Of everything that runs on the worker.
        TimePoint leaseEnds;
        /// The newest term of a command.
        std::uint64_t term = 0;
        /// Highest run of each task that was stopped or has ended; starts of these and of earlier runs are refused.
        std::map<TaskId, std::uint32_t> refusedRuns;
        std::vector<EndedTask> ends;
        std::uint64_t endCount = 0;
        std::optional<std::pair<PollCommand, TimePoint>> pendingPoll;
        /// Life that the holder knew when it sent the pending poll.
        std::int64_t pendingPollAddressee = 0;
        /// The newest entry in the list while it is that of an earlier life.
        std::optional<WorkerInfo> outdatedEntry;
        /// The entry of an earlier life before the newest one.
        std::optional<WorkerInfo> earlierEntry;
        /// Newest life that an entry or a report to the present holder named, newest life of an entry that it read, and life of the entry
        /// that it read last.
        std::int64_t knownIncarnation = 0;
        std::int64_t newestListedIncarnation = 0;
        std::int64_t listedIncarnation = 0;
    };

    /// Most ends that a worker lists in one report, the earliest first; the platform's limit.
    static constexpr std::size_t maxListedEnds = 500;
    /// Of the next holder.
    DispatcherSettings settings;
    /// Run time of a task on a healthy worker.
    std::function<Duration(const TaskId &)> duration;
    /// How a run ends when its run time has passed.
    std::function<EndKind(const StartCommand &)> ending = [](const StartCommand &) { return EndKind::Done; };
    /// Checkpoint that is reported with every end of a run.
    std::string checkpointAtEnd;
    std::map<WorkerName, FakeWorker> workers;
    std::map<std::string, std::string> stored;
    std::shared_ptr<Configuration> configuration = std::make_shared<Configuration>();
    /// Returns by how much a command is delayed that grants or renews a task lease, or one that does not. A delayed command gets no
    /// response, and is carried out also by a worker that is disconnected; its lease counts from then on. Commands take effect at once when
    /// this is empty or returns nothing.
    std::function<std::optional<Duration>(bool grants)> commandDelay;
    /// The same for starts only; asked before commandDelay.
    std::function<std::optional<Duration>(const StartCommand &)> startDelay;
    /// Time that starts wait at the holder before they are sent.
    Duration startQueueDelay{};
    /// Time until a start without a response is reported to the holder.
    Duration responseTimeout{};
    /// Time until a poll without a response is reported to the holder, beside the time that it may wait.
    Duration pollTimeout{};
    /// Time that the response to a poll takes to arrive.
    Duration responseDelay{};
    /// Time that a stop takes.
    Duration stopDuration{};
    /// Delayed starts are carried out also by a new life of the worker; other delayed commands never are.
    bool delayedStartsReachNewLives = false;
    /// Whether a run may start although another has ended as done, while the end is not acknowledged or no longer counts.
    bool allowsRunsAfterLapse = false;
    std::vector<StartCommand> starts;
    std::vector<std::string> events;
    bool storeUp = true;
    bool operatorTopicReadable = true;
    /// The platform answers which workers run, after listDelay.
    bool listsRunningWorkers = false;
    Duration listDelay{};
    /// Workers that the next lists leave out although they run.
    std::set<std::string> omittedFromList;
    /// Lists of running workers that the holder has asked for.
    std::size_t listRequests = 0;
    /// Violations of invariants that the workers observed.
    std::vector<std::string> violations;
    /// Those with Awareness::Known are violations as well.
    std::vector<StartFinding> startFindings;
    /// Events of the holder and of the workers with their times, oldest first.
    std::vector<std::string> trace;

private:
    struct DelayedCommand
    {
        TimePoint at;
        WorkerName worker;
        std::int64_t incarnation = 0;
        std::uint64_t term = 0;
        std::function<void(FakeWorker &)> execute;
        bool isStart = false;
    };
    /// A life as the holder knew it when it sent a command.
    struct Addressee
    {
        std::int64_t known = 0;
        std::int64_t present = 0;
    };
    /// Something that happens at the present holder later.
    struct Deferred
    {
        TimePoint at;
        std::function<void()> call;
    };

    auto step() -> void;
    auto executeDelayed() -> void;
    /// Returns whether a command is delayed, and if so, schedules it.
    auto isDelayed(const FakeWorker &worker, bool grants, std::function<void(FakeWorker &)> execute, bool isStart = false) -> bool;
    /// Calls \a call at once when \a delay is zero.
    auto defer(Duration delay, std::function<void()> call) -> void;
    auto runDeferred() -> void;
    auto readEntry(const WorkerInfo &info) -> void;
    auto entryWritten(FakeWorker &worker) -> void;
    auto record(std::string line) -> void;
    auto violation(std::string text) -> void;
    auto recordServices() -> void;
    auto listRunningWorkers() -> void;
    auto sendPoll(PollCommand command) -> void;
    auto sendStop(const StopCommand &command) -> void;
    auto extendLease(FakeWorker &worker, Duration lease) -> void;
    auto stopRun(FakeWorker &worker, const StopCommand &command) -> void;
    auto applyEvacuations() -> void;
    auto checkZone(const StartCommand &command) -> void;
    auto startRun(FakeWorker &worker, const StartCommand &command, const Addressee &addressee) -> StartOutcome;
    /// Returns the rule that a start on a worker breaks; empty when it breaks none.
    auto brokenRule(const FakeWorker &worker, const StartCommand &command) -> std::string;
    auto checkEligibility(const FakeWorker &worker, const StartCommand &command, const Addressee &addressee) -> void;
    auto forgetRuns(FakeWorker &worker) -> void;
    /// \a addressee is the life that the holder knew when it sent the acknowledgement.
    auto acknowledgeEnds(FakeWorker &worker, std::uint64_t number, std::int64_t addressee) -> void;
    auto finishRuns(FakeWorker &worker) -> void;
    auto answerPoll(FakeWorker &worker) -> void;
    auto answer(FakeWorker &worker, const PollCommand &command, TimePoint sentAt, std::int64_t addressee) -> void;
    auto start(const StartCommand &command) -> void;
    auto checkRecord(const StartCommand &command) -> void;
    auto checkStart(const StartCommand &command) -> void;
    auto end(FakeWorker &worker, Run &run, EndKind kind) -> void;
    auto workTime(const FakeWorker &worker, const Run &run) const -> Duration;
    auto makeReport(const FakeWorker &worker) const -> WorkerReport;

    TimePoint m_now{1h};
    /// Evacuated zones, and since when.
    std::map<ZoneName, TimePoint> m_evacuated;
    std::uint64_t m_term = 0;
    std::vector<DelayedCommand> m_delayed;
    std::vector<Deferred> m_deferred;
    /// Services that any version of the configuration sent a queue to.
    std::map<QueueName, std::set<ServiceName>> m_queueServices;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::map<std::string, JobSpec> m_jobs;
    std::vector<std::string> m_cancelled;
    std::map<std::string, TimePoint> m_submitted;
    std::map<std::string, std::pair<JobPhase, TimePoint>> m_outcomes;
    std::vector<KeyedRecord> m_batch;
    std::vector<OutcomeEntry> m_batchOutcomes;
};

/// Returns a job with one step.
[[nodiscard]] auto simpleJob(const std::string &id, const std::string &queue, StepSpec step) -> JobSpec;

/// Adds a queue to a configuration.
auto addQueue(Configuration &configuration, const std::string &name, std::uint32_t priority, std::uint32_t maxAttempts = 3) -> void;

} // namespace Acaciarail::Workflow::Tests
