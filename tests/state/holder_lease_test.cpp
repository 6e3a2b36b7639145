#include <acaciarail/state.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace Acaciarail;
using namespace Acaciarail::State;
namespace data = boost::unit_test::data;

namespace {

const HolderLeaseSettings settings;

/// A witness that grants the lease by the same rule as a worker.
struct Witness
{
    Term term;
    TimePoint leaseEnd;
    bool reachable = true;

    auto attach(const Term &candidate, TimePoint now) -> bool
    {
        if (candidate <= term || now < leaseEnd) {
            return false;
        }
        term = candidate;
        leaseEnd = now + settings.lease;
        return true;
    }

    auto renew(const Term &holder, TimePoint now) -> bool
    {
        if (holder != term) {
            return false;
        }
        leaseEnd = now + settings.lease;
        return true;
    }

    auto release(const Term &holder) -> void
    {
        if (holder == term) {
            leaseEnd = TimePoint{};
        }
    }
};

/// Candidates and witnesses that call each other directly instead of over a network.
class Shard
{
public:
    Shard(std::size_t candidates, std::size_t witnessCount, std::uint64_t seed)
        : m_random(seed)
    {
        WitnessSet set{1, {}, {}};
        for (std::size_t i = 0; i < witnessCount; ++i) {
            set.workers.emplace_back("w" + std::to_string(i));
            witnesses[set.workers.back()];
        }
        for (std::size_t i = 0; i < candidates; ++i) {
            leases.push_back(std::make_unique<HolderLease>(i + 1, settings, seed + i));
            leases.back()->setWitnesses(set);
            leases.back()->setRank(static_cast<std::uint32_t>(i));
            paused.push_back(false);
        }
    }

    auto step(TimePoint now) -> void
    {
        for (std::size_t i = 0; i < leases.size(); ++i) {
            if (!paused[i]) {
                perform(i, leases[i]->tick(now), now);
            }
        }
    }

    [[nodiscard]] auto holders(TimePoint now) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(leases.begin(), leases.end(), [now](const auto &it) { return it->isHolder(now); }));
    }

    std::vector<std::unique_ptr<HolderLease>> leases;
    std::vector<bool> paused;
    std::map<WorkerName, Witness> witnesses;
    double lossProbability = 0;

private:
    auto isLost() -> bool
    {
        return std::bernoulli_distribution(lossProbability)(m_random);
    }

    auto perform(std::size_t i, const std::vector<LeaseCommand> &commands, TimePoint now) -> void
    {
        for (const auto &it : commands) {
            if (const auto *attach = std::get_if<SendAttach>(&it); attach && witnesses[attach->worker].reachable && !isLost()) {
                auto &witness = witnesses[attach->worker];
                const auto granted = witness.attach(attach->term, now);
                if (!isLost()) {
                    perform(i, leases[i]->attachAnswered(attach->worker, witness.term, granted, now), now);
                }
            } else if (const auto *renew = std::get_if<SendRenew>(&it); renew && witnesses[renew->worker].reachable && !isLost()) {
                auto &witness = witnesses[renew->worker];
                const auto renewed = witness.renew(renew->term, now);
                if (isLost()) {
                    continue;
                }
                renewed ? perform(i, leases[i]->renewAnswered(renew->worker, renew->term, renew->round, now), now)
                        : perform(i, leases[i]->refused(witness.term, now), now);
            } else if (const auto *release = std::get_if<SendRelease>(&it); release && witnesses[release->worker].reachable && !isLost()) {
                witnesses[release->worker].release(release->term);
            }
        }
    }

    std::mt19937_64 m_random;
};

} // namespace

// Guards against two holders at the same time, when messages are lost, candidates pause for longer than their lease, or witnesses are
// unreachable.
BOOST_DATA_TEST_CASE(atMostOneHolderAtATime, data::make({1, 2, 3, 4, 5, 6, 7, 8}), seed)
{
    Shard shard(4, 9, static_cast<std::uint64_t>(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::size_t held = 0;
    for (auto now = TimePoint(1h); now < TimePoint(1h) + 60s; now += 10ms) {
        if (std::bernoulli_distribution(0.01)(random)) {
            const auto i = random() % shard.paused.size();
            shard.paused[i] = !shard.paused[i];
        }
        if (std::bernoulli_distribution(0.01)(random)) {
            auto it = std::next(shard.witnesses.begin(), static_cast<std::ptrdiff_t>(random() % shard.witnesses.size()));
            it->second.reachable = !it->second.reachable;
        }
        shard.lossProbability = seed % 2 == 0 ? 0.1 : 0.0;
        shard.step(now);
        BOOST_REQUIRE(shard.holders(now) <= 1U);
        held += shard.holders(now);
    }
    BOOST_TEST(held > 0U);
}

// Guards against a shard that has no holder for too long after its holder stopped; the limit is the two-second takeover target.
BOOST_AUTO_TEST_CASE(takeoverWithinTwoSeconds)
{
    Shard shard(4, 9, 1);
    auto now = TimePoint(1h);
    for (; now < TimePoint(1h) + 1s; now += 10ms) {
        shard.step(now);
    }
    BOOST_REQUIRE(shard.leases[0]->isHolder(now));
    shard.paused[0] = true;
    const auto stoppedAt = now;
    while (shard.holders(now) == 0 || shard.leases[0]->isHolder(now)) {
        now += 10ms;
        shard.step(now);
        BOOST_REQUIRE((now - stoppedAt < 2s));
    }
    BOOST_TEST(shard.holders(now) == 1U);
}

// Guards against a change of the witness set after which a majority of the old set and one of the new set need not overlap.
BOOST_AUTO_TEST_CASE(changedWitnessSetNeedsBothMajorities)
{
    HolderLease lease(1, settings, 1);
    const auto now = TimePoint(1h);
    lease.setWitnesses(
        {2, {WorkerName("a"), WorkerName("b"), WorkerName("c"), WorkerName("d")}, {WorkerName("a"), WorkerName("b"), WorkerName("c")}});
    lease.tick(now);
    BOOST_TEST(lease.attachAnswered(WorkerName("d"), lease.term(), true, now).empty());
    BOOST_TEST(lease.attachAnswered(WorkerName("a"), lease.term(), true, now).empty());
    BOOST_TEST(!lease.isHolder(now));
    lease.attachAnswered(WorkerName("b"), lease.term(), true, now);
    BOOST_TEST(lease.isHolder(now));
}
