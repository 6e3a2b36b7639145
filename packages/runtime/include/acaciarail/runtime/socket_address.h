#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Acaciarail::Runtime {

/// A numeric IP address and a port. Names are not resolved, because a lookup would block the loop.
struct SocketAddress
{
    std::string host = "127.0.0.1";
    /// 0 lets the kernel choose when listening.
    std::uint16_t port = 0;

    friend auto operator==(const SocketAddress &, const SocketAddress &) noexcept -> bool = default;

    /// Returns `HOST:PORT`, or `[HOST]:PORT` for IPv6. \pre none. Thread-safe.
    [[nodiscard]] auto str() const -> std::string;
};

/// Parses `HOST:PORT` or `[HOST]:PORT` with a numeric host; empty for any other text. \pre none. Thread-safe.
[[nodiscard]] auto parseSocketAddress(std::string_view text) -> std::optional<SocketAddress>;

} // namespace Acaciarail::Runtime
