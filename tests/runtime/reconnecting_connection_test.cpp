#include "raw_socket.h"

#include <acaciarail/core.h>
#include <acaciarail/runtime.h>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Runtime;
using namespace Acaciarail::Tests;

// Guards against attempts at a high rate to reach a server that accepts connections and closes them at once.
BOOST_AUTO_TEST_CASE(acceptedConnectionsDoNotResetTheBackoff)
{
    EventLoop loop;
    int accepted = 0;
    FrameServer server(loop, {}, [&accepted](const std::unique_ptr<FrameConnection> &) { ++accepted; });
    BOOST_REQUIRE(!server.listen());
    ReconnectingConnection connection(loop, server.address(), {{}, 1ms, 1h}, {}, 1);
    connection.connect();
    BOOST_REQUIRE(loop.runUntil([&accepted] { return accepted >= 3; }, maxWait));
    bool passed = false;
    Timer end(loop, [&passed] { passed = true; });
    end.start(200ms);
    BOOST_REQUIRE(loop.runUntil([&passed] { return passed; }, maxWait));
    // With doubling delays, this many attempts would take more than an hour; with a constant delay they take 25 ms.
    BOOST_TEST(accepted < 25);
    BOOST_TEST((connection.send("x") == make_error_code(Error::ConnectionLost)));
}

// Guards against a delay that stays long although the server replies, and against a handshake that is not the first frame.
BOOST_AUTO_TEST_CASE(repliesResetTheBackoffAndGreetingComesFirst)
{
    EventLoop loop;
    std::vector<std::string> frames;
    std::unique_ptr<FrameConnection> accepted;
    int closes = 0;
    FrameServer server(loop, {}, [&](std::unique_ptr<FrameConnection> c) {
        accepted = std::move(c);
        FrameHooks hooks;
        hooks.received = [&](std::string_view content) {
            frames.emplace_back(content);
            static_cast<void>(accepted->send("reply"));
        };
        accepted->setHooks(std::move(hooks));
    });
    BOOST_REQUIRE(!server.listen());
    int replies = 0;
    ReconnectHooks hooks;
    hooks.handshake = [] { return std::string("hello"); };
    hooks.received = [&](std::string_view) {
        ++replies;
        accepted.reset();
    };
    hooks.down = [&closes](const CloseInfo &) { ++closes; };
    // Without a reset, forty doublings of the delay would exceed the time limit of the test.
    ReconnectingConnection connection(loop, server.address(), {{}, 1ms, 1000h}, hooks, 1);
    BOOST_TEST(!connection.send("message"));
    BOOST_REQUIRE(loop.runUntil([&] { return replies >= 40 && closes >= 40; }, maxWait));
    BOOST_TEST(frames[0] == "hello");
}

// Guards against waiting forever for a server that accepts the handshake and never replies.
BOOST_AUTO_TEST_CASE(unansweredGreetingTimesOut)
{
    EventLoop loop;
    const RawSocket listener;
    std::vector<std::string> downs;
    ReconnectHooks hooks;
    hooks.handshake = [] { return std::string("hello"); };
    hooks.down = [&downs](const CloseInfo &info) { downs.emplace_back(closeReasonName(info.reason)); };
    ReconnectingConnection connection(loop, {"127.0.0.1", listener.listen()}, {{.progressTimeout = 20ms}, 100ms, 5s}, hooks, 1);
    connection.connect();
    BOOST_REQUIRE(loop.runUntil([&downs] { return !downs.empty(); }, maxWait));
    BOOST_TEST(downs[0] == "progress-timeout");
}
