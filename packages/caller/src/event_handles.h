#pragma once

#include <acaciarail/core/time.h>

#include <event2/event.h>
#include <evhtp/evhtp.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <new>
#include <utility>

namespace Acaciarail::Caller::Detail {

struct EvhtpDeleter
{
    auto operator()(evhtp_t *htp) const noexcept -> void
    {
        evhtp_free(htp);
    }
};

using EvhtpHandle = std::unique_ptr<evhtp_t, EvhtpDeleter>;

[[nodiscard]] inline auto toTimeval(Duration d) noexcept -> timeval
{
    constexpr Duration::rep microsecondsPerSecond = 1'000'000;
    const auto n = std::max(d.count(), Duration::rep{0});
    return {static_cast<time_t>(n / microsecondsPerSecond), static_cast<suseconds_t>(n % microsecondsPerSecond)};
}

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
        const auto tv = toTimeval(delay);
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

} // namespace Acaciarail::Caller::Detail
