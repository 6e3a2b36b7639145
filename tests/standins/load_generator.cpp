// Simulates callers that send requests over HTTP to several entry instances at a fixed mean rate, which does not depend on the answers,
// and checks every answer.

#include "echo.h"

#include <acaciarail/endpoint/endpoint_client.h>

#include <event2/event.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

DEFINE_string(entries, "", "ADDRESS:PORT list of entry instances, separated by commas");
DEFINE_string(service, "retake", "service that the requests address");
DEFINE_string(callers, "", "ORGANISATION/CALLER:TOKEN[:WEIGHT] list, separated by commas; weights are relative rates");
DEFINE_string(callers_file, "", "JSON file with [{\"organisation\",\"caller\",\"token\",\"weight\"}], in addition to --callers");
DEFINE_double(rate, 100, "requests a second, all callers together");
DEFINE_double(seconds, 5, "time during which requests are started");
DEFINE_string(mix, "urgent=1,normal=8,background=1", "relative rates of the priorities");
DEFINE_double(orders, 0.0, "fraction of requests that are non-idempotent, with an Idempotency-Key");
DEFINE_double(duplicates, 0.0, "fraction of non-idempotent requests that are sent to two instances at once");
DEFINE_uint32(order_retries, 3, "further attempts for a non-idempotent request without a final answer, each at another instance");
DEFINE_uint32(service_ms, 0, "service time in milliseconds that is requested of the endpoint; 0 uses the endpoint's own");
DEFINE_uint32(deadline_ms, 2000, "deadline in milliseconds that each request states; 0 states none");
DEFINE_uint32(timeout_ms, 5000, "milliseconds after which a caller stops waiting for an answer");
DEFINE_uint32(body_bytes, 100, "size of the request body");
DEFINE_uint32(answer_bytes, 100, "size of the filler in the answer");
DEFINE_uint32(connections, 512, "connections to each entry instance");
DEFINE_string(counts, "", "ADDRESS:PORT list of endpoint stand-in processes, queried at the end for the requests that ran");
DEFINE_bool(per_caller, false, "also prints the counts of each caller");
DEFINE_uint64(seed, 1, "seed of arrivals, mix and entry instances");

namespace {

using namespace Acaciarail;
using Json = nlohmann::ordered_json;

constexpr std::array<const char *, 3> priorityNames{"urgent", "normal", "background"};
constexpr Duration tick = 1ms;
constexpr Duration retryDelay = 200ms;

struct CallerSpec
{
    std::string organisation;
    std::string name;
    std::string token;
    double weight = 1;
};

/// Counts of one class, organisation or caller.
struct Tally
{
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::vector<double> latenciesMs;
};

/// A non-idempotent request with all its attempts, which share one idempotency key.
struct NonIdempotentRequest
{
    std::size_t caller = 0;
    std::size_t priority = 0;
    std::string key;
    std::uint32_t attempts = 0;
    /// Attempts in progress.
    std::uint32_t open = 0;
    /// Whether an attempt was answered with status 200.
    bool answered = false;
    /// Whether every answer so far stated that the request did not run.
    bool allNotRun = true;
};

struct Request
{
    std::size_t caller = 0;
    std::size_t priority = 0;
    std::string value;
    std::string body;
    std::size_t entry = 0;
    /// Index in m_nonIdempotentRequests; empty for an idempotent request.
    std::optional<std::size_t> nonIdempotent;
};

auto percentile(std::vector<double> &sorted, double p) -> double
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::ceil(p * static_cast<double>(sorted.size()))) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

auto describeLatencies(std::vector<double> values) -> Json
{
    std::sort(values.begin(), values.end());
    Json out;
    out["p50"] = percentile(values, 0.5);
    out["p95"] = percentile(values, 0.95);
    out["p99"] = percentile(values, 0.99);
    out["max"] = values.empty() ? 0 : values.back();
    return out;
}

auto describe(const Tally &tally) -> Json
{
    Json out;
    out["sent"] = tally.sent;
    out["good"] = tally.good;
    out["refused"] = tally.refused;
    out["failed"] = tally.failed;
    out["latency_ms"] = describeLatencies(tally.latenciesMs);
    return out;
}

auto splitList(const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it, ',');) {
        out.push_back(it);
    }
    return out;
}

/// Adds the counts that the member \a name of \a document holds.
auto addRuns(const Json &document, const char *name, std::map<std::string, std::uint64_t> &runs) -> void
{
    const auto member = document.find(name);
    if (member == document.end()) {
        return;
    }
    for (const auto &[key, n] : member->items()) {
        runs[key] += n.get<std::uint64_t>();
    }
}

class Generator
{
public:
    Generator();
    Generator(const Generator &) = delete;
    auto operator=(const Generator &) -> Generator & = delete;
    ~Generator();

    [[nodiscard]] auto configure() -> bool;
    [[nodiscard]] auto run() -> int;

private:
    /// A non-idempotent request that is retried at \c due.
    struct DelayedRetry
    {
        TimePoint due;
        /// Index in m_nonIdempotentRequests.
        std::size_t nonIdempotent = 0;

        friend auto operator>(const DelayedRetry &a, const DelayedRetry &b) noexcept -> bool
        {
            return a.due > b.due;
        }
    };

    static auto onTick(evutil_socket_t, short, void *arg) -> void;
    static auto onSignal(evutil_socket_t, short, void *arg) -> void;

    [[nodiscard]] auto readCallers() -> bool;
    [[nodiscard]] auto readMix() -> bool;
    auto sendDue(TimePoint now) -> void;
    auto startRequest() -> void;
    auto startNonIdempotent(std::size_t caller, std::size_t priority) -> void;
    auto sendNonIdempotent(std::size_t nonIdempotent) -> void;
    auto send(Request request) -> void;
    auto attemptEnded(Endpoint::AttemptOutcome outcome) -> void;
    auto checkResponse(const Request &request, const Endpoint::AttemptResponse &response, double latencyMs) -> void;
    auto nonIdempotentEnded(const Request &request, bool good, bool notRun) -> void;
    auto requestCounts() -> void;
    auto countsReceived(const Endpoint::AttemptOutcome &outcome) -> void;
    [[nodiscard]] auto summary() const -> Json;
    auto updateTallies(const Request &request, const std::function<void(Tally &)> &change) -> void;
    auto drawBernoulli(double probability) -> bool;

    event_base *m_base;
    event *m_tick = nullptr;
    std::mt19937_64 m_engine;
    std::unique_ptr<Endpoint::EndpointClient> m_client;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_countSources;
    std::vector<CallerSpec> m_callers;
    std::discrete_distribution<std::size_t> m_callerChoice;
    std::discrete_distribution<std::size_t> m_priorityChoice;
    TimePoint m_start;
    TimePoint m_nextArrival;
    bool m_starting = true;
    bool m_requestingCounts = false;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, Request> m_open;
    std::vector<NonIdempotentRequest> m_nonIdempotentRequests;
    std::priority_queue<DelayedRetry, std::vector<DelayedRetry>, std::greater<>> m_delayedRetries;
    /// Values of idempotent requests whose answer stated that they did not run.
    std::vector<std::string> m_notRunValues;

    std::map<std::string, std::uint64_t> m_byStatus;
    std::map<std::string, std::uint64_t> m_byCode;
    std::map<std::string, std::uint64_t> m_byClientFailure;
    std::array<Tally, priorityNames.size()> m_byPriority;
    std::map<std::string, Tally> m_byOrganisation;
    std::map<std::string, Tally> m_byCaller;
    Tally m_total;
    std::uint64_t m_wrong = 0;
    std::uint64_t m_truncated = 0;
    std::uint64_t m_malformedProblems = 0;
    std::size_t m_countsMissing = 0;
    std::map<std::string, std::uint64_t> m_keyRuns;
    std::map<std::string, std::uint64_t> m_valueRuns;
};

Generator::Generator()
    : m_base(event_base_new())
    , m_engine(FLAGS_seed)
{
    Endpoint::EndpointClientSettings settings;
    settings.maxConnectionsPerEndpoint = FLAGS_connections;
    // The counts of a long run can be larger than any answer of a service.
    settings.maxResponseBody = std::size_t{256} * 1024 * 1024;
    Endpoint::EndpointClientHooks hooks;
    hooks.onOutcome = [this](Endpoint::AttemptOutcome outcome) { attemptEnded(std::move(outcome)); };
    m_client = std::make_unique<Endpoint::EndpointClient>(m_base, settings, std::move(hooks));
    m_tick = event_new(m_base, -1, EV_PERSIST, &Generator::onTick, this);
}

Generator::~Generator()
{
    m_client.reset();
    event_free(m_tick);
    event_base_free(m_base);
}

auto Generator::readCallers() -> bool
{
    for (const auto &it : splitList(FLAGS_callers)) {
        const auto slash = it.find('/');
        const auto colon = it.find(':', slash);
        if (slash == std::string::npos || colon == std::string::npos) {
            std::cerr << "--callers: expected ORGANISATION/CALLER:TOKEN[:WEIGHT], found " << it << "\n";
            return false;
        }
        const auto second = it.find(':', colon + 1);
        CallerSpec spec{it.substr(0, slash), it.substr(slash + 1, colon - slash - 1), it.substr(colon + 1, second - colon - 1), 1};
        if (second != std::string::npos) {
            spec.weight = std::strtod(it.c_str() + second + 1, nullptr);
        }
        m_callers.push_back(std::move(spec));
    }
    if (!FLAGS_callers_file.empty()) {
        std::ifstream in(FLAGS_callers_file);
        const auto list = Json::parse(in, nullptr, false);
        if (!list.is_array()) {
            std::cerr << "--callers_file: expected a JSON array, found another form\n";
            return false;
        }
        for (const auto &it : list) {
            m_callers.push_back({it.value("organisation", ""), it.value("caller", ""), it.value("token", ""), it.value("weight", 1.0)});
        }
    }
    if (m_callers.empty()) {
        std::cerr << "--callers: expected at least one, found none\n";
        return false;
    }
    std::vector<double> weights;
    for (const auto &it : m_callers) {
        weights.push_back(it.weight);
    }
    m_callerChoice = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    return true;
}

auto Generator::readMix() -> bool
{
    std::vector<double> weights(priorityNames.size(), 0.0);
    for (const auto &it : splitList(FLAGS_mix)) {
        const auto equals = it.find('=');
        const auto name = std::find(priorityNames.begin(), priorityNames.end(), it.substr(0, equals));
        if (equals == std::string::npos || name == priorityNames.end()) {
            std::cerr << "--mix: expected urgent=N,normal=N,background=N, found " << it << "\n";
            return false;
        }
        weights[static_cast<std::size_t>(name - priorityNames.begin())] = std::strtod(it.c_str() + equals + 1, nullptr);
    }
    m_priorityChoice = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    return true;
}

auto Generator::configure() -> bool
{
    m_entries = splitList(FLAGS_entries);
    m_countSources = splitList(FLAGS_counts);
    if (m_entries.empty()) {
        std::cerr << "--entries: expected at least one ADDRESS:PORT, found none\n";
        return false;
    }
    if (FLAGS_rate <= 0 || FLAGS_seconds <= 0) {
        std::cerr << "--rate, --seconds: expected positive values, found others\n";
        return false;
    }
    return readCallers() && readMix();
}

auto Generator::drawBernoulli(double probability) -> bool
{
    return std::bernoulli_distribution(std::clamp(probability, 0.0, 1.0))(m_engine);
}

auto Generator::updateTallies(const Request &request, const std::function<void(Tally &)> &change) -> void
{
    const auto &caller = m_callers[request.caller];
    change(m_total);
    change(m_byPriority.at(request.priority));
    change(m_byOrganisation[caller.organisation]);
    if (FLAGS_per_caller) {
        change(m_byCaller[caller.organisation + "/" + caller.name]);
    }
}

auto Generator::onTick(evutil_socket_t, short, void *arg) -> void
{
    auto &self = *static_cast<Generator *>(arg);
    self.sendDue(MonotonicClock::now());
}

auto Generator::onSignal(evutil_socket_t, short, void *arg) -> void
{
    static_cast<Generator *>(arg)->m_starting = false;
}

auto Generator::sendDue(TimePoint now) -> void
{
    std::exponential_distribution<double> gap(FLAGS_rate);
    const auto end = m_start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_seconds));
    while (m_starting && m_nextArrival <= now) {
        if (m_nextArrival >= end) {
            m_starting = false;
            break;
        }
        startRequest();
        m_nextArrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_engine)));
    }
    while (!m_delayedRetries.empty() && m_delayedRetries.top().due <= now) {
        const auto nonIdempotent = m_delayedRetries.top().nonIdempotent;
        m_delayedRetries.pop();
        sendNonIdempotent(nonIdempotent);
    }
    if (!m_starting && m_open.empty() && m_delayedRetries.empty() && !m_requestingCounts) {
        requestCounts();
    }
}

auto Generator::startRequest() -> void
{
    const auto caller = m_callerChoice(m_engine);
    const auto priority = m_priorityChoice(m_engine);
    if (drawBernoulli(FLAGS_orders)) {
        startNonIdempotent(caller, priority);
        return;
    }
    Request request;
    request.caller = caller;
    request.priority = priority;
    request.value = "r" + std::to_string(FLAGS_seed) + "-" + std::to_string(m_lastRequest + 1);
    request.entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_engine);
    send(std::move(request));
}

auto Generator::startNonIdempotent(std::size_t caller, std::size_t priority) -> void
{
    NonIdempotentRequest nonIdempotent;
    nonIdempotent.caller = caller;
    nonIdempotent.priority = priority;
    nonIdempotent.key = "o" + std::to_string(FLAGS_seed) + "-" + std::to_string(m_nonIdempotentRequests.size());
    m_nonIdempotentRequests.push_back(std::move(nonIdempotent));
    sendNonIdempotent(m_nonIdempotentRequests.size() - 1);
    if (drawBernoulli(FLAGS_duplicates)) {
        sendNonIdempotent(m_nonIdempotentRequests.size() - 1);
    }
}

auto Generator::sendNonIdempotent(std::size_t index) -> void
{
    auto &nonIdempotent = m_nonIdempotentRequests[index];
    if (nonIdempotent.answered) {
        return;
    }
    Request request;
    request.caller = nonIdempotent.caller;
    request.priority = nonIdempotent.priority;
    request.value = nonIdempotent.key;
    request.nonIdempotent = index;
    // Consecutive attempts of a non-idempotent request go to different instances.
    request.entry = (std::hash<std::string>{}(nonIdempotent.key) + nonIdempotent.attempts) % m_entries.size();
    ++nonIdempotent.attempts;
    ++nonIdempotent.open;
    send(std::move(request));
}

auto Generator::send(Request request) -> void
{
    const auto &caller = m_callers[request.caller];
    request.body.assign(FLAGS_body_bytes, 'b');
    request.body += request.value;

    Endpoint::Attempt attempt;
    attempt.id = {++m_lastRequest, 0};
    attempt.address = m_entries[request.entry];
    attempt.method = "POST";
    attempt.target = "/services/" + FLAGS_service + "/work?value=" + request.value + "&bytes=" + std::to_string(FLAGS_answer_bytes);
    if (FLAGS_service_ms > 0) {
        attempt.target += "&ms=" + std::to_string(FLAGS_service_ms);
    }
    attempt.headers = {{"Authorization", "Bearer " + caller.token},
                       {"Acaciarail-Priority", priorityNames.at(request.priority)},
                       {"Acaciarail-Idempotent", request.nonIdempotent ? "false" : "true"},
                       {"Content-Type", "application/octet-stream"}};
    if (FLAGS_deadline_ms > 0) {
        attempt.headers.push_back({"Acaciarail-Deadline-Ms", std::to_string(FLAGS_deadline_ms)});
    }
    if (request.nonIdempotent) {
        attempt.headers.push_back({"Idempotency-Key", request.value});
    }
    attempt.body = request.body;
    attempt.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    updateTallies(request, [](Tally &it) { ++it.sent; });
    m_open.emplace(attempt.id.request, std::move(request));
    m_client->send(std::move(attempt));
}

auto Generator::attemptEnded(Endpoint::AttemptOutcome outcome) -> void
{
    if (m_requestingCounts) {
        countsReceived(outcome);
        return;
    }
    const auto node = m_open.extract(outcome.id.request);
    const auto &request = node.mapped();
    const auto latencyMs = std::chrono::duration<double, std::milli>(outcome.latency).count();
    if (const auto *response = std::get_if<Endpoint::AttemptResponse>(&outcome.result)) {
        checkResponse(request, *response, latencyMs);
        return;
    }
    const auto &failure = std::get<Endpoint::AttemptFailure>(outcome.result);
    // A failure after the request was sent shows an instance that crashed or closed a connection with a request in progress.
    ++m_byClientFailure[std::string(errorName(failure.failure.error)) + (failure.mayHaveBeenSent ? "/sent" : "/not-sent")];
    updateTallies(request, [](Tally &it) { ++it.failed; });
    nonIdempotentEnded(request, false, !failure.mayHaveBeenSent);
}

auto Generator::checkResponse(const Request &request, const Endpoint::AttemptResponse &response, double latencyMs) -> void
{
    ++m_byStatus[std::to_string(response.status)];
    if (response.status == 200) {
        const auto expected = Standin::echoBody(request.value, request.body, FLAGS_answer_bytes);
        const bool good = response.body == expected;
        if (!good) {
            const bool cut = response.body.size() < expected.size() && expected.starts_with(response.body);
            ++(cut ? m_truncated : m_wrong);
        }
        updateTallies(request, [good, latencyMs](Tally &it) {
            ++(good ? it.good : it.failed);
            it.latenciesMs.push_back(latencyMs);
        });
        nonIdempotentEnded(request, true, false);
        return;
    }
    const auto problem = Json::parse(response.body, nullptr, false);
    const bool typed = response.header("Content-Type").starts_with("application/problem+json") && problem.is_object();
    const auto code = typed ? problem.value("code", "") : std::string();
    const auto execution = typed ? problem.value("execution", "") : std::string();
    if (typed && (code.empty() || execution.empty())) {
        ++m_malformedProblems;
    }
    ++m_byCode[code.empty() ? "none" : code];
    const bool notRun = execution == "not-run";
    updateTallies(request, [notRun](Tally &it) { ++(notRun ? it.refused : it.failed); });
    if (notRun && !request.nonIdempotent) {
        m_notRunValues.push_back(request.value);
    }
    nonIdempotentEnded(request, false, notRun);
}

auto Generator::nonIdempotentEnded(const Request &request, bool good, bool notRun) -> void
{
    if (!request.nonIdempotent) {
        return;
    }
    auto &nonIdempotent = m_nonIdempotentRequests[*request.nonIdempotent];
    --nonIdempotent.open;
    nonIdempotent.answered = nonIdempotent.answered || good;
    nonIdempotent.allNotRun = nonIdempotent.allNotRun && notRun;
    if (!nonIdempotent.answered && nonIdempotent.open == 0 && nonIdempotent.attempts <= FLAGS_order_retries) {
        m_delayedRetries.push({MonotonicClock::now() + retryDelay, *request.nonIdempotent});
    }
}

auto Generator::requestCounts() -> void
{
    m_requestingCounts = true;
    m_countsMissing = 2 * m_countSources.size();
    if (m_countsMissing == 0) {
        event_base_loopbreak(m_base);
        return;
    }
    std::uint64_t n = 0;
    for (const auto &it : m_countSources) {
        for (const auto *target : {"/control/counts", "/control/values"}) {
            Endpoint::Attempt attempt;
            attempt.id = {++n, 1};
            attempt.address = it;
            attempt.method = "GET";
            attempt.target = target;
            attempt.timeout = 30s;
            m_client->send(std::move(attempt));
        }
    }
}

auto Generator::countsReceived(const Endpoint::AttemptOutcome &outcome) -> void
{
    const auto *response = std::get_if<Endpoint::AttemptResponse>(&outcome.result);
    const auto document = response == nullptr ? Json() : Json::parse(response->body, nullptr, false);
    if (document.is_object()) {
        --m_countsMissing;
        addRuns(document, "keys", m_keyRuns);
        addRuns(document, "values", m_valueRuns);
    }
    if (m_client->attemptsInProgress() == 0) {
        event_base_loopbreak(m_base);
    }
}

auto Generator::summary() const -> Json
{
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t ranTwice = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t answeredWithoutRun = 0;
    for (const auto &it : m_nonIdempotentRequests) {
        const auto found = m_keyRuns.find(it.key);
        const auto runs = found == m_keyRuns.end() ? 0 : found->second;
        ++(it.answered ? answered : it.allNotRun ? notRun : unknown);
        ranTwice += runs > 1 ? 1 : 0;
        falseNotRun += !it.answered && it.allNotRun && runs > 0 ? 1 : 0;
        answeredWithoutRun += it.answered && runs == 0 ? 1 : 0;
    }
    for (const auto &it : m_notRunValues) {
        falseNotRun += m_valueRuns.contains(it) ? 1 : 0;
    }

    Json out;
    out["seed"] = FLAGS_seed;
    out["rate"] = FLAGS_rate;
    out["seconds"] = FLAGS_seconds;
    out["total"] = describe(m_total);
    out["wrong"] = m_wrong;
    out["truncated"] = m_truncated;
    out["malformed_problems"] = m_malformedProblems;
    out["by_status"] = m_byStatus;
    out["by_code"] = m_byCode;
    out["by_client_failure"] = m_byClientFailure;
    for (std::size_t i = 0; i < priorityNames.size(); ++i) {
        out["by_priority"][priorityNames.at(i)] = describe(m_byPriority.at(i));
    }
    for (const auto &[name, tally] : m_byOrganisation) {
        out["by_organisation"][name] = describe(tally);
    }
    for (const auto &[name, tally] : m_byCaller) {
        out["by_caller"][name] = describe(tally);
    }
    out["orders"] = {{"started", m_nonIdempotentRequests.size()}, {"answered", answered}, {"not_run", notRun}, {"unknown", unknown}};
    // Without all counts it is unknown what ran, so these members are omitted.
    if (!m_countSources.empty() && m_countsMissing == 0) {
        out["orders"]["ran_more_than_once"] = ranTwice;
        out["orders"]["answered_without_run"] = answeredWithoutRun;
        out["untrue_not_run"] = falseNotRun;
    } else if (!m_countSources.empty()) {
        out["counts_missing"] = m_countsMissing;
    }
    return out;
}

auto Generator::run() -> int
{
    event *terminate = evsignal_new(m_base, SIGTERM, &Generator::onSignal, this);
    event_add(terminate, nullptr);
    m_start = MonotonicClock::now();
    m_nextArrival = m_start;
    const timeval interval{0, static_cast<suseconds_t>(tick.count())};
    event_add(m_tick, &interval);
    event_base_dispatch(m_base);
    event_free(terminate);
    std::cout << summary().dump(2) << "\n";
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("sends requests of many callers to entry instances and prints a JSON summary");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    Generator generator;
    return generator.configure() ? generator.run() : 2;
}
