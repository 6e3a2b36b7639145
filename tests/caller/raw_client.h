#pragma once

#include "../support/test_loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Client that sends arbitrary bytes and stores the bytes received.
class RawClient
{
public:
    RawClient(Loop &loop, std::uint16_t port)
        : m_bev(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_setcb(m_bev, &RawClient::onRead, nullptr, &RawClient::onEvent, this);
        bufferevent_enable(m_bev, EV_READ | EV_WRITE);
        bufferevent_socket_connect(m_bev, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    }
    RawClient(const RawClient &) = delete;
    auto operator=(const RawClient &) -> RawClient & = delete;
    ~RawClient()
    {
        bufferevent_free(m_bev);
    }

    auto send(std::string_view bytes) -> void
    {
        bufferevent_write(m_bev, bytes.data(), bytes.size());
    }
    auto stopReading() -> void
    {
        bufferevent_disable(m_bev, EV_READ);
    }
    [[nodiscard]] auto received() const noexcept -> const std::string &
    {
        return m_received;
    }
    [[nodiscard]] auto closed() const noexcept -> bool
    {
        return m_closed;
    }

    /// Returns the number of complete responses received. A response without Content-Length counts as one without a body.
    [[nodiscard]] auto responses() const -> std::size_t
    {
        std::size_t n = 0;
        std::string_view rest = m_received;
        while (!takeResponse(rest).empty()) {
            ++n;
        }
        return n;
    }

    /// Returns the complete response with index \a i; empty when there is none.
    [[nodiscard]] auto response(std::size_t i) const -> std::string
    {
        std::string_view rest = m_received;
        std::string_view out = takeResponse(rest);
        for (; i > 0 && !out.empty(); --i) {
            out = takeResponse(rest);
        }
        return std::string(out);
    }

    /// Returns the status of the first response, or 0.
    [[nodiscard]] auto status() const -> int
    {
        const auto first = response(0);
        return first.empty() ? 0 : std::stoi(first.substr(first.find(' ') + 1));
    }

private:
    /// Removes the first complete response from \a rest and returns it; returns nothing when there is none.
    static auto takeResponse(std::string_view &rest) -> std::string_view
    {
        const auto headEnd = rest.find("\r\n\r\n");
        if (headEnd == std::string_view::npos) {
            return {};
        }
        const auto head = rest.substr(0, headEnd + 4);
        std::size_t length = 0;
        constexpr std::string_view name = "Content-Length: ";
        if (const auto at = head.find(name); at != std::string_view::npos) {
            length = std::stoul(std::string(head.substr(at + name.size())));
        }
        if (rest.size() < head.size() + length) {
            return {};
        }
        const auto out = rest.substr(0, head.size() + length);
        rest.remove_prefix(out.size());
        return out;
    }

    static auto onRead(bufferevent *bev, void *arg) -> void
    {
        auto &self = *static_cast<RawClient *>(arg);
        auto *input = bufferevent_get_input(bev);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        self.m_received += bytes;
    }

    static auto onEvent(bufferevent *, short what, void *arg) -> void
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<RawClient *>(arg)->m_closed = true;
        }
    }

    bufferevent *m_bev;
    std::string m_received;
    bool m_closed = false;
};
