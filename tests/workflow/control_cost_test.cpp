#include "fake_fleet.h"
#include "sim_world.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <numeric>
#include <ostream>
#include <string>
#include <vector>

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

/// A deployment of 45 instances of different sizes in six zones, with the calls that it makes.
class Deployment
{
public:
    explicit Deployment(std::uint64_t seed)
        : world(instanceCount, seed)
    {
        world.followsOperatorTopic = true;
        world.configuration.queues.clear();
        for (const auto &it : streams) {
            addQueue(world.configuration, it.name, it.priority, 3);
            world.workers.taskTimes[it.name] = it.taskTime;
        }
        world.workers.taskTimeSpread = 0.4;
        for (std::size_t i = 0; i < workerCount; ++i) {
            world.workers.add("w" + std::to_string(100 + i), {32'000, 65'536, 8}, "rack" + std::to_string(i / workersPerRack));
        }
        for (std::size_t i = 0; i < instanceCount; ++i) {
            // The sizes of the two largest instances, of a few large ones and of many small ones.
            world.instances[i].processorShare = i < 2 ? 0.5 : i < 10 ? 0.25 : 0.09;
            world.instances[i].zone = ZoneName("zone" + std::to_string(i % zoneCount));
            world.restart(i);
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
        world.submit(m_jobs % instanceCount, spec);
        lookUpLater(spec.id);
    }

    auto lookUpLater(const JobId &job) -> void
    {
        world.clock.schedule(lookupInterval, [this, job] {
            // Callers are spread over the instances.
            world.instances[++m_lookups % instanceCount].engine->lookup(job, [this, job](const LookupResult &found) {
                if (!found.phase || *found.phase == JobPhase::Queued || *found.phase == JobPhase::Running) {
                    lookUpLater(job);
                }
            });
        });
    }

    std::size_t m_jobs = 0;
    std::size_t m_lookups = 0;
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
    {"at rest", 0, 240, 88},
    {"under load", 1, 580, 275},
    {"under twice the load", 2, 890, 450},
};

// Guards against control that costs more calls than half of what it cost when every instance read both topics at the same short intervals.
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
