#include "deployment.h"

#include <acaciarail/operator/sha256.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace Acaciarail::ProcessTest {

namespace {

constexpr Duration pollInterval = 20ms;
/// Longest wait for one response; a paused process never sends one.
constexpr Duration callLimit = 8s;
constexpr std::uint32_t workerAccelerators = 8;

auto regionOf(const std::string &zone) -> std::string
{
    return zone.substr(0, zone.rfind('-'));
}

auto bearer(const std::string &token) -> std::string
{
    return "Authorization: Bearer " + token;
}

auto organisationDocument(const std::string &name, bool withOperator) -> std::string
{
    auto out = "[[organisation]]\nname = \"" + name + "\"\nshare = 50\n\n[[organisation.callers]]\nname = \"" + name
        + "-office\"\ntoken_sha256 = \"" + Operator::sha256Hex("test-" + name) + "\"\n";
    if (withOperator) {
        out += "\n[[organisation.callers]]\nname = \"operator\"\ntoken_sha256 = \"" + Operator::sha256Hex(operatorToken)
            + "\"\noperator = true\n";
    }
    return out;
}

} // namespace

auto Response::text(const char *member) const -> std::string
{
    const auto it = json.is_object() ? json.find(member) : json.end();
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

auto Response::isRefusal(std::string_view code, std::string_view execution) const -> bool
{
    return status >= 400 && text("code") == code && text("execution") == execution;
}

Deployment::Deployment(DeploymentSettings settings)
    : m_platform(m_loop)
    , m_entryFlags(settings.entryFlags)
    , m_entryEnvironment(settings.entryEnvironment)
{
    BOOST_REQUIRE(!m_platform.listen());
    for (std::uint32_t i = 0; i < settings.midwestWorkers; ++i) {
        addWorker(midwest);
    }
    for (std::uint32_t i = 0; i < settings.southeastWorkers; ++i) {
        addWorker(southeast);
    }
    if (settings.endpoints != 0) {
        startEndpoints(settings.endpoints);
    }
    for (const auto &[name, zone] : settings.entries) {
        startEntry(name, zone);
    }
    const auto first = settings.entries.front().first;
    BOOST_REQUIRE(waitUntil([&] { return call(first, "GET", "/readyz", "").status == 200; }));
    const auto published = publish(first, initialDocuments());
    BOOST_REQUIRE_MESSAGE(published.status == 200, published.json.dump());
    BOOST_REQUIRE(waitUntil([&] {
        return std::all_of(settings.entries.begin(), settings.entries.end(), [&](const auto &it) {
            const auto now = status(it.first);
            // An accepted configuration takes effect shortly after the response; from then on its tokens are valid.
            return now.value("ready", false) && now.value("endpoints", 0U) >= settings.endpoints
                && call(it.first, "GET", "/v1/jobs", lakeviewToken).status == 200;
        });
    }));
    BOOST_REQUIRE(waitUntil([&] { return !holder(midwest).empty() && (settings.southeastWorkers == 0 || !holder(southeast).empty()); }));
}

auto Deployment::waitUntil(const std::function<bool()> &condition) -> bool
{
    const auto deadline = m_loop.now() + waitLimit;
    while (!condition()) {
        if (m_loop.now() >= deadline) {
            return false;
        }
        (void)m_loop.runUntil([] { return false; }, pollInterval);
    }
    return true;
}

auto Deployment::startEntry(const std::string &name, const std::string &zone) -> void
{
    Entry entry;
    entry.zone = zone;
    std::vector<std::string> flags{"--name=" + name, "--region=" + regionOf(zone), "--zone=" + zone,
                                   "--platform_address=" + m_platform.address().str(),
                                   "--bootstrap_operator_token_sha256=" + Operator::sha256Hex(operatorToken)};
    flags.insert(flags.end(), m_entryFlags.begin(), m_entryFlags.end());
    entry.process = std::make_unique<ChildProcess>("acaciaraild", flags, name, ChildOptions{{}, m_entryEnvironment});
    const auto line = entry.process->readLine(m_loop, waitLimit);
    unsigned callerPort = 0;
    unsigned peerPort = 0;
    BOOST_REQUIRE_MESSAGE(std::sscanf(line.c_str(), "caller_port=%u peer_port=%u", &callerPort, &peerPort) == 2, line);
    entry.address.port = static_cast<std::uint16_t>(callerPort);
    Standins::ListedInstance listed;
    listed.name = name;
    listed.address = "127.0.0.1:" + std::to_string(peerPort);
    listed.region = regionOf(zone);
    listed.zone = zone;
    m_platform.model().add(listed, m_loop.now());
    m_entries.insert_or_assign(name, std::move(entry));
}

auto Deployment::signalEntry(const std::string &name, int number) -> void
{
    m_entries.at(name).process->signal(number);
}

auto Deployment::killEntry(const std::string &name) -> void
{
    signalEntry(name, SIGKILL);
    m_platform.model().remove(name, m_loop.now());
    m_entries.erase(name);
}

auto Deployment::entryProcess(const std::string &name) -> ChildProcess &
{
    return *m_entries.at(name).process;
}

auto Deployment::entryAddress(const std::string &name) const -> Runtime::SocketAddress
{
    return m_entries.at(name).address;
}

auto Deployment::entryNames() const -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (const auto &[name, it] : m_entries) {
        out.push_back(name);
    }
    return out;
}

auto Deployment::addWorker(const std::string &zone) -> Standins::WorkerServer &
{
    const auto name = zone + "-w" + std::to_string(m_workers.size());
    Standins::WorkerModelSettings settings;
    settings.info.name = WorkerName(name);
    settings.info.region = RegionName(regionOf(zone));
    settings.info.zone = ZoneName(zone);
    settings.info.rack = RackName(zone + "-rack-0");
    settings.info.capacity = {workerAccelerators, 32, 65536};
    const auto index = m_workers.size();
    const auto plan = [this, name, index](const Worker::AttemptReport &attempt, std::uint32_t) {
        m_starts.push_back({name, attempt.id, attempt.term, m_workers.at(index)->model().term()});
        return Standins::TaskPlan{attempt.job.spec.declaredRunTime, false};
    };
    auto &worker = *m_workers.emplace_back(std::make_unique<Standins::WorkerServer>(m_loop, settings, plan));
    BOOST_REQUIRE(!worker.listen());
    Standins::ListedInstance listed;
    listed.name = name;
    listed.kind = Standins::ListedKind::Worker;
    listed.address = worker.address().str();
    listed.region = regionOf(zone);
    listed.zone = zone;
    listed.rack = settings.info.rack.str();
    listed.accelerators = settings.info.capacity.accelerators;
    listed.cores = settings.info.capacity.cores;
    listed.memoryMiB = settings.info.capacity.memoryMiB;
    m_platform.model().add(listed, m_loop.now());
    return worker;
}

auto Deployment::workers() -> std::vector<std::unique_ptr<Standins::WorkerServer>> &
{
    return m_workers;
}

auto Deployment::starts() const -> const std::vector<StartRecord> &
{
    return m_starts;
}

auto Deployment::startsOfJob(const std::string &job) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_starts.begin(), m_starts.end(), [&job](const StartRecord &it) { return it.id.job.str() == job; }));
}

auto Deployment::firstInvalidStart() -> std::optional<std::string>
{
    for (const auto &it : m_starts) {
        const auto label = it.worker + " job " + it.id.job.str() + " attempt " + std::to_string(it.id.attempt);
        if (it.term != it.inForce) {
            return label + ": started under term " + std::to_string(it.term.number) + " while term " + std::to_string(it.inForce.number)
                + " was in force";
        }
        for (const auto &worker : m_workers) {
            if (worker->model().startsOf(it.id) > 1) {
                return label + ": started twice on " + worker->model().info().name.str();
            }
        }
    }
    return std::nullopt;
}

auto Deployment::open(const std::string &entry, std::string_view bytes) -> std::unique_ptr<HttpExchange>
{
    return std::make_unique<HttpExchange>(m_loop, m_entries.at(entry).address, bytes);
}

auto Deployment::finish(HttpExchange &exchange) -> Response
{
    (void)m_loop.runUntil([&exchange] { return exchange.isDone(); }, callLimit);
    return {exchange.status(), exchange.json()};
}

auto Deployment::call(const std::string &entry, std::string_view method, std::string_view target, const std::string &token,
                      const nlohmann::json &body, std::vector<std::string> headers) -> Response
{
    if (!token.empty()) {
        headers.push_back(bearer(token));
    }
    return callRaw(entry, renderRequest(method, target, headers, body.is_null() ? "" : body.dump()));
}

auto Deployment::callRaw(const std::string &entry, std::string_view bytes) -> Response
{
    const auto exchange = open(entry, bytes);
    return finish(*exchange);
}

auto Deployment::endpointControl(std::string_view method, std::string_view target, const nlohmann::json &body) -> Response
{
    HttpExchange exchange(m_loop, m_endpointAddress, renderRequest(method, target, {}, body.is_null() ? "" : body.dump()));
    return finish(exchange);
}

auto Deployment::runsOfValue(const std::string &value) -> std::uint64_t
{
    const auto response = endpointControl("GET", "/control/values");
    BOOST_REQUIRE_EQUAL(response.status, 200);
    return response.json.at("values").value(value, std::uint64_t{0});
}

auto Deployment::status(const std::string &entry) -> nlohmann::json
{
    const auto response = call(entry, "GET", "/v1/status", operatorToken);
    return response.status == 200 && response.json.is_object() ? response.json : nlohmann::json::object();
}

auto Deployment::isHolder(const std::string &entry, const std::string &zone) -> bool
{
    const auto now = status(entry);
    const auto shards = now.value("shards", nlohmann::json::array());
    return std::any_of(shards.begin(), shards.end(),
                       [&zone](const auto &it) { return it.at("zone") == zone && it.at("holder") == true && it.at("recovered") == true; });
}

auto Deployment::holder(const std::string &zone) -> std::string
{
    for (const auto &[name, it] : m_entries) {
        if (it.zone == zone && isHolder(name, zone)) {
            return name;
        }
    }
    return {};
}

auto Deployment::publish(const std::string &entry, const std::map<std::string, std::string> &documents) -> Response
{
    const auto current = call(entry, "GET", "/v1/config", operatorToken);
    BOOST_REQUIRE_EQUAL(current.status, 200);
    auto body = nlohmann::json{{"operator", "test"}, {"documents", nlohmann::json::array()}};
    for (const auto &[name, text] : documents) {
        std::uint64_t version = 0;
        for (const auto &it : current.json.at("documents")) {
            version = it.at("name") == name ? it.at("version").get<std::uint64_t>() : version;
        }
        body["documents"].push_back({{"name", name}, {"base_version", version}, {"text", text}});
    }
    return call(entry, "POST", "/v1/config", operatorToken, body);
}

auto Deployment::platform() -> Standins::PlatformModel &
{
    return m_platform.model();
}

auto Deployment::loop() -> Runtime::EventLoop &
{
    return m_loop;
}

auto Deployment::startEndpoints(std::uint32_t count) -> void
{
    m_endpoints = std::make_unique<ChildProcess>("endpoint_standin",
                                                 std::vector<std::string>{"--platform=" + m_platform.address().str(), "--run_for=300",
                                                                          "--service=retake", "--count=" + std::to_string(count),
                                                                          "--zones=midwest/midwest-a,southeast/southeast-a"},
                                                 "endpoints");
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto line = m_endpoints->readLine(m_loop, waitLimit);
        unsigned port = 0;
        BOOST_REQUIRE_MESSAGE(std::sscanf(line.c_str(), "name=%*s port=%u", &port) == 1, line);
        m_endpointAddress.port = static_cast<std::uint16_t>(port);
    }
}

auto makeJob(const std::string &name, std::uint32_t accelerators, Duration runTime, bool idempotent, const std::string &zone)
    -> nlohmann::json
{
    return {{"name", name},
            {"kind", "portrait"},
            {"shape", {{"tasks", 1}, {"accelerators", accelerators}, {"cores", 1}, {"memory_mib", 1024}, {"adjacency", "any"}}},
            {"run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(runTime).count()},
            {"idempotent", idempotent},
            {"zone", zone}};
}

auto submit(Deployment &deployment, const std::string &entry, const nlohmann::json &job) -> std::string
{
    const auto response = deployment.call(entry, "POST", "/v1/jobs", lakeviewToken, job);
    BOOST_REQUIRE_MESSAGE(response.status == 201, response.json.dump());
    return response.text("id");
}

auto outcomeOf(Deployment &deployment, const std::string &entry, const std::string &job) -> std::string
{
    return deployment.call(entry, "GET", "/v1/jobs/" + job, lakeviewToken).text("outcome");
}

auto initialDocuments() -> std::map<std::string, std::string>
{
    return {{"deployment.acaciarail.toml", "[deployment.shards]\nmidwest-a = 1\nsoutheast-a = 1\n"},
            {"lakeview.acaciarail.toml", organisationDocument("lakeview", true)},
            {"pine-ridge.acaciarail.toml", organisationDocument("pine-ridge", false)},
            {"retake.acaciarail.toml",
             "[[service]]\nname = \"retake\"\nattempt_timeout_ms = 5000\nretry_budget = 0.1\nmax_attempts = 3\n"
             "cross_region_bytes_per_second = 1000000\n"}};
}

auto serviceRequest(const std::string &value, Duration serviceTime, bool idempotent, const std::string &token) -> std::string
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(serviceTime).count();
    std::vector<std::string> headers{bearer(token), "Acaciarail-Deadline-Ms: 30000",
                                     std::string("Acaciarail-Idempotent: ") + (idempotent ? "true" : "false")};
    if (!idempotent) {
        headers.push_back("Idempotency-Key: " + value);
    }
    return renderRequest("POST", "/services/retake/print?value=" + value + "&ms=" + std::to_string(ms), headers, "portrait " + value);
}

} // namespace Acaciarail::ProcessTest
