#include "zone_state.h"

#include <algorithm>

namespace Acaciarail::Scheduling::Detail {

namespace {

/// Locations compared when capacity must be reclaimed, to find the one that loses the least work.
constexpr std::size_t maxReclaimCandidates = 16;

auto isOnOneWorker(const Shape &shape) noexcept -> bool
{
    return shape.tasks == 1 || shape.adjacency == Adjacency::Worker;
}

/// Tasks of the job that fit into one place of the slot; 0 for work without accelerators if the place has some, so that such work
/// does not use up guaranteed accelerators.
auto tasksPerPlace(const Shape &job, const Shape &slot) noexcept -> std::uint32_t
{
    if (slot.perTask.accelerators > 0 && job.perTask.accelerators == 0) {
        return 0;
    }
    return tasksThatFit(times(slot.perTask, 1), job.perTask, job.tasks);
}

auto placesNeeded(std::uint32_t tasks, std::uint32_t perPlace) noexcept -> std::uint32_t
{
    return (tasks + perPlace - 1) / perPlace;
}

} // namespace

auto ZoneState::hasUnusedSlot(const Organisation &organisation) const -> bool
{
    const auto slots = m_guarantees.slotsOf(organisation.name);
    return std::any_of(slots.begin(), slots.end(), [this](SlotIndex i) {
        const auto &slot = m_guarantees.slots()[i];
        for (std::size_t k = 0; k < slot.places.size(); ++k) {
            if (slot.usedPlaces[k] < slot.places[k].tasks) {
                return true;
            }
        }
        return false;
    });
}

auto ZoneState::slotsFor(const JobRecord &job) const -> std::vector<SlotIndex>
{
    const auto &organisation = m_organisations[job.organisation];
    const auto &team = organisation.teams[job.team].name;
    std::vector<SlotIndex> result;
    for (const auto i : m_guarantees.slotsOf(organisation.name)) {
        const auto &slot = m_guarantees.slots()[i];
        const auto isOpenToTeam = slot.team.empty() || slot.team == team;
        if (slot.isLocated() && isOpenToTeam && tasksPerPlace(job.shape, slot.shape) > 0) {
            result.push_back(i);
        }
    }
    // A slot of exactly this shape comes first, then slots already in use and small slots, so that other slots stay wholly
    // unused.
    const auto rank = [&](SlotIndex i) {
        const auto &slot = m_guarantees.slots()[i];
        return std::tuple(slot.shape != job.shape, slot.isUnused(), slot.shape.accelerators());
    };
    std::stable_sort(result.begin(), result.end(), [&rank](SlotIndex a, SlotIndex b) { return rank(a) < rank(b); });
    return result;
}

auto ZoneState::offerAt(const JobRecord &job, SlotIndex slot, SlotIndex location) const -> std::optional<Offer>
{
    const auto &shape = m_guarantees.slots()[slot].shape;
    const auto &target = m_guarantees.slots()[location];
    const auto perPlace = tasksPerPlace(job.shape, shape);
    auto needed = placesNeeded(job.shape.tasks, perPlace);
    const auto freePlaces = [&](std::size_t k) { return target.places[k].tasks - target.usedPlaces[k]; };
    Offer offer;
    SlotUse use{slot, {}};
    auto rest = job.shape.tasks;
    const auto take = [&](std::size_t k) {
        const auto n = std::min(freePlaces(k), needed);
        if (n == 0) {
            return;
        }
        const auto tasks = std::min(n * perPlace, rest);
        use.places.push_back({target.places[k].worker, n});
        offer.members.push_back({target.places[k].worker, tasks});
        needed -= n;
        rest -= tasks;
    };
    if (isOnOneWorker(job.shape)) {
        std::optional<std::size_t> best;
        for (std::size_t k = 0; k < target.places.size(); ++k) {
            if (freePlaces(k) >= needed && (!best || freePlaces(k) < freePlaces(*best))) {
                best = k;
            }
        }
        if (best) {
            take(*best);
        }
    } else {
        for (std::size_t k = 0; k < target.places.size(); ++k) {
            take(k);
        }
    }
    if (needed > 0 || !isAdjacent(m_fleet, use.places, job.shape.adjacency)) {
        return std::nullopt;
    }
    offer.slotUses.push_back(std::move(use));
    if (location != slot) {
        offer.exchangeWith = location;
    }
    return offer;
}

auto ZoneState::offerFromSeveralSlots(const JobRecord &job) const -> std::optional<Offer>
{
    if (job.shape.tasks == 1 || job.shape.adjacency != Adjacency::Any) {
        return std::nullopt;
    }
    std::map<WorkerIndex, std::uint32_t> tasksOn;
    Offer offer;
    auto rest = job.shape.tasks;
    for (const auto i : slotsFor(job)) {
        const auto &slot = m_guarantees.slots()[i];
        const auto perPlace = tasksPerPlace(job.shape, slot.shape);
        SlotUse use{i, {}};
        for (std::size_t k = 0; k < slot.places.size() && rest > 0; ++k) {
            const auto n = std::min(slot.places[k].tasks - slot.usedPlaces[k], placesNeeded(rest, perPlace));
            if (n > 0) {
                const auto tasks = std::min(n * perPlace, rest);
                use.places.push_back({slot.places[k].worker, n});
                tasksOn[slot.places[k].worker] += tasks;
                rest -= tasks;
            }
        }
        if (!use.places.empty()) {
            offer.slotUses.push_back(std::move(use));
        }
    }
    if (rest > 0) {
        return std::nullopt;
    }
    for (const auto &[worker, tasks] : tasksOn) {
        offer.members.push_back({worker, tasks});
    }
    return offer;
}

auto ZoneState::moveToFree(const JobRecord &job, const std::vector<SlotIndex> &slots) -> std::optional<Offer>
{
    const auto filter = filterFor(job);
    std::vector<Shape> tried;
    for (const auto i : slots) {
        const auto &slot = m_guarantees.slots()[i];
        if (!slot.isUnused() || std::find(tried.begin(), tried.end(), slot.shape) != tried.end() || !offerAt(job, i, i)) {
            continue;
        }
        tried.push_back(slot.shape);
        if (const auto places = findPlacement(m_fleet, slot.shape, CapacityKind::FreeUnguaranteed, filter)) {
            m_guarantees.move(m_fleet, i, *places);
            if (auto offer = offerAt(job, i, i)) {
                return offer;
            }
        }
        for (SlotIndex other = 0; other < m_guarantees.slots().size(); ++other) {
            const auto &target = m_guarantees.slots()[other];
            if (other == i || target.removed || !target.isLocated() || target.shape != slot.shape || !target.isUnused()) {
                continue;
            }
            auto offer = offerAt(job, i, other);
            if (offer && isFreeNow(offer->members, job.shape.perTask) && mayUse(job, offer->members)) {
                return offer;
            }
        }
    }
    return std::nullopt;
}

auto ZoneState::cheapestOffer(const JobRecord &job, const std::vector<SlotIndex> &slots, TimePoint now) const -> std::optional<Offer>
{
    std::optional<Offer> best;
    std::size_t compared = 0;
    const auto consider = [&](std::optional<Offer> offer) {
        if (!offer || !mayUse(job, offer->members)) {
            return;
        }
        ++compared;
        auto victims = chooseVictims(offer->members, job.shape.perTask, now, [](const JobRecord &) { return true; });
        if (!victims) {
            return;
        }
        offer->cost = costOf(*victims, now);
        offer->victims = std::move(*victims);
        if (!best || offer->cost < best->cost) {
            best = std::move(offer);
        }
    };
    for (const auto i : slots) {
        if (compared < maxReclaimCandidates) {
            consider(offerAt(job, i, i));
        }
    }
    for (const auto i : slots) {
        const auto &slot = m_guarantees.slots()[i];
        if (!slot.isUnused()) {
            continue;
        }
        for (SlotIndex other = 0; other < m_guarantees.slots().size() && compared < maxReclaimCandidates; ++other) {
            const auto &target = m_guarantees.slots()[other];
            if (other != i && !target.removed && target.isLocated() && target.shape == slot.shape && target.isUnused()) {
                consider(offerAt(job, i, other));
            }
        }
    }
    if (!best) {
        consider(offerFromSeveralSlots(job));
    }
    return best;
}

auto ZoneState::tryGuarantee(JobIndex j, TimePoint now) -> bool
{
    auto others = slotsFor(m_jobs[j]);
    const auto isOther = [&](SlotIndex i) { return m_guarantees.slots()[i].shape != m_jobs[j].shape; };
    const std::vector<SlotIndex> exact(others.begin(), std::find_if(others.begin(), others.end(), isOther));
    others.erase(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(exact.size()));
    // Reclaiming capacity for a slot of this shape is preferred to a free slot of another shape, because a job of that other shape may
    // need the free slot next.
    return tryGuarantee(j, exact, now) || tryGuarantee(j, others, now);
}

auto ZoneState::tryGuarantee(JobIndex j, const std::vector<SlotIndex> &slots, TimePoint now) -> bool
{
    const auto &job = m_jobs[j];
    if (slots.empty()) {
        return false;
    }
    for (const auto i : slots) {
        const auto offer = offerAt(job, i, i);
        if (offer && isFreeNow(offer->members, job.shape.perTask) && mayUse(job, offer->members)) {
            accept(j, *offer, now);
            return true;
        }
    }
    if (const auto offer = moveToFree(job, slots)) {
        accept(j, *offer, now);
        return true;
    }
    if (const auto offer = cheapestOffer(job, slots, now)) {
        accept(j, *offer, now);
        return true;
    }
    return false;
}

auto ZoneState::accept(JobIndex j, const Offer &offer, TimePoint now) -> void
{
    if (offer.exchangeWith) {
        m_guarantees.exchange(offer.slotUses.front().slot, *offer.exchangeWith);
    }
    plan(j, offer.members, offer.slotUses, now);
    for (const auto victim : offer.victims) {
        stop(victim, StopReason::Reclaimed, now);
    }
}

auto ZoneState::assignSlotInPlace(JobIndex j) -> void
{
    auto &job = m_jobs[j];
    const auto &organisation = m_organisations[job.organisation];
    const auto &team = organisation.teams[job.team].name;
    const auto &members = job.attempt.members;
    const auto mustMove = [this](const PlacedTasks &it) { return !m_fleet.worker(it.worker).retainsGuarantees; };
    if (std::any_of(members.begin(), members.end(), mustMove)) {
        return;
    }
    for (const auto i : m_guarantees.slotsOf(organisation.name)) {
        const auto &slot = m_guarantees.slots()[i];
        const auto perPlace = tasksPerPlace(job.shape, slot.shape);
        if (perPlace == 0 || (!slot.team.empty() && slot.team != team)) {
            continue;
        }
        Placement places;
        std::uint32_t sum = 0;
        for (const auto &it : members) {
            places.push_back({it.worker, placesNeeded(it.tasks, perPlace)});
            sum += places.back().tasks;
        }
        const auto isUnusedThere = [&slot](const PlacedTasks &wanted) {
            for (std::size_t k = 0; k < slot.places.size(); ++k) {
                if (slot.places[k].worker == wanted.worker) {
                    return slot.places[k].tasks - slot.usedPlaces[k] >= wanted.tasks;
                }
            }
            return false;
        };
        const auto isUnguaranteed = [&](const PlacedTasks &it) {
            return tasksThatFit(m_fleet.available(it.worker, CapacityKind::Unguaranteed), slot.shape.perTask, it.tasks) == it.tasks;
        };
        const auto isThere = std::all_of(places.begin(), places.end(), isUnusedThere);
        const auto canMove = !isThere && slot.isUnused() && sum == slot.shape.tasks && isAdjacent(m_fleet, places, slot.shape.adjacency)
            && std::all_of(places.begin(), places.end(), isUnguaranteed);
        if (canMove) {
            m_guarantees.move(m_fleet, i, places);
        }
        if (isThere || canMove) {
            job.attempt.slotUses.push_back({i, std::move(places)});
            m_guarantees.use(job.attempt.slotUses.back());
            return;
        }
    }
}

} // namespace Acaciarail::Scheduling::Detail
