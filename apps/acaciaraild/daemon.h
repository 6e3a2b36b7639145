#pragma once

#include "control_gateway.h"
#include "log_follower.h"
#include "service_gateway.h"

#include <acaciarail/operator/settings.h>
#include <acaciarail/peer/peer_links.h>
#include <acaciarail/platform/instance_list_client.h>
#include <acaciarail/runtime/signal_watcher.h>
#include <acaciarail/worker/worker_links.h>

#include <memory>
#include <system_error>

namespace Acaciarail::Daemon {

/// One entry instance: the instance logic with its listeners, clients and timers. Not thread-safe; created, run and destroyed on one
/// thread.
class Daemon
{
public:
    /// \pre \a settings are valid; \a seed differs between processes.
    Daemon(Operator::InstanceSettings settings, std::uint64_t seed);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Binds the listeners. Returns the system's error when an address cannot be used. \pre not called before.
    [[nodiscard]] auto start() -> std::error_code;

    /// Serves until a graceful shutdown is complete. \pre start() succeeded.
    auto run() -> void;

    /// Returns the ports in use as `caller_port=N peer_port=N`. \pre start() succeeded.
    [[nodiscard]] auto portsText() const -> std::string;

private:
    auto createInstance() -> void;
    auto createServer() -> void;
    auto createLinks() -> void;
    auto instanceHooks() -> Instance::InstanceHooks;
    auto readConfiguration(const std::map<std::string, State::Document> &documents) -> Instance::Configuration;
    [[nodiscard]] auto authenticate(std::string_view token) const -> std::optional<Operator::TokenOwner>;
    auto append(const std::vector<std::string> &records) -> void;
    auto fetchInstanceList() -> void;
    auto applyInstanceList(const Platform::InstanceList &list) -> void;
    auto tick() -> void;
    auto scheduleTick() -> void;
    auto drain() -> void;
    auto stopWhenDrained() -> void;

    Operator::InstanceSettings m_settings;
    std::uint64_t m_seed;
    std::uint64_t m_incarnation;
    Runtime::EventLoop m_loop;
    Telemetry::MetricsRegistry m_metrics;
    Telemetry::TraceBuffer m_traces;
    Telemetry::IdGenerator m_ids;
    Operator::DeploymentConfig m_config;
    std::vector<WorkerInfo> m_workers;

    std::unique_ptr<Platform::LogClient> m_appendClient;
    std::unique_ptr<Platform::LogClient> m_readClient;
    std::unique_ptr<Platform::LogClient> m_auditClient;
    std::unique_ptr<Platform::InstanceListClient> m_instanceListClient;
    std::unique_ptr<Endpoint::EndpointClient> m_endpointClient;
    std::unique_ptr<ServiceGateway> m_services;
    std::unique_ptr<ControlGateway> m_control;
    std::unique_ptr<Instance::Instance> m_instance;
    std::unique_ptr<Worker::WorkerLinks> m_workerLinks;
    std::unique_ptr<Peer::PeerLinks> m_peerLinks;
    std::unique_ptr<Caller::CallerServer> m_server;
    std::unique_ptr<LogFollower> m_follower;
    Runtime::Timer m_tickTimer;
    Runtime::Timer m_instanceListTimer;
    Runtime::Timer m_drainCheckTimer;
    Runtime::Timer m_shutdownTimer;
    std::vector<std::unique_ptr<Runtime::SignalWatcher>> m_signalWatchers;
    bool m_isDraining = false;
    bool m_isServerStopped = false;
};

} // namespace Acaciarail::Daemon
