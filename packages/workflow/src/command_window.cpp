#include <acaciarail/workflow/command_window.h>

#include <algorithm>

namespace Acaciarail::Workflow {

CommandWindow::CommandWindow(CommandWindowSettings settings)
    : m_settings(settings)
    , m_size(settings.initialBytes)
{
}

auto CommandWindow::hasRoom(std::size_t bytes) -> bool
{
    const bool room = m_inProgress == 0 || m_inProgress + bytes <= m_size;
    m_limited = m_limited || !room;
    return room;
}

auto CommandWindow::sent(std::size_t bytes) -> void
{
    m_inProgress += bytes;
}

auto CommandWindow::finished(std::size_t bytes, bool answered, Duration elapsed, TimePoint now) -> void
{
    m_inProgress -= std::min(bytes, m_inProgress);
    ++(answered ? m_answered : m_lost);
    if (answered && elapsed > m_settings.targetDelay) {
        m_size -= std::min(bytes / 2, m_size - std::min(m_size, m_settings.minBytes));
    } else if (answered && m_limited) {
        m_size = std::min(m_size + bytes, m_settings.maxBytes);
        m_limited = m_inProgress > 0;
    }
    if (now < m_intervalEnd) {
        return;
    }
    if (m_lost > m_answered) {
        m_size = std::max(m_size / 2, m_settings.minBytes);
    }
    m_intervalEnd = now + m_settings.lossInterval;
    m_answered = 0;
    m_lost = 0;
}

auto CommandWindow::size() const noexcept -> std::size_t
{
    return m_size;
}

auto CommandWindow::inProgress() const noexcept -> std::size_t
{
    return m_inProgress;
}

} // namespace Acaciarail::Workflow
