#include "platform_server.h"

#include "platform_control.h"

#include <acaciarail/core/error.h>
#include <acaciarail/runtime/timer.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Standins {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;

/// Time after which the connection of a request without an answer is closed; evhttp does not detect that its client has disconnected.
constexpr Duration unansweredTimeout = 30s;
constexpr std::uint64_t maxWaitMs = 60'000;
constexpr std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;

struct Answer
{
    int status = statusOk;
    std::string body;
    const char *contentType = "application/json";
};

auto encodeRead(const ReadAnswer &answer) -> std::string
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(3);
    out.pack(answer.earliest);
    out.pack(answer.next);
    out.pack_array(static_cast<std::uint32_t>(answer.entries.size()));
    for (const auto &it : answer.entries) {
        out.pack_array(2);
        out.pack(it.offset);
        out.pack_bin(static_cast<std::uint32_t>(it.bytes.size()));
        out.pack_bin_body(it.bytes.data(), static_cast<std::uint32_t>(it.bytes.size()));
    }
    return {buf.data(), buf.size()};
}

auto decodeRecords(std::string_view body) -> std::optional<std::vector<std::string>>
{
    try {
        const msgpack::unpack_limit limit(body.size(), 0, body.size(), body.size(), 0, 2);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
        auto records = handle.get().as<std::vector<std::string>>();
        if (offset != body.size() || records.empty()) {
            return std::nullopt;
        }
        return records;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

auto queryNumber(const evkeyvalq &query, const char *name, std::uint64_t fallback) -> std::optional<std::uint64_t>
{
    const auto *text = evhttp_find_header(&query, name);
    if (text == nullptr) {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto *end = text + std::strlen(text);
    const auto parsed = std::from_chars(text, end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

auto bodyOf(evhttp_request *request) -> std::string
{
    auto *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

auto zoneOf(evhttp_request *request) -> ZoneName
{
    const auto *zone = evhttp_find_header(evhttp_request_get_input_headers(request), "Acaciarail-Zone");
    return ZoneName(zone == nullptr ? "" : zone);
}

auto unavailable() -> Answer
{
    return {statusUnavailable, R"({"error":"unavailable"})"};
}

auto badRequest(const std::string &detail) -> Answer
{
    return {statusBadRequest, nlohmann::json{{"error", detail}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

/// A request that has not been answered yet.
struct PendingRequest
{
    PendingRequest(Runtime::EventLoop &loop, evhttp_request *r, std::function<void()> expired)
        : request(r)
        , timer(loop, std::move(expired))
    {
    }
    evhttp_request *request;
    Runtime::Timer timer;
    /// The request is a read that waits for records; the members below are its parameters.
    bool isWaitingRead = false;
    LogOffset from = 0;
    std::size_t maxRecords = 0;
    ZoneName zone;
};

} // namespace

struct PlatformServer::State
{
    State(Runtime::EventLoop &l, Runtime::SocketAddress a)
        : loop(l)
        , bound(std::move(a))
        , http(evhttp_new(l.base()))
    {
        evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(maxBodyBytes));
        evhttp_set_gencb(
            http, [](evhttp_request *r, void *arg) { static_cast<State *>(arg)->handle(r); }, this);
    }
    ~State()
    {
        for (const auto &[id, it] : pending) {
            clearCloseCallback(it->request);
        }
        evhttp_free(http);
    }
    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    static auto clearCloseCallback(evhttp_request *request) -> void
    {
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    }

    static auto answer(evhttp_request *request, const Answer &content) -> void
    {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", content.contentType);
        evbuffer_add(evhttp_request_get_output_buffer(request), content.body.data(), content.body.size());
        evhttp_send_reply(request, content.status, nullptr, nullptr);
    }

    /// Leaves \a request unanswered and calls \a expired with it after \a delay, unless its connection closes before.
    auto defer(evhttp_request *request, Duration delay, std::function<void(PendingRequest &)> expired) -> PendingRequest &
    {
        const auto id = ++lastPending;
        auto onTimer = [this, id, callback = std::move(expired)] {
            const auto node = pending.extract(id);
            if (!node.empty()) {
                clearCloseCallback(node.mapped()->request);
                callback(*node.mapped());
            }
        };
        auto &out = *pending.emplace(id, std::make_unique<PendingRequest>(loop, request, std::move(onTimer))).first->second;
        out.timer.start(delay);
        const auto closed = [](evhttp_connection *connection, void *arg) { static_cast<State *>(arg)->connectionClosed(connection); };
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), closed, this);
        return out;
    }

    auto connectionClosed(evhttp_connection *connection) -> void
    {
        std::erase_if(pending, [connection](const auto &it) { return evhttp_request_get_connection(it.second->request) == connection; });
    }

    auto answerAfter(evhttp_request *request, Duration delay, Answer content) -> void
    {
        if (delay <= Duration::zero()) {
            answer(request, content);
            return;
        }
        defer(request, delay, [content = std::move(content)](const PendingRequest &p) { answer(p.request, content); });
    }

    /// Closes the connection without an answer after \a delay.
    auto dropAfter(evhttp_request *request, Duration delay) -> void
    {
        defer(request, delay, [](const PendingRequest &p) { evhttp_connection_free(evhttp_request_get_connection(p.request)); });
    }

    auto handle(evhttp_request *request) -> void
    {
        const std::string path(evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request)));
        const auto isPost = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
        if (isPost && path == "/control") {
            const auto error = applyControl(model, bodyOf(request), loop.now());
            answer(request, error ? badRequest(*error) : Answer{statusOk, "{}"});
            answerWaitingReads();
        } else if (fixedStatus != 0) {
            answer(request, {fixedStatus, fixedBody});
        } else if (isPost && path == "/v1/log/append") {
            append(request);
        } else if (!isPost && path == "/v1/log/read") {
            read(request);
        } else if (!isPost && path == "/v1/instances") {
            list(request);
        } else {
            answer(request, {statusNotFound, "{}"});
        }
    }

    auto append(evhttp_request *request) -> void
    {
        const auto records = decodeRecords(bodyOf(request));
        if (!records) {
            answer(request, badRequest("body: expected a msgpack array of at least one record, found something else"));
            return;
        }
        const auto zone = zoneOf(request);
        const auto result = model.append(*records, zone);
        switch (result.kind) {
        case AnswerKind::Answered:
            answerAfter(request, result.delay, {statusOk, nlohmann::json{{"first", result.first}, {"next", result.next}}.dump()});
            break;
        case AnswerKind::Lost:
            dropAfter(request, model.isCut(zone) ? unansweredTimeout : Duration::zero());
            break;
        case AnswerKind::Unavailable:
        case AnswerKind::NotRetained:
            answer(request, unavailable());
            break;
        }
        answerWaitingReads();
    }

    auto read(evhttp_request *request) -> void
    {
        evkeyvalq query{};
        const auto *text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
        evhttp_parse_query_str(text == nullptr ? "" : text, &query);
        const auto from = queryNumber(query, "from", 0);
        const auto limit = queryNumber(query, "max", 1000);
        const auto wait = queryNumber(query, "wait_ms", 0);
        evhttp_clear_headers(&query);
        if (!from || !limit || !wait) {
            answer(request, badRequest("query: expected whole numbers, found something else"));
            return;
        }
        const auto zone = zoneOf(request);
        const auto result = model.read(*from, *limit, zone);
        if (result.kind != AnswerKind::Answered || !result.entries.empty() || *wait == 0) {
            answerRead(request, result);
            return;
        }
        auto &deferred = defer(request, std::chrono::milliseconds(std::min(*wait, maxWaitMs)),
                               [this](const PendingRequest &p) { answerRead(p.request, model.read(p.from, p.maxRecords, p.zone)); });
        deferred.isWaitingRead = true;
        deferred.from = *from;
        deferred.maxRecords = *limit;
        deferred.zone = zone;
    }

    auto answerRead(evhttp_request *request, const ReadAnswer &result) -> void
    {
        switch (result.kind) {
        case AnswerKind::Answered:
            answerAfter(request, result.delay, {statusOk, encodeRead(result), "application/msgpack"});
            break;
        case AnswerKind::NotRetained:
            answerAfter(request, result.delay, {statusGone, nlohmann::json{{"earliest", result.earliest}}.dump()});
            break;
        case AnswerKind::Lost:
            dropAfter(request, unansweredTimeout);
            break;
        case AnswerKind::Unavailable:
            answer(request, unavailable());
            break;
        }
    }

    auto list(evhttp_request *request) -> void
    {
        const auto instances = model.list(zoneOf(request), loop.now());
        if (!instances) {
            dropAfter(request, unansweredTimeout);
            return;
        }
        answer(request, {statusOk, instancesToJson(*instances)});
    }

    /// Answers the waiting reads that now have records or a refusal to return.
    auto answerWaitingReads() -> void
    {
        for (auto &[id, it] : pending) {
            if (it->isWaitingRead) {
                const auto result = model.read(it->from, it->maxRecords, it->zone);
                if (result.kind != AnswerKind::Answered || !result.entries.empty()) {
                    it->timer.start({});
                }
            }
        }
    }

    Runtime::EventLoop &loop;
    Runtime::SocketAddress bound;
    evhttp *http;
    PlatformModel model;
    std::uint64_t lastPending = 0;
    std::map<std::uint64_t, std::unique_ptr<PendingRequest>> pending;
    int fixedStatus = 0;
    std::string fixedBody;
};

PlatformServer::PlatformServer(Runtime::EventLoop &loop, Runtime::SocketAddress address)
    : m_state(std::make_unique<State>(loop, std::move(address)))
{
}

PlatformServer::~PlatformServer() = default;

auto PlatformServer::listen() -> std::error_code
{
    auto *bound = evhttp_bind_socket_with_handle(m_state->http, m_state->bound.host.c_str(), m_state->bound.port);
    if (bound == nullptr) {
        return {errno, std::generic_category()};
    }
    sockaddr_in actual{};
    socklen_t length = sizeof actual;
    if (::getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&actual), &length) != 0) {
        return {errno, std::generic_category()};
    }
    m_state->bound.port = ntohs(actual.sin_port);
    return {};
}

auto PlatformServer::address() const -> Runtime::SocketAddress
{
    return m_state->bound;
}

auto PlatformServer::model() -> PlatformModel &
{
    return m_state->model;
}

auto PlatformServer::setFixedAnswer(int status, std::string body) -> void
{
    m_state->fixedStatus = status;
    m_state->fixedBody = std::move(body);
}

} // namespace Acaciarail::Standins
