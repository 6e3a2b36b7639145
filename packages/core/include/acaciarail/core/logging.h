#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace Acaciarail {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One key and value of a log line.
struct LogField
{
    std::string_view key;
    std::string value;

    LogField(std::string_view k, std::string_view v)
        : key(k)
        , value(v)
    {
    }
    LogField(std::string_view k, const char *v)
        : key(k)
        , value(v)
    {
    }
    template<typename T>
    requires std::is_arithmetic_v<T> LogField(std::string_view k, T v)
        : key(k)
        , value(std::to_string(v))
    {
    }
};

enum class LogOutput {
    StandardError,
    StandardOutput,
};

/// Configures the process-wide logger.
/// \pre called once, before the first event is logged. Not thread-safe.
auto configureLogging(LogLevel minimum, LogOutput output = LogOutput::StandardError) -> void;

/// Writes one line `event=NAME key=value ...`.
/// \pre none. Thread-safe.
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void;

/// Writes such a line with \a details, already `key=value` pairs, at its end.
/// \pre \a details holds no line break. Thread-safe.
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields, std::string_view details) -> void;

/// Returns \a value unchanged when it is a plain word, and quoted with escapes otherwise,
/// so that no input can end the line or forge another field.
/// \pre none. Thread-safe.
[[nodiscard]] auto quoteLogValue(std::string_view value) -> std::string;

} // namespace Acaciarail
