#pragma once

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <event2/listener.h>

#include <list>
#include <memory>

struct bufferevent;

namespace Acaciarail::Soak {

/// Forwards connections to one address and disturbs them on request. Not thread-safe.
class TcpProxy
{
public:
    /// \pre \a loop outlives the proxy. Throws std::system_error when no port can be had.
    TcpProxy(Runtime::EventLoop &loop, Runtime::SocketAddress target);
    ~TcpProxy();
    TcpProxy(const TcpProxy &) = delete;
    auto operator=(const TcpProxy &) -> TcpProxy & = delete;

    [[nodiscard]] auto address() const -> Runtime::SocketAddress
    {
        return m_address;
    }

    enum class Cut {
        None,
        /// What the connecting side sends is lost.
        Requests,
        /// What the other side sends is lost.
        Answers,
        Both,
    };

    /// Loses bytes of all connections from now on; connections that lost some stay silent after it. \pre none.
    auto setCut(Cut cut) -> void;
    /// Delivers bytes later. \pre none.
    auto setDelay(Duration delay) -> void;
    /// Makes the connections that are open now silent for good; new ones work. \pre none.
    auto silenceOpen() -> void;
    /// Resets the connections that are open now. \pre none.
    auto resetOpen() -> void;
    /// Closes new connections at once. \pre none.
    auto setRefusing(bool refusing) -> void;

private:
    struct Link;
    friend struct Link;

    auto accept(evutil_socket_t socket) -> void;
    auto forward(const std::shared_ptr<Link> &link, bool fromClient) -> void;
    auto drop(const std::shared_ptr<Link> &link) -> void;

    Runtime::EventLoop &m_loop;
    Runtime::SocketAddress m_target;
    Runtime::SocketAddress m_address;
    evconnlistener *m_listener = nullptr;
    std::list<std::shared_ptr<Link>> m_links;
    Cut m_cut = Cut::None;
    Duration m_delay{};
    bool m_refusing = false;
    /// Lets delayed deliveries see that the proxy is gone.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Acaciarail::Soak
