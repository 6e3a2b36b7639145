#pragma once

#include <initializer_list>
#include <ostream>
#include <string>
#include <vector>

namespace Acaciarail::Operator::Detail {

/// A table with aligned columns. Cells are made printable, so that text from a server cannot control the terminal.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /// \pre as many cells as the header has.
    auto addRow(std::vector<std::string> cells) -> void;

    friend auto operator<<(std::ostream &out, const TextTable &table) -> std::ostream &;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Acaciarail::Operator::Detail
