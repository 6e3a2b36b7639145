#include "world.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Acaciarail;
using namespace Acaciarail::Fuzz;
namespace data = boost::unit_test::data;

namespace {

auto describe(const std::vector<Violation> &violations) -> std::string
{
    std::string out;
    for (const auto &it : violations) {
        out +=
            std::string(invariantName(it.invariant)) + " at " + std::to_string(it.at.time_since_epoch() / 1ms) + " ms: " + it.detail + "\n";
    }
    return out;
}

auto genCommand() -> rc::Gen<Command>
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange<std::size_t>(0, commandKindCount), rc::gen::inRange<std::uint32_t>(0, 64),
                       rc::gen::inRange(0, 2000)),
        [](const std::tuple<std::size_t, std::uint32_t, int> &t) {
            return Command{static_cast<CommandKind>(std::get<0>(t)), std::get<1>(t), std::chrono::milliseconds(std::get<2>(t))};
        });
}

} // namespace

// Guards against a violation of any invariant under mixed faults. The sequences come from fixed seeds.
BOOST_DATA_TEST_CASE(invariantsHoldUnderFailures, data::xrange(1, 41), seed)
{
    WorldSettings settings;
    settings.seed = static_cast<std::uint64_t>(seed);
    const auto violations = runSequence(settings, randomSequence(settings.seed, 40));
    BOOST_TEST(violations.empty(), describe(violations));
}

// The same check with sequences that RapidCheck generates and shrinks; the CTest entry sets a fixed seed.
BOOST_AUTO_TEST_CASE(generatedSequencesKeepTheInvariants)
{
    const auto ok = rc::check("invariants hold", [] {
        const auto commands = *rc::gen::container<std::vector<Command>>(genCommand());
        const auto violations = runSequence({}, commands);
        RC_LOG() << describe(violations);
        RC_ASSERT(violations.empty());
    });
    BOOST_TEST(ok);
}

// Guards against an oracle that detects no faults: it must detect each deliberate fault within a bounded number of sequences.
BOOST_DATA_TEST_CASE(deliberateFaultsAreDetected, data::xrange(std::size_t{1}, mutationCount), mutation)
{
    WorldSettings settings;
    settings.mutation = static_cast<Mutation>(mutation);
    auto detected = false;
    for (std::uint64_t seed = 1; seed <= 60 && !detected; ++seed) {
        settings.seed = seed;
        const auto commands = randomSequence(seed, 40);
        auto withoutMutation = settings;
        withoutMutation.mutation = Mutation::None;
        detected = !runSequence(settings, commands).empty() && runSequence(withoutMutation, commands).empty();
    }
    BOOST_TEST(detected, mutationName(settings.mutation));
}
