#include "toml_text.h"

#include "printable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <sstream>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

/// The parser recurses for each level of nesting and for each part of a dotted key.
constexpr std::uint32_t maxNesting = 8;
constexpr std::uint32_t maxDotsPerLine = 64;
/// The parser copies the whole line into a message for each value that it tries, even when the value turns out to be valid.
constexpr std::size_t maxLineBytes = 2048;

auto isWordCharacter(char c) noexcept -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
}

auto isBlank(char c) noexcept -> bool
{
    return c == ' ' || c == '\t';
}

auto trim(std::string_view text) noexcept -> std::string_view
{
    while (!text.empty() && (isBlank(text.front()) || text.front() == '\r')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (isBlank(text.back()) || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Returns the text between the brackets of a header line such as `[[organisation.teams]]  # comment`.
auto headerName(std::string_view line) noexcept -> std::optional<std::string_view>
{
    line = trim(line);
    if (line.empty() || line.front() != '[') {
        return std::nullopt;
    }
    const std::size_t brackets = line.starts_with("[[") ? 2 : 1;
    const auto end = line.find(']', brackets);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = trim(line.substr(std::min(end + brackets, line.size())));
    if (!rest.empty() && rest.front() != '#') {
        return std::nullopt;
    }
    return trim(line.substr(brackets, end - brackets));
}

/// True for a bare, dotted key that starts with a letter and is no value, so that it cannot be an array inside an array.
auto isPlainKey(std::string_view name) noexcept -> bool
{
    const bool isPlain = std::all_of(name.begin(), name.end(), [](char c) { return isWordCharacter(c) || c == '.'; });
    const bool startsWithLetter =
        !name.empty() && ((name.front() >= 'a' && name.front() <= 'z') || (name.front() >= 'A' && name.front() <= 'Z'));
    return isPlain && startsWithLetter && name != "true" && name != "false" && name != "inf" && name != "nan";
}

auto firstPart(std::string_view name) noexcept -> std::string_view
{
    return trim(name.substr(0, name.find('.')));
}

/// Reads the text once and finds headers and limits outside strings and comments.
class Splitter
{
public:
    Splitter(std::string_view text, FaultSink &sink)
        : m_text(text)
        , m_sink(sink)
    {
    }

    auto run() -> std::vector<TomlChunk>
    {
        while (m_at < m_text.size()) {
            if (m_isLineStart) {
                startLine();
            }
            step();
        }
        endChunk();
        return std::move(m_chunks);
    }

private:
    enum class Inside {
        Plain,
        Comment,
        Basic,
        Literal,
        LongBasic,
        LongLiteral,
    };

    auto startLine() -> void
    {
        m_isLineStart = false;
        m_lineStart = m_at;
        m_dots = 0;
        const auto end = m_text.find('\n', m_at);
        const auto line = m_text.substr(m_at, end == std::string_view::npos ? end : end - m_at);
        if (line.size() > maxLineBytes) {
            fault("at most " + std::to_string(maxLineBytes) + " bytes on one line", std::to_string(line.size()));
        }
        if (m_inside != Inside::Plain) {
            return;
        }
        const auto name = headerName(line);
        // A header inside an array means that the bracket of the array was never closed.
        if (name && (m_depth == 0 || isPlainKey(*name))) {
            m_depth = 0;
            startHeader(*name);
        }
    }

    auto startHeader(std::string_view name) -> void
    {
        const bool continues = !m_header.empty() && name.find('.') != std::string_view::npos && firstPart(name) == firstPart(m_header);
        if (!continues) {
            endChunk();
            m_header = name;
        }
    }

    auto endChunk() -> void
    {
        const auto text = m_text.substr(m_chunkStart, m_at - m_chunkStart);
        if (m_isChunkSound && !text.empty()) {
            m_chunks.push_back({text, m_chunkLine, m_header});
        }
        m_chunkStart = m_at;
        m_chunkLine = m_line;
        m_isChunkSound = true;
    }

    auto step() -> void
    {
        const char c = m_text[m_at];
        if (c == '\n') {
            endLine();
            return;
        }
        switch (m_inside) {
        case Inside::Plain:
            stepPlain(c);
            return;
        case Inside::Comment:
            ++m_at;
            return;
        case Inside::Basic:
        case Inside::LongBasic:
            stepString(c, '"', m_inside == Inside::LongBasic, true);
            return;
        case Inside::Literal:
        case Inside::LongLiteral:
            stepString(c, '\'', m_inside == Inside::LongLiteral, false);
            return;
        }
    }

    auto endLine() -> void
    {
        if (m_inside != Inside::LongBasic && m_inside != Inside::LongLiteral) {
            m_inside = Inside::Plain;
        }
        ++m_at;
        ++m_line;
        m_isLineStart = true;
        m_isWord = false;
    }

    auto stepPlain(char c) -> void
    {
        const bool isWordStart = isWordCharacter(c) && !m_isWord;
        m_isWord = isWordCharacter(c);
        if (isWordStart) {
            checkRadix();
        }
        switch (c) {
        case '#':
            m_inside = Inside::Comment;
            break;
        case '"':
        case '\'':
            openString(c);
            return;
        case '[':
        case '{':
            ++m_depth;
            limit(m_depth, maxNesting, "levels of nesting");
            break;
        case ']':
        case '}':
            m_depth = m_depth > 0 ? m_depth - 1 : 0;
            break;
        case '.':
            ++m_dots;
            limit(m_dots, maxDotsPerLine, "dots on one line");
            break;
        default:
            break;
        }
        ++m_at;
    }

    auto openString(char quote) -> void
    {
        const bool isLong = m_text.substr(m_at, 3) == std::string(3, quote);
        m_at += isLong ? 3 : 1;
        if (quote == '"') {
            m_inside = isLong ? Inside::LongBasic : Inside::Basic;
        } else {
            m_inside = isLong ? Inside::LongLiteral : Inside::Literal;
        }
    }

    auto stepString(char c, char quote, bool isLong, bool hasEscapes) -> void
    {
        if (hasEscapes && c == '\\' && m_at + 1 < m_text.size() && m_text[m_at + 1] != '\n') {
            m_at += 2;
            return;
        }
        if (c != quote) {
            ++m_at;
            return;
        }
        if (!isLong) {
            m_inside = Inside::Plain;
            ++m_at;
            return;
        }
        // The last three of up to five quotes end the string.
        std::size_t quotes = 0;
        while (quotes < 5 && m_at + quotes < m_text.size() && m_text[m_at + quotes] == quote) {
            ++quotes;
        }
        m_at += quotes;
        if (quotes >= 3) {
            m_inside = Inside::Plain;
        }
    }

    /// The parser computes hexadecimal, octal and binary integers without a check for overflow.
    auto checkRadix() -> void
    {
        const auto prefix = m_text.substr(m_at, 2);
        if (prefix == "0x" || prefix == "0o" || prefix == "0b") {
            fault("a decimal integer", quotedText(prefix));
        }
    }

    auto limit(std::uint32_t found, std::uint32_t most, std::string_view what) -> void
    {
        if (found == most + 1) {
            fault("at most " + std::to_string(most) + ' ' + std::string(what), std::to_string(found));
        }
    }

    auto fault(std::string expected, std::string found) -> void
    {
        if (m_isChunkSound) {
            m_sink.add({m_line, static_cast<std::uint32_t>(m_at - m_lineStart + 1)}, std::move(expected), std::move(found));
        }
        m_isChunkSound = false;
    }

    std::string_view m_text;
    FaultSink &m_sink;
    std::vector<TomlChunk> m_chunks;
    std::size_t m_at = 0;
    std::size_t m_lineStart = 0;
    std::size_t m_chunkStart = 0;
    std::string_view m_header;
    std::uint32_t m_line = 1;
    std::uint32_t m_chunkLine = 1;
    std::uint32_t m_depth = 0;
    std::uint32_t m_dots = 0;
    Inside m_inside = Inside::Plain;
    bool m_isLineStart = true;
    bool m_isWord = false;
    bool m_isChunkSound = true;
};

auto placeOf(std::string_view text, std::size_t at) noexcept -> Place
{
    const auto before = text.substr(0, at);
    const auto line = static_cast<std::uint32_t>(std::count(before.begin(), before.end(), '\n') + 1);
    const auto lineStart = before.rfind('\n');
    const auto column = lineStart == std::string_view::npos ? at + 1 : at - lineStart;
    return {line, static_cast<std::uint32_t>(column)};
}

/// Returns the length of the sequence at the start of \a text, or 0 when a document may not contain it.
auto allowedSequenceLength(std::string_view text) noexcept -> std::size_t
{
    const auto length = utf8SequenceLength(text);
    const auto first = static_cast<unsigned char>(text.front());
    const bool isControl = length == 1 && (first < 0x20U || first == 0x7FU) && first != '\t' && first != '\n' && first != '\r';
    return isControl ? 0 : length;
}

auto checkCharacters(std::string_view text, FaultSink &sink) -> bool
{
    std::size_t at = 0;
    while (at < text.size()) {
        const auto length = allowedSequenceLength(text.substr(at));
        if (length == 0) {
            sink.add(placeOf(text, at), "text in UTF-8 without control characters", "byte " + printable(text.substr(at, 1)));
            return false;
        }
        at += length;
    }
    return true;
}

/// What the parser was looking for, by a part of its message.
struct SyntaxMessage
{
    std::string_view part;
    std::string_view expected;
};

constexpr std::array syntaxMessages{
    SyntaxMessage{"missing value after", "a value after `=`"},
    SyntaxMessage{"empty key is not allowed", "a key before `=`"},
    SyntaxMessage{"missing array separator", "`,` or `]` after a value of an array"},
    SyntaxMessage{"parse_array:", "an array that ends with `]`"},
    SyntaxMessage{"curly brace", "`,` or `}` after a value of an inline table"},
    SyntaxMessage{"inline_table", "an inline table such as `{ key = 1 }` on one line"},
    SyntaxMessage{"_string: ", "a string that is closed on its line and has only known escapes"},
    SyntaxMessage{"key-value separator", "`=` after the key"},
    SyntaxMessage{"invalid line format", "the end of the line after the value"},
    SyntaxMessage{"newline required after", "the end of the line after the table header"},
    SyntaxMessage{"invalid key", "a key, or a table header in matching brackets"},
    SyntaxMessage{"unknown value", "a string in quotes, a number, `true`, `false`, an array or a table"},
    SyntaxMessage{"already exists", "each key and table only once"},
    SyntaxMessage{"cannot be defined", "a key that is not defined as another kind of value before"},
    SyntaxMessage{"insert_", "a key that is not defined as another kind of value before"},
    SyntaxMessage{"bad integer", "a decimal integer"},
    SyntaxMessage{"integer", "a decimal integer"},
    SyntaxMessage{"float", "a decimal number"},
    SyntaxMessage{"boolean", "a string in quotes, a number, `true`, `false`, an array or a table"},
    SyntaxMessage{"date", "a string in quotes, a number, `true`, `false`, an array or a table"},
    SyntaxMessage{"time", "a string in quotes, a number, `true`, `false`, an array or a table"},
};

auto expectedOf(std::string_view message) -> std::string
{
    const auto firstLine = message.substr(0, message.find('\n'));
    for (const auto &it : syntaxMessages) {
        if (firstLine.find(it.part) != std::string_view::npos) {
            return std::string(it.expected);
        }
    }
    return "valid TOML";
}

/// Finds the last place that the parser's message shows, as ` LINE | TEXT` above a line with `^` or `~` under the text.
auto shownPlace(std::string_view message) -> std::optional<Place>
{
    std::optional<Place> place;
    std::uint32_t line = 0;
    while (!message.empty()) {
        const auto end = message.find('\n');
        const auto row = message.substr(0, end);
        message.remove_prefix(end == std::string_view::npos ? message.size() : end + 1);
        const auto bar = row.find(" | ");
        if (bar == std::string_view::npos) {
            continue;
        }
        const auto number = trim(row.substr(0, bar));
        if (!number.empty()) {
            line = 0;
            std::from_chars(number.data(), number.data() + number.size(), line);
            continue;
        }
        const auto mark = row.find_first_not_of(' ', bar + 3);
        if (line > 0 && mark != std::string_view::npos && (row[mark] == '^' || row[mark] == '~')) {
            place = Place{line, static_cast<std::uint32_t>(mark - bar - 2)};
            line = 0;
        }
    }
    return place;
}

auto lineOf(std::string_view text, std::uint32_t line) noexcept -> std::string_view
{
    for (std::uint32_t i = 1; i < line; ++i) {
        const auto end = text.find('\n');
        if (end == std::string_view::npos) {
            return {};
        }
        text.remove_prefix(end + 1);
    }
    return text.substr(0, text.find('\n'));
}

auto addSyntaxFault(const TomlChunk &chunk, const toml::exception &e, FaultSink &sink) -> void
{
    const std::string_view message = e.what();
    const Place reported{static_cast<std::uint32_t>(e.location().line()), static_cast<std::uint32_t>(e.location().column())};
    const auto place = shownPlace(message).value_or(reported);
    const auto line = lineOf(chunk.text, place.line);
    const auto rest = trim(line.substr(std::min<std::size_t>(place.column - 1, line.size())));
    sink.add({place.line + chunk.firstLine - 1, place.column}, expectedOf(message),
             rest.empty() ? "the end of the line" : '`' + printable(rest) + '`');
}

} // namespace

auto splitToml(std::string_view text, FaultSink &sink) -> std::vector<TomlChunk>
{
    if (!checkCharacters(text, sink)) {
        return {};
    }
    return Splitter(text, sink).run();
}

auto parseTomlChunk(const TomlChunk &chunk, FaultSink &sink) -> std::optional<TomlValue>
{
    try {
        std::istringstream in{std::string(chunk.text)};
        return toml::parse<toml::discard_comments, std::map, std::vector>(in, "document");
    } catch (const toml::exception &e) {
        addSyntaxFault(chunk, e, sink);
    } catch (const std::exception &e) {
        sink.add({chunk.firstLine, 1}, "valid TOML", printable(e.what()));
    }
    return std::nullopt;
}

} // namespace Acaciarail::Operator::Detail
