#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/shape.h>
#include <acaciarail/core/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Acaciarail {

/// Capacity guaranteed to an organisation, or to one of its teams, in one zone: that of `count` gangs of the shape.
struct Guarantee
{
    ZoneName zone;
    /// Empty when the guarantee is for the whole organisation.
    TeamName team;
    Shape shape;
    std::uint32_t count = 0;
};

/// Limit on the accelerators that a team uses at once in one zone.
struct TeamPolicy
{
    TeamName name;
    std::uint32_t maxAccelerators = 0;
};

/// A caller and the SHA-256 of its token, in lower-case hexadecimal.
struct CallerPolicy
{
    CallerName name;
    std::string tokenSha256;
    bool isOperator = false;
};

struct OrganisationPolicy
{
    OrganisationName name;
    /// Relative share of capacity and of requests; at least 1.
    std::uint32_t share = 1;
    std::vector<Guarantee> guarantees;
    std::vector<TeamPolicy> teams;
    std::vector<CallerPolicy> callers;
};

struct ServicePolicy
{
    ServiceName name;
    /// Longest time that one attempt may take.
    Duration attemptTimeout = std::chrono::seconds(10);
    /// Extra attempts as a fraction of first attempts.
    double retryBudget = 0.1;
    /// Attempts for one request, the first included.
    std::uint32_t maxAttempts = 3;
    /// Bytes a second that may be sent to other regions.
    std::uint64_t crossRegionBytesPerSecond = 1'000'000;
};

/// Largest fraction of capacity that each priority may take while others wait.
using ClassLimits = std::array<double, priorityCount>;

/// Urgent work may take at most half, so that a large amount of it does not starve the other classes.
inline constexpr ClassLimits defaultClassLimits{0.5, 0.8, 0.2};

/// What the job scheduler of one zone needs from the configuration.
struct JobPolicy
{
    std::vector<OrganisationPolicy> organisations;
    ClassLimits classLimits = defaultClassLimits;
};

/// What the request router needs from the configuration.
struct RequestPolicy
{
    std::vector<OrganisationPolicy> organisations;
    std::vector<ServicePolicy> services;
    ClassLimits classLimits = defaultClassLimits;
};

} // namespace Acaciarail
