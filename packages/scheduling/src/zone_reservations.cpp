#include "zone_state.h"

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

namespace {

/// Largest fraction of the capacity that may be reserved when there is more than one reservation. Reserved capacity is partly idle:
/// with 0.5, gangs waited longer than without reservations in `./bench gangs` at 95% load; with 0.2 and less they waited least.
constexpr double maxReservedFraction = 0.2;
/// A gang may be moved in favour of another one that is at least this many times larger.
constexpr std::uint64_t minGangSizeRatio = 4;
/// Times that one job may be stopped and moved in favour of gangs.
constexpr std::uint32_t maxMoves = 4;
} // namespace

auto ZoneState::isLarge(const Shape &shape) const noexcept -> bool
{
    return shape.tasks > 1 || 2 * std::int64_t{shape.perTask.accelerators} > m_largestAccelerators
        || 2 * std::int64_t{shape.perTask.cores} > m_largestCores;
}

auto ZoneState::expectedEnd(const JobRecord &job, const Shape &gang, TimePoint now) const -> TimePoint
{
    switch (job.attempt.phase) {
    case Phase::Checkpointing:
    case Phase::Stopping:
        return now + m_settings.checkpointGrace;
    case Phase::Planned:
        return now + job.attempt.estimate;
    default:
        if (isMovableFor(job, gang)) {
            return now + m_settings.checkpointGrace;
        }
        return now + RunTimeEstimator::remainingRunTime(job.attempt.estimate, now - job.attempt.startedAt);
    }
}

auto ZoneState::isMovable(const JobRecord &job) const noexcept -> bool
{
    return !isLarge(job.shape) && isMovableFor(job, job.shape);
}

auto ZoneState::isMovableFor(const JobRecord &job, const Shape &gang) const noexcept -> bool
{
    const auto phase = job.attempt.phase;
    const auto isStopped = phase == Phase::Checkpointing || phase == Phase::Stopping;
    const auto isMuchSmaller = minGangSizeRatio * job.shape.accelerators() <= gang.accelerators();
    return (!isLarge(job.shape) || isMuchSmaller) && job.idempotent && job.checkpointable && job.moves < maxMoves && isBorrowed(job)
        && !isStopped;
}

auto ZoneState::planReservation(const JobRecord &job, TimePoint now) const -> std::optional<Reservation>
{
    struct End
    {
        TimePoint at;
        WorkerIndex worker;
        ResourceTotals amount;
    };
    std::vector<End> ends;
    for (const auto &it : m_jobs) {
        if (it.sequence != 0 && it.attempt.phase != Phase::None) {
            const auto at = expectedEnd(it, job.shape, now);
            for (const auto &member : it.attempt.members) {
                ends.push_back({at, member.worker, amountOn(it, member)});
            }
        }
    }
    std::sort(ends.begin(), ends.end(), [](const End &a, const End &b) { return std::pair(a.at, a.worker) < std::pair(b.at, b.worker); });
    const auto filter = filterFor(job);
    std::vector<ResourceTotals> freeNow(m_fleet.workers().size());
    for (WorkerIndex w = 0; w < freeNow.size(); ++w) {
        const auto &worker = m_fleet.worker(w);
        if (worker.schedulable && (!filter || filter(w))) {
            freeNow[w] = worker.capacity;
            freeNow[w] -= worker.used;
            freeNow[w] -= worker.reserved;
        }
    }
    const auto findAfterEnds = [&](std::size_t count) {
        auto available = freeNow;
        for (std::size_t i = 0; i < count; ++i) {
            const auto &worker = m_fleet.worker(ends[i].worker);
            if (worker.schedulable && (!filter || filter(ends[i].worker))) {
                available[ends[i].worker] += ends[i].amount;
            }
        }
        return findPlacementIn(m_fleet, job.shape, [&available](WorkerIndex w) { return available[w]; },
                               {{}, [&freeNow](WorkerIndex w) { return freeNow[w]; }});
    };
    auto places = findAfterEnds(ends.size());
    if (!places) {
        return std::nullopt;
    }
    std::size_t tooFew = 0;
    auto enough = ends.size();
    while (tooFew < enough) {
        const auto middle = (tooFew + enough) / 2;
        if (auto found = findAfterEnds(middle)) {
            places = std::move(found);
            enough = middle;
        } else {
            tooFew = middle + 1;
        }
    }
    return Reservation{noIndex, std::move(*places), enough == 0 ? now : ends[enough - 1].at};
}

auto ZoneState::tryReserve(JobIndex j, TimePoint now) -> bool
{
    const auto &job = m_jobs[j];
    if (!isLarge(job.shape) || m_failedReservations.covers(job.shape)) {
        return false;
    }
    ResourceTotals reserved;
    for (const auto &it : m_reservations) {
        reserved += times(m_jobs[it.job].shape.perTask, m_jobs[it.job].shape.tasks);
    }
    reserved += times(job.shape.perTask, job.shape.tasks);
    const auto found = planReservation(job, now);
    // A gang that only waits for movable work takes its place at once, so its reservation is short.
    const auto isImmediate = found && found->start <= now + m_settings.checkpointGrace;
    const auto mayReserve = m_reservations.empty()
        || (m_reservations.size() < m_settings.maxReservations && fractionOfCapacity(reserved) <= maxReservedFraction);
    if (!found || (!isImmediate && !mayReserve)) {
        m_failedReservations.add(job.shape);
        return false;
    }
    dequeue(j);
    m_jobs[j].reserved = true;
    ++m_waiting;
    ++m_queued[static_cast<std::size_t>(job.priority)];
    m_reservations.push_back({j, found->places, std::max(found->start, now + m_settings.checkpointGrace)});
    applyReservation(m_reservations.back(), 1);
    updateReservationStarts(found->places);
    processReservation(j, now, true);
    return true;
}

auto ZoneState::reservationOf(JobIndex j) -> Reservation &
{
    return *std::find_if(m_reservations.begin(), m_reservations.end(), [j](const Reservation &it) { return it.job == j; });
}

auto ZoneState::applyReservation(const Reservation &reservation, int sign) -> void
{
    for (const auto &it : reservation.places) {
        const auto amount = times(m_jobs[reservation.job].shape.perTask, it.tasks);
        if (sign > 0) {
            m_fleet.addReserved(it.worker, amount);
        } else {
            m_fleet.removeReserved(it.worker, amount);
        }
    }
}

auto ZoneState::updateReservationStarts(const Placement &places) -> void
{
    for (const auto &it : places) {
        m_loads[it.worker].earliestReservationStart = TimePoint::max();
    }
    for (const auto &reservation : m_reservations) {
        for (const auto &it : reservation.places) {
            auto &earliest = m_loads[it.worker].earliestReservationStart;
            earliest = std::min(earliest, reservation.start);
        }
    }
}

auto ZoneState::cancelReservation(JobIndex j) -> void
{
    const auto dropped = reservationOf(j);
    applyReservation(dropped, -1);
    std::erase_if(m_reservations, [j](const Reservation &it) { return it.job == j; });
    updateReservationStarts(dropped.places);
    m_jobs[j].reserved = false;
    --m_waiting;
    --m_queued[static_cast<std::size_t>(m_jobs[j].priority)];
    m_unblock = true;
}

auto ZoneState::processReservations(TimePoint now, bool grew) -> void
{
    std::vector<JobIndex> reserved;
    for (const auto &it : m_reservations) {
        reserved.push_back(it.job);
    }
    for (const auto j : reserved) {
        processReservation(j, now, grew);
    }
}

auto ZoneState::processReservation(JobIndex j, TimePoint now, bool grew) -> void
{
    const auto &job = m_jobs[j];
    if (!job.reserved) {
        return;
    }
    if (isOverQuota(job)) {
        cancelReservation(j);
        enqueue(j);
        return;
    }
    auto &reservation = reservationOf(j);
    const auto isDue = now >= reservation.start;
    if (!grew && !isDue) {
        return;
    }
    const auto isUsable = mayUse(job, reservation.places);
    if (isUsable && isFreeNow(reservation.places, job.shape.perTask)) {
        const auto places = reservation.places;
        plan(j, places, {}, now);
        return;
    }
    if (const auto places = findPlacement(m_fleet, job.shape, CapacityKind::Free, filterFor(job))) {
        plan(j, *places, {}, now);
        return;
    }
    if ((isUsable && evictFromReservation(j, now)) || !isDue) {
        return;
    }
    applyReservation(reservation, -1);
    const auto before = reservation.places;
    if (const auto found = planReservation(job, now)) {
        reservation.places = found->places;
        reservation.start = std::max(found->start, now + m_settings.checkpointGrace);
    } else {
        reservation.start = now + m_settings.restartCost;
    }
    applyReservation(reservation, 1);
    m_unblock = m_unblock || reservation.places != before;
    updateReservationStarts(before);
    updateReservationStarts(reservation.places);
}

auto ZoneState::evictFromReservation(JobIndex j, TimePoint now) -> bool
{
    const auto &reservation = reservationOf(j);
    const auto isDue = now >= reservation.start;
    const auto mayStop = [&](const JobRecord &it) {
        const auto isLate = isDue && it.attempt.backfilled && it.idempotent;
        return it.priority >= m_jobs[j].priority && (isLate || isMovableFor(it, m_jobs[j].shape));
    };
    const auto victims = chooseVictims(reservation.places, m_jobs[j].shape.perTask, now, mayStop);
    if (!victims) {
        return false;
    }
    const auto places = reservation.places;
    plan(j, places, {}, now);
    for (const auto victim : *victims) {
        ++m_jobs[victim].moves;
        stop(victim, StopReason::ReservationDue, now);
    }
    return true;
}

} // namespace Acaciarail::Scheduling::Detail
