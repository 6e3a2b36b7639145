#include "fault_sink.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

/// Bounds the answer to a hostile document; an operator corrects far fewer faults at a time.
constexpr std::size_t maxFaultsPerFile = 1000;

} // namespace

auto sortFaults(std::vector<Fault> &faults) -> void
{
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &a, const Fault &b) {
        return std::tie(a.file, a.line, a.column) < std::tie(b.file, b.line, b.column);
    });
}

auto FaultSink::add(Place place, std::string expected, std::string found) -> void
{
    ++m_count;
    if (!isFull()) {
        m_faults.push_back({m_file, place.line, place.column, std::move(expected), std::move(found)});
    }
}

auto FaultSink::isFull() const noexcept -> bool
{
    return m_faults.size() >= maxFaultsPerFile;
}

auto FaultSink::take() -> std::vector<Fault>
{
    auto faults = std::exchange(m_faults, {});
    sortFaults(faults);
    if (m_count > faults.size()) {
        const auto surplus = std::to_string(m_count - faults.size());
        faults.push_back({m_file, 0, 0, "at most " + std::to_string(maxFaultsPerFile) + " faults", surplus + " more"});
    }
    m_count = 0;
    return faults;
}

} // namespace Acaciarail::Operator::Detail
