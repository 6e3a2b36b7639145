#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <sys/wait.h>

#include <algorithm>
#include <csignal>

namespace Acaciarail::ProcessTest {

namespace {

using Exchanges = std::vector<std::unique_ptr<HttpExchange>>;

auto areAllDone(const Exchanges &exchanges) -> bool
{
    return std::all_of(exchanges.begin(), exchanges.end(), [](const auto &it) { return it->isDone(); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(connections)

/// Guards against a holder that continues to use worker connections on which it no longer receives anything.
BOOST_AUTO_TEST_CASE(silent_worker_connections_are_replaced)
{
    Deployment deployment;
    const auto before = submit(deployment, "entry-0", makeJob("before", 1, 100ms, true));
    BOOST_REQUIRE(deployment.waitUntil([&] { return outcomeOf(deployment, "entry-0", before) == "succeeded"; }));
    std::vector<std::uint64_t> accepted;
    for (const auto &it : deployment.workers()) {
        accepted.push_back(it->acceptedCount());
        it->silenceConnections();
    }
    const auto after = submit(deployment, "entry-0", makeJob("after", 8, 100ms, true));
    const auto once = submit(deployment, "entry-0", makeJob("after-once", 8, 100ms, false));
    for (std::size_t i = 0; i < accepted.size(); ++i) {
        BOOST_TEST(deployment.waitUntil([&] { return deployment.workers()[i]->acceptedCount() > accepted[i]; }));
    }
    BOOST_TEST(deployment.waitUntil([&] { return outcomeOf(deployment, "entry-0", after) == "succeeded"; }));
    BOOST_TEST(deployment.waitUntil([&] { return !outcomeOf(deployment, "entry-0", once).empty(); }));
    // Without these connections the holder also loses its lease. The next holder finds the assignment in the log and cannot know
    // that nothing was started, so `lost` is allowed for the non-idempotent job, but never a second start.
    const auto outcome = outcomeOf(deployment, "entry-0", once);
    BOOST_TEST(((outcome == "succeeded" && deployment.startsOfJob(once) == 1) || (outcome == "lost" && deployment.startsOfJob(once) <= 1)),
               outcome << " after " << deployment.startsOfJob(once) << " starts");
    BOOST_TEST(deployment.firstInvalidStart().value_or("") == "");
}

/// Guards against requests that hang on endpoint connections without a response, against non-idempotent requests that are sent
/// twice, and against responses with `not-run` for requests that ran.
BOOST_AUTO_TEST_CASE(silent_endpoint_connections_are_replaced)
{
    DeploymentSettings settings;
    settings.endpoints = 4;
    Deployment deployment(settings);
    constexpr int count = 12;
    Exchanges first;
    for (int i = 0; i < count; ++i) {
        first.push_back(deployment.open("entry-0", serviceRequest("warm-" + std::to_string(i), 50ms, true)));
    }
    BOOST_REQUIRE(deployment.waitUntil([&] { return areAllDone(first); }));
    BOOST_REQUIRE_EQUAL(deployment.endpointControl("POST", "/control", {{"mode", "silent-open"}, {"endpoint", "*"}}).status, 200);

    Exchanges requests;
    for (int i = 0; i < count; ++i) {
        requests.push_back(deployment.open("entry-0", serviceRequest("silent-" + std::to_string(i), 10ms, i % 2 == 0)));
    }
    BOOST_TEST(deployment.waitUntil([&] { return areAllDone(requests); }), "a request has no response");
    int unansweredRequests = 0;
    for (int i = 0; i < count; ++i) {
        const auto value = "silent-" + std::to_string(i);
        const auto runs = deployment.runsOfValue(value);
        const Response response{requests[i]->status(), requests[i]->json()};
        BOOST_TEST(response.status != 0, value);
        BOOST_TEST((i % 2 == 0 || runs <= 1), value << " ran " << runs << " times");
        BOOST_TEST((response.text("execution") != "not-run" || runs == 0), value << " ran " << runs << " times: " << response.json.dump());
        BOOST_TEST((response.status != 200 || runs > 0), value);
        unansweredRequests += response.status == 200 ? 0 : 1;
    }
    BOOST_TEST_MESSAGE("requests on silent connections that were not answered with 200: " << unansweredRequests);
    BOOST_TEST(deployment.waitUntil([&] { return deployment.callRaw("entry-0", serviceRequest("late", 10ms, true)).status == 200; }));
}

/// Guards against a shutdown that aborts requests in progress or never completes.
BOOST_AUTO_TEST_CASE(termination_answers_requests_in_progress)
{
    DeploymentSettings settings;
    settings.endpoints = 4;
    Deployment deployment(settings);
    constexpr std::size_t count = 16;
    const auto job = submit(deployment, "entry-0", makeJob("running", 1, 2s, true));
    Exchanges requests;
    for (std::size_t i = 0; i < count; ++i) {
        requests.push_back(deployment.open("entry-0", serviceRequest("open-" + std::to_string(i), 1s, i % 4 != 0)));
    }
    BOOST_REQUIRE(deployment.waitUntil([&] {
        const auto now = deployment.status("entry-0");
        return now.value("requests_in_flight", 0U) + now.value("requests_queued", 0U) + now.value("requests_delivered", 0U) >= count
            && now.value("requests_in_flight", 0U) > 0;
    }));
    deployment.signalEntry("entry-0", SIGTERM);
    BOOST_TEST(deployment.waitUntil([&] { return areAllDone(requests); }), "a request has no response");
    for (std::size_t i = 0; i < count; ++i) {
        BOOST_TEST(requests[i]->status() == 200, "request " << i << ": " << requests[i]->status() << ' ' << requests[i]->body());
        BOOST_TEST(deployment.runsOfValue("open-" + std::to_string(i)) >= 1U);
    }
    auto &process = deployment.entryProcess("entry-0");
    BOOST_REQUIRE(deployment.waitUntil([&] { return process.waitStatus().has_value(); }));
    BOOST_TEST(WIFEXITED(*process.waitStatus()));
    BOOST_TEST(WEXITSTATUS(*process.waitStatus()) == 0);
    BOOST_TEST(deployment.waitUntil([&] { return outcomeOf(deployment, "entry-1", job) == "succeeded"; }));
    BOOST_TEST(deployment.startsOfJob(job) == 1U);
}

/// Guards against input that crashes the process, refusals without an error code, and access to the jobs of another organisation.
BOOST_AUTO_TEST_CASE(invalid_input_is_refused)
{
    Deployment deployment({{{"entry-0", midwest}}, 1, 0, 0});
    const auto job = submit(deployment, "entry-0", makeJob("own", 1, 60s, true));
    const auto jobPath = "/v1/jobs/" + job;
    const auto authorization = "Authorization: Bearer " + lakeviewToken;
    const std::vector<std::string> malformed{
        "\r\n\r\n\r\n",
        "GET\r\n\r\n",
        "GET /v1/jobs HTTP/9.9\r\n\r\n",
        "GET /v1/jobs HTTP/1.1\r\nno colon\r\n\r\n",
        "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        std::string("\0\1\2\3\xff\xfe", 6) + "\r\n\r\n",
        "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n",
    };
    Exchanges exchanges;
    for (const auto &it : malformed) {
        exchanges.push_back(deployment.open("entry-0", it));
    }
    // An incomplete request must not block others.
    exchanges.push_back(deployment.open("entry-0", "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf"));
    for (const auto *body : {"", "{", "[]", "null", "{\"name\":1}", "{\"shape\":{\"tasks\":-1}}", "{\"name\":\"a\",\"name\":\"b\"}",
                             "\xff\xfe", R"({"name":"a","kind":"a","shape":{"tasks":99999999},"run_time_ms":1})"}) {
        const auto response = deployment.callRaw("entry-0", renderRequest("POST", "/v1/jobs", {authorization}, body));
        BOOST_TEST(response.status >= 400, body);
        BOOST_TEST(response.status < 500, body);
        BOOST_TEST(!response.text("code").empty(), body);
        BOOST_TEST(response.text("execution") == "not-run", body);
    }
    const auto tooLarge = deployment.callRaw("entry-0", renderRequest("POST", "/v1/jobs", {authorization}, std::string(1'200'000, 'x')));
    BOOST_TEST(tooLarge.isRefusal("too-large", "not-run"), tooLarge.status << tooLarge.json.dump());

    BOOST_TEST(deployment.call("entry-0", "GET", jobPath, "").isRefusal("unauthenticated", "not-run"));
    BOOST_TEST(deployment.call("entry-0", "GET", jobPath, "wrong").isRefusal("unauthenticated", "not-run"));
    BOOST_TEST(deployment.call("entry-0", "POST", "/v1/jobs", "wrong", makeJob("a", 1, 1s, true)).isRefusal("unauthenticated", "not-run"));
    BOOST_TEST(deployment.callRaw("entry-0", serviceRequest("a", 1ms, true, "wrong")).isRefusal("unauthenticated", "not-run"));
    BOOST_TEST(deployment.call("entry-0", "GET", "/v1/config", lakeviewToken).isRefusal("forbidden", "not-run"));
    BOOST_TEST(deployment.call("entry-0", "POST", "/v1/drain", lakeviewToken).isRefusal("forbidden", "not-run"));

    for (const auto *method : {"GET", "DELETE"}) {
        BOOST_TEST(deployment.call("entry-0", method, jobPath, pineRidgeToken).isRefusal("unknown-job", "not-run"), method);
    }
    BOOST_TEST(deployment.call("entry-0", "GET", jobPath + "/explain", pineRidgeToken).isRefusal("unknown-job", "not-run"));
    BOOST_TEST(deployment.call("entry-0", "GET", "/v1/jobs", pineRidgeToken).json.at("jobs").empty());

    BOOST_TEST(deployment.waitUntil(
        [&] { return std::all_of(exchanges.begin(), exchanges.end() - 1, [](const auto &it) { return it->isDone(); }); }));
    for (std::size_t i = 0; i < malformed.size(); ++i) {
        BOOST_TEST((exchanges[i]->status() == 0 || exchanges[i]->status() >= 400), malformed[i].substr(0, 80));
    }
    BOOST_TEST(!deployment.entryProcess("entry-0").waitStatus());
    BOOST_TEST(deployment.call("entry-0", "GET", "/healthz", "").status == 200);
    BOOST_TEST(deployment.call("entry-0", "GET", jobPath, lakeviewToken).text("outcome").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::ProcessTest
