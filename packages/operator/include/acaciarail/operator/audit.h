#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/job.h>
#include <acaciarail/core/log_entry.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/term.h>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Acaciarail::Operator {

/// Civil time of an audit event. It serves reports only; no decision depends on it.
using AuditTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A job was accepted: its record is in the log.
struct AuditJobAccepted
{
    JobId job;
    std::string name;
    OrganisationName organisation;
    CallerName caller;
    ZoneName zone;
    bool idempotent = true;
};

/// An attempt was assigned to workers.
struct AuditJobAssigned
{
    JobId job;
    std::uint32_t attempt = 0;
    Term term;
    std::vector<WorkerName> workers;
    /// The holder knows that no task of any earlier attempt ran, so that this one is no repetition.
    bool earlierNotRun = false;
};

/// The final outcome of a job.
struct AuditJobFinished
{
    JobId job;
    JobOutcome outcome = JobOutcome::Succeeded;
    JobReason reason = JobReason::None;
};

/// A cancellation was asked for; the job may still finish otherwise.
struct AuditJobCancelled
{
    JobId job;
    CallerName caller;
};

/// A non-idempotent request was claimed. The first claim of a key in log order counts; later ones lost the race.
struct AuditRequestClaimed
{
    OrganisationName organisation;
    std::string key;
    ServiceName service;
    /// Digest of the request.
    std::string fingerprint;
    /// Instance that made the claim, with its incarnation.
    InstanceName claimant;
    std::uint64_t incarnation = 0;
};

/// The outcome of a non-idempotent request.
struct AuditRequestFinished
{
    OrganisationName organisation;
    std::string key;
    Execution execution = Execution::Unknown;
    /// HTTP status that the caller received; 0 for none.
    std::uint32_t status = 0;
    /// Instance that recorded the outcome, with its incarnation.
    InstanceName claimant;
    std::uint64_t incarnation = 0;
};

/// One document within a configuration change.
struct AuditDocument
{
    std::string name;
    std::uint64_t version = 0;
    std::string originFile;
    std::string originRevision;
    /// Names of the rules in it, see ruleNames().
    std::vector<std::string> rules;
};

/// A configuration change that came into force.
struct AuditConfigChanged
{
    CallerName operatorName;
    std::uint64_t version = 0;
    std::vector<AuditDocument> documents;
};

using AuditBody = std::variant<AuditJobAccepted, AuditJobAssigned, AuditJobFinished, AuditJobCancelled, AuditRequestClaimed,
                               AuditRequestFinished, AuditConfigChanged>;

/// One event, taken from one log record.
struct AuditEvent
{
    LogOffset offset = 0;
    /// Unique id of the record; a record that was appended twice counts once. Empty when unknown.
    std::string record;
    /// Empty when unknown; the event then counts as older than any age.
    std::optional<AuditTime> at;
    AuditBody body;
};

/// What is wrong with one job or non-idempotent request.
enum class AuditFaultKind : std::uint8_t {
    /// Accepted longer ago than the given age, and no outcome.
    NoOutcome,
    /// Two outcomes that differ, or two records of the outcome of a request. A job's outcome may be recorded again unchanged,
    /// because two holders in succession can both learn of it.
    SeveralOutcomes,
    /// A non-idempotent job or request was run more than once.
    RepeatedRun,
    /// An instance other than the claimant recorded that a request ran or did not run, which only the claimant can know.
    ForeignOutcome,
    /// An outcome or assignment without an acceptance, in a log that is complete from its start.
    NotAccepted,
};

/// Returns the kebab-case name of \a kind. \pre none. Thread-safe.
[[nodiscard]] auto auditFaultName(AuditFaultKind kind) noexcept -> std::string_view;

struct AuditFault
{
    AuditFaultKind kind = AuditFaultKind::NoOutcome;
    /// `job ID` or `order ORGANISATION/KEY`.
    std::string subject;
    std::string detail;
};

/// One step on the path of a job or request.
struct AuditStep
{
    LogOffset offset = 0;
    std::optional<AuditTime> at;
    std::string description;
};

/// Where a rule comes from.
struct RuleOrigin
{
    /// For example `organisation hartwell`.
    std::string rule;
    std::string document;
    std::uint64_t documentVersion = 0;
    std::string originFile;
    std::string originRevision;
    CallerName operatorName;
    LogOffset offset = 0;
    /// False once a later change replaced or removed the rule.
    bool inForce = true;
};

enum class AuditState : std::uint8_t {
    Open,
    Finished,
};

/// The path of one job or non-idempotent request from acceptance to outcome.
struct AuditPath
{
    /// `job ID` or `order ORGANISATION/KEY`.
    std::string subject;
    OrganisationName organisation;
    AuditState state = AuditState::Open;
    /// For example `succeeded` or `cancelled (cancelled-by-caller)`; empty while open.
    std::string outcome;
    std::vector<AuditStep> steps;
    /// Rules of the organisation and service that were in force at acceptance.
    std::vector<RuleOrigin> rules;
};

struct AuditOptions
{
    /// Time of the audit.
    AuditTime now;
    /// Accepted work without an outcome is a fault once it is older than this.
    std::chrono::milliseconds openAge = std::chrono::hours(24);
    /// The events start at the first record of the log, so that everything in them must have been accepted.
    bool complete = false;
};

struct AuditReport
{
    /// In order of acceptance.
    std::vector<AuditPath> paths;
    std::vector<AuditFault> faults;
    /// Every version of every rule, in log order.
    std::vector<RuleOrigin> rules;
    std::uint64_t events = 0;
    /// Events left out because the same offset or record occurred before, as in overlapping archives.
    std::uint64_t repeatedEvents = 0;
};

/// Audits \a events, in any order. \pre none. Thread-safe.
[[nodiscard]] auto audit(std::span<const AuditEvent> events, const AuditOptions &options) -> AuditReport;

/// Returns the JSON object of \a event, as in `GET /v1/audit` and in archives. \pre none. Thread-safe.
[[nodiscard]] auto auditEventToJson(const AuditEvent &event) -> nlohmann::json;

/// Result of reading an event: the event, or what is wrong with the text.
struct ReadAuditEvent
{
    std::optional<AuditEvent> event;
    /// Error::Ok, or Error::MalformedInput with the field, the expected and the found value.
    Failure failure;
};

/// Reads one JSON object. Never throws on any input. \pre none. Thread-safe.
[[nodiscard]] auto auditEventFromJson(const nlohmann::json &json) -> ReadAuditEvent;

/// Reads one line of an archive. Never throws on any input. \pre none. Thread-safe.
[[nodiscard]] auto auditEventFromLine(std::string_view line) -> ReadAuditEvent;

/// Returns \a event as one line of an archive, without a line end. \pre none. Thread-safe.
[[nodiscard]] auto auditEventToLine(const AuditEvent &event) -> std::string;

} // namespace Acaciarail::Operator
