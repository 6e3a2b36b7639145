#pragma once

#include "child_process.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Acaciarail::Clients {

/// Memory and descriptors of a child process since the start of the observation. Memory is measured as the growth of the resident size,
/// because a sanitizer's own memory makes the size itself meaningless. Not thread-safe.
class ObservedProcess
{
public:
    /// \pre \a process outlives the object.
    explicit ObservedProcess(ProcessTest::ChildProcess &process);

    /// Takes the present figures into account. \pre none.
    auto observe() -> void;

    [[nodiscard]] auto hasEnded() -> bool;
    /// Returns the largest growth of the resident size in bytes. \pre none.
    [[nodiscard]] auto growth() const noexcept -> std::size_t;
    /// Returns the largest number of open descriptors. \pre none.
    [[nodiscard]] auto descriptors() const noexcept -> std::size_t;
    /// Returns the figures as text for a failure's message. \pre none.
    [[nodiscard]] auto describe() const -> std::string;

private:
    ProcessTest::ChildProcess &m_process;
    std::size_t m_initialSize = 0;
    std::size_t m_largestSize = 0;
    std::size_t m_descriptors = 0;
};

/// Returns the variables for a child process that keep a sanitizer from retaining freed memory, which would count as growth. \pre none.
[[nodiscard]] auto sanitizerVariables() -> std::vector<std::string>;

} // namespace Acaciarail::Clients
