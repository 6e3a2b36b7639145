#pragma once

#include <acaciarail/core/policy.h>
#include <acaciarail/operator/fault.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Operator {

/// Ending of the names of configuration documents.
inline constexpr std::string_view documentSuffix = ".acaciarail.toml";

/// Largest document in bytes. A change of several documents fits into one log record of 1 MiB, and reading the largest one
/// keeps the event loop busy for about 0.1 s.
inline constexpr std::size_t maxDocumentBytes = std::size_t{128} * 1024;

/// Largest sum of the shares of all organisations, so that a share of 1 remains a usable part of the fleet.
inline constexpr std::uint64_t maxShareSum = 100'000;

/// Number of shards into which the workers of a zone are divided.
struct ZoneShards
{
    ZoneName zone;
    std::uint32_t shards = 1;

    friend auto operator==(const ZoneShards &, const ZoneShards &) noexcept -> bool = default;
};

/// Place of a rule in the text of its document; lines and columns are counted from 1.
struct Place
{
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

/// Places of an organisation and of its callers, in the order of OrganisationPolicy::callers.
struct OrganisationPlaces
{
    Place organisation;
    std::vector<Place> callers;
};

/// Content of one document. The vectors of places run parallel to the vectors of rules.
struct Document
{
    std::vector<OrganisationPolicy> organisations;
    std::vector<OrganisationPlaces> organisationPlaces;
    std::vector<ServicePolicy> services;
    std::vector<Place> servicePlaces;
    std::optional<ClassLimits> classLimits;
    Place classLimitsPlace;
    std::vector<ZoneShards> shards;
    std::vector<Place> shardsPlaces;
};

struct ParsedDocument
{
    /// The rules that have no fault; a rule with a fault is left out as a whole.
    Document document;
    std::vector<Fault> faults;
};

/// Parses and checks one document. An empty text stands for a document that was removed and has no faults.
/// Never throws on any input; every fault is in the result. \pre none. Thread-safe.
[[nodiscard]] auto parseDocument(std::string_view name, std::string_view text) -> ParsedDocument;

/// Returns the names of the rules in a document, for example `deployment`, `organisation hartwell` or `service retake`;
/// rules with faults are left out. \pre none. Thread-safe.
[[nodiscard]] auto ruleNames(std::string_view name, std::string_view text) -> std::vector<std::string>;

/// Text of each document by its name.
using DocumentTexts = std::map<std::string, std::string>;

/// Whom a token identifies.
struct TokenOwner
{
    OrganisationName organisation;
    CallerName caller;
    bool isOperator = false;

    friend auto operator==(const TokenOwner &, const TokenOwner &) noexcept -> bool = default;
};

struct ConfigBuild;

/// Whether a set of documents is a complete deployment or only some of its documents.
enum class ConfigScope {
    Complete,
    /// Checks that need all documents, such as that an operator remains, are left out.
    Partial,
};

/// Configuration of a deployment: all of its documents, checked together.
/// Copies share the parsed documents. Const methods are thread-safe.
class DeploymentConfig
{
public:
    /// A configuration without documents.
    DeploymentConfig() = default;

    /// Builds the configuration from the texts of its documents. Documents that are unchanged since \a previous are not
    /// parsed again. The result is usable even when it has faults: of two rules with the same name the one in the document
    /// with the lower name is kept, and rules with a fault are left out.
    /// Never throws on any input. \pre none. Thread-safe.
    [[nodiscard]] static auto build(const DocumentTexts &texts, ConfigScope scope = ConfigScope::Complete,
                                    const DeploymentConfig *previous = nullptr) -> ConfigBuild;

    /// Sorted by name. \pre none.
    [[nodiscard]] auto organisations() const noexcept -> const std::vector<OrganisationPolicy> &;
    /// Sorted by name. \pre none.
    [[nodiscard]] auto services() const noexcept -> const std::vector<ServicePolicy> &;
    /// Default limits when no document states them. \pre none.
    [[nodiscard]] auto classLimits() const noexcept -> const ClassLimits &;
    /// Returns the number of shards of \a zone; 1 when no document states it. \pre none.
    [[nodiscard]] auto shardsOf(const ZoneName &zone) const noexcept -> std::uint32_t;
    /// The zones whose number of shards is stated, sorted by name. \pre none.
    [[nodiscard]] auto zoneShards() const noexcept -> const std::vector<ZoneShards> &;

    /// \pre none.
    [[nodiscard]] auto jobPolicy() const -> JobPolicy;
    /// \pre none.
    [[nodiscard]] auto requestPolicy() const -> RequestPolicy;

    /// Returns the organisation of that name or a null pointer; valid as long as this object. \pre none.
    [[nodiscard]] auto organisation(const OrganisationName &name) const noexcept -> const OrganisationPolicy *;
    /// Returns the service of that name or a null pointer; valid as long as this object. \pre none.
    [[nodiscard]] auto service(const ServiceName &name) const noexcept -> const ServicePolicy *;
    /// Returns whom the token with this SHA-256 (64 lower-case hexadecimal digits) identifies. \pre none.
    [[nodiscard]] auto tokenOwner(std::string_view tokenSha256) const -> std::optional<TokenOwner>;
    /// True when no document holds a rule, as before the first publication. \pre none.
    [[nodiscard]] auto empty() const noexcept -> bool;

private:
    struct ParsedText
    {
        std::string text;
        std::shared_ptr<const ParsedDocument> parsed;
    };
    class Builder;

    std::map<std::string, std::shared_ptr<const ParsedText>> m_parsed;
    std::vector<OrganisationPolicy> m_organisations;
    std::vector<ServicePolicy> m_services;
    std::vector<ZoneShards> m_zoneShards;
    std::map<std::string, TokenOwner, std::less<>> m_tokens;
    ClassLimits m_classLimits = defaultClassLimits;
};

/// A built configuration and the faults of all its documents, sorted by file and place.
struct ConfigBuild
{
    DeploymentConfig config;
    std::vector<Fault> faults;
};

} // namespace Acaciarail::Operator
