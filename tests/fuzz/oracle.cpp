#include "oracle.h"

#include <array>

namespace Acaciarail::Fuzz {

auto invariantName(Invariant invariant) noexcept -> const char *
{
    constexpr std::array names{"whole-gang",
                               "own-answer",
                               "true-refusal",
                               "at-most-once",
                               "leaving-endpoint",
                               "graceful-shutdown",
                               "configuration-in-force",
                               "configuration-never-reverts",
                               "every-job-has-one-outcome",
                               "one-holder",
                               "equal-replicas",
                               "guarantees-kept"};
    return names.at(static_cast<std::size_t>(invariant));
}

auto Oracle::requestSent(std::uint64_t content, const std::string &idempotencyKey) -> void
{
    m_requests[content].idempotencyKey = idempotencyKey;
}

auto Oracle::requestRan(std::uint64_t content, TimePoint now) -> void
{
    auto &request = m_requests[content];
    ++request.runs;
    if (request.reportedNotRun) {
        fail(Invariant::TrueRefusal, "request " + std::to_string(content) + " ran after the refusal not-run", now);
    }
    if (!request.idempotencyKey.empty() && ++m_runsByKey[request.idempotencyKey] > 1) {
        fail(Invariant::AtMostOnce, "key " + request.idempotencyKey + " ran again", now);
    }
}

auto Oracle::answered(std::uint64_t content, std::uint64_t answeredContent, TimePoint now) -> void
{
    auto &request = m_requests[content];
    // A request with a repeated key gets the answer to the first request with that key.
    const auto isOwn = content == answeredContent
        || (!request.idempotencyKey.empty() && m_requests[answeredContent].idempotencyKey == request.idempotencyKey);
    if (!isOwn || ++request.answers > 1) {
        fail(Invariant::OwnAnswer, "request " + std::to_string(content) + " got the answer " + std::to_string(answeredContent), now);
    }
}

auto Oracle::refused(std::uint64_t content, Execution execution, TimePoint now) -> void
{
    auto &request = m_requests[content];
    if (++request.answers > 1) {
        fail(Invariant::OwnAnswer, "request " + std::to_string(content) + " was answered twice", now);
    }
    request.reportedNotRun = execution == Execution::NotRun;
    if (request.reportedNotRun && request.runs > 0) {
        fail(Invariant::TrueRefusal, "request " + std::to_string(content) + " ran before the refusal not-run", now);
    }
}

auto Oracle::connectionLost(std::uint64_t content) -> void
{
    m_requests[content].lost = true;
}

auto Oracle::jobAccepted(const JobId &id) -> void
{
    m_acceptedJobs.insert(id);
}

auto Oracle::jobRefused(const std::string &name, Execution execution) -> void
{
    if (execution == Execution::NotRun) {
        m_refusedJobs.insert(name);
    }
}

auto Oracle::jobStarted(const Job &job, std::uint32_t attempt, TimePoint now) -> void
{
    auto &attempts = m_startedAttempts[job.id];
    attempts.insert(attempt);
    if (!job.spec.idempotent && attempts.size() > 1) {
        fail(Invariant::AtMostOnce, "non-idempotent job " + job.id.str() + " was started in two attempts", now);
    }
    if (m_refusedJobs.contains(job.spec.name)) {
        fail(Invariant::TrueRefusal, "job " + job.spec.name + " started after the refusal not-run", now);
    }
}

auto Oracle::leavingEndpointUsed(const std::string &endpoint, TimePoint now) -> void
{
    fail(Invariant::LeavingEndpoint, endpoint + " got new work", now);
}

auto Oracle::versionInForce(const std::string &process, std::uint64_t version, TimePoint now) -> void
{
    auto &last = m_versions[process];
    if (version < last) {
        fail(Invariant::ConfigurationNeverReverts,
             process + " went from version " + std::to_string(last) + " to " + std::to_string(version), now);
    }
    last = version;
}

auto Oracle::fail(Invariant invariant, std::string detail, TimePoint now) -> void
{
    m_violations.push_back({invariant, now, std::move(detail)});
}

auto Oracle::checkEnd(const State::Replica &replica, TimePoint now) -> void
{
    for (const auto &[content, it] : m_requests) {
        if (it.answers == 0 && !it.lost) {
            fail(Invariant::OwnAnswer, "request " + std::to_string(content) + " was never answered", now);
        }
    }
    for (const auto &id : m_acceptedJobs) {
        const auto *state = replica.job(id);
        if (!state || state->phase != State::JobPhase::Finished) {
            fail(Invariant::EveryJobHasOneOutcome, "job " + id.str() + " was accepted and has no outcome", now);
        }
    }
    for (const auto &[id, it] : replica.jobs()) {
        if (m_refusedJobs.contains(it.job.spec.name)) {
            fail(Invariant::TrueRefusal, "job " + it.job.spec.name + " is in the log after the refusal not-run", now);
        }
    }
    for (const auto &[key, it] : replica.idempotencyStates()) {
        if (!it.finished) {
            fail(Invariant::EveryJobHasOneOutcome, "idempotency key " + key.key + " has no outcome", now);
        }
    }
}

auto Oracle::violations() const noexcept -> const std::vector<Violation> &
{
    return m_violations;
}

} // namespace Acaciarail::Fuzz
