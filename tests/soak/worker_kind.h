#pragma once

#include <array>
#include <cstdint>

namespace Acaciarail::Soak {

/// Kinds of workers; the first label of a worker is its kind. One begins with the other, so that a comparison of parts of labels is found.
inline constexpr std::array<const char *, 2> workerKinds{"a", "a-next"};
/// At any time at least this many workers are of each kind, or restart as one of it.
inline constexpr std::int64_t minWorkersPerKind = 2;

struct WorkerSize
{
    std::int64_t milliCores = 32'000;
    std::int64_t memoryMiB = 65'536;
    std::int64_t accelerators = 8;
};

} // namespace Acaciarail::Soak
