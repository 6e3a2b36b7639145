#include <acaciarail/caller/job_json.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <ostream>
#include <random>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Caller;
namespace data = boost::unit_test::data;

namespace {

const std::string minimal = R"({"name":"a","run_time_ms":1000,"shape":{"tasks":2,"accelerators":1}})";

/// A valid job withMember one member added.
auto withMember(const std::string &member) -> std::string
{
    return R"({"name":"a","run_time_ms":1000,"shape":{"tasks":2,"accelerators":1},)" + member + "}";
}

auto withRunTime(const std::string &value) -> std::string
{
    return R"({"name":"a","shape":{"tasks":2,"accelerators":1},"run_time_ms":)" + value + "}";
}

auto withTasks(const std::string &value) -> std::string
{
    return R"({"name":"a","run_time_ms":1000,"shape":{"accelerators":1,"tasks":)" + value + "}}";
}

struct FaultCase
{
    std::string name;
    std::string body;
    std::string field;
    std::string found;

    friend auto operator<<(std::ostream &out, const FaultCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const FaultCase faultCases[] = {
    {"empty", "", "body", "syntax error"},
    {"not json", "name=a", "body", "syntax error"},
    {"truncated", minimal.substr(0, 30), "body", "syntax error"},
    {"surplus", minimal + "x", "body", "syntax error"},
    {"second document", minimal + minimal, "body", "syntax error"},
    {"comment", "/**/" + minimal, "body", "syntax error"},
    {"not utf-8", withMember("\"team\":\"\xff\""), "body", "syntax error"},
    {"array", "[]", "body", "an array"},
    {"number", "5", "body", "5"},
    {"null", "null", "body", "null"},
    {"deep", std::string(1000, '['), "body", "more"},
    {"deep object", withMember(R"("team":)" + std::string(1000, '[') + std::string(1000, ']')), "body", "more"},
    {"number beyond double", withRunTime("1e999"), "body", "out of range"},
    {"no name", R"({"run_time_ms":1000,"shape":{"tasks":2,"accelerators":1}})", "name", "none"},
    {"no run time", R"({"name":"a","shape":{"tasks":2,"accelerators":1}})", "run_time_ms", "none"},
    {"no shape", R"({"name":"a","run_time_ms":1000})", "shape", "none"},
    {"no tasks", R"({"name":"a","run_time_ms":1000,"shape":{"accelerators":1}})", "shape.tasks", "none"},
    {"shape of another type", R"({"name":"a","run_time_ms":1000,"shape":[2]})", "shape", "an array"},
    {"unknown field", withMember(R"("priorty":"urgent")"), "the nearest is priority", "unknown"},
    {"unknown field of the shape", R"({"name":"a","run_time_ms":1000,"shape":{"tasks":2,"gpus":1}})", "shape.'gpus'", "unknown"},
    {"organisation is not for callers", withMember(R"("organisation":"other")"), "'organisation'", "unknown"},
    {"duplicate field", withMember(R"("name":"b")"), "'name'", "several"},
    {"duplicate by escape", withMember(R"("\u006eame":"b")"), "'name'", "several"},
    {"duplicate in shape", R"({"name":"a","run_time_ms":1000,"shape":{"tasks":2,"tasks":3,"accelerators":1}})", "'tasks'", "several"},
    {"zero tasks", withTasks("0"), "shape.tasks", "found 0"},
    {"negative tasks", withTasks("-1"), "shape.tasks", "found -1"},
    {"negative zero as text", withTasks("\"-0\""), "shape.tasks", "'-0'"},
    {"too many tasks", withTasks("1025"), "from 1 to 1024", "found 1025"},
    {"32-bit overflow", withTasks("4294967297"), "shape.tasks", "found 4294967297"},
    {"64-bit overflow", withTasks("18446744073709551617"), "shape.tasks", "found 1.8446744073709552e+19"},
    {"fraction", withTasks("1.5"), "shape.tasks", "found 1.5"},
    {"whole as fraction", withTasks("2.0"), "shape.tasks", "found 2.0"},
    {"exponent", withTasks("1e2"), "shape.tasks", "found 100.0"},
    {"number as text", withTasks("\"2\""), "shape.tasks", "'2'"},
    {"null number", withTasks("null"), "shape.tasks", "null"},
    {"flag as number", withTasks("true"), "shape.tasks", "true"},
    {"huge memory", R"({"name":"a","run_time_ms":1000,"shape":{"tasks":1,"memory_mib":4294967296}})", "shape.memory_mib", "4294967296"},
    {"no resources", R"({"name":"a","run_time_ms":1000,"shape":{"tasks":1}})", "resources", "none"},
    {"too many accelerators", R"({"name":"a","run_time_ms":1000,"shape":{"tasks":1,"accelerators":4294967295}})", "accelerators",
     "4294967295"},
    {"unknown adjacency", R"({"name":"a","run_time_ms":1000,"shape":{"tasks":1,"cores":1,"adjacency":"near"}})", "shape.adjacency",
     "'near'"},
    {"zero run time", withRunTime("0"), "run_time_ms", "found 0"},
    {"negative run time", withRunTime("-1000"), "run_time_ms", "found -1000"},
    {"huge run time", withRunTime("7776000001"), "run_time_ms", "7776000001"},
    {"run time overflow", withRunTime("9223372036854775807"), "run_time_ms", "9223372036854775807"},
    {"zero start", withMember(R"("start_within_ms":0)"), "start_within_ms", "found 0"},
    {"null start", withMember(R"("start_within_ms":null)"), "start_within_ms", "null"},
    {"unknown priority", withMember(R"("priority":"high")"), "urgent, normal or background", "'high'"},
    {"flag as text", withMember(R"("idempotent":"false")"), "idempotent", "'false'"},
    {"flag as number of another", withMember(R"("checkpointable":1)"), "checkpointable", "found 1"},
    {"empty name", R"({"name":"","run_time_ms":1000,"shape":{"tasks":2,"accelerators":1}})", "name", "''"},
    {"name of another type", R"({"name":{},"run_time_ms":1000,"shape":{"tasks":2,"accelerators":1}})", "name", "an object"},
    {"line end in text", withMember(R"("kind":"a\nb")"), "kind", "'a?b'"},
    {"nul in text", withMember(R"("zone":"a\u0000b")"), "zone", "'a?b'"},
    {"long text", withMember(R"("team":")" + std::string(200, 't') + "\""), "team", "..."},
};

} // namespace

// Guards against invalid descriptions that are accepted, or refused without naming the field, what was expected and what was found.
BOOST_DATA_TEST_CASE(faultyJobsAreNamed, data::make(faultCases), c)
{
    const auto parsed = parseJobSpec(c.body);
    const auto *failure = std::get_if<Failure>(&parsed);
    BOOST_TEST_REQUIRE(failure);
    BOOST_TEST((failure->execution == Execution::NotRun));
    BOOST_TEST(failure->detail.find("expected") != std::string::npos, failure->detail);
    BOOST_TEST(failure->detail.find(c.field) != std::string::npos, failure->detail);
    BOOST_TEST(failure->detail.find(c.found) != std::string::npos, failure->detail);
    BOOST_TEST(failure->detail.size() < 400U);
}

// Guards against a body near the size limit that takes very long to parse or overflows the stack.
BOOST_DATA_TEST_CASE(largeBodiesAreRefused,
                     data::make({std::string(1'000'000, '['), "{\"a\":" + std::string(1'000'000, '9') + "}",
                                 "\"" + std::string(1'000'000, 'x'), R"({"name":")" + std::string(1'000'000, 'x') + "\"}"}),
                     body)
{
    const auto parsed = parseJobSpec(body);
    BOOST_TEST_REQUIRE(std::holds_alternative<Failure>(parsed));
    BOOST_TEST(std::get<Failure>(parsed).detail.size() < 400U);
}

// Guards against changed defaults, which would change the jobs that existing callers submit.
BOOST_AUTO_TEST_CASE(defaultsAreStable)
{
    const auto parsed = parseJobSpec(minimal);
    BOOST_TEST_REQUIRE(std::holds_alternative<JobSpec>(parsed));
    const auto &spec = std::get<JobSpec>(parsed);
    BOOST_TEST((spec.shape == Shape{2, {1, 0, 0}, Adjacency::Any}));
    BOOST_TEST((spec.priority == Priority::Normal));
    BOOST_TEST((spec.declaredRunTime == Duration(1s)));
    BOOST_TEST(!spec.startWithin);
    BOOST_TEST(spec.idempotent);
    BOOST_TEST(!spec.checkpointable);
    BOOST_TEST(spec.team.empty());
    BOOST_TEST(spec.zone.empty());
}

// Guards against members that are lost between the body and the document that the caller reads back.
BOOST_AUTO_TEST_CASE(allMembersAreReadAndRendered)
{
    const std::string body = R"({"name":"retouch 7","team":"prints","kind":"class-retouch","priority":"urgent","run_time_ms":90000,
        "start_within_ms":1200,"idempotent":false,"checkpointable":true,"zone":"bne-a",
        "shape":{"tasks":16,"accelerators":1,"cores":4,"memory_mib":8192,"adjacency":"neighbouring-racks"}})";
    const auto parsed = parseJobSpec(body);
    BOOST_TEST_REQUIRE(std::holds_alternative<JobSpec>(parsed));
    JobDocument document;
    document.job = {JobId("job-1"), std::get<JobSpec>(parsed), ZoneName("bne-a")};
    document.job.spec.organisation = OrganisationName("hartwell");
    document.job.spec.caller = CallerName("line\n\xff");
    document.phase = JobPhase::Finished;
    document.attempt = 2;
    document.members = {{WorkerName("w-1"), 8}, {WorkerName("w-2"), 8}};
    document.outcome = JobOutcome::Lost;
    document.reason = JobReason::WorkerLost;
    document.detail = "worker w-1 was lost";

    auto rendered = nlohmann::json::parse(renderJob(document));
    const auto sent = nlohmann::json::parse(body);
    for (const auto &[key, value] : sent.items()) {
        BOOST_TEST((rendered[key] == value), key);
    }
    BOOST_TEST(rendered["id"] == "job-1");
    BOOST_TEST(rendered["state"] == "finished");
    BOOST_TEST(rendered["outcome"] == "lost");
    BOOST_TEST(rendered["reason"] == "worker-lost");
    BOOST_TEST(rendered["attempt"] == 2);
    BOOST_TEST(rendered["organisation"] == "hartwell");
    BOOST_TEST(rendered["workers"].size() == 2U);
    BOOST_TEST(rendered["workers"][1]["worker"] == "w-2");

    document.outcome.reset();
    document.phase = JobPhase::Queued;
    BOOST_TEST(!nlohmann::json::parse(renderJob(document)).contains("outcome"));
    BOOST_TEST(nlohmann::json::parse(renderJobs({document, document}))["jobs"].size() == 2U);
    BOOST_TEST(nlohmann::json::parse(renderJobs({}))["jobs"].is_array());
}

// Guards against input that makes the parser throw, or accept a job that the scheduler would refuse. The seed is the parameter.
BOOST_DATA_TEST_CASE(mutatedJobsAreRefusedOrValid, data::xrange(1, 6), seed)
{
    constexpr int rounds = 5000;
    const std::string whole = R"({"name":"a","team":"b","priority":"urgent","run_time_ms":1000,"start_within_ms":5,"idempotent":true,)"
                              R"("shape":{"tasks":2,"accelerators":1,"memory_mib":16,"adjacency":"rack"}})";
    const std::string alphabet = "{}[]\",:-+.eE0123456789tfnul\\u \n\x80\xff";
    std::mt19937 engine(static_cast<std::mt19937::result_type>(seed));
    const auto pick = [&engine](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(engine); };
    int accepted = 0;
    for (int i = 0; i < rounds; ++i) {
        auto body = whole;
        for (auto n = 1 + pick(3); n > 0; --n) {
            const auto at = pick(body.size());
            if (pick(2) == 0) {
                body[at] = alphabet[pick(alphabet.size())];
            } else {
                body.insert(at, 1, alphabet[pick(alphabet.size())]);
            }
        }
        const auto parsed = parseJobSpec(body);
        if (const auto *spec = std::get_if<JobSpec>(&parsed)) {
            ++accepted;
            BOOST_TEST(!validateJobSpec(*spec), body);
        } else {
            BOOST_TEST(!std::get<Failure>(parsed).detail.empty(), body);
        }
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < rounds);
}
