#include <acaciarail/scheduling/retry_budget.h>

#include <algorithm>

namespace Acaciarail::Scheduling {

RetryBudget::RetryBudget(double ratio) noexcept
    : m_ratio(ratio)
    , m_tokens(initialRetries)
    , m_unrepaidTokens(initialRetries)
{
}

auto RetryBudget::setRatio(double ratio) noexcept -> void
{
    m_ratio = ratio;
}

auto RetryBudget::firstAttempt() noexcept -> void
{
    const auto repaid = std::min(m_unrepaidTokens, m_ratio);
    m_unrepaidTokens -= repaid;
    m_tokens = std::min(maxSavedRetries, m_tokens + m_ratio - repaid);
}

auto RetryBudget::available() const noexcept -> bool
{
    // Rounding makes sums of a ratio such as 0.1 slightly smaller than the whole number.
    constexpr double tolerance = 1e-9;
    return m_tokens + tolerance >= 1.0;
}

auto RetryBudget::tryTake() noexcept -> bool
{
    if (!available()) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

ByteBudget::ByteBudget(std::uint64_t bytesPerSecond) noexcept
    : m_bytesPerSecond(static_cast<double>(bytesPerSecond))
    , m_savedBytes(m_bytesPerSecond)
{
}

auto ByteBudget::setRate(std::uint64_t bytesPerSecond) noexcept -> void
{
    m_bytesPerSecond = static_cast<double>(bytesPerSecond);
    m_savedBytes = std::min(m_savedBytes, m_bytesPerSecond);
}

auto ByteBudget::savedBytesAt(TimePoint now) const noexcept -> double
{
    const auto elapsed = std::chrono::duration<double>(now - m_updated).count();
    return std::min(m_bytesPerSecond, m_savedBytes + m_bytesPerSecond * std::max(0.0, elapsed));
}

auto ByteBudget::available(std::uint64_t bytes, TimePoint now) const noexcept -> bool
{
    return m_bytesPerSecond > 0.0 && savedBytesAt(now) >= std::min(static_cast<double>(bytes), m_bytesPerSecond);
}

auto ByteBudget::tryTake(std::uint64_t bytes, TimePoint now) noexcept -> bool
{
    if (!available(bytes, now)) {
        return false;
    }
    m_savedBytes = savedBytesAt(now) - static_cast<double>(bytes);
    m_updated = now;
    return true;
}

auto retryDelay(std::uint32_t failures, Duration base, Duration maxDelay, std::mt19937_64 &random) -> Duration
{
    constexpr std::uint32_t maxDoublings = 20;
    const auto factor = std::int64_t{1} << std::min(failures - 1, maxDoublings);
    const auto delayBound = std::min<Duration::rep>(base.count() * factor, maxDelay.count());
    return Duration(std::uniform_int_distribution<Duration::rep>(delayBound / 2, delayBound)(random));
}

} // namespace Acaciarail::Scheduling
