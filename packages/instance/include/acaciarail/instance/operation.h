#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/names.h>
#include <acaciarail/state/replica.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Acaciarail::Instance {

/// Identifies an operation that a caller or operator requested, within one instance.
using OperationId = std::uint64_t;

/// The job is in the log. \c isNew is false when an identical job with this name was submitted before.
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

/// A configuration change was accepted, or refused because of the conflicting document in \c effect.
struct ConfigPublished
{
    State::ConfigEffect effect;
};

/// Why the job waits, runs or ended, as JSON text.
struct JobExplained
{
    std::string explanation;
};

/// The operation failed. \c job is set when a submission has an unknown outcome.
struct OperationFailed
{
    Failure failure;
    JobId job;
};

using OperationResult = std::variant<JobSubmitted, CancelAccepted, ConfigPublished, JobExplained, OperationFailed>;

/// The parts of an endpoint's response that are stored, to answer a repeated non-idempotent request.
struct StoredResponse
{
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

/// Largest response body that the log stores for a non-idempotent request; an empty body is stored in place of a longer one.
inline constexpr std::size_t maxStoredBodyBytes = 16'384;

} // namespace Acaciarail::Instance
