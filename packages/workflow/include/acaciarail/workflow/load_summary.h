#pragma once

#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <vector>

namespace Acaciarail::Workflow {

/// Work of waiting units of similar size, by the estimates of their tasks.
struct WaitingWork
{
    /// The units need between 2^sizeClass and 2^(sizeClass + 1) cores; see unitSizeClass().
    std::int32_t sizeClass = 0;
    std::uint64_t units = 0;
    double coreSeconds = 0;
    double gibSeconds = 0;
    double acceleratorSeconds = 0;

    /// Returns the work in core-seconds, with accelerators as the cores that they are equivalent to. \pre none. Thread-safe.
    [[nodiscard]] constexpr auto weightedCoreSeconds() const noexcept -> double
    {
        return coreSeconds + coresPerAccelerator * acceleratorSeconds;
    }
    friend auto operator==(const WaitingWork &, const WaitingWork &) noexcept -> bool = default;
};

/// Backlog of the jobs of a service and priority that have an objective and can still reach a part of their value.
struct PriorityLoad
{
    ServiceName service;
    std::uint32_t priority = 0;
    std::vector<WaitingWork> waiting;
    /// Work that was started in a second, in weighted core-seconds of its estimates: the highest average over the last four to ten seconds.
    /// Negative while the holder has not observed this for long enough.
    double startedPerSecond = -1;

    friend auto operator==(const PriorityLoad &, const PriorityLoad &) noexcept -> bool = default;
};

struct ServiceLoad
{
    ServiceName service;
    /// Capacity of the listed workers that do not shut down.
    double cores = 0;
    double gib = 0;
    double accelerators = 0;
    /// Run time of recent runs as a multiple of their estimates, weighted by work, and its standard deviation.
    double runTimeRatio = 0;
    double runTimeDeviation = 0;
    /// Number of equally large runs that the two figures above are as reliable as.
    double observedRuns = 0;

    friend auto operator==(const ServiceLoad &, const ServiceLoad &) noexcept -> bool = default;
};

/// Accelerators that all unfinished jobs of priority 0 of an organisation with a guarantee need together.
struct GuaranteeUse
{
    OrganisationName organisation;
    std::int64_t accelerators = 0;

    friend auto operator==(const GuaranteeUse &, const GuaranteeUse &) noexcept -> bool = default;
};

/// Load of the fleet as the holder knows it; empty without a backlog. The holder publishes it, and every instance decides by it whether to
/// reject a job.
struct LoadSummary
{
    std::uint64_t term = 0;
    /// Time from the end of the holder's takeover to this summary.
    Duration timeInOffice{};
    std::vector<ServiceLoad> services;
    std::vector<PriorityLoad> priorities;
    std::vector<GuaranteeUse> guarantees;

    friend auto operator==(const LoadSummary &, const LoadSummary &) noexcept -> bool = default;
};

/// Returns the size class of a unit that needs this many weighted cores. \pre none. Thread-safe.
[[nodiscard]] auto unitSizeClass(double weightedCores) noexcept -> std::int32_t;

} // namespace Acaciarail::Workflow
