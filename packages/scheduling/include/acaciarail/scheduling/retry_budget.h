#pragma once

#include <acaciarail/core/time.h>

#include <cstdint>
#include <random>

namespace Acaciarail::Scheduling {

/// Limits extra attempts to a fraction of first attempts. At any time the number of extra attempts is at most
/// max(minimumRetries, ratio * first attempts).
class RetryBudget
{
public:
    /// \a ratio is the number of extra attempts for each first attempt. \pre ratio >= 0. Not thread-safe.
    explicit RetryBudget(double ratio = 0.1) noexcept;

    /// Changes the ratio and keeps the tokens. \pre ratio >= 0. Not thread-safe.
    auto setRatio(double ratio) noexcept -> void;

    /// Counts a first attempt. \pre none. Not thread-safe.
    auto firstAttempt() noexcept -> void;

    /// Returns whether tryTake() would succeed. \pre none. Not thread-safe.
    [[nodiscard]] auto available() const noexcept -> bool;

    /// Takes the token for one extra attempt; false when there is none. \pre none. Not thread-safe.
    [[nodiscard]] auto tryTake() noexcept -> bool;

private:
    double m_ratio;
    double m_tokens;
    double m_loan;
};

/// Extra attempts that are allowed before any first attempt was counted; later first attempts repay them.
inline constexpr double minimumRetries = 3;

/// Saved tokens, so that a long calm does not pay for a storm of retries.
inline constexpr double maxSavedRetries = 20;

/// A rate limit in bytes a second that saves at most one second's worth.
class ByteBudget
{
public:
    /// \pre none. Not thread-safe.
    explicit ByteBudget(std::uint64_t bytesPerSecond = 0) noexcept;

    /// Changes the rate and keeps what is saved, up to the new maximum. \pre none. Not thread-safe.
    auto setRate(std::uint64_t bytesPerSecond) noexcept -> void;

    /// Takes \a bytes; false when the budget is used up. A request larger than one second's worth is allowed when the budget is
    /// full, and then delays the following ones. \pre \a now does not decrease. Not thread-safe.
    [[nodiscard]] auto tryTake(std::uint64_t bytes, TimePoint now) noexcept -> bool;

    /// Returns whether tryTake() would succeed. \pre \a now does not decrease. Not thread-safe.
    [[nodiscard]] auto available(std::uint64_t bytes, TimePoint now) const noexcept -> bool;

private:
    [[nodiscard]] auto savedAt(TimePoint now) const noexcept -> double;

    double m_rate;
    double m_saved;
    TimePoint m_updated{};
};

/// Delay before the extra attempt after \a failures failed ones: exponential, bounded, with full jitter over its upper half.
/// \pre failures >= 1. Not thread-safe with respect to \a random.
[[nodiscard]] auto retryDelay(std::uint32_t failures, Duration base, Duration most, std::mt19937_64 &random) -> Duration;

} // namespace Acaciarail::Scheduling
