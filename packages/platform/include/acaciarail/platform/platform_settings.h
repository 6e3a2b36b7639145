#pragma once

#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>
#include <acaciarail/runtime/socket_address.h>

#include <cstddef>

/// Clients of the platform's append-only log and of its list of instances.
namespace Acaciarail::Platform {

struct PlatformSettings
{
    Runtime::SocketAddress address;
    /// Zone of this process, sent as the header `Acaciarail-Zone`.
    ZoneName zone;
    /// Timeout of a whole request; for a read, ReadRequest::wait is added.
    Duration requestTimeout = 3s;
    /// A larger response fails with Error::TooLarge.
    std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;
};

} // namespace Acaciarail::Platform
