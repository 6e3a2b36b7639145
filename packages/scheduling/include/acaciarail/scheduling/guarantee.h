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
    std::uint32_t promised = 0;
    std::uint32_t kept = 0;

    friend auto operator==(const GuaranteeShortfall &, const GuaranteeShortfall &) noexcept -> bool = default;
};

/// Result of checking guarantees against a fleet.
struct GuaranteeCheck
{
    bool fits = false;
    /// The calculation, one line for each guarantee and zone sum.
    std::string calculation;
    std::vector<GuaranteeShortfall> shortfall;
};

/// Checks whether all guarantees of \a organisations in \a zone fit an empty fleet of \a workers at the same time.
/// Workers of other zones are ignored. \pre none. Thread-safe.
[[nodiscard]] auto checkGuarantees(std::span<const WorkerInfo> workers, std::span<const OrganisationPolicy> organisations,
                                   const ZoneName &zone) -> GuaranteeCheck;

/// One guaranteed shape. Its places are located on workers, where they are free, used by the owner, or hold reclaimable work.
struct GuaranteeSlot
{
    OrganisationName organisation;
    TeamName team;
    Shape shape;
    /// Where the places are; empty while the slot cannot be met.
    Placement places;
    /// Places in use, in the order of \c places.
    std::vector<std::uint32_t> usedPlaces;

    /// Not the number of a guarantee any more.
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

/// Locates all guaranteed shapes of a shard on its workers. The locations are the proof of the invariant: on each worker the
/// places never exceed the capacity, and work inside guarantees runs only in its own places; so every unused shape can be had by
/// stopping reclaimable work only. All methods: not thread-safe; the fleet passed in is the same for the life of the book.
class GuaranteeBook
{
public:
    /// Replaces the guarantees; relocate() then locates the new ones. A slot with the same organisation, team and shape keeps its
    /// place and use.
    /// Returns the slots that were in use and are no longer guaranteed; their numbers may be given out again. \pre none.
    [[nodiscard]] auto setGuarantees(Fleet &fleet, std::span<const OrganisationPolicy> organisations, const ZoneName &zone)
        -> std::vector<SlotIndex>;

    /// Locates the slots that lost their workers, and as many of those not met as possible. \pre none.
    auto relocate(Fleet &fleet) -> void;

    /// Marks places as used. \pre they are located there and unused.
    auto use(const SlotUse &use) -> void;
    /// Marks places as unused. \pre they are used.
    auto release(const SlotUse &use) -> void;
    /// Moves an unused slot to \a places. \pre the slot is unused and the places are unpromised.
    auto move(Fleet &fleet, SlotIndex slot, const Placement &places) -> void;
    /// Exchanges the locations of two unused slots of the same shape. \pre both are unused and have equal shapes.
    auto exchange(SlotIndex a, SlotIndex b) -> void;

    [[nodiscard]] auto slots() const noexcept -> std::span<const GuaranteeSlot>;
    /// Slots of an organisation.
    [[nodiscard]] auto slotsOf(const OrganisationName &organisation) const -> std::span<const SlotIndex>;
    [[nodiscard]] auto shortfall() const -> std::vector<GuaranteeShortfall>;
    [[nodiscard]] auto hasShortfall() const noexcept -> bool;

private:
    [[nodiscard]] auto locate(Fleet &fleet, SlotIndex slot, bool tightest) -> bool;
    auto vacate(Fleet &fleet, SlotIndex slot) -> void;
    [[nodiscard]] auto missing() const -> std::vector<SlotIndex>;
    [[nodiscard]] auto locateAll(Fleet &fleet, std::vector<SlotIndex> order, bool tightest) -> bool;
    auto locateInTurn(Fleet &fleet) -> void;
    auto vacateUnused(Fleet &fleet) -> void;
    auto addSlot(const OrganisationName &organisation, const Guarantee &guarantee) -> void;
    auto remove(Fleet &fleet, SlotIndex slot) -> void;

    std::vector<GuaranteeSlot> m_slots;
    std::vector<SlotIndex> m_vacant;
    std::map<OrganisationName, std::vector<SlotIndex>> m_byOrganisation;
    std::uint32_t m_unmet = 0;
};

} // namespace Acaciarail::Scheduling
