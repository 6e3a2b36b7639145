#pragma once

#include <acaciarail/workflow/records.h>

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace Acaciarail::Workflow {

/// What an instance knows of each job without being the holder; a fold of both topics, in any order between them. Not thread-safe.
class JobDirectory
{
public:
    /// \pre none.
    auto apply(const JobEntry &entry) -> void;
    /// \pre none.
    auto apply(const StateEntry &entry) -> void;
    /// Forgets a job. \pre none.
    auto forget(const JobId &job) -> void;

    /// Returns the phase that is shown to callers; empty for an unknown job. \pre none.
    [[nodiscard]] auto phase(const JobId &job) const -> std::optional<JobPhase>;

    /// Returns the number of accepted jobs of a queue that have not begun. \pre none.
    [[nodiscard]] auto waiting(const QueueName &queue) const -> std::size_t;

    /// Returns the number of known jobs. \pre none.
    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    struct Entry
    {
        QueueName queue;
        bool accepted = false;
        bool cancelled = false;
        bool begun = false;
        std::optional<JobPhase> outcome;

        [[nodiscard]] auto isWaiting() const noexcept -> bool
        {
            return accepted && !cancelled && !begun && !outcome;
        }
    };

    template<typename F>
    auto change(const JobId &job, F update) -> void;

    std::unordered_map<JobId, Entry> m_jobs;
    std::map<QueueName, std::size_t> m_waiting;
};

} // namespace Acaciarail::Workflow
