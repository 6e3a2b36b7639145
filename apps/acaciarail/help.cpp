#include "help.h"

#include "command_line.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <span>
#include <string_view>
#include <vector>

namespace Acaciarail::CommandLine {

namespace {

using Operator::Verb;

struct VerbHelp
{
    std::string_view arguments;
    std::string_view summary;
    std::string_view description;
    std::string_view example;
};

/// In the order of Verb.
constexpr std::array<VerbHelp, Operator::verbCount> verbHelps{{
    {"PATH...", "Check configuration documents without a server.",
     "Checks the given files and the *.acaciarail.toml files in and below the given directories. All faults of all files are reported, "
     "each "
     "with file, line, column, the expected and the found value. Exit code 3 when there are faults.",
     "acaciarail check examples/moreton-bay"},
    {"PATH...", "Check and publish configuration documents.",
     "Collects the documents like `check`, fetches the versions that the deployment has now, and publishes those that differ as one "
     "change: "
     "either all of them come into force or none. The change records its operator, and the file and revision of each document. When "
     "another operator published one of the documents first, nothing is published and the winner is named (exit code 4); with --base also "
     "when that happened before this command began. Documents that "
     "the deployment has and PATH has not are left alone; --remove removes them.",
     "acaciarail publish examples/hartwell --server 127.0.0.1:8480 --operator alice --revision r1842"},
    {"", "Submit a job.",
     "Submits one job and prints its id once it is accepted. When the answer is lost, the outcome is unknown (exit code 7) and `acaciarail "
     "jobs` shows whether the job was accepted.",
     "acaciarail submit --name retouch-7 --team design --tasks 2 --accelerators 8 --cores 16 --memory_mib 65536 \\\n"
     "      --adjacency rack --run_time_s 3600 --checkpointable"},
    {"", "Show the state of an instance and its zone.", "Shows the instance that answers, the shards, the log and the configuration.",
     "acaciarail status --server 127.0.0.1:8480,127.0.0.1:8481"},
    {"", "List jobs.", "Lists the jobs of the caller's organisation; an operator sees those of all organisations.",
     "acaciarail jobs --state queued"},
    {"ID...", "Cancel jobs.", "Records a cancellation for each job. A job that finishes first keeps its outcome.",
     "acaciarail cancel job-17"},
    {"ID", "Explain the state of a job.",
     "Shows the decision about a job: what it waits for, which guarantee or quota applies, and what has happened to it.",
     "acaciarail explain job-17 --output json"},
    {"", "Audit accepted work from acceptance to outcome.",
     "Shows for each job and each non-idempotent request the path from acceptance to outcome, and for each rule the file, revision and "
     "operator that it comes from. Work without an outcome, with several outcomes, or run repeatedly although it is not idempotent is a "
     "fault (exit code 6). The log keeps its records for a limited time: export the events regularly and audit the archives together; "
     "events "
     "that occur in several archives count once.",
     "acaciarail audit --export monday.jsonl\n"
     "  acaciarail audit --file monday.jsonl tuesday.jsonl --complete"},
    {"", "Shut down one instance gracefully.",
     "Lets the instance at --server finish its requests, hand over its shards and take no new work. Needs exactly one --server.",
     "acaciarail drain --server 127.0.0.1:8481"},
    {"ID", "Show the spans of a trace.",
     "Collects the spans of one trace id from all given servers, since each instance keeps only its own, and shows them as a tree.",
     "acaciarail trace 4bf92f3577b34da6a3ce929d0e0e4736 --server 127.0.0.1:8480 --server 127.0.0.1:8481"},
}};

constexpr std::string_view exitCodes = R"(Exit codes:
  0  success
  1  failure reported by the server, or a file that cannot be read or written
  2  fault in the command line
  3  faults in configuration documents
  4  conflict: another operator published first
  5  no server answered; nothing was changed
  6  the audit found a fault
  7  unknown outcome: the call may or may not have taken effect
)";

constexpr std::size_t lineWidth = 100;

/// Breaks \a text between words and indents every line but the first.
auto wrapped(std::string_view text, std::size_t indent) -> std::string
{
    std::string out;
    std::size_t column = indent;
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        const auto word = text.substr(0, end);
        if (column > indent && column + 1 + word.size() > lineWidth) {
            out += '\n' + std::string(indent, ' ');
            column = indent;
        } else if (column > indent) {
            out += ' ';
            ++column;
        }
        out += word;
        column += word.size();
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

auto flagsText(std::span<const std::string_view> names) -> std::string
{
    constexpr std::size_t indent = 22;
    std::string out;
    for (const auto name : names) {
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &info)) {
            continue;
        }
        auto line = "  --" + info.name;
        line.resize(std::max(indent, line.size() + 1), ' ');
        const bool hasDefault = info.type != "string" && info.type != "bool" && info.default_value != "0";
        out += line + wrapped(info.description + (hasDefault ? " Default: " + info.default_value + '.' : ""), indent) + '\n';
    }
    return out;
}

} // namespace

auto programHelp() -> std::string
{
    constexpr std::size_t indent = 12;
    std::string out =
        "Usage: acaciarail COMMAND [ARGUMENTS] [FLAGS]\n\nClient for operators and callers of an acaciarail deployment.\n\nCommands:\n";
    for (std::size_t i = 0; i < verbHelps.size(); ++i) {
        auto line = "  " + std::string(Operator::verbName(static_cast<Verb>(i)));
        line.resize(indent, ' ');
        out += line + std::string(verbHelps.at(i).summary) + '\n';
    }
    out += "\n`acaciarail help COMMAND` shows the arguments, flags and an example of a command.\n\nFlags of every command:\n";
    out += flagsText(commonFlags());
    out += "\nExample:\n  acaciarail check examples/hartwell\n\n";
    return out + std::string(exitCodes);
}

auto verbHelp(Operator::Verb verb) -> std::string
{
    const auto &help = verbHelps.at(static_cast<std::size_t>(verb));
    const auto name = std::string(Operator::verbName(verb));
    const auto arguments = help.arguments.empty() ? std::string() : ' ' + std::string(help.arguments);
    std::string out = "Usage: acaciarail " + name + arguments + " [FLAGS]\n\n" + wrapped(help.description, 0) + "\n\n";
    if (const auto flags = verbFlags(verb); !flags.empty()) {
        out += "Flags of this command:\n" + flagsText(flags) + '\n';
    }
    out += "Flags of every command:\n" + flagsText(commonFlags());
    return out + "\nExample:\n  " + std::string(help.example) + "\n\n" + std::string(exitCodes);
}

} // namespace Acaciarail::CommandLine
