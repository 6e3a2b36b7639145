#pragma once

#include <acaciarail/runtime/event_loop.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace Acaciarail::Runtime {

/// Messages that a mailbox holds before it refuses more.
inline constexpr std::size_t defaultMailboxCapacity = 65536;

/// Queue of messages of one type that are handed to a handler on the loop, in the order in which they were sent.
/// Messages that remain when the mailbox is destroyed are dropped.
template<typename Message>
class Mailbox
{
public:
    /// \pre \a loop outlives the mailbox. Created and destroyed on the loop's thread.
    Mailbox(EventLoop &loop, std::function<void(Message)> handler, std::size_t capacity = defaultMailboxCapacity)
        : m_loop(loop)
        , m_state(std::make_shared<State>(std::move(handler), capacity))
    {
    }
    ~Mailbox()
    {
        m_state->handler = nullptr;
    }
    Mailbox(const Mailbox &) = delete;
    auto operator=(const Mailbox &) -> Mailbox & = delete;

    /// Queues \a message for delivery; returns false when the mailbox is full. The handler is never called from inside send().
    /// \pre the mailbox exists. Thread-safe.
    [[nodiscard]] auto send(Message message) -> bool
    {
        if (m_state->queued.fetch_add(1) >= m_state->capacity) {
            m_state->queued.fetch_sub(1);
            return false;
        }
        m_loop.post([state = m_state, item = std::make_shared<Message>(std::move(message))] {
            state->queued.fetch_sub(1);
            // The handler may destroy the mailbox, so a copy of it is called.
            if (const auto handler = state->handler) {
                handler(std::move(*item));
            }
        });
        return true;
    }

private:
    struct State
    {
        State(std::function<void(Message)> h, std::size_t n)
            : handler(std::move(h))
            , capacity(n)
        {
        }
        std::function<void(Message)> handler;
        const std::size_t capacity;
        std::atomic<std::size_t> queued = 0;
    };

    EventLoop &m_loop;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Runtime
