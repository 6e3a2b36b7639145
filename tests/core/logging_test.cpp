#include <acaciarail/core.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace Acaciarail;
namespace data = boost::unit_test::data;

struct QuoteCase
{
    std::string input;
    std::string expected;

    friend auto operator<<(std::ostream &out, const QuoteCase &c) -> std::ostream &
    {
        return out << c.expected;
    }
};

static const QuoteCase quoteCases[] = {
    {"plain-word", "plain-word"},
    {"", "\"\""},
    {"two words", "\"two words\""},
    {"a=b", "\"a=b\""},
    {"line\nlevel=ERROR", "\"line\\x0alevel=ERROR\""},
    {"quote\"back\\", "\"quote\\\"back\\\\\""},
};

// Guards against input that forges a second log line or field.
BOOST_DATA_TEST_CASE(quotedValuesCannotForgeFields, data::make(quoteCases), c)
{
    BOOST_TEST(quoteLogValue(c.input) == c.expected);
}

// Guards against a table of names whose order differs from the enumeration.
BOOST_AUTO_TEST_CASE(errorNamesMatchCodes)
{
    BOOST_TEST(make_error_code(Error::QuotaExceeded).message() == "quota-exceeded");
    BOOST_TEST(make_error_code(Error::ConnectionLost).message() == "connection-lost");
}
