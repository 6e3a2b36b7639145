#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Acaciarail::Scheduling {

/// Learns, for each organisation and kind of job, by which factor declared run times are wrong.
/// All methods: not thread-safe.
class RunTimeEstimator
{
public:
    /// Records the run time of an attempt that ran to its end. \pre both durations are positive.
    auto observe(const OrganisationName &organisation, std::string_view kind, Duration declared, Duration actual) -> void;

    /// Returns the run time that about half of such jobs exceed. \pre \a declared is positive.
    [[nodiscard]] auto typical(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration;

    /// Returns the run time that few such jobs exceed; the declared time times 10 is the most. \pre \a declared is positive.
    [[nodiscard]] auto cautious(const OrganisationName &organisation, std::string_view kind, Duration declared) const -> Duration;

    /// Returns the typical time that remains after \a elapsed; never zero, because a job past its estimate is likely to be one
    /// of the long ones. \pre \a estimate is positive.
    [[nodiscard]] static auto remaining(Duration estimate, Duration elapsed) noexcept -> Duration;

private:
    struct Samples
    {
        /// Most recent factors, in the order of arrival.
        std::vector<double> factors;
        std::size_t next = 0;
        std::vector<double> sorted;
    };

    auto add(const std::string &key, double factor) -> void;
    [[nodiscard]] auto factorAt(const OrganisationName &organisation, std::string_view kind, double q, double fallback) const -> double;

    std::unordered_map<std::string, Samples> m_samples;
};

} // namespace Acaciarail::Scheduling
