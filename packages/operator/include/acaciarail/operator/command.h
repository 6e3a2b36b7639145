#pragma once

#include <acaciarail/core/job.h>
#include <acaciarail/operator/http_client.h>

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Operator {

/// Exit codes of the command line client; they are part of its interface.
enum class ExitCode {
    Ok = 0,
    /// The server refused or failed.
    Failed = 1,
    Usage = 2,
    /// Documents have faults.
    CheckFaults = 3,
    /// Another change of the same document came first.
    Conflict = 4,
    /// No server could be reached; nothing was done.
    Unreachable = 5,
    /// The audit found a fault.
    AuditFault = 6,
    /// The call may or may not have taken effect.
    UnknownOutcome = 7,
};

enum class Verb {
    Check,
    Publish,
    Submit,
    Status,
    Jobs,
    Cancel,
    Explain,
    Audit,
    Drain,
    Trace,
};

inline constexpr std::size_t verbCount = 10;

/// Returns the verb as it is typed, for example `publish`. \pre none. Thread-safe.
[[nodiscard]] auto verbName(Verb verb) noexcept -> std::string_view;

/// Parses a verb; empty for any other text. \pre none. Thread-safe.
[[nodiscard]] auto parseVerb(std::string_view text) noexcept -> std::optional<Verb>;

enum class OutputFormat {
    Table,
    Json,
};

struct PublishOptions
{
    std::string operatorName;
    /// Revision of the files in their version control; empty to record a digest of each file instead.
    std::string revision;
    bool dryRun = false;
    /// Files or directories with the documents from which the change was made; empty to replace whatever is in force.
    std::vector<std::string> base;
    /// Names of documents to remove.
    std::vector<std::string> remove;
};

struct AuditCommandOptions
{
    /// Archives to audit instead of the deployment.
    std::vector<std::string> files;
    /// Reports only these job ids, `ORGANISATION/KEY` of requests, or subjects; empty for all.
    std::vector<std::string> only;
    /// Archive to write; empty for none.
    std::string exportFile;
    std::chrono::milliseconds openAge = std::chrono::hours(24);
    bool complete = false;
};

/// A parsed command line.
struct CommandOptions
{
    Verb verb = Verb::Status;
    /// Arguments after the verb that are not flags.
    std::vector<std::string> arguments;
    HttpClientSettings client;
    OutputFormat output = OutputFormat::Table;
    PublishOptions publish;
    /// Job to submit; organisation and caller are known to the server from the token.
    JobSpec job;
    AuditCommandOptions audit;
    /// Lists only jobs in this state; empty for all.
    std::string jobState;
};

/// Runs one command. Results go to \a out, messages about failures to \a err.
/// \pre options come from a parsed command line. Thread-safe for distinct streams.
[[nodiscard]] auto runCommand(const CommandOptions &options, std::ostream &out, std::ostream &err) -> ExitCode;

} // namespace Acaciarail::Operator
