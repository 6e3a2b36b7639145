#include <acaciarail/core/shape.h>

#include <array>

namespace Acaciarail {

namespace {

constexpr std::array<std::string_view, 4> adjacencyNames{"any", "worker", "rack", "neighbouring-racks"};
constexpr std::array<std::string_view, priorityCount> priorityNames{"urgent", "normal", "background"};

template<typename Enum, std::size_t n>
auto parseEnum(const std::array<std::string_view, n> &names, std::string_view text) noexcept -> std::optional<Enum>
{
    for (std::size_t i = 0; i < n; ++i) {
        if (names[i] == text) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

} // namespace

auto adjacencyName(Adjacency adjacency) noexcept -> std::string_view
{
    return adjacencyNames.at(static_cast<std::size_t>(adjacency));
}

auto parseAdjacency(std::string_view text) noexcept -> std::optional<Adjacency>
{
    return parseEnum<Adjacency>(adjacencyNames, text);
}

auto priorityName(Priority priority) noexcept -> std::string_view
{
    return priorityNames.at(static_cast<std::size_t>(priority));
}

auto parsePriority(std::string_view text) noexcept -> std::optional<Priority>
{
    return parseEnum<Priority>(priorityNames, text);
}

} // namespace Acaciarail
