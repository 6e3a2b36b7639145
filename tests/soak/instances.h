#pragma once

#include "child_process.h"
#include "ledger.h"
#include "store_server.h"
#include "tcp_proxy.h"

#include <acaciarail/runtime/http_client.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace Acaciarail::Soak {

/// The instances under test as real processes. Each has one proxy between callers and it and one between it and the store.
/// Not thread-safe.
class Instances
{
public:
    /// \pre the references outlive the object; \a directory exists and receives settings and logs.
    /// \a evacuations configures that zones may be evacuated; \a machineList is where the platform lists its machines.
    Instances(Runtime::EventLoop &loop, Ledger &ledger, StoreServer &store, std::size_t count, std::filesystem::path directory,
              bool evacuations, Runtime::SocketAddress machineList);

    [[nodiscard]] auto count() const -> std::size_t
    {
        return m_instances.size();
    }
    [[nodiscard]] auto callerProxy(std::size_t i) -> TcpProxy &
    {
        return *m_instances.at(i).callerProxy;
    }
    [[nodiscard]] auto storeProxy(std::size_t i) -> TcpProxy &
    {
        return *m_instances.at(i).storeProxy;
    }
    /// Returns the address at which an instance listens for callers, bypassing its proxy.
    [[nodiscard]] auto directAddress(std::size_t i) const -> Runtime::SocketAddress
    {
        return m_instances.at(i).callerAddress;
    }
    [[nodiscard]] auto isReady(std::size_t i) const -> bool
    {
        return m_instances.at(i).ready;
    }

    /// Kills the process and restarts it after \a pause.
    auto kill(std::size_t i, Duration pause) -> void;
    /// Suspends the process with SIGSTOP for \a duration. Does nothing if it is suspended, stopping or not running.
    auto suspend(std::size_t i, Duration duration) -> void;
    /// Sends SIGTERM and restarts the process once it has exited; a process that does not exit in time is a violation.
    auto terminate(std::size_t i) -> void;
    auto reload(std::size_t i) -> void;
    /// Ends all faults of the proxies and resumes suspended processes.
    auto restore() -> void;
    /// Sends SIGTERM to all processes and returns whether all of them ended in time.
    auto stopAll() -> bool;

private:
    struct Instance
    {
        std::string name;
        Runtime::SocketAddress callerAddress;
        Runtime::SocketAddress readinessAddress;
        Runtime::SocketAddress metricsAddress;
        std::unique_ptr<TcpProxy> callerProxy;
        std::unique_ptr<TcpProxy> storeProxy;
        std::unique_ptr<ProcessTest::ChildProcess> process;
        std::unique_ptr<Runtime::HttpClient> healthClient;
        bool ready = false;
        /// The current incarnation of the process has been ready.
        bool wasReady = false;
        std::uint32_t failedChecks = 0;
        bool suspended = false;
        /// Set after SIGTERM; a process that is still running at this time is killed.
        std::optional<TimePoint> stopDeadline;
        /// Time at which the process is restarted.
        std::optional<TimePoint> startTime;
        std::uint32_t incarnation = 0;
    };

    auto start(Instance &instance) -> void;
    auto checkProcesses() -> void;
    auto checkHealth() -> void;
    auto writeSettings(const Instance &instance) const -> void;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    std::filesystem::path m_directory;
    std::vector<Instance> m_instances;
    bool m_evacuations = true;
    Runtime::SocketAddress m_machineList;
    bool m_stopping = false;
};

} // namespace Acaciarail::Soak
