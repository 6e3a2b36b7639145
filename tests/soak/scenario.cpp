#include "scenario.h"

#include <algorithm>
#include <iostream>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

/// Time for all instances to become ready, for a slow machine.
constexpr Duration startLimit = 20s;
/// Time for every accepted job to end once all disturbances are over; the longest lease, late orders and a job's own length.
constexpr Duration settleLimit = 60s;
/// Longest time for which a withdrawn key may work, as the settings say it.
constexpr Duration keyRevocation = 5s;
/// A request that is sent this shortly before its connection ends may be cut by planned work.
constexpr Duration lossSlack = 200ms;
/// A request without an answer after this was given up by its caller.
constexpr Duration callerPatience = 2900ms;
constexpr const char *steadyKey = "key-steady";
constexpr const char *withdrawnKey = "key-withdrawn";

auto sizeOr(std::size_t given, std::mt19937_64 &random, std::size_t low, std::size_t high) -> std::size_t
{
    return given > 0 ? given : std::uniform_int_distribution<std::size_t>(low, high)(random);
}

/// Returns the settings with the sizes that the seed chooses where none are given.
auto withSizes(ScenarioSettings settings) -> ScenarioSettings
{
    std::mt19937_64 random(settings.seed);
    settings.instances = sizeOr(settings.instances, random, 3, 6);
    settings.workers = sizeOr(settings.workers, random, 6, 16);
    return settings;
}

} // namespace

Scenario::Scenario(const ScenarioSettings &settings)
    : m_settings(withSizes(settings))
    , m_random(settings.seed)
    , m_plannedOnly(settings.seed % 5 == 0)
    , m_store(m_loop, m_ledger, m_settings.instances, settings.seed)
    , m_workers(m_loop, m_ledger, m_store, m_settings.workers, settings.seed)
    , m_instances(m_loop, m_ledger, m_store, m_settings.instances, settings.directory)
    , m_routes{{"urgent", "urgent.example", "/u/"}, {"normal", "normal.example", "/n/"}, {"background", "normal.example", "/n/back/"}}
    , m_disruptions(makeDisruptions())
{
    publish();
}

auto Scenario::now() const -> TimePoint
{
    return m_loop.now();
}

auto Scenario::later(Duration delay, std::function<void()> task) -> void
{
    m_loop.callAfter(delay, std::move(task));
}

auto Scenario::pick(std::int64_t low, std::int64_t high) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

auto Scenario::length(std::int64_t lowMs, std::int64_t highMs) -> Duration
{
    return std::chrono::milliseconds(pick(lowMs, highMs));
}

auto Scenario::anInstance() -> std::size_t
{
    return static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(m_instances.count()) - 1));
}

auto Scenario::aWorker() -> std::size_t
{
    return static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(m_workers.all().size()) - 1));
}

auto Scenario::publish() -> void
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
    json keys{steadyKey};
    if (!m_keyWithdrawn) {
        keys.push_back(withdrawnKey);
    }
    const json tenants{{{"name", "org"}, {"apiKeys", keys}, {"guaranteed", {{"gpus", 8}}}}};
    m_version += static_cast<std::uint64_t>(pick(1, 9));
    m_store.put("keyed.op", "config",
                json{{"version", m_version}, {"routes", routes}, {"services", json::array()}, {"tenants", tenants}}.dump());
}

auto Scenario::addInstanceDisruptions(std::vector<Disruption> &out) -> void
{
    out.push_back({"kill", false, [this] { m_instances.kill(anInstance(), length(200, 2500)); }});
    out.push_back({"kill-all", false, [this] {
                       for (std::size_t i = 0; i < m_instances.count(); ++i) {
                           m_instances.kill(i, length(200, 2000));
                       }
                   }});
    out.push_back({"suspend", false, [this] { m_instances.suspend(anInstance(), length(300, 4000)); }});
    out.push_back({"terminate", true, [this] { m_instances.terminate(anInstance()); }});
    out.push_back({"reload", true, [this] { m_instances.reload(anInstance()); }});
    out.push_back({"configure", true, [this] { publish(); }});
    out.push_back({"withdraw-key", true, [this] {
                       m_keyWithdrawn = m_keyWithdrawn.value_or(now());
                       publish();
                   }});
}

auto Scenario::addStoreDisruptions(std::vector<Disruption> &out) -> void
{
    const auto during = [this](Duration span, const std::function<void()> &begin, std::function<void()> end) {
        begin();
        later(span, std::move(end));
    };
    const auto restore = [this] { m_store.service = StoreServer::Service::Up; };
    out.push_back({"store-silent", false, [this, during, restore] {
                       during(
                           length(500, 5000), [this] { m_store.service = StoreServer::Service::Silent; }, restore);
                   }});
    out.push_back({"store-busy", false, [this, during, restore] {
                       during(
                           length(500, 5000), [this] { m_store.service = StoreServer::Service::Busy; }, restore);
                   }});
    out.push_back({"store-slow", false, [this, during] {
                       during(
                           length(1000, 4000), [this] { m_store.delay = length(50, 300); }, [this] { m_store.delay = {}; });
                   }});
    out.push_back({"store-loses-answers", false, [this, during] {
                       during(
                           length(1000, 5000), [this] { m_store.lostAnswers = 0.35; }, [this] { m_store.lostAnswers = 0; });
                   }});
    out.push_back({"store-late", false, [this, during] {
                       during(
                           length(1000, 5000), [this] { m_store.lateAppends = 0.25; }, [this] { m_store.lateAppends = 0; });
                   }});
    out.push_back({"store-forgets", false, [this] { m_store.forget(); }});
}

auto Scenario::addConnectionDisruptions(std::vector<Disruption> &out) -> void
{
    // A proxy is drawn among those in front of the store, the workers and the instances.
    const auto proxy = [this]() -> TcpProxy & {
        switch (pick(0, 2)) {
        case 0:
            return m_instances.storeProxy(anInstance());
        case 1:
            return *m_workers.all()[aWorker()].proxy;
        default:
            return m_instances.callerProxy(anInstance());
        }
    };
    out.push_back({"cut", false, [this, proxy] {
                       auto &it = proxy();
                       it.setCut(static_cast<TcpProxy::Cut>(pick(1, 3)));
                       later(length(500, 6000), [&it] { it.setCut(TcpProxy::Cut::None); });
                   }});
    out.push_back({"delay", false, [this, proxy] {
                       auto &it = proxy();
                       it.setDelay(length(20, 400));
                       later(length(1000, 4000), [&it] { it.setDelay({}); });
                   }});
    out.push_back({"silence-open", false, [proxy] { proxy().silenceOpen(); }});
    out.push_back({"reset-open", false, [proxy] { proxy().resetOpen(); }});
    out.push_back({"silence-all", false, [this] {
                       for (std::size_t i = 0; i < m_instances.count(); ++i) {
                           m_instances.storeProxy(i).silenceOpen();
                       }
                       for (auto &it : m_workers.all()) {
                           it.proxy->silenceOpen();
                       }
                   }});
}

auto Scenario::addWorkerDisruptions(std::vector<Disruption> &out) -> void
{
    out.push_back({"worker-crash", false, [this] { m_workers.crash(aWorker(), length(100, 3000)); }});
    out.push_back({"worker-drain", false, [this] { m_workers.drain(aWorker(), length(2500, 5000)); }});
    out.push_back({"worker-slow", false, [this] {
                       auto &it = m_workers.all()[aWorker()];
                       it.slowness = static_cast<double>(pick(0, 6));
                       later(length(1000, 6000), [&it] { it.slowness = 1.0; });
                   }});
    out.push_back({"worker-fails", false, [this] {
                       auto &it = m_workers.all()[aWorker()];
                       it.failsAll = true;
                       later(length(1000, 5000), [&it] { it.failsAll = false; });
                   }});
    out.push_back({"late-orders", false, [this] {
                       m_workers.lateOrders = 0.1;
                       later(length(1000, 5000), [this] { m_workers.lateOrders = 0; });
                   }});
    out.push_back({"worker-unlisted", false, [this] {
                       auto &it = m_workers.all()[aWorker()];
                       it.mute = true;
                       m_store.put("keyed.servers", it.name, {});
                       later(length(500, 6000), [&it] { it.mute = false; });
                   }});
    out.push_back({"foreign-entry", false, [this] { m_store.put("keyed.servers", "foreign", std::string("\x80\xff{", 3)); }});
}

auto Scenario::makeDisruptions() -> std::vector<Disruption>
{
    std::vector<Disruption> out;
    addInstanceDisruptions(out);
    addStoreDisruptions(out);
    addConnectionDisruptions(out);
    addWorkerDisruptions(out);
    if (m_plannedOnly) {
        std::erase_if(out, [](const Disruption &it) { return !it.planned; });
    }
    return out;
}

auto Scenario::disruptNext() -> void
{
    if (!m_disrupting) {
        return;
    }
    // Several at once are as likely as a pause.
    const auto n = pick(0, 2);
    for (std::int64_t i = 0; i < n; ++i) {
        const auto &it = m_disruptions[static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(m_disruptions.size()) - 1))];
        std::cout << "disruption " << it.name << " at_ms=" << unixNow().count() << '\n';
        m_drawn += std::string(m_drawn.empty() ? "" : ",") + it.name;
        it.begin();
    }
    later(length(100, 1500), [this] { disruptNext(); });
}

auto Scenario::heal() -> void
{
    m_disrupting = false;
    m_store.service = StoreServer::Service::Up;
    m_store.delay = {};
    m_store.lostAnswers = 0;
    m_store.lateAppends = 0;
    m_workers.heal();
    m_instances.heal();
}

auto Scenario::addCallers(std::size_t count) -> void
{
    for (std::size_t i = 0; i < count; ++i) {
        Caller::Hooks hooks;
        hooks.choose = [this] {
            std::vector<std::size_t> ready;
            for (std::size_t n = 0; n < m_instances.count(); ++n) {
                if (m_instances.ready(n)) {
                    ready.push_back(n);
                }
            }
            const auto chosen =
                ready.empty() ? anInstance() : ready[static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(ready.size()) - 1))];
            return m_instances.callerProxy(chosen).address();
        };
        // One caller goes on using a key that is withdrawn, until it has nothing new to submit.
        hooks.key = [this, i] { return i == 0 && m_disrupting ? withdrawnKey : steadyKey; };
        hooks.served = [this](const std::string &key, TimePoint sentAt) {
            if (key == withdrawnKey && m_keyWithdrawn && sentAt > *m_keyWithdrawn + keyRevocation) {
                m_ledger.violated("a request with a withdrawn key was served");
            }
        };
        hooks.cut = [this](Duration after) {
            if (m_plannedOnly && after > lossSlack && after < callerPatience) {
                m_ledger.violated("planned work cut a request off after " + std::to_string(toMilliseconds(after).count()) + " ms");
            }
        };
        m_callers.push_back(
            std::make_unique<Caller>(m_loop, m_ledger, m_routes, std::move(hooks), m_random(), "caller-" + std::to_string(i)));
    }
}

auto Scenario::play() -> std::vector<std::string>
{
    const auto allReady = [this] {
        for (std::size_t i = 0; i < m_instances.count(); ++i) {
            if (!m_instances.ready(i)) {
                return false;
            }
        }
        return true;
    };
    if (!m_loop.runUntil(allReady, startLimit)) {
        m_ledger.violated("the instances did not become ready");
        return m_ledger.violations();
    }
    m_disrupting = true;
    addCallers(4);
    later(length(500, 1500), [this] { disruptNext(); });
    (void)m_loop.runUntil([] { return false; }, m_settings.traffic);
    heal();
    for (const auto &it : m_callers) {
        it->settle();
    }
    const auto settled = [this] {
        return m_ledger.runsInProgress() == 0
            && std::all_of(m_callers.begin(), m_callers.end(), [](const auto &it) { return it->isSettled(); });
    };
    (void)m_loop.runUntil(settled, settleLimit);
    m_ledger.checkAtEnd();
    if (!m_instances.stopAll()) {
        m_ledger.violated("not all instances ended after SIGTERM");
    }
    return m_ledger.violations();
}

auto Scenario::summary() const -> std::string
{
    return "instances=" + std::to_string(m_settings.instances) + " workers=" + std::to_string(m_settings.workers) + ' ' + m_ledger.summary()
        + " disruptions=" + m_drawn;
}

} // namespace Acaciarail::Soak
