#include <acaciarail/operator/fault.h>
#include <acaciarail/operator/nearest_key.h>
#include <acaciarail/operator/sha256.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <ostream>
#include <string>

using namespace Acaciarail::Operator;
namespace data = boost::unit_test::data;

namespace {

struct DistanceCase
{
    std::string_view a;
    std::string_view b;
    std::size_t distance;

    friend auto operator<<(std::ostream &out, const DistanceCase &c) -> std::ostream &
    {
        return out << c.a << '/' << c.b;
    }
};

const DistanceCase distanceCases[] = {
    {"", "", 0}, {"", "abc", 3}, {"share", "shares", 1}, {"kitten", "sitting", 3}, {"ab", "ba", 2}, {"zone", "zone", 0},
};

struct DigestCase
{
    std::string text;
    std::string_view digest;

    friend auto operator<<(std::ostream &out, const DigestCase &c) -> std::ostream &
    {
        return out << c.digest;
    }
};

const DigestCase digestCases[] = {
    {"", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
    {"abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
    {std::string(1'000'000, 'a'), "cdc76e5c9914fb9281a1c7e284d73e67f1809a48a497200e046d39ccc7112cd0"},
};

struct HexCase
{
    std::string text;
    bool isDigest;

    friend auto operator<<(std::ostream &out, const HexCase &c) -> std::ostream &
    {
        return out << c.text;
    }
};

const HexCase hexCases[] = {
    {std::string(64, 'a'), true},  {std::string(63, 'a'), false}, {std::string(65, 'a'), false},
    {std::string(64, 'A'), false}, {std::string(64, 'g'), false}, {"", false},
};

} // namespace

// Guards against a hint that names a key other than the nearest one.
BOOST_DATA_TEST_CASE(editDistanceCountsChanges, data::make(distanceCases), c)
{
    BOOST_TEST(editDistance(c.a, c.b) == c.distance);
    BOOST_TEST(editDistance(c.b, c.a) == c.distance);
}

// Guards against a distance that is not a metric, which would rank keys wrongly.
RC_BOOST_PROP(editDistanceIsAMetric, (const std::string &a, const std::string &b, const std::string &c))
{
    RC_ASSERT((editDistance(a, b) == 0) == (a == b));
    RC_ASSERT(editDistance(a, c) <= editDistance(a, b) + editDistance(b, c));
}

// Guards against an unstable hint in case of a tie, and against a crash when nothing is known.
BOOST_AUTO_TEST_CASE(nearestKeyPrefersTheFirst)
{
    constexpr std::array<std::string_view, 3> known{"cores", "count", "zone"};
    BOOST_TEST(nearestKey("core", known).value() == "cores");
    BOOST_TEST(nearestKey("xxxxx", known).value() == "cores");
    BOOST_TEST(!nearestKey("core", {}).has_value());
}

// Guards against a digest that differs from the one that callers compute for their tokens.
BOOST_DATA_TEST_CASE(digestsMatchKnownValues, data::make(digestCases), c)
{
    BOOST_TEST(sha256Hex(c.text) == c.digest);
}

// Guards against token hashes that no token can ever match.
BOOST_DATA_TEST_CASE(onlyDigestsAreTakenForDigests, data::make(hexCases), c)
{
    BOOST_TEST(isSha256Hex(c.text) == c.isDigest);
}

// Guards against messages that editors cannot take to the place of the fault.
BOOST_AUTO_TEST_CASE(faultTextNamesThePlace)
{
    BOOST_TEST(faultText({"a.toml", 3, 7, "x", "y"}) == "a.toml:3:7: expected x, found y");
    BOOST_TEST(faultText({"a.toml", 0, 0, "x", "y"}) == "a.toml: expected x, found y");
}
