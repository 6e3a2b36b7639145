#include "worker_fleet.h"

#include <algorithm>
#include <utility>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

constexpr Duration tickPace = 20ms;
constexpr Duration announcePace = 1s;
constexpr Duration stopTime = 100ms;
constexpr Duration gangPatience = 3s;
constexpr Duration checkpointWork = 500ms;
constexpr std::chrono::milliseconds longestLease = 4s;
constexpr std::size_t workersPerRack = 4;
constexpr double fullPercent = 100.0;
/// Workers' clocks are up to 2% slow.
constexpr double slowestClock = 0.98;

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
        it.listener =
            std::make_unique<HttpListener>(loop, [this, i](const HttpCall &call, const Respond &respond) { handle(i, call, respond); });
        it.proxy = std::make_unique<TcpProxy>(loop, it.listener->address());
        begin(it);
    }
    tick();
}

auto WorkerFleet::begin(Worker &worker) -> void
{
    worker.up = true;
    worker.draining = false;
    worker.bornAt = m_loop.now();
    worker.born = std::max(unixNow().count(), worker.born + 1);
    worker.fence = 0;
    worker.leaseEnds = {};
    worker.endCount = 0;
    worker.highest.clear();
    worker.ends.clear();
    announce(worker);
}

auto WorkerFleet::leave(Worker &worker) -> void
{
    worker.up = false;
    for (const auto &[task, run] : std::exchange(worker.runs, {})) {
        m_ledger.runOver(run.seen, "lost", {});
    }
    worker.waiting.clear();
    worker.proxy->setRefusing(true);
    worker.proxy->resetOpen();
}

auto WorkerFleet::crash(std::size_t i, Duration pause) -> void
{
    auto &worker = m_workers.at(i);
    if (!worker.up) {
        return;
    }
    leave(worker);
    m_loop.callAfter(pause, [this, i] {
        m_workers[i].proxy->setRefusing(false);
        begin(m_workers[i]);
    });
}

auto WorkerFleet::drain(std::size_t i, Duration remaining) -> void
{
    auto &worker = m_workers.at(i);
    if (!worker.up || worker.draining) {
        return;
    }
    worker.draining = true;
    worker.leaves = m_loop.now() + remaining;
    announce(worker);
    m_loop.callAfter(remaining, [this, i] {
        m_store.put("keyed.servers", m_workers[i].name, {});
        crash(i, 1s);
    });
}

auto WorkerFleet::heal() -> void
{
    lateOrders = 0;
    for (auto &it : m_workers) {
        it.mute = false;
        it.slowness = 1.0;
        it.failsAll = false;
        it.proxy->setCut(TcpProxy::Cut::None);
        it.proxy->setDelay({});
    }
}

auto WorkerFleet::announce(Worker &worker) -> void
{
    json entry{{"service", "service"},
               {"address", worker.proxy->address().str()},
               {"zone", "zone-a"},
               {"version", "1"},
               {"slots", 8},
               {"state", worker.draining ? "draining" : "ready"},
               {"sequence", worker.endCount},
               {"born", worker.born},
               {"capacity", {{"cpu", worker.size.milliCores}, {"memMb", worker.size.memoryMiB}, {"gpus", worker.size.accelerators}}},
               {"labels", {"a", worker.rack}}};
    if (worker.draining) {
        entry["remainingMs"] = toMilliseconds(std::max(worker.leaves - m_loop.now(), Duration::zero())).count();
    }
    m_store.put("keyed.servers", worker.name, entry.dump());
}

auto WorkerFleet::clock(const Worker &worker) const -> std::chrono::milliseconds
{
    return toMilliseconds(std::chrono::duration_cast<Duration>((m_loop.now() - worker.bornAt) * slowestClock));
}

auto WorkerFleet::handle(std::size_t i, const HttpCall &call, const Respond &respond) -> void
{
    const auto carryOut = [this, i, call, respond] {
        auto &worker = m_workers[i];
        const auto body = json::parse(call.body, nullptr, false);
        if (!worker.up || !body.is_object()) {
            respond({400, "{}"});
        } else if (call.path == "/api/run-start") {
            respond(start(worker, body));
        } else if (call.path == "/api/run-stop") {
            respond(stop(worker, body));
        } else if (auto reply = hold(worker, body)) {
            respond(*reply);
        } else {
            worker.waiting.push_back({call, {m_loop.now() + std::chrono::milliseconds(body.at("waitMs")), respond}});
        }
    };
    if (std::uniform_real_distribution<double>(0, 1)(m_random) >= lateOrders) {
        carryOut();
        return;
    }
    constexpr Duration::rep shortestLate = 2'000'000;
    constexpr Duration::rep longestLate = 6'000'000;
    // The order reaches the life of the worker that it was sent to, or none.
    m_loop.callAfter(Duration(std::uniform_int_distribution<Duration::rep>(shortestLate, longestLate)(m_random)),
                     [this, i, call, life = m_workers[i].born] {
                         auto &worker = m_workers[i];
                         const auto body = json::parse(call.body, nullptr, false);
                         if (!worker.up || worker.born != life || !body.is_object()) {
                             return;
                         }
                         if (call.path == "/api/run-start") {
                             start(worker, body);
                         } else if (call.path == "/api/run-stop") {
                             stop(worker, body);
                         } else {
                             (void)hold(worker, body);
                         }
                     });
}

auto WorkerFleet::start(Worker &worker, const json &body) -> HttpReply
{
    const auto now = clock(worker);
    const auto refuse = [&](const char *reason) { return HttpReply{409, json{{"clockMs", now.count()}, {"reason", reason}}.dump()}; };
    RunSeen seen{worker.name, body.at("task"), body.at("run"), field<std::string>(body, "spec", {}),
                 field<std::string>(body, "checkpoint", {})};
    const auto fence = field<std::uint64_t>(body, "fenceToken", 0);
    if (fence < worker.fence) {
        return refuse("fence");
    }
    worker.fence = fence;
    const std::chrono::milliseconds until(body.at("untilMs").get<std::int64_t>());
    const auto there = worker.runs.find(seen.task);
    if (there != worker.runs.end() && there->second.seen.run == seen.run) {
        return {200, json{{"clockMs", now.count()}}.dump()};
    }
    if (there != worker.runs.end() || (worker.highest.contains(seen.task) && seen.run <= worker.highest[seen.task])) {
        return refuse("old");
    }
    if (until <= now) {
        return refuse("late");
    }
    const auto task = parseTask(seen.task);
    const auto *plan = task ? m_ledger.job(task->job) : nullptr;
    auto free = worker.size;
    for (const auto &[name, run] : worker.runs) {
        const auto other = parseTask(name);
        const auto &step = m_ledger.job(other->job)->steps.at(other->step);
        free.milliCores -= step.milliCores;
        free.memoryMiB -= step.memoryMiB;
        free.accelerators -= step.accelerators;
    }
    if (plan != nullptr && task->step < plan->steps.size()) {
        const auto &step = plan->steps[task->step];
        if (step.milliCores > free.milliCores || step.memoryMiB > free.memoryMiB || step.accelerators > free.accelerators) {
            return refuse("room");
        }
    }
    m_ledger.runBegan(seen);
    worker.leaseEnds = std::max(worker.leaseEnds, std::min(until, now + longestLease));
    Run run;
    run.seen = seen;
    run.began = m_loop.now();
    run.checkpoint = seen.checkpoint;
    if (!seen.checkpoint.empty()) {
        // A checkpoint says how much work it holds.
        run.worked = std::chrono::milliseconds(std::stoll(seen.checkpoint.substr(seen.checkpoint.rfind('-') + 1)));
    }
    worker.runs[seen.task] = std::move(run);
    return {200, json{{"clockMs", now.count()}}.dump()};
}

auto WorkerFleet::stop(Worker &worker, const json &body) -> HttpReply
{
    const auto now = clock(worker);
    const auto fence = field<std::uint64_t>(body, "fenceToken", 0);
    if (fence < worker.fence) {
        return {409, json{{"clockMs", now.count()}, {"reason", "fence"}}.dump()};
    }
    worker.fence = fence;
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    worker.highest[task] = std::max(worker.highest[task], run);
    const auto it = worker.runs.find(task);
    if (it != worker.runs.end() && it->second.seen.run <= run && !it->second.stopping) {
        it->second.stopping = true;
        it->second.stopsAt = m_loop.now() + stopTime;
    }
    return {200, json{{"clockMs", now.count()}}.dump()};
}

auto WorkerFleet::hold(Worker &worker, const json &body) -> std::optional<HttpReply>
{
    const auto now = clock(worker);
    const auto fence = field<std::uint64_t>(body, "fenceToken", 0);
    if (fence < worker.fence) {
        return HttpReply{409, json{{"clockMs", now.count()}, {"reason", "fence"}}.dump()};
    }
    worker.fence = fence;
    const auto noted = field<std::uint64_t>(body, "lastSeen", 0);
    std::erase_if(worker.ends, [&](const End &end) {
        if (end.number <= noted) {
            m_ledger.endNoted(end.seen, end.how);
        }
        return end.number <= noted;
    });
    if (body.contains("untilMs")) {
        const std::chrono::milliseconds until(body.at("untilMs").get<std::int64_t>());
        worker.leaseEnds = std::max(worker.leaseEnds, std::min(until, now + longestLease));
    }
    if (worker.ends.empty() && field<std::int64_t>(body, "waitMs", 0) > 0) {
        return std::nullopt;
    }
    return holdReply(worker);
}

auto WorkerFleet::holdReply(const Worker &worker) const -> HttpReply
{
    auto running = json::array();
    for (const auto &[task, run] : worker.runs) {
        const auto name = parseTask(task);
        const auto work = m_ledger.job(name->job)->steps.at(name->step).work;
        const auto percent =
            std::min(fullPercent, fullPercent * static_cast<double>(run.worked.count()) / static_cast<double>(work.count()));
        running.push_back({task, run.seen.run, run.checkpoint, static_cast<int>(percent), 0});
    }
    auto ended = json::array();
    for (const auto &it : worker.ends) {
        ended.push_back({it.number, it.seen.task, it.seen.run, it.how, it.checkpoint});
    }
    return {200, json{{"clockMs", clock(worker).count()}, {"born", worker.born}, {"running", running}, {"ended", ended}}.dump()};
}

auto WorkerFleet::end(Worker &worker, const std::string &task, const std::string &how) -> void
{
    const auto run = worker.runs.at(task);
    worker.runs.erase(task);
    worker.highest[task] = std::max(worker.highest[task], run.seen.run);
    worker.ends.push_back({++worker.endCount, run.seen, how, run.checkpoint});
    m_ledger.runOver(run.seen, how, run.checkpoint);
}

/// Returns the members of a gang's run that are there, itself included.
auto WorkerFleet::gangMembers(const Run &run) -> std::vector<std::pair<Worker *, std::string>>
{
    std::vector<std::pair<Worker *, std::string>> out;
    const auto prefix = run.seen.task.substr(0, run.seen.task.rfind('.') + 1);
    for (auto &worker : m_workers) {
        for (const auto &[task, other] : worker.runs) {
            if (task.starts_with(prefix) && other.seen.run == run.seen.run) {
                out.emplace_back(&worker, task);
            }
        }
    }
    return out;
}

auto WorkerFleet::advance(Worker &worker, Duration step) -> void
{
    std::vector<std::pair<std::string, std::string>> over;
    for (auto &[task, run] : worker.runs) {
        const auto name = parseTask(task);
        const auto &plan = m_ledger.job(name->job)->steps.at(name->step);
        if (clock(worker) >= worker.leaseEnds) {
            over.emplace_back(task, "lapsed");
            continue;
        }
        if (run.stopping && m_loop.now() >= run.stopsAt) {
            over.emplace_back(task, "stopped");
            continue;
        }
        if (plan.gang) {
            const auto members = gangMembers(run).size();
            if (run.whole && members < plan.count) {
                over.emplace_back(task, "broken");
                continue;
            }
            run.whole = run.whole || members == plan.count;
            if (!run.whole) {
                if (m_loop.now() > run.began + gangPatience) {
                    over.emplace_back(task, "alone");
                }
                continue;
            }
        }
        run.worked += worker.slowness > 0 ? std::chrono::duration_cast<Duration>(step / worker.slowness) : Duration::zero();
        if (plan.checkpoints) {
            const auto saved = toMilliseconds(run.worked - run.worked % checkpointWork);
            const auto checkpoint = saved.count() > 0 ? name->job + '-' + std::to_string(saved.count()) : std::string();
            if (!checkpoint.empty() && checkpoint != run.checkpoint) {
                run.checkpoint = checkpoint;
                m_ledger.checkpointSeen(task, checkpoint);
            }
        }
        if ((worker.failsAll || plan.fails) && run.worked >= plan.work / 4) {
            over.emplace_back(task, "failed");
        } else if (run.worked >= plan.work && !plan.gang) {
            over.emplace_back(task, "done");
        } else if (run.worked >= plan.work) {
            const auto members = gangMembers(run);
            const bool all =
                std::all_of(members.begin(), members.end(), [&](const auto &m) { return m.first->runs.at(m.second).worked >= plan.work; });
            if (all) {
                for (const auto &[other, member] : members) {
                    if (other != &worker) {
                        end(*other, member, "done");
                    } else {
                        over.emplace_back(member, "done");
                    }
                }
            }
        }
    }
    for (const auto &[task, how] : over) {
        if (worker.runs.contains(task)) {
            end(worker, task, how);
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
    const bool announces = now >= m_nextAnnouncement;
    m_nextAnnouncement = announces ? now + announcePace : m_nextAnnouncement;
    for (auto &worker : m_workers) {
        if (announces && worker.up && !worker.mute) {
            announce(worker);
        }
        auto waiting = std::exchange(worker.waiting, {});
        for (auto &it : waiting) {
            if (worker.ends.empty() && now < it.second.first) {
                worker.waiting.push_back(std::move(it));
            } else {
                it.second.second(holdReply(worker));
            }
        }
    }
    m_loop.callAfter(tickPace, [this] { tick(); });
}

} // namespace Acaciarail::Soak
