#include <acaciarail/core/logging.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>

namespace Acaciarail {

namespace {

auto isPlain(char c) noexcept -> bool
{
    constexpr std::string_view extra = "-_./:+@,";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || extra.find(c) != std::string_view::npos;
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

} // namespace

auto configureLogging(LogLevel minimum, LogOutput output) -> void
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, output == LogOutput::StandardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(toLog4cxx(minimum));
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
