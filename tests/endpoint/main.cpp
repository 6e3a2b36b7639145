#define BOOST_TEST_MODULE endpoint
#include <boost/test/unit_test.hpp>
