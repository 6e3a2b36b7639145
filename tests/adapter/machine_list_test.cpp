#include "machine_list.h"
#include "wire_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Adapter::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr const char *host = "127.0.0.1";

struct PageCase
{
    const char *name;
    std::string body;
    /// Absent when the page is refused.
    std::optional<std::set<WorkerName>> workers;
    std::size_t machines = 0;
    std::string nextToken = {};
};

auto operator<<(std::ostream &out, const PageCase &c) -> std::ostream &
{
    return out << c.name;
}

auto pageWith(const std::string &machines) -> std::string
{
    return R"({"machines":[)" + machines + R"(],"nextToken":null})";
}

const std::string up = R"({"machine":"m-1","pool":"s","state":"up","id":"w1"})";
const std::set<WorkerName> none;

const std::vector<PageCase> pageCases{
    {"one machine", pageWith(up), std::set{WorkerName("w1")}, 1},
    {"no machine", pageWith(""), none},
    {"a machine that is down", pageWith(up + R"(,{"machine":"m-2","state":"down","id":""})"), std::set{WorkerName("w1")}, 2},
    {"a machine that is down, without a worker", pageWith(R"({"machine":"m-2","state":"down"})"), none, 1},
    {"a machine that is down, with null for a worker", pageWith(R"({"machine":"m-2","state":"down","id":null})"), none, 1},
    {"a machine that moves, with a worker", pageWith(R"({"machine":"m-2","state":"moving","id":"w2"})"), std::set{WorkerName("w2")}, 1},
    {"another page", R"({"machines":[],"nextToken":"p 2"})", none, 0, "p 2"},
    {"the last page, without a token", R"({"machines":[]})", none},
    {"a machine that is up without a worker", pageWith(R"({"machine":"m-1","state":"up"})"), std::nullopt},
    {"a worker of another type", pageWith(R"({"machine":"m-1","state":"up","id":7})"), std::nullopt},
    {"a machine without a name", pageWith(R"({"state":"up","id":"w1"})"), std::nullopt},
    {"a state of another type", pageWith(R"({"machine":"m-1","state":1,"id":"w1"})"), std::nullopt},
    {"a row that is no object", pageWith("7"), std::nullopt},
    {"a token of another type", R"({"machines":[],"nextToken":7})", std::nullopt},
    {"no list", "{}", std::nullopt},
    {"a list of another type", R"({"machines":{}})", std::nullopt},
    {"damaged", "\x80\x81", std::nullopt},
    {"nested too deeply", pageWith(std::string(200, '[') + std::string(200, ']')), std::nullopt},
};

} // namespace

BOOST_AUTO_TEST_SUITE(machineList)

// Guards against a worker that counts as ended because the row that names it could not be read.
BOOST_DATA_TEST_CASE(aPageIsReadAsAWholeOrRefused, data::make(pageCases), c)
{
    MachinePage page;
    const auto fault = decodeMachinePage(c.body, page);
    BOOST_TEST(fault.has_value() != c.workers.has_value());
    if (c.workers) {
        BOOST_TEST((page.found.workers == *c.workers));
        BOOST_TEST(page.found.machines.size() == c.machines);
        BOOST_TEST(page.nextToken == c.nextToken);
    }
}

namespace {

/// Serves one page for each response, in turn.
class PageServer
{
public:
    struct Page
    {
        int status = 200;
        std::string body;
    };

    PageServer(Runtime::EventLoop &loop, std::vector<Page> pages)
        : m_pages(std::move(pages))
        , m_http(evhttp_new(loop.base()))
    {
        auto *bound = evhttp_bind_socket_with_handle(m_http, host, 0);
        BOOST_REQUIRE(bound != nullptr);
        sockaddr_in address{};
        socklen_t n = sizeof address;
        ::getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address), &n);
        m_port = ntohs(address.sin_port);
        evhttp_set_gencb(
            m_http, [](evhttp_request *request, void *self) { static_cast<PageServer *>(self)->handle(request); }, this);
    }
    ~PageServer()
    {
        evhttp_free(m_http);
    }
    PageServer(const PageServer &) = delete;
    auto operator=(const PageServer &) -> PageServer & = delete;

    [[nodiscard]] auto address() const -> Runtime::SocketAddress
    {
        return {host, m_port};
    }
    std::vector<std::string> targets;

private:
    auto handle(evhttp_request *request) -> void
    {
        const auto &page = m_pages.at(targets.size());
        targets.emplace_back(evhttp_request_get_uri(request));
        evbuffer_add(evhttp_request_get_output_buffer(request), page.body.data(), page.body.size());
        evhttp_send_reply(request, page.status, nullptr, nullptr);
    }

    std::vector<Page> m_pages;
    evhttp *m_http;
    std::uint16_t m_port = 0;
};

struct ListCase
{
    const char *name;
    std::vector<PageServer::Page> pages;
    std::optional<std::set<WorkerName>> workers;
    std::vector<std::string> targets;
};

auto operator<<(std::ostream &out, const ListCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::string firstPage = R"({"machines":[)" + up + R"(],"nextToken":"p 2"})";
const std::string lastPage = R"({"machines":[{"machine":"m-2","state":"up","id":"w2"}],"nextToken":null})";
const std::string firstTarget = "/api/machines";
const std::string secondTarget = "/api/machines?pageToken=p%202";

const std::vector<ListCase> listCases{
    {"one page", {{200, lastPage}}, std::set{WorkerName("w2")}, {firstTarget}},
    {"two pages", {{200, firstPage}, {200, lastPage}}, std::set{WorkerName("w1"), WorkerName("w2")}, {firstTarget, secondTarget}},
    {"a page that is refused", {{429, "{}"}}, std::nullopt, {firstTarget}},
    {"a second page that fails", {{200, firstPage}, {503, "{}"}}, std::nullopt, {firstTarget, secondTarget}},
    {"a second page that is malformed", {{200, firstPage}, {200, "{}"}}, std::nullopt, {firstTarget, secondTarget}},
};

} // namespace

// Guards against a list of which a part is missing, and against pages that are asked for by a wrong token.
BOOST_DATA_TEST_CASE(aListIsReadPageByPageOrNotAtAll, data::make(listCases), c)
{
    Runtime::EventLoop loop;
    InstanceMetrics metrics;
    PageServer server(loop, c.pages);
    MachineList list(loop, {server.address(), 1000}, metrics);
    std::optional<std::optional<Workflow::RunningWorkers>> result;
    list.readWorkers([&](std::optional<Workflow::RunningWorkers> running) { result = std::move(running); });
    BOOST_TEST(!result.has_value());
    loop.runUntil([&] { return result.has_value(); }, 5s);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->has_value() == c.workers.has_value());
    if (*result && c.workers) {
        BOOST_TEST(((*result)->workers == *c.workers));
    }
    BOOST_TEST(server.targets == c.targets, boost::test_tools::per_element());
}

// Guards against a callback into a list that was destroyed between two pages.
BOOST_AUTO_TEST_CASE(aListThatIsDestroyedReadsNoFurtherPage)
{
    Runtime::EventLoop loop;
    InstanceMetrics metrics;
    PageServer server(loop, {{200, firstPage}, {200, lastPage}});
    auto list = std::make_unique<MachineList>(loop, MachineListSettings{server.address(), 20}, metrics);
    bool called = false;
    list->readWorkers([&](const auto &) { called = true; });
    loop.runUntil([&] { return server.targets.size() == 1; }, 5s);
    loop.runUntil([] { return false; }, 30ms);
    list.reset();
    loop.runUntil([] { return false; }, 300ms);
    BOOST_TEST(server.targets.size() == 1U);
    BOOST_TEST(!called);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Adapter::Tests
