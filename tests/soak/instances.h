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

/// The instances under test: real processes, with a proxy in front of each and one between each and the store. Not thread-safe.
class Instances
{
public:
    /// \pre the references outlive the object; \a directory exists and receives settings and logs.
    Instances(Runtime::EventLoop &loop, Ledger &ledger, StoreServer &store, std::size_t count, std::filesystem::path directory);

    [[nodiscard]] auto count() const -> std::size_t
    {
        return m_instances.size();
    }
    [[nodiscard]] auto callerProxy(std::size_t i) -> TcpProxy &
    {
        return *m_instances.at(i).callers;
    }
    [[nodiscard]] auto storeProxy(std::size_t i) -> TcpProxy &
    {
        return *m_instances.at(i).store;
    }
    /// Returns the address at which an instance takes callers, past its proxy.
    [[nodiscard]] auto direct(std::size_t i) const -> Runtime::SocketAddress
    {
        return m_instances.at(i).front;
    }
    [[nodiscard]] auto ready(std::size_t i) const -> bool
    {
        return m_instances.at(i).ready;
    }

    /// Kills the process and starts it again after \a pause.
    auto kill(std::size_t i, Duration pause) -> void;
    /// Suspends the process for \a length.
    auto suspend(std::size_t i, Duration length) -> void;
    /// Asks the process to end and starts it again; one that does not end in time is a violation.
    auto terminate(std::size_t i) -> void;
    auto reload(std::size_t i) -> void;
    /// Ends all disturbances that this class causes itself.
    auto heal() -> void;
    /// Asks all processes to end; returns whether they did.
    auto stopAll() -> bool;

private:
    struct Instance
    {
        std::string name;
        Runtime::SocketAddress front;
        Runtime::SocketAddress readiness;
        Runtime::SocketAddress metrics;
        std::unique_ptr<TcpProxy> callers;
        std::unique_ptr<TcpProxy> store;
        std::unique_ptr<ProcessTest::ChildProcess> process;
        std::unique_ptr<Runtime::HttpClient> health;
        bool ready = false;
        /// This life of the process has been ready.
        bool wasReady = false;
        std::uint32_t missed = 0;
        bool suspended = false;
        /// The process was told to end; it is killed when it has not by then.
        std::optional<TimePoint> deadline;
        std::optional<TimePoint> startsAt;
        std::uint32_t lives = 0;
    };

    auto start(Instance &instance) -> void;
    auto watch() -> void;
    auto checkHealth() -> void;
    auto writeSettings(const Instance &instance) const -> void;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    std::filesystem::path m_directory;
    std::vector<Instance> m_instances;
    bool m_stopping = false;
};

} // namespace Acaciarail::Soak
