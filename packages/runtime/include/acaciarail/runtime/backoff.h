#pragma once

#include <acaciarail/core/time.h>

#include <cstdint>
#include <random>

namespace Acaciarail::Runtime {

/// Exponential delays with jitter between attempts: a bound doubles with each failure up to its limit, and each delay is drawn between half
/// of the bound and the bound, so that processes that failed at the same moment do not retry at the same moment. Not thread-safe.
class Backoff
{
public:
    /// \pre 0 < \a minBound <= \a maxBound.
    Backoff(Duration minBound, Duration maxBound, std::uint64_t seed);

    /// Returns the delay after one more failure. \pre none.
    [[nodiscard]] auto next() -> Duration;

    /// Returns to the smallest bound. \pre none.
    auto reset() noexcept -> void;

private:
    Duration m_minBound;
    Duration m_maxBound;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace Acaciarail::Runtime
