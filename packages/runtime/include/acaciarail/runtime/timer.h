#pragma once

#include <acaciarail/core/time.h>

#include <functional>
#include <memory>

namespace Acaciarail::Runtime {

class EventLoop;

/// Calls a hook after an interval. Destroying the timer cancels it, also from inside the hook. Not thread-safe.
class Timer
{
public:
    /// \pre \a loop outlives the timer.
    Timer(EventLoop &loop, std::function<void()> expired);
    ~Timer();
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;

    /// Calls the hook once after \a delay; an earlier start is replaced. A negative delay counts as zero. \pre none.
    auto start(Duration delay) -> void;

    /// Calls the hook every \a interval until cancelled; an earlier start is replaced. \pre \a interval is positive.
    auto startRepeating(Duration interval) -> void;

    /// \pre none.
    auto cancel() -> void;

    /// Returns whether the hook is still to be called. \pre none.
    [[nodiscard]] auto pending() const noexcept -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Runtime
