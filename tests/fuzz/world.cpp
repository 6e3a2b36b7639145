#include "world.h"

#include <algorithm>
#include <array>

namespace Acaciarail::Fuzz {

namespace {

constexpr Duration nearLatency = 1ms;
constexpr Duration farLatency = 8ms;
constexpr Duration logLatency = 5ms;
constexpr Duration logTimeout = 2s;
constexpr Duration readInterval = 25ms;
constexpr Duration listInterval = 1s;
constexpr Duration lateAppendDelay = 5s;
constexpr Duration checkInterval = 50ms;
constexpr Duration serviceTime = 20ms;
/// Longest time for which part of a gang may run without a recent fault: 2 s until the confirmation, 2 s for a takeover, and one step.
constexpr Duration faultFreePartialLimit = 4500ms;
/// Time after the last fault after which the shorter limits apply.
constexpr Duration faultFreeAfter = 15s;
constexpr Duration leavingLimit = 3s;
constexpr Duration drainLimit = 70s;
constexpr std::uint32_t endpointSlots = 8;
/// Size of the length field before each frame between processes.
constexpr std::uint64_t frameHeaderBytes = 4;

auto workerName(const ZoneName &zone, std::uint32_t i) -> WorkerName
{
    return WorkerName(zone.str() + "-w" + std::to_string(i));
}

} // namespace

auto mutationName(Mutation mutation) noexcept -> const char *
{
    constexpr std::array<const char *, mutationCount> names{"none",
                                                            "retry-after-send",
                                                            "unknown-as-not-run",
                                                            "lost-answer-as-not-appended",
                                                            "skip-term-check",
                                                            "long-lease",
                                                            "start-first-member-only",
                                                            "swap-answers",
                                                            "lose-records",
                                                            "abrupt-drain",
                                                            "revert-version",
                                                            "forget-keys"};
    return names.at(static_cast<std::size_t>(mutation));
}

auto commandName(CommandKind kind) noexcept -> const char *
{
    constexpr std::array<const char *, commandKindCount> names{"request",
                                                               "order",
                                                               "retry-elsewhere",
                                                               "job",
                                                               "gang",
                                                               "cancel-wave",
                                                               "publish",
                                                               "race",
                                                               "crash",
                                                               "restart",
                                                               "restart-all",
                                                               "pause",
                                                               "resume",
                                                               "cut-zone",
                                                               "heal",
                                                               "log-down",
                                                               "log-slow",
                                                               "log-loses-answers",
                                                               "log-late-appends",
                                                               "log-up",
                                                               "retention-passes",
                                                               "endpoint-leaves",
                                                               "endpoint-silent",
                                                               "endpoints-recover",
                                                               "worker-fails-all",
                                                               "worker-restarts",
                                                               "worker-unreachable",
                                                               "workers-recover",
                                                               "list-lags",
                                                               "drain",
                                                               "wait"};
    return names.at(static_cast<std::size_t>(kind));
}

World::World(WorldSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_now(1h)
    , m_lastFault(m_now)
{
    for (std::uint32_t zone = 0; zone < m_settings.zones; ++zone) {
        for (std::uint32_t i = 0; i < m_settings.workersPerZone; ++i) {
            createWorker(zone, i);
        }
        for (std::uint32_t i = 0; i < m_settings.endpointsPerZone; ++i) {
            createEndpoint(zone, i);
        }
        for (std::uint32_t i = 0; i < m_settings.instancesPerZone; ++i) {
            Node node;
            node.info = {InstanceName("i" + std::to_string(m_nodes.size())), RegionName("region-" + std::to_string(zone)), zoneName(zone),
                         false, "-"};
            m_nodes.push_back(std::move(node));
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        restart(i);
    }
    advance(5s);
}

World::~World() = default;

auto World::zoneName(std::uint32_t zone) const -> ZoneName
{
    return ZoneName("zone-" + std::to_string(zone % m_settings.zones));
}

auto World::createWorker(std::uint32_t zone, std::uint32_t i) -> void
{
    Standins::WorkerModelSettings settings;
    settings.info = {workerName(zoneName(zone), i),
                     RegionName("region-" + std::to_string(zone)),
                     zoneName(zone),
                     RackName("rack-" + std::to_string(i / m_settings.workersPerRack)),
                     i / m_settings.workersPerRack,
                     {8, 32, 65536},
                     "-"};
    settings.initialTaskLease = m_settings.taskLease;
    settings.maxLease = 2s;
    const auto name = settings.info.name;
    auto plan = [this, name](const Worker::AttemptReport &report, std::uint32_t) {
        ++m_started;
        m_oracle.jobStarted(report.job, report.id.attempt, m_now);
        // All members of a gang have the same run time.
        const auto hash = std::hash<std::string>{}(report.id.job.str()) + report.id.attempt;
        const auto runTime = m_settings.minRunTime + std::chrono::milliseconds(hash % 6000);
        const auto fails = m_workers.at(name).failsAll || report.job.spec.kind == "bad";
        return Standins::TaskPlan{fails ? Duration(50ms) : Duration(runTime), fails};
    };
    auto &node = m_workers[name];
    node.model = std::make_unique<Standins::WorkerModel>(settings, std::move(plan), m_now);
    const auto &info = node.model->info();
    m_platform.add({name.str(), Standins::ListedKind::Worker, "-", info.region.str(), info.zone.str(), info.rack.str(), info.rackPosition,
                    "", false, info.capacity.accelerators, info.capacity.cores, info.capacity.memoryMiB, 0, 0},
                   m_now);
    scheduleWorkerTick(name);
}

auto World::createEndpoint(std::uint32_t zone, std::uint32_t i) -> void
{
    Endpoint endpoint;
    endpoint.info = {EndpointName(zoneName(zone).str() + "-e" + std::to_string(i)),
                     ServiceName("retake"),
                     RegionName("region-" + std::to_string(zone)),
                     zoneName(zone),
                     endpointSlots,
                     64,
                     false,
                     "-"};
    listEndpoint(endpoint);
    m_endpoints.emplace(endpoint.info.name, endpoint);
}

auto World::listEndpoint(const Endpoint &endpoint) -> void
{
    const auto &info = endpoint.info;
    m_platform.add({info.name.str(), Standins::ListedKind::Endpoint, "-", info.region.str(), info.zone.str(), "", 0, info.service.str(),
                    endpoint.leavingSince.has_value(), 0, 0, 0, info.slots, info.connections},
                   m_now);
}

auto World::listNode(std::size_t node) -> void
{
    const auto &info = m_nodes[node].info;
    m_platform.add({info.name.str(), Standins::ListedKind::Entry, "-", info.region.str(), info.zone.str(), "", 0, "",
                    m_nodes[node].draining, 0, 0, 0, 0, 0},
                   m_now);
}

auto World::configuration() const -> Instance::Configuration
{
    Instance::Configuration out;
    for (const auto *name : {"large", "small"}) {
        OrganisationPolicy organisation;
        organisation.name = OrganisationName(name);
        organisation.share = name == std::string("large") ? 4 : 1;
        organisation.callers = {{CallerName("office"), "", false}};
        for (std::uint32_t zone = 0; zone < m_settings.zones; ++zone) {
            organisation.guarantees.push_back({zoneName(zone), {}, {8, {1, 1, 1024}, Adjacency::Rack}, 1});
        }
        out.jobs.organisations.push_back(organisation);
    }
    out.requests.organisations = out.jobs.organisations;
    ServicePolicy service;
    service.name = ServiceName("retake");
    service.attemptTimeout = 2s;
    out.requests.services = {service};
    return out;
}

auto World::createInstance(std::size_t node) -> void
{
    auto &it = m_nodes[node];
    it.incarnation = ++m_lastIncarnation;
    it.paused = false;
    it.draining = false;
    it.inbox.clear();
    it.answers.clear();
    it.openAttempts.clear();
    it.openRequests.clear();
    it.jobNames.clear();
    it.oldDocuments.clear();
    it.tickAt = TimePoint::max();
    Instance::InstanceSettings settings;
    settings.self = it.info;
    settings.incarnation = it.incarnation;
    settings.seed = m_settings.seed * 1000 + it.incarnation;
    settings.router.zone = it.info.zone;
    settings.router.region = it.info.region;
    settings.shard.taskLease = m_settings.taskLease;
    settings.snapshotEvery = m_settings.snapshotEvery;
    settings.moveJobsAfter = 20s;
    // Long enough that some deadlines expire between two attempts of an append.
    settings.outbox.minBackoff = 400ms;
    if (m_settings.mutation == Mutation::LongLease) {
        settings.shard.lease.lease = 10s;
    }
    it.instance = std::make_unique<Instance::Instance>(settings, hooksFor(node));
}

auto World::hooksFor(std::size_t node) -> Instance::InstanceHooks
{
    Instance::InstanceHooks hooks;
    hooks.appendLog = [this, node](std::vector<std::string> records) { append(node, std::move(records)); };
    hooks.sendToWorker = [this, node](const WorkerName &worker, const Worker::Request &request) { sendToWorker(node, worker, request); };
    hooks.sendToPeer = [this, node](const InstanceName &peer, const Peer::Message &message) { sendToPeer(node, peer, message); };
    hooks.sendAttempt = [this, node](const Scheduling::SendAttempt &attempt) { sendAttempt(node, attempt); };
    hooks.cancelAttempt = [this, node](const Scheduling::CancelAttempt &attempt) {
        m_nodes[node].openAttempts.erase({attempt.request, attempt.attempt});
    };
    hooks.refuseRequest = [this, node](RequestId id, const Failure &failure) {
        const auto isHidden = m_settings.mutation == Mutation::UnknownAsNotRun;
        m_oracle.refused(id, isHidden ? Execution::NotRun : failure.execution, m_now);
        requestClosed(node, id);
    };
    hooks.deliverResponse = [this, node](RequestId id, std::uint32_t attempt) {
        const auto content = m_nodes[node].answers[{id, attempt}];
        const auto reported = m_settings.mutation == Mutation::SwapAnswers && id % 5 == 0 ? content - 1 : content;
        m_oracle.answered(id, reported, m_now);
        m_answerTimes.push_back(m_now - m_nodes[node].openRequests[id]);
        requestClosed(node, id);
        return Instance::StoredResponse{200, "text/plain", std::to_string(content)};
    };
    hooks.replayResponse = [this, node](RequestId id, const Instance::StoredResponse &response) {
        m_oracle.answered(id, std::stoull(response.body), m_now);
        requestClosed(node, id);
    };
    hooks.answerOperation = [this, node](Instance::OperationId id, const Instance::OperationResult &result) {
        operationAnswered(node, id, result);
    };
    hooks.readConfiguration = [this](const std::map<std::string, State::Document> &) { return configuration(); };
    hooks.wallClock = [this] { return std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()); };
    return hooks;
}

auto World::at(TimePoint t, std::function<void()> action) -> void
{
    m_events.push({t, ++m_sequence, std::move(action)});
}

auto World::after(Duration d, std::function<void()> action) -> void
{
    at(m_now + d, std::move(action));
}

auto World::deliver(std::size_t node, std::uint64_t incarnation, std::function<void()> action) -> void
{
    auto &it = m_nodes[node];
    if (!it.instance || it.incarnation != incarnation) {
        return;
    }
    if (it.paused) {
        it.inbox.push_back(std::move(action));
        return;
    }
    const auto start = std::chrono::steady_clock::now();
    action();
    scheduleTick(node);
    it.cost.processorTime += std::chrono::steady_clock::now() - start;
}

auto World::scheduleTick(std::size_t node) -> void
{
    auto &it = m_nodes[node];
    const auto deadline = std::max(it.instance->nextDeadline(m_now), m_now + 1ms);
    if (it.tickAt <= deadline && it.tickAt > m_now) {
        return;
    }
    it.tickAt = deadline;
    at(deadline, [this, node, incarnation = it.incarnation, deadline] {
        if (m_nodes[node].incarnation == incarnation && m_nodes[node].tickAt == deadline) {
            m_nodes[node].tickAt = TimePoint::max();
            deliver(node, incarnation, [this, node] { m_nodes[node].instance->tick(m_now); });
        }
    });
}

auto World::append(std::size_t node, std::vector<std::string> records) -> void
{
    const auto incarnation = m_nodes[node].incarnation;
    const auto zone = m_nodes[node].info.zone;
    for (const auto &record : records) {
        m_nodes[node].cost.logBytesWritten += record.size();
    }
    const auto fail = [this, node, incarnation](State::AppendFailure failure) {
        const auto reported = m_settings.mutation == Mutation::LostAnswerAsNotAppended ? State::AppendFailure::NotAppended : failure;
        deliver(node, incarnation, [this, node, reported] { m_nodes[node].instance->logAppendFailed(reported, m_now); });
    };
    if (m_nodes[node].cutFromPlatform) {
        after(logTimeout, [fail] { fail(State::AppendFailure::Unknown); });
        return;
    }
    if (m_lateAppends && !m_platform.isCut(zone)) {
        after(lateAppendDelay, [this, records, zone] { (void)m_platform.append(records, zone); });
        after(logTimeout, [fail] { fail(State::AppendFailure::Unknown); });
        return;
    }
    after(logLatency, [this, node, incarnation, zone, records = std::move(records), fail] {
        const auto isLost = m_settings.mutation == Mutation::LoseRecords && m_sequence % 7 == 0;
        const auto answer = isLost ? Standins::AppendAnswer{} : m_platform.append(records, zone);
        if (answer.kind == Standins::AnswerKind::Unavailable) {
            after(logLatency, [fail] { fail(State::AppendFailure::NotAppended); });
        } else if (answer.kind == Standins::AnswerKind::Lost || answer.delay > logTimeout) {
            after(logTimeout, [fail] { fail(State::AppendFailure::Unknown); });
        } else {
            after(logLatency + answer.delay,
                  [this, node, incarnation] { deliver(node, incarnation, [this, node] { m_nodes[node].instance->logAppended(m_now); }); });
        }
    });
}

auto World::readLog(std::size_t node, std::uint64_t incarnation) -> void
{
    auto &it = m_nodes[node];
    if (!it.instance || it.incarnation != incarnation) {
        return;
    }
    if (it.paused) {
        after(readInterval, [this, node, incarnation] { readLog(node, incarnation); });
        return;
    }
    auto answer = m_platform.read(it.instance->nextOffset(), 1000, it.info.zone);
    if (it.cutFromPlatform) {
        answer = {};
        answer.kind = Standins::AnswerKind::Lost;
    }
    for (const auto &entry : answer.entries) {
        it.cost.logBytesRead += entry.bytes.size();
    }
    if (answer.kind == Standins::AnswerKind::NotRetained) {
        State::SnapshotScanner scanner(answer.earliest);
        for (auto found = m_platform.read(answer.earliest, 100'000, it.info.zone); !found.entries.empty();
             found = m_platform.read(scanner.nextOffset(), 100'000, it.info.zone)) {
            std::for_each(found.entries.begin(), found.entries.end(), [&scanner](const LogEntry &entry) { scanner.read(entry); });
        }
        if (scanner.found()) {
            deliver(node, incarnation, [this, node, found = *scanner.found()] {
                (void)m_nodes[node].instance->restoreSnapshot(found.asOf, found.parts, m_now);
            });
        }
        after(readInterval, [this, node, incarnation] { readLog(node, incarnation); });
        return;
    }
    if (answer.kind != Standins::AnswerKind::Answered || answer.delay > logTimeout) {
        const auto isTimeout = answer.kind != Standins::AnswerKind::Unavailable;
        after(isTimeout ? logTimeout : Duration(200ms), [this, node, incarnation] {
            deliver(node, incarnation, [this, node] { m_nodes[node].instance->logReadFailed(m_now); });
            readLog(node, incarnation);
        });
        return;
    }
    after(logLatency + answer.delay,
          [this, node, incarnation, entries = std::move(answer.entries), range = Instance::LogRange{answer.earliest, answer.next}] {
              deliver(node, incarnation, [this, node, entries, range] { m_nodes[node].instance->logRead(entries, range, m_now); });
              after(entries.empty() ? readInterval : logLatency, [this, node, incarnation] { readLog(node, incarnation); });
          });
}

auto World::fetchList(std::size_t node, std::uint64_t incarnation) -> void
{
    auto &it = m_nodes[node];
    if (!it.instance || it.incarnation != incarnation) {
        return;
    }
    if (const auto listed = it.cutFromPlatform ? std::nullopt : m_platform.list(it.info.zone, m_now)) {
        Instance::PlatformList list;
        for (const auto &entry : *listed) {
            const RegionName region(entry.region);
            const ZoneName zone(entry.zone);
            if (entry.kind == Standins::ListedKind::Worker) {
                list.workers.push_back({{WorkerName(entry.name),
                                         region,
                                         zone,
                                         RackName(entry.rack),
                                         entry.rackPosition,
                                         {entry.accelerators, entry.cores, entry.memoryMiB},
                                         "-"},
                                        entry.leaving});
            } else if (entry.kind == Standins::ListedKind::Endpoint) {
                list.endpoints.push_back({EndpointName(entry.name), ServiceName(entry.service), region, zone, entry.slots,
                                          entry.connections, entry.leaving, "-"});
            } else {
                list.instances.push_back({InstanceName(entry.name), region, zone, entry.leaving, "-"});
            }
        }
        deliver(node, incarnation, [this, node, list] { m_nodes[node].instance->setPlatformList(list, m_now); });
    }
    after(listInterval, [this, node, incarnation] { fetchList(node, incarnation); });
}

auto World::isCut(const ZoneName &a, const ZoneName &b) const -> bool
{
    return a != b && (m_cutZones.contains(a) || m_cutZones.contains(b));
}

auto World::sendToWorker(std::size_t node, const WorkerName &worker, const Worker::Request &request) -> void
{
    const auto incarnation = m_nodes[node].incarnation;
    if (m_settings.countBytes) {
        m_nodes[node].cost.workerBytesSent += encodeMessage(request).size() + frameHeaderBytes;
    }
    after(nearLatency, [this, node, incarnation, worker, request] {
        const auto it = m_workers.find(worker);
        if (it == m_workers.end() || !it->second.reachable) {
            return;
        }
        auto sent = request;
        if (m_settings.mutation == Mutation::SkipTermCheck) {
            std::visit([&it](auto &body) { body.term = std::max(body.term, it->second.model->term()); }, sent);
        }
        std::vector<Worker::Reply> replies;
        const auto *start = std::get_if<Worker::Start>(&sent);
        if (start && m_settings.mutation == Mutation::StartFirstMemberOnly && worker.str().back() != '0') {
            replies = {Worker::Started{start->id, true, Error::Ok}};
        } else {
            replies = it->second.model->handle(sent, m_now);
        }
        scheduleWorkerTick(worker);
        for (const auto &reply : replies) {
            if (m_settings.countBytes) {
                m_nodes[node].cost.workerBytesReceived += encodeMessage(reply).size() + frameHeaderBytes;
            }
            after(nearLatency, [this, node, incarnation, worker, reply] {
                if (m_workers.at(worker).reachable) {
                    deliver(node, incarnation, [this, node, worker, reply] { m_nodes[node].instance->workerReply(worker, reply, m_now); });
                }
            });
        }
    });
}

auto World::scheduleWorkerTick(const WorkerName &name) -> void
{
    auto &it = m_workers.at(name);
    const auto deadline = std::max(it.model->nextDeadline(), m_now);
    it.tickAt = deadline;
    at(deadline, [this, name, deadline] {
        auto &worker = m_workers.at(name);
        if (worker.tickAt != deadline) {
            return;
        }
        sendToHolder(name, worker.model->tick(m_now));
        scheduleWorkerTick(name);
    });
}

auto World::sendToHolder(const WorkerName &worker, const std::vector<Worker::Reply> &replies) -> void
{
    const auto term = m_workers.at(worker).model->term();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].incarnation != term.incarnation || !m_workers.at(worker).reachable) {
            continue;
        }
        for (const auto &reply : replies) {
            if (m_settings.countBytes) {
                m_nodes[i].cost.workerBytesReceived += encodeMessage(reply).size() + frameHeaderBytes;
            }
            after(nearLatency, [this, i, incarnation = term.incarnation, worker, reply] {
                deliver(i, incarnation, [this, i, worker, reply] { m_nodes[i].instance->workerReply(worker, reply, m_now); });
            });
        }
    }
}

auto World::sendToPeer(std::size_t node, const InstanceName &peer, const Peer::Message &message) -> void
{
    const auto from = m_nodes[node].info;
    const auto target = std::find_if(m_nodes.begin(), m_nodes.end(), [&peer](const Node &it) { return it.info.name == peer; });
    if (target == m_nodes.end() || isCut(from.zone, target->info.zone)) {
        return;
    }
    const auto i = static_cast<std::size_t>(target - m_nodes.begin());
    if (m_settings.countBytes) {
        m_nodes[node].cost.peerBytesSent += encodeMessage(message).size() + frameHeaderBytes;
    }
    after(from.zone == target->info.zone ? nearLatency : farLatency,
          [this, i, incarnation = target->incarnation, name = from.name, message] {
              deliver(i, incarnation, [this, i, name, message] { m_nodes[i].instance->peerMessage(name, message, m_now); });
          });
}

auto World::sendAttempt(std::size_t node, const Scheduling::SendAttempt &attempt) -> void
{
    auto &it = m_nodes[node];
    const auto incarnation = it.incarnation;
    const auto id = attempt.request;
    const auto number = attempt.attempt;
    it.openAttempts.insert({id, number});
    auto &endpoint = m_endpoints.at(attempt.endpoint);
    const auto latency = it.info.zone == endpoint.info.zone ? nearLatency : farLatency;
    const auto isLeaving = endpoint.leavingSince && m_now - *endpoint.leavingSince > leavingLimit;
    if (isLeaving && !m_platform.isCut(it.info.zone) && m_now - m_lastFault > faultFreeAfter) {
        m_oracle.leavingEndpointUsed(attempt.endpoint.str(), m_now);
    }
    after(attempt.timeout, [this, node, incarnation, id, number, timeout = attempt.timeout] {
        endAttempt(node, incarnation, id, number, Scheduling::AttemptResultKind::TimedOut, timeout);
    });
    if (isCut(it.info.zone, endpoint.info.zone) || endpoint.unresponsive) {
        return;
    }
    const auto run = [this, node, incarnation, id, number, name = attempt.endpoint, latency] {
        auto &target = m_endpoints.at(name);
        if (target.busy >= endpointSlots) {
            after(latency, [=, this] { endAttempt(node, incarnation, id, number, Scheduling::AttemptResultKind::Busy, latency * 2); });
            return;
        }
        ++target.busy;
        m_oracle.requestRan(id, m_now);
        after(serviceTime, [this, name] { --m_endpoints.at(name).busy; });
        // One answer in twenty is lost after the request has run.
        const auto isLost = m_random() % 20 == 0;
        const auto kind = isLost ? Scheduling::AttemptResultKind::Failed : Scheduling::AttemptResultKind::Answered;
        after(serviceTime + latency, [=, this] { endAttempt(node, incarnation, id, number, kind, serviceTime + latency * 2); });
    };
    after(latency, run);
    if (m_settings.mutation == Mutation::RetryAfterSend && m_idempotencyKeys.contains(id) && id % 3 == 0) {
        after(latency * 2, run);
    }
}

auto World::endAttempt(std::size_t node, std::uint64_t incarnation, RequestId id, std::uint32_t attempt, Scheduling::AttemptResultKind kind,
                       Duration latency) -> void
{
    deliver(node, incarnation, [this, node, id, attempt, kind, latency] {
        auto &it = m_nodes[node];
        if (it.openAttempts.erase({id, attempt}) == 0) {
            return;
        }
        it.answers[{id, attempt}] = id;
        const std::uint32_t status = kind == Scheduling::AttemptResultKind::Answered ? 200 : 0;
        it.instance->attemptEnded(id, attempt, {kind, status, latency}, m_now);
    });
}

auto World::operationAnswered(std::size_t node, Instance::OperationId id, const Instance::OperationResult &result) -> void
{
    const auto name = m_nodes[node].jobNames[id];
    if (const auto *submitted = std::get_if<Instance::JobSubmitted>(&result)) {
        m_oracle.jobAccepted(submitted->job);
        m_acceptedJobs.push_back(submitted->job);
    } else if (const auto *failed = std::get_if<Instance::OperationFailed>(&result); failed && !name.empty()) {
        m_oracle.jobRefused(name, failed->failure.execution);
    }
}

auto World::requestClosed(std::size_t node, std::uint64_t content) -> void
{
    m_nodes[node].openRequests.erase(content);
}

auto World::advance(Duration d) -> void
{
    const auto end = m_now + d;
    auto nextCheck = m_now;
    while (m_now < end) {
        const auto next = m_events.empty() ? end : std::min(end, m_events.top().at);
        if (next > nextCheck) {
            m_now = nextCheck;
            checkStep();
            nextCheck += checkInterval;
            continue;
        }
        m_now = std::max(m_now, next);
        if (m_events.empty() || m_events.top().at > m_now) {
            continue;
        }
        const auto action = m_events.top().action;
        m_events.pop();
        action();
    }
}

auto World::checkStep() -> void
{
    if (!m_settings.checkSteps) {
        return;
    }
    for (std::uint32_t zone = 0; zone < m_settings.zones; ++zone) {
        if (holdersOf(zone) > 1) {
            m_oracle.fail(Invariant::OneHolder, "two instances hold a shard of " + zoneName(zone).str(), m_now);
        }
    }
    for (auto &it : m_nodes) {
        if (it.instance && it.instance->hasConfiguration()) {
            auto version = it.instance->versionInForce();
            if (m_settings.mutation == Mutation::RevertVersion && version > 1 && m_now.time_since_epoch() / 10s % 2 == 0) {
                --version;
            }
            m_oracle.versionInForce(it.info.name.str() + "/" + std::to_string(it.incarnation), version, m_now);
        }
        if (it.instance && !it.paused) {
            if (const auto fault = it.instance->verify(); !fault.empty()) {
                m_oracle.fail(Invariant::GuaranteesKept, it.info.name.str() + ": " + fault, m_now);
            }
        }
    }
    checkGangs();
    checkDrains();
}

auto World::checkGangs() -> void
{
    struct Gang
    {
        std::size_t members = 0;
        std::size_t complete = 0;
        std::size_t running = 0;
    };
    std::map<Worker::AttemptId, Gang> gangs;
    for (const auto &[name, worker] : m_workers) {
        for (const auto &it : worker.model->attempts(m_now)) {
            auto &gang = gangs[it.id];
            gang.members = it.members.size();
            const auto isRunning = it.state == Worker::AttemptState::Unconfirmed || it.state == Worker::AttemptState::Running;
            gang.running += isRunning ? 1 : 0;
            gang.complete += isRunning || (it.state == Worker::AttemptState::Ended && it.end.kind == AttemptEndKind::Succeeded) ? 1 : 0;
        }
    }
    std::erase_if(m_partialSince, [&gangs](const auto &it) {
        const auto gang = gangs.find(it.first);
        return gang == gangs.end() || gang->second.running == 0 || gang->second.complete == gang->second.members;
    });
    for (const auto &[id, gang] : gangs) {
        if (gang.running == 0 || gang.complete == gang.members) {
            continue;
        }
        const auto since = m_partialSince.try_emplace(id, m_now).first->second;
        const auto isFaultFree = since - m_lastFault > faultFreeAfter;
        const auto limit = isFaultFree ? faultFreePartialLimit : m_settings.taskLease + faultFreePartialLimit;
        if (m_now - since > limit) {
            m_oracle.fail(Invariant::WholeGang, "job " + id.job.str() + " ran in part for longer than allowed", m_now);
            m_partialSince[id] = m_now;
        }
    }
}

auto World::checkDrains() -> void
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &it = m_nodes[i];
        if (!it.draining || !it.instance || it.paused) {
            continue;
        }
        if (it.instance->isDrained(m_now) || m_settings.mutation == Mutation::AbruptDrain) {
            if (!it.openRequests.empty()) {
                m_oracle.fail(Invariant::GracefulShutdown, it.info.name.str() + " ended with requests in progress", m_now);
            }
            crash(i);
            m_platform.remove(it.info.name.str(), m_now);
        }
    }
}

auto World::holdersOf(std::uint32_t zone) const -> std::size_t
{
    std::size_t n = 0;
    for (const auto &it : m_nodes) {
        if (it.instance && it.info.zone == zoneName(zone) && it.instance->isHolder(m_now)) {
            ++n;
        }
    }
    return n;
}

auto World::holderIndex(std::uint32_t zone) const -> std::optional<std::size_t>
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const auto &it = m_nodes[i];
        if (it.instance && !it.paused && it.info.zone == zoneName(zone) && it.instance->isHolder(m_now)
            && it.instance->status(m_now).shards.front().isRecovered) {
            return i;
        }
    }
    return std::nullopt;
}

auto World::selectReadyInstance(std::uint32_t target) const -> std::optional<std::size_t>
{
    for (std::size_t k = 0; k < m_nodes.size(); ++k) {
        const auto i = (target + k) % m_nodes.size();
        if (m_nodes[i].instance && m_nodes[i].instance->isReady()) {
            return i;
        }
    }
    return std::nullopt;
}

auto World::recordFault() -> void
{
    m_lastFault = m_now;
}

auto World::crash(std::size_t i) -> void
{
    auto &it = m_nodes[i];
    for (const auto &[content, since] : it.openRequests) {
        m_oracle.connectionLost(content);
    }
    it.openRequests.clear();
    it.instance.reset();
    it.paused = false;
}

auto World::restart(std::size_t i) -> void
{
    if (m_nodes[i].instance) {
        crash(i);
    }
    createInstance(i);
    listNode(i);
    const auto incarnation = m_nodes[i].incarnation;
    after(Duration::zero(), [this, i, incarnation] {
        fetchList(i, incarnation);
        readLog(i, incarnation);
        deliver(i, incarnation, [this, i] { m_nodes[i].instance->tick(m_now); });
    });
}

auto World::setPaused(std::size_t i, bool paused) -> void
{
    auto &it = m_nodes[i];
    if (!it.instance || it.paused == paused) {
        return;
    }
    it.paused = paused;
    if (!paused) {
        const auto incarnation = it.incarnation;
        for (auto &action : std::exchange(it.inbox, {})) {
            after(Duration::zero(), [this, i, incarnation, action = std::move(action)] { deliver(i, incarnation, action); });
        }
        it.tickAt = TimePoint::max();
        scheduleTick(i);
    }
}

auto World::drain(std::size_t i) -> void
{
    auto &it = m_nodes[i];
    if (!it.instance || it.draining) {
        return;
    }
    it.draining = true;
    listNode(i);
    deliver(i, it.incarnation, [this, i] { m_nodes[i].instance->drain(m_now); });
    at(m_now + drainLimit, [this, i, incarnation = it.incarnation] {
        auto &node = m_nodes[i];
        if (node.instance && node.incarnation == incarnation && !node.paused && m_now - m_lastFault > faultFreeAfter) {
            m_oracle.fail(Invariant::GracefulShutdown, node.info.name.str() + " did not complete its shutdown", m_now);
        }
    });
}

auto World::submitRequest(std::size_t i, std::string_view key) -> void
{
    // A copy, since the key may be an element of m_usedKeys, which grows below.
    const std::string idempotencyKey(key);
    const auto content = ++m_lastContent;
    auto &it = m_nodes[i];
    m_oracle.requestSent(content, idempotencyKey);
    it.openRequests[content] = m_now;
    Scheduling::RequestInfo request{content,
                                    ServiceName("retake"),
                                    OrganisationName(content % 3 ? "large" : "small"),
                                    CallerName("office"),
                                    static_cast<Priority>(content % 3),
                                    m_now + 3s,
                                    idempotencyKey.empty(),
                                    100};
    if (idempotencyKey.empty()) {
        deliver(i, it.incarnation, [this, i, request] { m_nodes[i].instance->submitRequest(request, m_now); });
        return;
    }
    m_idempotencyKeys[content] = idempotencyKey;
    m_usedKeys.push_back(idempotencyKey);
    auto claimedKey = idempotencyKey;
    if (m_settings.mutation == Mutation::ForgetKeys) {
        claimedKey += std::to_string(content);
    }
    const Instance::NonIdempotentRequest keyedRequest{request, {OrganisationName("large"), claimedKey}, 1};
    deliver(i, it.incarnation, [this, i, keyedRequest] { m_nodes[i].instance->submitNonIdempotentRequest(keyedRequest, m_now); });
}

auto World::submitJob(std::size_t i, std::uint32_t tasks, bool idempotent) -> void
{
    auto &it = m_nodes[i];
    JobSpec spec;
    spec.organisation = OrganisationName(m_lastJob % 3 ? "large" : "small");
    spec.caller = CallerName("office");
    spec.name = "job-" + std::to_string(++m_lastJob);
    spec.kind = m_lastJob % 11 == 0 ? "bad" : "good";
    spec.shape = {tasks, {1, 1, 1024}, tasks > 1 ? Adjacency::Rack : Adjacency::Any};
    spec.priority = static_cast<Priority>(m_lastJob % 3);
    spec.declaredRunTime = 10s;
    spec.idempotent = idempotent;
    spec.checkpointable = m_lastJob % 2 == 0;
    const Instance::OperationId id = m_lastJob;
    it.jobNames[id] = spec.name;
    deliver(i, it.incarnation, [this, i, id, spec] {
        const auto timeout = std::chrono::milliseconds(500 + id * 997 % 5000);
        m_nodes[i].instance->submitJob(id, spec, m_now + timeout, m_now);
    });
}

auto World::publish(std::size_t i, const std::string &document) -> void
{
    auto &it = m_nodes[i];
    const auto &documents = it.instance->replica().documents();
    const auto found = documents.find(document);
    const auto base = found == documents.end() ? 0 : found->second.version;
    const State::ConfigChange change{{{document, base, "text", {"operator", "file", "revision"}}}};
    const Instance::OperationId id = 1'000'000 + ++m_sequence;
    deliver(i, it.incarnation, [this, i, id, change] { m_nodes[i].instance->publish(id, change, m_now + 3s, m_now); });
}

auto World::execute(const Command &command) -> void
{
    const auto ready = selectReadyInstance(command.target);
    const auto any = command.target % m_nodes.size();
    const auto endpoint = std::next(m_endpoints.begin(), command.target % static_cast<std::uint32_t>(m_endpoints.size()));
    const auto worker = std::next(m_workers.begin(), command.target % static_cast<std::uint32_t>(m_workers.size()));
    if (command.kind > CommandKind::Race && command.kind != CommandKind::Wait) {
        recordFault();
    }
    switch (command.kind) {
    case CommandKind::Request:
        for (std::uint32_t k = 0; ready && k < 5; ++k) {
            submitRequest(*ready, {});
        }
        break;
    case CommandKind::NonIdempotentRequest:
        if (ready) {
            submitRequest(*ready, "key-" + std::to_string(m_usedKeys.size()));
        }
        break;
    case CommandKind::RetryElsewhere:
        if (ready && !m_usedKeys.empty()) {
            submitRequest(*ready, m_usedKeys.back());
        }
        break;
    case CommandKind::Job:
        if (ready) {
            submitJob(*ready, 1, command.target % 2 == 0);
        }
        break;
    case CommandKind::Gang:
        if (ready) {
            submitJob(*ready, 4 + command.target % 9, command.target % 3 != 0);
        }
        break;
    case CommandKind::CancelWave:
        for (std::size_t k = 0; ready && k < std::min<std::size_t>(m_acceptedJobs.size(), 5); ++k) {
            const auto job = m_acceptedJobs[m_acceptedJobs.size() - 1 - k];
            deliver(*ready, m_nodes[*ready].incarnation, [this, i = *ready, job] {
                m_nodes[i].instance->cancelJob(2'000'000 + ++m_sequence, job, CallerName("office"), m_now + 3s, m_now);
            });
        }
        break;
    case CommandKind::Publish:
        if (ready) {
            publish(*ready, "document-" + std::to_string(command.target % 3));
        }
        break;
    case CommandKind::Race:
        for (std::uint32_t k = 0; k < 2; ++k) {
            if (const auto i = selectReadyInstance(command.target + k)) {
                publish(*i, "document-0");
            }
        }
        break;
    case CommandKind::Crash:
        crash(any);
        break;
    case CommandKind::Restart:
        restart(any);
        break;
    case CommandKind::RestartAll:
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            restart(i);
        }
        break;
    case CommandKind::Pause:
        setPaused(any, true);
        break;
    case CommandKind::Resume:
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            setPaused(i, false);
        }
        break;
    case CommandKind::CutZone:
        m_cutZones.insert(zoneName(command.target));
        m_platform.cutZone(zoneName(command.target));
        break;
    case CommandKind::RestoreZones:
        m_cutZones.clear();
        m_platform.restoreZones();
        break;
    case CommandKind::LogDown:
        m_platform.setMode(Standins::LogMode::Down);
        break;
    case CommandKind::LogSlow:
        m_platform.setMode(Standins::LogMode::Slow, std::chrono::milliseconds(100 + command.target % 4 * 900));
        break;
    case CommandKind::LogLosesAnswers:
        m_platform.setMode(Standins::LogMode::LoseAnswers);
        break;
    case CommandKind::LogLateAppends:
        m_lateAppends = true;
        break;
    case CommandKind::LogUp:
        m_platform.setMode(Standins::LogMode::Up);
        m_lateAppends = false;
        break;
    case CommandKind::LimitRetention:
        m_platform.setRetention(m_settings.retention);
        break;
    case CommandKind::EndpointLeaves:
        endpoint->second.leavingSince = m_now;
        listEndpoint(endpoint->second);
        break;
    case CommandKind::EndpointUnresponsive:
        endpoint->second.unresponsive = true;
        break;
    case CommandKind::EndpointsRecover:
        for (auto &[name, it] : m_endpoints) {
            it.unresponsive = false;
            it.leavingSince.reset();
            listEndpoint(it);
        }
        break;
    case CommandKind::WorkerFailsAll:
        worker->second.failsAll = true;
        break;
    case CommandKind::WorkerRestarts:
        worker->second.model->restart(m_now);
        scheduleWorkerTick(worker->first);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            deliver(i, m_nodes[i].incarnation, [this, i, name = worker->first] { m_nodes[i].instance->workerDisconnected(name, m_now); });
        }
        break;
    case CommandKind::WorkerUnreachable:
        worker->second.reachable = false;
        break;
    case CommandKind::WorkersRecover:
        for (auto &[name, it] : m_workers) {
            it.reachable = true;
            it.failsAll = false;
        }
        break;
    case CommandKind::ListLags:
        m_platform.setListLag(std::chrono::seconds(command.target % 5));
        break;
    case CommandKind::Drain:
        if (ready) {
            drain(*ready);
        }
        break;
    case CommandKind::Wait:
        break;
    }
    advance(command.pause);
}

auto World::settle() -> void
{
    for (const auto kind :
         {CommandKind::LogUp, CommandKind::RestoreZones, CommandKind::Resume, CommandKind::EndpointsRecover, CommandKind::WorkersRecover}) {
        execute({kind, 0, Duration::zero()});
    }
    m_platform.setListLag(Duration::zero());
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i].instance || m_nodes[i].draining) {
            restart(i);
        }
    }
    const auto isOpen = [](const Node &node) {
        const auto &replica = node.instance->replica();
        return std::any_of(replica.jobs().begin(), replica.jobs().end(),
                           [](const auto &it) { return it.second.phase != State::JobPhase::Finished; })
            || std::any_of(replica.idempotencyStates().begin(), replica.idempotencyStates().end(),
                           [](const auto &it) { return !it.second.finished; });
    };
    advance(10s);
    const auto limit = m_now + 300s;
    while (m_now < limit && std::any_of(m_nodes.begin(), m_nodes.end(), isOpen)) {
        advance(1s);
    }
    advance(2s);
    m_oracle.checkEnd(m_nodes.front().instance->replica(), m_now);
    const auto &first = m_nodes.front().instance->replica();
    for (const auto &it : m_nodes) {
        const auto &replica = it.instance->replica();
        if (it.instance->versionInForce() != first.configVersion()) {
            m_oracle.fail(Invariant::ConfigurationInForce,
                          it.info.name.str() + " has another version than " + m_nodes.front().info.name.str(), m_now);
        }
        if (replica.nextOffset() == first.nextOffset() && replica.digest() != first.digest()) {
            m_oracle.fail(Invariant::EqualReplicas, it.info.name.str() + " differs from " + m_nodes.front().info.name.str(), m_now);
        }
    }
}

auto World::violations() const noexcept -> const std::vector<Violation> &
{
    return m_oracle.violations();
}

auto World::now() const noexcept -> TimePoint
{
    return m_now;
}

auto World::instanceCount() const noexcept -> std::size_t
{
    return m_nodes.size();
}

auto World::instance(std::size_t i) -> Instance::Instance &
{
    return *m_nodes[i].instance;
}

auto World::isUp(std::size_t i) const -> bool
{
    return m_nodes[i].instance && !m_nodes[i].paused;
}

auto World::platform() -> Standins::PlatformModel &
{
    return m_platform;
}

auto World::startedAttempts() const noexcept -> std::uint64_t
{
    return m_started;
}

auto World::answerTimes() const noexcept -> const std::vector<Duration> &
{
    return m_answerTimes;
}

auto World::cost(std::size_t i) const -> const Cost &
{
    return m_nodes[i].cost;
}

auto World::cutFromPlatform(std::size_t i, bool cut) -> void
{
    m_nodes[i].cutFromPlatform = cut;
    recordFault();
}

auto World::clearAnswerTimes() -> void
{
    m_answerTimes.clear();
}

auto randomSequence(std::uint64_t seed, std::size_t length) -> std::vector<Command>
{
    std::mt19937_64 random(seed);
    std::vector<Command> commands;
    commands.reserve(length);
    for (std::size_t i = 0; i < length; ++i) {
        // Half of the steps submit work or publish documents, so that faults occur while work is in progress.
        const auto isWork = random() % 2 == 0;
        const auto kind = isWork ? random() % 8 : random() % commandKindCount;
        const auto pause = std::chrono::milliseconds(random() % 3 == 0 ? random() % 3000 : random() % 200);
        commands.push_back({static_cast<CommandKind>(kind), static_cast<std::uint32_t>(random() % 64), pause});
    }
    return commands;
}

auto runSequence(const WorldSettings &settings, const std::vector<Command> &commands) -> std::vector<Violation>
{
    World world(settings);
    for (const auto &it : commands) {
        world.execute(it);
    }
    world.settle();
    return world.violations();
}

} // namespace Acaciarail::Fuzz
