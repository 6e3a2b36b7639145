#include <acaciarail/state.h>

#include <boost/test/unit_test.hpp>

using namespace Acaciarail;
using namespace Acaciarail::State;

namespace {

const ZoneName zone("bne-a");
const TimePoint start{1h};

auto instance(int i, const char *zoneName = "bne-a") -> InstanceInfo
{
    return {InstanceName("i" + std::to_string(i)), RegionName("r"), ZoneName(zoneName), false, {}};
}

auto peer(int i, TimePoint now, LogOffset nextOffset = 0, std::uint64_t incarnation = 7) -> PeerState
{
    return {InstanceName("i" + std::to_string(i)), zone, incarnation, nextOffset, false, now};
}

} // namespace

// Guards against heartbeat traffic per instance that grows with the number of instances.
BOOST_AUTO_TEST_CASE(heartbeatFanOutIsBounded)
{
    Membership membership(instance(500), {}, 1);
    std::vector<InstanceInfo> listed;
    listed.reserve(300);
    for (int i = 0; i < 300; ++i) {
        listed.push_back(instance(i + 400, i % 2 ? "bne-a" : "tsv-a"));
    }
    membership.setListed(listed);
    BOOST_TEST(membership.heartbeatTargets().size() == 10U);
}

// Guards against an instance that counts as live after it was replaced because the list lags, and against one that counts as ended too
// soon after its last heartbeat.
BOOST_AUTO_TEST_CASE(listAndHeartbeatsAreCombined)
{
    Membership membership(instance(1), {}, 1);
    membership.setListed({instance(0), instance(2)});
    membership.heartbeat(peer(0, start), {});
    BOOST_TEST(membership.isLive(InstanceName("i0"), start + 2s));
    BOOST_TEST(!membership.isLive(InstanceName("i0"), start + 3s));
    BOOST_TEST(!membership.hasEnded(InstanceName("i0"), 7, start + 60s));
    BOOST_TEST(membership.hasEnded(InstanceName("i0"), 6, start));
    membership.setListed({instance(2)});
    BOOST_TEST(!membership.hasEnded(InstanceName("i0"), 7, start + 3s));
    BOOST_TEST(membership.hasEnded(InstanceName("i0"), 7, start + 60s));
}

// Guards against all instances of a zone competing for a shard at the same time.
BOOST_AUTO_TEST_CASE(rankCountsLiveInstancesBefore)
{
    Membership membership(instance(5), {}, 1);
    membership.heartbeat(peer(1, start), {});
    membership.heartbeat(peer(2, start - 10s), {});
    membership.heartbeat(peer(7, start), {});
    BOOST_TEST(membership.rankInZone(start) == 1U);
    BOOST_TEST(!membership.isFirst(start));
    BOOST_TEST(membership.isFirst(start + 5s));
}

// Guards against records being requested from a peer that is behind or not live.
BOOST_AUTO_TEST_CASE(peersAheadAreSortedAndLive)
{
    Membership membership(instance(5), {}, 1);
    membership.heartbeat(peer(1, start, 10), {});
    membership.heartbeat(peer(2, start, 30), {});
    membership.heartbeat(peer(3, start, 20), {});
    membership.heartbeat(peer(4, start - 10s, 99), {});
    const auto ahead = membership.peersAhead(15, start);
    BOOST_REQUIRE(ahead.size() == 2U);
    BOOST_TEST(ahead.front() == InstanceName("i2"));
}
