#define BOOST_TEST_MODULE clients
#include <acaciarail/core/logging.h>

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace {

struct ProgramSetup
{
    ProgramSetup()
    {
        Acaciarail::configureLogging(Acaciarail::LogLevel::Error);
        // A client writes to connections that the server closed, which must fail with an error instead of ending this process.
        (void)std::signal(SIGPIPE, SIG_IGN);
    }
};

BOOST_TEST_GLOBAL_FIXTURE(ProgramSetup);

} // namespace
