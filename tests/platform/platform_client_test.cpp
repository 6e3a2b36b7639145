#include "../runtime/raw_socket.h"

#include <acaciarail/core.h>
#include <acaciarail/platform.h>
#include <acaciarail/runtime.h>

#include <platform_server.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Platform;
using namespace Acaciarail::Standins;
using namespace Acaciarail::Tests;
namespace data = boost::unit_test::data;

/// Returns settings for a client of the stand-in at \a address; a request without a response ends after \a timeout.
static auto settingsFor(const Runtime::SocketAddress &address, Duration timeout = maxWait) -> PlatformSettings
{
    return {.address = address, .zone = ZoneName("zone-a"), .requestTimeout = timeout};
}

/// A platform stand-in on the event loop of the test.
struct PlatformFixture
{
    PlatformFixture()
    {
        BOOST_REQUIRE(!server.listen());
    }

    auto append(LogClient &client, const std::vector<std::string> &records) -> AppendResult
    {
        std::optional<AppendResult> out;
        client.append(records, [&out](AppendResult r) { out = std::move(r); });
        BOOST_TEST(!out.has_value());
        BOOST_REQUIRE(loop.runUntil([&out] { return out.has_value(); }, maxWait));
        return *out;
    }

    auto read(LogClient &client, ReadRequest request) -> ReadResult
    {
        std::optional<ReadResult> out;
        client.read(request, [&out](ReadResult r) { out = std::move(r); });
        BOOST_REQUIRE(loop.runUntil([&out] { return out.has_value(); }, maxWait));
        return *out;
    }

    auto fetch(InstanceListClient &client) -> InstanceListResult
    {
        std::optional<InstanceListResult> out;
        client.fetch([&out](InstanceListResult r) { out = std::move(r); });
        BOOST_REQUIRE(loop.runUntil([&out] { return out.has_value(); }, maxWait));
        return *out;
    }

    Runtime::EventLoop loop;
    PlatformServer server{loop};
};

namespace {

struct FaultCase
{
    std::string name;
    LogMode mode;
    bool cut;
    Duration timeout;
    AppendStatus status;
    Error error;
    LogOffset end;

    friend auto operator<<(std::ostream &out, const FaultCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const FaultCase faultCases[] = {
    {"up", LogMode::Up, false, maxWait, AppendStatus::Appended, Error::Ok, 3},
    {"down", LogMode::Down, false, maxWait, AppendStatus::NotAppended, Error::LogUnavailable, 1},
    {"answer lost", LogMode::LoseAnswers, false, maxWait, AppendStatus::OutcomeUnknown, Error::ConnectionLost, 3},
    {"slower than the timeout", LogMode::Slow, false, 30ms, AppendStatus::OutcomeUnknown, Error::Timeout, 3},
    {"zone cut off", LogMode::Up, true, 30ms, AppendStatus::OutcomeUnknown, Error::Timeout, 1},
};

struct StatusCase
{
    int status;
    std::string body;
    AppendStatus append;
    ReadStatus read;

    friend auto operator<<(std::ostream &out, const StatusCase &c) -> std::ostream &
    {
        return out << c.status << ' ' << c.body;
    }
};

const StatusCase statusCases[] = {
    {200, "no JSON", AppendStatus::OutcomeUnknown, ReadStatus::Failed},
    {400, "{}", AppendStatus::NotAppended, ReadStatus::Failed},
    {408, "{}", AppendStatus::OutcomeUnknown, ReadStatus::Failed},
    {410, R"({"earliest":4})", AppendStatus::NotAppended, ReadStatus::NotRetained},
    {410, R"({"earliest":"4"})", AppendStatus::NotAppended, ReadStatus::Failed},
    {500, "{}", AppendStatus::OutcomeUnknown, ReadStatus::Failed},
    {503, "{}", AppendStatus::NotAppended, ReadStatus::Failed},
    {504, "{}", AppendStatus::OutcomeUnknown, ReadStatus::Failed},
};

struct RawResponseCase
{
    std::string name;
    std::string bytes;

    friend auto operator<<(std::ostream &out, const RawResponseCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const RawResponseCase rawResponseCases[] = {
    {"nothing", ""},
    {"no HTTP", std::string("\0\1\2\3\r\n\r\n", 8)},
    {"headers end early", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"body ends early", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"first\":0,"},
    {"body too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{"},
    {"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n{}"},
    {"header without end", "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x')},
};

} // namespace

// Guards against an append reported as not done that took effect, or as done that did not.
BOOST_DATA_TEST_CASE(appendResultsAreTruthful, data::make(faultCases), c)
{
    PlatformFixture fixture;
    LogClient first(fixture.loop, settingsFor(fixture.server.address()));
    BOOST_TEST((fixture.append(first, {"a"}).status == AppendStatus::Appended));
    fixture.server.model().setMode(c.mode, maxWait * 2);
    if (c.cut) {
        fixture.server.model().cutZone(ZoneName("zone-a"));
    }
    LogClient client(fixture.loop, settingsFor(fixture.server.address(), c.timeout));
    const auto result = fixture.append(client, {"b", "c"});
    BOOST_TEST(appendStatusName(result.status) == appendStatusName(c.status));
    BOOST_TEST((result.error == make_error_code(c.error) || (c.error == Error::Ok && !result.error)));
    BOOST_TEST(fixture.server.model().end() == c.end);
    // The client remains usable.
    fixture.server.model().setMode(LogMode::Up);
    fixture.server.model().restoreZones();
    const auto after = fixture.append(first, {"d"});
    BOOST_TEST((after.status == AppendStatus::Appended));
    BOOST_TEST(after.first == c.end);
}

// Guards against an unreachable log that leaves the outcome of appends unknown although nothing was sent.
BOOST_AUTO_TEST_CASE(refusedConnectionIsNotAppended)
{
    PlatformFixture fixture;
    RawSocket socket;
    const auto port = socket.listen();
    socket.close();
    LogClient client(fixture.loop, settingsFor({"127.0.0.1", port}));
    const auto result = fixture.append(client, {"a"});
    BOOST_TEST(appendStatusName(result.status) == "not-appended");
    BOOST_TEST((result.error == make_error_code(Error::LogUnavailable)));
    BOOST_TEST((fixture.read(client, {}).error == make_error_code(Error::LogUnavailable)));
}

// Guards against a status code that is mapped to the wrong result.
BOOST_DATA_TEST_CASE(statusCodesAreInterpreted, data::make(statusCases), c)
{
    PlatformFixture fixture;
    fixture.server.setFixedAnswer(c.status, c.body);
    LogClient client(fixture.loop, settingsFor(fixture.server.address()));
    BOOST_TEST(appendStatusName(fixture.append(client, {"a"}).status) == appendStatusName(c.append));
    const auto read = fixture.read(client, {3, 10, 0s});
    BOOST_TEST(readStatusName(read.status) == readStatusName(c.read));
    BOOST_TEST((c.read != ReadStatus::NotRetained || read.earliest == 4U));
    InstanceListClient list(fixture.loop, settingsFor(fixture.server.address()));
    BOOST_TEST(!fixture.fetch(list).list.has_value());
}

// Guards against malformed responses that crash the client, never end, or hide that the records may have been appended.
BOOST_DATA_TEST_CASE(malformedResponsesLeaveTheOutcomeUnknown, data::make(rawResponseCases), c)
{
    PlatformFixture fixture;
    const RawSocket listener;
    const auto port = listener.listen();
    LogClient client(fixture.loop, settingsFor({"127.0.0.1", port}));
    std::optional<AppendResult> result;
    client.append({"a"}, [&result](AppendResult r) { result = std::move(r); });
    RawSocket server(listener.accept());
    std::string request;
    BOOST_REQUIRE(fixture.loop.runUntil(
        [&] {
            request += server.readAvailable();
            fixture.loop.post([] {});
            return request.find("\r\n\r\n") != std::string::npos;
        },
        maxWait));
    server.write(c.bytes);
    server.close();
    BOOST_REQUIRE(fixture.loop.runUntil([&result] { return result.has_value(); }, maxWait));
    BOOST_TEST(appendStatusName(result->status) == "outcome-unknown");
}

// Guards against records that are altered in transit, and against a long poll that a new record does not end.
BOOST_AUTO_TEST_CASE(readsWaitForRecords)
{
    PlatformFixture fixture;
    LogClient client(fixture.loop, settingsFor(fixture.server.address()));
    const std::string binary("\0\xff\x91\r\n", 5);
    std::optional<ReadResult> waiting;
    client.read({0, 10, maxWait}, [&waiting](ReadResult r) { waiting = std::move(r); });
    BOOST_TEST((fixture.append(client, {binary, ""}).status == AppendStatus::Appended));
    BOOST_REQUIRE(fixture.loop.runUntil([&waiting] { return waiting.has_value(); }, maxWait));
    BOOST_TEST(readStatusName(waiting->status) == "ok");
    BOOST_TEST((waiting->entries == std::vector<LogEntry>{{0, binary}, {1, ""}}));
    BOOST_TEST(waiting->next == 2U);
    BOOST_TEST(fixture.read(client, {2, 10, 1ms}).entries.empty());
    fixture.server.model().retainFrom(1);
    const auto notRetained = fixture.read(client, {0, 10, 0s});
    BOOST_TEST(readStatusName(notRetained.status) == "not-retained");
    BOOST_TEST(notRetained.earliest == 1U);
}

// Guards against a record above the size limit of one read response, which could then never be read.
BOOST_AUTO_TEST_CASE(largeRecordsAreRead)
{
    PlatformFixture fixture;
    LogClient client(fixture.loop, settingsFor(fixture.server.address()));
    const std::string large(maxReadBytes * 4, 'x');
    BOOST_TEST((fixture.append(client, {large}).status == AppendStatus::Appended));
    const auto read = fixture.read(client, {0, 10, 0s});
    BOOST_REQUIRE(read.entries.size() == 1U);
    BOOST_TEST((read.entries[0].bytes == large));
}

// Guards against hooks that run after the client was destroyed, and against a hook that cannot destroy its client.
BOOST_AUTO_TEST_CASE(clientMayBeDestroyedAtAnyTime)
{
    PlatformFixture fixture;
    auto client = std::make_unique<LogClient>(fixture.loop, settingsFor(fixture.server.address()));
    int calls = 0;
    client->read({0, 10, maxWait}, [&calls](const ReadResult &) { ++calls; });
    client->append({"a"}, [&](const AppendResult &) {
        client.reset();
        ++calls;
    });
    BOOST_TEST(fixture.loop.runUntil([&calls] { return calls > 0; }, maxWait));
    LogClient other(fixture.loop, settingsFor(fixture.server.address()));
    BOOST_TEST((fixture.append(other, {"b"}).status == AppendStatus::Appended));
    BOOST_TEST(calls == 1);
}

// Guards against a connection that the platform closed while it was idle and that makes all later requests fail.
BOOST_AUTO_TEST_CASE(closedIdleConnectionIsReplaced)
{
    PlatformFixture fixture;
    auto server = std::make_unique<PlatformServer>(fixture.loop);
    BOOST_REQUIRE(!server->listen());
    const auto address = server->address();
    LogClient client(fixture.loop, settingsFor(address));
    BOOST_TEST((fixture.append(client, {"a"}).status == AppendStatus::Appended));
    server = std::make_unique<PlatformServer>(fixture.loop, address);
    BOOST_REQUIRE(!server->listen());
    // Depending on whether the client has noticed the closed connection, the append succeeds or its outcome is unknown.
    const auto second = fixture.append(client, {"b"});
    BOOST_TEST((second.status != AppendStatus::NotAppended));
    BOOST_TEST((fixture.append(client, {"c"}).status == AppendStatus::Appended));
}

// Guards against a list as another zone sees it, and against a partitioned zone in which the request never ends.
BOOST_AUTO_TEST_CASE(instanceListIsFetched)
{
    PlatformFixture fixture;
    ListedInstance worker;
    worker.name = "worker-1";
    worker.kind = ListedKind::Worker;
    worker.address = "127.0.0.1:4000";
    worker.region = "region";
    worker.zone = "zone-a";
    worker.rack = "rack";
    worker.accelerators = 8;
    fixture.server.model().add(worker, fixture.loop.now());
    InstanceListClient client(fixture.loop, settingsFor(fixture.server.address()));
    const auto result = fixture.fetch(client);
    BOOST_REQUIRE(result.list.has_value());
    BOOST_TEST(result.list->workers.size() == 1U);
    fixture.server.model().cutZone(ZoneName("zone-a"));
    InstanceListClient impatient(fixture.loop, settingsFor(fixture.server.address(), 30ms));
    const auto cut = fixture.fetch(impatient);
    BOOST_TEST(!cut.list.has_value());
    BOOST_TEST((cut.failure.error == Error::Timeout));
}
