#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Response body that the endpoint stand-in sends and the load generator checks.
namespace Standin {

/// Returns the 64-bit FNV-1a hash.
[[nodiscard]] inline auto hashBytes(std::string_view bytes) noexcept -> std::uint64_t
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char c : bytes) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    }
    return hash;
}

/// Returns a body that reveals a response to another request, an altered request body and truncation at any position.
[[nodiscard]] inline auto echoBody(std::string_view value, std::string_view requestBody, std::size_t fillSize) -> std::string
{
    std::string out = "value=";
    out += value;
    out += " size=" + std::to_string(requestBody.size()) + " hash=" + std::to_string(hashBytes(requestBody)) + " fill=";
    out.append(fillSize, 'x');
    out += " end=";
    out += value;
    return out;
}

} // namespace Standin
