#include <acaciarail/workflow/records.h>

#include <acaciarail/core/wire.h>

#include <array>
#include <charconv>

ACACIARAIL_WIRE_ENUM(Acaciarail::Workflow::JobPhase, Acaciarail::Workflow::JobPhase::Cancelled);
ACACIARAIL_WIRE_ENUM(Acaciarail::Workflow::UnitPhase, Acaciarail::Workflow::UnitPhase::Failed);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::Demand, v.milliCores, v.memoryMiB, v.accelerators);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::StepSpec, v.count, v.taskDemand, v.estimate, v.dependsOn, v.checkpoints, v.gang, v.sameRack,
                       v.speculative, v.longRunning, v.usesSpareCores, v.requiredLabel, v.dataRack, v.maxPerWorker, v.maxUnavailable);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::QueuePolicy, v.service, v.priority, v.maxAttempts, v.stretch, v.targetLatency);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::UnitRecord, v.phase, v.run, v.failures, v.checkpoint, v.workers, v.failedRun, v.hasBegun);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::InstanceAnnouncement, v.instance, v.processorShare, v.zone);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::HolderRecord, v.term, v.instance, v.incarnation, v.released);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::WaitingWork, v.sizeClass, v.units, v.coreSeconds, v.gibSeconds, v.acceleratorSeconds);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::PriorityLoad, v.service, v.priority, v.waiting, v.startedPerSecond);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::ServiceLoad, v.service, v.cores, v.gib, v.accelerators, v.runTimeRatio, v.runTimeDeviation,
                       v.observedRuns);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::GuaranteeUse, v.organisation, v.accelerators);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::LoadSummary, v.term, v.timeInOffice, v.services, v.priorities, v.guarantees);

namespace Acaciarail::Workflow {

namespace {

constexpr std::string_view cancelSuffix = "/cancel";
constexpr std::string_view holderKey = "holder";
/// The form of a unit's key. The previous build logs a warning for a key `load/...` of another form, and reads `load` as a job's outcome.
constexpr std::string_view loadKey = "load/0.0";
constexpr std::string_view announcementPrefix = "member/";

/// JobSpec with its times as integers, which msgpack can encode.
struct EncodedJob
{
    JobSpec spec;
    std::int64_t firstRunMs = 0;
    std::int64_t intervalMs = 0;
    std::int64_t acceptedAtMs = 0;
};

struct EncodedOutcome
{
    JobPhase phase = JobPhase::Completed;
};

/// The fields of a unit that has not run, followed by the summary.
struct EncodedLoad
{
    UnitRecord unit;
    LoadSummary summary;
};

auto parseNumber(std::string_view text, std::uint32_t &value) -> bool
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc{} && end == text.data() + text.size() && !text.empty();
}

auto unitKey(const UnitId &unit, bool gang) -> std::string
{
    auto key = unit.job.str() + '/' + std::to_string(unit.occurrence) + '.' + std::to_string(unit.step);
    return gang ? key : key + '.' + std::to_string(unit.index);
}

/// Parses `JOB/OCCURRENCE.STEP` or `JOB/OCCURRENCE.STEP.INDEX`.
auto parseUnitKey(std::string_view key, UnitId &unit) -> bool
{
    const auto slash = key.find('/');
    unit.job = JobId(key.substr(0, slash));
    unit.index = 0;
    const std::array<std::uint32_t *, 3> fields{&unit.occurrence, &unit.step, &unit.index};
    auto rest = key.substr(slash + 1);
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const auto dot = rest.find('.');
        if (!parseNumber(rest.substr(0, dot), *fields.at(i))) {
            return false;
        }
        if (dot == std::string_view::npos) {
            return i > 0;
        }
        rest.remove_prefix(dot + 1);
    }
    return false;
}

} // namespace

} // namespace Acaciarail::Workflow

ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::EncodedJob, v.spec.queue, v.spec.organisation, v.spec.payload, v.spec.steps,
                       v.spec.occurrences, v.firstRunMs, v.intervalMs, v.acceptedAtMs, v.spec.policy);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::EncodedOutcome, v.phase);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::EncodedLoad, v.unit.phase, v.unit.run, v.unit.failures, v.unit.checkpoint, v.unit.workers,
                       v.unit.failedRun, v.summary);

namespace Acaciarail::Workflow {

auto jobPhaseName(JobPhase phase) noexcept -> const char *
{
    constexpr std::array<const char *, 5> names{"queued", "running", "completed", "failed", "cancelled"};
    return names.at(static_cast<std::size_t>(phase));
}

auto keyBefore(const JobId &job) -> std::string
{
    // '~' sorts after everything that follows an id in a key.
    auto key = job.str();
    --key.back();
    return key + '~';
}

auto isStateKeyOf(std::string_view key, const JobId &job) -> bool
{
    const std::string_view id = job.str();
    return key.starts_with(id) && (key.size() == id.size() || key[id.size()] == '/');
}

auto submissionRecord(const JobSpec &spec) -> KeyedRecord
{
    return {spec.id.str(), encode(EncodedJob{spec, spec.firstRun.count(), spec.interval.count(), spec.acceptedAt.count()})};
}

auto cancellationRecord(const JobId &job) -> KeyedRecord
{
    return {job.str() + std::string(cancelSuffix), encode(true)};
}

auto unitRecord(const UnitId &unit, bool gang, const UnitRecord &state) -> KeyedRecord
{
    return {unitKey(unit, gang), encode(state)};
}

auto outcomeRecord(const JobId &job, JobPhase phase) -> KeyedRecord
{
    return {job.str(), encode(EncodedOutcome{phase})};
}

auto submissionRemovalRecords(const JobId &job) -> std::vector<KeyedRecord>
{
    return {{job.str(), {}}, {job.str() + std::string(cancelSuffix), {}}};
}

auto outcomeRemovalRecord(const JobId &job) -> KeyedRecord
{
    return {job.str(), {}};
}

auto announcementRecord(const InstanceAnnouncement &announcement) -> KeyedRecord
{
    return {std::string(announcementPrefix) + announcement.instance.str(), encode(announcement)};
}

auto holderRecord(const HolderRecord &holder) -> KeyedRecord
{
    return {std::string(holderKey), encode(holder)};
}

auto loadRecord(const LoadSummary &summary) -> KeyedRecord
{
    return {std::string(loadKey), encode(EncodedLoad{{}, summary})};
}

auto decodeSubmission(const KeyedRecord &record, SubmissionEntry &entry) -> std::error_code
{
    if (record.key.starts_with(announcementPrefix)) {
        InstanceAnnouncement announcement;
        const auto ec = decode(record.value, announcement);
        entry = std::move(announcement);
        return ec;
    }
    if (record.key.ends_with(cancelSuffix)) {
        entry = JobEntry{JobId(record.key.substr(0, record.key.size() - cancelSuffix.size())), std::nullopt};
        return {};
    }
    EncodedJob encoded;
    if (const auto ec = decode(record.value, encoded)) {
        return ec;
    }
    encoded.spec.id = JobId(record.key);
    encoded.spec.firstRun = std::chrono::milliseconds(encoded.firstRunMs);
    encoded.spec.interval = std::chrono::milliseconds(encoded.intervalMs);
    encoded.spec.acceptedAt = std::chrono::milliseconds(encoded.acceptedAtMs);
    entry = JobEntry{encoded.spec.id, std::move(encoded.spec)};
    return {};
}

auto decodeState(const KeyedRecord &record, StateEntry &entry) -> std::error_code
{
    if (record.key == holderKey) {
        HolderRecord holder;
        const auto ec = decode(record.value, holder);
        entry = std::move(holder);
        return ec;
    }
    if (record.key == loadKey) {
        EncodedLoad load;
        const auto ec = record.value.empty() ? std::error_code() : decode(record.value, load);
        entry = std::move(load.summary);
        return ec;
    }
    if (record.key.find('/') == std::string::npos) {
        if (record.value.empty()) {
            entry = OutcomeRemovedEntry{JobId(record.key)};
            return {};
        }
        EncodedOutcome outcome;
        const auto ec = decode(record.value, outcome);
        entry = OutcomeEntry{JobId(record.key), outcome.phase};
        return ec;
    }
    UnitEntry unit;
    if (!parseUnitKey(record.key, unit.unit)) {
        return Error::MalformedInput;
    }
    if (!record.value.empty()) {
        // Builds without this field took every assigned unit for one that has begun.
        unit.state.emplace().hasBegun = true;
        if (const auto ec = decode(record.value, *unit.state)) {
            return ec;
        }
    }
    entry = std::move(unit);
    return {};
}

} // namespace Acaciarail::Workflow
