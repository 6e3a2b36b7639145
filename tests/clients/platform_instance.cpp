#include "platform_instance.h"

#include "observed_process.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <system_error>

namespace Acaciarail::Clients {

namespace {

using nlohmann::json;

/// Ends a test that would otherwise hang.
constexpr Duration waitLimit = 60s;
/// Time after which an ordinary caller tries again on a new connection.
constexpr Duration attemptLimit = 8s;
constexpr Duration pollInterval = 20ms;
constexpr int statusOk = 200;
constexpr std::string_view host = "queue.test";
constexpr std::string_view prefix = "/jobs/";
constexpr std::string_view key = "ordinary-key";

auto freeAddress() -> Runtime::SocketAddress
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t n = sizeof address;
    const bool bound =
        ::bind(fd, reinterpret_cast<sockaddr *>(&address), n) == 0 && ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n) == 0;
    const auto reason = errno;
    ::close(fd);
    if (!bound) {
        throw std::system_error(reason, std::generic_category(), "bind");
    }
    return {"127.0.0.1", ntohs(address.sin_port)};
}

auto temporaryDirectory() -> std::filesystem::path
{
    std::string name = std::filesystem::temp_directory_path() / "acaciarail-clients-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    }
    return name;
}

} // namespace

PlatformInstance::PlatformInstance(const PlatformInstanceSettings &settings)
    : callers(freeAddress())
    , readiness(freeAddress())
    , metrics(freeAddress())
    , m_store(m_loop, m_ledger, 1, 1)
    , m_directory(temporaryDirectory())
{
    m_store.put("keyed.op", "config",
                json{{"version", 1},
                     {"routes",
                      {{{"name", "queue"},
                        {"host", host},
                        {"pathPrefix", prefix},
                        {"service", "service"},
                        {"priority", 0},
                        {"maxAttempts", 3},
                        {"stretch", 3.0},
                        {"targetLatencyMs", 1000}}}},
                     {"services", json::array()},
                     {"tenants", {{{"name", "org"}, {"apiKeys", {key}}, {"guaranteed", {{"gpus", 8}}}}}}}
                    .dump());
    const auto path = m_directory / "instance.toml";
    std::ofstream(path) << "node = \"instance\"\nip = \"" << metrics.host << "\"\nzone = \"zone-a\"\nregion = \"region\"\ninternalPorts = ["
                        << metrics.port << ", " << metrics.port << "]\n[listen]\nfront = \"" << callers.str() << "\"\nreadiness = \""
                        << readiness.str() << "\"\n[limits]\ncpuShare = 0.25\nmemoryMb = " << settings.memoryMb
                        << "\nmaxFds = " << settings.maxFds << "\n[platform]\naddress = \"" << m_store.address(0).str()
                        << "\"\n[bounds]\nholdMaxMs = 4000\ngraceS = 6\nrevokeMs = 5000\n"
                        << settings.extra;
    auto environment = sanitizerVariables();
    environment.push_back("ACACIARAIL_NODE_FILE=" + path.string());
    m_process = std::make_unique<ProcessTest::ChildProcess>(
        "acaciaraild", std::vector<std::string>{}, "instance",
        ProcessTest::ChildOptions{(m_directory / "instance.log").string(), std::move(environment)});
    BOOST_REQUIRE(isAnswered(readiness, request("GET", "ready")));
    // The first job loads what an instance loads once, so that it does not count as growth.
    BOOST_REQUIRE(servesOrdinaryRequests());
}

PlatformInstance::~PlatformInstance()
{
    m_process.reset();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

auto PlatformInstance::waitUntil(const std::function<bool()> &condition) -> bool
{
    return m_loop.runUntil(condition, waitLimit);
}

auto PlatformInstance::isAnswered(const Runtime::SocketAddress &address, const std::string &bytes) -> bool
{
    const auto deadline = m_loop.now() + waitLimit;
    while (m_loop.now() < deadline && !m_process->waitStatus()) {
        ProcessTest::HttpExchange exchange(m_loop, address, bytes);
        (void)m_loop.runUntil([&exchange] { return exchange.isDone(); }, attemptLimit);
        if (exchange.status() == statusOk) {
            return true;
        }
        (void)m_loop.runUntil([] { return false; }, pollInterval);
    }
    return false;
}

auto PlatformInstance::servesOrdinaryRequests() -> bool
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016zx", ++m_jobs);
    return isAnswered(callers, request("POST", id.data(), "Connection: close\r\n", job()))
        && isAnswered(readiness, request("GET", "ready", "Connection: close\r\n"))
        && isAnswered(metrics, request("GET", "metrics", "Connection: close\r\n"));
}

auto PlatformInstance::readMetrics() -> std::string
{
    ProcessTest::HttpExchange exchange(m_loop, metrics, request("GET", "metrics", "Connection: close\r\n"));
    (void)m_loop.runUntil([&exchange] { return exchange.isDone(); }, attemptLimit);
    return exchange.body();
}

auto PlatformInstance::readLog() const -> std::string
{
    std::ifstream in(m_directory / "instance.log");
    return {std::istreambuf_iterator<char>(in), {}};
}

auto PlatformInstance::request(std::string_view method, std::string_view rest, std::string_view headers, std::string_view body)
    -> std::string
{
    auto out = std::string(method) + ' ' + std::string(prefix) + std::string(rest) + " HTTP/1.1\r\nHost: " + std::string(host)
        + "\r\nApi-Key: " + std::string(key) + "\r\n" + std::string(headers);
    if (!body.empty()) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + std::string(body);
}

auto PlatformInstance::job(std::size_t size) -> std::string
{
    auto body =
        json{{"spec", "payload"}, {"steps", {{{"count", 1}, {"cpu", 1000}, {"memMb", 1024}, {"gpus", 1}, {"estimateMs", 500}}}}}.dump();
    // Space around JSON is without meaning.
    body.resize(std::max(body.size(), size), ' ');
    return body;
}

} // namespace Acaciarail::Clients
