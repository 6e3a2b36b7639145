#define BOOST_TEST_MODULE workflow
#include <boost/test/unit_test.hpp>
