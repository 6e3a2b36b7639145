#include "command_context.h"
#include "printable.h"
#include "text_table.h"

#include <acaciarail/core/shape.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <string_view>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

auto submitBody(const JobSpec &job) -> Json
{
    const auto &shape = job.shape;
    Json body{{"name", job.name},
              {"shape",
               {{"tasks", shape.tasks},
                {"accelerators", shape.perTask.accelerators},
                {"cores", shape.perTask.cores},
                {"memory_mib", shape.perTask.memoryMiB},
                {"adjacency", adjacencyName(shape.adjacency)}}},
              {"priority", priorityName(job.priority)},
              {"run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(job.declaredRunTime).count()},
              {"idempotent", job.idempotent},
              {"checkpointable", job.checkpointable}};
    const std::array<std::pair<const char *, std::string_view>, 3> optional{
        {{"team", job.team.str()}, {"kind", job.kind}, {"zone", job.zone.str()}}};
    for (const auto &[key, value] : optional) {
        if (!value.empty()) {
            body[key] = value;
        }
    }
    if (job.startWithin) {
        body["start_within_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*job.startWithin).count();
    }
    return body;
}

auto jobPath(const std::string &id) -> std::string
{
    return "/v1/jobs/" + pathSegment(id);
}

} // namespace

auto runSubmit(const CommandContext &context) -> ExitCode
{
    const auto &job = context.options.job;
    if (!context.options.arguments.empty()) {
        return reportUsage(context, "expected flags only, found " + quotedText(context.options.arguments.front()));
    }
    if (job.name.empty()) {
        return reportUsage(context, "expected --name with the name of the job, found none");
    }
    if (job.declaredRunTime <= Duration::zero()) {
        return reportUsage(context, "expected --run_time_s with at least 1, found none");
    }
    const auto result = call(context, {HttpMethod::Post, "/v1/jobs", jsonText(submitBody(job)), false});
    if (result.exitCode == ExitCode::UnknownOutcome) {
        context.err << "`acaciarail jobs` shows whether the job " << quotedText(job.name) << " was accepted\n";
    }
    if (result.exitCode != ExitCode::Ok) {
        return result.exitCode;
    }
    if (context.isJson()) {
        context.out << jsonPage(result.json) << '\n';
    } else {
        context.out << "job " << printable(cell(result.json, "id")) << ' ' << printable(cell(result.json, "state")) << '\n';
    }
    return ExitCode::Ok;
}

auto runJobs(const CommandContext &context) -> ExitCode
{
    if (!context.options.arguments.empty()) {
        return reportUsage(context, "expected flags only, found " + quotedText(context.options.arguments.front()));
    }
    auto result = call(context, {HttpMethod::Get, "/v1/jobs", {}, true});
    if (result.exitCode != ExitCode::Ok) {
        return result.exitCode;
    }
    JsonReader reader(result.json);
    const auto *list = reader.array("jobs");
    if (list == nullptr) {
        context.err << "error: the answer to GET /v1/jobs: " << reader.faultText() << '\n';
        return ExitCode::Failed;
    }
    auto jobs = Json::array();
    const auto &state = context.options.jobState;
    std::copy_if(list->begin(), list->end(), std::back_inserter(jobs),
                 [&state](const Json &it) { return state.empty() || cell(it, "state") == state; });
    if (context.isJson()) {
        context.out << jsonPage({{"jobs", jobs}}) << '\n';
        return ExitCode::Ok;
    }
    TextTable table({"ID", "NAME", "ORGANISATION", "STATE", "ZONE", "OUTCOME", "REASON"});
    for (const auto &it : jobs) {
        table.addRow({cell(it, "id"), cell(it, "name"), cell(it, "organisation"), cell(it, "state"), cell(it, "zone"), cell(it, "outcome"),
                      cell(it, "reason")});
    }
    context.out << table << jobs.size() << (jobs.size() == 1 ? " job\n" : " jobs\n");
    return ExitCode::Ok;
}

auto runCancel(const CommandContext &context) -> ExitCode
{
    if (context.options.arguments.empty()) {
        return reportUsage(context, "expected at least one job id, found none");
    }
    auto exitCode = ExitCode::Ok;
    auto answers = Json::array();
    for (const auto &id : context.options.arguments) {
        const auto result = call(context, {HttpMethod::Delete, jobPath(id), {}, true});
        if (result.exitCode != ExitCode::Ok) {
            context.err << "job " << printable(id) << " was not cancelled\n";
            // A job whose cancellation is in doubt needs more attention than one whose cancellation was refused.
            exitCode = std::max(exitCode, result.exitCode);
            continue;
        }
        answers.push_back(result.json);
        if (!context.isJson()) {
            context.out << "job " << printable(id) << ": cancellation recorded\n";
        }
    }
    if (context.isJson() && !answers.empty()) {
        context.out << jsonPage({{"jobs", answers}}) << '\n';
    }
    return exitCode;
}

auto runExplain(const CommandContext &context) -> ExitCode
{
    if (context.options.arguments.size() != 1) {
        return reportUsage(context, "expected one job id, found " + std::to_string(context.options.arguments.size()));
    }
    const auto result = call(context, {HttpMethod::Get, jobPath(context.options.arguments.front()) + "/explain", {}, true});
    if (result.exitCode == ExitCode::Ok) {
        writeValue(context, result.json);
    }
    return result.exitCode;
}

} // namespace Acaciarail::Operator::Detail
