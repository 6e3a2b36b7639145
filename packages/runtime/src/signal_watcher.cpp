#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/signal_watcher.h>

#include <event2/event.h>

#include <utility>

namespace Acaciarail::Runtime {

struct SignalWatcher::State
{
    std::function<void()> received;
    event *signalEvent = nullptr;
};

SignalWatcher::SignalWatcher(EventLoop &loop, int signal, std::function<void()> received)
    : m_state(std::make_unique<State>())
{
    m_state->received = std::move(received);
    const auto caught = [](evutil_socket_t, short, void *arg) {
        // A copy is called, because the hook may destroy the watcher.
        const auto hook = static_cast<State *>(arg)->received;
        hook();
    };
    m_state->signalEvent = evsignal_new(loop.base(), signal, caught, m_state.get());
    event_add(m_state->signalEvent, nullptr);
}

SignalWatcher::~SignalWatcher()
{
    event_free(m_state->signalEvent);
}

} // namespace Acaciarail::Runtime
