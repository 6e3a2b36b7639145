#include "platform_control.h"
#include "platform_model.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Standins;
namespace data = boost::unit_test::data;

namespace {

const ZoneName zoneA("zone-a");
const ZoneName zoneB("zone-b");
constexpr TimePoint start{1h};

auto instance(const std::string &name, bool leaving = false) -> ListedInstance
{
    ListedInstance out;
    out.name = name;
    out.leaving = leaving;
    return out;
}

struct ModeCase
{
    std::string name;
    LogMode mode;
    bool cut;
    AnswerKind append;
    AnswerKind read;
    LogOffset end;

    friend auto operator<<(std::ostream &out, const ModeCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const ModeCase modeCases[] = {
    {"up", LogMode::Up, false, AnswerKind::Answered, AnswerKind::Answered, 3},
    {"down", LogMode::Down, false, AnswerKind::Unavailable, AnswerKind::Unavailable, 1},
    {"slow", LogMode::Slow, false, AnswerKind::Answered, AnswerKind::Answered, 3},
    {"lose answers", LogMode::LoseAnswers, false, AnswerKind::Lost, AnswerKind::Answered, 3},
    {"cut off", LogMode::Up, true, AnswerKind::Lost, AnswerKind::Lost, 1},
};

} // namespace

// Guards against a model that is more lenient than the platform: an append that is answered without effect, or one that is refused but
// takes effect.
BOOST_DATA_TEST_CASE(modesDecideEffectAndAnswer, data::make(modeCases), c)
{
    PlatformModel model;
    static_cast<void>(model.append({"a"}, zoneA));
    model.setMode(c.mode, 50ms);
    if (c.cut) {
        model.cutZone(zoneA);
    }
    const auto appended = model.append({"b", "c"}, zoneA);
    BOOST_TEST((appended.kind == c.append));
    BOOST_TEST((appended.delay == (c.mode == LogMode::Slow ? 50ms : 0ms)));
    BOOST_TEST((model.read(0, 10, zoneA).kind == c.read));
    BOOST_TEST(model.end() == c.end);
    model.setMode(LogMode::Up);
    BOOST_TEST((model.append({"d"}, zoneB).kind == AnswerKind::Answered));
    model.restoreZones();
    BOOST_TEST((model.append({"e"}, zoneA).first == c.end + 1));
}

// Guards against a model that removes repeated records. The platform keeps them, so the fold over the log must handle them.
BOOST_AUTO_TEST_CASE(repeatedRecordsAreKept)
{
    PlatformModel model;
    static_cast<void>(model.append({"same", "same"}, zoneA));
    static_cast<void>(model.append({"same"}, zoneA));
    const auto read = model.read(0, 10, zoneA);
    BOOST_TEST((read.entries == std::vector<LogEntry>{{0, "same"}, {1, "same"}, {2, "same"}}));
    BOOST_TEST(model.appends() == 2U);
}

// Guards against offsets that move when old records are discarded, and against reads past either end.
BOOST_AUTO_TEST_CASE(retentionKeepsOffsets)
{
    PlatformModel model;
    static_cast<void>(model.append({"a", "b", "c"}, zoneA));
    model.retainFrom(1);
    BOOST_TEST((model.read(0, 10, zoneA).kind == AnswerKind::NotRetained));
    BOOST_TEST(model.read(0, 10, zoneA).earliest == 1U);
    BOOST_TEST((model.read(1, 1, zoneA).entries == std::vector<LogEntry>{{1, "b"}}));
    BOOST_TEST(model.read(3, 10, zoneA).entries.empty());
    BOOST_TEST(model.read(1000, 10, zoneA).entries.empty());
    model.setRetention(2);
    BOOST_TEST(model.append({"d", "e", "f"}, zoneA).first == 3U);
    BOOST_TEST(model.earliest() == 4U);
    model.retainFrom(1'000'000);
    BOOST_TEST(model.earliest() == 6U);
    BOOST_TEST(model.append({"g"}, zoneA).first == 6U);
}

// Guards against answers larger than a reader accepts, and against a record that can never be read because it is large.
BOOST_AUTO_TEST_CASE(readsAreLimitedInBytes)
{
    PlatformModel model;
    static_cast<void>(model.append({std::string(maxReadBytes + 1, 'x'), "b", "c"}, zoneA));
    BOOST_TEST(model.read(0, 10, zoneA).entries.size() == 1U);
    BOOST_TEST(model.read(1, 10, zoneA).entries.size() == 2U);
}

// Guards against a list that shows changes earlier than the platform does.
BOOST_AUTO_TEST_CASE(listShowsChangesAfterTheLag)
{
    PlatformModel model;
    model.setListLag(3s);
    model.add(instance("a"), start);
    BOOST_TEST(model.list(zoneA, start + 2999ms)->empty());
    BOOST_TEST(model.list(zoneA, start + 3s)->size() == 1U);
    BOOST_TEST(model.setLeaving("a", true, start + 4s));
    BOOST_TEST(!model.setLeaving("unknown", true, start + 4s));
    BOOST_TEST(!model.list(zoneA, start + 6s)->at(0).leaving);
    BOOST_TEST(model.list(zoneA, start + 7s)->at(0).leaving);
    model.remove("a", start + 8s);
    BOOST_TEST(model.list(zoneA, start + 10s)->size() == 1U);
    BOOST_TEST(model.list(zoneA, start + 11s)->empty());
    model.cutZone(zoneA);
    BOOST_TEST(!model.list(zoneA, start + 11s).has_value());
    BOOST_TEST(model.list(zoneB, start + 11s).has_value());
}

struct ControlCase
{
    std::string body;
    bool valid;

    friend auto operator<<(std::ostream &out, const ControlCase &c) -> std::ostream &
    {
        return out << c.body;
    }
};

static const ControlCase controlCases[] = {
    {R"({})", true},
    {R"({"mode":"slow","delay_ms":20,"list_lag_ms":5,"retain_from":1,"retention":9})", true},
    {R"({"add":{"name":"w","kind":"worker","address":"127.0.0.1:1","region":"r","zone":"z"}})", true},
    {R"({"cut_zone":"zone-a"})", true},
    {R"({"heal_zone":""})", true},
    {R"({"set_state":{"name":"w","state":"leaving"}})", true},
    {R"([])", false},
    {R"({"mode":"down")", false},
    {R"({"mode":"sideways"})", false},
    {R"({"mode":"slow","delay_ms":-1})", false},
    {R"({"mode":"down","list_lag_ms":99999999999999999})", false},
    {R"({"mode":"down","add":{"name":"w","kind":"sofa","address":"x","region":"r","zone":"z"}})", false},
    {R"({"mode":"down","set_state":{"name":"w","state":"tired"}})", false},
    {R"({"mode":"down","set_state":7})", false},
    {R"({"mode":"down","add":7})", false},
};

// Guards against a test that relies on a fault that an invalid control request never injected, and against control requests that are
// applied in part.
BOOST_DATA_TEST_CASE(controlRequestIsAppliedInFullOrNotAtAll, data::make(controlCases), c)
{
    PlatformModel model;
    BOOST_TEST(applyControl(model, c.body, start).has_value() == !c.valid);
    BOOST_TEST((c.valid || model.append({"a"}, zoneA).kind == AnswerKind::Answered));
}
