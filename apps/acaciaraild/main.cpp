#include "daemon.h"
#include "instance_process.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

DEFINE_string(config, "", "Settings file (TOML)");
DEFINE_string(name, "", "Overrides the setting name");
DEFINE_string(region, "", "Overrides the setting region");
DEFINE_string(zone, "", "Overrides the setting zone");
DEFINE_string(listen_callers, "", "Overrides the setting listen_callers");
DEFINE_string(listen_peers, "", "Overrides the setting listen_peers");
DEFINE_string(platform_address, "", "Overrides the setting platform_address");
DEFINE_string(advertised_address, "", "Overrides the setting advertised_address");
DEFINE_string(bootstrap_operator_token_sha256, "", "Overrides the setting bootstrap_operator_token_sha256");
DEFINE_string(log_level, "", "Overrides the setting log_level");
DEFINE_string(max_caller_connections, "", "Overrides the setting max_caller_connections");
DEFINE_string(max_caller_buffer_bytes, "", "Overrides the setting max_caller_buffer_bytes");
DEFINE_string(max_body_bytes, "", "Overrides the setting max_body_bytes");
DEFINE_string(max_header_bytes, "", "Overrides the setting max_header_bytes");
DEFINE_string(max_queued_requests, "", "Overrides the setting max_queued_requests");
DEFINE_string(max_trace_spans, "", "Overrides the setting max_trace_spans");
DEFINE_string(max_endpoint_connections, "", "Overrides the setting max_endpoint_connections");
DEFINE_string(default_deadline_ms, "", "Overrides the setting default_deadline_ms");
DEFINE_string(max_deadline_ms, "", "Overrides the setting max_deadline_ms");
DEFINE_string(progress_timeout_ms, "", "Overrides the setting progress_timeout_ms");
DEFINE_string(connect_timeout_ms, "", "Overrides the setting connect_timeout_ms");
DEFINE_string(caller_idle_timeout_ms, "", "Overrides the setting caller_idle_timeout_ms");
DEFINE_string(caller_header_timeout_ms, "", "Overrides the setting caller_header_timeout_ms");
DEFINE_string(caller_body_timeout_ms, "", "Overrides the setting caller_body_timeout_ms");
DEFINE_string(caller_unread_timeout_ms, "", "Overrides the setting caller_unread_timeout_ms");
DEFINE_string(log_append_timeout_ms, "", "Overrides the setting log_append_timeout_ms");
DEFINE_string(log_read_wait_ms, "", "Overrides the setting log_read_wait_ms");
DEFINE_string(instance_list_interval_ms, "", "Overrides the setting instance_list_interval_ms");
DEFINE_string(heartbeat_interval_ms, "", "Overrides the setting heartbeat_interval_ms");
DEFINE_string(shutdown_grace_ms, "", "Overrides the setting shutdown_grace_ms");
DEFINE_uint32(metrics_port, 0, "Port of the metrics on the users' platform; 0 takes the first internal port");
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
    // Tells the process that started this one which ports the kernel chose.
    std::cout << daemon.portsText() << std::endl;
    daemon.run();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    // A write to a connection that the peer closed must fail with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("acaciaraild --config FILE [--KEY VALUE ...]: an entry instance of acaciarail");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (const auto *path = std::getenv(Adapter::settingsVariable); path != nullptr && FLAGS_config.empty()) {
        return Adapter::runInstance(path, static_cast<std::uint16_t>(FLAGS_metrics_port));
    }
    const auto parsed = Operator::loadSettings(FLAGS_config, overridesFromFlags());
    for (const auto &it : parsed.faults) {
        std::cerr << "error: " << it.file << ':' << it.line << ':' << it.column << ": expected " << it.expected << ", found " << it.found
                  << '\n';
    }
    return parsed.faults.empty() ? serve(parsed.settings) : exitUsage;
}
