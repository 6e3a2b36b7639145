#include <acaciarail/caller/request_framer.h>

#include "text.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace Acaciarail::Caller {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::size_t maxMethodBytes = 16;
/// A chunk size line has at most eight digits; extensions are refused.
constexpr std::size_t maxChunkSizeDigits = 8;
/// The framing of small chunks may add as many bytes as the largest body has, and this many more.
constexpr std::size_t chunkFramingAllowance = std::size_t{64} * 1024;

auto isDigit(char c) noexcept -> bool
{
    return c >= '0' && c <= '9';
}

auto isAlphanumeric(char c) noexcept -> bool
{
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

auto isTokenChar(char c) noexcept -> bool
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return isAlphanumeric(c) || others.find(c) != std::string_view::npos;
}

auto isTargetChar(char c) noexcept -> bool
{
    constexpr std::string_view others = "-._~!$&'()*+,;=:@/?%";
    return isAlphanumeric(c) || others.find(c) != std::string_view::npos;
}

auto isValueChar(char c) noexcept -> bool
{
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

auto isToken(std::string_view text) noexcept -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

auto equalIgnoringCase(std::string_view a, std::string_view lowerCase) noexcept -> bool
{
    const auto equal = [](char x, char y) { return (x >= 'A' && x <= 'Z' ? static_cast<char>(x - 'A' + 'a') : x) == y; };
    return std::equal(a.begin(), a.end(), lowerCase.begin(), lowerCase.end(), equal);
}

auto trimmed(std::string_view text) noexcept -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

RequestFramer::RequestFramer(RequestLimits limits)
    : m_limits(limits)
{
}

auto RequestFramer::reset() noexcept -> void
{
    *this = RequestFramer(m_limits);
}

auto RequestFramer::refuse(std::uint16_t status, Error error, std::string detail) -> bool
{
    m_framing.state = FramingState::Refused;
    m_framing.status = status;
    m_framing.failure = {error, Execution::NotRun, std::move(detail)};
    return false;
}

auto RequestFramer::examine(std::string_view bytes) -> Framing
{
    if (m_framing.state == FramingState::Empty && !bytes.empty()) {
        m_framing.state = FramingState::Head;
    }
    if (m_framing.state == FramingState::Head && !examineHead(bytes)) {
        return m_framing;
    }
    if (m_framing.state == FramingState::Body) {
        examineBody(bytes);
    }
    return m_framing;
}

auto RequestFramer::examineHead(std::string_view bytes) -> bool
{
    while (true) {
        const auto limit = m_sawRequestLine ? m_limits.maxHeaderLine : m_limits.maxRequestLine;
        const auto rest = bytes.substr(m_position);
        const auto end = rest.substr(0, limit + lineEnd.size()).find('\n');
        if (end == std::string_view::npos) {
            if (rest.size() < limit + lineEnd.size()) {
                return m_position + rest.size() <= m_limits.maxHead
                    || refuse(431, Error::TooLarge, "head: expected at most " + std::to_string(m_limits.maxHead) + " bytes, found more");
            }
            const auto expected = "expected at most " + std::to_string(limit) + " bytes, found more";
            return m_sawRequestLine ? refuse(431, Error::TooLarge, "header line: " + expected)
                                    : refuse(414, Error::TooLarge, "request line: " + expected);
        }
        if (end == 0 || rest[end - 1] != '\r') {
            return refuse(400, Error::MalformedInput, "line end: expected CR LF, found LF alone");
        }
        const auto line = rest.substr(0, end - 1);
        m_position += end + 1;
        if (m_position > m_limits.maxHead) {
            return refuse(431, Error::TooLarge, "head: expected at most " + std::to_string(m_limits.maxHead) + " bytes, found more");
        }
        if (!m_sawRequestLine) {
            if (!examineRequestLine(line)) {
                return false;
            }
            m_sawRequestLine = true;
        } else if (line.empty()) {
            return finishHead();
        } else if (!examineHeaderLine(line)) {
            return false;
        }
    }
}

auto RequestFramer::examineRequestLine(std::string_view line) -> bool
{
    const auto methodEnd = line.find(' ');
    const auto targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || methodEnd == targetEnd) {
        return refuse(400, Error::MalformedInput, "request line: expected METHOD TARGET HTTP/1.1, found " + Detail::quoteFound(line));
    }
    const auto method = line.substr(0, methodEnd);
    const auto target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const auto version = line.substr(targetEnd + 1);
    if (!isToken(method) || method.size() > maxMethodBytes) {
        return refuse(400, Error::MalformedInput, "method: expected a token, found " + Detail::quoteFound(method));
    }
    if (target.empty() || target.front() != '/' || !std::all_of(target.begin(), target.end(), isTargetChar)) {
        return refuse(400, Error::MalformedInput,
                      "target: expected a path that starts with / and has no unencoded special characters, found "
                          + Detail::quoteFound(target));
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return refuse(version.starts_with("HTTP/") ? 505 : 400, Error::MalformedInput,
                      "version: expected HTTP/1.1 or HTTP/1.0, found " + Detail::quoteFound(version));
    }
    if (!parseHttpMethod(method)) {
        return refuse(501, Error::MalformedInput,
                      "method: expected GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, found " + Detail::quoteFound(method));
    }
    m_isHttp11 = version == "HTTP/1.1";
    return true;
}

auto RequestFramer::examineHeaderLine(std::string_view line) -> bool
{
    if (++m_headerCount > m_limits.maxHeaders) {
        return refuse(431, Error::TooLarge, "headers: expected at most " + std::to_string(m_limits.maxHeaders) + ", found more");
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string_view::npos || !isToken(name)) {
        return refuse(400, Error::MalformedInput, "header: expected NAME: VALUE, found " + Detail::quoteFound(line));
    }
    const auto value = trimmed(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), isValueChar)) {
        return refuse(400, Error::MalformedInput,
                      "header " + std::string(name) + ": expected no control characters, found " + Detail::quoteFound(value));
    }
    if (equalIgnoringCase(name, "host")) {
        if (std::exchange(m_sawHost, true)) {
            return refuse(400, Error::MalformedInput, "header Host: expected one, found several");
        }
    } else if (equalIgnoringCase(name, "content-length")) {
        if (std::exchange(m_sawLength, true)) {
            return refuse(400, Error::MalformedInput, "header Content-Length: expected one, found several");
        }
        const auto result = std::from_chars(value.data(), value.data() + value.size(), m_length);
        const bool digitsOnly = !value.empty() && std::all_of(value.begin(), value.end(), isDigit);
        if (!digitsOnly) {
            return refuse(400, Error::MalformedInput, "header Content-Length: expected a whole number, found " + Detail::quoteFound(value));
        }
        if (result.ec == std::errc::result_out_of_range) {
            m_length = std::numeric_limits<std::size_t>::max();
        }
    } else if (equalIgnoringCase(name, "transfer-encoding")) {
        if (!equalIgnoringCase(value, "chunked")) {
            return refuse(501, Error::MalformedInput, "header Transfer-Encoding: expected chunked, found " + Detail::quoteFound(value));
        }
        if (std::exchange(m_framing.chunked, true)) {
            return refuse(400, Error::MalformedInput, "header Transfer-Encoding: expected one, found several");
        }
    } else if (equalIgnoringCase(name, "expect")) {
        if (!equalIgnoringCase(value, "100-continue")) {
            return refuse(417, Error::MalformedInput, "header Expect: expected 100-continue, found " + Detail::quoteFound(value));
        }
        m_framing.expectsContinue = true;
    }
    return true;
}

auto RequestFramer::finishHead() -> bool
{
    if (m_isHttp11 && !m_sawHost) {
        return refuse(400, Error::MalformedInput, "header Host: expected one, found none");
    }
    if (m_framing.chunked && (m_sawLength || !m_isHttp11)) {
        return refuse(400, Error::MalformedInput,
                      "header Transfer-Encoding: expected it in HTTP/1.1 without Content-Length, found "
                          + std::string(m_sawLength ? "both" : "HTTP/1.0"));
    }
    if (m_length > m_limits.maxBody) {
        return refuse(413, Error::TooLarge,
                      "body: expected at most " + std::to_string(m_limits.maxBody) + " bytes, found "
                          + (m_length == std::numeric_limits<std::size_t>::max() ? std::string("more") : std::to_string(m_length)));
    }
    m_framing.headSize = m_position;
    m_framing.state = FramingState::Body;
    return true;
}

auto RequestFramer::examineBody(std::string_view bytes) -> void
{
    if (m_framing.chunked) {
        examineChunks(bytes);
        return;
    }
    if (bytes.size() - m_position >= m_length) {
        m_framing.size = m_position + m_length;
        m_framing.state = FramingState::Complete;
    }
}

auto RequestFramer::examineChunks(std::string_view bytes) -> void
{
    while (m_framing.state == FramingState::Body) {
        if (m_position - m_framing.headSize > 2 * m_limits.maxBody + chunkFramingAllowance) {
            refuse(413, Error::TooLarge, "chunks: expected fewer and larger ones, found more framing than body");
            return;
        }
        const auto rest = bytes.substr(std::min(m_position, bytes.size()));
        const auto limit = m_sawLastChunk ? m_limits.maxHeaderLine : maxChunkSizeDigits;
        const auto end = rest.substr(0, limit + lineEnd.size()).find('\n');
        if (end == std::string_view::npos) {
            if (rest.size() >= limit + lineEnd.size()) {
                refuse(400, Error::MalformedInput, "chunk: expected a size without extensions, found " + Detail::quoteFound(rest));
            }
            return;
        }
        if (end == 0 || rest[end - 1] != '\r') {
            refuse(400, Error::MalformedInput, "line end: expected CR LF, found LF alone");
            return;
        }
        const auto line = rest.substr(0, end - 1);
        if (m_sawLastChunk) {
            m_position += end + 1;
            if (line.empty()) {
                m_framing.size = m_position;
                m_framing.state = FramingState::Complete;
            } else if (++m_trailerCount > m_limits.maxHeaders || line.find(':') == std::string_view::npos) {
                refuse(400, Error::MalformedInput, "trailer: expected a few NAME: VALUE, found " + Detail::quoteFound(line));
            }
            continue;
        }
        // The position advances only past complete chunks, so the size line of an incomplete chunk is parsed again each time.
        if (!examineChunkSize(line)) {
            return;
        }
        const auto size = m_length;
        if (size > m_limits.maxBody - m_chunkedLength) {
            refuse(413, Error::TooLarge, "body: expected at most " + std::to_string(m_limits.maxBody) + " bytes, found more");
            return;
        }
        if (size == 0) {
            m_sawLastChunk = true;
            m_position += end + 1;
            continue;
        }
        const auto framedSize = end + 1 + size + lineEnd.size();
        if (rest.size() < framedSize) {
            return;
        }
        if (rest.substr(framedSize - lineEnd.size(), lineEnd.size()) != lineEnd) {
            refuse(400, Error::MalformedInput, "chunk: expected CR LF after " + std::to_string(size) + " bytes, found something else");
            return;
        }
        m_chunkedLength += size;
        m_position += framedSize;
    }
}

auto RequestFramer::examineChunkSize(std::string_view line) -> bool
{
    constexpr int hexadecimal = 16;
    const auto end = line.data() + line.size();
    const auto result = std::from_chars(line.data(), end, m_length, hexadecimal);
    if (line.empty() || line.size() > maxChunkSizeDigits || result.ec != std::errc() || result.ptr != end || line.front() == '-') {
        return refuse(400, Error::MalformedInput, "chunk size: expected hexadecimal digits, found " + Detail::quoteFound(line));
    }
    return true;
}

auto decodeChunks(std::string_view chunks) -> std::string
{
    constexpr int hexadecimal = 16;
    std::string out;
    while (true) {
        const auto lineSize = chunks.find(lineEnd);
        if (lineSize == std::string_view::npos) {
            return out;
        }
        std::size_t size = 0;
        std::from_chars(chunks.data(), chunks.data() + lineSize, size, hexadecimal);
        if (size == 0) {
            return out;
        }
        chunks.remove_prefix(lineSize + lineEnd.size());
        out += chunks.substr(0, size);
        chunks.remove_prefix(std::min(size + lineEnd.size(), chunks.size()));
    }
}

} // namespace Acaciarail::Caller
