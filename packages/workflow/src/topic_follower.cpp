#include <acaciarail/workflow/topic_follower.h>
#include <acaciarail/workflow/topic_scan.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow {

namespace {

/// No record of the store is larger.
constexpr std::size_t maxRecordBytes = std::size_t{1024} * 1024;

} // namespace

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

    /// Reads the tail of the topic, or all of it, and then every further record.
    auto attach() -> void
    {
        scan.reset();
        loaded = false;
        if (settings.tailKey) {
            attachAtTail();
        } else {
            loadAll();
        }
    }

    auto attachAtTail() -> void
    {
        store.readNewest({settings.topic, *settings.tailKey, tailTimeout}, [weak = weak_from_this()](const NewestResult &result) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (!result.ok) {
                self->tailTimeout = std::min(self->tailTimeout * 2, TopicScan::maxPageTimeout);
                self->callLater(self->settings.retryDelay, [](State &s) { s.attachAtTail(); });
                self->hooks.contact(false, {});
                return;
            }
            self->tailTimeout = TopicScan::minPageTimeout;
            for (const auto &it : result.records) {
                self->hooks.apply(it);
            }
            self->scheduleScan();
            // The other records are still to be read.
            self->beginPolling(result.end, std::nullopt);
        });
    }

    auto scheduleScan() -> void
    {
        const auto number = ++scanNumber;
        callLater(settings.scanDelay, [number](State &s) {
            if (number == s.scanNumber) {
                s.scanInBackground();
            }
        });
    }

    auto scanInBackground() -> void
    {
        ++scanNumber;
        keysReadSinceScan.clear();
        startScan([](State &s, const std::vector<KeyedRecord> &records, std::uint64_t, TimePoint) { s.applyScanned(records); },
                  [](State &s) {
                      s.loaded = true;
                      s.scan.reset();
                  });
    }

    auto applyScanned(const std::vector<KeyedRecord> &records) -> void
    {
        for (const auto &it : records) {
            // What was read from the log meanwhile is at least as new.
            if (!keysReadSinceScan.contains(it.key)) {
                (hooks.applyScanned ? hooks.applyScanned : hooks.apply)(it);
            }
        }
    }

    auto loadAll() -> void
    {
        // The pages are not a snapshot: records appended meanwhile are read from the end offset that came with the first page.
        loadEnd.reset();
        loadedKeys.clear();
        startScan([](State &s, const std::vector<KeyedRecord> &records, std::uint64_t end,
                     TimePoint sentAt) { s.applyLoaded(records, end, sentAt); },
                  [](State &s) { s.finishLoading(); });
    }

    auto applyLoaded(const std::vector<KeyedRecord> &records, std::uint64_t end, TimePoint sentAt) -> void
    {
        if (!loadEnd || end < loadEnd->first) {
            loadEnd.emplace(end, sentAt);
        }
        for (const auto &it : records) {
            hooks.apply(it);
            if (settings.reportsRemovals) {
                loadedKeys.insert(it.key);
            }
        }
    }

    template<typename Page, typename Done>
    auto startScan(Page page, Done done) -> void
    {
        const auto weak = weak_from_this();
        TopicScanHooks scanHooks;
        scanHooks.page = [weak, page](const std::vector<KeyedRecord> &records, std::uint64_t end, TimePoint sentAt) {
            if (const auto self = weak.lock()) {
                page(*self, records, end, sentAt);
            }
        };
        scanHooks.failed = [weak] {
            if (const auto self = weak.lock()) {
                self->hooks.contact(false, {});
            }
        };
        scanHooks.done = [weak, done] {
            if (const auto self = weak.lock()) {
                done(*self);
            }
        };
        scan = std::make_unique<TopicScan>(TopicScanSettings{settings.topic, settings.splitKeys, settings.retryDelay}, store, clock,
                                           std::move(scanHooks));
        scan->start();
    }

    auto finishLoading() -> void
    {
        if (loadEnd->first == 0 && loadedKeys.empty() && !keys.empty()) {
            // The store does not know the topic at the moment; that does not show that its keys were removed.
            callLater(settings.retryDelay, [](State &s) { s.loadAll(); });
            hooks.contact(false, std::nullopt);
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
        loaded = true;
        scan.reset();
        beginPolling(loadEnd->first, loadEnd->second);
    }

    auto beginPolling(std::uint64_t end, std::optional<TimePoint> confirmedAt) -> void
    {
        nextOffset = end;
        attached = true;
        hooks.contact(true, confirmedAt);
        poll();
    }

    /// Polls unless another read has reached the end of the topic since the last poll; then a pause after that read.
    auto pollIfDue() -> void
    {
        const auto due = caughtUp ? lastReadAt + settings.pause : clock.now();
        if (clock.now() < due) {
            pollLater(due - clock.now());
        } else {
            poll();
        }
    }

    auto pollLater(Duration delay) -> void
    {
        pollScheduled = true;
        callLater(delay, [number = ++pollNumber](State &s) {
            if (number == s.pollNumber) {
                s.pollScheduled = false;
                s.pollIfDue();
            }
        });
    }

    auto setPollInterval(Duration wait, Duration pause) -> void
    {
        const bool shorter = pause < settings.pause;
        settings.readWait = wait;
        settings.pause = pause;
        // A poll that is due only after the longer pause would leave records unread until then.
        if (shorter && pollScheduled) {
            pollLater(Duration::zero());
        }
    }

    auto poll() -> void
    {
        const auto sentAt = clock.now();
        // After a failure, a response that confirms the topic's end is wanted soon.
        const auto wait = lastReadFailed ? Duration::zero() : settings.readWait;
        store.read(readRequest(wait), [weak = weak_from_this(), sentAt, wait](const ReadResult &result) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->applyRead(result, sentAt, wait);
            if (result.status == ReadStatus::NotRetained) {
                self->attach();
                return;
            }
            const bool failed = result.status == ReadStatus::Failed;
            const bool behind = !failed && self->nextOffset < result.end;
            self->pollLater(failed ? self->settings.retryDelay : behind ? Duration::zero() : self->settings.pause);
        });
    }

    auto applyRead(const ReadResult &result, TimePoint sentAt, Duration wait) -> void
    {
        lastReadFailed = result.status == ReadStatus::Failed;
        if (result.status != ReadStatus::Ok) {
            caughtUp = false;
            if (result.status == ReadStatus::Failed) {
                readBytes = std::max(readBytes / 2, settings.minReadBytes);
            }
            hooks.contact(result.status == ReadStatus::NotRetained, std::nullopt);
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
            if (scan) {
                keysReadSinceScan.insert(record.key);
            }
            nextOffset = result.first + i + 1;
            hooks.apply(record);
        }
        caughtUp = nextOffset >= result.end;
        if (caughtUp) {
            lastReadAt = clock.now();
            readBytes = settings.maxReadBytes;
        } else if (result.records.empty()) {
            // The next record is larger than the response may be.
            readBytes = std::min(readBytes * 2, maxRecordBytes);
        }
        if (!caughtUp || (settings.tailKey && !loaded)) {
            hooks.contact(true, std::nullopt);
            return;
        }
        // A read that waited without result shows that nothing was appended until the wait had ended.
        const bool waited = result.records.empty() && clock.now() >= sentAt + wait;
        hooks.contact(true, waited ? sentAt + wait : sentAt);
    }

    auto refresh(std::function<void(bool)> done) -> void
    {
        if (!attached) {
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
        if (!attached || std::exchange(awaitingRecords, true)) {
            return;
        }
        const auto sentAt = clock.now();
        store.read(readRequest(wait), [weak = weak_from_this(), sentAt, wait](const ReadResult &result) {
            if (const auto self = weak.lock()) {
                self->awaitingRecords = false;
                self->applyRead(result, sentAt, wait);
            }
        });
    }

    using RefreshCallbacks = std::vector<std::function<void(bool)>>;

    auto readForRefresh() -> void
    {
        refreshing = true;
        readUntil(std::nullopt, std::exchange(refreshCallbacks, {}));
    }

    /// Reads up to \a end, or when it is empty, up to the end of the topic as of the first response.
    auto readUntil(std::optional<std::uint64_t> end, RefreshCallbacks callbacks) -> void
    {
        const auto sentAt = clock.now();
        store.read(readRequest(Duration::zero()),
                   [weak = weak_from_this(), sentAt, end, callbacks = std::move(callbacks)](const ReadResult &result) {
                       if (const auto self = weak.lock()) {
                           self->applyRead(result, sentAt, Duration::zero());
                           self->continueRefresh(result, end.value_or(result.end), callbacks);
                       }
                   });
    }

    auto continueRefresh(const ReadResult &result, std::uint64_t end, const RefreshCallbacks &callbacks) -> void
    {
        const bool ok = result.status == ReadStatus::Ok;
        if (ok && nextOffset < end) {
            readUntil(end, callbacks);
            return;
        }
        refreshing = false;
        for (const auto &it : callbacks) {
            it(ok);
        }
        if (!refreshCallbacks.empty() && !refreshing) {
            readForRefresh();
        }
    }

    [[nodiscard]] auto readRequest(Duration wait) const -> ReadRequest
    {
        return {settings.topic, nextOffset, wait, readBytes};
    }

    TopicFollowerSettings settings;
    const StoreHooks &store;
    const ClockHooks &clock;
    TopicFollowerHooks hooks;
    std::uint64_t nextOffset = 0;
    std::size_t readBytes = settings.maxReadBytes;
    /// End of the topic before the first page was read, and when that page was requested.
    std::optional<std::pair<std::uint64_t, TimePoint>> loadEnd;
    std::unique_ptr<TopicScan> scan;
    std::uint64_t scanNumber = 0;
    Duration tailTimeout = TopicScan::minPageTimeout;
    std::set<std::string> keysReadSinceScan;
    bool attached = false;
    bool loaded = false;
    bool caughtUp = false;
    bool lastReadFailed = false;
    bool pollScheduled = false;
    std::uint64_t pollNumber = 0;
    /// When the last read that reached the end of the topic was answered.
    TimePoint lastReadAt;
    bool refreshing = false;
    bool awaitingRecords = false;
    std::set<std::string> keys;
    std::set<std::string> loadedKeys;
    RefreshCallbacks refreshCallbacks;
};

TopicFollower::TopicFollower(TopicFollowerSettings settings, const StoreHooks &store, const ClockHooks &clock, TopicFollowerHooks hooks)
    : m_state(std::make_shared<State>(std::move(settings), store, clock, std::move(hooks)))
{
}

TopicFollower::~TopicFollower() = default;

auto TopicFollower::start() -> void
{
    m_state->attach();
}

auto TopicFollower::scanAtOnce() -> void
{
    auto &s = *m_state;
    s.settings.scanDelay = Duration::zero();
    if (s.attached && !s.loaded && !s.scan) {
        s.scanInBackground();
    }
}

auto TopicFollower::setPollInterval(Duration wait, Duration pause) -> void
{
    m_state->setPollInterval(wait, pause);
}

auto TopicFollower::refresh(std::function<void(bool ok)> done) -> void
{
    m_state->refresh(std::move(done));
}

auto TopicFollower::awaitRecords(Duration wait) -> void
{
    m_state->awaitRecords(wait);
}

auto TopicFollower::isAttached() const noexcept -> bool
{
    return m_state->attached;
}

auto TopicFollower::isLoaded() const noexcept -> bool
{
    return m_state->loaded;
}

auto TopicFollower::position() const noexcept -> std::uint64_t
{
    const auto &s = *m_state;
    return s.loadEnd && !s.loaded ? s.loadEnd->first : s.nextOffset;
}

auto TopicFollower::atEnd() const noexcept -> bool
{
    return m_state->caughtUp;
}

} // namespace Acaciarail::Workflow
