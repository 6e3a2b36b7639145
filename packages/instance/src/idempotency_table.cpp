#include <acaciarail/instance/idempotency_table.h>

#include <algorithm>

namespace Acaciarail::Instance {

IdempotencyTable::IdempotencyTable(InstanceName self, std::uint64_t incarnation, const State::Replica &replica, IdempotencyHooks hooks)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_replica(replica)
    , m_hooks(std::move(hooks))
{
}

auto IdempotencyTable::submit(const NonIdempotentRequest &keyedRequest, TimePoint now) -> void
{
    const auto *state = m_replica.idempotencyState(keyedRequest.key);
    if (state && answerFromState(keyedRequest, *state, now)) {
        return;
    }
    if (!m_hooks.isLogAvailable(now)) {
        m_hooks.refuse(keyedRequest.request.id,
                       {Error::LogUnavailable, Execution::NotRun, "the platform's log is not available; the request was not sent"});
        return;
    }
    const auto claim = m_hooks.append(State::RequestClaimed{keyedRequest.key.organisation, keyedRequest.key.key, keyedRequest.fingerprint,
                                                            m_self, keyedRequest.request.service});
    m_claims[claim] = keyedRequest.request.id;
    m_openRequests[keyedRequest.request.id] = {keyedRequest, claim, false};
}

auto IdempotencyTable::answerFromState(const NonIdempotentRequest &keyedRequest, const State::IdempotencyState &state, TimePoint now)
    -> bool
{
    const auto didNotRun = state.finished && state.execution == Execution::NotRun;
    if (didNotRun) {
        return false;
    }
    if (state.fingerprint != keyedRequest.fingerprint) {
        m_hooks.refuse(keyedRequest.request.id, {Error::KeyReused, Execution::NotRun, "the idempotency key was used for another request"});
        return true;
    }
    if (const auto failure = describe(state, now)) {
        m_hooks.refuse(keyedRequest.request.id, *failure);
    } else {
        m_hooks.replay(keyedRequest.request.id, {state.httpStatus, state.contentType, state.body});
    }
    return true;
}

auto IdempotencyTable::describe(const State::IdempotencyState &state, TimePoint now) const -> std::optional<Failure>
{
    if (!state.finished && !hasClaimantEnded(state, now)) {
        return Failure{Error::InProgress, Execution::Unknown,
                       "a request with this idempotency key is in progress at " + state.claimant.str()};
    }
    if (!state.finished || state.execution == Execution::Unknown) {
        return Failure{Error::OutcomeUnknown, Execution::Unknown, "the request may have run; its answer was lost and it is not sent again"};
    }
    if (state.execution == Execution::NotRun) {
        return Failure{Error::NoEndpoint, Execution::NotRun, "the request was not sent; the key may be used again"};
    }
    return std::nullopt;
}

auto IdempotencyTable::idempotencyChanged(const State::IdempotencyEffect &effect, TimePoint now) -> void
{
    m_closingRecords.erase(effect.key);
    const auto it = m_claims.find(effect.record);
    if (it != m_claims.end()) {
        resolve(it->second, now);
    }
}

auto IdempotencyTable::replicaRestored(TimePoint now) -> void
{
    std::vector<RequestId> waiting;
    for (const auto &[id, it] : m_openRequests) {
        if (!it.isRouted) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        if (m_replica.isApplied(m_openRequests.at(id).claim)) {
            resolve(id, now);
        }
    }
}

auto IdempotencyTable::resolve(RequestId id, TimePoint now) -> void
{
    const auto it = m_openRequests.find(id);
    if (it == m_openRequests.end()) {
        return;
    }
    m_claims.erase(it->second.claim);
    const auto *state = m_replica.idempotencyState(it->second.keyedRequest.key);
    if (!state || state->claim != it->second.claim || state->finished) {
        const auto keyedRequest = it->second.keyedRequest;
        m_openRequests.erase(it);
        if (!state || !answerFromState(keyedRequest, *state, now)) {
            m_hooks.refuse(id, {Error::InProgress, Execution::NotRun, "another request has claimed this idempotency key first"});
        }
        return;
    }
    if (now >= it->second.keyedRequest.request.deadline) {
        const auto open = it->second;
        m_openRequests.erase(it);
        finish(open, Execution::NotRun, {});
        m_hooks.refuse(id, {Error::DeadlinePassed, Execution::NotRun, "the deadline passed before the request was sent"});
        return;
    }
    it->second.isRouted = true;
    if (const auto failure = m_hooks.route(it->second.keyedRequest.request, now)) {
        const auto open = it->second;
        m_openRequests.erase(it);
        finish(open, Execution::NotRun, {});
        m_hooks.refuse(id, *failure);
    }
}

auto IdempotencyTable::completed(RequestId id, const StoredResponse &response) -> void
{
    const auto it = m_openRequests.find(id);
    if (it == m_openRequests.end()) {
        return;
    }
    finish(it->second, Execution::Ran, response);
    m_openRequests.erase(it);
}

auto IdempotencyTable::refused(RequestId id, const Failure &failure) -> void
{
    const auto it = m_openRequests.find(id);
    if (it == m_openRequests.end()) {
        return;
    }
    finish(it->second, failure.execution, {});
    m_openRequests.erase(it);
}

auto IdempotencyTable::finish(const OpenRequest &open, Execution execution, const StoredResponse &response) -> void
{
    const auto &key = open.keyedRequest.key;
    const auto isStored = response.body.size() <= maxStoredBodyBytes;
    m_hooks.append(State::RequestFinished{key.organisation, key.key, execution, response.httpStatus, response.contentType,
                                          isStored ? response.body : std::string{}});
}

auto IdempotencyTable::tick(TimePoint now) -> void
{
    std::vector<RequestId> late;
    for (const auto &[id, it] : m_openRequests) {
        if (!it.isRouted && now >= it.keyedRequest.request.deadline) {
            late.push_back(id);
        }
    }
    for (const auto id : late) {
        const auto open = m_openRequests.at(id);
        m_openRequests.erase(id);
        m_claims.erase(open.claim);
        if (!m_hooks.withdraw(open.claim)) {
            // This record follows the claim in the log, and has no effect if the claim was not the first one.
            finish(open, Execution::NotRun, {});
        }
        m_hooks.refuse(id,
                       {Error::LogUnavailable, Execution::NotRun,
                        "the claim was not confirmed by the log before the deadline; the request was not sent"});
    }
}

auto IdempotencyTable::closeOrphanedRequests(std::size_t limit, TimePoint now) -> void
{
    for (const auto &[key, it] : m_replica.idempotencyStates()) {
        if (limit == 0) {
            return;
        }
        if (!it.finished && hasClaimantEnded(it, now) && !m_closingRecords.contains(key)) {
            m_closingRecords[key] = m_hooks.append(State::RequestFinished{key.organisation, key.key, Execution::Unknown, 0, {}, {}});
            --limit;
        }
    }
}

auto IdempotencyTable::nextDeadline() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> deadline;
    for (const auto &[id, it] : m_openRequests) {
        if (!it.isRouted) {
            deadline = std::min(deadline.value_or(TimePoint::max()), it.keyedRequest.request.deadline);
        }
    }
    return deadline;
}

auto IdempotencyTable::openCount() const noexcept -> std::size_t
{
    return m_openRequests.size();
}

auto IdempotencyTable::hasClaimantEnded(const State::IdempotencyState &state, TimePoint now) const -> bool
{
    if (state.claimant == m_self) {
        return state.claim.incarnation != m_incarnation;
    }
    return m_hooks.hasEnded(state.claimant, state.claim.incarnation, now);
}

} // namespace Acaciarail::Instance
