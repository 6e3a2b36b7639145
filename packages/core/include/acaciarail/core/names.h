#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace Acaciarail {

/// A string that names one kind of thing, so that names of different kinds cannot be mixed up.
/// All methods: no preconditions; thread-safe for distinct objects.
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    {
    }
    explicit Name(std::string_view value)
        : m_value(value)
    {
    }
    explicit Name(const char *value)
        : m_value(value)
    {
    }

    [[nodiscard]] auto str() const noexcept -> const std::string &
    {
        return m_value;
    }
    [[nodiscard]] auto empty() const noexcept -> bool
    {
        return m_value.empty();
    }

    friend auto operator==(const Name &, const Name &) noexcept -> bool = default;
    friend auto operator<=>(const Name &, const Name &) noexcept -> std::strong_ordering = default;
    friend auto operator<<(std::ostream &out, const Name &name) -> std::ostream &
    {
        return out << name.m_value;
    }

private:
    std::string m_value;
};

using OrganisationName = Name<struct OrganisationTag>;
using TeamName = Name<struct TeamTag>;
using CallerName = Name<struct CallerTag>;
using RegionName = Name<struct RegionTag>;
using ZoneName = Name<struct ZoneTag>;
using RackName = Name<struct RackTag>;
using WorkerName = Name<struct WorkerTag>;
using MachineName = Name<struct MachineTag>;
using EndpointName = Name<struct EndpointTag>;
using ServiceName = Name<struct ServiceTag>;
using InstanceName = Name<struct InstanceTag>;
using JobId = Name<struct JobTag>;

/// Number of a request within one entry instance.
using RequestId = std::uint64_t;

} // namespace Acaciarail

template<typename Tag>
struct std::hash<Acaciarail::Name<Tag>>
{
    auto operator()(const Acaciarail::Name<Tag> &name) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(name.str());
    }
};
