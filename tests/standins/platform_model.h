#pragma once

#include <acaciarail/core/log_entry.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Standins {

enum class LogMode : std::uint8_t {
    Up,
    /// Refuses appends and reads without effect.
    Down,
    /// Delays each answer; the effect of an append is immediate.
    Slow,
    /// Appends take effect and are never answered; reads work.
    LoseAnswers,
};

/// Parses `up`, `down`, `slow` or `lose-answers`; empty for any other text. \pre none. Thread-safe.
[[nodiscard]] auto parseLogMode(std::string_view text) noexcept -> std::optional<LogMode>;

enum class AnswerKind : std::uint8_t {
    Answered,
    /// The answer states that the request was refused and had no effect.
    Unavailable,
    /// No answer ever arrives. Whether there was an effect is only visible in the log.
    Lost,
    /// Read only: the offset is no longer retained.
    NotRetained,
};

struct AppendAnswer
{
    AnswerKind kind = AnswerKind::Answered;
    /// Time after which the answer arrives.
    Duration delay{};
    LogOffset first = 0;
    LogOffset next = 0;
};

struct ReadAnswer
{
    AnswerKind kind = AnswerKind::Answered;
    Duration delay{};
    LogOffset earliest = 0;
    /// End of the log.
    LogOffset next = 0;
    std::vector<LogEntry> entries;
};

enum class ListedKind : std::uint8_t {
    Entry,
    Endpoint,
    Worker,
};

/// Returns `entry`, `endpoint` or `worker`. \pre none. Thread-safe.
[[nodiscard]] auto listedKindName(ListedKind kind) noexcept -> std::string_view;

/// Parses the text form; empty for any other text. \pre none. Thread-safe.
[[nodiscard]] auto parseListedKind(std::string_view text) noexcept -> std::optional<ListedKind>;

/// One entry of the platform's list of instances, with the fields of all kinds.
struct ListedInstance
{
    std::string name;
    ListedKind kind = ListedKind::Entry;
    std::string address;
    std::string region;
    std::string zone;
    std::string rack;
    std::uint32_t rackPosition = 0;
    std::string service;
    bool leaving = false;
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMiB = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const ListedInstance &, const ListedInstance &) noexcept -> bool = default;
};

/// The platform's log and list of instances, without sockets and without a clock. The log does not compare record ids: a
/// record that is appended twice is in the log twice. Time arguments never decrease. Not thread-safe.
class PlatformModel
{
public:
    /// Appends \a records as one batch on behalf of a client in \a zone. \pre none.
    [[nodiscard]] auto append(const std::vector<std::string> &records, const ZoneName &zone) -> AppendAnswer;

    /// Reads up to \a maxRecords records, or up to maxReadBytes, but at least one. Empty when there is none at \a from yet. \pre none.
    [[nodiscard]] auto read(LogOffset from, std::size_t maxRecords, const ZoneName &zone) const -> ReadAnswer;

    /// Returns the list as it was at \a now minus the list lag, or nothing when \a zone is cut off from the platform. \pre none.
    [[nodiscard]] auto list(const ZoneName &zone, TimePoint now) const -> std::optional<std::vector<ListedInstance>>;

    /// Sets the mode of the log. \a delay applies to LogMode::Slow. \pre none.
    auto setMode(LogMode mode, Duration delay = {}) -> void;

    /// Discards records before \a offset; an offset past the end discards all. \pre none.
    auto retainFrom(LogOffset offset) -> void;

    /// Limits the log to the newest \a records records, now and after each append. \pre none.
    auto setRetention(std::size_t records) -> void;

    /// Cuts \a zone off from the platform: its requests have no effect and are never answered. \pre none.
    auto cutZone(const ZoneName &zone) -> void;

    /// Reconnects all zones, or one. \pre none.
    auto restoreZones() -> void;
    auto restoreZone(const ZoneName &zone) -> void;

    /// Sets how long a change of the list takes to become visible. \pre none.
    auto setListLag(Duration lag) -> void;

    /// Adds \a instance, or replaces the entry with the same name. \pre none.
    auto add(const ListedInstance &instance, TimePoint now) -> void;

    /// Removes the entry called \a name, if there is one. \pre none.
    auto remove(const std::string &name, TimePoint now) -> void;

    /// Sets the state of the entry called \a name; returns false when there is none. \pre none.
    auto setLeaving(const std::string &name, bool leaving, TimePoint now) -> bool;

    /// \pre none.
    [[nodiscard]] auto earliest() const noexcept -> LogOffset;
    [[nodiscard]] auto end() const noexcept -> LogOffset;
    [[nodiscard]] auto isCut(const ZoneName &zone) const -> bool;

    /// Returns the number of batches that took effect, to check the rate of appends. \pre none.
    [[nodiscard]] auto appends() const noexcept -> std::uint64_t;

private:
    struct Change
    {
        TimePoint at;
        std::string name;
        /// Empty for a removal.
        std::optional<ListedInstance> instance;
    };

    auto trim() -> void;
    auto latest(const std::string &name) const -> std::optional<ListedInstance>;

    std::deque<std::string> m_records;
    LogOffset m_earliest = 0;
    std::size_t m_retention = SIZE_MAX;
    std::uint64_t m_appends = 0;
    LogMode m_mode = LogMode::Up;
    Duration m_delay{};
    std::set<ZoneName> m_cutZones;
    Duration m_listLag{};
    std::vector<Change> m_changes;
};

/// Limit of the bytes of records in one answer to a read; a larger record is returned alone.
inline constexpr std::size_t maxReadBytes = std::size_t{512} * 1024;

} // namespace Acaciarail::Standins
