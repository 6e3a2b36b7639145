#include <acaciarail/scheduling/retry_budget.h>

#include <algorithm>

namespace Acaciarail::Scheduling {

RetryBudget::RetryBudget(double ratio) noexcept
    : m_ratio(ratio)
    , m_tokens(minimumRetries)
    , m_loan(minimumRetries)
{
}

auto RetryBudget::setRatio(double ratio) noexcept -> void
{
    m_ratio = ratio;
}

auto RetryBudget::firstAttempt() noexcept -> void
{
    const auto repaid = std::min(m_loan, m_ratio);
    m_loan -= repaid;
    m_tokens = std::min(maxSavedRetries, m_tokens + m_ratio - repaid);
}

auto RetryBudget::available() const noexcept -> bool
{
    // Sums of a ratio such as 0.1 fall short of the whole number by rounding.
    constexpr double rounding = 1e-9;
    return m_tokens + rounding >= 1.0;
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
    : m_rate(static_cast<double>(bytesPerSecond))
    , m_saved(m_rate)
{
}

auto ByteBudget::setRate(std::uint64_t bytesPerSecond) noexcept -> void
{
    m_rate = static_cast<double>(bytesPerSecond);
    m_saved = std::min(m_saved, m_rate);
}

auto ByteBudget::savedAt(TimePoint now) const noexcept -> double
{
    const auto elapsed = std::chrono::duration<double>(now - m_updated).count();
    return std::min(m_rate, m_saved + m_rate * std::max(0.0, elapsed));
}

auto ByteBudget::available(std::uint64_t bytes, TimePoint now) const noexcept -> bool
{
    return m_rate > 0.0 && savedAt(now) >= std::min(static_cast<double>(bytes), m_rate);
}

auto ByteBudget::tryTake(std::uint64_t bytes, TimePoint now) noexcept -> bool
{
    if (!available(bytes, now)) {
        return false;
    }
    m_saved = savedAt(now) - static_cast<double>(bytes);
    m_updated = now;
    return true;
}

auto retryDelay(std::uint32_t failures, Duration base, Duration most, std::mt19937_64 &random) -> Duration
{
    constexpr std::uint32_t maxDoublings = 20;
    const auto factor = std::int64_t{1} << std::min(failures - 1, maxDoublings);
    const auto longest = std::min<Duration::rep>(base.count() * factor, most.count());
    return Duration(std::uniform_int_distribution<Duration::rep>(longest / 2, longest)(random));
}

} // namespace Acaciarail::Scheduling
