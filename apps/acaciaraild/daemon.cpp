#include "daemon.h"

#include <acaciarail/caller/problem.h>
#include <acaciarail/operator/sha256.h>

#include <algorithm>
#include <csignal>
#include <set>

namespace Acaciarail::Daemon {

namespace {

constexpr Duration drainCheckInterval = 20ms;
/// Time that a read of the log may take beyond the time for which the log may hold it open.
constexpr Duration logReadMargin = 200ms;
/// Witnesses are workers that grant the holder lease. A connection to one without progress can cost that lease, so it is
/// replaced within about the duration of the lease.
constexpr Duration workerProgressTimeout = 1s;
/// Shortest time between two ticks, so that a deadline in the past cannot keep the loop busy.
constexpr Duration minTickInterval = 1ms;

auto platformSettings(const Operator::InstanceSettings &settings, Duration timeout) -> Platform::PlatformSettings
{
    Platform::PlatformSettings out;
    out.address = Runtime::parseSocketAddress(settings.platformAddress).value_or(Runtime::SocketAddress{});
    out.zone = settings.zone;
    out.requestTimeout = timeout;
    return out;
}

} // namespace

Daemon::Daemon(Operator::InstanceSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_seed(seed)
    , m_incarnation(seed | 1U)
    , m_traces(m_settings.limits.maxTraceSpans)
    , m_ids(seed)
    , m_tickTimer(m_loop, [this] { tick(); })
    , m_instanceListTimer(m_loop, [this] { fetchInstanceList(); })
    , m_drainCheckTimer(m_loop, [this] { stopWhenDrained(); })
    , m_shutdownTimer(m_loop, [this] { m_loop.stop(); })
{
    m_appendClient = std::make_unique<Platform::LogClient>(m_loop, platformSettings(m_settings, m_settings.timeouts.logAppendTimeout));
    m_readClient = std::make_unique<Platform::LogClient>(m_loop, platformSettings(m_settings, m_settings.timeouts.logAppendTimeout));
    m_auditClient = std::make_unique<Platform::LogClient>(m_loop, platformSettings(m_settings, m_settings.timeouts.logAppendTimeout));
    m_instanceListClient =
        std::make_unique<Platform::InstanceListClient>(m_loop, platformSettings(m_settings, m_settings.timeouts.logAppendTimeout));
    createLinks();
    createInstance();
    createServer();
}

Daemon::~Daemon() = default;

auto Daemon::createLinks() -> void
{
    Endpoint::EndpointClientSettings endpoints;
    endpoints.maxConnectionsPerEndpoint = m_settings.limits.maxEndpointConnections;
    endpoints.connectTimeout = m_settings.timeouts.connectTimeout;
    Endpoint::EndpointClientHooks endpointHooks;
    endpointHooks.onOutcome = [this](const Endpoint::AttemptOutcome &outcome) {
        m_services->attemptEnded(outcome);
        scheduleTick();
    };
    m_endpointClient = std::make_unique<Endpoint::EndpointClient>(m_loop.base(), endpoints, std::move(endpointHooks));

    Worker::WorkerLinksHooks workerHooks;
    workerHooks.received = [this](const WorkerName &worker, const Worker::Reply &reply) {
        m_instance->workerReply(worker, reply, m_loop.now());
        scheduleTick();
    };
    workerHooks.up = [](const WorkerName &) {};
    workerHooks.down = [this](const WorkerName &worker, const Runtime::CloseInfo &) {
        m_instance->workerDisconnected(worker, m_loop.now());
    };
    Worker::WorkerLinksSettings workers;
    workers.frames.progressTimeout = workerProgressTimeout;
    m_workerLinks = std::make_unique<Worker::WorkerLinks>(m_loop, workers, std::move(workerHooks), m_seed);

    Peer::PeerLinksSettings peers;
    peers.self = m_settings.name;
    peers.incarnation = m_incarnation;
    peers.server.address = Runtime::parseSocketAddress(m_settings.peerListenAddress).value_or(Runtime::SocketAddress{});
    Peer::PeerLinksHooks peerHooks;
    peerHooks.received = [this](const InstanceName &from, const Peer::Message &message) {
        m_instance->peerMessage(from, message, m_loop.now());
        scheduleTick();
    };
    peerHooks.up = [](const InstanceName &) {};
    peerHooks.down = [](const InstanceName &, const Runtime::CloseInfo &) {};
    m_peerLinks = std::make_unique<Peer::PeerLinks>(m_loop, peers, std::move(peerHooks), m_seed + 1);
}

auto Daemon::createInstance() -> void
{
    const GatewayContext context{m_loop, m_metrics, m_traces, m_ids, [this](std::string_view token) { return authenticate(token); }};
    const ServiceGatewaySettings services{m_incarnation, m_settings.timeouts.defaultDeadline, m_settings.timeouts.maxDeadline,
                                          m_settings.timeouts.progressTimeout};
    m_services = std::make_unique<ServiceGateway>(services, context, *m_endpointClient);
    m_control =
        std::make_unique<ControlGateway>(context,
                                         ControlHooks{[this] { drain(); }, [this] { return m_workers; },
                                                      [this] { return m_server->stats(); }, [this] { return m_server->connections(); }},
                                         *m_auditClient);

    Instance::InstanceSettings settings;
    settings.self = {m_settings.name, m_settings.region, m_settings.zone, false, m_settings.advertisedAddress};
    settings.incarnation = m_incarnation;
    settings.seed = m_seed;
    settings.membership.heartbeatInterval = m_settings.timeouts.heartbeatInterval;
    settings.router.zone = m_settings.zone;
    settings.router.region = m_settings.region;
    settings.router.admission.maxQueued = m_settings.limits.maxQueuedRequests;
    settings.askPeersAfter = m_settings.timeouts.logReadWait + logReadMargin;
    m_instance = std::make_unique<Instance::Instance>(settings, instanceHooks());
    m_services->setInstance(*m_instance);
    m_control->setInstance(*m_instance);
    m_follower = std::make_unique<LogFollower>(m_loop, *m_readClient, *m_instance, m_settings.timeouts.logReadWait);
}

auto Daemon::instanceHooks() -> Instance::InstanceHooks
{
    Instance::InstanceHooks hooks;
    hooks.appendLog = [this](const std::vector<std::string> &records) { append(records); };
    hooks.sendToWorker = [this](const WorkerName &worker, const Worker::Request &request) {
        // The instance repeats a message that could not be sent.
        (void)m_workerLinks->send(worker, request);
    };
    hooks.sendToPeer = [this](const InstanceName &peer, const Peer::Message &message) { (void)m_peerLinks->send(peer, message); };
    hooks.sendAttempt = [this](const Scheduling::SendAttempt &command) { m_services->sendAttempt(command); };
    hooks.cancelAttempt = [this](const Scheduling::CancelAttempt &command) { m_services->cancelAttempt(command); };
    hooks.refuseRequest = [this](RequestId id, const Failure &failure) { m_services->refuse(id, failure); };
    hooks.deliverResponse = [this](RequestId id, std::uint32_t attempt) { return m_services->deliver(id, attempt); };
    hooks.replayResponse = [this](RequestId id, const Instance::StoredResponse &response) { m_services->replay(id, response); };
    hooks.answerOperation = [this](Instance::OperationId id, const Instance::OperationResult &result) {
        m_control->finishOperation(id, result);
    };
    hooks.readConfiguration = [this](const auto &documents) { return readConfiguration(documents); };
    hooks.wallClock = [] { return unixNow(); };
    return hooks;
}

auto Daemon::createServer() -> void
{
    const auto address = Runtime::parseSocketAddress(m_settings.callerListenAddress).value_or(Runtime::SocketAddress{});
    Caller::CallerServerSettings settings;
    settings.address = address.host;
    settings.port = address.port;
    settings.maxConnections = m_settings.limits.maxCallerConnections;
    settings.limits.maxBody = m_settings.limits.maxBodyBytes;
    settings.limits.maxHead = m_settings.limits.maxHeaderBytes;
    settings.maxBufferedBytes = m_settings.limits.maxCallerBufferBytes;
    settings.idleTimeout = m_settings.timeouts.callerIdleTimeout;
    settings.headTimeout = m_settings.timeouts.callerHeaderTimeout;
    settings.bodyTimeout = m_settings.timeouts.callerBodyTimeout;
    settings.writeTimeout = m_settings.timeouts.callerUnreadTimeout;
    Caller::CallerServerHooks hooks;
    hooks.onRequest = [this](Caller::HttpRequest request, Caller::ReplyHandle reply) {
        if (request.path.starts_with("/services/")) {
            m_services->handle(std::move(request), std::move(reply));
        } else {
            m_control->handle(request, reply);
        }
        scheduleTick();
    };
    hooks.onDisconnect = [this](RequestId id) { m_services->callerDisconnected(id); };
    hooks.onStopped = [this] { m_isServerStopped = true; };
    m_server = std::make_unique<Caller::CallerServer>(m_loop.base(), settings, std::move(hooks));
}

auto Daemon::start() -> std::error_code
{
    if (const auto ec = m_server->start()) {
        return ec;
    }
    if (const auto ec = m_peerLinks->listen()) {
        return ec;
    }
    for (const auto signal : {SIGTERM, SIGINT}) {
        m_signalWatchers.push_back(std::make_unique<Runtime::SignalWatcher>(m_loop, signal, [this] { drain(); }));
    }
    logEvent(LogLevel::Info, "started",
             {{"instance", m_settings.name.str()},
              {"advertised", m_settings.advertisedAddress},
              {"zone", m_settings.zone.str()},
              {"caller_port", m_server->port()},
              {"peer_port", m_peerLinks->address().port}});
    m_follower->start();
    fetchInstanceList();
    tick();
    return {};
}

auto Daemon::run() -> void
{
    m_loop.run();
}

auto Daemon::portsText() const -> std::string
{
    return "caller_port=" + std::to_string(m_server->port()) + " peer_port=" + std::to_string(m_peerLinks->address().port);
}

auto Daemon::append(const std::vector<std::string> &records) -> void
{
    m_appendClient->append(records, [this](const Platform::AppendResult &result) {
        switch (result.status) {
        case Platform::AppendStatus::Appended:
            m_instance->logAppended(m_loop.now());
            break;
        case Platform::AppendStatus::NotAppended:
            m_instance->logAppendFailed(State::AppendFailure::NotAppended, m_loop.now());
            break;
        case Platform::AppendStatus::OutcomeUnknown:
            m_instance->logAppendFailed(State::AppendFailure::Unknown, m_loop.now());
            break;
        }
        scheduleTick();
    });
}

auto Daemon::readConfiguration(const std::map<std::string, State::Document> &documents) -> Instance::Configuration
{
    Operator::DocumentTexts texts;
    for (const auto &[name, it] : documents) {
        texts[name] = it.text;
    }
    auto build = Operator::DeploymentConfig::build(texts, Operator::ConfigScope::Complete, &m_config);
    m_config = std::move(build.config);
    return {m_config.jobPolicy(), m_config.requestPolicy(), m_config.shardsOf(m_settings.zone)};
}

auto Daemon::authenticate(std::string_view token) const -> std::optional<Operator::TokenOwner>
{
    if (token.empty()) {
        return std::nullopt;
    }
    const auto hash = Operator::sha256Hex(token);
    if (m_config.empty() && !m_settings.bootstrapOperatorTokenSha256.empty() && hash == m_settings.bootstrapOperatorTokenSha256) {
        return Operator::TokenOwner{{}, CallerName("bootstrap-operator"), true};
    }
    return m_config.tokenOwner(hash);
}

auto Daemon::fetchInstanceList() -> void
{
    m_instanceListClient->fetch([this](const Platform::InstanceListResult &result) {
        if (result.list) {
            applyInstanceList(*result.list);
        }
        m_instanceListTimer.start(m_settings.timeouts.instanceListInterval);
    });
}

auto Daemon::applyInstanceList(const Platform::InstanceList &list) -> void
{
    std::set<WorkerName> listed;
    for (const auto &it : list.workers) {
        listed.insert(it.info.name);
    }
    for (const auto &it : m_workers) {
        if (!listed.contains(it.name)) {
            m_workerLinks->removeWorker(it.name);
        }
    }
    m_workers.clear();
    for (const auto &it : list.workers) {
        m_workers.push_back(it.info);
        if (it.info.zone == m_settings.zone) {
            (void)m_workerLinks->setWorker(it.info.name, it.info.address);
        }
    }
    for (const auto &it : list.instances) {
        if (it.name != m_settings.name) {
            (void)m_peerLinks->setPeer(it.name, it.address);
        }
    }
    m_instance->setPlatformList({list.workers, list.endpoints, list.instances}, m_loop.now());
    scheduleTick();
}

auto Daemon::tick() -> void
{
    m_instance->tick(m_loop.now());
    scheduleTick();
}

auto Daemon::scheduleTick() -> void
{
    const auto now = m_loop.now();
    m_tickTimer.start(std::max(m_instance->nextDeadline(now) - now, minTickInterval));
}

auto Daemon::drain() -> void
{
    if (m_isDraining) {
        return;
    }
    m_isDraining = true;
    logEvent(LogLevel::Info, "drain-started", {{"requests", m_server->requestsInProgress()}});
    m_instance->drain(m_loop.now());
    m_server->stop();
    m_drainCheckTimer.startRepeating(drainCheckInterval);
    m_shutdownTimer.start(m_settings.timeouts.shutdownGrace);
}

auto Daemon::stopWhenDrained() -> void
{
    if (m_isServerStopped && m_instance->isDrained(m_loop.now())) {
        logEvent(LogLevel::Info, "drained", {{"instance", m_settings.name.str()}});
        m_loop.stop();
    }
}

} // namespace Acaciarail::Daemon
