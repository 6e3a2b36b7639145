#include "sim_world.h"

#include <acaciarail/workflow/topic_follower.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr const char *topicName = "keyed.workers";

/// A follower of a topic, and the newest value of each key that it has reported.
struct FollowerFixture
{
    auto follow(TopicFollowerSettings settings) -> void
    {
        storeHooks = store.hooks(reachable);
        clockHooks = {[this] { return clock.now(); }, [] { return std::chrono::milliseconds(); },
                      [this](Duration delay, std::function<void()> task) { clock.schedule(delay, std::move(task)); }};
        TopicFollowerHooks hooks;
        hooks.apply = [this](const KeyedRecord &r) { values[r.key] = r.value; };
        hooks.contact = [this](bool, std::optional<TimePoint> confirmedAt) {
            if (confirmedAt) {
                ++confirmations;
                lastConfirmedAt = std::max(lastConfirmedAt, *confirmedAt);
                checkConfirmed(*confirmedAt);
            }
        };
        follower = std::make_unique<TopicFollower>(std::move(settings), storeHooks, clockHooks, std::move(hooks));
        follower->start();
    }

    /// Appends a record of \a bytes for each of \a keys keys.
    auto append(std::size_t keys, std::size_t bytes, char fill) -> void
    {
        for (std::size_t i = 0; i < keys; ++i) {
            store.topics[topicName].records.push_back({"w" + std::to_string(i), std::string(bytes, fill)});
        }
    }

    /// Appends the next version of one key in \a bytes.
    auto appendVersion(std::size_t bytes) -> void
    {
        versions.push_back(clock.now());
        auto value = std::to_string(versions.size());
        value.resize(std::max(bytes, value.size()), ' ');
        store.topics[topicName].records.push_back({"config", std::move(value)});
    }

    auto appliedVersion() const -> std::size_t
    {
        const auto it = values.find("config");
        return it == values.end() ? 0 : std::stoul(it->second);
    }

    auto checkConfirmed(TimePoint confirmedAt) -> void
    {
        const auto appended = std::count_if(versions.begin(), versions.end(), [&](TimePoint t) { return t < confirmedAt; });
        const auto missing = appended - static_cast<std::ptrdiff_t>(appliedVersion());
        mostUnreadConfirmed = std::max(mostUnreadConfirmed, missing);
    }

    auto countWith(char fill) const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(values.begin(), values.end(), [&](const auto &v) { return !v.second.empty() && v.second[0] == fill; }));
    }

    SimClock clock;
    FakeStore store{clock, 1};
    std::shared_ptr<bool> reachable = std::make_shared<bool>(true);
    StoreHooks storeHooks;
    ClockHooks clockHooks;
    std::map<std::string, std::string> values;
    /// When each version of the key of appendVersion() was appended.
    std::vector<TimePoint> versions;
    std::size_t confirmations = 0;
    TimePoint lastConfirmedAt;
    /// Most versions that were appended before a time that was confirmed, and had not been applied.
    std::ptrdiff_t mostUnreadConfirmed = 0;
    std::unique_ptr<TopicFollower> follower;
};

} // namespace

BOOST_AUTO_TEST_SUITE(topicFollower)

struct BacklogCase
{
    const char *name;
    /// Speed of one response.
    double bytesPerSecond;
    std::size_t recordBytes;
    Duration limit;
};

auto operator<<(std::ostream &out, const BacklogCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<BacklogCase> backlogCases{
    {"a connection with a small window", 600'000, 400, 3s},
    {"a link of 2 Mbit/s", 250'000, 400, 6s},
    {"records larger than the smallest read", 250'000, 40'000, 8s},
};

// Workers write their entries while a store that discards its history answers nothing for some seconds. Guards against a follower that
// requests the whole backlog in one response, which never arrives within the timeout, so that it follows the workers no longer.
BOOST_DATA_TEST_CASE(aBacklogIsReadOverASlowConnection, data::make(backlogCases), c)
{
    FollowerFixture f;
    f.append(20, c.recordBytes, 'a');
    f.store.bytesPerSecond = c.bytesPerSecond;
    f.follow({.topic = topicName, .pause = 500ms, .reportsRemovals = true});
    f.clock.run(15s);
    BOOST_REQUIRE(f.countWith('a') == 20U);
    f.store.down = true;
    f.append(900'000 / c.recordBytes, c.recordBytes, 'b');
    f.clock.run(2s);
    f.store.down = false;
    f.clock.run(c.limit);
    BOOST_TEST(f.countWith('b') == 900'000 / c.recordBytes);
}

struct TailCase
{
    const char *name;
    std::optional<std::string> tailKey;
    /// Time after which a new record is known.
    Duration knownAfter;
};

auto operator<<(std::ostream &out, const TailCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<TailCase> tailCases{
    {"from the tail", "w0~", 100ms},
    {"after all records", std::nullopt, 3s},
};

// Guards against an instance that takes no part until it has read the records of a large fleet, and against records that a background scan
// overwrites with older ones.
BOOST_DATA_TEST_CASE(aFollowerOfALargeTopicReadsNewRecordsAtOnce, data::make(tailCases), c)
{
    constexpr std::size_t keyCount = 8000;
    FollowerFixture f;
    f.append(keyCount, 100, 'a');
    f.store.bytesPerSecond = 1e6;
    TopicFollowerSettings settings{.topic = topicName, .readWait = 1s};
    settings.tailKey = c.tailKey;
    settings.scanDelay = 20ms;
    f.follow(std::move(settings));
    f.clock.run(30ms);
    f.append(1, 100, 'b');
    f.clock.run(c.knownAfter);
    BOOST_TEST(f.countWith('b') == 1U);
    f.clock.run(5s);
    BOOST_TEST(f.follower->isLoaded());
    BOOST_TEST(f.countWith('b') == 1U);
    BOOST_TEST(f.countWith('a') == keyCount - 1);
    // The store discards records that have not been read yet.
    *f.reachable = false;
    f.clock.run(2s);
    f.append(keyCount, 100, 'c');
    f.store.retainedFrom = f.store.topics[topicName].records.size();
    *f.reachable = true;
    f.clock.run(10s);
    BOOST_TEST(f.countWith('c') == keyCount);
}

struct ConfirmationCase
{
    const char *name;
    std::size_t recordBytes;
    Duration appendInterval;
    /// The store discards what was appended during the cut; the newest record of each key can still be read.
    bool discardsHistory;
    std::optional<std::string> tailKey;
};

auto operator<<(std::ostream &out, const ConfirmationCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ConfirmationCase> confirmationCases{
    {"records larger than the smallest read", 74'000, 500ms, false, std::nullopt},
    {"many small records", 400, 20ms, false, std::nullopt},
    {"a history that is discarded", 74'000, 500ms, true, std::nullopt},
    {"a history that is discarded, read from the tail", 400, 20ms, true, "w0~"},
    {"many small records, read from the tail", 400, 20ms, false, "w0~"},
};

// Guards against a follower that reports as read what it has yet to read, after a cut or a discarded history; an instance would go on to
// trust API keys that were taken away.
BOOST_DATA_TEST_CASE(aConfirmationCoversOnlyWhatWasRead, data::make(confirmationCases), c)
{
    FollowerFixture f;
    f.append(20, 400, 'a');
    f.appendVersion(c.recordBytes);
    f.store.latency = 8ms;
    TopicFollowerSettings settings{.topic = topicName, .readWait = 1s};
    settings.tailKey = c.tailKey;
    settings.scanDelay = 100ms;
    f.follow(std::move(settings));
    f.clock.run(3s);
    *f.reachable = false;
    for (Duration elapsed{}; elapsed < 9s; elapsed += c.appendInterval) {
        f.clock.run(c.appendInterval);
        f.appendVersion(c.recordBytes);
    }
    if (c.discardsHistory) {
        f.store.retainedFrom = f.store.topics[topicName].records.size();
    }
    const auto before = f.confirmations;
    *f.reachable = true;
    f.clock.run(2s);
    f.appendVersion(c.recordBytes);
    f.clock.run(2s);
    BOOST_TEST(f.appliedVersion() == f.versions.size());
    BOOST_TEST(f.confirmations > before);
    BOOST_TEST(f.mostUnreadConfirmed == 0);
}

// Guards against a look-up that takes a job for unknown because only a part of the new records was read.
BOOST_AUTO_TEST_CASE(aRefreshReadsUpToTheEndOfTheTopic)
{
    FollowerFixture f;
    f.append(1, 400, 'a');
    TopicFollowerSettings settings{.topic = topicName, .pause = 60s};
    settings.maxReadBytes = settings.minReadBytes;
    f.follow(std::move(settings));
    f.clock.run(1s);
    f.append(200, 400, 'b');
    std::optional<std::size_t> known;
    f.follower->refresh([&](bool ok) { known = ok ? f.countWith('b') : 0; });
    f.clock.run(2s);
    BOOST_REQUIRE(known.has_value());
    BOOST_TEST(*known == 200U);
}

// Guards against API keys that are no longer trusted because one connection went silent: the read that follows its timeout must confirm the
// end of the topic at once.
BOOST_DATA_TEST_CASE(aSilentConnectionDelaysTheConfirmationByLittle, data::xrange(0, 2100, 90), offsetMs)
{
    const EngineSettings settings;
    FollowerFixture f;
    f.append(1, 400, 'a');
    f.follow({.topic = topicName, .readWait = settings.configurationReadWait});
    f.clock.run(5s + std::chrono::milliseconds(offsetMs));
    // One read is sent during the cut, or its response is, and never arrives.
    *f.reachable = false;
    f.clock.run(100ms);
    *f.reachable = true;
    Duration oldest{};
    for (int i = 0; i < 600; ++i) {
        f.clock.run(10ms);
        oldest = std::max(oldest, f.clock.now() - f.lastConfirmedAt);
    }
    BOOST_TEST(toMilliseconds(oldest).count() <= toMilliseconds(settings.keyRevocationDelay - settings.keyRevocationMargin).count());
}

// Guards against reads at the poll interval beside others that have just reached the end of the topic.
BOOST_AUTO_TEST_CASE(aReadForAnotherPurposeReplacesAPoll)
{
    FollowerFixture f;
    f.append(1, 400, 'a');
    f.follow({.topic = topicName, .pause = 1s});
    f.clock.run(5s);
    const auto before = f.store.calls["read keyed.workers"];
    for (int i = 0; i < 50; ++i) {
        f.follower->refresh([](bool) {});
        f.clock.run(200ms);
    }
    BOOST_TEST(f.store.calls["read keyed.workers"] - before <= 51U);
    f.append(1, 400, 'b');
    f.clock.run(1100ms);
    BOOST_TEST(f.countWith('b') == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
