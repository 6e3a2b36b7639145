#pragma once

#include <acaciarail/workflow/job.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace Acaciarail::Workflow {

/// A record of a keyed topic; the newest of each key is kept. An empty value removes the key.
struct KeyedRecord
{
    std::string key;
    std::string value;

    friend auto operator==(const KeyedRecord &, const KeyedRecord &) noexcept -> bool = default;
};

/// Topic that every instance appends accepted jobs and cancellations to.
inline constexpr std::string_view intakeTopic = "keyed.intake";
/// Topic that only the holder appends to, fenced by its term; also decides who the holder is.
inline constexpr std::string_view stateTopic = "keyed.state";

enum class UnitPhase : std::uint8_t {
    /// Not assigned to workers.
    Pending,
    /// May run on the named workers.
    Assigned,
    Done,
    Failed,
};

/// Durable state of a unit.
struct UnitRecord
{
    UnitPhase phase = UnitPhase::Pending;
    /// Number of the newest run; never falls.
    std::uint32_t run = 0;
    /// Runs that ended as failed.
    std::uint32_t failures = 0;
    /// Progress that the next run starts from; empty for none.
    std::string checkpoint;
    /// The worker of each member of the newest run, by index.
    std::vector<WorkerName> workers;
    /// The newest run whose failure is counted; a later holder may read of that failure once more.
    std::uint32_t failedRun = 0;
};

/// Durable claim of an instance to be the holder.
struct HolderRecord
{
    std::uint64_t term = 0;
    InstanceName instance;
    /// Differs between two lives of an instance.
    std::uint64_t incarnation = 0;
    /// The holder gave its role up.
    bool released = false;
};

/// What an instance says of itself when it starts.
struct MemberRecord
{
    InstanceName instance;
    /// Share of a core that it has.
    double processorShare = 0;
};

/// Returns the record that accepts \a spec. \pre none. Thread-safe.
[[nodiscard]] auto acceptRecord(const JobSpec &spec) -> KeyedRecord;
/// Returns the record that cancels a job. \pre none. Thread-safe.
[[nodiscard]] auto cancelRecord(const JobId &job) -> KeyedRecord;
/// Returns the record of a unit. \pre none. Thread-safe.
[[nodiscard]] auto unitRecord(const UnitId &unit, bool gang, const UnitRecord &state) -> KeyedRecord;
/// Returns the record that says how a job ended. \pre \a phase is final. Thread-safe.
[[nodiscard]] auto outcomeRecord(const JobId &job, JobPhase phase) -> KeyedRecord;
/// Returns the records that remove a job from the intake topic. \pre the job's outcome is stored. Thread-safe.
[[nodiscard]] auto removeFromIntake(const JobId &job) -> std::vector<KeyedRecord>;
/// Returns the record that removes a job's outcome. \pre the job is removed from the intake topic, or it would run again. Thread-safe.
[[nodiscard]] auto removeOutcome(const JobId &job) -> KeyedRecord;
/// Returns the record that an instance introduces itself with. \pre none. Thread-safe.
[[nodiscard]] auto memberRecord(const MemberRecord &member) -> KeyedRecord;
/// Returns the record of the holder. \pre none. Thread-safe.
[[nodiscard]] auto holderRecord(const HolderRecord &holder) -> KeyedRecord;

/// A job that was accepted, or, without a specification, cancelled.
struct JobEntry
{
    JobId job;
    std::optional<JobSpec> spec;
};

/// A record of the intake topic, decoded.
using IntakeEntry = std::variant<JobEntry, MemberRecord>;

struct UnitEntry
{
    UnitId unit;
    /// Empty when the unit's record was removed.
    std::optional<UnitRecord> state;
};

struct OutcomeEntry
{
    JobId job;
    JobPhase phase = JobPhase::Completed;
};

/// The outcome of a job was removed: nobody may ask for it any more.
struct ForgottenEntry
{
    JobId job;
};

/// A record of the state topic, decoded.
using StateEntry = std::variant<UnitEntry, OutcomeEntry, HolderRecord, ForgottenEntry>;

/// Decodes a record of the intake topic. A damaged one gives Error::MalformedInput. \pre none. Thread-safe.
[[nodiscard]] auto decodeIntake(const KeyedRecord &record, IntakeEntry &entry) -> std::error_code;
/// Decodes a record of the state topic. A damaged one gives Error::MalformedInput. \pre none. Thread-safe.
[[nodiscard]] auto decodeState(const KeyedRecord &record, StateEntry &entry) -> std::error_code;

} // namespace Acaciarail::Workflow
