#include "bench.h"

#include "world.h"

#include <acaciarail/core/logging.h>

#include <malloc.h>

#include <chrono>
#include <set>

namespace Acaciarail::Bench {

namespace {

using namespace Fuzz;

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

/// Advances the time in small steps until \a done holds. Returns the elapsed time, or nothing when \a limit is reached first.
auto advanceUntil(World &world, Duration limit, const std::function<bool()> &done) -> std::optional<Duration>
{
    constexpr Duration step = 10ms;
    const auto start = world.now();
    while (!done()) {
        if (world.now() - start >= limit) {
            return std::nullopt;
        }
        world.advance(step);
    }
    return world.now() - start;
}

enum class Loss {
    Killed,
    Paused,
};

/// Time from the loss of a holder until another instance starts the next job of its zone.
auto measureTakeover(std::uint64_t seed, Loss loss, bool logUp, std::size_t &violations) -> double
{
    WorldSettings settings;
    settings.seed = seed;
    settings.zones = 1;
    settings.instancesPerZone = 4;
    settings.workersPerZone = 8;
    World world(settings);
    for (std::uint32_t i = 0; i < 80; ++i) {
        world.submitJob(i % 4, 1 + i % 8, true);
        world.advance(20ms);
    }
    world.advance(2s);
    if (!logUp) {
        world.platform().setMode(Standins::LogMode::Down);
        world.advance(3s);
    }
    const auto holder = world.holderIndex(0).value_or(0);
    loss == Loss::Killed ? world.crash(holder) : world.setPaused(holder, true);
    const auto takeover = advanceUntil(world, 30s, [&] { return world.holderIndex(0).has_value() && *world.holderIndex(0) != holder; });
    const auto startedBefore = world.startedAttempts();
    const auto placed = advanceUntil(world, 30s, [&] { return world.startedAttempts() > startedBefore; });
    world.settle();
    violations += world.violations().size();
    return takeover && placed ? seconds(*takeover + *placed) : 999.0;
}

auto takeover(const Options &options, Report &report) -> void
{
    configureLogging(LogLevel::Error);
    const std::uint64_t runs = options.quick ? 5 : 20;
    std::size_t violations = 0;
    for (const auto loss : {Loss::Killed, Loss::Paused}) {
        for (const auto logUp : {true, false}) {
            std::vector<double> times;
            for (auto seed = options.seed; seed < options.seed + runs; ++seed) {
                times.push_back(measureTakeover(seed, loss, logUp, violations));
            }
            const auto name = std::string(loss == Loss::Killed ? "holder killed" : "holder paused") + (logUp ? ", log up" : ", log down");
            report.check(name + ": places again after", "<= 2 s", medianWithSpread(times) + " s", quantile(times, 1.0) <= 2.0);
        }
    }
    report.check("violations, double runs among them", "0", std::to_string(violations), violations == 0);
    report.note("seeds " + std::to_string(options.seed) + " to " + std::to_string(options.seed + runs - 1) + ", simulated time");
}

/// Publishes documents and collects, for each version, the time until it is in force on all instances.
auto measureConfig(std::uint64_t seed, std::uint32_t changes, Duration interval, std::vector<double> &times, std::size_t &violations)
    -> void
{
    WorldSettings settings;
    settings.seed = seed;
    settings.zones = 2;
    settings.instancesPerZone = 4;
    World world(settings);
    world.cutFromPlatform(2, true);
    world.cutFromPlatform(6, true);
    std::vector<TimePoint> published;
    std::size_t inForce = 0;
    const auto collect = [&] {
        auto least = ~std::uint64_t{0};
        for (std::size_t i = 0; i < world.instanceCount(); ++i) {
            least = std::min(least, world.instance(i).versionInForce());
        }
        for (; inForce < std::min<std::size_t>(least, published.size()); ++inForce) {
            times.push_back(seconds(world.now() - published[inForce]));
        }
    };
    for (std::uint32_t i = 0; i < changes; ++i) {
        published.push_back(world.now());
        world.publish(0, "document-" + std::to_string(i));
        for (auto left = interval; left > Duration::zero(); left -= 10ms) {
            world.advance(10ms);
            collect();
        }
    }
    for (int i = 0; i < 1000 && inForce < published.size(); ++i) {
        world.advance(10ms);
        collect();
    }
    times.insert(times.end(), published.size() - inForce, 999.0);
    world.cutFromPlatform(2, false);
    world.cutFromPlatform(6, false);
    world.settle();
    violations += world.violations().size();
}

auto config(const Options &options, Report &report) -> void
{
    configureLogging(LogLevel::Error);
    std::size_t violations = 0;
    const std::uint64_t runs = options.quick ? 2 : 5;
    // 16,000 changes a day are one in 5.4 s.
    const std::vector<std::pair<std::string, Duration>> loads{{"16,000 a day", 5400ms}, {"burst of 100", 0ms}};
    for (const auto &[name, interval] : loads) {
        std::vector<double> times;
        for (auto seed = options.seed; seed < options.seed + runs; ++seed) {
            measureConfig(seed, interval == Duration::zero() ? 100 : 40, interval, times, violations);
        }
        report.check(name + ": median until in force on 8 instances", "<= 1 s", decimal(median(times), 3) + " s", median(times) <= 1.0);
        report.check(name + ": worst", "<= 6 s", decimal(quantile(times, 1.0), 3) + " s", quantile(times, 1.0) <= 6.0);
    }
    report.check("reverts and other violations", "0", std::to_string(violations), violations == 0);
    report.note("two of 8 instances cut off from the log, simulated time, seeds from " + std::to_string(options.seed));
}

auto allocatedBytes() -> std::uint64_t
{
    return mallinfo2().uordblks;
}

/// Returns a log with \a jobs jobs of 10 tasks, half of which have finished.
auto logWithJobs(std::uint64_t jobs) -> std::vector<LogEntry>
{
    std::vector<LogEntry> log;
    const auto appendRecord = [&log](State::RecordBody body) {
        log.push_back({log.size(), encodeRecord(State::Record{{1, log.size() + 1}, {}, std::move(body)})});
    };
    const ZoneName zone("zone-0");
    for (std::uint64_t i = 0; i < jobs; ++i) {
        Job job;
        job.id = JobId("job-" + std::to_string(i));
        job.spec.organisation = OrganisationName("organisation-" + std::to_string(i % 600));
        job.spec.name = "retouch-" + std::to_string(i);
        job.spec.kind = "retouch";
        job.spec.shape = {10, {1, 4, 8192}, Adjacency::Rack};
        job.spec.declaredRunTime = 3h;
        job.zone = zone;
        appendRecord(State::JobAccepted{job});
        std::vector<GangMember> members;
        for (std::uint64_t k = 0; k < 10; ++k) {
            members.push_back({WorkerName("worker-" + std::to_string((i * 10 + k) % 1267)), 1});
        }
        appendRecord(State::JobAssigned{job.id, 1, zone, 0, {1, 1}, members});
        if (i % 2 == 1) {
            appendRecord(State::JobFinished{job.id, zone, 0, {1, 1}, JobOutcome::Succeeded, JobReason::None, {}});
        }
    }
    return log;
}

auto measureFold(std::uint64_t jobs, Report &report) -> void
{
    using Clock = std::chrono::steady_clock;
    const auto milliseconds = [](Clock::duration d) { return std::chrono::duration<double, std::milli>(d).count(); };
    const auto log = logWithJobs(jobs);
    const auto before = allocatedBytes();
    State::Replica replica;
    const auto foldStart = Clock::now();
    for (const auto &it : log) {
        replica.apply(it);
    }
    const auto foldTime = milliseconds(Clock::now() - foldStart);
    const auto memory = allocatedBytes() - before;
    const auto snapshotStart = Clock::now();
    const auto parts = replica.snapshot();
    const auto snapshotTime = milliseconds(Clock::now() - snapshotStart);
    std::size_t bytes = 0;
    for (const auto &it : parts) {
        bytes += it.size();
    }
    State::Replica copy;
    const auto restoreStart = Clock::now();
    const auto ec = copy.restore(replica.nextOffset(), parts);
    const auto restoreTime = milliseconds(Clock::now() - restoreStart);
    const auto name = std::to_string(jobs) + " jobs (" + std::to_string(jobs * 5) + " tasks running): ";
    report.figure(name + "fold of the log", decimal(foldTime, 1) + " ms");
    report.figure(name + "memory of the replica", decimal(static_cast<double>(memory) / 1e6, 2) + " MB");
    report.figure(name + "snapshot", decimal(static_cast<double>(bytes) / 1e6, 2) + " MB in " + decimal(snapshotTime, 1) + " ms");
    report.check(name + "restore from a snapshot", "no error", decimal(restoreTime, 1) + " ms", !ec && copy.digest() == replica.digest());
}

/// Replaces all instances under load; returns the number of violations.
auto replaceAll(std::uint64_t seed, bool gracefully) -> std::size_t
{
    WorldSettings settings;
    settings.seed = seed;
    settings.zones = 2;
    settings.instancesPerZone = 4;
    World world(settings);
    const auto runWithLoad = [&world](Duration d) {
        for (auto left = d; left > Duration::zero(); left -= 50ms) {
            for (std::size_t i = 0; i < world.instanceCount(); ++i) {
                if (world.isUp(i) && world.instance(i).isReady()) {
                    world.submitRequest(i, {});
                    world.submitRequest(i, "key-" + std::to_string(world.now().time_since_epoch().count()) + "-" + std::to_string(i));
                }
            }
            if (world.isUp(0) && world.instance(0).isReady()) {
                world.submitJob(0, 4, true);
            }
            world.advance(50ms);
        }
    };
    runWithLoad(1s);
    for (std::size_t i = 0; i < world.instanceCount(); ++i) {
        if (gracefully) {
            world.drain(i);
            runWithLoad(2s);
        }
        if (gracefully || i == 0) {
            for (std::size_t k = gracefully ? i : 0; k < (gracefully ? i + 1 : world.instanceCount()); ++k) {
                world.restart(k);
            }
            runWithLoad(1s);
        }
    }
    world.settle();
    return world.violations().size();
}

auto restart(const Options &options, Report &report) -> void
{
    configureLogging(LogLevel::Error);
    const std::uint64_t runs = options.quick ? 1 : 5;
    for (const auto gracefully : {true, false}) {
        std::size_t violations = 0;
        for (auto seed = options.seed; seed < options.seed + runs; ++seed) {
            violations += replaceAll(seed, gracefully);
        }
        report.check(gracefully ? "replaced one after another, gracefully: violations" : "all replaced at once: violations", "0",
                     std::to_string(violations), violations == 0);
    }
    for (const std::uint64_t jobs : {1450, 2900, 5800, 19000}) {
        measureFold(jobs, report);
    }
    report.note("a violation is accepted work without outcome, a request cut off by a graceful shutdown, or any other broken invariant");
}

/// Reports the appends a second of all instances together, and the time that claiming a key adds to a request, at one offered rate.
auto measureLog(std::uint64_t seed, std::uint32_t requestsPerSecond, Report &report) -> void
{
    WorldSettings settings;
    settings.seed = seed;
    settings.zones = 2;
    settings.instancesPerZone = 4;
    settings.endpointsPerZone = 25;
    settings.checkSteps = false;
    World world(settings);
    const auto run = [&world, requestsPerSecond](bool nonIdempotent, Duration d) {
        world.clearAnswerTimes();
        std::uint64_t sent = 0;
        for (auto left = d; left > Duration::zero(); left -= 10ms) {
            for (std::uint32_t i = 0; i < requestsPerSecond / 100; ++i, ++sent) {
                world.submitRequest(sent % world.instanceCount(), nonIdempotent ? "key-" + std::to_string(sent) : std::string());
            }
            world.advance(10ms);
        }
        world.advance(2s);
        std::vector<double> times;
        for (const auto it : world.answerTimes()) {
            times.push_back(seconds(it) * 1000);
        }
        return times.empty() ? std::vector<double>{0.0} : times;
    };
    const auto plain = run(false, 5s);
    const auto before = world.platform().appends();
    const auto start = world.now();
    const auto claimed = run(true, 5s);
    const auto rate = static_cast<double>(world.platform().appends() - before) / seconds(world.now() - start);
    const auto name = std::to_string(requestsPerSecond) + " non-idempotent requests a second: ";
    report.check(name + "appends", "<= 300 a second", decimal(rate, 0) + " a second", rate <= 300);
    report.figure(name + "answered", std::to_string(claimed.size()) + " of " + std::to_string(requestsPerSecond * 5));
    report.figure(name + "median time added", decimal(median(claimed) - median(plain), 1) + " ms");
}

auto log(const Options &options, Report &report) -> void
{
    configureLogging(LogLevel::Error);
    for (const std::uint32_t rate : {100, 400, 800, 1600}) {
        if (!options.quick || rate <= 400) {
            measureLog(options.seed, rate, report);
        }
    }
    report.note("8 instances, 50 endpoints, one-way time to the log 5 ms, simulated time");
}

/// Reports the traffic, processor time and memory of a holder with \a workers and \a tasks, over a period of simulated time.
auto measureControl(std::uint32_t workers, std::uint32_t tasks, Report &report) -> void
{
    WorldSettings settings;
    settings.zones = 1;
    settings.instancesPerZone = 1;
    settings.workersPerZone = workers;
    settings.workersPerRack = 8;
    settings.countBytes = true;
    settings.checkSteps = false;
    settings.taskLease = 60s;
    settings.minRunTime = std::chrono::hours(3);
    const auto memoryBefore = allocatedBytes();
    World world(settings);
    // Gangs of 8 tasks; the accelerators of each worker suffice for 8 such tasks.
    for (std::uint32_t i = 0; i < tasks / 8; ++i) {
        world.submitJob(0, 8, true);
        if (i % 50 == 0) {
            world.advance(100ms);
        }
    }
    world.advance(30s);
    const auto before = world.cost(0);
    constexpr Duration period = 60s;
    world.advance(period);
    const auto &after = world.cost(0);
    const auto length = seconds(period);
    const auto perSecond = [length](std::uint64_t a, std::uint64_t b) { return static_cast<double>(b - a) / length; };
    const auto name = std::to_string(workers) + " workers, " + std::to_string(world.startedAttempts()) + " gang members: ";
    const auto sent = perSecond(before.workerBytesSent, after.workerBytesSent);
    const auto received = perSecond(before.workerBytesReceived, after.workerBytesReceived);
    const auto core = std::chrono::duration<double>(after.processorTime - before.processorTime).count() / seconds(period) * 100;
    report.check(name + "holder bytes a second", "<= 4096",
                 decimal(sent + received + perSecond(before.peerBytesSent, after.peerBytesSent), 0), sent + received <= 4096);
    report.check(name + "each worker, bytes a second", "<= 4096", decimal((sent + received) / workers, 1),
                 (sent + received) / workers <= 4096);
    report.check(name + "holder processor time", "<= 1.3% of a core", decimal(core, 3) + "%", core <= 1.3);
    report.figure(name + "memory of world and instance", decimal(static_cast<double>(allocatedBytes() - memoryBefore) / 1e6, 1) + " MB");
}

auto control(const Options &options, Report &report) -> void
{
    configureLogging(LogLevel::Error);
    for (const std::uint32_t workers : {17U, 100U, 400U, 1267U}) {
        if (!options.quick || workers <= 100) {
            measureControl(workers, workers * 6, report);
        }
    }
    report.note("payload of frames without TCP and IP headers; the memory includes the models of the workers");
}

const Registration takeoverRegistration("takeover", "Time until a zone places jobs again after its holder is lost", takeover);
const Registration configRegistration("config", "Time until a configuration change is in force everywhere", config);
const Registration restartRegistration("restart", "Replacing all instances, and reading the state of a zone", restart);
const Registration logRegistration("log", "Appends a second, and the time that claiming a key adds to a request", log);
const Registration controlRegistration("control", "Network bytes, processor time and memory of a holder", control);

} // namespace

} // namespace Acaciarail::Bench
