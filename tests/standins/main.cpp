#define BOOST_TEST_MODULE standins
#include <boost/test/unit_test.hpp>

#include <cstdlib>

/// Gives RapidCheck a fixed seed; RC_PARAMS in the environment overrides it.
struct FixedSeed
{
    FixedSeed()
    {
        ::setenv("RC_PARAMS", "seed=20260101 max_success=300", 0);
    }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
