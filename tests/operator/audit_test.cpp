#include <acaciarail/operator/audit.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <ostream>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Operator;
namespace data = boost::unit_test::data;

namespace {

const AuditTime start{std::chrono::hours(480'000)};

auto at(LogOffset offset, AuditBody body) -> AuditEvent
{
    return {offset, "r" + std::to_string(offset), start + std::chrono::seconds(offset), std::move(body)};
}

auto accepted(bool idempotent = true) -> AuditJobAccepted
{
    return {JobId("j"), "n", OrganisationName("o"), CallerName("c"), ZoneName("z"), idempotent};
}

auto assigned(std::uint32_t attempt, const char *worker, bool earlierNotRun = false) -> AuditJobAssigned
{
    return {JobId("j"), attempt, Term{1, 2}, {WorkerName(worker)}, earlierNotRun};
}

auto finished(JobOutcome outcome, JobReason reason = JobReason::None) -> AuditJobFinished
{
    return {JobId("j"), outcome, reason};
}

auto claimed(const char *instance, const char *fingerprint = "f") -> AuditRequestClaimed
{
    return {OrganisationName("o"), "k", ServiceName("s"), fingerprint, InstanceName(instance), 1};
}

auto ordered(Execution execution, const char *instance) -> AuditRequestFinished
{
    return {OrganisationName("o"), "k", execution, 200, InstanceName(instance), 1};
}

auto config(std::uint64_t version, const char *file, std::vector<std::string> rules) -> AuditConfigChanged
{
    return {CallerName("alice"), version, {{"o.acaciarail.toml", version, file, "rev", std::move(rules)}}};
}

struct AuditCase
{
    std::string title;
    std::vector<AuditBody> bodies;
    std::vector<AuditFaultKind> faults;
    std::string outcome;
    bool complete = true;

    friend auto operator<<(std::ostream &out, const AuditCase &c) -> std::ostream &
    {
        return out << c.title;
    }
};

constexpr auto succeeded = JobOutcome::Succeeded;

const AuditCase auditCases[] = {
    {"a job that finishes", {accepted(), assigned(1, "a"), finished(succeeded)}, {}, "succeeded"},
    {"a refusal with its reason", {accepted(), finished(JobOutcome::Refused, JobReason::NeverFits)}, {}, "refused (never-fits)"},
    {"a cancelled job",
     {accepted(), AuditJobCancelled{JobId("j"), CallerName("c")}, finished(JobOutcome::Cancelled, JobReason::CancelledByCaller)},
     {},
     "cancelled (cancelled-by-caller)"},
    {"an accepted job that is forgotten", {accepted(), assigned(1, "a")}, {AuditFaultKind::NoOutcome}, ""},
    {"two outcomes that differ",
     {accepted(), finished(JobOutcome::Lost, JobReason::WorkerLost), finished(succeeded)},
     {AuditFaultKind::SeveralOutcomes},
     "lost (worker-lost)"},
    {"an outcome that two holders recorded", {accepted(), finished(succeeded), finished(succeeded)}, {}, "succeeded"},
    {"an idempotent job that is repeated", {accepted(), assigned(1, "a"), assigned(2, "b"), finished(succeeded)}, {}, "succeeded"},
    {"a non-idempotent job that is repeated",
     {accepted(false), assigned(1, "a"), assigned(2, "b"), finished(succeeded)},
     {AuditFaultKind::RepeatedRun},
     "succeeded"},
    {"a non-idempotent attempt on other workers",
     {accepted(false), assigned(1, "a"), assigned(1, "b"), finished(succeeded)},
     {AuditFaultKind::RepeatedRun},
     "succeeded"},
    {"a non-idempotent attempt that is adopted",
     {accepted(false), assigned(1, "a"), assigned(1, "a"), finished(succeeded)},
     {},
     "succeeded"},
    {"a non-idempotent job whose first attempt did not run",
     {accepted(false), assigned(1, "a"), assigned(2, "b", true), finished(succeeded)},
     {},
     "succeeded"},
    {"an assignment that lost against the outcome",
     {accepted(false), assigned(1, "a"), finished(succeeded), assigned(2, "b")},
     {},
     "succeeded"},
    {"an outcome without acceptance", {finished(succeeded)}, {AuditFaultKind::NotAccepted}, "succeeded"},
    {"an outcome whose acceptance is no longer kept", {finished(succeeded)}, {}, "succeeded", false},
    {"an order", {claimed("i"), ordered(Execution::Ran, "i")}, {}, "ran (status 200)"},
    {"an order without outcome", {claimed("i")}, {AuditFaultKind::NoOutcome}, ""},
    {"a duplicate order", {claimed("i"), claimed("h"), ordered(Execution::Ran, "i")}, {}, "ran (status 200)"},
    {"a key that is used for another request", {claimed("i"), claimed("h", "g"), ordered(Execution::Ran, "i")}, {}, "ran (status 200)"},
    {"an order that ran twice",
     {claimed("i"), ordered(Execution::Ran, "i"), ordered(Execution::Ran, "i")},
     {AuditFaultKind::SeveralOutcomes, AuditFaultKind::RepeatedRun},
     "ran (status 200)"},
    {"an order that the loser of the claim ran",
     {claimed("i"), claimed("h"), ordered(Execution::Ran, "h")},
     {AuditFaultKind::ForeignOutcome},
     "ran (status 200)"},
    {"an order whose claimant is gone", {claimed("i"), ordered(Execution::Unknown, "h")}, {}, "unknown (status 200)"},
    {"an order whose claimant returns after it was closed as unknown",
     {claimed("i"), ordered(Execution::Unknown, "h"), ordered(Execution::Ran, "i")},
     {},
     "ran (status 200)"},
    {"an order whose claimant changes its own word",
     {claimed("i"), ordered(Execution::Unknown, "i"), ordered(Execution::Ran, "i")},
     {AuditFaultKind::SeveralOutcomes},
     "unknown (status 200)"},
    {"an order that did not run and is claimed anew",
     {claimed("i"), ordered(Execution::NotRun, "i"), claimed("h"), ordered(Execution::Ran, "h")},
     {},
     "ran (status 200)"},
    {"an order that is claimed anew and forgotten",
     {claimed("i"), ordered(Execution::NotRun, "i"), claimed("h")},
     {AuditFaultKind::NoOutcome},
     ""},
};

auto eventsOf(const std::vector<AuditBody> &bodies) -> std::vector<AuditEvent>
{
    std::vector<AuditEvent> events;
    events.reserve(bodies.size());
    for (const auto &it : bodies) {
        events.push_back(at(events.size(), it));
    }
    return events;
}

auto kindsOf(const AuditReport &report) -> std::vector<AuditFaultKind>
{
    std::vector<AuditFaultKind> kinds;
    std::transform(report.faults.begin(), report.faults.end(), std::back_inserter(kinds), [](const AuditFault &it) { return it.kind; });
    return kinds;
}

constexpr auto age = std::chrono::seconds(60);

auto optionsAt(AuditTime now, bool complete = true) -> AuditOptions
{
    return {now, age, complete};
}

/// Lines of archives that are refused, and a part of the reason.
struct LineCase
{
    std::string line;
    std::string detail;

    friend auto operator<<(std::ostream &out, const LineCase &c) -> std::ostream &
    {
        return out << c.detail;
    }
};

const LineCase lineCases[] = {
    {"", "expected one JSON object on the line"},
    {"{\"type\":", "expected one JSON object on the line"},
    {"[]", "expected a JSON object, found array"},
    {"{}", "field \"type\": expected a value, found no such field"},
    {R"({"type":"job-lost","offset":1})", "expected the type of an audit event, found \"job-lost\""},
    {R"({"type":"job-cancelled","offset":-1,"job":"j","caller":"c"})",
     "field \"offset\": expected an integer that is not negative, found -1"},
    {R"({"type":"job-cancelled","offset":1,"job":7,"caller":"c"})", "field \"job\": expected a string, found 7"},
    {R"({"type":"job-finished","offset":1,"job":"j","outcome":"won","reason":"none"})",
     "field \"outcome\": expected one of succeeded, failed"},
    {R"({"type":"job-assigned","offset":1,"job":"j","attempt":4294967296,"term":{"number":1,"incarnation":1},"workers":[],"earlier_not_run":true})",
     "field \"attempt\": expected an integer of at most 32 bits"},
    {R"({"type":"job-assigned","offset":1,"job":"j","attempt":1,"term":{"number":1},"workers":[],"earlier_not_run":true})",
     "field \"incarnation\""},
    {R"({"type":"config-changed","offset":1,"operator":"a","version":1,"documents":[3]})", "expected a JSON object, found 3"},
};

auto anyText() -> std::string
{
    return *rc::gen::container<std::string>(rc::gen::inRange('\x20', '\x7f'));
}

auto anyBody() -> AuditBody
{
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return AuditJobAccepted{JobId(anyText()),      anyText(),           OrganisationName(anyText()),
                                CallerName(anyText()), ZoneName(anyText()), *rc::gen::arbitrary<bool>()};
    case 1:
        return AuditJobAssigned{JobId(anyText()),
                                *rc::gen::arbitrary<std::uint32_t>(),
                                Term{*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()},
                                {WorkerName(anyText())},
                                *rc::gen::arbitrary<bool>()};
    case 2:
        return AuditJobFinished{JobId(anyText()), static_cast<JobOutcome>(*rc::gen::inRange(0, 5)),
                                static_cast<JobReason>(*rc::gen::inRange(0, 9))};
    case 3:
        return AuditJobCancelled{JobId(anyText()), CallerName(anyText())};
    case 4:
        return AuditRequestClaimed{OrganisationName(anyText()), anyText(),
                                   ServiceName(anyText()),      anyText(),
                                   InstanceName(anyText()),     *rc::gen::arbitrary<std::uint64_t>()};
    case 5:
        return AuditRequestFinished{OrganisationName(anyText()),
                                    anyText(),
                                    static_cast<Execution>(*rc::gen::inRange(0, 3)),
                                    *rc::gen::arbitrary<std::uint32_t>(),
                                    InstanceName(anyText()),
                                    *rc::gen::arbitrary<std::uint64_t>()};
    default:
        return AuditConfigChanged{CallerName(anyText()),
                                  *rc::gen::arbitrary<std::uint64_t>(),
                                  {{anyText(), *rc::gen::arbitrary<std::uint64_t>(), anyText(), anyText(), {anyText(), anyText()}}}};
    }
}

} // namespace

// Guards against an audit that passes a fault, or that reports one for work that was done as promised.
BOOST_DATA_TEST_CASE(auditFindsExactlyTheFaults, data::make(auditCases), c)
{
    const auto report = audit(eventsOf(c.bodies), optionsAt(start + 2 * age, c.complete));
    BOOST_TEST((kindsOf(report) == c.faults));
    BOOST_REQUIRE(report.paths.size() == 1U);
    BOOST_TEST(report.paths.front().outcome == c.outcome);
    BOOST_TEST(report.paths.front().steps.size() == c.bodies.size());
}

// Guards against a fault for work that is still within its time.
BOOST_AUTO_TEST_CASE(openWorkIsAFaultOnlyOnceItIsOld)
{
    const auto events = eventsOf({accepted()});
    BOOST_TEST(audit(events, optionsAt(start + age)).faults.empty());
    BOOST_TEST(audit(events, optionsAt(start + age + std::chrono::milliseconds(1))).faults.size() == 1U);
    auto undated = events;
    undated.front().at.reset();
    BOOST_TEST(audit(undated, optionsAt(start)).faults.size() == 1U);
}

// Guards against events that count twice because archives overlap or a record was appended twice.
BOOST_AUTO_TEST_CASE(repeatedRecordsCountOnce)
{
    auto events = eventsOf({claimed("i"), ordered(Execution::Ran, "i")});
    events.push_back(events.back());
    auto appendedTwice = events.back();
    appendedTwice.offset = 9;
    events.push_back(appendedTwice);
    const auto report = audit(events, optionsAt(start));
    BOOST_TEST(report.faults.empty());
    BOOST_TEST(report.events == 2U);
    BOOST_TEST(report.repeatedEvents == 2U);
}

// Guards against an audit that depends on the order in which archives are given.
RC_BOOST_PROP(orderOfEventsDoesNotMatter, ())
{
    const auto i = *rc::gen::inRange<std::size_t>(0, std::size(auditCases));
    const auto options = optionsAt(start + 2 * age);
    auto events = eventsOf(auditCases[i].bodies);
    const auto expected = audit(events, options);
    for (std::size_t j = events.size(); j > 1; --j) {
        std::swap(events[j - 1], events[*rc::gen::inRange<std::size_t>(0, j)]);
    }
    const auto found = audit(events, options);
    RC_ASSERT(kindsOf(found) == kindsOf(expected));
    RC_ASSERT(found.paths.at(0).outcome == expected.paths.at(0).outcome);
}

// Guards against a rule that is attributed to another file, revision or operator than the one in force at acceptance.
BOOST_AUTO_TEST_CASE(pathsNameTheOriginOfTheirRules)
{
    const auto report = audit(eventsOf({config(1, "old.toml", {"organisation o", "service s"}), accepted(),
                                        config(2, "new.toml", {"organisation o"}), claimed("i")}),
                              optionsAt(start));
    BOOST_REQUIRE(report.paths.size() == 2U);
    BOOST_REQUIRE(report.paths[0].rules.size() == 1U);
    BOOST_TEST(report.paths[0].rules[0].originFile == "old.toml");
    BOOST_REQUIRE(report.paths[1].rules.size() == 1U);
    BOOST_TEST(report.paths[1].rules[0].rule == "organisation o");
    BOOST_TEST(report.paths[1].rules[0].originFile == "new.toml");
    BOOST_TEST(report.paths[1].rules[0].operatorName == CallerName("alice"));
    BOOST_REQUIRE(report.rules.size() == 3U);
    BOOST_TEST(!report.rules[0].inForce);
    BOOST_TEST(!report.rules[1].inForce);
    BOOST_TEST(report.rules[2].inForce);
}

// Guards against archives that lose or change a field.
RC_BOOST_PROP(eventsAreReadBackFromTheirLines, ())
{
    AuditEvent event{*rc::gen::arbitrary<std::uint64_t>(), anyText(), std::nullopt, anyBody()};
    if (*rc::gen::arbitrary<bool>()) {
        event.at = start + std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000));
    }
    const auto line = auditEventToLine(event);
    RC_ASSERT(line.find('\n') == std::string::npos);
    const auto read = auditEventFromLine(line);
    RC_ASSERT(read.failure.detail.empty());
    RC_ASSERT(read.event.has_value());
    RC_ASSERT(auditEventToLine(*read.event) == line);
    RC_ASSERT(read.event->body.index() == event.body.index());
    RC_ASSERT(read.event->offset == event.offset);
    // The object itself is read back too, as the server hands it over without making text of it.
    RC_ASSERT(auditEventToLine(auditEventFromJson(auditEventToJson(event)).event.value()) == line);
}

// Guards against a damaged archive that is audited as if it were complete.
BOOST_DATA_TEST_CASE(damagedLinesAreRefused, data::make(lineCases), c)
{
    const auto read = auditEventFromLine(c.line);
    BOOST_TEST(!read.event.has_value());
    BOOST_TEST((read.failure.error == Error::MalformedInput));
    BOOST_TEST(read.failure.detail.find(c.detail) != std::string::npos, read.failure.detail);
}

// Guards against a line that makes the reader throw or crash.
RC_BOOST_PROP(arbitraryLinesNeverThrow, (const std::string &line))
{
    RC_ASSERT(!auditEventFromLine(line).event.has_value());
    const std::string deep(20'000, '[');
    RC_ASSERT(!auditEventFromLine(deep + line).event.has_value());
}
