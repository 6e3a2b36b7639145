#include "worker_client.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Adapter::Tests {

namespace {

namespace data = boost::unit_test::data;
using Workflow::StartOutcome;

constexpr const char *host = "127.0.0.1";

/// One incarnation of a worker. Its connections close with it.
class WorkerProcess
{
public:
    WorkerProcess(Runtime::EventLoop &loop, std::uint16_t port, std::int64_t incarnation)
        : m_incarnation(incarnation)
        , m_http(evhttp_new(loop.base()))
    {
        auto *bound = evhttp_bind_socket_with_handle(m_http, host, port);
        BOOST_REQUIRE(bound != nullptr);
        sockaddr_in address{};
        socklen_t n = sizeof address;
        ::getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address), &n);
        m_port = ntohs(address.sin_port);
        evhttp_set_gencb(
            m_http, [](evhttp_request *request, void *self) { static_cast<WorkerProcess *>(self)->handle(request); }, this);
    }
    ~WorkerProcess()
    {
        evhttp_free(m_http);
    }
    WorkerProcess(const WorkerProcess &) = delete;
    auto operator=(const WorkerProcess &) -> WorkerProcess & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_port;
    }
    [[nodiscard]] auto starts() const -> int
    {
        return m_starts;
    }
    [[nodiscard]] auto requests() const -> int
    {
        return m_requests;
    }
    /// From now on, closes each connection after one response.
    auto closeAfterEachResponse() -> void
    {
        m_closing = true;
    }
    /// The next response to a poll lists this end, and no later one does, as if the worker had left.
    auto reportEndOnce(std::uint64_t number) -> void
    {
        m_end = number;
    }
    /// The highest number of an end that a poll has acknowledged.
    [[nodiscard]] auto acknowledged() const -> std::uint64_t
    {
        return m_acknowledged;
    }

private:
    auto handle(evhttp_request *request) -> void
    {
        const std::string path = evhttp_request_get_uri(request);
        m_starts += path == "/api/run-start" ? 1 : 0;
        ++m_requests;
        auto *input = evhttp_request_get_input_buffer(request);
        std::string received(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, received.data(), received.size());
        m_acknowledged = std::max(m_acknowledged, nlohmann::json::parse(received).value("lastSeen", std::uint64_t{0}));
        const auto number = path == "/api/hold" ? std::exchange(m_end, 0) : 0;
        const auto end = number == 0 ? "" : "[" + std::to_string(number) + R"(,"0123456789abcdef.0.0.0",1,"done",""])";
        const auto body = R"({"clockMs":1000,"running":[],"ended":[)" + end + R"(],"born":)" + std::to_string(m_incarnation) + "}";
        if (m_closing) {
            evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
        evhttp_send_reply(request, 200, nullptr, nullptr);
    }

    std::int64_t m_incarnation;
    evhttp *m_http;
    std::uint16_t m_port = 0;
    int m_starts = 0;
    int m_requests = 0;
    bool m_closing = false;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_end = 0;
};

struct Client
{
    Runtime::EventLoop loop;
    InstanceMetrics metrics;
    WorkerClient client{loop, metrics};
    Workflow::WorkerHooks hooks = client.hooks({});

    auto poll(std::uint64_t recordedEnds = 0, std::int64_t incarnation = 0, const Workflow::ReportHook &reported = {}) -> bool
    {
        std::optional<bool> answered;
        hooks.poll({WorkerName("w"), recordedEnds, {}, {}, incarnation, reported}, 1,
                   [&](const auto &response) { answered = response.report.has_value(); });
        loop.runUntil([&] { return answered.has_value(); }, 5s);
        return answered.value_or(false);
    }
    auto start(std::int64_t incarnation, const Workflow::ReportHook &reported = {}) -> std::optional<StartOutcome>
    {
        std::optional<StartOutcome> outcome;
        Workflow::StartCommand command{WorkerName("w"), {JobId("0123456789abcdef"), 0, 0, 0}, 1, "payload", {}, 3s};
        command.incarnation = incarnation;
        command.reported = reported;
        hooks.start(command, 1, [&](StartOutcome o) { outcome = o; });
        loop.runUntil([&] { return outcome.has_value(); }, 5s);
        return outcome;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(workerClient)

struct IncarnationCase
{
    const char *name;
    /// Of the worker that is polled, and of the one at its address when the start is sent.
    std::int64_t polled;
    std::int64_t running;
    /// That the start is meant for; 0 for any.
    std::int64_t target;
    /// Empty for any outcome but Started; which one depends on when the closed connection is noticed.
    std::optional<StartOutcome> expected;
    /// Whether the client gets to notice the closed connections of the earlier process before the start.
    bool closeNoticed = true;
};

auto operator<<(std::ostream &out, const IncarnationCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<IncarnationCase> incarnationCases{
    {"the same process", 5, 5, 5, StartOutcome::Started},
    {"a restart that the holder does not know of", 5, 6, 5, StartOutcome::OtherIncarnation},
    {"a restart of which not even the closed connection is known", 5, 6, 5, std::nullopt, false},
    {"a restart that the holder knows of from the list", 5, 6, 6, StartOutcome::Started},
    {"a platform that does not tell incarnations apart", 0, 0, 0, StartOutcome::Started},
};

// Guards against a start that reaches another incarnation of a worker than the one it was decided for, whose kind may be another.
BOOST_DATA_TEST_CASE(aStartReachesOnlyTheIncarnationThatItIsMeantFor, data::make(incarnationCases), c)
{
    Client client;
    auto process = std::make_unique<WorkerProcess>(client.loop, 0, c.polled);
    const auto port = process->port();
    client.client.setAddress(WorkerName("w"), {host, port});
    BOOST_REQUIRE(client.poll());
    if (c.running != c.polled) {
        process.reset();
        process = std::make_unique<WorkerProcess>(client.loop, port, c.running);
        if (c.closeNoticed) {
            client.loop.runUntil([] { return false; }, 50ms);
        }
    }
    const auto outcome = client.start(c.target);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((c.expected ? *outcome == *c.expected : *outcome != StartOutcome::Started));
    BOOST_TEST(process->starts() == (c.expected == StartOutcome::Started ? 1 : 0));
}

// Guards against an incarnation that forgets its ends because those of an earlier one with the same numbers are recorded.
BOOST_AUTO_TEST_CASE(anAcknowledgementReachesOnlyTheIncarnationThatReportedTheEnds)
{
    Client client;
    auto process = std::make_unique<WorkerProcess>(client.loop, 0, 5);
    const auto port = process->port();
    client.client.setAddress(WorkerName("w"), {host, port});
    BOOST_REQUIRE(client.poll());
    BOOST_TEST(client.poll(7, 5));
    BOOST_TEST(process->acknowledged() == 7U);
    process.reset();
    process = std::make_unique<WorkerProcess>(client.loop, port, 6);
    client.loop.runUntil([] { return false; }, 50ms);
    BOOST_TEST(client.poll(7, 5));
    BOOST_TEST(process->acknowledged() == 0U);
    BOOST_TEST(client.poll(2, 6));
    BOOST_TEST(process->acknowledged() == 2U);
}

// Guards against starts that wait for the only connection that is known to lead to the worker.
BOOST_AUTO_TEST_CASE(manyStartsToAWorkerAreAnswered)
{
    Client client;
    WorkerProcess process(client.loop, 0, 5);
    client.client.setAddress(WorkerName("w"), {host, process.port()});
    BOOST_REQUIRE(client.poll());
    constexpr int n = 16;
    int started = 0;
    for (int i = 0; i < n; ++i) {
        Workflow::StartCommand command{
            WorkerName("w"), {JobId("0123456789abcdef"), 0, 0, static_cast<std::uint32_t>(i)}, 1, "payload", {}, 3s};
        command.incarnation = 5;
        client.hooks.start(command, 1, [&](StartOutcome o) { started += o == StartOutcome::Started ? 1 : 0; });
    }
    client.loop.runUntil([&] { return started == n; }, 5s);
    BOOST_TEST(started == n);
}

// Guards against a worker that can no longer be started on, because the incarnation at the other end of a long-lived connection is
// forgotten as soon as it is reported once many newer connections have come and gone.
BOOST_DATA_TEST_CASE(startsAreSentAfterManyBursts, data::make({8, 16}), n)
{
    Client client;
    WorkerProcess process(client.loop, 0, 5);
    client.client.setAddress(WorkerName("w"), {host, process.port()});
    BOOST_REQUIRE(client.poll());
    constexpr int bursts = 60;
    for (int burst = 0; burst < bursts; ++burst) {
        int started = 0;
        int answered = 0;
        const auto requestsBefore = process.requests();
        for (int i = 0; i < n; ++i) {
            Workflow::StartCommand command{
                WorkerName("w"), {JobId("0123456789abcdef"), 0, 0, static_cast<std::uint32_t>(i)}, 1, "payload", {}, 3s};
            command.incarnation = 5;
            client.hooks.start(command, 1, [&](StartOutcome o) {
                started += o == StartOutcome::Started ? 1 : 0;
                ++answered;
            });
        }
        client.loop.runUntil([&] { return answered == n; }, 5s);
        BOOST_TEST_CONTEXT("burst " << burst << ", requests " << process.requests() - requestsBefore)
        {
            BOOST_TEST(answered == n);
            BOOST_TEST(started == n);
        }
        if (started < n) {
            break;
        }
    }
    const auto requestsBefore = process.requests();
    const auto outcome = client.start(5);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST_CONTEXT("requests for one start: " << process.requests() - requestsBefore)
    {
        BOOST_TEST((*outcome == StartOutcome::Started));
    }
    BOOST_TEST(client.poll(7, 5));
    BOOST_TEST(process.acknowledged() == 7U);
}

// Guards against a start that reaches another incarnation over a connection that evhttp opens again, after the server has closed it with
// the response that named the earlier incarnation.
BOOST_AUTO_TEST_CASE(aConnectionThatClosesWithItsResponseLeadsToNoIncarnation)
{
    Client client;
    auto process = std::make_unique<WorkerProcess>(client.loop, 0, 5);
    const auto port = process->port();
    client.client.setAddress(WorkerName("w"), {host, port});
    process->closeAfterEachResponse();
    BOOST_REQUIRE(client.poll());
    process.reset();
    process = std::make_unique<WorkerProcess>(client.loop, port, 6);
    client.loop.runUntil([] { return false; }, 50ms);
    const auto outcome = client.start(5);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == StartOutcome::OtherIncarnation));
    BOOST_TEST(process->starts() == 0);
}

// Guards against a poll that is never answered, and a worker that is never polled again, because the worker was listed at a new address
// meanwhile.
BOOST_AUTO_TEST_CASE(aPollIsAnsweredWhenTheAddressOfTheWorkerChanges)
{
    Client client;
    WorkerProcess first(client.loop, 0, 5);
    WorkerProcess second(client.loop, 0, 6);
    client.client.setAddress(WorkerName("w"), {host, first.port()});
    BOOST_REQUIRE(client.poll());
    bool answered = false;
    client.hooks.poll({WorkerName("w"), 0, {}, {}, 5}, 1, [&](const auto &) { answered = true; });
    client.client.setAddress(WorkerName("w"), {host, second.port()});
    client.loop.runUntil([&] { return answered; }, 3s);
    BOOST_TEST(answered);
}

struct VerificationCase
{
    const char *name;
    /// The command that is sent when no open connection is known to lead to the worker.
    std::function<void(Client &, const Workflow::ReportHook &)> send;
};

auto operator<<(std::ostream &out, const VerificationCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<VerificationCase> verificationCases{
    {"an acknowledgement", [](Client &c, const Workflow::ReportHook &reported) { c.poll(1, 5, reported); }},
    {"a start", [](Client &c, const Workflow::ReportHook &reported) { c.start(5, reported); }},
};

// Guards against work that is done again after a worker has reported its end only when it was asked for its incarnation, and then left.
BOOST_DATA_TEST_CASE(theReportThatVerifiesAConnectionIsPassedOn, data::make(verificationCases), c)
{
    Client client;
    WorkerProcess process(client.loop, 0, 5);
    client.client.setAddress(WorkerName("w"), {host, process.port()});
    process.closeAfterEachResponse();
    BOOST_REQUIRE(client.poll());
    process.reportEndOnce(2);
    std::vector<std::pair<Workflow::WorkerReport, TimePoint>> reports;
    const auto begin = client.loop.now();
    c.send(client, [&reports](const Workflow::WorkerReport &report, TimePoint sentAt) { reports.emplace_back(report, sentAt); });
    BOOST_REQUIRE(!reports.empty());
    const auto &[report, sentAt] = reports.front();
    BOOST_TEST(report.incarnation == 5);
    BOOST_TEST((sentAt >= begin && sentAt <= client.loop.now()));
    BOOST_REQUIRE(report.ended.size() == 1U);
    BOOST_TEST(report.ended.front().number == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Adapter::Tests
