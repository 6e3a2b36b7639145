#include "evacuated_zones.h"
#include "wire_codec.h"

#include <acaciarail/workflow/start_trace.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>

namespace Acaciarail::Adapter::Tests {

namespace {

namespace data = boost::unit_test::data;

} // namespace

BOOST_AUTO_TEST_SUITE(wireCodec)

struct BodyCase
{
    const char *name;
    std::string body;
    bool accepted;
};

auto operator<<(std::ostream &out, const BodyCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<BodyCase> jobCases{
    {"one step", R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900}]})", true},
    {"unknown fields", R"({"spec":"x","later":[1],"steps":[{"count":1,"odd":{}}]})", true},
    {"an earlier step", R"({"steps":[{"count":1},{"count":2,"dependsOn":[0]}]})", true},
    {"no steps", R"({"spec":"x","steps":[]})", false},
    {"a later step", R"({"steps":[{"count":1,"dependsOn":[0]}]})", false},
    {"a negative demand", R"({"steps":[{"count":1,"cpu":-5}]})", false},
    {"a huge count", R"({"steps":[{"count":4000000000}]})", false},
    {"a demand that sums would overflow", R"({"steps":[{"count":1,"cpu":9223372036854775807}]})", false},
    {"a fraction without limit", R"({"steps":[{"count":1,"estimateMs":1e300}]})", false},
    {"an estimate of another type", R"({"steps":[{"count":1,"estimateMs":"long"}]})", false},
    {"a fraction", R"({"steps":[{"count":1,"estimateMs":900.5}]})", true},
    {"an earlier step that is a fraction out of range", R"({"steps":[{"count":1},{"count":2,"dependsOn":[4294967296]}]})", false},
    {"a schedule beyond all times", R"({"repeatCount":4294967297,"steps":[{"count":1}]})", false},
    {"steps of another type", R"({"steps":{"count":1}})", false},
    {"a step of another type", R"({"steps":[3]})", false},
    {"not JSON", "\x01\xff{", false},
    {"empty", "", false},
    {"cut off", R"({"steps":[{"count")", false},
};

// Guards against accepting a job that cannot run, and against rejecting fields that are not known yet.
BOOST_DATA_TEST_CASE(malformedJobsAreRejected, data::make(jobCases), c)
{
    Workflow::JobSpec spec;
    BOOST_TEST(!decodeJob(c.body, spec) == c.accepted);
}

// Guards against a field of a job that is ignored or stored in another one.
BOOST_AUTO_TEST_CASE(allFieldsOfAJobAreDecoded)
{
    Workflow::JobSpec spec;
    BOOST_REQUIRE(
        !decodeJob(R"({"spec":"text","repeatCount":3,"firstRunMs":1000,"intervalMs":20,"steps":[{"count":2,"cpu":500,"memMb":64,"gpus":8,
        "estimateMs":900,"gang":true,"sameRack":true,"checkpoints":true,"requires":"a","affinity":"r1-3","antiAffinity":2,"longRunning":true,
        "fills":true,"mayMiss":1}]})",
                   spec));
    BOOST_TEST(spec.payload == "text");
    BOOST_TEST(spec.occurrences == 3U);
    BOOST_TEST((spec.firstRun == std::chrono::seconds(1) && spec.interval == std::chrono::milliseconds(20)));
    const auto &step = spec.steps.at(0);
    BOOST_TEST((step.taskDemand == Workflow::Demand{500, 64, 8}));
    BOOST_TEST((step.count == 2 && step.gang && step.sameRack && step.checkpoints && step.longRunning && step.usesSpareCores));
    BOOST_TEST(step.requiredLabel == "a");
    BOOST_TEST(step.dataRack == RackName("r1-3"));
    BOOST_TEST((step.maxPerWorker == 2 && step.maxUnavailable == 1 && step.estimate == 900ms));
}

struct LabelCase
{
    const char *name;
    const char *body;
    const char *field;
};

auto operator<<(std::ostream &out, const LabelCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<LabelCase> labelCases{
    {"no label", R"({"steps":[{"count":1},{"count":2}]})", ""},
    {"one label", R"({"steps":[{"count":1},{"count":2,"requires":"a-next"}]})", "required_labels=a-next"},
    {"the same label twice", R"({"steps":[{"count":1,"requires":"b"},{"count":2,"requires":"b"}]})", "required_labels=b"},
    {"two labels", R"({"steps":[{"count":1,"requires":"b"},{"count":2,"requires":"a"}]})", "required_labels=a,b"},
    {"a label that would forge a field", R"({"steps":[{"count":1,"requires":"b status=200"}]})", "required_labels=\"b status=200\""},
};

// Guards against a submission of which the log does not say what labels its steps require.
BOOST_DATA_TEST_CASE(theLabelsThatAJobRequiresAreLogged, data::make(labelCases), c)
{
    Workflow::JobSpec spec;
    BOOST_REQUIRE(!decodeJob(c.body, spec));
    BOOST_TEST(Workflow::requiredLabelsLogField(spec) == c.field);
}

const std::string goodEntry = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","state":"ready","born":17,
    "capacity":{"cpu":16000,"memMb":32768,"gpus":8},"labels":["a","r1-3"],"sequence":4})";

/// Returns a worker's entry with one more field, or another value of one.
auto entryWith(const std::string &field) -> std::string
{
    return R"({"service":"s","address":"10.0.0.9:8080","state":"ready","capacity":{"cpu":1,"memMb":1,"gpus":1},)" + field + "}";
}

/// Returns lists that are nested \a depth deep.
auto nested(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

const std::vector<BodyCase> entryCases{
    {"complete", goodEntry, true},
    {"draining", R"({"service":"s","address":"10.0.0.9:80","state":"draining","remainingMs":900,"capacity":{}})", true},
    {"no address", R"({"service":"s","state":"ready","capacity":{}})", false},
    {"an address that is a name", R"({"service":"s","address":"host:80","state":"ready","capacity":{}})", false},
    {"an unknown state", R"({"service":"s","address":"10.0.0.9:80","state":"asleep","capacity":{}})", false},
    {"a capacity of another type", R"({"service":"s","address":"10.0.0.9:80","state":"ready","capacity":7})", false},
    {"no service", R"({"address":"10.0.0.9:80","state":"ready","capacity":{}})", false},
    {"unknown fields", entryWith(R"("later":{"a":[1,[2]]},"text":"[[[[{{{{\"[[")"), true},
    {"lists nested a million deep", entryWith(R"("labels":)" + nested(1'000'000)), false},
    {"lists nested a million deep that are not closed", entryWith(R"("labels":)" + std::string(1'000'000, '[')), false},
    {"an unknown field that is nested too deeply", entryWith(R"("odd":)" + nested(100)), false},
    {"a port out of range", entryWith(R"("address":"10.0.0.9:70000")"), false},
    {"port 0", entryWith(R"("address":"10.0.0.9:0")"), false},
    {"a capacity above the range of its type", entryWith(R"("capacity":{"gpus":18446744073709551615})"), false},
    {"a capacity that sums would overflow", entryWith(R"("capacity":{"cpu":9223372036854775807})"), false},
    {"a fraction above the range of any integer", entryWith(R"("capacity":{"memMb":1e300})"), false},
    {"a number that no type can hold", entryWith(R"("capacity":{"memMb":1e999})"), false},
    {"a negative capacity", entryWith(R"("capacity":{"cpu":-1})"), false},
    {"a capacity that is text", entryWith(R"("capacity":{"cpu":"32"})"), false},
    {"a start out of range", entryWith(R"("born":1e300)"), false},
    {"a negative start", entryWith(R"("born":-1)"), false},
    {"a time left out of range", entryWith(R"("remainingMs":9223372036854775807)"), false},
    {"a time left that has passed", entryWith(R"("remainingMs":-20)"), true},
    {"labels of another type", entryWith(R"("labels":["a",7])"), false},
    {"a state of another type", entryWith(R"("state":[])"), false},
    {"damaged", "\x80\x81", false},
};

// Guards against placing work on a worker whose entry is incomplete or damaged.
BOOST_DATA_TEST_CASE(malformedWorkerEntriesAreRejected, data::make(entryCases), c)
{
    WorkerEntry entry;
    BOOST_TEST(!decodeWorkerEntry("w1", c.body, entry) == c.accepted);
}

// Guards against a field of a worker entry that is ignored or stored in another one.
BOOST_AUTO_TEST_CASE(aWorkerEntryGivesRackAndIncarnation)
{
    WorkerEntry entry;
    BOOST_REQUIRE(!decodeWorkerEntry("w1", goodEntry, entry));
    BOOST_TEST(entry.info.rack == RackName("r1-3"));
    BOOST_TEST(entry.info.incarnation == 17);
    BOOST_TEST((entry.info.capacity == Workflow::Demand{16'000, 32'768, 8}));
    BOOST_TEST(entry.address.str() == "10.0.0.9:8080");
}

struct ReportCase
{
    const char *name;
    std::string body;
    bool accepted;
    std::size_t running;
    std::size_t ended;
    std::size_t skipped;
    bool complete = true;
};

auto operator<<(std::ostream &out, const ReportCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ReportCase> reportCases{
    {"both lists", R"({"clockMs":5,"born":2,"running":[["j.0.1.17",2,"c",41,3]],"ended":[[58,"j.0.1.9",1,"done",""]]})", true, 1, 1, 0},
    {"foreign task names", R"({"running":[["foreign",2,"c",41]],"ended":[]})", true, 0, 0, 1},
    {"an unknown end", R"({"running":[],"ended":[[1,"j.0.1.9",1,"vanished",""]]})", true, 0, 0, 1, false},
    {"a row of another type", R"({"running":[7],"ended":[{}]})", true, 0, 0, 2, false},
    {"a run and a number above their range",
     R"({"running":[["j.0.1.17",4294967297,"c",41]],"ended":[[18446744073709551615,"j.0.1.9",1,"done",""]]})", true, 0, 0, 2, false},
    {"a progress without limit", R"({"running":[["j.0.1.17",1,"c",1e300]],"ended":[]})", true, 1, 0, 0},
    {"a list of another type", R"({"running":{},"ended":[]})", false, 0, 0, 0},
    {"a clock out of range", R"({"clockMs":1e300,"running":[],"ended":[]})", true, 0, 0, 0},
    {"a start out of range", R"({"born":-1,"running":[],"ended":[]})", false, 0, 0, 0},
    {"rows that are nested too deeply", R"({"running":)" + nested(100) + R"(,"ended":[]})", false, 0, 0, 0},
    {"no lists", R"({"clockMs":5})", false, 0, 0, 0},
    {"damaged", "{", false, 0, 0, 0},
};

// Guards against one malformed row that makes the whole report unusable, and against a run that counts as missing because its row cannot be
// read.
BOOST_DATA_TEST_CASE(unreadableRowsOfAReportAreSkipped, data::make(reportCases), c)
{
    Workflow::WorkerReport report;
    CommandResponse response;
    BOOST_TEST(!decodeReport(c.body, report, response) == c.accepted);
    BOOST_TEST(report.running.size() == c.running);
    BOOST_TEST(report.ended.size() == c.ended);
    BOOST_TEST(response.skippedRows == c.skipped);
    if (c.accepted) {
        BOOST_TEST(report.isComplete == c.complete);
    }
}

struct EndCountCase
{
    const char *name;
    int ends;
    bool complete;
};

auto operator<<(std::ostream &out, const EndCountCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<EndCountCase> endCountCases{
    {"no end", 0, true},
    {"one end less than fits", 499, true},
    {"as many ends as fit", 500, false},
};

// Guards against a run that counts as missing although its end did not fit into the report.
BOOST_DATA_TEST_CASE(aReportThatIsFullIsNotComplete, data::make(endCountCases), c)
{
    std::string ends;
    for (int i = 1; i <= c.ends; ++i) {
        ends += (i > 1 ? ",[" : "[") + std::to_string(i) + R"(,"5c0e7a21d94b36f8.0.0.)" + std::to_string(i) + R"(",1,"done",""])";
    }
    Workflow::WorkerReport report;
    CommandResponse response;
    BOOST_TEST(!decodeReport(R"({"running":[],"ended":[)" + ends + "]}", report, response));
    BOOST_TEST(report.ended.size() == static_cast<std::size_t>(c.ends));
    BOOST_TEST(report.isComplete == c.complete);
}

// Guards against reports that cannot be attributed to their tasks.
BOOST_AUTO_TEST_CASE(taskNamesAreReversible)
{
    const Workflow::TaskId task{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
    BOOST_TEST(taskName(task) == "5c0e7a21d94b36f8.3.1.17");
    BOOST_TEST((parseTaskName(taskName(task)) == task));
    for (const auto *it : {"", "j", "j.1", "j.1.2", "j.1.2.3.4", "j.a.2.3", "j.1.2.-3"}) {
        BOOST_TEST(!parseTaskName(it).has_value(), it);
    }
}

// Guards against requests that are matched to the wrong queue, and against one malformed entry that makes the configuration unusable.
BOOST_AUTO_TEST_CASE(aConfigurationNamesQueuesOrganisationsAndKeys)
{
    Workflow::Configuration configuration;
    BOOST_REQUIRE(!decodeConfiguration(R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s","priority":2,
        "maxAttempts":3,"stretch":1.5,"targetLatencyMs":300},{"name":"q","host":"h","pathPrefix":"/p/long/"},17],
        "tenants":[{"name":"o","apiKeys":["k1","k2",3],"guaranteed":{"gpus":120}},{"name":"u"}]})",
                                       configuration));
    BOOST_TEST(configuration.version == 7U);
    BOOST_REQUIRE(configuration.findQueue("h", "/p/x") != nullptr);
    BOOST_TEST(configuration.findQueue("h", "/p/x")->name == Workflow::QueueName("r"));
    BOOST_TEST(configuration.findQueue("h", "/p/long/x")->name == Workflow::QueueName("q"));
    BOOST_TEST(configuration.findQueue("other", "/p/x") == nullptr);
    BOOST_TEST(configuration.guaranteed(OrganisationName("o")) == 120);
    BOOST_TEST(configuration.guaranteed(OrganisationName("u")) == 0);
    BOOST_TEST(configuration.apiKeys.size() == 2U);
    BOOST_TEST(!!decodeConfiguration(R"({"routes":[]})", configuration));
}

struct OperatorCase
{
    const char *name;
    std::vector<Workflow::KeyedRecord> records;
    std::set<ZoneName> zones;
};

auto operator<<(std::ostream &out, const OperatorCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<OperatorCase> operatorCases{
    {"two zones", {{"evacuate/a", "{}"}, {"evacuate/b", "1"}}, {ZoneName("a"), ZoneName("b")}},
    {"written twice", {{"evacuate/a", "{}"}, {"evacuate/a", "{}"}}, {ZoneName("a")}},
    {"revoked", {{"evacuate/a", "{}"}, {"evacuate/a", ""}}, {}},
    {"evacuated again", {{"evacuate/a", "{}"}, {"evacuate/a", ""}, {"evacuate/a", "{}"}}, {ZoneName("a")}},
    {"a name with a slash", {{"evacuate/a/b", "{}"}}, {ZoneName("a/b")}},
    {"other keys", {{"config", "{}"}, {"evacuate/", "{}"}, {"evacuate", "{}"}, {"", "{}"}}, {}},
};

// Guards against keys of the operator's topic that are taken for zones, and against removals that go unnoticed.
BOOST_DATA_TEST_CASE(keysOfTheOperatorsTopicNameEvacuatedZones, data::make(operatorCases), c)
{
    EvacuatedZones zones;
    for (const auto &it : c.records) {
        const auto before = zones.zones();
        const auto changed = zones.apply(it);
        BOOST_TEST(changed.empty() == (zones.zones() == before));
    }
    BOOST_TEST((zones.zones() == c.zones));
}

// Guards against a worker that is taken for a warm one, and against a report that is unusable because of this field.
BOOST_AUTO_TEST_CASE(theTimeForWhichAWorkerIsColdIsDecoded)
{
    Workflow::WorkerReport report;
    CommandResponse response;
    BOOST_TEST(!decodeReport(R"({"running":[],"ended":[],"coldLeftMs":1500})", report, response));
    BOOST_TEST((report.coldTime == 1500ms));
    BOOST_TEST(!decodeReport(R"({"running":[],"ended":[],"coldLeftMs":"long"})", report, response));
    BOOST_TEST((report.coldTime == 0ms));
    WorkerEntry entry;
    BOOST_TEST(!decodeWorkerEntry("w1", R"({"service":"s","address":"10.0.0.9:80","state":"ready","capacity":{},"coldLeftMs":70})", entry));
    BOOST_TEST((entry.info.coldTime == 70ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Adapter::Tests
