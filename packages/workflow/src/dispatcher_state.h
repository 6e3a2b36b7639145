#pragma once

#include <acaciarail/workflow/dispatcher.h>
#include <acaciarail/workflow/placement.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Acaciarail::Workflow {

enum class MemberPhase : std::uint8_t {
    /// The assignment is being recorded.
    Planned,
    /// The start was ordered and not answered yet.
    Starting,
    /// The start got no answer; the run may be there, or come later.
    Unsure,
    /// Assigned by an earlier holder; not seen yet.
    Restored,
    Running,
    /// Not running, now or later.
    Gone,
};

struct Unit;
struct Worker;
class Round;

/// One task of the newest run of a unit.
struct Member
{
    Worker *worker = nullptr;
    MemberPhase phase = MemberPhase::Gone;
    std::uint32_t percent = 0;
    /// First and latest report of progress.
    std::uint32_t firstPercent = 0;
    TimePoint firstSeen;
    TimePoint lastProgress;
    TimePoint lastReport;
    TimePoint startedAt;
    /// Progress at the newest checkpoint.
    std::uint32_t savedPercent = 0;
    std::string checkpoint;
    bool stopping = false;
    TimePoint stopSentAt;
    /// Orders to start this run that were not answered.
    std::uint32_t unansweredStarts = 0;
    /// A look sent at or after this time that does not list the run proves that it is gone.
    std::optional<TimePoint> provableSince;
};

enum class UnitStage : std::uint8_t {
    /// Steps before it have not ended.
    Blocked,
    Waiting,
    /// Room is being made on the reserved seats.
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
    bool storing = false;
    TimePoint readySince;
    /// Since when it waits for its next run.
    TimePoint waitingSince;
    TimePoint runStartedAt;
    TimePoint reservedAt;
    TimePoint nextPreempt;
    /// How often it was started anew because a worker was slow.
    std::uint32_t slowRestarts = 0;
    std::vector<Worker *> reserved;

    [[nodiscard]] auto tasks() const -> std::uint32_t
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
        return weightedCores(step->taskDemand) * tasks();
    }
    [[nodiscard]] auto allGone() const -> bool;
    /// Returns the task of a member, by its position.
    [[nodiscard]] auto task(std::uint32_t member) const -> TaskId
    {
        return {id.job, id.occurrence, id.step, step->gang ? member : id.index};
    }
    [[nodiscard]] auto request() const -> PlacementRequest
    {
        return {tasks(), demand(), step->sameRack, step->maxPerWorker};
    }
};

/// Orders units by their id, so that decisions do not depend on addresses.
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
    /// Of its queue as configured now, or as accepted when the queue is gone.
    QueuePolicy policy;
    TimePoint acceptedAt;
    bool cancelled = false;
    bool failed = false;
    std::uint32_t nextOccurrence = 0;
    std::map<UnitId, std::unique_ptr<Unit>> units;
    /// Units of a step of an occurrence that are not done, by (occurrence, step).
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> open;
    bool ended = false;
};

struct Worker
{
    WorkerInfo info;
    bool listed = false;
    TimePoint drainEnds;
    /// Life that the reports came from; 0 before the first.
    std::int64_t incarnation = 0;
    Demand used;
    /// Runs there that no unit accounts for.
    Demand strays;
    Demand pledged;
    std::vector<Unit *> units;
    bool lookOutstanding = false;
    bool extensionOutstanding = false;
    /// The look under way is one of a worker that ran nothing.
    bool idleLook = false;
    /// When the lease was last extended, by an order that was answered.
    std::optional<TimePoint> extendedAt;
    TimePoint nextLook;
    TimePoint nextExtension;
    /// Time of sending of the last look that was answered in this term.
    std::optional<TimePoint> answeredAt;
    /// Looks in a row that were not answered.
    std::uint32_t unansweredLooks = 0;
    std::optional<TimePoint> failingSince;
    /// First order in a row that may have extended the lease and had no answer.
    std::optional<TimePoint> unansweredGrant;
    std::uint64_t seenEnds = 0;
    std::uint64_t batchEnds = 0;
    std::uint64_t recordedEnds = 0;
    TimePoint avoidUntil;
    /// Number of its rack; see Candidate::rack.
    std::size_t rack = 0;
    /// Its position in the present round of placement.
    std::size_t position = 0;

    [[nodiscard]] auto usable() const -> bool
    {
        return listed && !info.draining && answeredAt && !failingSince;
    }
    [[nodiscard]] auto free() const -> Demand
    {
        return info.capacity - used - strays;
    }
};

/// How long runs take in a zone, as a multiple of their estimates.
struct ZonePace
{
    double sum = 0;
    std::uint64_t runs = 0;

    [[nodiscard]] auto mean() const -> double
    {
        return sum / static_cast<double>(runs);
    }
};

struct Dispatcher::State
{
    State(DispatcherSettings s, std::function<void(const DispatchEvent &)> o, TimePoint grants)
        : settings(s)
        , observe(std::move(o))
        , previousGrants(grants)
    {
    }

    // dispatcher.cpp: jobs and units
    auto createOccurrence(Job &job, std::uint32_t occurrence, TimePoint now) -> void;
    auto unblock(Job &job, std::uint32_t occurrence, TimePoint now) -> void;
    auto policyFor(const JobSpec &spec) const -> QueuePolicy;
    auto notePace(const Unit &unit, TimePoint now) -> void;
    auto slowZones() const -> std::set<ZoneName>;
    auto noteUrgentUse(TimePoint now) -> void;
    auto findUnit(const TaskId &task) -> Unit *;
    auto setStage(Unit &unit, UnitStage stage) -> void;
    auto requestStop(Unit &unit, Member &member) -> void;
    auto forgetUnits(Job &job) -> void;
    auto setDone(Unit &unit, TimePoint now) -> void;
    auto beginEnding(Unit &unit, std::string_view reason) -> void;
    auto settle(Unit &unit, TimePoint now) -> void;
    auto failJob(Job &job) -> void;
    auto closeJob(Job &job, Decisions &out) -> void;
    auto closeJobs(Decisions &out) -> void;
    auto startDueOccurrences(TimePoint now, std::chrono::milliseconds unixNow) -> void;
    auto event(std::string_view name, const JobId &job, std::string details) const -> void;

    // dispatcher_workers.cpp: what workers say
    auto worker(const WorkerName &name) -> Worker &;
    auto occupy(Unit &unit, Member &member) -> void;
    auto leave(Unit &unit, Member &member) -> void;
    auto reborn(Worker &worker, std::int64_t incarnation, TimePoint now) -> void;
    auto processRunning(Worker &worker, const WorkerReport &report, TimePoint now) -> void;
    auto processEnd(Worker &worker, const EndedTask &end, TimePoint now) -> void;
    auto processEarlierEnd(Unit &unit, const EndedTask &end, TimePoint now) -> void;
    auto processMissing(Worker &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now) -> void;
    auto memberOn(Unit &unit, const Worker &worker, const TaskId &task) -> Member *;
    auto memberOf(Unit *unit, const Worker &worker, const TaskId &task, std::uint32_t run) -> Member *;
    auto goneAt(const Worker &worker) const -> TimePoint;
    auto giveUpWorker(Worker &worker, std::string_view reason, TimePoint now, bool keepOrdered = false) -> void;
    auto expireWorkers(TimePoint now) -> void;
    auto watchProgress(TimePoint now) -> void;
    auto restartSlowRuns(TimePoint now) -> void;
    auto restartSlowSingle(Unit &unit, TimePoint now) -> void;
    auto extensionPace(const Worker &worker, TimePoint now) const -> Duration;
    auto fleetFactor() const -> double;
    auto evacuate(TimePoint now) -> void;

    // dispatcher_schedule.cpp: placement and orders
    auto schedule(TimePoint now) -> void;
    auto tryPlace(Round &round, Unit &unit, TimePoint now) -> bool;
    auto tryPreempt(Round &round, Unit &unit, bool guaranteed, TimePoint now) -> void;
    auto placeReserved(TimePoint now) -> void;
    auto assign(Unit &unit, const std::vector<Worker *> &seats, TimePoint now) -> void;
    auto release(Unit &unit) -> void;
    auto endsRecorded(Worker &worker, TimePoint now) -> void;
    auto collectRecords(Decisions &out, TimePoint now) -> void;
    auto collectStops(Decisions &out, TimePoint now) -> void;
    auto collectLooks(Decisions &out, TimePoint now) -> void;

    DispatcherSettings settings;
    std::function<void(const DispatchEvent &)> observe;
    TimePoint previousGrants;
    std::shared_ptr<const Configuration> configuration;
    std::map<JobId, std::unique_ptr<Job>> jobs;
    std::set<JobId> endedJobs;
    /// Units by what is to be done about them, so that a decision costs no look at all the others.
    UnitSet waitingUnits;
    UnitSet reservedUnits;
    UnitSet stoppingUnits;
    /// Their records have changed.
    UnitSet dirtyUnits;
    /// Workers that have ended runs which are not recorded, and those whose ends are in the batch under way.
    std::set<Worker *> endedOn;
    std::set<Worker *> batchEndedOn;
    /// Workers that are not listed, or do not answer.
    std::set<WorkerName> doubtfulWorkers;
    std::map<RackName, std::size_t> rackNumbers;
    /// Jobs that may have ended.
    std::set<JobId> changedJobs;
    std::map<WorkerName, std::unique_ptr<Worker>> workers;
    std::vector<StartCommand> pendingStarts;
    std::vector<StopCommand> strayStops;
    /// Units whose assignment is in the batch under way, with the run that it assigns.
    std::vector<std::pair<Unit *, std::uint32_t>> batchAssignments;
    std::map<ZoneName, ZonePace> zonePaces;
    /// Accelerators that urgent work uses or waits for, averaged over DispatcherSettings::urgentUsageWindow.
    double urgentUse = 0;
    TimePoint urgentUseAt;
    bool batchInProgress = false;
    TimePoint nextSchedule;
    /// Something has changed that a waiting unit may find a place by.
    bool roomChanged = true;
    TimePoint nextFullSchedule;
    TimePoint nextLookRound;
    TimePoint nextWatch;
    std::uint64_t preemptions = 0;
    double preemptedCoreSeconds = 0;
};

/// Returns the time that a member still needs, from its own progress where that is known. \pre none. Thread-safe.
[[nodiscard]] auto remainingTime(const Unit &unit, const Member &member, TimePoint now) -> Duration;

} // namespace Acaciarail::Workflow
