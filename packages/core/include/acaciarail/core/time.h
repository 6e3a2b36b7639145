#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace Acaciarail {

using namespace std::chrono_literals;

/// Clock tag for monotonic time. Decisions receive the time as an argument, so that tests can simulate it.
struct MonotonicClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;

    /// Returns the time since the machine started, including the time that it was suspended, which std::chrono::steady_clock leaves out:
    /// a lease that ran out during a suspension is seen to have ended.
    /// \pre none. Thread-safe.
    [[nodiscard]] static auto now() noexcept -> time_point
    {
        timespec t{};
        clock_gettime(CLOCK_BOOTTIME, &t);
        return time_point(std::chrono::seconds(t.tv_sec) + std::chrono::duration_cast<duration>(std::chrono::nanoseconds(t.tv_nsec)));
    }
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

/// Upper bound for the relative rate difference between the monotonic clocks of two machines.
/// A lease holder ends its lease early by this fraction, and a waiting party waits longer by it.
inline constexpr double maxClockDrift = 0.01;

/// Returns \a d in whole milliseconds, rounded towards zero. \pre none. Thread-safe.
[[nodiscard]] constexpr auto toMilliseconds(Duration d) noexcept -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

/// Returns the time of day as the time since 1970. \pre none. Thread-safe.
[[nodiscard]] inline auto unixNow() noexcept -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

/// Lengthens \a d by the assumed clock drift.
/// \pre d is not negative. Thread-safe.
[[nodiscard]] constexpr auto withDriftMargin(Duration d) noexcept -> Duration
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * (1.0 + maxClockDrift)) + 1);
}

} // namespace Acaciarail
