#include <acaciarail/core/wire.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace Acaciarail;
namespace data = boost::unit_test::data;

namespace {

auto exampleJob() -> Job
{
    Job job;
    job.id = JobId("job-1");
    job.spec.organisation = OrganisationName("hartwell-schools");
    job.spec.name = "retouch";
    job.spec.shape = {16, {1, 4, 8192}, Adjacency::Rack};
    job.spec.declaredRunTime = 90min;
    job.spec.startWithin = 2s;
    job.zone = ZoneName("midwest-a");
    return job;
}

struct DecodeCase
{
    std::string name;
    std::string bytes;
    Error expected;

    friend auto operator<<(std::ostream &out, const DecodeCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const DecodeCase decodeCases[] = {
    {"empty", "", Error::MalformedInput},
    {"truncated", encode(exampleJob()).substr(0, 20), Error::MalformedInput},
    {"surplus bytes", encode(exampleJob()) + "x", Error::MalformedInput},
    {"wrong type", encode(std::string("text")), Error::MalformedInput},
    {"oversized", std::string(maxWireBytes + 1, 'x'), Error::TooLarge},
    {"enumerator out of range", encode(std::vector<std::uint64_t>{1, 2, 99}), Error::MalformedInput},
    {"huge declared array", std::string("\xdd\xff\xff\xff\xff", 5), Error::MalformedInput},
    {"deep nesting", std::string(200, '\x91') + "\xc0", Error::MalformedInput},
};

} // namespace

// Guards against a field that is left out of the encoding or read in another order.
BOOST_AUTO_TEST_CASE(jobSurvivesRoundTrip)
{
    const auto job = exampleJob();
    Job read;
    BOOST_TEST(!decode(encode(job), read));
    BOOST_TEST(encode(read) == encode(job));
    BOOST_TEST((read.spec.startWithin == job.spec.startWithin));
    BOOST_TEST((read.spec.shape == job.spec.shape));
}

// Guards against input from outside that crashes the decoder or is accepted as valid.
BOOST_DATA_TEST_CASE(badInputIsRefused, data::make(decodeCases), c)
{
    Job read;
    BOOST_TEST(decode(c.bytes, read) == make_error_code(c.expected));
}

// Guards against an upgrade in which old and new instances cannot read each other.
BOOST_AUTO_TEST_CASE(missingAndSurplusFieldsAreAccepted)
{
    Resources read;
    BOOST_TEST(!decode(encode(std::vector<std::uint32_t>{8, 32}), read));
    BOOST_TEST((read == Resources{8, 32, 0}));
    BOOST_TEST(!decode(encode(std::vector<std::uint32_t>{8, 32, 64, 99}), read));
    BOOST_TEST((read == Resources{8, 32, 64}));
}
