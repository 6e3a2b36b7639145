#pragma once

#include "../support/test_loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Server on a local port; the test provides every byte of its responses.
class FakeEndpoint
{
public:
    struct Connection
    {
        bufferevent *bev = nullptr;
        std::string received;
        bool closed = false;
        /// Requests that the test has answered.
        std::size_t answered = 0;

        Connection() = default;
        Connection(const Connection &) = delete;
        auto operator=(const Connection &) -> Connection & = delete;
        ~Connection()
        {
            close();
        }

        auto send(std::string_view bytes) const -> void
        {
            bufferevent_write(bev, bytes.data(), bytes.size());
        }
        auto sendAndClose(std::string_view bytes) -> void
        {
            // Written directly to the socket, because close() drops bytes that bufferevent has buffered.
            [[maybe_unused]] const auto n = ::send(bufferevent_getfd(bev), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            close();
        }
        auto close() -> void
        {
            if (bev != nullptr) {
                // libevent closes the socket only later, in the event loop.
                shutdown(bufferevent_getfd(bev), SHUT_RDWR);
                bufferevent_free(bev);
                bev = nullptr;
            }
        }
        /// Returns the number of complete requests received. Only heads are counted: the tests send no body or a Content-Length below ten.
        [[nodiscard]] auto requests() const -> std::size_t
        {
            std::size_t n = 0;
            for (auto at = received.find("\r\n\r\n"); at != std::string::npos; at = received.find("\r\n\r\n", at + 4)) {
                ++n;
            }
            return n;
        }
    };

    explicit FakeEndpoint(Loop &loop)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(loop.base(), &FakeEndpoint::onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                             reinterpret_cast<sockaddr *>(&address), sizeof(address));
        socklen_t size = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    FakeEndpoint(const FakeEndpoint &) = delete;
    auto operator=(const FakeEndpoint &) -> FakeEndpoint & = delete;
    ~FakeEndpoint()
    {
        connections.clear();
        evconnlistener_free(m_listener);
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    /// Returns the number of complete requests received on all connections.
    [[nodiscard]] auto requests() const -> std::size_t
    {
        std::size_t n = 0;
        for (const auto &it : connections) {
            n += it->requests();
        }
        return n;
    }

    std::vector<std::unique_ptr<Connection>> connections;

private:
    static auto onAccept(evconnlistener *listener, evutil_socket_t fd, sockaddr *, int, void *arg) -> void
    {
        auto &self = *static_cast<FakeEndpoint *>(arg);
        auto connection = std::make_unique<Connection>();
        connection->bev = bufferevent_socket_new(evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection->bev, &FakeEndpoint::onRead, nullptr, &FakeEndpoint::onEvent, connection.get());
        bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
        self.connections.push_back(std::move(connection));
    }

    static auto onRead(bufferevent *bev, void *arg) -> void
    {
        auto *input = bufferevent_get_input(bev);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        static_cast<Connection *>(arg)->received += bytes;
    }

    static auto onEvent(bufferevent *, short what, void *arg) -> void
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<Connection *>(arg)->closed = true;
        }
    }

    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
};
