#pragma once

#include <acaciarail/workflow/engine.h>
#include <acaciarail/workflow/topic_follower.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// Simulated time, and the calls that are scheduled in it.
class SimClock
{
public:
    [[nodiscard]] auto now() const -> TimePoint
    {
        return m_now;
    }
    auto schedule(Duration delay, std::function<void()> task) -> void;
    auto run(Duration length) -> void;

private:
    struct Entry
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> task;
    };
    struct Later
    {
        auto operator()(const Entry &a, const Entry &b) const -> bool
        {
            return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
        }
    };
    TimePoint m_now{1h};
    std::uint64_t m_count = 0;
    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
};

/// The platform's log: conditional and fenced appends, reads from an offset on, and the newest record of each key.
class FakeStore
{
public:
    FakeStore(SimClock &clock, std::uint64_t seed)
        : m_clock(clock)
        , m_random(seed)
    {
    }

    /// Returns the hooks for an instance; its calls arrive while \a reachable is true.
    [[nodiscard]] auto hooks(const std::shared_ptr<bool> &reachable) -> StoreHooks;

    /// Interval at which a waiting read checks for records.
    static constexpr Duration pollInterval = 20ms;
    /// One-way network delay between an instance and the store.
    Duration latency = 5ms;
    /// Time that the store takes to handle a call.
    Duration serviceTime = 4ms;
    /// Probability that an append is carried out but its response is lost.
    double responseLossRate = 0;
    /// Returns how long after its arrival an append is carried out that gets no response; nothing for one that is answered.
    std::function<std::optional<Duration>(const AppendRequest &)> lateAppend;
    /// The store neither carries out nor answers any call.
    bool down = false;
    /// Calls that read these topics get no response.
    std::set<std::string> silentTopics;
    /// Speed at which one response arrives; 0 for no limit. A read whose response takes longer than its timeout fails.
    double bytesPerSecond = 0;
    /// Whether responses share this speed, one after the other, as over the link of a single instance.
    bool sharesLink = false;
    /// Most records of a page of newest records.
    std::size_t pageRecords = 500;
    /// Records before this offset can only be read as the newest of their key.
    std::uint64_t retainedFrom = 0;

    struct Topic
    {
        std::vector<KeyedRecord> records;
        std::uint64_t epoch = 0;
        std::uint64_t nextSequence = 0;
    };
    std::map<std::string, Topic> topics;
    /// Calls since the start of the test, by kind and topic, as in "read keyed.state".
    std::map<std::string, std::size_t> calls;

private:
    auto append(const AppendRequest &request) -> AppendResult;
    auto roundTrip(const std::shared_ptr<bool> &reachable, std::function<void()> call, std::function<void()> failed, Duration timeout)
        -> void;
    auto waitForRecords(const ReadRequest &request, TimePoint until, const std::shared_ptr<bool> &reachable,
                        std::function<void(ReadResult)> done) -> void;
    /// Returns how long a response takes to arrive, and occupies the link for that time.
    auto transferTime(std::size_t bytes) -> Duration;

    SimClock &m_clock;
    std::mt19937_64 m_random;
    TimePoint m_linkFreeAt;
};

/// Workers that obey only commands of the newest term. Records violations of what must never happen, such as two runs of one task.
class FakeWorkers
{
public:
    explicit FakeWorkers(SimClock &clock)
        : m_clock(clock)
    {
    }

    struct Run
    {
        StartCommand command;
        TimePoint startedAt;
        TimePoint leaseEnd;
        bool ended = false;
    };
    struct Machine
    {
        WorkerInfo info;
        std::uint64_t term = 0;
        std::vector<Run> runs;
        std::vector<EndedTask> endedTasks;
        std::uint64_t endCount = 0;
        std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> highestStopped;
    };

    /// Ends a worker and its runs without a word.
    auto end(const std::string &name) -> void;
    auto add(const std::string &name, Demand capacity, const std::string &rack) -> void;
    /// Returns the hooks for an instance; its calls arrive while \a reachable is true, and the holder calls \a watchWorkers.
    [[nodiscard]] auto hooks(const std::shared_ptr<bool> &reachable, std::function<void(bool)> watchWorkers) -> WorkerHooks;

    Duration latency = 3ms;
    Duration taskTime = 2s;
    /// Run times of the tasks with these payloads, instead of taskTime.
    std::map<std::string, Duration> taskTimes;
    /// Run times differ between tasks by up to this fraction in either direction.
    double taskTimeSpread = 0;
    /// Speed at which start commands leave the instance, one after the other; 0 for no limit. One that arrives after its timeout is carried
    /// out, but its response is not awaited.
    double startBytesPerSecond = 0;
    std::size_t unansweredStarts = 0;
    /// Workers close each connection after its response, so that one that is to get an acknowledgement is asked for its runs first.
    bool closesConnections = false;
    /// Workers that leave once they run nothing and have listed every end in a report.
    std::set<std::string> leaving;
    /// Workers that no instance can reach; their tasks run on until the lease expires.
    std::set<std::string> unreachable;
    /// Workers that have ended without a word; they are unreachable, and the platform lists the others only.
    std::set<std::string> ended;
    /// The platform lists the running workers.
    bool runningWorkersAreListed = true;
    std::map<std::string, Machine> machines;
    std::vector<std::string> violations;
    std::size_t startCount = 0;
    /// Evacuated zones, and when starts in them become violations; commands that are carried out late are none.
    std::map<ZoneName, TimePoint> evacuations;
    /// Time of the last start in each zone.
    std::map<ZoneName, TimePoint> lastStarts;
    /// Calls since the start of the test: "poll", "poll without wait", "renewal", "start" and "stop".
    std::map<std::string, std::size_t> calls;

private:
    [[nodiscard]] auto taskTimeOf(const Run &run) const -> Duration;
    auto updateRuns(Machine &machine) -> void;
    auto start(const StartCommand &command, std::uint64_t term) -> StartOutcome;
    auto stop(const StopCommand &command, std::uint64_t term) -> WorkerHooks::StopResponse;
    auto poll(const PollCommand &command, std::uint64_t term, TimePoint until, std::function<void(WorkerHooks::PollResponse)> done) -> void;
    /// Returns the report of a worker, and lets it leave if it is to leave after it.
    auto report(Machine &machine) -> WorkerReport;
    /// Asks a worker for its runs, passes its report on, and calls \a next.
    auto verify(const PollCommand &command, const std::shared_ptr<bool> &reachable, std::function<void()> next) -> void;
    [[nodiscard]] auto isReachable(const std::shared_ptr<bool> &reachable, const WorkerName &worker) const -> bool
    {
        return *reachable && !unreachable.contains(worker.str());
    }

    SimClock &m_clock;
    TimePoint m_linkFreeAt;
};

/// Several instances on one store and one fleet.
class SimWorld
{
public:
    SimWorld(std::size_t instances, std::uint64_t seed);

    struct Instance
    {
        std::shared_ptr<bool> storeReachable = std::make_shared<bool>(true);
        std::shared_ptr<bool> workersReachable = std::make_shared<bool>(true);
        std::unique_ptr<Engine> engine;
        bool watching = false;
        /// Of the follower of the operator's topic.
        std::shared_ptr<std::pair<StoreHooks, ClockHooks>> operatorHooks;
        std::set<ZoneName> evacuatedZones;
        std::unique_ptr<TopicFollower> operatorFollower;
        double processorShare = 1.0;
        ZoneName zone;
    };

    /// Restarts an instance, as after SIGKILL.
    auto restart(std::size_t i) -> void;
    auto kill(std::size_t i) -> void;
    auto run(Duration length) -> void;
    /// Submits a job through an instance; the outcome is in \c outcomes once it is known.
    auto submit(std::size_t i, const JobSpec &spec) -> void;
    /// Looks up the phase of a job through an instance.
    [[nodiscard]] auto phase(std::size_t i, const std::string &job) -> std::optional<JobPhase>;
    /// Stores the evacuation of a zone, or its revocation.
    auto evacuate(const std::string &zone, bool on = true) -> void;
    [[nodiscard]] auto holders() const -> std::vector<std::size_t>;

    SimClock clock;
    FakeStore store;
    FakeWorkers workers;
    Configuration configuration;
    /// Setting of the instances that are started from now on.
    Duration outcomeRetention = EngineSettings().outcomeRetention;
    /// Likewise; the instances follow the operator's topic when it is set.
    Duration evacuationDelay{};
    static constexpr const char *operatorTopic = "keyed.op";
    /// The instances that are started from now on follow the operator's topic, as those on the platform do. The configuration is not read
    /// from it.
    bool followsOperatorTopic = false;
    std::vector<Instance> instances;
    std::map<std::string, SubmitOutcome> outcomes;

private:
    auto makeClock(std::size_t i) -> ClockHooks;
    auto makeEngine(std::size_t i) -> std::unique_ptr<Engine>;
    auto followOperatorTopic(std::size_t i) -> void;
    auto confirmConfiguration() -> void;

    std::uint64_t m_seed;
    std::uint64_t m_incarnations = 0;
};

} // namespace Acaciarail::Workflow::Tests
