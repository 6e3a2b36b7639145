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
    auto later(Duration delay, F call) -> void
    {
        clock.schedule(delay, [weak = weak_from_this(), call = std::move(call)] {
            if (const auto self = weak.lock()) {
                call(*self);
            }
        });
    }

    auto load() -> void
    {
        loadedEnd.reset();
        loadedKeys.clear();
        loadPage({});
    }

    auto loadPage(const std::string &after) -> void
    {
        const auto sentAt = clock.now();
        store.newest(settings.topic, after, [weak = weak_from_this(), sentAt](const NewestResult &result) {
            if (const auto self = weak.lock()) {
                self->pageRead(result, sentAt);
            }
        });
    }

    auto pageRead(const NewestResult &result, TimePoint sentAt) -> void
    {
        if (!result.ok) {
            hooks.contact(false, {});
            later(settings.retry, [](State &s) { s.load(); });
            return;
        }
        // The pages are not a snapshot: records appended meanwhile are read from the end offset that came with the first page.
        if (!loadedEnd) {
            loadedEnd = result.end;
            loadBegan = sentAt;
        }
        for (const auto &it : result.records) {
            hooks.apply(it);
            if (settings.reportsRemovals) {
                loadedKeys.insert(it.key);
            }
        }
        if (result.more && !result.records.empty()) {
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
        next = *loadedEnd;
        const bool first = !std::exchange(loaded, true);
        hooks.contact(true, loadBegan);
        if (first && hooks.loaded) {
            hooks.loaded();
        }
        poll();
    }

    auto poll() -> void
    {
        const auto sentAt = clock.now();
        const auto wait = settings.wait;
        store.read(settings.topic, next, wait, [weak = weak_from_this(), sentAt, wait](const ReadResult &result) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->readDone(result, sentAt, wait);
            if (result.status == ReadStatus::NotRetained) {
                self->load();
                return;
            }
            const bool failed = result.status == ReadStatus::Failed;
            const bool behind = !failed && self->next < result.end;
            self->later(failed ? self->settings.retry : behind ? Duration::zero() : self->settings.pause, [](State &s) { s.poll(); });
        });
    }

    auto readDone(const ReadResult &result, TimePoint sentAt, Duration wait) -> void
    {
        if (result.status != ReadStatus::Ok) {
            caughtUp = false;
            hooks.contact(result.status == ReadStatus::NotRetained, sentAt);
            return;
        }
        for (std::size_t i = 0; i < result.records.size(); ++i) {
            if (result.first + i < next) {
                continue;
            }
            const auto &record = result.records[i];
            if (settings.reportsRemovals && !record.key.empty()) {
                keys.insert(record.key);
            }
            next = result.first + i + 1;
            hooks.apply(record);
        }
        caughtUp = next >= result.end;
        // A read that waited without result shows that nothing was appended until the wait had ended.
        const auto confirmed = result.records.empty() ? std::min(sentAt + wait, clock.now()) : sentAt;
        hooks.contact(true, confirmed);
    }

    auto refresh(std::function<void(bool)> done) -> void
    {
        if (!loaded) {
            later(settings.retry, [done = std::move(done)](State &) { done(false); });
            return;
        }
        waiting.push_back(std::move(done));
        if (!refreshing) {
            readNow();
        }
    }

    auto awaitRecords(Duration wait) -> void
    {
        if (!loaded || std::exchange(awaiting, true)) {
            return;
        }
        const auto sentAt = clock.now();
        store.read(settings.topic, next, wait, [weak = weak_from_this(), sentAt, wait](const ReadResult &result) {
            if (const auto self = weak.lock()) {
                self->awaiting = false;
                self->readDone(result, sentAt, wait);
            }
        });
    }

    auto readNow() -> void
    {
        refreshing = true;
        const auto sentAt = clock.now();
        store.read(settings.topic, next, Duration::zero(),
                   [weak = weak_from_this(), sentAt, served = std::exchange(waiting, {})](const ReadResult &result) {
                       const auto self = weak.lock();
                       if (!self) {
                           return;
                       }
                       self->refreshing = false;
                       self->readDone(result, sentAt, Duration::zero());
                       for (const auto &it : served) {
                           it(result.status == ReadStatus::Ok);
                       }
                       if (!self->waiting.empty() && !self->refreshing) {
                           self->readNow();
                       }
                   });
    }

    TopicFollowerSettings settings;
    const StoreHooks &store;
    const ClockHooks &clock;
    TopicFollowerHooks hooks;
    std::uint64_t next = 0;
    std::optional<std::uint64_t> loadedEnd;
    TimePoint loadBegan;
    bool loaded = false;
    bool caughtUp = false;
    bool refreshing = false;
    bool awaiting = false;
    std::set<std::string> keys;
    std::set<std::string> loadedKeys;
    std::vector<std::function<void(bool)>> waiting;
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

auto TopicFollower::setPace(Duration wait, Duration pause) -> void
{
    m_state->settings.wait = wait;
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
    return m_state->next;
}

auto TopicFollower::atEnd() const noexcept -> bool
{
    return m_state->caughtUp;
}

} // namespace Acaciarail::Workflow
