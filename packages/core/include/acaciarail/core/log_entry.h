#pragma once

#include <cstdint>
#include <string>

namespace Acaciarail {

/// Position in the platform's log; the first record has offset 0.
using LogOffset = std::uint64_t;

/// One record as the platform's log returns it.
struct LogEntry
{
    LogOffset offset = 0;
    std::string bytes;

    friend auto operator==(const LogEntry &, const LogEntry &) noexcept -> bool = default;
};

} // namespace Acaciarail
