#pragma once

#include <acaciarail/operator/command.h>

#include <string>

namespace Acaciarail::CommandLine {

/// Returns the help of the program: commands, common flags, exit codes. \pre none. Thread-safe.
[[nodiscard]] auto programHelp() -> std::string;

/// Returns the help of one command with its flags and an example. \pre none. Thread-safe.
[[nodiscard]] auto verbHelp(Operator::Verb verb) -> std::string;

} // namespace Acaciarail::CommandLine
