#pragma once

#include <acaciarail/core/time.h>

#include <event2/event.h>

#include <algorithm>
#include <functional>
#include <new>
#include <utility>

namespace Acaciarail::Endpoint::Detail {

/// One-shot timer of an event loop.
class Timer
{
public:
    Timer(event_base *base, std::function<void()> action)
        : m_action(std::move(action))
        , m_event(event_new(base, -1, 0, &Timer::onTimeout, this))
    {
        if (m_event == nullptr) {
            throw std::bad_alloc();
        }
    }
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;
    ~Timer()
    {
        event_free(m_event);
    }

    /// Starts the timer, or starts it again.
    auto start(Duration delay) noexcept -> void
    {
        constexpr Duration::rep microsecondsPerSecond = 1'000'000;
        const auto n = std::max(delay.count(), Duration::rep{0});
        const timeval tv{static_cast<time_t>(n / microsecondsPerSecond), static_cast<suseconds_t>(n % microsecondsPerSecond)};
        event_add(m_event, &tv);
    }

    auto cancel() noexcept -> void
    {
        event_del(m_event);
    }

private:
    static auto onTimeout(evutil_socket_t, short, void *arg) -> void
    {
        static_cast<Timer *>(arg)->m_action();
    }

    std::function<void()> m_action;
    event *m_event;
};

} // namespace Acaciarail::Endpoint::Detail
