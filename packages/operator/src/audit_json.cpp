#include <acaciarail/operator/audit.h>

#include "json_reader.h"
#include "printable.h"

#include <algorithm>
#include <array>
#include <exception>
#include <limits>
#include <utility>

namespace Acaciarail::Operator {

namespace {

using Detail::JsonReader;
using Json = nlohmann::json;

/// Type names in the order of the alternatives of AuditBody.
constexpr std::array<std::string_view, 7> typeNames{"job-accepted",  "job-assigned",   "job-finished",  "job-cancelled",
                                                    "order-claimed", "order-finished", "config-changed"};
static_assert(typeNames.size() == std::variant_size_v<AuditBody>);

auto workerNames(const std::vector<WorkerName> &workers) -> Json
{
    auto names = Json::array();
    for (const auto &it : workers) {
        names.push_back(it.str());
    }
    return names;
}

auto fields(const AuditJobAccepted &body) -> Json
{
    return {{"job", body.job.str()},       {"name", body.name},       {"organisation", body.organisation.str()},
            {"caller", body.caller.str()}, {"zone", body.zone.str()}, {"idempotent", body.idempotent}};
}

auto fields(const AuditJobAssigned &body) -> Json
{
    return {{"job", body.job.str()},
            {"attempt", body.attempt},
            {"term", {{"number", body.term.number}, {"incarnation", body.term.incarnation}}},
            {"workers", workerNames(body.workers)},
            {"earlier_not_run", body.earlierNotRun}};
}

auto fields(const AuditJobFinished &body) -> Json
{
    return {{"job", body.job.str()}, {"outcome", jobOutcomeName(body.outcome)}, {"reason", jobReasonName(body.reason)}};
}

auto fields(const AuditJobCancelled &body) -> Json
{
    return {{"job", body.job.str()}, {"caller", body.caller.str()}};
}

auto fields(const AuditRequestClaimed &body) -> Json
{
    return {{"organisation", body.organisation.str()}, {"key", body.key},
            {"service", body.service.str()},           {"fingerprint", body.fingerprint},
            {"claimant", body.claimant.str()},         {"incarnation", body.incarnation}};
}

auto fields(const AuditRequestFinished &body) -> Json
{
    return {{"organisation", body.organisation.str()},
            {"key", body.key},
            {"execution", executionName(body.execution)},
            {"status", body.status},
            {"claimant", body.claimant.str()},
            {"incarnation", body.incarnation}};
}

auto fields(const AuditConfigChanged &body) -> Json
{
    auto documents = Json::array();
    for (const auto &it : body.documents) {
        documents.push_back({{"name", it.name},
                             {"version", it.version},
                             {"origin_file", it.originFile},
                             {"origin_revision", it.originRevision},
                             {"rules", it.rules}});
    }
    return {{"operator", body.operatorName.str()}, {"version", body.version}, {"documents", std::move(documents)}};
}

template<typename Enum, typename NameOf>
auto readEnum(JsonReader &reader, const char *key, Enum last, const NameOf &nameOf) -> Enum
{
    const auto text = reader.text(key);
    std::string expected;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(last); ++i) {
        const std::string_view name = nameOf(static_cast<Enum>(i));
        if (name == text) {
            return static_cast<Enum>(i);
        }
        expected += (expected.empty() ? "" : ", ") + std::string(name);
    }
    reader.fault(key, "one of " + expected, Detail::quotedText(text));
    return Enum{};
}

auto readSmallInteger(JsonReader &reader, const char *key) -> std::uint32_t
{
    const auto value = reader.integer(key);
    if (value > std::numeric_limits<std::uint32_t>::max()) {
        reader.fault(key, "an integer of at most 32 bits", std::to_string(value));
        return 0;
    }
    return static_cast<std::uint32_t>(value);
}

auto read(JsonReader &reader, AuditJobAccepted &body) -> void
{
    body.job = JobId(reader.text("job"));
    body.name = reader.text("name");
    body.organisation = OrganisationName(reader.text("organisation"));
    body.caller = CallerName(reader.text("caller"));
    body.zone = ZoneName(reader.text("zone"));
    body.idempotent = reader.boolean("idempotent");
}

auto read(JsonReader &reader, AuditJobAssigned &body) -> void
{
    body.job = JobId(reader.text("job"));
    body.attempt = readSmallInteger(reader, "attempt");
    if (const auto *term = reader.object("term")) {
        JsonReader part(*term);
        body.term = {part.integer("number"), part.integer("incarnation")};
        reader.merge(part);
    }
    for (auto &it : reader.texts("workers")) {
        body.workers.emplace_back(std::move(it));
    }
    body.earlierNotRun = reader.boolean("earlier_not_run");
}

auto read(JsonReader &reader, AuditJobFinished &body) -> void
{
    body.job = JobId(reader.text("job"));
    body.outcome = readEnum(reader, "outcome", JobOutcome::Lost, jobOutcomeName);
    body.reason = readEnum(reader, "reason", JobReason::QuotaExceeded, jobReasonName);
}

auto read(JsonReader &reader, AuditJobCancelled &body) -> void
{
    body.job = JobId(reader.text("job"));
    body.caller = CallerName(reader.text("caller"));
}

auto read(JsonReader &reader, AuditRequestClaimed &body) -> void
{
    body.organisation = OrganisationName(reader.text("organisation"));
    body.key = reader.text("key");
    body.service = ServiceName(reader.text("service"));
    body.fingerprint = reader.text("fingerprint");
    body.claimant = InstanceName(reader.text("claimant"));
    body.incarnation = reader.integer("incarnation");
}

auto read(JsonReader &reader, AuditRequestFinished &body) -> void
{
    body.organisation = OrganisationName(reader.text("organisation"));
    body.key = reader.text("key");
    body.execution = readEnum(reader, "execution", Execution::Unknown, executionName);
    body.status = readSmallInteger(reader, "status");
    body.claimant = InstanceName(reader.text("claimant"));
    body.incarnation = reader.integer("incarnation");
}

auto readDocument(JsonReader &reader) -> AuditDocument
{
    AuditDocument document;
    document.name = reader.text("name");
    document.version = reader.integer("version");
    document.originFile = reader.text("origin_file");
    document.originRevision = reader.text("origin_revision");
    document.rules = reader.texts("rules");
    return document;
}

auto read(JsonReader &reader, AuditConfigChanged &body) -> void
{
    body.operatorName = CallerName(reader.text("operator"));
    body.version = reader.integer("version");
    const auto *documents = reader.array("documents");
    if (documents == nullptr) {
        return;
    }
    for (const auto &it : *documents) {
        JsonReader part(it);
        body.documents.push_back(readDocument(part));
        reader.merge(part);
    }
}

/// Makes the alternative of that index and reads its fields.
template<std::size_t index = 0>
auto readBody(JsonReader &reader, std::size_t wanted) -> AuditBody
{
    if constexpr (index < std::variant_size_v<AuditBody>) {
        if (wanted != index) {
            return readBody<index + 1>(reader, wanted);
        }
        std::variant_alternative_t<index, AuditBody> body;
        read(reader, body);
        return body;
    }
    return {};
}

auto malformed(std::string detail) -> ReadAuditEvent
{
    return {std::nullopt, Failure{Error::MalformedInput, Execution::NotRun, std::move(detail)}};
}

auto readEvent(const Json &json) -> ReadAuditEvent
{
    JsonReader reader(json);
    AuditEvent event;
    const auto type = reader.text("type");
    const auto it = std::find(typeNames.begin(), typeNames.end(), type);
    if (it == typeNames.end()) {
        reader.fault("type", "the type of an audit event", Detail::quotedText(type));
        return malformed(reader.faultText());
    }
    event.offset = reader.integer("offset");
    event.record = reader.has("record") ? reader.text("record") : std::string();
    if (reader.has("at_ms")) {
        // Larger values do not fit into the signed time.
        constexpr std::uint64_t maxMilliseconds = std::numeric_limits<std::int64_t>::max();
        const auto milliseconds = reader.integer("at_ms");
        event.at = AuditTime(std::chrono::milliseconds(static_cast<std::int64_t>(std::min(milliseconds, maxMilliseconds))));
    }
    event.body = readBody(reader, static_cast<std::size_t>(it - typeNames.begin()));
    if (!reader.faultText().empty()) {
        return malformed(reader.faultText());
    }
    return {std::move(event), {}};
}

} // namespace

auto auditEventToJson(const AuditEvent &event) -> nlohmann::json
{
    auto json = std::visit([](const auto &body) { return fields(body); }, event.body);
    json["type"] = typeNames.at(event.body.index());
    json["offset"] = event.offset;
    if (!event.record.empty()) {
        json["record"] = event.record;
    }
    if (event.at) {
        json["at_ms"] = event.at->time_since_epoch().count();
    }
    return json;
}

auto auditEventFromJson(const nlohmann::json &json) -> ReadAuditEvent
{
    try {
        return readEvent(json);
    } catch (const std::exception &e) {
        return malformed(e.what());
    }
}

auto auditEventFromLine(std::string_view line) -> ReadAuditEvent
{
    const auto json = Detail::parseJson(line);
    if (!json) {
        return malformed("expected one JSON object on the line, found " + Detail::quotedText(line));
    }
    return auditEventFromJson(*json);
}

auto auditEventToLine(const AuditEvent &event) -> std::string
{
    return Detail::jsonText(auditEventToJson(event));
}

} // namespace Acaciarail::Operator
