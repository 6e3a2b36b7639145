#pragma once

#include "service_gateway.h"

#include <acaciarail/platform/log_client.h>

#include <functional>
#include <map>
#include <string_view>

namespace Acaciarail::Daemon {

/// Hooks of the control gateway into the daemon.
struct ControlHooks
{
    /// Starts the graceful shutdown.
    std::function<void()> drain;
    /// Workers of the platform's list, to check guarantees against.
    std::function<std::vector<WorkerInfo>()> workers;
};

/// Answers `/v1/...` for callers and operators, and the probes.
/// Not thread-safe; used on the loop's thread.
class ControlGateway
{
public:
    /// \pre the context's objects and \a log outlive the gateway.
    ControlGateway(GatewayContext context, ControlHooks hooks, Platform::LogClient &log);

    /// \pre called once, before the first request; \a instance outlives the gateway.
    auto setInstance(Instance::Instance &instance) -> void;

    /// Takes a request whose path does not start with `/services/`. \pre setInstance() was called.
    auto handle(const Caller::HttpRequest &request, const Caller::ReplyHandle &reply) -> void;

    /// Hook of the instance: an operation ended.
    auto answer(Instance::OperationId id, const Instance::OperationResult &result) -> void;

private:
    using Owner = Operator::TokenOwner;

    struct OpenOperation
    {
        Caller::ReplyHandle reply;
        /// Names of the published documents, in the order of the request.
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
    auto open(const Caller::ReplyHandle &reply, std::vector<std::string> documents = {}) -> Instance::OperationId;
    [[nodiscard]] auto visibleJob(std::string_view id, const Owner &owner) const -> const State::JobState *;

    GatewayContext m_context;
    ControlHooks m_hooks;
    Platform::LogClient &m_log;
    Instance::Instance *m_instance = nullptr;
    std::map<Instance::OperationId, OpenOperation> m_open;
    Instance::OperationId m_lastOperation = 0;
};

} // namespace Acaciarail::Daemon
