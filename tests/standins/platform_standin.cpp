#include "platform_server.h"

#include <acaciarail/core/logging.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/signal_watcher.h>
#include <acaciarail/runtime/timer.h>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1:0", "Address to listen on; port 0 lets the kernel choose");
DEFINE_int32(run_for, 600, "Seconds after which the process exits");
DEFINE_int32(list_lag_ms, 0, "Time until a change of the instance list becomes visible");
DEFINE_uint64(retention, 1'000'000, "Records that the log keeps");

using namespace Acaciarail;

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Stand-in for the platform's log and list of instances");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    configureLogging(LogLevel::Info);

    const auto address = Runtime::parseSocketAddress(FLAGS_address);
    if (!address) {
        std::cerr << "--address: expected HOST:PORT, found " << FLAGS_address << '\n';
        return 2;
    }
    Runtime::EventLoop loop;
    Standins::PlatformServer server(loop, *address);
    server.model().setListLag(std::chrono::milliseconds(FLAGS_list_lag_ms));
    server.model().setRetention(FLAGS_retention);
    if (const auto error = server.listen()) {
        std::cerr << "listen: " << error.message() << '\n';
        return 1;
    }
    const Runtime::SignalWatcher terminated(loop, SIGTERM, [&loop] { loop.stop(); });
    const Runtime::SignalWatcher interrupted(loop, SIGINT, [&loop] { loop.stop(); });
    Runtime::Timer limit(loop, [&loop] { loop.stop(); });
    limit.start(std::chrono::seconds(FLAGS_run_for));
    std::cout << "port=" << server.address().port << std::endl;
    loop.run();
    return 0;
}
