#include "ledger.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>

namespace Acaciarail::Soak::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr const char *job = "00000000000000aa";
constexpr const char *task = "00000000000000aa.0.0.0";
constexpr const char *secondStep = "00000000000000aa.0.1.0";

auto run(std::uint32_t number, const char *worker, const char *name = task) -> RunSeen
{
    return {worker, name, number, "payload", {}};
}

auto accept(Ledger &ledger) -> void
{
    ledger.submitAnswered(job, 200);
}

/// An attempt to submit the job had no answer, so that it may run and owes nothing.
auto leaveOpen(Ledger &ledger) -> void
{
    ledger.submitAnswered(job, 0);
}

/// Runs a task to its end and acknowledges that.
auto finish(Ledger &ledger, const RunSeen &seen, const char *how) -> void
{
    ledger.runBegan(seen);
    ledger.runOver(seen, how, {});
    ledger.endNoted(seen, how);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger)

struct PromiseCase
{
    const char *name;
    std::size_t violations;
    std::function<void(Ledger &)> happens;
};

auto operator<<(std::ostream &out, const PromiseCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<PromiseCase> promiseCases{
    {"a job that runs and completes", 0,
     [](Ledger &l) {
         accept(l);
         finish(l, run(1, "w0"), "done");
         finish(l, run(1, "w1", secondStep), "done");
         l.shown(job, "completed");
     }},
    {"a run that ended with its worker is repeated", 0,
     [](Ledger &l) {
         accept(l);
         l.runBegan(run(1, "w0"));
         l.runOver(run(1, "w0"), "lost", {});
         finish(l, run(2, "w1"), "done");
         finish(l, run(1, "w1", secondStep), "done");
         l.shown(job, "completed");
     }},
    {"an end that its worker forgot is not held against the next run", 0,
     [](Ledger &l) {
         accept(l);
         l.runBegan(run(1, "w0"));
         l.runOver(run(1, "w0"), "done", {});
         finish(l, run(2, "w1"), "done");
         finish(l, run(1, "w1", secondStep), "done");
         l.shown(job, "completed");
     }},
    {"two runs at the same time", 1,
     [](Ledger &l) {
         leaveOpen(l);
         l.runBegan(run(1, "w0"));
         l.runBegan(run(2, "w1"));
         l.runOver(run(1, "w0"), "stopped", {});
         l.runOver(run(2, "w1"), "stopped", {});
     }},
    {"a run after an acknowledged end", 1,
     [](Ledger &l) {
         leaveOpen(l);
         finish(l, run(1, "w0"), "done");
         l.runBegan(run(2, "w1"));
         l.runOver(run(2, "w1"), "stopped", {});
     }},
    {"a run after an end that is acknowledged later", 1,
     [](Ledger &l) {
         leaveOpen(l);
         l.runBegan(run(1, "w0"));
         l.runOver(run(1, "w0"), "done", {});
         l.runBegan(run(2, "w1"));
         l.runOver(run(2, "w1"), "stopped", {});
         l.endNoted(run(1, "w0"), "done");
     }},
    {"a step before the one that it depends on", 1,
     [](Ledger &l) {
         leaveOpen(l);
         l.runBegan(run(1, "w0", secondStep));
         l.runOver(run(1, "w0", secondStep), "stopped", {});
     }},
    {"a run after the last attempt", 1,
     [](Ledger &l) {
         leaveOpen(l);
         finish(l, run(1, "w0"), "failed");
         finish(l, run(2, "w0"), "failed");
         l.runBegan(run(3, "w0"));
         l.runOver(run(3, "w0"), "stopped", {});
     }},
    {"a payload that nobody sent", 1,
     [](Ledger &l) {
         auto other = run(1, "w0");
         other.payload = "other";
         l.runBegan(other);
     }},
    {"a checkpoint of nobody", 1,
     [](Ledger &l) {
         leaveOpen(l);
         auto other = run(1, "w0");
         other.checkpoint = "unheard";
         l.runBegan(other);
         l.runOver(other, "stopped", {});
     }},
    {"a refused job that ran", 1,
     [](Ledger &l) {
         l.submitAnswered(job, 503);
         finish(l, run(1, "w0"), "done");
     }},
    {"an unanswered job that ran", 0,
     [](Ledger &l) {
         l.submitAnswered(job, 503);
         l.submitAnswered(job, 504);
         finish(l, run(1, "w0"), "done");
     }},
    {"an accepted job without an outcome", 1, [](Ledger &l) { accept(l); }},
    {"completed too early", 1,
     [](Ledger &l) {
         accept(l);
         finish(l, run(1, "w0"), "done");
         l.shown(job, "completed");
     }},
    {"failed with attempts left", 1,
     [](Ledger &l) {
         accept(l);
         finish(l, run(1, "w0"), "failed");
         l.shown(job, "failed");
     }},
    {"cancelled by nobody", 1,
     [](Ledger &l) {
         accept(l);
         l.shown(job, "cancelled");
     }},
    {"an outcome that changes", 1,
     [](Ledger &l) {
         accept(l);
         l.cancelRequested(job);
         l.shown(job, "cancelled");
         l.shown(job, "running");
         l.shown(job, "cancelled");
     }},
    {"a cancelled job that runs on", 1,
     [](Ledger &l) {
         accept(l);
         l.cancelRequested(job);
         l.cancelAcknowledged(job);
         l.runBegan(run(1, "w0"));
         l.shown(job, "cancelled");
     }},
};

BOOST_DATA_TEST_CASE(everyBrokenPromiseIsSeen, data::make(promiseCases), c)
{
    Ledger ledger;
    StepPlan first;
    StepPlan second;
    second.dependsOn = {0};
    ledger.plan({job, "payload", {first, second}});
    c.happens(ledger);
    ledger.checkAtEnd();
    BOOST_TEST(ledger.violations().size() == c.violations);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Soak::Tests
