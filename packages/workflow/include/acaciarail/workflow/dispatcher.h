#pragma once

#include <acaciarail/workflow/configuration.h>
#include <acaciarail/workflow/load_summary.h>
#include <acaciarail/workflow/placement.h>
#include <acaciarail/workflow/records.h>
#include <acaciarail/workflow/start_trace.h>
#include <acaciarail/workflow/worker.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Workflow {

struct DispatcherSettings
{
    /// Longest task lease that a worker accepts; from the platform's bounds.
    Duration taskLease = 6s;
    /// A command without a response may be carried out up to this much later; from the platform's description of late commands.
    Duration maxCommandDelay = 12s;
    /// Longest time after which a task lease is renewed, by a start that the worker has confirmed or by a command of its own; at most a
    /// third of the lease. Few commands that may renew a lease are outstanding at any time, so that the lease of a worker that stops
    /// responding is soon known to have expired.
    Duration renewInterval = 2s;
    /// Longest time between two reports of a worker that runs something, whatever command they answer. Remaining times, stalls and slow
    /// workers are judged by them.
    Duration reportInterval = 1500ms;
    /// Renewals and polls a second that the renewal and poll intervals are meant for, one a worker; they take a tenth of a small instance's
    /// processor. A fleet with more workers than this is renewed and polled less often.
    double commandsPerSecond = 400;
    /// Relative error of a worker's clock; stated by the platform.
    double workerClockDrift = 0.02;
    /// How long the response to a poll may wait for a run to end; the platform's limit.
    Duration pollWait = 2s;
    /// Interval at which a worker that runs nothing is polled, to know whether it is reachable. It is polled at once when another worker of
    /// its rack becomes unreachable.
    Duration idlePollInterval = 4s;
    /// A worker that has answered a poll this recently is not polled because of its rack.
    Duration rackPollInterval = 500ms;
    /// A report of a new urgent run is requested this long after the time from which its rate of progress can be judged, unless one has
    /// arrived until then. It shows a slow worker while a restart still helps.
    Duration urgentReportDelay = 100ms;
    /// The recorded ends of a worker that runs nothing are acknowledged after this time, or with the next poll that it needs anyway; far
    /// below the task lease.
    Duration idleAcknowledgementDelay = 1s;
    /// A worker that declined a start is avoided for this long.
    Duration declineAvoidTime = 1s;
    /// Delay before an unreachable worker is polled again; it doubles up to maxPollRetryDelay, as each attempt costs a connection.
    Duration pollRetryDelay = 300ms;
    Duration maxPollRetryDelay = 2400ms;
    /// Pause between two requests for the platform's list of running workers, while a worker with work does not respond. It doubles up to
    /// maxRunningListInterval while nothing new is learnt.
    Duration runningListInterval = 500ms;
    Duration maxRunningListInterval = 2s;
    /// A worker has ended when this many consecutive lists do not name it; one may have been read while workers were added and removed.
    std::uint32_t absencesUntilEnded = 2;
    /// Attempts to send a start command that is not answered. Repeating it is safe: the worker does not start a run twice.
    std::uint32_t maxStartAttempts = 4;
    /// A worker is unreachable when this many consecutive polls were not answered; a single response can be lost while the worker is
    /// healthy.
    std::uint32_t unansweredPollLimit = 2;
    /// Shortest interval between placement rounds. It bounds the processor time under load, as does preemptInterval.
    Duration scheduleInterval = 10ms;
    /// Interval between placement rounds while no capacity has become free. It bounds how late a round takes notice of workers that are no
    /// longer avoided, and of units that have waited for useAvoidedAfter.
    Duration maxScheduleInterval = 50ms;
    /// Interval at which the workers due for a poll or a renewal are determined; bounds the processor time with a large fleet.
    Duration pollRoundInterval = 5ms;
    /// Interval between attempts to preempt for the same unit.
    Duration preemptInterval = 100ms;
    /// Least pause between placement rounds for each waiting unit, so that a backlog leaves processor time for commands.
    Duration schedulePausePerUnit = 10us;
    /// Interval at which the progress of runs is checked for stalls, slow workers and draining workers.
    Duration progressCheckInterval = 100ms;
    /// The first start of a job is recorded with the next batch, or after this long. Far below the 2 s by which the number of waiting jobs
    /// may be outdated.
    Duration beginRecordDelay = 500ms;
    /// Interval at which the ends of tasks are logged, gathered by job.
    Duration endsLogInterval = 1s;
    /// Delay before a stop command that has had no effect is repeated; covers several round trips between regions and the stop itself.
    Duration stopRetryDelay = 500ms;
    /// A run without progress for this long is restarted on another worker; covers several polls.
    Duration stallTimeout = 2s;
    /// A worker is avoided for this long after a run failed or made no progress there; about the length of the users' worker disruptions.
    Duration avoidTime = 6s;
    /// A unit that has waited for this long may be placed on avoided workers; below the time after which the platform counts a job as lost
    /// that waits although there is capacity for it.
    Duration useAvoidedAfter = 2500ms;
    /// A preemption that has not freed the capacity after this long is planned again; covers the stop, two polls and their round trips.
    Duration reservationTimeout = 1200ms;
    /// A gang is restarted without its slow workers when the remaining time of the slowest member is more than this many times the expected
    /// time of a restart.
    double minRestartSpeedup = 1.5;
    /// Restarts of a task outside a gang because of a slow worker. Such a task is compared to its estimate, which may be wrong; the second
    /// worker shows whether it was.
    std::uint32_t maxSlowSingleRestarts = 1;
    /// Restarts of a gang because of slow workers. A gang is compared to its own members, and may be assigned to several slow workers.
    std::uint32_t maxSlowGangRestarts = 3;
    /// Fraction of the gang's median rate of progress below which a worker counts as slow.
    double slowRatio = 0.5;
    /// Interval at which the speeds of workers are determined.
    Duration speedUpdateInterval = 500ms;
    /// Least interval between two log lines about the number of fast workers.
    Duration speedLogInterval = 10s;
    /// Cost of stopping a run beside the lost work, as time of its cores: the stop, the wait and the next start.
    Duration preemptionCost = 500ms;
    /// Most waiting gangs that have workers reserved, on which no less urgent work starts.
    std::size_t maxReservedGangs = 4;
    /// Workers are reserved for urgent work up to this many times its recent usage, so that most of it needs no preemption.
    double urgentReserveFactor = 1.25;
    /// Of the workers that are faster than most, this many times that usage is reserved; on the others urgent work that has waited for a
    /// moment is late.
    double urgentFastReserveFactor = 2.0;
    /// Time constant of the moving average of the usage of each priority; about the length of a burst.
    Duration usageWindow = 4s;
    /// Interval at which that usage is determined.
    Duration usageInterval = 50ms;
    /// Preemption for an urgent unit may lose up to this many times the unit's own core-seconds.
    double maxPreemptionLossFactor = 3.0;
    /// Longest time from the storing of an evacuation until no task starts in its zone any more; zero when zones are not evacuated.
    Duration evacuationDelay{};
    /// Starts stop when the evacuated zones were confirmed evacuationDelay less this margin ago. The margin is for commands in transit: a
    /// connection that takes longer than the timeout of a command, 300 ms for up to 1,000 workers, is given up together with its command.
    Duration evacuationMargin = 700ms;
    /// Order of the waiting units; replays replace it to compare the default with simpler orders.
    std::function<bool(const QueuePosition &, const QueuePosition &)> queueOrder = precedes;
    /// Urgent work may preempt. Off only in replays, for comparison; urgent gangs then reserve workers as the others do.
    bool preempt = true;
    /// Workers are chosen by their speed. Off only in replays, for comparison.
    bool placeBySpeed = true;
    /// Workers are reserved for the usage of each priority. Off only in replays, for comparison.
    bool reserveForPriorities = true;
    /// Units are skipped that an earlier failure of the round shows to be unplaceable. Off only in tests, for comparison.
    bool skipFailedPlacements = true;
};

/// A decision.
struct DispatchEvent
{
    std::string_view name;
    JobId job;
    /// Details as `key=value` pairs.
    std::string details;
    /// Of a unit that was placed: how long it had waited for this run.
    Duration waited{};
    /// Of a unit that was placed: the priority of its queue.
    std::uint32_t priority = 0;
    /// False when the decision is part of a later event, which is logged.
    bool logged = true;
    /// Of a unit that was placed: how its workers were found.
    std::optional<PlacementPath> path = std::nullopt;
    /// Of a start that was withheld; such an event is logged as a warning.
    std::optional<StartObstacle> obstacle = std::nullopt;
    /// Of a worker whose runs are treated as ended: the time since its last report.
    std::optional<Duration> silence = std::nullopt;
};

/// Returns the approximate size of a start command with this payload in bytes. \pre none. Thread-safe.
[[nodiscard]] constexpr auto startCommandBytes(std::size_t payloadBytes) noexcept -> std::size_t
{
    // Headers, names and numbers.
    constexpr std::size_t overhead = 400;
    return payloadBytes + overhead;
}

/// What a holder has to do next.
struct Decisions
{
    /// To be appended as one batch, followed by Dispatcher::recordsStored(); empty while a batch is being stored.
    std::vector<KeyedRecord> records;
    /// Outcomes among the records.
    std::vector<OutcomeEntry> outcomes;
    std::vector<StartCommand> starts;
    std::vector<StopCommand> stops;
    std::vector<PollCommand> polls;
    /// The platform is to be asked which workers run, followed by Dispatcher::runningWorkersListed().
    bool listRunningWorkers = false;
    /// Set when an action was deferred to keep an interval: the time until it is due.
    std::optional<Duration> deferredFor;
};

/// What the holder can do at the moment.
struct DecisionScope
{
    /// New work may be placed; otherwise only polls, lease renewals and stops are sent.
    bool mayStart = true;
    /// Records can be appended.
    bool mayRecord = true;
    /// Least pause between two placement rounds, so that they leave processor time for commands and renewals.
    Duration minSchedulePause{};
    /// Bytes of start commands for work that is not urgent which may be added; further work is placed in a later round.
    std::int64_t startBytes = std::numeric_limits<std::int64_t>::max();
};

struct DispatcherStats
{
    std::size_t jobs = 0;
    std::size_t waitingUnits = 0;
    std::size_t activeUnits = 0;
    std::size_t workers = 0;
    std::size_t unreachableWorkers = 0;
    std::int64_t freeAccelerators = 0;
    /// Workers that are known to be faster than most.
    std::size_t fastWorkers = 0;
    std::uint64_t preemptions = 0;
    /// Work lost by preemption.
    double preemptedCoreSeconds = 0;
    /// Of this term.
    PlacementCounts placements{};
    /// Of this term.
    WithheldStartCounts withheldStarts{};
};

/// Decides which task runs on which worker, for one holder during one term. Performs no input or output: the holder reports events, and
/// decide() returns the actions to take. Every assignment is recorded before its start is sent and every end before it is acknowledged, so
/// that a later holder knows where each task may run. That a job has begun is recorded once a worker has confirmed it. A run is one start
/// of a unit; a unit is started again after a failure or a loss. Not thread-safe.
class Dispatcher
{
public:
    /// Implementation details.
    struct State;

    /// \a observe gets each decision that is logged. \a latestPreviousGrant is the latest time at which an earlier holder may have granted
    /// or renewed a task lease. \pre \a observe is callable.
    Dispatcher(DispatcherSettings settings, std::function<void(const DispatchEvent &)> observe, TimePoint latestPreviousGrant);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    auto operator=(const Dispatcher &) -> Dispatcher & = delete;

    /// \pre none.
    auto setConfiguration(std::shared_ptr<const Configuration> configuration) -> void;

    /// Adds a job; one that is already known is left unchanged. \a unixNow is the time since 1970. \pre none.
    auto accept(const JobSpec &spec, TimePoint now, std::chrono::milliseconds unixNow) -> void;
    /// Reports that the job ended in an earlier term; accept() ignores it. \pre none.
    auto markEnded(const JobId &job) -> void;
    /// Reports that the outcome of a job was removed from the store, or the cancellation of one that was never accepted. \pre the job has
    /// ended or was not accepted.
    auto outcomeRemoved(const JobId &job) -> void;
    /// Cancels a job. One that is not known is cancelled when it is accepted, as its submission may be stored after the cancellation; an
    /// ended job is ignored. \pre none.
    auto cancel(const JobId &job, TimePoint now) -> void;
    /// Returns whether a job was cancelled and has not been accepted. \pre none.
    [[nodiscard]] auto awaitsSubmission(const JobId &job) const -> bool;
    /// Restores a unit from its record. A unit of an unknown job is ignored. \pre before the first decide().
    auto restore(const UnitId &unit, const UnitRecord &state, TimePoint now) -> void;

    /// Sets the availability zones in which nothing may be started; running tasks are not stopped. \pre none.
    auto setEvacuatedZones(std::set<ZoneName> zones) -> void;
    /// Reports that every evacuation and revocation stored before \a at is contained in the evacuated zones. \pre none.
    auto evacuationsConfirmed(TimePoint at) -> void;
    /// Returns whether a start that was decided earlier may still be sent. The holder asks right before it sends one, since a command may
    /// wait for a while, and reports StartOutcome::NotSent otherwise. \pre none.
    [[nodiscard]] auto maySend(const StartCommand &command, TimePoint now) const -> bool;

    /// Reports that a worker is listed, or that its entry has changed. \pre none.
    auto workerListed(const WorkerInfo &worker, TimePoint now) -> void;
    /// Reports that a worker is no longer listed; its runs may continue. \pre none.
    auto workerUnlisted(const WorkerName &worker, TimePoint now) -> void;

    /// Reports the response to a poll that was sent at \a sentAt; \a report is empty when there was none, \a maybeSent false when the poll
    /// was certainly not sent. \pre none.
    auto pollAnswered(const PollCommand &command, TimePoint sentAt, const std::optional<WorkerReport> &report, TimePoint now,
                      bool maybeSent = true) -> void;
    /// Reports the runs of a worker, as it listed them when it was asked at \a sentAt before another command could be sent. That command is
    /// answered separately. \pre none.
    auto reportReceived(const WorkerName &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> void;
    /// Reports that another worker answers at the address of this one, which has ended. \pre none.
    auto workerReplaced(const PollCommand &command, TimePoint now) -> void;
    /// Reports which workers run according to the platform, which was asked at \a askedAt; \a running is empty when it did not say.
    /// \pre Decisions::listRunningWorkers was set, and this is the first result since.
    auto runningWorkersListed(const std::optional<RunningWorkers> &running, TimePoint askedAt, TimePoint now) -> void;
    /// \pre none.
    auto startAnswered(const StartCommand &command, StartOutcome outcome, TimePoint now) -> void;
    /// \pre none.
    auto stopAnswered(const StopCommand &command, bool answered, TimePoint now) -> void;
    /// Reports that the records of the last batch are stored. \pre a batch is being stored.
    auto recordsStored(TimePoint now) -> void;

    /// Returns the records of what has ended and is not stored, to be appended when the lease is released. Assignments whose starts were
    /// not sent are taken back. \pre no batch is being stored; decide() is not called any more.
    [[nodiscard]] auto takeFinalRecords() -> std::vector<KeyedRecord>;

    /// Returns the actions to take next. \pre none.
    [[nodiscard]] auto decide(TimePoint now, std::chrono::milliseconds unixNow, DecisionScope scope) -> Decisions;

    /// \pre none.
    [[nodiscard]] auto stats() const -> DispatcherStats;

    /// Returns the backlog and the capacity, as observed since \a since; without a term. \pre none.
    [[nodiscard]] auto loadSummary(TimePoint now, TimePoint since) const -> LoadSummary;

private:
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
