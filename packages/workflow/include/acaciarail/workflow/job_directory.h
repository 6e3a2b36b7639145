#pragma once

#include <acaciarail/workflow/records.h>

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace Acaciarail::Workflow {

/// Phase of every job, derived from the records of both topics. The records of one topic are applied in order; those of the two topics may
/// interleave in any way. Maintained by every instance, also when it is not the holder. Not thread-safe.
class JobDirectory
{
public:
    /// \pre none.
    auto apply(const JobEntry &entry) -> void;
    /// \pre none.
    auto apply(const StateEntry &entry) -> void;
    /// Removes a job. \pre none.
    auto remove(const JobId &job) -> void;

    /// Returns whether the cancellation of a job is stored, also of one that is not known otherwise. \pre none.
    [[nodiscard]] auto isCancelled(const JobId &job) const -> bool;

    /// Returns the phase that is reported to callers; empty for an unknown job. \pre none.
    [[nodiscard]] auto phase(const JobId &job) const -> std::optional<JobPhase>;

    /// Returns the number of accepted jobs of a queue of which no task is known to have started. \pre none.
    [[nodiscard]] auto waitingJobs(const QueueName &queue) const -> std::size_t;

    /// Returns the number of known jobs. \pre none.
    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    struct Entry
    {
        QueueName queue;
        bool accepted = false;
        bool cancelled = false;
        /// A unit was assigned to workers; whether it has started there is not known yet.
        bool assigned = false;
        /// A task has started on a worker.
        bool started = false;
        std::optional<JobPhase> outcome;

        [[nodiscard]] auto isWaiting() const noexcept -> bool
        {
            return accepted && !cancelled && !started && !outcome;
        }
    };

    template<typename F>
    auto change(const JobId &job, F update) -> void;

    std::unordered_map<JobId, Entry> m_jobs;
    std::map<QueueName, std::size_t> m_waitingJobs;
};

} // namespace Acaciarail::Workflow
