#include <acaciarail/caller/http_message.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace Acaciarail::Caller {

namespace {

constexpr std::array<std::string_view, 7> methodNames{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

auto lower(char c) noexcept -> char
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

auto equalIgnoringCase(std::string_view a, std::string_view b) noexcept -> bool
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

auto hexDigit(char c) noexcept -> int
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const auto lowered = lower(c);
    return lowered >= 'a' && lowered <= 'f' ? lowered - 'a' + 10 : -1;
}

} // namespace

auto httpMethodName(HttpMethod method) noexcept -> std::string_view
{
    return methodNames.at(static_cast<std::size_t>(method));
}

auto parseHttpMethod(std::string_view text) noexcept -> std::optional<HttpMethod>
{
    const auto it = std::find(methodNames.begin(), methodNames.end(), text);
    if (it == methodNames.end()) {
        return std::nullopt;
    }
    return static_cast<HttpMethod>(it - methodNames.begin());
}

auto findHeader(const HttpHeaders &headers, std::string_view name) noexcept -> std::optional<std::string_view>
{
    const auto it =
        std::find_if(headers.begin(), headers.end(), [name](const auto &header) { return equalIgnoringCase(header.name, name); });
    if (it == headers.end()) {
        return std::nullopt;
    }
    return it->value;
}

auto percentDecode(std::string_view text) -> std::optional<std::string>
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const auto high = hexDigit(text[i + 1]);
        const auto low = hexDigit(text[i + 2]);
        if (high < 0 || low < 0 || (high == 0 && low == 0)) {
            return std::nullopt;
        }
        out += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return out;
}

auto queryParameter(std::string_view query, std::string_view name) -> std::optional<std::string>
{
    while (!query.empty()) {
        const auto part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(part.size() + 1, query.size()));
        const auto equals = part.find('=');
        if (percentDecode(part.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(part.substr(equals + 1));
        }
    }
    return std::nullopt;
}

auto makeResponse(std::uint16_t status, std::string_view contentType, std::string body) -> HttpResponse
{
    return {status, {{"Content-Type", std::string(contentType)}}, std::move(body)};
}

} // namespace Acaciarail::Caller
