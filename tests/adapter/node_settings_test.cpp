#include "node_settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <ostream>
#include <string>

namespace Acaciarail::Adapter::Tests {

namespace {

namespace data = boost::unit_test::data;

const std::string complete = R"(node = "frontend-1"
ip = "10.1.0.19"
zone = "zone-a"
region = "region"
internalPorts = [7000, 7015]
unknownKey = { any = "thing" }
[listen]
front = "10.1.0.19:8521"
readiness = "10.1.0.19:8523"
[limits]
cpuShare = 0.25
[bounds]
holdMaxMs = 10000
graceS = 6
[platform]
address = "10.200.1.7:8524"
)";

auto without(const std::string &line) -> std::string
{
    auto text = complete;
    const auto at = text.find(line);
    return text.erase(at, text.find('\n', at) + 1 - at);
}

auto with(const std::string &line, const std::string &replacement) -> std::string
{
    auto text = complete;
    return text.replace(text.find(line), line.size(), replacement);
}

/// Returns the settings with a list of contracts and another bound.
auto withPlaces(const std::string &contracts, const std::string &bound) -> std::string
{
    auto text = with("[listen]", "contracts = [" + contracts + "]\n[listen]");
    return text.replace(text.find("graceS = 6"), 0, bound + '\n');
}

/// A file that is removed at the end of its scope.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : m_path("/tmp/acaciarail-settings-XXXXXX")
    {
        close(mkstemp(m_path.data()));
        std::ofstream(m_path) << text;
    }
    TemporaryFile(const TemporaryFile &) = delete;
    auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;
    ~TemporaryFile()
    {
        std::remove(m_path.c_str());
    }
    [[nodiscard]] auto path() const -> const std::string &
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(nodeSettings)

struct SettingsCase
{
    const char *name;
    std::string text;
    /// Key of the only fault; empty when there is none.
    std::string fault;
};

auto operator<<(std::ostream &out, const SettingsCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<SettingsCase> settingsCases{
    {"complete, with unknown keys", complete, ""},
    {"a bound that is not given", without("holdMaxMs"), ""},
    {"no name", without("node ="), "node"},
    {"no store", without("address"), "platform.address"},
    {"a name for an address", with("10.200.1.7:8524", "store:8524"), "platform.address"},
    {"a bound of another type", with("holdMaxMs = 10000", "holdMaxMs = \"long\""), "bounds.holdMaxMs"},
    {"contracts of another type", with("region = \"region\"", "region = \"region\"\ncontracts = 1"), "contracts"},
    {"a bound that allows no start", withPlaces(R"("places")", "evacuateMs = 900"), "bounds.evacuateMs"},
    {"the same without the contract", withPlaces("", "evacuateMs = 900"), ""},
    {"memory of another type", with("cpuShare = 0.25", "memoryMb = \"much\""), "limits.memoryMb"},
    {"a limit for clients of zero", complete + "[clients]\nmaxConnections = 0\n", "clients.maxConnections"},
    {"a fraction of a millisecond", complete + "[clients]\nunreadTimeoutMs = 0.5\n", "clients.unreadTimeoutMs"},
    {"a list of machines", complete + "[cloudApi]\naddress = \"10.200.0.1:8524\"\nratePerS = 60.0\n", ""},
    {"no address of a list of machines", complete + "[cloudApi]\naddress = \"\"\n", ""},
    {"a name for the address of a list", complete + "[cloudApi]\naddress = \"cloud:80\"\n", "cloudApi.address"},
    {"ports of another type", with("[7000, 7015]", "7000"), "internalPorts"},
};

// Guards against settings that are accepted although a key is missing or invalid, and against faults that name another key.
BOOST_DATA_TEST_CASE(faultsNameTheirKey, data::make(settingsCases), c)
{
    const TemporaryFile file(c.text);
    const auto loaded = loadNodeSettings(file.path());
    BOOST_TEST(loaded.faults.size() == (c.fault.empty() ? 0U : 1U));
    if (!loaded.faults.empty()) {
        BOOST_TEST(loaded.faults.front().key == c.fault);
    }
}

// Guards against times and fractions that are read in the wrong unit.
BOOST_AUTO_TEST_CASE(valuesAreReadInTheirUnits)
{
    const TemporaryFile file(complete);
    const auto settings = loadNodeSettings(file.path()).settings;
    BOOST_TEST((settings.maxTaskLease == 10s && settings.shutdownGracePeriod == 6s));
    BOOST_TEST(settings.processorShare == 0.25);
    BOOST_TEST(settings.metrics.str() == "10.1.0.19:7000");
    BOOST_TEST(settings.callers.str() == "10.1.0.19:8521");
    BOOST_TEST(!settings.machineList.has_value());
}

struct ContractCase
{
    const char *name;
    std::string text;
    Duration evacuationDelay;
};

auto operator<<(std::ostream &out, const ContractCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ContractCase> contractCases{
    {"no list", complete, 0s},
    {"other contracts only", withPlaces(R"("other")", "evacuateMs = 4000"), 0s},
    {"among others", withPlaces(R"("other", "places")", "evacuateMs = 4000"), 4s},
    {"without its bound", withPlaces(R"("places")", ""), 5s},
};

// Guards against zones that are evacuated in deployments without the contract, and the reverse.
BOOST_DATA_TEST_CASE(zonesAreEvacuatedUnderTheContractOnly, data::make(contractCases), c)
{
    const TemporaryFile file(c.text);
    BOOST_TEST((loadNodeSettings(file.path()).settings.evacuationDelay == c.evacuationDelay));
}

// Guards against limits for clients that do not follow from the machine's memory and descriptors, and against overrides without effect.
BOOST_AUTO_TEST_CASE(limitsForClientsFollowFromTheMachine)
{
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    const TemporaryFile smallest(with("cpuShare = 0.25", "memoryMb = 120\nmaxFds = 3075"));
    const auto limits = loadNodeSettings(smallest.path()).settings.clients;
    BOOST_TEST(limits.maxBytes == 30 * mebibyte);
    BOOST_TEST(limits.maxConnections == 1437U);
    BOOST_TEST(limits.maxProbeConnections == 89U);
    BOOST_TEST((limits.headerTimeout >= 3s && limits.idleTimeout >= 15s));
    const TemporaryFile overridden(complete + "[clients]\nmaxConnections = 50\nmaxMemoryMb = 7\nheaderTimeoutMs = 1500\n");
    const auto changed = loadNodeSettings(overridden.path()).settings.clients;
    BOOST_TEST(changed.maxConnections == 50U);
    BOOST_TEST(changed.maxBytes == 7 * mebibyte);
    BOOST_TEST((changed.headerTimeout == 1500ms && changed.bodyTimeout == ClientLimits{}.bodyTimeout));
    const TemporaryFile tiny(with("cpuShare = 0.25", "maxFds = 100"));
    BOOST_TEST(loadNodeSettings(tiny.path()).settings.clients.maxConnections == 32U);
}

// Guards against an exception, or a start with default settings, when the file cannot be read.
BOOST_AUTO_TEST_CASE(anUnreadableFileIsAFault)
{
    BOOST_TEST(loadNodeSettings("/nonexistent/settings.toml").faults.size() == 1U);
    const TemporaryFile file("node = [");
    BOOST_TEST(loadNodeSettings(file.path()).faults.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Adapter::Tests
