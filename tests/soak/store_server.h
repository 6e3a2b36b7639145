#pragma once

#include "http_listener.h"
#include "ledger.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Acaciarail::Soak {

/// Stand-in for the platform's append-only log over HTTP. One listener for each instance identifies the writer. Not thread-safe.
class StoreServer
{
public:
    /// \pre \a loop and \a ledger outlive the server.
    StoreServer(Runtime::EventLoop &loop, Ledger &ledger, std::size_t instances, std::uint64_t seed);

    [[nodiscard]] auto address(std::size_t instance) const -> Runtime::SocketAddress;

    /// Writes the newest value of a key on behalf of the operator or a worker; an empty value removes the key. Not subject to faults.
    auto put(const std::string &topic, const std::string &key, const std::string &value) -> void;

    enum class Availability {
        Available,
        /// Neither executes calls nor responds to them.
        Unresponsive,
        /// Responds to each call with status 503 and does not execute it.
        Unavailable,
    };
    Availability availability = Availability::Available;
    /// Delay before a call is executed.
    Duration delay{};
    /// Probability that an append is executed without a response.
    double lostResponseProbability = 0;
    /// Probability that an append is executed seconds later without a response.
    double lateAppendProbability = 0;
    /// Expires the records of all topics; the newest value of each key is retained.
    auto expireRecords() -> void;

private:
    struct Topic
    {
        /// Offset of the oldest retained record.
        std::uint64_t first = 0;
        std::vector<std::pair<std::string, std::string>> records;
        /// Newest value of each key and its offset.
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        std::uint64_t epoch = 0;
        std::uint64_t nextSequence = 0;
        /// Responses to the last appends by sequence number, for retries.
        std::map<std::uint64_t, std::string> responses;

        [[nodiscard]] auto end() const -> std::uint64_t
        {
            return first + records.size();
        }
    };
    /// A read that waits for records.
    struct Waiter
    {
        std::string topic;
        std::uint64_t from = 0;
        TimePoint until;
        Respond respond;
    };

    auto handle(std::size_t instance, const HttpCall &call, const Respond &respond) -> void;
    auto append(std::size_t instance, const HttpCall &call) -> HttpReply;
    auto read(const HttpCall &call, const Respond &respond) -> void;
    auto newest(const HttpCall &call) -> HttpReply;
    auto serveWaiters() -> void;
    auto appendRecord(Topic &topic, const std::string &key, const std::string &value) -> void;
    auto withProbability(double probability) -> bool;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<HttpListener>> m_listeners;
    std::map<std::string, Topic> m_topics;
    std::list<Waiter> m_waiters;
    /// Index of the instance that wrote with an epoch, by epoch.
    std::map<std::uint64_t, std::size_t> m_epochWriters;
};

} // namespace Acaciarail::Soak
