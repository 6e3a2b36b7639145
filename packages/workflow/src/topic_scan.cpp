#include <acaciarail/workflow/topic_scan.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace Acaciarail::Workflow {

struct TopicScan::State : std::enable_shared_from_this<State>
{
    State(TopicScanSettings s, const StoreHooks &st, const ClockHooks &c, TopicScanHooks h)
        : settings(std::move(s))
        , store(st)
        , clock(c)
        , hooks(std::move(h))
    {
    }

    /// A page that is to be read: the keys after \c after, up to and including \c last; an empty \c last stands for the end of the topic.
    struct Page
    {
        std::string after;
        std::string last;
    };

    auto readPages() -> void
    {
        while (!pending.empty() && pagesInProgress < maxPagesInProgress) {
            auto page = std::move(pending.front());
            pending.pop_front();
            ++pagesInProgress;
            readPage(page);
        }
    }

    auto readPage(const Page &page) -> void
    {
        const auto sentAt = clock.now();
        store.readNewest({settings.topic, page.after, timeout}, [weak = weak_from_this(), page, sentAt](const NewestResult &result) {
            const auto self = weak.lock();
            if (!self || self->stopped) {
                return;
            }
            --self->pagesInProgress;
            if (result.ok) {
                self->applyPage(result, page.last, sentAt);
            } else {
                self->retry(page, sentAt);
            }
        });
    }

    auto retry(const Page &page, TimePoint sentAt) -> void
    {
        pending.push_front(page);
        // Pages that were requested together fail together.
        if (sentAt >= slowedDownAt) {
            slowedDownAt = clock.now();
            maxPagesInProgress = std::max<std::size_t>(maxPagesInProgress / 2, 1);
            timeout = std::min(timeout * 2, TopicScan::maxPageTimeout);
        }
        clock.schedule(settings.retryDelay, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && !self->stopped) {
                self->readPages();
            }
        });
        hooks.failed();
    }

    auto applyPage(const NewestResult &result, const std::string &last, TimePoint sentAt) -> void
    {
        auto records = result.records;
        bool more = result.hasMore && !records.empty();
        const auto next = records.empty() ? std::string() : records.back().key;
        if (!last.empty()) {
            // The page may reach into the next range.
            std::erase_if(records, [&](const KeyedRecord &r) { return r.key > last; });
            more = more && next < last;
        }
        if (more) {
            pending.push_front({next, last});
        }
        hooks.page(records, result.end, sentAt);
        if (stopped) {
            return;
        }
        if (!pending.empty()) {
            readPages();
        } else if (pagesInProgress == 0) {
            hooks.done();
        }
    }

    TopicScanSettings settings;
    const StoreHooks &store;
    const ClockHooks &clock;
    TopicScanHooks hooks;
    std::deque<Page> pending;
    std::size_t pagesInProgress = 0;
    std::size_t maxPagesInProgress = 1;
    Duration timeout = TopicScan::minPageTimeout;
    /// Pages requested earlier than this no longer slow the scan down.
    TimePoint slowedDownAt;
    bool stopped = false;
};

TopicScan::TopicScan(TopicScanSettings settings, const StoreHooks &store, const ClockHooks &clock, TopicScanHooks hooks)
    : m_state(std::make_shared<State>(std::move(settings), store, clock, std::move(hooks)))
{
}

TopicScan::~TopicScan()
{
    m_state->stopped = true;
}

auto TopicScan::start() -> void
{
    const auto state = m_state;
    const auto &splits = state->settings.splitKeys;
    for (std::size_t i = 0; i <= splits.size(); ++i) {
        state->pending.push_back({i == 0 ? std::string() : splits[i - 1], i < splits.size() ? splits[i] : std::string()});
    }
    state->maxPagesInProgress = state->pending.size();
    state->readPages();
}

} // namespace Acaciarail::Workflow
