#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/scheduling/request_command.h>

#include <cstdint>
#include <optional>
#include <random>
#include <set>

namespace Acaciarail::Scheduling {

/// Parameters of the adaptive concurrency limit and of ejection.
struct EndpointLimitSettings
{
    /// Limit of a new endpoint, in concurrent attempts.
    double initialLimit = 2.0;
    /// Growth of the limit for each response until the first reduction.
    double slowStartGrowth = 0.25;
    /// Growth for each response after the first reduction, divided by the limit. Additive increase and multiplicative decrease make
    /// instances that share an endpoint converge to equal limits. The fraction of busy responses under overload is
    /// additiveGrowth / (busyReductionFraction * limit^2).
    double additiveGrowth = 0.08;
    /// Fraction of the limit that a busy response takes away.
    double busyReductionFraction = 0.2;
    double minLimit = 0.1;
    /// The limit falls while the mean latency is above this multiple of the endpoint's minimum latency.
    double maxLatencyRatio = 3.0;
    /// Consecutive failures that eject the endpoint.
    std::uint32_t ejectAfterFailures = 3;
    /// Smoothed fraction of failures that ejects the endpoint.
    double ejectFailureRate = 0.5;
    Duration initialEjection = std::chrono::milliseconds(500);
    Duration maxEjection = std::chrono::seconds(20);
    /// Number of attempts without a response for the progress timeout that make an endpoint count as unresponsive.
    std::uint32_t unresponsiveAttempts = 2;
    /// The progress timeout is this multiple of the mean latency, limited by the two bounds below.
    double progressTimeoutLatencyMultiple = 8.0;
    Duration minProgressTimeout = std::chrono::milliseconds(250);
    Duration maxProgressTimeout = std::chrono::seconds(5);
    /// Time for which an endpoint's own announcement that it leaves outweighs a list entry that says otherwise, and for which the state of
    /// an unlisted endpoint is retained.
    Duration departureRetention = std::chrono::seconds(60);
};

/// Whether an endpoint gets attempts.
enum class EndpointHealth : std::uint8_t {
    Healthy,
    /// Gets no attempts until its ejection ends.
    Ejected,
    /// The ejection has ended; the endpoint gets one attempt at a time until one is answered.
    Probing,
};

/// Adaptive limit on the concurrent attempts of this instance at one endpoint, and the health of that endpoint.
class EndpointLimit
{
public:
    /// \a slots bounds the limit. \pre slots >= 1. Not thread-safe.
    EndpointLimit(const EndpointLimitSettings &settings, std::uint32_t slots);

    /// Returns whether one more attempt may start at \a now. \pre none. Not thread-safe.
    [[nodiscard]] auto mayStart(TimePoint now) const noexcept -> bool;

    /// Counts an attempt. \pre mayStart(now). Not thread-safe.
    auto attemptStarted(TimePoint now) -> void;

    /// Counts the end of an attempt that started at \a startedAt. \a random varies the length of ejections, so that they do not end
    /// together.
    /// \pre attemptStarted() was called with \a startedAt. Not thread-safe.
    auto attemptEnded(TimePoint startedAt, const AttemptResult &result, TimePoint now, std::mt19937_64 &random) -> void;

    /// Counts an attempt that was cancelled without a result. \pre as for attemptEnded(). Not thread-safe.
    auto attemptAbandoned(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void;

    /// Counts an attempt in flight without a response for the progress timeout as failed, unless the endpoint has answered other
    /// attempts since this one started. \pre none. Not thread-safe.
    auto attemptStalled(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void;

    /// Ejects the endpoint when several attempts had no response for the progress timeout; returns whether this call ejected it.
    /// \pre none. Not thread-safe.
    [[nodiscard]] auto ejectIfUnresponsive(TimePoint now, std::mt19937_64 &random) -> bool;

    /// Ends an ejection whose duration has passed. \pre none. Not thread-safe.
    auto update(TimePoint now) noexcept -> void;

    /// Records that the endpoint announced that it leaves. \pre none. Not thread-safe.
    auto markLeaving(TimePoint now) noexcept -> void;

    /// Returns whether the endpoint announced within the departure retention time that it leaves. \pre none. Not thread-safe.
    [[nodiscard]] auto announcedDeparture(TimePoint now) const noexcept -> bool;

    /// Changes the number of slots. \pre slots >= 1. Not thread-safe.
    auto setSlots(std::uint32_t slots) noexcept -> void;

    [[nodiscard]] auto settings() const noexcept -> const EndpointLimitSettings &;
    [[nodiscard]] auto health() const noexcept -> EndpointHealth;
    [[nodiscard]] auto limit() const noexcept -> double;
    [[nodiscard]] auto inFlight() const noexcept -> std::uint32_t;
    /// Smoothed fraction of attempts that failed.
    [[nodiscard]] auto failureRate() const noexcept -> double;
    [[nodiscard]] auto totalEjections() const noexcept -> std::uint64_t;
    /// Smoothed latency of responses; empty before the first response.
    [[nodiscard]] auto meanLatency() const noexcept -> std::optional<Duration>;
    [[nodiscard]] auto progressTimeout() const noexcept -> Duration;
    /// Next time at which update() or ejectIfUnresponsive() may change the state.
    [[nodiscard]] auto nextDeadline() const noexcept -> std::optional<TimePoint>;

private:
    auto onResponse(Duration latency, TimePoint now) -> void;
    auto onBusy(TimePoint now) -> void;
    auto onFailure(TimePoint now, std::mt19937_64 &random) -> void;
    auto onSuccess(TimePoint now) -> void;
    auto onUnanswered(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void;
    auto removeStart(TimePoint startedAt) -> void;
    auto eject(TimePoint now, std::mt19937_64 &random) -> void;
    auto recordLatency(double latency, TimePoint now) -> void;

    EndpointLimitSettings m_settings;
    double m_slots;
    double m_limit;
    bool m_inSlowStart = true;
    EndpointHealth m_health = EndpointHealth::Healthy;
    /// Start times of the attempts in flight.
    std::multiset<TimePoint> m_startTimes;
    /// Whether the last ejection was caused by missing responses.
    bool m_ejectedAsUnresponsive = false;
    TimePoint m_pausedUntil{};
    TimePoint m_ejectedUntil{};
    TimePoint m_lastResponse{};
    TimePoint m_lastLatencyReduction{};
    TimePoint m_minLatencyUpdated{};
    std::optional<TimePoint> m_leavingSince;
    std::uint32_t m_consecutiveFailures = 0;
    /// Ejections since the last full recovery; each one lasts twice as long as the one before.
    std::uint32_t m_consecutiveEjections = 0;
    std::uint32_t m_responsesSinceEjection = 0;
    std::uint64_t m_totalEjections = 0;
    std::uint32_t m_samples = 0;
    double m_failureRate = 0.0;
    /// Microseconds; 0 before the first response.
    double m_meanLatency = 0.0;
    double m_minLatency = 0.0;
};

} // namespace Acaciarail::Scheduling
