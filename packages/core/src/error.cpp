#include <acaciarail/core/error.h>

#include <array>
#include <cstddef>

namespace Acaciarail {

namespace {

constexpr std::array errorNames{
    "ok",
    "malformed-input",
    "too-large",
    "unknown-version",
    "unknown-organisation",
    "unknown-service",
    "unknown-job",
    "unauthenticated",
    "forbidden",
    "invalid-shape",
    "never-fits",
    "quota-exceeded",
    "duplicate-name",
    "deadline-passed",
    "deadline-unreachable",
    "overloaded",
    "log-unavailable",
    "no-endpoint",
    "endpoint-failed",
    "outcome-unknown",
    "in-progress",
    "key-reused",
    "config-conflict",
    "config-invalid",
    "guarantees-do-not-fit",
    "stale-term",
    "not-holder",
    "lease-expired",
    "capacity-taken",
    "draining",
    "timeout",
    "cancelled",
    "connection-lost",
};
static_assert(errorNames.size() == static_cast<std::size_t>(Error::ConnectionLost) + 1);

class Category final : public std::error_category
{
public:
    [[nodiscard]] auto name() const noexcept -> const char * override
    {
        return "acaciarail";
    }

    [[nodiscard]] auto message(int value) const -> std::string override
    {
        return errorName(static_cast<Error>(value));
    }
};

} // namespace

auto errorCategory() noexcept -> const std::error_category &
{
    static const Category category;
    return category;
}

auto make_error_code(Error e) noexcept -> std::error_code
{
    return {static_cast<int>(e), errorCategory()};
}

auto errorName(Error e) noexcept -> const char *
{
    const auto n = static_cast<std::size_t>(e);
    return n < errorNames.size() ? errorNames[n] : "unknown-error";
}

auto executionName(Execution e) noexcept -> const char *
{
    switch (e) {
    case Execution::NotRun:
        return "not-run";
    case Execution::Ran:
        return "ran";
    case Execution::Unknown:
        break;
    }
    return "unknown";
}

} // namespace Acaciarail
