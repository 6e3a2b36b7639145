#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/state/record.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::State {

struct OutboxSettings
{
    /// Shortest time between two appends of this instance.
    Duration interval = 25ms;
    /// Delay after a failed append; doubles with each failure up to \c maxBackoff.
    Duration minBackoff = 50ms;
    Duration maxBackoff = 1s;
    /// The log counts as unavailable when records have waited for this long without an acknowledgement.
    Duration unavailableAfter = 1s;
    std::size_t maxBatchBytes = 524'288;
};

/// What is known about a failed append.
enum class AppendFailure : std::uint8_t {
    /// The records are certainly not in the log.
    NotAppended,
    /// The reply was lost; the records may be in the log.
    Unknown,
};

/// Groups the records of one instance into appends and repeats an append until it is acknowledged.
/// At most one append is in progress at a time, so sequence numbers reach the log in order.
/// No method is thread-safe; one task owns an outbox.
class Outbox
{
public:
    /// \pre \a incarnation is unique among all processes, for example a random number.
    explicit Outbox(std::uint64_t incarnation, OutboxSettings settings = {});

    /// Queues a record. \pre none.
    auto add(RecordBody body, std::chrono::milliseconds wallClock, TimePoint now) -> RecordId;

    /// Removes a record that certainly is not and will not be in the log; false when it may be.
    /// \pre none.
    auto withdraw(const RecordId &id) -> bool;

    /// Returns the encoded records of the next append when one is due. The caller must report its result.
    /// \pre none.
    [[nodiscard]] auto nextBatch(TimePoint now) -> std::vector<std::string>;

    /// Time for the next call of nextBatch(); empty when there is nothing to append or an append is in progress. \pre none.
    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;

    /// \pre an append is under way.
    auto appendSucceeded(TimePoint now) -> void;

    /// \pre an append is under way.
    auto appendFailed(AppendFailure failure, TimePoint now) -> void;

    /// Whether records are acknowledged in time. \pre none.
    [[nodiscard]] auto isLogAvailable(TimePoint now) const -> bool;

    /// Sets the shortest time between two appends. \pre interval is positive.
    auto setInterval(Duration interval) -> void;

    /// Number of records that are not acknowledged. \pre none.
    [[nodiscard]] auto pendingCount() const noexcept -> std::size_t;

    /// Number of appends so far, including repeated ones. \pre none.
    [[nodiscard]] auto appendCount() const noexcept -> std::uint64_t;

private:
    struct Pending
    {
        RecordId id;
        std::string bytes;
        /// Whether an append with the record failed with AppendFailure::Unknown.
        bool maybeAppended = false;
    };

    std::uint64_t m_incarnation;
    OutboxSettings m_settings;
    std::uint64_t m_lastSequence = 0;
    std::deque<Pending> m_pending;
    std::size_t m_inFlight = 0;
    TimePoint m_nextAppendAt;
    Duration m_backoff{};
    /// Time since which records have waited without an acknowledgement.
    std::optional<TimePoint> m_waitingSince;
    std::uint64_t m_appendCount = 0;
};

} // namespace Acaciarail::State
