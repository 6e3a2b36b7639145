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
    /// Time for which a worker holds a reservation.
    Duration reservation = 400ms;
    /// A gang that is not reserved, or not started, as a whole after this time is stopped.
    Duration reserveTimeout = 1s;
    Duration startTimeout = 1s;
    /// A worker stops an attempt that is not confirmed for this long after its start.
    Duration confirmWithin = 2s;
    /// Interval at which an unanswered message is repeated.
    Duration repeatInterval = 200ms;
};

enum class LaunchPhase : std::uint8_t {
    /// Waits for the assignment to be in the log; nothing was sent to a worker.
    WaitingForLog,
    Reserving,
    Starting,
    Running,
    Stopping,
    Ended,
};

/// Sends a message to a worker; it may be lost.
using SendToWorker = std::function<void(const WorkerName &, Worker::Request)>;

/// Brings one attempt of a gang through reserve, start, confirm and end on all of its workers.
/// A start is sent only when every worker has reserved and every reservation ends within the holder's lease.
/// No method is thread-safe; one task owns an object.
class GangLaunch
{
public:
    /// \pre \a members is not empty.
    GangLaunch(GangLaunchSettings settings, Worker::AttemptId id, Job job, std::vector<GangMember> members, Term term);

    /// Takes over an attempt that already runs; members are unknown until their worker reports.
    /// \pre \a members is not empty.
    [[nodiscard]] static auto adopt(GangLaunchSettings settings, Worker::AttemptId id, Job job, std::vector<GangMember> members, Term term)
        -> GangLaunch;

    /// Reserves on all workers. \pre phase() is WaitingForLog.
    auto begin(TimePoint now, const SendToWorker &send) -> void;

    auto reserved(const WorkerName &worker, const Worker::Reserved &reply, TimePoint now) -> void;
    auto started(const WorkerName &worker, const Worker::Started &reply) -> void;
    auto confirmed(const WorkerName &worker) -> void;
    auto checkpointed(const WorkerName &worker) -> void;
    auto ended(const WorkerName &worker, const AttemptEnd &end) -> void;

    /// A worker reported the attempt after it attached. \pre none.
    auto reported(const WorkerName &worker, const Worker::AttemptReport &report) -> void;

    /// The worker cannot run the attempt any more: its task lease has expired, or it does not know the attempt. \pre none.
    auto memberLost(const WorkerName &worker) -> void;

    /// Asks all members for a checkpoint, and stops the gang once all have taken it. \pre none.
    auto checkpoint(Duration grace, const SendToWorker &send) -> void;

    /// Stops all members. \pre none.
    auto stop(TimePoint now) -> void;

    /// Moves on and repeats unanswered messages. \a leaseEnd is the end of the holder's lease. \pre none.
    auto tick(TimePoint now, TimePoint leaseEnd, const SendToWorker &send) -> void;

    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    /// How the attempt ended as a whole. \pre phase() is Ended.
    [[nodiscard]] auto result() const -> AttemptEnd;

    [[nodiscard]] auto phase() const noexcept -> LaunchPhase;
    [[nodiscard]] auto id() const noexcept -> const Worker::AttemptId &;
    [[nodiscard]] auto job() const noexcept -> const Job &;
    [[nodiscard]] auto members() const -> std::vector<GangMember>;
    [[nodiscard]] auto hasMember(const WorkerName &worker) const -> bool;

    /// Whether a start may have reached a worker. \pre none.
    [[nodiscard]] auto mayHaveStarted() const noexcept -> bool;

private:
    enum class MemberState : std::uint8_t {
        Idle,
        Reserved,
        Started,
        Confirmed,
        /// Adopted, and its worker has not reported yet.
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
    /// Set when the gang could not be reserved or started as a whole.
    bool m_launchFailed = false;
    WorkerName m_failedWorker;
};

} // namespace Acaciarail::Instance
