#include <acaciarail/workflow/topic_follower.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow {

auto appendStatusName(AppendStatus status) noexcept -> const char *
{
    constexpr std::array<const char *, 6> names{"stored", "refused", "fenced", "conflict", "out-of-sequence", "unknown"};
    return names.at(static_cast<std::size_t>(status));
}

struct TopicFollower::State : std::enable_shared_from_this<State>
{
    State(TopicFollowerSettings s, const StoreHooks &st, const ClockHooks &c, TopicFollowerHooks h)
        : settings(std::move(s))
        , store(st)
        , clock(c)
        , hooks(std::move(h))
    {
    }

    template<typename F>
    auto callLater(Duration delay, F call) -> void
    {
        clock.schedule(delay, [weak = weak_from_this(), call = std::move(call)] {
            if (const auto self = weak.lock()) {
                call(*self);
            }
        });
    }

    auto load() -> void
    {
        loadEnd.reset();
        loadedKeys.clear();
        loadPage({});
    }

    auto loadPage(const std::string &after) -> void
    {
        const auto sentAt = clock.now();
        store.readNewest(settings.topic, after, [weak = weak_from_this(), sentAt](const NewestResult &result) {
            if (const auto self = weak.lock()) {
                self->applyPage(result, sentAt);
            }
        });
    }

    auto applyPage(const NewestResult &result, TimePoint sentAt) -> void
    {
        if (!result.ok) {
            hooks.contact(false, {});
            callLater(settings.retryDelay, [](State &s) { s.load(); });
            return;
        }
        // The pages are not a snapshot: records appended meanwhile are read from the end offset that came with the first page.
        if (!loadEnd) {
            loadEnd = result.end;
            loadStartedAt = sentAt;
        }
        for (const auto &it : result.records) {
            hooks.apply(it);
            if (settings.reportsRemovals) {
                loadedKeys.insert(it.key);
            }
        }
        if (result.hasMore && !result.records.empty()) {
            loadPage(result.records.back().key);
            return;
        }
        if (settings.reportsRemovals) {
            for (const auto &it : keys) {
                if (!loadedKeys.contains(it)) {
                    hooks.apply({it, {}});
                }
            }
            keys = std::exchange(loadedKeys, {});
        }
        nextOffset = *loadEnd;
        const bool first = !std::exchange(loaded, true);
        hooks.contact(true, loadStartedAt);
        if (first && hooks.loaded) {
            hooks.loaded();
        }
        poll();
    }

    auto poll() -> void
    {
        const auto sentAt = clock.now();
        const auto wait = settings.readWait;
        store.read(settings.topic, nextOffset, wait, [weak = weak_from_this(), sentAt, wait](const ReadResult &result) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->applyRead(result, sentAt, wait);
            if (result.status == ReadStatus::NotRetained) {
                self->load();
                return;
            }
            const bool failed = result.status == ReadStatus::Failed;
            const bool behind = !failed && self->nextOffset < result.end;
            self->callLater(failed       ? self->settings.retryDelay
                                : behind ? Duration::zero()
                                         : self->settings.pause,
                            [](State &s) { s.poll(); });
        });
    }

    auto applyRead(const ReadResult &result, TimePoint sentAt, Duration wait) -> void
    {
        if (result.status != ReadStatus::Ok) {
            caughtUp = false;
            hooks.contact(result.status == ReadStatus::NotRetained, sentAt);
            return;
        }
        for (std::size_t i = 0; i < result.records.size(); ++i) {
            if (result.first + i < nextOffset) {
                continue;
            }
            const auto &record = result.records[i];
            if (settings.reportsRemovals && !record.key.empty()) {
                keys.insert(record.key);
            }
            nextOffset = result.first + i + 1;
            hooks.apply(record);
        }
        caughtUp = nextOffset >= result.end;
        // A read that waited without result shows that nothing was appended until the wait had ended.
        const auto confirmed = result.records.empty() ? std::min(sentAt + wait, clock.now()) : sentAt;
        hooks.contact(true, confirmed);
    }

    auto refresh(std::function<void(bool)> done) -> void
    {
        if (!loaded) {
            callLater(settings.retryDelay, [done = std::move(done)](State &) { done(false); });
            return;
        }
        refreshCallbacks.push_back(std::move(done));
        if (!refreshing) {
            readForRefresh();
        }
    }

    auto awaitRecords(Duration wait) -> void
    {
        if (!loaded || std::exchange(awaitingRecords, true)) {
            return;
        }
        const auto sentAt = clock.now();
        store.read(settings.topic, nextOffset, wait, [weak = weak_from_this(), sentAt, wait](const ReadResult &result) {
            if (const auto self = weak.lock()) {
                self->awaitingRecords = false;
                self->applyRead(result, sentAt, wait);
            }
        });
    }

    auto readForRefresh() -> void
    {
        refreshing = true;
        const auto sentAt = clock.now();
        store.read(settings.topic, nextOffset, Duration::zero(),
                   [weak = weak_from_this(), sentAt, callbacks = std::exchange(refreshCallbacks, {})](const ReadResult &result) {
                       const auto self = weak.lock();
                       if (!self) {
                           return;
                       }
                       self->refreshing = false;
                       self->applyRead(result, sentAt, Duration::zero());
                       for (const auto &it : callbacks) {
                           it(result.status == ReadStatus::Ok);
                       }
                       if (!self->refreshCallbacks.empty() && !self->refreshing) {
                           self->readForRefresh();
                       }
                   });
    }

    TopicFollowerSettings settings;
    const StoreHooks &store;
    const ClockHooks &clock;
    TopicFollowerHooks hooks;
    std::uint64_t nextOffset = 0;
    std::optional<std::uint64_t> loadEnd;
    TimePoint loadStartedAt;
    bool loaded = false;
    bool caughtUp = false;
    bool refreshing = false;
    bool awaitingRecords = false;
    std::set<std::string> keys;
    std::set<std::string> loadedKeys;
    std::vector<std::function<void(bool)>> refreshCallbacks;
};

TopicFollower::TopicFollower(TopicFollowerSettings settings, const StoreHooks &store, const ClockHooks &clock, TopicFollowerHooks hooks)
    : m_state(std::make_shared<State>(std::move(settings), store, clock, std::move(hooks)))
{
}

TopicFollower::~TopicFollower() = default;

auto TopicFollower::start() -> void
{
    m_state->load();
}

auto TopicFollower::setPollInterval(Duration wait, Duration pause) -> void
{
    m_state->settings.readWait = wait;
    m_state->settings.pause = pause;
}

auto TopicFollower::refresh(std::function<void(bool ok)> done) -> void
{
    m_state->refresh(std::move(done));
}

auto TopicFollower::awaitRecords(Duration wait) -> void
{
    m_state->awaitRecords(wait);
}

auto TopicFollower::position() const noexcept -> std::uint64_t
{
    return m_state->nextOffset;
}

auto TopicFollower::atEnd() const noexcept -> bool
{
    return m_state->caughtUp;
}

} // namespace Acaciarail::Workflow
