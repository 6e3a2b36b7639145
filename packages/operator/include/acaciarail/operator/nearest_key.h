#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace Acaciarail::Operator {

/// Returns the Levenshtein distance in bytes: insertions, deletions and replacements. \pre none. Thread-safe.
[[nodiscard]] auto editDistance(std::string_view a, std::string_view b) -> std::size_t;

/// Returns the known key with the lowest distance to \a key, the first of them in case of a tie.
/// Empty when there are no known keys. \pre none. Thread-safe.
[[nodiscard]] auto nearestKey(std::string_view key, std::span<const std::string_view> known) -> std::optional<std::string_view>;

} // namespace Acaciarail::Operator
