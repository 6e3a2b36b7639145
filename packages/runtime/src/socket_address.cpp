#include <acaciarail/runtime/socket_address.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <limits>

namespace Acaciarail::Runtime {

namespace {

auto isNumericHost(const std::string &host, int family) -> bool
{
    in6_addr buf{};
    return ::inet_pton(family, host.c_str(), &buf) == 1;
}

} // namespace

auto SocketAddress::str() const -> std::string
{
    const auto isIpv6 = host.find(':') != std::string::npos;
    return (isIpv6 ? '[' + host + ']' : host) + ':' + std::to_string(port);
}

auto parseSocketAddress(std::string_view text) -> std::optional<SocketAddress>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    std::uint32_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc() || end != digits.data() + digits.size() || port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    auto family = AF_INET;
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        family = AF_INET6;
    }
    SocketAddress address{std::string(host), static_cast<std::uint16_t>(port)};
    // A NUL byte would end the text early for the system's parser.
    if (address.host.find('\0') != std::string::npos || !isNumericHost(address.host, family)) {
        return std::nullopt;
    }
    return address;
}

} // namespace Acaciarail::Runtime
