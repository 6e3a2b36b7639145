#pragma once

#include "child_process.h"
#include "http_exchange.h"

#include "platform_server.h"
#include "worker_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Tests with real entry instances on loopback.
namespace Acaciarail::ProcessTest {

/// Limit of each wait. A wait ends as soon as its condition holds, so only a fault or a very busy machine reaches the limit.
inline constexpr Duration waitLimit = 40s;

inline const std::string midwest = "midwest-a";
inline const std::string southeast = "southeast-a";
inline const std::string operatorToken = "test-operator";
inline const std::string lakeviewToken = "test-lakeview";
inline const std::string pineRidgeToken = "test-pine-ridge";

/// A response; status 0 when none has arrived.
struct Response
{
    int status = 0;
    nlohmann::json json;

    /// Returns a string member of the JSON; empty when there is none. \pre none.
    [[nodiscard]] auto text(const char *member) const -> std::string;
    /// Returns whether this is a refusal with this code and execution. \pre none.
    [[nodiscard]] auto isRefusal(std::string_view code, std::string_view execution) const -> bool;
};

/// One start of an attempt on a worker.
struct StartRecord
{
    std::string worker;
    Worker::AttemptId id;
    Term term;
    /// Term in force at the worker at the time of the start.
    Term inForce;
};

struct DeploymentSettings
{
    /// Name and zone of each entry instance.
    std::vector<std::pair<std::string, std::string>> entries{{"entry-0", midwest}, {"entry-1", midwest}, {"entry-2", southeast}};
    std::uint32_t midwestWorkers = 3;
    std::uint32_t southeastWorkers = 1;
    std::uint32_t endpoints = 0;
    /// Further flags of each entry instance.
    std::vector<std::string> entryFlags = {};
    /// Variables `NAME=VALUE` that are added to the environment of each entry instance.
    std::vector<std::string> entryEnvironment = {};
};

/// The platform and workers in this process, and entry instances and endpoints as child processes. The configuration of the
/// Hartwell example is published without its guarantees, which would need more workers. Not thread-safe.
class Deployment
{
public:
    /// Returns once the configuration is in force and both zones have a holder. \pre none. Fails the test otherwise.
    explicit Deployment(DeploymentSettings settings = {});

    /// Runs the stand-ins until \a condition holds; false after the limit. \pre none.
    [[nodiscard]] auto waitUntil(const std::function<bool()> &condition) -> bool;

    /// Starts an entry instance and adds it to the platform's list. \pre \a name is not in use.
    auto startEntry(const std::string &name, const std::string &zone) -> void;
    /// Sends a signal to an entry instance. \pre it was started.
    auto signalEntry(const std::string &name, int number) -> void;
    /// Kills an entry instance and removes it from the platform's list. \pre it was started.
    auto killEntry(const std::string &name) -> void;
    /// Returns the process of the entry instance. \pre it was started.
    [[nodiscard]] auto entryProcess(const std::string &name) -> ChildProcess &;
    [[nodiscard]] auto entryNames() const -> std::vector<std::string>;
    /// Returns the address at which the entry instance listens for callers. \pre it was started.
    [[nodiscard]] auto entryAddress(const std::string &name) const -> Runtime::SocketAddress;

    /// Starts a worker with 8 accelerators and adds it to the platform's list. \pre none.
    auto addWorker(const std::string &zone) -> Standins::WorkerServer &;
    [[nodiscard]] auto workers() -> std::vector<std::unique_ptr<Standins::WorkerServer>> &;
    /// Returns all starts of attempts so far.
    [[nodiscard]] auto starts() const -> const std::vector<StartRecord> &;
    /// Returns how many starts any attempt of \a job had on all workers. \pre none.
    [[nodiscard]] auto startsOfJob(const std::string &job) const -> std::size_t;
    /// Returns a description of the first start that violates a rule: an attempt that started twice on a worker, or a start under
    /// a term that was not in force. \pre none.
    [[nodiscard]] auto firstInvalidStart() -> std::optional<std::string>;

    /// Sends bytes without waiting for the response. \pre the entry was started.
    [[nodiscard]] auto open(const std::string &entry, std::string_view bytes) -> std::unique_ptr<HttpExchange>;
    /// Sends a request and waits for the response. \pre the entry was started.
    [[nodiscard]] auto call(const std::string &entry, std::string_view method, std::string_view target, const std::string &token,
                            const nlohmann::json &body = nullptr, std::vector<std::string> headers = {}) -> Response;
    /// Sends bytes and waits for the response. \pre the entry was started.
    [[nodiscard]] auto callRaw(const std::string &entry, std::string_view bytes) -> Response;
    /// Calls the control interface of the endpoints. \pre there are endpoints.
    [[nodiscard]] auto endpointControl(std::string_view method, std::string_view target, const nlohmann::json &body = nullptr) -> Response;
    /// Returns how many times the endpoints ran a request with this value. \pre there are endpoints.
    [[nodiscard]] auto runsOfValue(const std::string &value) -> std::uint64_t;

    [[nodiscard]] auto status(const std::string &entry) -> nlohmann::json;
    /// Returns whether \a entry holds the shard of \a zone and has recovered its state. \pre none.
    [[nodiscard]] auto isHolder(const std::string &entry, const std::string &zone) -> bool;
    /// Returns the entry that holds the shard of \a zone; empty when there is none. \pre none.
    [[nodiscard]] auto holder(const std::string &zone) -> std::string;
    /// Publishes documents based on the versions in force at \a entry. \pre none.
    [[nodiscard]] auto publish(const std::string &entry, const std::map<std::string, std::string> &documents) -> Response;

    [[nodiscard]] auto platform() -> Standins::PlatformModel &;
    [[nodiscard]] auto loop() -> Runtime::EventLoop &;

private:
    struct Entry
    {
        std::string zone;
        Runtime::SocketAddress address;
        std::unique_ptr<ChildProcess> process;
    };

    auto startEndpoints(std::uint32_t count) -> void;
    [[nodiscard]] auto finish(HttpExchange &exchange) -> Response;

    Runtime::EventLoop m_loop;
    Standins::PlatformServer m_platform;
    std::vector<std::string> m_entryFlags;
    std::vector<std::string> m_entryEnvironment;
    std::vector<StartRecord> m_starts;
    std::vector<std::unique_ptr<Standins::WorkerServer>> m_workers;
    std::unique_ptr<ChildProcess> m_endpoints;
    Runtime::SocketAddress m_endpointAddress;
    std::map<std::string, Entry> m_entries;
};

/// Returns the description of a job with one task that needs this many of a worker's 8 accelerators. \pre none.
[[nodiscard]] auto makeJob(const std::string &name, std::uint32_t accelerators, Duration runTime, bool idempotent,
                           const std::string &zone = midwest) -> nlohmann::json;

/// Submits a job as a caller of Lakeview and returns its id. Fails the test when it is not accepted. \pre none.
[[nodiscard]] auto submit(Deployment &deployment, const std::string &entry, const nlohmann::json &job) -> std::string;

/// Returns the outcome of a job of Lakeview; empty while it has none. \pre none.
[[nodiscard]] auto outcomeOf(Deployment &deployment, const std::string &entry, const std::string &job) -> std::string;

/// Returns the documents that each deployment publishes first. \pre none.
[[nodiscard]] auto initialDocuments() -> std::map<std::string, std::string>;

/// Returns a request to the service, which the endpoints run for \a serviceTime and count under \a value. \pre none.
[[nodiscard]] auto serviceRequest(const std::string &value, Duration serviceTime, bool idempotent, const std::string &token = lakeviewToken)
    -> std::string;

} // namespace Acaciarail::ProcessTest
