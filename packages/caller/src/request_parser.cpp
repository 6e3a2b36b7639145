#include <acaciarail/caller/request_parser.h>

#include "text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Acaciarail::Caller {

namespace {

constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view acaciarailPrefix = "acaciarail-";
constexpr std::size_t maxServiceNameBytes = 128;
constexpr std::array<std::string_view, 3> acaciarailHeaders{"acaciarail-deadline-ms", "acaciarail-priority", "acaciarail-idempotent"};

auto failure(Error error, std::string detail) -> Failure
{
    return {error, Execution::NotRun, std::move(detail)};
}

auto malformed(std::string_view field, std::string_view expected, std::string_view found) -> Failure
{
    return failure(Error::MalformedInput, std::string(field) + ": expected " + std::string(expected) + ", found " + std::string(found));
}

auto lowerCase(std::string_view text) -> std::string
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return out;
}

auto isVisibleAscii(std::string_view text) noexcept -> bool
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

auto isNameChar(char c) noexcept -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

auto isIdempotentMethod(HttpMethod method) noexcept -> bool
{
    return method != HttpMethod::Post && method != HttpMethod::Patch;
}

/// Refuses repeated headers of which only one is allowed, and unknown headers with the prefix of this system, as a misspelt
/// name would otherwise be ignored without notice.
auto checkHeaderNames(const HttpHeaders &headers) -> std::optional<Failure>
{
    constexpr std::array<std::string_view, 2> otherUniqueHeaders{"authorization", "idempotency-key"};
    std::vector<std::string> seen;
    for (const auto &it : headers) {
        auto name = lowerCase(it.name);
        const bool hasPrefix = name.starts_with(acaciarailPrefix);
        if (hasPrefix && std::find(acaciarailHeaders.begin(), acaciarailHeaders.end(), name) == acaciarailHeaders.end()) {
            const auto nearest = std::string(Detail::nearestName(name, acaciarailHeaders));
            return malformed("header " + Detail::quoteFound(it.name), "a known name, the nearest is " + nearest, "an unknown one");
        }
        if (!hasPrefix && std::find(otherUniqueHeaders.begin(), otherUniqueHeaders.end(), name) == otherUniqueHeaders.end()) {
            continue;
        }
        if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
            return malformed("header " + it.name, "one", "several");
        }
        seen.push_back(std::move(name));
    }
    return std::nullopt;
}

auto parseTarget(const HttpRequest &request, ServiceRequest &out) -> std::optional<Failure>
{
    const std::string_view path = request.path;
    if (!path.starts_with(servicesPrefix)) {
        return malformed("path", "/services/SERVICE/PATH", Detail::quoteFound(path));
    }
    const auto rest = path.substr(servicesPrefix.size());
    const auto name = rest.substr(0, rest.find('/'));
    if (name.empty() || name.size() > maxServiceNameBytes || !std::all_of(name.begin(), name.end(), isNameChar)) {
        return malformed("service", "1 to 128 letters, digits, '-', '_' or '.'", Detail::quoteFound(name));
    }
    out.service = ServiceName(name);
    out.target = name.size() == rest.size() ? "/" : std::string(rest.substr(name.size()));
    if (!request.query.empty()) {
        out.target += "?" + request.query;
    }
    return std::nullopt;
}

auto parseDeadline(const HttpHeaders &headers, ServiceRequest &out) -> std::optional<Failure>
{
    const auto text = findHeader(headers, "Acaciarail-Deadline-Ms");
    if (!text) {
        return std::nullopt;
    }
    constexpr auto maxDeadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(maxDeadline).count();
    const auto parsed = parseWholeNumber("header Acaciarail-Deadline-Ms", *text, 1, static_cast<std::uint64_t>(maxDeadlineMs));
    if (const auto *fault = std::get_if<Failure>(&parsed)) {
        return *fault;
    }
    out.deadline = std::chrono::milliseconds(std::get<std::uint64_t>(parsed));
    return std::nullopt;
}

auto parsePriorityHeader(const HttpHeaders &headers, ServiceRequest &out) -> std::optional<Failure>
{
    const auto text = findHeader(headers, "Acaciarail-Priority");
    if (!text) {
        return std::nullopt;
    }
    const auto parsed = parsePriority(*text);
    if (!parsed) {
        return malformed("header Acaciarail-Priority", "urgent, normal or background", Detail::quoteFound(*text));
    }
    out.priority = *parsed;
    return std::nullopt;
}

auto parseIdempotence(const HttpRequest &request, ServiceRequest &out) -> std::optional<Failure>
{
    out.idempotent = isIdempotentMethod(request.method);
    if (const auto text = findHeader(request.headers, "Acaciarail-Idempotent")) {
        if (*text != "true" && *text != "false") {
            return malformed("header Acaciarail-Idempotent", "true or false", Detail::quoteFound(*text));
        }
        out.idempotent = *text == "true";
    }
    if (const auto text = findHeader(request.headers, "Idempotency-Key")) {
        if (text->empty() || text->size() > maxIdempotencyKeySize || !isVisibleAscii(*text)) {
            return malformed("header Idempotency-Key", "1 to 200 visible ASCII characters", Detail::quoteFound(*text));
        }
        out.idempotencyKey = *text;
    }
    return std::nullopt;
}

auto countHeaders(const HttpHeaders &headers, std::string_view lowerName) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [lowerName](const auto &it) { return lowerCase(it.name) == lowerName; }));
}

} // namespace

auto parseWholeNumber(std::string_view field, std::string_view text, std::uint64_t minimum, std::uint64_t maximum) -> Parsed<std::uint64_t>
{
    std::uint64_t value = 0;
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end || value < minimum || value > maximum) {
        return malformed(field, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum),
                         Detail::quoteFound(text));
    }
    return value;
}

auto parseBearerToken(const HttpHeaders &headers) -> Parsed<std::string>
{
    constexpr std::string_view scheme = "bearer ";
    const auto text = findHeader(headers, "Authorization");
    if (!text) {
        return std::string();
    }
    if (countHeaders(headers, "authorization") > 1) {
        return failure(Error::Unauthenticated, "header Authorization: expected one, found several");
    }
    // The value is a secret, so the failure does not show it.
    if (!lowerCase(text->substr(0, scheme.size())).starts_with(scheme)) {
        return failure(Error::Unauthenticated, "header Authorization: expected Bearer TOKEN, found another form");
    }
    const auto token = text->substr(scheme.size());
    if (token.empty() || token.size() > maxTokenSize || !isVisibleAscii(token)) {
        return failure(Error::Unauthenticated,
                       "header Authorization: expected a token of 1 to 512 visible ASCII characters, found another one");
    }
    return std::string(token);
}

auto parseServiceRequest(const HttpRequest &request) -> Parsed<ServiceRequest>
{
    ServiceRequest out;
    if (auto fault = parseTarget(request, out)) {
        return *std::move(fault);
    }
    auto token = parseBearerToken(request.headers);
    if (auto *fault = std::get_if<Failure>(&token)) {
        return std::move(*fault);
    }
    out.token = std::get<std::string>(std::move(token));
    if (auto fault = checkHeaderNames(request.headers)) {
        return *std::move(fault);
    }
    if (auto fault = parseDeadline(request.headers, out)) {
        return *std::move(fault);
    }
    if (auto fault = parsePriorityHeader(request.headers, out)) {
        return *std::move(fault);
    }
    if (auto fault = parseIdempotence(request, out)) {
        return *std::move(fault);
    }
    if (countHeaders(request.headers, "traceparent") == 1) {
        out.traceparent = *findHeader(request.headers, "traceparent");
    }
    return out;
}

} // namespace Acaciarail::Caller
