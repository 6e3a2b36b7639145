#include "caller.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

constexpr Duration tickPace = 20ms;
constexpr Duration askPace = 400ms;
constexpr Duration retryPause = 300ms;
constexpr int requestTimeoutSeconds = 3;
constexpr std::uint32_t maxSubmissions = 5;
constexpr std::size_t maxOpenJobs = 12;
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

auto Caller::settle() -> void
{
    m_settling = true;
}

auto Caller::isSettled() const -> bool
{
    for (const auto &it : m_jobs) {
        if (m_ledger.accepted(it.plan.id) && !m_ledger.final(it.plan.id)) {
            return false;
        }
    }
    return true;
}

auto Caller::pick(std::int64_t low, std::int64_t high) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

auto Caller::chance(double share) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

auto Caller::makeSteps() -> std::vector<StepPlan>
{
    StepPlan step;
    step.count = static_cast<std::uint32_t>(pick(1, 4));
    step.milliCores = pick(1, 4) * 1000;
    step.memoryMiB = pick(1, 4) * 1024;
    step.gang = chance(0.5);
    step.accelerators = step.gang ? pick(1, 8) : pick(0, 1);
    step.work = std::chrono::milliseconds(pick(300, 3000));
    step.checkpoints = chance(0.4);
    step.fails = chance(0.08);
    std::vector<StepPlan> steps{step};
    if (chance(0.3)) {
        step.dependsOn = {0};
        step.fails = false;
        step.gang = false;
        step.accelerators = 0;
        steps.push_back(step);
    }
    return steps;
}

auto Caller::addJob() -> void
{
    Job job;
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%08x%08x", static_cast<unsigned>(m_random() & 0xffffffffU), ++m_count);
    job.plan = {id.data(), "payload of " + m_name + ' ' + std::to_string(m_count), makeSteps()};
    job.route = m_routes[static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(m_routes.size()) - 1))];
    job.body = encode(job.plan);
    job.cancelWanted = chance(0.12);
    job.cancelAt = m_loop.now() + std::chrono::milliseconds(pick(0, 4000));
    job.repeatWanted = chance(0.15);
    m_ledger.plan(job.plan);
    m_jobs.push_back(std::move(job));
}

auto Caller::tick() -> void
{
    const auto now = m_loop.now();
    std::size_t open = 0;
    for (const auto &it : m_jobs) {
        open += it.submitting || (m_ledger.accepted(it.plan.id) && !m_ledger.final(it.plan.id)) ? 1 : 0;
    }
    if (!m_settling && now >= m_nextJob && open < maxOpenJobs) {
        addJob();
        m_nextJob = now + std::chrono::milliseconds(pick(100, 900));
    }
    for (std::size_t i = 0; i < m_jobs.size() && !m_busy; ++i) {
        auto &job = m_jobs[(m_next + i) % m_jobs.size()];
        const bool accepted = m_ledger.accepted(job.plan.id);
        if (now < job.nextCall) {
            continue;
        }
        if (job.submitting || (accepted && std::exchange(job.repeatWanted, false))) {
            submit(job);
        } else if (accepted && !m_ledger.final(job.plan.id)) {
            job.cancelWanted &&now >= job.cancelAt ? cancel(job) : ask(job);
        } else {
            continue;
        }
        m_next = m_next + i + 1;
    }
    m_loop.callAfter(tickPace, [this] { tick(); });
}

auto Caller::submit(Job &job) -> void
{
    ++job.attempts;
    call(EVHTTP_REQ_POST, job, job.body, [this, &job](int status, const std::string &) {
        m_ledger.submitAnswered(job.plan.id, status);
        job.submitting = job.submitting && !isSuccess(status) && job.attempts < maxSubmissions;
        job.nextCall = m_loop.now() + retryPause;
    });
}

auto Caller::cancel(Job &job) -> void
{
    m_ledger.cancelRequested(job.plan.id);
    call(EVHTTP_REQ_DELETE, job, {}, [this, &job](int status, const std::string &) {
        if (isSuccess(status)) {
            m_ledger.cancelAcknowledged(job.plan.id);
            job.cancelWanted = false;
        }
        job.nextCall = m_loop.now() + retryPause;
    });
}

auto Caller::ask(Job &job) -> void
{
    call(EVHTTP_REQ_GET, job, {}, [this, &job](int status, const std::string &body) {
        job.nextCall = m_loop.now() + askPace;
        if (status == statusGone) {
            m_ledger.violated("accepted job " + job.plan.id + " is said not to exist");
        } else if (isSuccess(status)) {
            const auto answer = json::parse(body, nullptr, false);
            m_ledger.shown(job.plan.id, answer.is_object() && answer.contains("state") ? answer["state"].get<std::string>() : body);
        }
    });
}

auto Caller::reconnect() -> void
{
    if (m_connection != nullptr) {
        evhttp_connection_free(m_connection);
    }
    m_address = m_hooks.choose();
    m_connection = evhttp_connection_base_new(m_loop.base(), nullptr, m_address.host.c_str(), m_address.port);
    evhttp_connection_set_timeout(m_connection, requestTimeoutSeconds);
}

auto Caller::complete(evhttp_request *request) -> void
{
    std::string text;
    if (request != nullptr) {
        auto *input = evhttp_request_get_input_buffer(request);
        text.resize(evbuffer_get_length(input));
        evbuffer_remove(input, text.data(), text.size());
    }
    std::exchange(m_done, nullptr)(request == nullptr ? 0 : evhttp_request_get_response_code(request), text);
}

auto Caller::call(int method, const Job &job, const std::string &body, Done done) -> void
{
    if (m_connection == nullptr) {
        reconnect();
    }
    m_busy = true;
    const auto sentAt = m_loop.now();
    const auto key = m_hooks.key();
    m_done = [this, sentAt, key, done = std::move(done)](int status, const std::string &text) {
        if (isSuccess(status)) {
            m_hooks.served(key, sentAt);
        } else if (status == 0) {
            m_hooks.cut(m_loop.now() - sentAt);
        }
        done(status, text);
        // The connection is freed outside of its own callback. A refusal moves the caller to another instance, as a retry would.
        m_loop.post([this, lost = !isSuccess(status) && status != statusGone && status != statusUnauthorized] {
            m_busy = false;
            if (lost) {
                reconnect();
            }
        });
    };
    auto *request = evhttp_request_new([](evhttp_request *r, void *self) { static_cast<Caller *>(self)->complete(r); }, this);
    auto *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", job.route.host.c_str());
    evhttp_add_header(headers, "Api-Key", key.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(m_connection, request, static_cast<evhttp_cmd_type>(method), (job.route.prefix + job.plan.id).c_str());
}

} // namespace Acaciarail::Soak
