#pragma once

#include <compare>
#include <cstdint>

namespace Acaciarail {

/// Fencing token of a shard's holder; a worker refuses commands with a lower term than the one it granted.
struct Term
{
    std::uint64_t number = 0;
    /// Random number of the holder's process, so that two candidates never share a term.
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const Term &, const Term &) noexcept -> std::strong_ordering = default;
};

} // namespace Acaciarail
