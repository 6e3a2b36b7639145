#include <acaciarail/operator/audit.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace Acaciarail::Operator {

namespace {

constexpr std::array<std::string_view, 5> faultNames{"no-outcome", "several-outcomes", "repeated-run", "foreign-outcome", "not-accepted"};
static_assert(faultNames.size() == static_cast<std::size_t>(AuditFaultKind::NotAccepted) + 1);

template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

auto jobSubject(const JobId &job) -> std::string
{
    return "job " + job.str();
}

auto orderSubject(const OrganisationName &organisation, const std::string &key) -> std::string
{
    return "order " + organisation.str() + '/' + key;
}

auto subjectOf(const AuditBody &body) -> std::string
{
    return std::visit(Overloaded{
                          [](const AuditRequestClaimed &it) { return orderSubject(it.organisation, it.key); },
                          [](const AuditRequestFinished &it) { return orderSubject(it.organisation, it.key); },
                          [](const AuditConfigChanged &) { return std::string("config"); },
                          [](const auto &it) { return jobSubject(it.job); },
                      },
                      body);
}

auto outcomeText(const AuditJobFinished &finished) -> std::string
{
    std::string text(jobOutcomeName(finished.outcome));
    return finished.reason == JobReason::None ? text : text + " (" + std::string(jobReasonName(finished.reason)) + ')';
}

auto outcomeText(const AuditRequestFinished &finished) -> std::string
{
    std::string text = executionName(finished.execution);
    return finished.status == 0 ? text : text + " (status " + std::to_string(finished.status) + ')';
}

auto incarnationText(const InstanceName &instance, std::uint64_t incarnation) -> std::string
{
    return instance.str() + '#' + std::to_string(incarnation);
}

/// One run that was assigned; a holder that takes over may record the same run again.
struct Run
{
    std::uint32_t attempt = 0;
    std::vector<WorkerName> workers;

    friend auto operator==(const Run &, const Run &) noexcept -> bool = default;
};

/// The path of one subject while the events are read.
struct Progress
{
    AuditPath path;
    std::optional<AuditTime> acceptedAt;
    bool isAccepted = false;
    bool isIdempotent = true;
    std::vector<Run> runs;
    /// Claim that counts; empty for jobs.
    std::string claimant;
    std::string fingerprint;
    Execution execution = Execution::Unknown;
    /// Instance and incarnation that recorded the outcome.
    std::string recorder;
};

class Auditor
{
public:
    explicit Auditor(const AuditOptions &options)
        : m_options(options)
    {
    }

    auto run(std::span<const AuditEvent> events) -> AuditReport
    {
        std::vector<const AuditEvent *> ordered;
        ordered.reserve(events.size());
        std::transform(events.begin(), events.end(), std::back_inserter(ordered), [](const AuditEvent &it) { return &it; });
        std::stable_sort(ordered.begin(), ordered.end(), [](const AuditEvent *a, const AuditEvent *b) { return a->offset < b->offset; });
        for (const auto *it : ordered) {
            if (isRepeated(*it)) {
                ++m_report.repeatedEvents;
                continue;
            }
            ++m_report.events;
            std::visit([this, it](const auto &body) { apply(*it, body); }, it->body);
        }
        for (auto &it : m_progress) {
            finish(it);
        }
        return std::move(m_report);
    }

private:
    using SeenOffset = std::tuple<LogOffset, std::size_t, std::string>;
    using SeenRecord = std::tuple<std::string, std::size_t, std::string>;

    auto isRepeated(const AuditEvent &event) -> bool
    {
        const auto kind = event.body.index();
        const auto subject = subjectOf(event.body);
        const bool isNewOffset = m_seenOffsets.emplace(event.offset, kind, subject).second;
        const bool isNewRecord = event.record.empty() || m_seenRecords.emplace(event.record, kind, subject).second;
        return !isNewOffset || !isNewRecord;
    }

    auto progressOf(const std::string &subject) -> Progress &
    {
        const auto [it, isNew] = m_bySubject.try_emplace(subject, m_progress.size());
        if (isNew) {
            m_progress.emplace_back().path.subject = subject;
        }
        return m_progress[it->second];
    }

    auto step(Progress &progress, const AuditEvent &event, std::string description) -> void
    {
        progress.path.steps.push_back({event.offset, event.at, std::move(description)});
    }

    auto fault(AuditFaultKind kind, const Progress &progress, std::string detail) -> void
    {
        m_report.faults.push_back({kind, progress.path.subject, std::move(detail)});
    }

    auto attachRule(Progress &progress, const std::string &rule) -> void
    {
        const auto it = m_inForce.find(rule);
        if (it != m_inForce.end()) {
            progress.path.rules.push_back(m_report.rules[it->second]);
        }
    }

    auto apply(const AuditEvent &event, const AuditJobAccepted &accepted) -> void
    {
        auto &progress = progressOf(jobSubject(accepted.job));
        if (progress.isAccepted) {
            step(progress, event, "accepted again, without effect");
            return;
        }
        progress.isAccepted = true;
        progress.isIdempotent = accepted.idempotent;
        progress.acceptedAt = event.at;
        progress.path.organisation = accepted.organisation;
        attachRule(progress, "organisation " + accepted.organisation.str());
        step(progress, event,
             "accepted as \"" + accepted.name + "\" from " + accepted.organisation.str() + '/' + accepted.caller.str() + " for zone "
                 + accepted.zone.str() + (accepted.idempotent ? "" : ", not idempotent"));
    }

    auto apply(const AuditEvent &event, const AuditJobAssigned &assigned) -> void
    {
        auto &progress = progressOf(jobSubject(assigned.job));
        const auto text = "attempt " + std::to_string(assigned.attempt) + " assigned to " + std::to_string(assigned.workers.size())
            + " workers in term " + std::to_string(assigned.term.number);
        if (progress.path.state == AuditState::Finished) {
            step(progress, event, text + ", without effect after the outcome");
            return;
        }
        step(progress, event, text);
        Run run{assigned.attempt, assigned.workers};
        std::sort(run.workers.begin(), run.workers.end(), [](const WorkerName &a, const WorkerName &b) { return a.str() < b.str(); });
        if (std::find(progress.runs.begin(), progress.runs.end(), run) != progress.runs.end()) {
            return;
        }
        if (assigned.earlierNotRun) {
            progress.runs.clear();
        }
        progress.runs.push_back(std::move(run));
    }

    auto apply(const AuditEvent &event, const AuditJobFinished &finished) -> void
    {
        auto &progress = progressOf(jobSubject(finished.job));
        const auto outcome = outcomeText(finished);
        if (progress.path.state == AuditState::Open) {
            progress.path.state = AuditState::Finished;
            progress.path.outcome = outcome;
            step(progress, event, "finished: " + outcome);
            return;
        }
        step(progress, event, "outcome recorded again: " + outcome);
        if (outcome != progress.path.outcome) {
            fault(AuditFaultKind::SeveralOutcomes, progress,
                  "expected one outcome, found " + progress.path.outcome + " and, at offset " + std::to_string(event.offset) + ", "
                      + outcome);
        }
    }

    auto apply(const AuditEvent &event, const AuditJobCancelled &cancelled) -> void
    {
        auto &progress = progressOf(jobSubject(cancelled.job));
        const bool isLate = progress.path.state == AuditState::Finished;
        step(progress, event, "cancellation asked for by " + cancelled.caller.str() + (isLate ? ", without effect after the outcome" : ""));
    }

    auto apply(const AuditEvent &event, const AuditRequestClaimed &claimed) -> void
    {
        auto &progress = progressOf(orderSubject(claimed.organisation, claimed.key));
        const auto claimant = incarnationText(claimed.claimant, claimed.incarnation);
        // A request that did not run may be claimed anew under the same key.
        const bool isReopened = progress.path.state == AuditState::Finished && progress.execution == Execution::NotRun;
        if (progress.isAccepted && !isReopened) {
            const bool isSame = claimed.fingerprint == progress.fingerprint;
            step(progress, event,
                 "claim of " + claimant + " without effect: " + (isSame ? "already claimed" : "the key is in use for another request"));
            return;
        }
        progress.isAccepted = true;
        progress.isIdempotent = false;
        progress.acceptedAt = event.at;
        progress.claimant = claimant;
        progress.fingerprint = claimed.fingerprint;
        progress.path.state = AuditState::Open;
        progress.path.outcome.clear();
        progress.path.organisation = claimed.organisation;
        progress.path.rules.clear();
        attachRule(progress, "organisation " + claimed.organisation.str());
        attachRule(progress, "service " + claimed.service.str());
        step(progress, event, "claimed by " + claimant + " for service " + claimed.service.str());
    }

    auto apply(const AuditEvent &event, const AuditRequestFinished &finished) -> void
    {
        auto &progress = progressOf(orderSubject(finished.organisation, finished.key));
        const auto outcome = outcomeText(finished);
        const auto recorder = incarnationText(finished.claimant, finished.incarnation);
        step(progress, event, "finished: " + outcome + ", recorded by " + recorder);
        if (progress.isAccepted && recorder != progress.claimant && finished.execution != Execution::Unknown) {
            fault(AuditFaultKind::ForeignOutcome, progress,
                  "expected the outcome from the claimant " + progress.claimant + ", found " + outcome + " from " + recorder);
        }
        if (progress.path.state == AuditState::Finished) {
            checkSecondOutcome(progress, event, finished);
            return;
        }
        progress.path.organisation = finished.organisation;
        progress.path.state = AuditState::Finished;
        progress.path.outcome = outcome;
        progress.execution = finished.execution;
        progress.recorder = recorder;
    }

    auto checkSecondOutcome(Progress &progress, const AuditEvent &event, const AuditRequestFinished &finished) -> void
    {
        const auto recorder = incarnationText(finished.claimant, finished.incarnation);
        // An instance may close a request of one that seems gone as unknown; the claimant's own word then replaces that.
        if (progress.execution == Execution::Unknown && progress.recorder != progress.claimant && recorder == progress.claimant) {
            progress.path.outcome = outcomeText(finished);
            progress.execution = finished.execution;
            progress.recorder = recorder;
            return;
        }
        fault(AuditFaultKind::SeveralOutcomes, progress,
              "expected one outcome, found " + progress.path.outcome + " and, at offset " + std::to_string(event.offset) + ", "
                  + outcomeText(finished));
        if (progress.execution == Execution::Ran && finished.execution == Execution::Ran) {
            fault(AuditFaultKind::RepeatedRun, progress, "expected at most one run, found two recorded as ran");
        }
    }

    auto apply(const AuditEvent &event, const AuditConfigChanged &changed) -> void
    {
        for (const auto &document : changed.documents) {
            retireRules(document.name);
            for (const auto &rule : document.rules) {
                m_inForce[rule] = m_report.rules.size();
                m_byDocument[document.name].push_back(m_report.rules.size());
                m_report.rules.push_back({rule, document.name, document.version, document.originFile, document.originRevision,
                                          changed.operatorName, event.offset, true});
            }
        }
    }

    auto retireRules(const std::string &document) -> void
    {
        auto &indices = m_byDocument[document];
        for (const auto i : indices) {
            auto &origin = m_report.rules[i];
            origin.inForce = false;
            const auto it = m_inForce.find(origin.rule);
            if (it != m_inForce.end() && it->second == i) {
                m_inForce.erase(it);
            }
        }
        indices.clear();
    }

    auto finish(Progress &progress) -> void
    {
        if (!progress.isAccepted) {
            checkNotAccepted(progress);
        } else if (progress.path.state == AuditState::Open) {
            checkAge(progress);
        }
        if (!progress.isIdempotent && progress.runs.size() > 1) {
            fault(AuditFaultKind::RepeatedRun, progress,
                  "expected at most one run of a job that is not idempotent, found " + std::to_string(progress.runs.size()));
        }
        m_report.paths.push_back(std::move(progress.path));
    }

    auto checkNotAccepted(const Progress &progress) -> void
    {
        if (m_options.complete) {
            fault(AuditFaultKind::NotAccepted, progress,
                  "expected an acceptance before offset " + std::to_string(progress.path.steps.front().offset) + ", found none");
        }
    }

    auto checkAge(const Progress &progress) -> void
    {
        if (!progress.acceptedAt) {
            fault(AuditFaultKind::NoOutcome, progress, "expected an outcome, found none; the time of acceptance is unknown");
            return;
        }
        const auto age = m_options.now - *progress.acceptedAt;
        if (age > m_options.openAge) {
            const auto seconds = [](auto d) { return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(d).count()) + " s"; };
            fault(AuditFaultKind::NoOutcome, progress,
                  "expected an outcome within " + seconds(m_options.openAge) + " of acceptance, found none after " + seconds(age));
        }
    }

    AuditOptions m_options;
    AuditReport m_report;
    std::vector<Progress> m_progress;
    std::unordered_map<std::string, std::size_t> m_bySubject;
    std::set<SeenOffset> m_seenOffsets;
    std::set<SeenRecord> m_seenRecords;
    /// Index into the rules of the report, by the name of the rule.
    std::unordered_map<std::string, std::size_t> m_inForce;
    std::unordered_map<std::string, std::vector<std::size_t>> m_byDocument;
};

} // namespace

auto auditFaultName(AuditFaultKind kind) noexcept -> std::string_view
{
    return faultNames.at(static_cast<std::size_t>(kind));
}

auto audit(std::span<const AuditEvent> events, const AuditOptions &options) -> AuditReport
{
    return Auditor(options).run(events);
}

} // namespace Acaciarail::Operator
