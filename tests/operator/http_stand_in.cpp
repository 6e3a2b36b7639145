#include "http_stand_in.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace {

auto portOf(int socket) -> std::uint16_t
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

auto methodName(evhttp_cmd_type method) -> std::string
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

auto readRequest(evhttp_request *request) -> StandInRequest
{
    auto *buf = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, body.data(), body.size());
    const auto *authorization = evhttp_find_header(evhttp_request_get_input_headers(request), "Authorization");
    return {methodName(evhttp_request_get_command(request)), evhttp_request_get_uri(request),
            authorization == nullptr ? std::string() : std::string(authorization), std::move(body)};
}

auto handle(evhttp_request *request, void *context) -> void
{
    const auto answer = static_cast<HttpStandIn *>(context)->answer(readRequest(request));
    if (answer.isLost) {
        auto *connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
        shutdown(bufferevent_getfd(connection), SHUT_RDWR);
    }
    auto *out = evhttp_request_get_output_buffer(request);
    evbuffer_add(out, answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, nullptr, nullptr);
}

/// Stopping from another thread would need locks in the event loop, so the loop looks at a flag.
auto checkStop(evutil_socket_t, short, void *context) -> void
{
    auto &[server, base] = *static_cast<std::pair<HttpStandIn *, event_base *> *>(context);
    if (server->isStopped()) {
        event_base_loopbreak(base);
    }
}

} // namespace

HttpStandIn::HttpStandIn(Handler handler)
    : m_handler(std::move(handler))
    , m_base(event_base_new(), &event_base_free)
    , m_http(evhttp_new(m_base.get()), &evhttp_free)
{
    auto *socket = evhttp_bind_socket_with_handle(m_http.get(), "127.0.0.1", 0);
    if (socket == nullptr) {
        throw std::runtime_error("stand-in: no port");
    }
    m_port = portOf(evhttp_bound_socket_get_fd(socket));
    evhttp_set_gencb(m_http.get(), &handle, this);
    m_thread = std::thread([this] {
        std::pair<HttpStandIn *, event_base *> context{this, m_base.get()};
        auto *timer = event_new(m_base.get(), -1, EV_PERSIST, &checkStop, &context);
        const timeval interval{0, 5000};
        event_add(timer, &interval);
        event_base_dispatch(m_base.get());
        event_free(timer);
    });
}

HttpStandIn::~HttpStandIn()
{
    m_isStopped = true;
    m_thread.join();
}

auto HttpStandIn::answer(const StandInRequest &request) -> StandInAnswer
{
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(request);
    return m_handler(request);
}

auto HttpStandIn::requests() const -> std::vector<StandInRequest>
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

auto HttpStandIn::calls() const -> std::vector<std::string>
{
    const auto all = requests();
    std::vector<std::string> names;
    std::transform(all.begin(), all.end(), std::back_inserter(names), [](const StandInRequest &it) { return it.method + ' ' + it.path; });
    return names;
}

SilentPort::SilentPort(Mode mode)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("stand-in: no port");
    }
    // A port that is bound and not listening refuses connections, and nobody else can take it meanwhile.
    if (mode == Mode::Silent && listen(m_socket, 16) != 0) {
        throw std::runtime_error("stand-in: cannot listen");
    }
    m_port = portOf(m_socket);
}

SilentPort::~SilentPort()
{
    close(m_socket);
}
