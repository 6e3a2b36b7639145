#include <acaciarail/workflow/job_directory.h>

namespace Acaciarail::Workflow {

template<typename F>
auto JobDirectory::change(const JobId &job, F update) -> void
{
    auto &entry = m_jobs[job];
    const bool wasWaiting = entry.isWaiting();
    const auto queue = entry.queue;
    update(entry);
    if (wasWaiting) {
        --m_waitingJobs[queue];
    }
    if (entry.isWaiting()) {
        ++m_waitingJobs[entry.queue];
    }
}

auto JobDirectory::apply(const JobEntry &entry) -> void
{
    change(entry.job, [&](Entry &e) {
        if (entry.spec) {
            e.accepted = true;
            e.queue = entry.spec->queue;
        } else {
            e.cancelled = true;
        }
    });
}

auto JobDirectory::apply(const StateEntry &entry) -> void
{
    if (const auto *unit = std::get_if<UnitEntry>(&entry)) {
        if (unit->state && unit->state->run > 0) {
            change(unit->unit.job, [unit](Entry &e) {
                e.assigned = true;
                e.started = e.started || unit->state->hasBegun;
            });
        }
    } else if (const auto *outcome = std::get_if<OutcomeEntry>(&entry)) {
        change(outcome->job, [&](Entry &e) { e.outcome = outcome->phase; });
    } else if (const auto *removed = std::get_if<OutcomeRemovedEntry>(&entry)) {
        remove(removed->job);
    }
}

auto JobDirectory::isCancelled(const JobId &job) const -> bool
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && it->second.cancelled;
}

auto JobDirectory::remove(const JobId &job) -> void
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end()) {
        return;
    }
    if (it->second.isWaiting()) {
        --m_waitingJobs[it->second.queue];
    }
    m_jobs.erase(it);
}

auto JobDirectory::phase(const JobId &job) const -> std::optional<JobPhase>
{
    const auto it = m_jobs.find(job);
    // Only an accepted job is assigned, but the two topics are read independently of each other.
    if (it == m_jobs.end() || (!it->second.accepted && !it->second.assigned && !it->second.outcome)) {
        return std::nullopt;
    }
    const auto &entry = it->second;
    if (entry.outcome) {
        return entry.outcome;
    }
    if (entry.cancelled) {
        return JobPhase::Cancelled;
    }
    return entry.started ? JobPhase::Running : JobPhase::Queued;
}

auto JobDirectory::waitingJobs(const QueueName &queue) const -> std::size_t
{
    const auto it = m_waitingJobs.find(queue);
    return it == m_waitingJobs.end() ? 0 : it->second;
}

auto JobDirectory::size() const noexcept -> std::size_t
{
    return m_jobs.size();
}

} // namespace Acaciarail::Workflow
