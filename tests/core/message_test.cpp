#include <acaciarail/peer/messages.h>
#include <acaciarail/worker/messages.h>

#include <boost/test/unit_test.hpp>

using namespace Acaciarail;

// Guards against a message that is decoded as another alternative.
BOOST_AUTO_TEST_CASE(messageKeepsItsAlternative)
{
    const Worker::Request sent = Worker::Renew{{7, 9}, 3, 1s, 60s};
    Worker::Request read;
    BOOST_TEST(!decodeMessage(encodeMessage(sent), read));
    BOOST_REQUIRE(std::holds_alternative<Worker::Renew>(read));
    BOOST_TEST(std::get<Worker::Renew>(read).round == 3U);
    BOOST_TEST((std::get<Worker::Renew>(read).taskLease == 60s));
}

// Guards against frames of an unknown version or type being decoded as known ones.
BOOST_AUTO_TEST_CASE(unknownVersionAndTypeAreRefused)
{
    using Frame = std::tuple<std::uint32_t, std::uint32_t, std::vector<std::uint32_t>>;
    Peer::Message read;
    BOOST_TEST(decodeMessage(encode(Frame{99, 0, {}}), read) == make_error_code(Error::UnknownVersion));
    BOOST_TEST(decodeMessage(encode(Frame{1, 99, {}}), read) == make_error_code(Error::MalformedInput));
}
