#include "raw_socket.h"

#include <acaciarail/runtime.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Runtime;
using namespace Acaciarail::Tests;
namespace data = boost::unit_test::data;

// Guards against tasks that are lost or run out of order when several threads post while the loop runs.
BOOST_AUTO_TEST_CASE(postIsThreadSafeAndKeepsOrder)
{
    constexpr int threads = 4;
    constexpr int perThread = 2000;
    EventLoop loop;
    std::vector<std::vector<int>> delivered(threads);
    int total = 0;
    std::vector<std::thread> posters;
    posters.reserve(threads);
    for (int t = 0; t < threads; ++t) {
        posters.emplace_back([&loop, &delivered, &total, t] {
            for (int i = 0; i < perThread; ++i) {
                loop.post([&delivered, &total, t, i] {
                    delivered[t].push_back(i);
                    ++total;
                });
            }
        });
    }
    BOOST_TEST(loop.runUntil([&total] { return total == threads * perThread; }, maxWait));
    for (auto &it : posters) {
        it.join();
    }
    for (const auto &it : delivered) {
        BOOST_TEST(it.size() == perThread);
        BOOST_TEST(std::is_sorted(it.begin(), it.end()));
    }
}

// Guards against a stop request that is lost because it comes before run() or from another thread.
BOOST_AUTO_TEST_CASE(stopEndsRun)
{
    EventLoop loop;
    loop.stop();
    loop.run();
    std::thread stopper([&loop] { loop.stop(); });
    loop.run();
    stopper.join();
}

// Guards against timers that fire in the wrong order, fire after cancel(), or crash when destroyed by their own hook.
BOOST_AUTO_TEST_CASE(timersFireInOrderAndCanBeDestroyedByTheirHook)
{
    EventLoop loop;
    std::string order;
    Timer late(loop, [&order] { order += 'b'; });
    Timer never(loop, [&order] { order += 'x'; });
    auto early = std::make_unique<Timer>(loop, std::function<void()>());
    early = std::make_unique<Timer>(loop, [&order, &early, &never] {
        order += 'a';
        early.reset();
        never.cancel();
    });
    never.start(15ms);
    late.start(20ms);
    early->startRepeating(1ms);
    BOOST_TEST(late.pending());
    BOOST_TEST(loop.runUntil([&order] { return order.size() >= 2; }, maxWait));
    BOOST_TEST(order == "ab");
    BOOST_TEST(!never.pending());
}

// Guards against a mailbox that calls its handler inside send(), grows without bound, or delivers after it was destroyed.
BOOST_AUTO_TEST_CASE(mailboxDeliversOnTheLoopAndIsBounded)
{
    EventLoop loop;
    std::vector<int> delivered;
    auto mailbox = std::make_unique<Mailbox<int>>(
        loop, [&delivered](int n) { delivered.push_back(n); }, 2);
    BOOST_TEST(mailbox->send(1));
    BOOST_TEST(mailbox->send(2));
    BOOST_TEST(!mailbox->send(3));
    BOOST_TEST(delivered.empty());
    BOOST_TEST(loop.runUntil([&delivered] { return delivered.size() == 2; }, maxWait));
    BOOST_TEST(mailbox->send(4));
    mailbox.reset();
    bool done = false;
    loop.post([&done] { done = true; });
    BOOST_TEST(loop.runUntil([&done] { return done; }, maxWait));
    BOOST_TEST((delivered == std::vector{1, 2}));
}

// Guards against delays that do not grow, exceed the limit, or are the same for two processes.
BOOST_AUTO_TEST_CASE(backoffGrowsToItsLimitWithJitter)
{
    Backoff a(100ms, 1s, 1);
    Backoff b(100ms, 1s, 2);
    std::vector<Duration> first;
    std::vector<Duration> second;
    Duration bound = 100ms;
    for (int i = 0; i < 10; ++i) {
        first.push_back(a.next());
        second.push_back(b.next());
        BOOST_TEST((first.back() >= bound / 2 && first.back() <= bound));
        bound = std::min<Duration>(bound * 2, 1s);
    }
    BOOST_TEST((first != second));
    a.reset();
    BOOST_TEST((a.next() <= 100ms));
}

struct AddressCase
{
    std::string text;
    std::optional<SocketAddress> expected;

    friend auto operator<<(std::ostream &out, const AddressCase &c) -> std::ostream &
    {
        return out << c.text;
    }
};

static const AddressCase addressCases[] = {
    {"127.0.0.1:80", SocketAddress{"127.0.0.1", 80}},
    {"[::1]:65535", SocketAddress{"::1", 65535}},
    {"127.0.0.1:65536", std::nullopt},
    {"127.0.0.1:-1", std::nullopt},
    {"127.0.0.1:", std::nullopt},
    {"127.0.0.1", std::nullopt},
    {"::1:80", std::nullopt},
    {"localhost:80", std::nullopt},
    {"", std::nullopt},
    {std::string("127.0.0.1\0x:80", 14), std::nullopt},
};

// Guards against addresses from the platform's list that would block the loop in a name lookup or overflow the port.
BOOST_DATA_TEST_CASE(onlyNumericAddressesAreParsed, data::make(addressCases), c)
{
    const auto parsed = parseSocketAddress(c.text);
    BOOST_TEST((parsed == c.expected));
    if (parsed) {
        BOOST_TEST(parsed->str() == c.text);
    }
}

// Guards against delayed calls that are made out of order or twice, or are lost when another call adds them.
BOOST_AUTO_TEST_CASE(delayedCallsComeInOrderAndOnce)
{
    EventLoop loop;
    std::vector<int> calls;
    loop.callAfter(20ms, [&] { calls.push_back(2); });
    loop.callAfter(-1ms, [&] {
        calls.push_back(1);
        // A call may add others.
        loop.callAfter(40ms, [&] {
            calls.push_back(3);
            loop.stop();
        });
    });
    loop.run();
    BOOST_TEST((calls == std::vector{1, 2, 3}));
}

// Guards against a delayed call that is made although its loop was destroyed before it was due.
BOOST_AUTO_TEST_CASE(delayedCallsThatAreStillDueAreDroppedWithTheLoop)
{
    bool called = false;
    {
        EventLoop loop;
        loop.callAfter(1h, [&, kept = std::make_shared<int>(1)] { called = kept != nullptr; });
    }
    BOOST_TEST(!called);
}
