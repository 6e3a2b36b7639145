#pragma once

#include <acaciarail/runtime/event_loop.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Acaciarail::Tests {

/// Longest time for an event that a test waits for; it only bounds a failing test.
constexpr Duration maxWait = 20s;

/// A plain blocking TCP socket on the loopback address, for input that a FrameConnection would never write.
class RawSocket
{
public:
    explicit RawSocket(int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        : m_fd(fd)
    {
    }
    ~RawSocket()
    {
        close();
    }
    RawSocket(const RawSocket &) = delete;
    auto operator=(const RawSocket &) -> RawSocket & = delete;

    /// Returns whether the connection is established; the kernel does this, so the other side need not run.
    auto connect(std::uint16_t port) const -> bool
    {
        const auto address = loopback(port);
        return ::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    }

    /// Listens on a port that the kernel chooses and returns it; connections are established but never accepted before accept().
    [[nodiscard]] auto listen(int backlog = 16) const -> std::uint16_t
    {
        auto address = loopback(0);
        socklen_t length = sizeof address;
        static_cast<void>(::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address));
        ::listen(m_fd, backlog);
        ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length);
        return ntohs(address.sin_port);
    }

    [[nodiscard]] auto accept() const -> int
    {
        return ::accept(m_fd, nullptr, nullptr);
    }

    auto write(std::string_view bytes) const -> void
    {
        while (!bytes.empty()) {
            const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }

    /// Reads what has arrived, without waiting.
    [[nodiscard]] auto readAvailable() const -> std::string
    {
        std::string out;
        std::string buf(65536, '\0');
        for (;;) {
            const auto n = ::recv(m_fd, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n <= 0) {
                return out;
            }
            out.append(buf.data(), static_cast<std::size_t>(n));
        }
    }

    /// Whether the other side has closed the connection and nothing is left to read.
    [[nodiscard]] auto isClosedByPeer() const -> bool
    {
        char c = 0;
        const auto n = ::recv(m_fd, &c, 1, MSG_DONTWAIT | MSG_PEEK);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }

    auto close() -> void
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

private:
    static auto loopback(std::uint16_t port) -> sockaddr_in
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int m_fd;
};

/// Returns \a content as a frame, preceded by its length.
inline auto frame(std::string_view content) -> std::string
{
    const auto n = content.size();
    std::string out{static_cast<char>(n >> 24U), static_cast<char>(n >> 16U), static_cast<char>(n >> 8U), static_cast<char>(n)};
    return out.append(content);
}

} // namespace Acaciarail::Tests
