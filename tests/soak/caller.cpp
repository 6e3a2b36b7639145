#include "caller.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

constexpr Duration tickInterval = 20ms;
constexpr Duration pollInterval = 400ms;
constexpr Duration retryDelay = 300ms;
constexpr int requestTimeoutSeconds = 3;
constexpr std::uint32_t maxSubmitAttempts = 5;
constexpr std::size_t maxOpenJobs = 12;
/// Share of the steps that require a label.
constexpr double labelProbability = 0.4;
constexpr int firstErrorStatus = 300;
constexpr int statusUnauthorized = 401;
constexpr int statusGone = 410;

auto isSuccess(int status) -> bool
{
    return status > 0 && status < firstErrorStatus;
}

auto encode(const JobPlan &plan) -> std::string
{
    auto steps = json::array();
    for (const auto &it : plan.steps) {
        json step{{"count", it.count},
                  {"cpu", it.milliCores},
                  {"memMb", it.memoryMiB},
                  {"gpus", it.accelerators},
                  {"estimateMs", toMilliseconds(it.work).count()}};
        if (it.gang) {
            step["gang"] = true;
        }
        if (it.checkpoints) {
            step["checkpoints"] = true;
        }
        if (!it.requiredLabel.empty()) {
            step["requires"] = it.requiredLabel;
        }
        if (!it.dependsOn.empty()) {
            step["dependsOn"] = it.dependsOn;
        }
        steps.push_back(std::move(step));
    }
    return json{{"spec", plan.payload}, {"steps", steps}}.dump();
}

} // namespace

Caller::Caller(Runtime::EventLoop &loop, Ledger &ledger, std::vector<QueueRoute> routes, Hooks hooks, std::uint64_t seed, std::string name)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_routes(std::move(routes))
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_labelRandom(seed)
    , m_name(std::move(name))
{
    tick();
}

Caller::~Caller()
{
    if (m_connection != nullptr) {
        evhttp_connection_free(m_connection);
    }
}

auto Caller::stopSubmitting() -> void
{
    m_submissionsStopped = true;
}

auto Caller::allJobsEnded() const -> bool
{
    for (const auto &it : m_jobs) {
        if (m_ledger.isAccepted(it.plan.id) && !m_ledger.hasOutcome(it.plan.id)) {
            return false;
        }
    }
    return true;
}

auto Caller::randomInteger(std::int64_t low, std::int64_t high) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

auto Caller::withProbability(double probability) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

auto Caller::makeSteps() -> std::vector<StepPlan>
{
    StepPlan step;
    step.count = static_cast<std::uint32_t>(randomInteger(1, 4));
    step.milliCores = randomInteger(1, 4) * 1000;
    step.memoryMiB = randomInteger(1, 4) * 1024;
    step.gang = withProbability(0.5);
    step.accelerators = step.gang ? randomInteger(1, 8) : randomInteger(0, 1);
    step.work = std::chrono::milliseconds(randomInteger(300, 3000));
    step.checkpoints = withProbability(0.4);
    step.fails = withProbability(0.08);
    std::vector<StepPlan> steps{step};
    if (withProbability(0.3)) {
        step.dependsOn = {0};
        step.fails = false;
        step.gang = false;
        step.accelerators = 0;
        steps.push_back(step);
    }
    for (auto &it : steps) {
        requireLabel(it);
    }
    return steps;
}

auto Caller::requireLabel(StepPlan &step) -> void
{
    if (std::uniform_real_distribution<double>(0, 1)(m_labelRandom) >= labelProbability) {
        return;
    }
    step.requiredLabel = workerKinds.at(m_labelRandom() % workerKinds.size());
    if (step.gang) {
        // A larger gang may not find enough workers of the kind.
        const auto tasksPerWorker = WorkerSize{}.accelerators / step.accelerators;
        step.count = std::min(step.count, static_cast<std::uint32_t>(minWorkersPerKind * tasksPerWorker));
    }
}

auto Caller::addJob() -> void
{
    Job job;
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%08x%08x", static_cast<unsigned>(m_random() & 0xffffffffU), ++m_jobCount);
    job.plan = {id.data(), "payload of " + m_name + ' ' + std::to_string(m_jobCount), makeSteps()};
    job.route = m_routes[static_cast<std::size_t>(randomInteger(0, static_cast<std::int64_t>(m_routes.size()) - 1))];
    job.body = encode(job.plan);
    job.shouldCancel = withProbability(0.12);
    job.cancelAt = m_loop.now() + std::chrono::milliseconds(randomInteger(0, 4000));
    job.shouldResubmit = withProbability(0.15);
    m_ledger.registerJob(job.plan);
    m_jobs.push_back(std::move(job));
}

auto Caller::tick() -> void
{
    const auto now = m_loop.now();
    std::size_t openJobs = 0;
    for (const auto &it : m_jobs) {
        openJobs += it.submitting || (m_ledger.isAccepted(it.plan.id) && !m_ledger.hasOutcome(it.plan.id)) ? 1 : 0;
    }
    if (!m_submissionsStopped && now >= m_nextJobTime && openJobs < maxOpenJobs) {
        addJob();
        m_nextJobTime = now + std::chrono::milliseconds(randomInteger(100, 900));
    }
    for (std::size_t i = 0; i < m_jobs.size() && !m_busy; ++i) {
        auto &job = m_jobs[(m_nextIndex + i) % m_jobs.size()];
        const bool accepted = m_ledger.isAccepted(job.plan.id);
        if (now < job.nextRequest) {
            continue;
        }
        if (job.submitting || (accepted && std::exchange(job.shouldResubmit, false))) {
            submit(job);
        } else if (accepted && !m_ledger.hasOutcome(job.plan.id)) {
            job.shouldCancel &&now >= job.cancelAt ? cancel(job) : poll(job);
        } else {
            continue;
        }
        m_nextIndex = m_nextIndex + i + 1;
    }
    m_loop.callAfter(tickInterval, [this] { tick(); });
}

auto Caller::submit(Job &job) -> void
{
    ++job.attempts;
    sendRequest(EVHTTP_REQ_POST, job, job.body, [this, &job](int status, const std::string &) {
        m_ledger.submitAttemptEnded(job.plan.id, status);
        job.submitting = job.submitting && !isSuccess(status) && job.attempts < maxSubmitAttempts;
        job.nextRequest = m_loop.now() + retryDelay;
    });
}

auto Caller::cancel(Job &job) -> void
{
    m_ledger.cancelRequested(job.plan.id);
    sendRequest(EVHTTP_REQ_DELETE, job, {}, [this, &job](int status, const std::string &) {
        if (isSuccess(status)) {
            m_ledger.cancelAcknowledged(job.plan.id);
            job.shouldCancel = false;
        }
        job.nextRequest = m_loop.now() + retryDelay;
    });
}

auto Caller::poll(Job &job) -> void
{
    sendRequest(EVHTTP_REQ_GET, job, {}, [this, &job](int status, const std::string &body) {
        job.nextRequest = m_loop.now() + pollInterval;
        if (status == statusGone) {
            m_ledger.addViolation("accepted job " + job.plan.id + " is said not to exist");
        } else if (isSuccess(status)) {
            const auto response = json::parse(body, nullptr, false);
            m_ledger.stateReported(job.plan.id,
                                   response.is_object() && response.contains("state") ? response["state"].get<std::string>() : body);
        }
    });
}

auto Caller::reconnect() -> void
{
    if (m_connection != nullptr) {
        evhttp_connection_free(m_connection);
    }
    m_address = m_hooks.chooseAddress();
    m_connection = evhttp_connection_base_new(m_loop.base(), nullptr, m_address.host.c_str(), m_address.port);
    evhttp_connection_set_timeout(m_connection, requestTimeoutSeconds);
}

auto Caller::handleResponse(evhttp_request *request) -> void
{
    std::string text;
    if (request != nullptr) {
        auto *input = evhttp_request_get_input_buffer(request);
        text.resize(evbuffer_get_length(input));
        evbuffer_remove(input, text.data(), text.size());
    }
    std::exchange(m_responseHandler, nullptr)(request == nullptr ? 0 : evhttp_request_get_response_code(request), text);
}

auto Caller::sendRequest(int method, const Job &job, const std::string &body, ResponseHandler handler) -> void
{
    if (m_connection == nullptr) {
        reconnect();
    }
    m_busy = true;
    const auto sentAt = m_loop.now();
    const auto key = m_hooks.apiKey();
    m_responseHandler = [this, sentAt, key, handler = std::move(handler)](int status, const std::string &text) {
        if (isSuccess(status)) {
            m_hooks.onSuccess(key, sentAt);
        } else if (status == 0) {
            m_hooks.onNoResponse(m_loop.now() - sentAt);
        }
        handler(status, text);
        // Posted, because the connection must not be freed in its own callback. After a refusal the caller selects an instance again, as a
        // client that retries would.
        m_loop.post([this, shouldReconnect = !isSuccess(status) && status != statusGone && status != statusUnauthorized] {
            m_busy = false;
            if (shouldReconnect) {
                reconnect();
            }
        });
    };
    auto *request = evhttp_request_new([](evhttp_request *r, void *self) { static_cast<Caller *>(self)->handleResponse(r); }, this);
    auto *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", job.route.host.c_str());
    evhttp_add_header(headers, "Api-Key", key.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(m_connection, request, static_cast<evhttp_cmd_type>(method), (job.route.prefix + job.plan.id).c_str());
}

} // namespace Acaciarail::Soak
