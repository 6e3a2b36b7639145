#include "fake_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Acaciarail::Workflow::Tests {

namespace {

namespace data = boost::unit_test::data;

constexpr Demand workerCapacity{32'000, 65'536, 8};
constexpr Demand wholeWorker{4000, 4000, 8};
/// The platform removes an entry after three check-in intervals of silence.
constexpr Duration entryExpiry = 4500ms;
/// Bounds of the delay of a command without a response; stated by the platform.
constexpr std::int64_t minCommandDelayMs = 2000;
constexpr std::int64_t maxCommandDelayMs = 12'000;
/// Above the time that a holder keeps an idle worker without a poll.
constexpr Duration idlePoll = 4500ms;
/// Of a command to a worker.
constexpr Duration responseTimeout = 300ms;

/// Number of seeds; a longer search is started by hand.
auto seedCount() -> int
{
    const char *seeds = std::getenv("ELIGIBLE_START_SEEDS");
    return seeds != nullptr ? std::max(std::atoi(seeds), 1) : 2;
}

/// First seed, so that one of a longer search can be repeated alone.
auto firstSeed() -> int
{
    const char *seed = std::getenv("ELIGIBLE_START_SEED");
    return seed != nullptr ? std::max(std::atoi(seed), 1) : 1;
}

/// Part of the text of the violations whose traces are printed; of the others only the first one's is.
auto tracedViolation() -> std::optional<std::string>
{
    const char *part = std::getenv("ELIGIBLE_START_TRACE");
    return part != nullptr ? std::optional<std::string>(part) : std::nullopt;
}

using Awareness = FakeFleet::Awareness;

auto countFindings(const FakeFleet &fleet, Awareness awareness, bool ineligibleOnly) -> std::ptrdiff_t
{
    return std::count_if(fleet.startFindings.begin(), fleet.startFindings.end(), [&](const FakeFleet::StartFinding &it) {
        return it.awareness == awareness && !(ineligibleOnly && it.rule.empty());
    });
}

/// Returns the newest lines of the trace up to a violation that name its job or a worker that the job was started on.
auto traceOf(const FakeFleet &fleet, const std::string &violation) -> std::string
{
    constexpr std::size_t maxLines = 40;
    const auto end = std::find_if(fleet.trace.begin(), fleet.trace.end(), [&](const auto &it) { return it.ends_with(violation); });
    if (end == fleet.trace.end()) {
        return {};
    }
    const auto jobAt = violation.find(" of ") + 4;
    const auto job = ' ' + violation.substr(jobAt, violation.find(' ', jobAt) - jobAt) + ' ';
    const auto names = [](const std::string &line, const std::string &word) { return (line + ' ').find(word) != std::string::npos; };
    std::set<WorkerName> workers;
    for (const auto &it : fleet.starts) {
        if (' ' + it.task.job.str() + ' ' == job) {
            workers.insert(it.worker);
        }
    }
    const auto concerns = [&](const std::string &line) {
        const bool namesWorker =
            std::any_of(workers.begin(), workers.end(), [&](const WorkerName &it) { return names(line, " worker=" + it.str() + ' '); });
        const bool isOfRun = names(line, " start-") || names(line, " run-end ");
        return names(line, job) || (namesWorker && !isOfRun) || names(line, " holder ");
    };
    std::vector<std::string> lines;
    std::copy_if(fleet.trace.begin(), end + 1, std::back_inserter(lines), concerns);
    std::string out;
    for (std::size_t i = lines.size() - std::min(lines.size(), maxLines); i < lines.size(); ++i) {
        out += "\n    " + lines[i];
    }
    return out;
}

auto tracesOf(const FakeFleet &fleet, const std::vector<std::string> &violations) -> std::string
{
    std::string out;
    const auto traced = tracedViolation();
    for (const auto &it : violations) {
        if (traced ? it.find(*traced) != std::string::npos : out.empty()) {
            out += "\n  trace:" + traceOf(fleet, it);
        }
    }
    return out;
}

/// What a test looks at after a play.
struct PlayResult
{
    /// Violations of eligibility, and of everything else that the fleet checks.
    std::vector<std::string> ineligibleStarts;
    std::vector<std::string> otherViolations;
    std::string ineligibleTraces;
    std::string otherTraces;
    /// Starts on lives that the holder could not know, and those that a new life carried out late; in brackets the ineligible ones.
    std::string startsOnOtherLives;
    std::ptrdiff_t startsOnUnknownLives = 0;
    std::ptrdiff_t lateIneligibleStarts = 0;
    bool allJobsEnded = false;
};

auto resultOf(const FakeFleet &fleet, bool allJobsEnded) -> PlayResult
{
    PlayResult out;
    std::set<std::string> ineligible;
    for (const auto &it : fleet.startFindings) {
        if (it.awareness == Awareness::Known) {
            out.ineligibleStarts.push_back(it.violation);
            ineligible.insert(it.violation);
        }
    }
    std::copy_if(fleet.violations.begin(), fleet.violations.end(), std::back_inserter(out.otherViolations),
                 [&](const std::string &it) { return !ineligible.contains(it); });
    out.ineligibleTraces = tracesOf(fleet, out.ineligibleStarts);
    out.otherTraces = tracesOf(fleet, out.otherViolations);
    const auto counts = [&](Awareness awareness) {
        return std::to_string(countFindings(fleet, awareness, false)) + " (" + std::to_string(countFindings(fleet, awareness, true)) + ')';
    };
    out.startsOnOtherLives = "unknown " + counts(Awareness::Unknown) + ", late " + counts(Awareness::Late);
    out.startsOnUnknownLives = countFindings(fleet, Awareness::Unknown, false);
    out.lateIneligibleStarts = countFindings(fleet, Awareness::Late, true);
    out.allJobsEnded = allJobsEnded;
    return out;
}

auto expectNone(const std::vector<std::string> &violations, const std::string &traces) -> void
{
    for (const auto &it : violations) {
        BOOST_TEST_ERROR(it);
    }
    BOOST_TEST(violations.empty(), "violations: " << violations.size() << traces);
}

/// When the holder reads the entry of a worker's new life.
enum class EntryTiming {
    AtOnce,
    /// After a check-in interval.
    Later,
    /// At once, and then the entry of the earlier life again, and the newest one after a moment.
    EarlierAgain,
};

auto operator<<(std::ostream &out, EntryTiming timing) -> std::ostream &
{
    constexpr std::array<const char *, 3> names{"entry at once", "entry later", "earlier entry again"};
    return out << names.at(static_cast<std::size_t>(timing));
}

constexpr std::array entryTimings{EntryTiming::AtOnce, EntryTiming::Later, EntryTiming::EarlierAgain};

/// One worker of kind b, which becomes one of kind a, and one of kind a.
class ChangingWorker
{
public:
    explicit ChangingWorker(EntryTiming timing)
        : m_timing(timing)
        , m_fleet(1, 2, workerCapacity)
    {
        addQueue(*m_fleet.configuration, "urgent", 0);
        addQueue(*m_fleet.configuration, "background", 2);
        m_fleet.duration = [](const TaskId &) { return 3s; };
        m_fleet.responseTimeout = responseTimeout;
        m_fleet.workers.at(WorkerName(name)).info.labels.front() = "b";
        m_fleet.takeOver();
        m_fleet.run(1s);
    }

    auto fleet() -> FakeFleet &
    {
        return m_fleet;
    }

    /// Submits a job with one task that needs all of a worker of kind \a label, or of any worker when it is empty.
    auto submit(const std::string &id, const std::string &queue = "urgent", const std::string &label = "b") -> void
    {
        StepSpec step;
        step.taskDemand = wholeWorker;
        step.estimate = 3s;
        step.requiredLabel = label;
        m_fleet.submit(simpleJob(id, queue, step));
    }

    /// The next start gets no response, and is carried out after another one would have ended.
    auto delayFirstStart() -> void
    {
        m_fleet.startDelay = [isFirst = true](const StartCommand &) mutable {
            return std::exchange(isFirst, false) ? std::optional<Duration>(5s) : std::nullopt;
        };
    }

    auto becomeOtherKind() -> void
    {
        m_fleet.restartAs(name, "service", "a");
        if (m_timing != EntryTiming::Later) {
            m_fleet.list(name);
        }
        if (m_timing == EntryTiming::EarlierAgain) {
            m_fleet.listEarlierEntry(name);
        }
    }

    /// Advances to a time at which the newest entry has been read, and further.
    auto settle() -> void
    {
        m_fleet.run(1500ms);
        m_fleet.list(name);
        m_fleet.run(idlePoll);
    }

    /// Makes it a worker of kind b again, on which the job can end.
    auto returnToKind() -> void
    {
        m_fleet.restartAs(name, "service", "b");
        m_fleet.list(name);
    }

    static constexpr const char *name = "w0-0";

private:
    EntryTiming m_timing;
    FakeFleet m_fleet;
};

struct Scenario
{
    const char *name;
    /// Lets the worker change its kind while job `j`, which it may not run afterwards, is about to start there.
    void (*play)(ChangingWorker &);
};

auto operator<<(std::ostream &out, const Scenario &c) -> std::ostream &
{
    return out << c.name;
}

auto waitForEvent(FakeFleet &fleet, const std::string &name) -> void
{
    const auto seen = [&] {
        return std::any_of(fleet.events.begin(), fleet.events.end(), [&](const std::string &it) { return it.starts_with(name + ' '); });
    };
    BOOST_TEST(fleet.runUntil(seen, 5s));
}

const std::vector<Scenario> scenarios{
    {"while it is idle, a poll before the job",
     [](ChangingWorker &c) {
         c.becomeOtherKind();
         c.fleet().run(200ms);
         c.submit("j");
     }},
    {"while it is idle, no poll before the job",
     [](ChangingWorker &c) {
         c.fleet().run(idlePoll);
         c.becomeOtherKind();
         c.submit("j");
     }},
    {"while its assignment is being recorded",
     [](ChangingWorker &c) {
         c.fleet().storeUp = false;
         c.submit("j");
         c.fleet().run(100ms);
         c.becomeOtherKind();
         c.fleet().run(200ms);
         c.fleet().storeUp = true;
     }},
    {"while it is reserved for a preemption",
     [](ChangingWorker &c) {
         c.submit("victim", "background");
         c.fleet().run(500ms);
         c.fleet().stopDuration = 400ms;
         c.submit("j");
         waitForEvent(c.fleet(), "room-reserved");
         c.becomeOtherKind();
     }},
    {"while a start is queued",
     [](ChangingWorker &c) {
         c.fleet().startQueueDelay = 300ms;
         c.submit("j");
         c.fleet().run(100ms);
         c.becomeOtherKind();
     }},
    {"while a start is unanswered and repeated",
     [](ChangingWorker &c) {
         c.delayFirstStart();
         c.submit("j");
         c.fleet().run(100ms);
         c.becomeOtherKind();
     }},
    {"while the repeat of an unanswered start is queued",
     [](ChangingWorker &c) {
         c.delayFirstStart();
         c.fleet().startQueueDelay = 200ms;
         c.submit("j");
         // The start is sent after 240 ms, and is unanswered 300 ms later.
         c.fleet().run(640ms);
         c.becomeOtherKind();
     }},
    {"while the assignment of a task that any worker may run is being recorded",
     [](ChangingWorker &c) {
         c.fleet().stopDuration = 400ms;
         c.fleet().storeUp = false;
         c.submit("j", "urgent", "");
         c.fleet().run(100ms);
         c.becomeOtherKind();
         c.fleet().run(200ms);
         c.fleet().storeUp = true;
     }},
    {"after it has reported ends",
     [](ChangingWorker &c) {
         c.fleet().duration = [](const TaskId &) { return 1s; };
         c.submit("earlier");
         c.fleet().run(3s);
         c.becomeOtherKind();
         c.submit("j", "urgent", "");
     }},
    {"before a new holder reads the list",
     [](ChangingWorker &c) {
         c.becomeOtherKind();
         c.fleet().takeOver();
         c.submit("j");
     }},
};

struct SearchMix
{
    const char *name;
    /// Longest time until the entry of a new life is read.
    std::int64_t latestEntryMs = 0;
    bool earlierEntriesArrive = false;
    bool cutsAndDepartures = false;
    bool storeFails = false;
    bool holdersChange = false;
    bool queuesMove = false;
    bool commandsAreDelayed = false;
    bool zonesAreEvacuated = false;
    bool delayedStartsReachNewLives = false;
};

auto operator<<(std::ostream &out, const SearchMix &c) -> std::ostream &
{
    return out << c.name;
}

const std::vector<SearchMix> searchMixes{
    {.name = "entries at once"},
    {.name = "entries late", .latestEntryMs = 6000},
    {.name = "earlier entries again", .latestEntryMs = 1500, .earlierEntriesArrive = true},
    {.name = "cuts, departures and store outages", .latestEntryMs = 1500, .cutsAndDepartures = true, .storeFails = true},
    {.name = "the same with new holders and moved queues",
     .latestEntryMs = 1500,
     .cutsAndDepartures = true,
     .storeFails = true,
     .holdersChange = true,
     .queuesMove = true},
    {.name = "delayed commands", .latestEntryMs = 1500, .cutsAndDepartures = true, .storeFails = true, .commandsAreDelayed = true},
    {.name = "evacuations",
     .latestEntryMs = 1500,
     .earlierEntriesArrive = true,
     .cutsAndDepartures = true,
     .holdersChange = true,
     .zonesAreEvacuated = true},
};

/// A holder cannot prevent that a start which it sent to an earlier life is carried out by a new one.
const std::vector<SearchMix> lateStartMixes{
    {.name = "delayed starts that reach new lives",
     .latestEntryMs = 1500,
     .cutsAndDepartures = true,
     .commandsAreDelayed = true,
     .delayedStartsReachNewLives = true},
};

/// Submits jobs of all shapes to a fleet whose workers start again as other kinds at random.
class ChangingFleet
{
public:
    ChangingFleet(const SearchMix &mix, std::uint64_t seed)
        : m_mix(mix)
        , m_random(seed)
        , m_fleet(2, 4, workerCapacity)
    {
        for (std::uint32_t priority = 0; priority < queues.size(); ++priority) {
            addQueue(*m_fleet.configuration, queues.at(priority), priority, maxAttempts);
        }
        m_fleet.configuration->organisations.push_back({OrganisationName("guaranteed"), 16});
        if (mix.zonesAreEvacuated) {
            m_fleet.settings.evacuationDelay = 3s;
        }
        std::size_t i = 0;
        for (auto &[name, worker] : m_fleet.workers) {
            worker.info.zone = ZoneName(worker.info.rack.str());
            worker.info.labels.front() = kinds.at(i % kinds.size());
            m_states[name.str()].home = kinds.at(i++ % kinds.size());
        }
        m_fleet.allowsRunsAfterLapse = true;
        m_fleet.responseTimeout = responseTimeout;
        m_fleet.stopDuration = 200ms;
        m_fleet.delayedStartsReachNewLives = mix.delayedStartsReachNewLives;
        m_fleet.duration = [](const TaskId &t) { return 1500ms + t.index % 8 * Duration(700ms); };
        m_fleet.commandDelay = [this](bool) -> std::optional<Duration> {
            const bool delays = m_fleet.now() < m_delaysUntil && chance(0.3);
            return delays ? std::optional(randomDuration(minCommandDelayMs, maxCommandDelayMs)) : std::nullopt;
        };
        m_fleet.takeOver();
    }

    /// Disrupts the workers for \a length, and then lets the jobs end on workers of all kinds.
    auto play(Duration length) -> void
    {
        const auto end = m_fleet.now() + length;
        while (m_fleet.now() < end) {
            submitAndDisrupt();
            updateWorkers();
            m_fleet.run(100ms);
        }
        m_fleet.storeUp = true;
        m_fleet.startQueueDelay = Duration::zero();
        m_fleet.operatorTopicReadable = true;
        for (const auto *zone : zones) {
            m_fleet.evacuate(zone, false);
        }
        for (const auto *queue : queues) {
            m_fleet.moveQueue(queue, services.front());
        }
        const auto limit = m_fleet.now() + 120s;
        while (m_fleet.now() < limit && !allJobsEnded()) {
            updateWorkers();
            restoreKinds();
            m_fleet.run(100ms);
        }
    }

    [[nodiscard]] auto allJobsEnded() const -> bool
    {
        return std::all_of(m_jobs.begin(), m_jobs.end(), [this](const auto &id) { return m_fleet.outcome(id).has_value(); });
    }

    [[nodiscard]] auto fleet() const -> const FakeFleet &
    {
        return m_fleet;
    }

private:
    static constexpr std::uint32_t maxAttempts = 50;
    static constexpr std::array<const char *, 2> zones{"rack0", "rack1"};
    static constexpr std::array<const char *, 2> kinds{"a", "b"};
    static constexpr std::array<const char *, 2> services{"service", "other"};
    static constexpr std::array<const char *, 3> queues{"urgent", "normal", "background"};

    struct WorkerState
    {
        std::string home;
        std::optional<TimePoint> cutSince;
        TimePoint cutUntil;
        std::optional<TimePoint> leavesAt;
        std::optional<TimePoint> returnsAt;
        bool isListed = true;
        /// When the entry of its present life is read, and when the newest one is read again.
        std::optional<TimePoint> entryAt;
        std::optional<TimePoint> newestAgainAt;
    };

    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    auto randomDuration(std::int64_t lowMs, std::int64_t highMs) -> Duration
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(lowMs, highMs)(m_random));
    }

    template<typename T>
    auto pick(const T &from) -> decltype(auto)
    {
        return from.at(std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(m_random));
    }

    auto submitAndDisrupt() -> void
    {
        if (chance(0.15)) {
            submitJob();
        }
        if (chance(0.12)) {
            auto it = m_states.begin();
            std::advance(it, std::uniform_int_distribution<std::size_t>(0, m_states.size() - 1)(m_random));
            disrupt(it->first, it->second);
        }
        if (chance(0.05)) {
            m_fleet.startQueueDelay = chance(0.5) ? Duration::zero() : randomDuration(20, 400);
        }
        if (m_mix.storeFails && chance(m_fleet.storeUp ? 0.03 : 0.2)) {
            m_fleet.storeUp = !m_fleet.storeUp;
        }
        if (m_mix.queuesMove && chance(0.03)) {
            m_fleet.moveQueue(pick(queues), pick(services));
        }
        if (m_mix.commandsAreDelayed && chance(0.02)) {
            m_delaysUntil = m_fleet.now() + randomDuration(500, 4000);
        }
        if (m_mix.zonesAreEvacuated && chance(0.05)) {
            m_fleet.evacuate(pick(zones), chance(0.4));
            m_fleet.operatorTopicReadable = chance(0.7);
        }
        if (m_mix.holdersChange && chance(0.01)) {
            m_fleet.takeOver();
            // A new holder reads the list, which lacks the workers whose entries were removed.
            for (const auto &[name, state] : m_states) {
                if (!state.isListed) {
                    m_fleet.unlist(name);
                }
            }
        }
    }

    auto submitJob() -> void
    {
        StepSpec step;
        step.count = std::uniform_int_distribution<std::uint32_t>(1, 4)(m_random);
        step.gang = chance(0.4);
        step.sameRack = step.gang && chance(0.4);
        step.taskDemand = {4000, 4000, std::uniform_int_distribution<std::int64_t>(1, 8)(m_random)};
        step.estimate = 2s;
        step.maxPerWorker = chance(0.3) ? 1 : 0;
        step.requiredLabel = chance(0.6) ? pick(kinds) : "";
        m_jobs.push_back("j" + std::to_string(m_jobs.size()));
        auto job = simpleJob(m_jobs.back(), pick(queues), step);
        if (chance(0.3)) {
            job.organisation = OrganisationName("guaranteed");
        }
        m_fleet.submit(std::move(job));
        if (chance(0.05)) {
            m_fleet.cancel(m_jobs.back());
        }
    }

    auto restartAsAny(const std::string &name, WorkerState &state) -> void
    {
        m_fleet.restartAs(name, services.at(chance(0.85) ? 0 : 1), pick(kinds));
        state.newestAgainAt.reset();
        state.entryAt = m_fleet.now();
        if (m_mix.latestEntryMs > 0 && chance(0.7)) {
            *state.entryAt += randomDuration(0, m_mix.latestEntryMs);
        }
    }

    auto disrupt(const std::string &name, WorkerState &state) -> void
    {
        if (state.returnsAt) {
            return;
        }
        const auto kind = std::uniform_int_distribution<int>(0, 5)(m_random);
        if (m_mix.cutsAndDepartures && kind == 0 && !state.leavesAt && !state.cutSince && !state.entryAt) {
            const auto remaining = randomDuration(1000, 3000);
            m_fleet.announceShutdown(name, remaining);
            // Workers stay longer than they announce.
            state.leavesAt = m_fleet.now() + remaining + randomDuration(0, 9000);
        }
        if (m_mix.cutsAndDepartures && kind == 1 && !state.cutSince) {
            m_fleet.disconnect(name);
            state.cutSince = m_fleet.now();
            state.cutUntil = m_fleet.now() + randomDuration(300, 14'000);
        }
        if (m_mix.earlierEntriesArrive && kind == 2 && state.isListed && !state.cutSince) {
            m_fleet.listEarlierEntry(name);
            state.newestAgainAt = m_fleet.now() + randomDuration(0, 600);
        }
        if (kind >= 3) {
            restartAsAny(name, state);
            state.leavesAt.reset();
        }
    }

    auto updateWorkers() -> void
    {
        const auto now = m_fleet.now();
        for (auto &[name, state] : m_states) {
            if (state.cutSince && state.isListed && now >= *state.cutSince + entryExpiry) {
                m_fleet.unlist(name);
                state.isListed = false;
                state.newestAgainAt.reset();
            }
            if (state.leavesAt && now >= *state.leavesAt) {
                m_fleet.shutDown(name);
                state.leavesAt.reset();
                state.cutSince.reset();
                state.entryAt.reset();
                state.newestAgainAt.reset();
                state.isListed = false;
                state.returnsAt = now + randomDuration(500, 4000);
            }
            if (state.returnsAt && now >= *state.returnsAt) {
                state.returnsAt.reset();
                m_fleet.reconnect(name);
                restartAsAny(name, state);
            }
            if (state.cutSince && now >= state.cutUntil) {
                state.cutSince.reset();
                m_fleet.reconnect(name);
                state.entryAt = state.entryAt.value_or(now);
            }
            // A worker that is cut off cannot write its entry.
            if (state.entryAt && now >= *state.entryAt && !state.cutSince) {
                state.entryAt.reset();
                state.newestAgainAt.reset();
                state.isListed = true;
                m_fleet.list(name);
            }
            if (state.newestAgainAt && now >= *state.newestAgainAt) {
                state.newestAgainAt.reset();
                m_fleet.listNewestEntry(name);
            }
        }
    }

    /// Lets the workers that are back and listed start again as what they were in the beginning.
    auto restoreKinds() -> void
    {
        for (auto &[name, state] : m_states) {
            const auto &info = m_fleet.workers.at(WorkerName(name)).info;
            const bool isHome = info.labels.front() == state.home && info.service == ServiceName(services.front());
            if (!isHome && !state.cutSince && !state.returnsAt && !state.leavesAt && !state.entryAt) {
                m_fleet.restartAs(name, services.front(), state.home);
                m_fleet.list(name);
            }
        }
    }

    SearchMix m_mix;
    std::mt19937_64 m_random;
    FakeFleet m_fleet;
    std::map<std::string, WorkerState> m_states;
    std::vector<std::string> m_jobs;
    TimePoint m_delaysUntil;
};

auto play(const Scenario &scenario, EntryTiming timing) -> PlayResult
{
    ChangingWorker worker(timing);
    scenario.play(worker);
    worker.settle();
    worker.returnToKind();
    const bool ended = worker.fleet().runUntil([&] { return worker.fleet().outcome("j").has_value(); }, 60s);
    return resultOf(worker.fleet(), ended);
}

/// Returns the result of a search, which several tests look at.
auto search(const SearchMix &mix, int seed) -> const PlayResult &
{
    static std::map<std::pair<std::string, int>, PlayResult> results;
    const auto [it, isNew] = results.try_emplace({mix.name, seed});
    if (isNew) {
        ChangingFleet fleet(mix, static_cast<std::uint64_t>(seed));
        fleet.play(40s);
        it->second = resultOf(fleet.fleet(), fleet.allJobsEnded());
    }
    return it->second;
}

} // namespace

// The searches print the starts on lives that the holder could not know, and do not fail for them: a worker may restart while a start is on
// its way.
BOOST_AUTO_TEST_SUITE(eligibleStart)

// Guards against a check of starts that cannot fail: the holder is not told of a change without a restart.
BOOST_AUTO_TEST_CASE(theFleetReportsIneligibleStarts)
{
    const auto startOnChangedWorker = [](const std::function<void(WorkerInfo &)> &change) {
        ChangingWorker worker(EntryTiming::AtOnce);
        change(worker.fleet().workers.at(WorkerName(ChangingWorker::name)).info);
        worker.submit("j");
        worker.fleet().run(500ms);
        return worker.fleet().violations;
    };
    BOOST_TEST(startOnChangedWorker([](WorkerInfo &) {}).empty());
    BOOST_TEST(startOnChangedWorker([](WorkerInfo &info) { info.labels.front() = "a"; }).size() == 1U);
    BOOST_TEST(startOnChangedWorker([](WorkerInfo &info) { info.service = ServiceName("other"); }).size() == 1U);
}

// Guards against a start on a worker that has become one of another kind, wherever its start was decided before, when the holder has read
// an entry or a report of the new life; and against a job that does not end once there is a worker of its kind.
BOOST_DATA_TEST_CASE(noStartGoesToAWorkerOfAnotherKind, data::make(scenarios) * data::make(entryTimings), scenario, timing)
{
    const auto result = play(scenario, timing);
    expectNone(result.ineligibleStarts, result.ineligibleTraces);
    BOOST_TEST(result.allJobsEnded);
}

// Guards against a start on a life that the holder does not know of only because it has not asked: each of these restarts breaks a poll, or
// there is time for one between the assignment and the start.
BOOST_DATA_TEST_CASE(noStartReachesAnUnknownLife, data::make(scenarios) * data::make(entryTimings), scenario, timing)
{
    BOOST_TEST(play(scenario, timing).startsOnUnknownLives == 0);
}

// Guards against two runs of a task while its worker starts again.
BOOST_DATA_TEST_CASE(noTaskRunsTwiceWhenItsWorkerRestarts, data::make(scenarios) * data::make(entryTimings), scenario, timing)
{
    const auto result = play(scenario, timing);
    expectNone(result.otherViolations, result.otherTraces);
}

// Guards against starts on ineligible workers with all kinds of jobs, many workers and further disruptions; and against jobs that do not
// end although all kinds of workers are back.
BOOST_DATA_TEST_CASE(noStartGoesToAnIneligibleWorker, data::xrange(firstSeed(), firstSeed() + seedCount()) * data::make(searchMixes), seed,
                     mix)
{
    const auto &result = search(mix, seed);
    expectNone(result.ineligibleStarts, result.ineligibleTraces);
    BOOST_TEST(result.allJobsEnded);
    BOOST_TEST_MESSAGE("starts on other lives: " << result.startsOnOtherLives);
}

// Guards against two runs of a task in the same searches.
BOOST_DATA_TEST_CASE(noTaskRunsTwiceWhileWorkersRestart, data::xrange(firstSeed(), firstSeed() + seedCount()) * data::make(searchMixes),
                     seed, mix)
{
    const auto &result = search(mix, seed);
    expectNone(result.otherViolations, result.otherTraces);
}

// The same when a new life carries out what was sent to an earlier one. Fails with some seeds, see KNOWN-RED.txt; it runs only when it is
// named.
BOOST_TEST_DECORATOR(*boost::unit_test::disabled())
BOOST_DATA_TEST_CASE(noRuleIsBrokenWhenNewLivesCarryOutDelayedStarts,
                     data::xrange(firstSeed(), firstSeed() + seedCount()) * data::make(lateStartMixes), seed, mix)
{
    const auto &result = search(mix, seed);
    BOOST_TEST_MESSAGE("starts on other lives: " << result.startsOnOtherLives);
    expectNone(result.ineligibleStarts, result.ineligibleTraces);
    expectNone(result.otherViolations, result.otherTraces);
    BOOST_TEST(result.lateIneligibleStarts == 0);
    BOOST_TEST(result.allJobsEnded);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Acaciarail::Workflow::Tests
