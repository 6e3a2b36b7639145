#pragma once

#include "child_process.h"
#include "http_exchange.h"
#include "ledger.h"
#include "store_server.h"

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Acaciarail::Clients {

struct PlatformInstanceSettings
{
    std::size_t memoryMb = 64;
    std::size_t maxFds = 3075;
    /// Further lines for the end of the settings file.
    std::string extra = {};
};

/// One instance in the mode of the users' platform, with a stand-in of the store, one queue and no workers. Not thread-safe.
class PlatformInstance
{
public:
    /// Returns once the instance is ready. Fails the test otherwise. \pre none.
    explicit PlatformInstance(const PlatformInstanceSettings &settings);
    ~PlatformInstance();
    PlatformInstance(const PlatformInstance &) = delete;
    auto operator=(const PlatformInstance &) -> PlatformInstance & = delete;

    /// Returns whether a job can be submitted, and the readiness and the metrics be read. Each request is repeated, as ordinary callers
    /// do, until it is answered or the limit of the test is reached. \pre none.
    [[nodiscard]] auto servesOrdinaryRequests() -> bool;

    /// Runs the store until \a condition holds; false after the limit of the test. \pre none.
    [[nodiscard]] auto waitUntil(const std::function<bool()> &condition) -> bool;

    /// Returns a request with the queue's host and a valid key. \pre none.
    [[nodiscard]] static auto request(std::string_view method, std::string_view rest, std::string_view headers = {},
                                      std::string_view body = {}) -> std::string;
    /// Returns the body of a valid job, padded to \a size bytes when it is shorter. \pre none.
    [[nodiscard]] static auto job(std::size_t size = 0) -> std::string;

    /// Returns the metrics; empty when they are not answered. \pre none.
    [[nodiscard]] auto readMetrics() -> std::string;
    /// Returns what the instance has logged. \pre none.
    [[nodiscard]] auto readLog() const -> std::string;

    [[nodiscard]] auto process() -> ProcessTest::ChildProcess &
    {
        return *m_process;
    }
    [[nodiscard]] auto loop() -> Runtime::EventLoop &
    {
        return m_loop;
    }
    [[nodiscard]] auto store() -> Soak::StoreServer &
    {
        return m_store;
    }

    Runtime::SocketAddress callers;
    Runtime::SocketAddress readiness;
    Runtime::SocketAddress metrics;

private:
    [[nodiscard]] auto isAnswered(const Runtime::SocketAddress &address, const std::string &bytes) -> bool;

    Runtime::EventLoop m_loop;
    Soak::Ledger m_ledger;
    Soak::StoreServer m_store;
    std::filesystem::path m_directory;
    std::unique_ptr<ProcessTest::ChildProcess> m_process;
    std::size_t m_jobs = 0;
};

} // namespace Acaciarail::Clients
