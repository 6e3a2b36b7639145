#include "earlier_records.h"

#include <acaciarail/workflow/admission_policy.h>
#include <acaciarail/workflow/records.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <set>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

struct Situation
{
    JobSpec job;
    QueuePolicy policy;
    std::int64_t guaranteed = 0;
    LoadSummary summary;
    bool hasSummary = true;
    Duration age = 600ms;

    [[nodiscard]] auto decide() const -> AdmissionDecision
    {
        return AdmissionPolicy().decide({job, policy, guaranteed, hasSummary ? &summary : nullptr, age});
    }
};

/// A gang that has no value after 48 s, behind work that takes 120 s at the present rate, and 100 s with the whole capacity.
auto hopelessSituation() -> Situation
{
    Situation out;
    StepSpec step;
    step.count = 4;
    step.gang = true;
    step.taskDemand = {1000, 1000, 1};
    step.estimate = 5s;
    out.job.id = JobId("0011223344556677");
    out.job.organisation = OrganisationName("org");
    out.job.steps = {step};
    out.policy = {ServiceName("service"), 1, 3, 3.0, 1s};
    out.summary.term = 7;
    out.summary.timeInOffice = 30s;
    out.summary.services = {{ServiceName("service"), 3200, 12'800, 800, 1.0, 0.2, 200}};
    out.summary.priorities = {{ServiceName("service"), 1, {{unitSizeClass(36), 400, 80'000, 80'000, 80'000}}, 6000}};
    return out;
}

/// Makes the job urgent, and its organisation use \a use of 100 guaranteed accelerators.
auto makeUrgent(Situation &s, std::int64_t use) -> void
{
    s.policy.priority = 0;
    s.summary.priorities.front().priority = 0;
    s.guaranteed = 100;
    s.summary.guarantees = {{OrganisationName("org"), use}};
}

struct PolicyCase
{
    /// The failure that the case guards against.
    const char *guardsAgainst;
    std::function<void(Situation &)> change;
    const char *reason;
};

auto operator<<(std::ostream &out, const PolicyCase &c) -> std::ostream &
{
    return out << c.guardsAgainst;
}

const std::vector<PolicyCase> policyCases{
    {"a backlog in which every job becomes worthless", [](Situation &) {}, "no-value-left"},
    {"other deployments that lose jobs", [](Situation &s) { s.policy.targetLatency = {}; }, "no-objective"},
    {"a schedule that is rejected because of the load when it is submitted", [](Situation &s) { s.job.occurrences = 3; }, "kind-of-job"},
    {"a service that is rejected although it has no end", [](Situation &s) { s.job.steps[0].longRunning = true; }, "kind-of-job"},
    {"a job for special workers that is judged by others", [](Situation &s) { s.job.steps[0].requiredLabel = "a"; }, "kind-of-job"},
    {"decisions without knowledge", [](Situation &s) { s.hasSummary = false; }, "no-summary"},
    {"decisions of an instance that is cut off", [](Situation &s) { s.age = 2001ms; }, "old-summary"},
    {"a summary at the age limit that is not used", [](Situation &s) { s.age = 2s; }, "no-value-left"},
    {"a new holder that does not know the workers", [](Situation &s) { s.summary.timeInOffice = 2999ms; }, "new-holder"},
    {"a rejection within a guarantee", [](Situation &s) { makeUrgent(s, 90); }, "guaranteed"},
    {"a guarantee that the summary's age uses up", [](Situation &s) { makeUrgent(s, 200); }, "guaranteed"},
    {"a guarantee whose use is not listed", [](Situation &s) { makeUrgent(s, 0), s.summary.guarantees.clear(); }, "guaranteed"},
    {"urgent work far beyond a guarantee that is always accepted", [](Situation &s) { makeUrgent(s, 201); }, "no-value-left"},
    {"a guarantee that covers less urgent work", [](Situation &s) { makeUrgent(s, 90), s.policy.priority = 1; }, "no-backlog"},
    {"another service's backlog", [](Situation &s) { s.policy.service = ServiceName("other"); }, "no-backlog"},
    {"less urgent work that counts as ahead", [](Situation &s) { s.policy.priority = 0; }, "no-backlog"},
    {"larger gangs that count as ahead of a small one", [](Situation &s) { s.job.steps[0].count = 1; }, "no-backlog"},
    {"a rate that was not observed", [](Situation &s) { s.summary.priorities[0].startedPerSecond = -1; }, "not-observed"},
    {"estimates whose errors were not observed", [](Situation &s) { s.summary.services[0].observedRuns = 4; }, "not-observed"},
    {"a job that still has a value",
     [](Situation &s) {
         s.summary.priorities[0] = {ServiceName("service"), 1, {{unitSizeClass(36), 400, 40'000, 40'000, 20'000}}, 6000};
     },
     "has-value"},
    {"a rate that only an idle fleet allows", [](Situation &s) { s.summary.priorities[0].startedPerSecond = 18'000; }, "no-value-left"},
    {"estimates that are off by 90%", [](Situation &s) { s.summary.services[0].runTimeDeviation = 4; }, "has-value"},
    {"a large sum of a few uncertain estimates",
     [](Situation &s) { s.summary.priorities[0].waiting[0].units = 1, s.summary.services[0].runTimeDeviation = 0.4; }, "has-value"},
    {"a long job with time to wait", [](Situation &s) { s.job.steps[0].estimate = 20s; }, "has-value"},
    {"a shortage that may end at once",
     [](Situation &s) {
         s.summary.services[0].accelerators = 8000, s.summary.services[0].cores = 32'000, s.summary.services[0].gib = 128'000;
     },
     "may-be-on-time"},
    {"no work started at all", [](Situation &s) { s.summary.priorities[0].startedPerSecond = 0; }, "no-value-left"},
    {"workers that are faster than estimated", [](Situation &s) { s.summary.services[0].runTimeRatio = 0.14; }, "may-be-on-time"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(admissionPolicy)

BOOST_DATA_TEST_CASE(decisionsFollowFromTheSummary, data::make(policyCases), c)
{
    auto situation = hopelessSituation();
    c.change(situation);
    const auto decision = situation.decide();
    BOOST_TEST(decision.reason == c.reason);
    BOOST_TEST(decision.rejected == (std::string_view(c.reason) == "no-value-left"));
    BOOST_TEST((decision.retryAfter >= std::chrono::seconds(1)) == decision.rejected);
}

// Guards against callers that all return at once, and against delays that are longer than the load is known ahead.
BOOST_AUTO_TEST_CASE(retriesAreSpreadAndBounded)
{
    auto situation = hopelessSituation();
    std::set<std::int64_t> delays;
    for (int i = 0; i < 1000; ++i) {
        situation.job.id = JobId("job" + std::to_string(i));
        delays.insert(situation.decide().retryAfter.count());
    }
    // Room is expected after 109 s, which is cut to 60 s, and retries are spread over 30 s.
    BOOST_TEST(*delays.begin() <= 62);
    BOOST_TEST(*delays.begin() >= 60);
    BOOST_TEST(*delays.rbegin() >= 89);
    BOOST_TEST(*delays.rbegin() <= 90);
    BOOST_TEST(delays.size() >= 25U);
    situation.summary.priorities[0].waiting[0] = {unitSizeClass(36), 400, 60'000, 60'000, 40'000};
    // 380,000 core-seconds at 6,000 a second are 63 s, of which the objective leaves time for 11 s.
    BOOST_TEST(situation.decide().retryAfter.count() >= 53);
    BOOST_TEST(situation.decide().retryAfter.count() <= 79);
}

// Guards against an objective that counts steps which run at the same time one after the other.
BOOST_AUTO_TEST_CASE(theObjectiveFollowsTheLongestChain)
{
    JobSpec job;
    job.steps.resize(3);
    job.steps[0].estimate = 2s;
    job.steps[1].estimate = 3s;
    job.steps[2].estimate = 4s;
    job.steps[2].dependsOn = {0, 1};
    BOOST_TEST((longestChain(job) == 7s));
    QueuePolicy policy;
    policy.stretch = 1.5;
    policy.targetLatency = 300ms;
    BOOST_TEST((objectiveOf(job, policy) == 10'800ms));
}

// Guards against a summary that changes on its way, and against a build without summaries that logs them or takes them for something else.
BOOST_AUTO_TEST_CASE(theRecordOfASummaryIsThatOfAUnitThatHasNotRun)
{
    auto summary = hopelessSituation().summary;
    summary.guarantees = {{OrganisationName("org"), 12}};
    const auto record = loadRecord(summary);
    StateEntry entry;
    BOOST_TEST(!decodeState(record, entry));
    BOOST_TEST((std::get<LoadSummary>(entry) == summary));
    // A build without summaries decodes a record of this form of key as a unit, whose surplus fields it ignores.
    EarlierUnitRecord earlier{1, 1, 1, "checkpoint", {"worker"}, 1};
    BOOST_TEST(!decode(record.value, earlier));
    BOOST_TEST((earlier == EarlierUnitRecord{static_cast<std::uint64_t>(UnitPhase::Pending), 0, 0, {}, {}, 0}));
    const auto key = "0011223344556677" + record.key.substr(record.key.find('/'));
    BOOST_TEST(!decodeState({key, encode(earlier)}, entry));
    BOOST_TEST((std::get<UnitEntry>(entry).unit == UnitId{JobId("0011223344556677"), 0, 0, 0}));
    // The tail of the topic, with which an instance begins, contains it.
    BOOST_TEST(record.key > std::string(beforeHolderRecord));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
