#pragma once

#include <string>
#include <string_view>

namespace Acaciarail::Operator {

/// Returns the SHA-256 of \a bytes as 64 lower-case hexadecimal digits. \pre none. Thread-safe.
/// Throws std::bad_alloc when the cryptographic library has no memory.
[[nodiscard]] auto sha256Hex(std::string_view bytes) -> std::string;

/// True for exactly 64 lower-case hexadecimal digits. \pre none. Thread-safe.
[[nodiscard]] auto isSha256Hex(std::string_view text) noexcept -> bool;

} // namespace Acaciarail::Operator
