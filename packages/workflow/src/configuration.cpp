#include <acaciarail/workflow/configuration.h>

#include <algorithm>

namespace Acaciarail::Workflow {

auto Configuration::findQueue(std::string_view host, std::string_view path) const -> const Queue *
{
    const Queue *best = nullptr;
    for (const auto &it : queues) {
        const bool longer = best == nullptr || it.pathPrefix.size() > best->pathPrefix.size();
        if (it.host == host && path.starts_with(it.pathPrefix) && longer) {
            best = &it;
        }
    }
    return best;
}

auto Configuration::queue(const QueueName &name) const -> const Queue *
{
    const auto it = std::find_if(queues.begin(), queues.end(), [&](const Queue &q) { return q.name == name; });
    return it == queues.end() ? nullptr : &*it;
}

auto Configuration::guaranteed(const OrganisationName &name) const -> std::int64_t
{
    const auto it = std::find_if(organisations.begin(), organisations.end(), [&](const Organisation &o) { return o.name == name; });
    return it == organisations.end() ? 0 : it->guaranteedAccelerators;
}

} // namespace Acaciarail::Workflow
