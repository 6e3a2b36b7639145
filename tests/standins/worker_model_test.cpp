#include "worker_model.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::Standins;
using namespace Acaciarail::Worker;
namespace data = boost::unit_test::data;

namespace {

const Term oldTerm{1, 5};
const Term firstTerm{2, 1};
const Term nextTerm{2, 9};
constexpr Duration lease = 1s;
constexpr Duration ttl = 400ms;

auto workerSettings() -> WorkerModelSettings
{
    WorkerModelSettings settings;
    settings.info.name = WorkerName("worker-1");
    settings.info.capacity = {8, 32, 65536};
    return settings;
}

auto jobNamed(const std::string &id, Resources perTask = {1, 1, 1}) -> Job
{
    Job job;
    job.id = JobId(id);
    job.spec.shape.perTask = perTask;
    job.spec.checkpointable = true;
    return job;
}

/// Returns the only reply, which must be of type \a T.
template<typename T>
auto singleReply(const std::vector<Reply> &replies) -> T
{
    BOOST_REQUIRE(replies.size() == 1);
    BOOST_REQUIRE(std::holds_alternative<T>(replies[0]));
    return std::get<T>(replies[0]);
}

template<typename T>
auto count(const std::vector<Reply> &replies) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(replies.begin(), replies.end(), [](const Reply &r) { return std::holds_alternative<T>(r); }));
}

/// A worker and the commands of its holder in simulated time. Tasks run for 10 s.
struct Fixture
{
    Fixture()
    {
        attach(firstTerm);
    }

    auto attach(Term term) -> Attached
    {
        return singleReply<Attached>(send(Attach{term, lease}));
    }
    auto renew(Term term = firstTerm) -> std::vector<Reply>
    {
        return send(Renew{term, 1, lease, 60s});
    }
    auto reserve(const std::string &id, std::uint32_t tasks = 1, Term term = firstTerm) -> Reserved
    {
        return singleReply<Reserved>(send(Reserve{term, {JobId(id), 1}, jobNamed(id), tasks, {{WorkerName("worker-1"), tasks}}, ttl}));
    }
    auto start(const std::string &id, Term term = firstTerm) -> Started
    {
        return singleReply<Started>(send(Start{term, {JobId(id), 1}, 2s}));
    }
    auto confirm(const std::string &id, Term term = firstTerm) -> std::vector<Reply>
    {
        return send(Confirm{term, {JobId(id), 1}});
    }
    auto stop(const std::string &id, Term term = firstTerm) -> std::vector<Reply>
    {
        return send(Stop{term, {JobId(id), 1}});
    }
    auto startAndConfirm(const std::string &id) -> void
    {
        BOOST_REQUIRE(reserve(id).granted);
        BOOST_REQUIRE(start(id).started);
        singleReply<Confirmed>(confirm(id));
    }
    auto send(const Request &request) -> std::vector<Reply>
    {
        return model.handle(request, now);
    }
    auto advance(Duration d) -> std::vector<Reply>
    {
        now += d;
        return model.tick(now);
    }
    /// Advances the time while the holder renews its lease.
    auto advanceWithLease(Duration d) -> std::vector<Reply>
    {
        std::vector<Reply> out;
        for (const auto until = now + d; now < until;) {
            renew(model.term());
            const auto sent = advance(std::min<Duration>(500ms, until - now));
            out.insert(out.end(), sent.begin(), sent.end());
        }
        return out;
    }

    bool fails = false;
    TimePoint now{1h};
    WorkerModel model{workerSettings(), [this](const AttemptReport &, std::uint32_t) { return TaskPlan{10s, fails}; }, now};
};

struct AttachCase
{
    std::string name;
    Duration after;
    bool released;
    Term term;
    bool granted;

    friend auto operator<<(std::ostream &out, const AttachCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const AttachCase attachCases[] = {
    {"higher during the lease", 999ms, false, nextTerm, false}, {"higher after the lease", 1s, false, nextTerm, true},
    {"higher after a release", 0s, true, nextTerm, true},       {"same during the lease", 500ms, false, firstTerm, true},
    {"same after the lease", 5s, false, firstTerm, true},       {"same after a release", 0s, true, firstTerm, false},
    {"lower after the lease", 5s, false, oldTerm, false},       {"lower after a release", 0s, true, oldTerm, false},
};

} // namespace

// Guards against two holders of one worker, and against a holder that can never take over.
BOOST_DATA_TEST_CASE(leaseIsGrantedToOneHolder, data::make(attachCases), c)
{
    Fixture f;
    f.advance(c.after);
    if (c.released) {
        BOOST_TEST(f.send(Release{firstTerm}).empty());
    }
    const auto reply = f.attach(c.term);
    BOOST_TEST(reply.granted == c.granted);
    BOOST_TEST((f.model.term() == (c.granted ? c.term : firstTerm)));
    BOOST_TEST((c.granted || reply.retryAfter == (c.released ? 0s : std::max<Duration>(lease - c.after, 0s))));
    BOOST_TEST((reply.term == f.model.term()));
}

struct StaleCase
{
    std::string name;
    Request request;

    friend auto operator<<(std::ostream &out, const StaleCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

static const AttemptId runningId{JobId("running"), 1};
static const StaleCase staleCases[] = {
    {"renew", Renew{oldTerm, 1, lease, 60s}},
    {"reserve", Reserve{oldTerm, {JobId("other"), 1}, jobNamed("other"), 1, {}, ttl}},
    {"start", Start{oldTerm, runningId, 2s}},
    {"confirm", Confirm{oldTerm, runningId}},
    {"checkpoint", Checkpoint{oldTerm, runningId, 1s}},
    {"throttle", Throttle{oldTerm, runningId, 1}},
    {"stop", Stop{oldTerm, runningId}},
    {"acknowledge", Acknowledge{oldTerm, runningId}},
    {"release", Release{oldTerm}},
};

// Guards against a paused holder whose late commands still have an effect.
BOOST_DATA_TEST_CASE(commandsOfALowerTermHaveNoEffect, data::make(staleCases), c)
{
    Fixture f;
    f.startAndConfirm("running");
    const auto before = encode(f.model.attempts(f.now));
    const auto replies = f.send(c.request);
    BOOST_REQUIRE(replies.size() == 1U);
    const auto error = std::visit(
        []<typename T>(const T &r) {
            if constexpr (requires { r.error; }) {
                return r.error;
            }
            return Error::Ok;
        },
        replies[0]);
    BOOST_TEST((error == Error::StaleTerm));
    BOOST_TEST(encode(f.model.attempts(f.now)) == before);
    BOOST_TEST(f.model.isLeased(f.now));
    BOOST_TEST(f.advance(200ms).empty());
}

struct ReserveCase
{
    std::string name;
    Resources perTask;
    std::uint32_t tasks;
    Error error;

    friend auto operator<<(std::ostream &out, const ReserveCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

static const ReserveCase reserveCases[] = {
    {"fits exactly", {1, 4, 8192}, 5, Error::Ok},
    {"accelerators are taken", {1, 1, 1}, 6, Error::CapacityTaken},
    {"cores are taken", {0, 30, 1}, 1, Error::CapacityTaken},
    {"larger than the worker", {1, 1, 1}, 9, Error::NeverFits},
    {"no tasks", {1, 1, 1}, 0, Error::NeverFits},
    {"overflow", {2, 0x80000000U, 0x80000000U}, 0x80000000U, Error::NeverFits},
};

// Guards against capacity that is reserved twice, also because of an integer overflow.
BOOST_DATA_TEST_CASE(capacityIsNeverExceeded, data::make(reserveCases), c)
{
    Fixture f;
    BOOST_REQUIRE(f.reserve("first", 3).granted);
    const auto reply =
        singleReply<Reserved>(f.send(Reserve{firstTerm, {JobId("second"), 1}, jobNamed("second", c.perTask), c.tasks, {}, ttl}));
    BOOST_TEST((reply.error == c.error));
    BOOST_TEST(reply.granted == (c.error == Error::Ok));
    BOOST_TEST(f.model.used().accelerators <= 8U);
    BOOST_TEST(f.model.used().cores <= 32U);
}

// Guards against a start after the reservation expired, and against a reservation that cannot be extended or made again.
BOOST_AUTO_TEST_CASE(startNeedsAnUnexpiredReservation)
{
    Fixture f;
    BOOST_TEST((f.start("never-reserved").error == Error::LeaseExpired));
    BOOST_TEST(f.reserve("a").granted);
    f.advance(300ms);
    BOOST_TEST(f.reserve("a").granted);
    f.advance(399ms);
    BOOST_TEST(f.model.used().accelerators == 1U);
    f.advance(1ms);
    BOOST_TEST((f.start("a").error == Error::LeaseExpired));
    BOOST_TEST(f.model.used().accelerators == 0U);
    BOOST_TEST(f.reserve("a").granted);
    BOOST_TEST(f.start("a").started);
    BOOST_TEST(f.model.startsOf({JobId("a"), 1}) == 1U);
}

// Guards against reservations without a lease, and against a start with the reservation of a replaced holder.
BOOST_AUTO_TEST_CASE(replacedHolderCannotReserveOrStart)
{
    Fixture f;
    f.advance(900ms);
    BOOST_TEST(f.reserve("a").granted);
    f.advance(100ms);
    BOOST_TEST((f.reserve("b").error == Error::LeaseExpired));
    BOOST_TEST(f.attach(nextTerm).attempts.empty());
    BOOST_TEST((f.start("a").error == Error::StaleTerm));
    BOOST_TEST((f.start("a", nextTerm).error == Error::LeaseExpired));
    BOOST_TEST((f.reserve("c", 1, Term{9, 9}).error == Error::LeaseExpired));
}

// Guards against a part of a gang that keeps running because its holder crashed between start and confirm.
BOOST_AUTO_TEST_CASE(unconfirmedAttemptStops)
{
    Fixture f;
    BOOST_TEST(f.reserve("a").granted);
    BOOST_TEST(f.start("a").started);
    f.advance(1999ms);
    BOOST_TEST(f.start("a").started);
    BOOST_TEST(f.model.used().accelerators == 1U);
    const auto sent = f.advance(1ms);
    BOOST_TEST((singleReply<Ended>(sent).end.kind == AttemptEndKind::Stopped));
    BOOST_TEST(f.model.used().accelerators == 0U);
    BOOST_TEST((singleReply<Ended>(f.confirm("a")).end.kind == AttemptEndKind::Stopped));
}

// Guards against tasks that keep running without a holder, and against tasks that end while there is one.
BOOST_AUTO_TEST_CASE(taskLeaseEndsOnlyTasksWithoutHolder)
{
    Fixture f;
    f.startAndConfirm("a");
    f.send(Renew{firstTerm, 1, lease, 3s});
    BOOST_TEST(count<Ended>(f.advance(2999ms)) == 0U);
    f.send(Renew{firstTerm, 2, lease, 3s});
    BOOST_TEST(count<Ended>(f.advance(2999ms)) == 0U);
    f.advance(1ms);
    const auto attempts = f.model.attempts(f.now);
    BOOST_REQUIRE(attempts.size() == 1U);
    BOOST_TEST((attempts[0].end.kind == AttemptEndKind::Lost));
}

// Guards against attempts that are lost when the holder changes, and against a new holder that cannot control them.
BOOST_AUTO_TEST_CASE(attemptsSurviveAChangeOfHolder)
{
    Fixture f;
    f.startAndConfirm("running");
    BOOST_TEST(f.reserve("unconfirmed").granted);
    BOOST_TEST(f.start("unconfirmed").started);
    f.advance(1s);
    const auto attached = f.attach(nextTerm);
    BOOST_REQUIRE(attached.attempts.size() == 2U);
    BOOST_TEST((attached.attempts[0].state == AttemptState::Running));
    BOOST_TEST((attached.attempts[0].age == 1s));
    BOOST_TEST((attached.attempts[0].members == std::vector<GangMember>{{WorkerName("worker-1"), 1}}));
    BOOST_TEST((attached.attempts[1].state == AttemptState::Unconfirmed));
    singleReply<Confirmed>(f.confirm("unconfirmed", nextTerm));
    const auto sent = f.advanceWithLease(10s);
    BOOST_TEST((f.model.attempts(f.now).at(0).end.kind == AttemptEndKind::Succeeded));
    BOOST_TEST(count<Ended>(sent) >= 2U);
}

struct EndCase
{
    std::string name;
    bool fails;
    AttemptEndKind kind;

    friend auto operator<<(std::ostream &out, const EndCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

static const EndCase endCases[] = {
    {"succeeds", false, AttemptEndKind::Succeeded},
    {"fails", true, AttemptEndKind::Failed},
};

// Guards against an end that is lost because it is reported only once, and against one that is still reported after its acknowledgement.
BOOST_DATA_TEST_CASE(endIsRepeatedUntilAcknowledged, data::make(endCases), c)
{
    Fixture f;
    f.fails = c.fails;
    f.startAndConfirm("a");
    BOOST_TEST(count<Ended>(f.advanceWithLease(9999ms)) == 0U);
    const auto sent = f.advance(1ms);
    BOOST_REQUIRE(count<Ended>(sent) == 1U);
    BOOST_TEST((std::get<Ended>(sent.front()).end.kind == c.kind));
    BOOST_TEST(count<Ended>(f.advanceWithLease(3s)) == 3U);
    BOOST_TEST(f.send(Acknowledge{firstTerm, {JobId("a"), 1}}).empty());
    BOOST_TEST(f.send(Acknowledge{firstTerm, {JobId("a"), 1}}).empty());
    BOOST_TEST(count<Ended>(f.advanceWithLease(10s)) == 0U);
    BOOST_TEST(f.model.attempts(f.now).empty());
    // Late duplicates are answered with the end, and start nothing.
    BOOST_TEST((singleReply<Ended>(f.stop("a")).end.kind == c.kind));
    BOOST_TEST((f.reserve("a").error == Error::Cancelled));
    BOOST_TEST((f.start("a").error == Error::Cancelled));
    BOOST_TEST(f.model.startsOf({JobId("a"), 1}) == 1U);
}

// Guards against a reservation or start that arrives after the stop that cancelled it and still takes effect.
BOOST_AUTO_TEST_CASE(lateReservationAfterStopIsRefused)
{
    Fixture f;
    BOOST_TEST((singleReply<Ended>(f.stop("a")).end.kind == AttemptEndKind::NotStarted));
    BOOST_TEST((f.reserve("a").error == Error::Cancelled));
    BOOST_TEST((f.start("a").error == Error::Cancelled));
    BOOST_TEST(f.reserve("b").granted);
    BOOST_TEST((singleReply<Ended>(f.stop("b")).end.kind == AttemptEndKind::NotStarted));
    BOOST_TEST((f.start("b").error == Error::Cancelled));
    f.startAndConfirm("c");
    BOOST_TEST((singleReply<Ended>(f.stop("c")).end.kind == AttemptEndKind::Stopped));
    BOOST_TEST((singleReply<Ended>(f.stop("c")).end.kind == AttemptEndKind::Stopped));
    BOOST_TEST((singleReply<Ended>(f.send(Confirm{firstTerm, {JobId("unknown"), 1}})).end.kind == AttemptEndKind::Lost));
}

// Guards against an ended attempt that keeps its capacity until it is acknowledged.
BOOST_AUTO_TEST_CASE(endedAttemptsHoldNoCapacity)
{
    Fixture f;
    BOOST_TEST(f.reserve("a", 8).granted);
    BOOST_TEST(f.start("a").started);
    BOOST_TEST((f.reserve("b", 1).error == Error::CapacityTaken));
    BOOST_TEST(f.stop("a").size() == 1U);
    BOOST_TEST(f.model.used().accelerators == 0U);
    BOOST_TEST(f.reserve("b", 8).granted);
}

// Guards against a checkpoint that is not answered, or that the end of a stopped attempt does not report.
BOOST_AUTO_TEST_CASE(endReportsCheckpoint)
{
    Fixture f;
    f.startAndConfirm("a");
    BOOST_TEST(f.send(Checkpoint{firstTerm, {JobId("a"), 1}, 1s}).empty());
    BOOST_TEST(f.send(Checkpoint{firstTerm, {JobId("a"), 1}, 1s}).empty());
    BOOST_TEST(f.advance(99ms).empty());
    singleReply<Checkpointed>(f.advance(1ms));
    BOOST_TEST(singleReply<Ended>(f.stop("a")).end.checkpointed);
}

// Guards against a throttled task that loses its earlier progress, and against a division by zero at a limit of zero.
BOOST_AUTO_TEST_CASE(throttleAppliesToRemainingRunTime)
{
    Fixture f;
    f.startAndConfirm("a");
    f.advanceWithLease(5s);
    BOOST_TEST(f.send(Throttle{firstTerm, {JobId("a"), 1}, 50}).empty());
    BOOST_TEST(count<Ended>(f.advanceWithLease(9999ms)) == 0U);
    BOOST_TEST(count<Ended>(f.advance(1ms)) == 1U);
    f.startAndConfirm("b");
    BOOST_TEST(f.send(Throttle{firstTerm, {JobId("b"), 1}, 0}).empty());
    BOOST_TEST((f.model.nextDeadline() > f.now));
}

// Guards against usage that is reported as if it were measured at the moment of the report.
BOOST_AUTO_TEST_CASE(reportsCarryLaggingUsage)
{
    Fixture f;
    f.advanceWithLease(3s);
    f.startAndConfirm("a");
    const auto sent = f.advanceWithLease(2s);
    BOOST_REQUIRE(count<Report>(sent) == 1U);
    const auto report = std::get<Report>(sent.back());
    BOOST_TEST(report.running.size() == 1U);
    BOOST_TEST(report.usage.used.accelerators == 0U);
    BOOST_TEST((report.usage.lag == 2s));
}

// Guards against a restarted worker that grants a lease while the one from before the restart may still be in force.
BOOST_AUTO_TEST_CASE(restartDiscardsAttemptsAndWaitsForThePreviousLease)
{
    Fixture f;
    f.startAndConfirm("a");
    f.model.restart(f.now);
    BOOST_TEST(!f.attach(nextTerm).granted);
    f.advance(10s);
    const auto attached = f.attach(nextTerm);
    BOOST_TEST(attached.granted);
    BOOST_TEST(attached.attempts.empty());
}

namespace {

auto randomDuration() -> rc::Gen<Duration>
{
    return rc::gen::map(rc::gen::weightedOneOf<std::int64_t>({{20, rc::gen::inRange<std::int64_t>(0, 3'000'000)},
                                                              {1, rc::gen::just(std::numeric_limits<std::int64_t>::max())},
                                                              {1, rc::gen::just(std::numeric_limits<std::int64_t>::min())}}),
                        [](std::int64_t n) { return Duration(n); });
}

auto randomRequest() -> Request
{
    const Term term{*rc::gen::inRange<std::uint64_t>(0, 4), *rc::gen::inRange<std::uint64_t>(0, 2)};
    const AttemptId id{JobId("job-" + std::to_string(*rc::gen::inRange(0, 6))), *rc::gen::inRange<std::uint32_t>(1, 3)};
    const auto duration = *randomDuration();
    switch (*rc::gen::weightedElement<int>({{3, 0}, {4, 1}, {8, 2}, {8, 3}, {6, 4}, {2, 5}, {2, 6}, {2, 7}, {2, 8}, {1, 9}})) {
    case 0:
        return Attach{term, duration};
    case 1:
        return Renew{term, 0, duration, *randomDuration()};
    case 2: {
        const auto tasks =
            *rc::gen::weightedOneOf<std::uint32_t>({{9, rc::gen::inRange(0U, 6U)}, {1, rc::gen::arbitrary<std::uint32_t>()}});
        return Reserve{term, id, jobNamed(id.job.str(), {1, 4, 100}), tasks, {}, duration};
    }
    case 3:
        return Start{term, id, duration};
    case 4:
        return Confirm{term, id};
    case 5:
        return Checkpoint{term, id, duration};
    case 6:
        return Throttle{term, id, *rc::gen::arbitrary<std::uint32_t>()};
    case 7:
        return Stop{term, id};
    case 8:
        return Acknowledge{term, id};
    default:
        return Release{term};
    }
}

auto checkInvariants(const WorkerModel &model, TimePoint now) -> void
{
    RC_ASSERT(model.used().accelerators <= 8U);
    RC_ASSERT(model.used().cores <= 32U);
    for (const auto &it : model.attempts(now)) {
        RC_ASSERT(it.state == AttemptState::Reserved || model.startsOf(it.id) <= 1U);
    }
}

} // namespace

// Guards against any order, repetition or delay of messages that exceeds the capacity, starts an attempt twice, gives an
// unexpired lease to another holder, or lowers the term.
BOOST_AUTO_TEST_CASE(invariantsHoldForAnySequenceOfMessages)
{
    BOOST_TEST(rc::check("worker invariants", [] {
        TimePoint now{1h};
        WorkerModel model(
            workerSettings(),
            [](const AttemptReport &, std::uint32_t) {
                return TaskPlan{2s, false};
            },
            now);
        std::vector<Request> sent;
        const auto steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            const auto repeat = !sent.empty() && *rc::gen::inRange(0, 4) == 0;
            const auto request = repeat ? *rc::gen::elementOf(sent) : randomRequest();
            sent.push_back(request);
            const auto term = model.term();
            const auto leased = model.isLeased(now);
            static_cast<void>(model.handle(request, now));
            RC_ASSERT(model.term() >= term);
            RC_ASSERT(model.term() == term || !leased);
            checkInvariants(model, now);
            now += std::chrono::milliseconds(*rc::gen::weightedOneOf<int>({{6, rc::gen::just(0)}, {3, rc::gen::inRange(0, 600)}}));
            static_cast<void>(model.tick(now));
            RC_ASSERT(model.nextDeadline() > now);
            checkInvariants(model, now);
        }
    }));
}
