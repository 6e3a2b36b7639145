#include "printable.h"

#include <array>
#include <cstdint>

namespace Acaciarail::Operator::Detail {

namespace {

auto byteAt(std::string_view text, std::size_t i) noexcept -> std::uint32_t
{
    return static_cast<unsigned char>(text[i]);
}

auto isContinuation(std::uint32_t byte) noexcept -> bool
{
    return (byte & 0xC0U) == 0x80U;
}

/// Length that the first byte announces; 0 for a byte that cannot be first.
auto announcedLength(std::uint32_t first) noexcept -> std::size_t
{
    if (first < 0x80U) {
        return 1;
    }
    if (first >= 0xC2U && first <= 0xDFU) {
        return 2;
    }
    if (first >= 0xE0U && first <= 0xEFU) {
        return 3;
    }
    return first >= 0xF0U && first <= 0xF4U ? 4 : 0;
}

/// Refuses overlong forms, surrogates and values above U+10FFFF, which depend on the second byte only.
auto isSecondByteAllowed(std::uint32_t first, std::uint32_t second) noexcept -> bool
{
    switch (first) {
    case 0xE0U:
        return second >= 0xA0U;
    case 0xEDU:
        return second <= 0x9FU;
    case 0xF0U:
        return second >= 0x90U;
    case 0xF4U:
        return second <= 0x8FU;
    default:
        return true;
    }
}

auto appendEscaped(std::string &out, std::uint32_t byte) -> void
{
    constexpr std::string_view digits = "0123456789abcdef";
    out += "\\x";
    out += digits[byte >> 4U];
    out += digits[byte & 0xFU];
}

/// C1 control characters, which some terminals interpret, are U+0080 to U+009F.
auto isControl(std::string_view sequence) noexcept -> bool
{
    const auto first = byteAt(sequence, 0);
    if (sequence.size() == 1) {
        return first < 0x20U || first == 0x7FU;
    }
    return sequence.size() == 2 && first == 0xC2U && byteAt(sequence, 1) < 0xA0U;
}

} // namespace

auto utf8SequenceLength(std::string_view text) noexcept -> std::size_t
{
    if (text.empty()) {
        return 0;
    }
    const auto first = byteAt(text, 0);
    const auto length = announcedLength(first);
    if (length == 0 || length > text.size()) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if (!isContinuation(byteAt(text, i))) {
            return 0;
        }
    }
    return length == 1 || isSecondByteAllowed(first, byteAt(text, 1)) ? length : 0;
}

auto printable(std::string_view text, std::size_t maxBytes) -> std::string
{
    std::string out;
    while (!text.empty()) {
        if (out.size() >= maxBytes) {
            return out + "...";
        }
        const auto length = utf8SequenceLength(text);
        const auto sequence = text.substr(0, length == 0 ? 1 : length);
        if (length == 0 || isControl(sequence)) {
            for (std::size_t i = 0; i < sequence.size(); ++i) {
                appendEscaped(out, byteAt(sequence, i));
            }
        } else {
            out += sequence;
        }
        text.remove_prefix(sequence.size());
    }
    return out;
}

auto quotedText(std::string_view text) -> std::string
{
    return '"' + printable(text) + '"';
}

} // namespace Acaciarail::Operator::Detail
