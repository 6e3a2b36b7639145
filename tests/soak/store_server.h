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

/// The platform's append-only log over HTTP, with one listener for each instance, so that it knows who writes. Not thread-safe.
class StoreServer
{
public:
    /// \pre \a loop and \a ledger outlive the server.
    StoreServer(Runtime::EventLoop &loop, Ledger &ledger, std::size_t instances, std::uint64_t seed);

    [[nodiscard]] auto address(std::size_t instance) const -> Runtime::SocketAddress;

    /// Writes the newest value of a key, as the operator and the workers do; an empty one removes it. Works whatever the disturbance.
    auto put(const std::string &topic, const std::string &key, const std::string &value) -> void;

    enum class Service {
        Up,
        /// Does nothing and answers nothing.
        Silent,
        /// Does nothing and says so.
        Busy,
    };
    Service service = Service::Up;
    /// Time before a call is carried out.
    Duration delay{};
    /// Share of appends that are carried out and not answered, or carried out seconds later and not answered.
    double lostAnswers = 0;
    double lateAppends = 0;
    /// Expires the records of all topics; the newest of each key stays.
    auto forget() -> void;

private:
    struct Topic
    {
        std::uint64_t first = 0;
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        std::uint64_t epoch = 0;
        std::uint64_t nextSequence = 0;
        std::map<std::uint64_t, std::string> answers;

        [[nodiscard]] auto end() const -> std::uint64_t
        {
            return first + records.size();
        }
    };
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
    auto store(Topic &topic, const std::string &key, const std::string &value) -> void;
    auto chance(double share) -> bool;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<HttpListener>> m_listeners;
    std::map<std::string, Topic> m_topics;
    std::list<Waiter> m_waiters;
    /// Instance that wrote with each epoch.
    std::map<std::uint64_t, std::size_t> m_writers;
};

} // namespace Acaciarail::Soak
