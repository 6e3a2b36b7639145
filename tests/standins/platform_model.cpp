#include "platform_model.h"

#include <algorithm>
#include <array>
#include <map>

namespace Acaciarail::Standins {

namespace {

constexpr std::array<std::string_view, 4> modeNames{"up", "down", "slow", "lose-answers"};
constexpr std::array<std::string_view, 3> kindNames{"entry", "endpoint", "worker"};

template<typename Enum, std::size_t n>
auto parseEnum(const std::array<std::string_view, n> &names, std::string_view text) noexcept -> std::optional<Enum>
{
    for (std::size_t i = 0; i < n; ++i) {
        if (names[i] == text) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

} // namespace

auto parseLogMode(std::string_view text) noexcept -> std::optional<LogMode>
{
    return parseEnum<LogMode>(modeNames, text);
}

auto listedKindName(ListedKind kind) noexcept -> std::string_view
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

auto parseListedKind(std::string_view text) noexcept -> std::optional<ListedKind>
{
    return parseEnum<ListedKind>(kindNames, text);
}

auto PlatformModel::append(const std::vector<std::string> &records, const ZoneName &zone) -> AppendAnswer
{
    if (isCut(zone)) {
        return {AnswerKind::Lost, {}, 0, 0};
    }
    if (m_mode == LogMode::Down) {
        return {AnswerKind::Unavailable, {}, 0, 0};
    }
    const auto first = end();
    m_records.insert(m_records.end(), records.begin(), records.end());
    ++m_appends;
    const auto next = end();
    trim();
    if (m_mode == LogMode::LoseAnswers) {
        return {AnswerKind::Lost, {}, 0, 0};
    }
    return {AnswerKind::Answered, m_mode == LogMode::Slow ? m_delay : Duration::zero(), first, next};
}

auto PlatformModel::read(LogOffset from, std::size_t maxRecords, const ZoneName &zone) const -> ReadAnswer
{
    ReadAnswer answer;
    if (isCut(zone)) {
        answer.kind = AnswerKind::Lost;
        return answer;
    }
    if (m_mode == LogMode::Down) {
        answer.kind = AnswerKind::Unavailable;
        return answer;
    }
    answer.delay = m_mode == LogMode::Slow ? m_delay : Duration::zero();
    answer.earliest = m_earliest;
    answer.next = end();
    if (from < m_earliest) {
        answer.kind = AnswerKind::NotRetained;
        return answer;
    }
    std::size_t bytes = 0;
    for (auto offset = from; offset < end() && answer.entries.size() < maxRecords; ++offset) {
        const auto &record = m_records[offset - m_earliest];
        bytes += record.size();
        if (bytes > maxReadBytes && !answer.entries.empty()) {
            break;
        }
        answer.entries.push_back({offset, record});
    }
    return answer;
}

auto PlatformModel::list(const ZoneName &zone, TimePoint now) const -> std::optional<std::vector<ListedInstance>>
{
    if (isCut(zone)) {
        return std::nullopt;
    }
    std::map<std::string, ListedInstance> visible;
    for (const auto &it : m_changes) {
        if (it.at + m_listLag > now) {
            break;
        }
        if (it.instance) {
            visible[it.name] = *it.instance;
        } else {
            visible.erase(it.name);
        }
    }
    std::vector<ListedInstance> out;
    out.reserve(visible.size());
    for (auto &[name, it] : visible) {
        out.push_back(std::move(it));
    }
    return out;
}

auto PlatformModel::setMode(LogMode mode, Duration delay) -> void
{
    m_mode = mode;
    m_delay = delay;
}

auto PlatformModel::retainFrom(LogOffset offset) -> void
{
    while (m_earliest < offset && !m_records.empty()) {
        m_records.pop_front();
        ++m_earliest;
    }
}

auto PlatformModel::setRetention(std::size_t records) -> void
{
    m_retention = records;
    trim();
}

auto PlatformModel::cutZone(const ZoneName &zone) -> void
{
    m_cutZones.insert(zone);
}

auto PlatformModel::restoreZones() -> void
{
    m_cutZones.clear();
}

auto PlatformModel::restoreZone(const ZoneName &zone) -> void
{
    m_cutZones.erase(zone);
}

auto PlatformModel::setListLag(Duration lag) -> void
{
    m_listLag = lag;
}

auto PlatformModel::add(const ListedInstance &instance, TimePoint now) -> void
{
    m_changes.push_back({now, instance.name, instance});
}

auto PlatformModel::remove(const std::string &name, TimePoint now) -> void
{
    if (latest(name)) {
        m_changes.push_back({now, name, std::nullopt});
    }
}

auto PlatformModel::setLeaving(const std::string &name, bool leaving, TimePoint now) -> bool
{
    auto instance = latest(name);
    if (!instance) {
        return false;
    }
    instance->leaving = leaving;
    add(*instance, now);
    return true;
}

auto PlatformModel::earliest() const noexcept -> LogOffset
{
    return m_earliest;
}

auto PlatformModel::end() const noexcept -> LogOffset
{
    return m_earliest + m_records.size();
}

auto PlatformModel::isCut(const ZoneName &zone) const -> bool
{
    return m_cutZones.contains(zone);
}

auto PlatformModel::appends() const noexcept -> std::uint64_t
{
    return m_appends;
}

auto PlatformModel::trim() -> void
{
    if (m_records.size() > m_retention) {
        retainFrom(end() - m_retention);
    }
}

auto PlatformModel::latest(const std::string &name) const -> std::optional<ListedInstance>
{
    const auto it = std::find_if(m_changes.rbegin(), m_changes.rend(), [&name](const Change &c) { return c.name == name; });
    return it == m_changes.rend() ? std::nullopt : it->instance;
}

} // namespace Acaciarail::Standins
