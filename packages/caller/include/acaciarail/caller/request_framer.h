#pragma once

#include <acaciarail/caller/http_message.h>
#include <acaciarail/core/error.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Acaciarail::Caller {

/// Longest line in bytes that the parser of libevhtp accepts; CallerServer lowers larger limits to it.
inline constexpr std::size_t maxParsedLine = 8000;

/// Size limits of one request.
struct RequestLimits
{
    /// In bytes, without the line end; at most maxParsedLine.
    std::size_t maxRequestLine = 4096;
    /// In bytes of one header line, without the line end; at most maxParsedLine.
    std::size_t maxHeaderLine = 4096;
    std::size_t maxHeaders = 64;
    /// In bytes of the request line and all headers.
    std::size_t maxHead = std::size_t{16} * 1024;
    /// In bytes.
    std::size_t maxBody = std::size_t{1024} * 1024;
};

enum class FramingState : std::uint8_t {
    /// No byte of a request has arrived.
    Empty,
    /// The request line and headers are incomplete.
    Head,
    /// The body is incomplete.
    Body,
    Complete,
    Refused,
};

/// Result of RequestFramer::examine().
struct Framing
{
    FramingState state = FramingState::Empty;
    /// Size of the request, head and body, in bytes; set in state Complete.
    std::size_t size = 0;
    /// Size of the head in bytes; set in the states Body and Complete.
    std::size_t headSize = 0;
    /// The body has chunked transfer encoding, see decodeChunks().
    bool chunked = false;
    /// The caller waits for `100 Continue` before it sends the body.
    bool expectsContinue = false;
    /// Reason and HTTP status of a refusal; set in state Refused.
    Failure failure;
    std::uint16_t status = 0;
};

/// Finds the end of a request in received bytes and refuses malformed and oversized ones before the HTTP parser sees them.
/// Refuses everything that two parsers could frame differently: several or conflicting lengths, folded or unterminated lines,
/// white space around header names, control characters. Stores no received bytes. Not thread-safe.
class RequestFramer
{
public:
    explicit RequestFramer(RequestLimits limits);

    /// Examines \a bytes, which begin with the first byte of a request. May be called again with more bytes of the same request;
    /// bytes examined before are not examined again, except for an incomplete line or chunk. \pre after Complete or Refused, reset() is
    /// called first.
    [[nodiscard]] auto examine(std::string_view bytes) -> Framing;

    /// Prepares for the next request. \pre none.
    auto reset() noexcept -> void;

private:
    auto examineHead(std::string_view bytes) -> bool;
    auto examineRequestLine(std::string_view line) -> bool;
    auto examineHeaderLine(std::string_view line) -> bool;
    auto finishHead() -> bool;
    auto examineBody(std::string_view bytes) -> void;
    auto examineChunks(std::string_view bytes) -> void;
    auto examineChunkSize(std::string_view line) -> bool;
    auto refuse(std::uint16_t status, Error error, std::string detail) -> bool;

    RequestLimits m_limits;
    Framing m_framing;
    /// Position of the first byte that is not examined yet.
    std::size_t m_position = 0;
    std::size_t m_headerCount = 0;
    bool m_sawRequestLine = false;
    bool m_isHttp11 = false;
    bool m_sawHost = false;
    bool m_sawLength = false;
    /// Content-Length, or the size of the current chunk, in bytes.
    std::size_t m_length = 0;
    /// Body bytes of the chunks examined so far.
    std::size_t m_chunkedLength = 0;
    std::size_t m_trailerCount = 0;
    /// Only trailers follow.
    bool m_sawLastChunk = false;
};

/// Returns the body encoded in \a chunks. \pre RequestFramer accepted \a chunks as the body of a request. Thread-safe.
[[nodiscard]] auto decodeChunks(std::string_view chunks) -> std::string;

} // namespace Acaciarail::Caller
