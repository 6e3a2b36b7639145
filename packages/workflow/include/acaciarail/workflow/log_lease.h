#pragma once

#include <acaciarail/workflow/records.h>

#include <cstdint>
#include <optional>
#include <random>

namespace Acaciarail::Workflow {

struct LogLeaseSettings
{
    /// A holder that has written nothing for this long may be replaced; four times the pace at which it writes and is read.
    Duration timeToLive = 1200ms;
    /// A holder that has nothing to record writes this often.
    Duration renewInterval = 300ms;
    /// A holder stops this much before its lease ends, for the way of its last order.
    Duration margin = 200ms;
    /// A holder that cannot reach the store goes on extending the leases of running work for this long after its own lease.
    Duration renewalOverrun = 4s;
    /// Bound of the random part of a candidate's patience, so that candidates rarely compete.
    Duration maxJitter = 200ms;
};

/// Decides who the holder is. The holder's lease lives in the state topic: everything that it appends renews the lease, a candidate that
/// has seen nothing for the time to live appends a claim at the end that it has read, and the term of the claim fences the holder before.
///
/// Time during which the log could not be read does not count, so that an outage of the store does not unseat a holder.
/// Not thread-safe.
class LogLease
{
public:
    /// \pre none.
    LogLease(LogLeaseSettings settings, InstanceName instance, std::uint64_t incarnation);

    /// A record of a holder was read. Returns whether it is a claim of this life of the instance. \pre none.
    auto observed(const HolderRecord &record, TimePoint now) -> bool;
    /// Any other record of the holder was read. \pre none.
    auto activity(TimePoint now) -> void;
    /// A read of the log succeeded or failed. \pre none.
    auto contact(bool ok, TimePoint now) -> void;

    /// Returns the claim to append, when it is time for one; a candidate with a \a handicap waits that much longer. \pre none.
    [[nodiscard]] auto claim(TimePoint now, Duration handicap) -> std::optional<HolderRecord>;

    /// The claim was stored, or was read from the log. \pre none.
    auto won(std::uint64_t term) -> void;
    /// An append of the present term, sent at \a sentAt, was stored. \pre holds().
    auto renewed(TimePoint sentAt) -> void;
    /// A higher term was seen, or the role was given up. \pre none.
    auto lost(TimePoint now) -> void;

    /// Returns whether this instance is the holder as far as it knows. \pre none.
    [[nodiscard]] auto holds() const noexcept -> bool;
    /// Returns whether the holder may order new work. \pre none.
    [[nodiscard]] auto valid(TimePoint now) const noexcept -> bool;
    /// Returns whether the holder may extend the leases of running work. \pre none.
    [[nodiscard]] auto mayExtend(TimePoint now) const noexcept -> bool;
    /// Returns whether a renewal is due. \pre none.
    [[nodiscard]] auto renewalDue(TimePoint now) const noexcept -> bool;
    /// Returns the newest term that was seen. \pre none.
    [[nodiscard]] auto term() const noexcept -> std::uint64_t;
    /// Returns the record that this instance writes as the holder. \pre none.
    [[nodiscard]] auto record(bool released) const -> HolderRecord;
    /// Returns the latest time at which a holder of an earlier term may have extended a lease. \pre won() was called.
    [[nodiscard]] auto previousGrants() const -> TimePoint;

private:
    LogLeaseSettings m_settings;
    InstanceName m_instance;
    std::uint64_t m_incarnation = 0;
    std::minstd_rand m_random;
    std::uint64_t m_term = 0;
    bool m_holds = false;
    bool m_released = true;
    /// No earlier holder has renewed its lease after this.
    TimePoint m_previousRenewal;
    std::optional<TimePoint> m_renewedAt;
    /// Since when the holder has been silent while the log could be read.
    std::optional<TimePoint> m_silentSince;
    bool m_reachable = false;
    Duration m_jitter{};
};

} // namespace Acaciarail::Workflow
