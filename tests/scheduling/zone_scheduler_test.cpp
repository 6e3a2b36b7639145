#include "job_driver.h"

#include <acaciarail/scheduling/zone_scheduler.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>

using namespace Acaciarail;
using namespace Acaciarail::Scheduling;
using namespace Acaciarail::Scheduling::Testing;
namespace data = boost::unit_test::data;

namespace {

const ZoneName zone("midwest-a");
const Resources gpuWorker{8, 32, 65536};

auto organisation(const char *name, std::uint32_t share = 1) -> OrganisationPolicy
{
    OrganisationPolicy policy;
    policy.name = OrganisationName(name);
    policy.share = share;
    return policy;
}

auto guaranteed(const char *name, std::uint32_t tasks, Adjacency adjacency, std::uint32_t count) -> OrganisationPolicy
{
    auto policy = organisation(name);
    policy.guarantees.push_back({zone, {}, {tasks, {1, 4, 8192}, adjacency}, count});
    return policy;
}

auto makeJob(const std::string &id, const char *owner, std::uint32_t tasks, Adjacency adjacency = Adjacency::Any) -> Job
{
    Job job;
    job.id = JobId(id);
    job.spec.organisation = OrganisationName(owner);
    job.spec.name = id;
    job.spec.kind = "retouch";
    job.spec.shape = {tasks, {1, 4, 8192}, adjacency};
    job.spec.declaredRunTime = 10min;
    return job;
}

/// A scheduler with its driver and a policy.
struct Zone
{
    ZoneScheduler scheduler;
    JobDriver<ZoneScheduler> driver;
    std::string fault;

    explicit Zone(std::uint32_t workers, std::vector<OrganisationPolicy> organisations, std::uint32_t perRack = 8)
        : scheduler({.zone = zone}, 1)
        , driver(scheduler)
    {
        scheduler.setPolicy({std::move(organisations), {1.0, 1.0, 1.0}}, driver.now());
        for (const auto &it : makeWorkers(workers, perRack, gpuWorker, zone)) {
            driver.join(it);
        }
        driver.afterRound = [this](TimePoint) { fault = fault.empty() ? scheduler.verify() : fault; };
        driver.settle();
    }

    auto check() -> void
    {
        BOOST_TEST(fault == "");
        for (const auto &it : driver.faults()) {
            BOOST_ERROR(it);
        }
    }

    auto outcomeOf(const char *id) const -> std::string
    {
        const auto it = driver.finished().find(JobId(id));
        return it == driver.finished().end()
            ? "open"
            : std::string(jobOutcomeName(it->second.finish.outcome)) + '/' + std::string(jobReasonName(it->second.finish.reason));
    }
};

struct RefusalCase
{
    std::string name;
    std::string owner;
    Shape shape;
    Error expected;

    friend auto operator<<(std::ostream &out, const RefusalCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const RefusalCase refusalCases[] = {
    {"task larger than any worker", "a", {1, {9, 1, 1}, Adjacency::Any}, Error::NeverFits},
    {"gang larger than a rack", "a", {17, {1, 1, 1}, Adjacency::Rack}, Error::NeverFits},
    {"gang larger than a worker", "a", {9, {1, 1, 1}, Adjacency::Worker}, Error::NeverFits},
    {"gang larger than the fleet", "a", {33, {1, 1, 1}, Adjacency::Any}, Error::NeverFits},
    {"gang over all neighbouring racks", "a", {32, {1, 1, 1}, Adjacency::NeighbouringRacks}, Error::Ok},
    {"larger than the quota", "a", {5, {1, 1, 1}, Adjacency::Any}, Error::QuotaExceeded},
    {"unknown organisation", "nobody", {1, {1, 1, 1}, Adjacency::Any}, Error::UnknownOrganisation},
};

} // namespace

// Guards against accepting a job that can never run, and against refusing one that can.
BOOST_DATA_TEST_CASE(jobsThatCanNeverRunAreRefused, data::make(refusalCases), c)
{
    auto owner = organisation("a");
    owner.teams.push_back({TeamName("small"), 4});
    Zone z(4, {owner}, 2);
    auto job = makeJob("j", c.owner.c_str(), 1);
    job.spec.shape = c.shape;
    job.spec.team = TeamName(c.expected == Error::QuotaExceeded ? "small" : "");
    const auto failure = z.driver.submit(job, 1min);
    BOOST_TEST((failure ? failure->error : Error::Ok) == c.expected, failure.value_or(Failure{}).detail);
}

// Guards against a guaranteed gang that waits for borrowers, and against stopping more of them than its shape needs.
BOOST_AUTO_TEST_CASE(guaranteedShapeIsReclaimedInTime)
{
    Zone z(4, {guaranteed("owner", 16, Adjacency::Rack, 1), organisation("borrower")}, 2);
    for (int i = 0; i < 32; ++i) {
        auto job = makeJob("b" + std::to_string(i), "borrower", 1);
        job.spec.checkpointable = i % 2 == 0;
        BOOST_TEST(!z.driver.submit(job, 1h));
    }
    z.driver.runFor(2min);
    BOOST_TEST(z.scheduler.summary().borrowed.accelerators == 32);
    const auto submittedAt = z.driver.now();
    BOOST_TEST(!z.driver.submit(makeJob("o", "owner", 16, Adjacency::Rack), 1h));
    z.driver.runFor(5s);
    const auto started = z.driver.firstStart(JobId("o"));
    BOOST_REQUIRE(started.has_value());
    BOOST_TEST((*started - submittedAt).count() <= Duration(1200ms).count());
    BOOST_TEST(z.scheduler.summary().borrowed.accelerators == 16);
    BOOST_TEST(z.scheduler.explain(JobId("o"), z.driver.now())->guaranteed);
    z.check();
}

// Guards against reclaiming although free capacity would suffice.
BOOST_AUTO_TEST_CASE(freeCapacityIsUsedBeforeReclaiming)
{
    Zone z(4, {guaranteed("owner", 8, Adjacency::Worker, 2), organisation("borrower")}, 2);
    BOOST_TEST(!z.driver.submit(makeJob("b0", "borrower", 16), 1h));
    z.driver.runFor(1min);
    BOOST_TEST(!z.driver.submit(makeJob("o0", "owner", 8, Adjacency::Worker), 1h));
    BOOST_TEST(!z.driver.submit(makeJob("o1", "owner", 8, Adjacency::Worker), 1h));
    z.driver.runFor(1s);
    BOOST_TEST(z.driver.isRunning(JobId("o0")));
    BOOST_TEST(z.driver.isRunning(JobId("o1")));
    BOOST_TEST(z.driver.isRunning(JobId("b0")));
    z.check();
}

// Guards against choosing a victim that loses more work than another one.
BOOST_AUTO_TEST_CASE(victimWithTheLeastLostWorkIsStopped)
{
    Zone z(1, {guaranteed("owner", 2, Adjacency::Worker, 1), organisation("borrower")});
    for (const auto *id : {"old0", "old1", "old2"}) {
        BOOST_TEST(!z.driver.submit(makeJob(id, "borrower", 2, Adjacency::Worker), 5h));
    }
    z.driver.runFor(1h);
    BOOST_TEST(!z.driver.submit(makeJob("young", "borrower", 2, Adjacency::Worker), 5h));
    z.driver.runFor(1min);
    BOOST_TEST(!z.driver.submit(makeJob("o", "owner", 2, Adjacency::Worker), 1h));
    z.driver.runFor(5s);
    BOOST_TEST(z.driver.isRunning(JobId("o")));
    BOOST_TEST(!z.driver.isRunning(JobId("young")));
    BOOST_TEST(z.driver.isRunning(JobId("old0")));
    z.check();
}

// Guards against a job that ends without, or with more than one, FinishJob, or with the wrong reason.
BOOST_AUTO_TEST_CASE(cancelledAndExpiredJobsFinishOnce)
{
    Zone z(1, {organisation("a"), guaranteed("owner", 8, Adjacency::Worker, 1)});
    auto running = makeJob("running", "a", 8);
    running.spec.checkpointable = true;
    BOOST_TEST(!z.driver.submit(running, 1h));
    z.driver.runFor(1s);
    auto expired = makeJob("expired", "a", 8);
    expired.spec.startWithin = 1s;
    BOOST_TEST(!z.driver.submit(expired, 1h));
    BOOST_TEST(!z.driver.submit(makeJob("queued", "a", 8), 1h));
    z.driver.runFor(2s);
    BOOST_TEST(!z.driver.submit(makeJob("reclaiming", "owner", 8), 1h));
    z.driver.runFor(100ms);
    for (const auto *id : {"running", "queued", "reclaiming", "running", "expired"}) {
        z.driver.cancel(JobId(id));
    }
    z.driver.runFor(5s);
    BOOST_TEST(z.outcomeOf("running") == "cancelled/cancelled-by-caller");
    BOOST_TEST(z.outcomeOf("queued") == "cancelled/cancelled-by-caller");
    BOOST_TEST(z.outcomeOf("reclaiming") == "cancelled/cancelled-by-caller");
    BOOST_TEST(z.outcomeOf("expired") == "cancelled/start-deadline-passed");
    BOOST_TEST(z.scheduler.summary().runningAttempts == 0U);
    z.check();
}

struct EndCase
{
    AttemptEndKind kind;
    bool idempotent;
    std::string outcome;
    std::uint32_t starts;

    friend auto operator<<(std::ostream &out, const EndCase &c) -> std::ostream &
    {
        return out << attemptEndName(c.kind) << (c.idempotent ? " idempotent" : " non-idempotent");
    }
};

static const EndCase endCases[] = {
    {AttemptEndKind::Failed, false, "failed/task-failed", 1}, {AttemptEndKind::Lost, false, "lost/worker-lost", 1},
    {AttemptEndKind::Stopped, false, "lost/worker-lost", 1},  {AttemptEndKind::Failed, true, "failed/failed-on-several-workers", 3},
    {AttemptEndKind::Succeeded, false, "succeeded/none", 1},
};

// Guards against a second attempt of a non-idempotent job, and against endless attempts of a faulty one.
BOOST_DATA_TEST_CASE(attemptEndDeterminesOutcome, data::make(endCases), c)
{
    Zone z(8, {organisation("a")});
    z.driver.outcome = [&c](const Job &, const StartGang &start) { return AttemptEnd{c.kind, start.members.front().worker, false}; };
    auto job = makeJob("j", "a", 1);
    job.spec.idempotent = c.idempotent;
    BOOST_TEST(!z.driver.submit(job, 1min));
    z.driver.runFor(10min);
    BOOST_TEST(z.outcomeOf("j") == c.outcome);
    BOOST_TEST(z.driver.starts(JobId("j")) == c.starts);
    z.check();
}

// Guards against a non-idempotent job that ends as lost although none of its tasks ever ran.
BOOST_AUTO_TEST_CASE(nonIdempotentJobThatNeverStartedIsAttemptedAgain)
{
    Zone z(8, {organisation("a")});
    auto attempts = 0;
    z.driver.outcome = [&attempts](const Job &, const StartGang &start) {
        return AttemptEnd{++attempts < 3 ? AttemptEndKind::NotStarted : AttemptEndKind::Succeeded, start.members.front().worker, false};
    };
    auto job = makeJob("j", "a", 1);
    job.spec.idempotent = false;
    BOOST_TEST(!z.driver.submit(job, 1min));
    z.driver.runFor(10min);
    BOOST_TEST(z.outcomeOf("j") == "succeeded/none");
    BOOST_TEST(z.driver.starts(JobId("j")) == 3U);
    z.check();
}

// Guards against a worker that fails everything and keeps getting jobs, and against excluding it permanently.
BOOST_AUTO_TEST_CASE(faultyWorkerIsQuarantinedAndReturns)
{
    Zone z(4, {organisation("a")});
    std::uint32_t failures = 0;
    auto isFaulty = true;
    z.driver.outcome = [&](const Job &, const StartGang &start) {
        const auto fails = isFaulty && start.members.front().worker == WorkerName("w00000");
        failures += fails ? 1 : 0;
        return AttemptEnd{fails ? AttemptEndKind::Failed : AttemptEndKind::Succeeded, {}, false};
    };
    for (int i = 0; i < 24; ++i) {
        BOOST_TEST(!z.driver.submit(makeJob("j" + std::to_string(i), "a", 1), 1h));
        z.driver.runFor(1s);
    }
    BOOST_TEST(failures == 3U);
    BOOST_TEST(z.scheduler.summary().quarantinedWorkers == 1U);
    isFaulty = false;
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(!z.driver.submit(makeJob("k" + std::to_string(i), "a", 1), 5s));
    }
    z.driver.runFor(3min);
    BOOST_TEST(z.scheduler.summary().quarantinedWorkers == 0U);
    BOOST_TEST(z.driver.finished().size() == 8U);
    z.check();
}

// Guards against healthy workers that are quarantined because of a flood of faulty jobs.
BOOST_AUTO_TEST_CASE(faultyJobsDoNotEmptyTheFleet)
{
    Zone z(8, {organisation("a")});
    z.driver.outcome = [](const Job &job, const StartGang &) {
        return AttemptEnd{job.spec.kind == "broken" ? AttemptEndKind::Failed : AttemptEndKind::Succeeded, {}, false};
    };
    for (int i = 0; i < 60; ++i) {
        auto job = makeJob("j" + std::to_string(i), "a", 1);
        job.spec.kind = i % 2 == 0 ? "broken" : "sound";
        BOOST_TEST(!z.driver.submit(job, 5s));
    }
    z.driver.runFor(10min);
    BOOST_TEST(z.scheduler.summary().quarantinedWorkers <= 1U);
    BOOST_TEST(z.driver.finished().size() == 60U);
    BOOST_TEST(z.outcomeOf("j1") == "succeeded/none");
    z.check();
}

// Guards against a gang of which a part continues after a worker was lost, and against a gang that is not started again.
BOOST_AUTO_TEST_CASE(gangRestartsAsAWholeAfterWorkerLoss)
{
    Zone z(3, {organisation("a")});
    BOOST_TEST(!z.driver.submit(makeJob("g", "a", 16), 1h));
    z.driver.runFor(1min);
    const auto lost = z.driver.membersOf(JobId("g")).front().worker;
    z.driver.lose(lost);
    z.driver.runFor(5s);
    BOOST_TEST(z.driver.isRunning(JobId("g")));
    BOOST_TEST(z.driver.starts(JobId("g")) == 2U);
    BOOST_TEST(z.driver.stops[StopReason::WorkerLost] == 1U);
    z.check();
}

// Guards against an unreported or unfair shortfall after workers were lost.
BOOST_AUTO_TEST_CASE(shortfallIsSharedFairly)
{
    Zone z(4,
           {guaranteed("a", 8, Adjacency::Worker, 2), guaranteed("b", 8, Adjacency::Worker, 1), guaranteed("c", 8, Adjacency::Worker, 1)});
    BOOST_TEST(z.scheduler.summary().shortfall.empty());
    z.driver.lose(WorkerName("w00000"));
    BOOST_REQUIRE(z.scheduler.summary().shortfall.size() == 1U);
    BOOST_TEST(z.scheduler.summary().shortfall[0].organisation.str() == "a");
    BOOST_TEST(z.scheduler.summary().shortfall[0].met == 1U);
    z.driver.lose(WorkerName("w00001"));
    BOOST_REQUIRE(z.scheduler.summary().shortfall.size() == 2U);
    BOOST_TEST(z.scheduler.summary().shortfall[1].organisation.str() == "c");
    for (const auto &it : makeWorkers(2, 8, gpuWorker, zone)) {
        z.driver.join(it);
    }
    z.driver.settle();
    BOOST_TEST(z.scheduler.summary().shortfall.empty());
    z.check();
}

// Guards against a large gang that starves behind a stream of small jobs.
BOOST_AUTO_TEST_CASE(waitingGangGetsAReservation)
{
    Zone z(2, {organisation("a"), organisation("b")});
    for (int i = 0; i < 200; ++i) {
        BOOST_TEST(!z.driver.submit(makeJob("s" + std::to_string(i), "a", 1), Duration(10min + i * 1s)));
    }
    z.driver.runFor(1min);
    BOOST_TEST(!z.driver.submit(makeJob("g", "b", 16), 10min));
    z.driver.runFor(1s);
    const auto explanation = z.scheduler.explain(JobId("g"), z.driver.now());
    BOOST_TEST((explanation->state == JobState::Reserved));
    BOOST_TEST(explanation->expectedStart.has_value());
    z.driver.runFor(15min);
    BOOST_TEST(z.driver.isRunning(JobId("g")));
    z.check();
}

// Guards against a large organisation that takes capacity beyond its share from a small one, and against an exceeded quota.
BOOST_AUTO_TEST_CASE(sharesAndQuotasAreRespected)
{
    auto limited = organisation("limited");
    limited.teams.push_back({TeamName("t"), 3});
    Zone z(4, {organisation("large", 1), organisation("small", 1), limited});
    for (int i = 0; i < 200; ++i) {
        BOOST_TEST(!z.driver.submit(makeJob("l" + std::to_string(i), "large", 1), 1min));
        auto job = makeJob("t" + std::to_string(i), "limited", 1);
        job.spec.team = TeamName("t");
        BOOST_TEST(!z.driver.submit(job, 1min));
    }
    z.driver.runFor(1s);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(!z.driver.submit(makeJob("s" + std::to_string(i), "small", 1), 1min));
    }
    z.driver.runFor(70s);
    std::uint32_t runningSmall = 0;
    std::uint32_t runningLimited = 0;
    for (int i = 0; i < 200; ++i) {
        runningSmall += z.driver.isRunning(JobId("s" + std::to_string(i))) ? 1 : 0;
        runningLimited += z.driver.isRunning(JobId("t" + std::to_string(i))) ? 1 : 0;
    }
    BOOST_TEST(runningSmall >= 14U);
    BOOST_TEST(runningLimited == 3U);
    z.check();
}

// Guards against a new holder that starts work a second time while it runs, or gives away the guaranteed capacity that it uses.
BOOST_AUTO_TEST_CASE(adoptedAttemptsKeepRunning)
{
    Zone z(2, {guaranteed("owner", 8, Adjacency::Worker, 1)});
    ZoneScheduler next({.zone = zone}, 1);
    next.setPolicy({{guaranteed("owner", 8, Adjacency::Worker, 1)}, defaultClassLimits}, z.driver.now());
    for (const auto &it : makeWorkers(2, 8, gpuWorker, zone)) {
        next.workerJoined(it, z.driver.now());
    }
    const RunningAttempt running{makeJob("j", "owner", 8, Adjacency::Worker), 3, {{WorkerName("w00001"), 8}}, z.driver.now()};
    next.adopt(running, z.driver.now());
    next.adopt(running, z.driver.now());
    BOOST_TEST(next.decide(z.driver.now()).empty());
    BOOST_TEST(next.explain(JobId("j"), z.driver.now())->guaranteed);
    BOOST_TEST(next.verify() == "");
    next.attemptEnded(JobId("j"), 3, {AttemptEndKind::Succeeded, {}, false}, z.driver.now());
    const auto commands = next.decide(z.driver.now());
    BOOST_REQUIRE(commands.size() == 1U);
    BOOST_TEST((std::get<FinishJob>(commands[0]).outcome == JobOutcome::Succeeded));
}

// Guards against sequences of events that break the invariant, overcommit a worker, split a gang or leave a job without an end.
BOOST_DATA_TEST_CASE(randomEventsKeepTheInvariant, data::xrange(1, 13), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto draw = [&random](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
    auto team = organisation("d");
    team.teams.push_back({TeamName("t"), 12});
    Zone z(12, {guaranteed("a", 16, Adjacency::Rack, 1), guaranteed("b", 4, Adjacency::Worker, 3), organisation("c", 3), team}, 4);
    z.driver.outcome = [&](const Job &, const StartGang &start) {
        const auto kind = draw(12) == 0 ? AttemptEndKind::Failed : draw(30) == 0 ? AttemptEndKind::NotStarted : AttemptEndKind::Succeeded;
        return AttemptEnd{kind, draw(3) == 0 ? WorkerName() : start.members.front().worker, false};
    };
    const auto workers = makeWorkers(12, 4, gpuWorker, zone);
    std::set<std::uint32_t> lost;
    std::vector<std::string> ids;
    for (int step = 0; step < 400; ++step) {
        const char *owners[] = {"a", "b", "c", "d"};
        const std::uint32_t sizes[] = {1, 1, 1, 2, 4, 8, 16, 24};
        auto job = makeJob("j" + std::to_string(step), owners[draw(4)], sizes[draw(8)], static_cast<Adjacency>(draw(4)));
        job.spec.team = TeamName(job.spec.organisation.str() == "d" ? "t" : "");
        job.spec.idempotent = draw(5) != 0;
        job.spec.checkpointable = draw(2) == 0;
        job.spec.priority = static_cast<Priority>(draw(3));
        job.spec.startWithin = draw(6) == 0 ? std::optional<Duration>(30s) : std::nullopt;
        if (!z.driver.submit(job, Duration(std::chrono::seconds(1 + draw(300))))) {
            ids.push_back(job.id.str());
        }
        if (draw(8) == 0 && !ids.empty()) {
            z.driver.cancel(JobId(ids[draw(static_cast<std::uint32_t>(ids.size()))]));
        }
        if (draw(25) == 0) {
            const auto w = draw(12);
            z.driver.lose(workers[w].name);
            lost.insert(w);
        }
        if (draw(10) == 0 && !lost.empty()) {
            z.driver.join(workers[*lost.begin()]);
            lost.erase(lost.begin());
        }
        z.driver.runFor(Duration(std::chrono::milliseconds(draw(20000))));
    }
    for (const auto w : lost) {
        z.driver.join(workers[w]);
    }
    z.driver.runFor(24h);
    BOOST_TEST(z.driver.finished().size() == ids.size());
    BOOST_TEST(z.scheduler.summary().runningAttempts == 0U);
    z.check();
}
