#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/worker/messages.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Acaciarail::Instance {

struct GangLaunchSettings
{
    /// Time for which a worker reserves the capacity.
    Duration reservation = 400ms;
    /// The gang is stopped when not all members are reserved after this time.
    Duration reserveTimeout = 1s;
    /// The gang is stopped when not all members are started after this time.
    Duration startTimeout = 1s;
    /// A worker stops an attempt that is not confirmed within this time after its start.
    Duration confirmWithin = 2s;
    /// Interval at which an unanswered message is sent again.
    Duration repeatInterval = 200ms;
};

enum class LaunchPhase : std::uint8_t {
    /// The assignment is not yet in the log; nothing was sent to a worker.
    WaitingForLog,
    Reserving,
    Starting,
    Running,
    Stopping,
    Ended,
};

/// Sends a message to a worker; it may be lost.
using SendToWorker = std::function<void(const WorkerName &, Worker::Request)>;

/// State machine of one attempt of a job, that is one start of its gang: reserves, starts, confirms and ends it on all workers.
/// Start messages are sent only when every worker has reserved and every reservation ends within the holder's lease.
/// No method is thread-safe; one task owns an object.
class GangLaunch
{
public:
    /// \pre \a members is not empty.
    GangLaunch(GangLaunchSettings settings, Worker::AttemptId id, Job job, std::vector<GangMember> members, Term term);

    /// Takes over an attempt that already runs. The state of a member is unknown until its worker reports.
    /// \pre \a members is not empty.
    [[nodiscard]] static auto adopt(GangLaunchSettings settings, Worker::AttemptId id, Job job, std::vector<GangMember> members, Term term)
        -> GangLaunch;

    /// Starts to reserve on all workers. \pre phase() is WaitingForLog.
    auto begin(TimePoint now, const SendToWorker &send) -> void;

    auto reserved(const WorkerName &worker, const Worker::Reserved &reply, TimePoint now) -> void;
    auto started(const WorkerName &worker, const Worker::Started &reply) -> void;
    auto confirmed(const WorkerName &worker) -> void;
    auto checkpointed(const WorkerName &worker) -> void;
    auto ended(const WorkerName &worker, const AttemptEnd &end) -> void;

    /// A worker that attached reported the attempt. \pre none.
    auto reported(const WorkerName &worker, const Worker::AttemptReport &report) -> void;

    /// The worker cannot run the attempt any more: its task lease has expired, or it does not know the attempt. \pre none.
    auto memberLost(const WorkerName &worker) -> void;

    /// Requests a checkpoint from all members, and stops the gang once all have taken it. \pre none.
    auto checkpoint(Duration grace, const SendToWorker &send) -> void;

    /// Stops all members. \pre none.
    auto stop(TimePoint now) -> void;

    /// Enters the next phase when it is due, and repeats unanswered messages. \a leaseEnd is the end of the holder's lease. \pre none.
    auto tick(TimePoint now, TimePoint leaseEnd, const SendToWorker &send) -> void;

    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    /// Result of the whole attempt, from those of its members. \pre phase() is Ended.
    [[nodiscard]] auto result() const -> AttemptEnd;

    [[nodiscard]] auto phase() const noexcept -> LaunchPhase;
    [[nodiscard]] auto id() const noexcept -> const Worker::AttemptId &;
    [[nodiscard]] auto job() const noexcept -> const Job &;
    [[nodiscard]] auto members() const -> std::vector<GangMember>;
    [[nodiscard]] auto hasMember(const WorkerName &worker) const -> bool;

    /// Whether a Start message may have reached a worker. \pre none.
    [[nodiscard]] auto mayHaveStarted() const noexcept -> bool;

private:
    enum class MemberState : std::uint8_t {
        Idle,
        Reserved,
        Started,
        Confirmed,
        /// The attempt was adopted, and the member's worker has not reported yet.
        Unknown,
        Ended,
    };

    struct Member
    {
        WorkerName worker;
        std::uint32_t tasks = 0;
        MemberState state = MemberState::Idle;
        TimePoint reservedAt;
        bool checkpointed = false;
        AttemptEnd end;
    };

    [[nodiscard]] auto find(const WorkerName &worker) -> Member *;
    [[nodiscard]] auto all(MemberState state) const -> bool;
    auto fail(const WorkerName &worker, TimePoint now) -> void;
    auto endMember(Member &member, const AttemptEnd &end) -> void;
    auto enter(LaunchPhase phase, TimePoint now) -> void;
    auto sendReserve(Member &member, TimePoint now, const SendToWorker &send) -> void;
    auto sendStart(const Member &member, const SendToWorker &send) const -> void;
    auto tickReserving(TimePoint now, TimePoint leaseEnd, const SendToWorker &send) -> void;
    auto tickStarting(TimePoint now, const SendToWorker &send) -> void;
    auto tickRunning(TimePoint now, const SendToWorker &send) -> void;
    auto tickStopping(TimePoint now, const SendToWorker &send) -> void;
    auto isRepeatDue(TimePoint now) -> bool;

    GangLaunchSettings m_settings;
    Worker::AttemptId m_id;
    Job m_job;
    Term m_term;
    std::vector<Member> m_members;
    LaunchPhase m_phase = LaunchPhase::WaitingForLog;
    TimePoint m_phaseSince;
    TimePoint m_lastSent;
    bool m_mayHaveStarted = false;
    bool m_isCheckpointing = false;
    /// Set when not all members could be reserved or started.
    bool m_launchFailed = false;
    WorkerName m_failedWorker;
};

} // namespace Acaciarail::Instance
