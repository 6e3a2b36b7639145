#include <acaciarail/workflow/admission_policy.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace Acaciarail::Workflow {

namespace {

/// A summary is up to maxSummaryAge old, so an organisation counts as beyond its guarantee only when it needs this many times as much.
constexpr std::int64_t guaranteeMargin = 2;

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

/// Converts to a duration; bounded, as a rate of nearly zero gives a time that a duration cannot represent.
auto fromSeconds(double s) -> Duration
{
    constexpr double limit = 1e6;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::clamp(s, 0.0, limit)));
}

/// Returns a number in [0, 1) that is the same at every instance (FNV-1a).
auto hashFraction(std::string_view text) -> double
{
    std::uint32_t hash = 2'166'136'261U;
    for (const auto c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 16'777'619U;
    }
    return static_cast<double>(hash) / (static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 1.0);
}

/// Returns the size class of the largest unit of a job, which cannot end before that unit is placed.
auto largestSizeClass(const JobSpec &job) -> std::int32_t
{
    double largest = 0;
    for (const auto &it : job.steps) {
        largest = std::max(largest, weightedCores(it.taskDemand) * (it.gang ? it.count : 1));
    }
    return unitSizeClass(largest);
}

/// Adds the work of units that are not larger than \a sizeClass: smaller units fill gaps that are too small for larger ones.
auto addWork(WaitingWork &sum, const PriorityLoad &load, std::int32_t sizeClass) -> void
{
    for (const auto &it : load.waiting) {
        if (it.sizeClass <= sizeClass) {
            sum.units += it.units;
            sum.coreSeconds += it.coreSeconds;
            sum.gibSeconds += it.gibSeconds;
            sum.acceleratorSeconds += it.acceleratorSeconds;
        }
    }
}

/// Returns the seconds that the whole capacity needs for \a work; the scarcest resource decides.
auto secondsAtFullCapacity(const WaitingWork &work, const ServiceLoad &service) -> double
{
    const auto share = [](double amount, double capacity) { return capacity > 0 ? amount / capacity : 0.0; };
    return std::max({share(work.coreSeconds, service.cores), share(work.gibSeconds, service.gib),
                     share(work.acceleratorSeconds, service.accelerators)});
}

} // namespace

auto unitSizeClass(double weightedCores) noexcept -> std::int32_t
{
    constexpr double smallest = 1.0 / 1024;
    return static_cast<std::int32_t>(std::floor(std::log2(std::max(weightedCores, smallest))));
}

AdmissionPolicy::AdmissionPolicy(AdmissionSettings settings)
    : m_settings(settings)
{
}

/// Returns why the load is not taken into account for a job; empty when it is.
auto AdmissionPolicy::inapplicability(const AdmissionInput &input) const -> std::string_view
{
    const auto &job = input.job;
    if (input.policy.targetLatency <= Duration::zero()) {
        return "no-objective";
    }
    if (job.occurrences > 0
        || std::any_of(job.steps.begin(), job.steps.end(), [](const StepSpec &s) { return s.longRunning || !s.requiredLabel.empty(); })) {
        return "kind-of-job";
    }
    if (input.summary == nullptr) {
        return "no-summary";
    }
    if (input.summaryAge > m_settings.maxSummaryAge) {
        return "old-summary";
    }
    if (input.summary->timeInOffice < m_settings.minTimeInOffice) {
        return "new-holder";
    }
    if (input.policy.priority == 0 && input.guaranteedAccelerators > 0) {
        const auto &uses = input.summary->guarantees;
        const auto use = std::find_if(uses.begin(), uses.end(), [&](const GuaranteeUse &g) { return g.organisation == job.organisation; });
        if (use == uses.end() || use->accelerators <= guaranteeMargin * input.guaranteedAccelerators) {
            return "guaranteed";
        }
    }
    return {};
}

auto AdmissionPolicy::decide(const AdmissionInput &input) const -> AdmissionDecision
{
    AdmissionDecision out;
    out.reason = inapplicability(input);
    if (!out.reason.empty()) {
        return out;
    }
    const auto &summary = *input.summary;
    const auto service = std::find_if(summary.services.begin(), summary.services.end(),
                                      [&](const ServiceLoad &s) { return s.service == input.policy.service; });
    const auto sizeClass = largestSizeClass(input.job);
    WaitingWork same;
    WaitingWork all;
    bool rateKnown = false;
    for (const auto &it : summary.priorities) {
        if (it.service == input.policy.service && it.priority <= input.policy.priority) {
            addWork(all, it, sizeClass);
            if (it.priority == input.policy.priority) {
                addWork(same, it, sizeClass);
                out.startedPerSecond = it.startedPerSecond;
                rateKnown = it.startedPerSecond >= 0;
            }
        }
    }
    if (service == summary.services.end() || same.units == 0) {
        out.reason = "no-backlog";
        return out;
    }
    if (!rateKnown || service->observedRuns < m_settings.minObservedRuns || service->runTimeRatio <= 0) {
        out.reason = "not-observed";
        return out;
    }
    const auto relativeDeviation = service->runTimeDeviation / service->runTimeRatio;
    // Errors of estimates cancel each other out over many units.
    const auto favourable = [&](const WaitingWork &work) {
        const auto units = static_cast<double>(work.units);
        return std::max(0.0,
                        1.0 - m_settings.deviations * relativeDeviation * (1 / std::sqrt(units) + 1 / std::sqrt(service->observedRuns)));
    };
    const auto chain = seconds(longestChain(input.job));
    const auto shortestRun = chain * std::max(0.0, service->runTimeRatio - m_settings.deviations * service->runTimeDeviation);
    // The objective is longer than the estimate says if the estimate is too low: as much as is usual, and at most.
    const auto objectiveAt = [&](double runTimeRatio) {
        return input.policy.stretch * chain * std::max(1.0, runTimeRatio) + seconds(input.policy.targetLatency);
    };
    const auto usualObjective = objectiveAt(service->runTimeRatio);
    const auto longestObjective = objectiveAt(service->runTimeRatio + m_settings.deviations * service->runTimeDeviation);
    const auto age = seconds(input.summaryAge);
    const auto waitAtRate = [&](double work) {
        return out.startedPerSecond > 0 ? work / out.startedPerSecond : std::numeric_limits<double>::infinity();
    };
    out.objective = objectiveOf(input.job, input.policy);
    out.unitsAhead = same.units;
    out.workAhead = same.weightedCoreSeconds();
    const auto earliestEnd =
        std::max(0.0, secondsAtFullCapacity(all, *service) * service->runTimeRatio * favourable(all) - age) + shortestRun;
    // The rate at which an idle fleet was filled cannot be sustained.
    const auto expectedEnd = std::max(std::max(0.0, waitAtRate(out.workAhead * favourable(same)) - age) + shortestRun, earliestEnd);
    out.expectedEnd = fromSeconds(expectedEnd);
    out.earliestEnd = fromSeconds(earliestEnd);
    if (expectedEnd <= std::max(valuelessAfterObjectives * seconds(out.objective), longestObjective)) {
        out.reason = "has-value";
        return out;
    }
    if (earliestEnd <= usualObjective) {
        out.reason = "may-be-on-time";
        return out;
    }
    out.rejected = true;
    out.reason = "no-value-left";
    // A job that comes when the backlog has shrunk to what its objective leaves time for is on time.
    const auto tolerableWait = seconds(out.objective) - chain * service->runTimeRatio;
    out.retryAfter = retryDelay(input.job.id, waitAtRate(out.workAhead) - std::max(0.0, tolerableWait));
    return out;
}

auto AdmissionPolicy::retryDelay(const JobId &job, double secondsUntilRoom) const -> std::chrono::seconds
{
    const auto room = std::clamp(secondsUntilRoom, 0.0, static_cast<double>(m_settings.maxRetryDelay.count()));
    const auto spread = std::max(room * m_settings.retrySpread, static_cast<double>(m_settings.minRetrySpread.count()));
    const auto delay = room + spread * hashFraction(job.str());
    return std::max(std::chrono::seconds(1), std::chrono::seconds(static_cast<std::int64_t>(std::ceil(delay))));
}

} // namespace Acaciarail::Workflow
