#include <acaciarail/scheduling/zone_scheduler.h>

#include "zone_state.h"

#include <array>

namespace Acaciarail::Scheduling {

namespace {

constexpr std::array<std::string_view, 6> stateNames{"queued", "reserved", "reclaiming", "starting", "running", "stopping"};
constexpr std::array<std::string_view, 8> waitNames{"none",        "not-considered-yet", "no-capacity",         "team-quota",
                                                    "class-limit", "retry-backoff",      "guarantee-shortfall", "fleet-too-small"};

} // namespace

auto jobStateName(JobState state) noexcept -> std::string_view
{
    return stateNames.at(static_cast<std::size_t>(state));
}

auto waitReasonName(WaitReason reason) noexcept -> std::string_view
{
    return waitNames.at(static_cast<std::size_t>(reason));
}

ZoneScheduler::ZoneScheduler(ZoneSchedulerSettings settings, std::uint64_t seed)
    : m_state(std::make_unique<Detail::ZoneState>(std::move(settings), seed))
{
}

ZoneScheduler::~ZoneScheduler() = default;
ZoneScheduler::ZoneScheduler(ZoneScheduler &&other) noexcept = default;
auto ZoneScheduler::operator=(ZoneScheduler &&other) noexcept -> ZoneScheduler & = default;

auto ZoneScheduler::setPolicy(const JobPolicy &policy, TimePoint now) -> void
{
    m_state->setPolicy(policy, now);
}

auto ZoneScheduler::workerJoined(const WorkerInfo &worker, TimePoint now) -> void
{
    m_state->workerJoined(worker, now);
}

auto ZoneScheduler::workerLeaving(const WorkerName &name, TimePoint now) -> void
{
    m_state->workerLeaving(name, now);
}

auto ZoneScheduler::workerLost(const WorkerName &name, TimePoint now) -> void
{
    m_state->workerLost(name, now);
}

auto ZoneScheduler::submit(const Job &job, TimePoint now) -> std::optional<Failure>
{
    return m_state->submit(job, now);
}

auto ZoneScheduler::adopt(const RunningAttempt &attempt, TimePoint now) -> void
{
    m_state->adopt(attempt, now);
}

auto ZoneScheduler::cancel(const JobId &id, TimePoint now) -> void
{
    m_state->cancel(id, now);
}

auto ZoneScheduler::attemptStarted(const JobId &id, std::uint32_t attempt, TimePoint now) -> void
{
    m_state->attemptStarted(id, attempt, now);
}

auto ZoneScheduler::attemptEnded(const JobId &id, std::uint32_t attempt, const AttemptEnd &end, TimePoint now) -> void
{
    m_state->attemptEnded(id, attempt, end, now);
}

auto ZoneScheduler::decide(TimePoint now) -> std::vector<JobCommand>
{
    return m_state->decide(now);
}

auto ZoneScheduler::nextDeadline() const -> std::optional<TimePoint>
{
    return m_state->nextDeadline();
}

auto ZoneScheduler::explain(const JobId &id, TimePoint now) const -> std::optional<Explanation>
{
    return m_state->explain(id, now);
}

auto ZoneScheduler::summary() const -> ZoneSummary
{
    return m_state->summary();
}

auto ZoneScheduler::verify() const -> std::string
{
    return m_state->verify();
}

} // namespace Acaciarail::Scheduling
