#include <acaciarail/workflow/main_candidates.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Acaciarail::Workflow {

MainCandidates::MainCandidates(MainCandidatesSettings settings, InstanceAnnouncement self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

auto MainCandidates::observe(const InstanceAnnouncement &announcement, TimePoint now) -> void
{
    if (announcement.instance != m_self.instance) {
        m_members.insert_or_assign(announcement.instance, Member{announcement, now});
    }
}

auto MainCandidates::isRecent(const Member &member, TimePoint now) const -> bool
{
    return now <= member.heardAt + m_settings.announcementLifetime;
}

auto MainCandidates::choose(TimePoint now) const -> std::vector<InstanceName>
{
    std::vector<const InstanceAnnouncement *> ranked{&m_self};
    for (const auto &[name, member] : m_members) {
        if (isRecent(member, now)) {
            ranked.push_back(&member.announcement);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const InstanceAnnouncement *a, const InstanceAnnouncement *b) {
        return std::tie(b->processorShare, a->instance) < std::tie(a->processorShare, b->instance);
    });
    std::vector<InstanceName> out;
    std::set<ZoneName> zones;
    for (const auto *it : ranked) {
        if (zones.size() < m_settings.zones && zones.insert(it->zone).second) {
            out.push_back(it->instance);
        }
    }
    for (const auto *it : ranked) {
        if (out.size() < m_settings.count && std::find(out.begin(), out.end(), it->instance) == out.end()) {
            out.push_back(it->instance);
        }
    }
    return out;
}

auto MainCandidates::includesSelf(TimePoint now) const -> bool
{
    const auto chosen = choose(now);
    return std::find(chosen.begin(), chosen.end(), m_self.instance) != chosen.end();
}

auto MainCandidates::findLarger(const InstanceName &lostHolder, TimePoint now) const -> Larger
{
    const auto holder = m_members.find(lostHolder);
    const auto lostZone = holder == m_members.end() ? ZoneName() : holder->second.announcement.zone;
    auto out = Larger::None;
    for (const auto &[name, member] : m_members) {
        const auto &it = member.announcement;
        if (name == lostHolder || it.processorShare <= m_self.processorShare || !isRecent(member, now)) {
            continue;
        }
        if (lostZone.empty() || it.zone != lostZone) {
            return Larger::Elsewhere;
        }
        out = Larger::InZoneOfHolder;
    }
    return out;
}

} // namespace Acaciarail::Workflow
