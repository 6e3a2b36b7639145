#include "command_line.h"
#include "help.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace Acaciarail;

constexpr std::string_view version = "0.1.0";

auto run(const std::vector<std::string> &arguments) -> Operator::ExitCode
{
    const auto parsed = CommandLine::parseCommandLine(arguments);
    switch (parsed.request) {
    case CommandLine::Request::Help:
        std::cout << (parsed.helpVerb ? CommandLine::verbHelp(*parsed.helpVerb) : CommandLine::programHelp());
        return Operator::ExitCode::Ok;
    case CommandLine::Request::Version:
        std::cout << "acaciarail " << version << '\n';
        return Operator::ExitCode::Ok;
    case CommandLine::Request::Run:
        return Operator::runCommand(parsed.options, std::cout, std::cerr);
    case CommandLine::Request::Usage:
        break;
    }
    const auto verb = parsed.helpVerb ? ' ' + std::string(Operator::verbName(*parsed.helpVerb)) : std::string();
    std::cerr << "error: " << parsed.message << "\nSee `acaciarail help" << verb << "`.\n";
    return Operator::ExitCode::Usage;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    // Writing to a connection that the server closed, or to a closed pipe, must fail with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto exitCode = run(std::vector<std::string>(argv + 1, argv + argc));
        std::cout.flush();
        if (!std::cout) {
            std::cerr << "error: the result cannot be written\n";
            return static_cast<int>(Operator::ExitCode::Failed);
        }
        return static_cast<int>(exitCode);
    } catch (const std::exception &e) {
        std::cerr << "error: " << e.what() << '\n';
        return static_cast<int>(Operator::ExitCode::Failed);
    }
}
