#include "bench.h"
#include "dispatch_bench.h"

#include "../tests/scheduling/job_driver.h"

#include <acaciarail/scheduling/zone_scheduler.h>

#include <chrono>
#include <random>

namespace Acaciarail::Bench {

namespace {

using namespace Scheduling;

/// Workers, accelerators and tasks of one zone at the target size.
constexpr std::uint32_t sliceWorkers = 1267;
constexpr std::uint32_t sliceAccelerators = 1400;
constexpr std::uint32_t sliceTasks = 29000;
constexpr std::uint32_t teamCount = 600;
constexpr std::uint32_t organisationCount = 40;
constexpr std::uint32_t largestGang = 1024;

const ZoneName zone("midwest-a");

struct Sample
{
    double submitMicroseconds = 0;
    double endMicroseconds = 0;
    double scanMicroseconds = 0;
    double gangMilliseconds = 0;
    std::uint32_t gangsStarted = 0;
    double waitingGangMilliseconds = 0;
};

auto microsecondsOf(const std::function<void()> &work) -> double
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
}

auto makePolicy() -> JobPolicy
{
    JobPolicy policy;
    policy.classLimits = {1.0, 1.0, 1.0};
    for (std::uint32_t i = 0; i < organisationCount; ++i) {
        OrganisationPolicy organisation;
        organisation.name = OrganisationName("organisation-" + std::to_string(i));
        for (std::uint32_t n = 0; n < teamCount / organisationCount; ++n) {
            organisation.teams.push_back({TeamName("team-" + std::to_string(n)), 2 * sliceAccelerators});
        }
        organisation.guarantees.push_back({zone, {}, {8, {1, 4, 4096}, Adjacency::Rack}, 2});
        policy.organisations.push_back(std::move(organisation));
    }
    return policy;
}

auto makeFleet(std::uint32_t scale) -> std::vector<WorkerInfo>
{
    auto workers = Testing::makeWorkers(sliceWorkers * scale, 16, {1, 64, 131072}, zone);
    const auto twoAcceleratorWorkers = (sliceAccelerators - sliceWorkers) * scale;
    for (std::uint32_t i = 0; i < twoAcceleratorWorkers; ++i) {
        workers[i * workers.size() / twoAcceleratorWorkers].capacity.accelerators = 2;
    }
    return workers;
}

auto makeJob(std::string id, std::mt19937_64 &random, const Shape &shape) -> Job
{
    Job job;
    job.id = JobId(id);
    job.spec.organisation = OrganisationName("organisation-" + std::to_string(random() % organisationCount));
    job.spec.team = TeamName("team-" + std::to_string(random() % (teamCount / organisationCount)));
    job.spec.name = std::move(id);
    job.spec.kind = "kind-" + std::to_string(random() % 5);
    job.spec.shape = shape;
    job.spec.declaredRunTime = 2h;
    return job;
}

/// Applies all commands immediately, and returns the last start.
auto applyCommands(ZoneScheduler &scheduler, TimePoint now) -> std::optional<StartGang>
{
    std::optional<StartGang> last;
    for (const auto &it : scheduler.decide(now)) {
        if (const auto *start = std::get_if<StartGang>(&it)) {
            scheduler.attemptStarted(start->job, start->attempt, now);
            last = *start;
        }
    }
    return last;
}

/// Baseline for placing a task: scans all workers for the tightest fit.
auto scanForTightest(const std::vector<ResourceTotals> &available, const Resources &need) -> std::size_t
{
    auto best = available.size();
    for (std::size_t i = 0; i < available.size(); ++i) {
        const auto isTighter = best == available.size()
            || std::pair(available[i].accelerators, available[i].cores) < std::pair(available[best].accelerators, available[best].cores);
        if (tasksThatFit(available[i], need, 1) == 1 && isTighter) {
            best = i;
        }
    }
    return best;
}

auto measure(std::uint32_t scale, std::uint64_t seed, std::uint32_t rounds, std::uint32_t gangs) -> Sample
{
    std::mt19937_64 random(seed);
    ZoneScheduler scheduler({.zone = zone, .maxQueuedJobs = 1'000'000}, seed);
    TimePoint now{};
    scheduler.setPolicy(makePolicy(), now);
    const auto workers = makeFleet(scale);
    std::map<WorkerName, std::size_t> number;
    std::vector<ResourceTotals> available;
    for (const auto &it : workers) {
        scheduler.workerJoined(it, now);
        number.emplace(it.name, available.size());
        available.push_back(times(it.capacity, 1));
    }
    const auto drawNeed = [&random] { return Resources{0, 1 + static_cast<std::uint32_t>(random() % 3), 2048}; };
    for (std::uint32_t i = 0; i < sliceTasks * scale; ++i) {
        static_cast<void>(scheduler.submit(makeJob("run-" + std::to_string(i), random, {1, drawNeed(), Adjacency::Any}), now));
        if (i % 100 == 0) {
            applyCommands(scheduler, now);
        }
    }
    applyCommands(scheduler, now);
    now += 2min;
    applyCommands(scheduler, now);
    std::vector<double> submits;
    std::vector<double> ends;
    std::vector<double> scans;
    std::vector<double> gangTimes;
    std::uint32_t gangsStarted = 0;
    for (std::uint32_t i = 0; i < rounds; ++i) {
        now += 1ms;
        const Resources need{i % 4 == 0 ? 1U : 0U, 2, 2048};
        const auto job = makeJob("one-" + std::to_string(i), random, {1, need, Adjacency::Any});
        std::optional<StartGang> start;
        submits.push_back(microsecondsOf([&] {
            static_cast<void>(scheduler.submit(job, now));
            start = applyCommands(scheduler, now);
        }));
        std::size_t found = 0;
        scans.push_back(microsecondsOf([&] { found = scanForTightest(available, need); }));
        if (!start || found == available.size()) {
            continue;
        }
        now += 1ms;
        ends.push_back(microsecondsOf([&] {
            scheduler.attemptEnded(start->job, start->attempt, {AttemptEndKind::Succeeded, {}, false}, now);
            applyCommands(scheduler, now);
        }));
    }
    for (std::uint32_t i = 0; i < gangs; ++i) {
        now += 1ms;
        const auto job = makeJob("gang-" + std::to_string(i), random, {largestGang, {1, 2, 2048}, Adjacency::Any});
        std::optional<StartGang> start;
        gangTimes.push_back(microsecondsOf([&] {
                                static_cast<void>(scheduler.submit(job, now));
                                start = applyCommands(scheduler, now);
                            })
                            / 1000.0);
        if (start) {
            ++gangsStarted;
            scheduler.attemptEnded(start->job, start->attempt, {AttemptEndKind::Succeeded, {}, false}, now);
            applyCommands(scheduler, now);
        }
    }
    // The first gang takes the accelerators, so that the second one has to plan a reservation.
    static_cast<void>(scheduler.submit(makeJob("gang-first", random, {largestGang, {1, 2, 2048}, Adjacency::Any}), now));
    applyCommands(scheduler, now);
    const auto waiting = makeJob("gang-second", random, {largestGang, {1, 2, 2048}, Adjacency::Any});
    const auto waitingTime = microsecondsOf([&] {
        static_cast<void>(scheduler.submit(waiting, now));
        applyCommands(scheduler, now);
    });
    return {median(submits), ends.empty() ? 0.0 : median(ends), median(scans), median(gangTimes), gangsStarted, waitingTime / 1000.0};
}

auto run(const Options &options, Report &report) -> void
{
    constexpr std::uint32_t seeds = 5;
    constexpr std::uint32_t scaleUp = 10;
    const auto rounds = options.quick ? 400U : 4000U;
    const auto gangs = options.quick ? 10U : 50U;
    std::vector<double> submits;
    std::vector<double> ends;
    std::vector<double> scans;
    std::vector<double> gangTimes;
    std::vector<double> ratios;
    std::vector<double> endRatios;
    std::vector<double> scanRatios;
    std::vector<double> waitingTimes;
    std::uint32_t gangsStarted = 0;
    for (std::uint32_t i = 0; i < seeds; ++i) {
        const auto small = measure(1, options.seed + i, rounds, gangs);
        const auto large = measure(options.quick ? 2 : scaleUp, options.seed + i, rounds, 1);
        submits.push_back(small.submitMicroseconds);
        ends.push_back(small.endMicroseconds);
        scans.push_back(small.scanMicroseconds);
        gangTimes.push_back(small.gangMilliseconds);
        gangsStarted += small.gangsStarted;
        waitingTimes.push_back(small.waitingGangMilliseconds);
        ratios.push_back(large.submitMicroseconds / small.submitMicroseconds);
        endRatios.push_back(large.endMicroseconds / small.endMicroseconds);
        scanRatios.push_back(large.scanMicroseconds / small.scanMicroseconds);
    }
    report.check("single task, submit and decide, us", "<= 50", medianWithSpread(submits), median(submits) <= 50);
    report.figure("single task, attempt end and decide, us", medianWithSpread(ends));
    report.check("gang of 1024, submit and decide, ms", "<= 10", medianWithSpread(gangTimes), median(gangTimes) <= 10);
    report.check("gangs of 1024 started", std::to_string(gangs * seeds), std::to_string(gangsStarted), gangsStarted == gangs * seeds);
    report.figure("gang of 1024 that must wait, reservation planned, ms", medianWithSpread(waitingTimes));
    const auto ratioName = options.quick ? "single task, cost at 2 times the workers" : "single task, cost at 10 times the workers";
    report.check(ratioName, "<= 2", medianWithSpread(ratios), median(ratios) <= 2);
    report.figure("attempt end, cost ratio at the larger size", medianWithSpread(endRatios));
    report.figure("baseline: scan of all workers (search only), us", medianWithSpread(scans));
    report.figure("baseline: scan, cost ratio at the larger size", medianWithSpread(scanRatios));
    measureDispatch(options, report);
    report.note("one zone's slice: 1267 workers, 1400 accelerators, 29000 running tasks, 600 teams; seeds " + std::to_string(options.seed)
                + " to " + std::to_string(options.seed + seeds - 1));
}

const Registration registration("placement", "cost of one decision at the size of one zone's slice", run);

} // namespace

} // namespace Acaciarail::Bench
