#pragma once

#include <acaciarail/operator/document.h>
#include <acaciarail/operator/fault.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Operator::Detail {

/// Collects the faults of one file.
class FaultSink
{
public:
    explicit FaultSink(std::string_view file)
        : m_file(file)
    {
    }

    auto add(Place place, std::string expected, std::string found) -> void;

    /// Number of faults so far, those that are only counted included.
    [[nodiscard]] auto count() const noexcept -> std::size_t
    {
        return m_count;
    }

    /// True when further faults are only counted, so that their places need not be computed.
    [[nodiscard]] auto isFull() const noexcept -> bool;

    /// Returns the faults in the order of their places and leaves the sink empty.
    [[nodiscard]] auto take() -> std::vector<Fault>;

private:
    std::string m_file;
    std::vector<Fault> m_faults;
    std::size_t m_count = 0;
};

/// Sorts by file, line and column; faults at one place keep their order.
auto sortFaults(std::vector<Fault> &faults) -> void;

} // namespace Acaciarail::Operator::Detail
