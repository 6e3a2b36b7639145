#pragma once

#include "sim_world.h"

#include <acaciarail/workflow/dispatcher.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// Jobs of one queue.
struct JobClass
{
    const char *queue;
    std::uint32_t priority = 0;
    /// Jobs a second for each hundred workers.
    double rate = 0;
    double meanTasks = 1;
    std::uint32_t maxTasks = 1;
    bool gang = false;
    /// Share of the gangs that need one rack, as far as they fit into one.
    double sameRackShare = 0;
    std::int64_t milliCores = 1000;
    std::int64_t memoryMiB = 1000;
    /// Accelerators of each task, one of these with equal probability.
    std::vector<std::int64_t> accelerators = {1};
    Duration runTime = 1s;
    /// Run times and estimates differ from their means by up to this share.
    double spread = 0.3;
    /// A job is in time when it ends within this many times its run time and the target latency.
    double stretch = 3;
    Duration targetLatency = 1s;
    /// The work of the tasks of a step differs from its mean by up to this share.
    double unevenness = 0;
    /// Estimates differ from the mean work of the tasks by up to this share; by `spread` when empty.
    std::optional<double> estimateError = {};
    /// Share of the jobs that have a second step like the first.
    double secondStepShare = 0;
    /// Value of a job of mean size that ends in time, and of one that ends within three times that limit.
    double value = 1;
    double lateValue = 0;
};

/// More jobs of one class than usual.
struct LoadBurst
{
    std::size_t jobClass = 0;
    Duration from{};
    Duration length{};
    double factor = 1;
};

/// Workers that announce their shutdown, leave, and stay listed for some time.
struct Departure
{
    Duration at{};
    double share = 0;
    Duration notice{};
    Duration listedAfterwards{};
};

/// An organisation that submits a share of the jobs.
struct OrganisationShare
{
    const char *name;
    double share = 0;
    std::int64_t guaranteedAccelerators = 0;
};

struct LoadPattern
{
    const char *name;
    std::size_t racks = 1;
    std::size_t workersPerRack = 8;
    Demand workerCapacity{32'000, 131'072, 8};
    std::vector<JobClass> classes;
    std::vector<LoadBurst> bursts = {};
    std::vector<Departure> departures = {};
    Duration length = 20s;
    std::uint64_t seed = 1;
    /// Interval at which the dispatcher decides.
    Duration decisionInterval = 10ms;
    /// Speeds of the workers, dealt to them in turn. A gang ends when its slowest member has.
    std::vector<double> speeds = {1};
    /// Share of the tasks that take `tailFactor` times as long.
    double tailShare = 0;
    double tailFactor = 7;
    /// Tasks save their progress at this interval; zero when they do not.
    Duration checkpointInterval{};
    /// Time that a run needs before it continues from a checkpoint.
    Duration restoreTime{};
    /// Time from a stop command until the run has ended and its capacity is free.
    Duration stopTime{};
    /// Share of the jobs of which one run fails part-way.
    double failureShare = 0;
    /// Without any, all jobs belong to one organisation without a guarantee.
    std::vector<OrganisationShare> organisations = {};
    /// Change a worker before it is listed, and a job before it is submitted.
    std::function<void(WorkerInfo &)> varyWorker = {};
    std::function<void(JobSpec &)> varyJob = {};
    /// Bound on the time in which an urgent job within its organisation's guarantee has started all tasks of its first step.
    Duration reclaimTime = 3400ms;
};

struct ClassResult
{
    std::size_t submitted = 0;
    std::size_t ended = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t worthless = 0;
    /// Value of the jobs by when they ended, and if all had ended in time.
    double earned = 0;
    double owed = 0;
    /// Work of runs that did not end as done, without what they had saved.
    double wastedCoreSeconds = 0;
    Duration longestWait{};
    /// Longest time from submission to the end.
    Duration longestLatency{};

    auto operator+=(const ClassResult &other) -> ClassResult &;
    [[nodiscard]] auto valueShare() const -> double
    {
        return owed > 0 ? earned / owed : 1.0;
    }

    [[nodiscard]] auto inTimeShare() const -> double
    {
        return submitted == 0 ? 1.0 : static_cast<double>(inTime) / static_cast<double>(submitted);
    }
};

/// Plays a load pattern against one dispatcher with a store and workers that take some milliseconds to respond.
class LoadReplay
{
public:
    explicit LoadReplay(LoadPattern pattern, DispatcherSettings settings = {});

    /// Submits the jobs of the pattern and runs until some time after its end.
    auto run(Duration after) -> void;
    /// Submits the jobs of the pattern and runs until all have ended, at most until \a limit after its end or until no task has started or
    /// ended for as long as any task may take.
    auto runUntilEnded(Duration limit) -> void;

    [[nodiscard]] auto result(std::size_t jobClass) const -> ClassResult;
    [[nodiscard]] auto unansweredPollsPerGoneWorker() const -> double;
    [[nodiscard]] auto logLinesPerTask() const -> double;
    /// Processor time of the dispatcher.
    [[nodiscard]] auto processorTime() const -> Duration;
    [[nodiscard]] auto preemptions() const -> std::uint64_t;
    /// Urgent jobs that were within their organisation's guarantee until they had started or the bound had passed.
    [[nodiscard]] auto guaranteedJobs() const -> std::size_t;
    /// Longest time until one of these had started all tasks of its first step.
    [[nodiscard]] auto longestReclaim() const -> Duration;

    /// Returns the jobs that have not ended although the workers that are left could run each of their steps if nothing else ran.
    [[nodiscard]] auto unfinishedPlaceableJobs() const -> std::vector<JobId>;

    /// Broken rules, as a plain check of each command and each preemption finds them.
    std::vector<std::string> violations;

private:
    struct ReplayWorker;
    /// One run of a unit: of a gang, or of a single task.
    struct UnitRun
    {
        struct Member
        {
            ReplayWorker *worker = nullptr;
            /// Seconds of work on a worker of speed 1: of the whole task, and done before this run.
            double work = 0;
            double doneBefore = 0;
        };
        JobId job;
        std::uint32_t step = 0;
        /// Of the task; 0 for a gang.
        std::uint32_t index = 0;
        std::uint32_t run = 0;
        std::vector<Member> members;
        std::uint32_t startedMembers = 0;
        TimePoint firstStart;
        /// When all members had started and had restored their checkpoints.
        std::optional<TimePoint> progressFrom;
        /// When the first member was told to stop, or ended.
        std::optional<TimePoint> haltedAt;
        /// The newest checkpoint; at first the one that it continues from.
        std::string checkpoint;
        /// Checkpoints that it has saved.
        std::int64_t savedCheckpoints = 0;

        [[nodiscard]] auto progressTime(TimePoint now) const -> Duration;
        [[nodiscard]] auto doneWork(std::size_t member, Duration progressTime) const -> double;
    };
    struct Run
    {
        StartCommand command;
        TimePoint startedAt;
        std::shared_ptr<UnitRun> unit;
        std::size_t member = 0;
        bool stopping = false;
    };
    struct ReplayWorker
    {
        WorkerInfo info;
        double speed = 1;
        bool gone = false;
        std::vector<Run> runs;
        std::vector<EndedTask> ends;
        std::uint64_t endCount = 0;
        std::optional<std::pair<PollCommand, TimePoint>> pendingPoll;
        std::uint64_t pollNumber = 0;
    };
    struct ReplayJob
    {
        std::size_t jobClass = 0;
        JobSpec spec;
        /// Seconds of work on a worker of speed 1, by step and task.
        std::vector<std::vector<double>> work;
        TimePoint submittedAt;
        std::optional<TimePoint> startedAt;
        std::optional<TimePoint> endedAt;
        JobPhase phase = JobPhase::Queued;
        /// The share of its time after which the first run of its first unit fails; 0 for never.
        double failsAfter = 0;
        /// Tasks of the first step that have started at least once.
        std::set<std::uint32_t> startedTasks;
        std::optional<TimePoint> allStartedAt;
        /// Whether all urgent jobs of its organisation fitted its guarantee since its submission.
        bool guaranteed = false;
        double wastedCoreSeconds = 0;

        [[nodiscard]] auto criticalPath() const -> double;
        [[nodiscard]] auto coreSeconds() const -> double;
        [[nodiscard]] auto accelerators() const -> std::int64_t;
    };

    auto begin() -> void;
    auto scheduleArrivals(std::size_t jobClass) -> void;
    auto submit(std::size_t jobClass) -> void;
    auto addToOrganisation(ReplayJob &job) -> void;
    auto depart(const Departure &departure) -> void;
    auto decide() -> void;
    auto start(const StartCommand &command) -> void;
    auto checkStart(const StartCommand &command, const ReplayWorker &worker) -> void;
    /// Checks that all members of a gang's run are started together.
    auto checkGangs(const std::vector<StartCommand> &starts) -> void;
    auto checkPreemption(const DispatchEvent &event) -> void;
    auto unitRunFor(const StartCommand &command) -> std::shared_ptr<UnitRun>;
    auto markStarted(ReplayJob &job, const StartCommand &command) -> void;
    auto beginProgress(const std::shared_ptr<UnitRun> &unit) -> void;
    auto stop(const StopCommand &command) -> void;
    auto poll(const PollCommand &command) -> void;
    auto answerPoll(ReplayWorker &worker) -> void;
    /// Ends a member's run; one that has ended already is ignored.
    auto end(UnitRun &unit, std::size_t member, EndKind kind) -> void;
    /// Ends the runs of all members that are not stopping.
    auto endMembers(UnitRun &unit, EndKind kind) -> void;
    /// Returns the checkpoint that a run has at the moment, empty for none.
    auto checkpointOf(UnitRun &unit) -> const std::string &;
    /// Returns for how much of its progress time a run has saved its progress.
    [[nodiscard]] auto savedTime(const UnitRun &unit) const -> Duration;
    [[nodiscard]] auto random() -> double;

    LoadPattern m_pattern;
    SimClock m_clock;
    std::mt19937_64 m_random;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::map<WorkerName, ReplayWorker> m_workers;
    std::map<JobId, ReplayJob> m_jobs;
    std::size_t m_openJobs = 0;
    /// When a run last started or ended.
    TimePoint m_lastChange;
    /// Runs that a member has started.
    std::map<std::tuple<JobId, std::uint32_t, std::uint32_t, std::uint32_t>, std::shared_ptr<UnitRun>> m_unitRuns;
    /// Seconds of work that each member has done at a checkpoint.
    std::map<std::string, std::vector<double>> m_checkpoints;
    std::set<TaskId> m_doneTasks;
    /// Gang runs of which start commands were sent.
    std::set<std::tuple<JobId, std::uint32_t, std::uint32_t>> m_sentGangs;
    std::map<OrganisationName, std::int64_t> m_guarantees;
    /// Accelerators of the urgent jobs of each organisation that have not ended.
    std::map<OrganisationName, std::int64_t> m_urgentAccelerators;
    TimePoint m_begin;
    std::size_t m_goneWorkers = 0;
    std::size_t m_unansweredPolls = 0;
    std::size_t m_logLines = 0;
    Duration m_processorTime{};
};

} // namespace Acaciarail::Workflow::Tests
