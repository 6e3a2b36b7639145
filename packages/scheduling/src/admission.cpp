#include <acaciarail/scheduling/admission.h>

#include <algorithm>
#include <cmath>
#include <compare>
#include <map>
#include <numeric>
#include <string>

namespace Acaciarail::Scheduling {

namespace {

/// Number of requests that a previously idle caller may have served ahead of busy callers. Without this credit, the second of two
/// requests of a small caller that arrive close together waits for a whole round over all busy callers.
constexpr double idleCreditRequests = 8.0;
/// Maximum lag of a waiting caller or organisation behind the virtual time, in requests. A flow that a class limit has delayed would
/// otherwise crowd out all others once the limit no longer applies.
constexpr double maxLagRequests = 32.0;
/// Maximum cost charged for one request: its slot time relative to the mean.
constexpr double maxRequestCost = 8.0;
/// Minimum number of pushed requests between two removals of idle callers.
constexpr std::size_t minPushesBetweenSweeps = 1024;

constexpr auto indexOf(Priority priority) -> std::size_t
{
    return static_cast<std::size_t>(priority);
}

/// Position of a caller or organisation (flow) in the order of service. The index breaks ties independently of memory addresses.
template<typename T>
struct FlowEntry
{
    double tag;
    std::uint64_t index;
    T *flow;

    friend auto operator<(const FlowEntry &a, const FlowEntry &b) noexcept -> bool
    {
        return a.tag < b.tag || (a.tag == b.tag && a.index < b.index);
    }
};

template<typename T>
using FlowQueues = std::array<std::set<FlowEntry<T>>, priorityCount>;

struct Organisation;

struct Caller
{
    CallerName name;
    Organisation *organisation = nullptr;
    std::uint64_t index = 0;
    /// Virtual time at which the next request of the caller is to be served, in requests.
    double tag = 0.0;
    /// Whether the tag has been set by a first request.
    bool hasTag = false;
    /// Waiting requests of each class in order of arrival.
    std::array<std::map<std::uint64_t, RequestId>, priorityCount> queues;
    std::size_t queueLength = 0;
};

struct Organisation
{
    OrganisationName name;
    std::uint64_t index = 0;
    double share = 1.0;
    /// Virtual time at which the next request of the organisation is to be served, in requests divided by the share.
    double tag = 0.0;
    /// Highest tag of the callers served so far; advances by one more request when no caller of the organisation waits.
    double virtualTime = 0.0;
    std::unordered_map<CallerName, std::unique_ptr<Caller>> callers;
    FlowQueues<Caller> flowQueues;
    std::size_t activeCallers = 0;
};

struct QueuePosition
{
    Caller *caller;
    Priority priority;
    std::uint64_t sequence;
};

struct Choice
{
    Organisation *organisation;
    Caller *caller;
    std::size_t classIndex;
};

/// Returns the eligible class whose first flow has the lowest tag; the more urgent class when equal.
template<typename T>
auto classWithLowestTag(const FlowQueues<T> &flowQueues, const ClassSet &eligible) -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (eligible[i] && !flowQueues[i].empty() && (!best || flowQueues[i].begin()->tag < flowQueues[*best].begin()->tag)) {
            best = i;
        }
    }
    return best;
}

} // namespace

auto eligibleClasses(const ClassLimits &limits, const ClassSet &waiting, const ClassCounts &inFlight) noexcept -> ClassSet
{
    const auto total = 1.0 + std::accumulate(inFlight.begin(), inFlight.end(), 0U);
    const auto classes = std::count(waiting.begin(), waiting.end(), true);
    ClassSet result{};
    std::optional<std::size_t> leastUrgent;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (waiting[i]) {
            result[i] = classes == 1 || inFlight[i] < std::max(1.0, std::ceil(limits[i] * total));
            leastUrgent = i;
        }
    }
    if (leastUrgent && std::none_of(result.begin(), result.end(), [](bool it) { return it; })) {
        result[*leastUrgent] = true;
    }
    return result;
}

auto minClassShare(const ClassLimits &limits, const ClassSet &waiting, std::size_t index) noexcept -> double
{
    double remaining = 1.0;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (i != index && waiting[i]) {
            remaining -= limits[i];
        }
    }
    return std::max(0.0, remaining);
}

struct Admission::State
{
    AdmissionSettings settings;
    ClassLimits limits = defaultClassLimits;
    std::unordered_map<OrganisationName, std::unique_ptr<Organisation>> organisations;
    std::unordered_map<RequestId, QueuePosition> positions;
    FlowQueues<Organisation> flowQueues;
    std::set<std::pair<std::size_t, std::uint64_t>> callersByLength;
    std::unordered_map<std::uint64_t, Caller *> callersByIndex;
    ClassCounts queued{};
    double virtualTime = 0.0;
    double activeShares = 0.0;
    std::uint64_t nextIndex = 0;
    std::uint64_t nextSequence = 0;
    std::size_t pushesSinceSweep = 0;

    auto findOrCreateOrganisation(const OrganisationName &name) -> Organisation &;
    auto findOrCreateCaller(Organisation &organisation, const CallerName &name) -> Caller &;
    auto findCaller(const OrganisationName &organisation, const CallerName &caller) const -> Caller *;
    auto setCallerTag(Caller &caller, double tag) -> void;
    auto setOrganisationTag(Organisation &organisation, double tag) -> void;
    auto startTag(const Organisation &organisation, std::size_t classIndex) const -> double;
    auto insert(Caller &caller, const QueuedRequest &request) -> void;
    auto erase(const QueuePosition &position, RequestId id) -> void;
    auto waiting() const -> ClassSet;
    auto choose(const ClassCounts &inFlight) const -> std::optional<Choice>;
    auto advanceVirtualTimeIfIdle(Organisation &organisation) -> void;
    auto evictFor(const Caller &caller) -> std::optional<RequestId>;
    auto activeCallers() const -> std::size_t;
    auto removeIdleCallers() -> void;
};

auto Admission::State::findOrCreateOrganisation(const OrganisationName &name) -> Organisation &
{
    auto &entry = organisations[name];
    if (!entry) {
        entry = std::make_unique<Organisation>();
        entry->name = name;
        entry->index = nextIndex++;
        entry->tag = virtualTime;
    }
    return *entry;
}

auto Admission::State::findOrCreateCaller(Organisation &organisation, const CallerName &name) -> Caller &
{
    auto &entry = organisation.callers[name];
    if (!entry) {
        entry = std::make_unique<Caller>();
        entry->name = name;
        entry->organisation = &organisation;
        entry->index = nextIndex++;
        callersByIndex.emplace(entry->index, entry.get());
    }
    return *entry;
}

auto Admission::State::findCaller(const OrganisationName &organisation, const CallerName &caller) const -> Caller *
{
    const auto org = organisations.find(organisation);
    if (org == organisations.end()) {
        return nullptr;
    }
    const auto it = org->second->callers.find(caller);
    return it == org->second->callers.end() ? nullptr : it->second.get();
}

auto Admission::State::setCallerTag(Caller &caller, double tag) -> void
{
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (!caller.queues[i].empty()) {
            auto &classQueue = caller.organisation->flowQueues[i];
            classQueue.erase({caller.tag, caller.index, &caller});
            classQueue.insert({tag, caller.index, &caller});
        }
    }
    caller.tag = tag;
}

auto Admission::State::setOrganisationTag(Organisation &organisation, double tag) -> void
{
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (!organisation.flowQueues[i].empty()) {
            flowQueues[i].erase({organisation.tag, organisation.index, &organisation});
            flowQueues[i].insert({tag, organisation.index, &organisation});
        }
    }
    organisation.tag = tag;
}

auto Admission::State::startTag(const Organisation &organisation, std::size_t classIndex) const -> double
{
    // The virtual time follows the class that is served most. A class delayed by its limit lags behind it, and a caller that started
    // at the virtual time would wait until all other callers of its class have caught up.
    auto lowestTag = organisation.virtualTime;
    for (const auto &it : organisation.flowQueues) {
        lowestTag = it.empty() ? lowestTag : std::min(lowestTag, it.begin()->tag);
    }
    const auto &own = organisation.flowQueues[classIndex];
    return std::max(lowestTag, own.empty() ? organisation.virtualTime - maxLagRequests : own.begin()->tag - idleCreditRequests);
}

auto Admission::State::insert(Caller &caller, const QueuedRequest &request) -> void
{
    auto &organisation = *caller.organisation;
    const auto i = indexOf(request.priority);
    if (organisation.activeCallers == 0) {
        organisation.tag = std::max(organisation.tag, virtualTime - idleCreditRequests / organisation.share);
        activeShares += organisation.share;
    }
    if (caller.queueLength == 0) {
        const auto start = startTag(organisation, i);
        caller.tag = caller.hasTag ? std::max(caller.tag, start - idleCreditRequests) : start;
        caller.hasTag = true;
        ++organisation.activeCallers;
    }
    if (organisation.flowQueues[i].empty()) {
        flowQueues[i].insert({organisation.tag, organisation.index, &organisation});
    }
    if (caller.queues[i].empty()) {
        organisation.flowQueues[i].insert({caller.tag, caller.index, &caller});
    }
    const auto sequence = nextSequence++;
    caller.queues[i].emplace(sequence, request.id);
    positions.emplace(request.id, QueuePosition{&caller, request.priority, sequence});
    callersByLength.erase({caller.queueLength, caller.index});
    callersByLength.insert({++caller.queueLength, caller.index});
    ++queued[i];
}

auto Admission::State::erase(const QueuePosition &position, RequestId id) -> void
{
    auto &caller = *position.caller;
    auto &organisation = *caller.organisation;
    const auto i = indexOf(position.priority);
    caller.queues[i].erase(position.sequence);
    callersByLength.erase({caller.queueLength, caller.index});
    if (--caller.queueLength > 0) {
        callersByLength.insert({caller.queueLength, caller.index});
    } else {
        --organisation.activeCallers;
    }
    if (caller.queues[i].empty()) {
        organisation.flowQueues[i].erase({caller.tag, caller.index, &caller});
    }
    if (organisation.flowQueues[i].empty()) {
        flowQueues[i].erase({organisation.tag, organisation.index, &organisation});
    }
    if (organisation.activeCallers == 0) {
        activeShares -= organisation.share;
    }
    --queued[i];
    positions.erase(id);
}

auto Admission::State::waiting() const -> ClassSet
{
    ClassSet result{};
    for (std::size_t i = 0; i < priorityCount; ++i) {
        result[i] = queued[i] > 0;
    }
    return result;
}

auto Admission::State::choose(const ClassCounts &inFlight) const -> std::optional<Choice>
{
    const auto eligible = eligibleClasses(limits, waiting(), inFlight);
    const auto organisationClass = classWithLowestTag(flowQueues, eligible);
    if (!organisationClass) {
        return std::nullopt;
    }
    auto *organisation = flowQueues[*organisationClass].begin()->flow;
    const auto callerClass = classWithLowestTag(organisation->flowQueues, eligible);
    auto *caller = organisation->flowQueues[*callerClass].begin()->flow;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (eligible[i] && !caller->queues[i].empty()) {
            return Choice{organisation, caller, i};
        }
    }
    return std::nullopt;
}

auto Admission::State::advanceVirtualTimeIfIdle(Organisation &organisation) -> void
{
    // While no other request waits, serving a request advances the virtual time by one whole request. Otherwise it would not advance
    // outside overload, and callers that were active before a flood would have no credit over those that join it.
    if (organisation.activeCallers == 0) {
        organisation.virtualTime += 1.0;
    }
    if (positions.empty()) {
        virtualTime += 1.0 / organisation.share;
    }
}

auto Admission::State::evictFor(const Caller &caller) -> std::optional<RequestId>
{
    const auto &longest = *callersByIndex.at(callersByLength.rbegin()->second);
    if (longest.queueLength <= caller.queueLength + 1) {
        return std::nullopt;
    }
    for (std::size_t i = priorityCount; i-- > 0;) {
        if (!longest.queues[i].empty()) {
            const auto id = longest.queues[i].rbegin()->second;
            erase(positions.at(id), id);
            return id;
        }
    }
    return std::nullopt;
}

auto Admission::State::activeCallers() const -> std::size_t
{
    return callersByLength.size();
}

auto Admission::State::removeIdleCallers() -> void
{
    // The cost of a removal is proportional to the number of known callers, so the interval grows with that number.
    if (++pushesSinceSweep < std::max(minPushesBetweenSweeps, callersByIndex.size() / 2)) {
        return;
    }
    pushesSinceSweep = 0;
    if (callersByIndex.size() <= settings.maxIdleCallers) {
        return;
    }
    for (const auto &[name, organisation] : organisations) {
        // These callers have no outstanding charge; they only lose the credit that they have over new callers.
        std::erase_if(organisation->callers, [this, &organisation = *organisation](const auto &it) {
            const auto &caller = *it.second;
            const auto isRemovable = caller.queueLength == 0 && caller.tag <= organisation.virtualTime - idleCreditRequests;
            if (isRemovable) {
                callersByIndex.erase(caller.index);
            }
            return isRemovable;
        });
    }
}

Admission::Admission(AdmissionSettings settings)
    : m_state(std::make_unique<State>())
{
    m_state->settings = settings;
}

Admission::Admission(Admission &&) noexcept = default;
auto Admission::operator=(Admission &&) noexcept -> Admission & = default;
Admission::~Admission() = default;

auto Admission::setPolicy(const std::vector<OrganisationPolicy> &organisations, const ClassLimits &limits) -> void
{
    m_state->limits = limits;
    for (const auto &[name, it] : m_state->organisations) {
        it->share = 1.0;
    }
    for (const auto &it : organisations) {
        m_state->findOrCreateOrganisation(it.name).share = std::max(1U, it.share);
    }
    m_state->activeShares = 0.0;
    for (const auto &[name, it] : m_state->organisations) {
        m_state->activeShares += it->activeCallers > 0 ? it->share : 0.0;
    }
}

auto Admission::push(const QueuedRequest &request) -> PushResult
{
    m_state->removeIdleCallers();
    auto &caller = m_state->findOrCreateCaller(m_state->findOrCreateOrganisation(request.organisation), request.caller);
    if (caller.queueLength >= m_state->settings.maxQueuedPerCaller) {
        return {};
    }
    PushResult result{true, std::nullopt};
    if (m_state->positions.size() >= m_state->settings.maxQueued) {
        result.evicted = m_state->evictFor(caller);
        if (!result.evicted) {
            return {};
        }
    }
    m_state->insert(caller, request);
    return result;
}

auto Admission::peek(const ClassCounts &inFlight) const -> std::optional<RequestId>
{
    const auto choice = m_state->choose(inFlight);
    if (!choice) {
        return std::nullopt;
    }
    return choice->caller->queues[choice->classIndex].begin()->second;
}

auto Admission::pop(const ClassCounts &inFlight) -> std::optional<RequestId>
{
    const auto choice = m_state->choose(inFlight);
    if (!choice) {
        return std::nullopt;
    }
    auto &organisation = *choice->organisation;
    auto &caller = *choice->caller;
    const auto id = caller.queues[choice->classIndex].begin()->second;
    m_state->virtualTime = std::max(m_state->virtualTime, organisation.tag);
    organisation.virtualTime = std::max(organisation.virtualTime, caller.tag);
    m_state->erase(m_state->positions.at(id), id);
    m_state->advanceVirtualTimeIfIdle(organisation);
    m_state->setCallerTag(caller, std::max(caller.tag, organisation.virtualTime - maxLagRequests) + 1.0);
    const auto minOrganisationTag = m_state->virtualTime - maxLagRequests / organisation.share;
    m_state->setOrganisationTag(organisation, std::max(organisation.tag, minOrganisationTag) + 1.0 / organisation.share);
    return id;
}

auto Admission::remove(RequestId id) -> bool
{
    const auto it = m_state->positions.find(id);
    if (it == m_state->positions.end()) {
        return false;
    }
    m_state->erase(QueuePosition(it->second), id);
    return true;
}

auto Admission::adjustCharge(const OrganisationName &organisation, const CallerName &caller, double cost) -> void
{
    auto *it = m_state->findCaller(organisation, caller);
    if (it == nullptr) {
        return;
    }
    const auto correction = std::min(cost, maxRequestCost) - 1.0;
    m_state->setCallerTag(*it, it->tag + correction);
    m_state->setOrganisationTag(*it->organisation, it->organisation->tag + correction / it->organisation->share);
}

auto Admission::expectedRequestsAhead(const OrganisationName &organisation, const CallerName &caller, Priority priority) const -> double
{
    const auto *it = m_state->findCaller(organisation, caller);
    if (it == nullptr || it->queueLength == 0) {
        return 0.0;
    }
    const auto &org = *it->organisation;
    const auto i = indexOf(priority);
    const auto total = static_cast<double>(m_state->positions.size());
    const auto roundsAhead = std::max(0.0, it->tag + static_cast<double>(it->queueLength) - org.virtualTime);
    const auto aheadInOrganisation = roundsAhead * static_cast<double>(org.activeCallers);
    const auto aheadByFairness = std::min(total, aheadInOrganisation * m_state->activeShares / org.share);
    const auto waiting = m_state->waiting();
    const auto classShare = std::max(m_state->limits[i], minClassShare(m_state->limits, waiting, i));
    const auto isOnlyClass = m_state->queued[i] == m_state->positions.size();
    if (isOnlyClass || classShare <= 0.0) {
        return aheadByFairness;
    }
    // The class is served at its fraction of the rate, round-robin over the callers that wait in it.
    const auto aheadInClass = static_cast<double>(it->queues[i].size()) * static_cast<double>(org.flowQueues[i].size());
    const auto aheadByClass = std::min<double>(m_state->queued[i], aheadInClass) / classShare;
    return std::min(total, std::max(aheadByFairness, aheadByClass));
}

auto Admission::size() const noexcept -> std::size_t
{
    return m_state->positions.size();
}

auto Admission::queued(Priority priority) const noexcept -> std::size_t
{
    return m_state->queued[indexOf(priority)];
}

auto Admission::knownCallers() const noexcept -> std::size_t
{
    return m_state->callersByIndex.size();
}

} // namespace Acaciarail::Scheduling
