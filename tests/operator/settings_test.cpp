#include <acaciarail/operator/settings.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <fstream>
#include <iterator>
#include <ostream>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Operator;
namespace data = boost::unit_test::data;

namespace {

const std::string required = "name = \"i\"\nregion = \"r\"\nzone = \"z\"\nplatform_address = \"127.0.0.1:1\"\n";

auto allFaults(const std::vector<Fault> &faults) -> std::string
{
    std::string text;
    for (const auto &it : faults) {
        text += faultText(it) + '\n';
    }
    return text;
}

struct FaultCase
{
    std::string text;
    std::vector<SettingOverride> overrides;
    std::string file;
    std::uint32_t line;
    std::string expected;
    std::string found;

    friend auto operator<<(std::ostream &out, const FaultCase &c) -> std::ostream &
    {
        return out << c.expected;
    }
};

const FaultCase faultCases[] = {
    {required + "max_body_byte = 1\n", {}, "s.toml", 5, "the nearest is \"max_body_bytes\"", "\"max_body_byte\""},
    {required + "[limits]\nmax_body_bytes = 4096\n", {}, "s.toml", 5, "a key of the settings", "\"limits\""},
    {required + "connect_timeout_ms = 0\n", {}, "s.toml", 5, "an integer from 1 to 3600000", "0"},
    {required + "connect_timeout_ms = \"1s\"\n", {}, "s.toml", 5, "an integer", "the string \"1s\""},
    {required + "heartbeat_interval_ms = 10\n", {}, "s.toml", 5, "an integer from 50 to 5000", "10"},
    {required + "listen_callers = \"8080\"\n", {}, "s.toml", 5, "ADDRESS:PORT with a port from 0 to 65535", "\"8080\""},
    {required + "listen_callers = \"127.0.0.1:65536\"\n", {}, "s.toml", 5, "ADDRESS:PORT with a port from 0 to 65535", "65536"},
    {required + "advertised_address = \"127.0.0.1:0\"\n", {}, "s.toml", 5, "a port from 1 to 65535", "127.0.0.1:0"},
    {required + "log_level = \"trace\"\n", {}, "s.toml", 5, "`debug`, `info`, `warning` or `error`", "trace"},
    {required + "bootstrap_operator_token_sha256 = \"test-operator\"\n", {}, "s.toml", 5, "a SHA-256", "test-operator"},
    {required + "max_deadline_ms = 80000\n", {}, "s.toml", 0, "max_deadline_ms of at most shutdown_grace_ms, 70000 ms", "80000 ms"},
    {required + "default_deadline_ms = 61000\n", {}, "s.toml", 0, "default_deadline_ms of at most max_deadline_ms", "61000 ms"},
    {required + "log_read_wait_ms = 11000\n", {}, "s.toml", 0, "log_read_wait_ms of at most progress_timeout_ms", "11000 ms"},
    {"name = \"i\"\nregion = \"r\"\nplatform_address = \"127.0.0.1:1\"\n",
     {},
     "s.toml",
     0,
     "the key \"zone\" or the flag --zone",
     "neither"},
    {required, {{"zon", "x"}}, "--zon", 0, "the nearest is --zone", "--zon"},
    {required, {{"connect_timeout_ms", "1x"}}, "--connect_timeout_ms", 0, "an integer from 1", "\"1x\""},
    {required, {{"connect_timeout_ms", "-1"}}, "--connect_timeout_ms", 0, "an integer from 1", "\"-1\""},
    {required, {{"zone", ""}}, "--zone", 0, "a name of at most 64", "\"\""},
};

auto exampleText() -> std::string
{
    std::ifstream in(std::string(ACACIARAIL_EXAMPLES) + "/settings.example.toml", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

} // namespace

// Guards against a faulty setting that starts an instance with a default in its place.
BOOST_DATA_TEST_CASE(faultsAreReported, data::make(faultCases), c)
{
    const auto parsed = parseSettings("s.toml", c.text, c.overrides);
    BOOST_TEST_CONTEXT(allFaults(parsed.faults))
    {
        BOOST_REQUIRE(parsed.faults.size() == 1U);
        const auto &fault = parsed.faults.front();
        BOOST_TEST(fault.file == c.file);
        BOOST_TEST(fault.line == c.line);
        BOOST_TEST(fault.expected.find(c.expected) != std::string::npos);
        BOOST_TEST(fault.found.find(c.found) != std::string::npos);
    }
}

// Guards against an example that lacks a key, or that does not show the default values.
BOOST_AUTO_TEST_CASE(exampleHasEveryKeyWithItsDefault)
{
    const auto text = exampleText();
    for (const auto &it : settingKeys()) {
        BOOST_TEST(text.find('\n' + std::string(it.key) + " = ") != std::string::npos, it.key);
    }
    const auto parsed = parseSettings("settings.example.toml", text);
    BOOST_REQUIRE_MESSAGE(parsed.faults.empty(), allFaults(parsed.faults));
    const auto defaults = parseSettings("s.toml", required);
    BOOST_REQUIRE_MESSAGE(defaults.faults.empty(), allFaults(defaults.faults));
    const auto &a = parsed.settings;
    const auto &b = defaults.settings;
    BOOST_TEST(a.limits.maxBodyBytes == b.limits.maxBodyBytes);
    BOOST_TEST(a.limits.maxCallerBufferBytes == b.limits.maxCallerBufferBytes);
    BOOST_TEST((a.timeouts.callerHeaderTimeout == b.timeouts.callerHeaderTimeout));
    BOOST_TEST((a.timeouts.callerBodyTimeout == b.timeouts.callerBodyTimeout));
    BOOST_TEST((a.timeouts.callerUnreadTimeout == b.timeouts.callerUnreadTimeout));
    BOOST_TEST(a.limits.maxTraceSpans == b.limits.maxTraceSpans);
    BOOST_TEST(a.limits.maxQueuedRequests == b.limits.maxQueuedRequests);
    BOOST_TEST((a.timeouts.progressTimeout == b.timeouts.progressTimeout));
    BOOST_TEST((a.timeouts.heartbeatInterval == b.timeouts.heartbeatInterval));
    BOOST_TEST((a.timeouts.shutdownGrace == b.timeouts.shutdownGrace));
    BOOST_TEST((a.timeouts.maxDeadline == b.timeouts.maxDeadline));
}

// Guards against flags that do not take precedence, or that do not count as stating a required key.
BOOST_AUTO_TEST_CASE(flagsOverrideTheFile)
{
    const std::vector<SettingOverride> flags{{"zone", "other"}, {"connect_timeout_ms", "77"}, {"log_level", "debug"}};
    const auto parsed = parseSettings("s.toml", "name = \"i\"\nregion = \"r\"\nplatform_address = \"[::1]:1\"\n", flags);
    BOOST_REQUIRE_MESSAGE(parsed.faults.empty(), allFaults(parsed.faults));
    BOOST_TEST(parsed.settings.zone == ZoneName("other"));
    BOOST_TEST((parsed.settings.timeouts.connectTimeout == 77ms));
    BOOST_TEST((parsed.settings.logLevel == LogLevel::Debug));
}

// Guards against a missing file that is taken for an empty one.
BOOST_AUTO_TEST_CASE(missingFileIsAFault)
{
    BOOST_TEST(loadSettings("no-such-directory/settings.toml").faults.size() == 1U);
}

// Guards against input that makes the parser throw or crash.
RC_BOOST_PROP(arbitrarySettingsNeverThrow, (const std::string &text, const std::string &key, const std::string &value))
{
    const std::vector<SettingOverride> flags{{key, value}};
    RC_ASSERT(!parseSettings("s.toml", text, flags).faults.empty());
}
