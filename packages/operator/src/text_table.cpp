#include "text_table.h"

#include "printable.h"

#include <algorithm>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

/// Counts code points, which is the width of the characters that names can have.
auto widthOf(const std::string &text) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

} // namespace

TextTable::TextTable(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

auto TextTable::addRow(std::vector<std::string> cells) -> void
{
    for (auto &it : cells) {
        it = it.empty() ? "-" : printable(it, 400);
    }
    m_rows.push_back(std::move(cells));
}

auto operator<<(std::ostream &out, const TextTable &table) -> std::ostream &
{
    std::vector<std::size_t> widths(table.m_rows.front().size());
    for (const auto &row : table.m_rows) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], widthOf(row.at(i)));
        }
    }
    for (const auto &row : table.m_rows) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            const bool isLast = i + 1 == widths.size();
            out << row[i] << (isLast ? "\n" : std::string(widths[i] - widthOf(row[i]) + 2, ' '));
        }
    }
    return out;
}

} // namespace Acaciarail::Operator::Detail
