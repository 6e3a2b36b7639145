#include <acaciarail/operator/document.h>

#include "fault_sink.h"
#include "printable.h"

#include <algorithm>
#include <utility>

namespace Acaciarail::Operator {

namespace {

auto placeText(std::string_view file, Place place) -> std::string
{
    return std::string(file) + ':' + std::to_string(place.line);
}

/// Where the first of several rules with the same name stands.
struct RulePlace
{
    std::string file;
    Place place;
};

template<typename Policy>
auto sortByName(std::vector<Policy> &policies) -> void
{
    std::sort(policies.begin(), policies.end(), [](const Policy &a, const Policy &b) { return a.name.str() < b.name.str(); });
}

template<typename Policy, typename PolicyName>
auto findByName(const std::vector<Policy> &policies, const PolicyName &name) noexcept -> const Policy *
{
    const auto it = std::lower_bound(policies.begin(), policies.end(), name,
                                     [](const Policy &policy, const PolicyName &wanted) { return policy.name.str() < wanted.str(); });
    return it != policies.end() && it->name == name ? &*it : nullptr;
}

} // namespace

/// Merges documents in the order of their names and checks them against each other.
class DeploymentConfig::Builder
{
public:
    explicit Builder(DeploymentConfig &config)
        : m_config(config)
    {
    }

    auto add(const std::string &file, const ParsedDocument &parsed) -> void
    {
        m_faults.insert(m_faults.end(), parsed.faults.begin(), parsed.faults.end());
        const auto &document = parsed.document;
        for (std::size_t i = 0; i < document.organisations.size(); ++i) {
            addOrganisation(file, document.organisations[i], document.organisationPlaces[i]);
        }
        for (std::size_t i = 0; i < document.services.size(); ++i) {
            if (isFirst("service " + document.services[i].name.str(), file, document.servicePlaces[i])) {
                m_config.m_services.push_back(document.services[i]);
            }
        }
        for (std::size_t i = 0; i < document.shards.size(); ++i) {
            if (isFirst("shards of zone " + document.shards[i].zone.str(), file, document.shardsPlaces[i])) {
                m_config.m_zoneShards.push_back(document.shards[i]);
            }
        }
        if (document.classLimits && isFirst("table [deployment.class_limits]", file, document.classLimitsPlace)) {
            m_config.m_classLimits = *document.classLimits;
        }
    }

    auto finish(ConfigScope scope) -> std::vector<Fault>
    {
        sortByName(m_config.m_organisations);
        sortByName(m_config.m_services);
        std::sort(m_config.m_zoneShards.begin(), m_config.m_zoneShards.end(),
                  [](const ZoneShards &a, const ZoneShards &b) { return a.zone.str() < b.zone.str(); });
        if (scope == ConfigScope::Complete) {
            checkOperatorRemains();
        }
        Detail::sortFaults(m_faults);
        return std::move(m_faults);
    }

private:
    auto fault(const std::string &file, Place place, std::string expected, std::string found) -> void
    {
        m_faults.push_back({file, place.line, place.column, std::move(expected), std::move(found)});
    }

    auto isFirst(const std::string &rule, const std::string &file, Place place) -> bool
    {
        const auto [it, isNew] = m_places.try_emplace(rule, RulePlace{file, place});
        if (!isNew) {
            fault(file, place, "the " + rule + " only once", "the same in " + placeText(it->second.file, it->second.place));
        }
        return isNew;
    }

    auto addOrganisation(const std::string &file, const OrganisationPolicy &organisation, const OrganisationPlaces &places) -> void
    {
        if (!isFirst("organisation " + organisation.name.str(), file, places.organisation)) {
            return;
        }
        m_shareSum += organisation.share;
        if (m_shareSum > maxShareSum && m_shareSum - organisation.share <= maxShareSum) {
            fault(file, places.organisation, "a sum of the shares of all organisations of at most " + std::to_string(maxShareSum),
                  std::to_string(m_shareSum) + " with organisation " + Detail::quotedText(organisation.name.str()));
        }
        for (std::size_t i = 0; i < organisation.callers.size(); ++i) {
            addToken(file, places.callers[i], organisation, organisation.callers[i]);
        }
        m_config.m_organisations.push_back(organisation);
    }

    auto addToken(const std::string &file, Place place, const OrganisationPolicy &organisation, const CallerPolicy &caller) -> void
    {
        m_hasOperator = m_hasOperator || caller.isOperator;
        const auto [it, isNew] =
            m_config.m_tokens.try_emplace(caller.tokenSha256, TokenOwner{organisation.name, caller.name, caller.isOperator});
        if (!isNew) {
            fault(file, place, "a token that identifies one caller",
                  "the token_sha256 of caller " + Detail::quotedText(it->second.caller.str()) + " of organisation "
                      + Detail::quotedText(it->second.organisation.str()));
        }
    }

    /// Without an operator nobody could publish again, because the token in the settings is valid only before the first publication.
    auto checkOperatorRemains() -> void
    {
        if (!m_config.empty() && !m_hasOperator && m_faults.empty()) {
            const auto &file = m_config.m_parsed.begin()->first;
            fault(file, {}, "at least one caller with `operator = true` in the documents of the deployment", "none");
        }
    }

    DeploymentConfig &m_config;
    std::vector<Fault> m_faults;
    std::map<std::string, RulePlace> m_places;
    std::uint64_t m_shareSum = 0;
    bool m_hasOperator = false;
};

auto DeploymentConfig::build(const DocumentTexts &texts, ConfigScope scope, const DeploymentConfig *previous) -> ConfigBuild
{
    ConfigBuild result;
    auto &config = result.config;
    for (const auto &[name, text] : texts) {
        std::shared_ptr<const ParsedText> parsed;
        if (previous != nullptr) {
            const auto it = previous->m_parsed.find(name);
            parsed = it != previous->m_parsed.end() && it->second->text == text ? it->second : nullptr;
        }
        if (parsed == nullptr) {
            parsed =
                std::make_shared<const ParsedText>(ParsedText{text, std::make_shared<const ParsedDocument>(parseDocument(name, text))});
        }
        config.m_parsed.emplace(name, std::move(parsed));
    }
    Builder builder(config);
    for (const auto &[name, parsed] : config.m_parsed) {
        builder.add(name, *parsed->parsed);
    }
    result.faults = builder.finish(scope);
    return result;
}

auto DeploymentConfig::organisations() const noexcept -> const std::vector<OrganisationPolicy> &
{
    return m_organisations;
}

auto DeploymentConfig::services() const noexcept -> const std::vector<ServicePolicy> &
{
    return m_services;
}

auto DeploymentConfig::classLimits() const noexcept -> const ClassLimits &
{
    return m_classLimits;
}

auto DeploymentConfig::shardsOf(const ZoneName &zone) const noexcept -> std::uint32_t
{
    const auto it = std::find_if(m_zoneShards.begin(), m_zoneShards.end(), [&zone](const ZoneShards &s) { return s.zone == zone; });
    return it == m_zoneShards.end() ? 1 : it->shards;
}

auto DeploymentConfig::zoneShards() const noexcept -> const std::vector<ZoneShards> &
{
    return m_zoneShards;
}

auto DeploymentConfig::jobPolicy() const -> JobPolicy
{
    return {m_organisations, m_classLimits};
}

auto DeploymentConfig::requestPolicy() const -> RequestPolicy
{
    return {m_organisations, m_services, m_classLimits};
}

auto DeploymentConfig::organisation(const OrganisationName &name) const noexcept -> const OrganisationPolicy *
{
    return findByName(m_organisations, name);
}

auto DeploymentConfig::service(const ServiceName &name) const noexcept -> const ServicePolicy *
{
    return findByName(m_services, name);
}

auto DeploymentConfig::tokenOwner(std::string_view tokenSha256) const -> std::optional<TokenOwner>
{
    const auto it = m_tokens.find(tokenSha256);
    return it == m_tokens.end() ? std::nullopt : std::optional(it->second);
}

auto DeploymentConfig::empty() const noexcept -> bool
{
    return m_organisations.empty() && m_services.empty() && m_zoneShards.empty()
        && std::all_of(m_parsed.begin(), m_parsed.end(), [](const auto &it) { return !it.second->parsed->document.classLimits; });
}

} // namespace Acaciarail::Operator
