#include "store_client.h"
#include "worker_client.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <string>

namespace Acaciarail::Adapter::Tests {

namespace {

namespace data = boost::unit_test::data;
using Workflow::AppendStatus;
using Workflow::StartOutcome;

auto offset(std::uint64_t n) -> std::string
{
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8) {
        out += static_cast<char>((n >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(storeClient)

struct ReadCase
{
    const char *name;
    std::string body;
    Workflow::ReadStatus status;
    std::vector<Workflow::KeyedRecord> records;
};

auto operator<<(std::ostream &out, const ReadCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<ReadCase> readCases{
    {"two records", offset(9) + offset(0) + encodeRecords({{"a", "1"}, {"b", ""}}), Workflow::ReadStatus::Ok, {{"a", "1"}, {"b", ""}}},
    {"none", offset(9) + offset(0), Workflow::ReadStatus::Ok, {}},
    {"an empty record", offset(9) + offset(0) + std::string(4, '\0'), Workflow::ReadStatus::Ok, {{"", ""}}},
    {"a key longer than its record", offset(9) + offset(0) + std::string("\0\0\0\x02\xffz", 6), Workflow::ReadStatus::Ok, {{"", ""}}},
    {"cut off in a record", offset(9) + offset(0) + encodeRecords({{"a", "1"}}).substr(0, 5), Workflow::ReadStatus::Ok, {}},
    {"cut off in the offsets", "abc", Workflow::ReadStatus::Failed, {}},
};

// Guards against damaged or truncated records that are treated as whole ones, or that hide the records before them.
BOOST_DATA_TEST_CASE(readsAreDecoded, data::make(readCases), c)
{
    const auto result = decodeRead(c.body, 7);
    BOOST_TEST((result.status == c.status));
    BOOST_TEST((result.records == c.records));
    if (c.status == Workflow::ReadStatus::Ok) {
        BOOST_TEST((result.first == 7 && result.end == 9));
    }
}

struct AppendCase
{
    int status;
    std::string body;
    AppendStatus expected;
    std::uint64_t sequence;
};

auto operator<<(std::ostream &out, const AppendCase &c) -> std::ostream &
{
    return out << c.status << ' ' << c.body;
}

const std::vector<AppendCase> appendCases{
    {200, R"({"offset":840,"end":842})", AppendStatus::Stored, 0},
    {409, R"({"reason":"fenced"})", AppendStatus::Fenced, 0},
    {409, R"({"reason":"seq","sequence":12})", AppendStatus::OutOfSequence, 12},
    {412, R"({"end":5})", AppendStatus::Conflict, 0},
    {429, "", AppendStatus::Refused, 0},
    {503, "", AppendStatus::Refused, 0},
    {507, "", AppendStatus::Refused, 0},
    {500, "", AppendStatus::Unknown, 0},
    {502, "", AppendStatus::Unknown, 0},
    {504, "", AppendStatus::Unknown, 0},
};

// Guards against reporting an append as refused that the store may have carried out.
BOOST_DATA_TEST_CASE(onlyARefusalByTheStoreProvesThatNothingWasStored, data::make(appendCases), c)
{
    const auto result = decodeAppend(c.status, c.body);
    BOOST_TEST((result.status == c.expected));
    BOOST_TEST(result.expectedSequence == c.sequence);
}

// Guards against altered binary values, and against one malformed item that makes the whole page unusable.
BOOST_AUTO_TEST_CASE(aPageOfNewestRecordsIsDecoded)
{
    const auto page = decodeNewest(R"({"items":[{"key":"k","value":"AAEC/w==","offset":4},{"key":"empty","value":"","offset":5},{"odd":1}],
        "hasMore":true,"end":6})");
    BOOST_TEST((page.ok && page.hasMore && page.end == 6));
    BOOST_REQUIRE(page.records.size() == 2U);
    BOOST_TEST(page.records[0].value == std::string("\x00\x01\x02\xff", 4));
    BOOST_TEST(!decodeNewest("[]").ok);
}

struct PageCase
{
    const char *name;
    std::string items;
    bool hasMore;
    bool ok;
    std::size_t keysWithValue;
};

auto operator<<(std::ostream &out, const PageCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<PageCase> pageCases{
    {"no items", "", false, true, 0},
    {"a removed key", R"({"key":"k","value":null})", false, true, 0},
    {"a value that is not base64", R"({"key":"k","value":"%%%"})", false, true, 1},
    {"a value of another type", R"({"key":"k","value":7})", false, true, 1},
    {"more items follow, none can be decoded", R"({"odd":1})", true, false, 0},
};

// Guards against keys that seem removed because a part of the topic could not be read.
BOOST_DATA_TEST_CASE(aDamagedPageRemovesNoKeys, data::make(pageCases), c)
{
    const auto page = decodeNewest(R"({"items":[)" + c.items + R"(],"hasMore":)" + (c.hasMore ? "true" : "false") + R"(,"end":6})");
    BOOST_TEST(page.ok == c.ok);
    BOOST_TEST(std::count_if(page.records.begin(), page.records.end(), [](const auto &r) { return !r.value.empty(); })
               == static_cast<std::ptrdiff_t>(c.keysWithValue));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(workerClient)

struct StartCase
{
    int status;
    std::string body;
    bool failed;
    bool maybeSent;
    StartOutcome expected;
};

auto operator<<(std::ostream &out, const StartCase &c) -> std::ostream &
{
    return out << c.status << ' ' << c.body;
}

const std::vector<StartCase> startCases{
    {200, "{}", false, true, StartOutcome::Started},
    {400, "", false, true, StartOutcome::Invalid},
    {409, R"({"reason":"fence"})", false, true, StartOutcome::Fenced},
    {409, R"({"reason":"old"})", false, true, StartOutcome::Superseded},
    {409, R"({"reason":"late"})", false, true, StartOutcome::Late},
    {409, R"({"reason":"room"})", false, true, StartOutcome::InsufficientCapacity},
    {421, "", false, true, StartOutcome::OtherIncarnation},
    {429, "", false, true, StartOutcome::Declined},
    {503, "", false, true, StartOutcome::Declined},
    {502, "", false, true, StartOutcome::Unknown},
    {0, "", true, true, StartOutcome::Unknown},
    {0, "", true, false, StartOutcome::Declined},
};

// Guards against treating a run that may have started as one that has not.
BOOST_DATA_TEST_CASE(responsesToAStartAreMappedToOutcomes, data::make(startCases), c)
{
    const Runtime::HttpResult http{c.failed ? make_error_code(Error::Timeout) : std::error_code(), c.maybeSent, c.status, c.body};
    BOOST_TEST((startOutcome(http) == c.expected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Adapter::Tests
