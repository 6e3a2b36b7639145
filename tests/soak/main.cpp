#include "scenario.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the scenario");
DEFINE_uint32(traffic, 12, "seconds during which callers submit jobs and faults are injected");
DEFINE_uint32(instances, 0, "number of instances; 0 derives it from the seed");
DEFINE_uint32(workers, 0, "number of workers; 0 derives it from the seed");
DEFINE_string(directory, "", "directory for settings and logs; created if missing");

using namespace Acaciarail;

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(
        "soak --seed N --directory DIR: runs one scenario with real processes and checks what callers and workers observe");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Soak::ScenarioSettings settings;
    settings.seed = FLAGS_seed;
    settings.traffic = std::chrono::seconds(FLAGS_traffic);
    settings.instances = FLAGS_instances;
    settings.workers = FLAGS_workers;
    settings.directory = FLAGS_directory.empty() ? "soak-" + std::to_string(FLAGS_seed) : FLAGS_directory;
    std::filesystem::create_directories(settings.directory);
    Soak::Scenario scenario(settings);
    const auto violations = scenario.run();
    std::cout << "seed=" << FLAGS_seed << " violations=" << violations.size() << ' ' << scenario.summary() << std::endl;
    return violations.empty() ? 0 : 1;
}
