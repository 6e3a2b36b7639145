#include "frame_connection_state.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>

namespace Acaciarail::Runtime::Detail {

auto toSystemAddress(const SocketAddress &address) -> std::optional<SystemAddress>
{
    SystemAddress out;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&out.storage);
    if (::inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        out.length = sizeof(sockaddr_in);
        return out;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&out.storage);
    if (::inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        out.length = sizeof(sockaddr_in6);
        return out;
    }
    return std::nullopt;
}

auto fromSystemAddress(const sockaddr *address) -> SocketAddress
{
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (address->sa_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(address);
        ::inet_ntop(AF_INET, &v4->sin_addr, buf.data(), buf.size());
        return {buf.data(), ntohs(v4->sin_port)};
    }
    const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(address);
    ::inet_ntop(AF_INET6, &v6->sin6_addr, buf.data(), buf.size());
    return {buf.data(), ntohs(v6->sin6_port)};
}

} // namespace Acaciarail::Runtime::Detail
