#pragma once

#include <acaciarail/core/logging.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/time.h>
#include <acaciarail/operator/fault.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Operator {

/// Bounds on what one instance keeps in memory.
struct InstanceLimits
{
    std::uint32_t maxCallerConnections = 1024;
    /// Received bytes that all connections of callers together buffer.
    std::uint32_t maxCallerBufferBytes = 16 * 1024 * 1024;
    std::uint32_t maxBodyBytes = 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /// Requests that wait for an endpoint at once.
    std::uint32_t maxQueuedRequests = 2048;
    /// Spans in the ring buffer of traces.
    std::uint32_t maxTraceSpans = 8192;
    /// Connections to one endpoint.
    std::uint32_t maxEndpointConnections = 8;
};

struct InstanceTimeouts
{
    /// Deadline of a request that states none.
    Duration defaultDeadline = std::chrono::seconds(30);
    /// Longest deadline that a request may state; a longer one is shortened to it.
    Duration maxDeadline = std::chrono::seconds(60);
    /// Time without a byte after which a connection with requests in progress is closed; longer than logReadWait, during which the
    /// platform sends nothing.
    Duration progressTimeout = std::chrono::seconds(10);
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Time without a request after which a caller's connection is closed.
    Duration callerIdleTimeout = std::chrono::seconds(60);
    /// From the first byte of a request to the end of its headers.
    Duration callerHeaderTimeout = std::chrono::seconds(5);
    /// From the end of the headers to the end of the body.
    Duration callerBodyTimeout = std::chrono::seconds(15);
    /// Without a byte of a response being taken.
    Duration callerUnreadTimeout = std::chrono::seconds(10);
    Duration logAppendTimeout = std::chrono::seconds(2);
    /// Time that the platform may hold an empty log read open.
    Duration logReadWait = std::chrono::milliseconds(500);
    Duration instanceListInterval = std::chrono::seconds(1);
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// Longest graceful shutdown; at least maxDeadline, so that it interrupts no request in progress.
    Duration shutdownGrace = std::chrono::seconds(70);
};

/// Settings of one entry instance.
struct InstanceSettings
{
    InstanceName name;
    RegionName region;
    ZoneName zone;
    /// `ADDRESS:PORT`; port 0 lets the kernel choose.
    std::string callerListenAddress = "127.0.0.1:0";
    /// `ADDRESS:PORT`; port 0 lets the kernel choose.
    std::string peerListenAddress = "127.0.0.1:0";
    /// `ADDRESS:PORT` of the platform.
    std::string platformAddress;
    /// `ADDRESS:PORT` under which peers reach the peer listener; empty for the address that it is bound to.
    std::string advertisedAddress;
    /// Operator token that is valid until the first configuration is published; empty for none.
    std::string bootstrapOperatorTokenSha256;
    LogLevel logLevel = LogLevel::Info;
    InstanceLimits limits;
    InstanceTimeouts timeouts;
};

/// One key of the settings, for help texts and for the declaration of flags.
struct SettingKey
{
    std::string_view key;
    /// `ms`, `bytes`, `count` or `text`.
    std::string_view unit;
    std::string_view description;
};

/// A value from the command line, which takes precedence over the file.
struct SettingOverride
{
    std::string key;
    std::string value;
};

struct ParsedSettings
{
    InstanceSettings settings;
    std::vector<Fault> faults;
};

/// Returns every key in the order of the example file. Flags have the same names as keys. \pre none. Thread-safe.
[[nodiscard]] auto settingKeys() -> std::span<const SettingKey>;

/// Parses and checks settings. \a overrides replace the values of \a text; faults in them name `--KEY` as their file.
/// The settings are valid only when there are no faults. Never throws on any input. \pre none. Thread-safe.
[[nodiscard]] auto parseSettings(std::string_view file, std::string_view text, std::span<const SettingOverride> overrides = {})
    -> ParsedSettings;

/// Reads \a file and parses it; a file that cannot be read is a fault. An empty path stands for an empty file. \pre none. Thread-safe.
[[nodiscard]] auto loadSettings(const std::string &file, std::span<const SettingOverride> overrides = {}) -> ParsedSettings;

} // namespace Acaciarail::Operator
