#include "fake_fleet.h"
#include "sim_world.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

auto gang(std::uint32_t count) -> StepSpec
{
    StepSpec step;
    step.count = count;
    step.taskDemand = {1000, 1000, 1};
    step.estimate = 2s;
    step.gang = true;
    return step;
}

auto makeWorld(std::size_t instances, std::uint64_t seed) -> std::unique_ptr<SimWorld>
{
    auto world = std::make_unique<SimWorld>(instances, seed);
    for (int i = 0; i < 4; ++i) {
        world->workers.add("w" + std::to_string(i), {32'000, 65'536, 8}, "rack" + std::to_string(i / 2));
    }
    for (std::size_t i = 0; i < instances; ++i) {
        world->restart(i);
    }
    return world;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine)

struct HandoverCase
{
    const char *name;
    Duration serviceTime;
    double responseLossRate;
};

auto operator<<(std::ostream &out, const HandoverCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<HandoverCase> handoverCases{
    {"quick store", 4ms, 0},
    {"slow store", 240ms, 0},
    {"slow store that loses responses", 240ms, 0.3},
    {"quick store that loses responses", 4ms, 0.5},
};

// Guards against restarts that leave no holder or two, lose an accepted job or run a task twice.
BOOST_DATA_TEST_CASE(aRollingRestartLeavesOneHolder, data::xrange(1, 13) * data::make(handoverCases), seed, c)
{
    auto world = makeWorld(5, static_cast<std::uint64_t>(seed));
    world->run(3s);
    world->store.serviceTime = c.serviceTime;
    world->store.responseLossRate = c.responseLossRate;
    for (std::size_t i = 0; i < world->instances.size(); ++i) {
        const auto id = "j" + std::to_string(i);
        world->submit((i + 1) % world->instances.size(), simpleJob(id, "queue", gang(3)));
        world->instances[i].engine->drain([] {});
        world->run(Duration(1500ms) + seed * Duration(37ms));
        world->restart(i);
        world->run(500ms);
    }
    world->store.serviceTime = 4ms;
    world->store.responseLossRate = 0;
    world->run(40s);
    BOOST_TEST(world->holders().size() == 1U);
    BOOST_TEST(world->workers.violations.empty());
    for (const auto &[id, outcome] : world->outcomes) {
        if (outcome == SubmitOutcome::Accepted) {
            const auto phase = world->phase(0, id);
            BOOST_TEST((phase == JobPhase::Completed), id << " is " << (phase ? jobPhaseName(*phase) : "unknown"));
        }
    }
}

struct ShortTermCase
{
    const char *name;
    /// Instance that claimed the last term, which ended before its first renewal.
    const char *claimant;
    bool released;
};

auto operator<<(std::ostream &out, const ShortTermCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ShortTermCase> shortTermCases{
    {"an earlier incarnation of the successor", "instance-0", false},
    {"an earlier incarnation of the successor, which released its lease", "instance-0", true},
    {"another instance", "instance-9", false},
    {"another instance, which released its lease", "instance-9", true},
};

BOOST_DATA_TEST_CASE(aTermThatEndsAtOnceDoesNotHideTheLeasesOfTheTermBefore, data::make(shortTermCases), c)
{
    // A holder renews task leases; another instance claims the next term and is killed at once, so that its claim is the only record of a
    // holder that the successor finds. The successor must still wait for the leases of the earlier term to end.
    auto world = makeWorld(1, 1);
    world->workers.taskTime = 8s;
    world->run(3s);
    world->submit(0, simpleJob("j1", "queue", gang(4)));
    world->run(2s);
    BOOST_REQUIRE(world->workers.startCount == 4U);
    world->workers.unreachable.insert("w0");
    world->kill(0);
    auto &topic = world->store.topics.at("keyed.state");
    topic.records.push_back(holderRecord({++topic.epoch, InstanceName(c.claimant), 7, c.released}));
    topic.nextSequence = 0;
    world->restart(0);
    world->run(5s);
    BOOST_TEST(world->workers.violations.empty());
    world->workers.unreachable.clear();
    world->run(30s);
    BOOST_TEST((world->phase(0, "j1") == JobPhase::Completed));
    BOOST_TEST(world->workers.violations.empty());
}

// Guards against a start that waits for a timer instead of following the submission directly.
BOOST_DATA_TEST_CASE(theHolderStartsANewJobWithoutDelay, data::xrange(0, 50, 7), offsetMs)
{
    auto world = makeWorld(1, 1);
    world->run(3s);
    world->run(std::chrono::milliseconds(offsetMs));
    const EngineSettings settings;
    world->submit(0, simpleJob("j1", "queue", gang(2)));
    // The append of the submission, the read of it, a renewal that may be in progress, the record of the assignment, and the command.
    const auto calls =
        3 * (2 * world->store.latency + world->store.serviceTime) + FakeStore::pollInterval + world->store.latency + world->workers.latency;
    world->run(calls + 2 * settings.eventBatchDelay + settings.dispatcher.scheduleInterval);
    BOOST_TEST(world->workers.startCount == 2U);
}

struct RemovalCase
{
    const char *name;
    /// The holder is replaced this long after the job has ended.
    std::optional<Duration> replacedAfter;
    double responseLossRate;
};

auto operator<<(std::ostream &out, const RemovalCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<RemovalCase> removalCases{
    {"by the holder that ran the job", std::nullopt, 0},
    {"by a later holder", 1s, 0},
    {"while the holder is replaced", 5s, 0},
    {"with half of the responses lost", std::nullopt, 0.5},
};

// Guards against records that stay in the store permanently, and against a job that runs again because only its outcome was removed.
BOOST_DATA_TEST_CASE(recordsOfEndedJobsAreRemovedAfterTheRetentionTime, data::make(removalCases) * data::xrange(1, 6), c, seed)
{
    auto world = makeWorld(2, static_cast<std::uint64_t>(seed));
    world->outcomeRetention = 5s;
    world->restart(0);
    world->restart(1);
    world->run(3s);
    world->submit(0, simpleJob("j1", "queue", gang(2)));
    world->run(4s);
    BOOST_TEST((world->phase(1, "j1") == JobPhase::Completed));
    world->store.responseLossRate = c.responseLossRate;
    if (c.replacedAfter) {
        world->run(*c.replacedAfter - Duration(1s));
        world->restart(world->holders().at(0));
    }
    world->run(40s);
    // A holder that is replaced between the two removals leaves the second one to its successor.
    world->store.responseLossRate = 0;
    world->run(20s);
    for (const auto *topic : {"keyed.intake", "keyed.state"}) {
        std::map<std::string, std::string> newest;
        for (const auto &it : world->store.topics.at(topic).records) {
            newest[it.key] = it.value;
        }
        BOOST_TEST(newest["j1"].empty(), topic);
    }
    BOOST_TEST(!world->phase(0, "j1"));
    BOOST_TEST(!world->phase(1, "j1"));
    BOOST_TEST(world->workers.startCount == 2U);
}

struct RetryCase
{
    const char *name;
    /// Times after the first attempt at which the store is found to be unreachable, and at which the caller retries.
    Duration lostAfter;
    Duration retriedAfter;
};

auto operator<<(std::ostream &out, const RetryCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<RetryCase> retryCases{
    {"while the first append is in progress", 100ms, 200ms},
    {"after the first append got no response", 100ms, 3s},
};

// Guards against reporting a job as refused although an earlier append of it may still be carried out.
BOOST_DATA_TEST_CASE(aRetryIsNotRefusedWhileTheFirstAttemptMayBeStored, data::make(retryCases), c)
{
    auto world = makeWorld(1, 1);
    world->run(3s);
    // The append does not reach the store, which the instance cannot distinguish from a lost response.
    world->store.down = true;
    const auto job = simpleJob("j1", "queue", gang(1));
    std::optional<SubmitOutcome> first;
    std::optional<SubmitOutcome> second;
    auto &engine = *world->instances[0].engine;
    engine.submit(job, [&](SubmitOutcome outcome) { first = outcome; });
    world->run(c.lostAfter);
    engine.recordStoreContact(false);
    world->run(c.retriedAfter - c.lostAfter);
    engine.submit(job, [&](SubmitOutcome outcome) { second = outcome; });
    world->run(3s);
    BOOST_TEST((first == SubmitOutcome::Unknown));
    BOOST_TEST((second == SubmitOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
