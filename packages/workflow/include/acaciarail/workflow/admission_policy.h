#pragma once

#include <acaciarail/workflow/job.h>
#include <acaciarail/workflow/load_summary.h>
#include <acaciarail/workflow/objective.h>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace Acaciarail::Workflow {

struct AdmissionSettings
{
    /// An older summary rejects nothing: the backlog may have been served since. Four times the interval at which the holder writes it.
    Duration maxSummaryAge = 2s;
    /// Time after which a new holder has polled the workers, and knows which runs of its predecessor still use them.
    Duration minTimeInOffice = 3s;
    /// Fewer observed runs say too little about how much the estimates are off.
    double minObservedRuns = 5;
    /// Figures that depend on estimates are shifted by this many standard deviations in the job's favour; 2.3% of a normal distribution lie
    /// beyond two.
    double deviations = 2;
    /// Longest time after which room is expected that is told to a caller; the load is not known further ahead.
    std::chrono::seconds maxRetryDelay = std::chrono::seconds(60);
    /// Retries are spread over this share of the time after which room is expected, and over minRetrySpread at least.
    double retrySpread = 0.5;
    std::chrono::seconds minRetrySpread = std::chrono::seconds(2);
};

struct AdmissionInput
{
    const JobSpec &job;
    /// Of the job's queue.
    const QueuePolicy &policy;
    /// Accelerators that are guaranteed to the job's organisation.
    std::int64_t guaranteedAccelerators = 0;
    /// Null when there is none.
    const LoadSummary *summary = nullptr;
    /// Upper bound of the time since the summary was made.
    Duration summaryAge{};
};

struct AdmissionDecision
{
    bool rejected = false;
    /// Why the job was accepted or rejected.
    std::string_view reason;
    /// When rejected: time after which the caller may try again.
    std::chrono::seconds retryAfter{};
    Duration objective{};
    /// When the job is expected to end if work continues to be started at the present rate, counted from now.
    Duration expectedEnd{};
    /// The earliest end if the whole capacity served only the work that is ahead of the job.
    Duration earliestEnd{};
    std::uint64_t unitsAhead = 0;
    /// Work of the same priority that is ahead, in weighted core-seconds.
    double workAhead = 0;
    double startedPerSecond = 0;
};

/// Decides whether a job is accepted or rejected at once.
///
/// Answers demand that exceeds the capacity for longer than objectives last: without it, a backlog grows until every job that is accepted
/// ends when its result is worthless, and callers learn that only then. A job is rejected only if it is expected to end when it has no
/// value any more, and could not be on time even if the whole capacity were used for its priority from now on, with the uncertainty of
/// estimates and speeds counted in its favour. Not rejected are jobs without an objective, with a schedule, with tasks that run until they
/// are cancelled or that need a label, and urgent jobs within their organisation's guarantee. Performs no input or output. Thread-safe.
class AdmissionPolicy
{
public:
    /// \pre none.
    explicit AdmissionPolicy(AdmissionSettings settings = {});

    /// \pre none.
    [[nodiscard]] auto decide(const AdmissionInput &input) const -> AdmissionDecision;

private:
    [[nodiscard]] auto inapplicability(const AdmissionInput &input) const -> std::string_view;
    [[nodiscard]] auto retryDelay(const JobId &job, double secondsUntilRoom) const -> std::chrono::seconds;

    AdmissionSettings m_settings;
};

} // namespace Acaciarail::Workflow
