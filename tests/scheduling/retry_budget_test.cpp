#include <acaciarail/scheduling/retry_budget.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>

using namespace Acaciarail;
using namespace Acaciarail::Scheduling;
namespace data = boost::unit_test::data;

namespace {

struct BudgetCase
{
    double ratio;
    int firstAttempts;

    friend auto operator<<(std::ostream &out, const BudgetCase &c) -> std::ostream &
    {
        return out << c.ratio << " of " << c.firstAttempts;
    }
};

const BudgetCase budgetCases[] = {{0.1, 0}, {0.1, 10}, {0.1, 31}, {0.1, 1000}, {0.1, 100'000}, {0.0, 1000}, {0.5, 77}};

struct DelayCase
{
    std::uint32_t failures;
    Duration least;
    Duration most;

    friend auto operator<<(std::ostream &out, const DelayCase &c) -> std::ostream &
    {
        return out << c.failures;
    }
};

const DelayCase delayCases[] = {{1, 5ms, 10ms}, {2, 10ms, 20ms}, {5, 80ms, 160ms}, {7, 250ms, 500ms}, {4'000'000'000, 250ms, 500ms}};

struct BytesCase
{
    std::uint64_t rate;
    std::uint64_t size;
    Duration interval;
    int sent;

    friend auto operator<<(std::ostream &out, const BytesCase &c) -> std::ostream &
    {
        return out << c.rate << " B/s, requests of " << c.size;
    }
};

/// The expected value is the number of requests sent within ten seconds.
const BytesCase bytesCases[] = {
    {1000, 100, 10ms, 110},
    {1000, 100, 1s, 11},
    {1000, 5000, 100ms, 3},
    {0, 1, 10ms, 0},
};

} // namespace

// Guards against extra attempts that multiply the load when most attempts fail.
BOOST_DATA_TEST_CASE(extraAttemptsStayWithinTheRatio, data::make(budgetCases), c)
{
    RetryBudget budget(c.ratio);
    int extra = 0;
    for (int n = 0; n <= c.firstAttempts; ++n) {
        while (budget.tryTake()) {
            ++extra;
            BOOST_REQUIRE(extra <= std::max(initialRetries, c.ratio * n + 1e-6));
        }
        budget.firstAttempt();
    }
    BOOST_TEST(extra >= std::floor(c.ratio * c.firstAttempts));
}

// Guards against a long period without failures that saves enough tokens for a retry storm.
BOOST_AUTO_TEST_CASE(savedTokensAreBounded)
{
    RetryBudget budget(0.1);
    for (int n = 0; n < 1'000'000; ++n) {
        budget.firstAttempt();
    }
    int extra = 0;
    while (budget.tryTake()) {
        ++extra;
    }
    BOOST_TEST(extra == static_cast<int>(maxSavedRetries));
}

// Guards against delays that overflow, and against all callers retrying at the same time.
BOOST_DATA_TEST_CASE(retryDelayIsBoundedAndSpread, data::make(delayCases), c)
{
    std::mt19937_64 random(7);
    auto least = Duration::max();
    auto most = Duration::min();
    for (int n = 0; n < 1000; ++n) {
        const auto delay = retryDelay(c.failures, 10ms, 500ms, random);
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    BOOST_TEST((least >= c.least && most <= c.most));
    BOOST_TEST((most - least > (c.most - c.least) / 2));
}

// Guards against traffic to other regions above the byte budget, and against a large request that can never be sent.
BOOST_DATA_TEST_CASE(bytesStayWithinTheRate, data::make(bytesCases), c)
{
    ByteBudget budget(c.rate);
    int sent = 0;
    for (Duration t{}; t <= 10s; t += c.interval) {
        sent += budget.tryTake(c.size, TimePoint(t)) ? 1 : 0;
    }
    BOOST_TEST(sent == c.sent);
}
