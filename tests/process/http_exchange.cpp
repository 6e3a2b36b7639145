#include "http_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace Acaciarail::ProcessTest {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";

auto toLower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

auto renderRequest(std::string_view method, std::string_view target, const std::vector<std::string> &headers, std::string_view body)
    -> std::string
{
    auto out = std::string(method) + " " + std::string(target) + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n";
    for (const auto &it : headers) {
        out += it + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

struct HttpExchange::State
{
    bufferevent *connection = nullptr;
    std::string received;
    bool ended = false;

    static auto onRead(bufferevent *connection, void *arg) -> void
    {
        auto &self = *static_cast<State *>(arg);
        std::array<char, 16384> buf{};
        for (auto n = bufferevent_read(connection, buf.data(), buf.size()); n > 0;
             n = bufferevent_read(connection, buf.data(), buf.size())) {
            self.received.append(buf.data(), n);
        }
    }

    static auto onEvent(bufferevent *connection, short what, void *arg) -> void
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            onRead(connection, arg);
            static_cast<State *>(arg)->ended = true;
        }
    }

    /// Returns the offset of the body once the response is complete; npos before that.
    [[nodiscard]] auto completeBodyStart() const -> std::size_t
    {
        const auto end = received.find(headEnd);
        if (!received.starts_with("HTTP/1.") || end == std::string::npos) {
            return std::string::npos;
        }
        constexpr std::string_view field = "\r\ncontent-length:";
        const auto head = toLower(received.substr(0, end + 2));
        const auto at = head.find(field);
        const auto start = end + headEnd.size();
        if (at == std::string::npos) {
            return ended ? start : std::string::npos;
        }
        const auto length = std::strtoull(head.c_str() + at + field.size(), nullptr, 10);
        return received.size() >= start + length ? start : std::string::npos;
    }
};

HttpExchange::HttpExchange(Runtime::EventLoop &loop, const Runtime::SocketAddress &address, std::string_view bytes)
    : m_state(std::make_unique<State>())
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
    m_state->connection = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_state->connection, &State::onRead, nullptr, &State::onEvent, m_state.get());
    bufferevent_write(m_state->connection, bytes.data(), bytes.size());
    bufferevent_enable(m_state->connection, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(m_state->connection, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) {
        m_state->ended = true;
    }
}

HttpExchange::~HttpExchange()
{
    bufferevent_free(m_state->connection);
}

auto HttpExchange::isDone() const -> bool
{
    return m_state->ended || m_state->completeBodyStart() != std::string::npos;
}

auto HttpExchange::status() const -> int
{
    constexpr std::size_t statusOffset = 9;
    return m_state->completeBodyStart() == std::string::npos ? 0 : std::atoi(m_state->received.c_str() + statusOffset);
}

auto HttpExchange::body() const -> std::string
{
    const auto start = m_state->completeBodyStart();
    return start == std::string::npos ? std::string() : m_state->received.substr(start);
}

auto HttpExchange::json() const -> nlohmann::json
{
    auto out = nlohmann::json::parse(body(), nullptr, false);
    return out.is_discarded() ? nlohmann::json() : out;
}

} // namespace Acaciarail::ProcessTest
