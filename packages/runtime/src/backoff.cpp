#include <acaciarail/runtime/backoff.h>

#include <algorithm>

namespace Acaciarail::Runtime {

Backoff::Backoff(Duration minBound, Duration maxBound, std::uint64_t seed)
    : m_minBound(minBound)
    , m_maxBound(maxBound)
    , m_bound(minBound)
    , m_random(seed)
{
}

auto Backoff::next() -> Duration
{
    std::uniform_int_distribution<Duration::rep> pick(m_bound.count() / 2, m_bound.count());
    const Duration delay(pick(m_random));
    m_bound = m_bound > m_maxBound / 2 ? m_maxBound : m_bound * 2;
    return delay;
}

auto Backoff::reset() noexcept -> void
{
    m_bound = m_minBound;
}

} // namespace Acaciarail::Runtime
