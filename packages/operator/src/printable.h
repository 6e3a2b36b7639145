#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Acaciarail::Operator::Detail {

/// Returns the number of bytes of the UTF-8 sequence at the start of \a text; 0 when it is not valid UTF-8.
[[nodiscard]] auto utf8SequenceLength(std::string_view text) noexcept -> std::size_t;

/// Returns \a text with control characters and invalid UTF-8 as `\xNN`, cut after \a maxBytes, so that input from outside can
/// neither control a terminal nor make a JSON document invalid.
[[nodiscard]] auto printable(std::string_view text, std::size_t maxBytes = 120) -> std::string;

/// Returns printable() of \a text in double quotes.
[[nodiscard]] auto quotedText(std::string_view text) -> std::string;

} // namespace Acaciarail::Operator::Detail
