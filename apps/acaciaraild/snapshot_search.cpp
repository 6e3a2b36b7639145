#include "snapshot_search.h"

namespace Acaciarail::Daemon {

auto SnapshotSearch::start(Platform::LogClient &client, LogOffset earliest, Done done) -> void
{
    std::make_shared<SnapshotSearch>(client, earliest, std::move(done))->readNext();
}

SnapshotSearch::SnapshotSearch(Platform::LogClient &client, LogOffset earliest, Done done)
    : m_client(client)
    , m_scanner(earliest)
    , m_done(std::move(done))
{
}

auto SnapshotSearch::readNext() -> void
{
    Platform::ReadRequest request;
    request.from = m_scanner.nextOffset();
    request.wait = Duration::zero();
    m_client.read(request, [self = shared_from_this()](const Platform::ReadResult &result) { self->handleRead(result); });
}

auto SnapshotSearch::handleRead(const Platform::ReadResult &result) -> void
{
    if (result.status != Platform::ReadStatus::Ok) {
        m_done({false, std::nullopt});
        return;
    }
    for (const auto &it : result.entries) {
        m_scanner.read(it);
    }
    if (!result.entries.empty() && m_scanner.nextOffset() < result.next) {
        readNext();
    } else {
        m_done({true, m_scanner.found()});
    }
}

} // namespace Acaciarail::Daemon
