#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include <cstdlib>

/// Sets a fixed seed for RapidCheck unless the environment sets RC_PARAMS.
struct FixedSeed
{
    FixedSeed()
    {
        ::setenv("RC_PARAMS", "seed=20260101 max_success=300", 0);
    }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
