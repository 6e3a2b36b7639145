#include <acaciarail/core.h>
#include <acaciarail/platform.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Platform;
namespace data = boost::unit_test::data;

namespace {

using RawEntry = std::tuple<std::uint64_t, std::string>;

template<typename... T>
auto pack(const T &...values) -> std::string
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::tuple<T...>(values...));
    return {buf.data(), buf.size()};
}

auto packRead(std::uint64_t earliest, std::uint64_t next, const std::vector<RawEntry> &entries) -> std::string
{
    return pack(earliest, next, entries);
}

struct AppendCase
{
    std::string body;
    AppendStatus status;

    friend auto operator<<(std::ostream &out, const AppendCase &c) -> std::ostream &
    {
        return out << c.body;
    }
};

const AppendCase appendCases[] = {
    {R"({"first":7,"next":9})", AppendStatus::Appended},
    {R"({"first":7,"next":9,"later":"field"})", AppendStatus::Appended},
    {R"({"first":7,"next":8})", AppendStatus::OutcomeUnknown},
    {R"({"first":9,"next":7})", AppendStatus::OutcomeUnknown},
    {R"({"first":-1,"next":1})", AppendStatus::OutcomeUnknown},
    {R"({"first":18446744073709551615,"next":1})", AppendStatus::OutcomeUnknown},
    {R"({"first":"7","next":"9"})", AppendStatus::OutcomeUnknown},
    {R"({"first":7})", AppendStatus::OutcomeUnknown},
    {R"([7,9])", AppendStatus::OutcomeUnknown},
    {R"({"first":7,"next":)", AppendStatus::OutcomeUnknown},
    {"", AppendStatus::OutcomeUnknown},
};

struct ReadCase
{
    std::string name;
    std::string body;
    ReadStatus status;

    friend auto operator<<(std::ostream &out, const ReadCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

/// Responses to a read from offset 5.
const ReadCase readCases[] = {
    {"two records", packRead(1, 9, {{5, "a"}, {6, "b"}}), ReadStatus::Ok},
    {"none yet", packRead(1, 5, {}), ReadStatus::Ok},
    {"surplus field", pack(1, 9, std::vector<RawEntry>{{5, "a"}}, 1), ReadStatus::Ok},
    {"gap", packRead(1, 9, {{5, "a"}, {7, "b"}}), ReadStatus::Failed},
    {"repeated", packRead(1, 9, {{5, "a"}, {5, "b"}}), ReadStatus::Failed},
    {"starts too late", packRead(1, 9, {{6, "a"}}), ReadStatus::Failed},
    {"past the end", packRead(1, 5, {{5, "a"}}), ReadStatus::Failed},
    {"earliest after next", packRead(9, 5, {}), ReadStatus::Failed},
    {"records missing", pack(1, 9), ReadStatus::Failed},
    {"records are a number", pack(1, 9, 3), ReadStatus::Failed},
    {"record is a number", pack(1, 9, std::vector<std::vector<int>>{{5, 1}}), ReadStatus::Failed},
    {"record without bytes", pack(1, 9, std::vector<std::vector<int>>{{5}}), ReadStatus::Failed},
    {"negative offset", pack(-1, 9, std::vector<RawEntry>{}), ReadStatus::Failed},
    {"truncated", packRead(1, 9, {{5, "record"}}).substr(0, 8), ReadStatus::Failed},
    {"surplus bytes", packRead(1, 9, {}) + "x", ReadStatus::Failed},
    {"huge declared array", std::string("\x93\x01\x09\xdd\xff\xff\xff\xff", 8), ReadStatus::Failed},
    {"huge declared record", std::string("\x93\x01\x09\x91\x92\x05\xc6\xff\xff\xff\xff", 11), ReadStatus::Failed},
    {"deep nesting", std::string(1000, '\x91'), ReadStatus::Failed},
    {"JSON", R"({"earliest":1})", ReadStatus::Failed},
    {"empty", "", ReadStatus::Failed},
};

auto validEntry(const char *kind) -> nlohmann::json
{
    return {{"name", std::string("the-") + kind},
            {"kind", kind},
            {"address", "127.0.0.1:4000"},
            {"region", "midwest"},
            {"zone", "midwest-a"},
            {"rack", "rack-1"},
            {"rack_position", 3},
            {"service", "retake"},
            {"state", "leaving"},
            {"accelerators", 8},
            {"cores", 32},
            {"memory_mib", 65536},
            {"slots", 8},
            {"connections", 64}};
}

struct FieldCase
{
    std::string kind;
    std::string field;
    /// JSON text of the value; the field is left out when empty.
    std::string value;

    friend auto operator<<(std::ostream &out, const FieldCase &c) -> std::ostream &
    {
        return out << c.kind << ' ' << c.field << ' ' << c.value;
    }
};

const FieldCase invalidFields[] = {
    {"worker", "name", ""},
    {"worker", "name", R"("")"},
    {"worker", "name", "7"},
    {"worker", "kind", ""},
    {"worker", "zone", "null"},
    {"worker", "rack", R"("")"},
    {"worker", "rack_position", "-1"},
    {"worker", "accelerators", "4294967296"},
    {"worker", "cores", "1.5"},
    {"worker", "memory_mib", R"("64")"},
    {"worker", "address", R"("localhost:80")"},
    {"worker", "address", R"("127.0.0.1:0")"},
    {"worker", "state", R"("tired")"},
    {"endpoint", "service", R"("")"},
    {"endpoint", "slots", "0"},
    {"endpoint", "connections", "0"},
    {"entry", "region", "[]"},
    {"entry", "address", "{}"},
};

/// Replaces or inserts some bytes, or cuts the end off.
auto corrupt(std::string bytes) -> std::string
{
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            bytes.resize(at);
            break;
        case 1:
            bytes.insert(at, 1, *rc::gen::arbitrary<char>());
            break;
        default:
            if (at < bytes.size()) {
                bytes[at] = *rc::gen::arbitrary<char>();
            }
        }
    }
    return bytes;
}

} // namespace

// Guards against an append that counts as done, or as not done, although the response does not say so.
BOOST_DATA_TEST_CASE(appendResponses, data::make(appendCases), c)
{
    const auto result = parseAppendResponse(c.body, 2);
    BOOST_TEST(appendStatusName(result.status) == appendStatusName(c.status));
    BOOST_TEST((c.status == AppendStatus::Appended) == (result.first == 7U && result.next == 9U));
    BOOST_TEST((c.status == AppendStatus::Appended || result.error == make_error_code(Error::MalformedInput)));
}

// Guards against records that are skipped or applied at a wrong offset, and against input that exhausts the memory.
BOOST_DATA_TEST_CASE(readResponses, data::make(readCases), c)
{
    const auto result = parseReadResponse(c.body, 5);
    BOOST_TEST(readStatusName(result.status) == readStatusName(c.status));
    BOOST_TEST((c.status == ReadStatus::Ok || result.error == make_error_code(Error::MalformedInput)));
    BOOST_TEST((c.status == ReadStatus::Ok || result.entries.empty()));
}

// Guards against fields of the list that are read under the wrong key.
BOOST_AUTO_TEST_CASE(listIsDividedByKind)
{
    const auto list = nlohmann::json::array({validEntry("entry"), validEntry("worker"), validEntry("endpoint"), validEntry("balancer")});
    const auto result = parseInstanceList(list.dump());
    BOOST_REQUIRE(result.list.has_value());
    BOOST_TEST(result.list->faults.empty());
    const RegionName region("midwest");
    const ZoneName zone("midwest-a");
    const std::string address = "127.0.0.1:4000";
    const InstanceInfo instance{InstanceName("the-entry"), region, zone, true, address};
    const ListedWorker worker{{WorkerName("the-worker"), region, zone, RackName("rack-1"), 3, {8, 32, 65536}, address}, true};
    const EndpointInfo endpoint{EndpointName("the-endpoint"), ServiceName("retake"), region, zone, 8, 64, true, address};
    BOOST_TEST((result.list->instances == std::vector{instance}));
    BOOST_TEST((result.list->workers == std::vector{worker}));
    BOOST_TEST((result.list->endpoints == std::vector{endpoint}));
}

// Guards against a faulty entry that is used, or that hides the entries next to it.
BOOST_DATA_TEST_CASE(malformedEntriesAreOmitted, data::make(invalidFields), c)
{
    auto faulty = validEntry(c.kind.c_str());
    faulty["name"] = "faulty";
    if (c.value.empty()) {
        faulty.erase(c.field);
    } else {
        faulty[c.field] = nlohmann::json::parse(c.value);
    }
    const auto result = parseInstanceList(nlohmann::json::array({faulty, validEntry("worker")}).dump());
    BOOST_REQUIRE(result.list.has_value());
    BOOST_REQUIRE(result.list->faults.size() == 1U);
    BOOST_TEST(result.list->faults[0].detail.find("entry 0: " + c.field + ": expected") != std::string::npos);
    BOOST_TEST(result.list->workers.size() == 1U);
    BOOST_TEST(result.list->workers[0].info.name == WorkerName("the-worker"));
    BOOST_TEST(result.list->endpoints.empty());
    BOOST_TEST(result.list->instances.empty());
}

// Guards against two entries with the same name, and against a response that is not a list but counts as an empty list.
BOOST_AUTO_TEST_CASE(repeatedNamesAndOtherContentAreFaults)
{
    const auto result = parseInstanceList(nlohmann::json::array({validEntry("worker"), validEntry("worker"), 7}).dump());
    BOOST_TEST(result.list->workers.size() == 1U);
    BOOST_TEST(result.list->faults.size() == 2U);
    for (const auto *text : {"", "{}", "[", "null", "[{\"name\":\"\xff\"}"}) {
        const auto other = parseInstanceList(text);
        BOOST_TEST(!other.list.has_value());
        BOOST_TEST((other.failure.error == Error::MalformedInput));
    }
}

// Guards against corrupted responses that crash a parser or result in records at wrong offsets.
BOOST_AUTO_TEST_CASE(corruptedResponsesAreSafe)
{
    const auto list = nlohmann::json::array({validEntry("worker"), validEntry("endpoint")}).dump();
    BOOST_TEST(rc::check("corrupted responses", [&list] {
        const auto read = parseReadResponse(corrupt(packRead(1, 9, {{5, "first"}, {6, "second"}, {7, "third"}})), 5);
        for (std::size_t i = 0; i < read.entries.size(); ++i) {
            RC_ASSERT(read.entries[i].offset == 5 + i);
        }
        const auto append = parseAppendResponse(corrupt(R"({"first":7,"next":9})"), 2);
        RC_ASSERT(append.status != AppendStatus::NotAppended);
        RC_ASSERT(append.status != AppendStatus::Appended || append.next - append.first == 2);
        const auto parsed = parseInstanceList(corrupt(list));
        RC_ASSERT(!parsed.list || parsed.list->workers.size() + parsed.list->endpoints.size() <= 2);
    }));
}
