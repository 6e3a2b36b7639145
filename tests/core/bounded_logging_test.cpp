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

/// Reads what a pipe holds at the moment.
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

// A rate of one a second makes the burst the bound, as the flood takes less than a second.
const std::vector<FloodCase> floodCases{
    {"within the budget", {1, 100}, 50, true, 50, false},
    {"a flood beyond the budget", {1, 100}, 5000, true, 110, true},
    {"a reader that does not keep up", {1, 100'000}, 20'000, false, 2000, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(boundedLogging)

BOOST_DATA_TEST_CASE(aFloodIsBoundedAndCounted, data::make(floodCases), c)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(pipe2(ends.data(), O_NONBLOCK) == 0);
    configureBoundedLogging(LogLevel::Info, ends[1], c.budget);
    const auto before = droppedLogLines();
    std::string seen;
    for (std::size_t i = 0; i < c.lines; ++i) {
        logEvent(LogLevel::Info, "flood", {{"number", i}});
        if (c.readerKeepsUp) {
            seen += readAll(ends[0]);
        }
    }
    seen += readAll(ends[0]);
    logEvent(LogLevel::Error, "last", {});
    seen += readAll(ends[0]);
    configureLogging(LogLevel::Error);
    close(ends[0]);
    close(ends[1]);

    const auto written = static_cast<std::size_t>(std::count(seen.begin(), seen.end(), '\n'));
    const auto left = droppedLogLines() - before;
    BOOST_TEST(written <= c.atMost + 2);
    BOOST_TEST((left > 0) == c.dropsSome);
    BOOST_TEST((seen.find("event=log-lines-dropped lines=" + std::to_string(left)) != std::string::npos) == c.dropsSome);
    BOOST_TEST(seen.find("event=last") != std::string::npos);
    // Every line that was not counted as left out arrived whole.
    BOOST_TEST(written + left >= c.lines + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Tests
