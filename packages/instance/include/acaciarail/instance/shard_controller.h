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
    /// Random number of this process.
    std::uint64_t incarnation = 0;
    State::HolderLeaseSettings lease;
    GangLaunchSettings launch;
    /// A worker stops all tasks when it hears from no holder for this long.
    Duration taskLease = 60s;
    /// Shortest interval at which task leases are renewed at each worker.
    Duration taskRenewInterval = 5s;
    /// Renewals of all workers together are spread so that they follow each other no faster than this, up to half a task lease
    /// for each worker; the bytes of the holder then do not grow with its workers.
    Duration renewSpacing = 20ms;
    /// A worker that does not answer a renewal for this long gets no new work.
    Duration workerTimeout = 2s;
    /// A new holder waits at most this long for its workers' reports before it decides.
    Duration recoveryTimeout = 500ms;
    /// Pause between two attach messages to the same worker.
    Duration attachInterval = 250ms;
    /// A witness that is unusable for this long is replaced.
    Duration witnessReplaceAfter = 30s;
};

/// Effects of a shard controller.
struct ShardHooks
{
    SendToWorker send;
    /// Queues a record for the log.
    std::function<State::RecordId(State::RecordBody)> append;
    /// Removes a record that is certainly not in the log; false when it may be.
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

/// Runs the workers of one shard while this instance holds it: recovers what runs, carries out the scheduler's commands
/// and writes assignments and outcomes to the log.
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

    /// Replaces the workers of this shard in the platform's list. \pre none.
    auto setWorkers(const std::vector<ListedWorker> &workers, TimePoint now) -> void;

    /// The replica has applied a record about a job. \pre the job's shard is this one.
    auto jobChanged(const JobId &id, TimePoint now) -> void;

    /// The replica has applied a record about this shard's holder or witnesses. \pre none.
    auto shardChanged(TimePoint now) -> void;

    /// The replica was replaced by a snapshot. \pre none.
    auto replicaRestored(TimePoint now) -> void;

    auto workerReply(const WorkerName &worker, const Worker::Reply &reply, TimePoint now) -> void;
    auto workerDisconnected(const WorkerName &worker, TimePoint now) -> void;

    auto heardFromHolder(const Term &term, TimePoint now) -> void;
    auto setRank(std::uint32_t rank) -> void;

    /// While false, this instance does not hold the shard; a held one is released at once. \pre none.
    auto setEligible(bool eligible, TimePoint now) -> void;

    /// Does what is due. \pre none.
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
        TimePoint lastHeard;
        /// Time of the last renewal that may have reached the worker; its tasks stop a task lease later at the latest.
        TimePoint lastLeaseSent;
        /// The scheduler knows the worker.
        bool joined = false;
        /// The scheduler gives it no new work while it cannot be reached.
        bool suspended = false;
    };

    /// What this holder knows about a job that it runs.
    struct RunningJob
    {
        GangLaunch launch;
        /// Added to the scheduler's attempt number to get the one in the log.
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
    /// Returns the launch of a current attempt for a change, or null.
    [[nodiscard]] auto findLaunch(const Worker::AttemptId &id) -> GangLaunch *;

    ShardControllerSettings m_settings;
    ShardHooks m_hooks;
    const State::Replica &m_replica;
    std::uint64_t m_seed;
    State::HolderLease m_lease;
    JobPolicy m_policy;
    std::map<WorkerName, WorkerState> m_workers;
    /// Reports that came with the witnesses' grants, before this instance became holder.
    std::map<WorkerName, std::vector<Worker::AttemptReport>> m_reports;

    std::optional<Scheduling::ZoneScheduler> m_scheduler;
    TimePoint m_holderSince;
    bool m_recovered = false;
    std::uint64_t m_takeovers = 0;
    std::map<JobId, RunningJob> m_running;
    /// Jobs of m_running whose launch has something to do; the others only wait for their end.
    std::set<JobId> m_active;
    TimePoint m_nextWorkerPass;
    TimePoint m_nextWitnessPass;
    std::map<JobId, std::uint32_t> m_attemptBase;
    /// Ended attempts whose workers are told once the outcome is in the log.
    std::map<JobId, std::pair<Worker::AttemptId, std::vector<GangMember>>> m_unacknowledged;
    /// Jobs whose outcome was appended by this holder.
    std::set<JobId> m_finishing;
    std::uint64_t m_proposedWitnessVersion = 0;
    std::map<WorkerName, TimePoint> m_unusableSince;
};

} // namespace Acaciarail::Instance
