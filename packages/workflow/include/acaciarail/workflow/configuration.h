#pragma once

#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Workflow {

/// A queue, with the host and path prefix that its requests are matched by.
struct Queue
{
    QueueName name;
    std::string host;
    std::string pathPrefix;
    QueuePolicy policy;
    /// Requests need no API key.
    bool isPublic = false;
};

struct Organisation
{
    OrganisationName name;
    /// Accelerators guaranteed to its urgent jobs at all times.
    std::int64_t guaranteedAccelerators = 0;
};

/// One version of the configuration. Copies are independent. Not thread-safe.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Organisation> organisations;
    std::map<std::string, OrganisationName, std::less<>> apiKeys;

    /// Returns the queue of \a host with the longest prefix of \a path; null when there is none. \pre none.
    [[nodiscard]] auto findQueue(std::string_view host, std::string_view path) const -> const Queue *;
    /// Returns the queue with that name; null when there is none. \pre none.
    [[nodiscard]] auto queue(const QueueName &name) const -> const Queue *;
    /// Returns the number of accelerators guaranteed to an organisation; 0 for an unknown one. \pre none.
    [[nodiscard]] auto guaranteed(const OrganisationName &name) const -> std::int64_t;
};

} // namespace Acaciarail::Workflow
