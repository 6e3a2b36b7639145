#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct event_base;
struct evhttp;

/// A request that the stand-in received.
struct StandInRequest
{
    std::string method;
    std::string path;
    std::string authorization;
    std::string body;
};

struct StandInAnswer
{
    int status = 200;
    std::string body;
    /// Closes the connection instead of answering.
    bool isLost = false;
};

/// A scripted server for the client, on a port chosen by the kernel.
class HttpStandIn
{
public:
    using Handler = std::function<StandInAnswer(const StandInRequest &)>;

    explicit HttpStandIn(Handler handler);
    ~HttpStandIn();
    HttpStandIn(const HttpStandIn &) = delete;
    auto operator=(const HttpStandIn &) -> HttpStandIn & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t
    {
        return m_port;
    }

    /// The requests so far, as `METHOD PATH`.
    [[nodiscard]] auto calls() const -> std::vector<std::string>;
    [[nodiscard]] auto requests() const -> std::vector<StandInRequest>;

    /// Answers \a request; called by the server's thread.
    [[nodiscard]] auto answer(const StandInRequest &request) -> StandInAnswer;
    [[nodiscard]] auto isStopped() const noexcept -> bool
    {
        return m_isStopped;
    }

private:
    Handler m_handler;
    std::unique_ptr<event_base, void (*)(event_base *)> m_base;
    std::unique_ptr<evhttp, void (*)(evhttp *)> m_http;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopped = false;
    mutable std::mutex m_mutex;
    std::vector<StandInRequest> m_requests;
    std::thread m_thread;
};

/// A port that accepts connections into its backlog and never answers, or that refuses them.
class SilentPort
{
public:
    enum class Mode {
        Silent,
        Refusing,
    };

    explicit SilentPort(Mode mode);
    ~SilentPort();
    SilentPort(const SilentPort &) = delete;
    auto operator=(const SilentPort &) -> SilentPort & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t
    {
        return m_port;
    }

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};
