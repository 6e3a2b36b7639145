#pragma once

#include <acaciarail/workflow/job.h>
#include <acaciarail/workflow/load_summary.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace Acaciarail::Workflow {

/// A record of a keyed topic, of which the store keeps the newest record of each key. An empty value removes the key.
struct KeyedRecord
{
    std::string key;
    std::string value;

    friend auto operator==(const KeyedRecord &, const KeyedRecord &) noexcept -> bool = default;
};

/// Topic to which every instance appends accepted jobs and cancellations.
inline constexpr std::string_view submissionsTopic = "keyed.intake";
/// Topic to which only the holder appends, fenced by its term. Its records also decide which instance is the holder.
inline constexpr std::string_view stateTopic = "keyed.state";

enum class UnitPhase : std::uint8_t {
    /// Not assigned to workers.
    Pending,
    /// May run on the named workers.
    Assigned,
    Done,
    Failed,
};

/// Durable state of a unit. A run is one start of the unit, with all its members.
struct UnitRecord
{
    UnitPhase phase = UnitPhase::Pending;
    /// Number of the newest run; never decreases.
    std::uint32_t run = 0;
    /// Number of runs that failed.
    std::uint32_t failures = 0;
    /// Progress that the next run starts from; empty for none.
    std::string checkpoint;
    /// The worker of each member of the newest run, by index.
    std::vector<WorkerName> workers;
    /// The newest run whose failure is counted; a later holder may read the report of that failure again.
    std::uint32_t failedRun = 0;
    /// A run of it is known to have begun on a worker; an assignment alone does not show that. Records of builds without this field are
    /// decoded with true.
    bool hasBegun = false;
};

/// Claim, renewal or release of the holder's lease.
struct HolderRecord
{
    std::uint64_t term = 0;
    InstanceName instance;
    /// Identifies one run of the instance's process between start and exit.
    std::uint64_t incarnation = 0;
    /// The holder has released its lease.
    bool released = false;
};

/// Announcement that every instance appends when it starts, and a main candidate repeats.
struct InstanceAnnouncement
{
    InstanceName instance;
    /// Fraction of a core that is available to it.
    double processorShare = 0;
    /// Empty when the instance does not know it, or is of a build that did not announce it.
    ZoneName zone;
};

/// Keys of the state topic after this one include the holder's, and none of a job whose id is a hexadecimal number.
inline constexpr std::string_view beforeHolderRecord = "holdeq~";
/// Keys of the submissions topic after this one include all announcements, and none of a job whose id is a hexadecimal number.
inline constexpr std::string_view beforeAnnouncements = "membeq~";

/// Returns a key that is below those of \a job in the state topic, and above those of all jobs with a lower id. \pre \a job is not empty.
/// Thread-safe.
[[nodiscard]] auto keyBefore(const JobId &job) -> std::string;
/// Returns whether a record of the state topic with this key belongs to \a job. \pre none. Thread-safe.
[[nodiscard]] auto isStateKeyOf(std::string_view key, const JobId &job) -> bool;

/// Returns the record that submits \a spec. \pre none. Thread-safe.
[[nodiscard]] auto submissionRecord(const JobSpec &spec) -> KeyedRecord;
/// Returns the record that cancels a job. \pre none. Thread-safe.
[[nodiscard]] auto cancellationRecord(const JobId &job) -> KeyedRecord;
/// Returns the record of a unit. \pre none. Thread-safe.
[[nodiscard]] auto unitRecord(const UnitId &unit, bool gang, const UnitRecord &state) -> KeyedRecord;
/// Returns the record of the outcome of a job. \pre \a phase is final. Thread-safe.
[[nodiscard]] auto outcomeRecord(const JobId &job, JobPhase phase) -> KeyedRecord;
/// Returns the records that remove a job from the submissions topic. \pre the job's outcome is stored. Thread-safe.
[[nodiscard]] auto submissionRemovalRecords(const JobId &job) -> std::vector<KeyedRecord>;
/// Returns the record that removes the outcome of a job. \pre the job is removed from the submissions topic; otherwise it would run again.
/// Thread-safe.
[[nodiscard]] auto outcomeRemovalRecord(const JobId &job) -> KeyedRecord;
/// Returns the record by which an instance announces itself. \pre none. Thread-safe.
[[nodiscard]] auto announcementRecord(const InstanceAnnouncement &announcement) -> KeyedRecord;
/// Returns the record of a claim, renewal or release of the lease. \pre none. Thread-safe.
[[nodiscard]] auto holderRecord(const HolderRecord &holder) -> KeyedRecord;
/// Returns the record of the load summary. Builds that do not know it read the record of a unit that has not run, of an unknown job, and
/// ignore it. \pre none. Thread-safe.
[[nodiscard]] auto loadRecord(const LoadSummary &summary) -> KeyedRecord;

/// A job that was accepted or, when \c spec is empty, cancelled.
struct JobEntry
{
    JobId job;
    std::optional<JobSpec> spec;
};

/// A decoded record of the submissions topic.
using SubmissionEntry = std::variant<JobEntry, InstanceAnnouncement>;

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

/// The outcome of a job was removed; callers can no longer look the job up.
struct OutcomeRemovedEntry
{
    JobId job;
};

/// A decoded record of the state topic.
using StateEntry = std::variant<UnitEntry, OutcomeEntry, HolderRecord, OutcomeRemovedEntry, LoadSummary>;

/// Decodes a record of the submissions topic. Returns Error::MalformedInput for a damaged one. \pre none. Thread-safe.
[[nodiscard]] auto decodeSubmission(const KeyedRecord &record, SubmissionEntry &entry) -> std::error_code;
/// Decodes a record of the state topic. Returns Error::MalformedInput for a damaged one. \pre none. Thread-safe.
[[nodiscard]] auto decodeState(const KeyedRecord &record, StateEntry &entry) -> std::error_code;

} // namespace Acaciarail::Workflow
