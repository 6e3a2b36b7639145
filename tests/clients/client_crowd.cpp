#include "client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace Acaciarail::Clients {

namespace {

/// The server counts as not accepting any more after this time without progress of any client.
constexpr Duration quietPeriod = 2s;
/// Ends a test that would otherwise hang.
constexpr Duration sendLimit = 90s;
constexpr Duration roundInterval = 2ms;

} // namespace

ClientCrowd::ClientCrowd(Runtime::EventLoop &loop, const Runtime::SocketAddress &address, const CrowdPlan &plan)
    : m_loop(loop)
    , m_plan(plan)
{
    while (!plan.repeated.empty() && m_block.size() < 2 * plan.piece) {
        m_block += plan.repeated;
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
    for (std::size_t i = 0; i < plan.clients; ++i) {
        Client client;
        client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (client.socket < 0) {
            throw std::system_error(errno, std::generic_category(), "socket");
        }
        client.finished = ::connect(client.socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0 && errno != EINPROGRESS;
        m_clients.push_back(client);
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const auto &it : m_clients) {
        ::close(it.socket);
    }
}

auto ClientCrowd::sendSome(Client &client) -> bool
{
    const char *from = nullptr;
    std::size_t n = 0;
    const auto openingLeft = m_plan.opening.size() - std::min(m_plan.opening.size(), client.sent);
    if (openingLeft > 0) {
        from = m_plan.opening.data() + client.sent;
        n = openingLeft;
    } else if (client.sent < m_plan.bytesPerClient && !m_plan.repeated.empty()) {
        const auto at = (client.sent - m_plan.opening.size()) % m_plan.repeated.size();
        from = m_block.data() + at;
        n = std::min(m_block.size() - at, m_plan.bytesPerClient - client.sent);
    }
    if (n == 0) {
        if (m_plan.closesSendingSide) {
            ::shutdown(client.socket, SHUT_WR);
        }
        client.finished = true;
        return true;
    }
    const auto sent = ::send(client.socket, from, std::min(n, m_plan.piece), MSG_NOSIGNAL);
    if (sent > 0) {
        client.sent += static_cast<std::size_t>(sent);
        return true;
    }
    if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN || errno == EINTR)) {
        return false;
    }
    client.finished = true;
    return true;
}

auto ClientCrowd::send(ObservedProcess &process) -> void
{
    const auto startedAt = m_loop.now();
    auto progressAt = startedAt;
    while (m_loop.now() < startedAt + sendLimit && m_loop.now() < progressAt + quietPeriod) {
        bool allFinished = true;
        for (auto &it : m_clients) {
            if (!it.finished && sendSome(it)) {
                progressAt = m_loop.now();
            }
            allFinished = allFinished && it.finished;
        }
        process.observe();
        if (allFinished || process.hasEnded()) {
            break;
        }
        (void)m_loop.runUntil([] { return false; }, roundInterval);
    }
    // The server may not have read everything yet.
    const auto settleUntil = m_loop.now() + quietPeriod / 2;
    while (m_loop.now() < settleUntil) {
        (void)m_loop.runUntil([] { return false; }, 20 * roundInterval);
        process.observe();
    }
}

auto ClientCrowd::sentBytes() const noexcept -> std::size_t
{
    std::size_t out = 0;
    for (const auto &it : m_clients) {
        out += it.sent;
    }
    return out;
}

} // namespace Acaciarail::Clients
