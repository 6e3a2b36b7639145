#include "command_context.h"
#include "printable.h"
#include "text_table.h"

#include <acaciarail/operator/audit.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iterator>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

constexpr std::size_t maxDetailBytes = 1000;

struct ReadEvents
{
    ExitCode exitCode = ExitCode::Ok;
    std::vector<AuditEvent> events;
};

auto readArchive(const CommandContext &context, const std::string &file, std::vector<AuditEvent> &events) -> ExitCode
{
    std::ifstream in(file, std::ios::binary);
    if (!in.is_open()) {
        context.err << "error: " << printable(file) << ": expected a file that can be read\n";
        return ExitCode::Failed;
    }
    auto exitCode = ExitCode::Ok;
    std::string line;
    for (std::uint64_t number = 1; std::getline(in, line); ++number) {
        if (line.empty()) {
            continue;
        }
        auto read = auditEventFromLine(line);
        if (read.event) {
            events.push_back(std::move(*read.event));
        } else {
            context.err << "error: " << printable(file) << ':' << number << ": " << printable(read.failure.detail, maxDetailBytes) << '\n';
            exitCode = ExitCode::Failed;
        }
    }
    return exitCode;
}

auto readArchives(const CommandContext &context) -> ReadEvents
{
    ReadEvents result;
    for (const auto &file : context.options.audit.files) {
        const auto exitCode = readArchive(context, file, result.events);
        result.exitCode = exitCode == ExitCode::Ok ? result.exitCode : exitCode;
    }
    return result;
}

auto refuseAnswer(const CommandContext &context, const std::string &detail) -> ExitCode
{
    context.err << "error: the answer to GET /v1/audit: " << printable(detail, maxDetailBytes) << '\n';
    return ExitCode::Failed;
}

auto readEvents(const CommandContext &context, const Json &list, std::vector<AuditEvent> &events) -> ExitCode
{
    auto exitCode = ExitCode::Ok;
    for (std::size_t i = 0; i < list.size(); ++i) {
        auto event = auditEventFromJson(list.at(i));
        if (event.event) {
            events.push_back(std::move(*event.event));
        } else {
            exitCode = refuseAnswer(context, "event " + std::to_string(i) + ": " + event.failure.detail);
        }
    }
    return exitCode;
}

/// One part of the events of a server.
struct EventPart
{
    ExitCode exitCode = ExitCode::Ok;
    /// Offset of the rest; 0 when there is none.
    std::uint64_t next = 0;
};

auto readPart(const CommandContext &context, std::uint64_t from, std::vector<AuditEvent> &events) -> EventPart
{
    const auto path = "/v1/audit" + (from == 0 ? std::string() : "?from=" + std::to_string(from));
    const auto result = call(context, {HttpMethod::Get, path, {}, true});
    if (result.exitCode != ExitCode::Ok) {
        return {result.exitCode, 0};
    }
    JsonReader reader(result.json);
    const auto *list = reader.array("events");
    const auto next = reader.has("next") ? reader.integer("next") : 0;
    if (list == nullptr || !reader.faultText().empty()) {
        return {refuseAnswer(context, reader.faultText()), 0};
    }
    if (next != 0 && next <= from) {
        return {refuseAnswer(context, "expected \"next\" above " + std::to_string(from) + ", found " + std::to_string(next)), 0};
    }
    return {readEvents(context, *list, events), next};
}

/// Reads all events. A server that does not return them all at once states the offset of the rest in `next`.
auto readServer(const CommandContext &context) -> ReadEvents
{
    ReadEvents read;
    EventPart part;
    do {
        part = readPart(context, part.next, read.events);
    } while (part.exitCode == ExitCode::Ok && part.next != 0);
    read.exitCode = part.exitCode;
    return read;
}

/// Writes to a file next to the archive first, so that an interrupted export leaves no incomplete archive under its name.
auto exportEvents(const CommandContext &context, const std::vector<AuditEvent> &events) -> ExitCode
{
    const auto &file = context.options.audit.exportFile;
    const auto partial = file + ".part";
    std::ofstream out(partial, std::ios::binary | std::ios::trunc);
    for (const auto &it : events) {
        out << auditEventToLine(it) << '\n';
    }
    out.close();
    if (!out || std::rename(partial.c_str(), file.c_str()) != 0) {
        std::remove(partial.c_str());
        context.err << "error: " << printable(file) << ": expected a file that can be written\n";
        return ExitCode::Failed;
    }
    context.out << "exported " << events.size() << " events to " << printable(file) << '\n';
    return ExitCode::Ok;
}

auto timeText(const std::optional<AuditTime> &time) -> std::string
{
    if (!time) {
        return "unknown time";
    }
    const auto seconds = std::chrono::floor<std::chrono::seconds>(*time);
    const std::time_t t = std::chrono::system_clock::to_time_t(seconds);
    std::tm parts{};
    std::array<char, 64> buf{};
    if (gmtime_r(&t, &parts) == nullptr || std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts) == 0) {
        return std::to_string(time->time_since_epoch().count()) + " ms";
    }
    const auto milliseconds = std::to_string(1000 + (*time - seconds).count()).substr(1);
    return std::string(buf.data()) + '.' + milliseconds + 'Z';
}

auto originText(const RuleOrigin &rule) -> std::string
{
    return rule.originFile + " revision " + rule.originRevision + " by " + rule.operatorName.str() + ", " + rule.document + " version "
        + std::to_string(rule.documentVersion);
}

auto ruleJson(const RuleOrigin &rule) -> Json
{
    return {{"rule", rule.rule},
            {"document", rule.document},
            {"version", rule.documentVersion},
            {"origin_file", rule.originFile},
            {"origin_revision", rule.originRevision},
            {"operator", rule.operatorName.str()},
            {"offset", rule.offset},
            {"in_force", rule.inForce}};
}

auto pathJson(const AuditPath &path) -> Json
{
    auto steps = Json::array();
    for (const auto &it : path.steps) {
        Json step{{"offset", it.offset}, {"description", it.description}};
        if (it.at) {
            step["at_ms"] = it.at->time_since_epoch().count();
        }
        steps.push_back(std::move(step));
    }
    auto rules = Json::array();
    std::transform(path.rules.begin(), path.rules.end(), std::back_inserter(rules), ruleJson);
    return {{"subject", path.subject},
            {"organisation", path.organisation.str()},
            {"state", path.state == AuditState::Open ? "open" : "finished"},
            {"outcome", path.outcome},
            {"steps", std::move(steps)},
            {"rules", std::move(rules)}};
}

auto reportJson(const AuditReport &report) -> Json
{
    auto paths = Json::array();
    std::transform(report.paths.begin(), report.paths.end(), std::back_inserter(paths), pathJson);
    auto faults = Json::array();
    for (const auto &it : report.faults) {
        faults.push_back({{"kind", auditFaultName(it.kind)}, {"subject", it.subject}, {"detail", it.detail}});
    }
    auto rules = Json::array();
    std::transform(report.rules.begin(), report.rules.end(), std::back_inserter(rules), ruleJson);
    return {{"events", report.events},
            {"repeated_events", report.repeatedEvents},
            {"paths", std::move(paths)},
            {"faults", std::move(faults)},
            {"rules", std::move(rules)}};
}

auto writePath(std::ostream &out, const AuditPath &path) -> void
{
    out << printable(path.subject) << ": " << (path.state == AuditState::Open ? "open" : printable(path.outcome)) << '\n';
    for (const auto &it : path.steps) {
        out << "  " << it.offset << "  " << timeText(it.at) << "  " << printable(it.description, maxDetailBytes) << '\n';
    }
    for (const auto &it : path.rules) {
        out << "  rule " << printable(it.rule) << ": " << printable(originText(it), maxDetailBytes) << '\n';
    }
}

auto writeReport(std::ostream &out, const AuditReport &report) -> void
{
    for (const auto &it : report.paths) {
        writePath(out, it);
    }
    out << "\nrules in force:\n";
    TextTable rules({"RULE", "FILE", "REVISION", "OPERATOR", "DOCUMENT", "VERSION"});
    for (const auto &it : report.rules) {
        if (it.inForce) {
            rules.addRow(
                {it.rule, it.originFile, it.originRevision, it.operatorName.str(), it.document, std::to_string(it.documentVersion)});
        }
    }
    out << rules << '\n';
    for (const auto &it : report.faults) {
        out << "fault " << auditFaultName(it.kind) << ": " << printable(it.subject) << ": " << printable(it.detail, maxDetailBytes) << '\n';
    }
    const auto open =
        std::count_if(report.paths.begin(), report.paths.end(), [](const AuditPath &it) { return it.state == AuditState::Open; });
    out << report.events << " events, " << report.paths.size() << " jobs and requests, " << open << " open, " << report.faults.size()
        << " faults\n";
}

/// Keeps only the paths and faults of the given job ids, order keys or subjects.
auto keepSubjects(AuditReport &report, const std::vector<std::string> &wanted) -> void
{
    const auto isWanted = [&wanted](const std::string &subject) {
        return std::any_of(wanted.begin(), wanted.end(), [&subject](const std::string &it) {
            return subject == it || subject == "job " + it || subject == "order " + it;
        });
    };
    std::erase_if(report.paths, [&isWanted](const AuditPath &it) { return !isWanted(it.subject); });
    std::erase_if(report.faults, [&isWanted](const AuditFault &it) { return !isWanted(it.subject); });
}

} // namespace

auto runAudit(const CommandContext &context) -> ExitCode
{
    const auto &options = context.options.audit;
    if (!context.options.arguments.empty()) {
        return reportUsage(context, "expected flags only, found " + quotedText(context.options.arguments.front()));
    }
    auto read = options.files.empty() ? readServer(context) : readArchives(context);
    // An incomplete set of events would make a sound deployment look faulty, and a faulty one sound.
    if (read.exitCode != ExitCode::Ok) {
        return read.exitCode;
    }
    if (!options.exportFile.empty()) {
        return exportEvents(context, read.events);
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto report = audit(read.events, {now, options.openAge, options.complete});
    if (!options.only.empty()) {
        keepSubjects(report, options.only);
        if (report.paths.empty()) {
            context.err << "error: expected events of " << printable(options.only.front()) << ", found none\n";
            return ExitCode::Failed;
        }
    }
    if (context.isJson()) {
        context.out << jsonPage(reportJson(report)) << '\n';
    } else {
        writeReport(context.out, report);
    }
    return report.faults.empty() ? ExitCode::Ok : ExitCode::AuditFault;
}

} // namespace Acaciarail::Operator::Detail
