#include <acaciarail/core/error.h>
#include <acaciarail/runtime/http_client.h>
#include <acaciarail/runtime/timer.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace Acaciarail::Runtime {

namespace {

constexpr std::size_t maxHeaderBytes = 16384;
/// evhttp's own timeout in seconds; the timer of each request, which has a finer resolution, ends it earlier.
constexpr int fallbackTimeoutSeconds = 3600;

auto nextConnectionId() -> HttpConnectionId
{
    static std::atomic<HttpConnectionId> newest = 0;
    return ++newest;
}

/// One connection and the request in progress on it. evhttp connects it again for the next request after the server has closed it.
struct Connection
{
    Connection(EventLoop &loop, const HttpClientSettings &settings)
        : timer(loop, [this] { handleTimeout(); })
    {
        http = evhttp_connection_base_new(loop.base(), nullptr, settings.address.host.c_str(), settings.address.port);
        evhttp_connection_set_timeout(http, fallbackTimeoutSeconds);
        evhttp_connection_set_max_body_size(http, static_cast<ev_ssize_t>(settings.maxResponseBytes));
        evhttp_connection_set_max_headers_size(http, maxHeaderBytes);
        // evhttp writes the request only after the connection is established, so as long as nothing was added to the
        // output buffer, nothing was sent.
        const auto written = [](evbuffer *, const evbuffer_cb_info *info, void *arg) {
            auto *self = static_cast<Connection *>(arg);
            self->maybeSent = self->maybeSent || info->n_added > 0;
        };
        evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(http)), written, this);
        const auto closed = [](evhttp_connection *, void *arg) {
            auto *self = static_cast<Connection *>(arg);
            self->id = nextConnectionId();
        };
        evhttp_connection_set_closecb(http, closed, this);
    }
    ~Connection()
    {
        if (http != nullptr) {
            evhttp_connection_free(http);
        }
    }
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    auto complete(evhttp_request *request) -> void
    {
        const auto status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
        if (status == 0) {
            finish({failure, maybeSent, 0, {}});
            return;
        }
        auto *input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        finish({{}, true, status, std::move(body), requestId});
    }

    /// Frees the connection before the result is reported, because a request that was reported as not sent must not be sent later.
    auto handleTimeout() -> void
    {
        evhttp_connection_free(std::exchange(http, nullptr));
        finish({timerError, maybeSent, 0, {}});
    }

    auto finish(HttpResult result) -> void
    {
        timer.cancel();
        if (done) {
            std::exchange(done, nullptr)(std::move(result));
        }
    }

    HttpConnectionId id = nextConnectionId();
    /// The connection that the request in progress was sent over; evhttp closes it before it reports a response that asks for that.
    HttpConnectionId requestId = 0;
    evhttp_connection *http = nullptr;
    Timer timer;
    bool maybeSent = false;
    std::error_code failure;
    std::error_code timerError;
    std::function<void(HttpResult)> done;
};

} // namespace

struct HttpClient::State
{
    State(EventLoop &l, HttpClientSettings s)
        : loop(l)
        , settings(std::move(s))
    {
    }

    /// Returns an idle connection, the one that was used last, or a new one; null if \a mayUse is set and accepts no idle connection.
    auto acquire(const std::function<bool(HttpConnectionId)> &mayUse) -> std::shared_ptr<Connection>
    {
        const auto it = std::find_if(idle.rbegin(), idle.rend(), [&](const auto &c) { return !mayUse || mayUse(c->id); });
        if (it == idle.rend()) {
            return mayUse ? nullptr : std::make_shared<Connection>(loop, settings);
        }
        auto connection = std::move(*it);
        idle.erase(std::next(it).base());
        return connection;
    }

    auto release(const std::shared_ptr<Connection> &connection, bool reusable) -> void
    {
        busy.erase(connection.get());
        if (reusable && idle.size() < settings.maxIdleConnections) {
            idle.push_back(connection);
        }
    }

    EventLoop &loop;
    HttpClientSettings settings;
    std::map<Connection *, std::shared_ptr<Connection>> busy;
    std::vector<std::shared_ptr<Connection>> idle;
};

HttpClient::HttpClient(EventLoop &loop, HttpClientSettings settings)
    : m_state(std::make_shared<State>(loop, std::move(settings)))
{
}

HttpClient::~HttpClient()
{
    // The client may be destroyed by a hook that evhttp called, in which case its connections must outlive the call.
    m_state->loop.post([busy = std::move(m_state->busy), idle = std::move(m_state->idle)] {});
}

auto HttpClient::start(HttpRequest request, std::function<void(HttpResult)> done) -> void
{
    const auto fail = [this, &done](Error error) {
        m_state->loop.post([weak = std::weak_ptr<State>(m_state), hook = std::move(done), error] {
            if (!weak.expired()) {
                hook({error, false, 0, {}});
            }
        });
    };
    if (m_state->busy.size() >= m_state->settings.maxBusyConnections) {
        fail(Error::Overloaded);
        return;
    }
    const auto connection = m_state->acquire(request.mayUse);
    if (!connection) {
        fail(Error::NoEndpoint);
        return;
    }
    m_state->busy.emplace(connection.get(), connection);
    connection->maybeSent = false;
    connection->requestId = connection->id;
    connection->failure = Error::ConnectionLost;
    connection->timerError = Error::Timeout;
    const std::weak_ptr<State> weak = m_state;
    connection->done = [weak, connectionKey = connection.get(), hook = std::move(done)](HttpResult result) {
        const auto state = weak.lock();
        if (!state) {
            return;
        }
        const auto found = state->busy.find(connectionKey);
        if (found == state->busy.end()) {
            return;
        }
        // evhttp still uses the connection when its callback returns, so it is released from the loop.
        state->loop.post([weak, busyConnection = found->second, reusable = !result.error] {
            if (const auto s = weak.lock()) {
                s->release(busyConnection, reusable);
            }
        });
        hook(std::move(result));
    };

    const auto completed = [](evhttp_request *r, void *arg) { static_cast<Connection *>(arg)->complete(r); };
    const auto failed = [](evhttp_request_error error, void *arg) {
        static_cast<Connection *>(arg)->failure = error == EVREQ_HTTP_DATA_TOO_LONG ? Error::TooLarge : Error::ConnectionLost;
    };
    auto *r = evhttp_request_new(completed, connection.get());
    evhttp_request_set_error_cb(r, failed);
    auto *headers = evhttp_request_get_output_headers(r);
    evhttp_add_header(headers, "Host", m_state->settings.address.str().c_str());
    for (const auto *list : {&m_state->settings.headers, &request.headers}) {
        for (const auto &[key, value] : *list) {
            evhttp_add_header(headers, key.c_str(), value.c_str());
        }
    }
    if (request.body) {
        evhttp_add_header(headers, "Content-Type", m_state->settings.contentType.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(r), request.body->data(), request.body->size());
    }
    connection->timer.start(request.timeout);
    // A failure that evhttp detects at once is reported by the timer instead of from inside this call.
    if (evhttp_make_request(connection->http, r, request.body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, request.target.c_str()) != 0) {
        connection->timerError = Error::ConnectionLost;
        connection->timer.start({});
    }
}

auto HttpClient::isOpen(HttpConnectionId connection) const -> bool
{
    const auto &s = *m_state;
    return std::any_of(s.idle.begin(), s.idle.end(), [&](const auto &it) { return it->id == connection; })
        || std::any_of(s.busy.begin(), s.busy.end(), [&](const auto &it) { return it.second->id == connection; });
}

auto HttpClient::inProgress() const -> std::size_t
{
    return m_state->busy.size();
}

} // namespace Acaciarail::Runtime
