#include "command_line.h"
#include "help.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::CommandLine;
using Operator::Verb;
namespace data = boost::unit_test::data;

namespace {

struct LineCase
{
    std::vector<std::string> arguments;
    Request request;
    std::string message;

    friend auto operator<<(std::ostream &out, const LineCase &c) -> std::ostream &
    {
        for (const auto &it : c.arguments) {
            out << it << ' ';
        }
        return out;
    }
};

const LineCase lineCases[] = {
    {{}, Request::Usage, "expected a command, found none"},
    {{"publsh"}, Request::Usage, "the nearest is \"publish\""},
    {{"jobs", "--sate", "x"}, Request::Usage, "the nearest is --state"},
    {{"jobs", "--tasks", "4"}, Request::Usage, "expected a flag of `acaciarail jobs`, found --tasks"},
    {{"jobs", "--output", "xml"}, Request::Usage, "expected table or json for --output"},
    {{"jobs", "--server", "nowhere"}, Request::Usage, "expected HOST:PORT"},
    {{"jobs", "--server", "a:1,b"}, Request::Usage, "expected HOST:PORT"},
    {{"jobs", "--server", "a:0"}, Request::Usage, "expected HOST:PORT"},
    {{"jobs", "--server", ","}, Request::Usage, "expected HOST:PORT"},
    {{"jobs", "--timeout_ms", "0"}, Request::Usage, "expected at least 1 for --timeout_ms"},
    {{"jobs", "--output"}, Request::Usage, "expected a value after --output"},
    {{"submit", "--tasks", "many"}, Request::Usage, "expected a value of type uint32 for --tasks, found \"many\""},
    {{"submit", "--tasks=-1"}, Request::Usage, "expected a value of type uint32"},
    {{"submit", "--idempotent=perhaps"}, Request::Usage, "expected a value of type bool"},
    {{"submit", "--adjacency", "near"}, Request::Usage, "neighbouring-racks for --adjacency"},
    {{"submit", "--priority", "low"}, Request::Usage, "background for --priority"},
    {{"submit", "---"}, Request::Usage, "expected a flag, found \"---\""},
    {{"submit", "--flagfile=x"}, Request::Usage, "expected a known flag, found --flagfile"},
    {{"--help"}, Request::Help, ""},
    {{"help", "audit"}, Request::Help, ""},
    {{"audit", "-h"}, Request::Help, ""},
    {{"--version"}, Request::Version, ""},
    {{"jobs"}, Request::Run, ""},
    {{"--output=json", "jobs", "--state", "accepted"}, Request::Run, ""},
};

} // namespace

// Guards against a mistyped command line that is carried out, and against messages that do not say what is wrong.
BOOST_DATA_TEST_CASE(commandLinesAreChecked, data::make(lineCases), c)
{
    const auto parsed = parseCommandLine(c.arguments);
    BOOST_TEST((parsed.request == c.request), parsed.message);
    BOOST_TEST(parsed.message.find(c.message) != std::string::npos, parsed.message);
}

// Guards against flags that end up in another field, and against lists that keep only one of their values.
BOOST_AUTO_TEST_CASE(flagsReachTheOptions)
{
    const auto parsed = parseCommandLine({"submit", "--server", "a:1", "--server=[::1]:2,c:3", "--name=n", "--tasks", "3",
                                          "--accelerators=4", "--memory-mib=5", "--adjacency=rack", "--noidempotent", "--checkpointable",
                                          "--run_time_s=60", "--start_within_ms=7", "--token=t"});
    BOOST_REQUIRE_MESSAGE(parsed.request == Request::Run, parsed.message);
    const auto &options = parsed.options;
    const std::vector<Operator::ServerAddress> servers{{"a", 1}, {"::1", 2}, {"c", 3}};
    BOOST_TEST((options.client.servers == servers));
    BOOST_TEST(options.client.token == "t");
    BOOST_TEST(options.job.name == "n");
    BOOST_TEST((options.job.shape == Shape{3, {4, 1, 5}, Adjacency::Rack}));
    BOOST_TEST(!options.job.idempotent);
    BOOST_TEST(options.job.checkpointable);
    BOOST_TEST((options.job.startWithin == 7ms));
    BOOST_TEST((options.job.declaredRunTime == 60s));
}

// Guards against the values of one command line leaking into the next one.
BOOST_AUTO_TEST_CASE(flagsAreResetBetweenCommandLines)
{
    BOOST_TEST((parseCommandLine({"submit", "--noidempotent", "--name", "n"}).request == Request::Run));
    const auto parsed = parseCommandLine({"submit"});
    BOOST_TEST(parsed.options.job.idempotent);
    BOOST_TEST(parsed.options.job.name.empty());
}

// Guards against archives after --file that are taken for something else.
BOOST_AUTO_TEST_CASE(argumentsAfterFileAreArchives)
{
    const auto parsed = parseCommandLine({"audit", "--file", "a", "b", "c", "--complete"});
    const std::vector<std::string> files{"a", "b", "c"};
    BOOST_TEST(parsed.options.audit.files == files, boost::test_tools::per_element());
    BOOST_TEST(parsed.options.arguments.empty());
    BOOST_TEST(parsed.options.audit.complete);
}

// Guards against help that leaves out a command, a flag, the example or the exit codes.
BOOST_AUTO_TEST_CASE(helpIsComplete)
{
    const auto program = programHelp();
    for (std::size_t i = 0; i < Operator::verbCount; ++i) {
        const auto verb = static_cast<Verb>(i);
        BOOST_TEST(program.find("\n  " + std::string(Operator::verbName(verb)) + ' ') != std::string::npos);
        const auto help = verbHelp(verb);
        for (const auto flags : {verbFlags(verb), commonFlags()}) {
            for (const auto it : flags) {
                BOOST_TEST(help.find("--" + std::string(it)) != std::string::npos, it);
            }
        }
        BOOST_TEST(help.find("Example:\n  acaciarail " + std::string(Operator::verbName(verb))) != std::string::npos);
        BOOST_TEST(help.find("  7  unknown outcome") != std::string::npos);
    }
}
