#pragma once

#include <string>
#include <system_error>

namespace Acaciarail {

/// Error codes shared by all packages. The stable name of each code is part of the HTTP interface.
enum class Error {
    Ok = 0,
    MalformedInput,
    TooLarge,
    UnknownVersion,
    UnknownOrganisation,
    UnknownService,
    UnknownJob,
    Unauthenticated,
    Forbidden,
    InvalidShape,
    NeverFits,
    QuotaExceeded,
    DuplicateName,
    DeadlinePassed,
    DeadlineUnreachable,
    Overloaded,
    LogUnavailable,
    NoEndpoint,
    EndpointFailed,
    OutcomeUnknown,
    InProgress,
    KeyReused,
    ConfigConflict,
    ConfigInvalid,
    GuaranteesDoNotFit,
    StaleTerm,
    NotHolder,
    LeaseExpired,
    CapacityTaken,
    Draining,
    Timeout,
    Cancelled,
    ConnectionLost,
};

/// Whether the work behind a failed request was carried out.
enum class Execution {
    NotRun,
    Ran,
    Unknown,
};

/// Returns the category of \ref Error.
/// \pre none. Thread-safe.
[[nodiscard]] auto errorCategory() noexcept -> const std::error_category &;

/// \pre none. Thread-safe.
[[nodiscard]] auto make_error_code(Error e) noexcept -> std::error_code;

/// Returns the stable, kebab-case name of \a e, such as `quota-exceeded`.
/// \pre none. Thread-safe.
[[nodiscard]] auto errorName(Error e) noexcept -> const char *;

/// Returns `not-run`, `ran` or `unknown`.
/// \pre none. Thread-safe.
[[nodiscard]] auto executionName(Execution e) noexcept -> const char *;

/// An error together with the message that is shown to people.
struct Failure
{
    Error error = Error::Ok;
    Execution execution = Execution::NotRun;
    std::string detail;
};

} // namespace Acaciarail

template<>
struct std::is_error_code_enum<Acaciarail::Error> : std::true_type
{
};
