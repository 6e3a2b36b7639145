#pragma once

#include <acaciarail/core/time.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

/// Runs the real programs as processes, injects faults from outside, and checks what callers and workers observe.
namespace Acaciarail::Soak {

struct HttpCall
{
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;

    /// Returns the value of query parameter \a key, or \a fallback if it is absent.
    /// \pre a value that is present is a decimal number.
    [[nodiscard]] auto queryNumber(const std::string &key, std::uint64_t fallback) const -> std::uint64_t;
};

struct HttpReply
{
    int status = 200;
    std::string body = "{}";
    /// The connection ends after this response.
    bool closesConnection = false;
};

/// Responds to one call; may be called later, or never.
using Respond = std::function<void(const HttpReply &)>;

/// An HTTP server on a port that the kernel selects. Its destructor responds to all pending calls with status 503. Not thread-safe.
class HttpListener
{
public:
    using Handler = std::function<void(const HttpCall &, Respond)>;

    /// \pre \a loop outlives the listener. Throws std::system_error when no port is available.
    HttpListener(Runtime::EventLoop &loop, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    auto operator=(const HttpListener &) -> HttpListener & = delete;

    [[nodiscard]] auto address() const -> Runtime::SocketAddress
    {
        return m_address;
    }

private:
    auto handle(evhttp_request *request) -> void;

    Handler m_handler;
    evhttp *m_http = nullptr;
    Runtime::SocketAddress m_address;
    std::shared_ptr<std::set<evhttp_request *>> m_pending = std::make_shared<std::set<evhttp_request *>>();
};

} // namespace Acaciarail::Soak
