#pragma once

#include <acaciarail/scheduling/run_time_estimator.h>
#include <acaciarail/scheduling/zone_scheduler.h>

#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace Acaciarail::Scheduling::Detail {

using JobIndex = std::uint32_t;
using OrganisationIndex = std::uint32_t;
using GroupIndex = std::uint32_t;
using TeamIndex = std::uint32_t;

inline constexpr std::uint32_t noIndex = std::numeric_limits<std::uint32_t>::max();

/// Progress of an attempt.
enum class Phase : std::uint8_t {
    /// No attempt.
    None,
    /// Counted as use of its workers, but waits for preempted work to end.
    Planned,
    Starting,
    Running,
    Checkpointing,
    Stopping,
};

/// One start of a job's gang, from the choice of its workers to its end.
struct Attempt
{
    Phase phase = Phase::None;
    std::uint32_t number = 0;
    Placement members;
    /// Places of guarantees that the attempt uses; empty for borrowed capacity.
    std::vector<SlotUse> slotUses;
    TimePoint startedAt;
    /// Typical run time of this attempt.
    Duration estimate{};
    StopReason stopReason = StopReason::Reclaimed;
    bool backfilled = false;
    /// Counted as a success of its workers: it succeeded, or ran for WorkerHealthSettings::successAfter.
    bool successRecorded = false;
    bool workerLost = false;
};

struct JobRecord
{
    JobId id;
    std::string kind;
    /// Order of submission; 0 for an unused record.
    std::uint64_t sequence = 0;
    /// Position in the queue: time of submission plus the estimated run time, in microseconds.
    std::int64_t order = 0;
    OrganisationIndex organisation = noIndex;
    TeamIndex team = noIndex;
    GroupIndex group = noIndex;
    Shape shape;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    bool checkpointable = false;
    bool cancelled = false;
    bool organisationRemoved = false;
    bool reserved = false;
    Duration declaredRunTime{};
    std::optional<TimePoint> startDeadline;
    /// Run time saved by the last checkpoint.
    Duration progress{};
    std::optional<TimePoint> retryAt;
    std::vector<WorkerIndex> failedOn;
    std::uint32_t failures = 0;
    std::uint32_t attempts = 0;
    /// Times that the job was stopped in favour of a gang with a reservation.
    std::uint32_t moves = 0;
    Attempt attempt;
};

/// The properties of a job that matter for its placement. Jobs with equal keys form a group, of which only the first is tried.
struct GroupKey
{
    OrganisationIndex organisation = noIndex;
    TeamIndex team = noIndex;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    Shape shape;
    /// The only member of the group, for a job that avoids workers on which it failed.
    JobIndex soleJob = noIndex;

    friend auto operator==(const GroupKey &, const GroupKey &) noexcept -> bool = default;
};

struct GroupKeyHash
{
    auto operator()(const GroupKey &key) const noexcept -> std::size_t;
};

struct Group
{
    GroupKey key;
    std::set<std::pair<std::int64_t, JobIndex>> waiting;
    /// Queue position of its first job, under which the group is listed in Organisation::ready; empty when it is not listed.
    std::optional<std::int64_t> readyOrder;
    bool blocked = false;
    WaitReason reason = WaitReason::NotConsideredYet;
};

struct Team
{
    TeamName name;
    std::optional<std::uint32_t> maxAccelerators;
    std::int64_t acceleratorsInUse = 0;
};

struct Organisation
{
    OrganisationName name;
    std::uint32_t share = 1;
    bool present = false;
    ResourceTotals used;
    std::vector<Team> teams;
    std::map<TeamName, TeamIndex> teamByName;
    std::array<std::set<std::pair<std::int64_t, GroupIndex>>, priorityCount> ready;
};

/// State of a worker in addition to FleetWorker.
struct WorkerLoad
{
    std::vector<JobIndex> jobs;
    /// Part of the use by planned attempts, which wait for preempted work to end.
    ResourceTotals planned;
    /// Part of the use that is being stopped.
    ResourceTotals ending;
    /// Part of the use that may be reclaimed, by priority.
    std::array<ResourceTotals, priorityCount> reclaimable;
    /// Earliest start of the gangs that have a reservation here.
    TimePoint earliestReservationStart = TimePoint::max();
    /// Part of the use by small work that can be stopped and moved.
    ResourceTotals movable;
    /// Attempts that have not been counted as a success of the worker yet.
    std::uint32_t jobsWithoutSuccess = 0;
};

/// Capacity reserved for a waiting gang.
struct Reservation
{
    JobIndex job = noIndex;
    Placement places;
    /// Expected time at which all places are free.
    TimePoint start;
};

enum class TimerKind : std::uint8_t {
    StartDeadline,
    GraceEnd,
    RetryBackoff,
    AttemptSuccess,
};

struct Timer
{
    TimePoint at;
    TimerKind kind = TimerKind::StartDeadline;
    JobIndex job = noIndex;
    std::uint64_t sequence = 0;
    std::uint32_t attempt = 0;

    friend auto operator<(const Timer &a, const Timer &b) noexcept -> bool
    {
        return std::tie(a.at, a.kind, a.job, a.sequence, a.attempt) < std::tie(b.at, b.kind, b.job, b.sequence, b.attempt);
    }
};

/// Result of trying to start the first job of a group.
struct TryResult
{
    bool started = false;
    WaitReason reason = WaitReason::None;
};

/// Shapes without a placement since capacity last grew, so that equal or larger ones are not searched again.
class FailedShapes
{
public:
    auto clear() noexcept -> void;
    auto add(const Shape &shape) -> void;
    [[nodiscard]] auto covers(const Shape &shape) const noexcept -> bool;

private:
    std::vector<Shape> m_shapes;
};

/// Implementation of ZoneScheduler, which documents the public methods.
class ZoneState
{
public:
    ZoneState(ZoneSchedulerSettings settings, std::uint64_t seed);

    auto setPolicy(const JobPolicy &policy, TimePoint now) -> void;
    auto workerJoined(const WorkerInfo &info, TimePoint now) -> void;
    auto workerLeaving(const WorkerName &name, TimePoint now) -> void;
    auto workerLost(const WorkerName &name, TimePoint now) -> void;
    auto submit(const Job &job, TimePoint now) -> std::optional<Failure>;
    auto adopt(const RunningAttempt &running, TimePoint now) -> void;
    auto cancel(const JobId &id, TimePoint now) -> void;
    auto attemptStarted(const JobId &id, std::uint32_t attempt, TimePoint now) -> void;
    auto attemptEnded(const JobId &id, std::uint32_t attempt, const AttemptEnd &end, TimePoint now) -> void;
    auto decide(TimePoint now) -> std::vector<JobCommand>;
    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;
    [[nodiscard]] auto explain(const JobId &id, TimePoint now) const -> std::optional<Explanation>;
    [[nodiscard]] auto summary() const -> ZoneSummary;
    [[nodiscard]] auto verify() const -> std::string;

private:
    // Jobs, organisations and timers, in zone_records.cpp.
    auto addJob(const Job &job, TimePoint now) -> JobIndex;
    auto finishJob(JobIndex j, JobOutcome outcome, JobReason reason, std::string detail) -> void;
    [[nodiscard]] auto findJob(const JobId &id) const -> std::optional<JobIndex>;
    [[nodiscard]] auto findAttempt(const JobId &id, std::uint32_t attempt) const -> std::optional<JobIndex>;
    auto findOrAddOrganisation(const OrganisationName &name) -> OrganisationIndex;
    auto findOrAddTeam(Organisation &organisation, const TeamName &name) -> TeamIndex;
    auto addTimer(TimePoint at, TimerKind kind, JobIndex j) -> void;
    auto fireTimers(TimePoint now) -> void;
    auto fire(const Timer &timer, TimePoint now) -> void;
    auto removeOrganisations(TimePoint now) -> void;
    auto makeBorrowed(SlotIndex slot) -> void;

    // Ends of attempts, in zone_attempts.cpp.
    auto handleEnd(JobIndex j, const AttemptEnd &end, Duration elapsed, TimePoint now) -> void;
    auto handleFailure(JobIndex j, const AttemptEnd &end, TimePoint now) -> void;
    auto handleSuccess(JobIndex j, Duration elapsed, TimePoint now) -> void;
    auto recordFailureOn(JobIndex j, WorkerIndex w, TimePoint now) -> void;
    auto retryLater(JobIndex j, TimePoint now) -> void;
    auto recordAttemptSuccess(JobIndex j, TimePoint now) -> void;
    auto updateExclusion(WorkerIndex w) -> void;
    auto updateExclusions(const std::vector<WorkerName> &names) -> void;
    [[nodiscard]] auto failedHealthyWorkers(const JobRecord &job) const -> std::uint32_t;
    auto relocateGuarantees() -> void;
    auto endLostAttempts(WorkerIndex w, TimePoint now) -> void;
    auto cancelUnschedulablePlans(TimePoint now) -> void;
    auto clearAttempt(JobIndex j) -> void;

    // Queue, in zone_queue.cpp.
    auto enqueue(JobIndex j) -> void;
    auto dequeue(JobIndex j) -> void;
    auto refreshReady(GroupIndex g) -> void;
    auto block(GroupIndex g, WaitReason reason) -> void;
    auto unblockAll() -> void;
    auto startGuaranteed(TimePoint now) -> void;
    auto runRound(TimePoint now) -> void;
    auto runPass(TimePoint now, bool ignoreLimits) -> void;
    auto runClass(Priority priority, TimePoint now, bool ignoreLimits) -> void;
    auto tryStart(JobIndex j, TimePoint now, bool ignoreLimits) -> TryResult;
    [[nodiscard]] auto isOverClassLimit(const JobRecord &job) const -> bool;
    [[nodiscard]] auto isOverQuota(const JobRecord &job) const -> bool;
    /// Returns the fraction of the capacity that the organisation uses, divided by its share.
    [[nodiscard]] auto shareInUse(const Organisation &organisation) const -> double;
    /// Returns the fraction of the shard's capacity for the resource of which \a amount takes most (the dominant share).
    [[nodiscard]] auto fractionOfCapacity(const ResourceTotals &amount) const -> double;

    // Capacity, in zone_capacity.cpp.
    auto plan(JobIndex j, Placement places, std::vector<SlotUse> slotUses, TimePoint now) -> void;
    auto start(JobIndex j, TimePoint now) -> void;
    auto startPlanned(TimePoint now) -> void;
    /// Adds the resources of an attempt to all sums when \a sign is 1; subtracts them when it is -1.
    auto applyUsage(JobIndex j, int sign) -> void;
    auto release(JobIndex j) -> void;
    auto markEnding(JobIndex j) -> void;
    auto stop(JobIndex j, StopReason reason, TimePoint now) -> void;
    auto stopNow(JobIndex j, StopReason reason) -> void;
    auto cancelPlan(JobIndex j) -> void;
    [[nodiscard]] auto isStoppable(const JobRecord &job) const noexcept -> bool;
    [[nodiscard]] auto isFreeNow(const Placement &places, const Resources &perTask) const -> bool;
    /// Returns the work that stopping the job loses, in accelerator seconds; greater for jobs that should not be stopped.
    [[nodiscard]] auto lostWork(const JobRecord &job, TimePoint now) const -> double;
    using MayStop = std::function<bool(const JobRecord &)>;
    [[nodiscard]] auto chooseVictims(const Placement &places, const Resources &perTask, TimePoint now, const MayStop &mayStop) const
        -> std::optional<std::vector<JobIndex>>;
    [[nodiscard]] auto shortageOn(WorkerIndex w, const ResourceTotals &need) const -> ResourceTotals;
    [[nodiscard]] auto canAvoidFailed(const JobRecord &job) const -> bool;
    [[nodiscard]] auto isCoveredWithout(const std::map<WorkerIndex, ResourceTotals> &shortage, const std::vector<JobIndex> &victims,
                                        JobIndex without) const -> bool;
    [[nodiscard]] auto victimsOn(WorkerIndex w, ResourceTotals shortage, const std::set<JobIndex> &chosen, TimePoint now,
                                 const MayStop &mayStop) const -> std::optional<std::vector<JobIndex>>;
    [[nodiscard]] auto costOf(const std::vector<JobIndex> &victims, TimePoint now) const -> double;
    [[nodiscard]] auto filterFor(const JobRecord &job) const -> WorkerFilter;
    [[nodiscard]] auto mayUse(const JobRecord &job, const Placement &places) const -> bool;
    /// Starts the job on available capacity as reclaimable work.
    auto tryBorrow(JobIndex j, TimePoint now) -> bool;
    /// Starts the job on reserved capacity if it should end before the reservation starts or can be moved then.
    auto tryBackfill(JobIndex j, TimePoint now) -> bool;
    auto tryBackfillGang(JobIndex j, TimePoint now) -> bool;
    auto tryPreempt(JobIndex j, TimePoint now) -> bool;

    // Guaranteed work, in zone_guarantees.cpp.
    /// A way to run a job inside the guarantees of its organisation.
    struct Offer
    {
        std::vector<SlotUse> slotUses;
        Placement members;
        /// Slot with which the location is exchanged before the start.
        std::optional<SlotIndex> exchangeWith;
        std::vector<JobIndex> victims;
        double cost = 0;
    };

    auto tryGuarantee(JobIndex j, TimePoint now) -> bool;
    auto tryGuarantee(JobIndex j, const std::vector<SlotIndex> &slots, TimePoint now) -> bool;
    [[nodiscard]] auto hasUnusedSlot(const Organisation &organisation) const -> bool;
    [[nodiscard]] auto offerAt(const JobRecord &job, SlotIndex slot, SlotIndex location) const -> std::optional<Offer>;
    [[nodiscard]] auto offerFromSeveralSlots(const JobRecord &job) const -> std::optional<Offer>;
    [[nodiscard]] auto slotsFor(const JobRecord &job) const -> std::vector<SlotIndex>;
    /// Finds an offer on free capacity by moving an unused slot there, or by exchanging its location.
    auto moveToFree(const JobRecord &job, const std::vector<SlotIndex> &slots) -> std::optional<Offer>;
    [[nodiscard]] auto cheapestOffer(const JobRecord &job, const std::vector<SlotIndex> &slots, TimePoint now) const
        -> std::optional<Offer>;
    auto accept(JobIndex j, const Offer &offer, TimePoint now) -> void;
    /// Assigns places of a guarantee to an adopted attempt on the workers where it runs.
    auto assignSlotInPlace(JobIndex j) -> void;

    // Reservations, in zone_reservations.cpp.
    auto tryReserve(JobIndex j, TimePoint now) -> bool;
    auto processReservations(TimePoint now, bool grew) -> void;
    auto processReservation(JobIndex j, TimePoint now, bool grew) -> void;
    [[nodiscard]] auto reservationOf(JobIndex j) -> Reservation &;
    [[nodiscard]] auto planReservation(const JobRecord &job, TimePoint now) const -> std::optional<Reservation>;
    /// Reserves the capacity when \a sign is 1; releases it when \a sign is -1.
    auto applyReservation(const Reservation &reservation, int sign) -> void;
    auto updateReservationStarts(const Placement &places) -> void;
    auto evictFromReservation(JobIndex j, TimePoint now) -> bool;
    auto cancelReservation(JobIndex j) -> void;
    /// Small work that loses little when it is stopped, so that a gang need not wait for it.
    [[nodiscard]] auto isMovable(const JobRecord &job) const noexcept -> bool;
    /// As isMovable(), but also true for a gang that is much smaller than \a gang.
    [[nodiscard]] auto isMovableFor(const JobRecord &job, const Shape &gang) const noexcept -> bool;
    /// Small work that cannot be moved; it is placed together on few racks, so that the others can be cleared for gangs.
    [[nodiscard]] auto isFixed(const JobRecord &job) const noexcept -> bool;
    [[nodiscard]] auto findAmongFixed(const JobRecord &job, CapacityKind kind, const WorkerFilter &filter) const
        -> std::optional<Placement>;
    /// Whether the gang must run within one rack or on neighbouring racks.
    [[nodiscard]] static auto isRackGang(const Shape &shape) noexcept -> bool;
    [[nodiscard]] auto findTightRacks(const JobRecord &job, CapacityKind kind, const WorkerFilter &filter) const
        -> std::optional<Placement>;
    [[nodiscard]] auto findAwayFromFixed(const JobRecord &job, CapacityKind kind, const WorkerFilter &filter) const
        -> std::optional<Placement>;
    auto updateFixedCount(RackIndex rack, std::int64_t tasks) -> void;
    [[nodiscard]] auto isLarge(const Shape &shape) const noexcept -> bool;
    [[nodiscard]] auto expectedEnd(const JobRecord &job, const Shape &gang, TimePoint now) const -> TimePoint;

    [[nodiscard]] auto isBorrowed(const JobRecord &job) const noexcept -> bool;
    [[nodiscard]] auto amountOn(const JobRecord &job, const PlacedTasks &it) const noexcept -> ResourceTotals;
    [[nodiscard]] auto membersOf(const JobRecord &job) const -> std::vector<GangMember>;
    [[nodiscard]] auto waitingText(const JobRecord &job, WaitReason reason) const -> std::string;

    ZoneSchedulerSettings m_settings;
    Fleet m_fleet;
    std::vector<WorkerLoad> m_loads;
    GuaranteeTable m_guarantees;
    WorkerHealth m_health;
    RunTimeEstimator m_estimator;
    ClassLimits m_classLimits = defaultClassLimits;

    std::vector<JobRecord> m_jobs;
    std::vector<JobIndex> m_freeJobs;
    std::unordered_map<JobId, JobIndex> m_jobById;
    std::vector<Organisation> m_organisations;
    std::map<OrganisationName, OrganisationIndex> m_organisationByName;
    std::vector<Group> m_groups;
    std::vector<GroupIndex> m_freeGroups;
    std::unordered_map<GroupKey, GroupIndex, GroupKeyHash> m_groupByKey;
    std::vector<GroupIndex> m_blocked;
    std::array<std::set<OrganisationIndex>, priorityCount> m_readyOrganisations;
    std::array<ResourceTotals, priorityCount> m_usedByClass;
    std::array<std::uint32_t, priorityCount> m_queued{};
    /// In the order in which they were planned.
    std::vector<JobIndex> m_planned;
    std::vector<Reservation> m_reservations;
    /// Tasks of fixed work on each rack, and the racks that have any, those with most tasks first.
    std::vector<std::int64_t> m_fixedOnRack;
    std::set<std::pair<std::int64_t, RackIndex>> m_racksByFixed;
    std::set<Timer> m_timers;
    /// Workers on which the number of jobs is limited by their health.
    std::set<WorkerName> m_limitedWorkers;
    /// Workers on which jobs of a kind failed since the last success of that kind.
    std::unordered_map<std::string, std::vector<WorkerIndex>> m_failedKinds;
    FailedShapes m_failedShapes;
    FailedShapes m_failedPreemptions;
    FailedShapes m_failedReservations;
    std::vector<JobCommand> m_commands;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_lastGrowthCount = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::int64_t m_largestAccelerators = 0;
    std::int64_t m_largestCores = 0;
    TimePoint m_lastDecision{};
    /// Blocked groups must be tried again.
    bool m_unblock = false;
    /// Guarantees must be located again.
    bool m_relocate = false;
    bool m_loggedShortfall = false;
};

} // namespace Acaciarail::Scheduling::Detail
