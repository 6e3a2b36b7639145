#include "client_crowd.h"
#include "observed_process.h"
#include "platform_instance.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace Acaciarail::Clients {

namespace {

namespace data = boost::unit_test::data;

struct LimitCase
{
    std::string reason;
    /// Line of the table `[clients]` that lowers the limit.
    std::string setting;
    CrowdPlan plan;
};

auto operator<<(std::ostream &out, const LimitCase &c) -> std::ostream &
{
    return out << c.reason;
}

auto crowd(std::size_t clients, std::string opening, std::string repeated = {}, std::size_t bytesPerClient = 0) -> CrowdPlan
{
    CrowdPlan plan;
    plan.clients = clients;
    plan.opening = std::move(opening);
    plan.repeated = std::move(repeated);
    plan.bytesPerClient = bytesPerClient;
    return plan;
}

const std::string lookup = "GET /nowhere/x HTTP/1.1\r\nHost: any.test\r\n\r\n";
const std::string upload = "POST /nowhere/x HTTP/1.1\r\nHost: any.test\r\nContent-Length: 262144\r\n\r\n";
constexpr std::size_t manyBytes = std::size_t{12} * 1024 * 1024;

const std::vector<LimitCase> limitCases{
    {"slow-header", "headerTimeoutMs = 200", crowd(1, "GET /nowhere/x HTTP/1.1\r\nHost: any")},
    {"slow-body", "bodyTimeoutMs = 200", crowd(1, upload + "some")},
    {"unread", "unreadTimeoutMs = 200", crowd(1, lookup, lookup, manyBytes)},
    {"idle", "idleTimeoutMs = 200", crowd(1, lookup)},
    {"memory", "maxMemoryMb = 1", crowd(20, upload, "0123456789abcdef", 256'000)},
    {"replaced", "maxConnections = 20", crowd(40, "GET /")},
    {"too-many", "maxConnections = 20", crowd(60, "GET /")},
};

} // namespace

BOOST_AUTO_TEST_SUITE(clientLimits)

/// Guards against a limit that does not act, or that neither the metrics nor the log show.
BOOST_DATA_TEST_CASE(limitClosesAndIsReported, data::make(limitCases), c)
{
    PlatformInstance instance({.extra = "[clients]\n" + c.setting + "\n"});
    ObservedProcess observed(instance.process());
    ClientCrowd clients(instance.loop(), instance.callers, c.plan);
    clients.send(observed);
    const auto counted = "acaciarail_client_connections_closed_total{listener=\"callers\",reason=\"" + c.reason + "\"}";
    // Surplus connections are replaced when more come after the first have been without progress.
    ClientCrowd later(instance.loop(), instance.callers, c.plan);
    later.send(observed);
    BOOST_TEST(instance.waitUntil([&] { return instance.readMetrics().find(counted) != std::string::npos; }), instance.readMetrics());
    BOOST_TEST(
        instance.waitUntil([&] { return instance.readLog().find("event=connections-closed reason=" + c.reason) != std::string::npos; }));
    BOOST_TEST(!observed.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Clients
