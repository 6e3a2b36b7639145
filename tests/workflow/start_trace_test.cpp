#include "dispatcher_state.h"
#include "fake_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand workerCapacity{32'000, 65'536, 8};
constexpr TimePoint begin{1h};

auto makeStep(std::uint32_t count, std::int64_t accelerators, bool gang) -> StepSpec
{
    StepSpec step;
    step.count = count;
    step.taskDemand = {1000, 1000, accelerators};
    step.estimate = 20s;
    step.gang = gang;
    return step;
}

/// Returns a fleet of four workers; tasks take 20 s, those of the job "urgent" 2 s.
auto makeFleet() -> FakeFleet
{
    FakeFleet fleet(2, 2, workerCapacity);
    fleet.duration = [](const TaskId &t) { return t.job.str() == "urgent" ? Duration(2s) : Duration(20s); };
    addQueue(*fleet.configuration, "urgent", 0);
    addQueue(*fleet.configuration, "background", 2);
    return fleet;
}

/// Fills a fleet with single tasks of one accelerator.
auto fill(FakeFleet &fleet, int tasks) -> void
{
    for (int i = 0; i < tasks; ++i) {
        fleet.submit(simpleJob("single" + std::to_string(i), "background", makeStep(1, 1, false)));
    }
    fleet.run(1s);
}

/// Returns the value of a field of an event, or an empty string without the field.
auto valueOf(const std::string &event, std::string_view key) -> std::string
{
    const auto at = event.find(' ' + std::string(key) + '=');
    if (at == std::string::npos) {
        return {};
    }
    const auto first = at + key.size() + 2;
    return event.substr(first, event.find(' ', first) - first);
}

auto eventsOf(const std::vector<std::string> &events, std::string_view name, std::string_view job = {}) -> std::vector<std::string>
{
    std::vector<std::string> out;
    std::copy_if(events.begin(), events.end(), std::back_inserter(out),
                 [&](const std::string &e) { return e.starts_with(std::string(name) + ' ' + std::string(job)); });
    return out;
}

/// A dispatcher that is told of one worker, without a fleet.
struct OneWorker
{
    std::vector<std::string> events;
    Dispatcher dispatcher{{}, [this](const DispatchEvent &e) { events.push_back(std::string(e.name) + ' ' + e.details); }, begin};
    WorkerInfo info;

    OneWorker()
    {
        info.name = WorkerName("w");
        info.service = ServiceName("service");
        info.rack = RackName("r1-2");
        info.labels = {"a", "r1-2"};
        info.capacity = workerCapacity;
        info.incarnation = 100;
    }
    auto list() -> void
    {
        dispatcher.workerListed(info, begin);
    }
    auto report(std::int64_t incarnation) -> void
    {
        WorkerReport report;
        report.incarnation = incarnation;
        PollCommand poll;
        poll.worker = info.name;
        dispatcher.pollAnswered(poll, begin, report, begin);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(startTrace)

struct PathCase
{
    const char *name;
    bool gang;
    /// Single tasks that run when the job arrives.
    int running;
    const char *requiredLabel;
    const char *event;
    const char *path;
    const char *loggedLabel;
};

auto operator<<(std::ostream &out, const PathCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<PathCase> pathCases{
    {"a task on free capacity", false, 0, "", "tasks-placed", "free", ""},
    {"a task with a label", false, 0, "rack1", "tasks-placed", "free", "rack1"},
    {"a gang with a label", true, 0, "rack1", "unit-placed", "free", "rack1"},
    {"a task that preempts", false, 32, "rack1", "tasks-placed", "reserved", "rack1"},
    {"a gang that preempts", true, 32, "", "unit-placed", "reserved", ""},
};

// Guards against starts of which the log does not say how their workers were found, or what their unit requires.
BOOST_DATA_TEST_CASE(aPlacementNamesItsPathAndTheRequiredLabel, data::make(pathCases), c)
{
    auto fleet = makeFleet();
    fill(fleet, c.running);
    auto step = makeStep(c.gang ? 2 : 1, 8, c.gang);
    step.requiredLabel = c.requiredLabel;
    fleet.submit(simpleJob("urgent", "urgent", step));
    const auto placements = [&] { return eventsOf(fleet.events, c.event, "urgent "); };
    BOOST_REQUIRE(fleet.runUntil([&] { return !placements().empty(); }, 5s));
    BOOST_TEST(valueOf(placements()[0], "path") == c.path);
    BOOST_TEST(valueOf(placements()[0], "required_label") == c.loggedLabel);
    const bool reserved = std::string_view(c.path) == placementPathName(PlacementPath::Reserved);
    const auto running = static_cast<std::uint64_t>(c.running);
    const PlacementCounts expected{running + (reserved ? 0 : 1), reserved ? 1U : 0U, 0};
    BOOST_TEST(fleet.stats().placements == expected, boost::test_tools::per_element());
}

// Guards against a start on an avoided worker that looks like one on ordinary free capacity.
BOOST_AUTO_TEST_CASE(aPlacementInsteadOfAPreemptionNamesItsPath)
{
    FakeFleet fleet(1, 1, workerCapacity);
    fleet.duration = [](const TaskId &) { return Duration(1s); };
    fleet.ending = [](const StartCommand &command) { return command.run == 1 ? EndKind::Failed : EndKind::Done; };
    addQueue(*fleet.configuration, "urgent", 0);
    fleet.submit(simpleJob("urgent", "urgent", makeStep(1, 8, false)));
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.outcome("urgent").has_value(); }, 20s));
    const auto placed = eventsOf(fleet.events, "tasks-placed");
    BOOST_REQUIRE(placed.size() == 2U);
    BOOST_TEST(valueOf(placed[0], "path") == "free");
    BOOST_TEST(valueOf(placed[1], "path") == "preempting");
    BOOST_TEST((fleet.stats().placements == PlacementCounts{1, 0, 1}));
}

// Guards against tasks of different paths that share one log line, which would name only one of the paths. One task waits for a preemption
// and another for the end of urgent work; the time between the two events varies, so that some rounds place both tasks.
BOOST_AUTO_TEST_CASE(tasksOfDifferentPathsAreLoggedApart)
{
    std::size_t sharedRounds = 0;
    for (auto wait = 2800ms; wait < 3100ms; wait += 20ms) {
        FakeFleet fleet(1, 2, workerCapacity);
        fleet.duration = [](const TaskId &t) { return t.job.str() == "long" ? Duration(20s) : Duration(3s); };
        addQueue(*fleet.configuration, "urgent", 0);
        addQueue(*fleet.configuration, "background", 2);
        fleet.submit(simpleJob("long", "background", makeStep(1, 8, false)));
        fleet.run(400ms);
        fleet.submit(simpleJob("short", "urgent", makeStep(1, 8, false)));
        fleet.run(wait);
        fleet.submit(simpleJob("pair", "urgent", makeStep(2, 8, false)));
        BOOST_REQUIRE(fleet.runUntil([&] { return fleet.outcome("pair").has_value(); }, 30s));
        const auto placed = eventsOf(fleet.events, "tasks-placed", "pair ");
        std::multiset<std::string> paths;
        for (const auto &it : placed) {
            paths.insert(valueOf(it, "path"));
            BOOST_TEST(valueOf(it, "tasks") == "1");
        }
        BOOST_TEST((paths == std::multiset<std::string>{"free", "reserved"}),
                   "paths " << paths.size() << " after " << wait.count() << " ms");
        // The lines of a round are written together.
        const auto first = std::find(fleet.events.begin(), fleet.events.end(), placed.at(0));
        sharedRounds += placed.size() == 2 && *std::next(first) == placed[1] ? 1 : 0;
    }
    BOOST_TEST(sharedRounds > 0U);
}

// Guards against a repeated start command that cannot be told from the first one, and against two log lines for one missing response.
BOOST_AUTO_TEST_CASE(aRepeatedStartNamesTheAttemptAndTheLife)
{
    auto fleet = makeFleet();
    fleet.workers.at(WorkerName("w0-0")).scriptedResponses = {StartOutcome::Unknown, StartOutcome::Unknown};
    auto step = makeStep(1, 8, false);
    step.requiredLabel = "rack0";
    fleet.submit(simpleJob("urgent", "urgent", step));
    fleet.run(1s);
    const auto repeated = eventsOf(fleet.events, "start-repeated", "urgent ");
    BOOST_REQUIRE(repeated.size() == 2U);
    BOOST_TEST(valueOf(repeated[0], "attempt") == "2");
    BOOST_TEST(valueOf(repeated[1], "attempt") == "3");
    BOOST_TEST(valueOf(repeated[1], "worker") == "w0-0");
    BOOST_TEST(valueOf(repeated[1], "life") == "1");
    BOOST_TEST(valueOf(repeated[1], "labels") == "a,rack0");
    BOOST_TEST(valueOf(repeated[1], "required_label") == "rack0");
    BOOST_TEST(eventsOf(fleet.events, "start-refused").empty());
}

struct EntryCase
{
    const char *name;
    void (*change)(WorkerInfo &);
    /// Field of the new line that shows the change, or none without a line.
    const char *key;
    const char *value;
};

auto operator<<(std::ostream &out, const EntryCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<EntryCase> entryCases{
    {"nothing", [](WorkerInfo &) {}, nullptr, nullptr},
    {"another capacity", [](WorkerInfo &w) { w.capacity.milliCores = 1; }, nullptr, nullptr},
    {"another service", [](WorkerInfo &w) { w.service = ServiceName("s2"); }, "service", "s2"},
    {"another rack", [](WorkerInfo &w) { w.rack = RackName("r1-3"); }, "rack", "r1-3"},
    {"other labels",
     [](WorkerInfo &w) {
         w.labels = {"a-next", "r1-2"};
     },
     "labels", "a-next,r1-2"},
    {"other labels, compared to before", [](WorkerInfo &w) { w.labels = {}; }, "previous_labels", "a,r1-2"},
    {"a label that would forge a field", [](WorkerInfo &w) { w.labels = {"x\nlife=7"}; }, "labels", "\"x\\x0alife=7\""},
    {"another life", [](WorkerInfo &w) { w.incarnation = 200; }, "life", "200"},
    {"another life, compared to before", [](WorkerInfo &w) { w.incarnation = 200; }, "previous_life", "100"},
    {"a shutdown", [](WorkerInfo &w) { w.draining = true; }, "state", "draining"},
};

// Guards against a worker whose kind or life changes without a trace in the log, and against a line for each reading of the list.
BOOST_DATA_TEST_CASE(aChangeOfAWorkersEntryIsLogged, data::make(entryCases), c)
{
    OneWorker one;
    one.list();
    BOOST_REQUIRE(one.events.size() == 1U);
    BOOST_TEST(one.events[0] == "worker-listed worker=w state=ready service=service rack=r1-2 labels=a,r1-2 life=100");
    c.change(one.info);
    one.list();
    BOOST_REQUIRE(one.events.size() == (c.key != nullptr ? 2U : 1U));
    if (c.key != nullptr) {
        BOOST_TEST(one.events[1].starts_with("worker-listed "));
        BOOST_TEST(valueOf(one.events[1], c.key) == c.value);
    }
}

struct RestartCase
{
    const char *name;
    /// Life of the first report, or 0 without one.
    std::int64_t firstReport;
    /// Whether the entry is removed from the list before the restart shows.
    bool isUnlisted;
    /// Life of the next entry, which has other labels, or 0 without one.
    std::int64_t nextEntry;
    std::vector<std::string> events;
};

auto operator<<(std::ostream &out, const RestartCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::string unlistedEvent = "worker-unlisted worker=w";
const std::string listedEvent = "worker-listed worker=w state=ready service=service rack=r1-2 labels=a-next life=200 "
                                "previous_labels=a,r1-2 previous_life=100 reported_life=100";
const std::string rebornEvent = "worker-reborn worker=w units=0 shown_by=list previous_life=100 service=service labels=a-next "
                                "listed_life=200 life=200";

const std::vector<RestartCase> restartCases{
    {"a report shows it",
     100,
     false,
     0,
     {"worker-reborn worker=w units=0 shown_by=report previous_life=100 service=service labels=a,r1-2 listed_life=100 life=200"}},
    {"the list shows it", 100, false, 200, {listedEvent, rebornEvent}},
    {"the list shows it once the old entry was removed", 100, true, 200, {unlistedEvent, listedEvent, rebornEvent}},
    {"the first report shows that the entry is old",
     0,
     false,
     0,
     {"worker-life-differs worker=w service=service labels=a,r1-2 listed_life=100 life=200"}},
    {"an entry is older than the reports",
     200,
     false,
     150,
     {"worker-listed worker=w state=ready service=service rack=r1-2 labels=a-next life=150 previous_labels=a,r1-2 previous_life=100 "
      "reported_life=200"}},
};

// Guards against a restart that does not show whether the known labels are those of the new life.
BOOST_DATA_TEST_CASE(aRestartNamesBothLivesAndTheKnownLabels, data::make(restartCases), c)
{
    OneWorker one;
    one.list();
    if (c.firstReport != 0) {
        one.report(c.firstReport);
    }
    one.events.clear();
    if (c.isUnlisted) {
        one.dispatcher.workerUnlisted(one.info.name, begin);
    }
    if (c.nextEntry != 0) {
        one.info.incarnation = c.nextEntry;
        one.info.labels = {"a-next"};
        one.list();
    }
    one.report(200);
    BOOST_TEST(one.events == c.events, boost::test_tools::per_element());
}

const std::vector<std::string> obstacleNames{"service", "label", "spread", "life", "draining", "evacuated"};

// Guards against a withheld start that is not counted, or under another reason than the log names.
BOOST_DATA_TEST_CASE(aWithheldStartIsLoggedAndCountedByItsReason, data::xrange(startObstacleCount) ^ data::make(obstacleNames), number,
                     reason)
{
    std::vector<DispatchEvent> events;
    Dispatcher::State state(
        {}, [&](const DispatchEvent &e) { events.push_back(e); }, begin);
    Job job;
    StepSpec step;
    step.requiredLabel = "a-next";
    Unit unit;
    unit.id = {JobId("j1"), 0, 1, 2};
    unit.job = &job;
    unit.step = &step;
    unit.record.run = 3;
    Worker worker;
    worker.info.name = WorkerName("w");
    worker.info.service = ServiceName("service");
    worker.info.labels = {"a", "r1-2"};
    worker.info.incarnation = 100;
    worker.incarnation = 200;
    const auto obstacle = static_cast<StartObstacle>(number);
    state.reportIneligibleStart(unit, unit.task(0), worker, obstacle);
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST(events[0].name == "start-ineligible");
    BOOST_TEST((events[0].job == JobId("j1") && events[0].obstacle == obstacle && events[0].logged));
    BOOST_TEST(events[0].details
               == "worker=w step=1 index=2 run=3 reason=" + reason
                   + " required_label=a-next service=service labels=a,r1-2 listed_life=100 life=200");
    WithheldStartCounts expected{};
    expected.at(number) = 1;
    BOOST_TEST(state.withheldStarts == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
