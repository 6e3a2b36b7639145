#pragma once

#include <acaciarail/workflow/configuration.h>
#include <acaciarail/workflow/records.h>
#include <acaciarail/workflow/worker.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Workflow {

struct DispatcherSettings
{
    /// Longest lease that a worker grants; from the platform's bounds.
    Duration lease = 6s;
    /// An order without an answer may be carried out this much later; from the platform's description of late orders.
    Duration maxCommandDelay = 12s;
    /// Pace at which leases are extended, at most a third of the lease. Few orders that may extend a lease are under way at any time, so
    /// that a worker that falls silent is known to be idle soon.
    Duration renewInterval = 1s;
    /// Extensions and looks a second that the paces above are meant for; a larger fleet is extended and looked at less often. A tenth of a
    /// small instance's processor.
    double commandsPerSecond = 400;
    /// Relative error of a worker's clock; stated by the platform.
    double workerClockDrift = 0.02;
    /// How long a look waits for an end; the platform's limit.
    Duration pollWait = 2s;
    /// Pace at which a worker that runs nothing is looked at, to know whether it can be reached.
    Duration idlePollInterval = 2s;
    /// Pace at which the leases of urgent runs are extended at first; it shows a slow worker while a restart still helps.
    Duration urgentRenewInterval = 400ms;
    /// How long a run counts as new for that.
    Duration urgentRenewPeriod = 2s;
    /// A worker that declined an order is avoided for this long.
    Duration declineAvoidTime = 1s;
    /// Pause before a worker that did not answer is asked again.
    Duration pollRetryDelay = 300ms;
    /// An order to start that is not answered is repeated this often; the worker takes a run that is there already for the same.
    std::uint32_t maxStartAttempts = 4;
    /// A worker is unreachable when this many looks in a row were not answered; single ones are lost while the worker works.
    std::uint32_t unansweredPollLimit = 2;
    /// Pace of placement, and of a further attempt to preempt for the same unit; they bound the processor time under load.
    Duration scheduleInterval = 10ms;
    /// Pace of placement while no room has come free; workers that are no longer avoided and units whose patience ends are noticed by it.
    Duration maxScheduleInterval = 50ms;
    /// Pace at which it is seen which workers are to be looked at; bounds the processor time of a large fleet.
    Duration pollRoundInterval = 5ms;
    Duration preemptInterval = 100ms;
    /// Placement pauses this long for each waiting unit, so that a backlog leaves processor time for orders.
    Duration schedulePausePerUnit = 10us;
    /// Pace at which progress is judged.
    Duration progressCheckInterval = 100ms;
    /// Pause before a stop that has had no effect is repeated; several round trips between regions and the stop itself.
    Duration stopRetryDelay = 500ms;
    /// A run without progress for this long is started elsewhere; several looks.
    Duration stallTimeout = 2s;
    /// A worker is avoided for this long after a run failed or stood still there; about the length of the users' disruptions of workers.
    Duration avoidTime = 6s;
    /// A unit that has waited for this long takes a seat on an avoided worker; below the time after which the platform counts a job with
    /// room as lost.
    Duration useAvoidedAfter = 2500ms;
    /// A preemption that has not made room for this long is planned anew; the stop, two looks and their round trips.
    Duration reservationTimeout = 1200ms;
    /// A run is started anew without its slowest worker when that is expected to end this many times earlier.
    double minRestartSpeedup = 1.5;
    /// A task without siblings is judged by its estimate, which may be wrong: the second worker shows whether it was. A gang is judged by
    /// its own members, and may meet several slow workers.
    std::uint32_t maxSlowSingleRestarts = 1;
    std::uint32_t maxSlowGangRestarts = 3;
    /// Part of the usual progress below which a worker counts as slow.
    double slowRatio = 0.5;
    /// What stopping a run costs beside the work that it throws away, as time of its cores: the stop, the wait and the start.
    Duration preemptionCost = 500ms;
    /// Gangs that wait for their turn and have workers kept for them, on which no less urgent work starts.
    std::size_t maxReservedGangs = 4;
    /// Workers are kept for urgent work up to this many times what it has used of late, so that most of it needs no preemption.
    double urgentReserveFactor = 1.25;
    /// How fast that use is forgotten; about the length of a burst.
    Duration urgentUsageWindow = 4s;
    /// Urgent work may throw away this many times its own core-seconds.
    double maxPreemptionLossFactor = 3.0;
};

/// A decision worth a log line.
struct DispatchEvent
{
    std::string_view name;
    JobId job;
    /// Details as `key=value` pairs.
    std::string details;
    /// Of a unit that was placed: how long it had waited since it could run, and the priority of its queue.
    Duration waited{};
    std::uint32_t priority = 0;
};

/// What a holder has to do next.
struct Decisions
{
    /// To be appended as one batch, followed by Dispatcher::recordsStored(); empty while a batch is in progress.
    std::vector<KeyedRecord> records;
    /// Outcomes among the records.
    std::vector<OutcomeEntry> outcomes;
    std::vector<StartCommand> starts;
    std::vector<StopCommand> stops;
    std::vector<PollCommand> polls;
    /// Something was put off to keep a pace; time until it is due.
    std::optional<Duration> deferredFor;
};

/// What a holder is able to do at the moment.
struct DecisionScope
{
    /// New work may be placed; otherwise only leases are extended and stops sent.
    bool mayStart = true;
    /// Records can be appended.
    bool mayRecord = true;
};

struct DispatcherStats
{
    std::size_t jobs = 0;
    std::size_t waitingUnits = 0;
    std::size_t activeUnits = 0;
    std::size_t workers = 0;
    std::size_t unreachableWorkers = 0;
    std::int64_t freeAccelerators = 0;
    std::uint64_t preemptions = 0;
    /// Core-seconds that preemption threw away.
    double preemptedCoreSeconds = 0;
};

/// Decides what runs where, for one holder during one term. Has no input or output of its own: it is told what happened, and decide()
/// returns what to do. Every assignment is recorded before its start is ordered and every end before it is acknowledged, so that a later
/// holder knows where each task may run. Not thread-safe.
class Dispatcher
{
public:
    /// Internal.
    struct State;

    /// \pre \a observe is callable. \a previousGrants is the latest time at which an earlier holder may have extended a lease.
    Dispatcher(DispatcherSettings settings, std::function<void(const DispatchEvent &)> observe, TimePoint previousGrants);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    auto operator=(const Dispatcher &) -> Dispatcher & = delete;

    /// \pre none.
    auto setConfiguration(std::shared_ptr<const Configuration> configuration) -> void;

    /// Adds a job; one that is known already is left as it is. \a unixNow is the time since 1970. \pre none.
    auto accept(const JobSpec &spec, TimePoint now, std::chrono::milliseconds unixNow) -> void;
    /// The job has ended in an earlier term; accept() ignores it. \pre none.
    auto markEnded(const JobId &job) -> void;
    /// The outcome of a job is removed from the store. \pre the job has ended.
    auto forget(const JobId &job) -> void;
    /// Cancels a job; an unknown or ended one is ignored. \pre none.
    auto cancel(const JobId &job, TimePoint now) -> void;
    /// Restores a unit from its record. A unit of an unknown job is ignored. \pre before the first decide().
    auto restore(const UnitId &unit, const UnitRecord &state, TimePoint now) -> void;

    /// A worker is listed, or its entry has changed. \pre none.
    auto workerListed(const WorkerInfo &worker, TimePoint now) -> void;
    /// A worker is no longer listed; it may still run what it was told to. \pre none.
    auto workerUnlisted(const WorkerName &worker, TimePoint now) -> void;

    /// A look that was sent at \a sentAt was answered, or was not. \pre none.
    auto pollAnswered(const PollCommand &order, TimePoint sentAt, const std::optional<WorkerReport> &report, TimePoint now) -> void;
    /// Another worker answers at the address of this one, which has ended. \pre none.
    auto workerReplaced(const PollCommand &order, TimePoint now) -> void;
    /// \pre none.
    auto startAnswered(const StartCommand &order, StartOutcome outcome, TimePoint now) -> void;
    /// \pre none.
    auto stopAnswered(const StopCommand &order, bool answered, TimePoint now) -> void;
    /// The records of the last batch are stored. \pre a batch is in progress.
    auto recordsStored(TimePoint now) -> void;

    /// Returns what to do next. \pre none.
    [[nodiscard]] auto decide(TimePoint now, std::chrono::milliseconds unixNow, DecisionScope scope) -> Decisions;

    /// \pre none.
    [[nodiscard]] auto stats() const -> DispatcherStats;

private:
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
