#pragma once

#include "http_listener.h"
#include "ledger.h"
#include "store_server.h"
#include "tcp_proxy.h"
#include "worker_kind.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Acaciarail::Soak {

/// Stand-in for the workers over HTTP, each behind its own proxy. Workers run tasks under leases, report the ends of runs to the system,
/// and record starts and ends in the ledger. Not thread-safe.
class WorkerFleet
{
public:
    /// \pre the references outlive the fleet.
    WorkerFleet(Runtime::EventLoop &loop, Ledger &ledger, StoreServer &store, std::size_t workers, std::uint64_t seed);

    struct Run
    {
        ObservedRun observed;
        TimePoint startedAt;
        /// Work that is done.
        Duration worked{};
        /// Last checkpoint, which contains the work done at that time.
        std::string checkpoint;
        /// All members of the gang have started.
        bool gangComplete = false;
        bool stopping = false;
        TimePoint stopsAt;
    };
    struct End
    {
        std::uint64_t number = 0;
        ObservedRun observed;
        std::string outcome;
        std::string checkpoint;
    };
    struct Worker
    {
        std::string name;
        /// Index in workerKinds; changes only with a new incarnation.
        std::size_t kind = 0;
        std::string rack;
        std::string zone;
        WorkerSize size;
        /// Listens for one incarnation only, so that no command to the previous one is executed by the next.
        std::unique_ptr<HttpListener> listener;
        std::unique_ptr<TcpProxy> proxy;
        bool up = true;
        bool draining = false;
        /// Time at which a draining worker stops.
        TimePoint drainEnd;
        /// The worker does not renew its entry in the store.
        bool unlisted = false;
        /// When this incarnation first wrote its entry in the store, which may have that of the previous one until then.
        std::optional<TimePoint> listedAt;
        /// Reports that this incarnation has sent.
        std::size_t reports = 0;
        /// Unix time of the start in ms, increased if needed so that it grows with each restart.
        std::int64_t incarnation = 0;
        TimePoint startedAt;
        /// Highest fence token received; commands with a lower one are refused.
        std::uint64_t fenceToken = 0;
        std::chrono::milliseconds leaseExpiry{};
        std::map<std::string, Run> runs;
        std::vector<End> ends;
        std::uint64_t endCount = 0;
        /// The highest run number of each task that was stopped or has ended on this worker.
        std::map<std::string, std::uint32_t> highestRuns;
        /// Run time relative to a healthy worker; 0 for no progress.
        double slowdown = 1.0;
        bool failsAllRuns = false;
        /// Polls that wait for the end of a run, each with the time of its response at the latest.
        std::vector<std::pair<HttpCall, std::pair<TimePoint, Respond>>> pendingPolls;
    };

    /// Stops the worker without warning and restarts it as a new incarnation after \a pause.
    auto crash(std::size_t number, Duration pause) -> void;
    /// Stops the workers of \a numbers without warning. Each restarts after \a pause under its name as a new incarnation of the other kind,
    /// and writes its entry in the store \a entryDelay later. Leaves out workers that are stopped or draining, and those without which too
    /// few of their kind would be left. \pre the numbers are those of workers.
    auto restartAsOtherKind(const std::vector<std::size_t> &numbers, Duration pause, Duration entryDelay) -> void;
    /// Announces the departure of the worker and stops it after \a remaining; it restarts as a new incarnation.
    auto drain(std::size_t number, Duration remaining) -> void;
    /// Ends all faults of the workers and their proxies; workers that are stopped or draining still restart at their own time.
    auto restore() -> void;

    [[nodiscard]] auto workers() -> std::vector<Worker> &
    {
        return m_workers;
    }
    /// Evacuates a zone, or revokes its evacuation when it is evacuated. The operator's topic has no other writer, so the time of the call
    /// is when the store has the key.
    auto toggleEvacuation(const std::string &zone) -> void;
    auto revokeEvacuations() -> void;
    static constexpr std::array<const char *, 2> zones{"zone-a", "zone-b"};

    /// Probability that a command is executed seconds later and gets no response.
    double lateCommandProbability = 0;

private:
    auto handle(std::size_t number, const HttpCall &call, const Respond &respond) -> void;
    /// Each executes one command; see /api/run-start, /api/run-stop and /api/hold. poll() returns an empty optional when the caller has to
    /// wait for the end of a run.
    auto startRun(Worker &worker, const nlohmann::json &body, bool late) -> HttpReply;
    auto stopRun(Worker &worker, const nlohmann::json &body) -> HttpReply;
    auto poll(Worker &worker, const nlohmann::json &body) -> std::optional<HttpReply>;
    auto pollReply(Worker &worker) const -> HttpReply;
    auto clock(const Worker &worker) const -> std::chrono::milliseconds;
    auto endRun(Worker &worker, const std::string &task, const std::string &outcome) -> void;
    auto publishEntry(Worker &worker) -> void;
    auto stopWorker(Worker &worker) -> void;
    auto startWorker(std::size_t number, Duration entryDelay) -> void;
    auto labels(const Worker &worker) const -> std::vector<std::string>;
    /// Prints what tells how the system came to a start that broke a rule.
    auto printCircumstances(const Worker &worker, const ObservedRun &run, std::uint64_t fenceToken, bool late) const -> void;
    auto tick() -> void;
    auto advance(Worker &worker, Duration step) -> void;
    auto gangMembers(const Run &run) -> std::vector<std::pair<Worker *, std::string>>;

    Runtime::EventLoop &m_loop;
    Ledger &m_ledger;
    StoreServer &m_store;
    std::mt19937_64 m_random;
    std::vector<Worker> m_workers;
    /// Evacuated zones, and since when.
    std::map<std::string, TimePoint> m_evacuated;
    TimePoint m_lastTick;
    TimePoint m_nextPublication;
};

/// Returns the name of the machine that a worker runs on. \pre none.
[[nodiscard]] auto machineOf(const WorkerFleet::Worker &worker) -> std::string;

} // namespace Acaciarail::Soak
