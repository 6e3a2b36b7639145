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

auto run(std::uint32_t number, const char *worker, const char *name = task) -> ObservedRun
{
    return {worker, name, number, "payload", {}, {"a", "rack0"}};
}

/// Changes the job so that its first step requires a label.
auto requireLabel(Ledger &ledger, const char *label) -> void
{
    StepPlan step;
    step.requiredLabel = label;
    ledger.registerJob({job, "payload", {step}});
}

/// Records a run that begins on a worker with these labels and is stopped.
auto runWithLabels(Ledger &ledger, std::uint32_t number, const std::vector<std::string> &labels) -> void
{
    auto observed = run(number, "w0");
    observed.workerLabels = labels;
    ledger.runStarted(observed);
    ledger.runEnded(observed, "stopped", {});
}

auto acceptJob(Ledger &ledger) -> void
{
    ledger.submitAttemptEnded(job, 200);
}

/// Records a submission without a response: the job may run, and need not reach an outcome.
auto leaveUnanswered(Ledger &ledger) -> void
{
    ledger.submitAttemptEnded(job, 0);
}

/// Records the start and the end of a run and the acknowledgement of the end.
auto runToEnd(Ledger &ledger, const ObservedRun &observed, const char *outcome) -> void
{
    ledger.runStarted(observed);
    ledger.runEnded(observed, outcome, {});
    ledger.endAcknowledged(observed, outcome);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger)

struct HistoryCase
{
    const char *name;
    std::size_t violations;
    std::function<void(Ledger &)> record;
};

auto operator<<(std::ostream &out, const HistoryCase &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<HistoryCase> historyCases{
    {"a job that runs and completes", 0,
     [](Ledger &l) {
         acceptJob(l);
         runToEnd(l, run(1, "w0"), "done");
         runToEnd(l, run(1, "w1", secondStep), "done");
         l.stateReported(job, "completed");
     }},
    {"a run that was lost with its worker is repeated", 0,
     [](Ledger &l) {
         acceptJob(l);
         l.runStarted(run(1, "w0"));
         l.runEnded(run(1, "w0"), "lost", {});
         runToEnd(l, run(2, "w1"), "done");
         runToEnd(l, run(1, "w1", secondStep), "done");
         l.stateReported(job, "completed");
     }},
    {"a run after an end that was never acknowledged is allowed", 0,
     [](Ledger &l) {
         acceptJob(l);
         l.runStarted(run(1, "w0"));
         l.runEnded(run(1, "w0"), "done", {});
         runToEnd(l, run(2, "w1"), "done");
         runToEnd(l, run(1, "w1", secondStep), "done");
         l.stateReported(job, "completed");
     }},
    {"two runs at the same time", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         l.runStarted(run(1, "w0"));
         l.runStarted(run(2, "w1"));
         l.runEnded(run(1, "w0"), "stopped", {});
         l.runEnded(run(2, "w1"), "stopped", {});
     }},
    {"a run after an acknowledged end", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         runToEnd(l, run(1, "w0"), "done");
         l.runStarted(run(2, "w1"));
         l.runEnded(run(2, "w1"), "stopped", {});
     }},
    {"a run after an end that is acknowledged later", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         l.runStarted(run(1, "w0"));
         l.runEnded(run(1, "w0"), "done", {});
         l.runStarted(run(2, "w1"));
         l.runEnded(run(2, "w1"), "stopped", {});
         l.endAcknowledged(run(1, "w0"), "done");
     }},
    {"a run of a step before its dependency is done", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         l.runStarted(run(1, "w0", secondStep));
         l.runEnded(run(1, "w0", secondStep), "stopped", {});
     }},
    {"a run after the last attempt", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         runToEnd(l, run(1, "w0"), "failed");
         runToEnd(l, run(2, "w0"), "failed");
         l.runStarted(run(3, "w0"));
         l.runEnded(run(3, "w0"), "stopped", {});
     }},
    {"a run with a payload that no caller submitted", 1,
     [](Ledger &l) {
         auto other = run(1, "w0");
         other.payload = "other";
         l.runStarted(other);
     }},
    {"a run from a checkpoint that the task never saved", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         auto other = run(1, "w0");
         other.checkpoint = "unheard";
         l.runStarted(other);
         l.runEnded(other, "stopped", {});
     }},
    {"a refused job that ran", 1,
     [](Ledger &l) {
         l.submitAttemptEnded(job, 503);
         runToEnd(l, run(1, "w0"), "done");
     }},
    {"a run on a worker with the required label", 0,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "a");
         runWithLabels(l, 1, {"a", "rack0"});
     }},
    {"a run on a worker whose second label is the required one", 0,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "rack0");
         runWithLabels(l, 1, {"a", "rack0"});
     }},
    {"a run on a worker without labels that needs none", 0,
     [](Ledger &l) {
         leaveUnanswered(l);
         runWithLabels(l, 1, {});
     }},
    {"a run on a worker without the required label", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "b");
         runWithLabels(l, 1, {"a", "rack0"});
     }},
    {"a run on a worker without labels that requires one", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "a");
         runWithLabels(l, 1, {});
     }},
    {"a run on a worker with a part of the required label", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "a-next");
         runWithLabels(l, 1, {"a", "rack0"});
     }},
    {"a run on a worker whose label begins with the required one", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "a");
         runWithLabels(l, 1, {"a-next", "rack0"});
     }},
    {"a run on a worker that has restarted as another kind", 1,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "a");
         runWithLabels(l, 1, {"a", "rack0"});
         runWithLabels(l, 2, {"a-next", "rack0"});
     }},
    {"each run on a worker without the required label is a violation", 2,
     [](Ledger &l) {
         leaveUnanswered(l);
         requireLabel(l, "a");
         runWithLabels(l, 1, {"a-next", "rack0"});
         runWithLabels(l, 2, {"a-next", "rack0"});
     }},
    {"a job that ran after a submission with unknown outcome", 0,
     [](Ledger &l) {
         l.submitAttemptEnded(job, 503);
         l.submitAttemptEnded(job, 504);
         runToEnd(l, run(1, "w0"), "done");
     }},
    {"an accepted job without an outcome", 1, [](Ledger &l) { acceptJob(l); }},
    {"a job reported as completed before its last step is done", 1,
     [](Ledger &l) {
         acceptJob(l);
         runToEnd(l, run(1, "w0"), "done");
         l.stateReported(job, "completed");
     }},
    {"a job reported as failed with attempts left", 1,
     [](Ledger &l) {
         acceptJob(l);
         runToEnd(l, run(1, "w0"), "failed");
         l.stateReported(job, "failed");
     }},
    {"a job reported as cancelled that no caller cancelled", 1,
     [](Ledger &l) {
         acceptJob(l);
         l.stateReported(job, "cancelled");
     }},
    {"a reported outcome that changes", 1,
     [](Ledger &l) {
         acceptJob(l);
         l.cancelRequested(job);
         l.stateReported(job, "cancelled");
         l.stateReported(job, "running");
         l.stateReported(job, "cancelled");
     }},
    {"a run that continues after its job was cancelled", 1,
     [](Ledger &l) {
         acceptJob(l);
         l.cancelRequested(job);
         l.cancelAcknowledged(job);
         l.runStarted(run(1, "w0"));
         l.stateReported(job, "cancelled");
     }},
};

BOOST_DATA_TEST_CASE(reportsExactlyTheViolations, data::make(historyCases), c)
{
    Ledger ledger;
    StepPlan first;
    StepPlan second;
    second.dependsOn = {0};
    ledger.registerJob({job, "payload", {first, second}});
    c.record(ledger);
    ledger.checkAtEnd();
    BOOST_TEST(ledger.violations().size() == c.violations);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Soak::Tests
