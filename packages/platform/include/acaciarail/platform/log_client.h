#pragma once

#include <acaciarail/core/log_entry.h>
#include <acaciarail/platform/platform_settings.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Acaciarail::Runtime {
class EventLoop;
}

namespace Acaciarail::Platform {

enum class AppendStatus : std::uint8_t {
    Appended,
    /// The log did not append the records and will not append them later.
    NotAppended,
    /// The response was lost or late; the records may be in the log, or may appear there later.
    OutcomeUnknown,
};

/// Returns `appended`, `not-appended` or `outcome-unknown`. \pre none. Thread-safe.
[[nodiscard]] auto appendStatusName(AppendStatus status) noexcept -> std::string_view;

struct AppendResult
{
    AppendStatus status = AppendStatus::NotAppended;
    /// Set unless appended: Error::LogUnavailable, Error::Timeout, Error::ConnectionLost, Error::MalformedInput or Error::TooLarge.
    std::error_code error;
    /// States what was expected and what was found.
    std::string detail;
    /// Offset of the first record of the batch; set when appended.
    LogOffset first = 0;
    /// Offset after the last record of the batch; set when appended.
    LogOffset next = 0;
};

struct ReadRequest
{
    LogOffset from = 0;
    std::uint32_t maxRecords = 1000;
    /// Longest time that the log waits for a record at \c from when there is none yet.
    Duration wait = 10s;
};

enum class ReadStatus : std::uint8_t {
    Ok,
    /// Records from the requested offset on are no longer retained; \c earliest is the oldest retained offset.
    NotRetained,
    Failed,
};

/// Returns `ok`, `not-retained` or `failed`. \pre none. Thread-safe.
[[nodiscard]] auto readStatusName(ReadStatus status) noexcept -> std::string_view;

struct ReadResult
{
    ReadStatus status = ReadStatus::Failed;
    std::error_code error;
    std::string detail;
    /// Oldest retained offset.
    LogOffset earliest = 0;
    /// End of the log: the offset that the next appended record will get.
    LogOffset next = 0;
    /// Consecutive records from the requested offset on; may be only some of those in the log.
    std::vector<LogEntry> entries;
};

/// Client of the platform's log. Hooks are called on the loop, never from inside the call that starts the request.
/// A hook may destroy the client; hooks of requests in progress are dropped when it is destroyed. Not thread-safe.
class LogClient
{
public:
    /// \pre \a loop outlives the client.
    LogClient(Runtime::EventLoop &loop, const PlatformSettings &settings);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    auto operator=(const LogClient &) -> LogClient & = delete;

    /// Appends \a records as one batch. \pre \a records is not empty.
    auto append(const std::vector<std::string> &records, std::function<void(AppendResult)> done) -> void;

    /// Reads records; waits up to ReadRequest::wait for the first. \pre none.
    auto read(const ReadRequest &request, std::function<void(ReadResult)> done) -> void;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Parses the JSON response to an append of \a count records. \pre none. Thread-safe.
[[nodiscard]] auto parseAppendResponse(std::string_view body, std::size_t count) -> AppendResult;

/// Parses the msgpack response to a read; refuses records that are not consecutive from \a from on. \pre none. Thread-safe.
[[nodiscard]] auto parseReadResponse(std::string_view body, LogOffset from) -> ReadResult;

} // namespace Acaciarail::Platform
