#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/shape.h>

#include <cstdint>
#include <string>

namespace Acaciarail {

/// Location, capacity and address of a worker.
struct WorkerInfo
{
    WorkerName name;
    RegionName region;
    ZoneName zone;
    RackName rack;
    /// Racks whose positions differ by one are neighbours.
    std::uint32_t rackPosition = 0;
    Resources capacity;
    /// `ADDRESS:PORT`.
    std::string address;

    friend auto operator==(const WorkerInfo &, const WorkerInfo &) noexcept -> bool = default;
};

/// A worker and whether the platform says that it is leaving.
struct ListedWorker
{
    WorkerInfo info;
    bool leaving = false;

    friend auto operator==(const ListedWorker &, const ListedWorker &) noexcept -> bool = default;
};

/// An endpoint of a service as the platform lists it.
struct EndpointInfo
{
    EndpointName name;
    ServiceName service;
    RegionName region;
    ZoneName zone;
    /// Requests that it works on at once.
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    bool leaving = false;
    /// `ADDRESS:PORT`.
    std::string address;

    friend auto operator==(const EndpointInfo &, const EndpointInfo &) noexcept -> bool = default;
};

/// Another entry instance as the platform lists it.
struct InstanceInfo
{
    InstanceName name;
    RegionName region;
    ZoneName zone;
    bool leaving = false;
    /// `ADDRESS:PORT` of its peer listener.
    std::string address;

    friend auto operator==(const InstanceInfo &, const InstanceInfo &) noexcept -> bool = default;
};

} // namespace Acaciarail
