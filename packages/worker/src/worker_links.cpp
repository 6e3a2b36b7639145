#include <acaciarail/core/logging.h>
#include <acaciarail/runtime/reconnecting_connection.h>
#include <acaciarail/worker/worker_links.h>

#include <map>
#include <random>
#include <type_traits>
#include <utility>
#include <variant>

namespace Acaciarail::Worker {

namespace {

template<typename T, typename... U>
inline constexpr bool isOneOf = (std::is_same_v<T, U> || ...);

/// Whether the worker replies to this request immediately. It replies to Checkpoint much later, and never to the other requests.
auto isAnswered(const Request &request) -> bool
{
    return std::visit([]<typename T>(const T &) { return isOneOf<T, Attach, Renew, Reserve, Start, Confirm, Stop>; }, request);
}

/// Whether a message is, or may be, the immediate reply to a request. The worker sends the other messages without one.
auto isAnswer(const Reply &reply) -> bool
{
    return std::visit([]<typename T>(const T &) { return !isOneOf<T, Report, Checkpointed>; }, reply);
}

auto isProtocolError(Runtime::CloseReason reason) -> bool
{
    return reason == Runtime::CloseReason::FrameTooLarge || reason == Runtime::CloseReason::FrameRefused;
}

} // namespace

struct WorkerLinks::State
{
    State(Runtime::EventLoop &l, const WorkerLinksSettings &s, WorkerLinksHooks h, std::uint64_t seed)
        : loop(l)
        , settings(s)
        , hooks(std::make_shared<const WorkerLinksHooks>(std::move(h)))
        , random(seed)
    {
    }

    /// The hooks hold a weak reference, so that they have no effect once the links are destroyed.
    static auto hooksFor(const std::shared_ptr<State> &state, const WorkerName &worker) -> Runtime::ReconnectHooks
    {
        const std::weak_ptr<State> weak = state;
        Runtime::ReconnectHooks out;
        out.up = [weak, worker] {
            if (const auto s = weak.lock()) {
                s->opened(worker);
            }
        };
        out.received = [weak, worker](std::string_view content) {
            if (const auto s = weak.lock()) {
                s->frameReceived(worker, content);
            }
        };
        out.down = [weak, worker](const Runtime::CloseInfo &info) {
            if (const auto s = weak.lock()) {
                s->lost(worker, info);
            }
        };
        return out;
    }

    auto opened(const WorkerName &worker) const -> void
    {
        const auto current = hooks;
        if (current->up) {
            current->up(worker);
        }
    }

    auto frameReceived(const WorkerName &worker, std::string_view content) -> void
    {
        auto *connection = links.at(worker)->connection();
        Reply reply;
        if (const auto error = decodeMessage(content, reply)) {
            connection->reject(error);
            return;
        }
        if (isAnswer(reply)) {
            connection->repliesArrived();
        }
        const auto current = hooks;
        if (current->received) {
            current->received(worker, reply);
        }
    }

    auto lost(const WorkerName &worker, const Runtime::CloseInfo &info) const -> void
    {
        logEvent(isProtocolError(info.reason) ? LogLevel::Warning : LogLevel::Debug, "worker-link-down",
                 {{"worker", worker.str()}, {"reason", Runtime::closeReasonName(info.reason)}, {"error", info.error.message()}});
        const auto current = hooks;
        if (current->down) {
            current->down(worker, info);
        }
    }

    [[nodiscard]] auto find(const WorkerName &worker) const -> Runtime::ReconnectingConnection *
    {
        const auto it = links.find(worker);
        return it == links.end() ? nullptr : it->second.get();
    }

    Runtime::EventLoop &loop;
    WorkerLinksSettings settings;
    std::shared_ptr<const WorkerLinksHooks> hooks;
    std::mt19937_64 random;
    std::map<WorkerName, std::unique_ptr<Runtime::ReconnectingConnection>> links;
};

WorkerLinks::WorkerLinks(Runtime::EventLoop &loop, const WorkerLinksSettings &settings, WorkerLinksHooks hooks, std::uint64_t seed)
    : m_state(std::make_shared<State>(loop, settings, std::move(hooks), seed))
{
}

WorkerLinks::~WorkerLinks()
{
    m_state->links.clear();
}

auto WorkerLinks::setWorker(const WorkerName &worker, std::string_view address) -> std::error_code
{
    const auto parsed = Runtime::parseSocketAddress(address);
    if (!parsed || parsed->port == 0) {
        return Error::MalformedInput;
    }
    if (auto *link = m_state->find(worker)) {
        if (link->address() != *parsed) {
            link->setAddress(*parsed);
        }
        return {};
    }
    const Runtime::ReconnectSettings settings{m_state->settings.frames, m_state->settings.minBackoff, m_state->settings.maxBackoff};
    m_state->links.emplace(worker,
                           std::make_unique<Runtime::ReconnectingConnection>(m_state->loop, *parsed, settings,
                                                                             State::hooksFor(m_state, worker), m_state->random()));
    return {};
}

auto WorkerLinks::removeWorker(const WorkerName &worker) -> void
{
    m_state->links.erase(worker);
}

auto WorkerLinks::connect(const WorkerName &worker) -> std::error_code
{
    auto *link = m_state->find(worker);
    if (link == nullptr) {
        return Error::NoEndpoint;
    }
    link->connect();
    return {};
}

auto WorkerLinks::disconnect(const WorkerName &worker) -> void
{
    if (auto *link = m_state->find(worker)) {
        link->disconnect();
    }
}

auto WorkerLinks::send(const WorkerName &worker, const Request &request) -> std::error_code
{
    auto *link = m_state->find(worker);
    if (link == nullptr) {
        return Error::NoEndpoint;
    }
    if (const auto error = link->send(encodeMessage(request))) {
        return error;
    }
    if (isAnswered(request)) {
        link->connection()->expectReplies();
    }
    return {};
}

auto WorkerLinks::isUp(const WorkerName &worker) const -> bool
{
    const auto *link = m_state->find(worker);
    return link != nullptr && link->isUp();
}

} // namespace Acaciarail::Worker
