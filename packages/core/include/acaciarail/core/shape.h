#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Acaciarail {

/// Resources of one worker, or needed by one task.
struct Resources
{
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMiB = 0;

    friend auto operator==(const Resources &, const Resources &) noexcept -> bool = default;
};

/// How close to each other the tasks of a gang must be.
enum class Adjacency : std::uint8_t {
    Any,
    Worker,
    Rack,
    NeighbouringRacks,
};

/// Urgency of a job or request, most urgent first.
enum class Priority : std::uint8_t {
    Urgent,
    Normal,
    Background,
};

inline constexpr std::size_t priorityCount = 3;

/// The shape of a gang: identical tasks and their adjacency.
struct Shape
{
    std::uint32_t tasks = 1;
    Resources perTask;
    Adjacency adjacency = Adjacency::Any;

    friend auto operator==(const Shape &, const Shape &) noexcept -> bool = default;

    /// Returns the number of accelerators of the whole gang. \pre none. Thread-safe.
    [[nodiscard]] constexpr auto accelerators() const noexcept -> std::uint64_t
    {
        return std::uint64_t{tasks} * perTask.accelerators;
    }
};

/// Largest gang that is accepted.
inline constexpr std::uint32_t maxGangTasks = 1024;

/// Returns the text form: `any`, `worker`, `rack` or `neighbouring-racks`. \pre none. Thread-safe.
[[nodiscard]] auto adjacencyName(Adjacency adjacency) noexcept -> std::string_view;

/// Parses the text form; empty for any other text. \pre none. Thread-safe.
[[nodiscard]] auto parseAdjacency(std::string_view text) noexcept -> std::optional<Adjacency>;

/// Returns the text form: `urgent`, `normal` or `background`. \pre none. Thread-safe.
[[nodiscard]] auto priorityName(Priority priority) noexcept -> std::string_view;

/// Parses the text form; empty for any other text. \pre none. Thread-safe.
[[nodiscard]] auto parsePriority(std::string_view text) noexcept -> std::optional<Priority>;

} // namespace Acaciarail
