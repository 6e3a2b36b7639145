#pragma once

#include <acaciarail/platform/platform_settings.h>
#include <acaciarail/runtime/http_client.h>

namespace Acaciarail::Platform::Detail {

/// Returns the settings of an HTTP client for the platform. \pre none. Thread-safe.
[[nodiscard]] inline auto httpSettings(const PlatformSettings &settings) -> Runtime::HttpClientSettings
{
    Runtime::HttpClientSettings out;
    out.address = settings.address;
    if (!settings.zone.empty()) {
        out.headers.emplace_back("Acaciarail-Zone", settings.zone.str());
    }
    out.contentType = "application/msgpack";
    out.maxResponseBytes = settings.maxResponseBytes;
    return out;
}

} // namespace Acaciarail::Platform::Detail
