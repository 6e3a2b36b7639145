#pragma once

#include "worker_model.h"

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/frame_connection.h>
#include <acaciarail/runtime/timer.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <system_error>

namespace Acaciarail::Standins {

/// A worker model behind a listening socket. Messages that the worker sends unprompted go to the connection of the holder: the
/// one on which an Attach was last granted or a Renew last accepted. Not thread-safe; used on the loop's thread.
class WorkerServer
{
public:
    /// \pre \a loop outlives the server.
    WorkerServer(Runtime::EventLoop &loop, WorkerModelSettings settings, WorkerModel::Plan plan,
                 const Runtime::SocketAddress &address = {});

    /// Starts to listen. Returns the operating system's error when the address cannot be used. \pre not listening.
    [[nodiscard]] auto listen() -> std::error_code;

    /// Returns the address in use. \pre listen() succeeded.
    [[nodiscard]] auto address() const -> Runtime::SocketAddress;

    /// Makes all open connections unresponsive: what they receive is dropped, and nothing is sent on them.
    /// New connections work. \pre none.
    auto silenceConnections() -> void;

    /// Closes all connections. \pre none.
    auto dropConnections() -> void;

    /// \pre none.
    [[nodiscard]] auto model() -> WorkerModel &;
    [[nodiscard]] auto connectionCount() const noexcept -> std::size_t;
    /// Returns the number of connections accepted so far. \pre none.
    [[nodiscard]] auto acceptedCount() const noexcept -> std::uint64_t;

private:
    auto accept(std::unique_ptr<Runtime::FrameConnection> connection) -> void;
    auto received(std::uint64_t id, std::string_view content) -> void;
    auto send(std::uint64_t id, const Worker::Reply &reply) -> void;
    auto advance() -> void;

    Runtime::EventLoop &m_loop;
    WorkerModel m_model;
    /// Connections with an id up to this one are unresponsive.
    std::uint64_t m_lastSilentConnection = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_holderConnection = 0;
    std::map<std::uint64_t, std::unique_ptr<Runtime::FrameConnection>> m_connections;
    Runtime::FrameServer m_server;
    Runtime::Timer m_timer;
};

} // namespace Acaciarail::Standins
