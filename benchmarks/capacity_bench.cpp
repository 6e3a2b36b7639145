#include "bench.h"

#include <acaciarail/state/record.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <fstream>
#include <regex>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Bench {

namespace {

constexpr double workersPerZone = 1267;
constexpr double zones = 15;
constexpr double jobsPerDay = 19'000;
constexpr double changesPerDay = 16'000;
constexpr double replacementsPerDay = 1'300;
constexpr double secondsPerDay = 86'400;
constexpr double bytesPerSecondBudget = 4'096;
constexpr double memoryBudgetMb = 32;
constexpr double coreBudgetPercent = 1.3;
/// Finished jobs that a replica remembers.
constexpr double rememberedJobs = 20'000;
/// Jobs that run concurrently when each runs for six hours.
constexpr double runningJobs = jobsPerDay / 4;
constexpr double runningTasks = 440'000;

using Points = std::vector<std::pair<double, double>>;

struct Line
{
    double slope = 0;
    double intercept = 0;

    [[nodiscard]] auto at(double x) const -> double
    {
        return intercept + slope * x;
    }
};

/// Fits a line by least squares.
auto fit(const Points &points) -> Line
{
    const auto n = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
    }
    const auto slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    return {slope, (sumY - slope * sumX) / n};
}

/// Returns the size and the measured value of each recorded row whose name matches \a pattern; its first group is the size.
auto readPoints(const std::string &benchmark, const std::string &pattern) -> Points
{
    Points points;
    std::ifstream in("benchmarks/recorded/" + benchmark + ".jsonl");
    const std::regex regex(pattern);
    std::string line;
    while (std::getline(in, line)) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        std::smatch match;
        const auto name = json.is_object() ? json.value("name", std::string()) : std::string();
        if (std::regex_match(name, match, regex)) {
            points.emplace_back(std::stod(match[1].str()), std::stod(json.value("measured", std::string("0"))));
        }
    }
    return points;
}

auto recordBytes(State::RecordBody body) -> double
{
    return static_cast<double>(
        encodeRecord(State::Record{{1ULL << 60U, 1'000'000}, std::chrono::milliseconds(1'800'000'000'000), std::move(body)}).size());
}

/// Bytes of the three records of an average job.
auto jobLogBytes() -> double
{
    Job job;
    job.id = JobId("j12345678-12345");
    job.spec.organisation = OrganisationName("organisation-123");
    job.spec.caller = CallerName("office");
    job.spec.name = "retouch-2026-12-04-1234";
    job.spec.kind = "class-retouch";
    job.spec.declaredRunTime = std::chrono::hours(3);
    job.zone = ZoneName("midwest-a");
    const auto members = static_cast<std::size_t>(runningTasks / runningJobs);
    std::vector<GangMember> gang(members, {WorkerName("midwest-a-w1234"), 1});
    return recordBytes(State::JobAccepted{job}) + recordBytes(State::JobAssigned{job.id, 1, job.zone, 0, {1, 1}, gang})
        + recordBytes(State::JobFinished{job.id, job.zone, 0, {1, 1}, JobOutcome::Succeeded, JobReason::None, {}});
}

auto changeLogBytes() -> double
{
    return recordBytes(
        State::ConfigChange{{{"retake.acaciarail.toml", 7, std::string(2'000, 'x'), {"alice", "services/retake.toml", "0123abcd"}}}});
}

auto capacity(const Options &, Report &report) -> void
{
    const auto bytesPerSecond = fit(readPoints("control", R"((\d+) workers, .*holder bytes a second)"));
    const auto corePercent = fit(readPoints("control", R"((\d+) workers, .*holder processor time)"));
    const auto memory = fit(readPoints("restart", R"((\d+) jobs .*memory of the replica)"));
    const auto restore = fit(readPoints("restart", R"((\d+) jobs .*restore from a snapshot)"));
    const auto snapshot = fit(readPoints("restart", R"((\d+) jobs .*: snapshot)"));

    report.figure("holder: bytes a second for each worker (slope)", decimal(bytesPerSecond.slope, 2));
    report.check("holder of a whole zone: bytes a second", "<= 4096", decimal(bytesPerSecond.at(workersPerZone), 0),
                 bytesPerSecond.at(workersPerZone) <= bytesPerSecondBudget);
    const auto workersInBudget = (bytesPerSecondBudget - bytesPerSecond.intercept) / bytesPerSecond.slope;
    report.figure("holder: workers in a shard within 4096 bytes a second", decimal(workersInBudget, 0));
    report.figure("shards for each zone, and holders in all",
                  decimal(std::ceil(workersPerZone / workersInBudget), 0) + ", "
                      + decimal(std::ceil(workersPerZone / workersInBudget) * zones, 0));
    report.check("holder of a whole zone: processor time", "<= 1.3% of a core", decimal(corePercent.at(workersPerZone), 3) + "%",
                 corePercent.at(workersPerZone) <= coreBudgetPercent);
    const auto workerBytes = bytesPerSecond.at(workersPerZone) / workersPerZone;
    report.check("worker: bytes a second of control", "<= 4096", decimal(workerBytes, 1), workerBytes <= bytesPerSecondBudget);

    const auto logBytes = (jobsPerDay * jobLogBytes() + changesPerDay * changeLogBytes()) / secondsPerDay;
    report.figure("log: bytes of an average job's records", decimal(jobLogBytes(), 0));
    report.figure("log: bytes of a configuration change of 2000 bytes", decimal(changeLogBytes(), 0));
    report.check("entry instance: bytes a second read from the log", "<= 4096", decimal(logBytes, 0), logBytes <= bytesPerSecondBudget);
    report.figure("log: records of jobs and changes a second", decimal((jobsPerDay * 3 + changesPerDay) / secondsPerDay, 2));
    report.figure("replica: bytes of memory for each job of 10 members, half of them finished", decimal(memory.slope * 1e6, 0));
    const auto replicaMb = memory.at(runningJobs + rememberedJobs);
    report.check("entry instance: memory of the replica, MB", "<= 32", decimal(replicaMb, 1), replicaMb <= memoryBudgetMb);
    const auto snapshotMb = snapshot.at(runningJobs + rememberedJobs);
    report.figure("new instance: snapshot to fetch, MB", decimal(snapshotMb, 1));
    report.figure("new instance: time to restore it, ms", decimal(restore.at(runningJobs + rememberedJobs), 0));
    report.figure("1,300 replacements a day: snapshot bytes a second over all",
                  decimal(replacementsPerDay * snapshotMb * 1e6 / secondsPerDay, 0));
    report.note("computed from benchmarks/recorded/*.jsonl, which ./bench control --json and ./bench restart --json wrote");
}

const Registration registration("capacity", "Cost at the target size, extrapolated from the recorded runs", capacity);

} // namespace

} // namespace Acaciarail::Bench
