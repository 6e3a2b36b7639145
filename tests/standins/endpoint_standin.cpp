// Runs many endpoints of one service in one process, each on its own port.
// POST /control {"mode":"ok|fail|slow|silent|silent-open|lose-answers|truncate|leaving","slow_ms":N,"endpoint":NAME|"*"} at any port sets
// the mode of that port's endpoint, of another one or of all; GET /control/counts and GET /control/values show what ran.

#include "echo.h"

#include <acaciarail/endpoint/endpoint_client.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(service, "retake", "service of all endpoints");
DEFINE_string(prefix, "endpoint", "endpoints are named PREFIX-000, PREFIX-001...");
DEFINE_uint32(count, 50, "number of endpoints");
DEFINE_string(zones, "midwest/midwest-a", "REGION/ZONE list, separated by commas; endpoints are assigned to them in turn");
DEFINE_uint32(slots, 8, "requests that an endpoint processes concurrently");
DEFINE_uint32(connections, 64, "connections that an endpoint accepts; requests on further ones are dropped with their connection");
DEFINE_uint32(service_ms, 20, "service time in milliseconds, unless the request states one");
DEFINE_double(service_spread, 0.0, "service times vary uniformly by this fraction in both directions");
DEFINE_string(platform, "", "ADDRESS:PORT of the platform stand-in with which the endpoints register; none when empty");
DEFINE_uint32(run_for, 0, "seconds after which the process exits; 0 runs until SIGTERM");
DEFINE_uint64(seed, 1, "seed of the service times");

namespace {

using namespace Acaciarail;
using Json = nlohmann::json;

constexpr std::size_t maxFillSize = std::size_t{16} * 1024 * 1024;
constexpr std::uint32_t maxServiceMs = 600'000;
constexpr timeval drainTime{2, 0};

enum class Mode {
    Ok,
    Fail,
    Slow,
    /// Accepts requests and never answers.
    Silent,
    /// Requests on connections that are open now are never answered; those on new ones are.
    SilentOpen,
    /// Runs requests and closes the connection instead of answering.
    LoseAnswers,
    /// Runs requests and closes the connection in the middle of the answer.
    Truncate,
    Leaving,
};

constexpr std::array<std::string_view, 8> modeNames{"ok", "fail", "slow", "silent", "silent-open", "lose-answers", "truncate", "leaving"};

auto parseMode(std::string_view text) -> std::optional<Mode>
{
    const auto it = std::find(modeNames.begin(), modeNames.end(), text);
    return it == modeNames.end() ? std::nullopt : std::optional(static_cast<Mode>(it - modeNames.begin()));
}

struct EventDeleter
{
    auto operator()(event *e) const noexcept -> void
    {
        event_free(e);
    }
    auto operator()(event_base *b) const noexcept -> void
    {
        event_base_free(b);
    }
    auto operator()(evhttp *h) const noexcept -> void
    {
        evhttp_free(h);
    }
};

using EventHandle = std::unique_ptr<event, EventDeleter>;

auto toTimeval(std::uint64_t milliseconds) -> timeval
{
    return {static_cast<time_t>(milliseconds / 1000), static_cast<suseconds_t>(milliseconds % 1000 * 1000)};
}

auto parseNumber(const char *text, std::uint64_t limit) -> std::optional<std::uint64_t>
{
    if (text == nullptr) {
        return std::nullopt;
    }
    const std::string_view view(text);
    std::uint64_t n = 0;
    const auto result = std::from_chars(view.data(), view.data() + view.size(), n);
    return result.ec == std::errc() && result.ptr == view.data() + view.size() && n <= limit ? std::optional(n) : std::nullopt;
}

auto readBody(evhttp_request *request) -> std::string
{
    auto *buf = evhttp_request_get_input_buffer(request);
    std::string out(evbuffer_get_length(buf), '\0');
    evbuffer_copyout(buf, out.data(), out.size());
    return out;
}

auto reply(evhttp_request *request, int status, std::string_view body) -> void
{
    auto *buf = evhttp_request_get_output_buffer(request);
    evbuffer_add(buf, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

class Process;

class EndpointStandin
{
public:
    EndpointStandin(Process &process, std::string name, std::string region, std::string zone);
    EndpointStandin(const EndpointStandin &) = delete;
    auto operator=(const EndpointStandin &) -> EndpointStandin & = delete;
    ~EndpointStandin() = default;

    [[nodiscard]] auto listen() -> bool;
    auto setMode(Mode mode, std::uint32_t slowMs) -> void;
    [[nodiscard]] auto counts() const -> Json;
    [[nodiscard]] auto instanceEntry() const -> Json;

    [[nodiscard]] auto name() const -> const std::string &
    {
        return m_name;
    }
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_port;
    }
    [[nodiscard]] auto busy() const -> std::size_t
    {
        return m_busy;
    }

private:
    /// One request in progress.
    struct Work
    {
        EndpointStandin *endpoint = nullptr;
        evhttp_request *request = nullptr;
        evhttp_connection *connection = nullptr;
        std::string value;
        std::size_t fillSize = 0;
        /// The connection exceeds the limit and is closed without an answer.
        bool surplus = false;
        EventHandle timer;
    };

    static auto onRequest(evhttp_request *request, void *arg) -> void;
    static auto onClosed(evhttp_connection *connection, void *arg) -> void;
    static auto onWorkDone(evutil_socket_t, short, void *arg) -> void;

    auto serve(evhttp_request *request) -> void;
    auto control(evhttp_request *request) -> void;
    auto refuse(evhttp_request *request) -> void;
    auto startWork(evhttp_request *request, evhttp_connection *connection) -> void;
    auto finishWork(Work &work) -> void;
    auto dropSurplus(evhttp_request *request, evhttp_connection *connection) -> void;
    auto truncate(Work &work) -> void;

    Process &m_process;
    std::string m_name;
    std::string m_region;
    std::string m_zone;
    std::unique_ptr<evhttp, EventDeleter> m_http;
    std::uint16_t m_port = 0;
    Mode m_mode = Mode::Ok;
    std::uint32_t m_slowMs = 0;
    std::size_t m_busy = 0;
    std::size_t m_mostBusy = 0;
    std::uint64_t m_ran = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_surplus = 0;
    std::set<evhttp_connection *> m_open;
    /// Connections within the limit.
    std::set<evhttp_connection *> m_accepted;
    std::set<evhttp_connection *> m_silent;
    std::map<Work *, std::unique_ptr<Work>> m_work;
};

class Process
{
public:
    Process()
        : m_base(event_base_new())
        , m_engine(FLAGS_seed)
        , m_client(m_base.get(), {}, {[this](const Endpoint::AttemptOutcome &outcome) { onMessageOutcome(outcome); }, {}})
    {
    }

    [[nodiscard]] auto run() -> int;

    [[nodiscard]] auto base() const -> event_base *
    {
        return m_base.get();
    }
    auto countRun(const char *key, const std::string &value) -> void;
    auto select(EndpointStandin &self, const std::string &name) -> std::vector<EndpointStandin *>;
    [[nodiscard]] auto counts() const -> Json;
    [[nodiscard]] auto values() const -> Json;
    [[nodiscard]] auto serviceMs(std::uint64_t statedMs) -> std::uint64_t;
    auto notifyPlatform(const Json &message) -> void;

private:
    static auto onStop(evutil_socket_t, short, void *arg) -> void;
    static auto onDrained(evutil_socket_t, short, void *arg) -> void;
    static auto onRetry(evutil_socket_t, short, void *arg) -> void;

    [[nodiscard]] auto start() -> bool;
    auto drain() -> void;
    auto sendNext() -> void;
    auto onMessageOutcome(const Endpoint::AttemptOutcome &outcome) -> void;

    std::unique_ptr<event_base, EventDeleter> m_base;
    std::mt19937_64 m_engine;
    std::vector<std::unique_ptr<EndpointStandin>> m_endpoints;
    std::map<std::string, std::uint32_t> m_keys;
    std::map<std::string, std::uint32_t> m_values;
    Endpoint::EndpointClient m_client;
    std::deque<std::string> m_messages;
    bool m_sending = false;
    std::uint64_t m_lastMessage = 0;
    EventHandle m_retryTimer;
    EventHandle m_drainTimer;
};

EndpointStandin::EndpointStandin(Process &process, std::string name, std::string region, std::string zone)
    : m_process(process)
    , m_name(std::move(name))
    , m_region(std::move(region))
    , m_zone(std::move(zone))
    , m_http(evhttp_new(process.base()))
{
    evhttp_set_allowed_methods(m_http.get(),
                               EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH | EVHTTP_REQ_DELETE
                                   | EVHTTP_REQ_OPTIONS);
    evhttp_set_gencb(m_http.get(), &EndpointStandin::onRequest, this);
}

auto EndpointStandin::listen() -> bool
{
    auto *socket = evhttp_bind_socket_with_handle(m_http.get(), "127.0.0.1", 0);
    if (socket == nullptr) {
        return false;
    }
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    return true;
}

auto EndpointStandin::setMode(Mode mode, std::uint32_t slowMs) -> void
{
    if (mode == Mode::SilentOpen) {
        m_silent = m_open;
        return;
    }
    const bool announce = (m_mode == Mode::Leaving) != (mode == Mode::Leaving);
    m_mode = mode;
    m_slowMs = slowMs;
    if (announce) {
        m_process.notifyPlatform({{"set_state", {{"name", m_name}, {"state", mode == Mode::Leaving ? "leaving" : "live"}}}});
    }
}

auto EndpointStandin::counts() const -> Json
{
    return {{"name", m_name},
            {"port", m_port},
            {"mode", modeNames.at(static_cast<std::size_t>(m_mode))},
            {"busy", m_busy},
            {"most_busy", m_mostBusy},
            {"ran", m_ran},
            {"refused", m_refused},
            {"surplus_connections", m_surplus},
            {"connections", m_open.size()}};
}

auto EndpointStandin::instanceEntry() const -> Json
{
    return {{"name", m_name},
            {"kind", "endpoint"},
            {"address", "127.0.0.1:" + std::to_string(m_port)},
            {"region", m_region},
            {"zone", m_zone},
            {"rack", ""},
            {"rack_position", 0},
            {"service", FLAGS_service},
            {"state", "live"},
            {"accelerators", 0},
            {"cores", 0},
            {"memory_mib", 0},
            {"slots", FLAGS_slots},
            {"connections", FLAGS_connections}};
}

auto EndpointStandin::onRequest(evhttp_request *request, void *arg) -> void
{
    static_cast<EndpointStandin *>(arg)->serve(request);
}

auto EndpointStandin::onClosed(evhttp_connection *connection, void *arg) -> void
{
    auto &self = *static_cast<EndpointStandin *>(arg);
    self.m_open.erase(connection);
    self.m_accepted.erase(connection);
    self.m_silent.erase(connection);
    for (const auto &it : self.m_work) {
        if (it.first->connection == connection) {
            it.first->connection = nullptr;
            it.first->request = nullptr;
        }
    }
}

auto EndpointStandin::serve(evhttp_request *request) -> void
{
    auto *connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, &EndpointStandin::onClosed, this);
    m_open.insert(connection);
    if (m_open.size() <= FLAGS_connections) {
        m_accepted.insert(connection);
    }
    const std::string_view uri = evhttp_request_get_uri(request);
    if (uri.starts_with("/control")) {
        control(request);
    } else if (m_open.size() > FLAGS_connections && !m_accepted.contains(connection)) {
        dropSurplus(request, connection);
    } else if (m_mode != Mode::Silent && !m_silent.contains(connection) && (m_mode == Mode::Leaving || m_busy >= FLAGS_slots)) {
        refuse(request);
    } else {
        startWork(request, connection);
    }
}

auto EndpointStandin::control(evhttp_request *request) -> void
{
    const std::string_view uri = evhttp_request_get_uri(request);
    if (uri == "/control/counts") {
        reply(request, 200, m_process.counts().dump());
        return;
    }
    if (uri == "/control/values") {
        reply(request, 200, m_process.values().dump());
        return;
    }
    const auto message = Json::parse(readBody(request), nullptr, false);
    const auto mode = message.is_object() ? parseMode(message.value("mode", "")) : std::nullopt;
    const auto targets =
        message.is_object() ? m_process.select(*this, message.value("endpoint", m_name)) : std::vector<EndpointStandin *>();
    if (uri != "/control" || !mode || targets.empty()) {
        reply(request, 400, "expected POST /control with a known mode and endpoint, GET /control/counts or GET /control/values\n");
        return;
    }
    for (auto *it : targets) {
        it->setMode(*mode, message.value("slow_ms", 10 * FLAGS_service_ms));
    }
    reply(request, 200, "{}");
}

auto EndpointStandin::refuse(evhttp_request *request) -> void
{
    ++m_refused;
    auto *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Acaciarail-Execution", "not-run");
    if (m_mode == Mode::Leaving) {
        evhttp_add_header(headers, "Acaciarail-Leaving", "true");
    }
    reply(request, 503, m_mode == Mode::Leaving ? "leaving" : "busy");
}

auto EndpointStandin::startWork(evhttp_request *request, evhttp_connection *connection) -> void
{
    auto work = std::make_unique<Work>();
    work->endpoint = this;
    work->request = request;
    work->connection = connection;

    evkeyvalq query{};
    const auto *uri = evhttp_request_get_evhttp_uri(request);
    const auto *text = evhttp_uri_get_query(uri);
    evhttp_parse_query_str(text == nullptr ? "" : text, &query);
    const auto *in = evhttp_request_get_input_headers(request);
    const auto read = [&](const char *parameter, const char *header) {
        const auto *found = evhttp_find_header(&query, parameter);
        return found != nullptr ? found : evhttp_find_header(in, header);
    };
    const auto *value = read("value", "Standin-Value");
    work->value = value == nullptr ? "" : value;
    work->fillSize = parseNumber(read("bytes", "Standin-Bytes"), maxFillSize).value_or(0);
    auto ms = m_process.serviceMs(parseNumber(read("ms", "Standin-Service-Ms"), maxServiceMs).value_or(FLAGS_service_ms));
    evhttp_clear_headers(&query);

    ++m_ran;
    m_process.countRun(evhttp_find_header(in, "Idempotency-Key"), work->value);
    const bool silent = m_mode == Mode::Silent || m_silent.contains(connection);
    if (!silent) {
        ms = m_mode == Mode::Slow ? std::max<std::uint64_t>(ms, m_slowMs) : ms;
        m_mostBusy = std::max(m_mostBusy, ++m_busy);
        work->timer.reset(event_new(m_process.base(), -1, 0, &EndpointStandin::onWorkDone, work.get()));
        const auto tv = toTimeval(ms);
        event_add(work->timer.get(), &tv);
    }
    auto *key = work.get();
    m_work.emplace(key, std::move(work));
}

auto EndpointStandin::onWorkDone(evutil_socket_t, short, void *arg) -> void
{
    auto &work = *static_cast<Work *>(arg);
    work.endpoint->finishWork(work);
}

auto EndpointStandin::finishWork(Work &work) -> void
{
    const auto owned = std::move(m_work.at(&work));
    m_work.erase(&work);
    m_busy -= work.surplus ? 0 : 1;
    if (work.request == nullptr) {
        return;
    }
    if (m_mode == Mode::Truncate && !work.surplus) {
        truncate(work);
    }
    if (m_mode == Mode::LoseAnswers || m_mode == Mode::Truncate || work.surplus) {
        evhttp_connection_free(work.connection);
    } else if (m_mode == Mode::Fail) {
        reply(work.request, 500, "failed");
    } else {
        reply(work.request, 200, Standin::echoBody(work.value, readBody(work.request), work.fillSize));
    }
}

auto EndpointStandin::truncate(Work &work) -> void
{
    const auto body = Standin::echoBody(work.value, readBody(work.request), work.fillSize);
    auto text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    text.resize(text.size() - body.size() / 2);
    // Written to the socket directly, because evhttp sends complete answers only.
    const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(work.connection));
    [[maybe_unused]] const auto n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

auto EndpointStandin::dropSurplus(evhttp_request *request, evhttp_connection *connection) -> void
{
    ++m_surplus;
    auto work = std::make_unique<Work>();
    work->endpoint = this;
    work->request = request;
    work->connection = connection;
    work->surplus = true;
    // evhttp does not allow a connection to be freed within the callback for its request.
    work->timer.reset(event_new(m_process.base(), -1, 0, &EndpointStandin::onWorkDone, work.get()));
    constexpr timeval now{0, 0};
    event_add(work->timer.get(), &now);
    auto *key = work.get();
    m_work.emplace(key, std::move(work));
}

auto Process::countRun(const char *key, const std::string &value) -> void
{
    if (key != nullptr) {
        ++m_keys[key];
    }
    if (!value.empty()) {
        ++m_values[value];
    }
}

auto Process::select(EndpointStandin &self, const std::string &name) -> std::vector<EndpointStandin *>
{
    std::vector<EndpointStandin *> out;
    for (const auto &it : m_endpoints) {
        if (name == "*" || it->name() == name) {
            out.push_back(it.get());
        }
    }
    if (out.empty() && name == self.name()) {
        out.push_back(&self);
    }
    return out;
}

auto Process::counts() const -> Json
{
    Json out{{"keys", m_keys}, {"endpoints", Json::array()}};
    for (const auto &it : m_endpoints) {
        out["endpoints"].push_back(it->counts());
    }
    return out;
}

auto Process::values() const -> Json
{
    return {{"values", m_values}};
}

auto Process::serviceMs(std::uint64_t statedMs) -> std::uint64_t
{
    std::uniform_real_distribution<double> spread(1.0 - FLAGS_service_spread, 1.0 + FLAGS_service_spread);
    return static_cast<std::uint64_t>(std::max(0.0, static_cast<double>(statedMs) * spread(m_engine)));
}

auto Process::notifyPlatform(const Json &message) -> void
{
    if (!FLAGS_platform.empty()) {
        m_messages.push_back(message.dump());
        sendNext();
    }
}

auto Process::sendNext() -> void
{
    if (m_sending || m_messages.empty()) {
        return;
    }
    m_sending = true;
    Endpoint::Attempt attempt;
    attempt.id = {++m_lastMessage, 0};
    attempt.address = FLAGS_platform;
    attempt.method = "POST";
    attempt.target = "/control";
    attempt.headers = {{"Content-Type", "application/json"}};
    attempt.body = m_messages.front();
    attempt.timeout = 1s;
    m_client.send(std::move(attempt));
}

auto Process::onMessageOutcome(const Endpoint::AttemptOutcome &outcome) -> void
{
    m_sending = false;
    const auto *response = std::get_if<Endpoint::AttemptResponse>(&outcome.result);
    if (response != nullptr && response->status == 200) {
        m_messages.pop_front();
        sendNext();
        return;
    }
    constexpr timeval retryDelay{0, 200'000};
    event_add(m_retryTimer.get(), &retryDelay);
}

auto Process::onRetry(evutil_socket_t, short, void *arg) -> void
{
    static_cast<Process *>(arg)->sendNext();
}

auto Process::onStop(evutil_socket_t, short, void *arg) -> void
{
    static_cast<Process *>(arg)->drain();
}

auto Process::onDrained(evutil_socket_t, short, void *arg) -> void
{
    event_base_loopbreak(static_cast<Process *>(arg)->base());
}

auto Process::drain() -> void
{
    for (const auto &it : m_endpoints) {
        it->setMode(Mode::Leaving, 0);
    }
    event_add(m_drainTimer.get(), &drainTime);
}

auto Process::start() -> bool
{
    std::vector<std::pair<std::string, std::string>> zones;
    std::istringstream in(FLAGS_zones);
    for (std::string it; std::getline(in, it, ',');) {
        const auto slash = it.find('/');
        if (slash == std::string::npos) {
            std::cerr << "--zones: expected REGION/ZONE, found " << it << "\n";
            return false;
        }
        zones.emplace_back(it.substr(0, slash), it.substr(slash + 1));
    }
    if (zones.empty()) {
        std::cerr << "--zones: expected at least one REGION/ZONE, found none\n";
        return false;
    }
    for (std::uint32_t i = 0; i < FLAGS_count; ++i) {
        auto number = std::to_string(i);
        number.insert(0, number.size() < 3 ? 3 - number.size() : 0, '0');
        auto name = FLAGS_prefix;
        name += '-';
        name += number;
        const auto &[region, zone] = zones[i % zones.size()];
        m_endpoints.push_back(std::make_unique<EndpointStandin>(*this, std::move(name), region, zone));
        if (!m_endpoints.back()->listen()) {
            std::cerr << "endpoint " << i << ": expected a free port, found none\n";
            return false;
        }
        std::cout << "name=" << m_endpoints.back()->name() << " port=" << m_endpoints.back()->port() << "\n";
        notifyPlatform({{"add", m_endpoints.back()->instanceEntry()}});
    }
    std::cout << std::flush;
    return true;
}

auto Process::run() -> int
{
    m_retryTimer.reset(event_new(base(), -1, 0, &Process::onRetry, this));
    m_drainTimer.reset(event_new(base(), -1, 0, &Process::onDrained, this));
    const EventHandle onTerminate(evsignal_new(base(), SIGTERM, &Process::onStop, this));
    const EventHandle onInterrupt(evsignal_new(base(), SIGINT, &Process::onStop, this));
    const EventHandle endTimer(event_new(base(), -1, 0, &Process::onStop, this));
    event_add(onTerminate.get(), nullptr);
    event_add(onInterrupt.get(), nullptr);
    if (FLAGS_run_for > 0) {
        const auto tv = toTimeval(std::uint64_t{FLAGS_run_for} * 1000);
        event_add(endTimer.get(), &tv);
    }
    if (!start()) {
        return 1;
    }
    event_base_dispatch(base());
    m_endpoints.clear();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("hosts endpoints of one service for tests");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    Process process;
    return process.run();
}
