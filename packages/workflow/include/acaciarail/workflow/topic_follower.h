#pragma once

#include <acaciarail/workflow/store.h>

#include <functional>
#include <memory>
#include <string>

namespace Acaciarail::Workflow {

struct TopicFollowerSettings
{
    std::string topic;
    /// Time that a read waits for a record.
    Duration wait{};
    /// Pause between two reads.
    Duration pause{};
    /// Pause after a failed call.
    Duration retry = 200ms;
    /// Whether keys that vanished from the topic are reported with an empty value; costs memory for each key.
    bool reportsRemovals = false;
};

struct TopicFollowerHooks
{
    /// The newest record of a key; an empty value means that the key was removed.
    std::function<void(const KeyedRecord &)> apply;
    /// A call succeeded or failed. \c confirmedAt is a time at which everything older was known to have been read; it is only valid
    /// when the call succeeded.
    std::function<void(bool ok, TimePoint confirmedAt)> contact;
    /// Everything that was in the topic at the start has been applied.
    std::function<void()> loaded;
};

/// Follows a keyed topic: reads the newest record of each key, then every further one. When records were lost to the topic's retention, it
/// reads the newest ones again. Calls that fail are repeated. Not thread-safe.
class TopicFollower
{
public:
    /// \pre \a store and \a clock stay valid.
    TopicFollower(TopicFollowerSettings settings, const StoreHooks &store, const ClockHooks &clock, TopicFollowerHooks hooks);
    ~TopicFollower();
    TopicFollower(const TopicFollower &) = delete;
    auto operator=(const TopicFollower &) -> TopicFollower & = delete;

    /// Starts to follow. \pre not started.
    auto start() -> void;

    /// Changes the pace of further reads. \pre none.
    auto setPace(Duration wait, Duration pause) -> void;

    /// Reads up to the topic's present end and calls \a done with whether that succeeded. \pre started.
    auto refresh(std::function<void(bool ok)> done) -> void;

    /// Reads records as they come, for \a wait at most; several calls share one read. \pre started.
    auto awaitRecords(Duration wait) -> void;

    /// Offset that the next record is read from. \pre none.
    [[nodiscard]] auto position() const noexcept -> std::uint64_t;

    /// Whether the follower had read everything up to the end of the topic at its last read. \pre none.
    [[nodiscard]] auto atEnd() const noexcept -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
