#include <acaciarail/state.h>

#include <boost/test/unit_test.hpp>

using namespace Acaciarail;
using namespace Acaciarail::State;

namespace {

const TimePoint start{1h};

auto add(Outbox &outbox, TimePoint now) -> RecordId
{
    return outbox.add(CancelRequested{JobId("j"), CallerName("c")}, {}, now);
}

} // namespace

// Guards against more appends per second than the log accepts.
BOOST_AUTO_TEST_CASE(recordsAreGroupedIntoOneAppendEachInterval)
{
    Outbox outbox(1);
    std::size_t records = 0;
    for (auto now = start; now < start + 1s; now += 1ms) {
        add(outbox, now);
        const auto batch = outbox.nextBatch(now);
        records += batch.size();
        if (!batch.empty()) {
            outbox.appendSucceeded(now);
        }
    }
    BOOST_TEST(outbox.appendCount() <= 40U);
    BOOST_TEST(records + outbox.pendingCount() == 1000U);
}

// Guards against reporting an operation as not run although its record may be in the log.
BOOST_AUTO_TEST_CASE(onlyRecordsThatCannotBeInTheLogAreWithdrawn)
{
    Outbox outbox(1);
    const auto notAppended = add(outbox, start);
    BOOST_TEST(outbox.nextBatch(start).size() == 1U);
    BOOST_TEST(!outbox.withdraw(notAppended));
    outbox.appendFailed(AppendFailure::NotAppended, start);
    BOOST_TEST(outbox.withdraw(notAppended));

    const auto maybeAppended = add(outbox, start);
    BOOST_TEST(outbox.nextBatch(start + 1s).size() == 1U);
    outbox.appendFailed(AppendFailure::Unknown, start + 1s);
    BOOST_TEST(!outbox.withdraw(maybeAppended));
    BOOST_TEST(outbox.nextBatch(start + 2s).size() == 1U);
    outbox.appendFailed(AppendFailure::NotAppended, start + 2s);
    BOOST_TEST(!outbox.withdraw(maybeAppended));
}

// Guards against a failed log that counts as available, and against too many repeated appends.
BOOST_AUTO_TEST_CASE(failedAppendsBackOffAndMarkTheLogUnavailable)
{
    Outbox outbox(1);
    add(outbox, start);
    for (auto now = start; now < start + 10s; now += 1ms) {
        if (!outbox.nextBatch(now).empty()) {
            outbox.appendFailed(AppendFailure::Unknown, now);
        }
        BOOST_TEST(outbox.isLogAvailable(now) == (now < start + 1s));
    }
    BOOST_TEST(outbox.appendCount() <= 16U);
    BOOST_TEST(!outbox.nextBatch(start + 20s).empty());
    outbox.appendSucceeded(start + 20s);
    BOOST_TEST(outbox.isLogAvailable(start + 20s));
}
