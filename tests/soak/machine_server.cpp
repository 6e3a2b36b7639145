#include "machine_server.h"

#include <algorithm>
#include <utility>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

constexpr std::size_t pageSize = 4;
constexpr double refusalProbability = 0.1;
constexpr double silenceProbability = 0.05;
constexpr int statusUnavailable = 503;

} // namespace

MachineServer::MachineServer(Runtime::EventLoop &loop, WorkerFleet &fleet, std::uint64_t seed)
    : m_fleet(fleet)
    , m_random(seed)
    , m_listener(loop, [this](const HttpCall &call, const Respond &respond) { handle(call, respond); })
{
}

auto MachineServer::handle(const HttpCall &call, const Respond &respond) -> void
{
    const auto chance = std::uniform_real_distribution<double>(0, 1)(m_random);
    if (chance < silenceProbability) {
        return;
    }
    if (chance < silenceProbability + refusalProbability) {
        respond({statusUnavailable, "{}"});
        return;
    }
    respond(page(call.queryNumber("pageToken", 0)));
}

auto MachineServer::page(std::size_t first) -> HttpReply
{
    ++m_pagesServed;
    const auto &workers = m_fleet.workers();
    const auto end = std::min(first + pageSize, workers.size());
    json machines = json::array();
    for (auto i = first; i < end; ++i) {
        const auto &it = workers[i];
        machines.push_back({{"machine", machineOf(it)},
                            {"pool", "service"},
                            {"state", it.up ? "up" : "down"},
                            {"zone", it.zone},
                            {"id", it.up ? it.name : std::string()}});
    }
    const auto next = end < workers.size() ? json(std::to_string(end)) : json();
    return {200, json{{"machines", std::move(machines)}, {"nextToken", next}}.dump()};
}

} // namespace Acaciarail::Soak
