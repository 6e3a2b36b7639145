#include <acaciarail/workflow/worker_speeds.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <string>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr std::size_t workerCount = 20;

auto workerName(std::size_t i) -> WorkerName
{
    return WorkerName("w" + std::to_string(i));
}

} // namespace

BOOST_AUTO_TEST_SUITE(workerSpeeds)

struct SpeedCase
{
    const char *name;
    /// Every fourth worker works this many times as fast as the others.
    double fast;
    /// Tasks of a step differ by up to this share.
    double unevenness;
    /// Every this many-th task has seven times the work of its siblings; 0 for none.
    std::size_t longTaskInterval;
};

auto operator<<(std::ostream &out, const SpeedCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<SpeedCase> speedCases{
    {"equal work", 2.2, 0, 0},
    {"uneven work", 2.2, 0.3, 0},
    {"some tasks have far more work", 2.2, 0.15, 33},
    {"slower instead of faster", 0.45, 0.15, 33},
    {"all workers are equal", 1.0, 0.15, 33},
};

// Guards against speeds that follow the work of single tasks instead of the worker, and against work on slow workers because the fast ones
// are not recognised.
BOOST_DATA_TEST_CASE(speedsFollowTheWorkersAndNotTheTasks, data::make(speedCases), c)
{
    WorkerSpeeds speeds;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> unevenness(-1, 1);
    std::uint64_t run = 0;
    for (std::size_t step = 0; step < 12; ++step) {
        std::vector<ProgressSample> siblings;
        for (std::size_t i = 0; i < workerCount; ++i) {
            ++run;
            const auto work =
                (1.0 + c.unevenness * unevenness(random)) * (c.longTaskInterval > 0 && run % c.longTaskInterval == 0 ? 7.0 : 1.0);
            // Steps have different amounts of work.
            const auto rate = (i % 4 == 0 ? c.fast : 1.0) * 10.0 * static_cast<double>(step + 1) / work;
            siblings.push_back({workerName(i), {run, 0}, rate});
        }
        speeds.observe(siblings);
    }
    for (std::size_t i = 0; i < workerCount; ++i) {
        const auto expected = i % 4 == 0 ? c.fast : 1.0;
        BOOST_TEST_CONTEXT(i)
        BOOST_TEST(speeds.speed(workerName(i)).value() == expected, boost::test_tools::tolerance(0.25));
    }
}

// Guards against a speed that is derived from a task without anything to compare it to.
BOOST_AUTO_TEST_CASE(fewSiblingsSayNothing)
{
    WorkerSpeeds speeds;
    const std::vector<ProgressSample> siblings{{workerName(0), {1, 0}, 10.0}, {workerName(1), {2, 0}, 20.0}};
    speeds.observe(siblings);
    BOOST_TEST(!speeds.speed(workerName(0)).has_value());
}

struct SlownessCase
{
    double speed;
    double fastest;
    std::uint32_t slowness;
};

auto operator<<(std::ostream &out, const SlownessCase &c) -> std::ostream &
{
    return out << c.speed << " of " << c.fastest;
}

const std::vector<SlownessCase> slownessCases{{2.2, 2.2, 0}, {2.0, 2.2, 0}, {1.0, 2.2, 4}, {1.0, 1.25, 1}, {0.8, 1.25, 2}, {1.3, 1.25, 0}};

// Guards against workers of different speed that count as equal, and against equal ones that are told apart by the error of a measurement.
BOOST_DATA_TEST_CASE(levelsOfSlowness, data::make(slownessCases), c)
{
    BOOST_TEST(slownessOf(c.speed, c.fastest) == c.slowness);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
