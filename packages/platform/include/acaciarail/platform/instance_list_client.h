#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/fleet_info.h>
#include <acaciarail/platform/platform_settings.h>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Acaciarail::Runtime {
class EventLoop;
}

namespace Acaciarail::Platform {

/// The platform's list, divided by kind. Entries of an unknown kind are ignored.
struct InstanceList
{
    std::vector<InstanceInfo> instances;
    std::vector<ListedWorker> workers;
    std::vector<EndpointInfo> endpoints;
    /// One failure for each entry that was omitted because it is malformed or repeats a name.
    std::vector<Failure> faults;
};

struct InstanceListResult
{
    /// Empty when the list could not be fetched or the response is not a list.
    std::optional<InstanceList> list;
    /// Set when \c list is empty.
    Failure failure;
};

/// Parses the JSON list. A malformed entry is omitted and does not affect the others. \pre none. Thread-safe.
[[nodiscard]] auto parseInstanceList(std::string_view json) -> InstanceListResult;

/// Client of the platform's list of instances. The hook is called on the loop, never from inside fetch(), and may destroy the
/// client; hooks of requests in progress are dropped when it is destroyed. Not thread-safe.
class InstanceListClient
{
public:
    /// \pre \a loop outlives the client.
    InstanceListClient(Runtime::EventLoop &loop, const PlatformSettings &settings);
    ~InstanceListClient();
    InstanceListClient(const InstanceListClient &) = delete;
    auto operator=(const InstanceListClient &) -> InstanceListClient & = delete;

    /// Fetches and parses the list. \pre none.
    auto fetch(std::function<void(InstanceListResult)> done) -> void;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Acaciarail::Platform
