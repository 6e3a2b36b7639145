#pragma once

#include <acaciarail/core.h>
#include <acaciarail/state.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Acaciarail::Fuzz {

/// Invariants that the requirements state.
enum class Invariant : std::uint8_t {
    /// The members of a gang run together or not at all, except for short times after faults.
    WholeGang,
    /// Unless its instance crashes, a request gets exactly one answer: its own, or that of an earlier request with the same key.
    OwnAnswer,
    /// A request or job that was refused as not run never runs.
    TrueRefusal,
    /// A non-idempotent request or job runs at most once.
    AtMostOnce,
    /// An endpoint that has been leaving for longer than allowed gets no new work.
    LeavingEndpoint,
    /// A draining instance finishes its requests, and ends in time.
    GracefulShutdown,
    /// All instances use the latest version of the configuration in the end.
    ConfigurationInForce,
    ConfigurationNeverReverts,
    EveryJobHasOneOutcome,
    OneHolder,
    EqualReplicas,
    /// The scheduler's own checks find no violation, such as of a guarantee.
    GuaranteesKept,
};

[[nodiscard]] auto invariantName(Invariant invariant) noexcept -> const char *;

struct Violation
{
    Invariant invariant;
    TimePoint at;
    std::string detail;
};

/// Records the events that callers, workers and endpoints observe, and checks the invariants over them. Independent of the
/// implementation of the instances.
class Oracle
{
public:
    /// A caller sent a request with a unique content to an instance. The key is empty for an idempotent request.
    auto requestSent(std::uint64_t content, const std::string &idempotencyKey) -> void;
    /// An endpoint ran a request.
    auto requestRan(std::uint64_t content, TimePoint now) -> void;
    /// The caller got the answer of an endpoint, which contains the content of the request.
    auto answered(std::uint64_t content, std::uint64_t answeredContent, TimePoint now) -> void;
    /// The caller got a refusal.
    auto refused(std::uint64_t content, Execution execution, TimePoint now) -> void;
    /// The instance that processed the request crashed, so no answer is expected.
    auto connectionLost(std::uint64_t content) -> void;

    /// A caller was notified that its job was accepted, or was refused.
    auto jobAccepted(const JobId &id) -> void;
    auto jobRefused(const std::string &name, Execution execution) -> void;
    /// A worker started tasks of an attempt.
    auto jobStarted(const Job &job, std::uint32_t attempt, TimePoint now) -> void;

    /// An endpoint got new work later than allowed after it started to leave.
    auto leavingEndpointUsed(const std::string &endpoint, TimePoint now) -> void;

    /// Configuration version in force at a running process. \a process consists of a name and an incarnation.
    auto versionInForce(const std::string &process, std::uint64_t version, TimePoint now) -> void;

    auto fail(Invariant invariant, std::string detail, TimePoint now) -> void;

    /// Checks the end state, after all faults were removed: every request was answered once, and every accepted job has an outcome.
    auto checkEnd(const State::Replica &replica, TimePoint now) -> void;

    [[nodiscard]] auto violations() const noexcept -> const std::vector<Violation> &;

private:
    struct Request
    {
        std::string idempotencyKey;
        std::uint32_t runs = 0;
        std::uint32_t answers = 0;
        bool reportedNotRun = false;
        bool lost = false;
    };

    std::map<std::uint64_t, Request> m_requests;
    /// Number of runs of all requests with the same idempotency key.
    std::map<std::string, std::uint32_t> m_runsByKey;
    std::set<JobId> m_acceptedJobs;
    std::set<std::string> m_refusedJobs;
    std::map<JobId, std::set<std::uint32_t>> m_startedAttempts;
    std::map<std::string, std::uint64_t> m_versions;
    std::vector<Violation> m_violations;
};

} // namespace Acaciarail::Fuzz
