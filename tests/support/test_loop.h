#pragma once

#include <acaciarail/runtime/event_loop.h>

#include <functional>

/// Event loop of a test.
class Loop
{
public:
    [[nodiscard]] auto base() const noexcept -> event_base *
    {
        return m_loop.base();
    }

    /// Runs the loop until \a condition holds. Returns false after a timeout that no passing test reaches.
    [[nodiscard]] auto runUntil(const std::function<bool()> &condition) -> bool
    {
        constexpr Acaciarail::Duration timeout = std::chrono::seconds(60);
        return m_loop.runUntil(condition, timeout);
    }

private:
    Acaciarail::Runtime::EventLoop m_loop;
};
