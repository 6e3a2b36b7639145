#pragma once

#include "fault_sink.h"
#include "toml_text.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Operator::Detail {

/// Bounds of an integer, both included.
struct IntegerRange
{
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

/// Bounds of a real number, both included.
struct RealRange
{
    double least = 0;
    double most = 0;
};

enum class Presence {
    Required,
    Optional,
};

/// Check of a text value; returns what is expected when \a text is not allowed.
using TextCheck = auto(*)(std::string_view text) -> std::optional<std::string>;

/// Letters, digits, `-`, `_` and `.`, starting with a letter or digit, at most 64 bytes.
[[nodiscard]] auto checkName(std::string_view text) -> std::optional<std::string>;
/// 64 lower-case hexadecimal digits.
[[nodiscard]] auto checkSha256(std::string_view text) -> std::optional<std::string>;
/// A name of an Adjacency.
[[nodiscard]] auto checkAdjacency(std::string_view text) -> std::optional<std::string>;

/// Returns the place of \a value in the document.
[[nodiscard]] auto placeOfValue(const TomlValue &value, std::uint32_t firstLine) -> Place;

/// Returns the kind and text of \a value for a message, for example `the string "a"`.
[[nodiscard]] auto describeValue(const TomlValue &value) -> std::string;

/// Reads the keys of one table and adds a fault for each that is missing, of the wrong type, out of range or unknown.
class TableReader
{
public:
    /// \a context names the table in messages, for example `[[organisation]]`. \a firstLine is the line of its chunk.
    /// \pre value is a table and outlives the reader, as does sink.
    TableReader(const TomlValue &value, std::string context, std::uint32_t firstLine, FaultSink &sink);

    [[nodiscard]] auto text(std::string_view key, Presence presence, TextCheck check) -> std::optional<std::string>;
    [[nodiscard]] auto integer(std::string_view key, Presence presence, IntegerRange range) -> std::optional<std::uint64_t>;
    [[nodiscard]] auto real(std::string_view key, Presence presence, RealRange range) -> std::optional<double>;
    [[nodiscard]] auto boolean(std::string_view key, Presence presence) -> std::optional<bool>;
    /// The tables in an array of tables; elements of another type are faults and left out.
    [[nodiscard]] auto tables(std::string_view key) -> std::vector<TableReader>;
    [[nodiscard]] auto table(std::string_view key) -> std::optional<TableReader>;

    /// Returns every key, for tables whose keys are names.
    [[nodiscard]] auto allKeys() const -> std::vector<std::string>;

    /// Adds a fault for each key that was not read. Called once, after the last read.
    auto refuseUnknownKeys() -> void;

    /// Adds a fault at the place of \a key, or of the table when it has no such key.
    auto fault(std::string_view key, std::string expected, std::string found) -> void;

    /// Returns the place of \a key, or of the table when it has no such key.
    [[nodiscard]] auto placeOf(std::string_view key) const -> Place;

    /// Number of faults that were added so far, by this and other readers of the file.
    [[nodiscard]] auto faultCount() const noexcept -> std::size_t
    {
        return m_sink->count();
    }

    [[nodiscard]] auto place() const noexcept -> Place
    {
        return m_place;
    }

private:
    [[nodiscard]] auto find(std::string_view key, Presence presence) -> const TomlValue *;
    [[nodiscard]] auto placeOfKey(const std::string &key, const TomlValue &value) const -> Place;
    [[nodiscard]] auto faultPlace(const TomlValue &value) const -> Place;
    auto wrongType(std::string_view key, std::string_view expected, const TomlValue &value) -> void;
    auto outOfRange(std::string_view key, const std::string &expected, const TomlValue &value) -> void;

    const TomlTable *m_table;
    std::string m_context;
    std::uint32_t m_firstLine;
    Place m_place;
    FaultSink *m_sink;
    std::vector<std::string> m_known;
};

} // namespace Acaciarail::Operator::Detail
