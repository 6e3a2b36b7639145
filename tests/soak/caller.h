#pragma once

#include "ledger.h"
#include "worker_kind.h"

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace Acaciarail::Soak {

/// Host and path prefix that the operator configures for a queue.
struct QueueRoute
{
    std::string name;
    std::string host;
    std::string prefix;
};

/// Submits jobs, polls their state and cancels some of them, one request at a time. Keeps its connection until a request fails.
/// Not thread-safe.
class Caller
{
public:
    struct Hooks
    {
        /// Returns the address to connect to, as a load balancer would select it.
        std::function<Runtime::SocketAddress()> chooseAddress;
        /// Returns the API key for the next request.
        std::function<std::string()> apiKey;
        /// Called when a request that was sent with \a key at \a sentAt has succeeded.
        std::function<void(const std::string &key, TimePoint sentAt)> onSuccess;
        /// Called when a request has ended without a response; \a after is the time since it was sent.
        std::function<void(Duration after)> onNoResponse;
    };

    /// \pre the references outlive the caller.
    Caller(Runtime::EventLoop &loop, Ledger &ledger, std::vector<QueueRoute> routes, Hooks hooks, std::uint64_t seed, std::string name);
    ~Caller();
    Caller(const Caller &) = delete;
    auto operator=(const Caller &) -> Caller & = delete;

    /// Submits no further jobs. \pre none.
    auto stopSubmitting() -> void;
    /// Returns whether every job of this caller that was accepted has ended.
    [[nodiscard]] auto allJobsEnded() const -> bool;

private:
    struct Job
    {
        JobPlan plan;
        QueueRoute route;
        std::string body;
        std::uint32_t attempts = 0;
        /// The job is to be submitted (again): no attempt has succeeded yet, and attempts are left.
        bool submitting = true;
        TimePoint nextRequest;
        bool shouldCancel = false;
        TimePoint cancelAt;
        bool shouldResubmit = false;
    };
    using ResponseHandler = std::function<void(int status, const std::string &body)>;

    auto tick() -> void;
    auto addJob() -> void;
    auto submit(Job &job) -> void;
    auto cancel(Job &job) -> void;
    auto poll(Job &job) -> void;
    auto sendRequest(int method, const Job &job, const std::string &body, ResponseHandler handler) -> void;
    auto handleResponse(evhttp_request *request) -> void;
    auto reconnect() -> void;
    auto randomInteger(std::int64_t low, std::int64_t high) -> std::int64_t;
    auto withProbability(double probability) -> bool;
    auto makeSteps() -> std::vector<StepPlan>;
    auto requireLabel(StepPlan &step) -> void;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    std::vector<QueueRoute> m_routes;
    Hooks m_hooks;
    std::mt19937_64 m_random;
    /// Apart from the other draws, so that the jobs of a seed stay the same otherwise.
    std::mt19937_64 m_labelRandom;
    std::string m_name;
    std::deque<Job> m_jobs;
    std::size_t m_nextIndex = 0;
    std::uint32_t m_jobCount = 0;
    TimePoint m_nextJobTime;
    bool m_submissionsStopped = false;
    bool m_busy = false;
    /// Handler for the request in progress.
    ResponseHandler m_responseHandler;
    evhttp_connection *m_connection = nullptr;
    Runtime::SocketAddress m_address;
};

} // namespace Acaciarail::Soak
