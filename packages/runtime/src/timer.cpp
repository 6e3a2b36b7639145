#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/timer.h>

#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace Acaciarail::Runtime {

struct Timer::State
{
    std::function<void()> expired;
    event *timerEvent = nullptr;
    Duration interval{};
    /// Locked while the hook runs, so that the state stays alive when the hook destroys the timer.
    std::weak_ptr<State> self;

    State() = default;
    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    ~State()
    {
        event_free(timerEvent);
    }

    auto add(Duration delay) const -> void
    {
        const auto d = std::max(delay, Duration::zero());
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(d);
        const timeval timeout{seconds.count(), (d - seconds).count()};
        event_add(timerEvent, &timeout);
    }

    auto fire() -> void
    {
        const auto keepAlive = self.lock();
        if (interval > Duration::zero()) {
            add(interval);
        }
        expired();
    }
};

Timer::Timer(EventLoop &loop, std::function<void()> expired)
    : m_state(std::make_shared<State>())
{
    m_state->self = m_state;
    m_state->expired = std::move(expired);
    const auto fired = [](evutil_socket_t, short, void *arg) { static_cast<State *>(arg)->fire(); };
    m_state->timerEvent = event_new(loop.base(), -1, 0, fired, m_state.get());
}

Timer::~Timer()
{
    m_state->interval = {};
    event_del(m_state->timerEvent);
}

auto Timer::start(Duration delay) -> void
{
    m_state->interval = {};
    m_state->add(delay);
}

auto Timer::startRepeating(Duration interval) -> void
{
    m_state->interval = interval;
    m_state->add(interval);
}

auto Timer::cancel() -> void
{
    m_state->interval = {};
    event_del(m_state->timerEvent);
}

auto Timer::pending() const noexcept -> bool
{
    return event_pending(m_state->timerEvent, EV_TIMEOUT, nullptr) != 0;
}

} // namespace Acaciarail::Runtime
