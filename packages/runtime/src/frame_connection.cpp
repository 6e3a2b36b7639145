#include "frame_connection_state.h"

#include <acaciarail/core/error.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace Acaciarail::Runtime {

namespace {

constexpr std::array<std::string_view, 8> closeReasonNames{
    "closed-locally",   "closed-by-peer",  "connect-failed", "connect-timeout",
    "progress-timeout", "frame-too-large", "frame-refused",  "io-error",
};

/// Idle connections are probed, so that those whose peer vanished without a FIN are closed after about 25 s.
constexpr int keepaliveIdleSeconds = 10;
constexpr int keepaliveIntervalSeconds = 5;
constexpr int keepaliveProbes = 3;

/// Written bytes that stay unacknowledged for this long end the connection; the kernel's own limit is about 15 minutes.
constexpr int unacknowledgedMilliseconds = 20'000;

auto setOption(int fd, int level, int option, int value) -> void
{
    ::setsockopt(fd, level, option, &value, sizeof value);
}

auto configureSocket(int fd) -> void
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepaliveIdleSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepaliveIntervalSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, keepaliveProbes);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
}

auto encodeLength(std::size_t n) -> std::array<unsigned char, frameHeaderBytes>
{
    return {static_cast<unsigned char>(n >> 24U), static_cast<unsigned char>(n >> 16U), static_cast<unsigned char>(n >> 8U),
            static_cast<unsigned char>(n)};
}

auto decodeLength(const std::array<unsigned char, frameHeaderBytes> &header) -> std::size_t
{
    return std::size_t{header[0]} << 24U | std::size_t{header[1]} << 16U | std::size_t{header[2]} << 8U | std::size_t{header[3]};
}

} // namespace

auto closeReasonName(CloseReason reason) noexcept -> std::string_view
{
    return closeReasonNames.at(static_cast<std::size_t>(reason));
}

FrameConnection::State::State(EventLoop &l, const FrameSettings &s, SocketAddress address)
    : loop(l)
    , settings(s)
    , remote(std::move(address))
    , hooks(std::make_shared<const FrameHooks>())
    , progressTimer(l, [this] { checkProgress(); })
    , connectTimer(l, [this] { fail(CloseReason::ConnectTimeout, Error::Timeout); })
{
}

FrameConnection::State::~State()
{
    tearDown();
}

auto FrameConnection::State::attach(bufferevent *connection) -> void
{
    bev = connection;
    const auto onRead = [](bufferevent *, void *arg) { static_cast<State *>(arg)->readFrames(); };
    const auto onEvent = [](bufferevent *, short what, void *arg) { static_cast<State *>(arg)->handleEvent(what); };
    bufferevent_setcb(bev, onRead, nullptr, onEvent, this);
    // Reading pauses at this size, which is always enough for one complete frame.
    bufferevent_setwatermark(bev, EV_READ, 0, 2 * (maxFrameBytes + frameHeaderBytes));
}

auto FrameConnection::State::handleOpened() -> void
{
    isOpen = true;
    connectTimer.cancel();
    configureSocket(bufferevent_getfd(bev));
    lastByteAt = loop.now();
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    if (expected > 0) {
        progressTimer.start(settings.progressTimeout);
    }
}

auto FrameConnection::State::readFrames() -> void
{
    const auto keepAlive = shared_from_this();
    lastByteAt = loop.now();
    while (bev != nullptr) {
        auto *input = bufferevent_get_input(bev);
        std::array<unsigned char, frameHeaderBytes> header{};
        if (evbuffer_copyout(input, header.data(), header.size()) < static_cast<ev_ssize_t>(header.size())) {
            return;
        }
        const auto length = decodeLength(header);
        if (length > maxFrameBytes) {
            fail(CloseReason::FrameTooLarge, Error::TooLarge);
            return;
        }
        if (evbuffer_get_length(input) < frameHeaderBytes + length) {
            return;
        }
        // The content is copied, because the hook may destroy the connection together with its buffer.
        std::string content(length, '\0');
        evbuffer_drain(input, frameHeaderBytes);
        evbuffer_remove(input, content.data(), length);
        const auto current = hooks;
        if (current->received) {
            current->received(content);
        }
    }
}

auto FrameConnection::State::handleEvent(short what) -> void
{
    const auto keepAlive = shared_from_this();
    const auto socketError = EVUTIL_SOCKET_ERROR();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        handleOpened();
        const auto current = hooks;
        if (current->connected) {
            current->connected();
        }
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        fail(CloseReason::ClosedByPeer, Error::ConnectionLost);
        return;
    }
    const std::error_code error(socketError, std::generic_category());
    if (!isOpen) {
        fail(CloseReason::ConnectFailed, error);
        return;
    }
    fail(socketError == ECONNRESET || socketError == EPIPE ? CloseReason::ClosedByPeer : CloseReason::IoError, error);
}

auto FrameConnection::State::checkProgress() -> void
{
    if (expected == 0 || bev == nullptr) {
        return;
    }
    const auto now = loop.now();
    const auto left = std::max(lastByteAt, expectedSince) + settings.progressTimeout - now;
    if (left > Duration::zero()) {
        timeoutPassedOnce = false;
        progressTimer.start(left);
        return;
    }
    if (-left > settings.progressTimeout / 2) {
        // The process itself was paused, perhaps before the request was written, so the peer gets the whole timeout once more.
        expectedSince = now;
        progressTimer.start(settings.progressTimeout);
        return;
    }
    if (!timeoutPassedOnce) {
        // Bytes that arrived during a shorter pause are delivered in the next iteration of the loop.
        timeoutPassedOnce = true;
        progressTimer.start({});
        return;
    }
    fail(CloseReason::ProgressTimeout, Error::Timeout);
}

auto FrameConnection::State::fail(CloseReason reason, std::error_code error) -> void
{
    if (bev == nullptr) {
        return;
    }
    const auto keepAlive = shared_from_this();
    const auto current = hooks;
    tearDown();
    if (current->closed) {
        current->closed({reason, error});
    }
}

auto FrameConnection::State::tearDown() -> void
{
    isOpen = false;
    progressTimer.cancel();
    connectTimer.cancel();
    serverSlot.reset();
    if (bev != nullptr) {
        bufferevent_free(std::exchange(bev, nullptr));
    }
}

FrameConnection::FrameConnection(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

FrameConnection::~FrameConnection()
{
    close();
}

auto FrameConnection::connect(EventLoop &loop, const SocketAddress &address, const FrameSettings &settings, FrameHooks hooks)
    -> std::unique_ptr<FrameConnection>
{
    auto state = std::make_shared<State>(loop, settings, address);
    state->hooks = std::make_shared<const FrameHooks>(std::move(hooks));
    // With deferred callbacks, a failure that is detected at once is not reported from inside this call.
    state->attach(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    const auto target = Detail::toSystemAddress(address);
    const auto started = target && bufferevent_socket_connect(state->bev, target->get(), target->length) == 0;
    if (started) {
        state->connectTimer.start(settings.connectTimeout);
    } else {
        const std::error_code error(target ? errno : EINVAL, std::generic_category());
        loop.post([weak = std::weak_ptr(state), error] {
            if (const auto s = weak.lock()) {
                s->fail(CloseReason::ConnectFailed, error);
            }
        });
    }
    return std::unique_ptr<FrameConnection>(new FrameConnection(std::move(state)));
}

auto FrameConnection::setHooks(FrameHooks hooks) -> void
{
    m_state->hooks = std::make_shared<const FrameHooks>(std::move(hooks));
}

auto FrameConnection::send(std::string_view content) -> std::error_code
{
    if (content.size() > maxFrameBytes) {
        return Error::TooLarge;
    }
    if (m_state->bev == nullptr) {
        return Error::ConnectionLost;
    }
    if (queuedBytes() + frameHeaderBytes + content.size() > m_state->settings.maxQueuedBytes) {
        return Error::Overloaded;
    }
    auto *output = bufferevent_get_output(m_state->bev);
    const auto header = encodeLength(content.size());
    evbuffer_expand(output, header.size() + content.size());
    evbuffer_add(output, header.data(), header.size());
    evbuffer_add(output, content.data(), content.size());
    return {};
}

auto FrameConnection::expectReplies(std::size_t count) -> void
{
    if (m_state->bev == nullptr || count == 0) {
        return;
    }
    if (m_state->expected == 0) {
        m_state->expectedSince = m_state->loop.now();
        if (m_state->isOpen) {
            m_state->progressTimer.start(m_state->settings.progressTimeout);
        }
    }
    m_state->expected += count;
}

auto FrameConnection::repliesArrived(std::size_t count) -> void
{
    m_state->expected -= std::min(count, m_state->expected);
    if (m_state->expected == 0) {
        m_state->progressTimer.cancel();
    }
}

auto FrameConnection::expectedReplies() const noexcept -> std::size_t
{
    return m_state->expected;
}

auto FrameConnection::close() -> void
{
    m_state->hooks = std::make_shared<const FrameHooks>();
    m_state->tearDown();
}

auto FrameConnection::reject(std::error_code error) -> void
{
    m_state->fail(CloseReason::FrameRefused, error);
}

auto FrameConnection::isOpen() const noexcept -> bool
{
    return m_state->isOpen;
}

auto FrameConnection::isClosed() const noexcept -> bool
{
    return m_state->bev == nullptr;
}

auto FrameConnection::queuedBytes() const noexcept -> std::size_t
{
    return m_state->bev == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(m_state->bev));
}

auto FrameConnection::remote() const -> SocketAddress
{
    return m_state->remote;
}

} // namespace Acaciarail::Runtime
