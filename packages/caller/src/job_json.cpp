#include <acaciarail/caller/job_json.h>

#include "text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <set>
#include <span>
#include <utility>

namespace Acaciarail::Caller {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxTextBytes = 128;
/// A job description has two levels of nesting; more are parsed only so that the failure can name the faulty field.
constexpr int maxDepth = 16;

constexpr std::array<std::string_view, 10> jobFields{
    "name", "team", "kind", "shape", "priority", "run_time_ms", "start_within_ms", "idempotent", "checkpointable", "zone"};
constexpr std::array<std::string_view, 5> shapeFields{"tasks", "accelerators", "cores", "memory_mib", "adjacency"};

auto malformed(std::string_view field, std::string_view expected, std::string_view found) -> Failure
{
    return {Error::MalformedInput, Execution::NotRun,
            std::string(field) + ": expected " + std::string(expected) + ", found " + std::string(found)};
}

/// Describes a value for an error message.
auto describe(const Json &value) -> std::string
{
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array";
    }
    if (value.is_string()) {
        return Detail::quoteFound(value.get_ref<const std::string &>());
    }
    return value.dump();
}

/// Reads the members of one object and records the first fault.
class FieldReader
{
public:
    FieldReader(const Json &object, std::string prefix, std::span<const std::string_view> known)
        : m_object(object)
        , m_prefix(std::move(prefix))
    {
        for (const auto &it : object.items()) {
            if (std::find(known.begin(), known.end(), it.key()) == known.end()) {
                const auto nearest = std::string(Detail::nearestName(it.key(), known));
                recordFault(Detail::quoteFound(it.key()), "a known field, the nearest is " + nearest, "an unknown one");
            }
        }
    }

    [[nodiscard]] auto fault() const -> const std::optional<Failure> &
    {
        return m_fault;
    }

    auto require(std::string_view name) -> void
    {
        if (!m_object.contains(name)) {
            recordFault(name, "a value", "none");
        }
    }

    auto readText(std::string_view name) -> std::string
    {
        const auto *value = find(name);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            recordFault(name, "text", describe(*value));
            return {};
        }
        const auto &text = value->get_ref<const std::string &>();
        const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
        if (text.empty() || text.size() > maxTextBytes || std::any_of(text.begin(), text.end(), isControl)) {
            recordFault(name, "text of 1 to 128 bytes without control characters", describe(*value));
            return {};
        }
        return text;
    }

    auto readNumber(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t fallback) -> std::uint64_t
    {
        const auto *value = find(name);
        if (value == nullptr) {
            return fallback;
        }
        const bool inRange =
            value->is_number_unsigned() && value->get<std::uint64_t>() >= minimum && value->get<std::uint64_t>() <= maximum;
        if (!inRange) {
            recordFault(name, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum), describe(*value));
            return fallback;
        }
        return value->get<std::uint64_t>();
    }

    auto readBool(std::string_view name, bool fallback) -> bool
    {
        const auto *value = find(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_boolean()) {
            recordFault(name, "true or false", describe(*value));
            return fallback;
        }
        return value->get<bool>();
    }

    template<typename T>
    auto readChoice(std::string_view name, std::string_view choices, std::optional<T> (*parse)(std::string_view) noexcept, T fallback) -> T
    {
        const auto *value = find(name);
        if (value == nullptr) {
            return fallback;
        }
        const auto parsed = value->is_string() ? parse(value->get_ref<const std::string &>()) : std::nullopt;
        if (!parsed) {
            recordFault(name, choices, describe(*value));
        }
        return parsed.value_or(fallback);
    }

    auto recordFault(std::string_view name, std::string_view expected, std::string_view found) -> void
    {
        if (!m_fault) {
            m_fault = malformed(m_prefix + std::string(name), expected, found);
        }
    }

private:
    auto find(std::string_view name) const -> const Json *
    {
        const auto it = m_object.find(name);
        return it == m_object.end() ? nullptr : &*it;
    }

    const Json &m_object;
    std::string m_prefix;
    std::optional<Failure> m_fault;
};

/// Parses JSON and refuses duplicate members, because other parsers might use the other occurrence.
auto parseDocument(std::string_view body) -> Parsed<Json>
{
    std::optional<Failure> fault;
    std::vector<std::set<std::string>> members;
    const auto check = [&fault, &members](int depth, Json::parse_event_t event, Json &value) {
        if (fault) {
            return false;
        }
        if (depth > maxDepth) {
            fault = malformed("body", "at most 16 levels", "more");
            return false;
        }
        if (event == Json::parse_event_t::object_start) {
            members.emplace_back();
        } else if (event == Json::parse_event_t::object_end) {
            members.pop_back();
        } else if (event == Json::parse_event_t::key && !members.back().insert(value.get<std::string>()).second) {
            fault = malformed("field " + Detail::quoteFound(value.get<std::string>()), "one", "several");
        }
        return !fault;
    };
    try {
        auto document = Json::parse(body, check);
        if (fault) {
            return *std::move(fault);
        }
        return document;
    } catch (const Json::parse_error &e) {
        return fault ? *std::move(fault) : malformed("body", "JSON", "a syntax error at byte " + std::to_string(e.byte));
    } catch (const Json::out_of_range &) {
        return malformed("body", "numbers in range", "one that is out of range");
    }
}

auto readShape(const Json &value, JobSpec &spec) -> std::optional<Failure>
{
    if (!value.is_object()) {
        return malformed("shape", "an object", describe(value));
    }
    constexpr std::uint64_t maxAmount = std::numeric_limits<std::uint32_t>::max();
    FieldReader reader(value, "shape.", shapeFields);
    reader.require("tasks");
    spec.shape.tasks = static_cast<std::uint32_t>(reader.readNumber("tasks", 1, maxGangTasks, 1));
    spec.shape.perTask.accelerators = static_cast<std::uint32_t>(reader.readNumber("accelerators", 0, maxAmount, 0));
    spec.shape.perTask.cores = static_cast<std::uint32_t>(reader.readNumber("cores", 0, maxAmount, 0));
    spec.shape.perTask.memoryMiB = static_cast<std::uint32_t>(reader.readNumber("memory_mib", 0, maxAmount, 0));
    spec.shape.adjacency = reader.readChoice("adjacency", "any, worker, rack or neighbouring-racks", &parseAdjacency, Adjacency::Any);
    return reader.fault();
}

auto toMilliseconds(Duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

auto toJson(const Shape &shape) -> nlohmann::ordered_json
{
    nlohmann::ordered_json out;
    out["tasks"] = shape.tasks;
    out["accelerators"] = shape.perTask.accelerators;
    out["cores"] = shape.perTask.cores;
    out["memory_mib"] = shape.perTask.memoryMiB;
    out["adjacency"] = adjacencyName(shape.adjacency);
    return out;
}

auto toJson(const JobDocument &document) -> nlohmann::ordered_json
{
    const auto &spec = document.job.spec;
    nlohmann::ordered_json out;
    out["id"] = document.job.id.str();
    out["state"] = jobPhaseName(document.phase);
    if (document.outcome) {
        out["outcome"] = jobOutcomeName(*document.outcome);
        out["reason"] = jobReasonName(document.reason);
    }
    if (!document.detail.empty()) {
        out["detail"] = document.detail;
    }
    out["attempt"] = document.attempt;
    auto &workers = out["workers"] = nlohmann::ordered_json::array();
    for (const auto &it : document.members) {
        workers.push_back({{"worker", it.worker.str()}, {"tasks", it.tasks}});
    }
    out["organisation"] = spec.organisation.str();
    out["team"] = spec.team.str();
    out["caller"] = spec.caller.str();
    out["name"] = spec.name;
    out["kind"] = spec.kind;
    out["shape"] = toJson(spec.shape);
    out["priority"] = priorityName(spec.priority);
    out["run_time_ms"] = toMilliseconds(spec.declaredRunTime);
    if (spec.startWithin) {
        out["start_within_ms"] = toMilliseconds(*spec.startWithin);
    }
    out["idempotent"] = spec.idempotent;
    out["checkpointable"] = spec.checkpointable;
    out["zone"] = document.job.zone.str();
    return out;
}

auto dump(const nlohmann::ordered_json &value) -> std::string
{
    return value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

auto jobPhaseName(JobPhase phase) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, 5> names{"queued", "starting", "running", "stopping", "finished"};
    return names.at(static_cast<std::size_t>(phase));
}

auto parseJobSpec(std::string_view body) -> Parsed<JobSpec>
{
    auto parsed = parseDocument(body);
    if (auto *fault = std::get_if<Failure>(&parsed)) {
        return std::move(*fault);
    }
    const auto &document = std::get<Json>(parsed);
    if (!document.is_object()) {
        return malformed("body", "an object", describe(document));
    }
    constexpr auto maxRunTimeMs =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(maxDeclaredRunTime).count());

    JobSpec spec;
    FieldReader reader(document, "", jobFields);
    for (const std::string_view it : {"name", "shape", "run_time_ms"}) {
        reader.require(it);
    }
    spec.name = reader.readText("name");
    spec.team = TeamName(reader.readText("team"));
    spec.kind = reader.readText("kind");
    spec.zone = ZoneName(reader.readText("zone"));
    spec.priority = reader.readChoice("priority", "urgent, normal or background", &parsePriority, Priority::Normal);
    spec.declaredRunTime = std::chrono::milliseconds(reader.readNumber("run_time_ms", 1, maxRunTimeMs, 1));
    if (document.contains("start_within_ms")) {
        spec.startWithin = std::chrono::milliseconds(reader.readNumber("start_within_ms", 1, maxRunTimeMs, 1));
    }
    spec.idempotent = reader.readBool("idempotent", true);
    spec.checkpointable = reader.readBool("checkpointable", false);
    if (reader.fault()) {
        return *reader.fault();
    }
    if (auto fault = readShape(document["shape"], spec)) {
        return *std::move(fault);
    }
    if (auto fault = validateJobSpec(spec)) {
        return *std::move(fault);
    }
    return spec;
}

auto renderJob(const JobDocument &document) -> std::string
{
    return dump(toJson(document));
}

auto renderJobs(const std::vector<JobDocument> &documents) -> std::string
{
    nlohmann::ordered_json out;
    auto &list = out["jobs"] = nlohmann::ordered_json::array();
    for (const auto &it : documents) {
        list.push_back(toJson(it));
    }
    return dump(out);
}

} // namespace Acaciarail::Caller
