#include <acaciarail/operator/command.h>

#include "command_context.h"

#include <algorithm>
#include <array>

namespace Acaciarail::Operator {

namespace {

using Run = auto(*)(const Detail::CommandContext &context) -> ExitCode;

struct VerbEntry
{
    std::string_view name;
    Run run;
};

/// In the order of Verb.
constexpr std::array<VerbEntry, verbCount> verbs{{
    {"check", Detail::runCheck},
    {"publish", Detail::runPublish},
    {"submit", Detail::runSubmit},
    {"status", Detail::runStatus},
    {"jobs", Detail::runJobs},
    {"cancel", Detail::runCancel},
    {"explain", Detail::runExplain},
    {"audit", Detail::runAudit},
    {"drain", Detail::runDrain},
    {"trace", Detail::runTrace},
}};
static_assert(static_cast<std::size_t>(Verb::Trace) + 1 == verbCount);

} // namespace

auto verbName(Verb verb) noexcept -> std::string_view
{
    return verbs.at(static_cast<std::size_t>(verb)).name;
}

auto parseVerb(std::string_view text) noexcept -> std::optional<Verb>
{
    const auto it = std::find_if(verbs.begin(), verbs.end(), [text](const VerbEntry &entry) { return entry.name == text; });
    return it == verbs.end() ? std::nullopt : std::optional(static_cast<Verb>(it - verbs.begin()));
}

auto runCommand(const CommandOptions &options, std::ostream &out, std::ostream &err) -> ExitCode
{
    return verbs.at(static_cast<std::size_t>(options.verb)).run({options, out, err});
}

} // namespace Acaciarail::Operator
