#include "daemon.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <random>
#include <vector>

DEFINE_string(config, "", "Settings file (TOML)");
DEFINE_string(name, "", "Overrides the setting name");
DEFINE_string(region, "", "Overrides the setting region");
DEFINE_string(zone, "", "Overrides the setting zone");
DEFINE_string(caller_listen_address, "", "Overrides the setting caller_listen_address (ADDRESS:PORT)");
DEFINE_string(peer_listen_address, "", "Overrides the setting peer_listen_address (ADDRESS:PORT)");
DEFINE_string(platform_address, "", "Overrides the setting platform_address (ADDRESS:PORT)");
DEFINE_string(bootstrap_operator_token_sha256, "", "Overrides the setting bootstrap_operator_token_sha256");
DEFINE_string(log_level, "", "Overrides the setting log_level");
DEFINE_uint64(seed, 0, "Seed of all random choices; 0 takes one from the system");

namespace {

using namespace Acaciarail;

constexpr int exitUsage = 2;
constexpr int exitFailed = 1;

auto overridesFromFlags() -> std::vector<Operator::SettingOverride>
{
    std::vector<Operator::SettingOverride> overrides;
    for (const auto &it : Operator::settingKeys()) {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(std::string(it.key).c_str(), &info) && !info.is_default) {
            overrides.push_back({std::string(it.key), info.current_value});
        }
    }
    return overrides;
}

auto randomSeed() -> std::uint64_t
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

auto serve(const Operator::InstanceSettings &settings) -> int
{
    configureLogging(settings.logLevel);
    Daemon::Daemon daemon(settings, FLAGS_seed != 0 ? FLAGS_seed : randomSeed());
    if (const auto ec = daemon.start()) {
        logEvent(LogLevel::Error, "start-failed", {{"error", ec.message()}});
        return exitFailed;
    }
    // The line tells a supervisor which ports the kernel chose.
    std::cout << daemon.portsText() << std::endl;
    daemon.run();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    // A write to a connection that the other side closed is reported as an error.
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("acaciaraild --config FILE [--KEY VALUE ...]: an entry instance of acaciarail");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto parsed = Operator::loadSettings(FLAGS_config, overridesFromFlags());
    for (const auto &it : parsed.faults) {
        std::cerr << "error: " << it.file << ':' << it.line << ':' << it.column << ": expected " << it.expected << ", found " << it.found
                  << '\n';
    }
    return parsed.faults.empty() ? serve(parsed.settings) : exitUsage;
}
