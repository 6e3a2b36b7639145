#pragma once

#include "observed_process.h"

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <cstddef>
#include <string>
#include <vector>

/// Real processes against clients that are outside of the users' control.
namespace Acaciarail::Clients {

/// What each client of a crowd does. A client never reads.
struct CrowdPlan
{
    std::size_t clients = 0;
    /// Sent once.
    std::string opening;
    /// Sent repeatedly after the opening, until bytesPerClient were sent.
    std::string repeated;
    std::size_t bytesPerClient = 0;
    /// Largest number of bytes that a client sends at once.
    std::size_t piece = std::size_t{64} * 1024;
    /// Shuts its sending direction down after the last byte, and stays connected.
    bool closesSendingSide = false;
};

/// Clients of one listener that send as much as it accepts, up to a limit, and then stay connected. Not thread-safe.
class ClientCrowd
{
public:
    /// Connects the clients. \pre \a loop outlives the crowd. Throws std::system_error when a socket cannot be created.
    ClientCrowd(Runtime::EventLoop &loop, const Runtime::SocketAddress &address, const CrowdPlan &plan);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    auto operator=(const ClientCrowd &) -> ClientCrowd & = delete;

    /// Sends until each client has sent everything or was disconnected, or until the server has accepted nothing for a while.
    /// Runs the loop meanwhile and observes \a process. \pre none.
    auto send(ObservedProcess &process) -> void;

    /// Returns the number of bytes that all clients have sent. \pre none.
    [[nodiscard]] auto sentBytes() const noexcept -> std::size_t;

private:
    struct Client
    {
        int socket = -1;
        std::size_t sent = 0;
        bool finished = false;
    };

    [[nodiscard]] auto sendSome(Client &client) -> bool;

    Runtime::EventLoop &m_loop;
    CrowdPlan m_plan;
    /// The repeated part, often enough for a large piece.
    std::string m_block;
    std::vector<Client> m_clients;
};

} // namespace Acaciarail::Clients
