#include "fake_fleet.h"
#include "sim_world.h"

#include <acaciarail/core/wire.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <numeric>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// An announcement as builds before the main candidates write and read it.
struct PreviousAnnouncement
{
    InstanceName instance;
    double processorShare = 0;
};

} // namespace Acaciarail::Workflow::Tests

ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::Tests::PreviousAnnouncement, v.instance, v.processorShare);

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr std::size_t instanceCount = 45;
constexpr std::size_t zoneCount = 6;
constexpr std::size_t workerCount = 350;
constexpr std::size_t workersPerRack = 20;
constexpr Duration measuredTime = 20s;
/// A caller asks about its job at this interval until it has ended.
constexpr Duration lookupInterval = 1s;
/// In half a second of the load, several jobs are submitted.
constexpr Duration windowLength = 500ms;

/// Jobs of one queue of the load: the rate, and the tasks of a job.
struct Stream
{
    std::string name;
    double jobsPerSecond;
    std::uint32_t count;
    bool gang;
    std::uint32_t accelerators;
    Duration taskTime;
    std::uint32_t priority;
};

const std::vector<Stream> streams{
    {"preview", 6.19, 5, true, 3, 2100ms, 0},
    {"burnin", 2.28, 13, true, 1, 5800ms, 1},
    {"retime", 1.79 * 1.3, 39, false, 1, 6500ms, 2},
};

auto zoneName(std::size_t number) -> ZoneName
{
    return ZoneName("zone" + std::to_string(number % zoneCount));
}

/// A deployment with instances of different sizes in six zones, with the calls that it makes.
class Deployment
{
public:
    explicit Deployment(std::uint64_t seed, std::size_t instances = instanceCount)
        : world(instances, seed)
    {
        world.followsOperatorTopic = true;
        world.configuration.queues.clear();
        for (const auto &it : streams) {
            addQueue(world.configuration, it.name, it.priority, 3);
            world.workers.taskTimes[it.name] = it.taskTime;
        }
        world.workers.taskTimeSpread = 0.4;
        for (std::size_t i = 0; i < workerCount; ++i) {
            const auto name = "w" + std::to_string(100 + i);
            const auto rack = i / workersPerRack;
            world.workers.add(name, {32'000, 65'536, 8}, "rack" + std::to_string(rack));
            world.workers.machines.at(name).info.zone = zoneName(rack);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            // The sizes of the two largest instances, of a few large ones and of many small ones.
            world.instances[i].processorShare = i < 2 ? 0.5 : i < 10 ? 0.25 : 0.09;
            world.instances[i].zone = zoneName(i);
            world.restart(i);
            // Reads of different instances are not in step.
            world.run(std::chrono::milliseconds(5 + seed * 17 % 23));
        }
    }

    auto submitLoad(Duration length, double load) -> void
    {
        for (const auto &stream : streams) {
            const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (stream.jobsPerSecond * load)));
            for (Duration at{}; at < length; at += interval) {
                world.clock.schedule(at, [this, &stream] { submit(stream); });
            }
        }
    }

    [[nodiscard]] auto storeCalls() const -> std::size_t
    {
        return std::accumulate(world.store.calls.begin(), world.store.calls.end(), std::size_t{},
                               [](std::size_t sum, const auto &call) { return sum + call.second; });
    }

    [[nodiscard]] auto polls() -> std::size_t
    {
        return world.workers.calls["poll"] + world.workers.calls["poll without wait"] + world.workers.calls["renewal"];
    }

    SimWorld world;

private:
    auto submit(const Stream &stream) -> void
    {
        StepSpec step;
        step.count = stream.count;
        step.gang = stream.gang;
        step.taskDemand = {1000, 1000, stream.accelerators};
        step.estimate = stream.taskTime;
        // Job ids are hexadecimal numbers.
        constexpr std::uint64_t firstJob = 0xa000'0000;
        auto spec = simpleJob(std::to_string(firstJob + ++m_jobs), stream.name, step);
        spec.payload = stream.name;
        spec.policy.service = ServiceName("service");
        spec.policy.priority = stream.priority;
        spec.policy.maxAttempts = 3;
        world.submit(nextInstance(), spec);
        lookUpLater(spec.id);
    }

    /// Callers are spread over the instances that run.
    auto nextInstance() -> std::size_t
    {
        do {
            m_lastInstance = (m_lastInstance + 1) % world.instances.size();
        } while (!world.instances[m_lastInstance].engine);
        return m_lastInstance;
    }

    auto lookUpLater(const JobId &job) -> void
    {
        world.clock.schedule(lookupInterval, [this, job] {
            world.instances[nextInstance()].engine->lookup(job, [this, job](const LookupResult &found) {
                if (!found.phase || *found.phase == JobPhase::Queued || *found.phase == JobPhase::Running) {
                    lookUpLater(job);
                }
            });
        });
    }

    std::size_t m_jobs = 0;
    std::size_t m_lastInstance = 0;
};

auto callsPerSecond(const std::map<std::string, std::size_t> &before, const std::map<std::string, std::size_t> &after) -> std::string
{
    std::string out;
    for (const auto &[kind, count] : after) {
        const auto it = before.find(kind);
        const auto calls = count - (it == before.end() ? 0 : it->second);
        const auto rate = static_cast<double>(calls) / std::chrono::duration<double>(measuredTime).count();
        out += " " + kind + "=" + std::to_string(rate);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_cost)

struct CostCase
{
    const char *name;
    /// The load as a multiple of an ordinary day's.
    double load;
    /// Calls a second to the store, and to workers apart from starts and stops.
    double maxStoreCalls;
    double maxPolls;
};

auto operator<<(std::ostream &out, const CostCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<CostCase> costCases{
    {"at rest", 0, 117.6, 87.5},
    {"under load", 1, 282.5, 284},
    {"under twice the load", 2, 434.2, 470},
};

// Guards against control that costs more calls to the store than half of what it cost when every instance read both topics at the same
// short intervals (235, 565 and 868 a second), and more polls than half at rest and three fifths under load (of 175, 474 and 784).
BOOST_DATA_TEST_CASE(callsOfADeploymentStayWithinTheirBounds, data::make(costCases), c)
{
    Deployment deployment(1);
    auto &world = deployment.world;
    if (c.load > 0) {
        deployment.submitLoad(Duration(10s) + measuredTime, c.load);
    }
    world.run(10s);
    const auto store = world.store.calls;
    const auto workers = world.workers.calls;
    const auto storeCalls = deployment.storeCalls();
    const auto polls = deployment.polls();
    world.run(measuredTime);
    const auto seconds = std::chrono::duration<double>(measuredTime).count();
    BOOST_TEST_MESSAGE(c.name << ", calls a second:" << callsPerSecond(store, world.store.calls)
                              << callsPerSecond(workers, world.workers.calls));
    BOOST_TEST(world.holders().size() == 1U);
    BOOST_TEST(static_cast<double>(deployment.storeCalls() - storeCalls) / seconds <= c.maxStoreCalls);
    BOOST_TEST(static_cast<double>(deployment.polls() - polls) / seconds <= c.maxPolls);
    BOOST_TEST(world.workers.violations.empty());
}

struct TakeoverCase
{
    const char *name;
    /// Instances that are lost, beside the holder.
    std::vector<std::size_t> lost;
    /// The zone of the holder is lost as a whole.
    bool losesZone;
    Duration limit;
};

auto operator<<(std::ostream &out, const TakeoverCase &c) -> std::ostream &
{
    return out << c.name;
}

// A main candidate needs the time to live, its poll interval and the random delay; when none is left, another instance needs its longer
// interval and the delay of a small instance. The last 200 ms are for the check interval and the calls.
const std::vector<TakeoverCase> takeoverCases{
    {"the holder", {}, false, 1200ms + 300ms + 200ms + 200ms},
    {"the zone of the holder", {}, true, 1200ms + 300ms + 200ms + 300ms + 200ms},
    {"all main candidates", {0, 1, 2, 3}, false, 1200ms + 1800ms + 200ms + 800ms + 200ms},
};

// Guards against takeovers that wait for the longer interval at which most instances read, or for an instance that is gone.
BOOST_DATA_TEST_CASE(aLostHolderIsReplacedInTime, data::make(takeoverCases) * data::xrange(1, 6), c, seed)
{
    Deployment deployment(static_cast<std::uint64_t>(seed));
    auto &world = deployment.world;
    world.run(15s + seed * Duration(137ms));
    BOOST_REQUIRE(world.holders().size() == 1U);
    const auto holder = world.holders().front();
    const auto zone = world.instances[holder].zone;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        const bool lost = i == holder || (c.losesZone && world.instances[i].zone == zone);
        if (lost || std::find(c.lost.begin(), c.lost.end(), i) != c.lost.end()) {
            world.kill(i);
        }
    }
    const auto lostAt = world.clock.now();
    while (world.holders().empty() && world.clock.now() < lostAt + Duration(10s)) {
        world.run(10ms);
    }
    const auto took = world.clock.now() - lostAt;
    BOOST_TEST_MESSAGE(c.name << ", seed " << seed << ": taken over after " << toMilliseconds(took).count() << " ms");
    BOOST_TEST(toMilliseconds(took).count() <= toMilliseconds(c.limit).count());
    world.run(2s);
    BOOST_TEST(world.holders().size() == 1U);
    // The largest instances that are left are preferred.
    if (c.lost.empty()) {
        BOOST_TEST(world.instances[world.holders().front()].processorShare >= 0.25);
    }
}

// Guards against a pool that serves nothing for long after a zone with the holder, other instances and a sixth of the workers is lost.
BOOST_DATA_TEST_CASE(servingResumesAfterALostZone, data::make({std::size_t{45}, std::size_t{300}}) * data::xrange(1, 2), instances, seed)
{
    Deployment deployment(static_cast<std::uint64_t>(seed), instances);
    auto &world = deployment.world;
    deployment.submitLoad(12s, 1);
    world.run(6s + seed * Duration(170ms));
    BOOST_REQUIRE(world.holders().size() == 1U);
    const auto zone = world.instances[world.holders().front()].zone;
    for (std::size_t i = 0; i < instances; ++i) {
        if (world.instances[i].zone == zone) {
            world.kill(i);
        }
    }
    for (const auto &[name, machine] : world.workers.machines) {
        if (machine.info.zone == zone) {
            world.workers.unreachable.insert(name);
        }
    }
    const auto lostAt = world.clock.now();
    // Starts that were sent before the loss are not counted.
    world.run(50ms);
    std::vector<std::size_t> starts{world.workers.startCount};
    std::string report;
    while (world.clock.now() < lostAt + Duration(5s)) {
        world.run(lostAt + windowLength * static_cast<Duration::rep>(starts.size()) - world.clock.now());
        starts.push_back(world.workers.startCount);
        report += " " + std::to_string(starts.back() - starts.front());
    }
    BOOST_TEST_MESSAGE(instances << " instances, seed " << seed << ", starts since the loss, every half second:" << report);
    BOOST_TEST(starts[4] > starts[0], "nothing was started within 2 s");
    for (std::size_t i = 5; i < starts.size(); ++i) {
        BOOST_TEST(starts[i] > starts[i - 1], "nothing was started in half second " << i);
    }
    BOOST_TEST(world.workers.violations.empty());
}

struct ChoiceCase
{
    const char *name;
    /// Instances that take part: shares and zones by number.
    std::vector<InstanceAnnouncement> instances;
    std::vector<std::string> expected;
};

auto operator<<(std::ostream &out, const ChoiceCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ChoiceCase> choiceCases{
    {"few instances", {{InstanceName("a"), 0.1, {}}, {InstanceName("b"), 0.2, {}}}, {"b", "a"}},
    {"the zones are not known",
     {{InstanceName("a"), 0.1, {}},
      {InstanceName("b"), 0.2, {}},
      {InstanceName("c"), 0.1, {}},
      {InstanceName("d"), 0.1, {}},
      {InstanceName("e"), 0.1, {}}},
     {"b", "a", "c", "d"}},
    {"the largest instances are in one zone",
     {{InstanceName("a"), 0.5, ZoneName("x")},
      {InstanceName("b"), 0.5, ZoneName("x")},
      {InstanceName("c"), 0.5, ZoneName("x")},
      {InstanceName("d"), 0.5, ZoneName("x")},
      {InstanceName("e"), 0.1, ZoneName("y")}},
     {"a", "e", "b", "c"}},
    {"more zones than are needed",
     {{InstanceName("a"), 0.1, ZoneName("x")},
      {InstanceName("b"), 0.2, ZoneName("y")},
      {InstanceName("c"), 0.3, ZoneName("z")},
      {InstanceName("d"), 0.4, ZoneName("v")},
      {InstanceName("e"), 0.5, ZoneName("w")}},
     {"e", "d", "c", "b"}},
};

// Guards against main candidates that are all lost with one zone, and against instances that choose differently.
BOOST_DATA_TEST_CASE(mainCandidatesAreTheLargestInSeveralZones, data::make(choiceCases), c)
{
    const auto now = TimePoint(1h);
    for (const auto &self : c.instances) {
        MainCandidates candidates({}, self);
        for (const auto &it : c.instances) {
            candidates.observe(it, now);
        }
        std::vector<std::string> chosen;
        for (const auto &it : candidates.choose(now)) {
            chosen.push_back(it.str());
        }
        BOOST_TEST(chosen == c.expected, boost::test_tools::per_element());
    }
}

// Guards against a rolling restart in which one build cannot read the announcements of the other.
BOOST_AUTO_TEST_CASE(announcementsAreReadableByThePreviousBuild)
{
    auto record = announcementRecord({InstanceName("a"), 0.25, ZoneName("x")});
    PreviousAnnouncement previous;
    BOOST_TEST(!decode(record.value, previous));
    BOOST_TEST(previous.instance.str() == "a");
    BOOST_TEST(previous.processorShare == 0.25);
    record.value = encode(previous);
    SubmissionEntry entry;
    BOOST_TEST(!decodeSubmission(record, entry));
    const auto *announcement = std::get_if<InstanceAnnouncement>(&entry);
    BOOST_REQUIRE(announcement != nullptr);
    BOOST_TEST(announcement->instance.str() == "a");
    BOOST_TEST(announcement->processorShare == 0.25);
    BOOST_TEST(announcement->zone.empty());
}

// Guards against main candidates that have been gone for long, as after each replacement of an instance under a new name.
BOOST_AUTO_TEST_CASE(anInstanceThatIsNoLongerHeardOfIsNoCandidate)
{
    const MainCandidatesSettings settings;
    const auto start = TimePoint(1h);
    MainCandidates candidates(settings, {InstanceName("z"), 0.1, {}});
    for (const auto *name : {"a", "b", "c", "d"}) {
        candidates.observe({InstanceName(name), 0.5, {}}, start);
    }
    BOOST_TEST(!candidates.includesSelf(start));
    BOOST_TEST((candidates.findLarger(InstanceName("a"), start) == MainCandidates::Larger::Elsewhere));
    const auto later = start + settings.announcementLifetime + Duration(1s);
    BOOST_TEST(candidates.includesSelf(later));
    BOOST_TEST((candidates.findLarger(InstanceName("a"), later) == MainCandidates::Larger::None));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
