#include "deployment.h"

#include <boost/test/unit_test.hpp>

namespace Acaciarail::ProcessTest {

namespace {

auto isLogAvailable(Deployment &deployment, const std::string &entry, bool expected) -> bool
{
    const auto now = deployment.status(entry);
    return now.contains("log_available") && now.at("log_available") == expected;
}

/// Publishes a change of one document and returns its new text.
auto changeService(Deployment &deployment, const std::string &entry) -> std::string
{
    const std::string name = "retake.acaciarail.toml";
    auto text = initialDocuments().at(name) + "# changed\n";
    const auto response = deployment.publish(entry, {{name, text}});
    BOOST_REQUIRE_MESSAGE(response.status == 200, response.json.dump());
    return text;
}

auto documentsAt(Deployment &deployment, const std::string &entry) -> nlohmann::json
{
    const auto response = deployment.call(entry, "GET", "/v1/config", operatorToken);
    return response.status == 200 ? response.json : nlohmann::json();
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_log)

/// Guards against an outage of the log that stops work which needs no log, against false refusals during it, and against lost
/// accepted work.
BOOST_AUTO_TEST_CASE(log_outage)
{
    DeploymentSettings settings;
    settings.midwestWorkers = 1;
    settings.endpoints = 4;
    Deployment deployment(settings);
    const auto holder = deployment.holder(midwest);
    const auto other = holder == "entry-0" ? "entry-1" : "entry-0";
    // Occupies the only worker, so that the next jobs wait until there is a second one.
    const auto blocker = submit(deployment, other, makeJob("blocker", 8, 120s, true));
    BOOST_REQUIRE(deployment.waitUntil([&] { return deployment.startsOfJob(blocker) == 1; }));
    const auto waiting = submit(deployment, other, makeJob("waiting", 8, 100ms, true));

    deployment.platform().setMode(Standins::LogMode::Down);
    BOOST_REQUIRE(deployment.waitUntil([&] { return isLogAvailable(deployment, other, false); }));
    const auto idempotent = deployment.callRaw(other, serviceRequest("log-down", 10ms, true));
    BOOST_TEST(idempotent.status == 200, idempotent.json.dump());
    const auto nonIdempotent = deployment.callRaw(other, serviceRequest("log-down-once", 10ms, false));
    BOOST_TEST(nonIdempotent.isRefusal("log-unavailable", "not-run"), nonIdempotent.status << nonIdempotent.json.dump());
    BOOST_TEST(deployment.runsOfValue("log-down-once") == 0U);
    const auto refused = deployment.call(other, "POST", "/v1/jobs", lakeviewToken, makeJob("refused", 1, 100ms, true));
    BOOST_TEST(refused.isRefusal("log-unavailable", "not-run"), refused.status << refused.json.dump());

    deployment.killEntry(holder);
    BOOST_REQUIRE(deployment.waitUntil([&] { return deployment.isHolder(other, midwest); }));
    deployment.addWorker(midwest);
    BOOST_TEST(deployment.waitUntil([&] { return deployment.startsOfJob(waiting) == 1; }), "the accepted job did not start");
    BOOST_TEST(deployment.call(other, "GET", "/v1/jobs/" + blocker, lakeviewToken).text("outcome").empty());

    deployment.platform().setMode(Standins::LogMode::Up);
    BOOST_TEST(deployment.waitUntil([&] { return outcomeOf(deployment, other, waiting) == "succeeded"; }));
    BOOST_TEST(deployment.call(other, "DELETE", "/v1/jobs/" + blocker, lakeviewToken).status == 202);
    BOOST_TEST(deployment.waitUntil([&] { return outcomeOf(deployment, other, blocker) == "cancelled"; }));
    const auto jobs = deployment.call(other, "GET", "/v1/jobs", operatorToken);
    BOOST_TEST(jobs.json.at("jobs").size() == 2U, "a refused job is in the log: " << jobs.json.dump());
    BOOST_TEST(deployment.firstInvalidStart().value_or("") == "");
}

/// Guards against an accepted non-idempotent job that ends without a start because the log was down when the job was due.
BOOST_AUTO_TEST_CASE(non_idempotent_job_waits_for_the_log)
{
    DeploymentSettings settings;
    settings.midwestWorkers = 1;
    Deployment deployment(settings);
    const auto blocker = submit(deployment, "entry-0", makeJob("blocker", 8, 120s, true));
    BOOST_REQUIRE(deployment.waitUntil([&] { return deployment.startsOfJob(blocker) == 1; }));
    // The idempotent job is queued behind the other one, so its start shows that the scheduler has considered the other one.
    const auto once = submit(deployment, "entry-0", makeJob("once", 8, 100ms, false));
    const auto later = submit(deployment, "entry-0", makeJob("later", 8, 100ms, true));
    deployment.platform().setMode(Standins::LogMode::Down);
    BOOST_REQUIRE(deployment.waitUntil([&] { return isLogAvailable(deployment, deployment.holder(midwest), false); }));
    deployment.addWorker(midwest);
    BOOST_TEST(deployment.waitUntil([&] { return deployment.startsOfJob(later) == 1; }));
    BOOST_TEST(deployment.startsOfJob(once) == 0U);
    deployment.platform().setMode(Standins::LogMode::Up);
    BOOST_TEST(deployment.waitUntil([&] { return !outcomeOf(deployment, "entry-0", once).empty(); }));
    BOOST_TEST(outcomeOf(deployment, "entry-0", once) == "succeeded",
               deployment.call("entry-0", "GET", "/v1/jobs/" + once, lakeviewToken).json.dump());
    BOOST_TEST(deployment.startsOfJob(once) == 1U);
}

/// Guards against a zone that keeps an old configuration while the platform is unreachable but its peers are not.
BOOST_AUTO_TEST_CASE(configuration_reaches_a_partitioned_zone)
{
    Deployment deployment;
    deployment.platform().cutZone(ZoneName(southeast));
    BOOST_REQUIRE(deployment.waitUntil([&] { return isLogAvailable(deployment, "entry-2", false); }));
    const auto text = changeService(deployment, "entry-0");
    BOOST_TEST(deployment.waitUntil([&] {
        const auto documents = documentsAt(deployment, "entry-2");
        return documents.is_object() && documents == documentsAt(deployment, "entry-0");
    }));
    BOOST_TEST(documentsAt(deployment, "entry-2").dump().find("# changed") != std::string::npos);
    BOOST_TEST(deployment.platform().isCut(ZoneName(southeast)));
    BOOST_TEST(isLogAvailable(deployment, "entry-2", false), "the platform was reachable");
    deployment.platform().restoreZones();
    BOOST_TEST(deployment.waitUntil([&] { return isLogAvailable(deployment, "entry-2", true); }));
    BOOST_TEST((documentsAt(deployment, "entry-2") == documentsAt(deployment, "entry-0")));
}

/// Guards against accepted jobs and a configuration that exist only in the memory of the instances.
BOOST_AUTO_TEST_CASE(all_instances_replaced)
{
    Deployment deployment;
    changeService(deployment, "entry-0");
    std::vector<std::string> jobs;
    jobs.reserve(6);
    for (int i = 0; i < 6; ++i) {
        jobs.push_back(submit(deployment, "entry-0", makeJob("job-" + std::to_string(i), 8, 1s, i % 2 == 0)));
    }
    BOOST_REQUIRE(deployment.waitUntil([&] { return !deployment.starts().empty(); }));
    const auto documents = documentsAt(deployment, "entry-0");
    for (const auto &it : deployment.entryNames()) {
        deployment.killEntry(it);
    }
    deployment.startEntry("entry-3", midwest);
    deployment.startEntry("entry-4", midwest);
    deployment.startEntry("entry-5", southeast);
    for (const auto &it : deployment.entryNames()) {
        BOOST_TEST(deployment.waitUntil([&] { return documentsAt(deployment, it) == documents; }), "another configuration at " << it);
    }
    for (const auto &it : jobs) {
        BOOST_TEST(deployment.waitUntil([&] { return !outcomeOf(deployment, "entry-3", it).empty(); }), "no outcome of " << it);
    }
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const auto outcome = outcomeOf(deployment, "entry-3", jobs[i]);
        const auto starts = deployment.startsOfJob(jobs[i]);
        BOOST_TEST((outcome == "succeeded" || (i % 2 == 1 && outcome == "lost")), jobs[i] << ": " << outcome);
        BOOST_TEST((i % 2 == 0 || starts <= 1));
    }
    BOOST_TEST(deployment.firstInvalidStart().value_or("") == "");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::ProcessTest
