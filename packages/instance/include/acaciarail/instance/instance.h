#pragma once

#include <acaciarail/core.h>
#include <acaciarail/instance/idempotency_table.h>
#include <acaciarail/instance/operation.h>
#include <acaciarail/instance/peer_sync.h>
#include <acaciarail/instance/shard_controller.h>
#include <acaciarail/peer/messages.h>
#include <acaciarail/scheduling/request_router.h>
#include <acaciarail/state.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::Instance {

/// The settings from the configuration documents that an instance uses.
struct Configuration
{
    JobPolicy jobs;
    RequestPolicy requests;
    /// Number of shards of this instance's zone.
    std::uint32_t shards = 1;
};

struct InstanceSettings
{
    InstanceInfo self;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    State::MembershipSettings membership;
    State::OutboxSettings outbox;
    Scheduling::RequestRouterSettings router;
    ShardControllerSettings shard;
    PeerSyncSettings sync;
    /// Appends per second of all instances together; each live instance uses an equal share.
    double appendsPerSecond = 240;
    /// Largest number of log records after which the first live instance writes a snapshot.
    std::uint64_t snapshotEvery = 50'000;
    /// Time after which it writes one if there are new records. The log must retain records for at least twice this long.
    Duration snapshotInterval = 5min;
    /// The log counts as unavailable when reads have failed for this long. Also limits the wait for an explanation of another instance.
    Duration logUnavailableAfter = 1s;
    /// The instance also requests records from peers that are ahead when no read has succeeded for this long. Longer than a read waits for
    /// a record.
    Duration askPeersAfter = 700ms;
    /// Configuration changes that arrive within this time after a change took effect are applied together at its end.
    Duration configurationDelay = 50ms;
    /// A job whose zone has had no holder for this long is moved to another zone, unless its caller chose the zone.
    Duration moveJobsAfter = 60s;
};

/// Callbacks of an instance. Any method of Instance may call them; none may call back into the instance.
struct InstanceHooks
{
    /// Appends records to the log; the result is passed to logAppended() or logAppendFailed().
    std::function<void(std::vector<std::string>)> appendLog;
    std::function<void(const WorkerName &, const Worker::Request &)> sendToWorker;
    std::function<void(const InstanceName &, const Peer::Message &)> sendToPeer;
    std::function<void(const Scheduling::SendAttempt &)> sendAttempt;
    std::function<void(const Scheduling::CancelAttempt &)> cancelAttempt;
    /// Answers a request with a failure.
    std::function<void(RequestId, const Failure &)> refuseRequest;
    /// Answers a request with the response to an attempt, and returns the parts to store.
    std::function<StoredResponse(RequestId, std::uint32_t attempt)> deliverResponse;
    /// Answers a request with a stored response.
    std::function<void(RequestId, const StoredResponse &)> replayResponse;
    std::function<void(OperationId, const OperationResult &)> answerOperation;
    /// Builds the configuration from the documents; a document that cannot be parsed is skipped.
    std::function<Configuration(const std::map<std::string, State::Document> &)> readConfiguration;
    /// Wall clock for log records.
    std::function<std::chrono::milliseconds()> wallClock;
};

/// The platform's list, as this instance last read it.
struct PlatformList
{
    std::vector<ListedWorker> workers;
    std::vector<EndpointInfo> endpoints;
    std::vector<InstanceInfo> instances;
};

/// Offsets that the platform's log retains at the time of a read.
struct LogRange
{
    /// Offset of the oldest retained record.
    LogOffset earliest = 0;
    /// Offset of the next record to be appended.
    LogOffset end = 0;
};

/// Figures for status pages and metrics.
struct InstanceStatus
{
    InstanceName name;
    ZoneName zone;
    LogOffset nextOffset = 0;
    std::uint64_t configVersion = 0;
    bool isReady = false;
    bool isDraining = false;
    bool isLogAvailable = false;
    std::size_t livePeers = 0;
    std::size_t pendingRecords = 0;
    std::uint64_t appends = 0;
    std::size_t openNonIdempotentRequests = 0;
    Scheduling::RouterStats router;
    std::vector<ShardStatus> shards;
};

/// The logic of one instance, without input and output: routes requests, accepts jobs, holds shards and follows the log.
/// No method is thread-safe; one task owns an instance. Times passed to successive calls do not decrease.
class Instance
{
public:
    /// \pre all hooks are set; the incarnation is unique among all processes.
    Instance(InstanceSettings settings, InstanceHooks hooks);
    ~Instance();
    Instance(const Instance &) = delete;
    auto operator=(const Instance &) -> Instance & = delete;
    Instance(Instance &&) = delete;
    auto operator=(Instance &&) -> Instance & = delete;

    /// Routes an idempotent request. \pre the id is new.
    auto submitRequest(const Scheduling::RequestInfo &request, TimePoint now) -> void;

    /// Claims the key of a non-idempotent request, and then routes the request. \pre the id is new.
    auto submitNonIdempotentRequest(const NonIdempotentRequest &keyedRequest, TimePoint now) -> void;

    /// The caller of an idempotent request has disconnected. \pre the request is idempotent.
    auto cancelRequest(RequestId id, TimePoint now) -> void;

    auto attemptEnded(RequestId id, std::uint32_t attempt, const Scheduling::AttemptResult &result, TimePoint now) -> void;

    /// Accepts a job once its record is in the log. \pre the id is new; the organisation is authenticated.
    auto submitJob(OperationId id, const JobSpec &spec, TimePoint deadline, TimePoint now) -> void;
    auto cancelJob(OperationId id, const JobId &job, const CallerName &caller, TimePoint deadline, TimePoint now) -> void;
    auto publish(OperationId id, const State::ConfigChange &change, TimePoint deadline, TimePoint now) -> void;
    auto explainJob(OperationId id, const JobId &job, TimePoint deadline, TimePoint now) -> void;

    auto logAppended(TimePoint now) -> void;
    auto logAppendFailed(State::AppendFailure failure, TimePoint now) -> void;

    /// Applies entries read from the log; those before nextOffset() are ignored. \a range is what the log retains at that time.
    /// \pre entries are in order without gaps.
    auto logRead(const std::vector<LogEntry> &entries, const LogRange &range, TimePoint now) -> void;
    auto logReadFailed(TimePoint now) -> void;
    /// Continues from a snapshot, when the log no longer has nextOffset(). Error: MalformedInput. \pre parts are in order.
    [[nodiscard]] auto restoreSnapshot(LogOffset asOf, const std::vector<std::string> &parts, TimePoint now) -> std::error_code;

    auto setPlatformList(const PlatformList &list, TimePoint now) -> void;
    auto workerReply(const WorkerName &worker, const Worker::Reply &reply, TimePoint now) -> void;
    auto workerDisconnected(const WorkerName &worker, TimePoint now) -> void;
    auto peerMessage(const InstanceName &from, const Peer::Message &message, TimePoint now) -> void;

    /// Stops accepting work: releases held shards and refuses new requests. \pre none.
    auto drain(TimePoint now) -> void;
    /// Whether everything in progress has ended after drain(). \pre none.
    [[nodiscard]] auto isDrained(TimePoint now) const -> bool;

    /// Performs all actions that are due. \pre none.
    auto tick(TimePoint now) -> void;
    [[nodiscard]] auto nextDeadline(TimePoint now) const -> TimePoint;

    /// Whether the instance has caught up with the log or with a peer, and is not draining. \pre none.
    [[nodiscard]] auto isReady() const noexcept -> bool;
    /// Version of the configuration that decisions are based on. \pre none.
    [[nodiscard]] auto versionInForce() const noexcept -> std::uint64_t;
    /// Whether a configuration from the log is in force at this instance. \pre none.
    [[nodiscard]] auto hasConfiguration() const noexcept -> bool;
    [[nodiscard]] auto isLogAvailable(TimePoint now) const -> bool;
    [[nodiscard]] auto nextOffset() const noexcept -> LogOffset;
    [[nodiscard]] auto replica() const noexcept -> const State::Replica &;
    [[nodiscard]] auto configuration() const noexcept -> const Configuration &;
    [[nodiscard]] auto status(TimePoint now) const -> InstanceStatus;
    /// Whether this instance holds a shard of its zone. \pre none.
    [[nodiscard]] auto isHolder(TimePoint now) const -> bool;
    /// Recomputes and checks the invariants of all held shards; returns the first violation, or an empty text. Slow; for tests. \pre none.
    [[nodiscard]] auto verify() const -> std::string;
    /// Explains a job of a shard that this instance holds. \pre none.
    [[nodiscard]] auto explain(const JobId &job, TimePoint now) const -> std::optional<Scheduling::Explanation>;
    /// Failure that describes the state of a known key; empty when its request ran. \pre none.
    [[nodiscard]] auto describeIdempotency(const State::IdempotencyState &state, TimePoint now) const -> std::optional<Failure>;

private:
    struct PendingOperation
    {
        OperationId id = 0;
        TimePoint deadline;
        JobId job;
        /// Set only when the operation submits a job.
        std::optional<JobSpec> submitted;
    };

    auto append(State::RecordBody body) -> State::RecordId;
    auto applyEntries(const std::vector<LogEntry> &entries, TimePoint now) -> void;
    auto becomeReady(TimePoint now) -> void;
    auto handleEffect(const State::RecordEffect &effect, TimePoint now) -> void;
    auto handleJobEffect(const State::JobEffect &effect, TimePoint now) -> void;
    auto handleConfigEffect(const State::ConfigEffect &effect) -> void;
    auto stateRestored(TimePoint now) -> void;
    auto answer(const State::RecordId &record, const OperationResult &result) -> void;
    auto failOperation(OperationId id, Failure failure, JobId job = {}) -> void;
    [[nodiscard]] auto chooseZone(const JobSpec &spec) const -> ZoneName;
    [[nodiscard]] auto canFit(const JobSpec &spec, const ZoneName &zone) const -> bool;
    /// Why new operations are refused; empty when they are accepted.
    [[nodiscard]] auto refusal(TimePoint now) const -> std::optional<Failure>;

    auto receive(const InstanceName &from, const Peer::Heartbeat &message, TimePoint now) -> void;
    auto receive(const InstanceName &from, const Peer::RecordsRequest &message, TimePoint now) -> void;
    auto receive(const InstanceName &from, const Peer::Records &message, TimePoint now) -> void;
    auto receive(const InstanceName &from, const Peer::SnapshotRequest &message, TimePoint now) -> void;
    auto receive(const InstanceName &from, const Peer::SnapshotPart &message, TimePoint now) -> void;
    auto receive(const InstanceName &from, const Peer::ExplainRequest &message, TimePoint now) -> void;
    auto receive(const InstanceName &from, const Peer::ExplainReply &message, TimePoint now) -> void;

    auto tickConfiguration(TimePoint now) -> void;
    auto tickHeartbeat(TimePoint now) -> void;
    auto tickSync(TimePoint now) -> void;
    auto tickOperations(TimePoint now) -> void;
    auto tickHousekeeping(TimePoint now) -> void;
    auto tickSnapshot(TimePoint now) -> void;
    auto tickUnassignedJobs(TimePoint now) -> void;
    auto flushOutbox(TimePoint now) -> void;
    auto route(TimePoint now) -> void;
    auto updateShards(TimePoint now) -> void;
    auto shardHooks() -> ShardHooks;
    auto idempotencyHooks() -> IdempotencyHooks;
    [[nodiscard]] auto shardOf(const JobId &job) const -> std::uint32_t;
    [[nodiscard]] auto workersOf(std::uint32_t shard) const -> std::vector<ListedWorker>;

    InstanceSettings m_settings;
    InstanceHooks m_hooks;
    State::Replica m_replica;
    State::Outbox m_outbox;
    State::Membership m_membership;
    Scheduling::RequestRouter m_router;
    PeerSync m_sync;
    IdempotencyTable m_idempotency;
    std::vector<std::unique_ptr<ShardController>> m_shards;
    Configuration m_configuration;
    PlatformList m_list;
    std::map<State::RecordId, PendingOperation> m_operations;
    /// Explain operations that wait for another instance, by the number of the ExplainRequest.
    std::map<std::uint64_t, PendingOperation> m_pendingExplanations;
    /// Number of the latest job or ExplainRequest of this instance.
    std::uint64_t m_lastNumber = 0;

    TimePoint m_now;
    bool m_ready = false;
    bool m_draining = false;
    std::optional<TimePoint> m_logFailingSince;
    TimePoint m_lastLogRead;
    std::optional<TimePoint> m_configurationChangedAt;
    TimePoint m_configuredAt;
    bool m_hasConfiguration = false;
    std::uint64_t m_versionInForce = 0;
    /// Accepted configuration changes whose operators are answered once the change is in force here.
    std::vector<State::ConfigEffect> m_unansweredChanges;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextHousekeeping;
    std::optional<LogOffset> m_snapshotProposedAt;
    std::optional<LogOffset> m_lastSnapshot;
    TimePoint m_lastSnapshotAt;
    LogRange m_logRange;
    bool m_wasLogAvailable = true;
    /// When each unassigned job was last in a zone with a holder, or was first seen.
    std::map<JobId, TimePoint> m_unassignedSince;
};

} // namespace Acaciarail::Instance
