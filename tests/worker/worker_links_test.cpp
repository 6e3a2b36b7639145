#include "../runtime/raw_socket.h"

#include <acaciarail/core.h>
#include <acaciarail/runtime.h>
#include <acaciarail/worker.h>

#include <worker_server.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Standins;
using namespace Acaciarail::Tests;
using namespace Acaciarail::Worker;
namespace data = boost::unit_test::data;

static const WorkerName workerName("worker-1");
static const Term term{1, 1};

/// Short enough for a test to wait for it, and long enough that it does not expire only because the machine is busy.
constexpr Duration shortProgressTimeout = 200ms;

/// Links with short reconnection delays, and the arguments that their hooks were called with.
struct LinksFixture
{
    explicit LinksFixture(Duration progressTimeout = maxWait)
        : links(loop, settings(progressTimeout), hooks(), 1)
    {
    }

    auto runUntil(const std::function<bool()> &done) -> bool
    {
        return loop.runUntil(done, maxWait);
    }

    static auto settings(Duration progressTimeout = maxWait) -> WorkerLinksSettings
    {
        return {.frames = {.progressTimeout = progressTimeout}, .minBackoff = 1ms, .maxBackoff = 8ms};
    }

    auto hooks() -> WorkerLinksHooks
    {
        return {[this](const WorkerName &, const Reply &reply) { replies.push_back(reply); }, [this](const WorkerName &) { ++ups; },
                [this](const WorkerName &, const Runtime::CloseInfo &info) { downs.emplace_back(Runtime::closeReasonName(info.reason)); }};
    }

    Runtime::EventLoop loop;
    std::vector<Reply> replies;
    int ups = 0;
    std::vector<std::string> downs;
    WorkerLinks links;
};

struct WorkerFixture : LinksFixture
{
    explicit WorkerFixture(Duration progressTimeout = maxWait)
        : LinksFixture(progressTimeout)
    {
        BOOST_REQUIRE(!worker.listen());
        BOOST_REQUIRE(!links.setWorker(workerName, worker.address().str()));
    }

    static auto workerSettings() -> WorkerModelSettings
    {
        WorkerModelSettings out;
        out.info.name = workerName;
        out.info.capacity = {8, 32, 65536};
        return out;
    }

    WorkerServer worker{loop, workerSettings(), [](const AttemptReport &, std::uint32_t) { return TaskPlan{1ms, false}; }};
};

// Guards against requests or replies that the connection alters or drops, and against a connection opened before it is needed.
BOOST_AUTO_TEST_CASE(jobRunsOverTheConnection)
{
    WorkerFixture f;
    BOOST_TEST(!f.links.isUp(workerName));
    Job job;
    job.id = JobId("job");
    job.spec.shape.perTask = {1, 1, 1};
    const AttemptId id{job.id, 1};
    BOOST_TEST(!f.links.send(workerName, Attach{term, 10s}));
    BOOST_TEST(!f.links.send(workerName, Reserve{term, id, job, 1, {{workerName, 1}}, 5s}));
    BOOST_TEST(!f.links.send(workerName, Start{term, id, 5s}));
    BOOST_TEST(!f.links.send(workerName, Confirm{term, id}));
    const auto ended = [&f] { return !f.replies.empty() && std::holds_alternative<Ended>(f.replies.back()); };
    BOOST_REQUIRE(f.runUntil(ended));
    BOOST_TEST(f.ups == 1);
    BOOST_TEST(f.links.isUp(workerName));
    BOOST_REQUIRE(f.replies.size() >= 4U);
    BOOST_TEST(std::get<Attached>(f.replies[0]).granted);
    BOOST_TEST(std::get<Attached>(f.replies[0]).info.address == f.worker.address().str());
    BOOST_TEST(std::get<Reserved>(f.replies[1]).granted);
    BOOST_TEST(std::get<Started>(f.replies[2]).started);
    BOOST_TEST((std::get<Ended>(f.replies.back()).end.kind == AttemptEndKind::Succeeded));
    BOOST_TEST(f.worker.acceptedCount() == 1U);
}

// Guards against a link that does not reconnect after its connection was lost, or that does not report the loss.
BOOST_AUTO_TEST_CASE(lostConnectionIsReopened)
{
    WorkerFixture f;
    BOOST_TEST(!f.links.connect(workerName));
    BOOST_REQUIRE(f.runUntil([&f] { return f.ups == 1 && f.worker.connectionCount() == 1; }));
    f.worker.dropConnections();
    BOOST_REQUIRE(f.runUntil([&f] { return !f.downs.empty(); }));
    BOOST_TEST((f.links.send(workerName, Release{term}) == make_error_code(Error::ConnectionLost)));
    BOOST_REQUIRE(f.runUntil([&f] { return f.ups == 2; }));
    BOOST_TEST(f.downs.front() == "closed-by-peer");
    BOOST_TEST(!f.links.send(workerName, Attach{term, 1s}));
    BOOST_TEST(f.runUntil([&f] { return f.replies.size() == 1; }));
}

// Guards against an open connection that stops responding and blocks its requests, although a new one would work.
BOOST_AUTO_TEST_CASE(unresponsiveWorkerIsDetected)
{
    WorkerFixture f(shortProgressTimeout);
    BOOST_TEST(!f.links.send(workerName, Attach{term, 1s}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.replies.size() == 1; }));
    f.worker.silenceConnections();
    BOOST_TEST(!f.links.send(workerName, Renew{term, 1, 1s, 60s}));
    BOOST_REQUIRE(f.runUntil([&f] { return !f.downs.empty(); }));
    BOOST_TEST(f.downs.front() == "progress-timeout");
    BOOST_REQUIRE(f.runUntil([&f] { return f.ups == 2; }));
    BOOST_TEST(!f.links.send(workerName, Renew{term, 2, 1s, 60s}));
    BOOST_TEST(f.runUntil([&f] { return f.replies.size() == 2; }));
}

// Guards against closing a healthy connection because of requests that have no reply.
BOOST_AUTO_TEST_CASE(requestsWithoutAnswerExpectNone)
{
    WorkerFixture f(shortProgressTimeout);
    BOOST_TEST(!f.links.send(workerName, Attach{term, 10s}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.replies.size() == 1; }));
    BOOST_TEST(!f.links.send(workerName, Acknowledge{term, {JobId("job"), 1}}));
    BOOST_TEST(!f.links.send(workerName, Release{term}));
    // A link to a listener that never responds shows when the progress timeout has passed.
    const RawSocket unresponsive;
    const WorkerName other("worker-2");
    BOOST_TEST(!f.links.setWorker(other, "127.0.0.1:" + std::to_string(unresponsive.listen())));
    BOOST_TEST(!f.links.send(other, Attach{term, 1s}));
    BOOST_REQUIRE(f.runUntil([&f] { return !f.downs.empty(); }));
    BOOST_TEST(f.links.isUp(workerName));
}

struct FrameCase
{
    std::string name;
    std::string bytes;
    std::string reason;

    friend auto operator<<(std::ostream &out, const FrameCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

static const FrameCase frameCases[] = {
    {"empty frame", frame(""), "frame-refused"},
    {"garbage", frame("garbage"), "frame-refused"},
    {"unknown version", frame(encode(std::tuple(99, 0, std::vector<int>{}))), "frame-refused"},
    {"unknown type", frame(encode(std::tuple(1, 99, std::vector<int>{}))), "frame-refused"},
    {"surplus bytes", frame(encodeMessage(Reply(Renewed{term, 1})) + "x"), "frame-refused"},
    {"oversized", std::string("\x00\x20\x00\x00", 4), "frame-too-large"},
};

// Guards against faulty messages of a worker that are treated as valid or crash the instance.
BOOST_DATA_TEST_CASE(faultyFramesCloseTheConnection, data::make(frameCases), c)
{
    LinksFixture f;
    const RawSocket listener;
    BOOST_REQUIRE(!f.links.setWorker(workerName, "127.0.0.1:" + std::to_string(listener.listen())));
    BOOST_REQUIRE(!f.links.connect(workerName));
    const RawSocket server(listener.accept());
    server.write(frame(encodeMessage(Reply(Renewed{term, 7}))) + c.bytes);
    BOOST_REQUIRE(f.runUntil([&f] { return !f.downs.empty(); }));
    BOOST_TEST(f.downs.front() == c.reason);
    BOOST_TEST(f.replies.size() == 1U);
}

// Guards against damaged input that crashes the decoding of replies.
BOOST_AUTO_TEST_CASE(damagedRepliesAreSafe)
{
    Attached attached{true, term, 1s, WorkerFixture::workerSettings().info, {}};
    attached.attempts.push_back({{JobId("job"), 1}, term, {}, {{workerName, 2}}, AttemptState::Running, 5s, {}});
    const auto good = encodeMessage(Reply(attached));
    BOOST_TEST(rc::check("damaged replies", [&good] {
        auto bytes = good;
        for (const auto &[at, value] : *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
                 rc::gen::pair(rc::gen::inRange<std::size_t>(0, good.size()), rc::gen::arbitrary<char>()))) {
            bytes[at] = value;
        }
        bytes.resize(
            *rc::gen::weightedOneOf<std::size_t>({{3, rc::gen::just(good.size())}, {1, rc::gen::inRange<std::size_t>(0, good.size())}}));
        Reply reply;
        const auto error = decodeMessage(bytes, reply);
        RC_ASSERT(error || reply.index() < std::variant_size_v<Reply>);
        Request request;
        static_cast<void>(decodeMessage(bytes, request));
    }));
}

// Guards against reporting an invalid call as a lost connection.
BOOST_AUTO_TEST_CASE(wrongCallsAreTypedErrors)
{
    WorkerFixture f;
    const WorkerName unknown("unknown");
    BOOST_TEST((f.links.send(unknown, Release{term}) == make_error_code(Error::NoEndpoint)));
    BOOST_TEST((f.links.connect(unknown) == make_error_code(Error::NoEndpoint)));
    BOOST_TEST((f.links.setWorker(unknown, "localhost:1") == make_error_code(Error::MalformedInput)));
    BOOST_TEST((f.links.setWorker(unknown, "127.0.0.1:0") == make_error_code(Error::MalformedInput)));
    Reserve large{term, {JobId("job"), 1}, {}, 1, {}, 1s};
    large.members.assign(100'000, {WorkerName("a-worker-with-a-name"), 1});
    BOOST_TEST((f.links.send(workerName, large) == make_error_code(Error::TooLarge)));
}

// Guards against connecting to the old address of a worker after it changed, and against events of a removed worker.
BOOST_AUTO_TEST_CASE(addressChangeAndRemoval)
{
    WorkerFixture f;
    WorkerServer moved(f.loop, WorkerFixture::workerSettings(), [](const AttemptReport &, std::uint32_t) { return TaskPlan{}; });
    BOOST_REQUIRE(!moved.listen());
    BOOST_TEST(!f.links.connect(workerName));
    BOOST_REQUIRE(f.runUntil([&f] { return f.worker.connectionCount() == 1; }));
    BOOST_TEST(!f.links.setWorker(workerName, f.worker.address().str()));
    BOOST_TEST(f.links.isUp(workerName));
    BOOST_TEST(!f.links.setWorker(workerName, moved.address().str()));
    BOOST_REQUIRE(f.runUntil([&] { return moved.connectionCount() == 1 && f.worker.connectionCount() == 0; }));
    f.links.removeWorker(workerName);
    BOOST_REQUIRE(f.runUntil([&moved] { return moved.connectionCount() == 0; }));
    BOOST_TEST(f.downs.empty());
    BOOST_TEST(!f.links.isUp(workerName));
}

// Guards against use after free when a hook removes its worker or all links.
BOOST_AUTO_TEST_CASE(hooksMayRemoveTheirWorker)
{
    Runtime::EventLoop loop;
    WorkerServer worker(loop, WorkerFixture::workerSettings(), [](const AttemptReport &, std::uint32_t) { return TaskPlan{}; });
    BOOST_REQUIRE(!worker.listen());
    std::unique_ptr<WorkerLinks> links;
    int replies = 0;
    WorkerLinksHooks hooks;
    hooks.received = [&links, &replies](const WorkerName &name, const Reply &) {
        if (++replies == 1) {
            links->removeWorker(name);
        } else {
            links.reset();
        }
    };
    links = std::make_unique<WorkerLinks>(loop, LinksFixture::settings(), hooks, 1);
    for (int i = 1; i <= 2; ++i) {
        BOOST_REQUIRE(!links->setWorker(workerName, worker.address().str()));
        BOOST_REQUIRE(!links->send(workerName, Attach{term, 1s}));
        BOOST_REQUIRE(!links->send(workerName, Attach{term, 1s}));
        BOOST_REQUIRE(loop.runUntil([&replies, i] { return replies == i; }, maxWait));
    }
    BOOST_TEST(loop.runUntil([&worker] { return worker.connectionCount() == 0; }, maxWait));
    BOOST_TEST(replies == 2);
}

// Guards against links that are lost, duplicated or confused when many connections are lost at the same time.
BOOST_AUTO_TEST_CASE(manyLinksRecoverTogether)
{
    constexpr std::size_t count = 200;
    WorkerFixture f;
    for (std::size_t i = 0; i < count; ++i) {
        const WorkerName name("worker-" + std::to_string(i));
        BOOST_REQUIRE(!f.links.setWorker(name, f.worker.address().str()));
        BOOST_REQUIRE(!f.links.connect(name));
    }
    for (int round = 1; round <= 3; ++round) {
        BOOST_REQUIRE(f.runUntil([&] { return f.ups == static_cast<int>(count) * round && f.worker.connectionCount() == count; }));
        f.worker.dropConnections();
    }
    BOOST_REQUIRE(f.runUntil([&] { return f.worker.connectionCount() == count; }));
    BOOST_TEST(f.worker.acceptedCount() == 4 * count);
}

// Guards against a link that stops reconnecting while its worker is down, and against more than one connection once the worker is back.
BOOST_AUTO_TEST_CASE(linkReconnectsToAWorkerThatWasDown)
{
    LinksFixture f;
    auto worker = std::make_unique<WorkerServer>(f.loop, WorkerFixture::workerSettings(),
                                                 [](const AttemptReport &, std::uint32_t) { return TaskPlan{}; });
    BOOST_REQUIRE(!worker->listen());
    const auto address = worker->address();
    worker.reset();
    BOOST_REQUIRE(!f.links.setWorker(workerName, address.str()));
    BOOST_REQUIRE(!f.links.connect(workerName));
    BOOST_REQUIRE(f.runUntil([&f] { return f.downs.size() == 20; }));
    BOOST_TEST(f.downs.back() == "connect-failed");
    worker = std::make_unique<WorkerServer>(
        f.loop, WorkerFixture::workerSettings(), [](const AttemptReport &, std::uint32_t) { return TaskPlan{}; }, address);
    BOOST_REQUIRE(!worker->listen());
    BOOST_REQUIRE(f.runUntil([&f] { return f.ups == 1; }));
    BOOST_TEST(!f.links.send(workerName, Attach{term, 1s}));
    BOOST_REQUIRE(f.runUntil([&f] { return f.replies.size() == 1; }));
    BOOST_TEST(worker->connectionCount() == 1U);
}
