#include "platform_instance.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <string_view>

namespace Acaciarail::Clients {

namespace {

/// A caller that decides itself when it sends and when it reads. Not thread-safe.
class PausingCaller
{
public:
    PausingCaller(PlatformInstance &instance, const Runtime::SocketAddress &address)
        : m_instance(instance)
        , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
        BOOST_REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0);
    }
    ~PausingCaller()
    {
        ::close(m_socket);
    }
    PausingCaller(const PausingCaller &) = delete;
    auto operator=(const PausingCaller &) -> PausingCaller & = delete;

    auto send(std::string_view bytes) -> void
    {
        BOOST_REQUIRE(m_instance.waitUntil([&] {
            const auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(n));
            }
            return bytes.empty() || (n < 0 && errno != EAGAIN);
        }));
        BOOST_TEST(bytes.empty(), "disconnected before it had sent everything");
    }

    auto pause(Duration length) -> void
    {
        (void)m_instance.loop().runUntil([] { return false; }, length);
    }

    /// Reads until \a count responses with \a status have begun, or until the connection ends.
    auto receive(std::size_t count, int status) -> std::size_t
    {
        const auto line = "HTTP/1.1 " + std::to_string(status) + ' ';
        std::string received;
        std::size_t found = 0;
        std::size_t from = 0;
        BOOST_TEST(m_instance.waitUntil([&] {
            std::array<char, 65536> buf{};
            const auto n = ::recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n > 0) {
                received.append(buf.data(), static_cast<std::size_t>(n));
            }
            for (auto at = received.find(line, from); at != std::string::npos; at = received.find(line, from)) {
                ++found;
                from = at + line.size();
            }
            return found >= count || n == 0 || (n < 0 && errno != EAGAIN);
        }));
        BOOST_TEST(found == count, received.substr(0, 200));
        return found;
    }

private:
    PlatformInstance &m_instance;
    int m_socket;
};

constexpr std::string_view firstJob = "00000000000000a1";
constexpr std::string_view secondJob = "00000000000000a2";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;

} // namespace

BOOST_AUTO_TEST_SUITE(ordinaryClients)

/// Guards against limits that close the connection of a caller who pauses for less than the platform's own limits allow.
BOOST_AUTO_TEST_CASE(callerThatPausesIsServed)
{
    PlatformInstance instance({});
    PausingCaller caller(instance, instance.callers);
    const auto bytes = PlatformInstance::request("POST", firstJob, "X-Padding: abc\r\n", PlatformInstance::job(20'000));
    const auto body = bytes.find("\r\n\r\n") + 4;
    caller.pause(3s);
    caller.send(bytes.substr(0, 20));
    caller.pause(2500ms);
    caller.send(bytes.substr(20, body - 20 + 5'000));
    caller.pause(4s);
    caller.send(bytes.substr(body + 5'000, 5'000));
    caller.pause(4s);
    caller.send(bytes.substr(body + 10'000));
    caller.pause(4s);
    caller.receive(1, statusOk);
    caller.pause(4s);
    caller.send(PlatformInstance::request("POST", firstJob, {}, PlatformInstance::job()));
    caller.receive(1, statusOk);
}

/// Guards against a limit of a connection's memory that is below one request of the permitted size.
BOOST_AUTO_TEST_CASE(largestRequestsAreServed)
{
    PlatformInstance instance({.memoryMb = 64});
    PausingCaller withHeader(instance, instance.callers);
    withHeader.send(
        PlatformInstance::request("POST", firstJob, "X-Padding: " + std::string(16'000, 'a') + "\r\n", PlatformInstance::job()));
    withHeader.receive(1, statusOk);
    PausingCaller withManyHeaders(instance, instance.callers);
    std::string headers;
    for (int i = 0; i < 3'000; ++i) {
        headers += "a:b\r\n";
    }
    withManyHeaders.send(PlatformInstance::request("POST", firstJob, headers, PlatformInstance::job()));
    withManyHeaders.receive(1, statusOk);
    PausingCaller withBody(instance, instance.callers);
    withBody.send(PlatformInstance::request("POST", secondJob, {}, PlatformInstance::job(262'144)));
    withBody.receive(1, statusOk);
}

/// Guards against reading that stops for good when a client has pipelined more than a connection buffers.
BOOST_AUTO_TEST_CASE(pipelinedRequestsOfAReaderAreAllAnswered)
{
    PlatformInstance instance({});
    PausingCaller caller(instance, instance.callers);
    constexpr std::size_t count = 2'000;
    std::string bytes;
    for (std::size_t i = 0; i < count; ++i) {
        bytes += "GET /nowhere/" + std::to_string(i) + " HTTP/1.1\r\nHost: any.test\r\n\r\n";
    }
    caller.send(bytes);
    caller.receive(count, statusNotFound);
}

/// Guards against limits on a client's progress that act while the client waits for the instance. The store needs longer for the lookup
/// than each of the limits on progress.
BOOST_AUTO_TEST_CASE(longLookupIsNotClosed)
{
    PlatformInstance instance(
        {.extra = "[clients]\nheaderTimeoutMs = 300\nbodyTimeoutMs = 300\nunreadTimeoutMs = 300\nidleTimeoutMs = 300\n"});
    instance.store().delay = 700ms;
    PausingCaller caller(instance, instance.callers);
    caller.send(PlatformInstance::request("GET", secondJob));
    caller.receive(1, statusGone);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Clients
