#define BOOST_TEST_MODULE process
#include <acaciarail/core/logging.h>

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace {

struct ProgramSetup
{
    ProgramSetup()
    {
        Acaciarail::configureLogging(Acaciarail::LogLevel::Error);
        // Connections of killed processes break while the stand-ins write to them.
        (void)std::signal(SIGPIPE, SIG_IGN);
    }
};

BOOST_TEST_GLOBAL_FIXTURE(ProgramSetup);

} // namespace
