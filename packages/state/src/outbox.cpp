#include <acaciarail/state/outbox.h>

#include <algorithm>

namespace Acaciarail::State {

Outbox::Outbox(std::uint64_t incarnation, OutboxSettings settings)
    : m_incarnation(incarnation)
    , m_settings(settings)
{
}

auto Outbox::add(RecordBody body, std::chrono::milliseconds wallClock, TimePoint now) -> RecordId
{
    const RecordId id{m_incarnation, ++m_lastSequence};
    m_pending.push_back({id, encodeRecord({id, wallClock, std::move(body)}), false});
    if (!m_waitingSince) {
        m_waitingSince = now;
    }
    return id;
}

auto Outbox::withdraw(const RecordId &id) -> bool
{
    const auto it = std::find_if(m_pending.begin(), m_pending.end(), [&id](const Pending &p) { return p.id == id; });
    const auto isInFlight = it - m_pending.begin() < static_cast<std::ptrdiff_t>(m_inFlight);
    if (it == m_pending.end() || isInFlight || it->maybeAppended) {
        return false;
    }
    m_pending.erase(it);
    if (m_pending.empty()) {
        m_waitingSince.reset();
    }
    return true;
}

auto Outbox::nextBatch(TimePoint now) -> std::vector<std::string>
{
    std::vector<std::string> batch;
    if (m_inFlight > 0 || now < m_nextAppendAt) {
        return batch;
    }
    std::size_t bytes = 0;
    for (const auto &it : m_pending) {
        bytes += it.bytes.size();
        if (!batch.empty() && bytes > m_settings.maxBatchBytes) {
            break;
        }
        batch.push_back(it.bytes);
    }
    m_inFlight = batch.size();
    if (!batch.empty()) {
        m_nextAppendAt = now + m_settings.interval;
        ++m_appendCount;
    }
    return batch;
}

auto Outbox::nextDeadline() const -> std::optional<TimePoint>
{
    if (m_inFlight > 0 || m_pending.empty()) {
        return std::nullopt;
    }
    return m_nextAppendAt;
}

auto Outbox::appendSucceeded(TimePoint now) -> void
{
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(m_inFlight));
    m_inFlight = 0;
    m_backoff = Duration::zero();
    m_waitingSince = m_pending.empty() ? std::nullopt : std::optional(now);
}

auto Outbox::appendFailed(AppendFailure failure, TimePoint now) -> void
{
    for (std::size_t i = 0; i < m_inFlight && failure == AppendFailure::Unknown; ++i) {
        m_pending[i].maybeAppended = true;
    }
    m_inFlight = 0;
    m_backoff = std::clamp(m_backoff * 2, m_settings.minBackoff, m_settings.maxBackoff);
    m_nextAppendAt = std::max(m_nextAppendAt, now + m_backoff);
}

auto Outbox::isLogAvailable(TimePoint now) const -> bool
{
    return !m_waitingSince || now - *m_waitingSince < m_settings.unavailableAfter;
}

auto Outbox::setInterval(Duration interval) -> void
{
    m_settings.interval = interval;
}

auto Outbox::pendingCount() const noexcept -> std::size_t
{
    return m_pending.size();
}

auto Outbox::appendCount() const noexcept -> std::uint64_t
{
    return m_appendCount;
}

} // namespace Acaciarail::State
