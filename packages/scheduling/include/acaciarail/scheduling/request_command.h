#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/shape.h>
#include <acaciarail/core/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Acaciarail::Scheduling {

/// A caller's request as the router sees it; its content stays with the caller server.
struct RequestInfo
{
    RequestId id = 0;
    ServiceName service;
    OrganisationName organisation;
    CallerName caller;
    Priority priority = Priority::Normal;
    /// Time after which an answer is of no use to the caller.
    TimePoint deadline;
    /// Whether the request may run more than once.
    bool idempotent = true;
    /// Size of the body; counted against the budget for other regions.
    std::uint64_t bodyBytes = 0;
};

/// How an attempt ended, as the endpoint client saw it.
enum class AttemptResultKind : std::uint8_t {
    /// A complete answer was received, with any status.
    Answered,
    /// The endpoint said that it is busy and did not run the request.
    Busy,
    /// The endpoint said that it is leaving and did not run the request.
    Leaving,
    /// The connection was lost after a byte of the request may have been sent; the request may have run.
    Failed,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// No complete answer arrived in time; the request may have run.
    TimedOut,
};

/// Returns `answered`, `busy`, `leaving`, `failed`, `connect-failed` or `timed-out`. \pre none. Thread-safe.
[[nodiscard]] auto attemptResultName(AttemptResultKind kind) noexcept -> std::string_view;

struct AttemptResult
{
    AttemptResultKind kind = AttemptResultKind::Failed;
    /// Status of the answer; 0 when there is none.
    std::uint32_t httpStatus = 0;
    /// Time from the command until the end of the attempt.
    Duration latency{};
};

/// Send the request to an endpoint.
struct SendAttempt
{
    RequestId request = 0;
    /// Counts from 1 within the request.
    std::uint32_t attempt = 0;
    EndpointName endpoint;
    /// `ADDRESS:PORT`.
    std::string address;
    /// Time after which the attempt is to end as TimedOut.
    Duration timeout{};
};

/// Answer the caller with a failure. The router forgets the request.
struct RefuseRequest
{
    RequestId request = 0;
    Failure failure;
};

/// Hand the answer of an attempt to the caller. The router forgets the request.
struct DeliverResponse
{
    RequestId request = 0;
    std::uint32_t attempt = 0;
};

/// Give up an attempt; its answer is no longer wanted. attemptEnded() may still be called for it and is then ignored.
struct CancelAttempt
{
    RequestId request = 0;
    std::uint32_t attempt = 0;
};

using RequestCommand = std::variant<SendAttempt, RefuseRequest, DeliverResponse, CancelAttempt>;

} // namespace Acaciarail::Scheduling
