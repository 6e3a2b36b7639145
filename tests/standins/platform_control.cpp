#include "platform_control.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <initializer_list>
#include <limits>
#include <utility>

namespace Acaciarail::Standins {

namespace {

using nlohmann::json;

/// Longest delay or lag; a larger number could overflow a time point.
constexpr std::uint64_t maxDelayMs = 24ULL * 3600 * 1000;
constexpr std::uint32_t defaultSlots = 8;
constexpr std::uint32_t defaultConnections = 64;

/// Reads the fields of a control request and keeps the first error.
class FieldReader
{
public:
    auto text(const json &object, const char *field, const char *fallback = nullptr) -> std::string
    {
        const auto it = object.find(field);
        if (it == object.end() && fallback != nullptr) {
            return fallback;
        }
        if (it == object.end() || !it->is_string()) {
            setError(field, "text");
            return {};
        }
        return it->get<std::string>();
    }

    auto number(const json &object, const char *field, std::uint64_t limit, std::uint64_t fallback) -> std::uint64_t
    {
        const auto it = object.find(field);
        if (it == object.end()) {
            return fallback;
        }
        if (!it->is_number_unsigned() || it->get<std::uint64_t>() > limit) {
            setError(field, "a whole number of at most " + std::to_string(limit));
            return fallback;
        }
        return it->get<std::uint64_t>();
    }

    auto number32(const json &object, const char *field, std::uint32_t fallback) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(number(object, field, std::numeric_limits<std::uint32_t>::max(), fallback));
    }

    auto delay(const json &object, const char *field) -> Duration
    {
        return std::chrono::milliseconds(number(object, field, maxDelayMs, 0));
    }

    auto leaving(const json &object) -> bool
    {
        const auto state = text(object, "state", "live");
        if (state != "live" && state != "leaving") {
            setError("state", "live or leaving");
        }
        return state == "leaving";
    }

    auto instance(const json &object) -> ListedInstance
    {
        ListedInstance out;
        if (!object.is_object()) {
            setError("add", "an object");
            return out;
        }
        out.name = text(object, "name");
        const auto kind = parseListedKind(text(object, "kind"));
        if (!kind) {
            setError("kind", "entry, endpoint or worker");
        }
        out.kind = kind.value_or(ListedKind::Entry);
        out.address = text(object, "address");
        out.region = text(object, "region");
        out.zone = text(object, "zone");
        out.rack = text(object, "rack", "");
        out.rackPosition = number32(object, "rack_position", 0);
        out.service = text(object, "service", "");
        out.leaving = leaving(object);
        out.accelerators = number32(object, "accelerators", 0);
        out.cores = number32(object, "cores", 0);
        out.memoryMiB = number32(object, "memory_mib", 0);
        out.slots = number32(object, "slots", defaultSlots);
        out.connections = number32(object, "connections", defaultConnections);
        return out;
    }

    auto setError(const std::string &field, const std::string &expected) -> void
    {
        if (!m_error) {
            m_error = field + ": expected " + expected + ", found something else";
        }
    }

    [[nodiscard]] auto firstError() const -> const std::optional<std::string> &
    {
        return m_error;
    }

private:
    std::optional<std::string> m_error;
};

using Change = std::function<void(PlatformModel &, TimePoint)>;

auto readLogChanges(const json &root, FieldReader &in, std::vector<Change> &changes) -> void
{
    if (root.contains("mode")) {
        const auto mode = parseLogMode(in.text(root, "mode"));
        const auto delay = in.delay(root, "delay_ms");
        if (!mode) {
            in.setError("mode", "up, down, slow or lose-answers");
            return;
        }
        changes.emplace_back([m = *mode, delay](PlatformModel &model, TimePoint) { model.setMode(m, delay); });
    }
    if (root.contains("retain_from")) {
        const auto offset = in.number(root, "retain_from", std::numeric_limits<std::uint64_t>::max(), 0);
        changes.emplace_back([offset](PlatformModel &model, TimePoint) { model.retainFrom(offset); });
    }
    if (root.contains("retention")) {
        const auto records = in.number(root, "retention", std::numeric_limits<std::uint64_t>::max(), 0);
        changes.emplace_back([records](PlatformModel &model, TimePoint) { model.setRetention(records); });
    }
}

auto readZoneChanges(const json &root, FieldReader &in, std::vector<Change> &changes) -> void
{
    if (root.contains("cut_zone")) {
        changes.emplace_back([zone = ZoneName(in.text(root, "cut_zone"))](PlatformModel &model, TimePoint) { model.cutZone(zone); });
    }
    if (root.contains("heal_zone")) {
        const ZoneName zone(in.text(root, "heal_zone"));
        changes.emplace_back([zone](PlatformModel &model, TimePoint) { zone.empty() ? model.restoreZones() : model.restoreZone(zone); });
    }
}

auto readListChanges(const json &root, FieldReader &in, std::vector<Change> &changes) -> void
{
    if (root.contains("list_lag_ms")) {
        changes.emplace_back([lag = in.delay(root, "list_lag_ms")](PlatformModel &model, TimePoint) { model.setListLag(lag); });
    }
    if (root.contains("add")) {
        const auto &added = root["add"];
        for (const auto &it : added.is_array() ? added : json::array({added})) {
            changes.emplace_back([instance = in.instance(it)](PlatformModel &model, TimePoint now) { model.add(instance, now); });
        }
    }
    if (root.contains("remove")) {
        changes.emplace_back([name = in.text(root, "remove")](PlatformModel &model, TimePoint now) { model.remove(name, now); });
    }
    if (root.contains("set_state")) {
        const auto &state = root["set_state"];
        if (!state.is_object()) {
            in.setError("set_state", "an object");
            return;
        }
        const auto name = in.text(state, "name");
        const auto leaving = in.leaving(state);
        changes.emplace_back([name, leaving](PlatformModel &model, TimePoint now) { model.setLeaving(name, leaving, now); });
    }
}

auto toJson(const ListedInstance &instance) -> json
{
    return {{"name", instance.name},
            {"kind", listedKindName(instance.kind)},
            {"address", instance.address},
            {"region", instance.region},
            {"zone", instance.zone},
            {"rack", instance.rack},
            {"rack_position", instance.rackPosition},
            {"service", instance.service},
            {"state", instance.leaving ? "leaving" : "live"},
            {"accelerators", instance.accelerators},
            {"cores", instance.cores},
            {"memory_mib", instance.memoryMiB},
            {"slots", instance.slots},
            {"connections", instance.connections}};
}

/// Replaces invalid UTF-8, for which dump() would otherwise throw.
auto dump(const json &value) -> std::string
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

auto applyControl(PlatformModel &model, std::string_view body, TimePoint now) -> std::optional<std::string>
{
    const auto root = json::parse(body, nullptr, false);
    if (!root.is_object()) {
        return "control: expected a JSON object, found something else";
    }
    FieldReader in;
    std::vector<Change> changes;
    readLogChanges(root, in, changes);
    readZoneChanges(root, in, changes);
    readListChanges(root, in, changes);
    if (in.firstError()) {
        return in.firstError();
    }
    for (const auto &it : changes) {
        it(model, now);
    }
    return std::nullopt;
}

auto instancesToJson(const std::vector<ListedInstance> &instances) -> std::string
{
    auto out = json::array();
    for (const auto &it : instances) {
        out.push_back(toJson(it));
    }
    return dump(out);
}

auto instanceToJson(const ListedInstance &instance) -> std::string
{
    return dump(toJson(instance));
}

} // namespace Acaciarail::Standins
