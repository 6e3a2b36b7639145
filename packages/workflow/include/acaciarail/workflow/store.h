#pragma once

#include <acaciarail/workflow/records.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::Workflow {

enum class AppendStatus : std::uint8_t {
    Stored,
    /// The store has not stored the records and will not do so later.
    Refused,
    /// A holder with a higher term has appended.
    Fenced,
    /// The topic did not end at AppendRequest::expectedEnd.
    Conflict,
    /// The store expected another sequence number; see AppendResult::expectedSequence.
    OutOfSequence,
    /// No response; the records may be stored already, or be stored later.
    Unknown,
};

/// Returns a kebab-case name of \a status. \pre none. Thread-safe.
[[nodiscard]] auto appendStatusName(AppendStatus status) noexcept -> const char *;

struct AppendRequest
{
    std::string topic;
    std::vector<KeyedRecord> records;
    /// The append succeeds only if the topic ends at this offset.
    std::optional<std::uint64_t> expectedEnd;
    /// Fencing token: the append fails once a holder with a higher term has appended.
    std::optional<std::uint64_t> term;
    /// Sequence number of the append within its term; a repeated number is stored only once.
    std::uint64_t sequence = 0;
    Duration timeout{};
};

struct AppendResult
{
    AppendStatus status = AppendStatus::Unknown;
    std::uint64_t expectedSequence = 0;
};

struct ReadRequest
{
    std::string topic;
    /// Offset of the first record.
    std::uint64_t from = 0;
    /// How long the response waits for a record.
    Duration wait{};
    /// Size of the response in bytes at which it ends; a record that alone is larger is not returned.
    std::size_t maxBytes = std::size_t{1024} * 1024;
};

enum class ReadStatus : std::uint8_t {
    Ok,
    /// Records from the requested offset on are no longer retained.
    NotRetained,
    Failed,
};

struct ReadResult
{
    ReadStatus status = ReadStatus::Failed;
    /// Offset of the first of \c records.
    std::uint64_t first = 0;
    /// End of the topic.
    std::uint64_t end = 0;
    /// Consecutive records; a damaged one has an empty key.
    std::vector<KeyedRecord> records;
};

struct NewestRequest
{
    std::string topic;
    /// The page begins after this key.
    std::string after;
    Duration timeout = 1s;
};

struct NewestResult
{
    bool ok = false;
    /// End of the topic.
    std::uint64_t end = 0;
    std::vector<KeyedRecord> records;
    /// Further keys follow the last one of this page.
    bool hasMore = false;
};

/// Calls to the platform's store. Each hook calls its callback once, never before the hook returns.
struct StoreHooks
{
    std::function<void(AppendRequest, std::function<void(AppendResult)>)> append;
    /// Reads a topic from an offset on.
    std::function<void(const ReadRequest &, std::function<void(ReadResult)>)> read;
    /// Reads a page of the newest records, one for each key.
    std::function<void(const NewestRequest &, std::function<void(NewestResult)>)> readNewest;
};

/// Clocks and timers of the process.
struct ClockHooks
{
    std::function<TimePoint()> now;
    /// Time since 1970.
    std::function<std::chrono::milliseconds()> unixNow;
    /// Calls a function after a delay, on the same thread.
    std::function<void(Duration, std::function<void()>)> schedule;
};

} // namespace Acaciarail::Workflow
