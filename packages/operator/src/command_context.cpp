#include "command_context.h"

#include "printable.h"
#include "text_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

constexpr std::size_t maxMessageBytes = 1000;
constexpr std::uint32_t firstStatusOfFailure = 300;

auto isSuccess(std::uint32_t status) noexcept -> bool
{
    return status >= 200 && status < firstStatusOfFailure;
}

auto valueText(const Json &json) -> std::string
{
    return json.is_string() ? json.get<std::string>() : jsonText(json);
}

auto isArrayOfObjects(const Json &json) -> bool
{
    return json.is_array() && !json.empty() && std::all_of(json.begin(), json.end(), [](const Json &it) { return it.is_object(); });
}

auto columnsOf(const Json &rows) -> std::vector<std::string>
{
    std::vector<std::string> columns;
    for (const auto &row : rows) {
        for (const auto &[key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    return columns;
}

auto tableOf(const Json &rows) -> TextTable
{
    const auto columns = columnsOf(rows);
    std::vector<std::string> header;
    std::transform(columns.begin(), columns.end(), std::back_inserter(header), [](const std::string &it) { return printable(it); });
    TextTable table(header);
    for (const auto &row : rows) {
        std::vector<std::string> cells;
        std::transform(columns.begin(), columns.end(), std::back_inserter(cells),
                       [&row](const std::string &it) { return cell(row, it.c_str()); });
        table.addRow(std::move(cells));
    }
    return table;
}

/// Writes the fields of an object one to a line, nested objects with their names joined by dots, and lists of objects as tables.
// NOLINTNEXTLINE(misc-no-recursion)
auto writeFields(std::ostream &out, const Json &json, const std::string &prefix) -> void
{
    std::vector<std::string> lists;
    for (const auto &[key, value] : json.items()) {
        const auto name = prefix + printable(key);
        if (value.is_object() && !value.empty()) {
            writeFields(out, value, name + '.');
        } else if (isArrayOfObjects(value)) {
            lists.push_back(key);
        } else {
            out << name << ": " << printable(valueText(value), maxMessageBytes) << '\n';
        }
    }
    for (const auto &it : lists) {
        out << '\n' << prefix << printable(it) << ":\n" << tableOf(json.at(it));
    }
}

} // namespace

auto cell(const Json &json, const char *key) -> std::string
{
    if (!json.is_object() || !json.contains(key) || json.at(key).is_null()) {
        return {};
    }
    return valueText(json.at(key));
}

auto call(const CommandContext &context, const HttpCall &call, std::span<const std::uint32_t> accepted) -> CallResult
{
    HttpClient client(context.options.client);
    const auto reply = client.exchange(call);
    if (reply.end != HttpEnd::Answered) {
        return {reportNoAnswer(context, reply), {}, 0};
    }
    const bool isAccepted = std::find(accepted.begin(), accepted.end(), reply.status) != accepted.end();
    if (!isSuccess(reply.status) && !isAccepted) {
        return {reportProblem(context, reply), {}, reply.status};
    }
    if (reply.body.empty()) {
        return {ExitCode::Ok, Json::object(), reply.status};
    }
    auto json = parseJson(reply.body);
    if (!json || !json->is_object()) {
        context.err << "error: " << serverText(reply.server) << ": expected a JSON object in the answer with status " << reply.status
                    << ", found " << quotedText(reply.body) << '\n';
        return {ExitCode::Failed, {}, reply.status};
    }
    return {ExitCode::Ok, std::move(*json), reply.status};
}

auto reportProblem(const CommandContext &context, const HttpReply &reply) -> ExitCode
{
    const auto json = parseJson(reply.body);
    if (!json || !json->is_object()) {
        context.err << "error: " << serverText(reply.server) << " answered with status " << reply.status << ": "
                    << printable(reply.body, maxMessageBytes) << '\n';
        return ExitCode::Failed;
    }
    if (context.isJson()) {
        context.out << jsonPage(*json) << '\n';
    }
    const auto execution = cell(*json, "execution");
    context.err << "error: " << printable(cell(*json, "code")) << ": " << printable(cell(*json, "detail"), maxMessageBytes);
    if (!execution.empty()) {
        context.err << " (" << printable(execution) << ')';
    }
    if (const auto retryAfter = cell(*json, "retry_after_ms"); !retryAfter.empty() && retryAfter != "0") {
        context.err << "; try again after " << printable(retryAfter) << " ms";
    }
    context.err << '\n';
    return execution == executionName(Execution::Unknown) ? ExitCode::UnknownOutcome : ExitCode::Failed;
}

auto reportNoAnswer(const CommandContext &context, const HttpReply &reply) -> ExitCode
{
    if (reply.end == HttpEnd::Unreachable) {
        context.err << "error: no server answered, nothing was changed: " << printable(reply.detail, maxMessageBytes) << '\n';
        return ExitCode::Unreachable;
    }
    context.err << "error: the answer was lost, the call may have taken effect: " << serverText(reply.server) << ": "
                << printable(reply.detail, maxMessageBytes) << '\n';
    return ExitCode::UnknownOutcome;
}

auto reportUsage(const CommandContext &context, const std::string &message) -> ExitCode
{
    const auto verb = verbName(context.options.verb);
    context.err << "error: " << verb << ": " << printable(message, maxMessageBytes) << "\nSee `acaciarail help " << verb << "`.\n";
    return ExitCode::Usage;
}

auto reportFaults(const CommandContext &context, const std::vector<Fault> &faults) -> ExitCode
{
    if (context.isJson()) {
        context.out << jsonPage({{"faults", faultsToJson(faults)}}) << '\n';
        return ExitCode::CheckFaults;
    }
    for (const auto &it : faults) {
        context.err << printable(faultText(it), maxMessageBytes) << '\n';
    }
    context.err << faults.size() << (faults.size() == 1 ? " fault\n" : " faults\n");
    return ExitCode::CheckFaults;
}

auto writeValue(const CommandContext &context, const Json &json) -> void
{
    if (context.isJson()) {
        context.out << jsonPage(json) << '\n';
        return;
    }
    writeFields(context.out, json, {});
}

} // namespace Acaciarail::Operator::Detail
