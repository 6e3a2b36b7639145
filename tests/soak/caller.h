#pragma once

#include "ledger.h"

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

/// The route of a queue, as the operator configures it.
struct QueueRoute
{
    std::string name;
    std::string host;
    std::string prefix;
};

/// Submits jobs, asks about them and cancels some, one request after the other on one connection that it keeps for as long as it works.
/// Not thread-safe.
class Caller
{
public:
    struct Hooks
    {
        /// Returns an address to connect to; the balancer's choice.
        std::function<Runtime::SocketAddress()> choose;
        /// Returns the key to use.
        std::function<std::string()> key;
        /// A request that was sent at the given time with this key was answered with success.
        std::function<void(const std::string &key, TimePoint sentAt)> served;
        /// A request ended without an answer after this time.
        std::function<void(Duration after)> cut;
    };

    /// \pre the references outlive the caller.
    Caller(Runtime::EventLoop &loop, Ledger &ledger, std::vector<QueueRoute> routes, Hooks hooks, std::uint64_t seed, std::string name);
    ~Caller();
    Caller(const Caller &) = delete;
    auto operator=(const Caller &) -> Caller & = delete;

    /// Submits nothing new from now on. \pre none.
    auto settle() -> void;
    /// Returns whether every job that was accepted here has ended.
    [[nodiscard]] auto isSettled() const -> bool;

private:
    struct Job
    {
        JobPlan plan;
        QueueRoute route;
        std::string body;
        std::uint32_t attempts = 0;
        /// The last attempt was not answered with success.
        bool submitting = true;
        TimePoint nextCall;
        bool cancelWanted = false;
        TimePoint cancelAt;
        bool repeatWanted = false;
    };
    using Done = std::function<void(int status, const std::string &body)>;

    auto tick() -> void;
    auto addJob() -> void;
    auto submit(Job &job) -> void;
    auto cancel(Job &job) -> void;
    auto ask(Job &job) -> void;
    auto call(int method, const Job &job, const std::string &body, Done done) -> void;
    auto complete(evhttp_request *request) -> void;
    auto reconnect() -> void;
    auto pick(std::int64_t low, std::int64_t high) -> std::int64_t;
    auto chance(double share) -> bool;
    auto makeSteps() -> std::vector<StepPlan>;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    std::vector<QueueRoute> m_routes;
    Hooks m_hooks;
    std::mt19937_64 m_random;
    std::string m_name;
    std::deque<Job> m_jobs;
    std::size_t m_next = 0;
    std::uint32_t m_count = 0;
    TimePoint m_nextJob;
    bool m_settling = false;
    bool m_busy = false;
    /// Ends the request in progress.
    Done m_done;
    evhttp_connection *m_connection = nullptr;
    Runtime::SocketAddress m_address;
};

} // namespace Acaciarail::Soak
