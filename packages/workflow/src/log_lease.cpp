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

auto LogLease::observed(const HolderRecord &record, TimePoint now) -> bool
{
    activity(now);
    if (record.term < m_term) {
        return false;
    }
    const bool own = record.instance == m_instance && record.incarnation == m_incarnation;
    if (record.term > m_term && m_holds && !own) {
        lost(now);
    }
    m_term = record.term;
    // An earlier incarnation of this instance has ended, since this one runs.
    m_released = record.released || (record.instance == m_instance && !own);
    return own && !record.released;
}

auto LogLease::activity(TimePoint now) -> void
{
    if (m_reachable) {
        m_silentSince = now;
    }
}

auto LogLease::contact(bool ok, TimePoint now) -> void
{
    if (ok && !m_reachable) {
        m_silentSince = now;
        m_jitter = Duration(std::uniform_int_distribution<Duration::rep>(0, m_settings.maxJitter.count())(m_random));
    }
    m_reachable = ok;
}

auto LogLease::claim(TimePoint now, Duration handicap) -> std::optional<HolderRecord>
{
    if (m_holds || !m_reachable || !m_silentSince) {
        return std::nullopt;
    }
    const auto patience = (m_released ? Duration::zero() : m_settings.timeToLive) + m_jitter + handicap;
    if (now < *m_silentSince + patience) {
        return std::nullopt;
    }
    // The claim succeeds only if nothing was appended since the last read, and every earlier claim fenced the holder of its time.
    m_previousRenewal = *m_silentSince;
    m_silentSince = now;
    return HolderRecord{m_term + 1, m_instance, m_incarnation, false};
}

auto LogLease::won(std::uint64_t term) -> void
{
    m_holds = true;
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
    m_holds = false;
    m_renewedAt.reset();
    m_silentSince = now;
    m_released = false;
}

auto LogLease::holds() const noexcept -> bool
{
    return m_holds;
}

auto LogLease::valid(TimePoint now) const noexcept -> bool
{
    return m_holds && m_renewedAt && now < *m_renewedAt + m_settings.timeToLive - m_settings.margin;
}

auto LogLease::mayExtend(TimePoint now) const noexcept -> bool
{
    return m_holds && m_renewedAt && now < *m_renewedAt + m_settings.timeToLive + m_settings.renewalOverrun;
}

auto LogLease::renewalDue(TimePoint now) const noexcept -> bool
{
    return m_holds && (!m_renewedAt || now >= *m_renewedAt + m_settings.renewInterval);
}

auto LogLease::term() const noexcept -> std::uint64_t
{
    return m_term;
}

auto LogLease::record(bool released) const -> HolderRecord
{
    return {m_term, m_instance, m_incarnation, released};
}

auto LogLease::previousGrants() const -> TimePoint
{
    return m_previousRenewal + m_settings.timeToLive + m_settings.renewalOverrun;
}

} // namespace Acaciarail::Workflow
