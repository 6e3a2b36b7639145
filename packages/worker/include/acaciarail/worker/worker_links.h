#pragma once

#include <acaciarail/runtime/frame_connection.h>
#include <acaciarail/worker/messages.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace Acaciarail::Worker {

struct WorkerLinksSettings
{
    Runtime::FrameSettings frames;
    /// Bounds of the delay before the next attempt to connect. It doubles with each failure. The actual delay is chosen at random
    /// between half of it and all of it, so that instances do not reconnect at the same time.
    Duration minBackoff = 100ms;
    Duration maxBackoff = 5s;
};

/// Callbacks of the links. Called from the event loop, never from inside a method of WorkerLinks.
struct WorkerLinksHooks
{
    std::function<void(const WorkerName &worker, const Reply &reply)> received;
    std::function<void(const WorkerName &worker)> up;
    /// An established connection was lost, or an attempt to connect failed.
    std::function<void(const WorkerName &worker, const Runtime::CloseInfo &info)> down;
};

/// Connections to workers: at most one for each worker, opened on demand and then kept open. Not thread-safe; used on the loop's thread.
class WorkerLinks
{
public:
    /// \pre \a loop outlives the links. \a seed determines the jitter.
    WorkerLinks(Runtime::EventLoop &loop, const WorkerLinksSettings &settings, WorkerLinksHooks hooks, std::uint64_t seed);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks &) = delete;
    auto operator=(const WorkerLinks &) -> WorkerLinks & = delete;

    /// Sets the address of \a worker, without connecting. When the address changes, an open connection is replaced.
    /// Error::MalformedInput when \a address is not `HOST:PORT` with a numeric host. \pre none.
    [[nodiscard]] auto setWorker(const WorkerName &worker, std::string_view address) -> std::error_code;

    /// Closes the connection and removes the worker; no hook is called for it afterwards. \pre none.
    auto removeWorker(const WorkerName &worker) -> void;

    /// Opens the connection unless it is open or being opened, and keeps it open from now on.
    /// While it waits to reconnect, this has no effect. Error::NoEndpoint when the worker is not known. \pre none.
    [[nodiscard]] auto connect(const WorkerName &worker) -> std::error_code;

    /// Closes the connection without calling a hook, and does not reopen it before the next connect() or send(). \pre none.
    auto disconnect(const WorkerName &worker) -> void;

    /// Sends \a request, and connects first when there is no connection. Errors: Error::NoEndpoint when the worker is not known,
    /// Error::ConnectionLost while the link waits to reconnect, Error::TooLarge, Error::Overloaded. On an error nothing was sent.
    /// Without an error the request may still be lost with the connection. \pre none.
    [[nodiscard]] auto send(const WorkerName &worker, const Request &request) -> std::error_code;

    /// Returns whether the connection is established. \pre none.
    [[nodiscard]] auto isUp(const WorkerName &worker) const -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Acaciarail::Worker
