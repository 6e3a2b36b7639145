#include <acaciarail/scheduling/endpoint_limits.h>

#include <algorithm>
#include <cmath>

namespace Acaciarail::Scheduling {

namespace {

constexpr double latencySmoothing = 0.1;
constexpr double failureSmoothing = 0.1;
/// Number of attempts before the smoothed failure rate and the minimum latency are used.
constexpr std::uint32_t minSamples = 10;
/// The minimum latency rises by 2% a second, which doubles it in 35 s, so that it follows a lasting slowdown of the endpoint.
constexpr double minLatencyDriftPerSecond = 0.02;
constexpr double highLatencyReductionFactor = 0.9;
constexpr Duration minPause = std::chrono::milliseconds(5);
/// Multiple of the mean latency after which a cancelled or timed-out attempt counts as failed when the endpoint has answered no attempt
/// since it started.
constexpr double unansweredLatencyMultiple = 4.0;
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
    if (m_health == EndpointHealth::Ejected || now < m_pausedUntil) {
        return false;
    }
    if (m_health == EndpointHealth::Probing) {
        return m_startTimes.empty();
    }
    return static_cast<double>(m_startTimes.size()) < std::max(1.0, std::floor(m_limit));
}

auto EndpointLimit::attemptStarted(TimePoint now) -> void
{
    m_startTimes.insert(now);
}

auto EndpointLimit::attemptEnded(TimePoint startedAt, const AttemptResult &result, TimePoint now, std::mt19937_64 &random) -> void
{
    const auto wasFull = static_cast<double>(m_startTimes.size()) + 1.0 > m_limit;
    removeStart(startedAt);
    switch (result.kind) {
    case AttemptResultKind::Answered:
        m_lastResponse = now;
        if (result.httpStatus >= firstServerError) {
            onFailure(now, random);
            break;
        }
        onSuccess(now);
        onResponse(result.latency, now);
        if (wasFull) {
            m_limit = std::min(m_slots,
                               m_limit + (m_inSlowStart ? m_settings.slowStartGrowth : m_settings.additiveGrowth / std::max(1.0, m_limit)));
        }
        break;
    case AttemptResultKind::Busy:
        m_lastResponse = now;
        onSuccess(now);
        onBusy(now);
        break;
    case AttemptResultKind::Leaving:
        m_lastResponse = now;
        markLeaving(now);
        break;
    case AttemptResultKind::Failed:
    case AttemptResultKind::ConnectFailed:
        onFailure(now, random);
        break;
    case AttemptResultKind::TimedOut:
        onUnanswered(startedAt, now, random);
        break;
    }
}

auto EndpointLimit::attemptAbandoned(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void
{
    removeStart(startedAt);
    onUnanswered(startedAt, now, random);
}

auto EndpointLimit::onUnanswered(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void
{
    // A short deadline of the caller is no evidence against the endpoint, unless the endpoint has answered no other attempt meanwhile.
    const auto elapsed = now - startedAt;
    const auto limit = m_lastResponse < startedAt ? microseconds(unansweredLatencyMultiple * m_meanLatency) : progressTimeout();
    if (elapsed >= limit) {
        onFailure(now, random);
    }
}

auto EndpointLimit::attemptStalled(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void
{
    if (m_lastResponse < startedAt) {
        onFailure(now, random);
    }
}

auto EndpointLimit::removeStart(TimePoint startedAt) -> void
{
    if (const auto it = m_startTimes.find(startedAt); it != m_startTimes.end()) {
        m_startTimes.erase(it);
    }
}

auto EndpointLimit::onResponse(Duration latency, TimePoint now) -> void
{
    recordLatency(static_cast<double>(latency.count()), now);
    if (m_samples < minSamples || m_meanLatency <= m_settings.maxLatencyRatio * m_minLatency) {
        return;
    }
    // At most one reduction for each mean latency, because its effect is not visible earlier.
    if (now - m_lastLatencyReduction < microseconds(m_meanLatency)) {
        return;
    }
    m_lastLatencyReduction = now;
    m_inSlowStart = false;
    m_limit = std::max(1.0, m_limit * highLatencyReductionFactor);
}

auto EndpointLimit::recordLatency(double latency, TimePoint now) -> void
{
    ++m_samples;
    if (m_meanLatency <= 0.0) {
        m_meanLatency = latency;
        m_minLatency = latency;
        m_minLatencyUpdated = now;
        return;
    }
    m_meanLatency += latencySmoothing * (latency - m_meanLatency);
    if (m_samples <= minSamples) {
        // Until the mean has settled, a single fast response must not become the minimum latency.
        m_minLatency = m_meanLatency;
    }
    m_minLatency *= 1.0 + minLatencyDriftPerSecond * std::min(1.0, seconds(now - m_minLatencyUpdated));
    m_minLatency = std::min(m_minLatency, m_meanLatency);
    m_minLatencyUpdated = now;
}

auto EndpointLimit::onBusy(TimePoint now) -> void
{
    m_inSlowStart = false;
    m_limit = std::max(m_settings.minLimit, m_limit * (1.0 - m_settings.busyReductionFraction));
    if (m_limit < 1.0) {
        // A limit below one attempt is applied as a pause between attempts.
        m_pausedUntil = now + std::max(minPause, microseconds(m_meanLatency * (1.0 / m_limit - 1.0)));
    }
}

auto EndpointLimit::onSuccess(TimePoint now) -> void
{
    if (m_health == EndpointHealth::Ejected && m_ejectedAsUnresponsive) {
        // The late response shows that the endpoint is slow but responds.
        m_ejectedUntil = now;
        m_health = EndpointHealth::Probing;
    }
    m_consecutiveFailures = 0;
    m_failureRate -= failureSmoothing * m_failureRate;
    if (m_health == EndpointHealth::Probing) {
        m_health = EndpointHealth::Healthy;
        m_limit = std::min(1.0, m_slots);
        m_inSlowStart = true;
        m_failureRate = 0.0;
    }
    if (m_consecutiveEjections > 0 && ++m_responsesSinceEjection >= minSamples) {
        m_consecutiveEjections = 0;
    }
}

auto EndpointLimit::onFailure(TimePoint now, std::mt19937_64 &random) -> void
{
    ++m_consecutiveFailures;
    ++m_samples;
    m_failureRate += failureSmoothing * (1.0 - m_failureRate);
    if (m_health == EndpointHealth::Ejected) {
        return;
    }
    const auto tooManyConsecutive = m_consecutiveFailures >= m_settings.ejectAfterFailures;
    const auto tooOften = m_samples >= minSamples && m_failureRate >= m_settings.ejectFailureRate;
    if (m_health == EndpointHealth::Probing || tooManyConsecutive || tooOften) {
        eject(now, random);
    }
}

auto EndpointLimit::eject(TimePoint now, std::mt19937_64 &random) -> void
{
    const auto factor = std::int64_t{1} << std::min(m_consecutiveEjections, maxEjectionDoublings);
    const auto maxDuration = std::min<Duration::rep>(m_settings.initialEjection.count() * factor, m_settings.maxEjection.count());
    m_ejectedUntil = now + Duration(std::uniform_int_distribution<Duration::rep>(maxDuration / 2, maxDuration)(random));
    m_health = EndpointHealth::Ejected;
    m_ejectedAsUnresponsive = false;
    m_responsesSinceEjection = 0;
    ++m_consecutiveEjections;
    ++m_totalEjections;
}

auto EndpointLimit::ejectIfUnresponsive(TimePoint now, std::mt19937_64 &random) -> bool
{
    if (m_health == EndpointHealth::Ejected || m_startTimes.empty()) {
        return false;
    }
    const auto timeout = progressTimeout();
    const auto requiredAttempts = m_health == EndpointHealth::Probing ? 1U : m_settings.unresponsiveAttempts;
    if (m_startTimes.size() < requiredAttempts || now - m_lastResponse < timeout) {
        return false;
    }
    const auto newestConsidered = std::next(m_startTimes.begin(), requiredAttempts - 1);
    if (now - *newestConsidered < timeout) {
        return false;
    }
    eject(now, random);
    m_ejectedAsUnresponsive = true;
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

auto EndpointLimit::announcedDeparture(TimePoint now) const noexcept -> bool
{
    return m_leavingSince && now - *m_leavingSince < m_settings.departureRetention;
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
    return static_cast<std::uint32_t>(m_startTimes.size());
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
        return m_settings.maxProgressTimeout;
    }
    return std::clamp(microseconds(m_settings.progressTimeoutLatencyMultiple * m_meanLatency), m_settings.minProgressTimeout,
                      m_settings.maxProgressTimeout);
}

auto EndpointLimit::nextDeadline() const noexcept -> std::optional<TimePoint>
{
    if (m_health == EndpointHealth::Ejected) {
        return m_ejectedUntil;
    }
    const auto requiredAttempts = m_health == EndpointHealth::Probing ? 1U : m_settings.unresponsiveAttempts;
    if (m_startTimes.size() < requiredAttempts) {
        return std::nullopt;
    }
    return std::max(m_lastResponse, *std::next(m_startTimes.begin(), requiredAttempts - 1)) + progressTimeout();
}

} // namespace Acaciarail::Scheduling
