#pragma once

#include <acaciarail/workflow/dispatcher.h>
#include <acaciarail/workflow/failed_placements.h>
#include <acaciarail/workflow/placement.h>
#include <acaciarail/workflow/worker_speeds.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow {

enum class MemberPhase : std::uint8_t {
    /// The assignment is being recorded.
    Planned,
    /// The start command was sent and has not been answered yet.
    Starting,
    /// The start command got no response; the run may exist, or start later.
    Unknown,
    /// Assigned by an earlier holder; not reported by the worker yet.
    Restored,
    Running,
    /// Not running, and will not start later.
    Ended,
};

struct Unit;
struct Worker;
class PlacementRound;

/// One task of the newest run of a unit. A run is one start of all the unit's tasks; runs are numbered from 1.
struct Member
{
    std::shared_ptr<Worker> worker;
    MemberPhase phase = MemberPhase::Ended;
    std::uint32_t percent = 0;
    /// Progress when the run was first known to be running.
    std::uint32_t firstPercent = 0;
    TimePoint firstSeen;
    TimePoint lastProgress;
    TimePoint lastReport;
    TimePoint startedAt;
    /// Progress at the newest checkpoint.
    std::uint32_t checkpointPercent = 0;
    std::string checkpoint;
    bool stopping = false;
    TimePoint stopSentAt;
    /// Start commands of this run that were not answered.
    std::uint32_t unansweredStarts = 0;
    /// A response to a poll sent at or after this time that does not list the run proves that it has ended and cannot start later.
    std::optional<TimePoint> absenceConclusiveFrom;
};

enum class UnitStage : std::uint8_t {
    /// Steps that it depends on have not ended.
    Blocked,
    Waiting,
    /// Units are being stopped to free capacity on the reserved workers.
    Reserved,
    Active,
    Done,
    Failed,
};

struct Job;

struct Unit
{
    UnitId id;
    Job *job = nullptr;
    const StepSpec *step = nullptr;
    UnitStage stage = UnitStage::Blocked;
    UnitRecord record;
    std::vector<Member> members;
    /// Its members are being stopped, or have ended.
    bool ending = false;
    /// The record of its newest assignment is not stored yet, so no start may be sent.
    bool recordingAssignment = false;
    /// Since when it could run; its age in the queue.
    TimePoint readySince;
    /// Since when it has been waiting for its next run.
    TimePoint waitingSince;
    TimePoint runStartedAt;
    TimePoint reservedAt;
    TimePoint nextPreemption;
    /// How often it was restarted because a worker was slow.
    std::uint32_t slowRestarts = 0;
    /// The member that was the slowest at the last such restart.
    std::optional<std::uint32_t> slowMember;
    std::vector<std::shared_ptr<Worker>> reservedWorkers;
    /// Identifies its newest run among those whose progress is compared; 0 before the first comparison.
    std::uint64_t progressId = 0;
    /// The placement round in which its remaining time was last computed.
    std::uint64_t drainRound = 0;

    [[nodiscard]] auto taskCount() const -> std::uint32_t
    {
        return step->gang ? step->count : 1;
    }
    [[nodiscard]] auto demand() const -> Demand
    {
        auto demand = step->taskDemand;
        if (step->usesSpareCores) {
            demand.milliCores = 0;
        }
        return demand;
    }
    [[nodiscard]] auto cores() const -> double
    {
        return weightedCores(step->taskDemand) * taskCount();
    }
    [[nodiscard]] auto isUrgent() const -> bool;
    [[nodiscard]] auto allEnded() const -> bool;
    /// Returns the task of a member, by its position.
    [[nodiscard]] auto task(std::uint32_t member) const -> TaskId
    {
        return {id.job, id.occurrence, id.step, step->gang ? member : id.index};
    }
    [[nodiscard]] auto request() const -> PlacementRequest
    {
        return {taskCount(), demand(), step->sameRack, step->maxPerWorker};
    }
};

/// Returns how long a run of \a unit must have been observed before its rate of progress can be judged.
[[nodiscard]] auto minReportSpan(const Unit &unit) -> Duration;

/// Sorts units by their id, so that decisions do not depend on addresses.
struct UnitOrder
{
    auto operator()(const Unit *a, const Unit *b) const noexcept -> bool
    {
        return a->id < b->id;
    }
};
using UnitSet = std::set<Unit *, UnitOrder>;

struct Job
{
    JobSpec spec;
    /// Policy of its queue as configured now, or as of acceptance when the queue is no longer configured.
    QueuePolicy policy;
    /// See objectiveOf(); changes with the policy.
    Duration objective{};
    TimePoint acceptedAt;
    bool cancelled = false;
    bool failed = false;
    std::uint32_t nextOccurrence = 0;
    std::map<UnitId, std::unique_ptr<Unit>> units;
    /// Number of units that are not done, by (occurrence, step).
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> unfinishedUnits;
    /// One of its units has begun, and the record of a unit says so or is about to.
    bool hasBegun = false;
    bool ended = false;
};

/// A command that was not answered and may grant or renew a task lease later.
struct UnansweredGrant
{
    /// When the command was sent, or given up.
    TimePoint at;
    /// Whether it starts a run; otherwise it renews the lease.
    bool isStart = false;
};

/// Until when the runs on a worker may go on, and the command that this follows from.
struct LeaseBound
{
    TimePoint expiry;
    /// `answered-command`, `earlier-holder`, `unanswered-renewal` or `unanswered-start`.
    std::string_view source;
};

/// Runs and reservations share the ownership, as they may outlive the entry of a worker that has left.
struct Worker : std::enable_shared_from_this<Worker>
{
    WorkerInfo info;
    bool listed = false;
    TimePoint drainEnds;
    /// Incarnation that the reports came from; 0 before the first report.
    std::int64_t incarnation = 0;
    /// When that incarnation became known, and those before it.
    TimePoint incarnationKnownAt;
    std::set<std::int64_t> earlierIncarnations;
    Demand used;
    /// Used by runs on the worker that belong to no current assignment; they are being stopped.
    Demand orphanUsage;
    /// Reserved for units that wait for preempted ones to end.
    Demand reservedCapacity;
    std::vector<Unit *> units;
    bool pollOutstanding = false;
    bool renewalOutstanding = false;
    /// The outstanding poll was sent while the worker ran nothing.
    bool idlePoll = false;
    /// When a task lease was last granted or renewed by a command that was answered.
    std::optional<TimePoint> renewedAt;
    /// No earlier than this was the task lease last granted or renewed by an answered command.
    TimePoint leaseExtendedAt;
    TimePoint lastReport;
    TimePoint nextPoll;
    TimePoint nextRenewal;
    /// When the last poll that was answered in this term was sent.
    std::optional<TimePoint> lastAnsweredPoll;
    /// Consecutive polls that were not answered.
    std::uint32_t unansweredPolls = 0;
    std::optional<TimePoint> unreachableSince;
    Duration pollRetryDelay{};
    /// Consecutive lists of running workers that do not name it, asked for since it became unreachable.
    std::uint32_t absences = 0;
    /// The latest one. A response to another command does not show what became of it.
    std::optional<UnansweredGrant> unansweredGrant;
    /// Number of the newest end of a run: reported by the worker, contained in the batch that is being stored, and stored.
    std::uint64_t seenEnds = 0;
    std::uint64_t batchEnds = 0;
    std::uint64_t recordedEnds = 0;
    /// The last report was incomplete, so that further ends are to be asked for at once.
    bool hasUnlistedEnds = false;
    TimePoint avoidUntil;
    /// 0 for the fastest workers of its service, more for slower ones; see slownessOf().
    std::uint32_t slowness = 0;
    /// Until then its tasks take longer, because it was unused for a while.
    TimePoint coldUntil;
    /// Its availability zone is being evacuated.
    bool evacuated = false;
    /// Number of its rack; see Candidate::rack.
    std::size_t rack = 0;
    /// Its index among the candidates of the current placement round.
    std::size_t candidateIndex = 0;

    /// Returns whether the response to a poll that was sent at \a sentAt comes from a later incarnation. Their numbers are times of day, so
    /// a later one is lower when the clock was set back in between.
    [[nodiscard]] auto isLaterIncarnation(std::int64_t reported, TimePoint sentAt) const -> bool
    {
        const bool isNew = reported != 0 && reported != incarnation && !earlierIncarnations.contains(reported);
        return isNew && (reported > incarnation || sentAt > incarnationKnownAt);
    }
    /// Returns whether the entry describes the incarnation that the reports come from. One that has restarted may be of another kind.
    [[nodiscard]] auto entryIsCurrent() const -> bool
    {
        return incarnation == 0 || info.incarnation == incarnation;
    }
    [[nodiscard]] auto schedulable() const -> bool
    {
        return listed && entryIsCurrent() && !info.draining && !evacuated && lastAnsweredPoll && !unreachableSince;
    }
    [[nodiscard]] auto free() const -> Demand
    {
        return info.capacity - used - orphanUsage;
    }
};

/// Run time of the runs in a zone as a multiple of their estimates.
struct RunTimeRatio
{
    double sum = 0;
    std::uint64_t runs = 0;

    [[nodiscard]] auto mean() const -> double
    {
        return sum / static_cast<double>(runs);
    }
};

/// Where a unit could be placed if nothing else ran.
enum class IdleFit : std::uint8_t {
    Nowhere,
    /// Only on workers of several racks.
    SeveralRacks,
    /// As its step asks for: in one rack, if it is a gang that prefers that.
    AsAsked,
};

/// Accelerators that the units of a service and a priority use or wait for.
struct PriorityUsage
{
    /// Averaged over DispatcherSettings::usageWindow.
    double average = 0;
    double present = 0;
    /// Whether a unit waits that could be placed if no less urgent work ran.
    bool waiting = false;
};

/// Work that was started in the last ten seconds, by intervals of two.
class StartedWork
{
public:
    auto add(double work, TimePoint now) -> void;
    /// Returns the work started a second, over the last four, six, eight or ten seconds, whichever gives most; negative when \a since is
    /// less than four seconds ago.
    [[nodiscard]] auto highestRate(TimePoint now, TimePoint since) const -> double;

private:
    /// Clears the intervals that have passed without a start.
    auto advance(TimePoint now) -> void;

    static constexpr Duration slotLength = 2s;
    /// Five whole intervals and the present one.
    static constexpr std::size_t slotCount = 6;
    /// Gangs are started in bursts, so that a single interval says little.
    static constexpr std::int64_t minSlots = 2;
    std::array<double, slotCount> m_slots{};
    std::int64_t m_newest = 0;
};

/// Run times as multiples of the estimates, weighted by work.
class RunTimeObservations
{
public:
    auto add(double ratio, double weight) -> void;
    auto describe(ServiceLoad &out) const -> void;

private:
    double m_weights = 0;
    double m_squaredWeights = 0;
    double m_ratios = 0;
    double m_squaredRatios = 0;
};

/// Ends of the tasks of a job that are not logged yet.
struct EndCounts
{
    std::uint32_t done = 0;
    std::uint32_t stopped = 0;
    std::uint32_t broken = 0;
};

/// Tasks of a step that were placed in one round and in the same way, other than gangs.
struct PlacedTasks
{
    std::uint32_t count = 0;
    std::uint32_t firstIndex = 0;
    std::uint32_t lastIndex = 0;
    std::uint32_t priority = 0;
    std::string requiredLabel;
    Duration longestWait{};
};

struct Dispatcher::State
{
    State(DispatcherSettings s, std::function<void(const DispatchEvent &)> o, TimePoint previousGrant)
        : settings(std::move(s))
        , observe(std::move(o))
        , latestPreviousGrant(previousGrant)
    {
    }

    // dispatcher.cpp: jobs and units
    auto createOccurrence(Job &job, std::uint32_t occurrence, TimePoint now) -> void;
    auto unblock(Job &job, std::uint32_t occurrence, TimePoint now) -> void;
    auto policyFor(const JobSpec &spec) const -> QueuePolicy;
    auto updatePolicy(Job &job) const -> void;
    auto recordRunTimeRatio(const Unit &unit, TimePoint now) -> void;
    auto slowZones() const -> std::set<ZoneName>;
    auto updateUsage(TimePoint now) -> void;
    auto learnSpeeds(TimePoint now) -> void;
    auto updateSlowness(TimePoint now) -> void;
    auto idleFit(const Unit &unit) -> IdleFit;
    auto computeIdleFit(const Unit &unit) const -> IdleFit;
    auto requestFor(const Unit &unit) -> PlacementRequest;
    auto findUnit(const TaskId &task) -> Unit *;
    auto setStage(Unit &unit, UnitStage stage) -> void;
    auto requestStop(Unit &unit, Member &member) -> void;
    auto removeFromUnitSets(Job &job) -> void;
    auto setBegun(Unit &unit, TimePoint now) -> void;
    auto setDone(Unit &unit, TimePoint now) -> void;
    auto stopUnit(Unit &unit, std::string_view reason) -> void;
    auto requeueIfEnded(Unit &unit, TimePoint now) -> void;
    auto failJob(Job &job) -> void;
    auto closeJob(Job &job, Decisions &out) -> void;
    auto closeJobs(Decisions &out) -> void;
    auto startDueOccurrences(TimePoint now, std::chrono::milliseconds unixNow) -> void;
    auto emitEvent(std::string_view name, const JobId &job, std::string details) const -> void;
    auto logEnds(const JobId &job, const EndCounts &counts) const -> void;
    auto logGatheredEnds(TimePoint now) -> void;
    auto logPlacedTasks() -> void;
    auto unsentStartBytes() const -> std::int64_t;

    // dispatcher_workers.cpp: worker listings, responses and reports
    auto findOrCreateWorker(const WorkerName &name) -> Worker &;
    auto allocate(Unit &unit, Member &member) -> void;
    auto releaseMember(Unit &unit, Member &member) -> void;
    auto setFirstIncarnation(Worker &worker, std::int64_t incarnation, TimePoint now) const -> void;
    auto handleRestart(Worker &worker, std::int64_t incarnation, std::string_view shownBy, TimePoint now) -> void;
    auto processReport(Worker &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> bool;
    auto processRunning(Worker &worker, const WorkerReport &report, TimePoint now) -> void;
    auto processEnd(Worker &worker, const EndedTask &end, TimePoint now) -> void;
    auto processEarlierEnd(Unit &unit, const EndedTask &end, TimePoint now) -> void;
    auto processMissing(Worker &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> void;
    auto findMember(Unit &unit, const Worker &worker, const TaskId &task) -> Member *;
    auto findCurrentMember(Unit *unit, const Worker &worker, const TaskId &task, std::uint32_t run) -> Member *;
    auto leaseBound(const Worker &worker) const -> LeaseBound;
    auto silenceDetail(const Worker &worker, TimePoint now) const -> std::string;
    auto markWorkerLost(Worker &worker, std::string_view reason, TimePoint now, TimePoint startsSettledUntil = TimePoint::max(),
                        const std::string &details = {}) -> void;
    auto hasEndedRuns(const Worker &worker, TimePoint startsSettledUntil) const -> bool;
    auto requestRunningList(TimePoint now) -> void;
    auto needsRunningList() const -> bool;
    auto isCredible(const std::set<WorkerName> &running) const -> bool;
    auto reportIneligibleStart(const Unit &unit, const TaskId &task, const Worker &worker, StartObstacle obstacle) -> void;
    auto expireWorkers(TimePoint now) -> void;
    auto checkProgress(TimePoint now) -> void;
    auto restartSlowRuns(TimePoint now) -> void;
    auto restartSlowSingle(Unit &unit, TimePoint now) -> void;
    auto renewalTime(const Worker &worker) const -> TimePoint;
    auto pollRackOf(const Worker &lost, TimePoint now) -> void;
    auto intervalFactor() const -> double;
    auto stopRunsOnDrainingWorkers(TimePoint now) -> void;
    auto evacuationsKnown(TimePoint now) const -> bool;
    auto reportEvacuationState(TimePoint now) -> void;

    // dispatcher_schedule.cpp: placement, records and commands
    auto schedule(TimePoint now) -> void;
    auto findPlacement(PlacementRound &round, const Unit &unit, const PlacementConstraints &constraints) -> std::optional<Assignment>;
    auto tryPreempt(PlacementRound &round, Unit &unit, const PlacementConstraints &constraints, bool guaranteed, TimePoint now) -> void;
    auto placeReserved(TimePoint now) -> void;
    auto assign(Unit &unit, const std::vector<std::shared_ptr<Worker>> &assignedWorkers, PlacementPath path, TimePoint now) -> void;
    auto cancelReservation(Unit &unit) -> void;
    auto endsRecorded(Worker &worker, TimePoint now) -> void;
    auto collectRecords(Decisions &out, TimePoint now) -> void;
    auto collectStops(Decisions &out, TimePoint now) -> void;
    auto collectPolls(Decisions &out, TimePoint now) -> void;

    // dispatcher_load.cpp: what the load summary is made of
    auto observeStart(const Unit &unit, TimePoint now) -> void;
    auto observeEnd(const Unit &unit, TimePoint now) -> void;

    DispatcherSettings settings;
    std::function<void(const DispatchEvent &)> observe;
    TimePoint latestPreviousGrant;
    std::shared_ptr<const Configuration> configuration;
    std::map<JobId, std::unique_ptr<Job>> jobs;
    std::set<JobId> endedJobs;
    /// Jobs that were cancelled before they were accepted.
    std::set<JobId> cancelledInAdvance;
    /// Units by the action they need, so that a decision does not iterate over all units.
    UnitSet waitingUnits;
    UnitSet reservedUnits;
    UnitSet stoppingUnits;
    /// Their records have changed.
    UnitSet dirtyUnits;
    /// The first unit of its job that has begun, while no other change of its record is to be stored.
    UnitSet newlyBegunUnits;
    /// When these are recorded even if nothing else is.
    TimePoint beginsRecordedBy;
    /// Workers with ended runs that are not recorded, and those whose ends are in the batch that is being stored.
    std::set<std::shared_ptr<Worker>> workersWithUnrecordedEnds;
    std::set<std::shared_ptr<Worker>> workersWithEndsInBatch;
    /// Workers that are not listed or not reachable.
    std::set<WorkerName> unverifiedWorkers;
    std::map<RackName, std::size_t> rackNumbers;
    /// Jobs that may have ended.
    std::set<JobId> changedJobs;
    std::map<WorkerName, std::shared_ptr<Worker>> workers;
    std::vector<StartCommand> pendingStarts;
    std::vector<StopCommand> orphanStops;
    /// Units whose assignment is in the batch that is being stored, with the run that it assigns.
    std::vector<std::pair<Unit *, std::uint32_t>> batchAssignments;
    std::map<ZoneName, RunTimeRatio> zoneRunTimeRatios;
    /// By service and priority, but without the least urgent priority of each service.
    std::map<std::pair<ServiceName, std::uint32_t>, PriorityUsage> usage;
    TimePoint usageUpdatedAt;
    WorkerSpeeds speeds;
    std::uint64_t lastProgressId = 0;
    std::size_t fastWorkers = 0;
    /// Median of the slowness of all workers.
    std::uint32_t typicalSlowness = 0;
    TimePoint nextSpeedUpdate;
    TimePoint nextSpeedLog;
    std::map<std::pair<ServiceName, std::uint32_t>, StartedWork> startedWork;
    std::map<ServiceName, RunTimeObservations> runTimes;
    std::uint64_t placementRounds = 0;
    /// What is left of DecisionScope::startBytes in this round.
    std::int64_t placementBudget = 0;
    /// Valid until a worker is added, removed, changed or announces its shutdown.
    std::map<UnitRequirements, IdleFit> idleFits;
    std::map<JobId, EndCounts> gatheredEnds;
    TimePoint nextEndsLog;
    /// By job, occurrence, step and path.
    std::map<std::tuple<JobId, std::uint32_t, std::uint32_t, PlacementPath>, PlacedTasks> placedTasks;
    std::set<ZoneName> evacuatedZones;
    std::optional<TimePoint> evacuationsConfirmedAt;
    /// The last states that were logged: all listed workers are in evacuated zones; the evacuated zones may be outdated.
    bool allEvacuated = false;
    bool evacuationsOutdated = false;
    bool batchInProgress = false;
    TimePoint nextSchedule;
    /// Something has changed that may allow a waiting unit to be placed.
    bool capacityChanged = true;
    /// When waiting units are considered even though nothing has changed.
    TimePoint latestSchedule;
    TimePoint nextPollRound;
    bool runningListOutstanding = false;
    TimePoint runningListAskedAt;
    TimePoint nextRunningList;
    Duration runningListPause{};
    TimePoint nextProgressCheck;
    std::uint64_t preemptions = 0;
    double preemptedCoreSeconds = 0;
    PlacementCounts placements{};
    WithheldStartCounts withheldStarts{};
};

/// Returns whether a worker is of the service and has the label that a unit requires. \pre none. Thread-safe.
[[nodiscard]] auto isSuitable(const WorkerInfo &worker, const Unit &unit) -> bool;

/// Returns why a worker must not start tasks of a unit, by what is known of it now, reachable or not. A worker may change after a unit was
/// placed on it, so each step towards a start asks again. \pre none. Thread-safe.
[[nodiscard]] auto startObstacle(const Worker &worker, const Unit &unit) -> std::optional<StartObstacle>;

/// Returns the fields of a log line with what is known of a worker, each after a space: `service` and `labels` of its entry in the list,
/// `listed_life` and `life` from its entry and from its reports. \pre none. Thread-safe.
[[nodiscard]] auto knownKind(const Worker &worker) -> std::string;

/// Returns the fields of a log line that trace a start, each after a space: `path`, and `required_label` where there is one. \pre none.
/// Thread-safe.
[[nodiscard]] auto startFields(PlacementPath path, const std::string &requiredLabel) -> std::string;

/// Returns the field `required_label` of a log line after a space, or an empty string without a label. \pre none. Thread-safe.
[[nodiscard]] auto requiredLabelField(const std::string &label) -> std::string;

/// Returns whether the result of a unit that starts now would be worthless when it ends. Never true for a job with a schedule. \pre none.
/// Thread-safe.
[[nodiscard]] auto cannotFinishInTime(const Unit &unit, TimePoint now) -> bool;

/// Returns the time that a member still needs, from its own progress where that is known. \pre none. Thread-safe.
[[nodiscard]] auto remainingTime(const Unit &unit, const Member &member, TimePoint now) -> Duration;

} // namespace Acaciarail::Workflow
