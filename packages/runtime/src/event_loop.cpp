#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/event_timer.h>

#include <event2/event.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <iterator>
#include <list>
#include <mutex>
#include <new>
#include <system_error>
#include <utility>
#include <vector>

namespace Acaciarail::Runtime {

struct EventLoop::State
{
    /// A call scheduled by callAfter() that has not been made yet.
    struct DelayedCall
    {
        State *state = nullptr;
        event *timer = nullptr;
        std::function<void()> task;
        std::list<DelayedCall>::iterator self;
    };

    event_base *base = nullptr;
    event *wakeEvent = nullptr;
    event *limitEvent = nullptr;
    int wakeDescriptor = -1;
    std::atomic<bool> stopRequested = false;
    std::mutex mutex;
    std::vector<std::function<void()>> tasks;
    std::list<DelayedCall> delayed;

    State() = default;
    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    ~State()
    {
        for (const auto &it : delayed) {
            event_free(it.timer);
        }
        if (limitEvent != nullptr) {
            event_free(limitEvent);
        }
        if (wakeEvent != nullptr) {
            event_free(wakeEvent);
        }
        if (base != nullptr) {
            event_base_free(base);
        }
        if (wakeDescriptor >= 0) {
            ::close(wakeDescriptor);
        }
    }

    auto wake() const -> void
    {
        // The write fails only when the counter is full, in which case the loop is woken anyway.
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto n = ::write(wakeDescriptor, &one, sizeof one);
    }

    auto runTasks() -> void
    {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto n = ::read(wakeDescriptor, &count, sizeof count);
        if (stopRequested) {
            event_base_loopbreak(base);
        }
        std::vector<std::function<void()>> batch;
        {
            const std::lock_guard lock(mutex);
            batch.swap(tasks);
        }
        for (const auto &task : batch) {
            task();
        }
    }
};

namespace {

auto callDelayed(evutil_socket_t, short, void *arg) -> void
{
    auto *delayed = static_cast<EventLoop::State::DelayedCall *>(arg);
    const auto task = std::move(delayed->task);
    event_free(delayed->timer);
    // The entry is removed before the call, because the call may add others.
    delayed->state->delayed.erase(delayed->self);
    task();
}

auto systemError(const char *what) -> std::system_error
{
    return {errno, std::generic_category(), what};
}

} // namespace

EventLoop::EventLoop()
    : m_state(std::make_shared<State>())
{
    // A write to a connection that its peer has closed must fail with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto &s = *m_state;
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(), &event_config_free);
    // The default clock of libevent has a resolution of several milliseconds.
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    s.base = event_base_new_with_config(config.get());
    if (s.base == nullptr) {
        throw systemError("event_base_new");
    }
    s.wakeDescriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (s.wakeDescriptor < 0) {
        throw systemError("eventfd");
    }
    const auto woken = [](evutil_socket_t, short, void *arg) { static_cast<State *>(arg)->runTasks(); };
    s.wakeEvent = event_new(s.base, s.wakeDescriptor, EV_READ | EV_PERSIST, woken, &s);
    s.limitEvent = event_new(
        s.base, -1, 0, [](evutil_socket_t, short, void *) {}, nullptr);
    event_add(s.wakeEvent, nullptr);
}

EventLoop::~EventLoop()
{
    // Destructors of dropped tasks may use the loop, so they run before it is freed.
    std::vector<std::function<void()>> dropped;
    const std::lock_guard lock(m_state->mutex);
    dropped.swap(m_state->tasks);
}

auto EventLoop::run() -> void
{
    while (!m_state->stopRequested) {
        event_base_loop(m_state->base, EVLOOP_NO_EXIT_ON_EMPTY);
    }
    m_state->stopRequested = false;
}

auto EventLoop::runUntil(const std::function<bool()> &done, Duration limit) -> bool
{
    const auto deadline = now() + limit;
    while (!done()) {
        const auto left = deadline - now();
        if (left <= Duration::zero()) {
            return false;
        }
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
        const timeval timeout{seconds.count(), (left - seconds).count()};
        event_add(m_state->limitEvent, &timeout);
        event_base_loop(m_state->base, EVLOOP_ONCE);
    }
    event_del(m_state->limitEvent);
    return true;
}

auto EventLoop::stop() -> void
{
    m_state->stopRequested = true;
    m_state->wake();
}

auto EventLoop::post(std::function<void()> task) -> void
{
    bool first = false;
    {
        const std::lock_guard lock(m_state->mutex);
        first = m_state->tasks.empty();
        m_state->tasks.push_back(std::move(task));
    }
    if (first) {
        m_state->wake();
    }
}

auto EventLoop::callAfter(Duration delay, std::function<void()> task) -> void
{
    auto &list = m_state->delayed;
    auto &delayed = list.emplace_back(State::DelayedCall{m_state.get(), nullptr, std::move(task), {}});
    delayed.self = std::prev(list.end());
    delayed.timer = event_new(m_state->base, -1, 0, callDelayed, &delayed);
    const auto timeout = toTimeval(delay);
    if (delayed.timer == nullptr || event_add(delayed.timer, &timeout) != 0) {
        if (delayed.timer != nullptr) {
            event_free(delayed.timer);
        }
        list.pop_back();
        throw std::bad_alloc();
    }
}

auto EventLoop::now() const noexcept -> TimePoint
{
    return MonotonicClock::now();
}

auto EventLoop::base() const noexcept -> event_base *
{
    return m_state->base;
}

} // namespace Acaciarail::Runtime
