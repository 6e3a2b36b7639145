#include <acaciarail/workflow/log_lease.h>

#include <algorithm>
#include <utility>

namespace Acaciarail::Workflow {

LogLease::LogLease(LogLeaseSettings settings, InstanceName instance, std::uint64_t incarnation)
    : m_settings(settings)
    , m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_random(static_cast<std::minstd_rand::result_type>(incarnation))
{
}

auto LogLease::observeHolderRecord(const HolderRecord &record, TimePoint now) -> bool
{
    observeActivity(now);
    if (record.term < m_term) {
        return false;
    }
    const bool isOwn = record.instance == m_instance && record.incarnation == m_incarnation;
    if (record.term > m_term && m_isHolder && !isOwn) {
        lost(now);
    }
    m_term = record.term;
    m_latestHolder = record.instance;
    // An earlier incarnation of this instance has ended, since this one runs.
    m_released = record.released || (record.instance == m_instance && !isOwn);
    return isOwn && !record.released;
}

auto LogLease::observeActivity(TimePoint now) -> void
{
    if (m_logReadable) {
        m_inactiveSince = now;
    }
}

auto LogLease::recordContact(bool ok, TimePoint now) -> void
{
    if (ok && !m_logReadable) {
        m_inactiveSince = now;
        m_jitter = Duration(std::uniform_int_distribution<Duration::rep>(0, m_settings.maxJitter.count())(m_random));
    }
    m_logReadable = ok;
}

auto LogLease::makeClaim(TimePoint now, Duration extraDelay) -> std::optional<HolderRecord>
{
    if (m_isHolder || !m_logReadable || !m_inactiveSince) {
        return std::nullopt;
    }
    const auto claimDelay = (m_released ? Duration::zero() : m_settings.timeToLive) + m_jitter + extraDelay;
    if (now < *m_inactiveSince + claimDelay) {
        return std::nullopt;
    }
    // The claim succeeds only if nothing was appended since the last read, and every earlier claim fenced the holder of its time.
    m_previousRenewal = *m_inactiveSince;
    m_inactiveSince = now;
    return HolderRecord{m_term + 1, m_instance, m_incarnation, false};
}

auto LogLease::acquired(std::uint64_t term) -> void
{
    m_isHolder = true;
    m_term = std::max(m_term, term);
    m_released = false;
    m_renewedAt.reset();
}

auto LogLease::renewed(TimePoint sentAt) -> void
{
    m_renewedAt = std::max(sentAt, m_renewedAt.value_or(sentAt));
}

auto LogLease::lost(TimePoint now) -> void
{
    m_isHolder = false;
    m_renewedAt.reset();
    m_inactiveSince = now;
    m_released = false;
}

auto LogLease::isHolder() const noexcept -> bool
{
    return m_isHolder;
}

auto LogLease::isValid(TimePoint now) const noexcept -> bool
{
    return m_isHolder && m_renewedAt && now < *m_renewedAt + m_settings.timeToLive - m_settings.expiryMargin;
}

auto LogLease::mayRenewTaskLeases(TimePoint now) const noexcept -> bool
{
    return m_isHolder && m_renewedAt && now < *m_renewedAt + m_settings.timeToLive + m_settings.taskLeaseGracePeriod;
}

auto LogLease::renewalDue(TimePoint now) const noexcept -> bool
{
    return m_isHolder && (!m_renewedAt || now >= *m_renewedAt + m_settings.renewInterval);
}

auto LogLease::inactiveFor(TimePoint now) const -> std::optional<Duration>
{
    return m_logReadable && m_inactiveSince ? std::optional(now - *m_inactiveSince) : std::nullopt;
}

auto LogLease::latestHolder() const noexcept -> const InstanceName &
{
    return m_latestHolder;
}

auto LogLease::term() const noexcept -> std::uint64_t
{
    return m_term;
}

auto LogLease::record(bool released) const -> HolderRecord
{
    return {m_term, m_instance, m_incarnation, released};
}

auto LogLease::latestPreviousGrant() const -> TimePoint
{
    return m_previousRenewal + m_settings.timeToLive + m_settings.taskLeaseGracePeriod;
}

} // namespace Acaciarail::Workflow
