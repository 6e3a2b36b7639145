#pragma once

#include <acaciarail/workflow/command_window.h>
#include <acaciarail/workflow/dispatcher.h>
#include <acaciarail/workflow/engine.h>
#include <acaciarail/workflow/job_directory.h>
#include <acaciarail/workflow/topic_scan.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Acaciarail::Workflow {

/// One term of a holder: loads the state of the previous one, runs the dispatcher, appends its records and sends its commands. Not
/// thread-safe.
class Holder : public std::enable_shared_from_this<Holder>
{
public:
    struct Hooks
    {
        /// Called with records that were stored, so that the instance applies them to its directory.
        std::function<void(const std::vector<KeyedRecord> &)> stored;
        /// Called when a higher term was seen.
        std::function<void(std::string_view source)> fenced;
    };

    /// \pre the references stay valid.
    Holder(const EngineSettings &settings, const EngineHooks &hooks, LogLease &lease, Hooks holderHooks);

    /// Loads the state that the previous holder stored, and starts. \pre the claim of the term is stored, and \a sequence is the number
    /// after that of the claim.
    auto start(std::uint64_t sequence, std::shared_ptr<const Configuration> configuration) -> void;
    auto setConfiguration(std::shared_ptr<const Configuration> configuration) -> void;
    /// See Dispatcher::setEvacuatedZones(). \pre start() was called.
    auto setEvacuatedZones(std::set<ZoneName> zones) -> void;
    /// See Dispatcher::evacuationsConfirmed(). \pre start() was called.
    auto evacuationsConfirmed(TimePoint at) -> void;
    auto apply(const JobEntry &entry) -> void;
    auto workerListed(const WorkerInfo &worker) -> void;
    auto workerUnlisted(const WorkerName &worker) -> void;
    /// Sends no further commands.
    auto pause() -> void;
    /// Appends the record that releases the lease.
    auto release(std::function<void()> done) -> void;
    [[nodiscard]] auto stats() const -> DispatcherStats;

private:
    using Done = std::function<void()>;

    template<typename F>
    auto guarded(F call);
    auto load() -> void;
    auto applyLoadedState(const std::vector<KeyedRecord> &records) -> void;
    auto applyLoadedSubmissions(const std::vector<KeyedRecord> &records) -> void;
    auto finishLoading() -> void;
    auto scheduleStep(Duration delay) -> void;
    auto step() -> void;
    /// Appends records, or renews the lease when there are none.
    auto append(std::vector<KeyedRecord> records, Done done) -> void;
    auto sendAppend(std::vector<KeyedRecord> records, Done done) -> void;
    /// Adds the load summary to an append when it is due and has changed.
    auto addLoadSummary(std::vector<KeyedRecord> &records) -> void;
    auto appendAnswered(const AppendResult &result, const std::vector<KeyedRecord> &records, TimePoint sentAt, const Done &done) -> void;
    auto sendCommands(Decisions &decisions) -> void;
    /// Sends queued starts as far as the window allows, the most urgent first, and drops those that have waited too long.
    auto sendStarts() -> void;
    auto sendStart(StartCommand command) -> void;
    /// Returns what the reports of a worker are passed to that are not the result of a command.
    [[nodiscard]] auto reportHook(const WorkerName &worker) -> ReportHook;
    /// Returns whether a start that was decided earlier may still be sent.
    [[nodiscard]] auto mayStart(const StartCommand &command) const -> bool;
    /// Drops the queued starts that may no longer be sent.
    auto dropForbiddenStarts() -> void;
    /// Bytes of starts that may be added to the queue.
    [[nodiscard]] auto startBudget() const -> std::int64_t;
    auto removeExpiredJobs() -> void;

    const EngineSettings &m_settings;
    const EngineHooks &m_hooks;
    LogLease &m_lease;
    Hooks m_holderHooks;
    std::uint64_t m_term = 0;
    TimePoint m_claimedAt;
    std::unique_ptr<Dispatcher> m_dispatcher;
    bool m_loaded = false;
    bool m_paused = false;
    bool m_appending = false;
    /// A job whose records are removed after the retention time.
    struct ExpiringJob
    {
        /// When this holder learnt that the job had ended or was cancelled.
        TimePoint since;
        JobId job;
        /// It was cancelled, and its submission had not been read then.
        bool cancelledInAdvance = false;
    };
    struct QueuedStart
    {
        StartCommand command;
        TimePoint queuedAt;
    };

    CommandWindow m_startWindow{{}};
    /// By priority, in the order of the decisions.
    std::map<std::uint32_t, std::deque<QueuedStart>> m_queuedStarts;
    std::size_t m_queuedBytes = 0;
    /// Time that recent decisions took.
    Duration m_decisionTime{};
    /// When the next decision is due.
    std::optional<TimePoint> m_nextStepAt;
    std::uint64_t m_sequence = 0;
    /// When the record of the lease was last appended.
    TimePoint m_leaseRecordedAt;
    /// When the takeover ended, and the newest summary that was appended since.
    TimePoint m_loadedAt;
    LoadSummary m_loadSummary;
    TimePoint m_nextLoadSummary;
    /// The oldest first.
    std::deque<ExpiringJob> m_expiringJobs;
    TimePoint m_nextRemoval;
    bool m_removing = false;
    /// Jobs that have been removed from the submissions topic and whose outcomes are removed next.
    std::vector<JobId> m_outcomesToRemove;
    /// The scans of both topics while they are in progress.
    std::unique_ptr<TopicScan> m_stateScan;
    std::unique_ptr<TopicScan> m_submissionsScan;
    std::vector<std::pair<UnitId, UnitRecord>> m_loadedUnits;
    std::set<JobId> m_loadedOutcomes;
    std::vector<JobEntry> m_loadedSubmissions;
    Done m_releaseDone;
};

} // namespace Acaciarail::Workflow
