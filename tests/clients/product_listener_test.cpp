#include "client_crowd.h"
#include "deployment.h"
#include "observed_process.h"

#include <boost/test/unit_test.hpp>

#include <string>

/// The settings, the clients and the bounds of these cases are fixed: a change of the product must not change them.
namespace Acaciarail::Clients {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
/// Growth of the process that a crowd may cause: twice the limit of the bytes that all connections together buffer.
constexpr std::size_t growthBound = 32 * mebibyte;
constexpr std::size_t maxCallerConnections = 400;
constexpr std::size_t fewCallerConnections = 64;
/// Connections above the limit get a refusal, up to twice the limit; the process has fewer other descriptors than this.
constexpr std::size_t otherDescriptors = 72;
const std::string entry = "entry-0";

auto unreadCrowd(const std::string &path) -> CrowdPlan
{
    CrowdPlan plan;
    plan.clients = 8;
    plan.bytesPerClient = 12 * mebibyte;
    plan.repeated = "GET " + path + " HTTP/1.1\r\nHost: any.test\r\n\r\n";
    return plan;
}

auto check(const CrowdPlan &plan, std::size_t connections = maxCallerConnections) -> void
{
    ProcessTest::DeploymentSettings settings;
    settings.entries = {{entry, ProcessTest::midwest}};
    settings.southeastWorkers = 0;
    settings.midwestWorkers = 1;
    settings.entryFlags = {"--max_caller_connections=" + std::to_string(connections)};
    settings.entryEnvironment = sanitizerVariables();
    ProcessTest::Deployment deployment(settings);
    ObservedProcess observed(deployment.entryProcess(entry));
    ClientCrowd crowd(deployment.loop(), deployment.entryAddress(entry), plan);
    crowd.send(observed);
    BOOST_TEST_MESSAGE(observed.describe() << ", sent " << crowd.sentBytes());
    BOOST_TEST(!observed.hasEnded());
    BOOST_TEST(deployment.waitUntil([&] { return deployment.call(entry, "GET", "/v1/jobs", ProcessTest::lakeviewToken).status == 200; }));
    BOOST_TEST(deployment.waitUntil([&] { return deployment.call(entry, "GET", "/readyz", "").status == 200; }));
    observed.observe();
    BOOST_TEST(observed.growth() < growthBound, observed.describe());
    BOOST_TEST(observed.descriptors() <= 2 * connections + otherDescriptors, observed.describe());
    BOOST_TEST(!observed.hasEnded());
}

} // namespace

BOOST_AUTO_TEST_SUITE(productListener)

/// Guards against input that is buffered without limit while the responses of a probe are not read.
BOOST_AUTO_TEST_CASE(unreadProbesAreNotBuffered)
{
    check(unreadCrowd("/readyz"));
}

/// Guards against input that is buffered without limit while refusals are not read.
BOOST_AUTO_TEST_CASE(unreadRefusalsAreNotBuffered)
{
    check(unreadCrowd("/services/nowhere/x"));
}

/// Guards against input that is buffered without limit while metrics are not read.
BOOST_AUTO_TEST_CASE(unreadMetricsAreNotBuffered)
{
    check(unreadCrowd("/metrics"));
}

/// Guards against incomplete headers of many short lines.
BOOST_AUTO_TEST_CASE(slowHeadersAreBounded)
{
    CrowdPlan plan;
    plan.clients = 200;
    plan.opening = "GET /readyz HTTP/1.1\r\nHost: any.test\r\n";
    plan.repeated = "a:b\r\n";
    plan.bytesPerClient = 16'000;
    plan.piece = 512;
    check(plan);
}

/// Guards against incomplete bodies of many requests, each below the limit of a body.
BOOST_AUTO_TEST_CASE(slowBodiesAreBounded)
{
    CrowdPlan plan;
    plan.clients = 320;
    plan.opening = "POST /services/nowhere/x HTTP/1.1\r\nHost: any.test\r\nContent-Length: 262144\r\n\r\n";
    plan.repeated = "0123456789abcdef";
    plan.bytesPerClient = 256'000;
    plan.piece = 4096;
    check(plan);
}

/// Guards against more connections than the settings permit.
BOOST_AUTO_TEST_CASE(surplusConnectionsAreBounded)
{
    CrowdPlan plan;
    plan.clients = 400;
    plan.opening = "GET /";
    check(plan, fewCallerConnections);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Clients
