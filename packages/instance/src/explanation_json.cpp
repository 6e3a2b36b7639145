#include <acaciarail/instance/explanation_json.h>

#include <nlohmann/json.hpp>

namespace Acaciarail::Instance {

namespace {

auto toMilliseconds(Duration d) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

auto phaseName(State::JobPhase phase) -> const char *
{
    switch (phase) {
    case State::JobPhase::Accepted:
        return "accepted";
    case State::JobPhase::Assigned:
        return "assigned";
    case State::JobPhase::Finished:
        break;
    }
    return "finished";
}

} // namespace

auto renderExplanation(const State::JobState &state, const Scheduling::Explanation *explanation, TimePoint now) -> std::string
{
    nlohmann::json out{
        {"id", state.job.id.str()}, {"zone", state.job.zone.str()}, {"phase", phaseName(state.phase)}, {"attempt", state.attempt}};
    if (state.phase == State::JobPhase::Finished) {
        out["outcome"] = jobOutcomeName(state.outcome);
        out["reason"] = jobReasonName(state.reason);
        out["detail"] = state.detail;
    } else if (explanation) {
        out["state"] = jobStateName(explanation->state);
        out["waits_for"] = waitReasonName(explanation->reason);
        out["guaranteed"] = explanation->guaranteed;
        out["ahead"] = explanation->ahead;
        out["detail"] = explanation->detail;
        if (explanation->expectedStart) {
            out["expected_in_ms"] = toMilliseconds(*explanation->expectedStart - now);
        }
    } else {
        out["detail"] = "the holder of the job's shard could not be reached";
    }
    for (const auto &it : state.members) {
        out["members"].push_back({{"worker", it.worker.str()}, {"tasks", it.tasks}});
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Acaciarail::Instance
