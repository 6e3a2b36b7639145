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

/// Properties of a caller's request that the router needs; the content stays with the caller server.
struct RequestInfo
{
    RequestId id = 0;
    ServiceName service;
    OrganisationName organisation;
    CallerName caller;
    Priority priority = Priority::Normal;
    /// Time after which a response is useless to the caller.
    TimePoint deadline;
    /// Whether the request may run more than once.
    bool idempotent = true;
    /// Size of the body; counted against the byte budget for attempts in other regions.
    std::uint64_t bodyBytes = 0;
};

/// How an attempt ended, as reported by the endpoint client. An attempt is one transmission of a request to an endpoint.
enum class AttemptResultKind : std::uint8_t {
    /// A complete response was received, with any status.
    Answered,
    /// The endpoint answered that it is busy and did not run the request.
    Busy,
    /// The endpoint answered that it is leaving and did not run the request.
    Leaving,
    /// The connection was lost after a byte of the request may have been sent; the request may have run.
    Failed,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// No complete response arrived in time; the request may have run.
    TimedOut,
};

/// Returns `answered`, `busy`, `leaving`, `failed`, `connect-failed` or `timed-out`. \pre none. Thread-safe.
[[nodiscard]] auto attemptResultName(AttemptResultKind kind) noexcept -> std::string_view;

struct AttemptResult
{
    AttemptResultKind kind = AttemptResultKind::Failed;
    /// HTTP status of the response; 0 without a response.
    std::uint32_t httpStatus = 0;
    /// Time from the SendAttempt command to the end of the attempt.
    Duration latency{};
};

/// Command to send the request to an endpoint.
struct SendAttempt
{
    RequestId request = 0;
    /// Number of the attempt; counts from 1 within the request.
    std::uint32_t attempt = 0;
    EndpointName endpoint;
    /// `ADDRESS:PORT`.
    std::string address;
    /// Time after which the attempt is to end as TimedOut.
    Duration timeout{};
};

/// Command to answer the caller with a failure. The router no longer knows the request.
struct RefuseRequest
{
    RequestId request = 0;
    Failure failure;
};

/// Command to return the response of an attempt to the caller. The router no longer knows the request.
struct DeliverResponse
{
    RequestId request = 0;
    std::uint32_t attempt = 0;
};

/// Command to cancel an attempt whose response is no longer needed. attemptEnded() may still be called for it and is then ignored.
struct CancelAttempt
{
    RequestId request = 0;
    std::uint32_t attempt = 0;
};

using RequestCommand = std::variant<SendAttempt, RefuseRequest, DeliverResponse, CancelAttempt>;

} // namespace Acaciarail::Scheduling
