#include <acaciarail/core/logging.h>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace Acaciarail {

namespace {

auto isPlain(char c) noexcept -> bool
{
    constexpr std::string_view plainPunctuation = "-_./:+@,";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || plainPunctuation.find(c) != std::string_view::npos;
}

auto toLog4cxx(LogLevel level) -> log4cxx::LevelPtr
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

auto logger() -> const log4cxx::LoggerPtr &
{
    static const auto instance = log4cxx::Logger::getLogger("acaciarail");
    return instance;
}

auto makeLayout() -> log4cxx::LayoutPtr
{
    return std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n"));
}

std::atomic<std::uint64_t> dropped{0};

/// Writes log lines to a non-blocking descriptor within a rate limit, and drops and counts the others.
class BoundedAppender : public log4cxx::AppenderSkeleton
{
public:
    BoundedAppender(int fd, LogBudget budget)
        : m_layout(makeLayout())
        , m_fd(fd)
        , m_budget(budget)
        , m_tokens(budget.burst)
        , m_refilledAt(std::chrono::steady_clock::now())
    {
    }

    auto append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) -> void override
    {
        refill();
        const bool error = event->getLevel()->isGreaterOrEqual(log4cxx::Level::getError());
        if (m_tokens < 1 && !error) {
            dropLine();
            return;
        }
        log4cxx::LogString line;
        m_layout->format(line, event, pool);
        if (m_unreportedDrops > 0 && !writeLine("level=WARN event=log-lines-dropped lines=" + std::to_string(m_unreportedDrops) + '\n')) {
            dropLine();
            return;
        }
        m_unreportedDrops = 0;
        m_tokens -= 1;
        if (!writeLine(line)) {
            dropLine();
        }
    }

    auto close() -> void override
    {
    }

    auto requiresLayout() const -> bool override
    {
        return false;
    }

private:
    auto refill() -> void
    {
        const auto now = std::chrono::steady_clock::now();
        m_tokens = std::min<double>(
            m_budget.burst,
            m_tokens + std::chrono::duration<double>(now - std::exchange(m_refilledAt, now)).count() * m_budget.linesPerSecond);
    }

    auto dropLine() -> void
    {
        ++m_unreportedDrops;
        dropped.fetch_add(1, std::memory_order_relaxed);
    }

    /// Returns whether \a line was written, at least in part. When a full pipe cuts a line off, its rest is written before the next line.
    auto writeLine(const std::string &line) -> bool
    {
        if (!m_rest.empty() && !writeRest()) {
            return false;
        }
        m_rest = line;
        writeRest();
        if (m_rest.size() == line.size()) {
            m_rest.clear();
            return false;
        }
        return true;
    }

    /// Writes as much as possible of the unwritten rest of the last line; returns whether none of it remains.
    auto writeRest() -> bool
    {
        const auto n = ::write(m_fd, m_rest.data(), m_rest.size());
        if (n > 0) {
            m_rest.erase(0, static_cast<std::size_t>(n));
        }
        return m_rest.empty();
    }

    log4cxx::LayoutPtr m_layout;
    int m_fd;
    LogBudget m_budget;
    double m_tokens;
    std::chrono::steady_clock::time_point m_refilledAt;
    std::uint64_t m_unreportedDrops = 0;
    std::string m_rest;
};

} // namespace

auto configureLogging(LogLevel minimum) -> void
{
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(makeLayout(), log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(toLog4cxx(minimum));
}

auto configureBoundedLogging(LogLevel minimum, int fd, LogBudget budget) -> void
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(std::make_shared<BoundedAppender>(fd, budget));
    logger()->setLevel(toLog4cxx(minimum));
}

auto droppedLogLines() noexcept -> std::uint64_t
{
    return dropped.load(std::memory_order_relaxed);
}

auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void
{
    logEvent(level, event, fields, {});
}

auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields, std::string_view details) -> void
{
    const auto target = toLog4cxx(level);
    if (!logger()->isEnabledFor(target)) {
        return;
    }
    auto line = "event=" + quoteLogValue(event);
    for (const auto &it : fields) {
        line += ' ';
        line += it.key;
        line += '=';
        line += quoteLogValue(it.value);
    }
    if (!details.empty()) {
        line += ' ';
        line += details;
    }
    logger()->forcedLog(target, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

auto quoteLogValue(std::string_view value) -> std::string
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        return std::string(value);
    }
    constexpr std::string_view hex = "0123456789abcdef";
    std::string out = "\"";
    for (const char c : value) {
        const auto n = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (n < 0x20 || n == 0x7f) {
            out += "\\x";
            out += hex[n >> 4U];
            out += hex[n & 15U];
        } else {
            out += c;
        }
    }
    out += '"';
    return out;
}

} // namespace Acaciarail
