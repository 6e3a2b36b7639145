#pragma once

#include "json_reader.h"

#include <acaciarail/operator/command.h>
#include <acaciarail/operator/fault.h>

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace Acaciarail::Operator::Detail {

/// What every verb works with.
struct CommandContext
{
    const CommandOptions &options;
    std::ostream &out;
    std::ostream &err;

    [[nodiscard]] auto isJson() const noexcept -> bool
    {
        return options.output == OutputFormat::Json;
    }
};

/// The JSON of a successful answer, or the exit code of a failure that was already reported.
struct CallResult
{
    ExitCode exitCode = ExitCode::Ok;
    Json json;
    std::uint32_t status = 0;
};

/// Sends a call and reports any failure. An answer with a status listed in \a accepted is returned as it is.
[[nodiscard]] auto call(const CommandContext &context, const HttpCall &call, std::span<const std::uint32_t> accepted = {}) -> CallResult;

/// Reports an answer that is no success, from its problem document.
[[nodiscard]] auto reportProblem(const CommandContext &context, const HttpReply &reply) -> ExitCode;

/// Reports the end of a call without an answer. \pre reply.end is not Answered.
[[nodiscard]] auto reportNoAnswer(const CommandContext &context, const HttpReply &reply) -> ExitCode;

/// Reports a command line that cannot be carried out.
[[nodiscard]] auto reportUsage(const CommandContext &context, const std::string &message) -> ExitCode;

/// Reports faults of documents, as lines or as `{"faults":[...]}`.
[[nodiscard]] auto reportFaults(const CommandContext &context, const std::vector<Fault> &faults) -> ExitCode;

/// Writes \a json as an indented page, or as a readable list of its fields.
auto writeValue(const CommandContext &context, const Json &json) -> void;

/// Text of a field for a table cell: strings as they are, other values as JSON, nothing for a missing one.
[[nodiscard]] auto cell(const Json &json, const char *key) -> std::string;

[[nodiscard]] auto runCheck(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runPublish(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runSubmit(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runStatus(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runJobs(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runCancel(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runExplain(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runAudit(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runDrain(const CommandContext &context) -> ExitCode;
[[nodiscard]] auto runTrace(const CommandContext &context) -> ExitCode;

} // namespace Acaciarail::Operator::Detail
