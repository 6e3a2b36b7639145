#pragma once

#include <functional>
#include <memory>

namespace Acaciarail::Runtime {

class EventLoop;

/// Calls a hook on the loop when the process receives a signal. Not thread-safe.
class SignalWatcher
{
public:
    /// \pre \a loop outlives the watcher; no other loop of the process watches signals.
    SignalWatcher(EventLoop &loop, int signal, std::function<void()> received);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    auto operator=(const SignalWatcher &) -> SignalWatcher & = delete;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Runtime
