#include <acaciarail/instance/gang_launch.h>

#include <algorithm>

namespace Acaciarail::Instance {

GangLaunch::GangLaunch(GangLaunchSettings settings, Worker::AttemptId id, Job job, std::vector<GangMember> members, Term term)
    : m_settings(settings)
    , m_id(std::move(id))
    , m_job(std::move(job))
    , m_term(term)
{
    m_members.reserve(members.size());
    for (auto &it : members) {
        m_members.push_back({std::move(it.worker), it.tasks, MemberState::Idle, {}, false, {}});
    }
}

auto GangLaunch::adopt(GangLaunchSettings settings, Worker::AttemptId id, Job job, std::vector<GangMember> members, Term term) -> GangLaunch
{
    GangLaunch launch(settings, std::move(id), std::move(job), std::move(members), term);
    launch.m_phase = LaunchPhase::Running;
    launch.m_mayHaveStarted = true;
    for (auto &it : launch.m_members) {
        it.state = MemberState::Unknown;
    }
    return launch;
}

auto GangLaunch::begin(TimePoint now, const SendToWorker &send) -> void
{
    enter(LaunchPhase::Reserving, now);
    m_lastSent = now;
    for (auto &it : m_members) {
        sendReserve(it, now, send);
    }
}

auto GangLaunch::reserved(const WorkerName &worker, const Worker::Reserved &reply, TimePoint now) -> void
{
    auto *member = find(worker);
    if (!member || m_phase != LaunchPhase::Reserving) {
        return;
    }
    if (reply.granted) {
        member->state = MemberState::Reserved;
    } else {
        fail(worker, now);
    }
}

auto GangLaunch::started(const WorkerName &worker, const Worker::Started &reply) -> void
{
    auto *member = find(worker);
    if (!member || m_phase != LaunchPhase::Starting || member->state != MemberState::Reserved) {
        return;
    }
    if (reply.started) {
        member->state = MemberState::Started;
    } else {
        fail(worker, m_phaseSince);
    }
}

auto GangLaunch::confirmed(const WorkerName &worker) -> void
{
    auto *member = find(worker);
    if (member && member->state == MemberState::Started) {
        member->state = MemberState::Confirmed;
    }
}

auto GangLaunch::checkpointed(const WorkerName &worker) -> void
{
    if (auto *member = find(worker)) {
        member->checkpointed = true;
    }
}

auto GangLaunch::ended(const WorkerName &worker, const AttemptEnd &end) -> void
{
    auto *member = find(worker);
    if (!member || member->state == MemberState::Ended || m_phase == LaunchPhase::Reserving || m_phase == LaunchPhase::WaitingForLog) {
        return;
    }
    endMember(*member, end);
}

auto GangLaunch::reported(const WorkerName &worker, const Worker::AttemptReport &report) -> void
{
    auto *member = find(worker);
    if (!member || member->state == MemberState::Ended) {
        return;
    }
    switch (report.state) {
    case Worker::AttemptState::Reserved:
        // The previous holder did not start this member, so the gang is incomplete.
        memberLost(worker);
        break;
    case Worker::AttemptState::Unconfirmed:
        member->state = MemberState::Started;
        break;
    case Worker::AttemptState::Running:
        member->state = MemberState::Confirmed;
        break;
    case Worker::AttemptState::Ended:
        endMember(*member, report.end);
        break;
    }
}

auto GangLaunch::memberLost(const WorkerName &worker) -> void
{
    auto *member = find(worker);
    if (member && member->state != MemberState::Ended && m_mayHaveStarted) {
        endMember(*member, {AttemptEndKind::Lost, worker, member->checkpointed});
    } else if (member && !m_mayHaveStarted) {
        fail(worker, m_phaseSince);
        member->state = MemberState::Ended;
    }
}

auto GangLaunch::checkpoint(Duration grace, const SendToWorker &send) -> void
{
    m_isCheckpointing = true;
    for (const auto &it : m_members) {
        if (it.state != MemberState::Ended) {
            send(it.worker, Worker::Checkpoint{m_term, m_id, grace});
        }
    }
}

auto GangLaunch::stop(TimePoint now) -> void
{
    if (m_phase == LaunchPhase::WaitingForLog) {
        m_launchFailed = true;
        enter(LaunchPhase::Ended, now);
    } else if (m_phase != LaunchPhase::Ended && m_phase != LaunchPhase::Stopping) {
        enter(LaunchPhase::Stopping, now);
        m_lastSent = TimePoint{};
    }
}

auto GangLaunch::tick(TimePoint now, TimePoint leaseEnd, const SendToWorker &send) -> void
{
    switch (m_phase) {
    case LaunchPhase::WaitingForLog:
    case LaunchPhase::Ended:
        return;
    case LaunchPhase::Reserving:
        tickReserving(now, leaseEnd, send);
        break;
    case LaunchPhase::Starting:
        tickStarting(now, send);
        break;
    case LaunchPhase::Running:
        tickRunning(now, send);
        break;
    case LaunchPhase::Stopping:
        break;
    }
    if (m_phase == LaunchPhase::Stopping) {
        tickStopping(now, send);
    }
}

auto GangLaunch::nextDeadline() const -> TimePoint
{
    const auto isIdle = m_phase == LaunchPhase::WaitingForLog || m_phase == LaunchPhase::Ended
        || (m_phase == LaunchPhase::Running && std::none_of(m_members.begin(), m_members.end(), [](const Member &it) {
                            return it.state == MemberState::Started || it.state == MemberState::Ended;
                        }));
    return isIdle ? TimePoint::max() : m_lastSent + m_settings.repeatInterval;
}

auto GangLaunch::result() const -> AttemptEnd
{
    const auto failed = [this](AttemptEndKind kind) {
        return std::find_if(m_members.begin(), m_members.end(), [kind](const Member &it) { return it.end.kind == kind; });
    };
    const auto isCheckpointed = std::all_of(m_members.begin(), m_members.end(), [](const Member &it) { return it.end.checkpointed; });
    if (m_launchFailed && (!m_mayHaveStarted || m_job.spec.idempotent)) {
        return {AttemptEndKind::NotStarted, m_failedWorker, false};
    }
    for (const auto kind : {AttemptEndKind::Failed, AttemptEndKind::Lost, AttemptEndKind::Stopped, AttemptEndKind::NotStarted}) {
        if (const auto it = failed(kind); it != m_members.end()) {
            const auto isLost = kind == AttemptEndKind::NotStarted && m_mayHaveStarted;
            return {isLost ? AttemptEndKind::Lost : kind, it->worker, isCheckpointed};
        }
    }
    return {AttemptEndKind::Succeeded, {}, false};
}

auto GangLaunch::phase() const noexcept -> LaunchPhase
{
    return m_phase;
}

auto GangLaunch::id() const noexcept -> const Worker::AttemptId &
{
    return m_id;
}

auto GangLaunch::job() const noexcept -> const Job &
{
    return m_job;
}

auto GangLaunch::members() const -> std::vector<GangMember>
{
    std::vector<GangMember> all;
    all.reserve(m_members.size());
    for (const auto &it : m_members) {
        all.push_back({it.worker, it.tasks});
    }
    return all;
}

auto GangLaunch::hasMember(const WorkerName &worker) const -> bool
{
    return std::any_of(m_members.begin(), m_members.end(), [&worker](const Member &it) { return it.worker == worker; });
}

auto GangLaunch::mayHaveStarted() const noexcept -> bool
{
    return m_mayHaveStarted;
}

auto GangLaunch::find(const WorkerName &worker) -> Member *
{
    const auto it = std::find_if(m_members.begin(), m_members.end(), [&worker](const Member &m) { return m.worker == worker; });
    return it == m_members.end() ? nullptr : &*it;
}

auto GangLaunch::all(MemberState state) const -> bool
{
    return std::all_of(m_members.begin(), m_members.end(), [state](const Member &it) { return it.state == state; });
}

auto GangLaunch::fail(const WorkerName &worker, TimePoint now) -> void
{
    if (!m_launchFailed) {
        m_launchFailed = true;
        m_failedWorker = worker;
    }
    stop(now);
}

auto GangLaunch::endMember(Member &member, const AttemptEnd &end) -> void
{
    member.state = MemberState::Ended;
    member.end = end;
    member.end.checkpointed = end.checkpointed || member.checkpointed;
}

auto GangLaunch::enter(LaunchPhase phase, TimePoint now) -> void
{
    m_phase = phase;
    m_phaseSince = now;
}

auto GangLaunch::sendReserve(Member &member, TimePoint now, const SendToWorker &send) -> void
{
    member.reservedAt = now;
    send(member.worker, Worker::Reserve{m_term, m_id, m_job, member.tasks, members(), m_settings.reservation});
}

auto GangLaunch::sendStart(const Member &member, const SendToWorker &send) const -> void
{
    send(member.worker, Worker::Start{m_term, m_id, m_settings.confirmWithin});
}

auto GangLaunch::isRepeatDue(TimePoint now) -> bool
{
    if (now < m_lastSent + m_settings.repeatInterval) {
        return false;
    }
    m_lastSent = now;
    return true;
}

auto GangLaunch::tickReserving(TimePoint now, TimePoint leaseEnd, const SendToWorker &send) -> void
{
    if (all(MemberState::Reserved) && now + withDriftMargin(m_settings.reservation) <= leaseEnd) {
        enter(LaunchPhase::Starting, now);
        m_mayHaveStarted = true;
        m_lastSent = now;
        for (const auto &it : m_members) {
            sendStart(it, send);
        }
        return;
    }
    if (now - m_phaseSince >= m_settings.reserveTimeout) {
        const auto it = std::find_if(m_members.begin(), m_members.end(), [](const Member &m) { return m.state != MemberState::Reserved; });
        fail(it == m_members.end() ? m_members.front().worker : it->worker, now);
        return;
    }
    if (isRepeatDue(now)) {
        for (auto &it : m_members) {
            sendReserve(it, now, send);
        }
    }
}

auto GangLaunch::tickStarting(TimePoint now, const SendToWorker &send) -> void
{
    const auto isStarted = [](const Member &it) { return it.state != MemberState::Reserved; };
    if (std::all_of(m_members.begin(), m_members.end(), isStarted)) {
        enter(LaunchPhase::Running, now);
        m_lastSent = TimePoint{};
        tickRunning(now, send);
        return;
    }
    if (now - m_phaseSince >= m_settings.startTimeout) {
        const auto it = std::find_if_not(m_members.begin(), m_members.end(), isStarted);
        fail(it->worker, now);
        return;
    }
    if (isRepeatDue(now)) {
        for (const auto &it : m_members) {
            if (!isStarted(it)) {
                sendStart(it, send);
            }
        }
    }
}

auto GangLaunch::tickRunning(TimePoint now, const SendToWorker &send) -> void
{
    const auto hasFailed = [](const Member &it) { return it.state == MemberState::Ended && it.end.kind != AttemptEndKind::Succeeded; };
    if (all(MemberState::Ended)) {
        enter(LaunchPhase::Ended, now);
        return;
    }
    const auto isSaved = [](const Member &it) { return it.checkpointed || it.state == MemberState::Ended; };
    const auto isCheckpointComplete = m_isCheckpointing && std::all_of(m_members.begin(), m_members.end(), isSaved);
    if (isCheckpointComplete || std::any_of(m_members.begin(), m_members.end(), hasFailed)) {
        stop(now);
        return;
    }
    // After a takeover, a member that has not reported may not have been started; its gang must not be confirmed.
    const auto isComplete =
        std::none_of(m_members.begin(), m_members.end(), [](const Member &it) { return it.state == MemberState::Unknown; });
    if (isComplete && isRepeatDue(now)) {
        for (const auto &it : m_members) {
            if (it.state == MemberState::Started) {
                send(it.worker, Worker::Confirm{m_term, m_id});
            }
        }
    }
}

auto GangLaunch::tickStopping(TimePoint now, const SendToWorker &send) -> void
{
    if (all(MemberState::Ended)) {
        enter(LaunchPhase::Ended, now);
        return;
    }
    if (isRepeatDue(now)) {
        for (const auto &it : m_members) {
            if (it.state != MemberState::Ended) {
                send(it.worker, Worker::Stop{m_term, m_id});
            }
        }
    }
}

} // namespace Acaciarail::Instance
