#pragma once

#include "caller.h"
#include "instances.h"
#include "ledger.h"
#include "machine_server.h"
#include "store_server.h"
#include "worker_fleet.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Acaciarail::Soak {

struct ScenarioSettings
{
    std::uint64_t seed = 1;
    Duration traffic = 12s;
    /// Number of instances and of workers; 0 derives it from the seed.
    std::size_t instances = 0;
    std::size_t workers = 0;
    std::filesystem::path directory;
};

/// Runs the scenario of one seed: a deployment, its callers, randomly selected faults, evacuations of
/// zones, and restarts of workers as another kind. Every fourth seed has no evacuations, since an instance checks a queued command to start
/// a run in another way where none are configured. Every fifth seed injects planned operations only (graceful restart, reload,
/// configuration change, key withdrawal), during which no request may lose its response. Not thread-safe.
class Scenario
{
public:
    /// \pre \a settings.directory exists.
    explicit Scenario(const ScenarioSettings &settings);

    /// Runs the scenario and returns the violations. \pre called once.
    [[nodiscard]] auto run() -> std::vector<std::string>;
    [[nodiscard]] auto summary() const -> std::string;

private:
    struct Fault
    {
        const char *name;
        /// An operation of the operator, during which no request may lose its response.
        bool planned;
        std::function<void()> inject;
    };

    auto makeFaults() -> std::vector<Fault>;
    auto addInstanceFaults(std::vector<Fault> &out) -> void;
    auto addStoreFaults(std::vector<Fault> &out) -> void;
    auto addConnectionFaults(std::vector<Fault> &out) -> void;
    auto addWorkerFaults(std::vector<Fault> &out) -> void;
    auto injectNextFault() -> void;
    auto toggleNextEvacuation() -> void;
    auto restartNextWorkers() -> void;
    auto restore() -> void;
    auto publishConfiguration() -> void;
    auto addCallers(std::size_t count) -> void;
    auto randomInteger(std::int64_t low, std::int64_t high) -> std::int64_t;
    auto randomDuration(std::int64_t lowMs, std::int64_t highMs) -> Duration;
    auto randomInstance() -> std::size_t;
    auto randomWorker() -> std::size_t;
    auto schedule(Duration delay, std::function<void()> task) -> void;
    auto now() const -> TimePoint;

    ScenarioSettings m_settings;
    std::mt19937_64 m_random;
    /// Apart from the other faults, so that those of a seed stay the same.
    std::mt19937_64 m_evacuationRandom;
    std::mt19937_64 m_restartRandom;
    bool m_plannedOnly = false;
    bool m_evacuations = true;
    Runtime::EventLoop m_loop;
    Ledger m_ledger;
    StoreServer m_store;
    WorkerFleet m_workers;
    MachineServer m_machines;
    Instances m_instances;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<QueueRoute> m_routes;
    std::vector<Fault> m_faults;
    std::string m_injectedFaultNames;
    bool m_injectingFaults = false;
    std::uint64_t m_configurationVersion = 0;
    std::optional<TimePoint> m_keyWithdrawnAt;
};

} // namespace Acaciarail::Soak
