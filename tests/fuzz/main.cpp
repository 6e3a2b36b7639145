#define BOOST_TEST_MODULE fuzz
#include <acaciarail/core/logging.h>

#include <boost/test/unit_test.hpp>

namespace {

struct QuietLog
{
    QuietLog()
    {
        Acaciarail::configureLogging(Acaciarail::LogLevel::Error);
    }
};

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

} // namespace
