#include "instance_metrics.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <optional>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <utility>

namespace Acaciarail::Adapter::Tests {

namespace {

/// Returns the names of the metrics that the operators' page lists for an instance on the platform.
auto documentedNames() -> std::set<std::string>
{
    std::ifstream page(ACACIARAIL_OPERATIONS_PAGE);
    std::set<std::string> out;
    const std::regex name("`(acaciarail_[a-z_]+)`");
    std::string section;
    for (std::string line; std::getline(page, line);) {
        section = line.starts_with("###") ? line : section;
        const bool listed = section == "### Metrics" && line.starts_with("| `acaciarail_");
        const auto row = listed ? line.substr(0, line.find('|', 1)) : std::string();
        for (auto it = std::sregex_iterator(row.begin(), row.end(), name); it != std::sregex_iterator(); ++it) {
            out.insert((*it)[1]);
        }
    }
    return out;
}

/// Returns the names of the metrics in a scrape.
auto renderedNames(const std::string &text) -> std::set<std::string>
{
    std::istringstream in(text);
    std::set<std::string> out;
    const std::string typeLine = "# TYPE ";
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(typeLine)) {
            out.insert(line.substr(typeLine.size(), line.rfind(' ') - typeLine.size()));
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(instanceMetrics)

// Guards against metrics that the operators' page omits, and against listed metrics that do not exist.
BOOST_AUTO_TEST_CASE(thePageAndAScrapeNameTheSameMetrics)
{
    Workflow::EngineHooks hooks;
    hooks.clock.now = [] { return TimePoint(1h); };
    const Workflow::Engine engine({}, std::move(hooks));
    InstanceMetrics metrics;
    metrics.recordRequest("submit", 200, 3ms);
    metrics.recordStoreCall("append", "200", 3ms);
    metrics.recordWorkerCommand("hold", "200", 3ms);
    metrics.recordClosedConnection("callers", "unread");
    metrics.recordDecision({"unit-placed", JobId("j1"), {}, 5ms, 0, true, Workflow::PlacementPath::Free});
    metrics.recordDecision({"start-ineligible", JobId("j1"), {}, {}, 0, true, std::nullopt, Workflow::StartObstacle::Label});
    Workflow::DispatchEvent lost{"worker-lost", {}, {}};
    lost.silence = 10s;
    metrics.recordDecision(lost);
    metrics.recordTakeover(100ms);
    metrics.recordSkippedWorkerEntry();
    metrics.recordMachineListCall("200", 3ms);
    metrics.recordRejectedJob(Workflow::QueueName("queue"));
    const auto rendered = renderedNames(metrics.render(engine));
    const auto documented = documentedNames();
    BOOST_TEST(!documented.empty());
    BOOST_TEST(rendered == documented, boost::test_tools::per_element());
}

// Guards against placements and withheld starts that are counted under another path or reason, or not at all.
BOOST_AUTO_TEST_CASE(placementsAndWithheldStartsAreCountedByLabel)
{
    Workflow::EngineHooks hooks;
    hooks.clock.now = [] { return TimePoint(1h); };
    const Workflow::Engine engine({}, std::move(hooks));
    InstanceMetrics metrics;
    metrics.recordDecision({"unit-placed", JobId("j1"), {}, 5ms, 0, true, Workflow::PlacementPath::Free});
    metrics.recordDecision({"unit-placed", JobId("j2"), {}, 5ms, 0, false, Workflow::PlacementPath::Reserved});
    metrics.recordDecision({"unit-placed", JobId("j3"), {}, 5ms, 0, true, Workflow::PlacementPath::Reserved});
    metrics.recordDecision({"start-ineligible", JobId("j1"), {}, {}, 0, true, std::nullopt, Workflow::StartObstacle::Life});
    const auto text = metrics.render(engine);
    for (const auto *line : {"acaciarail_placements_total{path=\"free\"} 1\n", "acaciarail_placements_total{path=\"reserved\"} 2\n",
                             "acaciarail_withheld_starts_total{reason=\"life\"} 1\n"}) {
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Adapter::Tests
