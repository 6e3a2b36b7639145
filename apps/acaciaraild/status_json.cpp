#include "status_json.h"

#include <nlohmann/json.hpp>

namespace Acaciarail::Daemon {

namespace {

using Json = nlohmann::ordered_json;

auto dump(const Json &json) -> std::string
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto toJson(const Instance::ShardStatus &shard) -> Json
{
    Json out{{"zone", shard.key.zone.str()},
             {"shard", shard.key.shard},
             {"holder", shard.isHolder},
             {"recovered", shard.isRecovered},
             {"term", shard.term.number},
             {"workers_listed", shard.workersListed},
             {"workers_attached", shard.workersAttached},
             {"running", shard.launches},
             {"takeovers", shard.takeovers}};
    if (shard.summary) {
        const auto &it = *shard.summary;
        out["accelerators"] = it.capacity.accelerators;
        out["accelerators_free"] = it.free.accelerators;
        out["accelerators_borrowed"] = it.borrowed.accelerators;
        out["accelerators_guaranteed"] = it.guaranteed.accelerators;
        out["queued"] = it.queued;
        out["reservations"] = it.reservations;
        out["reclaiming"] = it.reclaiming;
        out["workers_quarantined"] = it.quarantinedWorkers;
        out["guarantee_shortfalls"] = it.shortfall.size();
    }
    return out;
}

} // namespace

auto renderStatus(const Instance::InstanceStatus &status) -> std::string
{
    Json out{{"instance", status.name.str()},
             {"zone", status.zone.str()},
             {"ready", status.isReady},
             {"draining", status.isDraining},
             {"log_available", status.isLogAvailable},
             {"next_offset", status.nextOffset},
             {"config_version", status.configVersion},
             {"live_peers", status.livePeers},
             {"pending_records", status.pendingRecords},
             {"appends", status.appends},
             {"open_orders", status.openNonIdempotentRequests},
             {"requests_queued", status.router.queued},
             {"requests_in_flight", status.router.inFlight},
             {"requests_delivered", status.router.delivered},
             {"requests_refused", status.router.refusedNotRun + status.router.refusedUnknown},
             {"endpoints", status.router.endpoints},
             {"endpoints_ejected", status.router.endpointsEjected},
             {"shards", Json::array()}};
    for (const auto &it : status.shards) {
        out["shards"].push_back(toJson(it));
    }
    return dump(out);
}

auto renderDocuments(const State::Replica &replica) -> std::string
{
    Json out{{"version", replica.configVersion()}, {"documents", Json::array()}};
    for (const auto &[name, it] : replica.documents()) {
        out["documents"].push_back({{"name", it.name},
                                    {"version", it.version},
                                    {"text", it.text},
                                    {"operator", it.origin.operatorName},
                                    {"origin_file", it.origin.file},
                                    {"origin_revision", it.origin.revision}});
    }
    return dump(out);
}

auto toJobDocument(const State::JobState &state) -> Caller::JobDocument
{
    Caller::JobDocument document;
    document.job = state.job;
    document.attempt = state.attempt;
    document.members = state.members;
    document.reason = state.reason;
    document.detail = state.detail;
    switch (state.phase) {
    case State::JobPhase::Accepted:
        document.phase = Caller::JobPhase::Queued;
        break;
    case State::JobPhase::Assigned:
        document.phase = Caller::JobPhase::Running;
        break;
    case State::JobPhase::Finished:
        document.phase = Caller::JobPhase::Finished;
        document.outcome = state.outcome;
        break;
    }
    return document;
}

} // namespace Acaciarail::Daemon
