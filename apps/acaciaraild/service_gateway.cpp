#include "service_gateway.h"

#include <acaciarail/caller/problem.h>

#include <xxhash.h>

#include <algorithm>

namespace Acaciarail::Daemon {

namespace {

constexpr Duration retryAfter = 500ms;

auto fingerprint(const std::string &method, const Caller::ServiceRequest &request, const std::string &body) -> std::uint64_t
{
    const auto head = method + ' ' + request.service.str() + ' ' + request.target + '\n';
    return XXH64(body.data(), body.size(), XXH64(head.data(), head.size(), 0));
}

auto toAttemptResult(const Endpoint::AttemptOutcome &outcome) -> Scheduling::AttemptResult
{
    Scheduling::AttemptResult result;
    result.latency = outcome.latency;
    if (const auto *response = std::get_if<Endpoint::AttemptResponse>(&outcome.result)) {
        result.httpStatus = response->status;
        const auto notRunKind = response->leaving ? Scheduling::AttemptResultKind::Leaving : Scheduling::AttemptResultKind::Busy;
        result.kind = response->notRun ? notRunKind : Scheduling::AttemptResultKind::Answered;
        return result;
    }
    const auto &failure = std::get<Endpoint::AttemptFailure>(outcome.result);
    const auto isTimeout = failure.unresponsive || failure.failure.error == Error::Timeout;
    result.kind = !failure.mayHaveBeenSent ? Scheduling::AttemptResultKind::ConnectFailed
        : isTimeout                        ? Scheduling::AttemptResultKind::TimedOut
                                           : Scheduling::AttemptResultKind::Failed;
    return result;
}

} // namespace

auto notReadyFailure() -> Failure
{
    return {Error::LogUnavailable, Execution::NotRun, "this instance has not caught up with the log yet"};
}

ServiceGateway::ServiceGateway(ServiceGatewaySettings settings, GatewayContext context, Endpoint::EndpointClient &client)
    : m_settings(settings)
    , m_context(std::move(context))
    , m_client(client)
{
}

auto ServiceGateway::setInstance(Instance::Instance &instance) -> void
{
    m_instance = &instance;
}

auto ServiceGateway::handle(Caller::HttpRequest request, Caller::ReplyHandle reply) -> void
{
    if (!m_instance->hasConfiguration()) {
        reply.send(Caller::renderProblem(notReadyFailure(), retryAfter));
        return;
    }
    auto parsed = Caller::parseServiceRequest(request);
    if (const auto *failure = std::get_if<Failure>(&parsed)) {
        reply.send(Caller::renderProblem(*failure));
        return;
    }
    OpenRequest open;
    open.request = std::move(std::get<Caller::ServiceRequest>(parsed));
    const auto owner = m_context.authenticate(open.request.token);
    if (!owner) {
        reply.send(Caller::renderProblem({Error::Unauthenticated, Execution::NotRun, "the token is absent or unknown"}));
        return;
    }
    open.reply = std::move(reply);
    open.method = Caller::httpMethodName(request.method);
    open.body = std::move(request.body);
    open.organisation = owner->organisation;
    for (auto &it : request.headers) {
        // The caller's token is for this system only and must not reach the endpoint.
        if (it.name != "Authorization" && it.name != "authorization") {
            open.headers.push_back({std::move(it.name), std::move(it.value)});
        }
    }
    start(request.id, std::move(open), *owner);
}

auto ServiceGateway::start(RequestId id, OpenRequest open, const Operator::TokenOwner &owner) -> void
{
    const auto now = m_context.loop.now();
    open.start = now;
    open.deadline = now + std::min(open.request.deadline.value_or(m_settings.defaultDeadline), m_settings.maxDeadline);
    open.trace =
        Telemetry::parseTraceparent(open.request.traceparent).value_or(Telemetry::TraceContext{m_context.ids.nextTraceId(), {}, true});
    open.span = m_context.ids.nextSpanId();

    Instance::NonIdempotentRequest keyedRequest;
    keyedRequest.request = {id,
                            open.request.service,
                            owner.organisation,
                            owner.caller,
                            open.request.priority,
                            open.deadline,
                            open.request.idempotent,
                            open.body.size()};
    keyedRequest.fingerprint = fingerprint(open.method, open.request, open.body);
    const auto generatedKey = "auto-" + std::to_string(m_settings.incarnation) + "-" + std::to_string(id);
    keyedRequest.key = {owner.organisation, open.request.idempotencyKey.empty() ? generatedKey : open.request.idempotencyKey};
    const auto isIdempotent = open.request.idempotent;
    m_openRequests.insert_or_assign(id, std::move(open));
    if (isIdempotent) {
        m_instance->submitRequest(keyedRequest.request, now);
    } else {
        m_instance->submitNonIdempotentRequest(keyedRequest, now);
    }
}

auto ServiceGateway::callerDisconnected(RequestId id) -> void
{
    const auto it = m_openRequests.find(id);
    if (it == m_openRequests.end()) {
        return;
    }
    m_context.metrics.counter("acaciarail_caller_disconnects_total", "Callers that went away before their answer").add();
    // A non-idempotent request runs to completion, so that a retry with its key gets the response.
    if (it->second.request.idempotent) {
        m_openRequests.erase(it);
        m_instance->cancelRequest(id, m_context.loop.now());
    }
}

auto ServiceGateway::sendAttempt(const Scheduling::SendAttempt &command) -> void
{
    const auto it = m_openRequests.find(command.request);
    if (it == m_openRequests.end()) {
        return;
    }
    auto &open = it->second;
    const OpenAttempt openAttempt{m_context.ids.nextSpanId(), m_context.loop.now(), command.endpoint};
    open.attempts.emplace(command.attempt, openAttempt);
    Endpoint::Attempt attempt;
    attempt.id = {command.request, command.attempt};
    attempt.address = command.address;
    attempt.method = open.method;
    attempt.target = open.request.target;
    attempt.headers = open.headers;
    attempt.body = open.body;
    attempt.timeout = command.timeout;
    // On a reused connection, a lost response cannot be distinguished from a request that the endpoint never read.
    attempt.freshConnection = !open.request.idempotent;
    attempt.progressTimeout = std::min(command.timeout, m_settings.progressTimeout);
    attempt.traceparent = Telemetry::formatTraceparent({open.trace.trace, openAttempt.span, open.trace.sampled});
    m_client.send(std::move(attempt));
}

auto ServiceGateway::cancelAttempt(const Scheduling::CancelAttempt &command) -> void
{
    m_client.cancel({command.request, command.attempt});
}

auto ServiceGateway::attemptEnded(const Endpoint::AttemptOutcome &outcome) -> void
{
    const auto result = toAttemptResult(outcome);
    const auto now = m_context.loop.now();
    const auto it = m_openRequests.find(outcome.id.request);
    if (it != m_openRequests.end()) {
        auto &open = it->second;
        if (const auto attempt = open.attempts.find(outcome.id.attempt); attempt != open.attempts.end()) {
            const auto isAnswered = result.kind == Scheduling::AttemptResultKind::Answered;
            m_context.traces.add({open.trace.trace,
                                  attempt->second.span,
                                  open.span,
                                  "attempt",
                                  attempt->second.start,
                                  now,
                                  isAnswered ? Telemetry::SpanStatus::Ok : Telemetry::SpanStatus::Failed,
                                  isAnswered ? std::error_code{} : make_error_code(Error::EndpointFailed),
                                  {{"endpoint", attempt->second.endpoint.str()}, {"result", std::string(attemptResultName(result.kind))}}});
        }
        if (const auto *response = std::get_if<Endpoint::AttemptResponse>(&outcome.result)) {
            open.responses.insert_or_assign(outcome.id.attempt, *response);
        }
    }
    m_context.metrics
        .counter("acaciarail_attempts_total", "Attempts at endpoints by result", {{"result", std::string(attemptResultName(result.kind))}})
        .add();
    m_instance->attemptEnded(outcome.id.request, outcome.id.attempt, result, now);
}

auto ServiceGateway::refuse(RequestId id, const Failure &failure) -> void
{
    const auto isRetryable = failure.error != Error::KeyReused && failure.error != Error::OutcomeUnknown;
    finish(id, Caller::renderProblem(failure, isRetryable ? std::optional(retryAfter) : std::nullopt), Telemetry::SpanStatus::Failed,
           errorName(failure.error));
}

auto ServiceGateway::deliver(RequestId id, std::uint32_t attempt) -> Instance::StoredResponse
{
    const auto it = m_openRequests.find(id);
    if (it == m_openRequests.end() || !it->second.responses.contains(attempt)) {
        return {};
    }
    auto response = std::move(it->second.responses.at(attempt));
    Instance::StoredResponse stored{response.status, std::string(response.header("Content-Type")), response.body};
    Caller::HttpResponse out;
    out.status = response.status;
    out.body = std::move(response.body);
    for (auto &header : response.headers) {
        out.headers.push_back({std::move(header.name), std::move(header.value)});
    }
    finish(id, std::move(out), Telemetry::SpanStatus::Ok, "delivered");
    return stored;
}

auto ServiceGateway::replay(RequestId id, const Instance::StoredResponse &response) -> void
{
    auto out = Caller::makeResponse(static_cast<std::uint16_t>(response.httpStatus), response.contentType, response.body);
    out.headers.push_back({"Acaciarail-Replayed", "true"});
    finish(id, std::move(out), Telemetry::SpanStatus::Ok, "replayed");
}

auto ServiceGateway::finish(RequestId id, Caller::HttpResponse response, Telemetry::SpanStatus status, std::string_view result) -> void
{
    const auto it = m_openRequests.find(id);
    if (it == m_openRequests.end()) {
        return;
    }
    const auto now = m_context.loop.now();
    const auto &open = it->second;
    const std::string priority(priorityName(open.request.priority));
    m_context.metrics.counter("acaciarail_requests_total", "Requests by result", {{"result", std::string(result)}, {"priority", priority}})
        .add();
    m_context.metrics.histogram("acaciarail_request_seconds", "Time from arrival to answer", {{"priority", priority}})
        .record(now - open.start);
    m_context.traces.add(
        {open.trace.trace,
         open.span,
         open.trace.parent,
         "request",
         open.start,
         now,
         status,
         status == Telemetry::SpanStatus::Ok ? std::error_code{} : make_error_code(Error::EndpointFailed),
         {{"service", open.request.service.str()}, {"organisation", open.organisation.str()}, {"result", std::string(result)}}});
    response.headers.push_back({"traceparent", Telemetry::formatTraceparent({open.trace.trace, open.span, open.trace.sampled})});
    open.reply.send(std::move(response));
    m_openRequests.erase(it);
}

} // namespace Acaciarail::Daemon
