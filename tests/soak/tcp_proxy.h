#pragma once

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <event2/listener.h>

#include <list>
#include <memory>

struct bufferevent;

namespace Acaciarail::Soak {

/// Forwards connections to one address and injects network faults on request. Not thread-safe.
class TcpProxy
{
public:
    /// \pre \a loop outlives the proxy. Throws std::system_error when no port is available.
    TcpProxy(Runtime::EventLoop &loop, Runtime::SocketAddress target);
    ~TcpProxy();
    TcpProxy(const TcpProxy &) = delete;
    auto operator=(const TcpProxy &) -> TcpProxy & = delete;

    [[nodiscard]] auto address() const -> Runtime::SocketAddress
    {
        return m_address;
    }

    /// Direction in which bytes are dropped.
    enum class Partition {
        None,
        /// Bytes from the connecting side are dropped.
        Requests,
        /// Bytes from the target are dropped.
        Responses,
        Both,
    };

    /// Drops bytes of all connections in the given direction from now on. A connection that lost bytes forwards nothing any more, in either
    /// direction, also after the partition has ended. \pre none.
    auto setPartition(Partition partition) -> void;
    /// Delays the delivery of bytes by \a delay. \pre none.
    auto setDelay(Duration delay) -> void;
    /// Drops all further bytes of the connections that are open now, permanently and without closing them; new connections work. \pre none.
    auto blackholeConnections() -> void;
    /// Resets the connections that are open now. \pre none.
    auto resetConnections() -> void;
    /// Sets the address to which new connections are forwarded. \pre none.
    auto setTarget(Runtime::SocketAddress target) -> void;
    /// Sets whether new connections are closed immediately. \pre none.
    auto setRefusing(bool refusing) -> void;

private:
    struct Link;
    friend struct Link;

    auto accept(evutil_socket_t socket) -> void;
    auto forward(const std::shared_ptr<Link> &link, bool fromClient) -> void;
    auto closeLink(const std::shared_ptr<Link> &link) -> void;

    Runtime::EventLoop &m_loop;
    Runtime::SocketAddress m_target;
    Runtime::SocketAddress m_address;
    evconnlistener *m_listener = nullptr;
    std::list<std::shared_ptr<Link>> m_links;
    Partition m_partition = Partition::None;
    Duration m_delay{};
    bool m_refusing = false;
    /// False once the proxy has been destroyed; delayed callbacks check it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Acaciarail::Soak
