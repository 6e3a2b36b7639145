#include "sim_world.h"

#include <algorithm>
#include <utility>

namespace Acaciarail::Workflow::Tests {

namespace {

constexpr Duration confirmInterval = 500ms;
constexpr Duration callTimeout = 1s;
constexpr Duration startTimeout = 300ms;
/// Most ends that a worker lists in one report, the earliest first; the platform's limit.
constexpr std::size_t maxListedEnds = 500;

} // namespace

auto SimClock::schedule(Duration delay, std::function<void()> task) -> void
{
    m_entries.push({m_now + std::max(delay, Duration::zero()), m_count++, std::move(task)});
}

auto SimClock::run(Duration length) -> void
{
    const auto end = m_now + length;
    while (!m_entries.empty() && m_entries.top().at <= end) {
        const auto entry = m_entries.top();
        m_entries.pop();
        m_now = std::max(m_now, entry.at);
        entry.task();
    }
    m_now = end;
}

auto FakeStore::roundTrip(const std::shared_ptr<bool> &reachable, std::function<void()> call, std::function<void()> failed,
                          Duration timeout) -> void
{
    if (down || !*reachable) {
        m_clock.schedule(timeout, std::move(failed));
        return;
    }
    m_clock.schedule(latency + serviceTime, [this, reachable, call = std::move(call), failed = std::move(failed), timeout] {
        if (down || !*reachable) {
            m_clock.schedule(timeout, failed);
            return;
        }
        call();
    });
}

auto FakeStore::append(const AppendRequest &request) -> AppendResult
{
    auto &topic = topics[request.topic];
    if (request.term && *request.term < topic.epoch) {
        return {AppendStatus::Fenced, 0};
    }
    if (request.expectedEnd && *request.expectedEnd != topic.records.size()) {
        return {AppendStatus::Conflict, 0};
    }
    if (request.term) {
        if (*request.term == topic.epoch && request.sequence + 1 == topic.nextSequence) {
            return {AppendStatus::Stored, 0};
        }
        if (*request.term == topic.epoch && request.sequence != topic.nextSequence) {
            return {AppendStatus::OutOfSequence, topic.nextSequence};
        }
        topic.epoch = *request.term;
        topic.nextSequence = request.sequence + 1;
    }
    topic.records.insert(topic.records.end(), request.records.begin(), request.records.end());
    return {AppendStatus::Stored, 0};
}

auto FakeStore::waitForRecords(const ReadRequest &request, TimePoint until, const std::shared_ptr<bool> &reachable,
                               std::function<void(ReadResult)> done) -> void
{
    const auto &records = topics[request.topic].records;
    const auto from = request.from;
    if (from < retainedFrom && from < records.size()) {
        m_clock.schedule(latency, [done = std::move(done)] { done({ReadStatus::NotRetained, 0, 0, {}}); });
        return;
    }
    if (from >= records.size() && m_clock.now() < until) {
        m_clock.schedule(pollInterval,
                         [this, request, until, reachable, done = std::move(done)] { waitForRecords(request, until, reachable, done); });
        return;
    }
    ReadResult result{ReadStatus::Ok, from, records.size(), {}};
    std::size_t bytes = 0;
    for (auto i = from; i < records.size(); ++i) {
        const auto size = records[i].key.size() + records[i].value.size();
        if (bytes + size > request.maxBytes) {
            break;
        }
        bytes += size;
        result.records.push_back(records[i]);
    }
    const auto transfer = transferTime(bytes);
    const bool inTime = transfer < callTimeout;
    m_clock.schedule(latency + std::min(transfer, callTimeout), [result = std::move(result), inTime, reachable, done = std::move(done)] {
        done(*reachable && inTime ? result : ReadResult{});
    });
}

auto FakeStore::transferTime(std::size_t bytes) -> Duration
{
    if (bytesPerSecond <= 0) {
        return Duration::zero();
    }
    const auto transfer = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
    if (!sharesLink) {
        return transfer;
    }
    m_linkFreeAt = std::max(m_linkFreeAt, m_clock.now()) + transfer;
    return m_linkFreeAt - m_clock.now();
}

auto FakeStore::hooks(const std::shared_ptr<bool> &reachable) -> StoreHooks
{
    StoreHooks out;
    out.append = [this, reachable](const AppendRequest &request, const std::function<void(AppendResult)> &done) {
        ++calls["append " + request.topic];
        const auto failed = [done] { done({AppendStatus::Unknown, 0}); };
        const auto call = [this, request, reachable, done, failed] {
            if (const auto delay = lateAppend ? lateAppend(request) : std::nullopt) {
                m_clock.schedule(*delay, [this, request] { append(request); });
                m_clock.schedule(request.timeout, failed);
                return;
            }
            const auto result = append(request);
            const bool responseLost = std::uniform_real_distribution<double>(0, 1)(m_random) < responseLossRate;
            m_clock.schedule(responseLost ? request.timeout : latency, [result, responseLost, reachable, done] {
                done(responseLost || !*reachable ? AppendResult{AppendStatus::Unknown, 0} : result);
            });
        };
        roundTrip(reachable, call, failed, request.timeout);
    };
    out.read = [this, reachable](const ReadRequest &request, const std::function<void(ReadResult)> &done) {
        ++calls["read " + request.topic];
        const auto failed = [done] { done({}); };
        const bool silent = silentTopics.contains(request.topic);
        roundTrip(
            silent ? std::make_shared<bool>(false) : reachable,
            [this, request, reachable, done] { waitForRecords(request, m_clock.now() + request.wait, reachable, done); }, failed,
            request.wait + callTimeout);
    };
    out.readNewest = [this, reachable](const NewestRequest &request, const std::function<void(NewestResult)> &done) {
        ++calls["newest " + request.topic];
        const auto call = [this, request, reachable, done] {
            const auto &records = topics[request.topic].records;
            std::map<std::string, std::string> newest;
            for (const auto &it : records) {
                newest[it.key] = it.value;
            }
            NewestResult result{true, records.size(), {}, false};
            std::size_t bytes = 0;
            for (auto it = newest.upper_bound(request.after); it != newest.end(); ++it) {
                if (it->second.empty()) {
                    continue;
                }
                if (result.records.size() == pageRecords) {
                    result.hasMore = true;
                    break;
                }
                bytes += it->first.size() + it->second.size();
                result.records.push_back({it->first, it->second});
            }
            const auto transfer = transferTime(bytes);
            const bool inTime = transfer < request.timeout;
            m_clock.schedule(latency + std::min(transfer, request.timeout),
                             [result, inTime, reachable, done] { done(*reachable && inTime ? result : NewestResult{}); });
        };
        const bool silent = silentTopics.contains(request.topic);
        roundTrip(
            silent ? std::make_shared<bool>(false) : reachable, call, [done] { done({}); }, callTimeout);
    };
    return out;
}

auto FakeWorkers::add(const std::string &name, Demand capacity, const std::string &rack) -> void
{
    auto &machine = machines[name];
    machine.info.name = WorkerName(name);
    machine.info.service = ServiceName("service");
    machine.info.rack = RackName(rack);
    machine.info.capacity = capacity;
    machine.info.incarnation = 1;
    machine.info.machine = MachineName("machine-of-" + name);
}

auto FakeWorkers::end(const std::string &name) -> void
{
    auto &machine = machines.at(name);
    updateRuns(machine);
    for (auto &run : machine.runs) {
        run.ended = true;
    }
    ended.insert(name);
    unreachable.insert(name);
}

auto FakeWorkers::taskTimeOf(const Run &run) const -> Duration
{
    const auto it = taskTimes.find(run.command.payload);
    const auto time = it == taskTimes.end() ? taskTime : it->second;
    if (taskTimeSpread <= 0) {
        return time;
    }
    // The same task takes the same time whenever it is asked for.
    const auto &task = run.command.task;
    const auto name = task.job.str() + "/" + std::to_string(task.step) + "." + std::to_string(task.index);
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(std::hash<std::string>()(name)));
    random.discard(2);
    const auto factor = 1 + std::uniform_real_distribution<double>(-taskTimeSpread, taskTimeSpread)(random);
    return std::chrono::duration_cast<Duration>(time * factor);
}

auto FakeWorkers::updateRuns(Machine &machine) -> void
{
    for (auto &run : machine.runs) {
        if (run.ended) {
            continue;
        }
        const bool done = m_clock.now() >= run.startedAt + taskTimeOf(run);
        const bool expired = m_clock.now() >= run.leaseEnd;
        if (done || expired) {
            run.ended = true;
            machine.endedTasks.push_back(
                {++machine.endCount, run.command.task, run.command.run, done ? EndKind::Done : EndKind::LeaseExpired, {}});
        }
    }
}

auto FakeWorkers::start(const StartCommand &command, std::uint64_t term) -> StartOutcome
{
    auto &machine = machines.at(command.worker.str());
    for (auto &[name, it] : machines) {
        updateRuns(it);
    }
    if (term < machine.term) {
        return StartOutcome::Fenced;
    }
    machine.term = term;
    const auto isSameRun = [&](const Run &run) { return run.command.task == command.task && run.command.run == command.run; };
    if (std::any_of(machine.runs.begin(), machine.runs.end(), isSameRun)) {
        return StartOutcome::Started;
    }
    ++startCount;
    for (const auto &[name, other] : machines) {
        for (const auto &run : other.runs) {
            if (!run.ended && run.command.task == command.task) {
                violations.push_back("two runs of " + command.task.job.str());
            }
        }
    }
    machine.runs.push_back({command, m_clock.now(), m_clock.now() + command.lease, false});
    // The lease belongs to the worker and not to each run, as on the platform.
    for (auto &run : machine.runs) {
        run.leaseEnd = std::max(run.leaseEnd, m_clock.now() + command.lease);
    }
    return StartOutcome::Started;
}

auto FakeWorkers::stop(const StopCommand &command, std::uint64_t term) -> WorkerHooks::StopResponse
{
    auto &machine = machines.at(command.worker.str());
    updateRuns(machine);
    if (term < machine.term) {
        return {true, true};
    }
    machine.term = term;
    for (auto &run : machine.runs) {
        if (!run.ended && run.command.task == command.task && run.command.run == command.run) {
            run.ended = true;
            machine.endedTasks.push_back({++machine.endCount, run.command.task, run.command.run, EndKind::Stopped, {}});
        }
    }
    return {false, true};
}

auto FakeWorkers::poll(const PollCommand &command, std::uint64_t term, TimePoint until, std::function<void(WorkerHooks::PollResponse)> done)
    -> void
{
    auto &machine = machines.at(command.worker.str());
    updateRuns(machine);
    if (term < machine.term) {
        m_clock.schedule(latency, [done = std::move(done)] { done({true, false, std::nullopt}); });
        return;
    }
    machine.term = term;
    std::erase_if(machine.endedTasks, [&](const EndedTask &e) { return e.number <= command.recordedEnds; });
    for (auto &run : machine.runs) {
        run.leaseEnd = std::max(run.leaseEnd, m_clock.now() + command.lease);
    }
    if (machine.endedTasks.empty() && m_clock.now() < until) {
        auto repeated = command;
        repeated.lease = {};
        m_clock.schedule(FakeStore::pollInterval,
                         [this, repeated, term, until, done = std::move(done)] { poll(repeated, term, until, done); });
        return;
    }
    m_clock.schedule(latency, [report = report(machine), done = std::move(done)] { done({false, false, report}); });
}

auto FakeWorkers::report(Machine &machine) -> WorkerReport
{
    WorkerReport out;
    out.incarnation = 1;
    out.isComplete = machine.endedTasks.size() < maxListedEnds;
    out.ended.assign(machine.endedTasks.begin(),
                     machine.endedTasks.begin() + static_cast<std::ptrdiff_t>(std::min(machine.endedTasks.size(), maxListedEnds)));
    for (const auto &run : machine.runs) {
        if (!run.ended) {
            constexpr int fullPercent = 100;
            out.running.push_back({run.command.task,
                                   run.command.run,
                                   {},
                                   static_cast<std::uint32_t>((m_clock.now() - run.startedAt) * fullPercent / taskTimeOf(run))});
        }
    }
    if (leaving.contains(machine.info.name.str()) && out.running.empty() && out.isComplete) {
        unreachable.insert(machine.info.name.str());
    }
    return out;
}

auto FakeWorkers::verify(const PollCommand &command, const std::shared_ptr<bool> &reachable, std::function<void()> next) -> void
{
    auto &machine = machines.at(command.worker.str());
    updateRuns(machine);
    m_clock.schedule(latency,
                     [this, command, reachable, sentAt = m_clock.now() - latency, listed = report(machine), next = std::move(next)] {
                         if (*reachable && command.reported) {
                             command.reported(listed, sentAt);
                         }
                         m_clock.schedule(latency, next);
                     });
}

auto FakeWorkers::hooks(const std::shared_ptr<bool> &reachable, std::function<void(bool)> watchWorkers) -> WorkerHooks
{
    WorkerHooks out;
    out.start = [this, reachable](const StartCommand &command, std::uint64_t term, const std::function<void(StartOutcome)> &done) {
        ++calls["start"];
        Duration transfer{};
        if (startBytesPerSecond > 0) {
            m_linkFreeAt = std::max(m_linkFreeAt, m_clock.now())
                + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                    static_cast<double>(startCommandBytes(command.payload.size())) / startBytesPerSecond));
            transfer = m_linkFreeAt - m_clock.now();
        }
        const bool late = transfer > startTimeout;
        if (late) {
            ++unansweredStarts;
            m_clock.schedule(startTimeout, [done] { done(StartOutcome::Unknown); });
        }
        m_clock.schedule(latency + transfer, [this, reachable, command, term, done, late] {
            if (late) {
                start(command, term);
                return;
            }
            if (!isReachable(reachable, command.worker)) {
                m_clock.schedule(callTimeout, [done] { done(StartOutcome::Unknown); });
                return;
            }
            const auto &zone = machines.at(command.worker.str()).info.zone;
            if (evacuations.contains(zone) && m_clock.now() > evacuations.at(zone)) {
                violations.push_back("a start of " + command.task.job.str() + " in an evacuated zone");
            }
            lastStarts[zone] = m_clock.now();
            const auto outcome = start(command, term);
            m_clock.schedule(latency, [outcome, reachable, done] { done(*reachable ? outcome : StartOutcome::Unknown); });
        });
    };
    out.stop = [this, reachable](const StopCommand &command, std::uint64_t term,
                                 const std::function<void(WorkerHooks::StopResponse)> &done) {
        ++calls["stop"];
        m_clock.schedule(latency, [this, reachable, command, term, done] {
            const auto response = isReachable(reachable, command.worker) ? stop(command, term) : WorkerHooks::StopResponse{};
            m_clock.schedule(*reachable ? latency : callTimeout, [response, done] { done(response); });
        });
    };
    out.poll = [this, reachable](const PollCommand &command, std::uint64_t term,
                                 const std::function<void(WorkerHooks::PollResponse)> &done) {
        ++calls[command.lease > Duration::zero() ? "renewal" : command.wait > Duration::zero() ? "poll" : "poll without wait"];
        const auto send = [this, reachable, command, term, done] {
            if (!isReachable(reachable, command.worker)) {
                m_clock.schedule(callTimeout, [done] { done({}); });
                return;
            }
            poll(command, term, m_clock.now() + command.wait, [reachable, done](const WorkerHooks::PollResponse &response) {
                done(*reachable ? response : WorkerHooks::PollResponse{});
            });
        };
        m_clock.schedule(latency, [this, reachable, command, send] {
            const bool acknowledges = command.recordedEnds > 0 && command.lease == Duration::zero();
            if (closesConnections && acknowledges && isReachable(reachable, command.worker)) {
                verify(command, reachable, send);
            } else {
                send();
            }
        });
    };
    out.watchWorkers = std::move(watchWorkers);
    out.listRunningWorkers = [this, reachable](const std::function<void(std::optional<RunningWorkers>)> &done) {
        ++calls["list"];
        m_clock.schedule(latency, [this, reachable, done] {
            if (!*reachable || !runningWorkersAreListed) {
                m_clock.schedule(callTimeout, [done] { done(std::nullopt); });
                return;
            }
            RunningWorkers running;
            for (const auto &[name, machine] : machines) {
                if (!ended.contains(name)) {
                    running.workers.emplace(name);
                    running.machines.insert(machine.info.machine);
                }
            }
            m_clock.schedule(latency, [running = std::move(running), done] { done(running); });
        });
    };
    return out;
}

SimWorld::SimWorld(std::size_t count, std::uint64_t seed)
    : store(clock, seed)
    , workers(clock)
    , instances(count)
    , m_seed(seed)
{
    configuration.version = 1;
    Queue queue;
    queue.name = QueueName("queue");
    queue.policy.service = ServiceName("service");
    queue.policy.maxAttempts = 3;
    configuration.queues.push_back(queue);
    confirmConfiguration();
}

auto SimWorld::makeClock(std::size_t i) -> ClockHooks
{
    return ClockHooks{[this] { return clock.now(); },
                      [this] { return std::chrono::duration_cast<std::chrono::milliseconds>(clock.now().time_since_epoch()); },
                      [this, alive = std::weak_ptr(instances[i].storeReachable)](Duration delay, std::function<void()> task) {
                          clock.schedule(delay, [alive, task = std::move(task)] {
                              if (!alive.expired()) {
                                  task();
                              }
                          });
                      }};
}

auto SimWorld::followOperatorTopic(std::size_t i) -> void
{
    auto &instance = instances[i];
    instance.evacuatedZones.clear();
    instance.operatorHooks = std::make_shared<std::pair<StoreHooks, ClockHooks>>(store.hooks(instance.storeReachable), makeClock(i));
    TopicFollowerHooks hooks;
    hooks.apply = [&instance](const KeyedRecord &record) {
        const ZoneName zone(record.key);
        if (record.value.empty()) {
            instance.evacuatedZones.erase(zone);
        } else {
            instance.evacuatedZones.insert(zone);
        }
        instance.engine->setEvacuatedZones(instance.evacuatedZones);
    };
    hooks.contact = [&instance](bool, std::optional<TimePoint> at) {
        if (at) {
            instance.engine->operatorStateConfirmed(*at);
        }
    };
    instance.operatorFollower =
        std::make_unique<TopicFollower>(TopicFollowerSettings{.topic = operatorTopic,
                                                              .readWait = EngineSettings().configurationReadWait,
                                                              .reportsRemovals = evacuationDelay > Duration::zero()},
                                        instance.operatorHooks->first, instance.operatorHooks->second, std::move(hooks));
    instance.operatorFollower->start();
}

auto SimWorld::evacuate(const std::string &zone, bool on) -> void
{
    store.topics[operatorTopic].records.push_back({zone, on ? "{}" : ""});
    if (on) {
        workers.evacuations[ZoneName(zone)] = clock.now() + evacuationDelay;
    } else {
        workers.evacuations.erase(ZoneName(zone));
    }
}

auto SimWorld::makeEngine(std::size_t i) -> std::unique_ptr<Engine>
{
    auto &instance = instances[i];
    EngineSettings settings;
    settings.instance = InstanceName("instance-" + std::to_string(i));
    settings.outcomeRetention = outcomeRetention;
    settings.dispatcher.evacuationDelay = evacuationDelay;
    settings.incarnation = m_seed * 1000 + ++m_incarnations;
    settings.processorShare = instance.processorShare;
    settings.zone = instance.zone;
    const auto watchWorkers = [this, i](bool on) {
        instances[i].watching = on;
        clock.schedule({}, [this, i, on] {
            for (const auto &[name, machine] : workers.machines) {
                if (on && instances[i].engine) {
                    instances[i].engine->workerListed(machine.info);
                }
            }
        });
    };
    return std::make_unique<Engine>(
        settings,
        EngineHooks{store.hooks(instance.storeReachable), workers.hooks(instance.workersReachable, watchWorkers), makeClock(i), {}, {}});
}

auto SimWorld::restart(std::size_t i) -> void
{
    kill(i);
    auto &instance = instances[i];
    instance.storeReachable = std::make_shared<bool>(true);
    instance.workersReachable = std::make_shared<bool>(true);
    instance.engine = makeEngine(i);
    instance.engine->setConfiguration(configuration);
    instance.engine->configurationConfirmed(clock.now());
    instance.engine->start();
    if (evacuationDelay > Duration::zero() || followsOperatorTopic) {
        followOperatorTopic(i);
    }
}

auto SimWorld::kill(std::size_t i) -> void
{
    auto &instance = instances[i];
    // Calls in progress are neither carried out nor answered.
    *instance.storeReachable = false;
    *instance.workersReachable = false;
    instance.operatorFollower.reset();
    instance.engine.reset();
    instance.operatorFollower.reset();
}

auto SimWorld::confirmConfiguration() -> void
{
    for (auto &it : instances) {
        if (it.engine && *it.storeReachable && !store.down) {
            it.engine->configurationConfirmed(clock.now());
        }
    }
    clock.schedule(confirmInterval, [this] { confirmConfiguration(); });
}

auto SimWorld::run(Duration length) -> void
{
    clock.run(length);
}

auto SimWorld::submit(std::size_t i, const JobSpec &spec) -> void
{
    instances[i].engine->submit(spec, [this, id = spec.id.str()](const SubmitResult &result) { outcomes[id] = result.outcome; });
}

auto SimWorld::phase(std::size_t i, const std::string &job) -> std::optional<JobPhase>
{
    const auto result = std::make_shared<std::optional<JobPhase>>();
    instances[i].engine->lookup(JobId(job), [result](const LookupResult &found) { *result = found.phase; });
    run(3s);
    return *result;
}

auto SimWorld::holders() const -> std::vector<std::size_t>
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances[i].engine && instances[i].engine->isHolder()) {
            out.push_back(i);
        }
    }
    return out;
}

} // namespace Acaciarail::Workflow::Tests
