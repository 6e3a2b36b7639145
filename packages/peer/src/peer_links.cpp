#include <acaciarail/core/logging.h>
#include <acaciarail/peer/peer_links.h>
#include <acaciarail/runtime/reconnecting_connection.h>
#include <acaciarail/runtime/timer.h>

#include <map>
#include <random>
#include <utility>
#include <variant>

namespace Acaciarail::Peer {

/// Handshake: the first frame of each connection in both directions. Not one of the messages that the links deliver.
struct Hello
{
    InstanceName instance;
    std::uint64_t incarnation = 0;
};

} // namespace Acaciarail::Peer

ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::Hello, v.instance, v.incarnation);

namespace Acaciarail::Peer {

namespace {

using Handshake = std::variant<Hello>;

/// Limit on names from the network, which are stored for the lifetime of the connection.
constexpr std::size_t maxInstanceNameBytes = 256;

auto decodeHello(std::string_view content, Hello &hello) -> std::error_code
{
    Handshake handshake;
    if (const auto error = decodeMessage(content, handshake)) {
        return error;
    }
    hello = std::get<Hello>(handshake);
    const auto length = hello.instance.str().size();
    return length == 0 || length > maxInstanceNameBytes ? make_error_code(Error::MalformedInput) : std::error_code{};
}

auto isProtocolError(Runtime::CloseReason reason) -> bool
{
    return reason == Runtime::CloseReason::FrameTooLarge || reason == Runtime::CloseReason::FrameRefused;
}

auto logClosed(std::string_view direction, const InstanceName &peer, const Runtime::CloseInfo &info) -> void
{
    logEvent(isProtocolError(info.reason) ? LogLevel::Warning : LogLevel::Debug, "peer-connection-closed",
             {{"direction", direction},
              {"peer", peer.str()},
              {"reason", Runtime::closeReasonName(info.reason)},
              {"error", info.error.message()}});
}

/// An accepted connection.
struct AcceptedLink
{
    AcceptedLink(Runtime::EventLoop &loop, std::unique_ptr<Runtime::FrameConnection> c)
        : connection(std::move(c))
        , helloTimer(loop, [this] { connection->reject(Error::Timeout); })
        , acknowledgeTimer(loop, [this] { [[maybe_unused]] const auto error = connection->send({}); })
    {
    }
    std::unique_ptr<Runtime::FrameConnection> connection;
    /// Empty until the peer has sent its name.
    InstanceName peer;
    Runtime::Timer helloTimer;
    Runtime::Timer acknowledgeTimer;
};

/// The outgoing connection to one peer.
struct OutgoingLink
{
    explicit OutgoingLink(Runtime::EventLoop &loop)
        : acknowledgeTimer(loop, [this] { acknowledge(); })
    {
    }

    auto acknowledge() const -> void
    {
        if (auto *c = link->connection()) {
            [[maybe_unused]] const auto error = c->send({});
        }
    }

    std::unique_ptr<Runtime::ReconnectingConnection> link;
    /// Whether the peer has replied to the handshake with the expected name.
    bool handshakeDone = false;
    Runtime::Timer acknowledgeTimer;
};

/// Sends a message that the peer acknowledges with its next frame, which is empty when it has no message to send.
auto sendAcknowledged(Runtime::FrameConnection &connection, Runtime::Timer &acknowledgeTimer, std::string_view content) -> std::error_code
{
    if (const auto error = connection.send(content)) {
        return error;
    }
    // This frame also acknowledges all frames received before it.
    acknowledgeTimer.cancel();
    if (connection.expectedReplies() == 0) {
        connection.expectReplies();
    }
    return {};
}

} // namespace

struct PeerLinks::State : std::enable_shared_from_this<State>
{
    State(Runtime::EventLoop &l, PeerLinksSettings s, PeerLinksHooks h, std::uint64_t seed)
        : loop(l)
        , settings(std::move(s))
        , hooks(std::make_shared<const PeerLinksHooks>(std::move(h)))
        , random(seed)
        , server(l, settings.server, [this](auto connection) { accept(std::move(connection)); })
    {
    }

    [[nodiscard]] auto hello() const -> std::string
    {
        return encodeMessage(Handshake(Hello{settings.self, settings.incarnation}));
    }

    auto accept(std::unique_ptr<Runtime::FrameConnection> connection) -> void
    {
        const auto id = ++lastAccepted;
        const auto weak = weak_from_this();
        Runtime::FrameHooks events;
        events.received = [weak, id](std::string_view content) {
            if (const auto s = weak.lock()) {
                s->acceptedReceived(id, content);
            }
        };
        events.closed = [weak, id](const Runtime::CloseInfo &info) {
            if (const auto s = weak.lock()) {
                s->acceptedClosed(id, info);
            }
        };
        connection->setHooks(std::move(events));
        auto link = std::make_unique<AcceptedLink>(loop, std::move(connection));
        link->helloTimer.start(settings.helloTimeout);
        accepted.emplace(id, std::move(link));
    }

    auto acceptedReceived(std::uint64_t id, std::string_view content) -> void
    {
        auto &link = *accepted.at(id);
        if (link.peer.empty()) {
            completeHandshake(id, link, content);
            return;
        }
        link.connection->repliesArrived(link.connection->expectedReplies());
        deliver(link.peer, *link.connection, link.acknowledgeTimer, content);
    }

    auto completeHandshake(std::uint64_t id, AcceptedLink &link, std::string_view content) -> void
    {
        Hello announced;
        auto error = decodeHello(content, announced);
        if (!error && announced.instance == settings.self) {
            error = Error::DuplicateName;
        }
        if (!error) {
            error = link.connection->send(hello());
        }
        if (error) {
            link.connection->reject(error);
            return;
        }
        link.helloTimer.cancel();
        link.peer = announced.instance;
        // A peer that connects again has closed its earlier connection, which may be half open on this side.
        std::erase_if(accepted, [id, &link](const auto &it) { return it.first != id && it.second->peer == link.peer; });
    }

    auto acceptedClosed(std::uint64_t id, const Runtime::CloseInfo &info) -> void
    {
        const auto it = accepted.find(id);
        if (it == accepted.end()) {
            return;
        }
        logClosed("in", it->second->peer, info);
        accepted.erase(it);
    }

    auto deliver(const InstanceName &peer, Runtime::FrameConnection &connection, Runtime::Timer &acknowledgeTimer,
                 std::string_view content) const -> void
    {
        if (content.empty()) {
            return;
        }
        Message message;
        if (const auto error = decodeMessage(content, message)) {
            connection.reject(error);
            return;
        }
        if (!acknowledgeTimer.pending()) {
            acknowledgeTimer.start(settings.acknowledgeAfter);
        }
        // The hook may remove the peer and so destroy its name; a copy is passed.
        const auto current = hooks;
        const InstanceName from(peer.str());
        if (current->received) {
            current->received(from, message);
        }
    }

    auto addOutgoing(const InstanceName &peer, const Runtime::SocketAddress &address) -> void
    {
        const auto weak = weak_from_this();
        Runtime::ReconnectHooks events;
        events.handshake = [weak] {
            const auto s = weak.lock();
            return s ? s->hello() : std::string();
        };
        events.received = [weak, peer](std::string_view content) {
            if (const auto s = weak.lock()) {
                s->outgoingReceived(peer, content);
            }
        };
        events.down = [weak, peer](const Runtime::CloseInfo &info) {
            if (const auto s = weak.lock()) {
                s->outgoingLost(peer, info);
            }
        };
        const Runtime::ReconnectSettings reconnect{settings.server.frames, settings.minBackoff, settings.maxBackoff};
        auto out = std::make_unique<OutgoingLink>(loop);
        out->link = std::make_unique<Runtime::ReconnectingConnection>(loop, address, reconnect, std::move(events), random());
        outgoing.emplace(peer, std::move(out));
    }

    auto outgoingReceived(const InstanceName &peer, std::string_view content) -> void
    {
        auto &out = *outgoing.at(peer);
        auto &connection = *out.link->connection();
        connection.repliesArrived(connection.expectedReplies());
        if (out.handshakeDone) {
            deliver(peer, connection, out.acknowledgeTimer, content);
            return;
        }
        Hello announced;
        auto error = decodeHello(content, announced);
        // The address of a replaced instance may be that of another instance now.
        if (!error && announced.instance != peer) {
            error = Error::NoEndpoint;
        }
        if (error) {
            connection.reject(error);
            return;
        }
        out.handshakeDone = true;
        const auto current = hooks;
        if (current->up) {
            current->up(peer);
        }
    }

    auto outgoingLost(const InstanceName &peer, const Runtime::CloseInfo &info) -> void
    {
        const auto it = outgoing.find(peer);
        if (it != outgoing.end()) {
            it->second->handshakeDone = false;
            it->second->acknowledgeTimer.cancel();
        }
        logClosed("out", peer, info);
        const auto current = hooks;
        if (current->down) {
            current->down(peer, info);
        }
    }

    [[nodiscard]] auto findAccepted(const InstanceName &peer) const -> AcceptedLink *
    {
        for (const auto &[id, link] : accepted) {
            if (link->peer == peer) {
                return link.get();
            }
        }
        return nullptr;
    }

    [[nodiscard]] auto findOutgoing(const InstanceName &peer) const -> OutgoingLink *
    {
        const auto it = outgoing.find(peer);
        return it == outgoing.end() ? nullptr : it->second.get();
    }

    Runtime::EventLoop &loop;
    PeerLinksSettings settings;
    std::shared_ptr<const PeerLinksHooks> hooks;
    std::mt19937_64 random;
    Runtime::FrameServer server;
    std::uint64_t lastAccepted = 0;
    std::map<std::uint64_t, std::unique_ptr<AcceptedLink>> accepted;
    std::map<InstanceName, std::unique_ptr<OutgoingLink>> outgoing;
};

PeerLinks::PeerLinks(Runtime::EventLoop &loop, PeerLinksSettings settings, PeerLinksHooks hooks, std::uint64_t seed)
    : m_state(std::make_shared<State>(loop, std::move(settings), std::move(hooks), seed))
{
}

PeerLinks::~PeerLinks()
{
    m_state->server.stop();
    m_state->accepted.clear();
    m_state->outgoing.clear();
}

auto PeerLinks::listen() -> std::error_code
{
    return m_state->server.listen();
}

auto PeerLinks::address() const -> Runtime::SocketAddress
{
    return m_state->server.address();
}

auto PeerLinks::setPeer(const InstanceName &peer, std::string_view address) -> std::error_code
{
    const auto parsed = Runtime::parseSocketAddress(address);
    if (!parsed || parsed->port == 0) {
        return Error::MalformedInput;
    }
    auto *out = m_state->findOutgoing(peer);
    if (out == nullptr) {
        m_state->addOutgoing(peer, *parsed);
    } else if (out->link->address() != *parsed) {
        out->handshakeDone = false;
        out->acknowledgeTimer.cancel();
        out->link->setAddress(*parsed);
    }
    return {};
}

auto PeerLinks::removePeer(const InstanceName &peer) -> void
{
    m_state->outgoing.erase(peer);
    std::erase_if(m_state->accepted, [&peer](const auto &it) { return it.second->peer == peer; });
}

auto PeerLinks::send(const InstanceName &peer, const Message &message) -> std::error_code
{
    const auto content = encodeMessage(message);
    auto *out = m_state->findOutgoing(peer);
    auto *in = m_state->findAccepted(peer);
    if (in != nullptr && (out == nullptr || !out->handshakeDone)) {
        return sendAcknowledged(*in->connection, in->acknowledgeTimer, content);
    }
    if (out == nullptr) {
        return Error::NoEndpoint;
    }
    out->link->connect();
    auto *connection = out->link->connection();
    if (connection == nullptr) {
        return Error::ConnectionLost;
    }
    return sendAcknowledged(*connection, out->acknowledgeTimer, content);
}

auto PeerLinks::isUp(const InstanceName &peer) const -> bool
{
    const auto *out = m_state->findOutgoing(peer);
    return (out != nullptr && out->handshakeDone) || m_state->findAccepted(peer) != nullptr;
}

auto PeerLinks::acceptedCount() const noexcept -> std::size_t
{
    return m_state->accepted.size();
}

} // namespace Acaciarail::Peer
