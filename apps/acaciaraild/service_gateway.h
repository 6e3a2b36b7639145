#pragma once

#include <acaciarail/caller/caller_server.h>
#include <acaciarail/caller/request_parser.h>
#include <acaciarail/endpoint/endpoint_client.h>
#include <acaciarail/instance/instance.h>
#include <acaciarail/operator/document.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/telemetry/metrics.h>
#include <acaciarail/telemetry/span.h>
#include <acaciarail/telemetry/trace_buffer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Acaciarail::Daemon {

struct ServiceGatewaySettings
{
    std::uint64_t incarnation = 0;
    Duration defaultDeadline = 30s;
    Duration maxDeadline = 60s;
    Duration progressTimeout = 2s;
};

/// Objects that the gateways share.
struct GatewayContext
{
    Runtime::EventLoop &loop;
    Telemetry::MetricsRegistry &metrics;
    Telemetry::TraceBuffer &traces;
    Telemetry::IdGenerator &ids;
    /// Returns the owner of a token; empty when the token is unknown or absent.
    std::function<std::optional<Operator::TokenOwner>(std::string_view token)> authenticate;
};

/// Returns the refusal of an instance that has not read the configuration yet. \pre none. Thread-safe.
[[nodiscard]] auto notReadyFailure() -> Failure;

/// Holds the callers' requests to services while the instance routes them, and passes attempts to the endpoint client.
/// Not thread-safe; used on the loop's thread.
class ServiceGateway
{
public:
    /// \pre the context's objects and \a client outlive the gateway.
    ServiceGateway(ServiceGatewaySettings settings, GatewayContext context, Endpoint::EndpointClient &client);

    /// \pre called once, before the first request; \a instance outlives the gateway.
    auto setInstance(Instance::Instance &instance) -> void;

    /// Handles a request to `/services/...`. \pre setInstance() was called.
    auto handle(Caller::HttpRequest request, Caller::ReplyHandle reply) -> void;
    /// Called when the caller of a request has disconnected. \pre none.
    auto callerDisconnected(RequestId id) -> void;
    /// Called when an attempt has ended. \pre none.
    auto attemptEnded(const Endpoint::AttemptOutcome &outcome) -> void;

    /// Called by the instance.
    auto sendAttempt(const Scheduling::SendAttempt &command) -> void;
    auto cancelAttempt(const Scheduling::CancelAttempt &command) -> void;
    auto refuse(RequestId id, const Failure &failure) -> void;
    auto deliver(RequestId id, std::uint32_t attempt) -> Instance::StoredResponse;
    auto replay(RequestId id, const Instance::StoredResponse &response) -> void;

private:
    struct OpenAttempt
    {
        Telemetry::SpanId span;
        TimePoint start;
        EndpointName endpoint;
    };

    struct OpenRequest
    {
        Caller::ReplyHandle reply;
        Caller::ServiceRequest request;
        std::string method;
        std::vector<Endpoint::HeaderField> headers;
        std::string body;
        OrganisationName organisation;
        Telemetry::TraceContext trace;
        Telemetry::SpanId span;
        TimePoint start;
        TimePoint deadline;
        std::map<std::uint32_t, OpenAttempt> attempts;
        std::map<std::uint32_t, Endpoint::AttemptResponse> responses;
    };

    auto start(RequestId id, OpenRequest request, const Operator::TokenOwner &owner) -> void;
    auto finish(RequestId id, Caller::HttpResponse response, Telemetry::SpanStatus status, std::string_view result) -> void;

    ServiceGatewaySettings m_settings;
    GatewayContext m_context;
    Endpoint::EndpointClient &m_client;
    Instance::Instance *m_instance = nullptr;
    std::map<RequestId, OpenRequest> m_openRequests;
};

} // namespace Acaciarail::Daemon
