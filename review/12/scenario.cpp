// A job has one task on each worker, by its limit of one per worker. One worker is lost for good, so that one of these tasks has to wait.
// Other jobs whose tasks have the same shape must still run on the idle workers.

#include "world.h"

#include <algorithm>
#include <iostream>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr const char *prefix = "/jobs/";
constexpr std::size_t workerCount = 8;
constexpr auto longWork = 60s;
constexpr auto shortWork = 2s;
/// bounds.finish_s and the 3 s of the rule.
constexpr auto finish = 14s;
constexpr auto nothingRunning = 3s;

} // namespace

auto main(int, char **argv) -> int
{
    WorldSettings settings;
    settings.caseDirectory = argv[1];
    settings.workers = workerCount;
    settings.racks = 2;
    settings.routes = json::array({{{"name", "q"},
                                    {"host", World::host},
                                    {"pathPrefix", prefix},
                                    {"service", "svc"},
                                    {"priority", 1},
                                    {"maxAttempts", 3},
                                    {"stretch", 3.0},
                                    {"targetLatencyMs", 1000}}});
    World world(settings);
    if (!world.start()) {
        world.record("the instances did not become ready");
        return 2;
    }
    world.runFor(2s);
    const auto steps = [](std::size_t count, std::chrono::milliseconds estimate) {
        return json::array(
            {{{"count", count}, {"cpu", 1000}, {"memMb", 1000}, {"gpus", 1}, {"antiAffinity", 1}, {"estimateMs", estimate.count()}}});
    };
    auto &wide = world.addJob("00000000000000e0", steps(workerCount, longWork), {Step{1000, 1000, 1, longWork}});
    const auto runs = [&] {
        std::size_t n = 0;
        for (const auto &it : world.workers()) {
            n += it.runs.size();
        }
        return n;
    };
    if (world.submit(0, wide, prefix) != 200 || !world.runUntil([&] { return runs() == workerCount; }, 10s)) {
        world.record("the tasks of the wide job did not begin");
        return 2;
    }
    world.runFor(2s);
    if (withTrouble()) {
        world.crashForGood(world.workers().back());
    }
    world.runFor(6s);
    std::vector<std::string> ids;
    for (int i = 0; i < 4; ++i) {
        auto &job = world.addJob("00000000000000f" + std::to_string(i), steps(1, shortWork), {Step{1000, 1000, 1, shortWork}});
        if (world.submit(static_cast<std::size_t>(i % 2), job, prefix) != 200) {
            return 2;
        }
        ids.push_back(job.id);
    }
    world.record("the traffic has ended");
    const auto hasBegun = [&](const std::string &id) { return world.jobs()[id].firstStart.has_value(); };
    (void)world.runUntil([&] { return std::all_of(ids.begin(), ids.end(), hasBegun); }, finish + nothingRunning);
    bool broken = false;
    for (const auto &id : ids) {
        const auto state = world.call(0, "GET", prefix + id).body;
        if (!hasBegun(id)) {
            broken = true;
            world.record("BROKEN LOST: nothing of job " + id + " has run 17 s after the end of the traffic, " + std::to_string(runs())
                         + " of 56 accelerators are in use; shown as " + state);
        }
    }
    std::cout << (broken ? "broken" : "held") << '\n';
    return broken ? 1 : 0;
}
