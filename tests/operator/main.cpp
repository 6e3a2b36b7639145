#define BOOST_TEST_MODULE operator
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>

/// Gives the properties a fixed seed, unless another one is asked for, and reports writes to closed connections as errors.
struct ProcessSetup
{
    ProcessSetup()
    {
        std::signal(SIGPIPE, SIG_IGN);
        setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
    }
};
BOOST_TEST_GLOBAL_FIXTURE(ProcessSetup);
