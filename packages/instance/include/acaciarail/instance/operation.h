#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/names.h>
#include <acaciarail/state/replica.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Acaciarail::Instance {

/// Number of an operation of a caller or operator within one instance.
using OperationId = std::uint64_t;

/// The job is in the log. \c isNew is false when an equal submission had the name before.
struct JobSubmitted
{
    JobId job;
    bool isNew = true;
};

/// The request to cancel is in the log; the job ends as cancelled unless it ends otherwise first.
struct CancelAccepted
{
    JobId job;
};

/// A configuration change was accepted, or refused in favour of the winner that it names.
struct ConfigPublished
{
    State::ConfigApplied applied;
};

/// Explanation of a job, as JSON text.
struct JobExplained
{
    std::string explanation;
};

/// The operation failed. \c job is set when a submission is in doubt.
struct OperationFailed
{
    Failure failure;
    JobId job;
};

using OperationResult = std::variant<JobSubmitted, CancelAccepted, ConfigPublished, JobExplained, OperationFailed>;

/// The answer of an endpoint, as far as it is kept for repeated non-idempotent requests.
struct StoredResponse
{
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

/// Largest body that is kept in the log with a non-idempotent request; a longer one is replaced by an empty one.
inline constexpr std::size_t maxStoredBodyBytes = 16'384;

} // namespace Acaciarail::Instance
