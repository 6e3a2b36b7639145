#pragma once

#include <acaciarail/core/time.h>

#include <functional>
#include <memory>

struct event_base;

/// Event loop, timers, mailboxes and framed TCP connections.
namespace Acaciarail::Runtime {

/// The event loop of the process. All objects that use it are created, used and destroyed on the thread that calls run().
class EventLoop
{
public:
    /// Implementation details.
    struct State;

    /// \pre none. Throws std::system_error when the operating system refuses the loop's descriptors.
    EventLoop();
    /// \pre every object that uses the loop is destroyed; run() is not active.
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;

    /// Runs until stop() is called. A stop() that was called before run() ends the next run() at once.
    /// \pre not active on another thread.
    auto run() -> void;

    /// Runs until \a done returns true or \a limit has passed, and returns the last result of \a done.
    /// \pre not active on another thread.
    auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;

    /// Ends run(). \pre none. Thread-safe.
    auto stop() -> void;

    /// Runs \a task on the loop, after the tasks posted earlier. Tasks that remain when the loop is destroyed are dropped.
    /// \pre none. Thread-safe.
    auto post(std::function<void()> task) -> void;

    /// Runs \a task once after \a delay; a negative delay counts as zero. A task that is due after the loop is destroyed is dropped.
    /// Throws std::bad_alloc when no further timer can be added. \pre on the loop's thread.
    auto callAfter(Duration delay, std::function<void()> task) -> void;

    /// Returns the current monotonic time. \pre none. Thread-safe.
    [[nodiscard]] auto now() const noexcept -> TimePoint;

    /// Returns the libevent base, for packages that need one. \pre none. Valid during the lifetime of the loop.
    [[nodiscard]] auto base() const noexcept -> event_base *;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Runtime
