#pragma once

#include "service_gateway.h"

#include <acaciarail/platform/log_client.h>

#include <functional>
#include <map>
#include <string_view>

namespace Acaciarail::Daemon {

/// Callbacks from the control gateway to the daemon.
struct ControlHooks
{
    /// Starts the graceful shutdown.
    std::function<void()> drain;
    /// Returns the workers of the platform's list, against which guarantees are checked.
    std::function<std::vector<WorkerInfo>()> workers;
    /// Returns the counts of the listener.
    std::function<Caller::CallerServerStats()> listenerStats;
    /// Returns the number of open connections of callers.
    std::function<std::size_t()> callerConnections;
};

/// Handles `/v1/...` for callers and operators, the health probes and the metrics.
/// Not thread-safe; used on the loop's thread.
class ControlGateway
{
public:
    /// \pre the context's objects and \a log outlive the gateway.
    ControlGateway(GatewayContext context, ControlHooks hooks, Platform::LogClient &log);

    /// \pre called once, before the first request; \a instance outlives the gateway.
    auto setInstance(Instance::Instance &instance) -> void;

    /// Handles a request whose path does not start with `/services/`. \pre setInstance() was called.
    auto handle(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply) -> void;

    /// Called by the instance when an operation has ended; sends its result to the caller.
    auto finishOperation(Instance::OperationId id, const Instance::OperationResult &result) -> void;

private:
    using Owner = Operator::TokenOwner;

    struct OpenOperation
    {
        Caller::ReplyHandle reply;
        /// Names of the documents to publish, in the order of the request.
        std::vector<std::string> documents;
    };

    auto handleProbe(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply) -> bool;
    auto handleJobs(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void;
    auto handleJob(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void;
    auto handleIdempotencyKey(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void;
    auto handleConfig(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void;
    auto handleOperator(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply) -> void;
    auto publish(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply, const Owner &owner) -> void;
    auto sendAudit(const Caller::ReplyHandle &reply) -> void;
    auto sendTrace(std::string_view id, const Caller::ReplyHandle &reply) -> void;
    auto updateMetrics() -> void;
    auto beginOperation(const Caller::ReplyHandle &reply, std::vector<std::string> documents = {}) -> Instance::OperationId;
    [[nodiscard]] auto visibleJob(std::string_view id, const Owner &owner) const -> const State::JobState *;

    GatewayContext m_context;
    ControlHooks m_hooks;
    Platform::LogClient &m_log;
    Instance::Instance *m_instance = nullptr;
    std::map<Instance::OperationId, OpenOperation> m_openOperations;
    Instance::OperationId m_lastOperationId = 0;
};

} // namespace Acaciarail::Daemon
