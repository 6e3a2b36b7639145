#pragma once

#include "platform_model.h"

#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/socket_address.h>

#include <cstdint>
#include <memory>
#include <system_error>

namespace Acaciarail::Standins {

/// A platform model behind an HTTP server. Requests of a zone that is cut off are never answered;
/// LogMode::LoseAnswers closes the connection instead. Not thread-safe; used on the loop's thread.
class PlatformServer
{
public:
    /// \pre \a loop outlives the server.
    explicit PlatformServer(Runtime::EventLoop &loop, Runtime::SocketAddress address = {});
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    auto operator=(const PlatformServer &) -> PlatformServer & = delete;

    /// Starts to listen. Returns an error when the address cannot be used. \pre not listening.
    [[nodiscard]] auto listen() -> std::error_code;

    /// Returns the address in use. \pre listen() succeeded.
    [[nodiscard]] auto address() const -> Runtime::SocketAddress;

    /// \pre none.
    [[nodiscard]] auto model() -> PlatformModel &;

    /// Answers each request with this status and body while the status is not 0, to test clients. \pre none.
    auto setFixedAnswer(int status, std::string body) -> void;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Standins
