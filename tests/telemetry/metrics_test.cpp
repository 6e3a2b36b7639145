#include <acaciarail/telemetry/metrics.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <ostream>
#include <stdexcept>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Telemetry;
namespace data = boost::unit_test::data;

namespace {

struct EscapeCase
{
    std::string name;
    std::string value;
    std::string rendered;

    friend auto operator<<(std::ostream &out, const EscapeCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const EscapeCase escapeCases[] = {
    {"plain", "retake", "retake"},
    {"quote", "a\"b", "a\\\"b"},
    {"backslash", "a\\nb", "a\\\\nb"},
    {"line end", "a\"} 1\nforged 2", "a\\\"} 1\\nforged 2"},
    {"utf-8", "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80", "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80"},
    {"stray byte",
     "a\xff"
     "b",
     "a\xef\xbf\xbd"
     "b"},
    {"truncated sequence", "\xe2\x82", "\xef\xbf\xbd\xef\xbf\xbd"},
    {"overlong", "\xc0\xaf", "\xef\xbf\xbd\xef\xbf\xbd"},
    {"surrogate", "\xed\xa0\x80", "\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd"},
    {"empty", "", ""},
};

struct BadNameCase
{
    std::string metric;
    Labels labels;

    friend auto operator<<(std::ostream &out, const BadNameCase &c) -> std::ostream &
    {
        return out << c.metric;
    }
};

const BadNameCase badNameCases[] = {
    {"", {}},
    {"1abc", {}},
    {"a-b", {}},
    {"a b", {}},
    {"good_no_label_name", {{"", "x"}}},
    {"good_colon_label", {{"a:b", "x"}}},
    {"good_reserved_label", {{"__a", "x"}}},
    {"good_le_label", {{"le", "x"}}},
    {"good_double_label", {{"a", "x"}, {"b", "y"}, {"a", "z"}}},
};

} // namespace

// Guards against output that a scraper refuses, and against series that lose counts.
BOOST_AUTO_TEST_CASE(outputHasTheTextFormat)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests\nby \\ code.", {{"code", "200"}, {"class", "urgent"}}).add(3);
    // Labels in another order identify the same series.
    registry.counter("requests_total", "ignored", {{"class", "urgent"}, {"code", "200"}}).add(4);
    registry.counter("requests_total", "ignored", {{"class", "normal"}, {"code", "200"}}).add();
    registry.gauge("free", "Free slots.").set(-2.5);
    auto &latency = registry.histogram("wait_seconds", "Waits.", {{"class", "urgent"}}, {1ms, 250ms, 2s});
    for (const auto it : {0us, 1000us, 1001us, 250'000us, 3'000'000us, -5us}) {
        latency.record(it);
    }
    BOOST_TEST(registry.render()
               == "# HELP free Free slots.\n"
                  "# TYPE free gauge\n"
                  "free -2.5\n"
                  "# HELP requests_total Requests\\nby \\\\ code.\n"
                  "# TYPE requests_total counter\n"
                  "requests_total{class=\"normal\",code=\"200\"} 1\n"
                  "requests_total{class=\"urgent\",code=\"200\"} 7\n"
                  "# HELP wait_seconds Waits.\n"
                  "# TYPE wait_seconds histogram\n"
                  "wait_seconds_bucket{class=\"urgent\",le=\"0.001\"} 3\n"
                  "wait_seconds_bucket{class=\"urgent\",le=\"0.25\"} 5\n"
                  "wait_seconds_bucket{class=\"urgent\",le=\"2\"} 5\n"
                  "wait_seconds_bucket{class=\"urgent\",le=\"+Inf\"} 6\n"
                  "wait_seconds_sum{class=\"urgent\"} 3.252001\n"
                  "wait_seconds_count{class=\"urgent\"} 6\n");
}

// Guards against label values from outside that forge a series or break the format.
BOOST_DATA_TEST_CASE(labelValuesAreEscaped, data::make(escapeCases), c)
{
    MetricsRegistry registry;
    registry.counter("a_total", "", {{"v", c.value}}).add();
    BOOST_TEST(registry.render() == "# HELP a_total \n# TYPE a_total counter\na_total{v=\"" + c.rendered + "\"} 1\n");
}

// Guards against names that make the whole output unreadable to a scraper.
BOOST_DATA_TEST_CASE(badNamesAreRefused, data::make(badNameCases), c)
{
    MetricsRegistry registry;
    BOOST_CHECK_THROW((void)registry.counter(c.metric, "", c.labels), std::invalid_argument);
    BOOST_CHECK_THROW((void)registry.histogram(c.metric, "", c.labels), std::invalid_argument);
}

// Guards against one metric name with two types.
BOOST_AUTO_TEST_CASE(nameHasOneType)
{
    MetricsRegistry registry;
    (void)registry.counter("a", "");
    BOOST_CHECK_THROW((void)registry.gauge("a", ""), std::invalid_argument);
}

// Guards against bounds that would make the cumulative counts wrong.
BOOST_AUTO_TEST_CASE(badBoundsAreRefused)
{
    for (const auto &it :
         {LatencyBounds{}, LatencyBounds{0us}, LatencyBounds{-1us, 1us}, LatencyBounds{2us, 1us}, LatencyBounds{1us, 1us}}) {
        BOOST_CHECK_THROW(LatencyHistogram{it}, std::invalid_argument);
    }
}

// Guards against infinite and undefined values that are written in a form that the text format does not know.
BOOST_AUTO_TEST_CASE(specialNumbersAreRendered)
{
    MetricsRegistry registry;
    registry.gauge("a", "").set(std::numeric_limits<double>::infinity());
    registry.gauge("b", "").set(-std::numeric_limits<double>::infinity());
    registry.gauge("c", "").set(std::numeric_limits<double>::quiet_NaN());
    const auto output = registry.render();
    BOOST_TEST(output.find("\na +Inf\n") != std::string::npos);
    BOOST_TEST(output.find("\nb -Inf\n") != std::string::npos);
    BOOST_TEST(output.find("\nc NaN\n") != std::string::npos);
}

// Guards against callers that exhaust the memory with new label values; no count may be lost.
BOOST_AUTO_TEST_CASE(seriesAreBounded)
{
    MetricsRegistry registry;
    for (int i = 0; i < 5000; ++i) {
        registry.counter("a_total", "", {{"caller", std::to_string(i)}}).add();
    }
    registry.counter("a_total", "", {{"caller", "0"}}).add();
    const auto output = registry.render();
    BOOST_TEST(output.find("a_total{caller=\"other\"} " + std::to_string(5000 - MetricsRegistry::maxSeriesOfFamily) + "\n")
               != std::string::npos);
    BOOST_TEST(output.find("a_total{caller=\"0\"} 2\n") != std::string::npos);
    BOOST_TEST(static_cast<std::size_t>(std::count(output.begin(), output.end(), '\n')) == MetricsRegistry::maxSeriesOfFamily + 3);
}
