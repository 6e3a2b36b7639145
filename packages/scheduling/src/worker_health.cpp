#include <acaciarail/scheduling/worker_health.h>

#include <algorithm>
#include <array>

namespace Acaciarail::Scheduling {

namespace {

constexpr std::array<std::string_view, 4> stateNames{"healthy", "suspect", "quarantined", "probation"};

/// A worker on probation becomes healthy with a success while it may run this many jobs at once.
constexpr std::uint32_t recoveryProbationJobs = 8;

} // namespace

auto healthStateName(HealthState state) noexcept -> std::string_view
{
    return stateNames.at(static_cast<std::size_t>(state));
}

WorkerHealth::WorkerHealth(WorkerHealthSettings settings)
    : m_settings(settings)
{
}

auto WorkerHealth::recordFailure(const WorkerName &worker, const JobId &job, TimePoint now) -> bool
{
    auto &it = m_records[worker];
    if (it.state == HealthState::Quarantined) {
        return false;
    }
    if (std::find(it.failedJobs.begin(), it.failedJobs.end(), job) == it.failedJobs.end()) {
        it.failedJobs.push_back(job);
    }
    if (it.state == HealthState::Probation || it.failedJobs.size() >= m_settings.failuresToQuarantine) {
        quarantine(it, now);
        return true;
    }
    it.state = HealthState::Suspect;
    return false;
}

auto WorkerHealth::recordSuccess(const WorkerName &worker, TimePoint now) -> void
{
    static_cast<void>(now);
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return;
    }
    auto &it = found->second;
    if (it.state == HealthState::Quarantined) {
        return;
    }
    it.failedJobs.clear();
    if (it.state == HealthState::Probation && it.probationJobs < recoveryProbationJobs) {
        it.probationJobs *= 2;
        return;
    }
    m_records.erase(found);
}

auto WorkerHealth::excludeJobFailures(const JobId &job) -> std::vector<WorkerName>
{
    std::vector<WorkerName> changed;
    for (auto &[worker, it] : m_records) {
        if (std::erase(it.failedJobs, job) == 0) {
            continue;
        }
        changed.push_back(worker);
        if (it.state == HealthState::Suspect && it.failedJobs.empty()) {
            it.state = HealthState::Healthy;
        }
        // Only the first quarantine is based on these failures alone; each later one followed a failure on probation.
        if (it.state == HealthState::Quarantined && it.quarantines == 1) {
            it.state = it.failedJobs.empty() ? HealthState::Healthy : HealthState::Suspect;
            it.quarantines = 0;
            --m_quarantined;
        }
    }
    std::sort(changed.begin(), changed.end());
    return changed;
}

auto WorkerHealth::removeWorker(const WorkerName &worker) -> void
{
    const auto it = m_records.find(worker);
    if (it == m_records.end()) {
        return;
    }
    m_quarantined -= it->second.state == HealthState::Quarantined ? 1 : 0;
    m_records.erase(it);
}

auto WorkerHealth::endQuarantines(TimePoint now) -> std::vector<WorkerName>
{
    std::vector<WorkerName> released;
    if (m_quarantined == 0) {
        return released;
    }
    for (auto &[worker, it] : m_records) {
        if (it.state == HealthState::Quarantined && it.quarantinedUntil <= now) {
            it.state = HealthState::Probation;
            it.probationJobs = 1;
            it.failedJobs.clear();
            --m_quarantined;
            released.push_back(worker);
        }
    }
    std::sort(released.begin(), released.end());
    return released;
}

auto WorkerHealth::state(const WorkerName &worker) const -> HealthState
{
    const auto it = m_records.find(worker);
    return it == m_records.end() ? HealthState::Healthy : it->second.state;
}

auto WorkerHealth::jobLimit(const WorkerName &worker) const -> std::optional<std::uint32_t>
{
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return std::nullopt;
    }
    const auto &it = found->second;
    switch (it.state) {
    case HealthState::Healthy:
        return std::nullopt;
    case HealthState::Suspect:
        return m_settings.failuresToQuarantine - static_cast<std::uint32_t>(it.failedJobs.size());
    case HealthState::Quarantined:
        return 0;
    case HealthState::Probation:
        return it.probationJobs;
    }
    return std::nullopt;
}

auto WorkerHealth::nextQuarantineEnd() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> next;
    if (m_quarantined == 0) {
        return next;
    }
    for (const auto &[worker, it] : m_records) {
        if (it.state == HealthState::Quarantined && (!next || it.quarantinedUntil < *next)) {
            next = it.quarantinedUntil;
        }
    }
    return next;
}

auto WorkerHealth::quarantinedCount() const noexcept -> std::uint32_t
{
    return m_quarantined;
}

auto WorkerHealth::quarantine(Record &record, TimePoint now) -> void
{
    auto duration = m_settings.quarantine;
    for (std::uint32_t i = 0; i < record.quarantines && duration < m_settings.maxQuarantine; ++i) {
        duration *= 2;
    }
    record.state = HealthState::Quarantined;
    record.quarantinedUntil = now + std::min(duration, m_settings.maxQuarantine);
    ++record.quarantines;
    ++m_quarantined;
}

} // namespace Acaciarail::Scheduling
