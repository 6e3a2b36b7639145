#include "zone_state.h"

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

namespace {

/// Largest part of the capacity held by more than one reservation. Held capacity is partly idle: with 0.5 gangs waited longer
/// than without reservations in ./bench gangs at 95% load, with 0.2 and less they waited least.
constexpr double maxHeldFraction = 0.2;
/// A gang may be moved for another one that is this many times larger.
constexpr std::uint64_t gangSizeRatio = 4;
/// Times that one job may be stopped and moved for the sake of gangs.
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
        return now + RunTimeEstimator::remaining(job.attempt.estimate, now - job.attempt.startedAt);
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
    const auto isMuchSmaller = gangSizeRatio * job.shape.accelerators() <= gang.accelerators();
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
    std::vector<ResourceTotals> now0(m_fleet.workers().size());
    for (WorkerIndex w = 0; w < now0.size(); ++w) {
        const auto &worker = m_fleet.worker(w);
        if (worker.open && (!filter || filter(w))) {
            now0[w] = worker.capacity;
            now0[w] -= worker.used;
            now0[w] -= worker.held;
        }
    }
    const auto placeAfter = [&](std::size_t count) {
        auto rooms = now0;
        for (std::size_t i = 0; i < count; ++i) {
            const auto &worker = m_fleet.worker(ends[i].worker);
            if (worker.open && (!filter || filter(ends[i].worker))) {
                rooms[ends[i].worker] += ends[i].amount;
            }
        }
        return findPlacementIn(m_fleet, job.shape, [&rooms](WorkerIndex w) { return rooms[w]; },
                               {{}, [&now0](WorkerIndex w) { return now0[w]; }});
    };
    auto places = placeAfter(ends.size());
    if (!places) {
        return std::nullopt;
    }
    std::size_t tooFew = 0;
    auto enough = ends.size();
    while (tooFew < enough) {
        const auto middle = (tooFew + enough) / 2;
        if (auto found = placeAfter(middle)) {
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
    ResourceTotals held;
    for (const auto &it : m_reservations) {
        held += times(m_jobs[it.job].shape.perTask, m_jobs[it.job].shape.tasks);
    }
    held += times(job.shape.perTask, job.shape.tasks);
    const auto found = planReservation(job, now);
    // A gang that only waits for movable work takes its place at once and holds nothing for long.
    const auto isImmediate = found && found->start <= now + m_settings.checkpointGrace;
    const auto mayHold =
        m_reservations.empty() || (m_reservations.size() < m_settings.maxReservations && fractionOfCapacity(held) <= maxHeldFraction);
    if (!found || (!isImmediate && !mayHold)) {
        m_failedReservations.add(job.shape);
        return false;
    }
    dequeue(j);
    m_jobs[j].reserved = true;
    ++m_waiting;
    ++m_queued[static_cast<std::size_t>(job.priority)];
    m_reservations.push_back({j, found->places, std::max(found->start, now + m_settings.checkpointGrace)});
    hold(m_reservations.back(), 1);
    updateHeldUntil(found->places);
    serveReservation(j, now, true);
    return true;
}

auto ZoneState::reservationOf(JobIndex j) -> Reservation &
{
    return *std::find_if(m_reservations.begin(), m_reservations.end(), [j](const Reservation &it) { return it.job == j; });
}

auto ZoneState::hold(const Reservation &reservation, int sign) -> void
{
    for (const auto &it : reservation.places) {
        const auto amount = times(m_jobs[reservation.job].shape.perTask, it.tasks);
        if (sign > 0) {
            m_fleet.addHeld(it.worker, amount);
        } else {
            m_fleet.removeHeld(it.worker, amount);
        }
    }
}

auto ZoneState::updateHeldUntil(const Placement &places) -> void
{
    for (const auto &it : places) {
        m_loads[it.worker].heldUntil = TimePoint::max();
    }
    for (const auto &reservation : m_reservations) {
        for (const auto &it : reservation.places) {
            auto &until = m_loads[it.worker].heldUntil;
            until = std::min(until, reservation.start);
        }
    }
}

auto ZoneState::dropReservation(JobIndex j) -> void
{
    const auto dropped = reservationOf(j);
    hold(dropped, -1);
    std::erase_if(m_reservations, [j](const Reservation &it) { return it.job == j; });
    updateHeldUntil(dropped.places);
    m_jobs[j].reserved = false;
    --m_waiting;
    --m_queued[static_cast<std::size_t>(m_jobs[j].priority)];
    m_unblock = true;
}

auto ZoneState::serveReservations(TimePoint now, bool grew) -> void
{
    std::vector<JobIndex> reserved;
    for (const auto &it : m_reservations) {
        reserved.push_back(it.job);
    }
    for (const auto j : reserved) {
        serveReservation(j, now, grew);
    }
}

auto ZoneState::serveReservation(JobIndex j, TimePoint now, bool grew) -> void
{
    const auto &job = m_jobs[j];
    if (!job.reserved) {
        return;
    }
    if (isOverQuota(job)) {
        dropReservation(j);
        enqueue(j);
        return;
    }
    auto &reservation = reservationOf(j);
    const auto isDue = now >= reservation.start;
    if (!grew && !isDue) {
        return;
    }
    const auto isOpen = mayUse(job, reservation.places);
    if (isOpen && isFreeNow(reservation.places, job.shape.perTask)) {
        const auto places = reservation.places;
        plan(j, places, {}, now);
        return;
    }
    if (const auto places = findPlacement(m_fleet, job.shape, Room::Free, filterFor(job))) {
        plan(j, *places, {}, now);
        return;
    }
    if ((isOpen && evictBackfill(j, now)) || !isDue) {
        return;
    }
    hold(reservation, -1);
    const auto before = reservation.places;
    if (const auto found = planReservation(job, now)) {
        reservation.places = found->places;
        reservation.start = std::max(found->start, now + m_settings.checkpointGrace);
    } else {
        reservation.start = now + m_settings.restartCost;
    }
    hold(reservation, 1);
    m_unblock = m_unblock || reservation.places != before;
    updateHeldUntil(before);
    updateHeldUntil(reservation.places);
}

auto ZoneState::evictBackfill(JobIndex j, TimePoint now) -> bool
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
