#include <acaciarail/core/logging.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>

namespace Acaciarail::Tests {

namespace {

namespace data = boost::unit_test::data;

/// Reads everything that the pipe holds, without waiting for more.
auto readAll(int fd) -> std::string
{
    std::string out;
    std::array<char, 4096> buf{};
    for (auto n = ::read(fd, buf.data(), buf.size()); n > 0; n = ::read(fd, buf.data(), buf.size())) {
        out.append(buf.data(), static_cast<std::size_t>(n));
    }
    return out;
}

struct FloodCase
{
    const char *name;
    LogBudget budget;
    std::size_t lines;
    bool readerKeepsUp;
    /// Most lines that may be written.
    std::size_t atMost;
    bool dropsSome;
};

auto operator<<(std::ostream &out, const FloodCase &c) -> std::ostream &
{
    return out << c.name;
}

// At a rate of one line a second, the burst decides how many lines are written, as the flood takes less than a second.
const std::vector<FloodCase> floodCases{
    {"within the budget", {1, 100}, 50, true, 50, false},
    {"a flood beyond the budget", {1, 100}, 5000, true, 110, true},
    {"a reader that does not keep up", {1, 100'000}, 20'000, false, 2000, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(boundedLogging)

// Guards against a log that exceeds its budget, blocks on a slow reader, loses an error, or drops lines without saying how many.
BOOST_DATA_TEST_CASE(aFloodIsBoundedAndCounted, data::make(floodCases), c)
{
    std::array<int, 2> pipeEnds{};
    BOOST_REQUIRE(pipe2(pipeEnds.data(), O_NONBLOCK) == 0);
    configureBoundedLogging(LogLevel::Info, pipeEnds[1], c.budget);
    const auto droppedBefore = droppedLogLines();
    std::string output;
    for (std::size_t i = 0; i < c.lines; ++i) {
        logEvent(LogLevel::Info, "flood", {{"number", i}});
        if (c.readerKeepsUp) {
            output += readAll(pipeEnds[0]);
        }
    }
    output += readAll(pipeEnds[0]);
    logEvent(LogLevel::Error, "last", {});
    output += readAll(pipeEnds[0]);
    configureLogging(LogLevel::Error);
    close(pipeEnds[0]);
    close(pipeEnds[1]);

    const auto written = static_cast<std::size_t>(std::count(output.begin(), output.end(), '\n'));
    const auto dropped = droppedLogLines() - droppedBefore;
    BOOST_TEST(written <= c.atMost + 2);
    BOOST_TEST((dropped > 0) == c.dropsSome);
    BOOST_TEST((output.find("event=log-lines-dropped lines=" + std::to_string(dropped)) != std::string::npos) == c.dropsSome);
    BOOST_TEST(output.find("event=last") != std::string::npos);
    // Every line that was not counted as dropped was written whole.
    BOOST_TEST(written + dropped >= c.lines + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Tests
