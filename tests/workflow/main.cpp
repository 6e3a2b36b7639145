#define BOOST_TEST_MODULE workflow
#include <acaciarail/core/logging.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace {

/// Logs errors only, unless the environment asks for the log of the code under test.
struct QuietLog
{
    QuietLog()
    {
        const bool wanted = std::getenv("ACACIARAIL_TEST_LOG") != nullptr;
        Acaciarail::configureLogging(wanted ? Acaciarail::LogLevel::Info : Acaciarail::LogLevel::Error);
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);
