#include <acaciarail/operator/document.h>
#include <acaciarail/operator/sha256.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <ostream>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Operator;
namespace data = boost::unit_test::data;

namespace {

constexpr std::string_view name = "a.acaciarail.toml";

auto hash(char digit) -> std::string
{
    return std::string(64, digit);
}

auto allFaults(const std::vector<Fault> &faults) -> std::string
{
    std::string text;
    for (const auto &it : faults) {
        text += faultText(it) + '\n';
    }
    return text;
}

/// A minimal organisation with an operator.
auto organisation(const std::string &organisationName, char digit, std::uint32_t share = 1) -> std::string
{
    return "[[organisation]]\nname = \"" + organisationName + "\"\nshare = " + std::to_string(share)
        + "\n[[organisation.callers]]\nname = \"c\"\ntoken_sha256 = \"" + hash(digit) + "\"\noperator = true\n";
}

/// One document with one fault.
struct FaultCase
{
    std::string text;
    std::uint32_t line;
    std::uint32_t column;
    std::string expected;
    std::string found;

    friend auto operator<<(std::ostream &out, const FaultCase &c) -> std::ostream &
    {
        return out << c.expected;
    }
};

const std::string org = "[[organisation]]\nname = \"a\"\nshare = 1\n";
const std::string guarantee = org + "[[organisation.guarantees]]\nzone = \"z\"\ncount = 1\ntasks = 1\n";

const FaultCase faultCases[] = {
    // Syntax.
    {"[[service]]\nname = \n", 2, 8, "a value after `=`", "the end of the line"},
    {"[[service]]\nname = \"x\n", 2, 8, "a string that is closed", "`\"x`"},
    {"[[service]]\nname = engraving\n", 2, 8, "a string in quotes", "`engraving`"},
    {"[[service]]\nname = \"x\" 3\n", 2, 12, "the end of the line", "`3`"},
    {"[[service]]\nname \"x\"\n", 2, 5, "`=` after the key", "`\"x\"`"},
    {"[[service]]\nname = \"a\"\nname = \"b\"\n", 3, 8, "each key and table only once", "`\"b\"`"},
    {"[[service]\nname = \"a\"\n", 1, 1, "matching brackets", "[[service]"},
    {"[[service]]\nname = \"\\q\"\n", 2, 8, "known escapes", "`\"\\q\"`"},
    {"[[service]]\nname = \"a\"\nmax_attempts = 0x10\n", 3, 16, "a decimal integer", "0x"},
    {"[[service]]\nname = \"a\xff\"\n", 2, 10, "UTF-8", "\\xff"},
    {std::string("[[service]]\nname = \"a\0\"\n", 24), 2, 10, "control characters", "\\x00"},
    {"a = " + std::string(20, '[') + std::string(20, ']') + "\n", 1, 13, "levels of nesting", "9"},
    {"a" + std::string(100, '.') + " = 1\n", 1, 66, "dots on one line", "65"},
    {"a = \"" + std::string(4000, 'x') + "\"\n", 1, 1, "2048 bytes on one line", "4006"},
    // Keys.
    {"organization = 1\n", 1, 1, "the nearest is \"organisation\"", "\"organization\""},
    {"[servise]\nx = 1\n", 1, 2, "the nearest is \"service\"", "\"servise\""},
    {org + "shares = 2\n", 4, 1, "the nearest is \"share\"", "\"shares\""},
    {guarantee + "accelerators = 1\nadjacent = \"rack\"\n", 9, 1, "the nearest is \"adjacency\"", "\"adjacent\""},
    {"[[organisation]]\nname = \"a\"\n", 1, 1, "the key \"share\" in [[organisation]]", "no such key"},
    {org + "[[organisation.callers]]\nname = \"c\"\n", 4, 1, "the key \"token_sha256\" in [[organisation.callers]]", "no such key"},
    {"[deployment]\n[deployment.class_limits]\nurgent = 0.5\nnormal = 0.5\n", 2, 1, "the key \"background\"", "no such key"},
    // Types.
    {"organisation = 3\n", 1, 16, "tables with the header [[organisation]]", "the integer 3"},
    {"[organisation]\nname = \"a\"\n", 1, 1, "tables with the header [[organisation]]", "a table"},
    {"organisation = [3]\n", 1, 17, "a table", "the integer 3"},
    {"deployment = 1\n", 1, 14, "a table with the header [deployment]", "the integer 1"},
    {"[[organisation]]\nname = 3\nshare = 1\n", 2, 8, "a string", "the integer 3"},
    {"[[organisation]]\nname = \"a\"\nshare = \"1\"\n", 3, 9, "an integer", "the string \"1\""},
    {"[[organisation]]\nname = \"a\"\nshare = 1.5\n", 3, 9, "an integer", "the number 1.5"},
    {"[[organisation]]\nname = \"a\"\nshare = 2026-12-04\n", 3, 9, "an integer", "the date or time 2026-12-04"},
    {org + "[[organisation.callers]]\nname = \"c\"\ntoken_sha256 = \"" + hash('a') + "\"\noperator = 1\n", 7, 12, "`true` or `false`",
     "the integer 1"},
    // Ranges.
    {"[[organisation]]\nname = \"a\"\nshare = 0\n", 3, 9, "an integer from 1 to 100000", "0"},
    {"[[organisation]]\nname = \"a\"\nshare = -1\n", 3, 9, "an integer from 1 to 100000", "-1"},
    {"[[organisation]]\nname = \"a\"\nshare = 99999999999999999999\n", 3, 9, "an integer from 1 to 100000", "99999999999999999999"},
    {"[[organisation]]\nname = \"../etc\"\nshare = 1\n", 2, 8, "a name of at most 64", "../etc"},
    {"[[organisation]]\nname = \"\"\nshare = 1\n", 2, 8, "a name of at most 64", "\"\""},
    {"[[service]]\nname = \"a\"\nretry_budget = 1.01\n", 3, 16, "a number from 0.0 to 1.0", "1.01"},
    {"[[service]]\nname = \"a\"\nretry_budget = nan\n", 3, 16, "a number from 0.0 to 1.0", "nan"},
    {"[[service]]\nname = \"a\"\nattempt_timeout_ms = 0\n", 3, 22, "an integer from 1 to 3600000", "0"},
    {"[deployment.shards]\nz = 65\n", 2, 5, "an integer from 1 to 64", "65"},
    {"[deployment.class_limits]\nurgent = 0\nnormal = 1\nbackground = 1\n", 2, 10, "a number from 0.01 to 1.0", "0"},
    {org + "[[organisation.callers]]\nname = \"c\"\ntoken_sha256 = \"ABCD\"\n", 6, 16, "a SHA-256", "ABCD"},
    {guarantee + "accelerators = 1\nadjacency = \"racks\"\n", 9, 13, "`neighbouring-racks`", "racks"},
    {"[[organisation]]\nname = \"a\"\nshare = 1\n[[organisation.guarantees]]\nzone = \"z\"\ncount = 1\ntasks = 1025\naccelerators = 1\n", 7,
     9, "an integer from 1 to 1024", "1025"},
    // Rules within one organisation.
    {guarantee + "accelerators = 0\n", 8, 16, "at least one accelerator", "none"},
    {guarantee + "accelerators = 1\nteam = \"t\"\n", 9, 8, "a team of organisation \"a\"", "\"t\""},
    {guarantee + "accelerators = 8\nteam = \"t\"\n[[organisation.teams]]\nname = \"t\"\nmax_accelerators = 7\n", 6, 9,
     "at most its max_accelerators, 7", "8 accelerators"},
    {org + "[[organisation.teams]]\nname = \"t\"\nmax_accelerators = 7\n[[organisation.teams]]\nname = \"t\"\nmax_accelerators = 7\n", 8, 8,
     "a team name that is used once", "\"t\" again"},
    // Whole documents.
    {"# nothing\n", 1, 1, "at least one of [deployment], [[organisation]] and [[service]]", "none"},
    {"[deployment]\n[[service]]\nname = \"a\"\n[deployment]\n", 4, 1, "[deployment] only once", "again"},
    {"[deployment]\nshards = {z = 1}\n[[service]]\nname = \"a\"\n[deployment.class_limits]\nurgent = 1\nnormal = 1\nbackground = 1\n"
     "[[service]]\nname = \"b\"\n[deployment.class_limits]\nurgent = 1\nnormal = 1\nbackground = 1\n",
     11, 1, "[deployment.class_limits] only once", "again"},
};

struct BuildCase
{
    DocumentTexts texts;
    std::string file;
    std::string expected;
    std::string found;

    friend auto operator<<(std::ostream &out, const BuildCase &c) -> std::ostream &
    {
        return out << c.expected;
    }
};

const std::string docA = "a.acaciarail.toml";
const std::string docB = "b.acaciarail.toml";
const std::string serviceText = "[[service]]\nname = \"s\"\n";
const std::string limitsText = "[deployment.class_limits]\nurgent = 1\nnormal = 1\nbackground = 1\n";

const BuildCase buildCases[] = {
    {{{docA, organisation("x", 'a')}, {docB, organisation("x", 'b')}}, docB, "organisation x only once", docA + ":1"},
    {{{docA, organisation("x", 'a') + serviceText}, {docB, serviceText}}, docB, "service s only once", docA + ":8"},
    {{{docA, organisation("x", 'a') + limitsText}, {docB, limitsText}}, docB, "[deployment.class_limits] only once", docA + ":8"},
    {{{docA, organisation("x", 'a') + "[deployment.shards]\nz = 2\n"}, {docB, "[deployment.shards]\nz = 3\n"}},
     docB,
     "shards of zone z only once",
     docA},
    {{{docA, organisation("x", 'a')}, {docB, organisation("y", 'a')}}, docB, "a token that identifies one caller", "organisation \"x\""},
    {{{docA, organisation("x", 'a', 100'000)}, {docB, organisation("y", 'b', 1)}}, docB, "at most 100000", "100001"},
    {{{docA, "[[organisation]]\nname = \"x\"\nshare = 1\n"}}, docA, "at least one caller with `operator = true`", "none"},
    {{{"a.toml", serviceText}, {docB, organisation("x", 'a')}}, "a.toml", "a document name such as", "a.toml"},
    {{{docA, organisation("x", 'a')}, {docB, std::string(maxDocumentBytes + 1, '\n')}}, docB, "at most 131072 bytes", "131073"},
};

auto readFile(const std::filesystem::path &path) -> std::string
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

auto exampleTexts(const std::string &directory) -> DocumentTexts
{
    DocumentTexts texts;
    for (const auto &it : std::filesystem::directory_iterator(std::filesystem::path(ACACIARAIL_EXAMPLES) / directory)) {
        if (it.path().filename().string().ends_with(documentSuffix)) {
            texts.emplace(it.path().filename().string(), readFile(it.path()));
        }
    }
    return texts;
}

struct ExampleCase
{
    std::string directory;
    std::string service;
    std::vector<std::string> organisations;
    std::vector<std::string> zones;

    friend auto operator<<(std::ostream &out, const ExampleCase &c) -> std::ostream &
    {
        return out << c.directory;
    }
};

const ExampleCase exampleCases[] = {
    {"hartwell", "retake", {"hartwell-unified", "lakeview", "pine-ridge", "saint-brendan"}, {"midwest-a", "northwest-a", "southeast-a"}},
    {"moreton-bay", "engraving", {"councillors", "event-coordinators", "mayors-office", "school-liaison"}, {"bne-a", "tsv-a", "twb-a"}},
};

/// A document with all kinds of rules.
auto completeText() -> std::string
{
    return limitsText + "[deployment.shards]\nz = 2\n" + organisation("x", 'a')
        + "[[organisation.teams]]\nname = \"t\"\nmax_accelerators = 9\n"
        + "[[organisation.guarantees]]\nzone = \"z\"\nteam = \"t\"\ncount = 2\ntasks = 3\naccelerators = 1\ncores = 4\nmemory_mib = 5\n"
        + "adjacency = \"neighbouring-racks\"\n[[service]]\nname = \"s\"\nattempt_timeout_ms = 7\nretry_budget = 0.25\nmax_attempts = 2\n"
        + "cross_region_bytes_per_second = 0\n";
}

} // namespace

// Guards against a fault that is missed, reported at another place, or reported without what was expected and found.
BOOST_DATA_TEST_CASE(faultsNamePlaceExpectedAndFound, data::make(faultCases), c)
{
    const auto parsed = parseDocument(name, c.text);
    BOOST_TEST_CONTEXT(allFaults(parsed.faults))
    {
        BOOST_REQUIRE(parsed.faults.size() == 1U);
        const auto &fault = parsed.faults.front();
        BOOST_TEST(fault.file == name);
        BOOST_TEST(fault.line == c.line);
        BOOST_TEST(fault.column == c.column);
        BOOST_TEST(fault.expected.find(c.expected) != std::string::npos);
        BOOST_TEST(fault.found.find(c.found) != std::string::npos);
    }
}

// Guards against rules that are sound by themselves and contradict each other.
BOOST_DATA_TEST_CASE(documentsAreCheckedAgainstEachOther, data::make(buildCases), c)
{
    const auto built = DeploymentConfig::build(c.texts);
    BOOST_TEST_CONTEXT(allFaults(built.faults))
    {
        BOOST_REQUIRE(built.faults.size() == 1U);
        BOOST_TEST(built.faults.front().file == c.file);
        BOOST_TEST(built.faults.front().expected.find(c.expected) != std::string::npos);
        BOOST_TEST(built.faults.front().found.find(c.found) != std::string::npos);
    }
}

// Guards against a check that stops at the first fault, also at one of syntax.
BOOST_AUTO_TEST_CASE(allFaultsOfAllDocumentsAreReported)
{
    const std::string text =
        "[[service]]\nnam = \"a\"\n[[service]]\nname = [1, 2\nx = 1\n[[organisation]\n[[service]]\nname = 3\nfoo = 1\n";
    const auto built = DeploymentConfig::build({{docA, text}, {docB, text}});
    std::vector<std::pair<std::string, std::uint32_t>> places;
    std::transform(built.faults.begin(), built.faults.end(), std::back_inserter(places),
                   [](const Fault &it) { return std::pair(it.file, it.line); });
    const std::vector<std::pair<std::string, std::uint32_t>> expected{{docA, 1}, {docA, 2}, {docA, 5}, {docA, 6}, {docA, 8}, {docA, 9},
                                                                      {docB, 1}, {docB, 2}, {docB, 5}, {docB, 6}, {docB, 8}, {docB, 9}};
    BOOST_TEST_CONTEXT(allFaults(built.faults))
    {
        BOOST_TEST((places == expected));
    }
}

// Guards against values that are read into the wrong field or with the wrong unit.
BOOST_AUTO_TEST_CASE(valuesReachThePolicy)
{
    const auto built = DeploymentConfig::build({{docA, completeText()}});
    BOOST_REQUIRE_MESSAGE(built.faults.empty(), allFaults(built.faults));
    const auto &config = built.config;
    const auto policy = config.jobPolicy();
    BOOST_REQUIRE(policy.organisations.size() == 1U);
    const auto &x = policy.organisations.front();
    BOOST_TEST(x.name == OrganisationName("x"));
    BOOST_TEST(x.share == 1U);
    BOOST_TEST(x.teams.at(0).maxAccelerators == 9U);
    const auto &promised = x.guarantees.at(0);
    BOOST_TEST(promised.zone == ZoneName("z"));
    BOOST_TEST(promised.team == TeamName("t"));
    BOOST_TEST(promised.count == 2U);
    BOOST_TEST((promised.shape == Shape{3, {1, 4, 5}, Adjacency::NeighbouringRacks}));
    const auto &service = *config.service(ServiceName("s"));
    BOOST_TEST((service.attemptTimeout == 7ms));
    BOOST_TEST(service.retryBudget == 0.25);
    BOOST_TEST(service.maxAttempts == 2U);
    BOOST_TEST(service.crossRegionBytesPerSecond == 0U);
    BOOST_TEST((config.requestPolicy().classLimits == ClassLimits{1, 1, 1}));
    BOOST_TEST(config.shardsOf(ZoneName("z")) == 2U);
    BOOST_TEST(config.shardsOf(ZoneName("other")) == 1U);
    BOOST_TEST((config.tokenOwner(hash('a')) == TokenOwner{OrganisationName("x"), CallerName("c"), true}));
    BOOST_TEST(!config.tokenOwner(hash('b')).has_value());
    BOOST_TEST(config.organisation(OrganisationName("y")) == nullptr);
    const std::vector<std::string> rules{"deployment class_limits", "deployment shards z", "organisation x", "service s"};
    BOOST_TEST(ruleNames(name, completeText()) == rules, boost::test_tools::per_element());
}

// Guards against a rule that keeps a part of its faulty text, and against losing the sound rules of the same document.
BOOST_AUTO_TEST_CASE(rulesWithFaultsAreLeftOut)
{
    const auto built =
        DeploymentConfig::build({{docA, organisation("x", 'a') + "[[organisation]]\nname = \"y\"\nshare = 0\n" + serviceText}});
    BOOST_TEST(built.faults.size() == 1U);
    BOOST_REQUIRE(built.config.organisations().size() == 1U);
    BOOST_TEST(built.config.organisations().front().name == OrganisationName("x"));
    BOOST_TEST(built.config.services().size() == 1U);
}

// Guards against instances that keep different rules of the same faulty configuration.
BOOST_AUTO_TEST_CASE(firstDocumentWinsOnDuplicates)
{
    const auto built = DeploymentConfig::build({{docB, organisation("x", 'b', 7)}, {docA, organisation("x", 'a', 5)}});
    BOOST_REQUIRE(built.config.organisations().size() == 1U);
    BOOST_TEST(built.config.organisations().front().share == 5U);
}

// Guards against a removed document that stays in force, and against an empty deployment that is refused.
BOOST_AUTO_TEST_CASE(emptyTextRemovesADocument)
{
    const auto built = DeploymentConfig::build({{docA, ""}});
    BOOST_TEST(built.faults.empty());
    BOOST_TEST(built.config.empty());
    BOOST_TEST(DeploymentConfig().empty());
}

// Guards against rules of an earlier version that survive a change.
BOOST_AUTO_TEST_CASE(buildingFromThePreviousConfigurationGivesTheSameResult)
{
    const DocumentTexts before{{docA, organisation("x", 'a')}, {docB, organisation("y", 'b')}};
    const DocumentTexts after{{docA, organisation("x", 'a')}, {docB, organisation("z", 'c')}};
    const auto previous = DeploymentConfig::build(before);
    const auto built = DeploymentConfig::build(after, ConfigScope::Complete, &previous.config);
    BOOST_TEST(built.faults.empty());
    BOOST_TEST(built.config.organisation(OrganisationName("x")) != nullptr);
    BOOST_TEST(built.config.organisation(OrganisationName("y")) == nullptr);
    BOOST_TEST(built.config.organisation(OrganisationName("z")) != nullptr);
    BOOST_TEST(!built.config.tokenOwner(hash('b')).has_value());
}

// Guards against examples that do not check, or whose tokens are not the ones that their README states.
BOOST_DATA_TEST_CASE(examplesAreSound, data::make(exampleCases), c)
{
    const auto built = DeploymentConfig::build(exampleTexts(c.directory));
    BOOST_REQUIRE_MESSAGE(built.faults.empty(), allFaults(built.faults));
    const auto &config = built.config;
    BOOST_TEST(config.service(ServiceName(c.service)) != nullptr);
    BOOST_TEST(config.organisations().size() == c.organisations.size());
    for (const auto &it : c.organisations) {
        const auto owner = config.tokenOwner(sha256Hex("test-" + it));
        BOOST_REQUIRE(owner.has_value());
        BOOST_TEST(owner->organisation == OrganisationName(it));
        BOOST_TEST(!owner->isOperator);
    }
    BOOST_TEST(config.tokenOwner(sha256Hex("test-operator")).value().isOperator);
}

// Guards against guarantees of the examples that a zone of 16 workers with 8 accelerators in two racks cannot hold.
BOOST_DATA_TEST_CASE(exampleGuaranteesFitTwoRacks, data::make(exampleCases), c)
{
    constexpr std::uint64_t zoneAccelerators = 128;
    constexpr std::uint64_t rackAccelerators = 64;
    const auto built = DeploymentConfig::build(exampleTexts(c.directory));
    for (const auto &zone : c.zones) {
        std::uint64_t total = 0;
        for (const auto &organisationPolicy : built.config.organisations()) {
            for (const auto &it : organisationPolicy.guarantees) {
                if (it.zone != ZoneName(zone)) {
                    continue;
                }
                total += it.count * it.shape.accelerators();
                BOOST_TEST((it.shape.adjacency != Adjacency::Rack || it.shape.accelerators() <= rackAccelerators));
                BOOST_TEST(it.shape.perTask.accelerators <= 8U);
            }
        }
        BOOST_TEST(total > 0U);
        BOOST_TEST(total <= zoneAccelerators);
    }
}

// Guards against input that makes the parser throw or crash.
RC_BOOST_PROP(arbitraryBytesNeverThrow, (const std::string &text))
{
    const auto built = DeploymentConfig::build({{docA, text}});
    RC_ASSERT(text.empty() || !built.faults.empty());
}

// Guards against input close to a valid document that makes the parser throw, crash or report a place outside the text.
RC_BOOST_PROP(alteredDocumentsNeverThrow, ())
{
    static const std::string pieces = "[]{}.,=\"'#\\\n\r\t \xff_-+0123456789xobeE:TZtruefalsinyn\x01";
    auto text = completeText();
    const auto changes = *rc::gen::inRange<std::size_t>(1, 12);
    for (std::size_t i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 4);
        const auto inserted = *rc::gen::container<std::string>(*rc::gen::inRange<std::size_t>(0, 6), rc::gen::elementOf(pieces));
        text.replace(at, length, inserted);
    }
    const auto lines = static_cast<std::uint32_t>(std::count(text.begin(), text.end(), '\n') + 1);
    for (const auto &fault : parseDocument(name, text).faults) {
        RC_ASSERT(fault.line <= lines);
        RC_ASSERT(!fault.expected.empty());
        RC_ASSERT(!fault.found.empty());
        RC_ASSERT(fault.found.find('\n') == std::string::npos);
    }
}

// Guards against sequences of structural characters that exhaust the stack of the recursive parser.
RC_BOOST_PROP(deepStructuresNeverThrow, (std::uint16_t repeats))
{
    const auto piece =
        *rc::gen::element<std::string>("[", "{a=", "[[", "a.", "\"", "'''", "\"\"\"", "[a]\n", "a=[", "[[a.b]]\n", "-", "{", "\n[");
    std::string text = *rc::gen::element<std::string>("", "a=", "[", "a=\"", "[[organisation]]\nx=");
    for (std::uint32_t i = 0; i < repeats % 3000U; ++i) {
        text += piece;
    }
    const auto parsed = parseDocument(name, text);
    RC_ASSERT(text.empty() || !parsed.faults.empty());
}

// Guards against a value that changes between the text and the policy.
RC_BOOST_PROP(generatedOrganisationsAreReadBack, ())
{
    const auto share = *rc::gen::inRange<std::uint32_t>(1, 100'000);
    const auto tasks = *rc::gen::inRange<std::uint32_t>(1, maxGangTasks + 1);
    const auto accelerators = *rc::gen::inRange<std::uint32_t>(1, 1025);
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 100'001);
    const auto adjacency = static_cast<Adjacency>(*rc::gen::inRange(0, 4));
    const auto text = organisation("x", 'a', share) + "[[organisation.guarantees]]\nzone = \"z\"\ncount = " + std::to_string(count)
        + "\ntasks = " + std::to_string(tasks) + "\naccelerators = " + std::to_string(accelerators) + "\nadjacency = \""
        + std::string(adjacencyName(adjacency)) + "\"\n";
    const auto built = DeploymentConfig::build({{docA, text}});
    RC_ASSERT(built.faults.empty());
    const auto &x = built.config.organisations().at(0);
    RC_ASSERT(x.share == share);
    RC_ASSERT(x.guarantees.at(0).count == count);
    RC_ASSERT((x.guarantees.at(0).shape == Shape{tasks, {accelerators, 0, 0}, adjacency}));
}
