#include "pooled_connection.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace Acaciarail::Endpoint::Detail {

namespace {

/// Headers that apply to a single connection or that the client sets itself.
constexpr std::array<std::string_view, 12> connectionHeaders{
    "connection", "content-length",   "expect",  "host",    "keep-alive",       "proxy-authenticate", "proxy-authorization",
    "te",         "proxy-connection", "trailer", "upgrade", "transfer-encoding"};

auto lowerCase(std::string_view text) -> std::string
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return out;
}

auto isConnectionHeader(std::string_view name) -> bool
{
    return std::find(connectionHeaders.begin(), connectionHeaders.end(), lowerCase(name)) != connectionHeaders.end();
}

auto parseMethod(std::string_view method) noexcept -> std::optional<evhttp_cmd_type>
{
    struct Entry
    {
        std::string_view name;
        evhttp_cmd_type type;
    };
    constexpr std::array<Entry, 7> known{{{"GET", EVHTTP_REQ_GET},
                                          {"HEAD", EVHTTP_REQ_HEAD},
                                          {"POST", EVHTTP_REQ_POST},
                                          {"PUT", EVHTTP_REQ_PUT},
                                          {"PATCH", EVHTTP_REQ_PATCH},
                                          {"DELETE", EVHTTP_REQ_DELETE},
                                          {"OPTIONS", EVHTTP_REQ_OPTIONS}}};
    const auto it = std::find_if(known.begin(), known.end(), [method](const Entry &e) { return e.name == method; });
    return it == known.end() ? std::nullopt : std::optional(it->type);
}

auto isToken(std::string_view text) noexcept -> bool
{
    static constexpr std::string_view separators = "()<>@,;:\\\"/[]?={}";
    const auto valid = [](char c) { return c > ' ' && c <= '~' && separators.find(c) == std::string_view::npos; };
    return !text.empty() && std::all_of(text.begin(), text.end(), valid);
}

auto isFieldValue(std::string_view text) noexcept -> bool
{
    const auto invalid = [](char c) { return c != '\t' && (static_cast<unsigned char>(c) < 0x20 || c == 0x7f); };
    return std::none_of(text.begin(), text.end(), invalid);
}

auto malformed(std::string detail) -> Failure
{
    return {Error::MalformedInput, Execution::NotRun, std::move(detail)};
}

auto countHeaders(const std::vector<HeaderField> &headers, std::string_view lowerName) -> std::ptrdiff_t
{
    return std::count_if(headers.begin(), headers.end(), [lowerName](const auto &it) { return lowerCase(it.name) == lowerName; });
}

auto mayHaveBody(std::string_view method, int status) noexcept -> bool
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return method != "HEAD" && status != noContent && status != notModified;
}

auto addHeaders(const Attempt &attempt, evkeyvalq *out) -> void
{
    evhttp_add_header(out, "Host", attempt.address.c_str());
    for (const auto &it : attempt.headers) {
        const bool replaced = !attempt.traceparent.empty() && lowerCase(it.name) == "traceparent";
        if (!isConnectionHeader(it.name) && !replaced) {
            evhttp_add_header(out, it.name.c_str(), it.value.c_str());
        }
    }
    if (!attempt.traceparent.empty()) {
        evhttp_add_header(out, "traceparent", attempt.traceparent.c_str());
    }
    // evhttp adds a Content-Length for some methods only; a body without it would be parsed as the next request.
    const bool alwaysHasLength = attempt.method == "POST" || attempt.method == "PUT" || attempt.method == "PATCH";
    if (alwaysHasLength || !attempt.body.empty()) {
        evhttp_add_header(out, "Content-Length", std::to_string(attempt.body.size()).c_str());
    }
}

} // namespace

auto parseAddress(const std::string &address) -> std::optional<HostAndPort>
{
    sockaddr_storage storage{};
    int size = sizeof(storage);
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return std::nullopt;
    }
    std::array<char, INET6_ADDRSTRLEN> buf{};
    HostAndPort out;
    if (storage.ss_family == AF_INET6) {
        const auto *in = reinterpret_cast<const sockaddr_in6 *>(&storage);
        inet_ntop(AF_INET6, &in->sin6_addr, buf.data(), buf.size());
        out.port = ntohs(in->sin6_port);
    } else {
        const auto *in = reinterpret_cast<const sockaddr_in *>(&storage);
        inet_ntop(AF_INET, &in->sin_addr, buf.data(), buf.size());
        out.port = ntohs(in->sin_port);
    }
    out.host = buf.data();
    return out.port == 0 ? std::nullopt : std::optional(out);
}

auto checkAttempt(const Attempt &attempt) -> std::optional<Failure>
{
    if (!parseAddress(attempt.address)) {
        return malformed("endpoint address: expected ADDRESS:PORT, found " + attempt.address);
    }
    if (!parseMethod(attempt.method)) {
        return malformed("method: expected GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, found another one");
    }
    const auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
    if (!attempt.target.starts_with('/') || !std::all_of(attempt.target.begin(), attempt.target.end(), isVisible)) {
        return malformed("target: expected a path that starts with / and has no white space, found another one");
    }
    const auto valid = [](const HeaderField &it) { return isToken(it.name) && isFieldValue(it.value); };
    if (!std::all_of(attempt.headers.begin(), attempt.headers.end(), valid) || !isFieldValue(attempt.traceparent)) {
        return malformed("headers: expected names and values without control characters, found others");
    }
    if (attempt.timeout <= Duration::zero() || attempt.progressTimeout < Duration::zero()) {
        return malformed("timeout: expected a positive one, found " + std::to_string(attempt.timeout.count()) + " us");
    }
    return std::nullopt;
}

PooledConnection::PooledConnection(event_base *base, const EndpointClientSettings &settings, const HostAndPort &address, DoneHandler done,
                                   ClosedHandler closed)
    : m_settings(settings)
    , m_doneHandler(std::move(done))
    , m_closedHandler(std::move(closed))
    , m_connection(evhttp_connection_base_new(base, nullptr, address.host.c_str(), address.port))
    , m_deadlineTimer(base, [this] { onDeadline(); })
    , m_progressTimer(base, [this] { onNoProgress(); })
{
    // The timers of this class end attempts; the timeout of evhttp must not expire before them.
    constexpr int evhttpTimeoutSeconds = 24 * 3600;
    evhttp_connection_set_timeout(m_connection.get(), evhttpTimeoutSeconds);
    evhttp_connection_set_max_body_size(m_connection.get(), static_cast<ev_ssize_t>(settings.maxResponseBody));
    evhttp_connection_set_max_headers_size(m_connection.get(), static_cast<ev_ssize_t>(settings.maxResponseHead));
    evhttp_connection_set_closecb(m_connection.get(), &PooledConnection::onClosed, this);
    auto *bev = evhttp_connection_get_bufferevent(m_connection.get());
    evbuffer_add_cb(bufferevent_get_output(bev), &PooledConnection::onOutput, this);
    evbuffer_add_cb(bufferevent_get_input(bev), &PooledConnection::onInput, this);
}

PooledConnection::~PooledConnection()
{
    closeConnection();
}

auto PooledConnection::closeConnection() -> void
{
    m_reusable = false;
    if (!m_connection) {
        return;
    }
    auto *bev = evhttp_connection_get_bufferevent(m_connection.get());
    evbuffer_remove_cb(bufferevent_get_output(bev), &PooledConnection::onOutput, this);
    evbuffer_remove_cb(bufferevent_get_input(bev), &PooledConnection::onInput, this);
    m_connection.reset();
}

auto PooledConnection::send(Attempt attempt) -> void
{
    m_attempt = std::move(attempt);
    m_error.reset();
    m_startedAt = MonotonicClock::now();
    m_mayHaveBeenSent = false;
    m_receivedAny = false;
    m_deadlineTimer.start(m_attempt->timeout);
    m_progressTimer.start(m_settings.connectTimeout);

    auto *request = evhttp_request_new(&PooledConnection::onDone, this);
    evhttp_request_set_error_cb(request, &PooledConnection::onError);
    addHeaders(*m_attempt, evhttp_request_get_output_headers(request));
    evbuffer_add(evhttp_request_get_output_buffer(request), m_attempt->body.data(), m_attempt->body.size());
    const auto method = parseMethod(m_attempt->method).value_or(EVHTTP_REQ_GET);
    if (evhttp_make_request(m_connection.get(), request, method, m_attempt->target.c_str()) != 0 && m_attempt) {
        finish(failure(Error::ConnectionLost, "connection: expected to start one, found no free socket"));
    }
    if (m_attempt && evhttp_connection_get_bufferevent(m_connection.get()) != nullptr) {
        const int enabled = 1;
        const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection.get()));
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }
}

auto PooledConnection::cancel() -> bool
{
    m_attempt.reset();
    m_deadlineTimer.cancel();
    m_progressTimer.cancel();
    closeConnection();
    return m_mayHaveBeenSent;
}

auto PooledConnection::isOpenWithoutInput() const noexcept -> bool
{
    auto *bev = evhttp_connection_get_bufferevent(m_connection.get());
    if (evbuffer_get_length(bufferevent_get_input(bev)) > 0) {
        return false;
    }
    char c = 0;
    const auto n = recv(bufferevent_getfd(bev), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto PooledConnection::onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg) -> void
{
    auto &self = *static_cast<PooledConnection *>(arg);
    if (info->n_added > 0 && self.m_attempt) {
        self.m_mayHaveBeenSent = true;
    }
    if (info->n_deleted > 0 || info->n_added > 0) {
        self.onProgress();
    }
}

auto PooledConnection::onInput(evbuffer *, const evbuffer_cb_info *info, void *arg) -> void
{
    auto &self = *static_cast<PooledConnection *>(arg);
    if (info->n_added > 0 && self.m_attempt) {
        self.m_receivedAny = true;
        self.onProgress();
    }
}

auto PooledConnection::onProgress() -> void
{
    if (!m_attempt || !m_mayHaveBeenSent) {
        return;
    }
    if (m_attempt->progressTimeout > Duration::zero()) {
        m_progressTimer.start(m_attempt->progressTimeout);
    } else {
        m_progressTimer.cancel();
    }
}

auto PooledConnection::onError(evhttp_request_error error, void *arg) -> void
{
    static_cast<PooledConnection *>(arg)->m_error = error;
}

auto PooledConnection::onClosed(evhttp_connection *, void *arg) -> void
{
    auto &self = *static_cast<PooledConnection *>(arg);
    self.m_reusable = false;
    if (!self.m_attempt) {
        self.m_closedHandler(self);
    }
}

auto PooledConnection::onDone(evhttp_request *request, void *arg) -> void
{
    auto &self = *static_cast<PooledConnection *>(arg);
    if (!self.m_attempt) {
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        self.finish(self.describeError());
        return;
    }
    self.finish(self.readResponse(*request));
}

auto PooledConnection::failure(Error error, std::string detail) const -> AttemptFailure
{
    return {{error, m_mayHaveBeenSent ? Execution::Unknown : Execution::NotRun, std::move(detail)}, m_mayHaveBeenSent, false};
}

auto PooledConnection::describeError() -> AttemptFailure
{
    if (!m_mayHaveBeenSent) {
        return failure(Error::ConnectionLost, "connection to " + m_attempt->address + ": expected to be accepted, found it refused");
    }
    switch (m_error.value_or(EVREQ_HTTP_EOF)) {
    case EVREQ_HTTP_INVALID_HEADER:
        return failure(Error::EndpointFailed, "response of " + m_attempt->address + ": expected a valid head, found a malformed one");
    case EVREQ_HTTP_DATA_TOO_LONG:
        return failure(Error::TooLarge,
                       "response of " + m_attempt->address + ": expected at most " + std::to_string(m_settings.maxResponseBody)
                           + " bytes, found more");
    case EVREQ_HTTP_TIMEOUT:
        return failure(Error::Timeout, "response of " + m_attempt->address + ": expected one in time, found none");
    case EVREQ_HTTP_EOF:
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
        break;
    }
    return failure(Error::ConnectionLost, "response of " + m_attempt->address + ": expected a complete one, found the connection closed");
}

auto PooledConnection::readResponse(evhttp_request &request) -> std::variant<AttemptResponse, AttemptFailure>
{
    AttemptResponse out;
    out.status = static_cast<std::uint16_t>(evhttp_request_get_response_code(&request));
    const auto *headers = evhttp_request_get_input_headers(&request);
    for (const auto *it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        out.headers.push_back({it->key, it->value});
    }
    auto *body = evhttp_request_get_input_buffer(&request);
    out.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, out.body.data(), out.body.size());

    const auto lengths = countHeaders(out.headers, "content-length");
    const auto encodings = countHeaders(out.headers, "transfer-encoding");
    constexpr int firstFinalStatus = 200;
    constexpr int lastStatus = 599;
    const auto status = evhttp_request_get_response_code(&request);
    if (status < firstFinalStatus || status > lastStatus) {
        return failure(Error::EndpointFailed,
                       "response of " + m_attempt->address + ": expected a status from 200 to 599, found " + std::to_string(status));
    }
    // A response that is ended by closing the connection cannot be distinguished from a truncated one, and two lengths are ambiguous.
    if (mayHaveBody(m_attempt->method, out.status) && lengths + encodings != 1) {
        return failure(Error::EndpointFailed,
                       "response of " + m_attempt->address + ": expected one Content-Length or chunks, found "
                           + std::to_string(lengths + encodings));
    }
    constexpr int serviceUnavailable = 503;
    out.notRun = out.status == serviceUnavailable && lowerCase(out.header("Acaciarail-Execution")) == "not-run";
    out.leaving = lowerCase(out.header("Acaciarail-Leaving")) == "true";

    const bool closes = lowerCase(out.header("Connection")).find("close") != std::string::npos;
    const bool isHttp11 = request.major == 1 && request.minor >= 1;
    auto *bev = evhttp_connection_get_bufferevent(m_connection.get());
    const bool hasExtraBytes = evbuffer_get_length(bufferevent_get_input(bev)) > 0;
    m_reusable = m_reusable && !closes && isHttp11 && !hasExtraBytes;
    return out;
}

auto PooledConnection::onDeadline() -> void
{
    if (!m_attempt) {
        return;
    }
    closeConnection();
    auto failed = failure(Error::Timeout,
                          "response of " + m_attempt->address + ": expected one within " + std::to_string(m_attempt->timeout.count())
                              + " us, found none");
    failed.unresponsive = m_mayHaveBeenSent && !m_receivedAny;
    finish(std::move(failed));
}

auto PooledConnection::onNoProgress() -> void
{
    if (!m_attempt) {
        return;
    }
    closeConnection();
    if (!m_mayHaveBeenSent) {
        finish(failure(Error::Timeout,
                       "connection to " + m_attempt->address + ": expected it within " + std::to_string(m_settings.connectTimeout.count())
                           + " us, found none"));
        return;
    }
    auto failed = failure(Error::Timeout,
                          "response of " + m_attempt->address + ": expected progress within "
                              + std::to_string(m_attempt->progressTimeout.count()) + " us, found none");
    failed.unresponsive = true;
    finish(std::move(failed));
}

auto PooledConnection::finish(std::variant<AttemptResponse, AttemptFailure> result) -> void
{
    m_deadlineTimer.cancel();
    m_progressTimer.cancel();
    m_idleSince = MonotonicClock::now();
    m_reusable = m_reusable && std::holds_alternative<AttemptResponse>(result);
    AttemptOutcome outcome{m_attempt->id, m_attempt->address, std::move(result), m_idleSince - m_startedAt};
    m_attempt.reset();
    m_doneHandler(*this, std::move(outcome));
}

} // namespace Acaciarail::Endpoint::Detail
