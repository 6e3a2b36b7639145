#include "fake_endpoint.h"
#include "test_client.h"

#include <acaciarail/endpoint/endpoint_client.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Endpoint;
namespace data = boost::unit_test::data;

namespace {

auto makeAttempt(RequestId id, const std::string &address, const std::string &target = "/work") -> Attempt
{
    Attempt attempt;
    attempt.id = {id, 1};
    attempt.address = address;
    attempt.method = "GET";
    attempt.target = target;
    // Long enough not to expire; the tests of the timeout set a shorter one.
    attempt.timeout = 50s;
    return attempt;
}

auto makeResponse(const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a request that reaches the endpoint altered, with headers of the caller's own connection or without its trace
// context.
BOOST_AUTO_TEST_CASE(attemptIsSentAsGiven)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    auto attempt = makeAttempt(1, endpoint.address(), "/a%20b?c=%zz&d");
    attempt.method = "DELETE";
    attempt.headers = {{"X-One", "1"},           {"Host", "other"},    {"Connection", "close"},
                       {"Content-Length", "99"}, {"traceparent", "x"}, {"Transfer-Encoding", "no"}};
    attempt.body = "body";
    attempt.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    test.client->send(std::move(attempt));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1 && endpoint.connections[0]->received.ends_with("body"); }));
    const auto &received = endpoint.connections[0]->received;
    BOOST_TEST(received.starts_with("DELETE /a%20b?c=%zz&d HTTP/1.1\r\n"));
    BOOST_TEST(received.find("X-One: 1\r\n") != std::string::npos);
    BOOST_TEST(received.find("Host: " + endpoint.address() + "\r\n") != std::string::npos);
    BOOST_TEST(received.find("Content-Length: 4\r\n") != std::string::npos);
    BOOST_TEST(received.find("traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n") != std::string::npos);
    for (const auto *absent : {"Host: other", "close", "Content-Length: 99", "traceparent: x", "Transfer-Encoding"}) {
        BOOST_TEST(received.find(absent) == std::string::npos, "found " << absent);
    }
    endpoint.connections[0]->send("HTTP/1.1 503 Busy\r\nContent-Length: 2\r\nAcaciarail-Execution: not-run\r\nacaciarail-leaving: "
                                  "TRUE\r\nX: y\r\n\r\nno");
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    const auto *response = test.response(0);
    BOOST_TEST_REQUIRE(response);
    BOOST_TEST(response->status == 503);
    BOOST_TEST(response->body == "no");
    BOOST_TEST(response->header("x") == "y");
    BOOST_TEST(response->notRun);
    BOOST_TEST(response->leaving);
}

struct NotRunCase
{
    std::string name;
    std::string response;
    bool notRun;

    friend auto operator<<(std::ostream &out, const NotRunCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const NotRunCase notRunCases[] = {
    {"503 with statement", "HTTP/1.1 503 No\r\nAcaciarail-Execution: not-run\r\nContent-Length: 0\r\n\r\n", true},
    {"503 without statement", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false},
    {"500 with statement", "HTTP/1.1 500 No\r\nAcaciarail-Execution: not-run\r\nContent-Length: 0\r\n\r\n", false},
    {"503 with another statement", "HTTP/1.1 503 No\r\nAcaciarail-Execution: unknown\r\nContent-Length: 0\r\n\r\n", false},
};

// Guards against a request that ran and is sent again because its response is treated as a statement that it did not run.
BOOST_DATA_TEST_CASE(onlyExplicitRefusalsCountAsNotRun, data::make(notRunCases), c)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->send(c.response);
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    BOOST_TEST_REQUIRE(test.response(0));
    BOOST_TEST(test.response(0)->notRun == c.notRun);
}

struct BadResponseCase
{
    std::string name;
    std::string bytes;
    Error error;

    friend auto operator<<(std::ostream &out, const BadResponseCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const BadResponseCase badResponseCases[] = {
    {"closed", "", Error::ConnectionLost},
    {"part of the head", "HTTP/1.1 200 OK\r\nContent-Le", Error::ConnectionLost},
    {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", Error::ConnectionLost},
    {"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12", Error::ConnectionLost},
    {"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n", Error::ConnectionLost},
    {"no length", "HTTP/1.1 200 OK\r\n\r\n12345", Error::EndpointFailed},
    {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12", Error::EndpointFailed},
    {"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Error::EndpointFailed},
    {"interim status", "HTTP/1.1 103 Early\r\n\r\n", Error::EndpointFailed},
    {"status out of range", "HTTP/1.1 99999 Odd\r\nContent-Length: 0\r\n\r\n", Error::EndpointFailed},
    {"body too large", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", Error::TooLarge},
    {"chunks too large", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n",
     Error::TooLarge},
};

// Guards against an incomplete or ambiguous response that is treated as a complete one, and against reporting such a request as not run.
BOOST_DATA_TEST_CASE(badResponsesAreFailures, data::make(badResponseCases), c)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    EndpointClientSettings settings;
    settings.maxResponseBody = 1000;
    TestClient test(loop, settings);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->sendAndClose(c.bytes);
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    const auto *failure = test.failure(0);
    BOOST_TEST_REQUIRE(failure);
    BOOST_TEST(errorName(failure->failure.error) == errorName(c.error));
    BOOST_TEST(failure->mayHaveBeenSent);
    BOOST_TEST((failure->failure.execution == Execution::Unknown));
    BOOST_TEST(loop.runUntil([&] { return test.client->connections(endpoint.address()) == 0; }));
}

// Guards against malformed response heads that crash the client or leave the attempt without an outcome.
BOOST_DATA_TEST_CASE(malformedHeadsAreFailures,
                     data::make({"nonsense\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "\r\n\r\n"}), bytes)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->sendAndClose(bytes);
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    BOOST_TEST_REQUIRE(test.failure(0));
    BOOST_TEST(test.failure(0)->mayHaveBeenSent);
}

// Guards against a request that was never sent and is reported as possibly run, so that it cannot be sent elsewhere.
BOOST_AUTO_TEST_CASE(refusedConnectionMeansNotRun)
{
    Loop loop;
    std::string address;
    {
        const FakeEndpoint closedEndpoint(loop);
        address = closedEndpoint.address();
    }
    TestClient test(loop);
    test.client->send(makeAttempt(1, address));
    BOOST_TEST(test.outcomes.empty());
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    BOOST_TEST_REQUIRE(test.failure(0));
    BOOST_TEST((test.failure(0)->failure.execution == Execution::NotRun));
    BOOST_TEST((test.failure(0)->failure.error == Error::ConnectionLost));
    BOOST_TEST(!test.failure(0)->mayHaveBeenSent);
}

struct InvalidAttemptCase
{
    std::string name;
    std::function<void(Attempt &)> change;

    friend auto operator<<(std::ostream &out, const InvalidAttemptCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const InvalidAttemptCase invalidAttemptCases[] = {
    {"no address", [](Attempt &it) { it.address = ""; }},
    {"host name", [](Attempt &it) { it.address = "localhost:80"; }},
    {"no port", [](Attempt &it) { it.address = "127.0.0.1"; }},
    {"unknown method", [](Attempt &it) { it.method = "BREW"; }},
    {"space in target", [](Attempt &it) { it.target = "/a HTTP/1.1\r\nX: y\r\n\r\n"; }},
    {"relative target", [](Attempt &it) { it.target = "a"; }},
    {"line end in header",
     [](Attempt &it) {
         it.headers = {{"A", "b\r\nC: d"}};
     }},
    {"line end in header name",
     [](Attempt &it) {
         it.headers = {{"A\r\nB", "c"}};
     }},
    {"line end in traceparent", [](Attempt &it) { it.traceparent = "a\nb"; }},
    {"zero timeout", [](Attempt &it) { it.timeout = 0s; }},
    {"negative timeout", [](Attempt &it) { it.timeout = -1s; }},
};

// Guards against input that injects a second request on the connection.
BOOST_DATA_TEST_CASE(invalidAttemptsAreRefusedUnsent, data::make(invalidAttemptCases), c)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    auto attempt = makeAttempt(1, endpoint.address());
    c.change(attempt);
    test.client->send(std::move(attempt));
    BOOST_TEST(test.outcomes.empty());
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    BOOST_TEST_REQUIRE(test.failure(0));
    BOOST_TEST((test.failure(0)->failure.error == Error::MalformedInput));
    BOOST_TEST((test.failure(0)->failure.execution == Execution::NotRun));
    BOOST_TEST(endpoint.connections.empty());
}

// Guards against responses that are attributed to the wrong request when they arrive late and in another order.
BOOST_AUTO_TEST_CASE(responsesBelongToTheirRequests)
{
    constexpr std::size_t count = 64;
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    std::mt19937 random(5);
    for (int round = 0; round < 5; ++round) {
        test.outcomes.clear();
        for (std::size_t i = 0; i < count; ++i) {
            test.client->send(makeAttempt(i, endpoint.address(), "/" + std::to_string(i) + "."));
        }
        const auto before = static_cast<std::size_t>(round) * count;
        BOOST_TEST_REQUIRE(loop.runUntil([&] { return endpoint.requests() == before + count; }));
        std::vector<std::size_t> order(count);
        std::generate(order.begin(), order.end(), [n = std::size_t{0}]() mutable { return n++; });
        std::shuffle(order.begin(), order.end(), random);
        for (const auto i : order) {
            const auto &received = endpoint.connections[i]->received;
            const auto at = received.rfind("GET ") + 4;
            endpoint.connections[i]->send(makeResponse(received.substr(at, received.find(' ', at) - at)));
        }
        BOOST_TEST_REQUIRE(loop.runUntil([&] { return test.outcomes.size() == count; }));
        for (std::size_t i = 0; i < count; ++i) {
            BOOST_TEST_REQUIRE(test.response(i));
            BOOST_TEST(test.response(i)->body == "/" + std::to_string(test.outcomes[i].id.request) + ".");
        }
    }
    BOOST_TEST(endpoint.connections.size() == count);
    BOOST_TEST(test.client->connections(endpoint.address()) == count);
}

// Guards against more connections to an endpoint than the limit; the attempt above it is refused as not run.
BOOST_AUTO_TEST_CASE(connectionsAreLimited)
{
    constexpr std::size_t limit = 64;
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    for (std::size_t i = 0; i <= limit; ++i) {
        test.client->send(makeAttempt(i, endpoint.address()));
    }
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == limit && test.outcomes.size() == 1; }));
    BOOST_TEST(endpoint.connections.size() == limit);
    BOOST_TEST(test.outcomes[0].id.request == limit);
    BOOST_TEST_REQUIRE(test.failure(0));
    BOOST_TEST((test.failure(0)->failure.error == Error::Overloaded));
    BOOST_TEST(!test.failure(0)->mayHaveBeenSent);
    endpoint.connections[0]->send(makeResponse("a"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 2; }));
    test.client->send(makeAttempt(100, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == limit + 1; }));
    BOOST_TEST(endpoint.connections.size() == limit);
}

struct ReuseCase
{
    std::string name;
    std::string response;
    bool reused;

    friend auto operator<<(std::ostream &out, const ReuseCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const ReuseCase reuseCases[] = {
    {"plain", makeResponse("ok"), true},
    {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", true},
    {"close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
    {"http 1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
    {"surplus bytes", makeResponse("ok") + "x", false},
    {"second response", makeResponse("ok") + makeResponse("forged"), false},
};

// Guards against bytes after a response that are treated as the response to the next request.
BOOST_DATA_TEST_CASE(connectionIsReusedOnlyAfterACompleteResponse, data::make(reuseCases), c)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->send(c.response);
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    BOOST_TEST_REQUIRE(test.response(0));
    test.client->send(makeAttempt(2, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 2; }));
    BOOST_TEST(endpoint.connections.size() == (c.reused ? 1U : 2U));
    endpoint.connections.back()->send(makeResponse("second"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 2; }));
    BOOST_TEST_REQUIRE(test.response(1));
    BOOST_TEST(test.response(1)->body == "second");
}

// Guards against a non-idempotent request on an idle connection that the endpoint may be closing, and against exceeding the limit of
// the pool for a new connection.
BOOST_AUTO_TEST_CASE(freshConnectionIsOpenedOnRequest)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    EndpointClientSettings settings;
    settings.maxConnectionsPerEndpoint = 2;
    TestClient test(loop, settings);
    for (RequestId i = 1; i <= 4; ++i) {
        auto attempt = makeAttempt(i, endpoint.address());
        attempt.freshConnection = true;
        test.client->send(std::move(attempt));
        BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == i; }));
        BOOST_TEST(endpoint.connections.size() == i);
        BOOST_TEST(test.client->connections(endpoint.address()) <= 2U);
        endpoint.connections.back()->send(makeResponse("ok"));
        BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == i; }));
        BOOST_TEST_REQUIRE(test.response(i - 1));
    }
}

// Guards against unsolicited bytes on an idle connection that are delivered as the response to the next request.
BOOST_AUTO_TEST_CASE(unsolicitedBytesCloseAnIdleConnection)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->send(makeResponse("first"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    endpoint.connections[0]->send(makeResponse("forged"));
    BOOST_TEST(loop.runUntil([&] { return test.client->connections(endpoint.address()) == 0; }));
    test.client->send(makeAttempt(2, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 2; }));
    endpoint.connections.back()->send(makeResponse("second"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 2; }));
    BOOST_TEST(test.response(1)->body == "second");
}

// Guards against a request on a connection that the endpoint closed while it was idle.
BOOST_AUTO_TEST_CASE(closedIdleConnectionIsNotReused)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->send(makeResponse("first"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    // The second request is sent before the event loop can report the end of the connection.
    endpoint.connections[0]->close();
    test.client->send(makeAttempt(2, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 2; }));
    endpoint.connections.back()->send(makeResponse("second"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 2; }));
    BOOST_TEST_REQUIRE(test.response(1));
}

struct UnresponsiveCase
{
    std::string name;
    std::string part;
    Duration timeout;
    Duration progressTimeout;
    bool unresponsive;

    friend auto operator<<(std::ostream &out, const UnresponsiveCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const UnresponsiveCase unresponsiveCases[] = {
    {"no byte within the timeout", "", 20ms, 0ms, true},
    {"a part within the timeout", "HTTP/1.1 200 OK\r\n", 60ms, 0ms, false},
    {"no byte within the progress timeout", "", 50s, 20ms, true},
    {"a part, then no progress", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12", 50s, 40ms, true},
};

// Guards against waiting for connections that stopped responding, and against reusing them.
BOOST_DATA_TEST_CASE(unresponsiveConnectionsAreClosed, data::make(unresponsiveCases), c)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    auto attempt = makeAttempt(1, endpoint.address());
    attempt.timeout = c.timeout;
    attempt.progressTimeout = c.progressTimeout;
    test.client->send(std::move(attempt));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->send(c.part);
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    BOOST_TEST_REQUIRE(test.failure(0));
    BOOST_TEST((test.failure(0)->failure.error == Error::Timeout));
    BOOST_TEST((test.failure(0)->failure.execution == Execution::Unknown));
    BOOST_TEST(test.failure(0)->mayHaveBeenSent);
    BOOST_TEST(test.failure(0)->unresponsive == c.unresponsive);
    BOOST_TEST(loop.runUntil([&] { return endpoint.connections[0]->closed; }));
    test.client->send(makeAttempt(2, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 2; }));
    BOOST_TEST(endpoint.connections.size() == 2U);
    endpoint.connections[1]->send(makeResponse("new"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 2; }));
    BOOST_TEST_REQUIRE(test.response(1));
    BOOST_TEST(test.response(1)->body == "new");
}

// Guards against a cancelled attempt whose response is delivered, also as the response to the next request on its connection.
BOOST_AUTO_TEST_CASE(cancelledAttemptGivesNoOutcome)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address(), "/one"));
    BOOST_TEST(!test.client->cancel({1, 1}));
    test.client->send(makeAttempt(2, endpoint.address(), "/two"));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    auto &connection = *endpoint.connections.back();
    BOOST_TEST(connection.received.starts_with("GET /two"));
    BOOST_TEST(test.client->cancel({2, 1}));
    BOOST_TEST(!test.client->cancel({2, 1}));
    connection.send(makeResponse("late"));
    BOOST_TEST(loop.runUntil([&] { return connection.closed; }));
    test.client->send(makeAttempt(3, endpoint.address(), "/three"));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 2; }));
    endpoint.connections.back()->send(makeResponse("three"));
    BOOST_TEST(loop.runUntil([&] { return !test.outcomes.empty(); }));
    BOOST_TEST(test.outcomes[0].id.request == 3U);
    BOOST_TEST(test.response(0)->body == "three");
    BOOST_TEST(test.outcomes.size() == 1U);
    BOOST_TEST(test.client->attemptsInProgress() == 0U);
}

// Guards against an outcome that is delivered although its attempt was cancelled in the same iteration of the event loop.
BOOST_AUTO_TEST_CASE(undeliveredOutcomeCanBeCancelled)
{
    Loop loop;
    TestClient test(loop);
    test.client->send(makeAttempt(1, "nowhere"));
    test.client->send(makeAttempt(2, "nowhere"));
    BOOST_TEST(!test.client->cancel({1, 1}));
    BOOST_TEST(loop.runUntil([&] { return !test.outcomes.empty(); }));
    BOOST_TEST(test.outcomes.size() == 1U);
    BOOST_TEST(test.outcomes[0].id.request == 2U);
}

// Guards against new requests on connections to an endpoint that no longer exists.
BOOST_AUTO_TEST_CASE(connectionsOfARemovedEndpointAreClosed)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    test.client->send(makeAttempt(2, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 2; }));
    endpoint.connections[0]->send(makeResponse("idle"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    test.client->removeEndpoint(endpoint.address());
    BOOST_TEST(test.client->connections(endpoint.address()) == 1U);
    endpoint.connections[1]->send(makeResponse("last"));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 2; }));
    BOOST_TEST_REQUIRE(test.response(1));
    BOOST_TEST(test.client->connections(endpoint.address()) == 0U);
}

// Guards against idle connections that stay open permanently.
BOOST_AUTO_TEST_CASE(idleConnectionsAreClosed)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    EndpointClientSettings settings;
    settings.idleTimeout = 20ms;
    TestClient test(loop, settings);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    endpoint.connections[0]->send(makeResponse("ok"));
    BOOST_TEST(loop.runUntil([&] { return endpoint.connections[0]->closed; }));
    BOOST_TEST(test.outcomes.size() == 1U);
    BOOST_TEST(test.client->connections(endpoint.address()) == 0U);
}

// Guards against a graceful stop that interrupts attempts, starts new ones or never completes.
BOOST_AUTO_TEST_CASE(stopLetsAttemptsFinish)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    test.client->stop();
    test.client->send(makeAttempt(2, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return test.outcomes.size() == 1; }));
    BOOST_TEST_REQUIRE(test.failure(0));
    BOOST_TEST((test.failure(0)->failure.error == Error::Draining));
    BOOST_TEST(!test.failure(0)->mayHaveBeenSent);
    BOOST_TEST(test.stopped == 0);
    endpoint.connections[0]->send(makeResponse("done"));
    BOOST_TEST(loop.runUntil([&] { return test.stopped > 0; }));
    BOOST_TEST(test.outcomes.size() == 2U);
    BOOST_TEST_REQUIRE(test.response(1));
    test.client->stop();
    BOOST_TEST(loop.runUntil([&] { return endpoint.connections[0]->closed; }));
    BOOST_TEST(test.stopped == 1);
}

// Guards against a stop that never completes because the last attempt was cancelled.
BOOST_AUTO_TEST_CASE(cancellingTheLastAttemptCompletesTheStop)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    TestClient test(loop);
    test.client->send(makeAttempt(1, endpoint.address()));
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests() == 1; }));
    test.client->stop();
    test.client->cancel({1, 1});
    BOOST_TEST(loop.runUntil([&] { return test.stopped == 1; }));
    BOOST_TEST(test.outcomes.empty());
}

// Guards against failures when the client is destroyed by its own hook or with attempts in progress.
BOOST_AUTO_TEST_CASE(clientMayBeDestroyedAtAnyTime)
{
    Loop loop;
    FakeEndpoint endpoint(loop);
    std::unique_ptr<EndpointClient> client;
    int outcomes = 0;
    EndpointClientHooks hooks;
    hooks.onOutcome = [&client, &outcomes](const AttemptOutcome &) {
        ++outcomes;
        client.reset();
    };
    client = std::make_unique<EndpointClient>(loop.base(), EndpointClientSettings{}, std::move(hooks));
    client->send(makeAttempt(1, endpoint.address()));
    client->send(makeAttempt(2, endpoint.address()));
    client->send(makeAttempt(3, "nowhere"));
    client->send(makeAttempt(4, "nowhere"));
    BOOST_TEST(loop.runUntil([&] { return outcomes > 0; }));
    BOOST_TEST(!client);
    BOOST_TEST(outcomes == 1);
}

namespace {

constexpr int actionCount = 10;

/// Answers the last request of \a connection. Variants 0 to 3 are faulty, 4 closes the connection after the response.
auto sendResponseVariant(FakeEndpoint::Connection &connection, std::size_t variant) -> void
{
    const auto &received = connection.received;
    const auto at = received.rfind("GET ") + 4;
    const auto body = received.substr(at, received.find(' ', at) - at);
    const auto whole = makeResponse(body);
    switch (variant) {
    case 0:
        connection.sendAndClose(whole.substr(0, whole.size() - 1));
        break;
    case 1:
        connection.close();
        break;
    case 2:
        connection.send(whole + makeResponse("forged"));
        break;
    case 3:
        connection.send(whole.substr(0, whole.size() / 2));
        break;
    case 4:
        connection.sendAndClose(whole);
        break;
    default:
        connection.send(whole);
    }
}

} // namespace

// Guards against responses that are attributed to the wrong request, outcomes that are lost or delivered twice, and reports that nothing
// was sent although the endpoint received the request, under random failures, cancellations and timeouts. The parameter is the seed.
BOOST_DATA_TEST_CASE(outcomesAreCorrectUnderRandomFailures, data::xrange(1, 21), seed)
{
    constexpr std::size_t count = 300;
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    const auto pick = [&random](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    Loop loop;
    FakeEndpoint endpoint(loop);
    EndpointClientSettings settings;
    settings.maxConnectionsPerEndpoint = 8;
    TestClient test(loop, settings);
    std::vector<std::size_t> cancelledUnsent;
    std::size_t cancelled = 0;
    std::size_t sent = 0;
    while (sent < count || test.client->attemptsInProgress() > 0) {
        const auto action = pick(actionCount);
        if (action < 5 && sent < count) {
            auto attempt = makeAttempt(sent, endpoint.address(), "/" + std::to_string(sent) + ".");
            attempt.timeout = pick(4) == 0 ? Duration(2ms) : Duration(200ms);
            attempt.freshConnection = pick(4) == 0;
            test.client->send(std::move(attempt));
            ++sent;
        } else if (action == 5 && sent > 0) {
            const auto id = sent - 1 - pick(std::min<std::size_t>(sent, 8));
            const auto before = test.client->attemptsInProgress();
            const bool mayHaveBeenSent = test.client->cancel({id, 1});
            const bool wasInProgress = test.client->attemptsInProgress() < before;
            cancelled += wasInProgress ? 1 : 0;
            if (wasInProgress && !mayHaveBeenSent) {
                cancelledUnsent.push_back(id);
            }
        } else if (!endpoint.connections.empty()) {
            auto &connection = *endpoint.connections[pick(endpoint.connections.size())];
            if (connection.bev != nullptr && !connection.closed && connection.requests() > connection.answered) {
                ++connection.answered;
                sendResponseVariant(connection, pick(20));
            }
        }
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    std::string received;
    for (const auto &it : endpoint.connections) {
        received += it->received;
    }
    const auto wasReceived = [&received](std::size_t id) {
        return received.find("GET /" + std::to_string(id) + ". ") != std::string::npos;
    };
    for (const auto id : cancelledUnsent) {
        BOOST_TEST(!wasReceived(id));
    }
    BOOST_TEST(test.outcomes.size() + cancelled == count);
    std::vector<bool> seen(count, false);
    std::size_t completeResponses = 0;
    for (std::size_t i = 0; i < test.outcomes.size(); ++i) {
        const auto id = test.outcomes[i].id.request;
        BOOST_TEST(!seen[id]);
        seen[id] = true;
        if (const auto *response = test.response(i)) {
            BOOST_TEST(response->body == "/" + std::to_string(id) + ".");
            ++completeResponses;
        } else if (!test.failure(i)->mayHaveBeenSent) {
            BOOST_TEST((test.failure(i)->failure.execution == Execution::NotRun));
            BOOST_TEST(!wasReceived(id));
        }
    }
    BOOST_TEST(completeResponses > 0U);
}
