#include <acaciarail/runtime/backoff.h>

#include <algorithm>

namespace Acaciarail::Runtime {

Backoff::Backoff(Duration least, Duration most, std::uint64_t seed)
    : m_least(least)
    , m_most(most)
    , m_bound(least)
    , m_random(seed)
{
}

auto Backoff::next() -> Duration
{
    std::uniform_int_distribution<Duration::rep> pick(m_bound.count() / 2, m_bound.count());
    const Duration delay(pick(m_random));
    m_bound = m_bound > m_most / 2 ? m_most : m_bound * 2;
    return delay;
}

auto Backoff::reset() noexcept -> void
{
    m_bound = m_least;
}

} // namespace Acaciarail::Runtime
