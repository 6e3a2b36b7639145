#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Scheduling {

/// Estimates run times from the recent ratios of actual to declared run time of each organisation and kind of job.
/// An attempt is one start of a unit or gang. All methods: not thread-safe.
class RunTimeEstimator
{
public:
    /// Records the run time of an attempt that ran to completion. \pre both durations are positive.
    auto recordRunTime(const OrganisationName &organisation, std::string_view kind, Duration declared, Duration actual) -> void;

    /// Returns the run time that about half of such jobs exceed. \pre \a declared is positive.
    [[nodiscard]] auto typicalRunTime(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration;

    /// Returns the run time that few such jobs exceed, at most 10 times the declared time. \pre \a declared is positive.
    [[nodiscard]] auto cautiousRunTime(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration;

    /// Returns the expected remaining run time after \a elapsed; never zero, because a job that has exceeded its estimate is likely to run
    /// much longer. \pre \a estimate is positive.
    [[nodiscard]] static auto remainingRunTime(Duration estimate, Duration elapsed) noexcept -> Duration;

private:
    struct Samples
    {
        /// Ring buffer of the most recent ratios.
        std::vector<double> ratios;
        std::size_t next = 0;
        std::vector<double> sorted;
    };

    auto add(const std::string &key, double ratio) -> void;
    [[nodiscard]] auto ratioQuantile(const OrganisationName &organisation, std::string_view kind, double quantile, double fallback) const
        -> double;

    std::unordered_map<std::string, Samples> m_samples;
};

} // namespace Acaciarail::Scheduling
