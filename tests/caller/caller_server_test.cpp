#include "raw_client.h"
#include "test_server.h"

#include <acaciarail/caller/caller_server.h>
#include <acaciarail/caller/problem.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Caller;
namespace data = boost::unit_test::data;
using namespace std::string_literals;

namespace {

auto get(const std::string &path) -> std::string
{
    return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n";
}

auto text(const std::string &body) -> HttpResponse
{
    return makeResponse(200, "text/plain", body);
}

struct RefusalCase
{
    std::string name;
    std::string bytes;
    int status;
    std::string code;

    friend auto operator<<(std::ostream &out, const RefusalCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

auto manyHeaders(int n) -> std::string
{
    std::string out;
    for (int i = 0; i < n; ++i) {
        out += "H" + std::to_string(i) + ": v\r\n";
    }
    return out;
}

const std::string postStart = "POST / HTTP/1.1\r\nHost: t\r\n";

const RefusalCase refusalCases[] = {
    {"no http", "hello\r\n\r\n", 400, "malformed-input"},
    {"unknown method", "BREW / HTTP/1.1\r\nHost: t\r\n\r\n", 501, "malformed-input"},
    {"unknown version", "GET / HTTP/2.0\r\nHost: t\r\n\r\n", 505, "malformed-input"},
    {"long request line", "GET /" + std::string(5000, 'a') + " HTTP/1.1\r\n", 414, "too-large"},
    {"endless request line", std::string(5000, 'a'), 414, "too-large"},
    {"header flood", postStart + manyHeaders(70) + "\r\n", 431, "too-large"},
    {"long header", postStart + "A: " + std::string(5000, 'a') + "\r\n\r\n", 431, "too-large"},
    {"endless header", postStart + std::string(5000, 'a'), 431, "too-large"},
    {"body too large", postStart + "Content-Length: 1048577\r\n\r\n", 413, "too-large"},
    {"body length overflow", postStart + "Content-Length: 99999999999999999999999999\r\n\r\n", 413, "too-large"},
    {"body too large, with expectation", postStart + "Expect: 100-continue\r\nContent-Length: 9999999\r\n\r\n", 413, "too-large"},
    {"chunk too large", postStart + "Transfer-Encoding: chunked\r\n\r\n100001\r\n", 413, "too-large"},
    {"both lengths", postStart + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "malformed-input"},
};

} // namespace

// Guards against a malformed or oversized request that is dropped without a response, or whose response is destroyed by a connection reset.
BOOST_DATA_TEST_CASE(refusedRequestsGetProblemResponses, data::make(refusalCases), c)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    // Unread input after the fault must not cause a reset that destroys the response.
    client.send(c.bytes + std::string(100'000, 'x'));
    BOOST_TEST(loop.runUntil([&] { return client.closed(); }));
    BOOST_TEST(client.status() == c.status);
    BOOST_TEST(client.received().find("Content-Type: application/problem+json") != std::string::npos);
    BOOST_TEST(client.received().find("\"code\":\"" + c.code + "\"") != std::string::npos);
    BOOST_TEST(client.received().find("\"execution\":\"not-run\"") != std::string::npos);
    BOOST_TEST(client.responses() == 1U);
    BOOST_TEST(test.received.empty());
    BOOST_TEST(loop.runUntil([&] { return test.server->connections() == 0; }));
}

// Guards against a truncated body, and against a caller that waits forever for `100 Continue`.
BOOST_AUTO_TEST_CASE(largestBodyArrivesComplete)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send(postStart + "Expect: 100-continue\r\nContent-Length: 1048576\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return client.received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    const std::string body(1048576, 'b');
    client.send(body);
    BOOST_TEST(loop.runUntil([&] { return !test.received.empty(); }));
    BOOST_TEST((test.received[0].request.body == body));
    BOOST_TEST(test.received[0].reply.send(text("ok")));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 2; }));
}

// Guards against chunk framing that remains in the body.
BOOST_AUTO_TEST_CASE(chunkedBodyIsDecoded)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send(postStart + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n" + get("/next"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 1; }));
    BOOST_TEST(test.received[0].request.body == "abc0123456789");
    test.received[0].reply.send(text("one"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 2; }));
    BOOST_TEST(test.received[1].request.path == "/next");
    test.received[1].reply.send(text("two"));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 2; }));
    client.send(get("/last"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 3; }));
    BOOST_TEST(test.received[2].request.path == "/last");
}

// Guards against a request whose method, query, headers or peer are lost or altered.
BOOST_AUTO_TEST_CASE(requestIsPassedOnAsReceived)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send("DELETE /a%20b/../c?x=%zz&y=1?2 HTTP/1.1\r\nHost: t\r\nEmpty:\r\nTwice: 1\r\nTwice:  2 \r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return !test.received.empty(); }));
    const auto &request = test.received[0].request;
    BOOST_TEST((request.method == HttpMethod::Delete));
    BOOST_TEST(request.path == "/a%20b/../c");
    BOOST_TEST(request.query == "x=%zz&y=1?2");
    BOOST_TEST(request.peer.starts_with("127.0.0.1:"));
    BOOST_TEST(request.headers.size() == 4U);
    BOOST_TEST(findHeader(request.headers, "empty").value_or("none").empty());
    BOOST_TEST(findHeader(request.headers, "tWICE").value_or("none") == "1");
    BOOST_TEST(request.headers.back().value == "2");
}

// Guards against a response that reaches the wrong caller when responses are sent late and in another order.
BOOST_AUTO_TEST_CASE(lateResponsesReachTheirCallers)
{
    constexpr std::size_t count = 50;
    Loop loop;
    TestServer test(loop);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t i = 0; i < count; ++i) {
        clients.push_back(std::make_unique<RawClient>(loop, test.server->port()));
        clients.back()->send(get("/" + std::to_string(i)));
    }
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == count; }));
    BOOST_TEST(test.server->requestsInProgress() == count);
    std::shuffle(test.received.begin(), test.received.end(), std::mt19937(7));
    for (const auto &it : test.received) {
        BOOST_TEST(it.reply.send(text("answer to " + it.request.path + ".")));
    }
    const auto all = [&] { return std::all_of(clients.begin(), clients.end(), [](const auto &it) { return it->responses() == 1; }); };
    BOOST_TEST(loop.runUntil(all));
    for (std::size_t i = 0; i < count; ++i) {
        BOOST_TEST(clients[i]->response(0).ends_with("answer to /" + std::to_string(i) + "."));
    }
    BOOST_TEST(test.server->requestsInProgress() == 0U);
}

// Guards against pipelined requests that are answered out of order or handled before their turn.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    std::string bytes;
    for (int i = 0; i < 5; ++i) {
        bytes += get("/" + std::to_string(i));
    }
    client.send(bytes);
    for (std::size_t i = 0; i < 5; ++i) {
        BOOST_TEST(loop.runUntil([&] { return test.received.size() == i + 1; }));
        BOOST_TEST(test.received[i].request.path == "/" + std::to_string(i));
        test.received[i].reply.send(text("answer " + std::to_string(i)));
        BOOST_TEST(loop.runUntil([&] { return client.responses() == i + 1; }));
        BOOST_TEST(client.response(i).ends_with("answer " + std::to_string(i)));
    }
    BOOST_TEST(test.server->connections() == 1U);
}

// Guards against a second response, which the caller would treat as the response to its next request.
BOOST_AUTO_TEST_CASE(requestIsAnsweredOnce)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return !test.received.empty(); }));
    const auto copy = test.received[0].reply;
    BOOST_TEST(copy.isOpen());
    BOOST_TEST(copy.send(text("first")));
    BOOST_TEST(!copy.isOpen());
    BOOST_TEST(!test.received[0].reply.send(text("second")));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 1; }));
    client.send(get("/next"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 2; }));
    BOOST_TEST(!copy.send(text("late")));
    test.received[1].reply.send(text("third"));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 2; }));
    BOOST_TEST(client.response(1).ends_with("third"));
}

// Guards against a caller that waits forever because a fault of the program dropped its reply handle.
BOOST_AUTO_TEST_CASE(droppedReplyIsAnsweredAsUnknown)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return !test.received.empty(); }));
    test.received.clear();
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 1; }));
    BOOST_TEST(client.status() == 500);
    BOOST_TEST(client.received().find("\"execution\":\"unknown\"") != std::string::npos);
}

// Guards against work that continues for a caller that has disconnected, and against a response to a closed connection.
BOOST_AUTO_TEST_CASE(disconnectIsReported)
{
    Loop loop;
    TestServer test(loop);
    auto client = std::make_unique<RawClient>(loop, test.server->port());
    client->send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return !test.received.empty(); }));
    client.reset();
    BOOST_TEST(loop.runUntil([&] { return !test.disconnected.empty(); }));
    BOOST_TEST(test.disconnected.front() == test.received[0].request.id);
    BOOST_TEST(!test.received[0].reply.isOpen());
    BOOST_TEST(!test.received[0].reply.send(text("late")));
    BOOST_TEST(test.server->requestsInProgress() == 0U);
    BOOST_TEST(loop.runUntil([&] { return test.server->connections() == 0; }));
    BOOST_TEST(test.disconnected.size() == 1U);
}

struct SlowCase
{
    std::string name;
    std::string bytes;
    int status;

    friend auto operator<<(std::ostream &out, const SlowCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const SlowCase slowCases[] = {
    {"request line", "GET / HT", 408},
    {"headers", postStart + "A: b\r\n", 408},
    {"body", postStart + "Content-Length: 10\r\n\r\n12345", 408},
    {"chunks", postStart + "Transfer-Encoding: chunked\r\n\r\n5\r\n12", 408},
    {"nothing", "", 0},
};

// Guards against callers that occupy connections with requests that never end.
BOOST_DATA_TEST_CASE(slowCallersAreRefused, data::make(slowCases), c)
{
    Loop loop;
    CallerServerSettings settings;
    settings.headTimeout = 20ms;
    settings.bodyTimeout = 20ms;
    settings.idleTimeout = 20ms;
    TestServer test(loop, settings);
    RawClient client(loop, test.server->port());
    client.send(c.bytes);
    BOOST_TEST(loop.runUntil([&] { return client.closed(); }));
    BOOST_TEST(client.status() == c.status);
    BOOST_TEST(test.received.empty());
}

// Guards against a header deadline that a caller extends by sending single bytes.
BOOST_AUTO_TEST_CASE(singleBytesDoNotExtendTheDeadline)
{
    Loop loop;
    CallerServerSettings settings;
    settings.headTimeout = 30ms;
    TestServer test(loop, settings);
    RawClient client(loop, test.server->port());
    client.send("GET / HTTP/1.1\r\n");
    const auto sendByte = [](evutil_socket_t, short, void *arg) { static_cast<RawClient *>(arg)->send("a"); };
    event *timer = event_new(loop.base(), -1, EV_PERSIST, sendByte, &client);
    constexpr timeval interval{0, 5000};
    event_add(timer, &interval);
    BOOST_TEST(loop.runUntil([&] { return client.closed(); }));
    event_free(timer);
    BOOST_TEST(client.status() == 408);
}

// Guards against a caller that sends a request and never reads, so that the response occupies memory forever.
BOOST_AUTO_TEST_CASE(callerThatDoesNotReadIsClosed)
{
    Loop loop;
    CallerServerSettings settings;
    settings.writeTimeout = 50ms;
    TestServer test(loop, settings);
    RawClient client(loop, test.server->port());
    client.stopReading();
    client.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return !test.received.empty(); }));
    // More than the socket buffers of both sides can hold.
    std::string body;
    body.resize(64'000'000);
    test.received[0].reply.send(text(body));
    BOOST_TEST(loop.runUntil([&] { return test.server->connections() == 0; }));
}

// Guards against a flood of connections that uses up all memory; the refusal must reach the caller.
BOOST_AUTO_TEST_CASE(surplusConnectionsAreRefused)
{
    Loop loop;
    CallerServerSettings settings;
    settings.maxConnections = 4;
    TestServer test(loop, settings, true);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<RawClient>(loop, test.server->port()));
        clients.back()->send(get("/"));
    }
    const auto served = [&] { return std::all_of(clients.begin(), clients.end(), [](const auto &it) { return it->responses() == 1; }); };
    BOOST_TEST(loop.runUntil(served));
    RawClient surplus(loop, test.server->port());
    surplus.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return surplus.closed(); }));
    BOOST_TEST(surplus.status() == 503);
    BOOST_TEST(surplus.received().find("\"code\":\"overloaded\"") != std::string::npos);
    clients.pop_back();
    BOOST_TEST(loop.runUntil([&] { return test.server->connections() == 3; }));
    RawClient next(loop, test.server->port());
    next.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return next.responses() == 1; }));
    BOOST_TEST(next.status() == 200);
}

// Guards against a caller that blocks others with idle connections. A connection with a request in progress is never closed.
BOOST_AUTO_TEST_CASE(idleConnectionsAreEvicted)
{
    Loop loop;
    CallerServerSettings settings;
    settings.maxConnections = 3;
    settings.evictableAfter = 0s;
    TestServer test(loop, settings);
    RawClient busy(loop, test.server->port());
    busy.send(get("/busy"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 1; }));
    RawClient partial(loop, test.server->port());
    partial.send("GET ");
    RawClient idle(loop, test.server->port());
    BOOST_TEST(loop.runUntil([&] { return test.server->connections() == 3; }));
    RawClient next(loop, test.server->port());
    next.send(get("/next"));
    BOOST_TEST(loop.runUntil([&] { return idle.closed() && test.received.size() == 2; }));
    BOOST_TEST(test.server->stats().evictedConnections == 1U);
    RawClient surplus(loop, test.server->port());
    BOOST_TEST(loop.runUntil([&] { return surplus.status() == 503; }));
    partial.send("/part HTTP/1.1\r\nHost: t\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 3; }));
    for (const auto &it : test.received) {
        it.reply.send(text("answer to " + it.request.path));
    }
    BOOST_TEST(loop.runUntil([&] { return busy.responses() == 1 && partial.responses() == 1 && next.responses() == 1; }));
}

// Guards against limits above those of the HTTP parser, which would then drop requests without a response.
BOOST_AUTO_TEST_CASE(largestLinesReachTheHook)
{
    Loop loop;
    CallerServerSettings settings;
    settings.limits.maxRequestLine = 1'000'000;
    settings.limits.maxHeaderLine = 1'000'000;
    settings.limits.maxHead = 1'000'000;
    TestServer test(loop, settings, true);
    RawClient fits(loop, test.server->port());
    fits.send("GET /" + std::string(maxParsedLine - 14, 'a') + " HTTP/1.1\r\nHost: t\r\nA: " + std::string(maxParsedLine - 3, 'b')
              + "\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return fits.responses() == 1; }));
    BOOST_TEST(fits.status() == 200);
    RawClient line(loop, test.server->port());
    line.send("GET /" + std::string(maxParsedLine, 'a') + " HTTP/1.1\r\nHost: t\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return line.responses() == 1; }));
    BOOST_TEST(line.status() == 414);
    RawClient header(loop, test.server->port());
    header.send(get("/").substr(0, 16) + "A: " + std::string(maxParsedLine, 'b') + "\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return header.responses() == 1; }));
    BOOST_TEST(header.status() == 431);
}

// Guards against incomplete bodies that use up the memory or block small requests.
BOOST_AUTO_TEST_CASE(incompleteBodiesAreBounded)
{
    Loop loop;
    CallerServerSettings settings;
    settings.maxBufferedBytes = 1'000'000;
    TestServer test(loop, settings, true);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<RawClient>(loop, test.server->port()));
        clients.back()->send(postStart + "Content-Length: 500000\r\n\r\n" + std::string(400'000, 'x'));
    }
    const auto refused = [&] { return std::count_if(clients.begin(), clients.end(), [](const auto &it) { return it->status() == 503; }); };
    BOOST_TEST(loop.runUntil([&] { return refused() >= 5; }));
    RawClient small(loop, test.server->port());
    small.send(get("/small"));
    BOOST_TEST(loop.runUntil([&] { return small.responses() == 1; }));
    BOOST_TEST(small.status() == 200);
}

// Guards against a body in responses to HEAD or with status 204, which the caller would treat as the next response.
BOOST_AUTO_TEST_CASE(responsesWithoutBodyKeepTheFraming)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send("HEAD / HTTP/1.1\r\nHost: t\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 1; }));
    test.received[0].reply.send(text("12345"));
    BOOST_TEST(loop.runUntil([&] { return client.received().ends_with("\r\n\r\n"); }));
    BOOST_TEST(client.received().find("Content-Length: 5") != std::string::npos);

    client.send(get("/b"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 2; }));
    auto response = text("surplus");
    response.status = 204;
    test.received[1].reply.send(std::move(response));
    BOOST_TEST(loop.runUntil([&] { return client.received().find("204 No Content") != std::string::npos; }));
    client.send(get("/c"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 3; }));
    test.received[2].reply.send(text("last"));
    BOOST_TEST(loop.runUntil([&] { return client.received().ends_with("last"); }));
    BOOST_TEST(client.received().find("surplus") == std::string::npos);
}

// Guards against headers of an endpoint that inject a second response or a wrong length.
BOOST_AUTO_TEST_CASE(unsafeResponseHeadersAreLeftOut)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 1; }));
    auto response = text("body");
    response.headers.push_back({"A", "b\r\nForged: yes"});
    response.headers.push_back({"Bad Name", "x"});
    response.headers.push_back({"content-length", "1"});
    response.headers.push_back({"Transfer-Encoding", "chunked"});
    response.headers.push_back({"Good", "yes"});
    test.received[0].reply.send(std::move(response));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 1; }));
    BOOST_TEST(client.received().find("Forged") == std::string::npos);
    BOOST_TEST(client.received().find("Bad Name") == std::string::npos);
    BOOST_TEST(client.received().find("chunked") == std::string::npos);
    BOOST_TEST(client.received().find("Good: yes") != std::string::npos);
    BOOST_TEST(client.received().ends_with("\r\n\r\nbody"));
}

// Guards against a status that is not a final one, after which the caller would wait for another response.
BOOST_DATA_TEST_CASE(statusOutOfRangeIsReplaced, data::make({0, 100, 199, 600, 65535}), status)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 1; }));
    auto response = text("body");
    response.status = static_cast<std::uint16_t>(status);
    test.received[0].reply.send(std::move(response));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 1; }));
    BOOST_TEST(client.status() == 500);
}

struct CloseCase
{
    std::string name;
    std::string request;
    bool closes;

    friend auto operator<<(std::ostream &out, const CloseCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const CloseCase closeCases[] = {
    {"default", "GET / HTTP/1.1\r\nHost: t\r\n\r\n", false},
    {"close", "GET / HTTP/1.1\r\nHost: t\r\nConnection: Close\r\n\r\n", true},
    {"http 1.0", "GET / HTTP/1.0\r\n\r\n", true},
};

// Guards against a connection that stays open although the caller expects it to close, and the reverse.
BOOST_DATA_TEST_CASE(connectionIsKeptOrClosedAsRequested, data::make(closeCases), c)
{
    Loop loop;
    TestServer test(loop, {}, true);
    RawClient client(loop, test.server->port());
    client.send(c.request);
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 1; }));
    BOOST_TEST((client.received().find("Connection: close") != std::string::npos) == c.closes);
    BOOST_TEST(client.received().find("Connection:") == client.received().rfind("Connection:"));
    if (c.closes) {
        BOOST_TEST(loop.runUntil([&] { return client.closed(); }));
    } else {
        client.send(c.request);
        BOOST_TEST(loop.runUntil([&] { return client.responses() == 2; }));
    }
}

// Guards against a graceful stop that interrupts requests in progress, accepts new connections or never completes.
BOOST_AUTO_TEST_CASE(stopLetsRequestsInProgressFinish)
{
    Loop loop;
    CallerServerSettings settings;
    settings.stopGrace = 20ms;
    TestServer test(loop, settings);
    RawClient busy(loop, test.server->port());
    busy.send(get("/busy"));
    RawClient partial(loop, test.server->port());
    partial.send("GET /part");
    RawClient idle(loop, test.server->port());
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 1 && test.server->connections() == 3; }));
    test.server->stop();
    test.server->stop();
    RawClient late(loop, test.server->port());
    BOOST_TEST(loop.runUntil([&] { return late.closed() && idle.closed(); }));
    BOOST_TEST(test.stoppedCalls == 0);

    partial.send("ial HTTP/1.1\r\nHost: t\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return test.received.size() == 2; }));
    test.received[0].reply.send(text("done busy"));
    test.received[1].reply.send(text("done partial"));
    BOOST_TEST(loop.runUntil([&] { return test.stoppedCalls > 0; }));
    BOOST_TEST(loop.runUntil([&] { return busy.closed() && partial.closed(); }));
    BOOST_TEST(busy.received().ends_with("done busy"));
    BOOST_TEST(partial.received().ends_with("done partial"));
    BOOST_TEST(busy.received().find("Connection: close") != std::string::npos);
    BOOST_TEST(test.stoppedCalls == 1);
    BOOST_TEST(test.server->connections() == 0U);
}

// Guards against a request in transit on a persistent connection that is lost because the server stops.
BOOST_AUTO_TEST_CASE(requestDuringTheStopGraceIsAnswered)
{
    Loop loop;
    CallerServerSettings settings;
    settings.stopGrace = 30s;
    TestServer test(loop, settings, true);
    RawClient client(loop, test.server->port());
    client.send(get("/a"));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 1; }));
    test.server->stop();
    client.send(get("/b"));
    BOOST_TEST(loop.runUntil([&] { return client.responses() == 2 && client.closed(); }));
    BOOST_TEST(loop.runUntil([&] { return test.stoppedCalls == 1; }));
}

// Guards against reply handles that access a destroyed server.
BOOST_AUTO_TEST_CASE(repliesOutliveTheServer)
{
    Loop loop;
    TestServer test(loop);
    RawClient client(loop, test.server->port());
    client.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return !test.received.empty(); }));
    test.server.reset();
    BOOST_TEST(!test.received[0].reply.isOpen());
    BOOST_TEST(!test.received[0].reply.send(text("late")));
    BOOST_TEST(test.disconnected.empty());
    BOOST_TEST(loop.runUntil([&] { return client.closed(); }));
}

// Guards against a server that is destroyed by its own hook while a connection is on the call stack.
BOOST_AUTO_TEST_CASE(hookMayDestroyTheServer)
{
    Loop loop;
    std::unique_ptr<CallerServer> server;
    CallerServerHooks hooks;
    hooks.onRequest = [&server](const HttpRequest &, const ReplyHandle &) { server.reset(); };
    server = std::make_unique<CallerServer>(loop.base(), CallerServerSettings{}, std::move(hooks));
    BOOST_TEST(!server->start());
    RawClient client(loop, server->port());
    client.send(get("/"));
    BOOST_TEST(loop.runUntil([&] { return client.closed(); }));
    BOOST_TEST(!server);
}

// Guards against an address that is in use or invalid but counts as bound.
BOOST_AUTO_TEST_CASE(failureToBindIsReported)
{
    Loop loop;
    TestServer test(loop);
    CallerServerSettings settings;
    settings.port = test.server->port();
    CallerServer second(loop.base(), settings, {[](const HttpRequest &, const ReplyHandle &) {}, {}, {}});
    BOOST_TEST((second.start() == std::errc::address_in_use));
    settings.address = "nowhere";
    CallerServer third(loop.base(), settings, {[](const HttpRequest &, const ReplyHandle &) {}, {}, {}});
    BOOST_TEST((third.start() == std::errc::invalid_argument));
}

// Guards against input on which the request framer and the HTTP parser disagree: such a request would be dropped without a
// response or be read as two. Every mutated request gets a response, with 408 after the timeout when it is incomplete.
BOOST_AUTO_TEST_CASE(mutatedRequestsAreAlwaysAnswered)
{
    constexpr int rounds = 60;
    constexpr std::size_t clientsPerRound = 50;
    const std::vector<std::string> seeds{
        get("/services/retake/a?b=c"),
        postStart + "Content-Length: 5\r\n\r\nhello",
        postStart + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "PUT /%41?&&==& HTTP/1.1\r\nHost: [::1]:80\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: 2\r\n\r\n--",
        "OPTIONS //a;b=c/@:!$&'()*+,=~ HTTP/1.1\r\nHost: \r\nX: \xff\x80\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    };
    const auto alphabet = "\r\n\t :/?#%&=\0\x01\x7f\xff;,aZ09-+{}\"\\"s;
    std::mt19937 engine(20);
    const auto pick = [&engine](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(engine); };

    Loop loop;
    CallerServerSettings settings;
    settings.headTimeout = 20ms;
    settings.bodyTimeout = 20ms;
    settings.idleTimeout = 20ms;
    TestServer test(loop, settings, true);
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::unique_ptr<RawClient>> clients;
        std::vector<std::string> sent;
        for (std::size_t i = 0; i < clientsPerRound; ++i) {
            auto bytes = seeds[pick(seeds.size())];
            for (auto n = pick(3); n > 0; --n) {
                const auto at = pick(bytes.size());
                const auto kind = pick(3);
                if (kind == 0) {
                    bytes[at] = alphabet[pick(alphabet.size())];
                } else if (kind == 1) {
                    bytes.insert(at, 1, alphabet[pick(alphabet.size())]);
                } else {
                    bytes.erase(at, 1);
                }
            }
            clients.push_back(std::make_unique<RawClient>(loop, test.server->port()));
            clients.back()->send(bytes);
            sent.push_back(std::move(bytes));
        }
        const auto closed = [&] { return std::all_of(clients.begin(), clients.end(), [](const auto &it) { return it->closed(); }); };
        BOOST_TEST_REQUIRE(loop.runUntil(closed));
        for (std::size_t i = 0; i < clients.size(); ++i) {
            BOOST_TEST(clients[i]->responses() >= 1U, "no response to " << sent[i]);
        }
    }
    BOOST_TEST(test.server->stats().refused > 0U);
    BOOST_TEST(test.server->stats().answered > 0U);
}

// Guards against responses that are swapped, lost or sent twice when callers pipeline and disconnect and replies come in any order,
// and against a stop that interrupts one of them. The seed is the parameter.
BOOST_DATA_TEST_CASE(randomCallersGetTheirOwnResponses, data::xrange(1, 21), seed)
{
    constexpr std::size_t clientCount = 12;
    constexpr std::size_t requestCount = 200;
    std::mt19937 engine(static_cast<std::mt19937::result_type>(seed));
    const auto pick = [&engine](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(engine); };
    Loop loop;
    CallerServerSettings settings;
    settings.stopGrace = 0s;
    TestServer test(loop, settings);
    std::vector<std::unique_ptr<RawClient>> clients(clientCount);
    std::vector<std::vector<std::string>> expected(clientCount);
    std::vector<Received> open;
    std::size_t handled = 0;
    std::size_t answered = 0;
    const auto replyToOne = [&] {
        if (open.empty()) {
            return;
        }
        std::swap(open[pick(open.size())], open.back());
        const auto it = std::move(open.back());
        open.pop_back();
        const bool wasOpen = it.reply.isOpen();
        BOOST_TEST(it.reply.send(text("answer to " + it.request.path + it.request.body)) == wasOpen);
        answered += wasOpen ? 1 : 0;
    };
    const auto collectReceived = [&] {
        handled += test.received.size();
        std::move(test.received.begin(), test.received.end(), std::back_inserter(open));
        test.received.clear();
    };
    for (std::size_t sent = 0; sent < requestCount;) {
        const auto i = pick(clientCount);
        const auto action = pick(10);
        if (!clients[i]) {
            clients[i] = std::make_unique<RawClient>(loop, test.server->port());
            expected[i].clear();
        }
        if (action < 5) {
            const auto path = "/" + std::to_string(sent++);
            const std::string body(pick(3) == 0 ? 100 : 0, 'b');
            auto bytes = "PUT " + path + " HTTP/1.1\r\nHost: t\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            bytes += body;
            clients[i]->send(bytes);
            auto expectedText = "answer to " + path;
            expectedText += body;
            expected[i].push_back(std::move(expectedText));
        } else if (action == 5 && pick(4) == 0) {
            clients[i].reset();
        } else {
            replyToOne();
        }
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        collectReceived();
    }
    const auto allAnswered = [&] {
        collectReceived();
        replyToOne();
        for (std::size_t i = 0; i < clientCount; ++i) {
            if (clients[i] && clients[i]->responses() < expected[i].size()) {
                return false;
            }
        }
        return true;
    };
    BOOST_TEST_REQUIRE(loop.runUntil(allAnswered));
    for (std::size_t i = 0; i < clientCount; ++i) {
        for (std::size_t n = 0; clients[i] && n < expected[i].size(); ++n) {
            BOOST_TEST(clients[i]->response(n).ends_with("\r\n\r\n" + expected[i][n]));
        }
    }
    BOOST_TEST(test.server->stats().answered == answered);
    BOOST_TEST(test.server->stats().disconnected == test.disconnected.size());
    BOOST_TEST(handled == test.server->stats().requests);
    test.server->stop();
    const auto stopped = [&] {
        collectReceived();
        replyToOne();
        return test.stoppedCalls == 1;
    };
    BOOST_TEST(loop.runUntil(stopped));
    BOOST_TEST(test.server->requestsInProgress() == 0U);
}
