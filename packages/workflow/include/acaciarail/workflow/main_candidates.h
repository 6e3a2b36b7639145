#pragma once

#include <acaciarail/workflow/records.h>

#include <cstddef>
#include <map>
#include <vector>

namespace Acaciarail::Workflow {

struct MainCandidatesSettings
{
    /// Number of main candidates, and of different zones among them where the instances are in as many.
    std::size_t count = 4;
    std::size_t zones = 3;
    /// A main candidate announces itself at this interval, so that others notice its absence.
    Duration announceInterval = 10s;
    /// An instance whose announcement is older than this is no candidate; several intervals, since appends fail during disruptions.
    Duration announcementLifetime = 40s;
};

/// Chooses the instances that watch the holder closely, so that the others can read the log less often: those with the most processor time
/// among the ones that announced themselves recently, in different zones. Every instance chooses by itself; the choices differ while
/// announcements are under way, which costs calls but no safety. Not thread-safe.
class MainCandidates
{
public:
    /// \pre none.
    MainCandidates(MainCandidatesSettings settings, InstanceAnnouncement self);

    /// Takes note of an announcement. \pre none.
    auto observe(const InstanceAnnouncement &announcement, TimePoint now) -> void;

    /// Returns the main candidates, best first. \pre none.
    [[nodiscard]] auto choose(TimePoint now) const -> std::vector<InstanceName>;
    /// Returns whether this instance is a main candidate. \pre none.
    [[nodiscard]] auto includesSelf(TimePoint now) const -> bool;

    /// Whether there are instances, apart from a holder that is lost, which have more processor time than this one.
    enum class Larger : std::uint8_t {
        None,
        /// Only in the zone of that holder, which may be lost as well.
        InZoneOfHolder,
        Elsewhere,
    };
    /// \pre none.
    [[nodiscard]] auto findLarger(const InstanceName &lostHolder, TimePoint now) const -> Larger;

private:
    struct Member
    {
        InstanceAnnouncement announcement;
        TimePoint heardAt;
    };

    [[nodiscard]] auto isRecent(const Member &member, TimePoint now) const -> bool;

    MainCandidatesSettings m_settings;
    InstanceAnnouncement m_self;
    std::map<InstanceName, Member> m_members;
};

} // namespace Acaciarail::Workflow
