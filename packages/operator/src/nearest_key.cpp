#include <acaciarail/operator/nearest_key.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace Acaciarail::Operator {

auto editDistance(std::string_view a, std::string_view b) -> std::size_t
{
    // One row of the distance table: row[j] is the distance of the prefix of a that was read to the first j bytes of b.
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row[b.size()];
}

auto nearestKey(std::string_view key, std::span<const std::string_view> known) -> std::optional<std::string_view>
{
    // Longer input is not a misspelt key, and the cost of the distance grows with its length.
    constexpr std::size_t maxKeyBytes = 256;
    key = key.substr(0, maxKeyBytes);
    std::optional<std::string_view> nearest;
    std::size_t least = 0;
    for (const auto it : known) {
        const auto distance = editDistance(key, it);
        if (!nearest || distance < least) {
            nearest = it;
            least = distance;
        }
    }
    return nearest;
}

} // namespace Acaciarail::Operator
