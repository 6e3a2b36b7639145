#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/scheduling/request_command.h>

#include <cstdint>
#include <optional>
#include <random>
#include <set>

namespace Acaciarail::Scheduling {

/// Constants of the adaptive limit and of ejection.
struct EndpointLimitSettings
{
    /// Limit of a new or returning endpoint.
    double initialLimit = 2.0;
    /// Growth for each answer until the first busy answer.
    double fastGrowth = 0.25;
    /// Growth for each answer afterwards, divided by the limit, and part of the limit that a busy answer takes. Growth by a constant in
    /// a given time and reduction by a factor make instances that share an endpoint converge to equal limits. The ratio
    /// growth / (busyReduction * limit^2) is the share of busy answers under overload.
    double growth = 0.08;
    double busyReduction = 0.2;
    double leastLimit = 0.1;
    /// Mean latency, as a multiple of the endpoint's least one, above which the limit falls.
    double latencyTolerance = 3.0;
    /// Failures in a row that eject the endpoint.
    std::uint32_t ejectAfterFailures = 3;
    /// Smoothed fraction of failures that ejects the endpoint.
    double ejectFailureRate = 0.5;
    Duration firstEjection = std::chrono::milliseconds(500);
    Duration longestEjection = std::chrono::seconds(20);
    /// Attempts without an answer for the progress timeout that make the endpoint silent.
    std::uint32_t silentAttempts = 2;
    /// The progress timeout is this multiple of the mean latency, within the two bounds below.
    double progressMultiple = 8.0;
    Duration leastProgressTimeout = std::chrono::milliseconds(250);
    Duration longestProgressTimeout = std::chrono::seconds(5);
    /// Time for which an endpoint's own statement that it is leaving outweighs a list entry that says otherwise.
    Duration leavingMemory = std::chrono::seconds(60);
};

/// Whether an endpoint gets attempts.
enum class EndpointHealth : std::uint8_t {
    Healthy,
    /// Gets no attempts until its ejection ends.
    Ejected,
    /// Its ejection ended; it gets one attempt at a time until one is answered.
    Probing,
};

/// What one entry instance knows about one endpoint: how many attempts it may have there, and whether it works.
class EndpointLimit
{
public:
    /// \a slots bounds the limit. \pre slots >= 1. Not thread-safe.
    EndpointLimit(const EndpointLimitSettings &settings, std::uint32_t slots);

    /// Returns whether one more attempt may start at \a now. \pre none. Not thread-safe.
    [[nodiscard]] auto mayStart(TimePoint now) const noexcept -> bool;

    /// Counts an attempt. \pre mayStart(now). Not thread-safe.
    auto started(TimePoint now) -> void;

    /// Counts the end of an attempt that started at \a startedAt. \a random spreads the ends of ejections.
    /// \pre started() was called with \a startedAt. Not thread-safe.
    auto ended(TimePoint startedAt, const AttemptResult &result, TimePoint now, std::mt19937_64 &random) -> void;

    /// Counts an attempt that was given up without a result. \pre as for ended(). Not thread-safe.
    auto abandoned(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void;

    /// Counts an attempt in flight that has had no answer for the progress timeout as failed, unless the endpoint has answered others
    /// since it started. \pre none. Not thread-safe.
    auto noProgress(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void;

    /// Ejects the endpoint when several attempts had no answer for the progress timeout; true when it did so now.
    /// \pre none. Not thread-safe.
    [[nodiscard]] auto ejectIfSilent(TimePoint now, std::mt19937_64 &random) -> bool;

    /// Ends an ejection whose time is over. \pre none. Not thread-safe.
    auto update(TimePoint now) noexcept -> void;

    /// The endpoint said that it is leaving. \pre none. Not thread-safe.
    auto markLeaving(TimePoint now) noexcept -> void;

    /// Returns whether the endpoint's own statement that it is leaving still counts. \pre none. Not thread-safe.
    [[nodiscard]] auto saidLeaving(TimePoint now) const noexcept -> bool;

    /// Changes the number of slots. \pre slots >= 1. Not thread-safe.
    auto setSlots(std::uint32_t slots) noexcept -> void;

    [[nodiscard]] auto settings() const noexcept -> const EndpointLimitSettings &;
    [[nodiscard]] auto health() const noexcept -> EndpointHealth;
    [[nodiscard]] auto limit() const noexcept -> double;
    [[nodiscard]] auto inFlight() const noexcept -> std::uint32_t;
    /// Smoothed fraction of attempts that failed.
    [[nodiscard]] auto failureRate() const noexcept -> double;
    [[nodiscard]] auto totalEjections() const noexcept -> std::uint64_t;
    /// Smoothed latency of answers; empty before the first one.
    [[nodiscard]] auto meanLatency() const noexcept -> std::optional<Duration>;
    [[nodiscard]] auto progressTimeout() const noexcept -> Duration;
    /// Next time at which update() or ejectIfSilent() may change something.
    [[nodiscard]] auto nextDeadline() const noexcept -> std::optional<TimePoint>;

private:
    auto answered(Duration latency, TimePoint now) -> void;
    auto busy(TimePoint now) -> void;
    auto failed(TimePoint now, std::mt19937_64 &random) -> void;
    auto succeeded(TimePoint now) -> void;
    auto unanswered(TimePoint startedAt, TimePoint now, std::mt19937_64 &random) -> void;
    auto forget(TimePoint startedAt) -> void;
    auto eject(TimePoint now, std::mt19937_64 &random) -> void;
    auto observeLatency(double latency, TimePoint now) -> void;

    EndpointLimitSettings m_settings;
    double m_slots;
    double m_limit;
    bool m_fast = true;
    EndpointHealth m_health = EndpointHealth::Healthy;
    /// Start times of the attempts in flight.
    std::multiset<TimePoint> m_started;
    /// Whether the ejection is for a lack of answers.
    bool m_silent = false;
    TimePoint m_notBefore{};
    TimePoint m_ejectedUntil{};
    TimePoint m_lastAnswer{};
    TimePoint m_lastLatencyReduction{};
    TimePoint m_leastUpdated{};
    std::optional<TimePoint> m_leavingSince;
    std::uint32_t m_failuresInRow = 0;
    /// Ejections since the endpoint last worked for a while; each one lasts twice as long as the one before.
    std::uint32_t m_ejections = 0;
    std::uint32_t m_answersSinceEjection = 0;
    std::uint64_t m_totalEjections = 0;
    std::uint32_t m_samples = 0;
    double m_failureRate = 0.0;
    /// Microseconds; 0 before the first answer.
    double m_meanLatency = 0.0;
    double m_leastLatency = 0.0;
};

} // namespace Acaciarail::Scheduling
