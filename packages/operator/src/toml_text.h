#pragma once

#include "fault_sink.h"

#include <acaciarail/operator/document.h>

#include <toml.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Operator::Detail {

using TomlValue = toml::basic_value<toml::discard_comments, std::map, std::vector>;
using TomlTable = TomlValue::table_type;

/// A part of a document that is parsed by itself, so that a syntax fault in one part does not hide the faults of the others.
struct TomlChunk
{
    std::string_view text;
    /// Line of the document on which the chunk starts, counted from 1.
    std::uint32_t firstLine = 1;
    /// Text between the brackets of its first header; empty for the part before any header.
    std::string_view header;
};

/// Splits \a text before each header that does not continue the table of the header before it.
/// Adds faults for what the parser cannot be given: invalid UTF-8, control characters, deep nesting, long dotted keys and
/// integers that are not decimal. A chunk with such a fault is left out.
[[nodiscard]] auto splitToml(std::string_view text, FaultSink &sink) -> std::vector<TomlChunk>;

/// Parses one chunk; a syntax fault is added to \a sink and gives an empty result. Never throws.
[[nodiscard]] auto parseTomlChunk(const TomlChunk &chunk, FaultSink &sink) -> std::optional<TomlValue>;

} // namespace Acaciarail::Operator::Detail
