#pragma once

#include "caller.h"
#include "instances.h"
#include "ledger.h"
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
    /// 0 lets the seed choose.
    std::size_t instances = 0;
    std::size_t workers = 0;
    std::filesystem::path directory;
};

/// One seed: a deployment, its callers and the disruptions that the seed draws. Every fifth seed draws planned work only, during which no
/// request may be cut off. Not thread-safe.
class Scenario
{
public:
    /// \pre \a settings.directory exists.
    explicit Scenario(const ScenarioSettings &settings);

    /// Plays the scenario and returns the violations. \pre called once.
    [[nodiscard]] auto play() -> std::vector<std::string>;
    [[nodiscard]] auto summary() const -> std::string;

private:
    struct Disruption
    {
        const char *name;
        bool planned;
        std::function<void()> begin;
    };

    auto makeDisruptions() -> std::vector<Disruption>;
    auto addInstanceDisruptions(std::vector<Disruption> &out) -> void;
    auto addStoreDisruptions(std::vector<Disruption> &out) -> void;
    auto addConnectionDisruptions(std::vector<Disruption> &out) -> void;
    auto addWorkerDisruptions(std::vector<Disruption> &out) -> void;
    auto disruptNext() -> void;
    auto heal() -> void;
    auto publish() -> void;
    auto addCallers(std::size_t count) -> void;
    auto pick(std::int64_t low, std::int64_t high) -> std::int64_t;
    auto length(std::int64_t lowMs, std::int64_t highMs) -> Duration;
    auto anInstance() -> std::size_t;
    auto aWorker() -> std::size_t;
    auto later(Duration delay, std::function<void()> task) -> void;
    auto now() const -> TimePoint;

    ScenarioSettings m_settings;
    std::mt19937_64 m_random;
    bool m_plannedOnly = false;
    Runtime::EventLoop m_loop;
    Ledger m_ledger;
    StoreServer m_store;
    WorkerFleet m_workers;
    Instances m_instances;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<QueueRoute> m_routes;
    std::vector<Disruption> m_disruptions;
    std::string m_drawn;
    bool m_disrupting = false;
    std::uint64_t m_version = 0;
    std::optional<TimePoint> m_keyWithdrawn;
};

} // namespace Acaciarail::Soak
