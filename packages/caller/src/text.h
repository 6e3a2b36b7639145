#pragma once

#include <algorithm>
#include <cstddef>
#include <initializer_list>
#include <numeric>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Caller::Detail {

/// Returns \a text in quotes for an error message, cut to a bounded length and with anything but printable ASCII replaced.
inline auto quoteFound(std::string_view text) -> std::string
{
    constexpr std::size_t maxShownChars = 64;
    std::string out = "'";
    for (const char c : text.substr(0, maxShownChars)) {
        out += c >= ' ' && c <= '~' ? c : '?';
    }
    out += text.size() > maxShownChars ? "...'" : "'";
    return out;
}

/// Returns the number of single-character edits between two short words.
inline auto editDistance(std::string_view a, std::string_view b) -> std::size_t
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const auto substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

/// Returns the element of \a known with the smallest edit distance to \a found. \pre \a known is not empty.
inline auto nearestName(std::string_view found, std::span<const std::string_view> known) -> std::string_view
{
    constexpr std::size_t maxComparedChars = 64;
    const auto word = found.substr(0, maxComparedChars);
    return *std::min_element(known.begin(), known.end(),
                             [word](std::string_view a, std::string_view b) { return editDistance(word, a) < editDistance(word, b); });
}

} // namespace Acaciarail::Caller::Detail
