#pragma once

#include <acaciarail/core.h>
#include <acaciarail/state.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Acaciarail::Fuzz {

/// The invariants of the requirements, as named in violations.
enum class Invariant : std::uint8_t {
    WholeGang,
    OwnAnswer,
    TrueRefusal,
    AtMostOnce,
    LeavingEndpoint,
    GracefulShutdown,
    ConfigurationInForce,
    ConfigurationNeverReverts,
    EveryJobHasOneOutcome,
    OneHolder,
    EqualReplicas,
    GuaranteesKept,
};

[[nodiscard]] auto invariantName(Invariant invariant) noexcept -> const char *;

struct Violation
{
    Invariant invariant;
    TimePoint at;
    std::string detail;
};

/// A plain record of what callers, workers and endpoints saw, and the checks over it. It knows nothing of how instances work.
class Oracle
{
public:
    /// A caller sent a request with a unique content to an instance.
    auto requestSent(std::uint64_t content, const std::string &idempotencyKey) -> void;
    /// An endpoint carried out a request.
    auto requestRan(std::uint64_t content, TimePoint now) -> void;
    /// The caller got an endpoint's answer, which repeats the content.
    auto answered(std::uint64_t content, std::uint64_t answeredContent, TimePoint now) -> void;
    /// The caller got a refusal.
    auto refused(std::uint64_t content, Execution execution, TimePoint now) -> void;
    /// The instance that had the request crashed, so no answer is expected.
    auto connectionLost(std::uint64_t content) -> void;

    /// A caller was told that its job was accepted, or was refused as not run.
    auto jobAccepted(const JobId &id) -> void;
    auto jobRefused(const std::string &name, Execution execution) -> void;
    /// A worker started tasks of an attempt.
    auto jobStarted(const Job &job, std::uint32_t attempt, TimePoint now) -> void;

    /// An endpoint got new work although it has been leaving for longer than allowed.
    auto leavingEndpointUsed(const std::string &endpoint, TimePoint now) -> void;

    /// Version in force at a running process; a process is a name with an incarnation.
    auto versionInForce(const std::string &process, std::uint64_t version, TimePoint now) -> void;

    auto fail(Invariant invariant, std::string detail, TimePoint now) -> void;

    /// At the end, after all faults are gone: every request was answered once, and every accepted job has its outcome.
    auto checkEnd(const State::Replica &replica, TimePoint now) -> void;

    [[nodiscard]] auto violations() const noexcept -> const std::vector<Violation> &;

private:
    struct Request
    {
        std::string idempotencyKey;
        std::uint32_t runs = 0;
        std::uint32_t answers = 0;
        bool saidNotRun = false;
        bool lost = false;
    };

    std::map<std::uint64_t, Request> m_requests;
    /// Runs of all requests that share an idempotency key.
    std::map<std::string, std::uint32_t> m_runsByKey;
    std::set<JobId> m_acceptedJobs;
    std::set<std::string> m_refusedJobs;
    std::map<JobId, std::set<std::uint32_t>> m_startedAttempts;
    std::map<std::string, std::uint64_t> m_versions;
    std::vector<Violation> m_violations;
};

} // namespace Acaciarail::Fuzz
