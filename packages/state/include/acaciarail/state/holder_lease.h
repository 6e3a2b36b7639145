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
    /// Time for which a witness promises not to grant a higher term.
    Duration lease = 1s;
    Duration renewInterval = 300ms;
    /// A candidate that has no majority after this time releases its grants and waits.
    Duration candidateTimeout = 500ms;
    /// Delay for each live instance of the zone that comes before this one, so that they rarely compete.
    Duration rankDelay = 200ms;
    /// Bounds of the random pause after a failed candidacy.
    Duration minPause = 100ms;
    Duration maxPause = 400ms;
};

/// Witness workers of a shard; consecutive versions differ by one worker.
struct WitnessSet
{
    std::uint64_t version = 0;
    std::vector<WorkerName> workers;
    /// The set of the previous version. A majority of it must also agree until a majority of \c workers knows this version.
    std::vector<WorkerName> previous;
};

/// Ask a witness for the lease.
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

/// Give the lease back to a witness.
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

/// Decides whether this instance holds a shard, by a lease that a majority of the shard's witness workers granted.
/// Any two majorities share a worker, and a worker grants one lease at a time, so two instances never hold a shard at once.
/// No method is thread-safe; one task owns an object.
class HolderLease
{
public:
    /// \pre \a incarnation is unique among all processes.
    HolderLease(std::uint64_t incarnation, HolderLeaseSettings settings, std::uint64_t seed);

    /// Takes the witness set that the log names. Lower versions are ignored. \pre none.
    auto setWitnesses(const WitnessSet &witnesses) -> void;

    /// Notes a term seen anywhere, so that the next candidacy is above it. \pre none.
    auto observeTerm(const Term &term) -> void;

    /// Notes that another instance said that it holds the shard. \pre none.
    auto heardFromHolder(const Term &term, TimePoint now) -> void;

    /// Position of this instance among the live instances of the zone; 0 goes first. \pre none.
    auto setRank(std::uint32_t rank) -> void;

    /// While false, this instance neither becomes a candidate nor stays holder. \pre none.
    auto setEligible(bool eligible, TimePoint now) -> std::vector<LeaseCommand>;

    /// Result of SendAttach. \pre none.
    auto attachAnswered(const WorkerName &worker, const Term &term, bool granted, TimePoint now) -> std::vector<LeaseCommand>;

    /// Result of SendRenew. \pre none.
    auto renewAnswered(const WorkerName &worker, const Term &term, std::uint64_t round, TimePoint now) -> std::vector<LeaseCommand>;

    /// A worker refused a command because of a higher term. \pre none.
    auto refused(const Term &higher, TimePoint now) -> std::vector<LeaseCommand>;

    /// Starts candidacies, renews and notices an expired lease. \pre none.
    auto tick(TimePoint now) -> std::vector<LeaseCommand>;

    /// Time at which tick() should be called at the latest. \pre none.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    /// Whether the lease is valid at \a now. \pre none.
    [[nodiscard]] auto isHolder(TimePoint now) const -> bool;

    /// End of the lease by the clock of this process, drift margin included. \pre isHolder() was true.
    [[nodiscard]] auto validUntil() const noexcept -> TimePoint;

    /// Term of the lease or candidacy. \pre none.
    [[nodiscard]] auto term() const noexcept -> const Term &;

    [[nodiscard]] auto witnessVersion() const noexcept -> std::uint64_t;

    /// Whether a majority of the witnesses knows the current version, so that the set may change again. \pre none.
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
    auto pause(TimePoint now) -> void;
    auto grant(Round &round, const WorkerName &worker) -> bool;

    std::uint64_t m_incarnation;
    HolderLeaseSettings m_settings;
    std::mt19937_64 m_random;
    WitnessSet m_witnesses;
    /// Set once a majority of the current witnesses knows the current version.
    bool m_versionIsKnown = false;
    std::set<WorkerName> m_knowVersion;
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
