#include <acaciarail/workflow/command_window.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr std::size_t commandBytes = 1000;

} // namespace

BOOST_AUTO_TEST_SUITE(commandWindow)

struct WindowCase
{
    const char *name;
    /// Commands that are sent as far as the window allows in each round, and how many of each ten are answered.
    std::size_t commandsPerRound;
    std::size_t answeredOfTen;
    Duration elapsed;
    std::size_t minSize;
    std::size_t maxSize;
};

auto operator<<(std::ostream &out, const WindowCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<WindowCase> windowCases{
    {"all answered, and more waiting", 1000, 10, 20ms, 500'000, 4'194'304},
    {"all answered, but hardly any sent", 5, 10, 20ms, 32'768, 32'768},
    {"some workers do not respond", 60, 7, 20ms, 32'768, 4'194'304},
    {"responses that wait on the way", 1000, 10, 250ms, 4096, 8192},
    {"most commands get no response", 1000, 2, 300ms, 4096, 16'000},
};

// Guards against a window that stays too small for a fast link or too large for a slow one.
BOOST_DATA_TEST_CASE(theWindowFollowsTheResponses, data::make(windowCases), c)
{
    CommandWindow window({});
    TimePoint now{1h};
    for (int round = 0; round < 40; ++round) {
        std::size_t sent = 0;
        while (sent < c.commandsPerRound && window.hasRoom(commandBytes)) {
            window.sent(commandBytes);
            ++sent;
        }
        BOOST_TEST(window.inProgress() <= std::max(window.size(), commandBytes));
        now += c.elapsed;
        for (std::size_t i = 0; i < sent; ++i) {
            window.finished(commandBytes, i % 10 < c.answeredOfTen, c.elapsed, now);
        }
    }
    BOOST_TEST(window.inProgress() == 0U);
    BOOST_TEST(window.size() >= c.minSize);
    BOOST_TEST(window.size() <= c.maxSize);
}

// Guards against a window that never sends a command larger than itself.
BOOST_AUTO_TEST_CASE(oneCommandMayAlwaysBeSent)
{
    CommandWindow window({});
    BOOST_TEST(window.hasRoom(10'000'000));
    window.sent(10'000'000);
    BOOST_TEST(!window.hasRoom(1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
