#pragma once

#include <acaciarail/workflow/store.h>

#include <functional>
#include <memory>
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
    /// Whether keys that are no longer in the topic are reported, with an empty value; costs memory for each key.
    bool reportsRemovals = false;
};

struct TopicFollowerHooks
{
    /// Called with the newest record of a key; an empty value means that the key was removed.
    std::function<void(const KeyedRecord &)> apply;
    /// Called when a call to the store succeeded or failed. Every record that was appended before \c confirmedAt has been read; valid only
    /// after a success.
    std::function<void(bool ok, TimePoint confirmedAt)> contact;
    /// Called once all records that were in the topic at the start have been applied.
    std::function<void()> loaded;
};

/// Follows a keyed topic: reads the newest record of each key, then every further record. When the store has discarded records that were
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

    /// Changes how long further reads wait, and the delay between them. \pre none.
    auto setPollInterval(Duration wait, Duration pause) -> void;

    /// Reads up to the present end of the topic and calls \a done with whether that succeeded. \pre started.
    auto refresh(std::function<void(bool ok)> done) -> void;

    /// Reads records as soon as they are appended, for \a wait at most. A call during such a read has no further effect. \pre started.
    auto awaitRecords(Duration wait) -> void;

    /// Returns the offset from which the next record is read. \pre none.
    [[nodiscard]] auto position() const noexcept -> std::uint64_t;

    /// Returns whether the last read reached the end of the topic. \pre none.
    [[nodiscard]] auto atEnd() const noexcept -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
