#include "observed_process.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace Acaciarail::Clients {

namespace {

constexpr std::size_t kibibyte = 1024;

auto residentSize(pid_t id) -> std::size_t
{
    std::ifstream in("/proc/" + std::to_string(id) + "/status");
    constexpr std::string_view key = "VmRSS:";
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(key)) {
            return std::strtoull(line.c_str() + key.size(), nullptr, 10) * kibibyte;
        }
    }
    return 0;
}

auto openDescriptors(pid_t id) -> std::size_t
{
    std::error_code ec;
    const auto entries = std::filesystem::directory_iterator("/proc/" + std::to_string(id) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace

ObservedProcess::ObservedProcess(ProcessTest::ChildProcess &process)
    : m_process(process)
    , m_initialSize(residentSize(process.id()))
{
    observe();
}

auto ObservedProcess::observe() -> void
{
    m_largestSize = std::max(m_largestSize, residentSize(m_process.id()));
    m_descriptors = std::max(m_descriptors, openDescriptors(m_process.id()));
}

auto ObservedProcess::hasEnded() -> bool
{
    return m_process.waitStatus().has_value();
}

auto ObservedProcess::growth() const noexcept -> std::size_t
{
    return m_largestSize - std::min(m_largestSize, m_initialSize);
}

auto ObservedProcess::descriptors() const noexcept -> std::size_t
{
    return m_descriptors;
}

auto ObservedProcess::describe() const -> std::string
{
    return "resident size from " + std::to_string(m_initialSize / kibibyte) + " to " + std::to_string(m_largestSize / kibibyte)
        + " KiB, descriptors " + std::to_string(m_descriptors);
}

auto sanitizerVariables() -> std::vector<std::string>
{
    const auto *given = std::getenv("ASAN_OPTIONS");
    return {"ASAN_OPTIONS=" + (given == nullptr ? std::string() : std::string(given) + ':') + "quarantine_size_mb=1"};
}

} // namespace Acaciarail::Clients
