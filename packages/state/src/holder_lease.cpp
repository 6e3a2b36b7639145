#include <acaciarail/state/holder_lease.h>

#include <algorithm>
#include <iterator>

namespace Acaciarail::State {

namespace {

/// Largest number of renewal rounds that wait for replies; replies to older rounds no longer extend the lease.
constexpr std::size_t maxOpenRounds = 8;

auto isMajority(const std::vector<WorkerName> &workers, const std::set<WorkerName> &granted) -> bool
{
    const auto n = std::count_if(workers.begin(), workers.end(), [&granted](const WorkerName &it) { return granted.contains(it); });
    return static_cast<std::size_t>(n) * 2 > workers.size();
}

} // namespace

HolderLease::HolderLease(std::uint64_t incarnation, HolderLeaseSettings settings, std::uint64_t seed)
    : m_incarnation(incarnation)
    , m_settings(settings)
    , m_random(seed)
{
}

auto HolderLease::setWitnesses(const WitnessSet &witnesses) -> void
{
    if (witnesses.version <= m_witnesses.version) {
        return;
    }
    m_witnesses = witnesses;
    m_versionIsKnown = false;
    m_witnessesWithVersion.clear();
}

auto HolderLease::observeTerm(const Term &term) -> void
{
    m_highestNumber = std::max(m_highestNumber, term.number);
}

auto HolderLease::onHolderContact(const Term &term, TimePoint now) -> void
{
    observeTerm(term);
    if (term.incarnation != m_incarnation) {
        m_nextCandidacy = std::max(m_nextCandidacy, now + m_settings.lease + m_settings.rankDelay * m_rank);
    }
}

auto HolderLease::setRank(std::uint32_t rank) -> void
{
    m_rank = rank;
}

auto HolderLease::setEligible(bool eligible, TimePoint now) -> std::vector<LeaseCommand>
{
    m_eligible = eligible;
    return eligible || m_role == Role::Idle ? std::vector<LeaseCommand>{} : stepDown(now);
}

auto HolderLease::attachAnswered(const WorkerName &worker, const Term &term, bool granted, TimePoint now) -> std::vector<LeaseCommand>
{
    observeTerm(term);
    if (m_role != Role::Candidate || !granted || term != m_term) {
        return {};
    }
    auto &round = m_rounds[0];
    if (!recordGrant(round, worker) || leaseEnd(round.sentAt) <= now) {
        return {};
    }
    m_role = Role::Holder;
    m_validUntil = leaseEnd(round.sentAt);
    m_nextRound = now;
    return {LeaseAcquired{m_term}};
}

auto HolderLease::renewAnswered(const WorkerName &worker, const Term &term, std::uint64_t number, TimePoint now)
    -> std::vector<LeaseCommand>
{
    const auto it = m_rounds.find(number);
    if (m_role != Role::Holder || term != m_term || it == m_rounds.end() || !isHolder(now)) {
        return {};
    }
    if (recordGrant(it->second, worker)) {
        m_validUntil = std::max(m_validUntil, leaseEnd(it->second.sentAt));
        m_rounds.erase(m_rounds.begin(), it);
    }
    return {};
}

auto HolderLease::refused(const Term &higher, TimePoint now) -> std::vector<LeaseCommand>
{
    observeTerm(higher);
    return m_role != Role::Idle && higher > m_term ? stepDown(now) : std::vector<LeaseCommand>{};
}

auto HolderLease::tick(TimePoint now) -> std::vector<LeaseCommand>
{
    switch (m_role) {
    case Role::Idle:
        return m_eligible && !m_witnesses.workers.empty() && now >= m_nextCandidacy ? becomeCandidate(now) : std::vector<LeaseCommand>{};
    case Role::Candidate:
        return now - m_candidateSince >= m_settings.candidateTimeout ? stepDown(now) : std::vector<LeaseCommand>{};
    case Role::Holder:
        break;
    }
    if (!isHolder(now)) {
        return stepDown(now);
    }
    return now >= m_nextRound ? startRound(now) : std::vector<LeaseCommand>{};
}

auto HolderLease::nextDeadline() const -> TimePoint
{
    switch (m_role) {
    case Role::Idle:
        return m_eligible && !m_witnesses.workers.empty() ? m_nextCandidacy : TimePoint::max();
    case Role::Candidate:
        return m_candidateSince + m_settings.candidateTimeout;
    case Role::Holder:
        break;
    }
    return std::min(m_nextRound, m_validUntil);
}

auto HolderLease::isHolder(TimePoint now) const -> bool
{
    return m_role == Role::Holder && now < m_validUntil;
}

auto HolderLease::validUntil() const noexcept -> TimePoint
{
    return m_validUntil;
}

auto HolderLease::term() const noexcept -> const Term &
{
    return m_term;
}

auto HolderLease::witnessVersion() const noexcept -> std::uint64_t
{
    return m_witnesses.version;
}

auto HolderLease::isWitnessVersionKnown() const noexcept -> bool
{
    return m_versionIsKnown;
}

auto HolderLease::voters() const -> std::set<WorkerName>
{
    std::set<WorkerName> all(m_witnesses.workers.begin(), m_witnesses.workers.end());
    if (!m_versionIsKnown) {
        all.insert(m_witnesses.previous.begin(), m_witnesses.previous.end());
    }
    return all;
}

auto HolderLease::hasMajority(const std::set<WorkerName> &granted) const -> bool
{
    const auto previousAgrees = m_versionIsKnown || m_witnesses.previous.empty() || isMajority(m_witnesses.previous, granted);
    return isMajority(m_witnesses.workers, granted) && previousAgrees;
}

auto HolderLease::leaseEnd(TimePoint sentAt) const -> TimePoint
{
    // The witness starts its lease later, when it receives the request. The margin covers a clock that runs faster there.
    return sentAt + m_settings.lease - (withDriftMargin(m_settings.lease) - m_settings.lease);
}

auto HolderLease::becomeCandidate(TimePoint now) -> std::vector<LeaseCommand>
{
    m_role = Role::Candidate;
    m_term = {++m_highestNumber, m_incarnation};
    m_candidateSince = now;
    m_versionIsKnown = false;
    m_witnessesWithVersion.clear();
    m_round = 0;
    m_rounds.clear();
    m_rounds[0] = {now, m_witnesses.version, {}};
    std::vector<LeaseCommand> commands;
    for (const auto &it : voters()) {
        commands.emplace_back(SendAttach{it, m_term});
    }
    return commands;
}

auto HolderLease::startRound(TimePoint now) -> std::vector<LeaseCommand>
{
    m_nextRound = now + m_settings.renewInterval;
    m_rounds[++m_round] = {now, m_witnesses.version, {}};
    if (m_rounds.size() > maxOpenRounds) {
        m_rounds.erase(m_rounds.begin());
    }
    std::vector<LeaseCommand> commands;
    for (const auto &it : voters()) {
        commands.emplace_back(SendRenew{it, m_term, m_round});
    }
    return commands;
}

auto HolderLease::stepDown(TimePoint now) -> std::vector<LeaseCommand>
{
    std::vector<LeaseCommand> commands;
    if (m_role == Role::Holder) {
        commands.emplace_back(LeaseLost{m_term});
    }
    for (const auto &it : voters()) {
        commands.emplace_back(SendRelease{it, m_term});
    }
    m_role = Role::Idle;
    m_rounds.clear();
    deferCandidacy(now);
    return commands;
}

auto HolderLease::recordGrant(Round &round, const WorkerName &worker) -> bool
{
    round.granted.insert(worker);
    if (round.witnessVersion == m_witnesses.version) {
        m_witnessesWithVersion.insert(worker);
    }
    const auto granted = hasMajority(round.granted);
    m_versionIsKnown = m_versionIsKnown || isMajority(m_witnesses.workers, m_witnessesWithVersion);
    return granted;
}

auto HolderLease::deferCandidacy(TimePoint now) -> void
{
    std::uniform_int_distribution<Duration::rep> distribution(m_settings.minCandidacyDelay.count(), m_settings.maxCandidacyDelay.count());
    m_nextCandidacy = std::max(m_nextCandidacy, now + Duration(distribution(m_random)) + m_settings.rankDelay * m_rank);
}

} // namespace Acaciarail::State
