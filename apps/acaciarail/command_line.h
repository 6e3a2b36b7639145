#pragma once

#include <acaciarail/operator/command.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::CommandLine {

/// What the command line asks for.
enum class Request {
    Run,
    Help,
    Version,
    /// The command line has a fault.
    Usage,
};

struct ParsedCommandLine
{
    Request request = Request::Usage;
    Operator::CommandOptions options;
    /// Verb whose help is asked for; empty for the help of the program.
    std::optional<Operator::Verb> helpVerb;
    /// What is wrong, for Request::Usage.
    std::string message;
};

/// Flags that every verb has. \pre none. Thread-safe.
[[nodiscard]] auto commonFlags() -> std::span<const std::string_view>;

/// Flags of one verb besides the common ones. \pre none. Thread-safe.
[[nodiscard]] auto verbFlags(Operator::Verb verb) -> std::span<const std::string_view>;

/// Parses the arguments after the program name. Values are kept in the flags of the process until the next call.
/// \pre none. Not thread-safe, because the flags of a process are shared.
[[nodiscard]] auto parseCommandLine(const std::vector<std::string> &arguments) -> ParsedCommandLine;

} // namespace Acaciarail::CommandLine
