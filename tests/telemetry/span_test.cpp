#include <acaciarail/core/error.h>
#include <acaciarail/telemetry/trace_buffer.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <ostream>
#include <set>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Telemetry;
namespace data = boost::unit_test::data;

namespace {

const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

struct TraceparentCase
{
    std::string name;
    std::string text;
    bool accepted;

    friend auto operator<<(std::ostream &out, const TraceparentCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const TraceparentCase traceparentCases[] = {
    {"valid", valid, true},
    {"unknown flags", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-ff", true},
    {"later version", "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true},
    {"later version with more", "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-what-the-future", true},
    {"later version with junk", "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01.what", false},
    {"version 00 with more", valid + "-more", false},
    {"version ff", "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false},
    {"empty", "", false},
    {"truncated", valid.substr(0, 54), false},
    {"zero trace", "00-00000000000000000000000000000000-b7ad6b7169203331-01", false},
    {"zero parent", "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false},
    {"upper case", "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", false},
    {"not hexadecimal", "00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01", false},
    {"wrong separator", "00_0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331_01", false},
    {"white space", " " + valid, false},
};

auto makeSpan(TraceId trace, std::uint64_t id, Duration start) -> Span
{
    Span span;
    span.trace = trace;
    span.id = {id};
    span.name = "span-" + std::to_string(id);
    span.start = TimePoint(start);
    span.end = span.start + 5us;
    return span;
}

} // namespace

// Guards against traces that are joined or lost because a malformed header is accepted or a valid one refused.
BOOST_DATA_TEST_CASE(traceparentIsParsedStrictly, data::make(traceparentCases), c)
{
    BOOST_TEST(parseTraceparent(c.text).has_value() == c.accepted);
}

// Guards against a trace id or flag that changes from one process to the next.
BOOST_AUTO_TEST_CASE(traceparentSurvivesRoundTrip)
{
    const auto parsed = parseTraceparent(valid);
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->trace.str() == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(parsed->parent.str() == "b7ad6b7169203331");
    BOOST_TEST(parsed->sampled);
    BOOST_TEST(formatTraceparent(*parsed) == valid);
    BOOST_TEST((parseTraceId(parsed->trace.str()) == parsed->trace));
}

// Guards against ids that are invalid, repeat, or differ between runs with the same seed.
BOOST_AUTO_TEST_CASE(generatedIdsAreValidAndDistinct)
{
    IdGenerator a(1);
    IdGenerator b(1);
    std::set<std::string> seen;
    for (int i = 0; i < 1000; ++i) {
        const TraceContext context{a.nextTraceId(), a.nextSpanId(), true};
        BOOST_TEST((parseTraceparent(formatTraceparent(context)) == context));
        BOOST_TEST(seen.insert(context.trace.str()).second);
        BOOST_TEST((b.nextTraceId() == context.trace));
        BOOST_TEST((b.nextSpanId() == context.parent));
    }
}

// Guards against a ring buffer that grows, loses recent spans or mixes traces.
BOOST_AUTO_TEST_CASE(ringKeepsTheLatestSpans)
{
    const TraceId one{0, 1};
    const TraceId two{0, 2};
    TraceBuffer buffer(10);
    for (std::uint64_t i = 1; i <= 25; ++i) {
        buffer.add(makeSpan(i % 2 == 0 ? two : one, i, Duration(static_cast<Duration::rep>(100 - i))));
    }
    BOOST_TEST(buffer.size() == 10U);
    BOOST_TEST(buffer.overwritten() == 15U);
    const auto spans = buffer.spansOf(one);
    BOOST_TEST_REQUIRE(spans.size() == 5U);
    for (std::size_t i = 0; i < spans.size(); ++i) {
        BOOST_TEST(spans[i].id.value == 25 - 2 * i);
    }
    BOOST_TEST(buffer.spansOf({9, 9}).empty());
}

// Guards against input from outside that makes the buffer exceed its memory bound.
BOOST_AUTO_TEST_CASE(largeSpansAreTruncated)
{
    TraceBuffer buffer(1);
    auto span = makeSpan({0, 1}, 1, 0us);
    span.name = std::string(100'000, 'n');
    for (int i = 0; i < 1000; ++i) {
        span.attributes.push_back({std::string(10'000, 'k') + std::to_string(i), std::string(10'000, 'v')});
    }
    buffer.add(std::move(span));
    std::size_t bytes = 0;
    const auto kept = buffer.spansOf({0, 1});
    BOOST_TEST_REQUIRE(kept.size() == 1U);
    for (const auto &it : kept[0].attributes) {
        bytes += it.key.size() + it.value.size();
    }
    BOOST_TEST(bytes + kept[0].name.size() < 10'000U);
}

// Guards against a trace that is not valid JSON because of what a span contains.
BOOST_AUTO_TEST_CASE(traceIsValidJson)
{
    const TraceId trace{1, 2};
    auto parent = makeSpan(trace, 1, 100us);
    auto child = makeSpan(trace, 2, 150us);
    child.parent = parent.id;
    child.status = SpanStatus::Failed;
    child.error = Error::Timeout;
    child.end = child.start - 1us;
    child.attributes = {{"quote\"", "line\nend"}, {"bytes", "\xff\xfe"}};
    const auto document = nlohmann::json::parse(renderTrace(trace, {parent, child}));
    BOOST_TEST(document["trace"] == trace.str());
    BOOST_TEST(document["spans"].size() == 2U);
    BOOST_TEST(!document["spans"][0].contains("parent_id"));
    BOOST_TEST(document["spans"][0]["duration_us"] == 5);
    BOOST_TEST(document["spans"][1]["parent_id"] == parent.id.str());
    BOOST_TEST(document["spans"][1]["start_us"] == 50);
    BOOST_TEST(document["spans"][1]["duration_us"] == 0);
    BOOST_TEST(document["spans"][1]["status"] == "failed");
    BOOST_TEST(document["spans"][1]["error"] == "timeout");
    BOOST_TEST(document["spans"][1]["attributes"]["quote\""] == "line\nend");
    BOOST_TEST(nlohmann::json::parse(renderTrace(trace, {}))["spans"].empty());
}
