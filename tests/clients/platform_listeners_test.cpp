#include "client_crowd.h"
#include "observed_process.h"
#include "platform_instance.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

/// The settings, the clients and the bounds of these cases are fixed: a change of the product must not change them.
namespace Acaciarail::Clients {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t memoryMb = 64;
/// Growth of the process that a crowd may cause: half of the machine's memory in these settings.
constexpr std::size_t growthBound = memoryMb * mebibyte / 2;
/// Descriptors in the cases that exceed them, and those of them that the platform reserves for files.
constexpr std::size_t maxFds = 456;
constexpr std::size_t reservedFds = 200;

/// Returns the crowd that pipelines requests for \a path without reading. CLIENTS_FULL in the environment selects the sizes of the
/// stated goal instead of those that suffice to show the fault.
auto unreadCrowd(const std::string &path) -> CrowdPlan
{
    const bool full = std::getenv("CLIENTS_FULL") != nullptr;
    CrowdPlan plan;
    plan.clients = full ? 12 : 8;
    plan.bytesPerClient = (full ? 40 : 12) * mebibyte;
    plan.repeated = "GET " + path + " HTTP/1.1\r\nHost: any.test\r\n\r\n";
    return plan;
}

auto checkMemory(const PlatformInstanceSettings &settings, Runtime::SocketAddress PlatformInstance::*listener, const CrowdPlan &plan)
    -> void
{
    PlatformInstance instance(settings);
    ObservedProcess observed(instance.process());
    ClientCrowd crowd(instance.loop(), instance.*listener, plan);
    crowd.send(observed);
    BOOST_TEST_MESSAGE(observed.describe() << ", sent " << crowd.sentBytes());
    BOOST_TEST(!observed.hasEnded());
    BOOST_TEST(instance.servesOrdinaryRequests());
    observed.observe();
    BOOST_TEST(observed.growth() < growthBound, observed.describe());
    BOOST_TEST(observed.descriptors() <= settings.maxFds - reservedFds, observed.describe());
    BOOST_TEST(!observed.hasEnded());
}

} // namespace

BOOST_AUTO_TEST_SUITE(platformListeners)

/// Guards against input that is buffered without limit while the response to a readiness check is not read.
BOOST_AUTO_TEST_CASE(unreadReadinessChecksAreNotBuffered)
{
    checkMemory({.memoryMb = memoryMb}, &PlatformInstance::readiness, unreadCrowd("/api/readiness"));
}

/// Guards against input that is buffered without limit while refusals for paths that no queue has are not read.
BOOST_AUTO_TEST_CASE(unreadRefusalsAreNotBuffered)
{
    checkMemory({.memoryMb = memoryMb}, &PlatformInstance::callers, unreadCrowd("/nowhere/x"));
}

/// Guards against input that is buffered without limit while metrics are not read.
BOOST_AUTO_TEST_CASE(unreadMetricsAreNotBuffered)
{
    checkMemory({.memoryMb = memoryMb}, &PlatformInstance::metrics, unreadCrowd("/metrics"));
}

/// Guards against incomplete headers of many short lines, each of which costs many times its size.
BOOST_AUTO_TEST_CASE(slowHeadersAreBounded)
{
    CrowdPlan plan;
    plan.clients = 200;
    plan.opening = "GET /nowhere/x HTTP/1.1\r\nHost: any.test\r\n";
    plan.repeated = "a:b\r\n";
    plan.bytesPerClient = 16'000;
    plan.piece = 512;
    checkMemory({.memoryMb = memoryMb}, &PlatformInstance::callers, plan);
}

/// Guards against incomplete bodies of many requests, each below the limit of a body.
BOOST_AUTO_TEST_CASE(slowBodiesAreBounded)
{
    CrowdPlan plan;
    plan.clients = 320;
    plan.opening = "POST /nowhere/x HTTP/1.1\r\nHost: any.test\r\nContent-Length: 262144\r\n\r\n";
    plan.repeated = "0123456789abcdef";
    plan.bytesPerClient = 256'000;
    plan.piece = 4096;
    checkMemory({.memoryMb = memoryMb}, &PlatformInstance::callers, plan);
}

/// Guards against descriptors and memory that are kept for clients which send no more and do not read.
BOOST_AUTO_TEST_CASE(halfClosedConnectionsAreBounded)
{
    auto plan = unreadCrowd("/metrics");
    plan.clients = 300;
    plan.bytesPerClient = 200'000;
    plan.closesSendingSide = true;
    checkMemory({.memoryMb = memoryMb, .maxFds = maxFds}, &PlatformInstance::metrics, plan);
}

/// Guards against more connections than the process has descriptors for, at all listeners at once.
BOOST_AUTO_TEST_CASE(surplusConnectionsAreBounded)
{
    const PlatformInstanceSettings settings{.memoryMb = memoryMb, .maxFds = maxFds};
    PlatformInstance instance(settings);
    ObservedProcess observed(instance.process());
    CrowdPlan plan;
    plan.clients = 250;
    plan.opening = "GET /";
    ClientCrowd atCallers(instance.loop(), instance.callers, plan);
    atCallers.send(observed);
    ClientCrowd atReadiness(instance.loop(), instance.readiness, plan);
    atReadiness.send(observed);
    ClientCrowd atMetrics(instance.loop(), instance.metrics, plan);
    atMetrics.send(observed);
    BOOST_TEST_MESSAGE(observed.describe());
    BOOST_TEST(instance.servesOrdinaryRequests());
    observed.observe();
    BOOST_TEST(observed.growth() < growthBound, observed.describe());
    BOOST_TEST(observed.descriptors() <= maxFds - reservedFds, observed.describe());
    BOOST_TEST(!observed.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Clients
