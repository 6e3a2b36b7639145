#include <acaciarail/workflow/topic_scan.h>

#include <algorithm>
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

    /// Reads the keys after \a after, up to and including \a last; an empty \a last stands for the end of the topic.
    auto readPage(const std::string &after, const std::string &last) -> void
    {
        const auto sentAt = clock.now();
        store.readNewest(settings.topic, after, [weak = weak_from_this(), after, last, sentAt](const NewestResult &result) {
            const auto self = weak.lock();
            if (!self || self->stopped) {
                return;
            }
            if (result.ok) {
                self->applyPage(result, last, sentAt);
                return;
            }
            self->clock.schedule(self->settings.retryDelay, [weak, after, last] {
                const auto s = weak.lock();
                if (s && !s->stopped) {
                    s->readPage(after, last);
                }
            });
            self->hooks.failed();
        });
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
        hooks.page(records, result.end, sentAt);
        if (stopped) {
            return;
        }
        if (more) {
            readPage(next, last);
        } else if (--openRanges == 0) {
            hooks.done();
        }
    }

    TopicScanSettings settings;
    const StoreHooks &store;
    const ClockHooks &clock;
    TopicScanHooks hooks;
    std::size_t openRanges = 0;
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
    state->openRanges = splits.size() + 1;
    for (std::size_t i = 0; i <= splits.size(); ++i) {
        state->readPage(i == 0 ? std::string() : splits[i - 1], i < splits.size() ? splits[i] : std::string());
    }
}

} // namespace Acaciarail::Workflow
