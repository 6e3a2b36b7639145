#include "raw_socket.h"

#include <acaciarail/core.h>
#include <acaciarail/runtime.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <sys/resource.h>

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

/// A server that stores the frames and the close reason that it receives.
struct Receiver
{
    explicit Receiver(FrameServerSettings settings = {})
        : server(loop, std::move(settings), [this](auto c) { accept(std::move(c)); })
    {
        BOOST_REQUIRE(!server.listen());
        BOOST_REQUIRE(server.port() != 0);
    }

    auto accept(std::unique_ptr<FrameConnection> c) -> void
    {
        FrameHooks hooks;
        hooks.received = [this](std::string_view content) { frames.emplace_back(content); };
        hooks.closed = [this](const CloseInfo &info) { closed = info; };
        c->setHooks(std::move(hooks));
        connections.push_back(std::move(c));
    }

    auto runUntil(const std::function<bool()> &done) -> bool
    {
        return loop.runUntil(done, maxWait);
    }

    EventLoop loop;
    std::vector<std::string> frames;
    std::optional<CloseInfo> closed;
    std::vector<std::unique_ptr<FrameConnection>> connections;
    FrameServer server;
};

namespace {

struct StreamCase
{
    std::string name;
    std::string bytes;
    std::size_t frames;
    CloseReason reason;

    friend auto operator<<(std::ostream &out, const StreamCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const StreamCase streamCases[] = {
    {"nothing", "", 0, CloseReason::ClosedByPeer},
    {"half a header", std::string("\0\0", 2), 0, CloseReason::ClosedByPeer},
    {"header without content", std::string("\0\0\0\5", 4), 0, CloseReason::ClosedByPeer},
    {"truncated content", frame("whole") + frame("truncated").substr(0, 8), 1, CloseReason::ClosedByPeer},
    {"one byte too large", std::string("\x00\x10\x00\x01", 4), 0, CloseReason::FrameTooLarge},
    {"largest length", std::string("\xff\xff\xff\xff", 4), 0, CloseReason::FrameTooLarge},
    {"text of another protocol", "GET / HTTP/1.1\r\n\r\n", 0, CloseReason::FrameTooLarge},
    {"oversized after a good one", frame("good") + std::string("\x7f\xff\xff\xff", 4), 1, CloseReason::FrameTooLarge},
};

} // namespace

// Guards against truncated, oversized and foreign input that is decoded as a frame, allocates memory, or leaves the connection open.
BOOST_DATA_TEST_CASE(faultyStreamsCloseTheConnection, data::make(streamCases), c)
{
    Receiver receiver;
    RawSocket socket;
    BOOST_REQUIRE(socket.connect(receiver.server.port()));
    socket.write(c.bytes);
    if (c.reason == CloseReason::ClosedByPeer) {
        socket.close();
    }
    BOOST_REQUIRE(receiver.runUntil([&receiver] { return receiver.closed.has_value(); }));
    BOOST_TEST(closeReasonName(receiver.closed->reason) == closeReasonName(c.reason));
    BOOST_TEST(receiver.frames.size() == c.frames);
    BOOST_TEST(receiver.server.connectionCount() == 0U);
    BOOST_TEST(receiver.connections.at(0)->isClosed());
}

// Guards against frames that are lost or joined at the sizes where buffers end.
BOOST_DATA_TEST_CASE(framesArriveWhole, data::make({std::size_t{0}, std::size_t{1}, std::size_t{65536}, maxFrameBytes}), size)
{
    Receiver receiver;
    bool connected = false;
    FrameHooks hooks;
    hooks.connected = [&connected] { connected = true; };
    const auto sender = FrameConnection::connect(receiver.loop, receiver.server.address(), {}, hooks);
    BOOST_TEST(!connected);
    BOOST_TEST(!sender->send(std::string(size, 'a')));
    BOOST_TEST(!sender->send("next"));
    BOOST_REQUIRE(receiver.runUntil([&receiver] { return receiver.frames.size() == 2; }));
    BOOST_TEST(connected);
    BOOST_TEST((receiver.frames[0] == std::string(size, 'a')));
    BOOST_TEST(receiver.frames[1] == "next");
    BOOST_TEST((sender->send(std::string(maxFrameBytes + 1, 'a')) == make_error_code(Error::TooLarge)));
}

// Guards against frame boundaries that depend on how TCP divides the stream.
BOOST_AUTO_TEST_CASE(anyDivisionOfTheStreamGivesTheSameFrames)
{
    Receiver receiver;
    BOOST_TEST(rc::check("frames survive any division", [&receiver] {
        const auto contents = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        const auto cuts = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40));
        std::string stream;
        for (const auto &it : contents) {
            stream += frame(it);
        }
        receiver.frames.clear();
        receiver.closed.reset();
        RawSocket socket;
        RC_ASSERT(socket.connect(receiver.server.port()));
        std::string_view rest = stream;
        for (const auto cut : cuts) {
            socket.write(rest.substr(0, cut));
            rest.remove_prefix(std::min(cut, rest.size()));
            receiver.loop.runUntil([] { return false; }, 1us);
        }
        socket.write(rest);
        socket.close();
        RC_ASSERT(receiver.runUntil([&receiver] { return receiver.closed.has_value(); }));
        RC_ASSERT(receiver.frames == contents);
    }));
}

// Guards against a slow reader that makes the writer's memory grow, and against a queue that stays blocked after the reader caught up.
BOOST_AUTO_TEST_CASE(slowReaderIsBounded)
{
    EventLoop loop;
    RawSocket listener;
    const SocketAddress address{"127.0.0.1", listener.listen()};
    const auto sender = FrameConnection::connect(loop, address, {}, {});
    const RawSocket reader(listener.accept());
    const std::string content(100'000, 'x');
    std::size_t written = 0;
    std::error_code error;
    // The kernel's buffers take part of the data first.
    while (!error && written < 10'000) {
        error = sender->send(content);
        written += error ? 0 : 1;
        loop.runUntil([] { return false; }, 1us);
    }
    BOOST_TEST(error == make_error_code(Error::Overloaded));
    BOOST_TEST(sender->queuedBytes() <= FrameSettings{}.maxQueuedBytes);
    std::size_t read = 0;
    const auto expected = written * (content.size() + frameHeaderBytes);
    BOOST_TEST(loop.runUntil(
        [&] {
            read += reader.readAvailable().size();
            loop.post([] {});
            return read == expected;
        },
        maxWait));
    BOOST_TEST(!sender->send(content));
}

struct ConnectCase
{
    std::string name;
    std::string host;
    bool backlogFull;
    CloseReason reason;

    friend auto operator<<(std::ostream &out, const ConnectCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

static const ConnectCase connectCases[] = {
    {"no listener", "127.0.0.1", false, CloseReason::ConnectFailed},
    {"host is a name", "localhost", false, CloseReason::ConnectFailed},
    {"packets are dropped", "127.0.0.1", true, CloseReason::ConnectTimeout},
};

// Guards against attempts to connect that never end or that report their failure from inside the call.
BOOST_DATA_TEST_CASE(failedAttemptsAreReported, data::make(connectCases), c)
{
    EventLoop loop;
    RawSocket listener;
    const auto port = listener.listen(0);
    std::vector<std::unique_ptr<FrameConnection>> fillers;
    if (c.backlogFull) {
        for (int i = 0; i < 4; ++i) {
            fillers.push_back(FrameConnection::connect(loop, {"127.0.0.1", port}, {}, {}));
        }
        loop.runUntil([&fillers] { return fillers[0]->isOpen(); }, maxWait);
    } else {
        listener.close();
    }
    std::optional<CloseInfo> closed;
    FrameHooks hooks;
    hooks.closed = [&closed](const CloseInfo &info) { closed = info; };
    const auto connection = FrameConnection::connect(loop, {c.host, port}, {.connectTimeout = 50ms}, hooks);
    BOOST_TEST(!closed.has_value());
    BOOST_REQUIRE(loop.runUntil([&closed] { return closed.has_value(); }, maxWait));
    BOOST_TEST(closeReasonName(closed->reason) == closeReasonName(c.reason));
    BOOST_TEST((connection->send("late") == make_error_code(Error::ConnectionLost)));
}

// Guards against requests that never end on a connection without replies, and against closing idle connections that expect none.
BOOST_AUTO_TEST_CASE(onlyConnectionsThatExpectRepliesTimeOut)
{
    EventLoop loop;
    RawSocket listener;
    const SocketAddress address{"127.0.0.1", listener.listen()};
    std::vector<std::string> closed;
    const auto hooksFor = [&closed](const std::string &name) {
        FrameHooks hooks;
        hooks.closed = [&closed, name](const CloseInfo &info) { closed.push_back(name + ' ' + std::string(closeReasonName(info.reason))); };
        return hooks;
    };
    const FrameSettings settings{.progressTimeout = 20ms};
    const auto idle = FrameConnection::connect(loop, address, settings, hooksFor("idle"));
    const auto answered = FrameConnection::connect(loop, address, settings, hooksFor("answered"));
    answered->expectReplies(2);
    answered->repliesArrived(1);
    BOOST_TEST(answered->expectedReplies() == 1U);
    answered->repliesArrived(5);
    BOOST_TEST(answered->expectedReplies() == 0U);
    const auto silent = FrameConnection::connect(loop, address, settings, hooksFor("silent"));
    silent->expectReplies();
    BOOST_TEST(loop.runUntil([&closed] { return !closed.empty(); }, maxWait));
    // The timeout once more, now counted from an established connection.
    const auto second = FrameConnection::connect(loop, address, settings, hooksFor("second"));
    BOOST_TEST(loop.runUntil([&second] { return second->isOpen(); }, maxWait));
    second->expectReplies();
    BOOST_TEST(loop.runUntil([&closed] { return closed.size() >= 2; }, maxWait));
    BOOST_TEST((closed == std::vector<std::string>{"silent progress-timeout", "second progress-timeout"}));
    BOOST_TEST(idle->isOpen());
    BOOST_TEST(answered->isOpen());
}

// Guards against a process that closes all its connections after it was paused itself.
BOOST_AUTO_TEST_CASE(pauseOfTheProcessIsNotATimeout)
{
    constexpr Duration timeout = 50ms;
    EventLoop loop;
    std::unique_ptr<FrameConnection> accepted;
    FrameServer server(loop, {}, [&accepted](auto c) {
        accepted = std::move(c);
        FrameHooks hooks;
        hooks.received = [&accepted](std::string_view) { static_cast<void>(accepted->send("reply")); };
        accepted->setHooks(std::move(hooks));
    });
    BOOST_REQUIRE(!server.listen());
    std::optional<CloseInfo> closed;
    bool replied = false;
    FrameHooks hooks;
    hooks.received = [&replied](std::string_view) { replied = true; };
    hooks.closed = [&closed](const CloseInfo &info) { closed = info; };
    const auto client = FrameConnection::connect(loop, server.address(), {.progressTimeout = timeout}, hooks);
    BOOST_REQUIRE(loop.runUntil([&] { return client->isOpen() && accepted; }, maxWait));
    // Simulates the pause: the request is written, but no event is handled for much longer than the timeout.
    loop.post([&client, timeout] {
        static_cast<void>(client->send("request"));
        client->expectReplies();
        std::this_thread::sleep_for(3 * timeout);
    });
    BOOST_REQUIRE(loop.runUntil([&] { return replied || closed; }, maxWait));
    BOOST_TEST(replied);
    BOOST_TEST(!closed.has_value());
}

// Guards against use after free when a hook destroys its own connection.
BOOST_AUTO_TEST_CASE(hooksMayDestroyTheirConnection)
{
    EventLoop loop;
    std::unique_ptr<FrameConnection> accepted;
    int received = 0;
    FrameServer server(loop, {}, [&accepted, &received](auto c) {
        accepted = std::move(c);
        FrameHooks hooks;
        hooks.received = [&accepted, &received](std::string_view content) {
            accepted.reset();
            received += content == "first" ? 1 : 100;
        };
        accepted->setHooks(std::move(hooks));
    });
    BOOST_REQUIRE(!server.listen());
    bool closed = false;
    std::unique_ptr<FrameConnection> sender;
    FrameHooks hooks;
    hooks.closed = [&sender, &closed](const CloseInfo &) {
        sender.reset();
        closed = true;
    };
    sender = FrameConnection::connect(loop, server.address(), {}, hooks);
    BOOST_TEST(!sender->send("first"));
    BOOST_TEST(!sender->send("second"));
    BOOST_TEST(loop.runUntil([&closed] { return closed; }, maxWait));
    BOOST_TEST(received == 1);
    BOOST_TEST(server.connectionCount() == 0U);
}

// Guards against an unlimited number of connections, and against a count that keeps connections that have closed.
BOOST_AUTO_TEST_CASE(serverLimitsItsConnections)
{
    Receiver receiver({{}, {}, 1});
    RawSocket first;
    BOOST_REQUIRE(first.connect(receiver.server.port()));
    BOOST_TEST(receiver.runUntil([&receiver] { return receiver.connections.size() == 1; }));
    const RawSocket second;
    BOOST_REQUIRE(second.connect(receiver.server.port()));
    BOOST_TEST(receiver.runUntil([&receiver, &second] {
        receiver.loop.post([] {});
        return second.isClosedByPeer();
    }));
    first.close();
    BOOST_TEST(receiver.runUntil([&receiver] { return receiver.server.connectionCount() == 0; }));
    const RawSocket third;
    BOOST_REQUIRE(third.connect(receiver.server.port()));
    BOOST_TEST(receiver.runUntil([&receiver] { return receiver.connections.size() == 2; }));
}

// Guards against a listener that stops accepting, or keeps the loop busy, after the process ran out of descriptors.
BOOST_AUTO_TEST_CASE(serverRecoversFromDescriptorExhaustion)
{
    Receiver receiver;
    const RawSocket socket;
    rlimit limits{};
    BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &limits) == 0);
    const auto nextDescriptor = ::dup(0);
    ::close(nextDescriptor);
    const rlimit lowered{static_cast<rlim_t>(nextDescriptor), limits.rlim_max};
    BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    const auto connected = socket.connect(receiver.server.port());
    for (int i = 0; i < 10; ++i) {
        receiver.loop.runUntil([] { return false; }, 1us);
    }
    const auto acceptedWithout = receiver.connections.size();
    BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &limits) == 0);
    BOOST_TEST(connected);
    BOOST_TEST(acceptedWithout == 0U);
    BOOST_TEST(receiver.runUntil([&receiver] { return receiver.connections.size() == 1; }));
}

// Guards against a server that reports success for a port that is in use.
BOOST_AUTO_TEST_CASE(portInUseIsAnError)
{
    Receiver receiver;
    FrameServer second(receiver.loop, {receiver.server.address(), {}, 1}, [](auto) {});
    BOOST_TEST((second.listen() == std::errc::address_in_use));
}

// Guards against a refused frame whose reason does not reach the owner of the connection.
BOOST_AUTO_TEST_CASE(rejectReportsItsError)
{
    Receiver receiver;
    const RawSocket socket;
    BOOST_REQUIRE(socket.connect(receiver.server.port()));
    BOOST_REQUIRE(receiver.runUntil([&receiver] { return !receiver.connections.empty(); }));
    receiver.connections[0]->reject(Error::UnknownVersion);
    BOOST_REQUIRE(receiver.closed.has_value());
    BOOST_TEST(closeReasonName(receiver.closed->reason) == "frame-refused");
    BOOST_TEST((receiver.closed->error == make_error_code(Error::UnknownVersion)));
}
