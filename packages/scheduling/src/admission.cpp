#include <acaciarail/scheduling/admission.h>

#include <algorithm>
#include <cmath>
#include <compare>
#include <map>
#include <numeric>
#include <string>

namespace Acaciarail::Scheduling {

namespace {

/// Requests that a caller which was idle may have served ahead of busy ones. Without it, two requests of a small caller that arrive
/// close together wait for a whole round over all busy callers.
constexpr double idleCredit = 8.0;
/// Bound on how far a waiting caller or organisation may fall behind, so that one held back by a class limit does not
/// crowd out all others afterwards.
constexpr double maxLag = 32.0;
/// Slot time of one request, relative to the mean, beyond which it is not charged.
constexpr double maxCost = 8.0;
/// Least number of operations between two sweeps of idle callers.
constexpr std::size_t sweepInterval = 1024;

constexpr auto indexOf(Priority priority) -> std::size_t
{
    return static_cast<std::size_t>(priority);
}

/// Order of service of callers or organisations; the index makes it independent of addresses.
template<typename T>
struct Turn
{
    double tag;
    std::uint64_t index;
    T *flow;

    friend auto operator<(const Turn &a, const Turn &b) noexcept -> bool
    {
        return a.tag < b.tag || (a.tag == b.tag && a.index < b.index);
    }
};

template<typename T>
using Turns = std::array<std::set<Turn<T>>, priorityCount>;

struct Organisation;

struct Caller
{
    CallerName name;
    Organisation *organisation = nullptr;
    std::uint64_t index = 0;
    double tag = 0.0;
    /// Whether the tag has been set by a first request.
    bool isKnown = false;
    /// Waiting requests of each class in order of arrival.
    std::array<std::map<std::uint64_t, RequestId>, priorityCount> queues;
    std::size_t length = 0;
};

struct Organisation
{
    OrganisationName name;
    std::uint64_t index = 0;
    double share = 1.0;
    double tag = 0.0;
    /// Tag of the caller served last.
    double virtualTime = 0.0;
    std::unordered_map<CallerName, std::unique_ptr<Caller>> callers;
    Turns<Caller> turns;
    std::size_t activeCallers = 0;
};

struct Place
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

/// Returns the eligible class whose first turn has the least tag; the more urgent class when equal.
template<typename T>
auto leastTag(const Turns<T> &turns, const ClassSet &eligible) -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (eligible[i] && !turns[i].empty() && (!best || turns[i].begin()->tag < turns[*best].begin()->tag)) {
            best = i;
        }
    }
    return best;
}

} // namespace

auto eligibleClasses(const ClassLimits &limits, const ClassSet &waiting, const PerClass &inFlight) noexcept -> ClassSet
{
    const auto total = 1.0 + std::accumulate(inFlight.begin(), inFlight.end(), 0U);
    const auto classes = std::count(waiting.begin(), waiting.end(), true);
    ClassSet result{};
    std::optional<std::size_t> last;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (waiting[i]) {
            result[i] = classes == 1 || inFlight[i] < std::max(1.0, std::ceil(limits[i] * total));
            last = i;
        }
    }
    if (last && std::none_of(result.begin(), result.end(), [](bool it) { return it; })) {
        result[*last] = true;
    }
    return result;
}

auto leastPart(const ClassLimits &limits, const ClassSet &waiting, std::size_t index) noexcept -> double
{
    double left = 1.0;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (i != index && waiting[i]) {
            left -= limits[i];
        }
    }
    return std::max(0.0, left);
}

struct Admission::State
{
    AdmissionSettings settings;
    ClassLimits limits = defaultClassLimits;
    std::unordered_map<OrganisationName, std::unique_ptr<Organisation>> organisations;
    std::unordered_map<RequestId, Place> places;
    Turns<Organisation> turns;
    std::set<std::pair<std::size_t, std::uint64_t>> lengths;
    std::unordered_map<std::uint64_t, Caller *> callersByIndex;
    PerClass queued{};
    double virtualTime = 0.0;
    double activeShares = 0.0;
    std::uint64_t nextIndex = 0;
    std::uint64_t nextSequence = 0;
    std::size_t sinceSweep = 0;

    auto organisationOf(const OrganisationName &name) -> Organisation &;
    auto callerOf(Organisation &organisation, const CallerName &name) -> Caller &;
    auto findCaller(const OrganisationName &organisation, const CallerName &caller) const -> Caller *;
    auto setCallerTag(Caller &caller, double tag) -> void;
    auto setOrganisationTag(Organisation &organisation, double tag) -> void;
    auto startTag(const Organisation &organisation, std::size_t classIndex) const -> double;
    auto insert(Caller &caller, const QueuedRequest &request) -> void;
    auto erase(const Place &place, RequestId id) -> void;
    auto waiting() const -> ClassSet;
    auto choose(const PerClass &inFlight) const -> std::optional<Choice>;
    auto advanceIdle(Organisation &organisation) -> void;
    auto evictFor(const Caller &caller) -> std::optional<RequestId>;
    auto activeCallers() const -> std::size_t;
    auto sweep() -> void;
};

auto Admission::State::organisationOf(const OrganisationName &name) -> Organisation &
{
    auto &slot = organisations[name];
    if (!slot) {
        slot = std::make_unique<Organisation>();
        slot->name = name;
        slot->index = nextIndex++;
        slot->tag = virtualTime;
    }
    return *slot;
}

auto Admission::State::callerOf(Organisation &organisation, const CallerName &name) -> Caller &
{
    auto &slot = organisation.callers[name];
    if (!slot) {
        slot = std::make_unique<Caller>();
        slot->name = name;
        slot->organisation = &organisation;
        slot->index = nextIndex++;
        callersByIndex.emplace(slot->index, slot.get());
    }
    return *slot;
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
            auto &turnsOfClass = caller.organisation->turns[i];
            turnsOfClass.erase({caller.tag, caller.index, &caller});
            turnsOfClass.insert({tag, caller.index, &caller});
        }
    }
    caller.tag = tag;
}

auto Admission::State::setOrganisationTag(Organisation &organisation, double tag) -> void
{
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (!organisation.turns[i].empty()) {
            turns[i].erase({organisation.tag, organisation.index, &organisation});
            turns[i].insert({tag, organisation.index, &organisation});
        }
    }
    organisation.tag = tag;
}

auto Admission::State::startTag(const Organisation &organisation, std::size_t classIndex) const -> double
{
    // The virtual time follows the class that is served most. A class held back by its limit is behind it, and a caller that starts
    // at the virtual time would wait there until all others of its class have caught up.
    auto least = organisation.virtualTime;
    for (const auto &it : organisation.turns) {
        least = it.empty() ? least : std::min(least, it.begin()->tag);
    }
    const auto &own = organisation.turns[classIndex];
    return std::max(least, own.empty() ? organisation.virtualTime - maxLag : own.begin()->tag - idleCredit);
}

auto Admission::State::insert(Caller &caller, const QueuedRequest &request) -> void
{
    auto &organisation = *caller.organisation;
    const auto i = indexOf(request.priority);
    if (organisation.activeCallers == 0) {
        organisation.tag = std::max(organisation.tag, virtualTime - idleCredit / organisation.share);
        activeShares += organisation.share;
    }
    if (caller.length == 0) {
        const auto start = startTag(organisation, i);
        caller.tag = caller.isKnown ? std::max(caller.tag, start - idleCredit) : start;
        caller.isKnown = true;
        ++organisation.activeCallers;
    }
    if (organisation.turns[i].empty()) {
        turns[i].insert({organisation.tag, organisation.index, &organisation});
    }
    if (caller.queues[i].empty()) {
        organisation.turns[i].insert({caller.tag, caller.index, &caller});
    }
    const auto sequence = nextSequence++;
    caller.queues[i].emplace(sequence, request.id);
    places.emplace(request.id, Place{&caller, request.priority, sequence});
    lengths.erase({caller.length, caller.index});
    lengths.insert({++caller.length, caller.index});
    ++queued[i];
}

auto Admission::State::erase(const Place &place, RequestId id) -> void
{
    auto &caller = *place.caller;
    auto &organisation = *caller.organisation;
    const auto i = indexOf(place.priority);
    caller.queues[i].erase(place.sequence);
    lengths.erase({caller.length, caller.index});
    if (--caller.length > 0) {
        lengths.insert({caller.length, caller.index});
    } else {
        --organisation.activeCallers;
    }
    if (caller.queues[i].empty()) {
        organisation.turns[i].erase({caller.tag, caller.index, &caller});
    }
    if (organisation.turns[i].empty()) {
        turns[i].erase({organisation.tag, organisation.index, &organisation});
    }
    if (organisation.activeCallers == 0) {
        activeShares -= organisation.share;
    }
    --queued[i];
    places.erase(id);
}

auto Admission::State::waiting() const -> ClassSet
{
    ClassSet result{};
    for (std::size_t i = 0; i < priorityCount; ++i) {
        result[i] = queued[i] > 0;
    }
    return result;
}

auto Admission::State::choose(const PerClass &inFlight) const -> std::optional<Choice>
{
    const auto mayTake = eligibleClasses(limits, waiting(), inFlight);
    const auto first = leastTag(turns, mayTake);
    if (!first) {
        return std::nullopt;
    }
    auto *organisation = turns[*first].begin()->flow;
    const auto second = leastTag(organisation->turns, mayTake);
    auto *caller = organisation->turns[*second].begin()->flow;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (mayTake[i] && !caller->queues[i].empty()) {
            return Choice{organisation, caller, i};
        }
    }
    return std::nullopt;
}

auto Admission::State::advanceIdle(Organisation &organisation) -> void
{
    // While nobody else waits, a service moves the virtual time by a whole request. Otherwise it would stand still outside overload,
    // and callers that were there before a flood would have no credit over those that join it.
    if (organisation.activeCallers == 0) {
        organisation.virtualTime += 1.0;
    }
    if (places.empty()) {
        virtualTime += 1.0 / organisation.share;
    }
}

auto Admission::State::evictFor(const Caller &caller) -> std::optional<RequestId>
{
    const auto &longest = *callersByIndex.at(lengths.rbegin()->second);
    if (longest.length <= caller.length + 1) {
        return std::nullopt;
    }
    for (std::size_t i = priorityCount; i-- > 0;) {
        if (!longest.queues[i].empty()) {
            const auto id = longest.queues[i].rbegin()->second;
            erase(places.at(id), id);
            return id;
        }
    }
    return std::nullopt;
}

auto Admission::State::activeCallers() const -> std::size_t
{
    return lengths.size();
}

auto Admission::State::sweep() -> void
{
    // A sweep costs time in proportion to the known callers, so that its interval grows with them.
    if (++sinceSweep < std::max(sweepInterval, callersByIndex.size() / 2)) {
        return;
    }
    sinceSweep = 0;
    if (callersByIndex.size() <= settings.maxIdleCallers) {
        return;
    }
    for (const auto &[name, organisation] : organisations) {
        // These callers owe nothing; they lose the credit that they have over new ones.
        std::erase_if(organisation->callers, [this, &organisation = *organisation](const auto &it) {
            const auto &caller = *it.second;
            const auto idle = caller.length == 0 && caller.tag <= organisation.virtualTime - idleCredit;
            if (idle) {
                callersByIndex.erase(caller.index);
            }
            return idle;
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
        m_state->organisationOf(it.name).share = std::max(1U, it.share);
    }
    m_state->activeShares = 0.0;
    for (const auto &[name, it] : m_state->organisations) {
        m_state->activeShares += it->activeCallers > 0 ? it->share : 0.0;
    }
}

auto Admission::push(const QueuedRequest &request) -> PushResult
{
    m_state->sweep();
    auto &caller = m_state->callerOf(m_state->organisationOf(request.organisation), request.caller);
    if (caller.length >= m_state->settings.maxQueuedPerCaller) {
        return {};
    }
    PushResult result{true, std::nullopt};
    if (m_state->places.size() >= m_state->settings.maxQueued) {
        result.evicted = m_state->evictFor(caller);
        if (!result.evicted) {
            return {};
        }
    }
    m_state->insert(caller, request);
    return result;
}

auto Admission::peek(const PerClass &inFlight) const -> std::optional<RequestId>
{
    const auto choice = m_state->choose(inFlight);
    if (!choice) {
        return std::nullopt;
    }
    return choice->caller->queues[choice->classIndex].begin()->second;
}

auto Admission::pop(const PerClass &inFlight) -> std::optional<RequestId>
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
    m_state->erase(m_state->places.at(id), id);
    m_state->advanceIdle(organisation);
    m_state->setCallerTag(caller, std::max(caller.tag, organisation.virtualTime - maxLag) + 1.0);
    const auto leastOrganisationTag = m_state->virtualTime - maxLag / organisation.share;
    m_state->setOrganisationTag(organisation, std::max(organisation.tag, leastOrganisationTag) + 1.0 / organisation.share);
    return id;
}

auto Admission::remove(RequestId id) -> bool
{
    const auto it = m_state->places.find(id);
    if (it == m_state->places.end()) {
        return false;
    }
    m_state->erase(Place(it->second), id);
    return true;
}

auto Admission::settle(const OrganisationName &organisation, const CallerName &caller, double cost) -> void
{
    auto *it = m_state->findCaller(organisation, caller);
    if (it == nullptr) {
        return;
    }
    const auto correction = std::min(cost, maxCost) - 1.0;
    m_state->setCallerTag(*it, it->tag + correction);
    m_state->setOrganisationTag(*it->organisation, it->organisation->tag + correction / it->organisation->share);
}

auto Admission::expectedAhead(const OrganisationName &organisation, const CallerName &caller, Priority priority) const -> double
{
    const auto *it = m_state->findCaller(organisation, caller);
    if (it == nullptr || it->length == 0) {
        return 0.0;
    }
    const auto &org = *it->organisation;
    const auto i = indexOf(priority);
    const auto total = static_cast<double>(m_state->places.size());
    const auto turnsAhead = std::max(0.0, it->tag + static_cast<double>(it->length) - org.virtualTime);
    const auto inOrganisation = turnsAhead * static_cast<double>(org.activeCallers);
    const auto byFairness = std::min(total, inOrganisation * m_state->activeShares / org.share);
    const auto waiting = m_state->waiting();
    const auto part = std::max(m_state->limits[i], leastPart(m_state->limits, waiting, i));
    const auto alone = m_state->queued[i] == m_state->places.size();
    if (alone || part <= 0.0) {
        return byFairness;
    }
    // The class itself is served at its part of the rate, in turns over the callers that wait in it.
    const auto inClass = static_cast<double>(it->queues[i].size()) * static_cast<double>(org.turns[i].size());
    const auto byClass = std::min<double>(m_state->queued[i], inClass) / part;
    return std::min(total, std::max(byFairness, byClass));
}

auto Admission::size() const noexcept -> std::size_t
{
    return m_state->places.size();
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
