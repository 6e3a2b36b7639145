#include <acaciarail/endpoint/endpoint_client.h>

#include "pooled_connection.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace Acaciarail::Endpoint {

using Detail::PooledConnection;
using Detail::Timer;

namespace {

auto equalIgnoringCase(std::string_view a, std::string_view b) noexcept -> bool
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&lower](char x, char y) { return lower(x) == lower(y); });
}

} // namespace

auto AttemptResponse::header(std::string_view name) const noexcept -> std::string_view
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const auto &h) { return equalIgnoringCase(h.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

struct EndpointClient::State
{
    /// All connections to one endpoint.
    struct Pool
    {
        std::vector<std::unique_ptr<PooledConnection>> connections;
    };

    State(event_base *eventBase, EndpointClientSettings clientSettings, EndpointClientHooks clientHooks)
        : base(eventBase)
        , settings(clientSettings)
        , hooks(std::move(clientHooks))
        , deliveryTimer(eventBase, [this] { deliverOutcomes(); })
        , idleTimer(eventBase, [this] { closeIdleConnections(); })
    {
    }

    auto send(Attempt attempt) -> void;
    auto refuse(const Attempt &attempt, Failure failure) -> void;
    auto acquire(const std::string &address, bool requireNew) -> PooledConnection *;
    auto connect(const std::string &address, Pool &pool) -> PooledConnection *;
    auto onAttemptFinished(const std::string &address, PooledConnection &connection, AttemptOutcome outcome) -> void;
    auto remove(const std::string &address, PooledConnection &connection) -> void;
    auto deliverOutcomes() -> void;
    auto closeIdleConnections() -> void;
    auto cancel(AttemptId id) -> bool;
    auto removeEndpoint(std::string_view address) -> void;

    event_base *base;
    EndpointClientSettings settings;
    EndpointClientHooks hooks;
    EndpointClientStats stats;
    std::map<std::string, Pool, std::less<>> pools;
    std::map<AttemptId, PooledConnection *> inProgress;
    /// Outcomes that onOutcome has not received yet; they are delivered outside the callbacks of evhttp.
    std::deque<AttemptOutcome> undeliveredOutcomes;
    /// Connections removed from their pool, destroyed outside their own callbacks.
    std::vector<std::unique_ptr<PooledConnection>> closedConnections;
    Timer deliveryTimer;
    Timer idleTimer;
    bool idleTimerActive = false;
    bool stopping = false;
    bool stopReported = false;
    /// Points to a flag while deliverOutcomes() runs; the destructor sets the flag when a hook destroys the client.
    bool *destroyedFlag = nullptr;
};

auto EndpointClient::State::refuse(const Attempt &attempt, Failure failure) -> void
{
    undeliveredOutcomes.push_back({attempt.id, attempt.address, AttemptFailure{std::move(failure), false, false}, Duration::zero()});
    deliveryTimer.start(Duration::zero());
}

auto EndpointClient::State::send(Attempt attempt) -> void
{
    ++stats.attempts;
    if (stopping) {
        refuse(attempt, {Error::Draining, Execution::NotRun, "client: expected it to run, found it stopping"});
        return;
    }
    if (auto fault = Detail::checkAttempt(attempt)) {
        refuse(attempt, *std::move(fault));
        return;
    }
    if (inProgress.contains(attempt.id)) {
        refuse(attempt, {Error::DuplicateName, Execution::NotRun, "attempt: expected a new id, found one in progress"});
        return;
    }
    auto *connection = acquire(attempt.address, attempt.freshConnection);
    if (connection == nullptr) {
        refuse(attempt,
               {Error::Overloaded, Execution::NotRun,
                "connections to " + attempt.address + ": expected at most " + std::to_string(settings.maxConnectionsPerEndpoint)
                    + ", found all in use"});
        return;
    }
    inProgress.emplace(attempt.id, connection);
    connection->send(std::move(attempt));
}

auto EndpointClient::State::acquire(const std::string &address, bool requireNew) -> PooledConnection *
{
    auto &pool = pools[address];
    // The most recently used connection is chosen, so that connections that are not needed reach the idle timeout and are closed.
    PooledConnection *mostRecent = nullptr;
    std::vector<PooledConnection *> unusable;
    for (const auto &it : pool.connections) {
        if (it->busy()) {
            continue;
        }
        if (!it->reusable() || !it->isOpenWithoutInput()) {
            unusable.push_back(it.get());
        } else if (mostRecent == nullptr || it->idleSince() > mostRecent->idleSince()) {
            mostRecent = it.get();
        }
    }
    for (auto *it : unusable) {
        remove(address, *it);
    }
    if (requireNew && mostRecent != nullptr) {
        // The new connection replaces an idle one, which must be removed first when the pool is full.
        if (pools[address].connections.size() >= settings.maxConnectionsPerEndpoint) {
            remove(address, *mostRecent);
        }
        mostRecent = nullptr;
    }
    if (mostRecent != nullptr) {
        ++stats.reusedConnections;
        return mostRecent;
    }
    auto &current = pools[address];
    return current.connections.size() < settings.maxConnectionsPerEndpoint ? connect(address, current) : nullptr;
}

auto EndpointClient::State::connect(const std::string &address, Pool &pool) -> PooledConnection *
{
    ++stats.connectionsOpened;
    const auto done = [this, address](PooledConnection &connection, AttemptOutcome outcome) {
        onAttemptFinished(address, connection, std::move(outcome));
    };
    const auto closed = [this, address](PooledConnection &connection) { remove(address, connection); };
    const auto parts = Detail::parseAddress(address).value_or(Detail::HostAndPort{});
    pool.connections.push_back(std::make_unique<PooledConnection>(base, settings, parts, done, closed));
    return pool.connections.back().get();
}

auto EndpointClient::State::onAttemptFinished(const std::string &address, PooledConnection &connection, AttemptOutcome outcome) -> void
{
    inProgress.erase(outcome.id);
    if (!connection.reusable()) {
        if (std::holds_alternative<AttemptFailure>(outcome.result)) {
            ++stats.connectionsDropped;
        }
        remove(address, connection);
    } else if (!std::exchange(idleTimerActive, true)) {
        idleTimer.start(settings.idleTimeout);
    }
    undeliveredOutcomes.push_back(std::move(outcome));
    deliveryTimer.start(Duration::zero());
}

auto EndpointClient::State::remove(const std::string &address, PooledConnection &connection) -> void
{
    const auto pool = pools.find(address);
    if (pool == pools.end()) {
        return;
    }
    auto &connections = pool->second.connections;
    const auto it = std::find_if(connections.begin(), connections.end(), [&connection](const auto &c) { return c.get() == &connection; });
    if (it == connections.end()) {
        return;
    }
    closedConnections.push_back(std::move(*it));
    connections.erase(it);
    if (connections.empty()) {
        pools.erase(pool);
    }
    deliveryTimer.start(Duration::zero());
}

auto EndpointClient::State::deliverOutcomes() -> void
{
    closedConnections.clear();
    bool isDestroyed = false;
    destroyedFlag = &isDestroyed;
    // Outcomes that a hook adds, for example by sending again after a refusal, are delivered by the next call.
    for (auto n = undeliveredOutcomes.size(); n > 0 && !undeliveredOutcomes.empty(); --n) {
        auto outcome = std::move(undeliveredOutcomes.front());
        undeliveredOutcomes.pop_front();
        hooks.onOutcome(std::move(outcome));
        if (isDestroyed) {
            return;
        }
    }
    destroyedFlag = nullptr;
    if (!undeliveredOutcomes.empty()) {
        deliveryTimer.start(Duration::zero());
    }
    if (stopping && inProgress.empty() && undeliveredOutcomes.empty() && !std::exchange(stopReported, true)) {
        pools.clear();
        if (hooks.onStopped) {
            hooks.onStopped();
        }
    }
}

auto EndpointClient::State::closeIdleConnections() -> void
{
    idleTimerActive = false;
    const auto now = MonotonicClock::now();
    std::vector<std::pair<std::string, PooledConnection *>> expired;
    bool idleLeft = false;
    for (const auto &[address, pool] : pools) {
        for (const auto &it : pool.connections) {
            if (it->busy()) {
                continue;
            }
            idleLeft = true;
            if (now - it->idleSince() >= settings.idleTimeout) {
                expired.emplace_back(address, it.get());
            }
        }
    }
    for (const auto &[address, connection] : expired) {
        remove(address, *connection);
    }
    if (idleLeft) {
        idleTimerActive = true;
        idleTimer.start(settings.idleTimeout);
    }
}

auto EndpointClient::State::cancel(AttemptId id) -> bool
{
    const auto outcome = std::find_if(undeliveredOutcomes.begin(), undeliveredOutcomes.end(), [id](const auto &it) { return it.id == id; });
    if (outcome != undeliveredOutcomes.end()) {
        const auto *failure = std::get_if<AttemptFailure>(&outcome->result);
        const bool mayHaveBeenSent = failure == nullptr || failure->mayHaveBeenSent;
        undeliveredOutcomes.erase(outcome);
        return mayHaveBeenSent;
    }
    const auto it = inProgress.find(id);
    if (it == inProgress.end()) {
        return false;
    }
    auto &connection = *it->second;
    inProgress.erase(it);
    const bool mayHaveBeenSent = connection.cancel();
    ++stats.connectionsDropped;
    for (const auto &[address, pool] : pools) {
        const auto &all = pool.connections;
        if (std::any_of(all.begin(), all.end(), [&connection](const auto &c) { return c.get() == &connection; })) {
            remove(std::string(address), connection);
            break;
        }
    }
    return mayHaveBeenSent;
}

auto EndpointClient::State::removeEndpoint(std::string_view address) -> void
{
    const auto pool = pools.find(address);
    if (pool == pools.end()) {
        return;
    }
    std::vector<PooledConnection *> unused;
    for (const auto &it : pool->second.connections) {
        it->closeAfterAttempt();
        if (!it->busy()) {
            unused.push_back(it.get());
        }
    }
    const auto name = pool->first;
    for (auto *it : unused) {
        remove(name, *it);
    }
}

EndpointClient::EndpointClient(event_base *base, EndpointClientSettings settings, EndpointClientHooks hooks)
    : m_state(std::make_unique<State>(base, settings, std::move(hooks)))
{
}

EndpointClient::~EndpointClient()
{
    if (m_state->destroyedFlag != nullptr) {
        *m_state->destroyedFlag = true;
    }
}

auto EndpointClient::send(Attempt attempt) -> void
{
    m_state->send(std::move(attempt));
}

auto EndpointClient::cancel(AttemptId id) -> bool
{
    return m_state->cancel(id);
}

auto EndpointClient::removeEndpoint(std::string_view address) -> void
{
    m_state->removeEndpoint(address);
}

auto EndpointClient::stop() -> void
{
    m_state->stopping = true;
    m_state->deliveryTimer.start(Duration::zero());
}

auto EndpointClient::attemptsInProgress() const noexcept -> std::size_t
{
    return m_state->inProgress.size() + m_state->undeliveredOutcomes.size();
}

auto EndpointClient::connections(std::string_view address) const noexcept -> std::size_t
{
    const auto pool = m_state->pools.find(address);
    return pool == m_state->pools.end() ? 0 : pool->second.connections.size();
}

auto EndpointClient::stats() const noexcept -> const EndpointClientStats &
{
    return m_state->stats;
}

} // namespace Acaciarail::Endpoint
