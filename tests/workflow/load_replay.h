#pragma once

#include "sim_world.h"

#include <acaciarail/workflow/dispatcher.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
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
};

struct ClassResult
{
    std::size_t submitted = 0;
    std::size_t ended = 0;
    std::size_t inTime = 0;
    Duration longestWait{};

    [[nodiscard]] auto inTimeShare() const -> double
    {
        return submitted == 0 ? 1.0 : static_cast<double>(inTime) / static_cast<double>(submitted);
    }
};

/// Plays a load pattern against one dispatcher with a store and workers that take some milliseconds to respond.
class LoadReplay
{
public:
    explicit LoadReplay(LoadPattern pattern);

    /// Submits the jobs of the pattern and runs until some time after its end.
    auto run(Duration after) -> void;

    [[nodiscard]] auto result(std::size_t jobClass) const -> ClassResult;
    /// Work that was stopped and had not been saved, in accelerator-seconds.
    [[nodiscard]] auto wastedAcceleratorSeconds() const -> double;
    [[nodiscard]] auto unansweredPollsPerGoneWorker() const -> double;
    [[nodiscard]] auto logLinesPerTask() const -> double;
    /// Processor time of the dispatcher.
    [[nodiscard]] auto processorTime() const -> Duration;

    std::vector<std::string> violations;

private:
    struct Run
    {
        StartCommand command;
        TimePoint startedAt;
    };
    struct ReplayWorker
    {
        WorkerInfo info;
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
        Duration runTime{};
        TimePoint submittedAt;
        std::optional<TimePoint> startedAt;
        std::optional<TimePoint> endedAt;
        /// Members of the newest run that have started.
        std::uint32_t startedMembers = 0;
        std::uint32_t run = 0;
    };

    auto scheduleArrivals(std::size_t jobClass) -> void;
    auto submit(std::size_t jobClass) -> void;
    auto depart(const Departure &departure) -> void;
    auto decide() -> void;
    auto start(const StartCommand &command) -> void;
    auto stop(const StopCommand &command) -> void;
    auto poll(const PollCommand &command) -> void;
    auto answerPoll(ReplayWorker &worker) -> void;
    auto end(ReplayWorker &worker, const TaskId &task, std::uint32_t run, EndKind kind) -> void;
    auto endGang(const JobId &job, std::uint32_t run, EndKind kind) -> void;
    [[nodiscard]] auto random() -> double;

    LoadPattern m_pattern;
    SimClock m_clock;
    std::mt19937_64 m_random;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::map<WorkerName, ReplayWorker> m_workers;
    std::map<JobId, ReplayJob> m_jobs;
    TimePoint m_begin;
    std::size_t m_goneWorkers = 0;
    std::size_t m_unansweredPolls = 0;
    std::size_t m_logLines = 0;
    double m_wasted = 0;
    Duration m_processorTime{};
};

} // namespace Acaciarail::Workflow::Tests
