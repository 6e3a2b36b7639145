#include "worker_fleet.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

constexpr Duration tickInterval = 20ms;
constexpr Duration publishInterval = 1s;
constexpr Duration stopDuration = 100ms;
constexpr Duration gangStartTimeout = 3s;
constexpr Duration workPerCheckpoint = 500ms;
constexpr std::chrono::milliseconds maxLease = 4s;
/// Equals `bounds.evacuateMs` in the settings of the instances.
constexpr Duration evacuationBound = 5s;
constexpr std::size_t workersPerRack = 4;
/// Most ends that a worker lists in one response, the earliest first; the platform's limit.
constexpr std::size_t maxListedEnds = 500;
constexpr double fullPercent = 100.0;
/// Rate of the workers' clocks: 2% slow.
constexpr double clockRate = 0.98;

template<typename T>
auto field(const json &in, const char *key, T fallback) -> T
{
    const auto it = in.find(key);
    return it == in.end() ? fallback : it->get<T>();
}

} // namespace

WorkerFleet::WorkerFleet(Runtime::EventLoop &loop, Ledger &ledger, StoreServer &store, std::size_t workers, std::uint64_t seed)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_store(store)
    , m_random(seed)
    , m_workers(workers)
    , m_lastTick(loop.now())
{
    for (std::size_t i = 0; i < workers; ++i) {
        auto &it = m_workers[i];
        it.name = "w" + std::to_string(i);
        it.rack = "rack" + std::to_string(i / workersPerRack);
        it.zone = zones.at(i / workersPerRack % zones.size());
        it.kind = i % workerKinds.size();
        it.proxy = std::make_unique<TcpProxy>(loop, Runtime::SocketAddress{});
        startWorker(i, {});
    }
    tick();
}

auto WorkerFleet::labels(const Worker &worker) const -> std::vector<std::string>
{
    return {workerKinds.at(worker.kind), worker.rack};
}

auto WorkerFleet::startWorker(std::size_t i, Duration entryDelay) -> void
{
    auto &worker = m_workers.at(i);
    worker.listener = std::make_unique<HttpListener>(m_loop, [this, i](const HttpCall &call, const Respond &respond) {
        handle(i, call, [this, i, respond](HttpReply reply) {
            // A server that is about to leave keeps no connection.
            reply.closesConnection = m_workers[i].draining;
            respond(reply);
        });
    });
    worker.proxy->setTarget(worker.listener->address());
    worker.proxy->setRefusing(false);
    worker.up = true;
    worker.draining = false;
    worker.startedAt = m_loop.now();
    worker.incarnation = std::max(unixNow().count(), worker.incarnation + 1);
    worker.fenceToken = 0;
    worker.leaseExpiry = {};
    worker.endCount = 0;
    worker.highestRuns.clear();
    worker.ends.clear();
    worker.listedAt.reset();
    worker.reports = 0;
    if (entryDelay <= Duration::zero()) {
        publishEntry(worker);
        return;
    }
    m_loop.callAfter(entryDelay, [this, i, incarnation = worker.incarnation] {
        auto &it = m_workers[i];
        if (it.up && it.incarnation == incarnation && !it.listedAt) {
            publishEntry(it);
        }
    });
}

auto WorkerFleet::stopWorker(Worker &worker) -> void
{
    worker.up = false;
    for (const auto &[task, run] : std::exchange(worker.runs, {})) {
        m_ledger.runEnded(run.observed, "lost", {});
    }
    worker.pendingPolls.clear();
    worker.proxy->setRefusing(true);
    worker.proxy->resetConnections();
    worker.listener.reset();
}

auto WorkerFleet::crash(std::size_t i, Duration pause) -> void
{
    auto &worker = m_workers.at(i);
    if (!worker.up) {
        return;
    }
    stopWorker(worker);
    m_loop.callAfter(pause, [this, i] { startWorker(i, {}); });
}

auto WorkerFleet::restartAsOtherKind(const std::vector<std::size_t> &numbers, Duration pause, Duration entryDelay) -> void
{
    const auto ofKind = [this](std::size_t kind) {
        return std::count_if(m_workers.begin(), m_workers.end(), [&](const Worker &it) { return it.kind == kind; });
    };
    for (const auto i : numbers) {
        auto &worker = m_workers.at(i);
        if (!worker.up || worker.draining || ofKind(worker.kind) <= minWorkersPerKind) {
            continue;
        }
        stopWorker(worker);
        worker.kind = (worker.kind + 1) % workerKinds.size();
        m_loop.callAfter(pause, [this, i, entryDelay] {
            startWorker(i, entryDelay);
            const auto &it = m_workers[i];
            std::cout << "worker-restarted worker=" << it.name << " kind=" << workerKinds.at(it.kind) << " life=" << it.incarnation
                      << " entry_delay_ms=" << toMilliseconds(entryDelay).count() << '\n';
        });
    }
}

auto WorkerFleet::drain(std::size_t i, Duration remaining) -> void
{
    auto &worker = m_workers.at(i);
    if (!worker.up || worker.draining) {
        return;
    }
    worker.draining = true;
    worker.drainEnd = m_loop.now() + remaining;
    publishEntry(worker);
    m_loop.callAfter(remaining, [this, i] {
        m_store.put("keyed.servers", m_workers[i].name, {});
        crash(i, 1s);
    });
}

auto WorkerFleet::restore() -> void
{
    lateCommandProbability = 0;
    for (auto &it : m_workers) {
        it.unlisted = false;
        it.slowdown = 1.0;
        it.failsAllRuns = false;
        it.proxy->setPartition(TcpProxy::Partition::None);
        it.proxy->setDelay({});
    }
}

auto WorkerFleet::toggleEvacuation(const std::string &zone) -> void
{
    const bool evacuate = !m_evacuated.contains(zone);
    m_store.put("keyed.op", "evacuate/" + zone, evacuate ? "{}" : "");
    if (evacuate) {
        m_evacuated[zone] = m_loop.now();
    } else {
        m_evacuated.erase(zone);
    }
}

auto WorkerFleet::revokeEvacuations() -> void
{
    while (!m_evacuated.empty()) {
        toggleEvacuation(std::string(m_evacuated.begin()->first));
    }
}

auto machineOf(const WorkerFleet::Worker &worker) -> std::string
{
    return "machine-of-" + worker.name;
}

auto WorkerFleet::publishEntry(Worker &worker) -> void
{
    worker.listedAt = worker.listedAt.value_or(m_loop.now());
    json entry{{"service", "service"},
               {"address", worker.proxy->address().str()},
               {"zone", worker.zone},
               {"version", "1"},
               {"slots", 8},
               {"state", worker.draining ? "draining" : "ready"},
               {"sequence", worker.endCount},
               {"born", worker.incarnation},
               {"capacity", {{"cpu", worker.size.milliCores}, {"memMb", worker.size.memoryMiB}, {"gpus", worker.size.accelerators}}},
               {"labels", labels(worker)},
               {"machine", machineOf(worker)}};
    if (worker.draining) {
        entry["remainingMs"] = toMilliseconds(std::max(worker.drainEnd - m_loop.now(), Duration::zero())).count();
    }
    m_store.put("keyed.servers", worker.name, entry.dump());
}

auto WorkerFleet::clock(const Worker &worker) const -> std::chrono::milliseconds
{
    return toMilliseconds(std::chrono::duration_cast<Duration>((m_loop.now() - worker.startedAt) * clockRate));
}

auto WorkerFleet::handle(std::size_t i, const HttpCall &call, const Respond &respond) -> void
{
    const auto execute = [this, i, call, respond] {
        auto &worker = m_workers[i];
        const auto body = json::parse(call.body, nullptr, false);
        if (!worker.up || !body.is_object()) {
            respond({400, "{}"});
        } else if (call.path == "/api/run-start") {
            respond(startRun(worker, body, false));
        } else if (call.path == "/api/run-stop") {
            respond(stopRun(worker, body));
        } else if (auto reply = poll(worker, body)) {
            respond(*reply);
        } else {
            worker.pendingPolls.push_back({call, {m_loop.now() + std::chrono::milliseconds(body.at("waitMs")), respond}});
        }
    };
    if (std::uniform_real_distribution<double>(0, 1)(m_random) >= lateCommandProbability) {
        execute();
        return;
    }
    constexpr Duration::rep minLateMicroseconds = 2'000'000;
    constexpr Duration::rep maxLateMicroseconds = 6'000'000;
    // A late command is executed only by the incarnation of the worker that it was sent to.
    m_loop.callAfter(Duration(std::uniform_int_distribution<Duration::rep>(minLateMicroseconds, maxLateMicroseconds)(m_random)),
                     [this, i, call, incarnation = m_workers[i].incarnation] {
                         auto &worker = m_workers[i];
                         const auto body = json::parse(call.body, nullptr, false);
                         if (!worker.up || worker.incarnation != incarnation || !body.is_object()) {
                             return;
                         }
                         if (call.path == "/api/run-start") {
                             startRun(worker, body, true);
                         } else if (call.path == "/api/run-stop") {
                             stopRun(worker, body);
                         } else {
                             (void)poll(worker, body);
                         }
                     });
}

auto WorkerFleet::startRun(Worker &worker, const json &body, bool late) -> HttpReply
{
    const auto now = clock(worker);
    const auto refuse = [&](const char *reason) { return HttpReply{409, json{{"clockMs", now.count()}, {"reason", reason}}.dump()}; };
    ObservedRun observed{
        worker.name,   body.at("task"), body.at("run"), field<std::string>(body, "spec", {}), field<std::string>(body, "checkpoint", {}),
        labels(worker)};
    const auto fenceToken = field<std::uint64_t>(body, "fenceToken", 0);
    if (fenceToken < worker.fenceToken) {
        return refuse("fence");
    }
    worker.fenceToken = fenceToken;
    const std::chrono::milliseconds until(body.at("untilMs").get<std::int64_t>());
    const auto existing = worker.runs.find(observed.task);
    if (existing != worker.runs.end() && existing->second.observed.run == observed.run) {
        return {200, json{{"clockMs", now.count()}}.dump()};
    }
    if (existing != worker.runs.end()
        || (worker.highestRuns.contains(observed.task) && observed.run <= worker.highestRuns[observed.task])) {
        return refuse("old");
    }
    if (until <= now) {
        return refuse("late");
    }
    const auto task = parseTask(observed.task);
    const auto *plan = task ? m_ledger.job(task->job) : nullptr;
    auto available = worker.size;
    for (const auto &[name, run] : worker.runs) {
        const auto other = parseTask(name);
        const auto &step = m_ledger.job(other->job)->steps.at(other->step);
        available.milliCores -= step.milliCores;
        available.memoryMiB -= step.memoryMiB;
        available.accelerators -= step.accelerators;
    }
    if (plan != nullptr && task->step < plan->steps.size()) {
        const auto &step = plan->steps[task->step];
        if (step.milliCores > available.milliCores || step.memoryMiB > available.memoryMiB || step.accelerators > available.accelerators) {
            return refuse("room");
        }
    }
    // A command that this worker executes late is no start by the system.
    const auto evacuated = m_evacuated.find(worker.zone);
    if (!late && evacuated != m_evacuated.end() && m_loop.now() > evacuated->second + evacuationBound) {
        m_ledger.addViolation("a start of " + observed.task + " in the evacuated zone " + worker.zone);
    }
    const auto violations = m_ledger.violations().size();
    m_ledger.runStarted(observed);
    if (m_ledger.violations().size() > violations) {
        printCircumstances(worker, observed, fenceToken, late);
    }
    worker.leaseExpiry = std::max(worker.leaseExpiry, std::min(until, now + maxLease));
    Run run;
    run.observed = observed;
    run.startedAt = m_loop.now();
    run.checkpoint = observed.checkpoint;
    if (!observed.checkpoint.empty()) {
        // The name of a checkpoint ends with the work that it contains, in ms.
        run.worked = std::chrono::milliseconds(std::stoll(observed.checkpoint.substr(observed.checkpoint.rfind('-') + 1)));
    }
    worker.runs[observed.task] = std::move(run);
    return {200, json{{"clockMs", now.count()}}.dump()};
}

auto WorkerFleet::printCircumstances(const Worker &worker, const ObservedRun &run, std::uint64_t fenceToken, bool late) const -> void
{
    const auto age = [this](TimePoint at) { return std::to_string(toMilliseconds(m_loop.now() - at).count()); };
    std::cout << "start-observed task=" << run.task << " run=" << run.run << " worker=" << worker.name << " life=" << worker.incarnation
              << " life_ms=" << age(worker.startedAt) << " listed_ms=" << (worker.listedAt ? age(*worker.listedAt) : "never")
              << " reports=" << worker.reports << " fence=" << fenceToken << " late=" << late << '\n';
}

auto WorkerFleet::stopRun(Worker &worker, const json &body) -> HttpReply
{
    const auto now = clock(worker);
    const auto fenceToken = field<std::uint64_t>(body, "fenceToken", 0);
    if (fenceToken < worker.fenceToken) {
        return {409, json{{"clockMs", now.count()}, {"reason", "fence"}}.dump()};
    }
    worker.fenceToken = fenceToken;
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    worker.highestRuns[task] = std::max(worker.highestRuns[task], run);
    const auto it = worker.runs.find(task);
    if (it != worker.runs.end() && it->second.observed.run <= run && !it->second.stopping) {
        it->second.stopping = true;
        it->second.stopsAt = m_loop.now() + stopDuration;
    }
    return {200, json{{"clockMs", now.count()}}.dump()};
}

auto WorkerFleet::poll(Worker &worker, const json &body) -> std::optional<HttpReply>
{
    const auto now = clock(worker);
    const auto fenceToken = field<std::uint64_t>(body, "fenceToken", 0);
    if (fenceToken < worker.fenceToken) {
        return HttpReply{409, json{{"clockMs", now.count()}, {"reason", "fence"}}.dump()};
    }
    worker.fenceToken = fenceToken;
    const auto acknowledged = field<std::uint64_t>(body, "lastSeen", 0);
    std::erase_if(worker.ends, [&](const End &end) {
        if (end.number <= acknowledged) {
            m_ledger.endAcknowledged(end.observed, end.outcome);
        }
        return end.number <= acknowledged;
    });
    if (body.contains("untilMs")) {
        const std::chrono::milliseconds until(body.at("untilMs").get<std::int64_t>());
        worker.leaseExpiry = std::max(worker.leaseExpiry, std::min(until, now + maxLease));
    }
    if (worker.ends.empty() && field<std::int64_t>(body, "waitMs", 0) > 0) {
        return std::nullopt;
    }
    return pollReply(worker);
}

auto WorkerFleet::pollReply(Worker &worker) const -> HttpReply
{
    ++worker.reports;
    auto running = json::array();
    for (const auto &[task, run] : worker.runs) {
        const auto name = parseTask(task);
        const auto work = m_ledger.job(name->job)->steps.at(name->step).work;
        const auto percent =
            std::min(fullPercent, fullPercent * static_cast<double>(run.worked.count()) / static_cast<double>(work.count()));
        running.push_back({task, run.observed.run, run.checkpoint, static_cast<int>(percent), 0});
    }
    auto ended = json::array();
    for (const auto &it : worker.ends) {
        if (ended.size() == maxListedEnds) {
            break;
        }
        ended.push_back({it.number, it.observed.task, it.observed.run, it.outcome, it.checkpoint});
    }
    return {200, json{{"clockMs", clock(worker).count()}, {"born", worker.incarnation}, {"running", running}, {"ended", ended}}.dump()};
}

auto WorkerFleet::endRun(Worker &worker, const std::string &task, const std::string &outcome) -> void
{
    const auto run = worker.runs.at(task);
    worker.runs.erase(task);
    worker.highestRuns[task] = std::max(worker.highestRuns[task], run.observed.run);
    worker.ends.push_back({++worker.endCount, run.observed, outcome, run.checkpoint});
    m_ledger.runEnded(run.observed, outcome, run.checkpoint);
}

/// Returns the running members of the gang in the same run, \a run included.
auto WorkerFleet::gangMembers(const Run &run) -> std::vector<std::pair<Worker *, std::string>>
{
    std::vector<std::pair<Worker *, std::string>> out;
    const auto prefix = run.observed.task.substr(0, run.observed.task.rfind('.') + 1);
    for (auto &worker : m_workers) {
        for (const auto &[task, other] : worker.runs) {
            if (task.starts_with(prefix) && other.observed.run == run.observed.run) {
                out.emplace_back(&worker, task);
            }
        }
    }
    return out;
}

auto WorkerFleet::advance(Worker &worker, Duration step) -> void
{
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto &[task, run] : worker.runs) {
        const auto name = parseTask(task);
        const auto &plan = m_ledger.job(name->job)->steps.at(name->step);
        if (clock(worker) >= worker.leaseExpiry) {
            ended.emplace_back(task, "lapsed");
            continue;
        }
        if (run.stopping && m_loop.now() >= run.stopsAt) {
            ended.emplace_back(task, "stopped");
            continue;
        }
        if (plan.gang) {
            const auto members = gangMembers(run).size();
            if (run.gangComplete && members < plan.count) {
                ended.emplace_back(task, "broken");
                continue;
            }
            run.gangComplete = run.gangComplete || members == plan.count;
            if (!run.gangComplete) {
                if (m_loop.now() > run.startedAt + gangStartTimeout) {
                    ended.emplace_back(task, "alone");
                }
                continue;
            }
        }
        run.worked += worker.slowdown > 0 ? std::chrono::duration_cast<Duration>(step / worker.slowdown) : Duration::zero();
        if (plan.checkpoints) {
            const auto saved = toMilliseconds(run.worked - run.worked % workPerCheckpoint);
            const auto checkpoint = saved.count() > 0 ? name->job + '-' + std::to_string(saved.count()) : std::string();
            if (!checkpoint.empty() && checkpoint != run.checkpoint) {
                run.checkpoint = checkpoint;
                m_ledger.checkpointSaved(task, checkpoint);
            }
        }
        if ((worker.failsAllRuns || plan.fails) && run.worked >= plan.work / 4) {
            ended.emplace_back(task, "failed");
        } else if (run.worked >= plan.work && !plan.gang) {
            ended.emplace_back(task, "done");
        } else if (run.worked >= plan.work) {
            const auto members = gangMembers(run);
            const bool all =
                std::all_of(members.begin(), members.end(), [&](const auto &m) { return m.first->runs.at(m.second).worked >= plan.work; });
            if (all) {
                for (const auto &[other, member] : members) {
                    if (other != &worker) {
                        endRun(*other, member, "done");
                    } else {
                        ended.emplace_back(member, "done");
                    }
                }
            }
        }
    }
    for (const auto &[task, outcome] : ended) {
        if (worker.runs.contains(task)) {
            endRun(worker, task, outcome);
        }
    }
}

auto WorkerFleet::tick() -> void
{
    const auto now = m_loop.now();
    const auto step = now - std::exchange(m_lastTick, now);
    for (auto &worker : m_workers) {
        if (worker.up) {
            advance(worker, step);
        }
    }
    const bool publishDue = now >= m_nextPublication;
    m_nextPublication = publishDue ? now + publishInterval : m_nextPublication;
    for (auto &worker : m_workers) {
        if (publishDue && worker.up && !worker.unlisted && worker.listedAt) {
            publishEntry(worker);
        }
        auto pending = std::exchange(worker.pendingPolls, {});
        for (auto &it : pending) {
            if (worker.ends.empty() && now < it.second.first) {
                worker.pendingPolls.push_back(std::move(it));
            } else {
                it.second.second(pollReply(worker));
            }
        }
    }
    m_loop.callAfter(tickInterval, [this] { tick(); });
}

} // namespace Acaciarail::Soak
