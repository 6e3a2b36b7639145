#pragma once

#include <acaciarail/operator/command.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::CommandLine {

/// Action that the command line selects.
enum class Request {
    Run,
    Help,
    Version,
    /// The command line is invalid.
    Usage,
};

struct ParsedCommandLine
{
    Request request = Request::Usage;
    Operator::CommandOptions options;
    /// Verb whose help is requested; empty for the help of the program.
    std::optional<Operator::Verb> helpVerb;
    /// Describes the fault; set for Request::Usage.
    std::string message;
};

/// Returns the flags that every verb has. \pre none. Thread-safe.
[[nodiscard]] auto commonFlags() -> std::span<const std::string_view>;

/// Returns the flags of one verb besides the common ones. \pre none. Thread-safe.
[[nodiscard]] auto verbFlags(Operator::Verb verb) -> std::span<const std::string_view>;

/// Parses the arguments after the program name. Values are kept in the flags of the process until the next call.
/// \pre none. Not thread-safe, because the flags of a process are shared.
[[nodiscard]] auto parseCommandLine(const std::vector<std::string> &arguments) -> ParsedCommandLine;

} // namespace Acaciarail::CommandLine
