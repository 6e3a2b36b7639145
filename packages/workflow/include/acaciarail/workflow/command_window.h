#pragma once

#include <acaciarail/core/time.h>

#include <cstddef>

namespace Acaciarail::Workflow {

struct CommandWindowSettings
{
    std::size_t initialBytes = std::size_t{32} * 1024;
    std::size_t minBytes = std::size_t{4} * 1024;
    std::size_t maxBytes = std::size_t{4} * 1024 * 1024;
    /// A response that takes longer shows that commands wait on the way; about half of a command's timeout.
    Duration targetDelay = 120ms;
    /// Interval at which losses and responses are compared; covers a command's timeout.
    Duration lossInterval = 400ms;
};

/// Congestion window of the start commands of a holder: bounds the bytes of commands that have been sent and not been answered. It grows
/// with quick responses while it is the limit, shrinks with slow ones, and is halved when most commands of an interval got no response.
/// Single workers that do not respond therefore leave it unchanged.
///
/// Answers a burst of starts on an instance with a slow link: commands that wait in the link behind others reach their timeout, and delay
/// the renewal of the holder's own lease. Not thread-safe.
class CommandWindow
{
public:
    /// \pre none.
    explicit CommandWindow(CommandWindowSettings settings);

    /// Returns whether a command may be sent now; one may always be. \pre none.
    [[nodiscard]] auto hasRoom(std::size_t bytes) -> bool;
    /// Records that a command was sent. \pre none.
    auto sent(std::size_t bytes) -> void;
    /// Records that a command was answered, or that its response has not arrived in time, \a elapsed after it was sent. \pre the command
    /// was sent.
    auto finished(std::size_t bytes, bool answered, Duration elapsed, TimePoint now) -> void;

    /// Returns the size of the window in bytes. \pre none.
    [[nodiscard]] auto size() const noexcept -> std::size_t;
    /// Returns the bytes of the commands that are in progress. \pre none.
    [[nodiscard]] auto inProgress() const noexcept -> std::size_t;

private:
    CommandWindowSettings m_settings;
    std::size_t m_size;
    std::size_t m_inProgress = 0;
    /// A command had to wait since the window grew last.
    bool m_limited = false;
    TimePoint m_intervalEnd;
    std::size_t m_answered = 0;
    std::size_t m_lost = 0;
};

} // namespace Acaciarail::Workflow
