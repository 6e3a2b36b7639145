#include "scenario.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

/// Time for all instances to become ready on a slow machine.
constexpr Duration startTimeout = 20s;
/// Time for every accepted job to end after the last fault; covers the longest lease, late commands and the run time of a job.
constexpr Duration settleTimeout = 60s;
/// Longest time for which a withdrawn key may be accepted; equals `bounds.revokeMs` in the settings of the instances.
constexpr Duration maxKeyRevocationTime = 5s;
/// A request that is sent this shortly before its connection closes may lose its response during a planned operation.
constexpr Duration shutdownRaceTolerance = 200ms;
/// A request that ends without a response after at least this time was timed out by its caller.
constexpr Duration callerTimeout = 2900ms;
constexpr const char *validKey = "key-steady";
constexpr const char *withdrawnKey = "key-withdrawn";

auto givenOrRandom(std::size_t configured, std::mt19937_64 &random, std::size_t low, std::size_t high) -> std::size_t
{
    return configured > 0 ? configured : std::uniform_int_distribution<std::size_t>(low, high)(random);
}

/// Returns the settings with sizes drawn from the seed where they are 0.
auto withSizes(ScenarioSettings settings) -> ScenarioSettings
{
    std::mt19937_64 random(settings.seed);
    settings.instances = givenOrRandom(settings.instances, random, 3, 6);
    settings.workers = givenOrRandom(settings.workers, random, 6, 16);
    return settings;
}

} // namespace

Scenario::Scenario(const ScenarioSettings &settings)
    : m_settings(withSizes(settings))
    , m_random(settings.seed)
    , m_evacuationRandom(settings.seed)
    , m_restartRandom(~settings.seed)
    , m_plannedOnly(settings.seed % 5 == 0)
    , m_evacuations(settings.seed % 4 != 3)
    , m_store(m_loop, m_ledger, m_settings.instances, settings.seed)
    , m_workers(m_loop, m_ledger, m_store, m_settings.workers, settings.seed)
    , m_machines(m_loop, m_workers, settings.seed)
    , m_instances(m_loop, m_ledger, m_store, m_settings.instances, settings.directory, m_evacuations, m_machines.address())
    , m_routes{{"urgent", "urgent.example", "/u/"}, {"normal", "normal.example", "/n/"}, {"background", "normal.example", "/n/back/"}}
    , m_faults(makeFaults())
{
    publishConfiguration();
}

auto Scenario::now() const -> TimePoint
{
    return m_loop.now();
}

auto Scenario::schedule(Duration delay, std::function<void()> task) -> void
{
    m_loop.callAfter(delay, std::move(task));
}

auto Scenario::randomInteger(std::int64_t low, std::int64_t high) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

auto Scenario::randomDuration(std::int64_t lowMs, std::int64_t highMs) -> Duration
{
    return std::chrono::milliseconds(randomInteger(lowMs, highMs));
}

auto Scenario::randomInstance() -> std::size_t
{
    return static_cast<std::size_t>(randomInteger(0, static_cast<std::int64_t>(m_instances.count()) - 1));
}

auto Scenario::randomWorker() -> std::size_t
{
    return static_cast<std::size_t>(randomInteger(0, static_cast<std::int64_t>(m_workers.workers().size()) - 1));
}

auto Scenario::publishConfiguration() -> void
{
    json routes = json::array();
    std::uint32_t priority = 0;
    for (const auto &it : m_routes) {
        routes.push_back({{"name", it.name},
                          {"host", it.host},
                          {"pathPrefix", it.prefix},
                          {"service", "service"},
                          {"priority", priority++},
                          {"maxAttempts", Ledger::maxAttempts},
                          {"stretch", 3.0},
                          {"targetLatencyMs", 1000}});
    }
    json keys{validKey};
    if (!m_keyWithdrawnAt) {
        keys.push_back(withdrawnKey);
    }
    const json tenants{{{"name", "org"}, {"apiKeys", keys}, {"guaranteed", {{"gpus", 8}}}}};
    m_configurationVersion += static_cast<std::uint64_t>(randomInteger(1, 9));
    m_store.put("keyed.op", "config",
                json{{"version", m_configurationVersion}, {"routes", routes}, {"services", json::array()}, {"tenants", tenants}}.dump());
}

auto Scenario::addInstanceFaults(std::vector<Fault> &out) -> void
{
    out.push_back({"kill", false, [this] { m_instances.kill(randomInstance(), randomDuration(200, 2500)); }});
    out.push_back({"kill-all", false, [this] {
                       for (std::size_t i = 0; i < m_instances.count(); ++i) {
                           m_instances.kill(i, randomDuration(200, 2000));
                       }
                   }});
    out.push_back({"suspend", false, [this] { m_instances.suspend(randomInstance(), randomDuration(300, 4000)); }});
    out.push_back({"terminate", true, [this] { m_instances.terminate(randomInstance()); }});
    out.push_back({"reload", true, [this] { m_instances.reload(randomInstance()); }});
    out.push_back({"configure", true, [this] { publishConfiguration(); }});
    out.push_back({"withdraw-key", true, [this] {
                       m_keyWithdrawnAt = m_keyWithdrawnAt.value_or(now());
                       publishConfiguration();
                   }});
}

auto Scenario::addStoreFaults(std::vector<Fault> &out) -> void
{
    const auto injectFor = [this](Duration span, const std::function<void()> &begin, std::function<void()> end) {
        begin();
        schedule(span, std::move(end));
    };
    const auto makeAvailable = [this] { m_store.availability = StoreServer::Availability::Available; };
    out.push_back({"store-silent", false, [this, injectFor, makeAvailable] {
                       injectFor(
                           randomDuration(500, 5000), [this] { m_store.availability = StoreServer::Availability::Unresponsive; },
                           makeAvailable);
                   }});
    out.push_back({"store-busy", false, [this, injectFor, makeAvailable] {
                       injectFor(
                           randomDuration(500, 5000), [this] { m_store.availability = StoreServer::Availability::Unavailable; },
                           makeAvailable);
                   }});
    out.push_back({"store-slow", false, [this, injectFor] {
                       injectFor(
                           randomDuration(1000, 4000), [this] { m_store.delay = randomDuration(50, 300); }, [this] { m_store.delay = {}; });
                   }});
    out.push_back({"store-loses-answers", false, [this, injectFor] {
                       injectFor(
                           randomDuration(1000, 5000), [this] { m_store.lostResponseProbability = 0.35; },
                           [this] { m_store.lostResponseProbability = 0; });
                   }});
    out.push_back({"store-late", false, [this, injectFor] {
                       injectFor(
                           randomDuration(1000, 5000), [this] { m_store.lateAppendProbability = 0.25; },
                           [this] { m_store.lateAppendProbability = 0; });
                   }});
    out.push_back({"store-forgets", false, [this] { m_store.expireRecords(); }});
}

auto Scenario::addConnectionFaults(std::vector<Fault> &out) -> void
{
    // Selects one of the proxies in front of the store, the workers and the instances.
    const auto proxy = [this]() -> TcpProxy & {
        switch (randomInteger(0, 2)) {
        case 0:
            return m_instances.storeProxy(randomInstance());
        case 1:
            return *m_workers.workers()[randomWorker()].proxy;
        default:
            return m_instances.callerProxy(randomInstance());
        }
    };
    out.push_back({"cut", false, [this, proxy] {
                       auto &it = proxy();
                       it.setPartition(static_cast<TcpProxy::Partition>(randomInteger(1, 3)));
                       schedule(randomDuration(500, 6000), [&it] { it.setPartition(TcpProxy::Partition::None); });
                   }});
    out.push_back({"delay", false, [this, proxy] {
                       auto &it = proxy();
                       it.setDelay(randomDuration(20, 400));
                       schedule(randomDuration(1000, 4000), [&it] { it.setDelay({}); });
                   }});
    out.push_back({"silence-open", false, [proxy] { proxy().blackholeConnections(); }});
    out.push_back({"reset-open", false, [proxy] { proxy().resetConnections(); }});
    out.push_back({"silence-all", false, [this] {
                       for (std::size_t i = 0; i < m_instances.count(); ++i) {
                           m_instances.storeProxy(i).blackholeConnections();
                       }
                       for (auto &it : m_workers.workers()) {
                           it.proxy->blackholeConnections();
                       }
                   }});
}

auto Scenario::addWorkerFaults(std::vector<Fault> &out) -> void
{
    out.push_back({"worker-crash", false, [this] { m_workers.crash(randomWorker(), randomDuration(100, 3000)); }});
    out.push_back({"worker-drain", false, [this] { m_workers.drain(randomWorker(), randomDuration(2500, 5000)); }});
    out.push_back({"worker-slow", false, [this] {
                       auto &it = m_workers.workers()[randomWorker()];
                       it.slowdown = static_cast<double>(randomInteger(0, 6));
                       schedule(randomDuration(1000, 6000), [&it] { it.slowdown = 1.0; });
                   }});
    out.push_back({"worker-fails", false, [this] {
                       auto &it = m_workers.workers()[randomWorker()];
                       it.failsAllRuns = true;
                       schedule(randomDuration(1000, 5000), [&it] { it.failsAllRuns = false; });
                   }});
    out.push_back({"late-orders", false, [this] {
                       m_workers.lateCommandProbability = 0.1;
                       schedule(randomDuration(1000, 5000), [this] { m_workers.lateCommandProbability = 0; });
                   }});
    out.push_back({"worker-unlisted", false, [this] {
                       auto &it = m_workers.workers()[randomWorker()];
                       it.unlisted = true;
                       m_store.put("keyed.servers", it.name, {});
                       schedule(randomDuration(500, 6000), [&it] { it.unlisted = false; });
                   }});
    out.push_back({"foreign-entry", false, [this] { m_store.put("keyed.servers", "foreign", std::string("\x80\xff{", 3)); }});
}

auto Scenario::makeFaults() -> std::vector<Fault>
{
    std::vector<Fault> out;
    addInstanceFaults(out);
    addStoreFaults(out);
    addConnectionFaults(out);
    addWorkerFaults(out);
    if (m_plannedOnly) {
        std::erase_if(out, [](const Fault &it) { return !it.planned; });
    }
    return out;
}

auto Scenario::injectNextFault() -> void
{
    if (!m_injectingFaults) {
        return;
    }
    // Two faults at once are as likely as none.
    const auto n = randomInteger(0, 2);
    for (std::int64_t i = 0; i < n; ++i) {
        const auto &it = m_faults[static_cast<std::size_t>(randomInteger(0, static_cast<std::int64_t>(m_faults.size()) - 1))];
        std::cout << "disruption " << it.name << " at_ms=" << unixNow().count() << '\n';
        m_injectedFaultNames += std::string(m_injectedFaultNames.empty() ? "" : ",") + it.name;
        it.inject();
    }
    schedule(randomDuration(100, 1500), [this] { injectNextFault(); });
}

auto Scenario::toggleNextEvacuation() -> void
{
    if (!m_injectingFaults) {
        return;
    }
    const auto *zone = WorkerFleet::zones.at(m_evacuationRandom() % WorkerFleet::zones.size());
    std::cout << "evacuation or revocation of " << zone << " at_ms=" << unixNow().count() << '\n';
    m_workers.toggleEvacuation(zone);
    // Both shorter and longer than the time after which nothing may start in the zone.
    schedule(std::chrono::milliseconds(std::uniform_int_distribution<int>(500, 7000)(m_evacuationRandom)),
             [this] { toggleNextEvacuation(); });
}

auto Scenario::restartNextWorkers() -> void
{
    if (!m_injectingFaults) {
        return;
    }
    const auto random = [this](int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_restartRandom); };
    const auto &workers = m_workers.workers();
    std::vector<std::size_t> numbers{static_cast<std::size_t>(random(0, static_cast<int>(workers.size()) - 1))};
    if (random(0, 2) == 0) {
        const auto rack = workers[numbers.front()].rack;
        numbers.clear();
        for (std::size_t i = 0; i < workers.size(); ++i) {
            if (workers[i].rack == rack) {
                numbers.push_back(i);
            }
        }
    }
    // From a process that another one replaces at once to a machine that boots.
    constexpr std::array<std::pair<int, int>, 3> pausesMs{{{2, 30}, {30, 500}, {500, 3000}}};
    const auto [shortest, longest] = pausesMs.at(m_restartRandom() % pausesMs.size());
    const std::chrono::milliseconds pause(random(shortest, longest));
    const std::chrono::milliseconds entryDelay(random(0, 1) == 0 ? 0 : random(1, 1000));
    std::cout << "restart of " << numbers.size() << " workers, first " << workers[numbers.front()].name << " pause_ms=" << pause.count()
              << " at_ms=" << unixNow().count() << '\n';
    m_workers.restartAsOtherKind(numbers, pause, entryDelay);
    schedule(std::chrono::milliseconds(random(100, 1500)), [this] { restartNextWorkers(); });
}

auto Scenario::restore() -> void
{
    m_injectingFaults = false;
    m_store.availability = StoreServer::Availability::Available;
    m_store.delay = {};
    m_store.lostResponseProbability = 0;
    m_store.lateAppendProbability = 0;
    m_workers.restore();
    m_workers.revokeEvacuations();
    m_instances.restore();
}

auto Scenario::addCallers(std::size_t count) -> void
{
    for (std::size_t i = 0; i < count; ++i) {
        Caller::Hooks hooks;
        hooks.chooseAddress = [this] {
            std::vector<std::size_t> ready;
            for (std::size_t n = 0; n < m_instances.count(); ++n) {
                if (m_instances.isReady(n)) {
                    ready.push_back(n);
                }
            }
            const auto chosen = ready.empty()
                ? randomInstance()
                : ready[static_cast<std::size_t>(randomInteger(0, static_cast<std::int64_t>(ready.size()) - 1))];
            return m_instances.callerProxy(chosen).address();
        };
        // The first caller keeps using the key that a fault withdraws, until fault injection ends.
        hooks.apiKey = [this, i] { return i == 0 && m_injectingFaults ? withdrawnKey : validKey; };
        hooks.onSuccess = [this](const std::string &key, TimePoint sentAt) {
            if (key == withdrawnKey && m_keyWithdrawnAt && sentAt > *m_keyWithdrawnAt + maxKeyRevocationTime) {
                m_ledger.addViolation("a request with a withdrawn key was served");
            }
        };
        hooks.onNoResponse = [this](Duration after) {
            if (m_plannedOnly && after > shutdownRaceTolerance && after < callerTimeout) {
                m_ledger.addViolation("planned work cut a request off after " + std::to_string(toMilliseconds(after).count()) + " ms");
            }
        };
        m_callers.push_back(
            std::make_unique<Caller>(m_loop, m_ledger, m_routes, std::move(hooks), m_random(), "caller-" + std::to_string(i)));
    }
}

auto Scenario::run() -> std::vector<std::string>
{
    const auto allReady = [this] {
        for (std::size_t i = 0; i < m_instances.count(); ++i) {
            if (!m_instances.isReady(i)) {
                return false;
            }
        }
        return true;
    };
    if (!m_loop.runUntil(allReady, startTimeout)) {
        m_ledger.addViolation("the instances did not become ready");
        return m_ledger.violations();
    }
    m_injectingFaults = true;
    addCallers(4);
    schedule(randomDuration(500, 1500), [this] { injectNextFault(); });
    if (m_evacuations) {
        schedule(1s, [this] { toggleNextEvacuation(); });
    }
    if (!m_plannedOnly) {
        schedule(1s, [this] { restartNextWorkers(); });
    }
    (void)m_loop.runUntil([] { return false; }, m_settings.traffic);
    restore();
    for (const auto &it : m_callers) {
        it->stopSubmitting();
    }
    const auto settled = [this] {
        return m_ledger.runsInProgress() == 0
            && std::all_of(m_callers.begin(), m_callers.end(), [](const auto &it) { return it->allJobsEnded(); });
    };
    (void)m_loop.runUntil(settled, settleTimeout);
    m_ledger.checkAtEnd();
    if (!m_instances.stopAll()) {
        m_ledger.addViolation("not all instances ended after SIGTERM");
    }
    return m_ledger.violations();
}

auto Scenario::summary() const -> std::string
{
    return "instances=" + std::to_string(m_settings.instances) + " workers=" + std::to_string(m_settings.workers) + ' ' + m_ledger.summary()
        + " machine_pages=" + std::to_string(m_machines.pagesServed()) + " disruptions=" + m_injectedFaultNames;
}

} // namespace Acaciarail::Soak
