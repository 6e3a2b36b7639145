#include <acaciarail/operator/sha256.h>

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <new>

namespace Acaciarail::Operator {

auto sha256Hex(std::string_view bytes) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::bad_alloc();
    }
    std::string out;
    out.reserve(std::size_t{length} * 2);
    for (unsigned int i = 0; i < length; ++i) {
        out += digits[digest.at(i) >> 4U];
        out += digits[digest.at(i) & 0xFU];
    }
    return out;
}

auto isSha256Hex(std::string_view text) noexcept -> bool
{
    constexpr std::size_t hexDigits = 64;
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == hexDigits && std::all_of(text.begin(), text.end(), isDigit);
}

} // namespace Acaciarail::Operator
