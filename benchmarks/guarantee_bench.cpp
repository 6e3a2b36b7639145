#include "baseline_schedulers.h"
#include "bench.h"

#include "../tests/scheduling/job_driver.h"

#include <acaciarail/scheduling/zone_scheduler.h>

#include <random>

namespace Acaciarail::Bench {

namespace {

using namespace Scheduling;

constexpr std::uint32_t workerCount = 50;
constexpr std::uint32_t workersPerRack = 8;
/// Longest time from the submission of a job of a guaranteed shape to the start of its gang.
constexpr Duration reclaimLimit = 1200ms;

struct Deployment
{
    const char *name;
    ZoneName zone;
    Resources worker;
};

struct Result
{
    std::uint32_t requested = 0;
    std::uint32_t startedInTime = 0;
    std::uint32_t violations = 0;
    std::uint32_t driverFaults = 0;
    std::vector<double> seconds;
    double stoppedAccelerators = 0;
    double requestedAccelerators = 0;
};

/// Draws guarantees until no more fit, so that nearly the whole fleet is guaranteed.
auto drawGuarantees(const Deployment &deployment, const std::vector<WorkerInfo> &workers, std::mt19937_64 &random)
    -> std::vector<OrganisationPolicy>
{
    std::vector<OrganisationPolicy> organisations(4);
    const char *names[] = {"large", "medium", "small", "borrower"};
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        organisations[i].name = OrganisationName(names[i]);
        organisations[i].share = 4 - static_cast<std::uint32_t>(i);
    }
    const Shape shapes[] = {
        {16, {1, 4, 8192}, Adjacency::Rack},  {64, {1, 4, 8192}, Adjacency::NeighbouringRacks},
        {8, {1, 4, 8192}, Adjacency::Worker}, {4, {1, 4, 8192}, Adjacency::Worker},
        {2, {8, 16, 32768}, Adjacency::Rack}, {24, {1, 2, 4096}, Adjacency::Any},
        {32, {2, 4, 8192}, Adjacency::Any},
    };
    for (int failed = 0; failed < 6;) {
        auto candidate = organisations;
        candidate[random() % 3].guarantees.push_back({deployment.zone, {}, shapes[random() % std::size(shapes)], 1});
        if (checkGuarantees(workers, candidate, deployment.zone).fits) {
            organisations = std::move(candidate);
        } else {
            ++failed;
        }
    }
    return organisations;
}

auto borrowerJob(std::uint32_t number, std::mt19937_64 &random) -> Job
{
    constexpr std::uint32_t sizes[] = {1, 1, 1, 2, 4, 8, 16};
    Job job;
    job.id = JobId("borrowed-" + std::to_string(number));
    job.spec.organisation = OrganisationName(random() % 2 == 0 ? "borrower" : "large");
    job.spec.name = job.id.str();
    job.spec.kind = "kind-" + std::to_string(random() % 4);
    job.spec.shape = {sizes[random() % std::size(sizes)], {1, 2 + static_cast<std::uint32_t>(random() % 3), 4096}, Adjacency::Any};
    if (random() % 6 == 0) {
        job.spec.shape = {1, {0, 8, 8192}, Adjacency::Any};
    }
    job.spec.priority = static_cast<Priority>(random() % 3);
    job.spec.declaredRunTime = 1h;
    job.spec.checkpointable = random() % 2 == 0;
    job.spec.idempotent = random() % 10 != 0;
    // Borrowers of an organisation with guarantees request resources that none of its guarantees covers.
    if (job.spec.organisation.str() == "large") {
        job.spec.shape.perTask.memoryMiB = 40000;
    }
    return job;
}

/// Fills the fleet with jobs of borrowers, then submits jobs of all guaranteed shapes, in bursts and one by one.
template<typename Scheduler>
auto measure(Scheduler &scheduler, const Deployment &deployment, std::uint64_t seed, std::uint32_t cycles,
             const std::function<std::string()> &verify) -> Result
{
    std::mt19937_64 random(seed);
    // With every second seed no checkpoint completes within its grace period.
    const Testing::DriverTimes times{20ms, seed % 2 == 0 ? Duration(10s) : Duration(300ms), 30ms, 30s};
    Testing::JobDriver<Scheduler> driver(scheduler, times);
    const auto workers = Testing::makeWorkers(workerCount, workersPerRack, deployment.worker, deployment.zone);
    const auto organisations = drawGuarantees(deployment, workers, random);
    scheduler.setPolicy({organisations, {1.0, 1.0, 1.0}}, driver.now());
    for (const auto &it : workers) {
        driver.join(it);
    }
    Result result;
    driver.afterRound = [&](TimePoint) { result.violations += verify().empty() ? 0 : 1; };
    std::uint32_t number = 0;
    for (std::uint32_t cycle = 0; cycle < cycles; ++cycle) {
        for (int i = 0; i < 250; ++i) {
            const auto runTime = std::chrono::minutes(5 + random() % 600);
            static_cast<void>(driver.submit(borrowerJob(number++, random), runTime));
        }
        driver.runFor(std::chrono::minutes(10 + random() % 50));
        std::vector<std::pair<JobId, TimePoint>> requested;
        for (const auto &organisation : organisations) {
            for (const auto &it : organisation.guarantees) {
                Job job;
                job.id = JobId("guaranteed-" + std::to_string(number++));
                job.spec.organisation = organisation.name;
                job.spec.name = job.id.str();
                job.spec.kind = "guaranteed";
                job.spec.shape = it.shape;
                job.spec.priority = static_cast<Priority>(random() % 3);
                job.spec.declaredRunTime = 10min;
                job.spec.idempotent = random() % 4 != 0;
                requested.emplace_back(job.id, driver.now());
                static_cast<void>(driver.submit(job, 10min));
                result.requestedAccelerators += static_cast<double>(it.shape.accelerators());
                if (random() % 2 == 0) {
                    driver.runFor(std::chrono::milliseconds(random() % 3000));
                }
            }
        }
        driver.runFor(5s);
        for (const auto &[id, at] : requested) {
            const auto started = driver.firstStart(id);
            ++result.requested;
            result.startedInTime += started && *started - at <= reclaimLimit ? 1 : 0;
            result.seconds.push_back(started ? std::chrono::duration<double>(*started - at).count() : 3600.0);
        }
        driver.runFor(30min);
    }
    result.stoppedAccelerators = driver.stoppedAccelerators[StopReason::Reclaimed];
    result.driverFaults = static_cast<std::uint32_t>(driver.faults().size());
    return result;
}

auto run(const Options &options, Report &report) -> void
{
    constexpr std::uint32_t seeds = 5;
    const auto cycles = options.quick ? 2U : 10U;
    const Deployment deployments[] = {{"Hartwell", ZoneName("midwest-a"), {8, 32, 65536}},
                                      {"Moreton Bay", ZoneName("bne-a"), {8, 64, 131072}}};
    for (const auto &deployment : deployments) {
        Result total;
        std::vector<double> p99;
        std::vector<double> stopped;
        std::map<Baseline, std::pair<std::uint32_t, std::uint32_t>> baselines;
        for (std::uint32_t i = 0; i < seeds; ++i) {
            ZoneScheduler scheduler({.zone = deployment.zone}, options.seed + i);
            const auto result = measure(scheduler, deployment, options.seed + i, cycles, [&] { return scheduler.verify(); });
            total.requested += result.requested;
            total.startedInTime += result.startedInTime;
            total.violations += result.violations;
            total.driverFaults += result.driverFaults;
            p99.push_back(quantile(result.seconds, 0.99));
            stopped.push_back(result.stoppedAccelerators / result.requestedAccelerators);
            for (const auto rule : {Baseline::Fifo, Baseline::FirstFit, Baseline::WeightedShares}) {
                BaselineScheduler baseline(rule);
                const auto other = measure(baseline, deployment, options.seed + i, cycles, [] { return std::string(); });
                baselines[rule].first += other.startedInTime;
                baselines[rule].second += other.requested;
            }
        }
        const auto percent = [](std::uint32_t part, std::uint32_t whole) {
            return decimal(100.0 * part / whole, 2) + "% of " + std::to_string(whole);
        };
        const std::string name = deployment.name;
        report.check(name + ": shapes reclaimed within 1.2 s", "100%", percent(total.startedInTime, total.requested),
                     total.startedInTime == total.requested);
        report.check(name + ": invariant violations", "0", std::to_string(total.violations), total.violations == 0);
        report.check(name + ": faults in the driver's books", "0", std::to_string(total.driverFaults), total.driverFaults == 0);
        report.figure(name + ": p99 time to start a guaranteed shape, s", medianWithSpread(p99));
        report.figure(name + ": accelerators reclaimed per accelerator asked for", medianWithSpread(stopped));
        report.figure(name + ": baseline FIFO in time", percent(baselines[Baseline::Fifo].first, baselines[Baseline::Fifo].second));
        report.figure(name + ": baseline first-fit in time",
                      percent(baselines[Baseline::FirstFit].first, baselines[Baseline::FirstFit].second));
        report.figure(name + ": baseline weighted shares in time",
                      percent(baselines[Baseline::WeightedShares].first, baselines[Baseline::WeightedShares].second));
    }
    report.note("50 workers of 8 accelerators, 8 to a rack, guaranteed as far as shapes fit; seeds " + std::to_string(options.seed) + " to "
                + std::to_string(options.seed + seeds - 1));
}

const Registration registration("guarantee", "reclaiming guaranteed shapes from borrowers", run);

} // namespace

} // namespace Acaciarail::Bench
