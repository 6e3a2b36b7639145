#include "platform_control.h"
#include "worker_server.h"

#include <acaciarail/core/logging.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/http_client.h>
#include <acaciarail/runtime/signal_watcher.h>
#include <acaciarail/runtime/timer.h>

#include <gflags/gflags.h>

#include <cmath>
#include <csignal>
#include <iostream>
#include <random>
#include <string>
#include <vector>

DEFINE_string(platform, "", "ADDRESS:PORT of the platform stand-in with which the workers register themselves; none when empty");
DEFINE_string(host, "127.0.0.1", "Address to listen on; the kernel chooses the ports");
DEFINE_int32(run_for, 600, "Seconds after which the process exits");
DEFINE_int32(workers, 1, "Workers in this process, each with its own port");
DEFINE_string(name_prefix, "worker", "Workers are called PREFIX-0, PREFIX-1 and so on");
DEFINE_int32(first_index, 0, "Index of the first worker; it also determines the racks");
DEFINE_string(region, "region", "Region of the workers");
DEFINE_string(zone, "zone", "Zone of the workers");
DEFINE_int32(rack_size, 8, "Workers in each rack");
DEFINE_int32(accelerators, 8, "Accelerators of each worker");
DEFINE_int32(cores, 32, "Cores of each worker");
DEFINE_int32(memory_mib, 65536, "Memory of each worker, in MiB");
DEFINE_double(speed, 1.0, "Tasks run for the declared run time of their job multiplied by this");
DEFINE_double(run_time_error, 1.0, "Largest random factor by which run times deviate from the declared ones, in both directions");
DEFINE_int32(failing_workers, 0, "Number of workers, counted from the first, that fail all their tasks");
DEFINE_string(failing_kind, "always-fails", "Jobs of this kind fail on every worker");
DEFINE_uint64(seed, 1, "Seed of the random run times");

namespace Acaciarail::Standins {

namespace {

constexpr Duration registrationTimeout = 2s;
constexpr Duration registrationRetry = 500ms;

auto workerInfo(int index) -> WorkerInfo
{
    WorkerInfo info;
    info.name = WorkerName(FLAGS_name_prefix + "-" + std::to_string(index));
    info.region = RegionName(FLAGS_region);
    info.zone = ZoneName(FLAGS_zone);
    const auto rack = index / FLAGS_rack_size;
    info.rack = RackName(FLAGS_zone + "-rack-" + std::to_string(rack));
    info.rackPosition = static_cast<std::uint32_t>(rack);
    info.capacity = {static_cast<std::uint32_t>(FLAGS_accelerators), static_cast<std::uint32_t>(FLAGS_cores),
                     static_cast<std::uint32_t>(FLAGS_memory_mib)};
    return info;
}

auto planFor(bool failing) -> WorkerModel::Plan
{
    return [failing, random = std::mt19937_64(FLAGS_seed)](const Worker::AttemptReport &attempt, std::uint32_t) mutable {
        // Tasks of a gang end together: the factor depends on the job only.
        random.seed(FLAGS_seed ^ std::hash<JobId>{}(attempt.id.job));
        const auto exponent = std::uniform_real_distribution<double>(-1.0, 1.0)(random);
        const auto factor = FLAGS_speed * std::pow(FLAGS_run_time_error, exponent);
        const auto declared = std::chrono::duration<double, Duration::period>(attempt.job.spec.declaredRunTime);
        const auto fails = failing || attempt.job.spec.kind == FLAGS_failing_kind;
        return TaskPlan{std::chrono::duration_cast<Duration>(declared * factor), fails};
    };
}

/// Returns the entry of a worker in the platform's list of instances.
auto listEntry(const WorkerInfo &info) -> ListedInstance
{
    ListedInstance out;
    out.name = info.name.str();
    out.kind = ListedKind::Worker;
    out.address = info.address;
    out.region = info.region.str();
    out.zone = info.zone.str();
    out.rack = info.rack.str();
    out.rackPosition = info.rackPosition;
    out.accelerators = info.capacity.accelerators;
    out.cores = info.capacity.cores;
    out.memoryMiB = info.capacity.memoryMiB;
    return out;
}

auto clientSettings(const Runtime::SocketAddress &platform) -> Runtime::HttpClientSettings
{
    Runtime::HttpClientSettings settings;
    settings.address = platform;
    return settings;
}

/// Registers the workers with the platform stand-in, and retries until the request succeeds.
class Registration
{
public:
    Registration(Runtime::EventLoop &loop, const Runtime::SocketAddress &platform, const std::vector<ListedInstance> &workers)
        : m_body(R"({"add":)" + instancesToJson(workers) + "}")
        , m_client(loop, clientSettings(platform))
        , m_retry(loop, [this] { start(); })
    {
        start();
    }

private:
    auto start() -> void
    {
        m_client.start({"/control", m_body, registrationTimeout}, [this](const Runtime::HttpResult &result) {
            constexpr int statusOk = 200;
            if (result.status != statusOk) {
                logEvent(LogLevel::Warning, "registration-failed", {{"status", result.status}, {"error", result.error.message()}});
                m_retry.start(registrationRetry);
            }
        });
    }

    std::string m_body;
    Runtime::HttpClient m_client;
    Runtime::Timer m_retry;
};

auto run() -> int
{
    Runtime::EventLoop loop;
    std::vector<std::unique_ptr<WorkerServer>> servers;
    std::vector<ListedInstance> registered;
    for (int i = 0; i < FLAGS_workers; ++i) {
        WorkerModelSettings settings;
        settings.info = workerInfo(FLAGS_first_index + i);
        auto server =
            std::make_unique<WorkerServer>(loop, settings, planFor(i < FLAGS_failing_workers), Runtime::SocketAddress{FLAGS_host, 0});
        if (const auto error = server->listen()) {
            std::cerr << "listen: " << error.message() << '\n';
            return 1;
        }
        settings.info.address = server->address().str();
        registered.push_back(listEntry(settings.info));
        std::cout << "port=" << server->address().port << std::endl;
        servers.push_back(std::move(server));
    }
    std::unique_ptr<Registration> registration;
    if (!FLAGS_platform.empty()) {
        const auto platform = Runtime::parseSocketAddress(FLAGS_platform);
        if (!platform) {
            std::cerr << "--platform: expected HOST:PORT, found " << FLAGS_platform << '\n';
            return 2;
        }
        registration = std::make_unique<Registration>(loop, *platform, registered);
    }
    const Runtime::SignalWatcher terminated(loop, SIGTERM, [&loop] { loop.stop(); });
    // Simulates open connections that permanently stop responding while new ones work.
    const Runtime::SignalWatcher silenced(loop, SIGUSR1, [&servers] {
        for (const auto &it : servers) {
            it->silenceConnections();
        }
    });
    const Runtime::SignalWatcher interrupted(loop, SIGINT, [&loop] { loop.stop(); });
    Runtime::Timer limit(loop, [&loop] { loop.stop(); });
    limit.start(std::chrono::seconds(FLAGS_run_for));
    loop.run();
    return 0;
}

} // namespace

} // namespace Acaciarail::Standins

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Stand-in for workers");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Acaciarail::configureLogging(Acaciarail::LogLevel::Info);
    if (FLAGS_rack_size < 1 || FLAGS_workers < 1 || FLAGS_speed < 0 || FLAGS_run_time_error < 1) {
        std::cerr << "--rack_size, --workers, --run_time_error: expected at least 1; --speed: expected at least 0\n";
        return 2;
    }
    return Acaciarail::Standins::run();
}
