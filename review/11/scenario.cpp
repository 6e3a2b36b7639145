// Two services. The jobs of one wait because its workers are fully used; those of the other, whose workers are idle, must run.

#include "world.h"

#include <algorithm>
#include <iostream>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr const char *busyPrefix = "/busy/";
constexpr const char *idlePrefix = "/idle/";
constexpr auto longWork = 60s;
constexpr auto shortWork = 2s;
/// bounds.finish_s and the 3 s of the rule.
constexpr auto finish = 14s;
constexpr auto nothingRunning = 3s;

auto route(const char *name, const char *prefix, const char *service) -> json
{
    return {{"name", name},  {"host", World::host}, {"pathPrefix", prefix}, {"service", service},
            {"priority", 1}, {"maxAttempts", 3},    {"stretch", 3.0},       {"targetLatencyMs", 1000}};
}

} // namespace

auto main(int, char **argv) -> int
{
    WorldSettings settings;
    settings.caseDirectory = argv[1];
    settings.workers = 6;
    settings.racks = 2;
    // Two workers run the tasks of the busy service, four those of the idle one.
    settings.services = {{0, "svc-busy"}, {1, "svc-busy"}, {2, "svc-idle"}, {3, "svc-idle"}, {4, "svc-idle"}, {5, "svc-idle"}};
    settings.routes = json::array({route("q-busy", busyPrefix, "svc-busy"), route("q-idle", idlePrefix, "svc-idle")});
    World world(settings);
    if (!world.start()) {
        world.record("the instances did not become ready");
        return 2;
    }
    world.runFor(2s);
    const auto steps = [](int count, std::chrono::milliseconds estimate) {
        return json::array({{{"count", count}, {"cpu", 4000}, {"memMb", 8000}, {"gpus", 1}, {"estimateMs", estimate.count()}}});
    };
    const Step longStep{4000, 8000, 1, longWork};
    const Step shortStep{4000, 8000, 1, shortWork};
    // Sixteen tasks fill the busy service. The burst is 2.5 times that.
    const auto bursts = withTrouble() ? 5 : 2;
    for (int i = 0; i < bursts; ++i) {
        auto &job = world.addJob("00000000000000a" + std::to_string(i), steps(8, longWork), {longStep});
        if (world.submit(static_cast<std::size_t>(i % 2), job, busyPrefix) != 200) {
            return 2;
        }
    }
    if (!world.runUntil([&] { return world.workers()[0].runs.size() + world.workers()[1].runs.size() == 16; }, 10s)) {
        world.record("the busy service is not full");
        return 2;
    }
    world.runFor(1s);
    std::vector<std::string> ids;
    for (int i = 0; i < 4; ++i) {
        auto &job = world.addJob("00000000000000b" + std::to_string(i), steps(1, shortWork), {shortStep});
        if (world.submit(static_cast<std::size_t>(i % 2), job, idlePrefix) != 200) {
            return 2;
        }
        ids.push_back(job.id);
    }
    world.record("the traffic has ended");
    const auto hasBegun = [&](const std::string &id) { return world.jobs()[id].firstStart.has_value(); };
    (void)world.runUntil([&] { return std::all_of(ids.begin(), ids.end(), hasBegun); }, finish + nothingRunning);
    bool broken = false;
    for (const auto &id : ids) {
        const auto state = world.call(0, "GET", idlePrefix + id).body;
        if (!hasBegun(id)) {
            broken = true;
            world.record("BROKEN LOST: nothing of job " + id + " has run " + std::to_string((finish + nothingRunning).count())
                         + " s after the end of the traffic, no task runs on the four workers of its service; shown as " + state);
        }
    }
    for (std::size_t i = 2; i < 6; ++i) {
        world.record(world.workers()[i].name + " runs " + std::to_string(world.workers()[i].runs.size()) + " tasks, was told to start "
                     + std::to_string(world.workers()[i].starts));
    }
    std::cout << (broken ? "broken" : "held") << '\n';
    return broken ? 1 : 0;
}
