#pragma once

#include <acaciarail/core/time.h>

#include <cstdint>
#include <random>

namespace Acaciarail::Scheduling {

/// Token bucket that limits extra attempts to a fraction of first attempts. At any time the number of extra attempts is at most
/// max(initialRetries, ratio * first attempts).
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
    /// Part of the initial tokens that first attempts have not repaid yet.
    double m_unrepaidTokens;
};

/// Tokens that are available before any first attempt; the first attempts that follow repay them before they earn new tokens.
inline constexpr double initialRetries = 3;

/// Maximum number of saved tokens, so that a long period without failures does not permit a retry storm.
inline constexpr double maxSavedRetries = 20;

/// Rate limit in bytes per second; unused bytes of at most one second are saved.
class ByteBudget
{
public:
    /// \pre none. Not thread-safe.
    explicit ByteBudget(std::uint64_t bytesPerSecond = 0) noexcept;

    /// Changes the rate and keeps the saved bytes, up to the new maximum. \pre none. Not thread-safe.
    auto setRate(std::uint64_t bytesPerSecond) noexcept -> void;

    /// Takes \a bytes; false when the budget does not permit it. A request that exceeds the bytes of one second is allowed when the budget
    /// is full, and then delays the requests that follow. \pre \a now does not decrease. Not thread-safe.
    [[nodiscard]] auto tryTake(std::uint64_t bytes, TimePoint now) noexcept -> bool;

    /// Returns whether tryTake() would succeed. \pre \a now does not decrease. Not thread-safe.
    [[nodiscard]] auto available(std::uint64_t bytes, TimePoint now) const noexcept -> bool;

private:
    [[nodiscard]] auto savedBytesAt(TimePoint now) const noexcept -> double;

    double m_bytesPerSecond;
    double m_savedBytes;
    TimePoint m_updated{};
};

/// Returns the delay before the extra attempt that follows \a failures failed attempts: exponential backoff from \a base, at most
/// \a maxDelay, with uniform jitter over the upper half.
/// \pre failures >= 1. Not thread-safe with respect to \a random.
[[nodiscard]] auto retryDelay(std::uint32_t failures, Duration base, Duration maxDelay, std::mt19937_64 &random) -> Duration;

} // namespace Acaciarail::Scheduling
