#pragma once

#include <acaciarail/core/time.h>

#include <cstdint>
#include <random>

namespace Acaciarail::Runtime {

/// Delays between attempts: the bound doubles with each failure, and each delay is chosen at random between half of the bound and the
/// bound, so that processes that failed at the same moment do not retry at the same moment. Not thread-safe.
class Backoff
{
public:
    /// \pre 0 < \a least <= \a most.
    Backoff(Duration least, Duration most, std::uint64_t seed);

    /// Returns the delay after one more failure. \pre none.
    [[nodiscard]] auto next() -> Duration;

    /// Starts again with the shortest delay. \pre none.
    auto reset() noexcept -> void;

private:
    Duration m_least;
    Duration m_most;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace Acaciarail::Runtime
