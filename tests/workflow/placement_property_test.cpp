#include "load_replay.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

/// Draws from a generator of its own, so that a pattern does not depend on the order of the replay's draws.
class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] auto number(std::int64_t least, std::int64_t most) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    }
    [[nodiscard]] auto chance(double probability) -> bool
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

private:
    std::mt19937_64 m_random;
};

const std::vector<std::string> labels{"large", "encrypted"};

auto drawClass(Draw &draw, const char *queue, std::uint32_t priority) -> JobClass
{
    JobClass out{.queue = queue, .priority = priority};
    out.rate = static_cast<double>(draw.number(5, 40));
    out.meanTasks = static_cast<double>(draw.number(1, 8));
    out.maxTasks = static_cast<std::uint32_t>(draw.number(1, 12));
    out.gang = draw.chance(priority == 2 ? 0.2 : 0.7);
    out.sameRackShare = draw.chance(0.5) ? 0.7 : 0;
    out.milliCores = draw.number(1, 16) * 500;
    out.memoryMiB = draw.number(1, 16) * 1000;
    out.accelerators = {draw.number(0, 8), draw.number(0, 4), 1};
    out.runTime = std::chrono::milliseconds(draw.number(200, 4000));
    out.stretch = draw.chance(0.5) ? 1.5 : 3;
    out.unevenness = draw.chance(0.5) ? 0.3 : 0;
    out.estimateError = draw.chance(0.5) ? 0.9 : 0.2;
    out.secondStepShare = draw.chance(0.5) ? 0.3 : 0;
    return out;
}

/// Draws a pool, its work, and what the steps require of their workers.
auto drawPattern(std::uint64_t seed) -> LoadPattern
{
    auto draw = std::make_shared<Draw>(seed);
    LoadPattern out;
    out.name = "drawn";
    out.seed = seed;
    out.racks = static_cast<std::size_t>(draw->number(1, 4));
    out.workersPerRack = static_cast<std::size_t>(draw->number(1, 5));
    out.classes = {drawClass(*draw, "urgent", 0), drawClass(*draw, "normal", 1), drawClass(*draw, "background", 2)};
    // The pools are small, so that several jobs wait most of the time.
    for (auto &it : out.classes) {
        it.rate *= 10.0 / static_cast<double>(out.racks * out.workersPerRack);
    }
    out.length = 6s;
    if (draw->chance(0.3)) {
        out.departures = {{2s, 0.3, std::chrono::milliseconds(draw->number(0, 2000)), 4s}};
    }
    out.speeds = draw->chance(0.5) ? std::vector<double>{1} : std::vector<double>{0.55, 1.2};
    out.tailShare = draw->chance(0.3) ? 0.03 : 0;
    out.checkpointInterval = std::chrono::milliseconds(draw->chance(0.5) ? draw->number(100, 2000) : 0);
    out.restoreTime = std::chrono::milliseconds(draw->number(0, 600));
    out.stopTime = std::chrono::milliseconds(draw->number(0, 900));
    out.failureShare = draw->chance(0.3) ? 0.1 : 0;
    if (draw->chance(0.5)) {
        out.organisations = {{"guaranteed", 0.5, draw->number(1, 16)}, {"other", 0.5, 0}};
        // The drawn guarantees may exceed what the drawn labels and racks allow, so their bound is not checked.
        out.reclaimTime = 1h;
    }
    const bool hasLabels = draw->chance(0.7);
    const bool hasOtherService = draw->chance(0.3);
    out.varyWorker = [draw, hasLabels, hasOtherService](WorkerInfo &worker) {
        for (const auto &it : labels) {
            if (hasLabels && draw->chance(0.4)) {
                worker.labels.push_back(it);
            }
        }
        if (hasOtherService && draw->chance(0.3)) {
            worker.service = ServiceName("other");
        }
        worker.capacity.accelerators = draw->number(0, 2) * 4;
    };
    const auto racks = static_cast<std::int64_t>(out.racks);
    out.varyJob = [draw, hasLabels, racks](JobSpec &job) {
        for (auto &it : job.steps) {
            if (hasLabels && draw->chance(0.4)) {
                it.requiredLabel = labels[static_cast<std::size_t>(draw->number(0, 1))];
            }
            it.maxPerWorker = static_cast<std::uint32_t>(draw->chance(0.3) ? draw->number(1, 3) : 0);
            if (draw->chance(0.2)) {
                it.dataRack = RackName("rack" + std::to_string(draw->number(0, racks - 1)));
            }
            it.usesSpareCores = draw->chance(0.1);
        }
    };
    return out;
}

auto environmentNumber(const char *name, std::uint64_t otherwise) -> std::uint64_t
{
    const auto *value = std::getenv(name);
    return value != nullptr ? std::stoull(value) : otherwise;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placementProperty)

// Draws pools, running and waiting work, and compares each start and preemption with a plain check of what callers are promised. Guards
// against placements and preemptions that use capacity twice, ignore a required label, a service or the limit of tasks per worker, or start
// a gang in part, and against work that waits forever although it fits. PLACEMENT_TRIALS sets the number of trials, PLACEMENT_SEED the
// first.
BOOST_AUTO_TEST_CASE(everyStartAndPreemptionKeepsTheContract)
{
    const auto first = environmentNumber("PLACEMENT_SEED", 1);
    const auto trials = environmentNumber("PLACEMENT_TRIALS", 40);
    std::uint64_t preemptions = 0;
    for (auto seed = first; seed < first + trials; ++seed) {
        LoadReplay replay(drawPattern(seed));
        replay.runUntilEnded(1h);
        preemptions += replay.preemptions();
        for (const auto &it : replay.violations) {
            BOOST_ERROR("seed " << seed << ": " << it);
        }
        for (const auto &it : replay.unfinishedPlaceableJobs()) {
            BOOST_ERROR("seed " << seed << ": " << it.str() << " has not ended although it fits");
        }
    }
    BOOST_TEST_MESSAGE(preemptions << " preemptions in " << trials << " trials");
    BOOST_TEST(preemptions > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
