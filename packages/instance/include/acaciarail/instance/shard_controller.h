#pragma once

#include <acaciarail/instance/gang_launch.h>
#include <acaciarail/scheduling/zone_scheduler.h>
#include <acaciarail/state/holder_lease.h>
#include <acaciarail/state/replica.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Acaciarail::Instance {

struct ShardControllerSettings
{
    State::ShardKey key;
    InstanceName instance;
    /// Random number that identifies this process.
    std::uint64_t incarnation = 0;
    State::HolderLeaseSettings lease;
    GangLaunchSettings launch;
    /// A worker stops all tasks when no holder has renewed their lease for this long.
    Duration taskLease = 60s;
    /// Shortest interval at which task leases are renewed at each worker.
    Duration taskRenewInterval = 5s;
    /// Shortest average time between two renewals over all workers. The interval at each worker grows up to half a task lease to keep
    /// this spacing; the holder's traffic then does not grow with the number of its workers.
    Duration renewSpacing = 20ms;
    /// A worker gets no new work after it has not answered a renewal for this long.
    Duration workerTimeout = 2s;
    /// A new holder waits at most this long for the reports of its workers before it recovers the shard.
    Duration recoveryTimeout = 500ms;
    /// Time between two Attach messages to the same worker during recovery.
    Duration attachInterval = 250ms;
    /// A witness that has been unusable for this long is replaced.
    Duration witnessReplaceAfter = 30s;
};

/// Callbacks of a shard controller.
struct ShardHooks
{
    SendToWorker send;
    /// Queues a record for the log.
    std::function<State::RecordId(State::RecordBody)> append;
    /// Withdraws a record that has not been appended; false when it may be in the log.
    std::function<bool(const State::RecordId &)> withdraw;
    /// Whether the log acknowledges records in time.
    std::function<bool(TimePoint)> isLogAvailable;
};

/// Figures for logs, metrics and heartbeats.
struct ShardStatus
{
    State::ShardKey key;
    bool isHolder = false;
    bool isRecovered = false;
    Term term;
    std::size_t workersListed = 0;
    std::size_t workersAttached = 0;
    std::size_t launches = 0;
    std::uint64_t takeovers = 0;
    std::optional<Scheduling::ZoneSummary> summary;
};

/// Controls the workers of one shard while this instance holds it: recovers running attempts, carries out the scheduler's
/// commands, and writes assignments and outcomes to the log. An attempt is one start of a job's gang.
/// No method is thread-safe; one task owns an object.
class ShardController
{
public:
    /// \pre \a replica outlives this object; all hooks are set.
    ShardController(ShardControllerSettings settings, ShardHooks hooks, const State::Replica &replica, std::uint64_t seed);
    ~ShardController();
    ShardController(const ShardController &) = delete;
    auto operator=(const ShardController &) -> ShardController & = delete;
    ShardController(ShardController &&) = delete;
    auto operator=(ShardController &&) -> ShardController & = delete;

    auto setPolicy(const JobPolicy &policy, TimePoint now) -> void;

    /// Replaces the set of workers that the platform lists for this shard. \pre none.
    auto setWorkers(const std::vector<ListedWorker> &workers, TimePoint now) -> void;

    /// The replica has applied a record about a job. \pre the job's shard is this one.
    auto jobChanged(const JobId &id, TimePoint now) -> void;

    /// The replica has applied a record about this shard's holder or witnesses. \pre none.
    auto shardChanged(TimePoint now) -> void;

    /// The replica was replaced by a snapshot. \pre none.
    auto replicaRestored(TimePoint now) -> void;

    auto workerReply(const WorkerName &worker, const Worker::Reply &reply, TimePoint now) -> void;
    auto workerDisconnected(const WorkerName &worker, TimePoint now) -> void;

    auto onHolderContact(const Term &term, TimePoint now) -> void;
    auto setRank(std::uint32_t rank) -> void;

    /// While false, this instance does not hold the shard; a lease that it has is released at once. \pre none.
    auto setEligible(bool eligible, TimePoint now) -> void;

    /// Performs all actions that are due. \pre none.
    auto tick(TimePoint now) -> void;

    [[nodiscard]] auto nextDeadline(TimePoint now) const -> TimePoint;
    [[nodiscard]] auto isHolder(TimePoint now) const -> bool;
    [[nodiscard]] auto status(TimePoint now) const -> ShardStatus;
    /// Checks the scheduler's invariants; see Scheduling::ZoneScheduler::verify(). \pre none.
    [[nodiscard]] auto verify() const -> std::string;
    [[nodiscard]] auto explain(const JobId &id, TimePoint now) const -> std::optional<Scheduling::Explanation>;

private:
    struct WorkerState
    {
        ListedWorker listed;
        bool isListed = true;
        bool attached = false;
        TimePoint lastAttachSent;
        TimePoint lastRenewSent;
        TimePoint lastContact;
        /// Time of the last renewal that may have reached the worker; its tasks stop a task lease later at the latest.
        TimePoint lastLeaseSent;
        /// Whether the worker was added to the scheduler.
        bool joined = false;
        /// Whether the scheduler gives it no new work because it cannot be reached.
        bool suspended = false;
    };

    /// A job with a current attempt.
    struct RunningJob
    {
        GangLaunch launch;
        /// Number of the job's last attempt in the log before the scheduler of this holder; added to the scheduler's attempt number.
        std::uint32_t attemptBase = 0;
        State::RecordId assignment;
        bool startReported = false;
    };

    auto perform(const std::vector<State::LeaseCommand> &commands, TimePoint now) -> void;
    auto becomeHolder(const Term &term, TimePoint now) -> void;
    auto loseShard() -> void;

    auto onReply(const WorkerName &worker, const Worker::Attached &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Renewed &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Reserved &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Started &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Confirmed &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Checkpointed &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Ended &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Report &reply, TimePoint now) -> void;
    auto onReply(const WorkerName &worker, const Worker::Refused &reply, TimePoint now) -> void;

    auto sendAttach(const WorkerName &worker, const Term &term, TimePoint now) -> void;
    auto sendRenew(const WorkerName &worker, const Term &term, std::uint64_t round, TimePoint now) -> void;
    auto send(const WorkerName &worker, Worker::Request request, TimePoint now) -> void;
    [[nodiscard]] auto sender(TimePoint now) -> SendToWorker;

    auto tickWorkers(TimePoint now) -> void;
    auto tickWorker(const WorkerName &name, WorkerState &state, TimePoint now) -> void;
    auto tickWitnesses(TimePoint now) -> void;
    auto tickRecovery(TimePoint now) -> void;
    auto tickLaunches(TimePoint now) -> void;
    auto tickScheduler(TimePoint now) -> void;
    [[nodiscard]] auto renewInterval() const -> Duration;
    [[nodiscard]] auto mayDecide(TimePoint now) const -> bool;
    [[nodiscard]] auto allWorkersAccountedFor(TimePoint now) const -> bool;

    auto recover(TimePoint now) -> void;
    auto recoverJob(const State::JobState &state, TimePoint now) -> void;
    auto recoverReport(const Worker::AttemptReport &report, TimePoint now) -> void;
    auto adopt(const Job &job, std::uint32_t attempt, const std::vector<GangMember> &members, TimePoint startedAt, TimePoint now) -> void;
    auto reconcile(const WorkerName &worker, const std::vector<Worker::AttemptReport> &reports, TimePoint now) -> void;
    auto submit(const State::JobState &state, TimePoint now) -> void;

    auto execute(const Scheduling::StartGang &command, TimePoint now) -> void;
    auto execute(const Scheduling::CheckpointGang &command, TimePoint now) -> void;
    auto execute(const Scheduling::StopGang &command, TimePoint now) -> void;
    auto execute(const Scheduling::FinishJob &command, TimePoint now) -> void;
    auto beginIfAssigned(RunningJob &job, TimePoint now) -> void;
    auto finishAttempt(const JobId &id, TimePoint now) -> void;
    auto writeOutcome(const JobId &id, JobOutcome outcome, JobReason reason, std::string detail) -> void;
    auto acknowledge(const Worker::AttemptId &id, const std::vector<GangMember> &members, TimePoint now) -> void;
    auto dropJob(const JobId &id, TimePoint now) -> void;
    [[nodiscard]] auto isOwnShard(const State::JobState &state) const -> bool;
    /// Returns the launch of a current attempt and marks it active, or null.
    [[nodiscard]] auto findLaunch(const Worker::AttemptId &id) -> GangLaunch *;

    ShardControllerSettings m_settings;
    ShardHooks m_hooks;
    const State::Replica &m_replica;
    std::uint64_t m_seed;
    State::HolderLease m_lease;
    JobPolicy m_policy;
    std::map<WorkerName, WorkerState> m_workers;
    /// Latest report of each worker that granted Attach; the recovery uses them.
    std::map<WorkerName, std::vector<Worker::AttemptReport>> m_reports;

    std::optional<Scheduling::ZoneScheduler> m_scheduler;
    TimePoint m_holderSince;
    bool m_recovered = false;
    std::uint64_t m_takeovers = 0;
    std::map<JobId, RunningJob> m_running;
    /// Jobs of m_running whose launch has an action due or pending; the others run until a worker reports their end.
    std::set<JobId> m_active;
    TimePoint m_nextWorkerPass;
    TimePoint m_nextWitnessPass;
    std::map<JobId, std::uint32_t> m_attemptBase;
    /// Ended attempts that are acknowledged to their workers once the outcome is in the log.
    std::map<JobId, std::pair<Worker::AttemptId, std::vector<GangMember>>> m_unacknowledged;
    /// Jobs whose outcome this holder has appended and not yet read back.
    std::set<JobId> m_finishing;
    std::uint64_t m_proposedWitnessVersion = 0;
    std::map<WorkerName, TimePoint> m_unusableSince;
};

} // namespace Acaciarail::Instance
