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
    , m_machines(workers)
    , m_lastTick(loop.now())
{
    for (std::size_t i = 0; i < workers; ++i) {
        auto &it = m_machines[i];
        it.name = "w" + std::to_string(i);
        it.rack = "rack" + std::to_string(i / workersPerRack);
        it.listener =
            std::make_unique<HttpListener>(loop, [this, i](const HttpCall &call, const Respond &respond) { handle(i, call, respond); });
        it.proxy = std::make_unique<TcpProxy>(loop, it.listener->address());
        begin(it);
    }
    tick();
}

auto WorkerFleet::begin(Machine &machine) -> void
{
    machine.up = true;
    machine.draining = false;
    machine.bornAt = m_loop.now();
    machine.born = std::max(unixNow().count(), machine.born + 1);
    machine.fence = 0;
    machine.leaseEnds = {};
    machine.endCount = 0;
    machine.highest.clear();
    machine.ends.clear();
    announce(machine);
}

auto WorkerFleet::leave(Machine &machine) -> void
{
    machine.up = false;
    for (const auto &[task, run] : std::exchange(machine.runs, {})) {
        m_ledger.runOver(run.seen, "lost", {});
    }
    machine.waiting.clear();
    machine.proxy->setRefusing(true);
    machine.proxy->resetOpen();
}

auto WorkerFleet::crash(std::size_t i, Duration pause) -> void
{
    auto &machine = m_machines.at(i);
    if (!machine.up) {
        return;
    }
    leave(machine);
    m_loop.callAfter(pause, [this, i] {
        m_machines[i].proxy->setRefusing(false);
        begin(m_machines[i]);
    });
}

auto WorkerFleet::drain(std::size_t i, Duration remaining) -> void
{
    auto &machine = m_machines.at(i);
    if (!machine.up || machine.draining) {
        return;
    }
    machine.draining = true;
    machine.leaves = m_loop.now() + remaining;
    announce(machine);
    m_loop.callAfter(remaining, [this, i] {
        m_store.put("keyed.servers", m_machines[i].name, {});
        crash(i, 1s);
    });
}

auto WorkerFleet::heal() -> void
{
    lateOrders = 0;
    for (auto &it : m_machines) {
        it.mute = false;
        it.slowness = 1.0;
        it.failsAll = false;
        it.proxy->setCut(TcpProxy::Cut::None);
        it.proxy->setDelay({});
    }
}

auto WorkerFleet::announce(Machine &machine) -> void
{
    json entry{{"service", "service"},
               {"address", machine.proxy->address().str()},
               {"zone", "zone-a"},
               {"version", "1"},
               {"slots", 8},
               {"state", machine.draining ? "draining" : "ready"},
               {"sequence", machine.endCount},
               {"born", machine.born},
               {"capacity", {{"cpu", machine.size.milliCores}, {"memMb", machine.size.memoryMiB}, {"gpus", machine.size.accelerators}}},
               {"labels", {"a", machine.rack}}};
    if (machine.draining) {
        entry["remainingMs"] = toMilliseconds(std::max(machine.leaves - m_loop.now(), Duration::zero())).count();
    }
    m_store.put("keyed.servers", machine.name, entry.dump());
}

auto WorkerFleet::clock(const Machine &machine) const -> std::chrono::milliseconds
{
    return toMilliseconds(std::chrono::duration_cast<Duration>((m_loop.now() - machine.bornAt) * slowestClock));
}

auto WorkerFleet::handle(std::size_t i, const HttpCall &call, const Respond &respond) -> void
{
    const auto carryOut = [this, i, call, respond] {
        auto &machine = m_machines[i];
        const auto body = json::parse(call.body, nullptr, false);
        if (!machine.up || !body.is_object()) {
            respond({400, "{}"});
        } else if (call.path == "/api/run-start") {
            respond(start(machine, body));
        } else if (call.path == "/api/run-stop") {
            respond(stop(machine, body));
        } else if (auto reply = hold(machine, body)) {
            respond(*reply);
        } else {
            machine.waiting.push_back({call, {m_loop.now() + std::chrono::milliseconds(body.at("waitMs")), respond}});
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
                     [this, i, call, life = m_machines[i].born] {
                         auto &machine = m_machines[i];
                         const auto body = json::parse(call.body, nullptr, false);
                         if (!machine.up || machine.born != life || !body.is_object()) {
                             return;
                         }
                         if (call.path == "/api/run-start") {
                             start(machine, body);
                         } else if (call.path == "/api/run-stop") {
                             stop(machine, body);
                         } else {
                             (void)hold(machine, body);
                         }
                     });
}

auto WorkerFleet::start(Machine &machine, const json &body) -> HttpReply
{
    const auto now = clock(machine);
    const auto refuse = [&](const char *reason) { return HttpReply{409, json{{"clockMs", now.count()}, {"reason", reason}}.dump()}; };
    RunSeen seen{machine.name, body.at("task"), body.at("run"), field<std::string>(body, "spec", {}),
                 field<std::string>(body, "checkpoint", {})};
    const auto fence = field<std::uint64_t>(body, "fenceToken", 0);
    if (fence < machine.fence) {
        return refuse("fence");
    }
    machine.fence = fence;
    const std::chrono::milliseconds until(body.at("untilMs").get<std::int64_t>());
    const auto there = machine.runs.find(seen.task);
    if (there != machine.runs.end() && there->second.seen.run == seen.run) {
        return {200, json{{"clockMs", now.count()}}.dump()};
    }
    if (there != machine.runs.end() || (machine.highest.contains(seen.task) && seen.run <= machine.highest[seen.task])) {
        return refuse("old");
    }
    if (until <= now) {
        return refuse("late");
    }
    const auto task = parseTask(seen.task);
    const auto *plan = task ? m_ledger.job(task->job) : nullptr;
    auto free = machine.size;
    for (const auto &[name, run] : machine.runs) {
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
    machine.leaseEnds = std::max(machine.leaseEnds, std::min(until, now + longestLease));
    Run run;
    run.seen = seen;
    run.began = m_loop.now();
    run.checkpoint = seen.checkpoint;
    if (!seen.checkpoint.empty()) {
        // A checkpoint says how much work it holds.
        run.worked = std::chrono::milliseconds(std::stoll(seen.checkpoint.substr(seen.checkpoint.rfind('-') + 1)));
    }
    machine.runs[seen.task] = std::move(run);
    return {200, json{{"clockMs", now.count()}}.dump()};
}

auto WorkerFleet::stop(Machine &machine, const json &body) -> HttpReply
{
    const auto now = clock(machine);
    const auto fence = field<std::uint64_t>(body, "fenceToken", 0);
    if (fence < machine.fence) {
        return {409, json{{"clockMs", now.count()}, {"reason", "fence"}}.dump()};
    }
    machine.fence = fence;
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    machine.highest[task] = std::max(machine.highest[task], run);
    const auto it = machine.runs.find(task);
    if (it != machine.runs.end() && it->second.seen.run <= run && !it->second.stopping) {
        it->second.stopping = true;
        it->second.stopsAt = m_loop.now() + stopTime;
    }
    return {200, json{{"clockMs", now.count()}}.dump()};
}

auto WorkerFleet::hold(Machine &machine, const json &body) -> std::optional<HttpReply>
{
    const auto now = clock(machine);
    const auto fence = field<std::uint64_t>(body, "fenceToken", 0);
    if (fence < machine.fence) {
        return HttpReply{409, json{{"clockMs", now.count()}, {"reason", "fence"}}.dump()};
    }
    machine.fence = fence;
    const auto noted = field<std::uint64_t>(body, "lastSeen", 0);
    std::erase_if(machine.ends, [&](const End &end) {
        if (end.number <= noted) {
            m_ledger.endNoted(end.seen, end.how);
        }
        return end.number <= noted;
    });
    if (body.contains("untilMs")) {
        const std::chrono::milliseconds until(body.at("untilMs").get<std::int64_t>());
        machine.leaseEnds = std::max(machine.leaseEnds, std::min(until, now + longestLease));
    }
    if (machine.ends.empty() && field<std::int64_t>(body, "waitMs", 0) > 0) {
        return std::nullopt;
    }
    return holdReply(machine);
}

auto WorkerFleet::holdReply(const Machine &machine) const -> HttpReply
{
    auto running = json::array();
    for (const auto &[task, run] : machine.runs) {
        const auto name = parseTask(task);
        const auto work = m_ledger.job(name->job)->steps.at(name->step).work;
        const auto percent =
            std::min(fullPercent, fullPercent * static_cast<double>(run.worked.count()) / static_cast<double>(work.count()));
        running.push_back({task, run.seen.run, run.checkpoint, static_cast<int>(percent), 0});
    }
    auto ended = json::array();
    for (const auto &it : machine.ends) {
        ended.push_back({it.number, it.seen.task, it.seen.run, it.how, it.checkpoint});
    }
    return {200, json{{"clockMs", clock(machine).count()}, {"born", machine.born}, {"running", running}, {"ended", ended}}.dump()};
}

auto WorkerFleet::end(Machine &machine, const std::string &task, const std::string &how) -> void
{
    const auto run = machine.runs.at(task);
    machine.runs.erase(task);
    machine.highest[task] = std::max(machine.highest[task], run.seen.run);
    machine.ends.push_back({++machine.endCount, run.seen, how, run.checkpoint});
    m_ledger.runOver(run.seen, how, run.checkpoint);
}

/// Returns the members of a gang's run that are there, itself included.
auto WorkerFleet::gangMembers(const Run &run) -> std::vector<std::pair<Machine *, std::string>>
{
    std::vector<std::pair<Machine *, std::string>> out;
    const auto prefix = run.seen.task.substr(0, run.seen.task.rfind('.') + 1);
    for (auto &machine : m_machines) {
        for (const auto &[task, other] : machine.runs) {
            if (task.starts_with(prefix) && other.seen.run == run.seen.run) {
                out.emplace_back(&machine, task);
            }
        }
    }
    return out;
}

auto WorkerFleet::advance(Machine &machine, Duration step) -> void
{
    std::vector<std::pair<std::string, std::string>> over;
    for (auto &[task, run] : machine.runs) {
        const auto name = parseTask(task);
        const auto &plan = m_ledger.job(name->job)->steps.at(name->step);
        if (clock(machine) >= machine.leaseEnds) {
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
        run.worked += machine.slowness > 0 ? std::chrono::duration_cast<Duration>(step / machine.slowness) : Duration::zero();
        if (plan.checkpoints) {
            const auto saved = toMilliseconds(run.worked - run.worked % checkpointWork);
            const auto checkpoint = saved.count() > 0 ? name->job + '-' + std::to_string(saved.count()) : std::string();
            if (!checkpoint.empty() && checkpoint != run.checkpoint) {
                run.checkpoint = checkpoint;
                m_ledger.checkpointSeen(task, checkpoint);
            }
        }
        if ((machine.failsAll || plan.fails) && run.worked >= plan.work / 4) {
            over.emplace_back(task, "failed");
        } else if (run.worked >= plan.work && !plan.gang) {
            over.emplace_back(task, "done");
        } else if (run.worked >= plan.work) {
            const auto members = gangMembers(run);
            const bool all =
                std::all_of(members.begin(), members.end(), [&](const auto &m) { return m.first->runs.at(m.second).worked >= plan.work; });
            if (all) {
                for (const auto &[other, member] : members) {
                    if (other != &machine) {
                        end(*other, member, "done");
                    } else {
                        over.emplace_back(member, "done");
                    }
                }
            }
        }
    }
    for (const auto &[task, how] : over) {
        if (machine.runs.contains(task)) {
            end(machine, task, how);
        }
    }
}

auto WorkerFleet::tick() -> void
{
    const auto now = m_loop.now();
    const auto step = now - std::exchange(m_lastTick, now);
    for (auto &machine : m_machines) {
        if (machine.up) {
            advance(machine, step);
        }
    }
    const bool announces = now >= m_nextAnnouncement;
    m_nextAnnouncement = announces ? now + announcePace : m_nextAnnouncement;
    for (auto &machine : m_machines) {
        if (announces && machine.up && !machine.mute) {
            announce(machine);
        }
        auto waiting = std::exchange(machine.waiting, {});
        for (auto &it : waiting) {
            if (machine.ends.empty() && now < it.second.first) {
                machine.waiting.push_back(std::move(it));
            } else {
                it.second.second(holdReply(machine));
            }
        }
    }
    m_loop.callAfter(tickPace, [this] { tick(); });
}

} // namespace Acaciarail::Soak
