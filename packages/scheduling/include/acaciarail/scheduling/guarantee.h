#pragma once

#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/policy.h>
#include <acaciarail/scheduling/fleet.h>
#include <acaciarail/scheduling/placement.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Acaciarail::Scheduling {

/// A guarantee that cannot be met with the present workers.
struct GuaranteeShortfall
{
    OrganisationName organisation;
    TeamName team;
    Shape shape;
    /// Number of gangs of this shape that are guaranteed.
    std::uint32_t guaranteed = 0;
    /// Number of them that have their capacity located.
    std::uint32_t met = 0;

    friend auto operator==(const GuaranteeShortfall &, const GuaranteeShortfall &) noexcept -> bool = default;
};

/// Result of checking guarantees against a fleet.
struct GuaranteeCheck
{
    bool fits = false;
    /// The calculation as text for the operator, one line for each guarantee and each sum over the zone.
    std::string calculation;
    std::vector<GuaranteeShortfall> shortfall;
};

/// Checks whether all guarantees of \a organisations in \a zone fit an empty fleet of \a workers at the same time.
/// Workers of other zones are ignored. \pre none. Thread-safe.
[[nodiscard]] auto checkGuarantees(std::span<const WorkerInfo> workers, std::span<const OrganisationPolicy> organisations,
                                   const ZoneName &zone) -> GuaranteeCheck;

/// One guaranteed gang of an organisation. Each of its tasks has a place on a worker, which is free, used by the owner or used by
/// reclaimable work of others.
struct GuaranteeSlot
{
    OrganisationName organisation;
    TeamName team;
    Shape shape;
    /// Workers with the number of places on each; empty while the guarantee cannot be met.
    Placement places;
    /// Places in use by the owner, in the order of \c places.
    std::vector<std::uint32_t> usedPlaces;

    /// The guarantee was withdrawn; the entry is free for another one.
    bool removed = false;

    /// \pre none. Thread-safe.
    [[nodiscard]] auto isLocated() const noexcept -> bool;
    /// \pre none. Thread-safe.
    [[nodiscard]] auto isUnused() const noexcept -> bool;
};

using SlotIndex = std::uint32_t;

/// Places of a slot that an attempt uses.
struct SlotUse
{
    SlotIndex slot = 0;
    Placement places;
};

/// Locates all guaranteed shapes of a shard on its workers. The locations maintain an invariant: on each worker the places never
/// exceed the capacity, and work inside guarantees runs only in its own places. Hence every unused guarantee can be served by
/// stopping reclaimable work only. All methods: not thread-safe; every call must pass the same fleet.
class GuaranteeTable
{
public:
    /// Replaces the guarantees; relocate() then locates the new ones. A slot with the same organisation, team and shape keeps its
    /// places and their use.
    /// Returns the slots that were in use and are no longer guaranteed; their indexes may be reused. \pre none.
    [[nodiscard]] auto setGuarantees(Fleet &fleet, std::span<const OrganisationPolicy> organisations, const ZoneName &zone)
        -> std::vector<SlotIndex>;

    /// Locates the unused slots whose workers no longer retain guarantees, and as many of the unlocated slots as possible.
    /// \pre none.
    auto relocate(Fleet &fleet) -> void;

    /// Marks places as used. \pre the slot is located there and the places are unused.
    auto use(const SlotUse &use) -> void;
    /// Marks places as unused. \pre they are used.
    auto release(const SlotUse &use) -> void;
    /// Moves an unused slot to \a places. \pre the slot is unused and no guarantee covers \a places.
    auto move(Fleet &fleet, SlotIndex slot, const Placement &places) -> void;
    /// Exchanges the locations of two unused slots of the same shape. \pre both are unused and have equal shapes.
    auto exchange(SlotIndex a, SlotIndex b) -> void;

    [[nodiscard]] auto slots() const noexcept -> std::span<const GuaranteeSlot>;
    /// Slots of an organisation.
    [[nodiscard]] auto slotsOf(const OrganisationName &organisation) const -> std::span<const SlotIndex>;
    [[nodiscard]] auto shortfall() const -> std::vector<GuaranteeShortfall>;
    [[nodiscard]] auto hasShortfall() const noexcept -> bool;

private:
    /// Locates a slot; prefers free capacity unless \a packTightly.
    [[nodiscard]] auto locate(Fleet &fleet, SlotIndex slot, bool packTightly) -> bool;
    auto clearLocation(Fleet &fleet, SlotIndex slot) -> void;
    [[nodiscard]] auto unlocatedSlots() const -> std::vector<SlotIndex>;
    [[nodiscard]] auto locateAll(Fleet &fleet, std::vector<SlotIndex> order, bool packTightly) -> bool;
    /// Locates all unused slots again. If not all fit, the organisation with the smallest part of its guarantees met comes next.
    auto locateFairly(Fleet &fleet) -> void;
    auto clearUnusedLocations(Fleet &fleet) -> void;
    auto addSlot(const OrganisationName &organisation, const Guarantee &guarantee) -> void;
    auto remove(Fleet &fleet, SlotIndex slot) -> void;

    std::vector<GuaranteeSlot> m_slots;
    std::vector<SlotIndex> m_freeSlots;
    std::map<OrganisationName, std::vector<SlotIndex>> m_slotsByOrganisation;
    std::uint32_t m_unmetCount = 0;
};

} // namespace Acaciarail::Scheduling
