#include "load_replay.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <iomanip>
#include <map>
#include <numeric>
#include <ostream>
#include <sstream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr std::size_t urgent = 0;
constexpr std::size_t normal = 1;
constexpr std::size_t background = 2;

/// Jobs that need nearly all accelerators of the workers together: urgent gangs that are short, long gangs, and many single tasks.
auto threeClasses(double load) -> std::vector<JobClass>
{
    return {
        {.queue = "urgent",
         .priority = 0,
         .rate = 1.96 * load,
         .meanTasks = 7,
         .maxTasks = 46,
         .gang = true,
         .sameRackShare = 0.8,
         .milliCores = 3700,
         .memoryMiB = 20'000,
         .accelerators = {1, 2, 4, 8, 8},
         .runTime = 2500ms,
         .spread = 0.5,
         .stretch = 1.5,
         .targetLatency = 300ms},
        {.queue = "normal",
         .priority = 1,
         .rate = 0.43 * load,
         .meanTasks = 26,
         .maxTasks = 160,
         .gang = true,
         .sameRackShare = 0.6,
         .milliCores = 13'000,
         .memoryMiB = 53'000,
         .accelerators = {1, 2, 4, 8, 8},
         .runTime = 6800ms,
         .spread = 0.3,
         .stretch = 3,
         .targetLatency = 1200ms},
        {.queue = "background",
         .priority = 2,
         .rate = 0.44 * load,
         .meanTasks = 78,
         .maxTasks = 470,
         .milliCores = 2800,
         .memoryMiB = 11'000,
         .runTime = 7600ms,
         .stretch = 3,
         .targetLatency = 3s},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(load)

struct LoadCase
{
    LoadPattern pattern;
    /// Least share of the jobs of each class that end in time, over all seeds.
    double urgentInTime;
    double normalInTime;
    std::vector<std::uint64_t> seeds = {1};
};

auto operator<<(std::ostream &out, const LoadCase &c) -> std::ostream &
{
    return out << c.pattern.name;
}

const std::vector<LoadCase> loadCases{
    {{.name = "nearly full", .racks = 30, .classes = threeClasses(0.9)}, 0.95, 0.9},
    {{.name = "a burst of background work", .racks = 30, .classes = threeClasses(0.9), .bursts = {{background, 4s, 5s, 2.4}}}, 0.95, 0.9},
    {{.name = "a quarter of the workers leaves",
      .racks = 30,
      .classes = threeClasses(0.9),
      .bursts = {{urgent, 1s, 6s, 2.0}, {background, 3s, 5s, 2.4}},
      .departures = {{4s, 0.14, 2200ms, 4s}, {7s, 0.14, 2200ms, 4s}}},
     0.9,
     0.85,
     {1, 2, 3}},
};

// Replays a pool that is full of single tasks. Guards against gangs that wait for whole workers while each accelerator that becomes free is
// given to a task of less urgent work.
BOOST_DATA_TEST_CASE(urgentAndNormalWorkEndsInTimeUnderLoad, data::make(loadCases), c)
{
    std::vector<ClassResult> sums(c.pattern.classes.size());
    for (const auto seed : c.seeds) {
        auto pattern = c.pattern;
        pattern.seed = seed;
        LoadReplay replay(pattern);
        replay.run(40s);
        BOOST_TEST(replay.violations.empty());
        BOOST_TEST(replay.logLinesPerTask() < 1.0);
        for (std::size_t i = 0; i < sums.size(); ++i) {
            const auto result = replay.result(i);
            BOOST_TEST(result.ended == result.submitted, pattern.classes[i].queue << " with seed " << seed);
            sums[i].submitted += result.submitted;
            sums[i].inTime += result.inTime;
        }
    }
    BOOST_TEST(sums[urgent].inTimeShare() >= c.urgentInTime);
    BOOST_TEST(sums[normal].inTimeShare() >= c.normalInTime);
}

// Replays workers that vanish without notice. Guards against a holder whose processor is used up by connections to workers that are gone.
BOOST_AUTO_TEST_CASE(workersThatAreGoneArePolledLessThanOnceASecond)
{
    LoadReplay replay({.name = "half of the workers vanish", .racks = 8, .classes = threeClasses(0.7), .departures = {{5s, 0.5, 0s, 16s}}});
    replay.run(20s);
    BOOST_TEST_MESSAGE(replay.unansweredPollsPerGoneWorker());
    BOOST_TEST(replay.unansweredPollsPerGoneWorker() > 0);
    BOOST_TEST(replay.unansweredPollsPerGoneWorker() < 16);
}

/// Jobs of 2 s each on a pool that is nearly idle.
struct ReplayCase
{
    const char *name;
    void (*change)(LoadPattern &);
    Duration leastLatency;
    Duration mostLatency;
    /// Per job.
    double mostWastedCoreSeconds = 0;
};

auto operator<<(std::ostream &out, const ReplayCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ReplayCase> replayCases{
    {"equal workers", [](LoadPattern &) {}, 2000ms, 2150ms},
    {"slow workers", [](LoadPattern &p) { p.speeds = {0.5}; }, 4000ms, 4150ms},
    {"a gang is as slow as its slowest member",
     [](LoadPattern &p) {
         // Workers of less than half of the usual speed would be replaced.
         p.speeds = {0.6, 1, 1, 1};
         p.classes.front().gang = true;
         // The gang has a member on each worker.
         p.varyJob = [](JobSpec &job) {
             job.steps.front().count = 20;
             job.steps.front().maxPerWorker = 1;
         };
     },
     3333ms, 3500ms},
    {"every task takes seven times as long", [](LoadPattern &p) { p.tailShare = 1; }, 14s, 14150ms},
    {"a second step", [](LoadPattern &p) { p.classes.front().secondStepShare = 1; }, 4000ms, 4300ms},
    {"a run that fails starts again from the beginning", [](LoadPattern &p) { p.failureShare = 1; }, 2200ms, 4300ms, 2.0 * 11},
    {"a run that fails continues from its last checkpoint",
     [](LoadPattern &p) {
         p.failureShare = 1;
         p.checkpointInterval = 200ms;
         p.restoreTime = 100ms;
     },
     2100ms, 2600ms, 0.2 * 11},
};

// Checks the replays themselves: a wrong model of speeds, checkpoints or failures would show decisions as better or worse than they are.
BOOST_DATA_TEST_CASE(replayedWorkTakesTheModelledTime, data::make(replayCases), c)
{
    LoadPattern pattern;
    pattern.name = c.name;
    pattern.racks = 5;
    pattern.workersPerRack = 4;
    pattern.length = 5s;
    // Urgent tasks that seem slow would be restarted.
    JobClass jobs{.queue = "jobs", .priority = 2};
    jobs.rate = 5;
    jobs.milliCores = 3000;
    jobs.runTime = 2s;
    jobs.spread = 0;
    pattern.classes = {jobs};
    c.change(pattern);
    LoadReplay replay(pattern);
    replay.runUntilEnded(60s);
    const auto result = replay.result(0);
    BOOST_TEST(replay.violations.empty());
    BOOST_TEST(result.submitted > 2);
    BOOST_TEST(result.ended == result.submitted);
    BOOST_TEST(toMilliseconds(result.longestLatency).count() >= toMilliseconds(c.leastLatency).count());
    BOOST_TEST(toMilliseconds(result.longestLatency).count() <= toMilliseconds(c.mostLatency).count());
    BOOST_TEST(result.wastedCoreSeconds <= c.mostWastedCoreSeconds * static_cast<double>(result.submitted));
    BOOST_TEST((result.wastedCoreSeconds > 0) == (pattern.failureShare > 0));
}

BOOST_AUTO_TEST_SUITE(value)

/// Jobs of Caption Works at \a load times their usual rates: a stop takes 900 ms, and estimates are off by up to 90%.
auto captionWorks(const char *name, double load) -> LoadPattern
{
    return {.name = name,
            .racks = 2,
            .workersPerRack = 20,
            .workerCapacity = {32'000, 65'536, 8},
            .classes = {{.queue = "preview",
                         .priority = 0,
                         .rate = 1.77 * load,
                         .meanTasks = 5,
                         .maxTasks = 12,
                         .gang = true,
                         .sameRackShare = 0.8,
                         .milliCores = 3000,
                         .memoryMiB = 6000,
                         .accelerators = {1, 2, 4, 8},
                         .runTime = 2100ms,
                         .stretch = 1.5,
                         .targetLatency = 300ms,
                         .unevenness = 0.3,
                         .estimateError = 0.5,
                         .value = 4,
                         .lateValue = 0.8},
                        {.queue = "burnin",
                         .priority = 1,
                         .rate = 0.65 * load,
                         .meanTasks = 13,
                         .maxTasks = 20,
                         .gang = true,
                         .sameRackShare = 0.6,
                         .milliCores = 3000,
                         .memoryMiB = 6000,
                         .accelerators = {1, 2, 4, 8},
                         .runTime = 5800ms,
                         .stretch = 3,
                         .targetLatency = 1200ms,
                         .unevenness = 0.3,
                         .estimateError = 0.9,
                         .value = 3,
                         .lateValue = 0.9},
                        {.queue = "retime",
                         .priority = 2,
                         .rate = 0.51 * load,
                         .meanTasks = 39,
                         .maxTasks = 120,
                         .milliCores = 3000,
                         .memoryMiB = 6000,
                         .runTime = 6500ms,
                         .stretch = 3,
                         .targetLatency = 3s,
                         .unevenness = 0.15,
                         .estimateError = 0.2,
                         .secondStepShare = 0.3,
                         .value = 1,
                         .lateValue = 0.3}},
            .length = 14s,
            .decisionInterval = 20ms,
            .speeds = {0.55, 1.2, 1.2, 1.2},
            .checkpointInterval = 2s,
            .restoreTime = 100ms,
            .stopTime = 900ms,
            .failureShare = 0.02};
}

auto with(LoadPattern pattern, const std::function<void(LoadPattern &)> &change) -> LoadPattern
{
    change(pattern);
    return pattern;
}

/// Jobs of Vindvagt at \a load times their usual rates: a stop takes 200 ms, and a restart from a checkpoint 600 ms.
auto vindvagt(const char *name, double load) -> LoadPattern
{
    return with(captionWorks(name, load), [load](LoadPattern &p) {
        p.racks = 3;
        p.workersPerRack = 12;
        p.workerCapacity = {64'000, 262'144, 8};
        p.speeds = {0.8, 1.0, 1.25};
        p.checkpointInterval = 500ms;
        p.restoreTime = 600ms;
        p.stopTime = 200ms;
        const std::array queues{"gearbox-check", "blade-sweep", "fatigue-report"};
        const std::array rates{2.7, 0.51, 0.5};
        const std::array<Duration, 3> runTimes{2500ms, 8500ms, 7600ms};
        for (std::size_t i = 0; i < p.classes.size(); ++i) {
            p.classes[i].queue = queues.at(i);
            p.classes[i].rate = rates.at(i) * load;
            p.classes[i].runTime = runTimes.at(i);
            p.classes[i].unevenness = 0.15;
        }
        p.classes[urgent].targetLatency = 400ms;
        p.classes[normal].estimateError = 0.2;
    });
}

struct ValueCase
{
    LoadPattern pattern;
    /// Least share of the value of the most and of the least urgent class; the goals of docs/hard-load.md.
    double urgentValue = 0;
    double leastUrgentValue = 0;
};

auto operator<<(std::ostream &out, const ValueCase &c) -> std::ostream &
{
    return out << c.pattern.name;
}

constexpr double previewGoal = 0.85;
constexpr double retimeGoal = 0.80;
constexpr double gearboxCheckGoal = 0.90;

const std::vector<ValueCase> valueCases{
    {with(vindvagt("Vindvagt: a burst of urgent gangs on a pool full of long single tasks", 1.4),
          [](LoadPattern &p) {
              p.classes[background].runTime = 15s;
              p.classes[background].rate *= 1.4;
              p.bursts = {{background, 0s, 4s, 2.5}, {urgent, 5s, 5s, 3.5}};
          }),
     gearboxCheckGoal},
    {with(captionWorks("Caption Works: a burst of urgent gangs on a pool full of long single tasks", 1.5),
          [](LoadPattern &p) {
              p.classes[background].runTime = 15s;
              p.classes[background].rate *= 1.4;
              p.bursts = {{background, 0s, 4s, 2.5}, {urgent, 5s, 5s, 3.0}};
          }),
     previewGoal, retimeGoal},
    {with(vindvagt("Vindvagt: two bursts in a row", 1.4),
          [](LoadPattern &p) {
              p.bursts = {{background, 0s, 4s, 2.0}, {urgent, 3s, 3s, 3.0}, {urgent, 9s, 3s, 3.0}};
          }),
     gearboxCheckGoal},
    {with(captionWorks("Caption Works: a tenth of the workers is removed during the burst", 1.5),
          [](LoadPattern &p) {
              p.bursts = {{background, 0s, 4s, 2.0}, {urgent, 4s, 5s, 3.0}};
              p.departures = {{5s, 0.1, 2200ms, 4s}};
          }),
     previewGoal, retimeGoal},
    {with(captionWorks("Caption Works: slow and fast workers", 1.0),
          [](LoadPattern &p) {
              p.bursts = {{urgent, 4s, 4s, 2.0}};
          }),
     previewGoal, retimeGoal},
    {with(captionWorks("Caption Works: estimates off by 90%", 1.5),
          [](LoadPattern &p) {
              for (auto &it : p.classes) {
                  it.estimateError = 0.9;
              }
              p.bursts = {{background, 0s, 4s, 2.0}, {urgent, 4s, 4s, 3.0}};
          }),
     previewGoal, retimeGoal},
    {with(captionWorks("Caption Works: 3% of the tasks take seven times as long", 1.4),
          [](LoadPattern &p) {
              p.tailShare = 0.03;
              p.bursts = {{urgent, 4s, 4s, 2.0}};
          }),
     previewGoal, retimeGoal},
    {with(vindvagt("Vindvagt: guarantees during a burst", 1.4),
          [](LoadPattern &p) {
              p.reclaimTime = 2700ms;
              p.organisations = {{"small", 0.2, 64}, {"large", 0.3, 192}, {"without", 0.5, 0}};
              p.bursts = {{background, 0s, 4s, 2.5}, {urgent, 4s, 5s, 3.0}};
          }),
     gearboxCheckGoal},
    {with(captionWorks("Caption Works: guarantees during a burst", 1.2),
          [](LoadPattern &p) {
              p.reclaimTime = 3400ms;
              p.organisations = {{"small", 0.2, 64}, {"large", 0.3, 160}, {"without", 0.5, 0}};
              p.bursts = {{background, 0s, 4s, 2.5}, {urgent, 4s, 5s, 3.0}};
          }),
     previewGoal, retimeGoal},
};

/// A scheduler that a replay is played with.
struct Scheduler
{
    const char *name;
    void (*configure)(DispatcherSettings &);
};

const std::vector<Scheduler> schedulers{
    {"product", [](DispatcherSettings &) {}},
    {"first come, first served",
     [](DispatcherSettings &s) {
         s.queueOrder = [](const QueuePosition &a, const QueuePosition &b) { return a.readySince < b.readySince; };
         s.preempt = false;
         s.reserveForPriorities = false;
         s.placeBySpeed = false;
     }},
    {"priority, then age",
     [](DispatcherSettings &s) {
         s.queueOrder = [](const QueuePosition &a, const QueuePosition &b) {
             return std::pair(a.priority, a.readySince) < std::pair(b.priority, b.readySince);
         };
         s.preempt = false;
         s.reserveForPriorities = false;
         s.placeBySpeed = false;
     }},
    // Each decision that is added switches itself off here.
    {"code before",
     [](DispatcherSettings &s) {
         s.queueOrder = [](const QueuePosition &a, const QueuePosition &b) {
             const auto key = [](const QueuePosition &p) {
                 return std::tuple(!p.guaranteed, p.cannotFinishInTime, p.priority, p.readySince);
             };
             return key(a) < key(b);
         };
         s.placeBySpeed = false;
     }},
};

/// Results of one scheduler with one pattern, summed over the seeds.
struct ValueResult
{
    std::vector<ClassResult> classes;
    std::vector<std::string> violations;
    std::uint64_t preemptions = 0;
    std::size_t guaranteedJobs = 0;
    Duration longestReclaim{};

    [[nodiscard]] auto earned() const -> double
    {
        return std::accumulate(classes.begin(), classes.end(), 0.0, [](double sum, const ClassResult &r) { return sum + r.earned; });
    }
    [[nodiscard]] auto owed() const -> double
    {
        return std::accumulate(classes.begin(), classes.end(), 0.0, [](double sum, const ClassResult &r) { return sum + r.owed; });
    }
};

/// Returns the number of seeds that each pattern is played with; more of them, for a comparison by hand, are set in the environment.
auto seedCount() -> std::uint64_t
{
    constexpr std::uint64_t defaultSeeds = 3;
    const auto *text = std::getenv("LOAD_SEEDS");
    return text == nullptr ? defaultSeeds : std::strtoull(text, nullptr, 10);
}

auto play(const LoadPattern &pattern, const Scheduler &scheduler) -> ValueResult
{
    const auto seeds = seedCount();
    ValueResult out;
    out.classes.resize(pattern.classes.size());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto seeded = pattern;
        seeded.seed = seed;
        DispatcherSettings settings;
        scheduler.configure(settings);
        LoadReplay replay(seeded, settings);
        replay.runUntilEnded(200s);
        for (std::size_t i = 0; i < out.classes.size(); ++i) {
            out.classes[i] += replay.result(i);
        }
        out.violations.insert(out.violations.end(), replay.violations.begin(), replay.violations.end());
        out.preemptions += replay.preemptions();
        out.guaranteedJobs += replay.guaranteedJobs();
        out.longestReclaim = std::max(out.longestReclaim, replay.longestReclaim());
    }
    return out;
}

/// Returns the results of all schedulers, in their order. They are kept, as several tests check them.
auto resultsOf(const LoadPattern &pattern) -> const std::vector<ValueResult> &
{
    static std::map<std::string, std::vector<ValueResult>> results;
    auto &out = results[pattern.name];
    if (!out.empty()) {
        return out;
    }
    std::ostringstream table;
    table << std::fixed << std::left << pattern.name;
    for (const auto &scheduler : schedulers) {
        const auto &result = out.emplace_back(play(pattern, scheduler));
        table << "\n  " << std::setw(25) << scheduler.name << std::setprecision(3) << result.earned() / result.owed() << " of "
              << std::setprecision(1) << result.owed() << ", preemptions " << result.preemptions;
        if (result.guaranteedJobs > 0) {
            table << ", guaranteed jobs " << result.guaranteedJobs << ", longest reclaim " << toMilliseconds(result.longestReclaim).count()
                  << " ms";
        }
        for (std::size_t i = 0; i < result.classes.size(); ++i) {
            const auto &it = result.classes[i];
            table << "\n    " << std::setw(15) << pattern.classes[i].queue << std::setprecision(3) << it.valueShare() << " of "
                  << std::setprecision(1) << it.owed << ", ended " << it.ended << '/' << it.submitted << ", in time " << it.inTime
                  << ", late " << it.late << ", worthless " << it.worthless << ", wasted core-s " << std::setprecision(0)
                  << it.wastedCoreSeconds;
        }
    }
    BOOST_TEST_MESSAGE(table.str());
    return out;
}

// Replays the load patterns of docs/hard-load.md. Guards against jobs that never end, and against broken rules: capacity that is used twice
// while a run is being stopped, tasks that run twice, members that start late, guarantees that are not kept.
BOOST_DATA_TEST_CASE(allJobsEndAndNoRuleIsBroken, data::make(valueCases), c)
{
    const auto &product = resultsOf(c.pattern).front();
    for (const auto &it : product.violations) {
        BOOST_ERROR(it);
    }
    for (const auto &it : product.classes) {
        BOOST_TEST(it.ended == it.submitted);
    }
    BOOST_TEST((product.guaranteedJobs > 0) == !c.pattern.organisations.empty());
}

// Guards against decisions that cost callers more than simple rules do.
BOOST_DATA_TEST_CASE(theProductEarnsAtLeastAsMuchAsEachBaseline, data::make(valueCases), c)
{
    const auto &results = resultsOf(c.pattern);
    for (std::size_t i = 1; i < results.size(); ++i) {
        BOOST_TEST(results.front().earned() >= results[i].earned(), schedulers[i].name);
    }
}

// Guards against urgent work that is served worst when capacity is short, and against less urgent work that pays for all of it.
BOOST_DATA_TEST_CASE(urgentAndLeastUrgentWorkReachTheirGoals, data::make(valueCases), c)
{
    const auto &product = resultsOf(c.pattern).front();
    BOOST_TEST(product.classes.front().valueShare() >= c.urgentValue);
    BOOST_TEST(product.classes.back().valueShare() >= c.leastUrgentValue);
}

BOOST_AUTO_TEST_SUITE_END()

// Each pattern has a CTest entry. Guards against patterns that are added to the table and not played.
BOOST_AUTO_TEST_CASE(eachValuePatternHasACTestEntry)
{
    BOOST_TEST(value::valueCases.size() == LOAD_VALUE_PATTERNS);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
