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

constexpr Duration watchPace = 50ms;
constexpr Duration healthPace = 500ms;
constexpr Duration healthTimeout = 400ms;
/// Checks in a row that may fail before an instance gets no new connections; the platform's own rule.
constexpr std::uint32_t allowedMisses = 2;
/// Time between SIGTERM and SIGKILL, as the settings say it, and what the machine may add.
constexpr Duration grace = 6s;
constexpr Duration graceSlack = 1500ms;
constexpr Duration restartPause = 200ms;
constexpr int statusOk = 200;

/// Returns a loopback address that no other process uses, so that a port of it stays free between two lives of an instance.
auto ownHost(std::size_t i) -> std::string
{
    constexpr int values = 250;
    const auto id = ::getpid();
    return "127." + std::to_string(1 + id % values) + '.' + std::to_string(id / values % values) + '.' + std::to_string(i + 1);
}

/// Returns a port of \a host that is free now.
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

Instances::Instances(Runtime::EventLoop &loop, Ledger &ledger, StoreServer &store, std::size_t count, std::filesystem::path directory)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_directory(std::move(directory))
    , m_instances(count)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto &it = m_instances[i];
        it.name = "instance-" + std::to_string(i);
        it.front = {ownHost(i), freePort(ownHost(i))};
        it.readiness = {ownHost(i), freePort(ownHost(i))};
        it.metrics = {ownHost(i), freePort(ownHost(i))};
        it.callers = std::make_unique<TcpProxy>(loop, it.front);
        it.store = std::make_unique<TcpProxy>(loop, store.address(i));
        it.health = std::make_unique<Runtime::HttpClient>(loop, Runtime::HttpClientSettings{it.readiness, {}});
        writeSettings(it);
        start(it);
    }
    watch();
    checkHealth();
}

auto Instances::writeSettings(const Instance &it) const -> void
{
    std::ofstream(m_directory / (it.name + ".toml"))
        << "node = \"" << it.name << "\"\nip = \"" << it.metrics.host << "\"\nzone = \"zone-a\"\nregion = \"region\"\ninternalPorts = ["
        << it.metrics.port << ", " << it.metrics.port << "]\n[listen]\nfront = \"" << it.front.str() << "\"\nreadiness = \""
        << it.readiness.str() << "\"\n[limits]\ncpuShare = 0.25\n[platform]\naddress = \"" << it.store->address().str()
        << "\"\n[bounds]\nholdMaxMs = 4000\ngraceS = 6\nrevokeMs = 5000\n";
}

auto Instances::start(Instance &it) -> void
{
    ++it.lives;
    it.startsAt.reset();
    it.deadline.reset();
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
        it.startsAt = m_loop.now() + pause;
    }
}

auto Instances::suspend(std::size_t i, Duration length) -> void
{
    auto &it = m_instances.at(i);
    if (!it.process || it.suspended || it.deadline) {
        return;
    }
    it.suspended = true;
    it.process->signal(SIGSTOP);
    m_loop.callAfter(length, [this, i, life = it.lives] {
        auto &instance = m_instances[i];
        if (instance.process && instance.lives == life) {
            instance.process->signal(SIGCONT);
            instance.suspended = false;
        }
    });
}

auto Instances::terminate(std::size_t i) -> void
{
    auto &it = m_instances.at(i);
    if (it.process && !it.deadline && !it.suspended) {
        it.process->signal(SIGTERM);
        it.deadline = m_loop.now() + grace + graceSlack;
    }
}

auto Instances::reload(std::size_t i) -> void
{
    auto &it = m_instances.at(i);
    if (it.process) {
        it.process->signal(SIGHUP);
    }
}

auto Instances::heal() -> void
{
    for (auto &it : m_instances) {
        for (auto *proxy : {it.callers.get(), it.store.get()}) {
            proxy->setCut(TcpProxy::Cut::None);
            proxy->setDelay({});
            proxy->setRefusing(false);
        }
        if (it.process && std::exchange(it.suspended, false)) {
            it.process->signal(SIGCONT);
        }
    }
}

auto Instances::watch() -> void
{
    const auto now = m_loop.now();
    for (auto &it : m_instances) {
        const auto status = it.process ? it.process->waitStatus() : std::nullopt;
        if (status) {
            const bool clean = it.deadline && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
            // A process that has not come so far as to handle the signal has nothing to finish.
            const bool early = it.deadline && !it.wasReady && WIFSIGNALED(*status) && WTERMSIG(*status) == SIGTERM;
            if (!clean && !early) {
                m_ledger.violated(it.name + " ended by itself with wait status " + std::to_string(*status));
            }
            it.process.reset();
            it.ready = false;
            it.startsAt = now + restartPause;
        } else if (it.process && it.deadline && now > *it.deadline) {
            m_ledger.violated(it.name + " did not end in time after SIGTERM");
            it.process.reset();
            it.startsAt = now + restartPause;
        }
        if (!m_stopping && it.startsAt && now >= *it.startsAt) {
            start(it);
        }
    }
    m_loop.callAfter(watchPace, [this] { watch(); });
}

auto Instances::checkHealth() -> void
{
    for (auto &it : m_instances) {
        it.health->start({"/api/readiness", std::nullopt, healthTimeout}, [&it](const Runtime::HttpResult &result) {
            it.missed = !result.error && result.status == statusOk ? 0 : it.missed + 1;
            it.ready = it.missed < allowedMisses && (it.ready || it.missed == 0);
            it.wasReady = it.wasReady || it.ready;
        });
    }
    m_loop.callAfter(healthPace, [this] { checkHealth(); });
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
    return m_loop.runUntil(ended, grace + 2 * graceSlack);
}

} // namespace Acaciarail::Soak
