#pragma once

#include <acaciarail/workflow/store.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Acaciarail::Workflow {

struct TopicFollowerSettings
{
    std::string topic;
    /// How long a read waits for a record.
    Duration readWait{};
    /// Delay between the end of a read and the next one.
    Duration pause{};
    /// Delay after a failed call.
    Duration retryDelay = 200ms;
    /// Whether keys that are no longer in the topic are reported, with an empty value; costs memory for each key. Not together with
    /// tailKey.
    bool reportsRemovals = false;
    /// When set, only the records of the keys after this one are read first, and further records are read from the end of the topic at
    /// once. All others are read in the background after scanDelay, and again whenever the store has discarded unread records.
    std::optional<std::string> tailKey = std::nullopt;
    /// Instances that begin at the same time should use different delays, so that their scans don't exhaust the bandwidth of the store.
    Duration scanDelay{};
    /// See TopicScanSettings::splitKeys.
    std::vector<std::string> splitKeys = {};
    /// Bounds of the size of a read in bytes. A read that fails is repeated with half of the size, because a response that cannot arrive
    /// within its timeout over a slow link would otherwise be requested again and again.
    std::size_t minReadBytes = std::size_t{16} * 1024;
    std::size_t maxReadBytes = std::size_t{256} * 1024;
};

struct TopicFollowerHooks
{
    /// Called with the newest record of a key; an empty value means that the key was removed.
    std::function<void(const KeyedRecord &)> apply;
    /// Called when a call to the store was answered or failed. Every record that was appended before \c confirmedAt has been applied; empty
    /// when the response does not show such a time, as after one that left records to be read.
    std::function<void(bool ok, std::optional<TimePoint> confirmedAt)> contact;
    /// Called instead of apply with the records of a background scan, which are not new; apply is called when it is empty.
    std::function<void(const KeyedRecord &)> applyScanned = {};
};

/// Follows a keyed topic: reads the newest record of each key, and every further record. When the store has discarded records that were
/// not read yet, it reads the newest ones again. Retries failed calls. Not thread-safe.
class TopicFollower
{
public:
    /// \pre \a store and \a clock stay valid.
    TopicFollower(TopicFollowerSettings settings, const StoreHooks &store, const ClockHooks &clock, TopicFollowerHooks hooks);
    ~TopicFollower();
    TopicFollower(const TopicFollower &) = delete;
    auto operator=(const TopicFollower &) -> TopicFollower & = delete;

    /// Starts to read the topic. \pre not started.
    auto start() -> void;

    /// Reads what a pending background scan would read without delay, now and later. \pre started.
    auto scanAtOnce() -> void;

    /// Changes how long further reads wait, and the delay between them, also a longer one that has begun. \pre none.
    auto setPollInterval(Duration wait, Duration pause) -> void;

    /// Reads up to the present end of the topic, in as many reads as that takes, and calls \a done with whether all of them succeeded.
    /// \pre started.
    auto refresh(std::function<void(bool ok)> done) -> void;

    /// Reads records as soon as they are appended, for \a wait at most. A call during such a read has no further effect. \pre started.
    auto awaitRecords(Duration wait) -> void;

    /// Returns whether further records are read. \pre none.
    [[nodiscard]] auto isAttached() const noexcept -> bool;

    /// Returns whether all records that were in the topic have been applied. \pre none.
    [[nodiscard]] auto isLoaded() const noexcept -> bool;

    /// Returns the offset from which the next record is read; during apply, all records before it have been read. \pre none.
    [[nodiscard]] auto position() const noexcept -> std::uint64_t;

    /// Returns whether the last read reached the end of the topic. \pre none.
    [[nodiscard]] auto atEnd() const noexcept -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
