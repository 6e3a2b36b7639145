#include "instances.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

namespace Acaciarail::Soak {

namespace {

constexpr Duration watchInterval = 50ms;
constexpr Duration healthInterval = 500ms;
constexpr Duration healthTimeout = 400ms;
/// Consecutive failed checks after which an instance gets no new connections; the rule of the platform.
constexpr std::uint32_t unreadyAfterFailures = 2;
/// Time between SIGTERM and SIGKILL; equals `bounds.graceS` in the settings.
constexpr Duration shutdownGrace = 6s;
/// Tolerance for a slow machine.
constexpr Duration shutdownMargin = 1500ms;
constexpr Duration restartDelay = 200ms;
constexpr int statusOk = 200;

/// Returns a loopback address that no other process uses, so that its ports stay free while an instance restarts.
auto loopbackHost(std::size_t i) -> std::string
{
    constexpr int values = 250;
    const auto id = ::getpid();
    return "127." + std::to_string(1 + id % values) + '.' + std::to_string(id / values % values) + '.' + std::to_string(i + 1);
}

/// Returns a port of \a host that is currently free.
auto freePort(const std::string &host) -> std::uint16_t
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    socklen_t n = sizeof address;
    const bool bound =
        ::bind(fd, reinterpret_cast<sockaddr *>(&address), n) == 0 && ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n) == 0;
    const auto reason = errno;
    ::close(fd);
    if (!bound) {
        throw std::system_error(reason, std::generic_category(), "bind " + host);
    }
    return ntohs(address.sin_port);
}

} // namespace

Instances::Instances(Runtime::EventLoop &loop, Ledger &ledger, StoreServer &store, std::size_t count, std::filesystem::path directory,
                     bool evacuations, Runtime::SocketAddress machineList)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_directory(std::move(directory))
    , m_instances(count)
    , m_evacuations(evacuations)
    , m_machineList(std::move(machineList))
{
    for (std::size_t i = 0; i < count; ++i) {
        auto &it = m_instances[i];
        it.name = "instance-" + std::to_string(i);
        it.callerAddress = {loopbackHost(i), freePort(loopbackHost(i))};
        it.readinessAddress = {loopbackHost(i), freePort(loopbackHost(i))};
        it.metricsAddress = {loopbackHost(i), freePort(loopbackHost(i))};
        it.callerProxy = std::make_unique<TcpProxy>(loop, it.callerAddress);
        it.storeProxy = std::make_unique<TcpProxy>(loop, store.address(i));
        it.healthClient = std::make_unique<Runtime::HttpClient>(loop, Runtime::HttpClientSettings{it.readinessAddress, {}});
        writeSettings(it);
        start(it);
    }
    checkProcesses();
    checkHealth();
}

auto Instances::writeSettings(const Instance &it) const -> void
{
    std::ofstream(m_directory / (it.name + ".toml"))
        << "node = \"" << it.name << "\"\nip = \"" << it.metricsAddress.host
        << "\"\nzone = \"zone-a\"\nregion = \"region\"\ncontracts = [\"base\"" << (m_evacuations ? ", \"places\"" : "")
        << "]\ninternalPorts = [" << it.metricsAddress.port << ", " << it.metricsAddress.port << "]\n[listen]\nfront = \""
        << it.callerAddress.str() << "\"\nreadiness = \"" << it.readinessAddress.str()
        << "\"\n[limits]\ncpuShare = 0.25\n[platform]\naddress = \"" << it.storeProxy->address().str() << "\"\n[cloudApi]\naddress = \""
        << m_machineList.str() << "\"\nratePerS = 60.0\n[bounds]\nholdMaxMs = 4000\ngraceS = 6\nrevokeMs = 5000\nevacuateMs = 5000\n";
}

auto Instances::start(Instance &it) -> void
{
    ++it.incarnation;
    it.startTime.reset();
    it.stopDeadline.reset();
    it.suspended = false;
    it.wasReady = false;
    const auto settings = (m_directory / (it.name + ".toml")).string();
    it.process = std::make_unique<ProcessTest::ChildProcess>(
        "acaciaraild", std::vector<std::string>{}, it.name,
        ProcessTest::ChildOptions{(m_directory / (it.name + ".log")).string(), {"ACACIARAIL_NODE_FILE=" + settings}});
}

auto Instances::kill(std::size_t i, Duration pause) -> void
{
    auto &it = m_instances.at(i);
    if (it.process) {
        it.process.reset();
        it.ready = false;
        it.startTime = m_loop.now() + pause;
    }
}

auto Instances::suspend(std::size_t i, Duration duration) -> void
{
    auto &it = m_instances.at(i);
    if (!it.process || it.suspended || it.stopDeadline) {
        return;
    }
    it.suspended = true;
    it.process->signal(SIGSTOP);
    m_loop.callAfter(duration, [this, i, expectedIncarnation = it.incarnation] {
        auto &instance = m_instances[i];
        if (instance.process && instance.incarnation == expectedIncarnation) {
            instance.process->signal(SIGCONT);
            instance.suspended = false;
        }
    });
}

auto Instances::terminate(std::size_t i) -> void
{
    auto &it = m_instances.at(i);
    if (it.process && !it.stopDeadline && !it.suspended) {
        it.process->signal(SIGTERM);
        it.stopDeadline = m_loop.now() + shutdownGrace + shutdownMargin;
    }
}

auto Instances::reload(std::size_t i) -> void
{
    auto &it = m_instances.at(i);
    if (it.process) {
        it.process->signal(SIGHUP);
    }
}

auto Instances::restore() -> void
{
    for (auto &it : m_instances) {
        for (auto *proxy : {it.callerProxy.get(), it.storeProxy.get()}) {
            proxy->setPartition(TcpProxy::Partition::None);
            proxy->setDelay({});
            proxy->setRefusing(false);
        }
        if (it.process && std::exchange(it.suspended, false)) {
            it.process->signal(SIGCONT);
        }
    }
}

auto Instances::checkProcesses() -> void
{
    const auto now = m_loop.now();
    for (auto &it : m_instances) {
        const auto status = it.process ? it.process->waitStatus() : std::nullopt;
        if (status) {
            const bool exitedCleanly = it.stopDeadline && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
            // A process that SIGTERM ended before its signal handler was installed has no work to complete.
            const bool endedBeforeReady = it.stopDeadline && !it.wasReady && WIFSIGNALED(*status) && WTERMSIG(*status) == SIGTERM;
            if (!exitedCleanly && !endedBeforeReady) {
                m_ledger.addViolation(it.name + " ended by itself with wait status " + std::to_string(*status));
            }
            it.process.reset();
            it.ready = false;
            it.startTime = now + restartDelay;
        } else if (it.process && it.stopDeadline && now > *it.stopDeadline) {
            m_ledger.addViolation(it.name + " did not end in time after SIGTERM");
            it.process.reset();
            it.startTime = now + restartDelay;
        }
        if (!m_stopping && it.startTime && now >= *it.startTime) {
            start(it);
        }
    }
    m_loop.callAfter(watchInterval, [this] { checkProcesses(); });
}

auto Instances::checkHealth() -> void
{
    for (auto &it : m_instances) {
        it.healthClient->start({"/api/readiness", std::nullopt, healthTimeout}, [&it](const Runtime::HttpResult &result) {
            it.failedChecks = !result.error && result.status == statusOk ? 0 : it.failedChecks + 1;
            it.ready = it.failedChecks < unreadyAfterFailures && (it.ready || it.failedChecks == 0);
            it.wasReady = it.wasReady || it.ready;
        });
    }
    m_loop.callAfter(healthInterval, [this] { checkHealth(); });
}

auto Instances::stopAll() -> bool
{
    m_stopping = true;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        terminate(i);
    }
    const auto ended = [this] {
        return std::none_of(m_instances.begin(), m_instances.end(), [](const Instance &it) { return it.process != nullptr; });
    };
    return m_loop.runUntil(ended, shutdownGrace + 2 * shutdownMargin);
}

} // namespace Acaciarail::Soak
