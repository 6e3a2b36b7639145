#include <acaciarail/state.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::State;
namespace data = boost::unit_test::data;

namespace {

const ZoneName zone("midwest-a");

/// Appends records to a replica in log order.
class Driver
{
public:
    auto write(RecordBody body, std::uint64_t incarnation = 1) -> RecordEffect
    {
        return append({{incarnation, ++m_sequence}, {}, std::move(body)});
    }

    auto append(const Record &record) -> RecordEffect
    {
        m_entries.push_back({m_entries.size(), encodeRecord(record)});
        return replica.apply(m_entries.back());
    }

    [[nodiscard]] auto entries() const -> const std::vector<LogEntry> &
    {
        return m_entries;
    }

    Replica replica;

private:
    std::uint64_t m_sequence = 0;
    std::vector<LogEntry> m_entries;
};

auto accepted(std::string id, std::string name, bool idempotent = true) -> JobAccepted
{
    Job job;
    job.id = JobId(std::move(id));
    job.spec.organisation = OrganisationName("hartwell-schools");
    job.spec.name = std::move(name);
    job.spec.idempotent = idempotent;
    job.zone = zone;
    return {job};
}

auto assigned(std::string id, std::uint32_t attempt, Term term) -> JobAssigned
{
    return {JobId(std::move(id)), attempt, zone, 0, term, {{WorkerName("w1"), 4}}};
}

auto finished(std::string id, JobOutcome outcome, Term term) -> JobFinished
{
    return {JobId(std::move(id)), zone, 0, term, outcome, JobReason::None, {}};
}

auto document(std::string name, std::uint64_t base, std::string text) -> ConfigChange
{
    return {{{std::move(name), base, std::move(text), {"alice", "a.acaciarail.toml", "r1"}}}};
}

auto claim(std::string key, std::uint64_t fingerprint = 1) -> RequestClaimed
{
    return {OrganisationName("gala"), std::move(key), fingerprint, InstanceName("i1"), ServiceName("engraving")};
}

auto requestFinished(std::string key, Execution execution) -> RequestFinished
{
    return {OrganisationName("gala"), std::move(key), execution, 200, "text/plain", "done"};
}

auto wasAccepted(const RecordEffect &effect) -> bool
{
    return std::visit(
        [](const auto &it) {
            if constexpr (requires { it.accepted; }) {
                return it.accepted;
            }
            return false;
        },
        effect);
}

struct Step
{
    RecordBody body;
    std::uint64_t incarnation;
    bool accepted;
};

struct SequenceCase
{
    std::string name;
    std::vector<Step> steps;

    friend auto operator<<(std::ostream &out, const SequenceCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const SequenceCase sequenceCases[] = {
    {"of two conflicting configuration changes, the first in the log is accepted",
     {{document("a", 0, "1"), 1, true}, {document("a", 0, "2"), 2, false}, {document("a", 1, "3"), 2, true}}},
    {"changes to different documents do not conflict", {{document("a", 0, "1"), 1, true}, {document("b", 0, "2"), 2, true}}},
    {"a job name is used once", {{accepted("j1", "n"), 1, true}, {accepted("j2", "n"), 2, false}, {accepted("j3", "m"), 2, true}}},
    {"an assignment with a stale term is refused",
     {{accepted("j1", "n"), 1, true},
      {HolderChanged{zone, 0, {5, 1}, InstanceName("i1")}, 1, true},
      {assigned("j1", 1, {4, 9}), 2, false},
      {assigned("j1", 1, {5, 1}), 1, true},
      {HolderChanged{zone, 0, {5, 0}, InstanceName("i2")}, 2, false}}},
    {"a new holder adopts the same attempt once",
     {{accepted("j1", "n", false), 1, true},
      {assigned("j1", 1, {5, 1}), 1, true},
      {assigned("j1", 1, {6, 1}), 2, true},
      {assigned("j1", 1, {6, 1}), 2, false}}},
    {"a non-idempotent job gets no second attempt",
     {{accepted("j1", "n", false), 1, true}, {assigned("j1", 1, {5, 1}), 1, true}, {assigned("j1", 2, {5, 1}), 1, false}}},
    {"a non-idempotent job is assigned again after an attempt that never started",
     {{accepted("j1", "n", false), 1, true},
      {assigned("j1", 1, {5, 1}), 1, true},
      {AttemptAbandoned{JobId("j1"), 1, zone, 0, {4, 1}}, 2, false},
      {AttemptAbandoned{JobId("j1"), 1, zone, 0, {5, 1}}, 1, true},
      {assigned("j1", 2, {5, 1}), 1, true},
      {assigned("j1", 3, {5, 1}), 1, false}}},
    {"an idempotent job gets a second attempt",
     {{accepted("j1", "n"), 1, true}, {assigned("j1", 1, {5, 1}), 1, true}, {assigned("j1", 2, {5, 1}), 1, true}}},
    {"the first outcome of a job is final",
     {{accepted("j1", "n"), 1, true},
      {finished("j1", JobOutcome::Succeeded, {5, 1}), 1, true},
      {finished("j1", JobOutcome::Cancelled, {5, 1}), 1, false},
      {CancelRequested{JobId("j1"), CallerName("c")}, 1, false},
      {assigned("j1", 1, {6, 1}), 1, false}}},
    {"an outcome with a stale term is refused",
     {{accepted("j1", "n"), 1, true},
      {HolderChanged{zone, 0, {5, 1}, InstanceName("i1")}, 1, true},
      {finished("j1", JobOutcome::Lost, {4, 1}), 2, false}}},
    {"only the first claim of a key is accepted", {{claim("k"), 1, true}, {claim("k"), 2, false}}},
    {"the key of a request that did not run may be claimed again",
     {{claim("k"), 1, true}, {requestFinished("k", Execution::NotRun), 1, true}, {claim("k"), 2, true}, {claim("k"), 1, false}}},
    {"only the claimant may write that a request did not run",
     {{claim("k"), 1, true}, {requestFinished("k", Execution::NotRun), 2, false}, {claim("k"), 2, false}}},
    {"the claimant replaces an unknown outcome by the final one",
     {{claim("k"), 1, true},
      {requestFinished("k", Execution::Unknown), 2, true},
      {requestFinished("k", Execution::Ran), 1, true},
      {requestFinished("k", Execution::NotRun), 1, false}}},
    {"witness sets change by one worker at a time",
     {{WitnessesChanged{zone, 0, 1, {WorkerName("a"), WorkerName("b"), WorkerName("c")}}, 1, true},
      {WitnessesChanged{zone, 0, 1, {WorkerName("x")}}, 2, false},
      {WitnessesChanged{zone, 0, 2, {WorkerName("a"), WorkerName("b"), WorkerName("d")}}, 1, false},
      {WitnessesChanged{zone, 0, 2, {WorkerName("a"), WorkerName("b")}}, 1, true}}},
};

} // namespace

// Guards against a replica in which a later or stale record replaces the effect of an earlier one.
BOOST_DATA_TEST_CASE(recordsAreAcceptedInLogOrder, data::make(sequenceCases), c)
{
    Driver driver;
    for (const auto &it : c.steps) {
        BOOST_TEST(wasAccepted(driver.write(it.body, it.incarnation)) == it.accepted);
    }
}

// Guards against a refused configuration change that does not name the conflicting document.
BOOST_AUTO_TEST_CASE(refusedChangeNamesTheConflictingDocument)
{
    Driver driver;
    driver.write(document("a", 0, "1"));
    const auto effect = std::get<ConfigEffect>(driver.write(document("a", 0, "2")));
    BOOST_REQUIRE(effect.conflictingDocument.has_value());
    BOOST_TEST(effect.conflictingDocument->origin.operatorName == "alice");
    BOOST_TEST(effect.conflictingDocument->version == 1U);
    BOOST_TEST(driver.replica.documents().at("a").text == "1");
}

// Guards against a record that is applied twice because it was appended again after a lost reply.
BOOST_AUTO_TEST_CASE(repeatedRecordCountsOnce)
{
    Driver driver;
    const Record first{{7, 1}, {}, document("a", 0, "1")};
    const Record second{{7, 2}, {}, document("a", 1, "2")};
    BOOST_TEST(wasAccepted(driver.append(first)));
    BOOST_TEST(wasAccepted(driver.append(second)));
    BOOST_TEST(!wasAccepted(driver.append(first)));
    BOOST_TEST(driver.replica.configVersion() == 2U);
}

// Guards against a replica that differs after it was restored from a snapshot, and against restoring an older state.
BOOST_AUTO_TEST_CASE(snapshotAndSuffixEqualTheWholeLog)
{
    Driver driver;
    for (const auto &c : sequenceCases) {
        for (const auto &it : c.steps) {
            driver.write(it.body, it.incarnation);
        }
    }
    driver.write(document("large", 0, std::string(200'000, 'x')));
    driver.write(document("large2", 0, std::string(200'000, 'y')));
    driver.write(document("large3", 0, std::string(200'000, 'z')));
    const auto half = driver.entries().size() / 2;
    Replica first;
    for (std::size_t i = 0; i < half; ++i) {
        first.apply(driver.entries()[i]);
    }
    Replica second;
    BOOST_TEST(!second.restore(first.nextOffset(), first.snapshot()));
    for (const auto &it : driver.entries()) {
        second.apply(it);
    }
    BOOST_TEST(second.digest() == driver.replica.digest());
    BOOST_TEST(driver.replica.snapshot().size() > 1U);

    const auto before = second.digest();
    BOOST_TEST(!second.restore(first.nextOffset(), first.snapshot()));
    BOOST_TEST(second.digest() == before);
    BOOST_TEST(second.restore(second.nextOffset() + 1, {"garbage"}) == make_error_code(Error::MalformedInput));
    BOOST_TEST(second.digest() == before);
}

// Guards against memory that grows with the number of all jobs and non-idempotent requests ever seen.
BOOST_AUTO_TEST_CASE(finishedWorkIsForgottenAboveTheLimit)
{
    Replica replica(ReplicaLimits{3, 3, 2});
    std::vector<LogEntry> log;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const auto id = "j" + std::to_string(i);
        const std::vector<RecordBody> bodies{accepted(id, id), finished(id, JobOutcome::Succeeded, {1, 1}), claim(id),
                                             requestFinished(id, Execution::Ran)};
        for (std::size_t n = 0; n < bodies.size(); ++n) {
            replica.apply({replica.nextOffset(), encodeRecord({{i, n + 1}, {}, bodies[n]})});
        }
    }
    BOOST_TEST(replica.jobs().size() == 3U);
    BOOST_TEST(replica.idempotencyStates().size() == 3U);
    BOOST_TEST(replica.jobByName(OrganisationName("hartwell-schools"), "j1") == nullptr);
    BOOST_TEST(replica.jobByName(OrganisationName("hartwell-schools"), "j20") != nullptr);
}

// Guards against an undecodable record that stops the replica or makes replicas differ.
BOOST_AUTO_TEST_CASE(undecodableRecordIsSkipped)
{
    Replica replica;
    replica.apply({0, "\xc1garbage"});
    replica.apply({2, "a gap is ignored"});
    BOOST_TEST(replica.nextOffset() == 1U);
}
