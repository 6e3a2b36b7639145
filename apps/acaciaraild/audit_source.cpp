#include "audit_source.h"

#include <acaciarail/operator/document.h>

#include <type_traits>

namespace Acaciarail::Daemon {

namespace {

using namespace State;
namespace Op = Operator;

auto wasAccepted(const RecordEffect &effect) -> bool
{
    return std::visit(
        [](const auto &it) {
            if constexpr (requires { it.accepted; }) {
                return it.accepted;
            }
            return false;
        },
        effect);
}

auto toAuditBody(const JobAccepted &body, const Record &, const Replica &) -> std::optional<Op::AuditBody>
{
    const auto &spec = body.job.spec;
    return Op::AuditJobAccepted{body.job.id, spec.name, spec.organisation, spec.caller, body.job.zone, spec.idempotent};
}

auto toAuditBody(const JobAssigned &body, const Record &, const Replica &before) -> std::optional<Op::AuditBody>
{
    const auto *state = before.job(body.job);
    Op::AuditJobAssigned out{body.job, body.attempt, body.term, {}, state && !state->mayHaveStarted};
    for (const auto &it : body.members) {
        out.workers.push_back(it.worker);
    }
    return out;
}

auto toAuditBody(const JobFinished &body, const Record &, const Replica &) -> std::optional<Op::AuditBody>
{
    return Op::AuditJobFinished{body.job, body.outcome, body.reason};
}

auto toAuditBody(const CancelRequested &body, const Record &, const Replica &) -> std::optional<Op::AuditBody>
{
    return Op::AuditJobCancelled{body.job, body.caller};
}

auto toAuditBody(const RequestClaimed &body, const Record &record, const Replica &) -> std::optional<Op::AuditBody>
{
    return Op::AuditRequestClaimed{body.organisation,    body.key, body.service, std::to_string(body.fingerprint), body.claimant,
                                   record.id.incarnation};
}

auto toAuditBody(const RequestFinished &body, const Record &record, const Replica &before) -> std::optional<Op::AuditBody>
{
    const auto *state = before.idempotencyState({body.organisation, body.key});
    const auto claimant = state && state->claim.incarnation == record.id.incarnation ? state->claimant : InstanceName();
    return Op::AuditRequestFinished{body.organisation, body.key, body.execution, body.httpStatus, claimant, record.id.incarnation};
}

auto toAuditBody(const ConfigChange &body, const Record &, const Replica &before) -> std::optional<Op::AuditBody>
{
    Op::AuditConfigChanged out{{}, before.configVersion() + 1, {}};
    for (const auto &it : body.documents) {
        out.operatorName = CallerName(it.origin.operatorName);
        out.documents.push_back({it.name, it.baseVersion + 1, it.origin.file, it.origin.revision, Op::ruleNames(it.name, it.text)});
    }
    return out;
}

template<typename T>
auto toAuditBody(const T &, const Record &, const Replica &) -> std::optional<Op::AuditBody>
{
    return std::nullopt;
}

} // namespace

auto AuditSource::read(Platform::LogClient &client, std::function<void(AuditEvents)> done) -> void
{
    std::make_shared<AuditSource>(client, std::move(done))->readNext();
}

AuditSource::AuditSource(Platform::LogClient &client, std::function<void(AuditEvents)> done)
    : m_client(client)
    , m_done(std::move(done))
{
    m_events.complete = true;
}

auto AuditSource::readNext() -> void
{
    Platform::ReadRequest request;
    request.from = m_replica.nextOffset();
    request.wait = Duration::zero();
    m_client.read(request, [self = shared_from_this()](const Platform::ReadResult &result) { self->handleRead(result); });
}

auto AuditSource::handleRead(const Platform::ReadResult &result) -> void
{
    if (result.status == Platform::ReadStatus::Failed) {
        finish(Failure{Error::LogUnavailable, Execution::NotRun, "the platform's log could not be read: " + result.detail});
        return;
    }
    if (result.status == Platform::ReadStatus::NotRetained) {
        m_events.complete = false;
        m_events.events.clear();
        SnapshotSearch::start(m_client, result.earliest,
                              [self = shared_from_this()](const SnapshotSearchResult &found) { self->handleSearch(found); });
        return;
    }
    for (const auto &entry : result.entries) {
        Record record;
        const auto isDecodable = !decodeRecord(entry.bytes, record);
        auto body = isDecodable ? std::visit([&record, this](const auto &it) { return toAuditBody(it, record, m_replica); }, record.body)
                                : std::nullopt;
        const auto effect = m_replica.apply(entry);
        if (body && wasAccepted(effect)) {
            const auto id = std::to_string(record.id.incarnation) + "/" + std::to_string(record.id.sequence);
            m_events.events.push_back({entry.offset, id, Operator::AuditTime(record.writtenAt), std::move(*body)});
        }
    }
    if (result.entries.empty() || m_replica.nextOffset() >= result.next) {
        finish(std::nullopt);
    } else {
        readNext();
    }
}

auto AuditSource::handleSearch(const SnapshotSearchResult &result) -> void
{
    if (!result.reachedEnd) {
        finish(Failure{Error::LogUnavailable, Execution::NotRun, "the platform's log could not be read to its end"});
        return;
    }
    const auto &found = result.snapshot;
    if (!found || m_replica.restore(found->asOf, found->parts)) {
        finish(Failure{Error::LogUnavailable, Execution::NotRun, "the log has neither its first record nor a complete snapshot"});
        return;
    }
    readNext();
}

auto AuditSource::finish(std::optional<Failure> failure) -> void
{
    m_events.failure = std::move(failure);
    m_done(std::move(m_events));
}

} // namespace Acaciarail::Daemon
