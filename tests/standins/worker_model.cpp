#include "worker_model.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Acaciarail::Standins {

using namespace Worker;

namespace {

/// Bounds for durations that arrive in messages, so that adding them to a time cannot overflow.
constexpr Duration maxReservation = 10s;
constexpr Duration maxConfirm = 60s;
constexpr Duration maxTaskLease = std::chrono::hours(1);
constexpr Duration maxGrace = std::chrono::hours(1);
constexpr Duration maxRunTime = std::chrono::hours(24 * 365);
constexpr std::uint32_t fullSpeedPercent = 100;

auto bounded(Duration d, Duration limit) -> Duration
{
    return std::clamp(d, Duration::zero(), limit);
}

struct Need
{
    std::uint64_t accelerators = 0;
    std::uint64_t cores = 0;
    std::uint64_t memoryMiB = 0;
};

auto needOf(const Job &job, std::uint32_t tasks) -> Need
{
    const auto &per = job.spec.shape.perTask;
    return {std::uint64_t{tasks} * per.accelerators, std::uint64_t{tasks} * per.cores, std::uint64_t{tasks} * per.memoryMiB};
}

auto holdsCapacity(AttemptState state) -> bool
{
    return state != AttemptState::Ended;
}

} // namespace

WorkerModel::WorkerModel(WorkerModelSettings settings, Plan plan, TimePoint now)
    : m_settings(std::move(settings))
    , m_plan(std::move(plan))
    , m_leaseEnd(now)
    , m_nextReport(now + m_settings.reportInterval)
    , m_nextSample(m_nextReport - m_settings.usageLag)
{
}

auto WorkerModel::handle(const Request &request, TimePoint now) -> std::vector<Reply>
{
    advance(now);
    return std::visit([this, now](const auto &r) { return apply(r, now); }, request);
}

auto WorkerModel::tick(TimePoint now) -> std::vector<Reply>
{
    advance(now);
    return std::exchange(m_outgoing, {});
}

auto WorkerModel::nextDeadline() const -> TimePoint
{
    auto next = std::min(m_nextReport, m_nextSample);
    if (!m_outgoing.empty()) {
        return TimePoint::min();
    }
    for (const auto &[id, it] : m_attempts) {
        switch (it.report.state) {
        case AttemptState::Reserved:
            next = std::min(next, it.reservedUntil);
            break;
        case AttemptState::Unconfirmed:
            next = std::min(next, it.confirmBy);
            [[fallthrough]];
        case AttemptState::Running:
            next = std::min({next, it.leaseEnd, taskEnd(it), it.checkpointAt.value_or(TimePoint::max())});
            break;
        case AttemptState::Ended:
            next = std::min(next, it.nextEnded);
            break;
        }
    }
    return next;
}

auto WorkerModel::restart(TimePoint now) -> void
{
    m_attempts.clear();
    m_ends.clear();
    m_endOrder.clear();
    m_outgoing.clear();
    m_term = {};
    m_witnessVersion = 0;
    m_released = false;
    m_leaseEnd = now + m_settings.maxLease;
    m_nextReport = now + m_settings.reportInterval;
    m_nextSample = m_nextReport - m_settings.usageLag;
    m_sample = {};
}

auto WorkerModel::term() const noexcept -> Term
{
    return m_term;
}

auto WorkerModel::isLeased(TimePoint now) const noexcept -> bool
{
    return !m_released && now < m_leaseEnd;
}

auto WorkerModel::attempts(TimePoint now) const -> std::vector<AttemptReport>
{
    std::vector<AttemptReport> out;
    for (const auto &[id, it] : m_attempts) {
        out.push_back(it.report);
        out.back().age = it.report.state == AttemptState::Reserved ? Duration::zero() : now - it.startedAt;
    }
    return out;
}

auto WorkerModel::used() const noexcept -> Resources
{
    Resources out;
    for (const auto &[id, it] : m_attempts) {
        if (holdsCapacity(it.report.state)) {
            const auto need = needOf(it.report.job, it.tasks);
            out.accelerators += static_cast<std::uint32_t>(need.accelerators);
            out.cores += static_cast<std::uint32_t>(need.cores);
            out.memoryMiB += static_cast<std::uint32_t>(need.memoryMiB);
        }
    }
    return out;
}

auto WorkerModel::info() const noexcept -> const WorkerInfo &
{
    return m_settings.info;
}

auto WorkerModel::setAddress(std::string address) -> void
{
    m_settings.info.address = std::move(address);
}

auto WorkerModel::startsOf(const AttemptId &id) const -> std::uint32_t
{
    const auto it = m_starts.find(id);
    return it == m_starts.end() ? 0 : it->second;
}

auto WorkerModel::apply(const Attach &request, TimePoint now) -> Replies
{
    const auto isOutdated = request.witnessVersion < m_witnessVersion;
    const auto renews = request.term == m_term && !m_released && m_term != Term{};
    const auto replaces = request.term > m_term && !isLeased(now);
    if (isOutdated || (!renews && !replaces)) {
        const auto retryAfter = isLeased(now) ? m_leaseEnd - now : Duration::zero();
        return {Attached{false, m_term, retryAfter, m_settings.info, {}}};
    }
    if (replaces) {
        m_term = request.term;
        m_released = false;
        dropReservations();
    }
    m_witnessVersion = request.witnessVersion;
    m_leaseEnd = now + bounded(request.lease, m_settings.maxLease);
    return {Attached{true, m_term, Duration::zero(), m_settings.info, attempts(now)}};
}

auto WorkerModel::apply(const Renew &request, TimePoint now) -> Replies
{
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return {Refused{m_term, error}};
    }
    m_witnessVersion = std::max(m_witnessVersion, request.witnessVersion);
    m_leaseEnd = now + bounded(request.lease, m_settings.maxLease);
    for (auto &[id, it] : m_attempts) {
        it.leaseEnd = now + bounded(request.taskLease, maxTaskLease);
    }
    return {Renewed{m_term, request.round}};
}

auto WorkerModel::apply(const Reserve &request, TimePoint now) -> Replies
{
    const auto refuse = [&request](Error error) { return Replies{Reserved{request.id, false, error}}; };
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return refuse(error);
    }
    if (!isLeased(now)) {
        return refuse(Error::LeaseExpired);
    }
    if (m_ends.contains(request.id)) {
        return refuse(Error::Cancelled);
    }
    const auto found = m_attempts.find(request.id);
    if (found != m_attempts.end() && found->second.report.state == AttemptState::Ended) {
        return refuse(Error::Cancelled);
    }
    if (found != m_attempts.end() && found->second.report.state != AttemptState::Reserved) {
        return {Reserved{request.id, true, Error::Ok}};
    }
    if (!fits(request, true)) {
        return refuse(Error::NeverFits);
    }
    if (!fits(request, false)) {
        return refuse(Error::CapacityTaken);
    }
    auto &attempt = m_attempts[request.id];
    attempt.report = {request.id, request.term, request.job, request.members, AttemptState::Reserved, {}, {}};
    attempt.tasks = request.tasks;
    attempt.reservedUntil = now + bounded(request.ttl, maxReservation);
    return {Reserved{request.id, true, Error::Ok}};
}

auto WorkerModel::apply(const Start &request, TimePoint now) -> Replies
{
    const auto refuse = [&request](Error error) { return Replies{Started{request.id, false, error}}; };
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return refuse(error);
    }
    if (m_ends.contains(request.id)) {
        return refuse(Error::Cancelled);
    }
    const auto found = m_attempts.find(request.id);
    if (found == m_attempts.end()) {
        return refuse(Error::LeaseExpired);
    }
    auto &attempt = found->second;
    if (attempt.report.state != AttemptState::Reserved) {
        // A duplicate. For an ended attempt, the number of starts shows whether it was started.
        const auto started = attempt.report.state != AttemptState::Ended || startsOf(request.id) > 0;
        return started ? Replies{Started{request.id, true, Error::Ok}} : refuse(Error::Cancelled);
    }
    const auto plan = m_plan(attempt.report, attempt.tasks);
    attempt.report.state = AttemptState::Unconfirmed;
    attempt.startedAt = now;
    attempt.confirmBy = now + bounded(request.confirmWithin, maxConfirm);
    attempt.leaseEnd = now + m_settings.initialTaskLease;
    attempt.remaining = bounded(plan.runTime, maxRunTime);
    attempt.progressAt = now;
    attempt.fails = plan.fails;
    ++m_starts[request.id];
    return {Started{request.id, true, Error::Ok}};
}

auto WorkerModel::apply(const Confirm &request, TimePoint) -> Replies
{
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return {Refused{m_term, error}};
    }
    const auto found = m_attempts.find(request.id);
    if (found == m_attempts.end()) {
        return {unknownAttemptReply(request.id)};
    }
    auto &report = found->second.report;
    switch (report.state) {
    case AttemptState::Reserved:
        // Nothing to confirm; the reply to the Start tells the holder that the attempt did not start.
        return {Refused{m_term, Error::LeaseExpired}};
    case AttemptState::Unconfirmed:
        report.state = AttemptState::Running;
        break;
    case AttemptState::Running:
        break;
    case AttemptState::Ended:
        return {Ended{report.id, report.end}};
    }
    return {Confirmed{report.id}};
}

auto WorkerModel::apply(const Checkpoint &request, TimePoint now) -> Replies
{
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return {Refused{m_term, error}};
    }
    const auto found = m_attempts.find(request.id);
    if (found == m_attempts.end()) {
        return {unknownAttemptReply(request.id)};
    }
    auto &attempt = found->second;
    if (attempt.report.state == AttemptState::Ended) {
        return {Ended{attempt.report.id, attempt.report.end}};
    }
    const auto running = attempt.report.state != AttemptState::Reserved;
    if (running && attempt.report.job.spec.checkpointable && !attempt.checkpointAt) {
        attempt.checkpointAt = now + std::min(m_settings.checkpointTime, bounded(request.grace, maxGrace));
    }
    return {};
}

auto WorkerModel::apply(const Throttle &request, TimePoint now) -> Replies
{
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return {Refused{m_term, error}};
    }
    const auto found = m_attempts.find(request.id);
    if (found == m_attempts.end()) {
        return {unknownAttemptReply(request.id)};
    }
    auto &attempt = found->second;
    if (attempt.report.state == AttemptState::Ended) {
        return {Ended{attempt.report.id, attempt.report.end}};
    }
    if (attempt.report.state != AttemptState::Reserved) {
        const auto done = (now - attempt.progressAt) * attempt.percent / fullSpeedPercent;
        attempt.remaining = std::max(attempt.remaining - done, Duration::zero());
        attempt.progressAt = now;
    }
    attempt.percent = std::clamp(request.percent, 1U, fullSpeedPercent);
    return {};
}

auto WorkerModel::apply(const Stop &request, TimePoint now) -> Replies
{
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return {Refused{m_term, error}};
    }
    const auto found = m_attempts.find(request.id);
    if (found == m_attempts.end()) {
        if (!m_ends.contains(request.id)) {
            remember(request.id, {AttemptEndKind::NotStarted, m_settings.info.name, false});
        }
        return {unknownAttemptReply(request.id)};
    }
    auto &attempt = found->second;
    if (attempt.report.state != AttemptState::Ended) {
        const auto reserved = attempt.report.state == AttemptState::Reserved;
        end(attempt, reserved ? AttemptEndKind::NotStarted : AttemptEndKind::Stopped, now);
        attempt.nextEnded = now + m_settings.endedInterval;
    }
    return {Ended{request.id, attempt.report.end}};
}

auto WorkerModel::apply(const Acknowledge &request, TimePoint) -> Replies
{
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return {Refused{m_term, error}};
    }
    const auto found = m_attempts.find(request.id);
    if (found != m_attempts.end() && found->second.report.state == AttemptState::Ended) {
        remember(request.id, found->second.report.end);
        m_attempts.erase(found);
    }
    return {};
}

auto WorkerModel::apply(const Release &request, TimePoint now) -> Replies
{
    if (const auto error = checkTerm(request.term); error != Error::Ok) {
        return {Refused{m_term, error}};
    }
    m_released = true;
    m_leaseEnd = now;
    dropReservations();
    return {};
}

auto WorkerModel::checkTerm(const Term &term) const noexcept -> Error
{
    if (term < m_term) {
        return Error::StaleTerm;
    }
    return term > m_term || m_released || m_term == Term{} ? Error::LeaseExpired : Error::Ok;
}

auto WorkerModel::fits(const Reserve &request, bool onEmptyWorker) const -> bool
{
    const auto &capacity = m_settings.info.capacity;
    auto sum = needOf(request.job, request.tasks);
    for (const auto &[id, it] : m_attempts) {
        // A repeated reservation replaces the earlier one.
        if (!onEmptyWorker && id != request.id && holdsCapacity(it.report.state)) {
            const auto need = needOf(it.report.job, it.tasks);
            sum.accelerators += need.accelerators;
            sum.cores += need.cores;
            sum.memoryMiB += need.memoryMiB;
        }
    }
    return request.tasks > 0 && sum.accelerators <= capacity.accelerators && sum.cores <= capacity.cores
        && sum.memoryMiB <= capacity.memoryMiB;
}

auto WorkerModel::taskEnd(const Attempt &attempt) const -> TimePoint
{
    return attempt.progressAt + attempt.remaining * fullSpeedPercent / attempt.percent;
}

auto WorkerModel::unknownAttemptReply(const AttemptId &id) const -> Ended
{
    const auto it = m_ends.find(id);
    return {id, it == m_ends.end() ? AttemptEnd{AttemptEndKind::Lost, m_settings.info.name, false} : it->second};
}

auto WorkerModel::advance(TimePoint now) -> void
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        auto &attempt = it->second;
        if (attempt.report.state == AttemptState::Reserved && now >= attempt.reservedUntil) {
            it = m_attempts.erase(it);
            continue;
        }
        advanceAttempt(attempt, now);
        ++it;
    }
    advanceReports(now);
}

auto WorkerModel::advanceAttempt(Attempt &attempt, TimePoint now) -> void
{
    auto &report = attempt.report;
    if (report.state == AttemptState::Unconfirmed || report.state == AttemptState::Running) {
        if (attempt.checkpointAt && now >= *attempt.checkpointAt) {
            attempt.checkpointAt.reset();
            attempt.checkpointed = true;
            m_outgoing.emplace_back(Checkpointed{report.id});
        }
        const auto finished = taskEnd(attempt);
        const auto expiry = report.state == AttemptState::Unconfirmed ? std::min(attempt.confirmBy, attempt.leaseEnd) : attempt.leaseEnd;
        if (now >= finished && finished <= expiry) {
            end(attempt, attempt.fails ? AttemptEndKind::Failed : AttemptEndKind::Succeeded, now);
        } else if (now >= expiry) {
            end(attempt, expiry == attempt.leaseEnd ? AttemptEndKind::Lost : AttemptEndKind::Stopped, now);
        }
    }
    if (report.state == AttemptState::Ended && now >= attempt.nextEnded) {
        attempt.nextEnded = now + m_settings.endedInterval;
        m_outgoing.emplace_back(Ended{report.id, report.end});
    }
}

auto WorkerModel::advanceReports(TimePoint now) -> void
{
    if (now >= m_nextSample) {
        m_sample = used();
        m_nextSample = TimePoint::max();
    }
    if (now < m_nextReport) {
        return;
    }
    Report report{m_term, {}, {m_sample, m_settings.usageLag}};
    for (const auto &[id, it] : m_attempts) {
        if (it.report.state == AttemptState::Unconfirmed || it.report.state == AttemptState::Running) {
            report.running.push_back(id);
        }
    }
    m_outgoing.emplace_back(std::move(report));
    m_nextReport = now + m_settings.reportInterval;
    m_nextSample = m_nextReport - m_settings.usageLag;
}

auto WorkerModel::end(Attempt &attempt, AttemptEndKind kind, TimePoint now) -> void
{
    attempt.report.state = AttemptState::Ended;
    attempt.report.end = {kind, m_settings.info.name, attempt.checkpointed};
    attempt.checkpointAt.reset();
    attempt.nextEnded = now;
}

auto WorkerModel::remember(const AttemptId &id, const AttemptEnd &end) -> void
{
    if (m_ends.emplace(id, end).second) {
        m_endOrder.push_back(id);
    }
    while (m_endOrder.size() > m_settings.rememberedEnds) {
        m_ends.erase(m_endOrder.front());
        m_endOrder.pop_front();
    }
}

auto WorkerModel::dropReservations() -> void
{
    std::erase_if(m_attempts, [](const auto &it) { return it.second.report.state == AttemptState::Reserved; });
}

} // namespace Acaciarail::Standins
