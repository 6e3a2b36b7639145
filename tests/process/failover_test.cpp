#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>

namespace Acaciarail::ProcessTest {

namespace {

auto otherEntry(Deployment &deployment, const std::string &entry) -> std::string
{
    const auto names = deployment.entryNames();
    return *std::find_if(names.begin(), names.end(), [&entry](const std::string &it) { return it != entry; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(failover)

/// Guards against a zone that stays without a holder, jobs that are lost, and attempts that start twice, when the holder is killed
/// while jobs start and run.
BOOST_AUTO_TEST_CASE(killed_holder_is_replaced)
{
    Deployment deployment;
    const auto killed = deployment.holder(midwest);
    const auto survivor = otherEntry(deployment, killed);
    std::vector<std::string> jobs;
    jobs.reserve(7);
    for (int i = 0; i < 6; ++i) {
        jobs.push_back(submit(deployment, survivor, makeJob("before-" + std::to_string(i), 8, 1s, i % 2 == 0)));
    }
    BOOST_REQUIRE(deployment.waitUntil([&] { return !deployment.starts().empty(); }));
    deployment.killEntry(killed);
    jobs.push_back(submit(deployment, survivor, makeJob("after", 1, 100ms, true)));
    BOOST_TEST(deployment.waitUntil([&] { return !deployment.holder(midwest).empty(); }));
    for (const auto &it : jobs) {
        BOOST_TEST(deployment.waitUntil([&] { return !outcomeOf(deployment, survivor, it).empty(); }), "no outcome of " << it);
    }
    BOOST_TEST(outcomeOf(deployment, survivor, jobs.back()) == "succeeded");
    BOOST_TEST(deployment.firstInvalidStart().value_or("") == "");
    for (std::size_t i = 1; i < 6; i += 2) {
        BOOST_TEST(deployment.startsOfJob(jobs[i]) <= 1U);
    }
}

/// Guards against a holder that was paused beyond the end of its lease and executes old decisions after another one took over.
BOOST_AUTO_TEST_CASE(paused_holder_executes_no_old_decisions)
{
    Deployment deployment;
    const auto paused = deployment.holder(midwest);
    const auto other = otherEntry(deployment, paused);
    // One job runs during the pause, and the others wait for its end or are about to start.
    std::vector<std::string> jobs{submit(deployment, other, makeJob("long", 8, 5s, false))};
    for (int i = 0; i < 8; ++i) {
        jobs.push_back(submit(deployment, other, makeJob("queued-" + std::to_string(i), 8, 300ms, i % 2 == 0)));
    }
    BOOST_REQUIRE(deployment.waitUntil([&] { return deployment.starts().size() >= 2; }));
    deployment.signalEntry(paused, SIGSTOP);
    std::string successor;
    BOOST_REQUIRE(deployment.waitUntil([&] {
        const auto names = deployment.entryNames();
        const auto it = std::find_if(names.begin(), names.end(),
                                     [&](const std::string &name) { return name != paused && deployment.isHolder(name, midwest); });
        successor = it == names.end() ? std::string() : *it;
        return !successor.empty();
    }));
    std::map<std::string, Term> terms;
    for (const auto &it : deployment.workers()) {
        terms[it->model().info().name.str()] = it->model().term();
    }
    const auto startsBefore = deployment.starts().size();
    deployment.signalEntry(paused, SIGCONT);
    BOOST_TEST(deployment.waitUntil([&] { return !deployment.status(paused).empty() && !deployment.isHolder(paused, midwest); }));
    for (const auto &it : jobs) {
        BOOST_TEST(deployment.waitUntil([&] { return !outcomeOf(deployment, successor, it).empty(); }), "no outcome of " << it);
    }
    for (const auto &it : deployment.workers()) {
        BOOST_TEST((it->model().term() >= terms[it->model().info().name.str()]));
    }
    for (std::size_t i = startsBefore; i < deployment.starts().size(); ++i) {
        const auto &it = deployment.starts()[i];
        BOOST_TEST((it.term >= terms[it.worker]), "a start under the old term: " << it.id.job.str());
    }
    BOOST_TEST(deployment.firstInvalidStart().value_or("") == "");
    for (const auto &it : jobs) {
        BOOST_TEST(outcomeOf(deployment, successor, it) == "succeeded", it << ": " << outcomeOf(deployment, successor, it));
    }
    for (std::size_t i = 2; i < jobs.size(); i += 2) {
        BOOST_TEST(deployment.startsOfJob(jobs[i]) <= 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::ProcessTest
