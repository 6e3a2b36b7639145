#define BOOST_TEST_MODULE operator
#include <boost/test/unit_test.hpp>

#include <cstdlib>

/// Gives the properties a fixed seed, unless another one is asked for.
struct FixedSeed
{
    FixedSeed()
    {
        setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
    }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
