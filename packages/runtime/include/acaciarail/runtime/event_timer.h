#pragma once

#include <acaciarail/core/time.h>

#include <event2/event.h>

#include <algorithm>
#include <functional>
#include <new>
#include <utility>

namespace Acaciarail::Runtime {

/// Converts a duration for libevent; a negative one counts as zero. \pre none. Thread-safe.
[[nodiscard]] inline auto toTimeval(Duration d) noexcept -> timeval
{
    constexpr Duration::rep microsecondsPerSecond = 1'000'000;
    const auto n = std::max(d.count(), Duration::rep{0});
    return {static_cast<time_t>(n / microsecondsPerSecond), static_cast<suseconds_t>(n % microsecondsPerSecond)};
}

/// One-shot timer on a libevent base, for packages that are given only the base. Not thread-safe.
class EventTimer
{
public:
    /// \pre \a base outlives the timer.
    EventTimer(event_base *base, std::function<void()> action)
        : m_action(std::move(action))
        , m_event(event_new(base, -1, 0, &EventTimer::onTimeout, this))
    {
        if (m_event == nullptr) {
            throw std::bad_alloc();
        }
    }
    EventTimer(const EventTimer &) = delete;
    auto operator=(const EventTimer &) -> EventTimer & = delete;
    ~EventTimer()
    {
        event_free(m_event);
    }

    /// Starts the timer, or restarts it with the new delay. \pre none.
    auto start(Duration delay) noexcept -> void
    {
        const auto tv = toTimeval(delay);
        event_add(m_event, &tv);
    }

    /// \pre none.
    auto cancel() noexcept -> void
    {
        event_del(m_event);
    }

private:
    static auto onTimeout(evutil_socket_t, short, void *arg) -> void
    {
        static_cast<EventTimer *>(arg)->m_action();
    }

    std::function<void()> m_action;
    event *m_event;
};

} // namespace Acaciarail::Runtime
