#pragma once

#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Workflow {

/// A queue and the requests that belong to it.
struct Queue
{
    QueueName name;
    std::string host;
    std::string pathPrefix;
    QueuePolicy policy;
    /// Requests need no key.
    bool isPublic = false;
};

struct Organisation
{
    OrganisationName name;
    /// Accelerators that belong to its urgent jobs at all times.
    std::int64_t guaranteedAccelerators = 0;
};

/// The configuration of one version. Copies are independent. Not thread-safe.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Organisation> organisations;
    std::map<std::string, OrganisationName, std::less<>> keys;

    /// Returns the queue of a host whose prefix is the longest that \a path begins with; null for none. \pre none.
    [[nodiscard]] auto findQueue(std::string_view host, std::string_view path) const -> const Queue *;
    /// Returns the queue of that name; null for none. \pre none.
    [[nodiscard]] auto queue(const QueueName &name) const -> const Queue *;
    /// Returns what an organisation is guaranteed; 0 for an unknown one. \pre none.
    [[nodiscard]] auto guaranteed(const OrganisationName &name) const -> std::int64_t;
};

} // namespace Acaciarail::Workflow
