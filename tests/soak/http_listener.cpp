#include "http_listener.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace Acaciarail::Soak {

namespace {

auto parseQuery(evhttp_request *request) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> out;
    const auto *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evkeyvalq pairs{};
    if (query != nullptr && evhttp_parse_query_str(query, &pairs) == 0) {
        for (const auto *it = pairs.tqh_first; it != nullptr; it = it->next.tqe_next) {
            out[it->key] = it->value;
        }
    }
    evhttp_clear_headers(&pairs);
    return out;
}

auto send(evhttp_request *request, const HttpReply &reply) -> void
{
    if (reply.closesConnection) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    }
    auto *out = evhttp_request_get_output_buffer(request);
    evbuffer_add(out, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, nullptr);
}

} // namespace

auto HttpCall::queryNumber(const std::string &key, std::uint64_t fallback) const -> std::uint64_t
{
    const auto it = query.find(key);
    return it == query.end() ? fallback : std::stoull(it->second);
}

HttpListener::HttpListener(Runtime::EventLoop &loop, Handler handler)
    : m_handler(std::move(handler))
    , m_http(evhttp_new(loop.base()))
{
    auto *bound = evhttp_bind_socket_with_handle(m_http, m_address.host.c_str(), 0);
    if (bound == nullptr) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    sockaddr_in address{};
    socklen_t n = sizeof address;
    ::getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address), &n);
    m_address.port = ntohs(address.sin_port);
    evhttp_set_gencb(
        m_http, [](evhttp_request *request, void *self) { static_cast<HttpListener *>(self)->handle(request); }, this);
}

HttpListener::~HttpListener()
{
    for (auto *it : std::exchange(*m_pending, {})) {
        send(it, {503, "{}"});
    }
    evhttp_free(m_http);
}

auto HttpListener::handle(evhttp_request *request) -> void
{
    HttpCall call;
    call.path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    call.query = parseQuery(request);
    auto *input = evhttp_request_get_input_buffer(request);
    call.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, call.body.data(), call.body.size());
    m_pending->insert(request);
    m_handler(call, [request, pending = m_pending](const HttpReply &reply) {
        if (pending->erase(request) > 0) {
            send(request, reply);
        }
    });
}

} // namespace Acaciarail::Soak
