#include "connection.h"

#include <acaciarail/caller/problem.h>
#include <acaciarail/core/logging.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace Acaciarail::Caller::Detail {

namespace {

/// Limit of the bytes of later requests that are buffered while one is handled; above it, reading stops.
constexpr std::size_t maxPipelinedBytes = std::size_t{64} * 1024;
/// Requests up to this size are accepted even when the buffers are full, so that large requests cannot block small ones.
constexpr std::size_t alwaysBufferedBytes = std::size_t{16} * 1024;

/// Buffers of large requests grow by this much instead of doubling, so that at most this much of one is unused.
constexpr std::size_t bufferStep = std::size_t{64} * 1024;

auto isConnectionHeader(std::string_view name) noexcept -> bool
{
    const HttpHeaders connectionHeaders{{"Connection", {}}, {"Content-Length", {}}, {"Transfer-Encoding", {}}, {"Keep-Alive", {}}};
    return findHeader(connectionHeaders, name).has_value();
}

/// Returns whether a header from an endpoint cannot end its line and inject another header.
auto isSafeHeader(const HttpHeader &header) noexcept -> bool
{
    const auto isNameChar = [](char c) { return c > ' ' && c < 0x7f && c != ':'; };
    const auto isUnsafe = [](char c) { return c == '\r' || c == '\n' || c == '\0'; };
    return !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), isNameChar)
        && std::none_of(header.value.begin(), header.value.end(), isUnsafe);
}

auto hasBody(std::uint16_t status) noexcept -> bool
{
    constexpr std::uint16_t noContent = 204;
    constexpr std::uint16_t notModified = 304;
    return status != noContent && status != notModified;
}

auto describePeer(const sockaddr *address) -> std::string
{
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (address != nullptr && address->sa_family == AF_INET) {
        const auto *in = reinterpret_cast<const sockaddr_in *>(address);
        inet_ntop(AF_INET, &in->sin_addr, buf.data(), buf.size());
        return std::string(buf.data()) + ":" + std::to_string(ntohs(in->sin_port));
    }
    if (address != nullptr && address->sa_family == AF_INET6) {
        const auto *in = reinterpret_cast<const sockaddr_in6 *>(address);
        inet_ntop(AF_INET6, &in->sin6_addr, buf.data(), buf.size());
        return "[" + std::string(buf.data()) + "]:" + std::to_string(ntohs(in->sin6_port));
    }
    return "unknown";
}

/// Parses the header lines, which the framer has checked. libevhtp omits headers with empty values and keeps trailing white space.
auto readHeaders(std::string_view head) -> HttpHeaders
{
    HttpHeaders out;
    constexpr std::string_view lineEnd = "\r\n";
    head.remove_prefix(head.find(lineEnd) + lineEnd.size());
    for (auto end = head.find(lineEnd); end != 0; end = head.find(lineEnd)) {
        const auto line = head.substr(0, end);
        const auto colon = line.find(':');
        auto value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
        value = value.substr(0, value.find_last_not_of(" \t") + 1);
        out.push_back({std::string(line.substr(0, colon)), std::string(value)});
        head.remove_prefix(end + lineEnd.size());
    }
    return out;
}

/// Parses the request line, which the framer has checked, and returns the HTTP version.
auto readRequestLine(std::string_view head, HttpRequest &out) -> std::string_view
{
    const auto line = head.substr(0, head.find('\r'));
    const auto methodEnd = line.find(' ');
    const auto targetEnd = line.rfind(' ');
    const auto target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const auto pathEnd = target.find('?');
    out.method = parseHttpMethod(line.substr(0, methodEnd)).value_or(HttpMethod::Get);
    out.path = target.substr(0, pathEnd);
    out.query = pathEnd == std::string_view::npos ? std::string_view() : target.substr(pathEnd + 1);
    return line.substr(targetEnd + 1);
}

/// Builds the message that libevhtp parses. Its parser leaves the final line end of a chunked body unread, so it gets the
/// decoded body with a Content-Length instead.
auto makeParserMessage(std::string_view message, const Framing &framing, const HttpRequest &request) -> std::string
{
    if (!framing.chunked) {
        return std::string(message);
    }
    const auto body = decodeChunks(message.substr(framing.headSize));
    std::string out(message.substr(0, message.find('\n') + 1));
    for (const auto &it : request.headers) {
        if (!findHeader({it}, "Transfer-Encoding")) {
            out += it.name + ": " + it.value + "\r\n";
        }
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto asksToClose(const HttpHeaders &headers) -> bool
{
    const auto value = findHeader(headers, "Connection");
    if (!value) {
        return false;
    }
    std::string lower(*value);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower.find("close") != std::string::npos;
}

auto makeRawResponse(const HttpResponse &response) -> std::string
{
    auto out = "HTTP/1.1 " + std::to_string(response.status) + " Refused\r\n";
    for (const auto &it : response.headers) {
        out += it.name + ": " + it.value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(response.body.size()) + "\r\nConnection: close\r\n\r\n" + response.body;
}

} // namespace

auto acceptRequest(evhtp_request_t *request, void *) -> void
{
    void *arg = nullptr;
    bufferevent_getcb(evhtp_connection_get_bev(request->conn), nullptr, nullptr, nullptr, &arg);
    static_cast<Connection *>(arg)->m_request = request;
}

Connection::Connection(ServerState &server, evhtp_connection_t *connection)
    : m_server(server.weak_from_this())
    , m_connection(connection)
    , m_bev(evhtp_connection_get_bev(connection))
    , m_peer(describePeer(connection->saddr))
    , m_framer(server.settings.limits)
    , m_timer(server.base, [this] { onTimer(); })
{
}

auto Connection::attach() -> void
{
    const auto server = m_server.lock();
    bufferevent_getcb(m_bev, &m_evhtpRead, &m_evhtpWrite, nullptr, &m_evhtpArg);
    bufferevent_setcb(m_bev, &Connection::onRead, &Connection::onWrite, &Connection::onEvent, this);
    const auto writeTimeout = toTimeval(server->settings.writeTimeout);
    bufferevent_set_timeouts(m_bev, nullptr, &writeTimeout);
    // libevhtp declares hooks of all types as one function type; a cast via void (*)() is the one that compilers accept for this.
    const auto onEnd = reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(&Connection::onConnectionEnd));
    evhtp_connection_set_hook(m_connection, evhtp_hook_on_connection_fini, onEnd, this);
    const int on = 1;
    setsockopt(m_connection->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    m_timer.start(server->settings.idleTimeout);
    m_timedState = FramingState::Empty;
    m_idleSince = MonotonicClock::now();
    server->markIdle(this);
}

auto Connection::onRead(bufferevent *, void *arg) -> void
{
    const auto self = static_cast<Connection *>(arg)->shared_from_this();
    self->readInput();
    self->process();
}

auto Connection::onWrite(bufferevent *, void *arg) -> void
{
    const auto self = static_cast<Connection *>(arg)->shared_from_this();
    if (evbuffer_get_length(bufferevent_get_output(self->m_bev)) == 0) {
        self->handleResponseWritten();
    }
}

auto Connection::onEvent(bufferevent *, short what, void *arg) -> void
{
    const auto self = static_cast<Connection *>(arg)->shared_from_this();
    constexpr short endEvents = BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT;
    if ((what & endEvents) != 0) {
        if (const auto server = self->m_server.lock(); server && (what & BEV_EVENT_TIMEOUT) != 0) {
            ++server->stats.unreadConnections;
            server->reportLimit("unread");
        }
        self->close();
    }
}

auto Connection::onConnectionEnd(evhtp_connection_t *, void *arg) -> evhtp_res
{
    static_cast<Connection *>(arg)->handleConnectionEnd();
    return EVHTP_RES_OK;
}

auto Connection::setPending(std::string bytes) -> void
{
    // A move assignment of a short string would keep the previous buffer.
    m_pending.swap(bytes);
    updateBufferedBytes();
}

auto Connection::updateBufferedBytes() -> void
{
    const auto now = m_pending.capacity();
    if (const auto server = m_server.lock()) {
        server->updateBufferedBytes(m_bufferedBytes, now);
    }
    m_bufferedBytes = now;
}

auto Connection::discardInput() -> void
{
    auto *input = bufferevent_get_input(m_bev);
    evbuffer_drain(input, evbuffer_get_length(input));
}

auto Connection::readInput() -> void
{
    if (m_mode == Mode::Closed) {
        return;
    }
    if (m_mode == Mode::Lingering) {
        discardInput();
        return;
    }
    auto *input = bufferevent_get_input(m_bev);
    const auto before = m_pending.size();
    const auto n = evbuffer_get_length(input);
    if (before + n > std::max(m_pending.capacity(), bufferStep)) {
        m_pending.reserve((before + n + bufferStep - 1) / bufferStep * bufferStep);
    }
    m_pending.resize(before + n);
    evbuffer_remove(input, m_pending.data() + before, n);
    const auto server = m_server.lock();
    updateBufferedBytes();
    if (server->areBuffersFull() && m_mode == Mode::Receiving && m_pending.size() > alwaysBufferedBytes) {
        server->reportLimit("memory");
        refuse(503, {Error::Overloaded, Execution::NotRun, "buffers for incoming requests: expected free space, found none"});
        return;
    }
    if (m_mode != Mode::Receiving && (m_pending.size() > maxPipelinedBytes || server->areBuffersFull())) {
        bufferevent_disable(m_bev, EV_READ);
    }
}

auto Connection::process() -> void
{
    if (m_mode != Mode::Receiving) {
        return;
    }
    const auto framing = m_framer.examine(m_pending);
    switch (framing.state) {
    case FramingState::Empty:
    case FramingState::Head:
    case FramingState::Body:
        awaitMore(framing);
        break;
    case FramingState::Complete:
        dispatch(framing);
        break;
    case FramingState::Refused:
        refuse(framing.status, framing.failure);
        break;
    }
}

auto Connection::awaitMore(const Framing &framing) -> void
{
    const auto server = m_server.lock();
    bufferevent_enable(m_bev, EV_READ);
    if (framing.expectsContinue && framing.state == FramingState::Body && !std::exchange(m_sentContinue, true)) {
        constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        evbuffer_add(bufferevent_get_output(m_bev), interim.data(), interim.size());
    }
    // Each state has one deadline as a whole, so that a caller cannot extend it by sending single bytes.
    if (framing.state == m_timedState) {
        return;
    }
    m_timedState = framing.state;
    if (framing.state == FramingState::Empty) {
        m_idleSince = MonotonicClock::now();
        server->markIdle(this);
        m_timer.start(server->stopping() ? server->settings.stopGrace : server->settings.idleTimeout);
    } else {
        server->markBusy(this);
        m_timer.start(framing.state == FramingState::Head ? server->settings.headTimeout : server->settings.bodyTimeout);
    }
}

auto Connection::dispatch(const Framing &framing) -> void
{
    const auto server = m_server.lock();
    m_timer.cancel();
    server->markBusy(this);
    m_timedState = FramingState::Complete;

    HttpRequest request;
    const auto head = std::string_view(m_pending).substr(0, framing.headSize);
    const bool isHttp10 = readRequestLine(head, request) == "HTTP/1.0";
    request.headers = readHeaders(head);
    const auto message = makeParserMessage(std::string_view(m_pending).substr(0, framing.size), framing, request);
    evbuffer_prepend(bufferevent_get_input(m_bev), message.data(), message.size());
    setPending(m_pending.substr(framing.size));
    m_evhtpRead(m_bev, m_evhtpArg);
    if (m_mode == Mode::Closed) {
        return;
    }
    if (m_request == nullptr || evbuffer_get_length(bufferevent_get_input(m_bev)) > 0) {
        logEvent(LogLevel::Warning, "http-parser-disagrees", {{"peer", m_peer}});
        refuse(400, {Error::MalformedInput, Execution::NotRun, "request: expected valid HTTP, found something else"});
        return;
    }
    m_framer.reset();
    m_sentContinue = false;

    request.id = server->nextRequestId();
    request.peer = m_peer;
    request.body.resize(evbuffer_get_length(m_request->buffer_in));
    evbuffer_copyout(m_request->buffer_in, request.body.data(), request.body.size());
    evbuffer_drain(m_request->buffer_in, request.body.size());

    m_mode = Mode::Handling;
    m_isHeadRequest = request.method == HttpMethod::Head;
    m_callerAskedToClose = asksToClose(request.headers);
    m_closeAfterResponse = isHttp10 || m_callerAskedToClose;
    m_openRequestId = request.id;
    ++server->stats.requests;
    server->requestOpened();
    ReplyHandle reply(std::make_shared<ReplyState>(weak_from_this(), request.id));
    server->hooks.onRequest(std::move(request), std::move(reply));
}

auto Connection::isOpen(RequestId id) const noexcept -> bool
{
    return m_openRequestId == id;
}

auto Connection::reply(RequestId id, HttpResponse response) -> bool
{
    const auto server = m_server.lock();
    if (!server || !isOpen(id)) {
        return false;
    }
    constexpr std::uint16_t firstFinalStatus = 200;
    constexpr std::uint16_t lastStatus = 599;
    if (response.status < firstFinalStatus || response.status > lastStatus) {
        response = renderProblemAs(
            500, {Error::OutcomeUnknown, Execution::Unknown, "status: expected 200 to 599, found " + std::to_string(response.status)});
    }
    m_openRequestId.reset();
    m_mode = Mode::Responding;
    m_closeAfterResponse = m_closeAfterResponse || server->stopping();
    if (!hasBody(response.status)) {
        response.body.clear();
    }
    for (const auto &it : response.headers) {
        if (isConnectionHeader(it.name) || !isSafeHeader(it)) {
            continue;
        }
        evhtp_headers_add_header(m_request->headers_out, evhtp_header_new(it.name.c_str(), it.value.c_str(), 1, 1));
    }
    if (m_isHeadRequest) {
        const auto size = std::to_string(response.body.size());
        evhtp_headers_add_header(m_request->headers_out, evhtp_header_new("Content-Length", size.c_str(), 1, 1));
        response.body.clear();
    }
    // libevhtp adds this header itself when the caller has asked for it.
    if (m_closeAfterResponse && !m_callerAskedToClose) {
        evhtp_headers_add_header(m_request->headers_out, evhtp_header_new("Connection", "close", 1, 1));
    }
    evbuffer_add(m_request->buffer_out, response.body.data(), response.body.size());
    evhtp_request_set_keepalive(m_request, m_closeAfterResponse ? 0 : 1);
    evhtp_send_reply(m_request, response.status);
    ++server->stats.answered;
    server->requestClosed();
    return true;
}

auto Connection::handleResponseWritten() -> void
{
    if (m_mode == Mode::Lingering) {
        shutdown(m_connection->sock, SHUT_WR);
        return;
    }
    if (m_mode != Mode::Responding) {
        return;
    }
    if (m_closeAfterResponse) {
        startLingering();
        shutdown(m_connection->sock, SHUT_WR);
        return;
    }
    m_request = nullptr;
    m_evhtpWrite(m_bev, m_evhtpArg);
    if (m_mode == Mode::Closed) {
        return;
    }
    m_mode = Mode::Receiving;
    // With enough pipelined requests, reading continues only once these are answered; awaitMore() enables it.
    if (m_pending.size() <= maxPipelinedBytes) {
        bufferevent_enable(m_bev, EV_READ);
    }
    process();
}

auto Connection::refuse(std::uint16_t status, const Failure &failure) -> void
{
    const auto server = m_server.lock();
    if (server) {
        ++server->stats.refused;
    }
    const auto text = makeRawResponse(renderProblemAs(status, failure));
    startLingering();
    evbuffer_add(bufferevent_get_output(m_bev), text.data(), text.size());
}

auto Connection::startLingering() -> void
{
    m_mode = Mode::Lingering;
    setPending({});
    discardInput();
    bufferevent_enable(m_bev, EV_READ);
    if (const auto server = m_server.lock()) {
        server->markBusy(this);
        m_timer.start(server->settings.lingerTimeout);
    }
}

auto Connection::hasUnreadInput() const -> bool
{
    int unread = 0;
    ioctl(m_connection->sock, FIONREAD, &unread);
    return unread > 0 || evbuffer_get_length(bufferevent_get_input(m_bev)) > 0 || !m_pending.empty();
}

auto Connection::prepareStop() -> void
{
    if (m_mode == Mode::Receiving && m_pending.empty()) {
        m_timer.start(m_server.lock()->settings.stopGrace);
    }
}

auto Connection::closeWhenIdle() -> void
{
    if (m_mode == Mode::Receiving && !hasUnreadInput()) {
        close();
    }
}

auto Connection::onTimer() -> void
{
    const auto self = shared_from_this();
    const auto server = m_server.lock();
    if (m_mode == Mode::Lingering) {
        close();
        return;
    }
    if (m_mode != Mode::Receiving || !server) {
        return;
    }
    if (!m_pending.empty()) {
        server->reportLimit(m_timedState == FramingState::Head ? "slow-header" : "slow-body");
        refuse(408,
               {Error::Timeout, Execution::NotRun,
                std::string(m_timedState == FramingState::Head ? "head" : "body") + ": expected all of it in time, found a part"});
        return;
    }
    if (server->stopping()) {
        closeWhenIdle();
    } else if (!hasUnreadInput()) {
        close();
    }
}

auto Connection::isEvictable(TimePoint before) const -> bool
{
    return m_idleSince <= before && !hasUnreadInput();
}

auto Connection::close() -> void
{
    if (m_mode != Mode::Closed) {
        // This calls onConnectionEnd().
        evhtp_connection_free(m_connection);
    }
}

auto Connection::handleConnectionEnd() -> void
{
    const auto self = shared_from_this();
    const auto server = m_server.lock();
    m_mode = Mode::Closed;
    m_timer.cancel();
    m_request = nullptr;
    const auto abandoned = std::exchange(m_openRequestId, std::nullopt);
    setPending({});
    if (!server) {
        return;
    }
    server->markBusy(this);
    server->remove(this);
    if (!abandoned) {
        return;
    }
    ++server->stats.disconnected;
    server->requestClosed();
    if (server->active() && server->hooks.onDisconnect) {
        server->hooks.onDisconnect(*abandoned);
    }
}

ReplyState::ReplyState(std::weak_ptr<Connection> connection, RequestId id)
    : m_connection(std::move(connection))
    , m_id(id)
{
}

ReplyState::~ReplyState()
{
    if (isOpen()) {
        send(renderProblemAs(500, {Error::OutcomeUnknown, Execution::Unknown, "answer: expected one, found none"}));
    }
}

auto ReplyState::send(HttpResponse response) -> bool
{
    const auto connection = m_connection.lock();
    return connection && connection->reply(m_id, std::move(response));
}

auto ReplyState::isOpen() const noexcept -> bool
{
    const auto connection = m_connection.lock();
    return connection && connection->isOpen(m_id);
}

} // namespace Acaciarail::Caller::Detail
