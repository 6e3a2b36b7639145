#pragma once

#include <cstdint>
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

/// Configures the process-wide logger to write to standard error.
/// \pre called once, before the first event is logged. Not thread-safe.
auto configureLogging(LogLevel minimum) -> void;

/// Rate limit of log lines (token bucket).
struct LogBudget
{
    /// Sustained rate in lines a second; a holder of 350 workers under overload writes about half of that.
    std::uint32_t linesPerSecond = 500;
    /// Lines that may be written at once after a quiet period.
    std::uint32_t burst = 2000;
};

/// Configures the process-wide logger to write to the descriptor \a fd without ever blocking. Lines beyond \a budget are dropped, and so
/// are lines that do not fit into the descriptor's buffer because its reader does not keep up. A line with the number of dropped lines
/// precedes the next line that is written. Errors are written even beyond the budget.
/// \pre called once, before the first event is logged; \a fd stays open. Not thread-safe.
auto configureBoundedLogging(LogLevel minimum, int fd, LogBudget budget) -> void;

/// Returns how many lines were dropped so far. \pre none. Thread-safe.
[[nodiscard]] auto droppedLogLines() noexcept -> std::uint64_t;

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
