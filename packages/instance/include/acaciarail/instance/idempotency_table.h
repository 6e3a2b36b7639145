#pragma once

#include <acaciarail/instance/operation.h>
#include <acaciarail/scheduling/request_command.h>
#include <acaciarail/state/replica.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Acaciarail::Instance {

/// A non-idempotent request with its idempotency key.
struct NonIdempotentRequest
{
    Scheduling::RequestInfo request;
    State::IdempotencyKey key;
    /// Hash over method, path and body; detects a key that is reused for another request.
    std::uint64_t fingerprint = 0;
};

/// Callbacks of the idempotency table.
struct IdempotencyHooks
{
    std::function<State::RecordId(State::RecordBody)> append;
    std::function<bool(const State::RecordId &)> withdraw;
    std::function<bool(TimePoint)> isLogAvailable;
    /// Whether this incarnation of the instance has ended.
    std::function<bool(const InstanceName &, std::uint64_t, TimePoint)> hasEnded;
    /// Routes a request whose claim succeeded. Returns why it is refused, with execution `not-run`.
    std::function<std::optional<Failure>(const Scheduling::RequestInfo &, TimePoint)> route;
    std::function<void(RequestId, const Failure &)> refuse;
    /// Answers with the stored response of an earlier request with the same key.
    std::function<void(RequestId, const StoredResponse &)> replay;
};

/// Ensures that all instances together send a non-idempotent request at most once: a request is routed only after this
/// instance has read back its claim of the key as the first one in the log.
/// No method is thread-safe; one task owns an object.
class IdempotencyTable
{
public:
    /// \pre \a replica outlives this object; all hooks are set.
    IdempotencyTable(InstanceName self, std::uint64_t incarnation, const State::Replica &replica, IdempotencyHooks hooks);

    /// Claims the key, or answers from its known state. \pre the request id is new.
    auto submit(const NonIdempotentRequest &keyedRequest, TimePoint now) -> void;

    /// The replica has applied a claim or an outcome. \pre none.
    auto idempotencyChanged(const State::IdempotencyEffect &effect, TimePoint now) -> void;

    /// The replica was replaced by a snapshot, so the effects of single records are not known. \pre none.
    auto replicaRestored(TimePoint now) -> void;

    /// The endpoint answered. \pre none; idempotent requests are ignored.
    auto completed(RequestId id, const StoredResponse &response) -> void;

    /// The router refused the request. \pre none; idempotent requests are ignored.
    auto refused(RequestId id, const Failure &failure) -> void;

    /// Refuses requests whose claim was not confirmed before their deadline. \pre none.
    auto tick(TimePoint now) -> void;

    /// Writes the outcome "unknown" for up to \a limit open requests whose instance has ended. \pre only one instance does this at a time.
    auto closeOrphanedRequests(std::size_t limit, TimePoint now) -> void;

    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;
    [[nodiscard]] auto openCount() const noexcept -> std::size_t;

    /// Failure that describes the state of a known key; empty when its request ran. \pre none.
    [[nodiscard]] auto describe(const State::IdempotencyState &state, TimePoint now) const -> std::optional<Failure>;

private:
    struct OpenRequest
    {
        NonIdempotentRequest keyedRequest;
        State::RecordId claim;
        bool isRouted = false;
    };

    auto answerFromState(const NonIdempotentRequest &keyedRequest, const State::IdempotencyState &state, TimePoint now) -> bool;
    auto resolve(RequestId id, TimePoint now) -> void;
    auto finish(const OpenRequest &open, Execution execution, const StoredResponse &response) -> void;
    [[nodiscard]] auto hasClaimantEnded(const State::IdempotencyState &state, TimePoint now) const -> bool;

    InstanceName m_self;
    std::uint64_t m_incarnation;
    const State::Replica &m_replica;
    IdempotencyHooks m_hooks;
    std::map<RequestId, OpenRequest> m_openRequests;
    std::map<State::RecordId, RequestId> m_claims;
    /// Orphaned requests whose outcome record this instance has appended and not yet read back.
    std::map<State::IdempotencyKey, State::RecordId> m_closingRecords;
};

} // namespace Acaciarail::Instance
