#pragma once

#include "oracle.h"
#include "platform_model.h"
#include "worker_model.h"

#include <acaciarail/instance.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Fuzz {

/// Deliberate faults in the behaviour of the system that the oracle must detect; they show that its checks can fail.
enum class Mutation : std::uint8_t {
    None,
    /// A non-idempotent request is sent a second time after a failure.
    RetryAfterSend,
    /// A refusal with an unknown outcome is reported as not run.
    UnknownAsNotRun,
    /// An append whose answer was lost counts as not appended.
    LostAnswerAsNotAppended,
    /// Workers accept commands of any term.
    SkipTermCheck,
    /// The holder believes that its lease lasts ten times as long as it does.
    LongLease,
    /// Starts are sent to the first member of a gang only, and the others are reported as started.
    StartFirstMemberOnly,
    /// The answer to another request is returned.
    SwapAnswers,
    /// The log acknowledges records without keeping them.
    LoseRecords,
    /// A draining instance ends immediately, with requests in progress.
    AbruptDrain,
    /// An instance reverts to an older version of the configuration.
    RevertVersion,
    /// Claims of non-idempotent requests are not deduplicated by key.
    ForgetKeys,
};

inline constexpr std::size_t mutationCount = 12;

[[nodiscard]] auto mutationName(Mutation mutation) noexcept -> const char *;

enum class CommandKind : std::uint8_t {
    Request,
    NonIdempotentRequest,
    RetryElsewhere,
    Job,
    Gang,
    CancelWave,
    Publish,
    Race,
    Crash,
    Restart,
    RestartAll,
    Pause,
    Resume,
    CutZone,
    RestoreZones,
    LogDown,
    LogSlow,
    LogLosesAnswers,
    LogLateAppends,
    LogUp,
    LimitRetention,
    EndpointLeaves,
    EndpointUnresponsive,
    EndpointsRecover,
    WorkerFailsAll,
    WorkerRestarts,
    WorkerUnreachable,
    WorkersRecover,
    ListLags,
    Drain,
    Wait,
};

inline constexpr std::size_t commandKindCount = 31;

[[nodiscard]] auto commandName(CommandKind kind) noexcept -> const char *;

/// One step of a sequence: an event, the number that selects its target, and the simulated time that passes after it.
struct Command
{
    CommandKind kind = CommandKind::Wait;
    std::uint32_t target = 0;
    Duration pause{};
};

struct WorldSettings
{
    std::uint64_t seed = 1;
    Mutation mutation = Mutation::None;
    std::uint32_t zones = 2;
    std::uint32_t instancesPerZone = 2;
    std::uint32_t workersPerZone = 4;
    std::uint32_t endpointsPerZone = 2;
    Duration taskLease = 10s;
    /// Log records between two snapshots, and records that the log retains once its retention is limited.
    std::uint64_t snapshotEvery = 150;
    std::uint64_t retention = 400;
    /// Encodes messages to workers and peers, to count their bytes.
    bool countBytes = false;
    /// Checks the invariants at each step; when false, checks only the end state.
    bool checkSteps = true;
    std::uint32_t workersPerRack = 2;
    /// Shortest run time of a task; the longest is 6 s longer.
    Duration minRunTime = 500ms;
};

/// Simulated system: the production code of the instances with in-process stand-ins for workers, endpoints and the platform, and
/// simulated time.
class World
{
public:
    explicit World(WorldSettings settings);
    ~World();
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    auto execute(const Command &command) -> void;
    auto advance(Duration d) -> void;
    /// Removes all faults, waits until all work has finished, and checks the end state.
    auto settle() -> void;

    [[nodiscard]] auto violations() const noexcept -> const std::vector<Violation> &;
    [[nodiscard]] auto now() const noexcept -> TimePoint;
    /// Number of instances that hold the first shard of a zone.
    [[nodiscard]] auto holdersOf(std::uint32_t zone) const -> std::size_t;
    /// Index of the instance that holds the first shard of a zone and has recovered it.
    [[nodiscard]] auto holderIndex(std::uint32_t zone) const -> std::optional<std::size_t>;
    [[nodiscard]] auto instanceCount() const noexcept -> std::size_t;
    [[nodiscard]] auto instance(std::size_t i) -> Instance::Instance &;
    [[nodiscard]] auto isUp(std::size_t i) const -> bool;
    [[nodiscard]] auto platform() -> Standins::PlatformModel &;
    /// Number of starts of attempts on workers; each member of a gang counts.
    [[nodiscard]] auto startedAttempts() const noexcept -> std::uint64_t;
    /// Time from submission to answer of each request that an endpoint answered.
    [[nodiscard]] auto answerTimes() const noexcept -> const std::vector<Duration> &;
    /// Bytes and processor time of an instance's control traffic.
    struct Cost
    {
        std::uint64_t workerBytesSent = 0;
        std::uint64_t workerBytesReceived = 0;
        std::uint64_t peerBytesSent = 0;
        std::uint64_t logBytesWritten = 0;
        std::uint64_t logBytesRead = 0;
        std::chrono::nanoseconds processorTime{};
    };
    [[nodiscard]] auto cost(std::size_t i) const -> const Cost &;
    /// Disconnects one instance from the platform, or connects it again; its peers stay reachable.
    auto cutFromPlatform(std::size_t i, bool cut) -> void;
    auto clearAnswerTimes() -> void;

    auto crash(std::size_t i) -> void;
    auto restart(std::size_t i) -> void;
    auto setPaused(std::size_t i, bool paused) -> void;
    auto drain(std::size_t i) -> void;
    auto submitRequest(std::size_t i, std::string_view key) -> void;
    auto submitJob(std::size_t i, std::uint32_t tasks, bool idempotent) -> void;
    auto publish(std::size_t i, const std::string &document) -> void;

private:
    struct Node
    {
        InstanceInfo info;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Instance::Instance> instance;
        bool paused = false;
        bool draining = false;
        bool cutFromPlatform = false;
        Cost cost;
        std::deque<std::function<void()>> inbox;
        TimePoint tickAt;
        std::map<std::uint64_t, TimePoint> openRequests;
        /// Contents of the answers of endpoints, by request and attempt.
        std::map<std::pair<RequestId, std::uint32_t>, std::uint64_t> answers;
        std::set<std::pair<RequestId, std::uint32_t>> openAttempts;
        std::map<Instance::OperationId, std::string> jobNames;
        /// Earlier configuration documents, for the mutation that reverts them.
        std::vector<std::map<std::string, State::Document>> oldDocuments;
    };

    struct Endpoint
    {
        EndpointInfo info;
        bool unresponsive = false;
        std::optional<TimePoint> leavingSince;
        std::uint32_t busy = 0;
    };

    struct WorkerNode
    {
        std::unique_ptr<Standins::WorkerModel> model;
        bool reachable = true;
        bool failsAll = false;
        TimePoint tickAt;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;

        friend auto operator<(const Event &a, const Event &b) -> bool
        {
            return std::pair(b.at, b.sequence) < std::pair(a.at, a.sequence);
        }
    };

    auto at(TimePoint t, std::function<void()> action) -> void;
    auto after(Duration d, std::function<void()> action) -> void;
    auto deliver(std::size_t node, std::uint64_t incarnation, std::function<void()> action) -> void;
    auto scheduleTick(std::size_t node) -> void;
    auto scheduleWorkerTick(const WorkerName &name) -> void;
    auto createInstance(std::size_t node) -> void;
    auto hooksFor(std::size_t node) -> Instance::InstanceHooks;
    auto append(std::size_t node, std::vector<std::string> records) -> void;
    auto readLog(std::size_t node, std::uint64_t incarnation) -> void;
    auto fetchList(std::size_t node, std::uint64_t incarnation) -> void;
    auto sendToWorker(std::size_t node, const WorkerName &worker, const Worker::Request &request) -> void;
    auto sendToHolder(const WorkerName &worker, const std::vector<Worker::Reply> &replies) -> void;
    auto sendToPeer(std::size_t node, const InstanceName &peer, const Peer::Message &message) -> void;
    auto sendAttempt(std::size_t node, const Scheduling::SendAttempt &attempt) -> void;
    auto endAttempt(std::size_t node, std::uint64_t incarnation, RequestId id, std::uint32_t attempt, Scheduling::AttemptResultKind kind,
                    Duration latency) -> void;
    auto operationAnswered(std::size_t node, Instance::OperationId id, const Instance::OperationResult &result) -> void;
    auto requestClosed(std::size_t node, std::uint64_t content) -> void;
    auto listNode(std::size_t node) -> void;
    auto listEndpoint(const Endpoint &endpoint) -> void;
    auto createEndpoint(std::uint32_t zone, std::uint32_t i) -> void;
    auto createWorker(std::uint32_t zone, std::uint32_t i) -> void;
    auto configuration() const -> Instance::Configuration;
    auto checkStep() -> void;
    auto checkGangs() -> void;
    auto checkDrains() -> void;
    auto recordFault() -> void;
    [[nodiscard]] auto isCut(const ZoneName &a, const ZoneName &b) const -> bool;
    [[nodiscard]] auto selectReadyInstance(std::uint32_t target) const -> std::optional<std::size_t>;
    [[nodiscard]] auto zoneName(std::uint32_t zone) const -> ZoneName;

    WorldSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    Standins::PlatformModel m_platform;
    std::set<ZoneName> m_cutZones;
    bool m_lateAppends = false;
    std::vector<Node> m_nodes;
    std::map<EndpointName, Endpoint> m_endpoints;
    std::map<WorkerName, WorkerNode> m_workers;
    Oracle m_oracle;
    std::uint64_t m_lastContent = 0;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::map<std::uint64_t, std::string> m_idempotencyKeys;
    std::vector<std::string> m_usedKeys;
    std::vector<JobId> m_acceptedJobs;
    std::map<Worker::AttemptId, TimePoint> m_partialSince;
    TimePoint m_lastFault;
    std::uint64_t m_started = 0;
    std::vector<Duration> m_answerTimes;
};

/// Generates a sequence of commands from a seeded random number engine.
[[nodiscard]] auto randomSequence(std::uint64_t seed, std::size_t length) -> std::vector<Command>;

/// Runs a sequence in a new simulated system and returns the violations.
[[nodiscard]] auto runSequence(const WorldSettings &settings, const std::vector<Command> &commands) -> std::vector<Violation>;

} // namespace Acaciarail::Fuzz
