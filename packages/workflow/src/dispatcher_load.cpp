#include "dispatcher_state.h"

#include <algorithm>
#include <cmath>

namespace Acaciarail::Workflow {

namespace {

constexpr double milli = 1000.0;
constexpr double mibPerGib = 1024.0;

auto seconds(Duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

auto addUnit(std::vector<WaitingWork> &waiting, const Unit &unit) -> void
{
    const auto sizeClass = unitSizeClass(unit.cores());
    auto it = std::find_if(waiting.begin(), waiting.end(), [&](const WaitingWork &w) { return w.sizeClass == sizeClass; });
    if (it == waiting.end()) {
        it = waiting.insert(it, WaitingWork{.sizeClass = sizeClass});
    }
    const auto demand = unit.demand();
    const auto taskSeconds = unit.taskCount() * seconds(unit.step->estimate);
    ++it->units;
    it->coreSeconds += taskSeconds * static_cast<double>(demand.milliCores) / milli;
    it->gibSeconds += taskSeconds * static_cast<double>(demand.memoryMiB) / mibPerGib;
    it->acceleratorSeconds += taskSeconds * static_cast<double>(demand.accelerators);
}

} // namespace

auto StartedWork::add(double work, TimePoint now) -> void
{
    advance(now);
    m_slots.at(static_cast<std::size_t>(m_newest) % slotCount) += work;
}

auto StartedWork::advance(TimePoint now) -> void
{
    const auto slot = now.time_since_epoch() / slotLength;
    m_newest = std::max(m_newest, slot - static_cast<std::int64_t>(slotCount));
    while (m_newest < slot) {
        m_slots.at(static_cast<std::size_t>(++m_newest) % slotCount) = 0;
    }
}

auto StartedWork::highestRate(TimePoint now, TimePoint since) const -> double
{
    auto current = *this;
    current.advance(now);
    const auto newest = now.time_since_epoch() / slotLength;
    double highest = -1;
    double sum = 0;
    std::int64_t count = 0;
    for (auto slot = newest - 1; slot > newest - static_cast<std::int64_t>(slotCount) && TimePoint(slot * slotLength) >= since; --slot) {
        sum += current.m_slots.at(static_cast<std::size_t>(slot) % slotCount);
        ++count;
        if (count >= minSlots) {
            highest = std::max(highest, sum / (static_cast<double>(count) * seconds(slotLength)));
        }
    }
    return highest;
}

auto RunTimeObservations::add(double ratio, double weight) -> void
{
    // Weights older runs less, so that the figures follow changes of the fleet within some hundred runs.
    constexpr double retention = 0.995;
    m_weights = m_weights * retention + weight;
    m_squaredWeights = m_squaredWeights * retention * retention + weight * weight;
    m_ratios = m_ratios * retention + weight * ratio;
    m_squaredRatios = m_squaredRatios * retention + weight * ratio * ratio;
}

auto RunTimeObservations::describe(ServiceLoad &out) const -> void
{
    if (m_weights <= 0) {
        return;
    }
    out.runTimeRatio = m_ratios / m_weights;
    out.runTimeDeviation = std::sqrt(std::max(0.0, m_squaredRatios / m_weights - out.runTimeRatio * out.runTimeRatio));
    out.observedRuns = m_weights * m_weights / m_squaredWeights;
}

auto Dispatcher::State::observeStart(const Unit &unit, TimePoint now) -> void
{
    startedWork[{unit.job->policy.service, unit.job->policy.priority}].add(unit.cores() * seconds(unit.step->estimate), now);
}

auto Dispatcher::State::observeEnd(const Unit &unit, TimePoint now) -> void
{
    // The time of a run that started from a checkpoint, or was taken over from an earlier holder, is not that of the whole work.
    const bool completeRun = unit.stage == UnitStage::Active && unit.record.checkpoint.empty() && unit.runStartedAt > latestPreviousGrant;
    const auto estimate = seconds(unit.step->estimate);
    if (completeRun && estimate > 0) {
        runTimes[unit.job->policy.service].add(seconds(now - unit.runStartedAt) / estimate, unit.cores() * estimate);
    }
}

auto Dispatcher::loadSummary(TimePoint now, TimePoint since) const -> LoadSummary
{
    const auto &s = *m_state;
    LoadSummary out;
    out.timeInOffice = now - since;
    std::map<ServiceName, ServiceLoad> services;
    std::map<ServiceName, Demand> largestWorkers;
    std::map<std::pair<ServiceName, std::uint32_t>, PriorityLoad> priorities;
    if (s.waitingUnits.empty()) {
        return out;
    }
    for (const auto &[name, worker] : s.workers) {
        if (!worker->listed || worker->info.draining) {
            continue;
        }
        const auto &capacity = worker->info.capacity;
        auto &service = services[worker->info.service];
        service.cores += static_cast<double>(capacity.milliCores) / milli;
        service.gib += static_cast<double>(capacity.memoryMiB) / mibPerGib;
        service.accelerators += static_cast<double>(capacity.accelerators);
        auto &largest = largestWorkers[worker->info.service];
        largest.milliCores = std::max(largest.milliCores, capacity.milliCores);
        largest.memoryMiB = std::max(largest.memoryMiB, capacity.memoryMiB);
        largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
    }
    for (const auto *unit : s.waitingUnits) {
        const auto &job = *unit->job;
        const auto &policy = job.policy;
        // Work that waits for something else than capacity does not delay other work.
        const bool waitsForCapacity = unit->step->requiredLabel.empty() && unit->step->dataRack.empty() && unit->step->maxPerWorker == 0
            && !unit->step->longRunning && largestWorkers[policy.service].covers(unit->demand());
        if (policy.targetLatency > Duration::zero() && job.spec.occurrences == 0 && !job.cancelled && !job.failed && waitsForCapacity
            && !cannotFinishInTime(*unit, now)) {
            addUnit(priorities[{policy.service, policy.priority}].waiting, *unit);
        }
    }
    for (auto &[key, load] : priorities) {
        std::tie(load.service, load.priority) = key;
        const auto started = s.startedWork.find(key);
        load.startedPerSecond = (started == s.startedWork.end() ? StartedWork() : started->second).highestRate(now, since);
        out.priorities.push_back(std::move(load));
    }
    if (out.priorities.empty()) {
        return out;
    }
    for (auto &[name, load] : services) {
        load.service = name;
        if (const auto runs = s.runTimes.find(name); runs != s.runTimes.end()) {
            runs->second.describe(load);
        }
        out.services.push_back(load);
    }
    std::map<OrganisationName, std::int64_t> uses;
    for (const auto &[id, job] : s.jobs) {
        const auto &organisation = job->spec.organisation;
        const bool counts = !job->ended && !job->cancelled && job->policy.priority == 0;
        if (counts && s.configuration && s.configuration->guaranteed(organisation) > 0) {
            for (const auto &step : job->spec.steps) {
                uses[organisation] += step.taskDemand.accelerators * step.count;
            }
        }
    }
    for (const auto &[organisation, accelerators] : uses) {
        out.guarantees.push_back({organisation, accelerators});
    }
    return out;
}

} // namespace Acaciarail::Workflow
