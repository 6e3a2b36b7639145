#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/term.h>
#include <acaciarail/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace Acaciarail::State {

struct HolderLeaseSettings
{
    /// Time for which a witness that grants the lease grants no other term.
    Duration lease = 1s;
    Duration renewInterval = 300ms;
    /// A candidate that has no majority after this time releases its grants and tries again later.
    Duration candidateTimeout = 500ms;
    /// Additional delay of a candidacy for each live instance of the zone that precedes this one, so that instances rarely compete.
    Duration rankDelay = 200ms;
    /// Bounds of the random delay between stepping down, or a failed candidacy, and the next candidacy.
    Duration minCandidacyDelay = 100ms;
    Duration maxCandidacyDelay = 400ms;
};

/// The workers that grant the lease of a shard, its witnesses. Consecutive versions of the set differ by one worker.
struct WitnessSet
{
    std::uint64_t version = 0;
    std::vector<WorkerName> workers;
    /// The set of the previous version. A majority of it must also agree until a majority of \c workers knows this version.
    std::vector<WorkerName> previous;
};

/// Request the lease from a witness.
struct SendAttach
{
    WorkerName worker;
    Term term;
};

/// Renew the lease at a witness.
struct SendRenew
{
    WorkerName worker;
    Term term;
    std::uint64_t round = 0;
};

/// Release the lease at a witness.
struct SendRelease
{
    WorkerName worker;
    Term term;
};

/// This instance holds the shard from now on.
struct LeaseAcquired
{
    Term term;
};

/// This instance no longer holds the shard and must not start work.
struct LeaseLost
{
    Term term;
};

using LeaseCommand = std::variant<SendAttach, SendRenew, SendRelease, LeaseAcquired, LeaseLost>;

/// Leader election for one shard: this instance holds the shard while it has a lease that a majority of the shard's witnesses granted.
/// Any two majorities share a worker, and a worker grants one lease at a time, so two instances never hold a shard at once.
/// No method is thread-safe; one task owns an object.
class HolderLease
{
public:
    /// \pre \a incarnation is unique among all processes.
    HolderLease(std::uint64_t incarnation, HolderLeaseSettings settings, std::uint64_t seed);

    /// Sets the witness set of the log. A version that is not newer is ignored. \pre none.
    auto setWitnesses(const WitnessSet &witnesses) -> void;

    /// Records a term that is in use, so that the next candidacy has a higher one. \pre none.
    auto observeTerm(const Term &term) -> void;

    /// An instance has announced that it holds the shard. Defers the next candidacy when it is another instance. \pre none.
    auto onHolderContact(const Term &term, TimePoint now) -> void;

    /// Position of this instance among the live instances of the zone; 0 is the first to become a candidate. \pre none.
    auto setRank(std::uint32_t rank) -> void;

    /// While false, this instance neither becomes a candidate nor stays holder. \pre none.
    auto setEligible(bool eligible, TimePoint now) -> std::vector<LeaseCommand>;

    /// Result of SendAttach. \pre none.
    auto attachAnswered(const WorkerName &worker, const Term &term, bool granted, TimePoint now) -> std::vector<LeaseCommand>;

    /// Result of SendRenew. \pre none.
    auto renewAnswered(const WorkerName &worker, const Term &term, std::uint64_t round, TimePoint now) -> std::vector<LeaseCommand>;

    /// A worker refused a command because of a higher term. \pre none.
    auto refused(const Term &higher, TimePoint now) -> std::vector<LeaseCommand>;

    /// Starts a candidacy or a renewal when it is due, and steps down when the lease has expired. \pre none.
    auto tick(TimePoint now) -> std::vector<LeaseCommand>;

    /// Latest time for the next call of tick(). \pre none.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    /// Whether the lease is valid at \a now. \pre none.
    [[nodiscard]] auto isHolder(TimePoint now) const -> bool;

    /// End of the lease by the clock of this process, drift margin included. \pre isHolder() was true.
    [[nodiscard]] auto validUntil() const noexcept -> TimePoint;

    /// Term of the lease or candidacy. \pre none.
    [[nodiscard]] auto term() const noexcept -> const Term &;

    [[nodiscard]] auto witnessVersion() const noexcept -> std::uint64_t;

    /// Whether a majority of the witnesses has acknowledged the current version, so that the set may change again. \pre none.
    [[nodiscard]] auto isWitnessVersionKnown() const noexcept -> bool;

private:
    enum class Role : std::uint8_t {
        Idle,
        Candidate,
        Holder,
    };

    struct Round
    {
        TimePoint sentAt;
        std::uint64_t witnessVersion = 0;
        std::set<WorkerName> granted;
    };

    [[nodiscard]] auto voters() const -> std::set<WorkerName>;
    [[nodiscard]] auto hasMajority(const std::set<WorkerName> &granted) const -> bool;
    [[nodiscard]] auto leaseEnd(TimePoint sentAt) const -> TimePoint;
    auto becomeCandidate(TimePoint now) -> std::vector<LeaseCommand>;
    auto startRound(TimePoint now) -> std::vector<LeaseCommand>;
    auto stepDown(TimePoint now) -> std::vector<LeaseCommand>;
    auto deferCandidacy(TimePoint now) -> void;
    auto recordGrant(Round &round, const WorkerName &worker) -> bool;

    std::uint64_t m_incarnation;
    HolderLeaseSettings m_settings;
    std::mt19937_64 m_random;
    WitnessSet m_witnesses;
    /// Set once a majority of the current witnesses has acknowledged the current version.
    bool m_versionIsKnown = false;
    std::set<WorkerName> m_witnessesWithVersion;
    bool m_eligible = true;
    std::uint32_t m_rank = 0;
    std::uint64_t m_highestNumber = 0;
    Role m_role = Role::Idle;
    Term m_term;
    TimePoint m_validUntil;
    TimePoint m_candidateSince;
    TimePoint m_nextCandidacy;
    TimePoint m_nextRound;
    std::uint64_t m_round = 0;
    std::map<std::uint64_t, Round> m_rounds;
};

} // namespace Acaciarail::State
