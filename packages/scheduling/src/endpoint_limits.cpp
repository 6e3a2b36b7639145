#include <acaciarail/scheduling/endpoint_limits.h>

#include <algorithm>
#include <cmath>

namespace Acaciarail::Scheduling {

namespace {

constexpr double latencySmoothing = 0.1;
constexpr double failureSmoothing = 0.1;
/// Answers before the smoothed failure rate and the least latency are trusted.
constexpr std::uint32_t minSamples = 10;
/// A lasting change of an endpoint's speed becomes its new least latency: a rise of 2% a second doubles it in 35 s.
constexpr double leastLatencyDriftPerSecond = 0.02;
constexpr double latencyReduction = 0.9;
constexpr Duration leastPause = std::chrono::milliseconds(5);
/// Multiple of the mean latency after which an attempt counts as failed when the endpoint has answered nothing since it started.
constexpr double unansweredMultiple = 4.0;
constexpr std::uint32_t maxEjectionDoublings = 10;
constexpr std::uint32_t firstServerError = 500;

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

auto microseconds(double n) -> Duration
{
    return Duration(static_cast<Duration::rep>(n));
}

} // namespace

EndpointLimit::EndpointLimit(const EndpointLimitSettings &settings, std::uint32_t slots)
    : m_settings(settings)
    , m_slots(slots)
    , m_limit(std::min(settings.initialLimit, m_slots))
{
}

auto EndpointLimit::mayStart(TimePoint now) const noexcept -> bool
{
    if (m_health == EndpointHealth::Ejected || now < m_notBefore) {
        return false;
    }
    if (m_health == EndpointHealth::Probing) {
        return m_started.empty();
    }
    return static_cast<double>(m_started.size()) < std::max(1.0, std::floor(m_limit));
}

auto EndpointLimit::started(TimePoint now) -> void
{
    m_started.insert(now);
}

auto EndpointLimit::ended(TimePoint startedAt, const AttemptResult &result, TimePoint now, std::mt19937_64 &random) -> void
{
    const auto wasFull = static_cast<double>(m_started.size()) + 1.0 > m_limit;
    forget(startedAt);
    switch (result.kind) {
    case AttemptResultKind::Answered:
        m_lastAnswer = now;
        if (result.httpStatus >= firstServerError) {
            failed(now, random);
            break;
        }
        succeeded(now);
        answered(result.latency, now);
        if (wasFull) {
            m_limit = std::min(m_slots, m_limit + (m_fast ? m_settings.fastGrowth : m_settings.growth / std::max(1.0, m_limit)));
        }
        break;
    case AttemptResultKind::Busy:
        m_lastAnswer = now;
        succeeded(now);
        busy(now);
        break;
    case AttemptResultKind::Leaving:
        m_lastAnswer = now;
        markLeaving(now);
        break;
    case AttemptResultKind::Failed:
    case AttemptResultKind::ConnectFailed:
        failed(now, random);
        break;
    case AttemptResultKind::TimedOut:
        unanswered(startedAt, now, random);
        break;
    }
}

auto EndpointLimit::abandoned(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void
{
    forget(startedAt);
    unanswered(startedAt, now, random);
}

auto EndpointLimit::unanswered(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void
{
    // A caller with a short deadline says nothing about the endpoint, unless the endpoint has answered nobody meanwhile.
    const auto elapsed = now - startedAt;
    const auto limit = m_lastAnswer < startedAt ? microseconds(unansweredMultiple * m_meanLatency) : progressTimeout();
    if (elapsed >= limit) {
        failed(now, random);
    }
}

auto EndpointLimit::noProgress(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void
{
    if (m_lastAnswer < startedAt) {
        failed(now, random);
    }
}

auto EndpointLimit::forget(TimePoint startedAt) -> void
{
    if (const auto it = m_started.find(startedAt); it != m_started.end()) {
        m_started.erase(it);
    }
}

auto EndpointLimit::answered(Duration latency, TimePoint now) -> void
{
    observeLatency(static_cast<double>(latency.count()), now);
    if (m_samples < minSamples || m_meanLatency <= m_settings.latencyTolerance * m_leastLatency) {
        return;
    }
    // One reduction for each mean latency, because its effect is not visible earlier.
    if (now - m_lastLatencyReduction < microseconds(m_meanLatency)) {
        return;
    }
    m_lastLatencyReduction = now;
    m_fast = false;
    m_limit = std::max(1.0, m_limit * latencyReduction);
}

auto EndpointLimit::observeLatency(double latency, TimePoint now) -> void
{
    ++m_samples;
    if (m_meanLatency <= 0.0) {
        m_meanLatency = latency;
        m_leastLatency = latency;
        m_leastUpdated = now;
        return;
    }
    m_meanLatency += latencySmoothing * (latency - m_meanLatency);
    if (m_samples <= minSamples) {
        // Until the mean has settled, a single short answer must not become the least latency.
        m_leastLatency = m_meanLatency;
    }
    m_leastLatency *= 1.0 + leastLatencyDriftPerSecond * std::min(1.0, seconds(now - m_leastUpdated));
    m_leastLatency = std::min(m_leastLatency, m_meanLatency);
    m_leastUpdated = now;
}

auto EndpointLimit::busy(TimePoint now) -> void
{
    m_fast = false;
    m_limit = std::max(m_settings.leastLimit, m_limit * (1.0 - m_settings.busyReduction));
    if (m_limit < 1.0) {
        // A limit below one attempt is a pause between attempts.
        m_notBefore = now + std::max(leastPause, microseconds(m_meanLatency * (1.0 / m_limit - 1.0)));
    }
}

auto EndpointLimit::succeeded(TimePoint now) -> void
{
    if (m_health == EndpointHealth::Ejected && m_silent) {
        // It was slow, not silent.
        m_ejectedUntil = now;
        m_health = EndpointHealth::Probing;
    }
    m_failuresInRow = 0;
    m_failureRate -= failureSmoothing * m_failureRate;
    if (m_health == EndpointHealth::Probing) {
        m_health = EndpointHealth::Healthy;
        m_limit = std::min(1.0, m_slots);
        m_fast = true;
        m_failureRate = 0.0;
    }
    if (m_ejections > 0 && ++m_answersSinceEjection >= minSamples) {
        m_ejections = 0;
    }
}

auto EndpointLimit::failed(TimePoint now, std::mt19937_64 &random) -> void
{
    ++m_failuresInRow;
    ++m_samples;
    m_failureRate += failureSmoothing * (1.0 - m_failureRate);
    if (m_health == EndpointHealth::Ejected) {
        return;
    }
    const auto tooMany = m_failuresInRow >= m_settings.ejectAfterFailures;
    const auto tooOften = m_samples >= minSamples && m_failureRate >= m_settings.ejectFailureRate;
    if (m_health == EndpointHealth::Probing || tooMany || tooOften) {
        eject(now, random);
    }
}

auto EndpointLimit::eject(TimePoint now, std::mt19937_64 &random) -> void
{
    const auto factor = std::int64_t{1} << std::min(m_ejections, maxEjectionDoublings);
    const auto longest = std::min<Duration::rep>(m_settings.firstEjection.count() * factor, m_settings.longestEjection.count());
    m_ejectedUntil = now + Duration(std::uniform_int_distribution<Duration::rep>(longest / 2, longest)(random));
    m_health = EndpointHealth::Ejected;
    m_silent = false;
    m_answersSinceEjection = 0;
    ++m_ejections;
    ++m_totalEjections;
}

auto EndpointLimit::ejectIfSilent(TimePoint now, std::mt19937_64 &random) -> bool
{
    if (m_health == EndpointHealth::Ejected || m_started.empty()) {
        return false;
    }
    const auto timeout = progressTimeout();
    const auto needed = m_health == EndpointHealth::Probing ? 1U : m_settings.silentAttempts;
    if (m_started.size() < needed || now - m_lastAnswer < timeout) {
        return false;
    }
    const auto last = std::next(m_started.begin(), needed - 1);
    if (now - *last < timeout) {
        return false;
    }
    eject(now, random);
    m_silent = true;
    return true;
}

auto EndpointLimit::update(TimePoint now) noexcept -> void
{
    if (m_health == EndpointHealth::Ejected && now >= m_ejectedUntil) {
        m_health = EndpointHealth::Probing;
    }
}

auto EndpointLimit::markLeaving(TimePoint now) noexcept -> void
{
    m_leavingSince = now;
}

auto EndpointLimit::saidLeaving(TimePoint now) const noexcept -> bool
{
    return m_leavingSince && now - *m_leavingSince < m_settings.leavingMemory;
}

auto EndpointLimit::setSlots(std::uint32_t slots) noexcept -> void
{
    m_slots = slots;
    m_limit = std::min(m_limit, m_slots);
}

auto EndpointLimit::settings() const noexcept -> const EndpointLimitSettings &
{
    return m_settings;
}

auto EndpointLimit::health() const noexcept -> EndpointHealth
{
    return m_health;
}

auto EndpointLimit::limit() const noexcept -> double
{
    return m_limit;
}

auto EndpointLimit::inFlight() const noexcept -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_started.size());
}

auto EndpointLimit::failureRate() const noexcept -> double
{
    return m_failureRate;
}

auto EndpointLimit::totalEjections() const noexcept -> std::uint64_t
{
    return m_totalEjections;
}

auto EndpointLimit::meanLatency() const noexcept -> std::optional<Duration>
{
    return m_meanLatency > 0.0 ? std::optional(microseconds(m_meanLatency)) : std::nullopt;
}

auto EndpointLimit::progressTimeout() const noexcept -> Duration
{
    if (m_meanLatency <= 0.0) {
        return m_settings.longestProgressTimeout;
    }
    return std::clamp(microseconds(m_settings.progressMultiple * m_meanLatency), m_settings.leastProgressTimeout,
                      m_settings.longestProgressTimeout);
}

auto EndpointLimit::nextDeadline() const noexcept -> std::optional<TimePoint>
{
    if (m_health == EndpointHealth::Ejected) {
        return m_ejectedUntil;
    }
    const auto needed = m_health == EndpointHealth::Probing ? 1U : m_settings.silentAttempts;
    if (m_started.size() < needed) {
        return std::nullopt;
    }
    return std::max(m_lastAnswer, *std::next(m_started.begin(), needed - 1)) + progressTimeout();
}

} // namespace Acaciarail::Scheduling
