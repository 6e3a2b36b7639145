#include <acaciarail/scheduling/guarantee.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace Acaciarail::Scheduling {

namespace {

struct SlotKey
{
    OrganisationName organisation;
    TeamName team;
    Shape shape;

    friend auto operator<(const SlotKey &a, const SlotKey &b) -> bool
    {
        const auto fields = [](const SlotKey &k) {
            const auto &t = k.shape.perTask;
            return std::tuple(k.shape.tasks, t.accelerators, t.cores, t.memoryMiB, k.shape.adjacency);
        };
        return std::tie(a.organisation, a.team) < std::tie(b.organisation, b.team)
            || (std::tie(a.organisation, a.team) == std::tie(b.organisation, b.team) && fields(a) < fields(b));
    }
};

auto keyOf(const GuaranteeSlot &slot) -> SlotKey
{
    return {slot.organisation, slot.team, slot.shape};
}

auto isOnOneWorker(const Shape &shape) noexcept -> bool
{
    return shape.tasks == 1 || shape.adjacency == Adjacency::Worker;
}

/// Sort key; the greatest is the hardest to place. Gangs that need adjacent workers are harder than those that need one worker,
/// unless \a singleWorkersFirst.
auto placementDifficulty(const Shape &shape, bool singleWorkersFirst) noexcept -> std::tuple<int, std::uint64_t, std::uint64_t>
{
    auto level = shape.adjacency == Adjacency::Any ? 0 : 1;
    if (isOnOneWorker(shape)) {
        level = singleWorkersFirst ? 2 : 1;
    } else if (level == 1) {
        level = singleWorkersFirst ? 1 : 2;
    }
    return {level, shape.accelerators(), std::uint64_t{shape.tasks} * shape.perTask.cores};
}

auto resourcesText(const ResourceTotals &r) -> std::string
{
    return std::to_string(r.accelerators) + " accelerators, " + std::to_string(r.cores) + " cores, " + std::to_string(r.memoryMiB) + " MiB";
}

auto shapeText(const Shape &shape) -> std::string
{
    return std::to_string(shape.tasks) + " x (" + resourcesText(times(shape.perTask, 1)) + ") adjacency "
        + std::string(adjacencyName(shape.adjacency));
}

auto ownerText(const OrganisationName &organisation, const TeamName &team) -> std::string
{
    return team.empty() ? organisation.str() : organisation.str() + '/' + team.str();
}

} // namespace

auto GuaranteeSlot::isLocated() const noexcept -> bool
{
    return !places.empty();
}

auto GuaranteeSlot::isUnused() const noexcept -> bool
{
    return std::all_of(usedPlaces.begin(), usedPlaces.end(), [](std::uint32_t n) { return n == 0; });
}

auto GuaranteeTable::setGuarantees(Fleet &fleet, std::span<const OrganisationPolicy> organisations, const ZoneName &zone)
    -> std::vector<SlotIndex>
{
    std::map<SlotKey, std::uint32_t> wanted;
    for (const auto &organisation : organisations) {
        for (const auto &it : organisation.guarantees) {
            if (it.zone == zone && it.count > 0) {
                wanted[{organisation.name, it.team, it.shape}] += it.count;
            }
        }
    }
    std::vector<SlotIndex> order(m_slots.size());
    std::iota(order.begin(), order.end(), SlotIndex{0});
    // Slots in use are matched first, so that a smaller count drops unused slots.
    std::stable_partition(order.begin(), order.end(), [this](SlotIndex i) { return !m_slots[i].isUnused(); });
    std::vector<SlotIndex> removedInUse;
    for (const auto i : order) {
        if (m_slots[i].removed) {
            continue;
        }
        const auto it = wanted.find(keyOf(m_slots[i]));
        if (it != wanted.end() && it->second > 0) {
            --it->second;
            continue;
        }
        if (!m_slots[i].isUnused()) {
            removedInUse.push_back(i);
        }
        remove(fleet, i);
    }
    for (const auto &[key, count] : wanted) {
        for (std::uint32_t n = 0; n < count; ++n) {
            addSlot(key.organisation, {zone, key.team, key.shape, 1});
        }
    }
    return removedInUse;
}

auto GuaranteeTable::relocate(Fleet &fleet) -> void
{
    for (SlotIndex i = 0; i < m_slots.size(); ++i) {
        const auto &it = m_slots[i];
        const auto mustMove = [&fleet](const PlacedTasks &p) { return !fleet.worker(p.worker).retainsGuarantees; };
        if (it.isLocated() && it.isUnused() && std::any_of(it.places.begin(), it.places.end(), mustMove)) {
            clearLocation(fleet, i);
        }
    }
    if (!locateAll(fleet, unlocatedSlots(), false)) {
        locateFairly(fleet);
    }
    m_unmetCount = static_cast<std::uint32_t>(unlocatedSlots().size());
}

auto GuaranteeTable::use(const SlotUse &use) -> void
{
    auto &slot = m_slots[use.slot];
    for (const auto &it : use.places) {
        for (std::size_t i = 0; i < slot.places.size(); ++i) {
            if (slot.places[i].worker == it.worker) {
                slot.usedPlaces[i] += it.tasks;
            }
        }
    }
}

auto GuaranteeTable::release(const SlotUse &use) -> void
{
    auto &slot = m_slots[use.slot];
    for (const auto &it : use.places) {
        for (std::size_t i = 0; i < slot.places.size(); ++i) {
            if (slot.places[i].worker == it.worker) {
                slot.usedPlaces[i] -= it.tasks;
            }
        }
    }
}

auto GuaranteeTable::move(Fleet &fleet, SlotIndex slot, const Placement &places) -> void
{
    clearLocation(fleet, slot);
    auto &it = m_slots[slot];
    it.places = places;
    it.usedPlaces.assign(places.size(), 0);
    for (const auto &place : places) {
        fleet.addGuaranteed(place.worker, times(it.shape.perTask, place.tasks));
    }
}

auto GuaranteeTable::exchange(SlotIndex a, SlotIndex b) -> void
{
    std::swap(m_slots[a].places, m_slots[b].places);
    std::swap(m_slots[a].usedPlaces, m_slots[b].usedPlaces);
}

auto GuaranteeTable::slots() const noexcept -> std::span<const GuaranteeSlot>
{
    return m_slots;
}

auto GuaranteeTable::slotsOf(const OrganisationName &organisation) const -> std::span<const SlotIndex>
{
    const auto it = m_slotsByOrganisation.find(organisation);
    return it == m_slotsByOrganisation.end() ? std::span<const SlotIndex>{} : std::span<const SlotIndex>(it->second);
}

auto GuaranteeTable::shortfall() const -> std::vector<GuaranteeShortfall>
{
    std::map<SlotKey, GuaranteeShortfall> sums;
    for (const auto &it : m_slots) {
        if (it.removed) {
            continue;
        }
        auto &sum = sums.try_emplace(keyOf(it), GuaranteeShortfall{it.organisation, it.team, it.shape, 0, 0}).first->second;
        ++sum.guaranteed;
        sum.met += it.isLocated() ? 1 : 0;
    }
    std::vector<GuaranteeShortfall> result;
    for (const auto &[key, sum] : sums) {
        if (sum.met < sum.guaranteed) {
            result.push_back(sum);
        }
    }
    return result;
}

auto GuaranteeTable::hasShortfall() const noexcept -> bool
{
    return m_unmetCount > 0;
}

auto GuaranteeTable::locate(Fleet &fleet, SlotIndex slot, bool packTightly) -> bool
{
    std::optional<Placement> places;
    if (!packTightly) {
        places = findPlacement(fleet, m_slots[slot].shape, CapacityKind::FreeUnguaranteed);
    }
    if (!places) {
        places = findPlacement(fleet, m_slots[slot].shape, CapacityKind::Unguaranteed);
    }
    if (!places) {
        return false;
    }
    move(fleet, slot, *places);
    return true;
}

auto GuaranteeTable::clearLocation(Fleet &fleet, SlotIndex slot) -> void
{
    auto &it = m_slots[slot];
    for (const auto &place : it.places) {
        fleet.removeGuaranteed(place.worker, times(it.shape.perTask, place.tasks));
    }
    it.places.clear();
    it.usedPlaces.clear();
}

auto GuaranteeTable::unlocatedSlots() const -> std::vector<SlotIndex>
{
    std::vector<SlotIndex> result;
    for (SlotIndex i = 0; i < m_slots.size(); ++i) {
        if (!m_slots[i].removed && !m_slots[i].isLocated()) {
            result.push_back(i);
        }
    }
    return result;
}

auto GuaranteeTable::locateAll(Fleet &fleet, std::vector<SlotIndex> order, bool packTightly) -> bool
{
    const auto locateIn = [&](bool singleWorkersFirst) {
        const auto harder = [&](SlotIndex a, SlotIndex b) {
            return placementDifficulty(m_slots[a].shape, singleWorkersFirst) > placementDifficulty(m_slots[b].shape, singleWorkersFirst);
        };
        std::stable_sort(order.begin(), order.end(), harder);
        return std::all_of(order.begin(), order.end(), [&](SlotIndex i) { return locate(fleet, i, packTightly); });
    };
    if (locateIn(false)) {
        return true;
    }
    if (!packTightly) {
        return false;
    }
    clearUnusedLocations(fleet);
    return locateIn(true);
}

auto GuaranteeTable::locateFairly(Fleet &fleet) -> void
{
    clearUnusedLocations(fleet);
    if (locateAll(fleet, unlocatedSlots(), true)) {
        return;
    }
    clearUnusedLocations(fleet);
    struct Turn
    {
        std::uint64_t met = 0;
        std::uint64_t guaranteed = 0;
        std::vector<SlotIndex> waiting;
    };
    std::map<OrganisationName, Turn> turns;
    for (SlotIndex i = 0; i < m_slots.size(); ++i) {
        const auto &it = m_slots[i];
        if (it.removed) {
            continue;
        }
        auto &turn = turns[it.organisation];
        ++turn.guaranteed;
        if (it.isLocated()) {
            ++turn.met;
        } else {
            turn.waiting.push_back(i);
        }
    }
    std::set<std::pair<double, OrganisationName>> next;
    const auto fraction = [](const Turn &turn) { return static_cast<double>(turn.met) / static_cast<double>(turn.guaranteed); };
    for (auto &[organisation, turn] : turns) {
        const auto easier = [this](SlotIndex a, SlotIndex b) {
            return placementDifficulty(m_slots[a].shape, false) < placementDifficulty(m_slots[b].shape, false);
        };
        std::stable_sort(turn.waiting.begin(), turn.waiting.end(), easier);
        next.emplace(fraction(turn), organisation);
    }
    while (!next.empty()) {
        const auto organisation = next.begin()->second;
        next.erase(next.begin());
        auto &turn = turns[organisation];
        while (!turn.waiting.empty()) {
            const auto slot = turn.waiting.back();
            turn.waiting.pop_back();
            if (locate(fleet, slot, true)) {
                ++turn.met;
                next.emplace(fraction(turn), organisation);
                break;
            }
        }
    }
}

auto GuaranteeTable::clearUnusedLocations(Fleet &fleet) -> void
{
    for (SlotIndex i = 0; i < m_slots.size(); ++i) {
        if (m_slots[i].isLocated() && m_slots[i].isUnused()) {
            clearLocation(fleet, i);
        }
    }
}

auto GuaranteeTable::addSlot(const OrganisationName &organisation, const Guarantee &guarantee) -> void
{
    if (m_freeSlots.empty()) {
        m_freeSlots.push_back(static_cast<SlotIndex>(m_slots.size()));
        m_slots.emplace_back();
    }
    const auto i = m_freeSlots.back();
    m_freeSlots.pop_back();
    m_slots[i] = {organisation, guarantee.team, guarantee.shape, {}, {}, false};
    m_slotsByOrganisation[organisation].push_back(i);
}

auto GuaranteeTable::remove(Fleet &fleet, SlotIndex slot) -> void
{
    clearLocation(fleet, slot);
    auto &it = m_slots[slot];
    it.removed = true;
    const auto members = m_slotsByOrganisation.find(it.organisation);
    std::erase(members->second, slot);
    if (members->second.empty()) {
        m_slotsByOrganisation.erase(members);
    }
    m_freeSlots.push_back(slot);
}

auto checkGuarantees(std::span<const WorkerInfo> workers, std::span<const OrganisationPolicy> organisations, const ZoneName &zone)
    -> GuaranteeCheck
{
    Fleet fleet;
    ResourceTotals guaranteed;
    std::uint32_t largestWorker = 0;
    for (const auto &it : workers) {
        if (it.zone == zone) {
            fleet.join(it);
            largestWorker = std::max(largestWorker, it.capacity.accelerators);
        }
    }
    GuaranteeTable table;
    static_cast<void>(table.setGuarantees(fleet, organisations, zone));
    table.relocate(fleet);
    GuaranteeCheck check;
    check.fits = !table.hasShortfall();
    check.shortfall = table.shortfall();
    std::string lines;
    for (const auto &organisation : organisations) {
        for (const auto &it : organisation.guarantees) {
            if (it.zone != zone || it.count == 0) {
                continue;
            }
            const auto sum = times(it.shape.perTask, std::int64_t{it.shape.tasks} * it.count);
            guaranteed += sum;
            lines += "  " + ownerText(organisation.name, it.team) + ": " + std::to_string(it.count) + " gangs of " + shapeText(it.shape)
                + " = " + resourcesText(sum) + '\n';
        }
    }
    check.calculation = "zone " + zone.str() + ": " + std::to_string(fleet.workers().size()) + " workers in "
        + std::to_string(fleet.racks().size()) + " racks, at most " + std::to_string(largestWorker) + " accelerators on one\n" + lines
        + "  guaranteed in total: " + resourcesText(guaranteed) + "\n  capacity:            " + resourcesText(fleet.capacity()) + '\n';
    for (const auto &it : check.shortfall) {
        check.calculation += "  does not fit: " + ownerText(it.organisation, it.team) + ": " + shapeText(it.shape)
            + ": expected capacity for " + std::to_string(it.guaranteed) + " gangs, found capacity for " + std::to_string(it.met) + '\n';
    }
    check.calculation += check.fits ? "  result: fits\n" : "  result: does not fit\n";
    return check;
}

} // namespace Acaciarail::Scheduling
