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

/// What the configuration documents say, as far as the instance decides by it.
struct Configuration
{
    JobPolicy jobs;
    RequestPolicy requests;
    /// Shards of the own zone.
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
    /// Appends a second of all instances together; each takes its part.
    double appendsPerSecond = 240;
    /// Log records after which the first live instance writes a snapshot, at the latest.
    std::uint64_t snapshotEvery = 50'000;
    /// Time after which it writes one when there are new records. The log must keep records for at least twice this long.
    Duration snapshotInterval = 5min;
    /// A log that does not answer reads for this long counts as unavailable.
    Duration logSilence = 1s;
    /// Without a read for this long, which is more than a read waits for a record, the instance also asks peers that are ahead.
    Duration askPeersAfter = 700ms;
    /// Changes of the configuration that arrive within this time are put into force together.
    Duration configurationDelay = 50ms;
    /// A job that no holder has assigned for this long is moved to another zone, if its caller named none.
    Duration moveJobsAfter = 60s;
};

/// Effects of an instance. Each hook may be called from inside any method of Instance; none may call back into it.
struct InstanceHooks
{
    /// Append to the log; the result comes as logAppended() or logAppendFailed().
    std::function<void(std::vector<std::string>)> appendLog;
    std::function<void(const WorkerName &, const Worker::Request &)> sendToWorker;
    std::function<void(const InstanceName &, const Peer::Message &)> sendToPeer;
    std::function<void(const Scheduling::SendAttempt &)> sendAttempt;
    std::function<void(const Scheduling::CancelAttempt &)> cancelAttempt;
    /// Answer a request with a failure.
    std::function<void(RequestId, const Failure &)> refuseRequest;
    /// Answer a request with the response of an attempt, and return what is kept of it.
    std::function<StoredResponse(RequestId, std::uint32_t attempt)> deliverResponse;
    /// Answer a request with a stored response.
    std::function<void(RequestId, const StoredResponse &)> replayResponse;
    std::function<void(OperationId, const OperationResult &)> answerOperation;
    /// Builds the policy from the documents; a document that cannot be read is left out.
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

/// What the platform's log has at the time of a read.
struct LogRange
{
    /// Oldest record that is retained.
    LogOffset earliest = 0;
    /// Offset of the next record.
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

/// One entry instance without its sockets: routes requests, accepts jobs, holds shards and follows the log.
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

    /// Claims and then routes a non-idempotent request. \pre the id is new.
    auto submitNonIdempotentRequest(const NonIdempotentRequest &keyedRequest, TimePoint now) -> void;

    /// The caller of an idempotent request went away. \pre the request is idempotent.
    auto cancelRequest(RequestId id, TimePoint now) -> void;

    auto attemptEnded(RequestId id, std::uint32_t attempt, const Scheduling::AttemptResult &result, TimePoint now) -> void;

    /// Accepts a job once its record is in the log. \pre the id is new; the organisation is authenticated.
    auto submitJob(OperationId id, const JobSpec &spec, TimePoint deadline, TimePoint now) -> void;
    auto cancelJob(OperationId id, const JobId &job, const CallerName &caller, TimePoint deadline, TimePoint now) -> void;
    auto publish(OperationId id, const State::ConfigChange &change, TimePoint deadline, TimePoint now) -> void;
    auto explainJob(OperationId id, const JobId &job, TimePoint deadline, TimePoint now) -> void;

    auto logAppended(TimePoint now) -> void;
    auto logAppendFailed(State::AppendFailure failure, TimePoint now) -> void;

    /// Applies entries read from the log, which may overlap what is known. \a range is what the log has at that time.
    /// \pre entries are in order without gaps.
    auto logRead(const std::vector<LogEntry> &entries, const LogRange &range, TimePoint now) -> void;
    auto logReadFailed(TimePoint now) -> void;
    /// The log no longer has nextOffset(): continue from this snapshot. Error: MalformedInput. \pre parts are in order.
    [[nodiscard]] auto restoreSnapshot(LogOffset asOf, const std::vector<std::string> &parts, TimePoint now) -> std::error_code;

    auto setPlatformList(const PlatformList &list, TimePoint now) -> void;
    auto workerReply(const WorkerName &worker, const Worker::Reply &reply, TimePoint now) -> void;
    auto workerDisconnected(const WorkerName &worker, TimePoint now) -> void;
    auto peerMessage(const InstanceName &from, const Peer::Message &message, TimePoint now) -> void;

    /// Stops taking new work: releases held shards and refuses new requests. \pre none.
    auto drain(TimePoint now) -> void;
    /// Whether everything in progress has ended after drain(). \pre none.
    [[nodiscard]] auto isDrained(TimePoint now) const -> bool;

    /// Does what is due. \pre none.
    auto tick(TimePoint now) -> void;
    [[nodiscard]] auto nextDeadline(TimePoint now) const -> TimePoint;

    /// Whether the instance has caught up with the log, or with a peer, and serves. \pre none.
    [[nodiscard]] auto isReady() const noexcept -> bool;
    /// Version of the configuration that decisions are based on. \pre none.
    [[nodiscard]] auto versionInForce() const noexcept -> std::uint64_t;
    /// Whether the configuration of the log is in force here. \pre none.
    [[nodiscard]] auto hasConfiguration() const noexcept -> bool;
    [[nodiscard]] auto isLogAvailable(TimePoint now) const -> bool;
    [[nodiscard]] auto nextOffset() const noexcept -> LogOffset;
    [[nodiscard]] auto replica() const noexcept -> const State::Replica &;
    [[nodiscard]] auto configuration() const noexcept -> const Configuration &;
    [[nodiscard]] auto status(TimePoint now) const -> InstanceStatus;
    /// Whether this instance holds a shard of its zone. \pre none.
    [[nodiscard]] auto isHolder(TimePoint now) const -> bool;
    /// Checks the invariants of all held shards from scratch; returns the first fault, or an empty text. Slow; for tests. \pre none.
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
        /// Set for the submission of a job only.
        std::optional<JobSpec> submitted;
    };

    auto append(State::RecordBody body) -> State::RecordId;
    auto applyEntries(const std::vector<LogEntry> &entries, TimePoint now) -> void;
    auto becomeReady(TimePoint now) -> void;
    auto applied(const State::Applied &effect, TimePoint now) -> void;
    auto appliedJob(const State::JobApplied &effect, TimePoint now) -> void;
    auto appliedConfig(const State::ConfigApplied &effect) -> void;
    auto stateRestored(TimePoint now) -> void;
    auto answer(const State::RecordId &record, const OperationResult &result) -> void;
    auto failOperation(OperationId id, Failure failure, JobId job = {}) -> void;
    [[nodiscard]] auto chooseZone(const JobSpec &spec) const -> ZoneName;
    [[nodiscard]] auto canFit(const JobSpec &spec, const ZoneName &zone) const -> bool;
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
    auto tickMovedJobs(TimePoint now) -> void;
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
    /// Explain requests sent to other instances.
    std::map<std::uint64_t, PendingOperation> m_explains;
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
    /// Accepted publications whose operators are answered once the change is in force here.
    std::vector<State::ConfigApplied> m_unansweredChanges;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextHousekeeping;
    std::optional<LogOffset> m_snapshotProposedAt;
    std::optional<LogOffset> m_lastSnapshot;
    TimePoint m_lastSnapshotAt;
    LogRange m_logRange;
    bool m_wasLogAvailable = true;
    /// Since when a job of a zone without a holder waits.
    std::map<JobId, TimePoint> m_unassignedSince;
};

} // namespace Acaciarail::Instance
