#include "world.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace Review {

namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 10ms;
constexpr auto publishInterval = 1500ms;
constexpr auto stopTime = 100ms;
constexpr std::chrono::milliseconds maxLease = 10s;
constexpr std::int64_t workerCpu = 32'000;
constexpr std::int64_t workerMemMb = 65'536;
constexpr std::int64_t workerGpus = 8;
constexpr std::size_t maxListedEnds = 500;

auto freePort(const std::string &ip) -> std::uint16_t
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t n = sizeof address;
    const bool bound =
        ::bind(fd, reinterpret_cast<sockaddr *>(&address), n) == 0 && ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n) == 0;
    ::close(fd);
    if (!bound) {
        throw std::runtime_error("no free port at " + ip);
    }
    return ntohs(address.sin_port);
}

/// A loopback address of its own for each instance, since the run line of the deploy file fixes the port of the metrics.
auto loopbackIp(std::size_t i) -> std::string
{
    const auto id = static_cast<std::size_t>(::getpid());
    return "127." + std::to_string(20 + id % 200) + '.' + std::to_string(id / 200 % 250) + '.' + std::to_string(i + 1);
}

auto makeDirectory() -> std::string
{
    auto path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return path;
}

} // namespace

auto withTrouble() -> bool
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

World::World(const WorldSettings &settings)
    : m_settings(settings)
    , m_directory(makeDirectory())
    , m_store(m_loop, m_ledger, settings.instances, 1)
    , m_workers(settings.workers)
    , m_record(settings.caseDirectory + "/record.txt")
    , m_startedAt(m_loop.now())
{
    auto services = json::array({{{"name", "svc"}, {"admissionCheck", true}}});
    for (const auto &[i, name] : settings.services) {
        const json service{{"name", name}, {"admissionCheck", true}};
        if (std::find(services.begin(), services.end(), service) == services.end()) {
            services.push_back(service);
        }
    }
    m_store.put("keyed.op", "config",
                json{{"version", 7},
                     {"routes", settings.routes},
                     {"services", services},
                     {"tenants", json::array({{{"name", "t1"}, {"apiKeys", {key}}, {"guaranteed", {{"gpus", 8}}}}})}}
                    .dump());
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        auto &it = m_workers[i];
        it.name = "w" + std::to_string(i);
        it.machine = "m" + std::to_string(i);
        it.rack = "rack-" + std::to_string(i % settings.racks);
        if (const auto found = settings.services.find(i); found != settings.services.end()) {
            it.service = found->second;
        }
        it.startedAt = m_loop.now();
        it.born = unixNow().count();
        it.listener = std::make_unique<Soak::HttpListener>(
            m_loop, [this, i](const Soak::HttpCall &call, const Soak::Respond &respond) { handle(m_workers[i], call, respond); });
        it.proxy = std::make_unique<Soak::TcpProxy>(m_loop, it.listener->address());
        publish(it);
    }
    m_machines = std::make_unique<Soak::HttpListener>(
        m_loop, [this](const Soak::HttpCall &call, const Soak::Respond &respond) { handleMachines(call, respond); });
    for (std::size_t i = 0; i < settings.instances; ++i) {
        Instance it;
        it.name = "front-" + std::to_string(i);
        it.ip = loopbackIp(i);
        it.front = freePort(it.ip);
        it.readiness = freePort(it.ip);
        it.settingsPath = m_directory + '/' + it.name + ".toml";
        it.logPath = m_directory + '/' + it.name + ".log";
        std::ofstream(it.settingsPath)
            << "node = \"" << it.name << "\"\nrole = \"scheduler\"\nip = \"" << it.ip
            << "\"\nzone = \"zone-a\"\nregion = \"region\"\ninternalPorts = [7000, 7015]\nbootstrap = true\n"
            << "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\", \"tenants\", \"platform\"]\n"
            << "[listen]\nfront = \"" << it.ip << ':' << it.front << "\"\nreadiness = \"" << it.ip << ':' << it.readiness
            << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n[bounds]\ncontactMs = 3000\nackMs = 4000\n"
            << "drainMs = 2500\ngraceS = 6\nconfigApplyMs = 2500\nstrictRevoke = true\nrevokeMs = 5000\nrecoveryS = 12\n"
            << "holdMaxMs = 10000\nstopMs = 200\ngangMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\n"
            << "[platform]\naddress = \"" << m_store.address(i).str()
            << "\"\nform = \"log\"\nwritesPerS = 600\nreadsPerS = 2000\n[cloudApi]\naddress = \"" << m_machines->address().str()
            << "\"\nratePerS = 60.0\n";
        m_instances.push_back(std::move(it));
    }
    tick();
}

World::~World()
{
    for (auto &it : m_instances) {
        if (it.pid > 0 && !it.ended) {
            ::kill(it.pid, SIGCONT);
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_directory);
    } else {
        std::cout << "logs in " << m_directory << '\n';
    }
}

auto World::startInstance(std::size_t i) -> void
{
    auto &it = m_instances.at(i);
    const auto pid = ::fork();
    if (pid == 0) {
        // Ends with the script, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto log = ::open(it.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        for (int fd = 3; fd < 1024; ++fd) {
            ::close(fd);
        }
        ::setenv("ACACIARAIL_NODE_FILE", it.settingsPath.c_str(), 1);
        // The run line of deploy/system.toml.
        ::execl("target/bin/acaciaraild", "target/bin/acaciaraild", "--metrics_port=9464", nullptr);
        ::_exit(127);
    }
    it.pid = pid;
    it.ended = false;
    record("start " + it.name);
}

auto World::signalInstance(std::size_t i, int signal) -> void
{
    auto &it = m_instances.at(i);
    record("signal " + std::string(::strsignal(signal)) + " to " + it.name);
    ::kill(it.pid, signal);
    if (signal == SIGKILL) {
        ::waitpid(it.pid, nullptr, 0);
        it.ended = true;
    }
}

auto World::hasEnded(std::size_t i) -> bool
{
    auto &it = m_instances.at(i);
    if (!it.ended && ::waitpid(it.pid, nullptr, WNOHANG) == it.pid) {
        it.ended = true;
    }
    return it.ended;
}

auto World::start() -> bool
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        startInstance(i);
    }
    std::size_t ready = 0;
    const auto until = now() + 15s;
    while (ready < m_instances.size() && now() < until) {
        ready = 0;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            ready += call(i, "READY", "/api/readiness").status == 200 ? 1 : 0;
        }
        runFor(200ms);
    }
    return ready == m_instances.size();
}

namespace {

struct Exchange
{
    evhttp_connection *connection = nullptr;
    std::function<void(Response)> done;

    static auto finished(evhttp_request *request, void *arg) -> void
    {
        auto *self = static_cast<Exchange *>(arg);
        Response out;
        if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
            out.status = evhttp_request_get_response_code(request);
            auto *input = evhttp_request_get_input_buffer(request);
            out.body.resize(evbuffer_get_length(input));
            evbuffer_remove(input, out.body.data(), out.body.size());
        }
        self->done(out);
        const auto release = [](evutil_socket_t, short, void *p) {
            auto *it = static_cast<Exchange *>(p);
            evhttp_connection_free(it->connection);
            delete it;
        };
        event_base_once(evhttp_connection_get_base(self->connection), -1, EV_TIMEOUT, release, self, nullptr);
    }
};

} // namespace

auto World::request(std::size_t instance, const std::string &method, const std::string &path, const std::string &body,
                    std::function<void(Response)> done, Duration limit) -> void
{
    const auto &it = m_instances.at(instance);
    const bool probe = method == "READY";
    auto *exchange = new Exchange;
    exchange->done = std::move(done);
    exchange->connection = evhttp_connection_base_new(m_loop.base(), nullptr, it.ip.c_str(), probe ? it.readiness : it.front);
    const timeval timeout{static_cast<time_t>(toMilliseconds(limit).count() / 1000),
                          static_cast<suseconds_t>(toMilliseconds(limit).count() % 1000 * 1000)};
    evhttp_connection_set_timeout_tv(exchange->connection, &timeout);
    auto *r = evhttp_request_new(&Exchange::finished, exchange);
    auto *headers = evhttp_request_get_output_headers(r);
    evhttp_add_header(headers, "Host", host);
    evhttp_add_header(headers, "Api-Key", key);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "X-Acaciarail-Deadline-Ms", std::to_string(toMilliseconds(limit).count()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
    const auto type = method == "POST" ? EVHTTP_REQ_POST : method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
    evhttp_make_request(exchange->connection, r, type, path.c_str());
}

auto World::call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body) -> Response
{
    std::optional<Response> out;
    const auto sentAt = now();
    request(instance, method, path, body, [&](Response r) { out = std::move(r); });
    (void)m_loop.runUntil([&] { return out.has_value(); }, 6s);
    if (method != "READY") {
        record(method + ' ' + path + " at " + m_instances.at(instance).name + " -> " + std::to_string(out ? out->status : 0) + ' '
               + (out ? out->body.substr(0, 120) : std::string()) + " after " + std::to_string(toMilliseconds(now() - sentAt).count())
               + " ms");
    }
    return out.value_or(Response{});
}

auto World::addJob(const std::string &id, const json &steps, std::vector<Step> plan) -> Job &
{
    auto &job = m_jobs[id];
    job.id = id;
    job.steps = std::move(plan);
    job.body = {{"spec", "payload of " + id}, {"steps", steps}};
    return job;
}

auto World::submit(std::size_t instance, Job &job, const std::string &prefix) -> int
{
    const auto status = call(instance, "POST", prefix + job.id, job.body.dump()).status;
    if (status >= 200 && status < 300 && !job.acceptedAt) {
        job.acceptedAt = now();
    }
    return status;
}

auto World::runFor(Duration span) -> void
{
    (void)m_loop.runUntil([] { return false; }, span);
}

auto World::runUntil(const std::function<bool()> &done, Duration limit) -> bool
{
    return m_loop.runUntil(done, limit);
}

auto World::record(const std::string &line) -> void
{
    const auto at = toMilliseconds(m_loop.now() - m_startedAt).count();
    m_record << at << " ms " << line << std::endl;
}

auto World::clock(const Worker &worker) const -> std::chrono::milliseconds
{
    return toMilliseconds(m_loop.now() - worker.startedAt);
}

auto World::publish(const Worker &worker) -> void
{
    m_store.put("keyed.servers", worker.name,
                json{{"service", worker.service},
                     {"address", worker.proxy->address().str()},
                     {"zone", "zone-a"},
                     {"version", "1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"sequence", worker.endCount},
                     {"born", worker.born},
                     {"machine", worker.machine},
                     {"capacity", {{"cpu", workerCpu}, {"memMb", workerMemMb}, {"gpus", workerGpus}}},
                     {"labels", {"a", worker.rack}}}
                    .dump());
}

auto World::crashForGood(Worker &worker) -> void
{
    record("crash of " + worker.name + " for good");
    worker.gone = true;
    worker.runs.clear();
    worker.waiting.clear();
    worker.proxy->setRefusing(true);
    worker.proxy->resetConnections();
    worker.listener.reset();
    // The platform removes the entry after three check-ins without a sign.
    m_loop.callAfter(3 * publishInterval, [this, name = worker.name] { m_store.put("keyed.servers", name, {}); });
}

auto World::handleMachines(const Soak::HttpCall &, const Soak::Respond &respond) -> void
{
    auto list = json::array();
    for (const auto &it : m_workers) {
        if (!it.gone) {
            list.push_back({{"machine", it.machine},
                            {"pool", it.service},
                            {"state", "up"},
                            {"zone", "zone-a"},
                            {"labels", {"a", it.rack}},
                            {"capacity", {{"cpu", workerCpu}, {"memMb", workerMemMb}, {"gpus", workerGpus}}},
                            {"id", it.name}});
        }
    }
    respond({200, json{{"machines", list}, {"nextToken", ""}}.dump()});
}

auto World::stepOf(const std::string &task) const -> const Step *
{
    const auto name = Soak::parseTask(task);
    const auto job = name ? m_jobs.find(name->job) : m_jobs.end();
    return job == m_jobs.end() || name->step >= job->second.steps.size() ? nullptr : &job->second.steps[name->step];
}

auto World::handle(Worker &worker, const Soak::HttpCall &call, const Soak::Respond &respond) -> void
{
    const auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object()) {
        respond({400, "{}"});
        return;
    }
    if (call.path == "/api/run-start") {
        const auto reply = startRun(worker, body);
        record("run-start " + body.value("task", "") + " run " + std::to_string(body.value("run", 0U)) + " fence "
               + std::to_string(body.value("fenceToken", 0U)) + " at " + worker.name + " -> " + std::to_string(reply.status) + ' '
               + reply.body);
        respond(reply);
        return;
    }
    if (call.path == "/api/run-stop") {
        const auto reply = stopRun(worker, body);
        record("run-stop " + body.value("task", "") + " run " + std::to_string(body.value("run", 0U)) + " at " + worker.name + " -> "
               + std::to_string(reply.status));
        respond(reply);
        return;
    }
    const auto fence = body.value("fenceToken", std::uint64_t{0});
    if (fence < worker.fenceToken) {
        respond({409, json{{"clockMs", clock(worker).count()}, {"reason", "fence"}}.dump()});
        return;
    }
    worker.fenceToken = fence;
    const auto seen = body.value("lastSeen", std::uint64_t{0});
    std::erase_if(worker.ends, [&](const End &it) {
        if (it.number <= seen) {
            record("end noted " + it.task + " run " + std::to_string(it.run) + ' ' + it.how + " at " + worker.name);
        }
        return it.number <= seen;
    });
    if (body.contains("untilMs")) {
        worker.leaseEnd =
            std::max(worker.leaseEnd, std::min(std::chrono::milliseconds(body["untilMs"].get<std::int64_t>()), clock(worker) + maxLease));
    }
    const auto wait = std::chrono::milliseconds(std::min<std::int64_t>(body.value("waitMs", std::int64_t{0}), 2000));
    if (worker.ends.empty() && wait.count() > 0) {
        worker.waiting.emplace_back(m_loop.now() + wait, respond);
    } else {
        respond(report(worker));
    }
}

auto World::startRun(Worker &worker, const json &body) -> Soak::HttpReply
{
    const auto now = clock(worker);
    if (worker.shedsStarts) {
        return {503, json{{"clockMs", now.count()}}.dump()};
    }
    const auto refuse = [&](const char *reason) { return Soak::HttpReply{409, json{{"clockMs", now.count()}, {"reason", reason}}.dump()}; };
    const auto ok = Soak::HttpReply{200, json{{"clockMs", now.count()}}.dump()};
    const auto fence = body.value("fenceToken", std::uint64_t{0});
    if (fence < worker.fenceToken) {
        return refuse("fence");
    }
    worker.fenceToken = fence;
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    const std::chrono::milliseconds until(body.at("untilMs").get<std::int64_t>());
    const auto existing = worker.runs.find(task);
    if (existing != worker.runs.end() && existing->second.run == run) {
        return ok;
    }
    const auto extend = [&] { worker.leaseEnd = std::max(worker.leaseEnd, std::min(until, now + maxLease)); };
    if (existing != worker.runs.end() || (worker.highestRuns.contains(task) && run <= worker.highestRuns[task])) {
        extend();
        return refuse("old");
    }
    if (until <= now) {
        return refuse("late");
    }
    auto cpu = workerCpu;
    auto mem = workerMemMb;
    auto gpus = workerGpus;
    for (const auto &[name, it] : worker.runs) {
        if (const auto *step = stepOf(name)) {
            cpu -= step->cpu;
            mem -= step->memMb;
            gpus -= step->gpus;
        }
    }
    const auto *step = stepOf(task);
    if (step == nullptr) {
        record("BROKEN UNASKED: " + task + " was sent by nobody");
        return {400, "{}"};
    }
    extend();
    if (step->cpu > cpu || step->memMb > mem || step->gpus > gpus) {
        return refuse("room");
    }
    worker.runs[task] = {run, body.value("checkpoint", std::string()), m_loop.now(), {}};
    ++worker.starts;
    auto &job = m_jobs.at(Soak::parseTask(task)->job);
    job.firstStart = job.firstStart.value_or(m_loop.now());
    return ok;
}

auto World::stopRun(Worker &worker, const json &body) -> Soak::HttpReply
{
    const auto fence = body.value("fenceToken", std::uint64_t{0});
    if (fence < worker.fenceToken) {
        return {409, json{{"clockMs", clock(worker).count()}, {"reason", "fence"}}.dump()};
    }
    worker.fenceToken = fence;
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint32_t>();
    worker.highestRuns[task] = std::max(worker.highestRuns[task], run);
    const auto it = worker.runs.find(task);
    if (it != worker.runs.end() && it->second.run <= run && !it->second.stopsAt) {
        it->second.stopsAt = m_loop.now() + stopTime;
    }
    return {200, json{{"clockMs", clock(worker).count()}}.dump()};
}

auto World::report(const Worker &worker) const -> Soak::HttpReply
{
    auto running = json::array();
    for (const auto &[task, it] : worker.runs) {
        const auto *step = stepOf(task);
        const auto percent = step == nullptr || step->lasts || step->work.count() <= 0
            ? 100
            : std::min<std::int64_t>(100, toMilliseconds(m_loop.now() - it.startedAt).count() * 100 / step->work.count());
        running.push_back({task, it.run, it.checkpoint, percent, 0});
    }
    auto ended = json::array();
    for (const auto &it : worker.ends) {
        if (ended.size() == maxListedEnds) {
            break;
        }
        ended.push_back({it.number, it.task, it.run, it.how, it.checkpoint});
    }
    return {200, json{{"clockMs", clock(worker).count()}, {"born", worker.born}, {"running", running}, {"ended", ended}}.dump()};
}

auto World::endRun(Worker &worker, const std::string &task, const std::string &how) -> void
{
    const auto it = worker.runs.find(task);
    worker.highestRuns[task] = std::max(worker.highestRuns[task], it->second.run);
    worker.ends.push_back({++worker.endCount, task, it->second.run, how, it->second.checkpoint});
    record("end " + task + " run " + std::to_string(it->second.run) + ' ' + how + " at " + worker.name);
    worker.runs.erase(it);
}

auto World::failRun(Worker &worker, const std::string &task) -> void
{
    endRun(worker, task, "failed");
}

auto World::workerOf(const std::string &task) -> Worker *
{
    const auto it = std::find_if(m_workers.begin(), m_workers.end(), [&](const Worker &w) { return w.runs.contains(task); });
    return it == m_workers.end() ? nullptr : &*it;
}

auto World::tick() -> void
{
    const auto at = m_loop.now();
    for (auto &worker : m_workers) {
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto &[task, run] : worker.runs) {
            const auto *step = stepOf(task);
            if (clock(worker) >= worker.leaseEnd) {
                ended.emplace_back(task, "lapsed");
            } else if (run.stopsAt && at >= *run.stopsAt) {
                ended.emplace_back(task, "stopped");
            } else if (step != nullptr && !step->lasts && at >= run.startedAt + step->work) {
                ended.emplace_back(task, "done");
            }
        }
        for (const auto &[task, how] : ended) {
            endRun(worker, task, how);
        }
        auto waiting = std::exchange(worker.waiting, {});
        for (auto &it : waiting) {
            if (worker.ends.empty() && at < it.first) {
                worker.waiting.push_back(std::move(it));
            } else {
                it.second(report(worker));
            }
        }
    }
    if (at >= m_nextPublication) {
        m_nextPublication = at + publishInterval;
        for (const auto &it : m_workers) {
            if (!it.gone) {
                publish(it);
            }
        }
    }
    m_loop.callAfter(tickInterval, [this] { tick(); });
}

} // namespace Review
