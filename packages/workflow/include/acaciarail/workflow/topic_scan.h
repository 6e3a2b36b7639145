#pragma once

#include <acaciarail/workflow/store.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Acaciarail::Workflow {

struct TopicScanSettings
{
    std::string topic;
    /// Keys at which the scan is divided, in ascending order. The ranges between them are read at the same time, since each page costs a
    /// round trip.
    std::vector<std::string> splitKeys;
    /// Delay before a page that could not be read is requested again.
    Duration retryDelay = 200ms;
};

struct TopicScanHooks
{
    /// Called with the records of a page, in no particular order of the pages. \c end is the end of the topic before the page was read.
    std::function<void(const std::vector<KeyedRecord> &records, std::uint64_t end, TimePoint sentAt)> page;
    /// Called when a page could not be read.
    std::function<void()> failed;
    /// Called once after the last page.
    std::function<void()> done;
};

/// Reads the newest record of every key of a topic, page by page. The pages are not a snapshot. A page that fails is read again on its own,
/// with twice the time for its response, and fewer pages are read at the same time: over a slow link they would otherwise never arrive.
/// Not thread-safe.
class TopicScan
{
public:
    /// Timeout of the first attempt to read a page, and the longest one.
    static constexpr Duration minPageTimeout = 1s;
    static constexpr Duration maxPageTimeout = 8s;

    /// \pre \a store and \a clock stay valid.
    TopicScan(TopicScanSettings settings, const StoreHooks &store, const ClockHooks &clock, TopicScanHooks hooks);
    /// No hook is called afterwards.
    ~TopicScan();
    TopicScan(const TopicScan &) = delete;
    auto operator=(const TopicScan &) -> TopicScan & = delete;

    /// Requests the first pages. A hook may destroy the scan. \pre not started.
    auto start() -> void;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Workflow
