#pragma once

#include "http_listener.h"
#include "worker_fleet.h"

#include <cstdint>
#include <random>

namespace Acaciarail::Soak {

/// Stand-in for the platform's list of machines, each of which runs one worker of a fleet or is down. Some calls are refused, and some get
/// no response. Not thread-safe.
class MachineServer
{
public:
    /// \pre \a loop and \a fleet outlive the server.
    MachineServer(Runtime::EventLoop &loop, WorkerFleet &fleet, std::uint64_t seed);

    [[nodiscard]] auto address() const -> Runtime::SocketAddress
    {
        return m_listener.address();
    }
    /// Returns the number of pages that were served. \pre none.
    [[nodiscard]] auto pagesServed() const -> std::size_t
    {
        return m_pagesServed;
    }

private:
    auto handle(const HttpCall &call, const Respond &respond) -> void;
    [[nodiscard]] auto page(std::size_t first) -> HttpReply;

    WorkerFleet &m_fleet;
    std::mt19937_64 m_random;
    std::size_t m_pagesServed = 0;
    HttpListener m_listener;
};

} // namespace Acaciarail::Soak
