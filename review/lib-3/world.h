#pragma once

// A small deployment for the scripts of review/11 to review/15: the programs under test as separate processes, and stand-ins for the
// platform's log, its list of machines, the workers and the callers. Everything listens on loopback addresses.

#include "http_listener.h"
#include "ledger.h"
#include "store_server.h"
#include "tcp_proxy.h"

#include <acaciarail/runtime/event_loop.h>

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Review {

using namespace Acaciarail;
using nlohmann::json;

/// What a worker has to know of the steps of a job, which a real one takes from the job's payload.
struct Step
{
    std::int64_t cpu = 1000;
    std::int64_t memMb = 1000;
    std::int64_t gpus = 1;
    std::chrono::milliseconds work{1000};
    /// Its tasks run until they are stopped.
    bool lasts = false;
};

struct Job
{
    std::string id;
    std::vector<Step> steps;
    json body;
    std::optional<TimePoint> acceptedAt;
    std::optional<TimePoint> firstStart;
    bool cancelSent = false;
    std::string state;
};

struct Response
{
    /// 0 when there was none.
    int status = 0;
    std::string body;
};

struct WorldSettings
{
    std::string caseDirectory;
    std::size_t instances = 2;
    std::size_t workers = 4;
    std::size_t racks = 2;
    json routes;
    /// The service of each worker by its position; the others are of `svc`.
    std::map<std::size_t, std::string> services;
};

class World
{
public:
    explicit World(const WorldSettings &settings);
    ~World();
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    /// Starts all instances and waits until they are ready.
    auto start() -> bool;
    auto signalInstance(std::size_t i, int signal) -> void;
    auto startInstance(std::size_t i) -> void;
    auto pid(std::size_t i) const -> pid_t
    {
        return m_instances.at(i).pid;
    }
    /// Returns whether the process of an instance has ended by itself.
    auto hasEnded(std::size_t i) -> bool;

    /// Sends a request of a caller to an instance. The limit is the caller's own.
    auto request(std::size_t instance, const std::string &method, const std::string &path, const std::string &body,
                 std::function<void(Response)> done, Duration limit = std::chrono::seconds(3)) -> void;
    /// Like request(), and runs the loop until it has an answer.
    auto call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body = {}) -> Response;
    auto addJob(const std::string &id, const json &steps, std::vector<Step> plan) -> Job &;
    auto submit(std::size_t instance, Job &job, const std::string &prefix) -> int;

    auto runFor(Duration span) -> void;
    auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;
    auto now() const -> TimePoint
    {
        return m_loop.now();
    }
    auto record(const std::string &line) -> void;

    struct Run
    {
        std::uint32_t run = 0;
        std::string checkpoint;
        TimePoint startedAt;
        std::optional<TimePoint> stopsAt;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::string checkpoint;
    };
    struct Worker
    {
        std::string name;
        std::string rack;
        std::string machine;
        std::string service = "svc";
        std::unique_ptr<Soak::HttpListener> listener;
        std::unique_ptr<Soak::TcpProxy> proxy;
        std::int64_t born = 0;
        TimePoint startedAt;
        std::uint64_t fenceToken = 0;
        std::chrono::milliseconds leaseEnd{};
        std::map<std::string, Run> runs;
        std::map<std::string, std::uint32_t> highestRuns;
        std::vector<End> ends;
        std::uint64_t endCount = 0;
        /// Answers each order to start with 503 and does nothing, as an unhealthy worker may.
        bool shedsStarts = false;
        /// It has crashed and is gone for good.
        bool gone = false;
        std::size_t starts = 0;
        std::vector<std::pair<TimePoint, Soak::Respond>> waiting;
    };
    auto workers() -> std::vector<Worker> &
    {
        return m_workers;
    }
    /// The process of the worker ends without notice and never comes back.
    auto crashForGood(Worker &worker) -> void;
    /// Ends a run as `failed`.
    auto failRun(Worker &worker, const std::string &task) -> void;
    /// Returns the worker that runs a task, or null.
    auto workerOf(const std::string &task) -> Worker *;
    auto store() -> Soak::StoreServer &
    {
        return m_store;
    }
    auto jobs() -> std::map<std::string, Job> &
    {
        return m_jobs;
    }
    auto loop() -> Runtime::EventLoop &
    {
        return m_loop;
    }
    static constexpr const char *host = "queue.example";
    static constexpr const char *key = "key-1";

private:
    struct Instance
    {
        std::string name;
        std::string ip;
        std::uint16_t front = 0;
        std::uint16_t readiness = 0;
        std::string settingsPath;
        std::string logPath;
        pid_t pid = 0;
        bool ended = false;
    };

    auto handle(Worker &worker, const Soak::HttpCall &call, const Soak::Respond &respond) -> void;
    auto startRun(Worker &worker, const json &body) -> Soak::HttpReply;
    auto stopRun(Worker &worker, const json &body) -> Soak::HttpReply;
    auto report(const Worker &worker) const -> Soak::HttpReply;
    auto publish(const Worker &worker) -> void;
    auto clock(const Worker &worker) const -> std::chrono::milliseconds;
    auto stepOf(const std::string &task) const -> const Step *;
    auto endRun(Worker &worker, const std::string &task, const std::string &how) -> void;
    auto tick() -> void;
    auto handleMachines(const Soak::HttpCall &call, const Soak::Respond &respond) -> void;

    WorldSettings m_settings;
    std::string m_directory;
    Runtime::EventLoop m_loop;
    Soak::Ledger m_ledger;
    Soak::StoreServer m_store;
    std::vector<Worker> m_workers;
    std::unique_ptr<Soak::HttpListener> m_machines;
    std::vector<Instance> m_instances;
    std::map<std::string, Job> m_jobs;
    std::ofstream m_record;
    TimePoint m_startedAt;
    TimePoint m_nextPublication;
};

/// Returns whether the disruption is to happen; `TROUBLE=0` leaves it out.
[[nodiscard]] auto withTrouble() -> bool;

} // namespace Review
