#pragma once

#include "raw_client.h"

#include <acaciarail/caller/caller_server.h>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

struct Received
{
    Acaciarail::Caller::HttpRequest request;
    Acaciarail::Caller::ReplyHandle reply;
};

/// Server that stores its requests, to which the test replies.
class TestServer
{
public:
    explicit TestServer(Loop &loop, Acaciarail::Caller::CallerServerSettings settings = {}, bool replyAtOnce = false)
    {
        // The clients of these tests do not close their side of a connection, so the server would wait for the whole timeout.
        settings.lingerTimeout = std::chrono::milliseconds(20);
        Acaciarail::Caller::CallerServerHooks hooks;
        hooks.onRequest = [this, replyAtOnce](Acaciarail::Caller::HttpRequest request, Acaciarail::Caller::ReplyHandle reply) {
            if (replyAtOnce) {
                reply.send(Acaciarail::Caller::makeResponse(200, "text/plain", "answer to " + request.path));
            }
            received.push_back({std::move(request), std::move(reply)});
        };
        hooks.onDisconnect = [this](Acaciarail::RequestId id) { disconnected.push_back(id); };
        hooks.onStopped = [this] { ++stoppedCalls; };
        server = std::make_unique<Acaciarail::Caller::CallerServer>(loop.base(), std::move(settings), std::move(hooks));
        const auto ec = server->start();
        BOOST_TEST_REQUIRE(!ec);
        BOOST_TEST_REQUIRE(server->port() != 0);
    }

    std::vector<Received> received;
    std::vector<Acaciarail::RequestId> disconnected;
    int stoppedCalls = 0;
    std::unique_ptr<Acaciarail::Caller::CallerServer> server;
};
