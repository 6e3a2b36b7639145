#include <acaciarail/operator/document.h>

#include "fault_sink.h"
#include "printable.h"
#include "table_reader.h"
#include "toml_text.h"

#include <algorithm>
#include <array>
#include <exception>
#include <string>
#include <utility>

namespace Acaciarail::Operator {

namespace {

using Detail::FaultSink;
using Detail::IntegerRange;
using Detail::Presence;
using Detail::RealRange;
using Detail::TableReader;

// The ranges of a shape are those that validateJobSpec() accepts, so that a guarantee never exceeds what a job can ask for.
constexpr IntegerRange taskRange{1, maxGangTasks};
constexpr IntegerRange acceleratorRange{0, 1024};
constexpr IntegerRange coreRange{0, 4096};
constexpr IntegerRange memoryRange{0, std::uint64_t{64} * 1024 * 1024};
constexpr IntegerRange countRange{1, 100'000};
constexpr IntegerRange shareRange{1, maxShareSum};
constexpr IntegerRange teamAcceleratorRange{0, 1'000'000};
constexpr IntegerRange shardRange{1, 64};
constexpr IntegerRange attemptTimeoutRange{1, 3'600'000};
constexpr IntegerRange attemptRange{1, 10};
constexpr IntegerRange byteRateRange{0, 1'000'000'000'000};
constexpr RealRange retryBudgetRange{0.0, 1.0};
// A limit of 0 would keep a class from ever being served.
constexpr RealRange classLimitRange{0.01, 1.0};

/// Assigns what was read; a value that is missing or has a fault leaves the default.
template<typename Target, typename Value>
auto assign(Target &target, std::optional<Value> value) -> void
{
    if (value) {
        target = Target(std::move(*value));
    }
}

auto assignInteger(std::uint32_t &target, std::optional<std::uint64_t> value) -> void
{
    if (value) {
        target = static_cast<std::uint32_t>(*value);
    }
}

auto readCaller(TableReader reader) -> CallerPolicy
{
    CallerPolicy caller;
    assign(caller.name, reader.text("name", Presence::Required, Detail::checkName));
    assign(caller.tokenSha256, reader.text("token_sha256", Presence::Required, Detail::checkSha256));
    assign(caller.isOperator, reader.boolean("operator", Presence::Optional));
    reader.refuseUnknownKeys();
    return caller;
}

auto readTeam(TableReader reader) -> TeamPolicy
{
    TeamPolicy team;
    assign(team.name, reader.text("name", Presence::Required, Detail::checkName));
    assignInteger(team.maxAccelerators, reader.integer("max_accelerators", Presence::Required, teamAcceleratorRange));
    reader.refuseUnknownKeys();
    return team;
}

auto readGuarantee(TableReader &reader) -> Guarantee
{
    Guarantee guarantee;
    assign(guarantee.zone, reader.text("zone", Presence::Required, Detail::checkName));
    assign(guarantee.team, reader.text("team", Presence::Optional, Detail::checkName));
    assignInteger(guarantee.count, reader.integer("count", Presence::Required, countRange));
    assignInteger(guarantee.shape.tasks, reader.integer("tasks", Presence::Required, taskRange));
    assignInteger(guarantee.shape.perTask.accelerators, reader.integer("accelerators", Presence::Required, acceleratorRange));
    assignInteger(guarantee.shape.perTask.cores, reader.integer("cores", Presence::Optional, coreRange));
    assignInteger(guarantee.shape.perTask.memoryMiB, reader.integer("memory_mib", Presence::Optional, memoryRange));
    if (const auto adjacency = reader.text("adjacency", Presence::Optional, Detail::checkAdjacency)) {
        guarantee.shape.adjacency = parseAdjacency(*adjacency).value_or(Adjacency::Any);
    }
    reader.refuseUnknownKeys();
    return guarantee;
}

auto checkResources(TableReader &reader, const Guarantee &guarantee) -> void
{
    if (guarantee.shape.perTask == Resources{}) {
        reader.fault("accelerators", "at least one accelerator, core or MiB of memory for each task of a guarantee", "none");
    }
}

/// Adds a fault for the second and each later of several names that are equal.
template<typename Policy>
auto checkUnique(std::vector<TableReader> &readers, const std::vector<Policy> &policies, std::string_view kind) -> void
{
    for (std::size_t i = 0; i < policies.size(); ++i) {
        const auto isSame = [&name = policies[i].name](const Policy &it) { return it.name == name; };
        const auto end = policies.begin() + static_cast<std::ptrdiff_t>(i);
        if (!policies[i].name.empty() && std::any_of(policies.begin(), end, isSame)) {
            readers[i].fault("name", "a " + std::string(kind) + " name that is used once in its organisation",
                             Detail::quotedText(policies[i].name.str()) + " again");
        }
    }
}

/// A team cannot use more than its limit, so a larger guarantee would hold capacity that nobody may use.
auto checkTeamLimit(TableReader &reader, const OrganisationPolicy &organisation, const Guarantee &guarantee) -> void
{
    if (guarantee.team.empty()) {
        return;
    }
    const auto team = std::find_if(organisation.teams.begin(), organisation.teams.end(),
                                   [&guarantee](const TeamPolicy &it) { return it.name == guarantee.team; });
    if (team == organisation.teams.end()) {
        reader.fault("team", "a team of organisation " + Detail::quotedText(organisation.name.str()),
                     Detail::quotedText(guarantee.team.str()));
        return;
    }
    std::uint64_t guaranteed = 0;
    for (const auto &it : organisation.guarantees) {
        if (it.team == guarantee.team && it.zone == guarantee.zone) {
            guaranteed += it.count * it.shape.accelerators();
        }
    }
    if (guaranteed > team->maxAccelerators) {
        reader.fault("count",
                     "guarantees of team " + Detail::quotedText(guarantee.team.str()) + " in zone "
                         + Detail::quotedText(guarantee.zone.str()) + " of at most its max_accelerators, "
                         + std::to_string(team->maxAccelerators),
                     std::to_string(guaranteed) + " accelerators");
    }
}

class DocumentReader
{
public:
    explicit DocumentReader(std::string_view name)
        : m_sink(name)
    {
    }

    auto read(std::string_view text) -> ParsedDocument
    {
        for (const auto &chunk : Detail::splitToml(text, m_sink)) {
            checkDeploymentHeader(chunk);
            if (const auto value = Detail::parseTomlChunk(chunk, m_sink)) {
                readChunk(*value, chunk.firstLine);
            }
        }
        if (m_sink.count() == 0 && isEmpty()) {
            m_sink.add({1, 1}, "at least one of [deployment], [[organisation]] and [[service]]", "none of them");
        }
        return {std::move(m_document), m_sink.take()};
    }

private:
    [[nodiscard]] auto isEmpty() const noexcept -> bool
    {
        return m_document.organisations.empty() && m_document.services.empty() && !m_hasDeployment;
    }

    /// Chunks are parsed one by one, so the parser does not see a header that is repeated in another chunk.
    auto checkDeploymentHeader(const Detail::TomlChunk &chunk) -> void
    {
        if (chunk.header != "deployment") {
            return;
        }
        if (m_hasDeployment) {
            m_sink.add({chunk.firstLine, 1}, "the table [deployment] only once", "[deployment] again");
        }
        m_hasDeployment = true;
    }

    auto readChunk(const Detail::TomlValue &value, std::uint32_t firstLine) -> void
    {
        TableReader root(value, "the document", firstLine, m_sink);
        if (auto deployment = root.table("deployment")) {
            m_hasDeployment = true;
            readDeployment(*deployment);
        }
        for (auto &it : root.tables("organisation")) {
            readOrganisation(it);
        }
        for (auto &it : root.tables("service")) {
            readService(it);
        }
        root.refuseUnknownKeys();
    }

    auto readDeployment(TableReader &reader) -> void
    {
        if (auto limits = reader.table("class_limits")) {
            readClassLimits(*limits);
        }
        if (auto shards = reader.table("shards")) {
            readShards(*shards);
        }
        reader.refuseUnknownKeys();
    }

    auto readClassLimits(TableReader &reader) -> void
    {
        const auto faultsBefore = m_sink.count();
        ClassLimits limits = defaultClassLimits;
        for (std::size_t i = 0; i < priorityCount; ++i) {
            assign(limits.at(i), reader.real(priorityName(static_cast<Priority>(i)), Presence::Required, classLimitRange));
        }
        reader.refuseUnknownKeys();
        if (m_document.classLimits) {
            reader.fault("", "the table [deployment.class_limits] only once", "[deployment.class_limits] again");
        }
        if (m_sink.count() == faultsBefore) {
            m_document.classLimits = limits;
            m_document.classLimitsPlace = reader.place();
        }
    }

    auto readShards(TableReader &reader) -> void
    {
        for (const auto &zone : reader.allKeys()) {
            const auto faultsBefore = m_sink.count();
            const auto shards = reader.integer(zone, Presence::Required, shardRange);
            if (const auto expected = Detail::checkName(zone)) {
                reader.fault(zone, *expected + " for a zone", Detail::quotedText(zone));
            }
            if (m_sink.count() == faultsBefore && shards) {
                m_document.shards.push_back({ZoneName(zone), static_cast<std::uint32_t>(*shards)});
                m_document.shardsPlaces.push_back(reader.placeOf(zone));
            }
        }
    }

    auto readOrganisation(TableReader &reader) -> void
    {
        const auto faultsBefore = m_sink.count();
        OrganisationPolicy organisation;
        assign(organisation.name, reader.text("name", Presence::Required, Detail::checkName));
        assignInteger(organisation.share, reader.integer("share", Presence::Required, shareRange));
        auto callers = reader.tables("callers");
        auto teams = reader.tables("teams");
        auto guarantees = reader.tables("guarantees");
        reader.refuseUnknownKeys();

        OrganisationPlaces places{reader.place(), {}};
        for (auto &it : callers) {
            organisation.callers.push_back(readCaller(it));
            places.callers.push_back(it.place());
        }
        checkUnique(callers, organisation.callers, "caller");
        for (auto &it : teams) {
            organisation.teams.push_back(readTeam(it));
        }
        checkUnique(teams, organisation.teams, "team");
        readGuarantees(guarantees, organisation);

        if (m_sink.count() == faultsBefore) {
            m_document.organisations.push_back(std::move(organisation));
            m_document.organisationPlaces.push_back(std::move(places));
        }
    }

    auto readGuarantees(std::vector<TableReader> &readers, OrganisationPolicy &organisation) -> void
    {
        const auto faultsBefore = m_sink.count();
        for (auto &it : readers) {
            organisation.guarantees.push_back(readGuarantee(it));
        }
        if (m_sink.count() != faultsBefore) {
            return;
        }
        for (std::size_t i = 0; i < readers.size(); ++i) {
            checkResources(readers[i], organisation.guarantees[i]);
            checkTeamLimit(readers[i], organisation, organisation.guarantees[i]);
        }
    }

    auto readService(TableReader &reader) -> void
    {
        const auto faultsBefore = m_sink.count();
        ServicePolicy service;
        assign(service.name, reader.text("name", Presence::Required, Detail::checkName));
        if (const auto timeout = reader.integer("attempt_timeout_ms", Presence::Optional, attemptTimeoutRange)) {
            service.attemptTimeout = std::chrono::milliseconds(*timeout);
        }
        assign(service.retryBudget, reader.real("retry_budget", Presence::Optional, retryBudgetRange));
        assignInteger(service.maxAttempts, reader.integer("max_attempts", Presence::Optional, attemptRange));
        assign(service.crossRegionBytesPerSecond, reader.integer("cross_region_bytes_per_second", Presence::Optional, byteRateRange));
        reader.refuseUnknownKeys();
        if (m_sink.count() == faultsBefore) {
            m_document.services.push_back(std::move(service));
            m_document.servicePlaces.push_back(reader.place());
        }
    }

    FaultSink m_sink;
    Document m_document;
    bool m_hasDeployment = false;
};

auto isDocumentName(std::string_view name) -> bool
{
    return name.ends_with(documentSuffix) && !Detail::checkName(name.substr(0, name.size() - documentSuffix.size()));
}

auto faultedDocument(std::string_view name, std::string expected, std::string found) -> ParsedDocument
{
    return {{}, {Fault{Detail::printable(name), 0, 0, std::move(expected), std::move(found)}}};
}

} // namespace

auto parseDocument(std::string_view name, std::string_view text) -> ParsedDocument
{
    if (!isDocumentName(name)) {
        return faultedDocument(name, "a document name such as `retake.acaciarail.toml`", Detail::quotedText(name));
    }
    if (text.size() > maxDocumentBytes) {
        return faultedDocument(name, "at most " + std::to_string(maxDocumentBytes) + " bytes", std::to_string(text.size()) + " bytes");
    }
    if (text.empty()) {
        return {};
    }
    try {
        return DocumentReader(name).read(text);
    } catch (const std::exception &e) {
        return faultedDocument(name, "a readable document", Detail::printable(e.what()));
    }
}

auto ruleNames(std::string_view name, std::string_view text) -> std::vector<std::string>
{
    const auto parsed = parseDocument(name, text);
    std::vector<std::string> rules;
    if (parsed.document.classLimits) {
        rules.emplace_back("deployment class_limits");
    }
    for (const auto &it : parsed.document.shards) {
        rules.push_back("deployment shards " + it.zone.str());
    }
    for (const auto &it : parsed.document.organisations) {
        rules.push_back("organisation " + it.name.str());
    }
    for (const auto &it : parsed.document.services) {
        rules.push_back("service " + it.name.str());
    }
    return rules;
}

} // namespace Acaciarail::Operator
