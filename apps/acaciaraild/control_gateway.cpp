#include "control_gateway.h"

#include "audit_source.h"
#include "status_json.h"

#include <acaciarail/caller/job_json.h>
#include <acaciarail/caller/problem.h>
#include <acaciarail/operator/document.h>
#include <acaciarail/scheduling/guarantee.h>

#include <nlohmann/json.hpp>

#include <set>

namespace Acaciarail::Daemon {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view jsonType = "application/json";
/// Time within which the log must confirm an operation.
constexpr Duration operationTimeout = 5s;
constexpr Duration retryAfter = 1s;

auto jsonResponse(std::uint16_t status, const Json &json) -> Caller::HttpResponse
{
    return Caller::makeResponse(status, jsonType, json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

auto refuse(const Caller::ReplyHandle &reply, Error error, std::string detail) -> void
{
    reply.send(Caller::renderProblem({error, Execution::NotRun, std::move(detail)}));
}

auto problemJson(std::uint16_t status, const Failure &failure, const Json &extra) -> Caller::HttpResponse
{
    auto response = Caller::renderProblemAs(status, failure);
    auto body = Json::parse(response.body, nullptr, false);
    body.update(extra);
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

auto toJson(const Operator::Fault &fault) -> Json
{
    return {{"file", fault.file}, {"line", fault.line}, {"column", fault.column}, {"expected", fault.expected}, {"found", fault.found}};
}

auto startsWith(std::string_view text, std::string_view prefix) -> bool
{
    return text.substr(0, prefix.size()) == prefix;
}

/// A parsed body of `POST /v1/config`.
struct PublishRequest
{
    bool dryRun = false;
    State::ConfigChange change;
};

auto readText(const nlohmann::json &object, const char *key) -> std::string
{
    const auto it = object.find(key);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

auto parsePublish(const std::string &body, const CallerName &caller) -> std::variant<PublishRequest, Failure>
{
    const auto malformed = [](std::string detail) { return Failure{Error::MalformedInput, Execution::NotRun, std::move(detail)}; };
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("documents") || !json["documents"].is_array() || json["documents"].empty()) {
        return malformed("body: expected an object with a list \"documents\" of at least one document");
    }
    PublishRequest request;
    request.dryRun = json.contains("dry_run") && json["dry_run"].is_boolean() && json["dry_run"].get<bool>();
    const auto operatorName = readText(json, "operator");
    std::set<std::string> names;
    for (const auto &it : json["documents"]) {
        const auto name = it.is_object() ? readText(it, "name") : std::string();
        const auto hasVersion = it.is_object() && it.contains("base_version") && it["base_version"].is_number_unsigned();
        if (name.empty() || !hasVersion || !it.contains("text") || !it["text"].is_string() || !names.insert(name).second) {
            return malformed("documents: expected \"name\" (once each), \"base_version\" and \"text\" in each document");
        }
        State::DocumentChange change{name, it["base_version"].get<std::uint64_t>(), readText(it, "text"), {}};
        change.origin = {operatorName.empty() ? caller.str() : operatorName, readText(it, "origin_file"), readText(it, "origin_revision")};
        if (change.text.size() > Operator::maxDocumentBytes) {
            return Failure{Error::TooLarge, Execution::NotRun,
                           "document " + name + ": expected at most " + std::to_string(Operator::maxDocumentBytes) + " bytes"};
        }
        request.change.documents.push_back(std::move(change));
    }
    return request;
}

} // namespace

ControlGateway::ControlGateway(GatewayContext context, ControlHooks hooks, Platform::LogClient &log)
    : m_context(std::move(context))
    , m_hooks(std::move(hooks))
    , m_log(log)
{
}

auto ControlGateway::setInstance(Instance::Instance &instance) -> void
{
    m_instance = &instance;
}

auto ControlGateway::handle(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply) -> void
{
    if (handleProbe(request, reply)) {
        return;
    }
    if (!m_instance->hasConfiguration()) {
        reply.send(Caller::renderProblem(notReadyFailure(), retryAfter));
        return;
    }
    const auto token = Caller::parseBearerToken(request.headers);
    if (const auto *failure = std::get_if<Failure>(&token)) {
        reply.send(Caller::renderProblem(*failure));
        return;
    }
    const auto owner = m_context.authenticate(std::get<std::string>(token));
    if (!owner) {
        refuse(reply, Error::Unauthenticated, "the token is absent or unknown");
    } else if (request.path == "/v1/jobs") {
        handleJobs(request, reply, *owner);
    } else if (startsWith(request.path, "/v1/jobs/")) {
        handleJob(request, reply, *owner);
    } else if (startsWith(request.path, "/v1/orders/")) {
        handleIdempotencyKey(request, reply, *owner);
    } else if (!owner->isOperator) {
        refuse(reply, Error::Forbidden, "expected an operator's token or a path that callers may use");
    } else if (request.path == "/v1/config") {
        handleConfig(request, reply, *owner);
    } else {
        handleOperator(request, reply);
    }
}

auto ControlGateway::handleProbe(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply) -> bool
{
    if (request.path == "/healthz") {
        reply.send(Caller::makeResponse(200, "text/plain", "ok\n"));
    } else if (request.path == "/readyz") {
        const auto isReady = m_instance->isReady();
        reply.send(Caller::makeResponse(isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n"));
    } else if (request.path == "/metrics") {
        updateMetrics();
        reply.send(Caller::makeResponse(200, Telemetry::metricsContentType, m_context.metrics.render()));
    } else {
        return false;
    }
    return true;
}

auto ControlGateway::handleJobs(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void
{
    if (request.method == Caller::HttpMethod::Get) {
        std::vector<Caller::JobDocument> documents;
        for (const auto &[id, it] : m_instance->replica().jobs()) {
            if (owner.isOperator || it.job.spec.organisation == owner.organisation) {
                documents.push_back(toJobDocument(it));
            }
        }
        reply.send(Caller::makeResponse(200, jsonType, Caller::renderJobs(documents)));
        return;
    }
    if (request.method != Caller::HttpMethod::Post) {
        refuse(reply, Error::MalformedInput, "expected GET or POST");
        return;
    }
    auto parsed = Caller::parseJobSpec(request.body);
    if (const auto *failure = std::get_if<Failure>(&parsed)) {
        reply.send(Caller::renderProblem(*failure));
        return;
    }
    auto &spec = std::get<JobSpec>(parsed);
    spec.organisation = owner.organisation;
    spec.caller = owner.caller;
    const auto now = m_context.loop.now();
    m_instance->submitJob(beginOperation(reply), spec, now + operationTimeout, now);
}

auto ControlGateway::visibleJob(std::string_view id, const Owner &owner) const -> const State::JobState *
{
    const auto *state = m_instance->replica().job(JobId(id));
    return state && (owner.isOperator || state->job.spec.organisation == owner.organisation) ? state : nullptr;
}

auto ControlGateway::handleJob(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void
{
    auto id = std::string_view(request.path).substr(std::string_view("/v1/jobs/").size());
    constexpr std::string_view explainSuffix = "/explain";
    const auto isExplainRequest = id.size() > explainSuffix.size() && id.substr(id.size() - explainSuffix.size()) == explainSuffix;
    if (isExplainRequest) {
        id.remove_suffix(explainSuffix.size());
    }
    const auto *state = visibleJob(id, owner);
    const auto now = m_context.loop.now();
    if (!state) {
        refuse(reply, Error::UnknownJob, "the job is unknown");
    } else if (isExplainRequest && request.method == Caller::HttpMethod::Get) {
        m_instance->explainJob(beginOperation(reply), state->job.id, now + operationTimeout, now);
    } else if (request.method == Caller::HttpMethod::Get) {
        reply.send(Caller::makeResponse(200, jsonType, Caller::renderJob(toJobDocument(*state))));
    } else if (request.method == Caller::HttpMethod::Delete && !isExplainRequest) {
        m_instance->cancelJob(beginOperation(reply), state->job.id, owner.caller, now + operationTimeout, now);
    } else {
        refuse(reply, Error::MalformedInput, "expected GET or DELETE");
    }
}

auto ControlGateway::handleIdempotencyKey(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void
{
    const auto key = Caller::percentDecode(std::string_view(request.path).substr(std::string_view("/v1/orders/").size()));
    const auto *state = key ? m_instance->replica().idempotencyState({owner.organisation, *key}) : nullptr;
    if (!state) {
        refuse(reply, Error::UnknownJob, "no request with this idempotency key is known");
        return;
    }
    if (const auto failure = m_instance->describeIdempotency(*state, m_context.loop.now())) {
        reply.send(Caller::renderProblem(*failure, retryAfter));
        return;
    }
    reply.send(jsonResponse(200,
                            {{"key", state->key.key},
                             {"execution", "ran"},
                             {"status", state->httpStatus},
                             {"content_type", state->contentType},
                             {"body", state->body}}));
}

auto ControlGateway::handleConfig(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void
{
    if (request.method == Caller::HttpMethod::Get) {
        reply.send(Caller::makeResponse(200, jsonType, renderDocuments(m_instance->replica())));
    } else if (request.method == Caller::HttpMethod::Post) {
        publish(request, reply, owner);
    } else {
        refuse(reply, Error::MalformedInput, "expected GET or POST");
    }
}

auto ControlGateway::publish(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void
{
    auto parsed = parsePublish(request.body, owner.caller);
    if (const auto *failure = std::get_if<Failure>(&parsed)) {
        reply.send(Caller::renderProblem(*failure));
        return;
    }
    const auto &publishRequest = std::get<PublishRequest>(parsed);
    Operator::DocumentTexts texts;
    for (const auto &[name, it] : m_instance->replica().documents()) {
        texts[name] = it.text;
    }
    std::vector<std::string> names;
    for (const auto &it : publishRequest.change.documents) {
        texts[it.name] = it.text;
        names.push_back(it.name);
    }
    const auto build = Operator::DeploymentConfig::build(texts);
    if (!build.faults.empty()) {
        Json faults = Json::array();
        for (const auto &it : build.faults) {
            faults.push_back(toJson(it));
        }
        reply.send(problemJson(422, {Error::ConfigInvalid, Execution::NotRun, "the documents have faults"}, {{"faults", faults}}));
        return;
    }
    const auto workers = m_hooks.workers();
    std::set<ZoneName> zones;
    for (const auto &it : workers) {
        zones.insert(it.zone);
    }
    for (const auto &organisation : build.config.organisations()) {
        for (const auto &it : organisation.guarantees) {
            zones.insert(it.zone);
        }
    }
    for (const auto &zone : zones) {
        const auto check = Scheduling::checkGuarantees(workers, build.config.organisations(), zone);
        if (!check.fits) {
            reply.send(Caller::renderProblem({Error::GuaranteesDoNotFit, Execution::NotRun, check.calculation}));
            return;
        }
    }
    if (publishRequest.dryRun) {
        reply.send(jsonResponse(200, {{"version", m_instance->replica().configVersion()}, {"documents", Json::array()}}));
        return;
    }
    const auto now = m_context.loop.now();
    m_instance->publish(beginOperation(reply, std::move(names)), publishRequest.change, now + operationTimeout, now);
}

auto ControlGateway::handleOperator(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply) -> void
{
    constexpr std::string_view tracePrefix = "/v1/traces/";
    if (request.path == "/v1/status" && request.method == Caller::HttpMethod::Get) {
        reply.send(Caller::makeResponse(200, jsonType, renderStatus(m_instance->status(m_context.loop.now()))));
    } else if (request.path == "/v1/audit" && request.method == Caller::HttpMethod::Get) {
        sendAudit(reply);
    } else if (request.path == "/v1/drain" && request.method == Caller::HttpMethod::Post) {
        reply.send(jsonResponse(200, {{"draining", true}}));
        m_hooks.drain();
    } else if (startsWith(request.path, tracePrefix) && request.method == Caller::HttpMethod::Get) {
        sendTrace(std::string_view(request.path).substr(tracePrefix.size()), reply);
    } else {
        reply.send(Caller::renderProblemAs(
            404, {Error::MalformedInput, Execution::NotRun, "expected a known path and method, found " + request.path}));
    }
}

auto ControlGateway::sendAudit(const Caller::ReplyHandle &reply) -> void
{
    AuditSource::read(m_log, [reply](const AuditEvents &events) {
        if (events.failure) {
            reply.send(Caller::renderProblem(*events.failure, retryAfter));
            return;
        }
        nlohmann::json out{{"complete", events.complete}, {"events", nlohmann::json::array()}};
        for (const auto &it : events.events) {
            out["events"].push_back(Operator::auditEventToJson(it));
        }
        reply.send(Caller::makeResponse(200, jsonType, out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    });
}

auto ControlGateway::sendTrace(std::string_view id, const Caller::ReplyHandle &reply) -> void
{
    const auto trace = Telemetry::parseTraceId(id);
    if (!trace) {
        refuse(reply, Error::MalformedInput, "trace id: expected 32 lower-case hexadecimal digits");
        return;
    }
    reply.send(Caller::makeResponse(200, jsonType, Telemetry::renderTrace(*trace, m_context.traces.spansOf(*trace))));
}

auto ControlGateway::beginOperation(const Caller::ReplyHandle &reply, std::vector<std::string> documents) -> Instance::OperationId
{
    m_openOperations.emplace(++m_lastOperationId, OpenOperation{reply, std::move(documents)});
    return m_lastOperationId;
}

auto ControlGateway::finishOperation(Instance::OperationId id, const Instance::OperationResult &result) -> void
{
    const auto it = m_openOperations.find(id);
    if (it == m_openOperations.end()) {
        return;
    }
    const auto operation = std::move(it->second);
    m_openOperations.erase(it);
    if (const auto *submitted = std::get_if<Instance::JobSubmitted>(&result)) {
        const auto *state = m_instance->replica().job(submitted->job);
        const auto body = state ? Caller::renderJob(toJobDocument(*state)) : Json{{"id", submitted->job.str()}}.dump();
        operation.reply.send(Caller::makeResponse(submitted->isNew ? 201 : 200, jsonType, body));
    } else if (const auto *cancelled = std::get_if<Instance::CancelAccepted>(&result)) {
        operation.reply.send(jsonResponse(202, {{"id", cancelled->job.str()}, {"state", "cancelling"}}));
    } else if (const auto *explained = std::get_if<Instance::JobExplained>(&result)) {
        operation.reply.send(Caller::makeResponse(200, jsonType, explained->explanation));
    } else if (const auto *failed = std::get_if<Instance::OperationFailed>(&result)) {
        const auto extra = failed->job.empty() ? Json::object() : Json{{"id", failed->job.str()}};
        operation.reply.send(problemJson(Caller::httpStatus(failed->failure.error), failed->failure, extra));
    } else if (const auto *published = std::get_if<Instance::ConfigPublished>(&result)) {
        const auto &effect = published->effect;
        if (effect.conflictingDocument) {
            const auto &winner = *effect.conflictingDocument;
            const Json extra{{"winner",
                              {{"operator", winner.origin.operatorName},
                               {"origin_file", winner.origin.file},
                               {"origin_revision", winner.origin.revision},
                               {"document", winner.name},
                               {"version", winner.version}}}};
            operation.reply.send(
                problemJson(409, {Error::ConfigConflict, Execution::NotRun, "document " + winner.name + " was changed first"}, extra));
            return;
        }
        Json documents = Json::array();
        for (const auto &name : operation.documents) {
            documents.push_back({{"name", name}, {"version", m_instance->replica().documents().at(name).version}});
        }
        operation.reply.send(jsonResponse(200, {{"version", effect.version}, {"documents", documents}}));
    }
}

auto ControlGateway::updateMetrics() -> void
{
    const auto status = m_instance->status(m_context.loop.now());
    auto &metrics = m_context.metrics;
    const auto set = [&metrics](std::string_view name, std::string_view help, double value) { metrics.gauge(name, help).set(value); };
    set("acaciarail_ready", "1 when the instance serves", status.isReady ? 1 : 0);
    set("acaciarail_log_available", "1 when the platform's log answers", status.isLogAvailable ? 1 : 0);
    set("acaciarail_log_next_offset", "Offset of the next record to apply", static_cast<double>(status.nextOffset));
    set("acaciarail_config_version", "Version of the configuration in force", static_cast<double>(status.configVersion));
    set("acaciarail_log_appends", "Appends since the start", static_cast<double>(status.appends));
    set("acaciarail_log_pending_records", "Records that the log has not acknowledged", static_cast<double>(status.pendingRecords));
    set("acaciarail_requests_queued", "Requests that wait for an endpoint", static_cast<double>(status.router.queued));
    set("acaciarail_requests_in_flight", "Requests at endpoints", static_cast<double>(status.router.inFlight));
    set("acaciarail_endpoints_ejected", "Endpoints out of use after failures", static_cast<double>(status.router.endpointsEjected));
    set("acaciarail_extra_attempts", "Attempts after the first, since the start", static_cast<double>(status.router.extraAttempts));
    const auto listener = m_hooks.listenerStats();
    set("acaciarail_caller_connections", "Open connections of callers", static_cast<double>(m_hooks.callerConnections()));
    set("acaciarail_caller_buffer_bytes", "Bytes of requests that are buffered", static_cast<double>(listener.bufferedBytes));
    set("acaciarail_caller_connections_refused", "Connections above the limit since the start",
        static_cast<double>(listener.refusedConnections));
    set("acaciarail_caller_connections_replaced", "Idle connections closed in favour of new ones since the start",
        static_cast<double>(listener.evictedConnections));
    set("acaciarail_caller_connections_unread", "Connections closed because a response was not read since the start",
        static_cast<double>(listener.unreadConnections));
    set("acaciarail_caller_requests_refused", "Malformed, too large and too slow requests, and surplus connections, since the start",
        static_cast<double>(listener.refused));
    for (const auto &it : status.shards) {
        const Telemetry::Labels labels{{"zone", it.key.zone.str()}, {"shard", std::to_string(it.key.shard)}};
        metrics.gauge("acaciarail_shard_holder", "1 when this instance holds the shard", labels).set(it.isHolder ? 1 : 0);
        metrics.gauge("acaciarail_shard_running", "Attempts that run", labels).set(static_cast<double>(it.launches));
        // An instance that does not hold the shard reports zero, so that sums over all instances are correct.
        const auto summary = it.summary.value_or(Scheduling::ZoneSummary{});
        metrics.gauge("acaciarail_guarantee_shortfalls", "Guarantees that cannot be met", labels)
            .set(static_cast<double>(summary.shortfall.size()));
        metrics.gauge("acaciarail_accelerators_free", "Accelerators that are not in use", labels)
            .set(static_cast<double>(summary.free.accelerators));
    }
}

} // namespace Acaciarail::Daemon
