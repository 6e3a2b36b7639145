#include "bench.h"

#include "world.h"

#include <acaciarail/core/logging.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace Acaciarail::Bench {

namespace {

using namespace Fuzz;

constexpr std::size_t sequenceLength = 40;
constexpr unsigned threadCount = 6;

struct Result
{
    std::map<std::string, std::uint64_t> commands;
    /// First violation of each failing seed.
    std::map<std::uint64_t, std::string> failures;
};

auto describe(const Violation &it) -> std::string
{
    return std::string(invariantName(it.invariant)) + ": " + it.detail;
}

/// Runs the sequences of consecutive seeds on several threads; the result does not depend on their order.
auto runSeeds(std::uint64_t first, std::uint64_t count) -> Result
{
    Result result;
    std::mutex mutex;
    std::atomic<std::uint64_t> next = first;
    const auto work = [&] {
        for (auto seed = next++; seed < first + count; seed = next++) {
            WorldSettings settings;
            settings.seed = seed;
            const auto commands = randomSequence(seed, sequenceLength);
            const auto violations = runSequence(settings, commands);
            const std::scoped_lock lock(mutex);
            for (const auto &it : commands) {
                ++result.commands[commandName(it.kind)];
            }
            if (!violations.empty()) {
                result.failures[seed] = describe(violations.front());
            }
        }
    };
    std::vector<std::thread> pool;
    for (unsigned i = 0; i < threadCount; ++i) {
        pool.emplace_back(work);
    }
    for (auto &it : pool) {
        it.join();
    }
    return result;
}

auto fuzz(const Options &options, Report &report) -> void
{
    configureLogging(LogLevel::Error);
    const std::uint64_t sequences = options.sequences > 0 ? options.sequences : (options.quick ? 200 : 2000);
    const auto result = runSeeds(options.seed, sequences);
    for (const auto &[name, n] : result.commands) {
        report.figure("commands " + name, std::to_string(n));
    }
    report.check("sequences with a violation", "0", std::to_string(result.failures.size()) + " of " + std::to_string(sequences),
                 result.failures.empty());
    for (const auto &[seed, text] : result.failures) {
        report.note("seed " + std::to_string(seed) + ": " + text);
    }
    report.note("seeds " + std::to_string(options.seed) + " to " + std::to_string(options.seed + sequences - 1));
}

auto mutants(const Options &options, Report &report) -> void
{
    configureLogging(LogLevel::Error);
    constexpr std::uint64_t maxSeeds = 200;
    for (std::size_t i = 1; i < mutationCount; ++i) {
        const auto mutation = static_cast<Mutation>(i);
        std::string detected;
        for (auto seed = options.seed; seed < options.seed + maxSeeds && detected.empty(); ++seed) {
            WorldSettings settings;
            settings.seed = seed;
            const auto commands = randomSequence(seed, sequenceLength);
            const auto isClean = runSequence(settings, commands).empty();
            settings.mutation = mutation;
            const auto violations = runSequence(settings, commands);
            if (isClean && !violations.empty()) {
                detected = std::string(invariantName(violations.front().invariant)) + " (seed " + std::to_string(seed) + ")";
            }
        }
        report.check(mutationName(mutation), "caught", detected.empty() ? "not caught" : detected, !detected.empty());
    }
}

const Registration fuzzRegistration("fuzz", "Random command sequences against the oracle: --seed N --sequences M", fuzz);
const Registration mutantsRegistration("mutants", "Deliberate faults that the oracle must detect", mutants);

} // namespace

} // namespace Acaciarail::Bench
