#include "../runtime/raw_socket.h"

#include <acaciarail/core.h>
#include <acaciarail/peer.h>
#include <acaciarail/runtime.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Peer;
using namespace Acaciarail::Tests;
namespace data = boost::unit_test::data;

/// Short enough for a test to wait for it, and long enough that it does not expire only because the machine is busy.
constexpr Duration shortTimeout = 200ms;

/// The links of one instance, and the arguments that their hooks were called with.
struct Instance
{
    Instance(Runtime::EventLoop &loop, const std::string &name, const Runtime::SocketAddress &address = {},
             Duration progressTimeout = maxWait)
        : links(loop, settingsFor(name, address, progressTimeout), hooks(), std::hash<std::string>{}(name))
    {
        BOOST_REQUIRE(!links.listen());
    }

    static auto settingsFor(const std::string &name, const Runtime::SocketAddress &address, Duration progressTimeout) -> PeerLinksSettings
    {
        return {.self = InstanceName(name),
                .incarnation = 1,
                .server = {address, {.progressTimeout = progressTimeout}, 64},
                .helloTimeout = progressTimeout,
                .acknowledgeAfter = 5ms,
                .minBackoff = 1ms,
                .maxBackoff = 8ms};
    }

    auto hooks() -> PeerLinksHooks
    {
        return {
            [this](const InstanceName &from, const Message &m) { received.emplace_back(from.str(), m); },
            [this](const InstanceName &) { ++ups; },
            [this](const InstanceName &, const Runtime::CloseInfo &info) { downs.emplace_back(Runtime::closeReasonName(info.reason)); }};
    }

    std::vector<std::pair<std::string, Message>> received;
    int ups = 0;
    std::vector<std::string> downs;
    PeerLinks links;
};

/// Two instances; the first one has the address of the second.
struct PeerFixture
{
    explicit PeerFixture(Duration timeout = maxWait)
        : progressTimeout(timeout)
    {
        BOOST_REQUIRE(!a.links.setPeer(nameB, b.links.address().str()));
    }

    auto runUntil(const std::function<bool()> &done) -> bool
    {
        return loop.runUntil(done, maxWait);
    }

    const InstanceName nameA{"a"};
    const InstanceName nameB{"b"};
    const Duration progressTimeout;
    Runtime::EventLoop loop;
    Instance a{loop, "a", {}, progressTimeout};
    Instance b{loop, "b", {}, progressTimeout};
};

/// The handshake frame with the name of an instance.
static auto hello(const std::string &name) -> std::string
{
    return encode(std::tuple(1, 0, std::tuple(name, 1)));
}

// Guards against messages that arrive altered or with a wrong sender, and against replies that need the sender's address.
BOOST_AUTO_TEST_CASE(messagesUseOneConnectionInBothDirections)
{
    PeerFixture f;
    BOOST_TEST(!f.a.links.isUp(f.nameB));
    BOOST_TEST((f.b.links.send(f.nameA, SnapshotRequest{}) == make_error_code(Error::NoEndpoint)));
    BOOST_TEST(!f.a.links.send(f.nameB, RecordsRequest{17}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.b.received.size() == 1; }));
    BOOST_TEST(f.b.received[0].first == "a");
    BOOST_TEST(std::get<RecordsRequest>(f.b.received[0].second).from == 17U);
    BOOST_TEST(!f.b.links.send(f.nameA, Records{{{17, "record"}}}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.a.received.size() == 1; }));
    BOOST_TEST(f.a.received[0].first == "b");
    BOOST_TEST((std::get<Records>(f.a.received[0].second).entries == std::vector<LogEntry>{{17, "record"}}));
    BOOST_TEST(f.a.ups == 1);
    BOOST_TEST(f.b.links.acceptedCount() == 1U);
    BOOST_TEST(f.a.links.acceptedCount() == 0U);
}

// Guards against messages that are refused or truncated although they fit into a frame.
BOOST_AUTO_TEST_CASE(largestMessagesArrive)
{
    PeerFixture f;
    const std::string part(Runtime::maxFrameBytes - 64, 'x');
    BOOST_TEST(!f.a.links.send(f.nameB, SnapshotPart{1, 0, 2, part}));
    BOOST_TEST(!f.a.links.send(f.nameB, SnapshotPart{1, 1, 2, part}));
    const auto tooLarge = f.a.links.send(f.nameB, SnapshotPart{1, 0, 1, std::string(Runtime::maxFrameBytes, 'x')});
    BOOST_TEST((tooLarge == make_error_code(Error::TooLarge)));
    BOOST_REQUIRE(f.runUntil([&f] { return f.b.received.size() == 2; }));
    BOOST_TEST((std::get<SnapshotPart>(f.b.received[1].second).bytes == part));
}

struct FrameCase
{
    std::string name;
    std::string bytes;
    std::size_t received;

    friend auto operator<<(std::ostream &out, const FrameCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

static const FrameCase frameCases[] = {
    {"nothing sent", "", 0},
    {"message before the name", frame(encodeMessage(Message(RecordsRequest{1}))), 0},
    {"empty frame before the name", frame(""), 0},
    {"empty name", frame(hello("")), 0},
    {"long name", frame(hello(std::string(257, 'x'))), 0},
    {"own name", frame(hello("b")), 0},
    {"garbage", frame(hello("x")) + frame("garbage"), 0},
    {"unknown version", frame(hello("x")) + frame(encode(std::tuple(99, 0, std::vector<int>{}))), 0},
    {"unknown type after a message",
     frame(hello("x")) + frame(encodeMessage(Message(RecordsRequest{1}))) + frame(encode(std::tuple(1, 99, std::vector<int>{}))), 1},
    {"oversized", frame(hello("x")) + std::string("\x00\x20\x00\x00", 4), 0},
    {"another protocol", "GET / HTTP/1.1\r\n\r\n", 0},
};

// Guards against faulty frames, of peers or other programs, that are treated as valid, leave the connection open, or affect other peers.
BOOST_DATA_TEST_CASE(faultyFramesCloseTheConnection, data::make(frameCases), c)
{
    PeerFixture f(c.bytes.empty() ? shortTimeout : maxWait);
    const RawSocket socket;
    BOOST_REQUIRE(socket.connect(f.b.links.address().port));
    socket.write(c.bytes);
    BOOST_REQUIRE(f.runUntil([&] {
        f.loop.post([] {});
        static_cast<void>(socket.readAvailable());
        return socket.isClosedByPeer();
    }));
    BOOST_TEST(f.b.links.acceptedCount() == 0U);
    BOOST_TEST(f.b.received.size() == c.received);
    BOOST_TEST(!f.a.links.send(f.nameB, RecordsRequest{1}));
    BOOST_TEST(f.runUntil([&f, &c] { return f.b.received.size() == c.received + 1; }));
}

// Guards against damaged input that crashes the decoding of messages.
BOOST_AUTO_TEST_CASE(damagedMessagesAreSafe)
{
    const auto good =
        encodeMessage(Message(Heartbeat{InstanceName("a"), 1, ZoneName("zone"), 9, false, {{ZoneName("zone"), 0, {1, 1}, 8, 2}}}));
    BOOST_TEST(rc::check("damaged messages", [&good] {
        auto bytes = good;
        for (const auto &[at, value] : *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
                 rc::gen::pair(rc::gen::inRange<std::size_t>(0, good.size()), rc::gen::arbitrary<char>()))) {
            bytes[at] = value;
        }
        Message message;
        const auto error = decodeMessage(bytes, message);
        RC_ASSERT(error || message.index() < std::variant_size_v<Message>);
    }));
}

// Guards against arbitrary bytes that crash the listener, are treated as a message, or leave a connection behind.
BOOST_AUTO_TEST_CASE(anyBytesAreSafe)
{
    PeerFixture f;
    BOOST_TEST(rc::check("any bytes", [&f] {
        RawSocket socket;
        RC_ASSERT(socket.connect(f.b.links.address().port));
        if (*rc::gen::arbitrary<bool>()) {
            socket.write(frame(hello("x")));
        }
        // Complete frames with arbitrary content; arbitrary bytes alone would rarely contain one.
        for (const auto &it : *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>())) {
            socket.write(frame(it));
        }
        socket.write(*rc::gen::arbitrary<std::string>());
        const auto before = f.b.received.size();
        f.runUntil([&f] { return f.b.links.acceptedCount() == 1; });
        socket.close();
        RC_ASSERT(f.runUntil([&f] { return f.b.links.acceptedCount() == 0; }));
        RC_ASSERT(f.b.received.size() == before);
    }));
}

// Guards against two connections between the same two instances.
BOOST_AUTO_TEST_CASE(acceptedConnectionIsUsedForTheOtherDirection)
{
    PeerFixture f;
    BOOST_REQUIRE(!f.b.links.setPeer(f.nameA, f.a.links.address().str()));
    BOOST_TEST(!f.a.links.send(f.nameB, Heartbeat{}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.b.received.size() == 1; }));
    BOOST_TEST(!f.b.links.send(f.nameA, Heartbeat{}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.a.received.size() == 1; }));
    BOOST_TEST(f.a.links.acceptedCount() == 0U);
    // Once that connection is closed, the other side opens one.
    f.a.links.removePeer(f.nameB);
    BOOST_REQUIRE(f.runUntil([&f] { return f.b.links.acceptedCount() == 0; }));
    BOOST_TEST(!f.b.links.send(f.nameA, Heartbeat{}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.a.received.size() == 2; }));
    BOOST_TEST(f.a.links.acceptedCount() == 1U);
}

// Guards against messages for a replaced instance that are delivered to another one at the same address.
BOOST_AUTO_TEST_CASE(otherInstanceAtTheAddressIsRefused)
{
    PeerFixture f;
    const InstanceName expected("c");
    BOOST_REQUIRE(!f.a.links.setPeer(expected, f.b.links.address().str()));
    BOOST_TEST(!f.a.links.send(expected, RecordsRequest{1}));
    BOOST_REQUIRE(f.runUntil([&f] { return !f.a.downs.empty(); }));
    BOOST_TEST(f.a.downs.front() == "frame-refused");
    BOOST_TEST(f.a.ups == 0);
    BOOST_TEST(!f.a.links.isUp(expected));
}

// Guards against a peer that accepts connections and never reads from them, so that heartbeats to it are lost undetected.
BOOST_AUTO_TEST_CASE(unresponsivePeerIsDetected)
{
    PeerFixture f(shortTimeout);
    const RawSocket listener;
    BOOST_REQUIRE(!f.a.links.setPeer(f.nameB, "127.0.0.1:" + std::to_string(listener.listen())));
    BOOST_TEST(!f.a.links.send(f.nameB, Heartbeat{}));
    const RawSocket server(listener.accept());
    server.write(frame(hello("b")));
    BOOST_REQUIRE(f.runUntil([&f] { return f.a.ups == 1; }));
    BOOST_TEST(!f.a.links.send(f.nameB, Heartbeat{}));
    BOOST_REQUIRE(f.runUntil([&f] { return !f.a.downs.empty(); }));
    BOOST_TEST(f.a.downs.front() == "progress-timeout");
}

// Guards against closing a healthy connection because one-way messages are not acknowledged.
BOOST_AUTO_TEST_CASE(oneWayMessagesAreAcknowledged)
{
    PeerFixture f(shortTimeout);
    const RawSocket listener;
    const InstanceName unresponsive("unresponsive");
    BOOST_REQUIRE(!f.a.links.setPeer(unresponsive, "127.0.0.1:" + std::to_string(listener.listen())));
    BOOST_TEST(!f.a.links.send(f.nameB, Heartbeat{}));
    // The reply to the handshake must not be treated as the acknowledgement of the second message.
    BOOST_REQUIRE(f.runUntil([&f] { return f.a.ups == 1 && f.b.received.size() == 1; }));
    BOOST_TEST(!f.a.links.send(f.nameB, Heartbeat{}));
    // The timeout of the unresponsive peer starts later, so that of the other connection would expire first.
    BOOST_TEST(!f.a.links.send(unresponsive, Heartbeat{}));
    BOOST_REQUIRE(f.runUntil([&f] { return !f.a.downs.empty(); }));
    BOOST_TEST(f.a.links.isUp(f.nameB));
    BOOST_TEST(f.b.received.size() == 2U);
}

// Guards against a link that does not reconnect after its peer was restarted at the same address.
BOOST_AUTO_TEST_CASE(restartedPeerIsReached)
{
    Runtime::EventLoop loop;
    Instance a(loop, "a");
    auto b = std::make_unique<Instance>(loop, "b");
    const InstanceName nameB("b");
    const auto address = b->links.address();
    BOOST_REQUIRE(!a.links.setPeer(nameB, address.str()));
    BOOST_TEST(!a.links.send(nameB, Heartbeat{}));
    BOOST_REQUIRE(loop.runUntil([&a, &b] { return a.ups == 1 && b->received.size() == 1; }, maxWait));
    b.reset();
    BOOST_REQUIRE(loop.runUntil([&a] { return a.downs.size() >= 3; }, maxWait));
    BOOST_TEST(!a.links.isUp(nameB));
    b = std::make_unique<Instance>(loop, "b", address);
    BOOST_REQUIRE(loop.runUntil([&a] { return a.ups == 2; }, maxWait));
    BOOST_TEST(!a.links.send(nameB, Heartbeat{}));
    BOOST_TEST(loop.runUntil([&b] { return b->received.size() == 1; }, maxWait));
}

// Guards against half-open connections that accumulate when a peer reconnects.
BOOST_AUTO_TEST_CASE(newConnectionOfAPeerReplacesTheOldOne)
{
    PeerFixture f;
    const RawSocket first;
    const RawSocket second;
    BOOST_REQUIRE(first.connect(f.b.links.address().port));
    first.write(frame(hello("x")));
    BOOST_REQUIRE(f.runUntil([&f] { return f.b.links.isUp(InstanceName("x")); }));
    BOOST_REQUIRE(second.connect(f.b.links.address().port));
    second.write(frame(hello("x")) + frame(encodeMessage(Message(RecordsRequest{1}))));
    BOOST_REQUIRE(f.runUntil([&f] { return f.b.received.size() == 1; }));
    BOOST_TEST(f.b.links.acceptedCount() == 1U);
    static_cast<void>(first.readAvailable());
    BOOST_TEST(first.isClosedByPeer());
    f.b.links.removePeer(InstanceName("x"));
    BOOST_TEST(f.b.links.acceptedCount() == 0U);
}

// Guards against use after free when a hook removes its peer or all links.
BOOST_AUTO_TEST_CASE(hooksMayRemoveTheirPeer)
{
    Runtime::EventLoop loop;
    Instance a(loop, "a");
    std::unique_ptr<PeerLinks> b;
    int received = 0;
    PeerLinksHooks hooks;
    hooks.received = [&b, &received](const InstanceName &from, const Message &) {
        if (++received == 1) {
            b->removePeer(from);
        } else {
            b.reset();
        }
    };
    b = std::make_unique<PeerLinks>(loop, Instance::settingsFor("b", {}, maxWait), hooks, 1);
    BOOST_REQUIRE(!b->listen());
    const InstanceName nameB("b");
    BOOST_REQUIRE(!a.links.setPeer(nameB, b->address().str()));
    BOOST_TEST(!a.links.send(nameB, Heartbeat{}));
    BOOST_TEST(!a.links.send(nameB, Heartbeat{}));
    BOOST_REQUIRE(loop.runUntil([&received] { return received == 1; }, maxWait));
    // The first connection may have been closed before its handshake was answered.
    BOOST_REQUIRE(loop.runUntil([&a, &nameB] { return !a.downs.empty() && a.links.isUp(nameB); }, maxWait));
    BOOST_TEST(!a.links.send(nameB, Heartbeat{}));
    BOOST_REQUIRE(loop.runUntil([&received] { return received == 2; }, maxWait));
    BOOST_TEST(!b);
}
