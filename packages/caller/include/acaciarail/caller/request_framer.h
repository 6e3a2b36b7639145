#pragma once

#include <acaciarail/caller/http_message.h>
#include <acaciarail/core/error.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Acaciarail::Caller {

/// Largest line that the parser of libevhtp takes; CallerServer lowers larger limits to it.
inline constexpr std::size_t maxParsedLine = 8000;

/// Sizes that one request may have.
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
    /// No byte of a request is there.
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
    /// Bytes of the request, head and body, when it is complete.
    std::size_t size = 0;
    /// Bytes of the head when the state is Body or Complete.
    std::size_t headSize = 0;
    /// The body is in chunks, see decodeChunks().
    bool chunked = false;
    /// The caller waits for `100 Continue` before it sends the body.
    bool expectsContinue = false;
    /// Why the request is refused, and the HTTP status.
    Failure failure;
    std::uint16_t status = 0;
};

/// Finds the end of a request in received bytes and refuses malformed and oversized ones before the HTTP parser sees them.
/// Refuses everything that two parsers could frame differently: several or conflicting lengths, folded or unterminated lines,
/// white space around header names, control characters. Holds no bytes. Not thread-safe.
class RequestFramer
{
public:
    explicit RequestFramer(RequestLimits limits);

    /// Examines \a bytes, which begin with the first byte of a request. May be called again with more bytes of the same request;
    /// work done before is not repeated. \pre after Complete or Refused, reset() is called first.
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
    std::size_t m_length = 0;
    /// Body bytes of the chunks so far, and whether the last chunk was seen.
    std::size_t m_chunkedLength = 0;
    std::size_t m_trailerCount = 0;
    bool m_sawLastChunk = false;
};

/// Returns the body that \a chunks carry. \pre RequestFramer accepted \a chunks as the body of a request. Thread-safe.
[[nodiscard]] auto decodeChunks(std::string_view chunks) -> std::string;

} // namespace Acaciarail::Caller
