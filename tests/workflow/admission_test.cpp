#include "fake_fleet.h"
#include "sim_world.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

namespace Acaciarail::Workflow::Tests {

namespace {

/// Three instances whose workers run four jobs at a time, two a second. A job has no value after 31 s.
class BusyWorld
{
public:
    BusyWorld()
        : world(3, 1)
    {
        auto &policy = world.configuration.queues.front().policy;
        policy.priority = 1;
        policy.stretch = 5;
        policy.targetLatency = 300ms;
        for (int i = 0; i < 4; ++i) {
            world.workers.add("w" + std::to_string(i), {32'000, 65'536, 8}, "rack");
        }
        for (std::size_t i = 0; i < world.instances.size(); ++i) {
            world.restart(i);
        }
        world.run(4s);
        holder = world.holders().at(0);
        other = (holder + 1) % world.instances.size();
    }

    [[nodiscard]] auto job(const std::string &id) const -> JobSpec
    {
        StepSpec step;
        step.count = 8;
        step.taskDemand = {1000, 1000, 1};
        step.estimate = 2s;
        step.gang = true;
        auto spec = simpleJob(id, "queue", step);
        spec.policy = world.configuration.queues.front().policy;
        spec.acceptedAt = toMilliseconds(world.clock.now().time_since_epoch());
        return spec;
    }

    /// Submits 200 jobs, which take 100 s, and runs until the holder has observed how long such jobs take.
    auto fill() -> void
    {
        for (int i = 0; i < 200; ++i) {
            world.submit(holder, job("b" + std::to_string(i)));
        }
        world.run(9s);
    }

    /// Submits a job; returns the result if it is known within a second.
    auto submit(std::size_t instance, const JobSpec &spec) -> std::optional<SubmitResult>
    {
        const auto result = std::make_shared<std::optional<SubmitResult>>();
        world.instances[instance].engine->submit(spec, [result](const SubmitResult &r) { *result = r; });
        world.run(1s);
        return *result;
    }

    auto outcome(std::size_t instance, const std::string &id) -> SubmitOutcome
    {
        const auto result = submit(instance, job(id));
        return result ? result->outcome : SubmitOutcome::Unknown;
    }

    [[nodiscard]] auto isStored(const std::string &id) const -> bool
    {
        const auto &records = world.store.topics.at("keyed.intake").records;
        return std::any_of(records.begin(), records.end(), [&](const KeyedRecord &r) { return r.key == id; });
    }

    SimWorld world;
    std::size_t holder = 0;
    std::size_t other = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Guards against instances that do not learn of the load, and against a rejected job that is stored.
BOOST_AUTO_TEST_CASE(everyInstanceRejectsBecauseOfTheHoldersBacklog)
{
    BusyWorld busy;
    busy.fill();
    for (std::size_t i = 0; i < busy.world.instances.size(); ++i) {
        const auto id = "x" + std::to_string(i);
        const auto result = busy.submit(i, busy.job(id));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST((result->outcome == SubmitOutcome::Rejected));
        BOOST_TEST(result->retryAfter.count() >= 30);
        BOOST_TEST(!busy.isStored(id));
    }
    busy.world.run(2s);
    BOOST_TEST((busy.outcome(busy.other, "b199") == SubmitOutcome::Accepted));
    BOOST_TEST(busy.world.workers.violations.empty());
}

// Guards against a load summary for deployments that do not ask for rejections, and against rejections without a backlog.
BOOST_AUTO_TEST_CASE(withoutAnObjectiveOrBacklogNothingIsWrittenOrRejected)
{
    BusyWorld busy;
    BOOST_TEST((busy.outcome(busy.other, "x0") == SubmitOutcome::Accepted));
    busy.world.configuration.queues.front().policy.targetLatency = {};
    ++busy.world.configuration.version;
    for (auto &it : busy.world.instances) {
        it.engine->setConfiguration(busy.world.configuration);
    }
    busy.fill();
    BOOST_TEST((busy.outcome(busy.other, "x1") == SubmitOutcome::Accepted));
    for (const auto &it : busy.world.store.topics.at("keyed.state").records) {
        BOOST_TEST(!it.key.starts_with("load"));
    }
}

// Guards against summaries that expire while the backlog does not change, and against more than two of them a second.
BOOST_AUTO_TEST_CASE(summariesAreWrittenEverySecondAndAtMostEveryHalf)
{
    BusyWorld busy;
    busy.fill();
    const auto &records = busy.world.store.topics.at("keyed.state").records;
    const auto count = std::count_if(records.begin(), records.end(), [](const KeyedRecord &r) { return r.key.starts_with("load"); });
    BOOST_TEST(count >= 8);
    BOOST_TEST(count <= 19);
}

// Guards against decisions by a load that an instance knew before it was cut off, then and directly after it is connected again.
BOOST_AUTO_TEST_CASE(anInstanceThatWasCutOffRejectsNothing)
{
    BusyWorld busy;
    busy.fill();
    auto &reachable = *busy.world.instances[busy.other].storeReachable;
    reachable = false;
    busy.world.run(2500ms);
    BOOST_TEST((busy.outcome(busy.other, "x0") == SubmitOutcome::Refused));
    // Nothing is appended any more; what is read now was stored at an unknown time since.
    *busy.world.instances[busy.holder].storeReachable = false;
    reachable = true;
    busy.world.run(1s);
    BOOST_TEST((busy.outcome(busy.other, "x1") == SubmitOutcome::Accepted));
}

// Guards against rejections by the summary of an earlier holder, or by a new one that does not know the load yet.
BOOST_DATA_TEST_CASE(aTakeoverRejectsNothingForThreeSeconds, boost::unit_test::data::make({false, true}), released)
{
    BusyWorld busy;
    busy.fill();
    if (released) {
        // The successor's term begins while the last summary is recent.
        busy.world.instances[busy.holder].engine->drain([] {});
    } else {
        busy.world.kill(busy.holder);
    }
    busy.world.run(300ms);
    while (busy.world.holders().empty()) {
        busy.world.run(100ms);
    }
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((busy.outcome(busy.other, "x" + std::to_string(i)) == SubmitOutcome::Accepted));
    }
    // Until then it has observed the rate and the run times.
    busy.world.run(10s);
    BOOST_TEST((busy.outcome(busy.other, "y") == SubmitOutcome::Rejected));
}

// Guards against a rejection that promises that a job never runs, although another instance has stored it.
BOOST_AUTO_TEST_CASE(aJobThatAnotherInstanceHasStoredIsNotRejected)
{
    BusyWorld busy;
    busy.fill();
    const auto job = busy.job("x0");
    busy.world.store.topics.at("keyed.intake").records.push_back(submissionRecord(job));
    BOOST_TEST((busy.submit(busy.other, job)->outcome == SubmitOutcome::Accepted));
}

// Guards against a rejection of a job whose earlier append may still be carried out.
BOOST_AUTO_TEST_CASE(aJobThatMayBeStoredIsNotRejected)
{
    BusyWorld busy;
    *busy.world.instances[busy.other].storeReachable = false;
    BOOST_TEST((busy.outcome(busy.other, "x0") == SubmitOutcome::Unknown));
    *busy.world.instances[busy.other].storeReachable = true;
    busy.fill();
    BOOST_TEST((busy.outcome(busy.other, "x1") == SubmitOutcome::Rejected));
    BOOST_TEST((busy.outcome(busy.other, "x0") == SubmitOutcome::Accepted));
}

// Guards against two answers to requests for the same job of which one stores it, while the rejection of the other is being confirmed.
BOOST_AUTO_TEST_CASE(requestsForTheSameJobGetTheSameAnswer)
{
    BusyWorld busy;
    busy.fill();
    std::vector<SubmitOutcome> outcomes;
    const auto submit = [&] {
        busy.world.instances[busy.other].engine->submit(busy.job("x0"), [&](const SubmitResult &r) { outcomes.push_back(r.outcome); });
    };
    submit();
    busy.world.run(5ms);
    submit();
    BOOST_TEST(outcomes.empty());
    busy.world.run(1s);
    BOOST_TEST(outcomes.size() == 2U);
    BOOST_TEST(std::all_of(outcomes.begin(), outcomes.end(), [](SubmitOutcome o) { return o == SubmitOutcome::Rejected; }));
    BOOST_TEST(!busy.isStored("x0"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
