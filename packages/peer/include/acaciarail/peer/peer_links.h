#pragma once

#include <acaciarail/peer/messages.h>
#include <acaciarail/runtime/frame_connection.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace Acaciarail::Peer {

struct PeerLinksSettings
{
    /// Name and incarnation of this instance, sent in the first frame of each connection.
    InstanceName self;
    std::uint64_t incarnation = 0;
    Runtime::FrameServerSettings server;
    /// An accepted connection whose peer has not sent its name within this time is closed.
    Duration helloTimeout = 2s;
    /// Received messages are acknowledged with an empty frame after this time, so that a sender detects a connection that stopped
    /// responding. Longer than the interval of the heartbeats, so that these serve as acknowledgements when both sides send them.
    Duration acknowledgeAfter = 1s;
    /// Bounds of the delay before the next attempt to connect; see Worker::WorkerLinksSettings.
    Duration minBackoff = 100ms;
    Duration maxBackoff = 5s;
};

/// Callbacks of the links. Called from the event loop, never from inside a method of PeerLinks.
struct PeerLinksHooks
{
    std::function<void(const InstanceName &from, const Message &message)> received;
    /// The outgoing connection to a peer is established.
    std::function<void(const InstanceName &peer)> up;
    /// The outgoing connection to a peer was lost, or an attempt to connect failed.
    std::function<void(const InstanceName &peer, const Runtime::CloseInfo &info)> down;
};

/// Connections to other instances: a listener, and at most one outgoing connection for each peer, opened on demand and then kept open.
/// A frame that is oversized or cannot be decoded closes its connection and is logged. Not thread-safe; used on the loop's thread.
class PeerLinks
{
public:
    /// \pre \a loop outlives the links. \a seed determines the jitter.
    PeerLinks(Runtime::EventLoop &loop, PeerLinksSettings settings, PeerLinksHooks hooks, std::uint64_t seed);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    auto operator=(const PeerLinks &) -> PeerLinks & = delete;

    /// Starts to listen. Returns the operating system's error when the address cannot be used. \pre not listening.
    [[nodiscard]] auto listen() -> std::error_code;

    /// Returns the listening address, with the port that the kernel assigned. \pre listen() succeeded.
    [[nodiscard]] auto address() const -> Runtime::SocketAddress;

    /// Sets the address of \a peer, without connecting. When the address changes, an open connection is replaced.
    /// Error::MalformedInput when \a address is not `HOST:PORT` with a numeric host. \pre none.
    [[nodiscard]] auto setPeer(const InstanceName &peer, std::string_view address) -> std::error_code;

    /// Closes all connections with \a peer and removes its address. \pre none.
    auto removePeer(const InstanceName &peer) -> void;

    /// Sends \a message over the outgoing connection, or over an accepted one from that peer while the outgoing one is not established;
    /// connects when there is neither, so that two instances normally share one connection. Errors: Error::NoEndpoint when the peer is not
    /// known and not connected, Error::ConnectionLost while the link waits to reconnect, Error::TooLarge, Error::Overloaded. On an error
    /// nothing was sent; without an error the message may still be lost with the connection. \pre none.
    [[nodiscard]] auto send(const InstanceName &peer, const Message &message) -> std::error_code;

    /// Returns whether a connection with \a peer is established, in either direction. \pre none.
    [[nodiscard]] auto isUp(const InstanceName &peer) const -> bool;

    /// Returns the number of accepted connections that are open. \pre none.
    [[nodiscard]] auto acceptedCount() const noexcept -> std::size_t;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Peer
