#include "command_line.h"

#include <acaciarail/core/shape.h>
#include <acaciarail/operator/nearest_key.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>

DEFINE_string(server, "",
              "HOST:PORT of an instance; several, separated by commas or by repeating the flag, are tried in turn. "
              "Default: the environment variable ACACIARAIL_SERVER, else 127.0.0.1:8480.");
DEFINE_string(token, "",
              "Token of the caller or operator. Default: the environment variable ACACIARAIL_TOKEN, which other users of "
              "the machine cannot see in the list of processes.");
DEFINE_string(output, "table", "Output format: table or json.");
DEFINE_uint32(timeout_ms, 10000, "Time for connecting to one instance, and for its answer.");

DEFINE_string(operator, "", "Name recorded as the operator of the change. Default: the environment variable USER.");
DEFINE_string(revision, "", "Revision of the files in their version control. Default: a digest of each file.");
DEFINE_bool(dry_run, false, "Let the deployment check the change without putting it into force.");
DEFINE_string(base, "",
              "File or directory with the documents from which the change was made; publishing is refused as a conflict "
              "when the documents of the deployment have changed since. May be repeated.");
DEFINE_string(remove, "", "Name of a document to remove; may be repeated.");

DEFINE_string(name, "", "Name of the job, unique in the organisation.");
DEFINE_string(team, "", "Team whose quota and guarantees apply.");
DEFINE_string(kind, "", "Groups jobs of similar run time for the run time estimates.");
DEFINE_uint32(tasks, 1, "Number of tasks of the gang.");
DEFINE_uint32(accelerators, 0, "Accelerators for each task.");
DEFINE_uint32(cores, 1, "Cores for each task.");
DEFINE_uint32(memory_mib, 0, "Memory for each task, in MiB.");
DEFINE_string(adjacency, "any", "How close the tasks must be: any, worker, rack or neighbouring-racks.");
DEFINE_string(priority, "normal", "urgent, normal or background.");
DEFINE_uint32(run_time_s, 0, "Expected run time, in seconds.");
DEFINE_uint32(start_within_ms, 0, "Cancel the job if it has not started within this time; 0 for no limit.");
DEFINE_bool(idempotent, true, "The job may be started again after a failure; --noidempotent for a job that runs at most once.");
DEFINE_bool(checkpointable, false, "The job can be stopped and continued from a checkpoint.");
DEFINE_string(zone, "", "Availability zone. Default: any.");

DEFINE_string(state, "", "List only jobs in this state, for example queued or finished.");

DEFINE_string(export, "", "Write the events to this file as JSON lines instead of auditing them.");
DEFINE_string(file, "", "Audit this archive instead of the deployment; the arguments after it are further archives.");
DEFINE_string(only, "", "Report only this job id or ORGANISATION/KEY of a request; may be repeated.");
DEFINE_uint32(open_age_s, 86400, "Accepted work without an outcome is a fault once it is older than this, in seconds.");
DEFINE_bool(complete, false, "The events start at the first record of the log, so work without an acceptance is a fault.");

namespace Acaciarail::CommandLine {

namespace {

using Operator::CommandOptions;
using Operator::Verb;

constexpr std::string_view defaultServer = "127.0.0.1:8480";

constexpr std::array<std::string_view, 4> commonFlagNames{"server", "token", "output", "timeout_ms"};
constexpr std::array<std::string_view, 5> publishFlagNames{"operator", "revision", "dry_run", "base", "remove"};
constexpr std::array<std::string_view, 14> submitFlagNames{
    "name",      "team",     "kind",       "tasks",           "accelerators", "cores",          "memory_mib",
    "adjacency", "priority", "run_time_s", "start_within_ms", "idempotent",   "checkpointable", "zone"};
constexpr std::array<std::string_view, 1> jobsFlagNames{"state"};
constexpr std::array<std::string_view, 5> auditFlagNames{"export", "file", "only", "open_age_s", "complete"};
/// Flags whose value is a list, to which each occurrence adds.
constexpr std::array<std::string_view, 5> listFlagNames{"server", "base", "remove", "file", "only"};

auto contains(std::span<const std::string_view> names, std::string_view name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto environment(const char *name) -> std::string
{
    // Only the main thread runs while the command line is parsed.
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? std::string() : std::string(value);
}

auto splitList(const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        if (end > start) {
            parts.push_back(text.substr(start, end - start));
        }
        start = end + 1;
    }
    return parts;
}

/// Sets the flags of the process from the arguments and collects the positional arguments.
class ArgumentParser
{
public:
    explicit ArgumentParser(const std::vector<std::string> &arguments)
        : m_arguments(arguments)
    {
    }

    auto parse() -> ParsedCommandLine
    {
        resetFlags();
        for (m_index = 0; m_index < m_arguments.size() && m_message.empty(); ++m_index) {
            parseArgument();
        }
        return result();
    }

private:
    /// Restores the defaults, so that no value of an earlier command line remains.
    static auto resetFlags() -> void
    {
        std::vector<std::string_view> names(commonFlagNames.begin(), commonFlagNames.end());
        for (std::size_t i = 0; i < Operator::verbCount; ++i) {
            const auto flags = verbFlags(static_cast<Verb>(i));
            names.insert(names.end(), flags.begin(), flags.end());
        }
        for (const auto name : names) {
            gflags::CommandLineFlagInfo info;
            if (gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &info)) {
                gflags::SetCommandLineOption(info.name.c_str(), info.default_value.c_str());
            }
        }
    }

    auto parseArgument() -> void
    {
        const auto &argument = m_arguments[m_index];
        if (m_onlyPositionals || argument.size() < 2 || argument.front() != '-') {
            parsePositional(argument);
        } else if (argument == "--") {
            m_onlyPositionals = true;
        } else if (argument == "--help" || argument == "-h") {
            m_helpRequested = true;
        } else if (argument == "--version") {
            m_versionRequested = true;
        } else {
            parseFlag(argument);
        }
    }

    auto parsePositional(const std::string &argument) -> void
    {
        if (m_verb) {
            m_positionals.push_back(argument);
            return;
        }
        if (argument == "help" && !m_helpRequested) {
            m_helpRequested = true;
            return;
        }
        m_verb = Operator::parseVerb(argument);
        if (!m_verb) {
            std::vector<std::string_view> known;
            for (std::size_t i = 0; i < Operator::verbCount; ++i) {
                known.push_back(Operator::verbName(static_cast<Verb>(i)));
            }
            m_message = "expected a command, found \"" + argument + "\"; the nearest is \""
                + std::string(Operator::nearestKey(argument, known).value_or("status")) + '"';
        }
    }

    auto parseFlag(const std::string &argument) -> void
    {
        const auto start = argument.find_first_not_of('-');
        if (start == std::string::npos) {
            m_message = "expected a flag, found \"" + argument + '"';
            return;
        }
        const auto equals = argument.find('=');
        auto name = argument.substr(start, equals == std::string::npos ? equals : equals - start);
        std::replace(name.begin(), name.end(), '-', '_');
        std::optional<std::string> value;
        if (equals != std::string::npos) {
            value = argument.substr(equals + 1);
        }
        setFlag(name, value);
    }

    auto setFlag(std::string name, std::optional<std::string> value) -> void
    {
        const auto isBool = [](const std::string &flag) {
            gflags::CommandLineFlagInfo info;
            return isKnown(flag) && gflags::GetCommandLineFlagInfo(flag.c_str(), &info) && info.type == "bool";
        };
        if (!isKnown(name) && !value && name.starts_with("no") && isBool(name.substr(2))) {
            name = name.substr(2);
            value = "false";
        }
        if (!isKnown(name)) {
            m_message = "expected a known flag, found --" + name + "; the nearest is --" + nearestFlag(name);
            return;
        }
        if (!value && isBool(name)) {
            value = "true";
        }
        if (!value && m_index + 1 < m_arguments.size()) {
            value = m_arguments[++m_index];
        }
        if (!value) {
            m_message = "expected a value after --" + name + ", found none";
            return;
        }
        m_flags.push_back(name);
        assignFlag(name, *value);
    }

    auto assignFlag(const std::string &name, const std::string &value) -> void
    {
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
            return;
        }
        const bool isAppended = contains(listFlagNames, name) && !info.is_default && !info.current_value.empty();
        const auto newValue = isAppended ? info.current_value + ',' + value : value;
        if (gflags::SetCommandLineOption(name.c_str(), newValue.c_str()).empty()) {
            m_message = "expected a value of type " + info.type + " for --" + name + ", found \"" + value + '"';
        }
    }

    static auto isKnown(std::string_view name) -> bool
    {
        if (contains(commonFlagNames, name)) {
            return true;
        }
        for (std::size_t i = 0; i < Operator::verbCount; ++i) {
            if (contains(verbFlags(static_cast<Verb>(i)), name)) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] auto nearestFlag(std::string_view name) const -> std::string
    {
        std::vector<std::string_view> known(commonFlagNames.begin(), commonFlagNames.end());
        for (std::size_t i = 0; i < Operator::verbCount; ++i) {
            const auto flags = verbFlags(static_cast<Verb>(i));
            if (!m_verb || *m_verb == static_cast<Verb>(i)) {
                known.insert(known.end(), flags.begin(), flags.end());
            }
        }
        return std::string(Operator::nearestKey(name, known).value_or("server"));
    }

    auto result() -> ParsedCommandLine
    {
        ParsedCommandLine parsed;
        if (m_helpRequested && m_message.empty()) {
            parsed.request = Request::Help;
            parsed.helpVerb = m_verb;
            return parsed;
        }
        if (m_versionRequested && m_message.empty()) {
            parsed.request = Request::Version;
            return parsed;
        }
        if (m_message.empty() && !m_verb) {
            m_message = "expected a command, found none";
        }
        checkFlagsOfVerb();
        if (m_message.empty()) {
            parsed.request = Request::Run;
            fill(parsed.options);
        }
        parsed.request = m_message.empty() ? parsed.request : Request::Usage;
        parsed.helpVerb = m_verb;
        parsed.message = m_message;
        return parsed;
    }

    auto checkFlagsOfVerb() -> void
    {
        for (const auto &it : m_flags) {
            if (m_message.empty() && !contains(commonFlagNames, it) && !contains(verbFlags(*m_verb), it)) {
                m_message = "expected a flag of `acaciarail " + std::string(Operator::verbName(*m_verb)) + "`, found --" + it
                    + "; the nearest is --" + nearestFlag(it);
            }
        }
    }

    auto fill(CommandOptions &options) -> void
    {
        options.verb = *m_verb;
        options.arguments = m_positionals;
        fillCommon(options);
        fillPublish(options.publish);
        fillJob(options.job);
        fillAudit(options);
        options.jobState = FLAGS_state;
    }

    auto fillCommon(CommandOptions &options) -> void
    {
        auto servers = FLAGS_server.empty() ? environment("ACACIARAIL_SERVER") : FLAGS_server;
        if (servers.empty()) {
            servers = defaultServer;
        }
        for (const auto &it : splitList(servers)) {
            const auto parsed = Operator::parseServer(it);
            if (!parsed.failure.detail.empty()) {
                m_message = parsed.failure.detail;
            }
            options.client.servers.push_back(parsed.server);
        }
        if (options.client.servers.empty()) {
            m_message = "expected HOST:PORT for --server, found \"" + servers + '"';
        }
        options.client.token = FLAGS_token.empty() ? environment("ACACIARAIL_TOKEN") : FLAGS_token;
        options.client.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
        if (FLAGS_timeout_ms == 0) {
            m_message = "expected at least 1 for --timeout_ms, found 0";
        }
        if (FLAGS_output != "table" && FLAGS_output != "json") {
            m_message = "expected table or json for --output, found \"" + FLAGS_output + '"';
        }
        options.output = FLAGS_output == "json" ? Operator::OutputFormat::Json : Operator::OutputFormat::Table;
    }

    static auto fillPublish(Operator::PublishOptions &publish) -> void
    {
        publish.operatorName = FLAGS_operator.empty() ? environment("USER") : FLAGS_operator;
        if (publish.operatorName.empty()) {
            publish.operatorName = "unknown";
        }
        publish.revision = FLAGS_revision;
        publish.dryRun = FLAGS_dry_run;
        publish.base = splitList(FLAGS_base);
        publish.remove = splitList(FLAGS_remove);
    }

    auto fillJob(JobSpec &job) -> void
    {
        job.name = FLAGS_name;
        job.team = TeamName(FLAGS_team);
        job.kind = FLAGS_kind;
        job.shape.tasks = FLAGS_tasks;
        job.shape.perTask = {FLAGS_accelerators, FLAGS_cores, FLAGS_memory_mib};
        job.declaredRunTime = std::chrono::seconds(FLAGS_run_time_s);
        if (FLAGS_start_within_ms > 0) {
            job.startWithin = std::chrono::milliseconds(FLAGS_start_within_ms);
        }
        job.idempotent = FLAGS_idempotent;
        job.checkpointable = FLAGS_checkpointable;
        job.zone = ZoneName(FLAGS_zone);
        const auto adjacency = parseAdjacency(FLAGS_adjacency);
        if (!adjacency) {
            m_message = "expected any, worker, rack or neighbouring-racks for --adjacency, found \"" + FLAGS_adjacency + '"';
        }
        job.shape.adjacency = adjacency.value_or(Adjacency::Any);
        const auto priority = parsePriority(FLAGS_priority);
        if (!priority) {
            m_message = "expected urgent, normal or background for --priority, found \"" + FLAGS_priority + '"';
        }
        job.priority = priority.value_or(Priority::Normal);
    }

    static auto fillAudit(CommandOptions &options) -> void
    {
        auto &audit = options.audit;
        audit.files = splitList(FLAGS_file);
        if (options.verb == Verb::Audit && !audit.files.empty()) {
            audit.files.insert(audit.files.end(), options.arguments.begin(), options.arguments.end());
            options.arguments.clear();
        }
        audit.only = splitList(FLAGS_only);
        audit.exportFile = FLAGS_export;
        audit.openAge = std::chrono::seconds(FLAGS_open_age_s);
        audit.complete = FLAGS_complete;
    }

    const std::vector<std::string> &m_arguments;
    std::size_t m_index = 0;
    std::optional<Verb> m_verb;
    std::vector<std::string> m_positionals;
    std::vector<std::string> m_flags;
    std::string m_message;
    bool m_onlyPositionals = false;
    bool m_helpRequested = false;
    bool m_versionRequested = false;
};

} // namespace

auto commonFlags() -> std::span<const std::string_view>
{
    return commonFlagNames;
}

auto verbFlags(Operator::Verb verb) -> std::span<const std::string_view>
{
    switch (verb) {
    case Verb::Publish:
        return publishFlagNames;
    case Verb::Submit:
        return submitFlagNames;
    case Verb::Jobs:
        return jobsFlagNames;
    case Verb::Audit:
        return auditFlagNames;
    default:
        return {};
    }
}

auto parseCommandLine(const std::vector<std::string> &arguments) -> ParsedCommandLine
{
    return ArgumentParser(arguments).parse();
}

} // namespace Acaciarail::CommandLine
