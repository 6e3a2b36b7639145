#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/policy.h>
#include <acaciarail/core/shape.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Scheduling {

/// A count for each priority, indexed by Priority.
using ClassCounts = std::array<std::uint32_t, priorityCount>;

/// A flag for each priority, indexed by Priority.
using ClassSet = std::array<bool, priorityCount>;

/// Returns the waiting classes that may take one more slot. A class that has reached its limit is skipped while other classes wait;
/// when all waiting classes have reached their limits, the least urgent one may take the slot, so that no slot stays idle.
/// \pre none. Thread-safe.
[[nodiscard]] auto eligibleClasses(const ClassLimits &limits, const ClassSet &waiting, const ClassCounts &inFlight) noexcept -> ClassSet;

/// Returns the minimum fraction of the capacity that class \a index gets while the classes in \a waiting wait: what their limits
/// leave. \pre index < priorityCount. Thread-safe.
[[nodiscard]] auto minClassShare(const ClassLimits &limits, const ClassSet &waiting, std::size_t index) noexcept -> double;

struct AdmissionSettings
{
    /// Maximum number of queued requests over all callers of a service.
    std::size_t maxQueued = 4096;
    /// Maximum number of queued requests of one caller, also when the queue is otherwise empty.
    std::size_t maxQueuedPerCaller = 1024;
    /// Number of known callers above which idle callers without an outstanding charge are removed.
    std::size_t maxIdleCallers = 4096;
};

/// A request that waits for an endpoint.
struct QueuedRequest
{
    RequestId id = 0;
    OrganisationName organisation;
    CallerName caller;
    Priority priority = Priority::Normal;
};

/// Bounded request queue of one service. Start-time fair queueing divides the capacity among organisations by share, then equally
/// among the callers of an organisation. Fairness has precedence over priority: a caller below its share is served at once whatever
/// its class, and only a caller's own requests are served most urgent first. The class limits bound what a flood of one class takes.
class Admission
{
public:
    /// \pre none. Not thread-safe.
    explicit Admission(AdmissionSettings settings = {});
    Admission(const Admission &) = delete;
    Admission(Admission &&) noexcept;
    auto operator=(const Admission &) -> Admission & = delete;
    auto operator=(Admission &&) noexcept -> Admission &;
    ~Admission();

    /// Sets shares and class limits. Organisations that are not named keep their queued requests and get a share of 1.
    /// \pre none. Not thread-safe.
    auto setPolicy(const std::vector<OrganisationPolicy> &organisations, const ClassLimits &limits) -> void;

    struct PushResult
    {
        bool accepted = false;
        /// A request that was removed from a full queue for the new one: the newest of the least urgent class of the caller with the most
        /// requests.
        std::optional<RequestId> evicted;
    };

    /// Queues a request. \pre the id is not queued. Not thread-safe.
    [[nodiscard]] auto push(const QueuedRequest &request) -> PushResult;

    /// Takes the next request and charges its caller and organisation the cost of one request. \a inFlight is the number of attempts
    /// in progress of each class. Empty when nothing is queued. \pre none. Not thread-safe.
    [[nodiscard]] auto pop(const ClassCounts &inFlight) -> std::optional<RequestId>;

    /// Returns the request that pop() would take. \pre none. Not thread-safe.
    [[nodiscard]] auto peek(const ClassCounts &inFlight) const -> std::optional<RequestId>;

    /// Removes a queued request without a charge; false when it is not queued. \pre none. Not thread-safe.
    auto remove(RequestId id) -> bool;

    /// Replaces the charge of a finished request by \a cost, its slot time relative to the mean slot time.
    /// \pre cost >= 0. Not thread-safe.
    auto adjustCharge(const OrganisationName &organisation, const CallerName &caller, double cost) -> void;

    /// Returns how many requests are expected to be served before a new request of this caller and class.
    /// \pre none. Not thread-safe.
    [[nodiscard]] auto expectedRequestsAhead(const OrganisationName &organisation, const CallerName &caller, Priority priority) const
        -> double;

    [[nodiscard]] auto size() const noexcept -> std::size_t;
    [[nodiscard]] auto queued(Priority priority) const noexcept -> std::size_t;
    /// Number of callers whose state is kept; bounded by the removal of idle callers.
    [[nodiscard]] auto knownCallers() const noexcept -> std::size_t;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Scheduling
