#pragma once

#include <acaciarail/workflow/records.h>

#include <cstdint>
#include <optional>
#include <random>

namespace Acaciarail::Workflow {

struct LogLeaseSettings
{
    /// A holder that has written nothing for this long may be replaced; four times the interval at which it writes and at which others
    /// read.
    Duration timeToLive = 1200ms;
    /// Interval at which a holder that has nothing else to record renews its lease.
    Duration renewInterval = 300ms;
    /// A holder stops starting work this much before its lease expires, because of the network delay of its last command.
    Duration expiryMargin = 200ms;
    /// A holder that cannot reach the store continues to renew the workers' task leases for this long after its own lease has expired.
    Duration taskLeaseGracePeriod = 4s;
    /// Upper limit of the random part of a candidate's claim delay, which keeps candidates from claiming at the same time.
    Duration maxJitter = 200ms;
};

/// Leader election through the log. The lease of the holder is stored in the state topic: every append of the holder renews it. A candidate
/// that has read no record of the holder for the time to live appends a claim, on condition that the topic still ends where the candidate
/// has read to; the term of the claim fences the previous holder. A task lease, in contrast, is granted to a worker by the holder, and
/// bounds how long the worker runs a task without a renewal.
///
/// Time during which the log could not be read does not count, so that an outage of the store does not replace the holder. Not thread-safe.
class LogLease
{
public:
    /// \pre none.
    LogLease(LogLeaseSettings settings, InstanceName instance, std::uint64_t incarnation);

    /// Evaluates a claim, renewal or release of a lease that was read. Returns whether it is a claim or renewal by this incarnation of the
    /// instance. \pre none.
    auto observeHolderRecord(const HolderRecord &record, TimePoint now) -> bool;
    /// Records that any other record of the holder was read. \pre none.
    auto observeActivity(TimePoint now) -> void;
    /// Records whether a read of the log succeeded. \pre none.
    auto recordContact(bool ok, TimePoint now) -> void;

    /// Returns the claim to append when it is due; empty otherwise. A candidate waits \a extraDelay longer than others. \pre none.
    [[nodiscard]] auto makeClaim(TimePoint now, Duration extraDelay) -> std::optional<HolderRecord>;

    /// Makes this instance the holder: its claim was stored, or was read from the log. \pre none.
    auto acquired(std::uint64_t term) -> void;
    /// Renews the lease: an append of the present term, sent at \a sentAt, was stored. \pre isHolder().
    auto renewed(TimePoint sentAt) -> void;
    /// Ends the lease: a higher term was seen, or the lease was released. \pre none.
    auto lost(TimePoint now) -> void;

    /// Returns whether this instance is the holder as far as it knows. \pre none.
    [[nodiscard]] auto isHolder() const noexcept -> bool;
    /// Returns whether the lease is valid, so that the holder may start new work. \pre none.
    [[nodiscard]] auto isValid(TimePoint now) const noexcept -> bool;
    /// Returns whether the holder may renew the workers' task leases. \pre none.
    [[nodiscard]] auto mayRenewTaskLeases(TimePoint now) const noexcept -> bool;
    /// Returns whether the holder's own lease is due for renewal. \pre none.
    [[nodiscard]] auto renewalDue(TimePoint now) const noexcept -> bool;
    /// Returns for how long no record of the holder has been read although the log was readable; empty when no time is known. \pre none.
    [[nodiscard]] auto inactiveFor(TimePoint now) const -> std::optional<Duration>;
    /// Returns the instance of the latest holder that was seen; empty when there was none. \pre none.
    [[nodiscard]] auto latestHolder() const noexcept -> const InstanceName &;
    /// Returns the highest term that was seen. \pre none.
    [[nodiscard]] auto term() const noexcept -> std::uint64_t;
    /// Returns the record by which this instance, as the holder, renews its lease or, when \a released, releases it. \pre none.
    [[nodiscard]] auto record(bool released) const -> HolderRecord;
    /// Returns the latest time at which a holder of an earlier term may have granted or renewed a task lease of a worker. \pre acquired()
    /// was called.
    [[nodiscard]] auto latestPreviousGrant() const -> TimePoint;

private:
    LogLeaseSettings m_settings;
    InstanceName m_instance;
    std::uint64_t m_incarnation = 0;
    std::minstd_rand m_random;
    std::uint64_t m_term = 0;
    InstanceName m_latestHolder;
    bool m_isHolder = false;
    bool m_released = true;
    /// No earlier holder has renewed its lease after this time.
    TimePoint m_previousRenewal;
    std::optional<TimePoint> m_renewedAt;
    /// Since when no record of the holder has been read although the log was readable.
    std::optional<TimePoint> m_inactiveSince;
    bool m_logReadable = false;
    Duration m_jitter{};
};

} // namespace Acaciarail::Workflow
