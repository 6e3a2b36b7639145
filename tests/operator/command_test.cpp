#include "http_stand_in.h"

#include <acaciarail/operator/audit.h>
#include <acaciarail/operator/command.h>
#include <acaciarail/operator/document.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <string>

#include <unistd.h>

using namespace Acaciarail;
using namespace Acaciarail::Operator;
using Json = nlohmann::json;
namespace data = boost::unit_test::data;
namespace fs = std::filesystem;

namespace Acaciarail::Operator {

static auto operator<<(std::ostream &out, ExitCode code) -> std::ostream &
{
    return out << static_cast<int>(code);
}

} // namespace Acaciarail::Operator

namespace {

/// A directory that is removed at the end of the test.
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        auto pattern = (fs::temp_directory_path() / "acaciarail-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    ~TemporaryDirectory()
    {
        std::error_code ignored;
        fs::remove_all(m_path, ignored);
    }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    auto operator=(const TemporaryDirectory &) -> TemporaryDirectory & = delete;

    [[nodiscard]] auto path(const std::string &name) const -> std::string
    {
        return (m_path / name).string();
    }
    auto write(const std::string &name, const std::string &text) const -> void
    {
        fs::create_directories(fs::path(path(name)).parent_path());
        std::ofstream(path(name), std::ios::binary) << text;
    }

private:
    fs::path m_path;
};

struct CommandResult
{
    ExitCode exitCode = ExitCode::Ok;
    std::string out;
    std::string err;
};

auto run(const CommandOptions &options) -> CommandResult
{
    std::ostringstream out;
    std::ostringstream err;
    const auto exitCode = runCommand(options, out, err);
    return {exitCode, out.str(), err.str()};
}

auto optionsFor(Verb verb, const std::vector<std::uint16_t> &ports, std::vector<std::string> arguments = {}) -> CommandOptions
{
    CommandOptions options;
    options.verb = verb;
    options.arguments = std::move(arguments);
    for (const auto it : ports) {
        options.client.servers.push_back({"127.0.0.1", it});
    }
    options.client.token = "test-operator";
    // Long enough that a busy machine does not decide the outcome.
    options.client.timeout = std::chrono::seconds(60);
    options.publish.operatorName = "alice";
    return options;
}

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

const std::string serviceText = "[[service]]\nname = \"retake\"\n";

auto currentConfig(std::uint64_t version, const std::string &text) -> std::string
{
    return Json{{"version", version},
                {"documents", Json::array({{{"name", "retake.acaciarail.toml"}, {"version", version}, {"text", text}}})}}
        .dump();
}

/// Answers GET /v1/config with \a config and POST /v1/config with \a published.
auto configServer(const std::string &config, const StandInAnswer &published) -> HttpStandIn::Handler
{
    return [config, published](const StandInRequest &request) {
        return request.method == "GET" ? StandInAnswer{200, config, false} : published;
    };
}

struct PublishCase
{
    std::string title;
    std::string config;
    StandInAnswer answer;
    ExitCode exitCode;
    std::string message;
    std::size_t calls;

    friend auto operator<<(std::ostream &out, const PublishCase &c) -> std::ostream &
    {
        return out << c.title;
    }
};

const std::string noConfig = R"({"version":0,"documents":[]})";
const std::string conflict = R"({"code":"config-conflict","execution":"not-run","detail":"d",
    "winner":{"operator":"bob","origin_file":"b/retake.acaciarail.toml","origin_revision":"r9","version":12}})";
const std::string invalid = R"({"code":"config-invalid","execution":"not-run","detail":"d",
    "faults":[{"file":"retake.acaciarail.toml","line":2,"column":8,"expected":"x","found":"y"}]})";

const PublishCase publishCases[] = {
    {"published",
     noConfig,
     {200, R"({"version":3,"documents":[{"name":"retake.acaciarail.toml","version":3}]})", false},
     ExitCode::Ok,
     "published version 3",
     2},
    {"nothing to publish", currentConfig(5, serviceText), {500, "", false}, ExitCode::Ok, "nothing to publish, 1 unchanged", 1},
    {"a lost race",
     currentConfig(5, "old"),
     {409, conflict, false},
     ExitCode::Conflict,
     "operator bob published first: file b/retake.acaciarail.toml, revision r9, version 12",
     2},
    {"faults that only the deployment finds", noConfig, {422, invalid, false}, ExitCode::CheckFaults, ":2:8: expected x, found y", 2},
    {"refused",
     noConfig,
     {403, R"({"code":"forbidden","execution":"not-run","detail":"not an operator"})", false},
     ExitCode::Failed,
     "error: forbidden: not an operator (not-run)",
     2},
    {"outcome unknown by the server",
     currentConfig(5, "old"),
     {504, R"({"code":"outcome-unknown","execution":"unknown","detail":"d"})", false},
     ExitCode::UnknownOutcome,
     "not known whether the change was published",
     3},
    {"answer lost", currentConfig(5, "old"), {200, "", true}, ExitCode::UnknownOutcome, "not known whether the change was published", 3},
    {"no JSON", noConfig, {200, "hello", false}, ExitCode::Failed, "expected a JSON object", 2},
    {"current versions unreadable", R"({"documents":[{"name":"x"}]})", {200, "", false}, ExitCode::Failed, "field \"version\"", 1},
};

/// Answer to one call, and how the client reports it.
struct AnswerCase
{
    Verb verb;
    std::vector<std::string> arguments;
    StandInAnswer answer;
    ExitCode exitCode;
    std::string call;
    std::string message;

    friend auto operator<<(std::ostream &out, const AnswerCase &c) -> std::ostream &
    {
        return out << verbName(c.verb) << ' ' << static_cast<int>(c.exitCode) << ' ' << c.message;
    }
};

const std::string unknownProblem =
    R"({"code":"outcome-unknown","execution":"unknown","detail":"job-7 may be accepted","retry_after_ms":250})";
const std::string hostileJob = R"({"jobs":[{"id":"j","name":"\u001b[2Jx\u009b","state":"accepted"}]})";

const AnswerCase answerCases[] = {
    {Verb::Status,
     {},
     {200, R"({"instance":"e1","shards":[{"zone":"z","shard":0}],"log":{"next":7}})", false},
     ExitCode::Ok,
     "GET /v1/status",
     "instance: e1\nlog.next: 7\n\nshards:\nshard  zone\n0      z\n"},
    {Verb::Status, {}, {200, "[]", false}, ExitCode::Failed, "GET /v1/status", "expected a JSON object"},
    {Verb::Status, {}, {500, "oops\x1b", false}, ExitCode::Failed, "GET /v1/status", "status 500: oops\\x1b"},
    {Verb::Submit, {}, {201, R"({"id":"job-7","state":"accepted"})", false}, ExitCode::Ok, "POST /v1/jobs", "job job-7 accepted"},
    {Verb::Submit, {}, {504, unknownProblem, false}, ExitCode::UnknownOutcome, "POST /v1/jobs", "try again after 250 ms"},
    {Verb::Submit, {}, {201, "", true}, ExitCode::UnknownOutcome, "POST /v1/jobs", "may have taken effect"},
    {Verb::Submit,
     {},
     {503, R"({"code":"log-unavailable","execution":"not-run","detail":"d"})", false},
     ExitCode::Failed,
     "POST /v1/jobs",
     "log-unavailable"},
    {Verb::Jobs, {}, {200, hostileJob, false}, ExitCode::Ok, "GET /v1/jobs", "\\x1b[2Jx\\xc2\\x9b"},
    {Verb::Jobs, {}, {200, "{}", false}, ExitCode::Failed, "GET /v1/jobs", "field \"jobs\""},
    {Verb::Cancel, {"a/b c"}, {202, "{}", false}, ExitCode::Ok, "DELETE /v1/jobs/a%2Fb%20c", "job a/b c: cancellation recorded"},
    {Verb::Cancel,
     {"x"},
     {404, R"({"code":"unknown-job","execution":"not-run","detail":"no job x"})", false},
     ExitCode::Failed,
     "DELETE /v1/jobs/x",
     "unknown-job: no job x"},
    {Verb::Cancel, {"x"}, {200, "", true}, ExitCode::UnknownOutcome, "DELETE /v1/jobs/x", "may have taken effect"},
    {Verb::Explain,
     {"j"},
     {200, R"({"state":"queued","waits_for":"quota"})", false},
     ExitCode::Ok,
     "GET /v1/jobs/j/explain",
     "waits_for: quota"},
    {Verb::Explain, {"j"}, {200, "", true}, ExitCode::Unreachable, "GET /v1/jobs/j/explain", "nothing was changed"},
    {Verb::Drain, {}, {200, "{}", false}, ExitCode::Ok, "POST /v1/drain", "is draining"},
    {Verb::Audit, {}, {200, R"({"events":[]})", false}, ExitCode::Ok, "GET /v1/audit", "0 events, 0 jobs and requests, 0 open, 0 faults"},
    {Verb::Audit, {}, {200, R"({"events":[{"type":"x"}]})", false}, ExitCode::Failed, "GET /v1/audit", "event 0: field \"type\""},
};

struct UsageCase
{
    Verb verb;
    std::vector<std::string> arguments;

    friend auto operator<<(std::ostream &out, const UsageCase &c) -> std::ostream &
    {
        return out << verbName(c.verb) << ' ' << c.arguments.size();
    }
};

const UsageCase usageCases[] = {{Verb::Check, {}},    {Verb::Publish, {}},   {Verb::Cancel, {}},       {Verb::Explain, {}},
                                {Verb::Trace, {}},    {Verb::Status, {"x"}}, {Verb::Jobs, {"x"}},      {Verb::Submit, {"x"}},
                                {Verb::Audit, {"x"}}, {Verb::Drain, {"x"}},  {Verb::Trace, {"x", "y"}}};

auto submitJob(CommandOptions &options) -> void
{
    options.job.name = "n";
    options.job.declaredRunTime = std::chrono::seconds(60);
    options.job.shape = {2, {8, 4, 1024}, Adjacency::Rack};
}

} // namespace

// Guards against exit codes and messages that do not tell what happened to a publication.
BOOST_DATA_TEST_CASE(publishReportsWhatHappened, data::make(publishCases), c)
{
    const TemporaryDirectory directory;
    directory.write("retake.acaciarail.toml", serviceText);
    HttpStandIn server(configServer(c.config, c.answer));
    const auto result = run(optionsFor(Verb::Publish, {server.port()}, {directory.path("")}));
    BOOST_TEST(result.exitCode == c.exitCode);
    BOOST_TEST(contains(result.out + result.err, c.message), result.out + result.err);
    BOOST_TEST(server.calls().size() == c.calls);
}

// Guards against a change that is based on the wrong version, or that loses its origin.
BOOST_AUTO_TEST_CASE(publishSendsVersionsAndOrigin)
{
    const TemporaryDirectory directory;
    directory.write("sub/retake.acaciarail.toml", serviceText);
    directory.write("new.acaciarail.toml", "[deployment.shards]\nz = 2\n");
    HttpStandIn server(configServer(currentConfig(5, "old"), {200, R"({"version":6,"documents":[]})", false}));
    auto options = optionsFor(Verb::Publish, {server.port()}, {directory.path("")});
    options.publish.revision = "r7";
    BOOST_TEST(run(options).exitCode == ExitCode::Ok);
    const auto request = server.requests().at(1);
    BOOST_TEST(request.authorization == "Bearer test-operator");
    const auto body = Json::parse(request.body);
    BOOST_TEST(body.at("operator") == "alice");
    BOOST_TEST(body.at("dry_run") == false);
    const auto &documents = body.at("documents");
    BOOST_REQUIRE(documents.size() == 2U);
    BOOST_TEST(documents[0].at("name") == "new.acaciarail.toml");
    BOOST_TEST(documents[0].at("base_version") == 0);
    BOOST_TEST(documents[1].at("base_version") == 5);
    BOOST_TEST(documents[1].at("text") == serviceText);
    BOOST_TEST(documents[1].at("origin_file") == directory.path("sub/retake.acaciarail.toml"));
    BOOST_TEST(documents[1].at("origin_revision") == "r7");
}

// Guards against a lost answer that is reported as a failure although the change is in force.
BOOST_AUTO_TEST_CASE(publishReadsBackAfterALostAnswer)
{
    const TemporaryDirectory directory;
    directory.write("retake.acaciarail.toml", serviceText);
    bool isPublished = false;
    HttpStandIn server([&isPublished](const StandInRequest &request) {
        if (request.method == "POST") {
            isPublished = true;
            return StandInAnswer{200, "", true};
        }
        return StandInAnswer{200, isPublished ? currentConfig(6, serviceText) : currentConfig(5, "old"), false};
    });
    const auto result = run(optionsFor(Verb::Publish, {server.port()}, {directory.path("")}));
    BOOST_TEST(result.exitCode == ExitCode::Ok, result.err);
    BOOST_TEST(contains(result.out, "in force"));
}

// Guards against replacing a change that the operator has not seen.
BOOST_AUTO_TEST_CASE(publishRefusesToReplaceAnUnseenChange)
{
    const TemporaryDirectory directory;
    directory.write("mine/retake.acaciarail.toml", serviceText);
    directory.write("base/retake.acaciarail.toml", "old");
    const auto current = [](const std::string &text) {
        const Json document{{"name", "retake.acaciarail.toml"}, {"version", 8}, {"text", text}, {"operator", "bob"}, {"origin_file", "b/f"},
                            {"origin_revision", "r9"}};
        return Json{{"version", 8}, {"documents", Json::array({document})}}.dump();
    };
    const StandInAnswer published{200, R"({"version":9,"documents":[]})", false};
    HttpStandIn changed(configServer(current("changed by bob"), published));
    auto options = optionsFor(Verb::Publish, {changed.port()}, {directory.path("mine")});
    options.publish.base = {directory.path("base")};
    const auto result = run(options);
    BOOST_TEST(result.exitCode == ExitCode::Conflict);
    BOOST_TEST(contains(result.err, "operator bob published first: file b/f, revision r9, version 8"), result.err);
    BOOST_TEST(changed.calls().size() == 1U);

    HttpStandIn unchanged(configServer(current("old"), published));
    options.client.servers = {{"127.0.0.1", unchanged.port()}};
    BOOST_TEST(run(options).exitCode == ExitCode::Ok);
}

// Guards against removals that do not name the version they are based on, and against removing what is not there.
BOOST_AUTO_TEST_CASE(publishRemovesDocuments)
{
    HttpStandIn server(configServer(currentConfig(5, serviceText), {200, R"({"version":6,"documents":[]})", false}));
    auto options = optionsFor(Verb::Publish, {server.port()});
    options.publish.remove = {"retake.acaciarail.toml", "other.acaciarail.toml"};
    BOOST_TEST(run(options).exitCode == ExitCode::Ok);
    const auto documents = Json::parse(server.requests().at(1).body).at("documents");
    BOOST_REQUIRE(documents.size() == 1U);
    BOOST_TEST(documents[0].at("base_version") == 5);
    BOOST_TEST(documents[0].at("text") == "");
}

// Guards against faulty documents that reach the deployment, and against faults that are not all named with their files.
BOOST_AUTO_TEST_CASE(faultyDocumentsAreNotPublished)
{
    const TemporaryDirectory directory;
    directory.write("a.acaciarail.toml", "[[service]]\nnam = 1\n");
    directory.write("sub/b.acaciarail.toml", "[[service]\n");
    directory.write("sub/empty.acaciarail.toml", "");
    directory.write("sub/ignored.toml", "not a document");
    HttpStandIn server(configServer(noConfig, {200, "{}", false}));
    for (const auto verb : {Verb::Check, Verb::Publish}) {
        const auto result = run(optionsFor(verb, {server.port()}, {directory.path("")}));
        BOOST_TEST(result.exitCode == ExitCode::CheckFaults);
        BOOST_TEST(contains(result.err, "a.acaciarail.toml:1:1: expected the key \"name\""), result.err);
        BOOST_TEST(contains(result.err, "a.acaciarail.toml:2:1: expected a key of [[service]]"), result.err);
        BOOST_TEST(contains(result.err, directory.path("sub/b.acaciarail.toml") + ":1:1: expected a key"), result.err);
        BOOST_TEST(contains(result.err, "at least one rule"), result.err);
        BOOST_TEST(contains(result.err, "4 faults"), result.err);
    }
    BOOST_TEST(server.calls().empty());
}

// Guards against a check that passes because it looked at no document.
BOOST_AUTO_TEST_CASE(checkingNothingIsAFault)
{
    const TemporaryDirectory directory;
    BOOST_TEST(run(optionsFor(Verb::Check, {1}, {directory.path("")})).exitCode == ExitCode::CheckFaults);
    BOOST_TEST(run(optionsFor(Verb::Check, {1}, {directory.path("missing")})).exitCode == ExitCode::CheckFaults);
    auto json = optionsFor(Verb::Check, {1}, {directory.path("missing")});
    json.output = OutputFormat::Json;
    BOOST_TEST(Json::parse(run(json).out).at("faults").size() == 1U);
}

// Guards against the two example deployments no longer passing the check that their READMEs show.
BOOST_DATA_TEST_CASE(examplesPassTheCheck, data::make({"/hartwell", "/moreton-bay"}), directory)
{
    const auto result = run(optionsFor(Verb::Check, {1}, {std::string(ACACIARAIL_EXAMPLES) + directory}));
    BOOST_TEST(result.exitCode == ExitCode::Ok, result.err);
}

// Guards against answers that are misreported, and against text of a server that reaches the terminal unescaped.
BOOST_DATA_TEST_CASE(answersAreReported, data::make(answerCases), c)
{
    HttpStandIn server([&c](const StandInRequest &) { return c.answer; });
    auto options = optionsFor(c.verb, {server.port()}, c.arguments);
    submitJob(options);
    const auto result = run(options);
    BOOST_TEST(result.exitCode == c.exitCode);
    BOOST_TEST(contains(result.out + result.err, c.message), result.out + result.err);
    BOOST_REQUIRE(server.calls().size() == 1U);
    BOOST_TEST(server.calls().front() == c.call);
}

// Guards against commands that are sent although their arguments make no sense.
BOOST_DATA_TEST_CASE(faultyArgumentsAreUsageErrors, data::make(usageCases), c)
{
    const SilentPort refusing(SilentPort::Mode::Refusing);
    auto options = optionsFor(c.verb, {refusing.port()}, c.arguments);
    submitJob(options);
    BOOST_TEST(run(options).exitCode == ExitCode::Usage);
}

// Guards against a job description that loses a field on its way.
BOOST_AUTO_TEST_CASE(submitSendsTheWholeJob)
{
    HttpStandIn server([](const StandInRequest &) { return StandInAnswer{201, R"({"id":"j","state":"accepted"})", false}; });
    auto options = optionsFor(Verb::Submit, {server.port()});
    submitJob(options);
    options.job.team = TeamName("t");
    options.job.kind = "k";
    options.job.zone = ZoneName("z");
    options.job.priority = Priority::Urgent;
    options.job.idempotent = false;
    options.job.startWithin = std::chrono::milliseconds(1200);
    BOOST_TEST(run(options).exitCode == ExitCode::Ok);
    const auto shape = Json{{"tasks", 2}, {"accelerators", 8}, {"cores", 4}, {"memory_mib", 1024}, {"adjacency", "rack"}};
    const auto expected = Json{{"name", "n"},          {"team", "t"},
                               {"kind", "k"},          {"shape", shape},
                               {"run_time_ms", 60000}, {"priority", "urgent"},
                               {"idempotent", false},  {"checkpointable", false},
                               {"zone", "z"},          {"start_within_ms", 1200}};
    BOOST_TEST(Json::parse(server.requests().at(0).body) == expected);
}

// Guards against a client that gives up, or repeats a call that may have taken effect, when one instance is in trouble.
BOOST_AUTO_TEST_CASE(nextServerIsTriedOnlyWhenThatIsSafe)
{
    const SilentPort refusing(SilentPort::Mode::Refusing);
    const SilentPort silent(SilentPort::Mode::Silent);
    HttpStandIn draining([](const StandInRequest &) {
        return StandInAnswer{503, R"({"code":"draining","execution":"not-run","detail":"leaving"})", false};
    });
    HttpStandIn sound([](const StandInRequest &) { return StandInAnswer{200, R"({"id":"j","state":"accepted"})", false}; });
    auto submit = optionsFor(Verb::Submit, {refusing.port(), draining.port(), sound.port()});
    submitJob(submit);
    BOOST_TEST(run(submit).exitCode == ExitCode::Ok);

    submit = optionsFor(Verb::Submit, {silent.port(), sound.port()});
    submit.client.timeout = std::chrono::milliseconds(100);
    submitJob(submit);
    BOOST_TEST(run(submit).exitCode == ExitCode::UnknownOutcome);
    BOOST_TEST(sound.calls().size() == 1U);

    HttpStandIn losing([](const StandInRequest &) { return StandInAnswer{200, "", true}; });
    BOOST_TEST(run(optionsFor(Verb::Status, {losing.port(), sound.port()})).exitCode == ExitCode::Ok);

    auto cancel = optionsFor(Verb::Cancel, {silent.port(), refusing.port()}, {"j"});
    cancel.client.timeout = std::chrono::milliseconds(100);
    BOOST_TEST(run(cancel).exitCode == ExitCode::UnknownOutcome);

    const auto refused = run(optionsFor(Verb::Status, {draining.port(), refusing.port()}));
    BOOST_TEST(refused.exitCode == ExitCode::Failed);
    BOOST_TEST(contains(refused.err, "draining"));

    BOOST_TEST(run(optionsFor(Verb::Status, {refusing.port()})).exitCode == ExitCode::Unreachable);
    BOOST_TEST(run(optionsFor(Verb::Drain, {sound.port(), draining.port()})).exitCode == ExitCode::Usage);
}

// Guards against a token that adds a header of its own.
BOOST_AUTO_TEST_CASE(tokenCannotAddHeaders)
{
    HttpStandIn server([](const StandInRequest &) { return StandInAnswer{200, "{}", false}; });
    auto options = optionsFor(Verb::Status, {server.port()});
    options.client.token = "a\r\nX-Other: b";
    BOOST_TEST(run(options).exitCode != ExitCode::Ok);
    BOOST_TEST(server.calls().empty());
}

// Guards against archives that do not give the audit that the deployment itself gives.
BOOST_AUTO_TEST_CASE(exportedEventsAuditTheSame)
{
    const TemporaryDirectory directory;
    const AuditTime time{std::chrono::hours(1)};
    const AuditEvent acceptedEvent{1, "r1", time,
                                   AuditJobAccepted{JobId("j"), "n", OrganisationName("o"), CallerName("c"), ZoneName("z"), true}};
    const AuditEvent finishedEvent{2, "r2", time, AuditJobFinished{JobId("j"), JobOutcome::Succeeded, JobReason::None}};
    const AuditEvent forgotten{3, "r3", time,
                               AuditJobAccepted{JobId("k"), "m", OrganisationName("o"), CallerName("c"), ZoneName("z"), true}};
    HttpStandIn server([&](const StandInRequest &) {
        return StandInAnswer{
            200, Json{{"events", {auditEventToJson(acceptedEvent), auditEventToJson(finishedEvent), auditEventToJson(forgotten)}}}.dump(),
            false};
    });
    auto options = optionsFor(Verb::Audit, {server.port()});
    const auto direct = run(options);
    BOOST_TEST(direct.exitCode == ExitCode::AuditFault);
    BOOST_TEST(contains(direct.out, "fault no-outcome: job k"), direct.out);

    options.audit.exportFile = directory.path("a.jsonl");
    BOOST_TEST(run(options).exitCode == ExitCode::Ok);
    auto archived = optionsFor(Verb::Audit, {1});
    archived.audit.files = {directory.path("a.jsonl"), directory.path("a.jsonl")};
    const auto fromFiles = run(archived);
    BOOST_TEST(fromFiles.exitCode == ExitCode::AuditFault);
    BOOST_TEST(contains(fromFiles.out, "3 events, 2 jobs and requests, 1 open, 1 faults"), fromFiles.out);

    archived.audit.only = {"j"};
    BOOST_TEST(run(archived).exitCode == ExitCode::Ok);
    archived.audit.only = {"missing"};
    BOOST_TEST(run(archived).exitCode == ExitCode::Failed);
    directory.write("damaged.jsonl", auditEventToLine(acceptedEvent) + "\n{\"type\":\n");
    archived.audit.files = {directory.path("damaged.jsonl")};
    const auto damaged = run(archived);
    BOOST_TEST(damaged.exitCode == ExitCode::Failed);
    BOOST_TEST(contains(damaged.err, "damaged.jsonl:2:"), damaged.err);
}

// Guards against an audit that judges only the first part of the events, or that asks for parts for ever.
BOOST_AUTO_TEST_CASE(auditReadsAllParts)
{
    const auto event = [](LogOffset offset, AuditBody body) {
        return auditEventToJson({offset, "", AuditTime(std::chrono::hours(1)), std::move(body)});
    };
    const auto first = event(1, AuditJobAccepted{JobId("j"), "n", OrganisationName("o"), CallerName("c"), ZoneName("z"), true});
    const auto second = event(7, AuditJobFinished{JobId("j"), JobOutcome::Succeeded, JobReason::None});
    HttpStandIn server([&](const StandInRequest &request) {
        const auto json =
            request.path == "/v1/audit" ? Json{{"events", Json::array({first})}, {"next", 7}} : Json{{"events", Json::array({second})}};
        return StandInAnswer{200, json.dump(), false};
    });
    const auto result = run(optionsFor(Verb::Audit, {server.port()}));
    BOOST_TEST(result.exitCode == ExitCode::Ok, result.out + result.err);
    BOOST_TEST(server.calls().back() == "GET /v1/audit?from=7");

    HttpStandIn endless([](const StandInRequest &) { return StandInAnswer{200, R"({"events":[],"next":3})", false}; });
    BOOST_TEST(run(optionsFor(Verb::Audit, {endless.port()})).exitCode == ExitCode::Failed);
    BOOST_TEST(endless.calls().size() == 2U);
}

// Guards against an answer that makes the client throw or crash.
RC_BOOST_PROP(arbitraryAnswersNeverThrow, ())
{
    static const std::vector<std::string> keys{"jobs",      "events", "documents",  "spans",   "winner",    "faults",
                                               "version",   "name",   "text",       "detail",  "line",      "next",
                                               "execution", "type",   "attributes", "span_id", "parent_id", "id"};
    static const std::vector<std::string> scalars{"1", "-1", "null", "\"x\"", "true", "1.5", "{}", "[]", "[[]]", "18446744073709551615"};
    const auto anyObject = [] {
        std::string text = "{\"" + *rc::gen::elementOf(keys) + "\":" + *rc::gen::elementOf(scalars);
        for (auto n = *rc::gen::inRange(0, 4); n > 0; --n) {
            text += ",\"" + *rc::gen::elementOf(keys) + "\":" + *rc::gen::elementOf(scalars);
        }
        return text + '}';
    };
    const auto inner = anyObject();
    const auto list = *rc::gen::elementOf(keys);
    const std::vector<std::string> bodies{inner, "{\"" + list + "\":[" + inner + ",3]}", "{\"" + list + "\":" + inner + '}', inner + '{'};
    const auto body = *rc::gen::elementOf(bodies);
    const auto status = *rc::gen::element(200, 201, 204, 301, 404, 409, 422, 503);
    const TemporaryDirectory directory;
    directory.write("retake.acaciarail.toml", serviceText);
    HttpStandIn server([&](const StandInRequest &request) {
        const bool isConfig = request.method == "GET" && request.path == "/v1/config" && status != 200;
        return isConfig ? StandInAnswer{200, noConfig, false} : StandInAnswer{status, body, false};
    });
    for (std::size_t i = 0; i < verbCount; ++i) {
        const auto verb = static_cast<Verb>(i);
        const bool isPath = verb == Verb::Check || verb == Verb::Publish;
        const bool isId = verb == Verb::Cancel || verb == Verb::Explain || verb == Verb::Trace;
        auto options = optionsFor(verb, {server.port()});
        options.arguments = isPath ? std::vector{directory.path("")} : isId ? std::vector<std::string>{"x"} : std::vector<std::string>{};
        options.output = *rc::gen::element(OutputFormat::Table, OutputFormat::Json);
        submitJob(options);
        RC_ASSERT(run(options).exitCode != ExitCode::Usage);
    }
}

// Guards against a trace that misses the spans of other instances, or that never ends because spans refer to each other.
BOOST_AUTO_TEST_CASE(traceJoinsTheSpansOfAllInstances)
{
    const auto span = [](const char *id, const char *parent, const char *spanName, int start) {
        return Json{{"trace_id", "t"},   {"span_id", id},    {"parent_id", parent},       {"name", spanName},
                    {"start_us", start}, {"duration_us", 5}, {"attributes", {{"k", "v"}}}};
    };
    HttpStandIn first([&](const StandInRequest &) {
        return StandInAnswer{200, Json{{"spans", {span("b", "a", "endpoint", 2), span("a", "", "caller", 1)}}}.dump(), false};
    });
    HttpStandIn second([&](const StandInRequest &) {
        return StandInAnswer{
            200,
            Json{{"spans", {span("c", "b", "worker", 1), span("a", "", "caller", 1), span("x", "y", "l", 1), span("y", "x", "m", 1)}}}
                .dump(),
            false};
    });
    const SilentPort refusing(SilentPort::Mode::Refusing);
    const auto result = run(optionsFor(Verb::Trace, {first.port(), refusing.port(), second.port()}, {"t"}));
    BOOST_TEST(result.exitCode == ExitCode::Ok);
    BOOST_TEST(contains(result.out, "caller  5 us  k=v\n  endpoint  5 us  k=v\n    worker  5 us  k=v\n"), result.out);
    BOOST_TEST(contains(result.err, "its spans are missing"), result.err);
    BOOST_TEST(run(optionsFor(Verb::Trace, {refusing.port()}, {"t"})).exitCode == ExitCode::Unreachable);
}
