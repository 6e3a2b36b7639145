#include <acaciarail/operator/http_client.h>

#include "json_reader.h"
#include "printable.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <cstdlib>
#include <memory>
#include <optional>
#include <system_error>
#include <utility>

namespace Acaciarail::Operator {

namespace {

/// Bounds what a faulty server can make the client hold; an audit of several days stays below it.
constexpr std::int64_t maxReplyBytes = std::int64_t{256} * 1024 * 1024;
constexpr std::uint32_t statusUnavailable = 503;

using EventBase = std::unique_ptr<event_base, decltype(&event_base_free)>;
using Connection = std::unique_ptr<evhttp_connection, decltype(&evhttp_connection_free)>;
using EncodedText = std::unique_ptr<char, decltype(&std::free)>;

/// What the callbacks of one exchange fill in.
struct Exchange
{
    event_base *base = nullptr;
    HttpReply reply;
    bool isTimeout = false;
};

auto errorHappened(evhttp_request_error error, void *context) -> void
{
    static_cast<Exchange *>(context)->isTimeout = error == EVREQ_HTTP_TIMEOUT;
}

auto readBody(evhttp_request *request) -> std::string
{
    auto *buf = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, body.data(), body.size());
    return body;
}

/// A request with status 0 was never sent, because connecting failed; no request means that the connection failed later.
auto requestDone(evhttp_request *request, void *context) -> void
{
    auto &exchange = *static_cast<Exchange *>(context);
    auto &reply = exchange.reply;
    if (request == nullptr) {
        reply.end = HttpEnd::AnswerLost;
        reply.detail = exchange.isTimeout ? "no complete answer within the timeout" : "the connection was lost before the complete answer";
    } else if (evhttp_request_get_response_code(request) == 0) {
        reply.end = HttpEnd::Unreachable;
        reply.detail = "cannot connect";
    } else {
        reply.end = HttpEnd::Answered;
        reply.status = static_cast<std::uint32_t>(evhttp_request_get_response_code(request));
        reply.body = readBody(request);
    }
    event_base_loopbreak(exchange.base);
}

auto methodOf(HttpMethod method) noexcept -> evhttp_cmd_type
{
    switch (method) {
    case HttpMethod::Post:
        return EVHTTP_REQ_POST;
    case HttpMethod::Delete:
        return EVHTTP_REQ_DELETE;
    case HttpMethod::Get:
        break;
    }
    return EVHTTP_REQ_GET;
}

/// Returns false when a header has a forbidden character.
auto addHeaders(evhttp_request *request, const ServerAddress &server, const HttpCall &call, const std::string &token) -> bool
{
    auto *headers = evhttp_request_get_output_headers(request);
    bool isAdded = evhttp_add_header(headers, "Host", serverText(server).c_str()) == 0;
    isAdded = isAdded && evhttp_add_header(headers, "Connection", "close") == 0;
    isAdded = isAdded && evhttp_add_header(headers, "Accept", "application/json, application/problem+json") == 0;
    if (!token.empty()) {
        isAdded = isAdded && evhttp_add_header(headers, "Authorization", ("Bearer " + token).c_str()) == 0;
    }
    if (!call.body.empty()) {
        isAdded = isAdded && evhttp_add_header(headers, "Content-Type", "application/json") == 0;
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }
    return isAdded;
}

/// True for a refusal that another server may not repeat: the server says that it did not carry out the call.
auto isRefusedNotRun(const HttpReply &reply) -> bool
{
    if (reply.end != HttpEnd::Answered || reply.status != statusUnavailable) {
        return false;
    }
    const auto json = Detail::parseJson(reply.body);
    return json && json->is_object() && json->value("execution", Detail::Json()) == "not-run";
}

} // namespace

auto serverText(const ServerAddress &server) -> std::string
{
    const bool isIpv6 = server.host.find(':') != std::string::npos;
    return (isIpv6 ? '[' + server.host + ']' : server.host) + ':' + std::to_string(server.port);
}

auto parseServer(std::string_view text) -> ParsedServer
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string_view::npos && colon > 0) {
        auto host = text.substr(0, colon);
        const auto digits = text.substr(colon + 1);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
            host = host.substr(1, host.size() - 2);
        }
        const bool isHost = host.find_first_of(" /@[]\r\n\t") == std::string_view::npos;
        if (ec == std::errc{} && end == digits.data() + digits.size() && port > 0 && isHost) {
            return {{std::string(host), port}, {}};
        }
    }
    return {{}, Failure{Error::MalformedInput, Execution::NotRun, "server: expected HOST:PORT, found " + Detail::quotedText(text)}};
}

HttpClient::HttpClient(HttpClientSettings settings)
    : m_settings(std::move(settings))
{
}

auto HttpClient::exchange(const HttpCall &call) -> HttpReply
{
    std::optional<HttpReply> refusal;
    HttpReply failure;
    std::string details;
    for (const auto &server : m_settings.servers) {
        auto reply = exchangeWith(server, call);
        if (isRefusedNotRun(reply)) {
            refusal = std::move(reply);
            continue;
        }
        if (reply.end == HttpEnd::Answered || (reply.end == HttpEnd::AnswerLost && !call.repeatable)) {
            return reply;
        }
        details += (details.empty() ? "" : "; ") + serverText(server) + ": " + reply.detail;
        // Once an answer was lost, the call may have taken effect, whatever the servers after it say.
        if (failure.end != HttpEnd::AnswerLost) {
            failure = std::move(reply);
        }
    }
    // A lost answer to a read leaves no doubt about an effect.
    if (failure.end == HttpEnd::AnswerLost && call.method == HttpMethod::Get) {
        failure.end = HttpEnd::Unreachable;
    }
    if (refusal && failure.end != HttpEnd::AnswerLost) {
        return *refusal;
    }
    failure.detail = details;
    return failure;
}

auto HttpClient::exchangeAll(const HttpCall &call) -> std::vector<HttpReply>
{
    std::vector<HttpReply> replies;
    for (const auto &server : m_settings.servers) {
        replies.push_back(exchangeWith(server, call));
    }
    return replies;
}

auto HttpClient::exchangeWith(const ServerAddress &server, const HttpCall &call) const -> HttpReply
{
    Exchange exchange;
    exchange.reply.server = server;
    exchange.reply.detail = "cannot open a connection";
    const EventBase base(event_base_new(), &event_base_free);
    if (!base) {
        return exchange.reply;
    }
    exchange.base = base.get();
    const Connection connection(evhttp_connection_base_new(base.get(), nullptr, server.host.c_str(), server.port), &evhttp_connection_free);
    if (!connection) {
        return exchange.reply;
    }
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(m_settings.timeout).count();
    const timeval timeout{microseconds / 1'000'000, microseconds % 1'000'000};
    evhttp_connection_set_timeout_tv(connection.get(), &timeout);
    evhttp_connection_set_max_body_size(connection.get(), maxReplyBytes);

    auto *request = evhttp_request_new(&requestDone, &exchange);
    if (request == nullptr) {
        return exchange.reply;
    }
    evhttp_request_set_error_cb(request, &errorHappened);
    if (!addHeaders(request, server, call, m_settings.token)) {
        evhttp_request_free(request);
        exchange.reply.detail = "the token has a character that is not allowed";
        return exchange.reply;
    }
    if (evhttp_make_request(connection.get(), request, methodOf(call.method), call.path.c_str()) == 0) {
        event_base_dispatch(base.get());
    }
    return exchange.reply;
}

auto pathSegment(std::string_view text) -> std::string
{
    const EncodedText encoded(evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    return encoded ? std::string(encoded.get()) : std::string();
}

} // namespace Acaciarail::Operator
