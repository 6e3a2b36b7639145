#pragma once

#include <acaciarail/worker/messages.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Stand-ins for the external systems, used by tests and benchmarks only.
namespace Acaciarail::Standins {

/// How the tasks of one attempt behave on one worker.
struct TaskPlan
{
    Duration runTime{};
    /// The tasks end as failed after the run time.
    bool fails = false;
};

struct WorkerModelSettings
{
    WorkerInfo info;
    /// Task lease of an attempt until the first Renew after its start.
    Duration initialTaskLease = 60s;
    Duration reportInterval = 5s;
    /// Age of the usage in a Report.
    Duration usageLag = 2s;
    /// Interval at which an unacknowledged Ended is repeated.
    Duration endedInterval = 1s;
    /// Time to write a checkpoint, shortened to the grace period of the request.
    Duration checkpointTime = 100ms;
    /// Longest holder lease; after restart(), new holders are refused for this long, because the previous lease is no
    /// longer known.
    Duration maxLease = 10s;
    /// Number of acknowledged ends that are remembered, so that late duplicates do not start an attempt again.
    std::size_t rememberedEnds = 4096;
};

/// The rules of one worker, without sockets and without a clock. Time arguments never decrease. Not thread-safe.
///
/// Decisions of the model beyond the message comments:
/// - A Reserve needs the unexpired holder lease of its term; a Start needs only that the term is the one in force and the
///   reservation is unexpired. A Renew in the term in force restores an expired lease.
/// - After Release, all commands of that term are refused with LeaseExpired, as are commands of a higher term that was not attached.
/// - Granting a higher term drops the reservations of the earlier one, which can no longer be started.
/// - A Stop for an unknown attempt is answered with Ended{NotStarted} and remembered, so that a Reserve or Start that was
///   overtaken by it is refused with Cancelled. Other commands for an unknown attempt are answered with Ended{Lost}.
/// - A reservation that expires is dropped without a message, and may be made again.
/// - An attempt that is not confirmed in time ends as Stopped, one whose task lease expired as Lost.
/// - Checkpoint does not stop the attempt; a job that is not checkpointable is not answered.
class WorkerModel
{
public:
    /// Chooses the behaviour of the tasks of an attempt when it starts.
    using Plan = std::function<TaskPlan(const Worker::AttemptReport &attempt, std::uint32_t tasks)>;

    /// \pre none.
    WorkerModel(WorkerModelSettings settings, Plan plan, TimePoint now);

    /// Applies \a request and returns the replies for its sender. \pre none.
    [[nodiscard]] auto handle(const Worker::Request &request, TimePoint now) -> std::vector<Worker::Reply>;

    /// Advances to \a now and returns the messages for the holder: ends, checkpoints and reports. \pre none.
    [[nodiscard]] auto tick(TimePoint now) -> std::vector<Worker::Reply>;

    /// Returns when tick() should be called at the latest. \pre none.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    /// Discards attempts, term and lease, as a restart of the worker does. \pre none.
    auto restart(TimePoint now) -> void;

    /// Returns the term in force; zero before the first grant. \pre none.
    [[nodiscard]] auto term() const noexcept -> Term;

    /// Returns whether the holder lease is unexpired at \a now. \pre none.
    [[nodiscard]] auto isLeased(TimePoint now) const noexcept -> bool;

    /// Returns all known attempts, also those that ended and are not acknowledged. \pre none.
    [[nodiscard]] auto attempts(TimePoint now) const -> std::vector<Worker::AttemptReport>;

    /// Returns the resources that are reserved or in use. \pre none.
    [[nodiscard]] auto used() const noexcept -> Resources;

    /// \pre none.
    [[nodiscard]] auto info() const noexcept -> const WorkerInfo &;

    /// Sets the address in WorkerInfo, once it is known. \pre none.
    auto setAddress(std::string address) -> void;

    /// Returns how often tasks of \a id were started; more than 1 is a violation. \pre none.
    [[nodiscard]] auto startsOf(const Worker::AttemptId &id) const -> std::uint32_t;

private:
    struct Attempt
    {
        Worker::AttemptReport report;
        std::uint32_t tasks = 0;
        TimePoint reservedUntil;
        TimePoint startedAt;
        TimePoint confirmBy;
        TimePoint leaseEnd;
        /// Run time that remains at \c progressAt, at full speed.
        Duration remaining{};
        TimePoint progressAt;
        std::uint32_t percent = 100;
        bool fails = false;
        bool checkpointed = false;
        std::optional<TimePoint> checkpointAt;
        TimePoint nextEnded;
    };
    using Replies = std::vector<Worker::Reply>;

    auto apply(const Worker::Attach &request, TimePoint now) -> Replies;
    auto apply(const Worker::Renew &request, TimePoint now) -> Replies;
    auto apply(const Worker::Reserve &request, TimePoint now) -> Replies;
    auto apply(const Worker::Start &request, TimePoint now) -> Replies;
    auto apply(const Worker::Confirm &request, TimePoint now) -> Replies;
    auto apply(const Worker::Checkpoint &request, TimePoint now) -> Replies;
    auto apply(const Worker::Throttle &request, TimePoint now) -> Replies;
    auto apply(const Worker::Stop &request, TimePoint now) -> Replies;
    auto apply(const Worker::Acknowledge &request, TimePoint now) -> Replies;
    auto apply(const Worker::Release &request, TimePoint now) -> Replies;

    [[nodiscard]] auto checkTerm(const Term &term) const noexcept -> Error;
    [[nodiscard]] auto fits(const Worker::Reserve &request, bool onEmptyWorker) const -> bool;
    [[nodiscard]] auto taskEnd(const Attempt &attempt) const -> TimePoint;
    [[nodiscard]] auto unknownAttemptReply(const Worker::AttemptId &id) const -> Worker::Ended;
    auto advance(TimePoint now) -> void;
    auto advanceAttempt(Attempt &attempt, TimePoint now) -> void;
    auto advanceReports(TimePoint now) -> void;
    auto end(Attempt &attempt, AttemptEndKind kind, TimePoint now) -> void;
    auto remember(const Worker::AttemptId &id, const AttemptEnd &end) -> void;
    auto dropReservations() -> void;

    WorkerModelSettings m_settings;
    Plan m_plan;
    Term m_term;
    /// Highest version of the witness set that a holder or candidate stated.
    std::uint64_t m_witnessVersion = 0;
    TimePoint m_leaseEnd;
    bool m_released = true;
    std::map<Worker::AttemptId, Attempt> m_attempts;
    std::map<Worker::AttemptId, AttemptEnd> m_ends;
    std::deque<Worker::AttemptId> m_endOrder;
    std::map<Worker::AttemptId, std::uint32_t> m_starts;
    Replies m_outgoing;
    TimePoint m_nextReport;
    TimePoint m_nextSample;
    Resources m_sample;
};

} // namespace Acaciarail::Standins
