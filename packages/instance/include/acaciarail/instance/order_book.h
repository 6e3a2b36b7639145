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

/// A non-idempotent request that a caller sent.
struct OrderRequest
{
    Scheduling::RequestInfo request;
    State::OrderKey key;
    /// Hash over method, path and body, so that a key that is used for another request is noticed.
    std::uint64_t fingerprint = 0;
};

/// Effects of the order book.
struct OrderHooks
{
    std::function<State::RecordId(State::RecordBody)> append;
    std::function<bool(const State::RecordId &)> withdraw;
    std::function<bool(TimePoint)> isLogAvailable;
    /// Whether the instance that wrote as this incarnation is gone.
    std::function<bool(const InstanceName &, std::uint64_t, TimePoint)> isGone;
    /// The claim is won: route the request. Returns why it is refused, with execution `not-run`.
    std::function<std::optional<Failure>(const Scheduling::RequestInfo &, TimePoint)> route;
    std::function<void(RequestId, const Failure &)> refuse;
    /// Answer with the stored outcome of an earlier request with the same key.
    std::function<void(RequestId, const StoredResponse &)> replay;
};

/// Sees to it that a non-idempotent request is sent at most once by all instances together: a request is routed only after
/// this instance's claim of its key was read back as the first in the log.
/// No method is thread-safe; one task owns an object.
class OrderBook
{
public:
    /// \pre \a replica outlives this object; all hooks are set.
    OrderBook(InstanceName self, std::uint64_t incarnation, const State::Replica &replica, OrderHooks hooks);

    /// Claims the key, or answers from what is known about it. \pre the request id is new.
    auto submit(const OrderRequest &order, TimePoint now) -> void;

    /// The replica applied a claim or an outcome. \pre none.
    auto orderChanged(const State::OrderApplied &applied, TimePoint now) -> void;

    /// The replica was replaced by a snapshot, so effects of single records were not seen. \pre none.
    auto replicaRestored(TimePoint now) -> void;

    /// The endpoint answered. \pre none; requests that are not orders are ignored.
    auto completed(RequestId id, const StoredResponse &response) -> void;

    /// The router gave up. \pre none; requests that are not orders are ignored.
    auto refused(RequestId id, const Failure &failure) -> void;

    /// Ends claims that wait past their deadline. \pre none.
    auto tick(TimePoint now) -> void;

    /// Marks up to \a limit orders of instances that are gone as unknown. \pre only one instance does this at a time.
    auto closeOrphans(std::size_t limit, TimePoint now) -> void;

    [[nodiscard]] auto nextDeadline() const -> std::optional<TimePoint>;
    [[nodiscard]] auto openCount() const noexcept -> std::size_t;

    /// Failure that describes a known order to someone who asks for it; empty when it ran. \pre none.
    [[nodiscard]] auto describe(const State::OrderState &state, TimePoint now) const -> std::optional<Failure>;

private:
    struct Open
    {
        OrderRequest order;
        State::RecordId claim;
        bool isRouted = false;
    };

    auto answerFromState(const OrderRequest &order, const State::OrderState &state, TimePoint now) -> bool;
    auto resolve(RequestId id, TimePoint now) -> void;
    auto finish(const Open &open, Execution execution, const StoredResponse &response) -> void;
    [[nodiscard]] auto isClaimantGone(const State::OrderState &state, TimePoint now) const -> bool;

    InstanceName m_self;
    std::uint64_t m_incarnation;
    const State::Replica &m_replica;
    OrderHooks m_hooks;
    std::map<RequestId, Open> m_open;
    std::map<State::RecordId, RequestId> m_claims;
    std::map<State::OrderKey, State::RecordId> m_closing;
};

} // namespace Acaciarail::Instance
