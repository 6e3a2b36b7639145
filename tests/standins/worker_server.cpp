#include "worker_server.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Acaciarail::Standins {

namespace {

auto isReplyToHolder(const Worker::Reply &reply) -> bool
{
    const auto *attached = std::get_if<Worker::Attached>(&reply);
    return std::holds_alternative<Worker::Renewed>(reply) || (attached != nullptr && attached->granted);
}

} // namespace

WorkerServer::WorkerServer(Runtime::EventLoop &loop, WorkerModelSettings settings, WorkerModel::Plan plan,
                           const Runtime::SocketAddress &address)
    : m_loop(loop)
    , m_model(std::move(settings), std::move(plan), loop.now())
    , m_server(loop, {address, {}, 1024}, [this](auto connection) { accept(std::move(connection)); })
    , m_timer(loop, [this] { advance(); })
{
    advance();
}

auto WorkerServer::listen() -> std::error_code
{
    const auto error = m_server.listen();
    m_model.setAddress(address().str());
    return error;
}

auto WorkerServer::address() const -> Runtime::SocketAddress
{
    return m_server.address();
}

auto WorkerServer::silenceConnections() -> void
{
    m_lastSilentConnection = m_accepted;
}

auto WorkerServer::dropConnections() -> void
{
    m_connections.clear();
}

auto WorkerServer::model() -> WorkerModel &
{
    return m_model;
}

auto WorkerServer::connectionCount() const noexcept -> std::size_t
{
    return m_connections.size();
}

auto WorkerServer::acceptedCount() const noexcept -> std::uint64_t
{
    return m_accepted;
}

auto WorkerServer::accept(std::unique_ptr<Runtime::FrameConnection> connection) -> void
{
    const auto id = ++m_accepted;
    Runtime::FrameHooks hooks;
    hooks.received = [this, id](std::string_view content) { received(id, content); };
    hooks.closed = [this, id](const Runtime::CloseInfo &) { m_connections.erase(id); };
    connection->setHooks(std::move(hooks));
    m_connections.emplace(id, std::move(connection));
}

auto WorkerServer::received(std::uint64_t id, std::string_view content) -> void
{
    if (id <= m_lastSilentConnection) {
        return;
    }
    Worker::Request request;
    if (const auto error = decodeMessage(content, request)) {
        m_connections.at(id)->reject(error);
        return;
    }
    for (const auto &reply : m_model.handle(request, m_loop.now())) {
        if (isReplyToHolder(reply)) {
            m_holderConnection = id;
        }
        send(id, reply);
    }
    advance();
}

auto WorkerServer::send(std::uint64_t id, const Worker::Reply &reply) -> void
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end() || id <= m_lastSilentConnection) {
        return;
    }
    // Messages to a holder that does not read are lost; Ended is repeated, and a new Report follows at the next interval.
    [[maybe_unused]] const auto error = it->second->send(encodeMessage(reply));
}

auto WorkerServer::advance() -> void
{
    const auto now = m_loop.now();
    for (const auto &reply : m_model.tick(now)) {
        send(m_holderConnection, reply);
    }
    m_timer.start(std::max(m_model.nextDeadline(), now) - now);
}

} // namespace Acaciarail::Standins
