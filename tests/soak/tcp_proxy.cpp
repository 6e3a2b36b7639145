#include "tcp_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <system_error>
#include <utility>

namespace Acaciarail::Soak {

namespace {

auto socketAddress(const Runtime::SocketAddress &address) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

} // namespace

struct TcpProxy::Link
{
    Link(TcpProxy &p, bufferevent *c, bufferevent *s)
        : proxy(p)
        , client(c)
        , server(s)
    {
    }
    ~Link()
    {
        bufferevent_free(client);
        bufferevent_free(server);
    }
    Link(const Link &) = delete;
    auto operator=(const Link &) -> Link & = delete;

    TcpProxy &proxy;
    bufferevent *client;
    bufferevent *server;
    std::weak_ptr<Link> self;
    bool blackholed = false;
};

TcpProxy::TcpProxy(Runtime::EventLoop &loop, Runtime::SocketAddress target)
    : m_loop(loop)
    , m_target(std::move(target))
{
    auto any = socketAddress(m_address);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
        static_cast<TcpProxy *>(self)->accept(socket);
    };
    m_listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
                                         reinterpret_cast<sockaddr *>(&any), sizeof any);
    if (m_listener == nullptr) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    socklen_t n = sizeof any;
    ::getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&any), &n);
    m_address.port = ntohs(any.sin_port);
}

TcpProxy::~TcpProxy()
{
    *m_alive = false;
    evconnlistener_free(m_listener);
}

auto TcpProxy::accept(evutil_socket_t socket) -> void
{
    if (m_refusing) {
        evutil_closesocket(socket);
        return;
    }
    auto *client = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    auto *server = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    const auto link = std::make_shared<Link>(*this, client, server);
    link->self = link;
    m_links.push_back(link);
    const auto onRead = [](bufferevent *side, void *arg) {
        if (const auto it = static_cast<Link *>(arg)->self.lock()) {
            it->proxy.forward(it, side == it->client);
        }
    };
    const auto onEvent = [](bufferevent *, short what, void *arg) {
        const auto it = static_cast<Link *>(arg)->self.lock();
        if (it && (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            it->proxy.closeLink(it);
        }
    };
    bufferevent_setcb(client, onRead, nullptr, onEvent, link.get());
    bufferevent_setcb(server, onRead, nullptr, onEvent, link.get());
    auto target = socketAddress(m_target);
    if (bufferevent_socket_connect(server, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
        closeLink(link);
        return;
    }
    bufferevent_enable(client, EV_READ | EV_WRITE);
    bufferevent_enable(server, EV_READ | EV_WRITE);
}

auto TcpProxy::forward(const std::shared_ptr<Link> &link, bool fromClient) -> void
{
    auto *from = bufferevent_get_input(fromClient ? link->client : link->server);
    std::string bytes(evbuffer_get_length(from), '\0');
    evbuffer_remove(from, bytes.data(), bytes.size());
    const bool lost = m_partition == Partition::Both || m_partition == (fromClient ? Partition::Requests : Partition::Responses);
    link->blackholed = link->blackholed || lost;
    if (link->blackholed) {
        return;
    }
    const auto deliver = [weak = std::weak_ptr(link), fromClient, bytes = std::move(bytes)] {
        if (const auto it = weak.lock(); it && !it->blackholed) {
            bufferevent_write(fromClient ? it->server : it->client, bytes.data(), bytes.size());
        }
    };
    if (m_delay > Duration::zero()) {
        m_loop.callAfter(m_delay, deliver);
    } else {
        deliver();
    }
}

auto TcpProxy::closeLink(const std::shared_ptr<Link> &link) -> void
{
    // Bytes that were received before the end are delivered first. A blackholed connection is not closed: its other end must not notice.
    const auto end = [this, alive = m_alive, weak = std::weak_ptr(link)] {
        const auto it = weak.lock();
        if (it && *alive && !it->blackholed) {
            m_links.remove(it);
        }
    };
    constexpr Duration flushDelay = 20ms;
    m_loop.callAfter(m_delay + flushDelay, end);
}

auto TcpProxy::setPartition(Partition partition) -> void
{
    m_partition = partition;
}

auto TcpProxy::setDelay(Duration delay) -> void
{
    m_delay = delay;
}

auto TcpProxy::blackholeConnections() -> void
{
    for (const auto &it : m_links) {
        it->blackholed = true;
    }
}

auto TcpProxy::resetConnections() -> void
{
    for (const auto &it : m_links) {
        const linger none{1, 0};
        ::setsockopt(bufferevent_getfd(it->client), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    m_links.clear();
}

auto TcpProxy::setTarget(Runtime::SocketAddress target) -> void
{
    m_target = std::move(target);
}

auto TcpProxy::setRefusing(bool refusing) -> void
{
    m_refusing = refusing;
}

} // namespace Acaciarail::Soak
