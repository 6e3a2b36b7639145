#include "table_reader.h"

#include "printable.h"

#include <acaciarail/core/shape.h>
#include <acaciarail/operator/nearest_key.h>
#include <acaciarail/operator/sha256.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

constexpr std::size_t maxNameBytes = 64;

auto isNameCharacter(char c) noexcept -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

/// Text of \a value as it stands in the document; empty for tables and arrays, whose text has several lines.
auto sourceText(const TomlValue &value) -> std::string
{
    const auto where = value.location();
    const auto &line = where.line_str();
    if (where.column() == 0 || where.column() > line.size()) {
        return {};
    }
    return line.substr(where.column() - 1, where.region());
}

auto realText(double value) -> std::string
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text + '0' : text;
}

auto joined(const std::vector<std::string> &keys) -> std::string
{
    std::string text;
    for (const auto &it : keys) {
        text += (text.empty() ? "" : ", ") + it;
    }
    return text;
}

} // namespace

auto checkName(std::string_view text) -> std::optional<std::string>
{
    const bool isName = !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), isNameCharacter)
        && text.front() != '-' && text.front() != '_' && text.front() != '.';
    if (isName) {
        return std::nullopt;
    }
    return "a name of at most 64 letters, digits, `-`, `_` and `.` that starts with a letter or digit";
}

auto checkSha256(std::string_view text) -> std::optional<std::string>
{
    if (isSha256Hex(text)) {
        return std::nullopt;
    }
    return "a SHA-256 of 64 lower-case hexadecimal digits";
}

auto checkAdjacency(std::string_view text) -> std::optional<std::string>
{
    if (parseAdjacency(text)) {
        return std::nullopt;
    }
    return "`any`, `worker`, `rack` or `neighbouring-racks`";
}

auto placeOfValue(const TomlValue &value, std::uint32_t firstLine) -> Place
{
    const auto where = value.location();
    return {static_cast<std::uint32_t>(where.line()) + firstLine - 1, static_cast<std::uint32_t>(where.column())};
}

auto describeValue(const TomlValue &value) -> std::string
{
    switch (value.type()) {
    case toml::value_t::string:
        return "the string " + quotedText(value.as_string().str);
    case toml::value_t::integer:
        return "the integer " + printable(sourceText(value));
    case toml::value_t::floating:
        return "the number " + printable(sourceText(value));
    case toml::value_t::boolean:
        return value.as_boolean() ? "the boolean true" : "the boolean false";
    case toml::value_t::array:
        return "an array";
    case toml::value_t::table:
        return "a table";
    default:
        return "the date or time " + printable(sourceText(value));
    }
}

TableReader::TableReader(const TomlValue &value, std::string context, std::uint32_t firstLine, FaultSink &sink)
    : m_table(&value.as_table())
    , m_context(std::move(context))
    , m_firstLine(firstLine)
    , m_place(placeOfValue(value, firstLine))
    , m_sink(&sink)
{
}

auto TableReader::find(std::string_view key, Presence presence) -> const TomlValue *
{
    m_known.emplace_back(key);
    const auto it = m_table->find(std::string(key));
    if (it != m_table->end()) {
        return &it->second;
    }
    if (presence == Presence::Required) {
        m_sink->add(m_place, "the key " + quotedText(key) + " in " + m_context, "no such key");
    }
    return nullptr;
}

auto TableReader::placeOfKey(const std::string &key, const TomlValue &value) const -> Place
{
    if (m_sink->isFull()) {
        return {};
    }
    auto place = placeOfValue(value, m_firstLine);
    const auto at = value.location().line_str().find(key);
    // The place of a value is behind its key, that of a table is the bracket before its name.
    if (at != std::string::npos && (at < place.column || value.is_table())) {
        place.column = static_cast<std::uint32_t>(at + 1);
    }
    return place;
}

auto TableReader::faultPlace(const TomlValue &value) const -> Place
{
    // The parser finds a place by counting the lines before it.
    return m_sink->isFull() ? Place{} : placeOfValue(value, m_firstLine);
}

auto TableReader::wrongType(std::string_view key, std::string_view expected, const TomlValue &value) -> void
{
    m_sink->add(faultPlace(value), std::string(expected) + " for " + quotedText(key) + " in " + m_context, describeValue(value));
}

auto TableReader::outOfRange(std::string_view key, const std::string &expected, const TomlValue &value) -> void
{
    m_sink->add(faultPlace(value), expected + " for " + quotedText(key) + " in " + m_context, printable(sourceText(value)));
}

auto TableReader::text(std::string_view key, Presence presence, TextCheck check) -> std::optional<std::string>
{
    const auto *value = find(key, presence);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        wrongType(key, "a string", *value);
        return std::nullopt;
    }
    const auto &found = value->as_string().str;
    if (const auto expected = check(found)) {
        m_sink->add(faultPlace(*value), *expected + " for " + quotedText(key) + " in " + m_context, quotedText(found));
        return std::nullopt;
    }
    return found;
}

auto TableReader::integer(std::string_view key, Presence presence, IntegerRange range) -> std::optional<std::uint64_t>
{
    const auto *value = find(key, presence);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_integer()) {
        wrongType(key, "an integer", *value);
        return std::nullopt;
    }
    const auto found = value->as_integer();
    if (found < 0 || static_cast<std::uint64_t>(found) < range.least || static_cast<std::uint64_t>(found) > range.most) {
        outOfRange(key, "an integer from " + std::to_string(range.least) + " to " + std::to_string(range.most), *value);
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(found);
}

auto TableReader::real(std::string_view key, Presence presence, RealRange range) -> std::optional<double>
{
    const auto *value = find(key, presence);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_floating() && !value->is_integer()) {
        wrongType(key, "a number", *value);
        return std::nullopt;
    }
    const auto found = value->is_floating() ? value->as_floating() : static_cast<double>(value->as_integer());
    if (!std::isfinite(found) || found < range.least || found > range.most) {
        outOfRange(key, "a number from " + realText(range.least) + " to " + realText(range.most), *value);
        return std::nullopt;
    }
    return found;
}

auto TableReader::boolean(std::string_view key, Presence presence) -> std::optional<bool>
{
    const auto *value = find(key, presence);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_boolean()) {
        wrongType(key, "`true` or `false`", *value);
        return std::nullopt;
    }
    return value->as_boolean();
}

auto TableReader::tables(std::string_view key) -> std::vector<TableReader>
{
    const auto *value = find(key, Presence::Optional);
    std::vector<TableReader> readers;
    if (value == nullptr) {
        return readers;
    }
    const auto context = m_context.starts_with("[[") ? "[[" + m_context.substr(2, m_context.size() - 4) + '.' + std::string(key) + "]]"
                                                     : "[[" + std::string(key) + "]]";
    if (!value->is_array()) {
        wrongType(key, "tables with the header " + context, *value);
        return readers;
    }
    for (const auto &it : value->as_array()) {
        if (it.is_table()) {
            readers.emplace_back(it, context, m_firstLine, *m_sink);
        } else {
            wrongType(key, "a table", it);
        }
    }
    return readers;
}

auto TableReader::table(std::string_view key) -> std::optional<TableReader>
{
    const auto *value = find(key, Presence::Optional);
    if (value == nullptr) {
        return std::nullopt;
    }
    const bool isNested = m_context.starts_with('[');
    const auto context = '[' + (isNested ? m_context.substr(1, m_context.size() - 2) + '.' : std::string()) + std::string(key) + ']';
    if (!value->is_table()) {
        wrongType(key, "a table with the header " + context, *value);
        return std::nullopt;
    }
    return TableReader(*value, context, m_firstLine, *m_sink);
}

auto TableReader::allKeys() const -> std::vector<std::string>
{
    std::vector<std::string> keys;
    for (const auto &[key, value] : *m_table) {
        keys.push_back(key);
    }
    return keys;
}

auto TableReader::refuseUnknownKeys() -> void
{
    const std::vector<std::string_view> known(m_known.begin(), m_known.end());
    for (const auto &[key, value] : *m_table) {
        if (std::find(known.begin(), known.end(), key) != known.end()) {
            continue;
        }
        const auto nearest = nearestKey(key, known);
        const auto expected = "a key of " + m_context + " (" + joined(m_known) + ')';
        const auto hint = nearest ? "; the nearest is " + quotedText(*nearest) : std::string();
        m_sink->add(placeOfKey(key, value), expected + hint, "the unknown key " + quotedText(key));
    }
}

auto TableReader::placeOf(std::string_view key) const -> Place
{
    const auto it = m_table->find(std::string(key));
    return it == m_table->end() ? m_place : placeOfValue(it->second, m_firstLine);
}

auto TableReader::fault(std::string_view key, std::string expected, std::string found) -> void
{
    m_sink->add(placeOf(key), std::move(expected), std::move(found));
}

} // namespace Acaciarail::Operator::Detail
