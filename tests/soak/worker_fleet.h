#pragma once

#include "http_listener.h"
#include "ledger.h"
#include "store_server.h"
#include "tcp_proxy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Acaciarail::Soak {

struct WorkerSize
{
    std::int64_t milliCores = 32'000;
    std::int64_t memoryMiB = 65'536;
    std::int64_t accelerators = 8;
};

/// Workers over HTTP, each behind a proxy of its own: they run tasks under leases, report ends, and tell the ledger. Not thread-safe.
class WorkerFleet
{
public:
    /// \pre the references outlive the fleet.
    WorkerFleet(Runtime::EventLoop &loop, Ledger &ledger, StoreServer &store, std::size_t workers, std::uint64_t seed);

    struct Run
    {
        RunSeen seen;
        TimePoint began;
        /// Work that is done, and that was done at the last checkpoint.
        Duration worked{};
        std::string checkpoint;
        bool whole = false;
        bool stopping = false;
        TimePoint stopsAt;
    };
    struct End
    {
        std::uint64_t number = 0;
        RunSeen seen;
        std::string how;
        std::string checkpoint;
    };
    struct Worker
    {
        std::string name;
        std::string rack;
        WorkerSize size;
        std::unique_ptr<HttpListener> listener;
        std::unique_ptr<TcpProxy> proxy;
        bool up = true;
        bool draining = false;
        TimePoint leaves;
        /// The worker's entry is not renewed.
        bool mute = false;
        std::int64_t born = 0;
        TimePoint bornAt;
        std::uint64_t fence = 0;
        std::chrono::milliseconds leaseEnds{};
        std::map<std::string, Run> runs;
        std::vector<End> ends;
        std::uint64_t endCount = 0;
        /// The highest run of each task that was stopped or ended here.
        std::map<std::string, std::uint32_t> highest;
        /// Times as long as on a sound worker; 0 for no progress.
        double slowness = 1.0;
        bool failsAll = false;
        std::vector<std::pair<HttpCall, std::pair<TimePoint, Respond>>> waiting;
    };

    /// The worker ends, and starts again with another life after \a pause.
    auto crash(std::size_t number, Duration pause) -> void;
    /// The worker says that it leaves, and is gone after \a remaining; a new one comes in its place.
    auto drain(std::size_t number, Duration remaining) -> void;
    /// Ends all disturbances that this class causes itself.
    auto heal() -> void;

    [[nodiscard]] auto all() -> std::vector<Worker> &
    {
        return m_workers;
    }
    /// Share of orders that are not answered and carried out seconds later.
    double lateOrders = 0;

private:
    auto handle(std::size_t number, const HttpCall &call, const Respond &respond) -> void;
    auto start(Worker &worker, const nlohmann::json &body) -> HttpReply;
    auto stop(Worker &worker, const nlohmann::json &body) -> HttpReply;
    auto hold(Worker &worker, const nlohmann::json &body) -> std::optional<HttpReply>;
    auto holdReply(const Worker &worker) const -> HttpReply;
    auto clock(const Worker &worker) const -> std::chrono::milliseconds;
    auto end(Worker &worker, const std::string &task, const std::string &how) -> void;
    auto announce(Worker &worker) -> void;
    auto leave(Worker &worker) -> void;
    auto begin(Worker &worker) -> void;
    auto tick() -> void;
    auto advance(Worker &worker, Duration step) -> void;
    auto gangMembers(const Run &run) -> std::vector<std::pair<Worker *, std::string>>;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    StoreServer &m_store;
    std::mt19937_64 m_random;
    std::vector<Worker> m_workers;
    TimePoint m_lastTick;
    TimePoint m_nextAnnouncement;
};

} // namespace Acaciarail::Soak
