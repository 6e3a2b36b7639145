// Jobs whose orders an unhealthy worker answers with 503 have not begun. Their queue's number of waiting jobs must show them.

#include "world.h"

#include <algorithm>
#include <iostream>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr const char *prefix = "/jobs/";
/// bounds.visible_ms and the 2 s by which the number may be old.
constexpr auto visibleAfter = 3s + 2s;
/// Length of the disruption, within the 6.5 s of the sheets.
constexpr auto troubleLength = 6400ms;
constexpr std::size_t jobCount = 8;

} // namespace

auto main(int, char **argv) -> int
{
    WorldSettings settings;
    settings.caseDirectory = argv[1];
    settings.instances = 2;
    settings.workers = 8;
    settings.racks = 8;
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
    // The only worker with the label that the jobs require; one of eight.
    auto &worker = world.workers().back();
    const json steps =
        json::array({{{"count", 1}, {"cpu", 1000}, {"memMb", 1000}, {"gpus", 1}, {"estimateMs", 1000}, {"requires", worker.rack}}});
    world.runFor(2s);
    auto &first = world.addJob("00000000000000a0", steps, {{}});
    if (world.submit(0, first, prefix) != 200 || !world.runUntil([&] { return first.firstStart.has_value(); }, 10s)) {
        world.record("the first job did not run");
        return 2;
    }
    world.runFor(2s);
    const auto troubleBegins = world.now();
    if (withTrouble()) {
        worker.shedsStarts = true;
        world.record(worker.name + " sheds orders to start");
    }
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < jobCount; ++i) {
        auto &job = world.addJob("00000000000000b" + std::to_string(i), steps, {{}});
        if (world.submit(i % 2, job, prefix) != 200) {
            return 2;
        }
        ids.push_back(job.id);
    }
    bool broken = false;
    std::size_t checks = 0;
    while (world.now() < troubleBegins + troubleLength) {
        world.runFor(200ms);
        const auto sentAt = world.now();
        std::size_t due = 0;
        for (const auto &id : ids) {
            due += sentAt > *world.jobs()[id].acceptedAt + visibleAfter && !world.jobs()[id].firstStart ? 1 : 0;
        }
        if (due == 0) {
            continue;
        }
        for (std::size_t i = 0; i < 2; ++i) {
            const auto answer = world.call(i, "GET", prefix);
            const auto body = json::parse(answer.body, nullptr, false);
            if (answer.status != 200 || !body.is_object()) {
                continue;
            }
            ++checks;
            const auto waiting = body.value("waiting", std::size_t{0});
            if (waiting * 2 < due) {
                broken = true;
                world.record("BROKEN MIXED: " + std::to_string(due)
                             + " jobs were accepted over 5 s before and have not begun, waiting is given as " + std::to_string(waiting));
            }
        }
    }
    worker.shedsStarts = false;
    world.record("the disruption has ended");
    const auto allStarted = [&] {
        return std::all_of(ids.begin(), ids.end(), [&](const auto &id) { return world.jobs()[id].firstStart.has_value(); });
    };
    const bool ran = world.runUntil(allStarted, 30s);
    world.record(std::string("all jobs have begun: ") + (ran ? "yes" : "no") + ", checks: " + std::to_string(checks));
    std::cout << (broken ? "broken" : "held") << '\n';
    return broken ? 1 : 0;
}
