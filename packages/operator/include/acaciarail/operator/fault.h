#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace Acaciarail::Operator {

/// One fault in a configuration document or settings file, with its place and what was expected and found.
struct Fault
{
    std::string file;
    /// Counted from 1; 0 when the fault has no place in the text, for example a missing file.
    std::uint32_t line = 0;
    /// Counted from 1 in bytes; 0 when the fault has no place in the text.
    std::uint32_t column = 0;
    std::string expected;
    std::string found;

    friend auto operator==(const Fault &, const Fault &) noexcept -> bool = default;
};

/// Returns `FILE:LINE:COLUMN: expected EXPECTED, found FOUND`. \pre none. Thread-safe.
[[nodiscard]] auto faultText(const Fault &fault) -> std::string;

/// Returns the array `[{"file","line","column","expected","found"}]`, as in a problem document. \pre none. Thread-safe.
[[nodiscard]] auto faultsToJson(std::span<const Fault> faults) -> nlohmann::json;

} // namespace Acaciarail::Operator
