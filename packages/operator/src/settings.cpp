#include <acaciarail/operator/settings.h>

#include <acaciarail/operator/nearest_key.h>

#include "fault_sink.h"
#include "printable.h"
#include "table_reader.h"
#include "toml_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <variant>

namespace Acaciarail::Operator {

namespace {

using Detail::FaultSink;
using Detail::IntegerRange;
using Detail::Presence;
using Detail::TableReader;

constexpr std::size_t maxSettingsBytes = std::size_t{64} * 1024;

constexpr IntegerRange timeoutRange{1, 3'600'000};
constexpr IntegerRange connectionRange{1, 65'536};
constexpr IntegerRange bodyRange{1024, std::uint64_t{16} * 1024 * 1024};
constexpr IntegerRange bufferRange{std::uint64_t{64} * 1024, std::uint64_t{1024} * 1024 * 1024};
constexpr IntegerRange headerRange{1024, std::uint64_t{1024} * 1024};
constexpr IntegerRange queueRange{1, 1'000'000};
constexpr IntegerRange spanRange{16, 1'000'000};
// A heartbeat interval outside these bounds either misses the takeover times or exceeds the control budget of 4 KB/s.
constexpr IntegerRange heartbeatRange{50, 5'000};

struct TextSetting
{
    Detail::TextCheck check;
    void (*apply)(InstanceSettings &settings, const std::string &value);
};

struct IntegerSetting
{
    IntegerRange range;
    void (*apply)(InstanceSettings &settings, std::uint64_t value);
};

struct Setting
{
    SettingKey key;
    Presence presence;
    std::variant<TextSetting, IntegerSetting> value;
};

auto parsePort(std::string_view text) noexcept -> std::optional<std::uint16_t>
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    return ec == std::errc{} && end == text.data() + text.size() && !text.empty() ? std::optional(port) : std::nullopt;
}

auto isHost(std::string_view host) noexcept -> bool
{
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto isAllowed = [isBracketed](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '-'
            || (isBracketed && c == ':');
    };
    return !host.empty() && std::all_of(host.begin(), host.end(), isAllowed);
}

auto checkListenAddress(std::string_view text) -> std::optional<std::string>
{
    const auto colon = text.rfind(':');
    if (colon != std::string_view::npos && isHost(text.substr(0, colon)) && parsePort(text.substr(colon + 1))) {
        return std::nullopt;
    }
    return "ADDRESS:PORT with a port from 0 to 65535";
}

auto checkRemoteAddress(std::string_view text) -> std::optional<std::string>
{
    const auto colon = text.rfind(':');
    if (!checkListenAddress(text) && parsePort(text.substr(colon + 1)) != 0) {
        return std::nullopt;
    }
    return "ADDRESS:PORT with a port from 1 to 65535";
}

auto parseLogLevel(std::string_view text) noexcept -> std::optional<LogLevel>
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    const auto it = std::find(names.begin(), names.end(), text);
    return it == names.end() ? std::nullopt : std::optional(static_cast<LogLevel>(it - names.begin()));
}

auto checkLogLevel(std::string_view text) -> std::optional<std::string>
{
    if (parseLogLevel(text)) {
        return std::nullopt;
    }
    return "`debug`, `info`, `warning` or `error`";
}

auto setLogLevel(InstanceSettings &settings, const std::string &value) -> void
{
    settings.logLevel = parseLogLevel(value).value_or(settings.logLevel);
}

template<auto member>
auto setText(InstanceSettings &settings, const std::string &value) -> void
{
    using Target = std::remove_reference_t<decltype(settings.*member)>;
    settings.*member = Target(value);
}

template<auto member>
auto setLimit(InstanceSettings &settings, std::uint64_t value) -> void
{
    settings.limits.*member = static_cast<std::uint32_t>(value);
}

template<auto member>
auto setTimeout(InstanceSettings &settings, std::uint64_t value) -> void
{
    settings.timeouts.*member = std::chrono::milliseconds(value);
}

using S = InstanceSettings;
using L = InstanceLimits;
using T = InstanceTimeouts;

template<auto member>
constexpr auto text(std::string_view key, Presence presence, Detail::TextCheck check, std::string_view description) -> Setting
{
    return {{key, "text", description}, presence, TextSetting{check, setText<member>}};
}

template<auto member>
constexpr auto limit(std::string_view key, std::string_view unit, IntegerRange range, std::string_view description) -> Setting
{
    return {{key, unit, description}, Presence::Optional, IntegerSetting{range, setLimit<member>}};
}

template<auto member>
constexpr auto timeout(std::string_view key, std::string_view description, IntegerRange range = timeoutRange) -> Setting
{
    return {{key, "ms", description}, Presence::Optional, IntegerSetting{range, setTimeout<member>}};
}

constexpr std::array settingTable{
    text<&S::name>("name", Presence::Required, Detail::checkName, "Name of the instance, unique in the deployment."),
    text<&S::region>("region", Presence::Required, Detail::checkName, "Region of the instance."),
    text<&S::zone>("zone", Presence::Required, Detail::checkName, "Availability zone of the instance."),
    text<&S::callerListenAddress>("listen_callers", Presence::Optional, checkListenAddress,
                                  "ADDRESS:PORT that callers and operators connect to; port 0 lets the kernel choose."),
    text<&S::peerListenAddress>("listen_peers", Presence::Optional, checkListenAddress,
                                "ADDRESS:PORT that other instances connect to; port 0 lets the kernel choose."),
    text<&S::platformAddress>("platform_address", Presence::Required, checkRemoteAddress, "ADDRESS:PORT of the platform."),
    text<&S::advertisedAddress>("advertised_address", Presence::Optional, checkRemoteAddress,
                                "ADDRESS:PORT under which other instances reach listen_peers; the bound address when it is left out."),
    text<&S::bootstrapOperatorTokenSha256>("bootstrap_operator_token_sha256", Presence::Optional, Detail::checkSha256,
                                           "SHA-256 of an operator token that is valid until the first configuration is published."),
    Setting{{"log_level", "text", "Lowest level that is logged: debug, info, warning or error."},
            Presence::Optional,
            TextSetting{checkLogLevel, setLogLevel}},

    limit<&L::maxCallerConnections>("max_caller_connections", "count", connectionRange, "Connections of callers at once."),
    limit<&L::maxCallerBufferBytes>("max_caller_buffer_bytes", "bytes", bufferRange,
                                    "Received bytes that all connections of callers together buffer."),
    limit<&L::maxBodyBytes>("max_body_bytes", "bytes", bodyRange, "Largest body of a request or response."),
    limit<&L::maxHeaderBytes>("max_header_bytes", "bytes", headerRange, "Largest header of a request or response."),
    limit<&L::maxQueuedRequests>("max_queued_requests", "count", queueRange, "Requests that wait for an endpoint at once."),
    limit<&L::maxTraceSpans>("max_trace_spans", "count", spanRange, "Spans kept in memory for `acaciarail trace`."),
    limit<&L::maxEndpointConnections>("max_endpoint_connections", "count", connectionRange, "Connections to one endpoint."),

    timeout<&T::defaultDeadline>("default_deadline_ms", "Deadline of a request that states none."),
    timeout<&T::maxDeadline>("max_deadline_ms", "Longest deadline of a request; a longer one is shortened to it."),
    timeout<&T::progressTimeout>("progress_timeout_ms",
                                 "Time without a byte after which a connection with requests in progress is closed."),
    timeout<&T::connectTimeout>("connect_timeout_ms", "Time for opening a connection."),
    timeout<&T::callerIdleTimeout>("caller_idle_timeout_ms", "Time without a request after which a caller's connection is closed."),
    timeout<&T::callerHeaderTimeout>("caller_header_timeout_ms", "Time for the headers of a caller's request."),
    timeout<&T::callerBodyTimeout>("caller_body_timeout_ms", "Time for the body of a caller's request, after its headers."),
    timeout<&T::callerUnreadTimeout>("caller_unread_timeout_ms", "Time without a byte of a response being taken by its caller."),
    timeout<&T::logAppendTimeout>("log_append_timeout_ms", "Time for one append to the platform's log."),
    timeout<&T::logReadWait>("log_read_wait_ms", "Time that the platform may hold a log read open that has no records yet."),
    timeout<&T::instanceListInterval>("instance_list_interval_ms", "Time between two reads of the platform's instance list."),
    timeout<&T::heartbeatInterval>("heartbeat_interval_ms", "Time between two heartbeats to a peer.", heartbeatRange),
    timeout<&T::shutdownGrace>("shutdown_grace_ms", "Longest graceful shutdown; at least max_deadline_ms."),
};

constexpr auto keyTable = [] {
    std::array<SettingKey, settingTable.size()> keys;
    std::transform(settingTable.begin(), settingTable.end(), keys.begin(), [](const Setting &it) { return it.key; });
    return keys;
}();

class SettingsReader
{
public:
    explicit SettingsReader(std::string_view file)
        : m_file(file.empty() ? "settings" : Detail::printable(file))
    {
    }

    auto readText(std::string_view text) -> void
    {
        FaultSink sink(m_file);
        const auto chunks = Detail::splitToml(text, sink);
        for (const auto &chunk : chunks) {
            if (const auto value = Detail::parseTomlChunk(chunk, sink)) {
                readChunk(*value, chunk.firstLine, sink);
            }
        }
        take(sink);
    }

    auto readOverride(const SettingOverride &flag) -> void
    {
        FaultSink sink("--" + Detail::printable(flag.key));
        const auto it = std::find_if(settingTable.begin(), settingTable.end(), [&flag](const Setting &s) { return s.key.key == flag.key; });
        if (it == settingTable.end()) {
            refuseFlag(flag, sink);
        } else {
            applyFlag(*it, flag, sink);
        }
        take(sink);
    }

    auto finish() -> ParsedSettings
    {
        FaultSink sink(m_file);
        for (std::size_t i = 0; i < settingTable.size(); ++i) {
            const auto &key = settingTable.at(i).key.key;
            if (settingTable.at(i).presence == Presence::Required && !m_isStated.at(i)) {
                sink.add({}, "the key " + Detail::quotedText(key) + " or the flag --" + std::string(key), "neither of them");
            }
        }
        const auto &timeouts = m_result.settings.timeouts;
        checkOrder(sink, {"default_deadline_ms", timeouts.defaultDeadline}, {"max_deadline_ms", timeouts.maxDeadline});
        checkOrder(sink, {"max_deadline_ms", timeouts.maxDeadline}, {"shutdown_grace_ms", timeouts.shutdownGrace});
        checkOrder(sink, {"log_read_wait_ms", timeouts.logReadWait}, {"progress_timeout_ms", timeouts.progressTimeout});
        take(sink);
        return std::move(m_result);
    }

private:
    auto take(FaultSink &sink) -> void
    {
        const auto faults = sink.take();
        m_result.faults.insert(m_result.faults.end(), faults.begin(), faults.end());
    }

    struct NamedTime
    {
        std::string_view key;
        Duration time;
    };

    static auto checkOrder(FaultSink &sink, NamedTime shorter, NamedTime longer) -> void
    {
        const auto milliseconds = [](Duration d) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
        };
        if (shorter.time > longer.time) {
            sink.add({}, std::string(shorter.key) + " of at most " + std::string(longer.key) + ", " + milliseconds(longer.time),
                     milliseconds(shorter.time));
        }
    }

    auto readChunk(const Detail::TomlValue &value, std::uint32_t firstLine, FaultSink &sink) -> void
    {
        TableReader reader(value, "the settings", firstLine, sink);
        for (std::size_t i = 0; i < settingTable.size(); ++i) {
            readSetting(i, reader);
        }
        reader.refuseUnknownKeys();
    }

    auto readSetting(std::size_t i, TableReader &reader) -> void
    {
        const auto &setting = settingTable.at(i);
        const auto faultsBefore = reader.faultCount();
        bool isRead = false;
        if (const auto *text = std::get_if<TextSetting>(&setting.value)) {
            if (const auto found = reader.text(setting.key.key, Presence::Optional, text->check)) {
                text->apply(m_result.settings, *found);
                isRead = true;
            }
        } else if (const auto *integer = std::get_if<IntegerSetting>(&setting.value)) {
            if (const auto found = reader.integer(setting.key.key, Presence::Optional, integer->range)) {
                integer->apply(m_result.settings, *found);
                isRead = true;
            }
        }
        // A value that was refused has a fault of its own and is not reported as missing too.
        m_isStated.at(i) = m_isStated.at(i) || isRead || reader.faultCount() != faultsBefore;
    }

    auto refuseFlag(const SettingOverride &flag, FaultSink &sink) const -> void
    {
        std::array<std::string_view, keyTable.size()> known;
        std::transform(keyTable.begin(), keyTable.end(), known.begin(), [](const SettingKey &it) { return it.key; });
        const auto nearest = nearestKey(flag.key, known);
        sink.add({}, "the flag of a setting; the nearest is --" + std::string(nearest.value_or("name")),
                 "the unknown flag --" + Detail::printable(flag.key));
    }

    auto applyFlag(const Setting &setting, const SettingOverride &flag, FaultSink &sink) -> void
    {
        m_isStated.at(static_cast<std::size_t>(&setting - settingTable.data())) = true;
        if (const auto *text = std::get_if<TextSetting>(&setting.value)) {
            if (const auto expected = text->check(flag.value)) {
                sink.add({}, *expected, Detail::quotedText(flag.value));
            } else {
                text->apply(m_result.settings, flag.value);
            }
            return;
        }
        const auto &integer = std::get<IntegerSetting>(setting.value);
        std::uint64_t value = 0;
        const char *end = flag.value.data() + flag.value.size();
        const auto [at, ec] = std::from_chars(flag.value.data(), end, value);
        if (ec != std::errc{} || at != end || value < integer.range.least || value > integer.range.most) {
            sink.add({}, "an integer from " + std::to_string(integer.range.least) + " to " + std::to_string(integer.range.most),
                     Detail::quotedText(flag.value));
            return;
        }
        integer.apply(m_result.settings, value);
    }

    std::string m_file;
    ParsedSettings m_result;
    std::array<bool, settingTable.size()> m_isStated{};
};

} // namespace

auto settingKeys() -> std::span<const SettingKey>
{
    return keyTable;
}

auto parseSettings(std::string_view file, std::string_view text, std::span<const SettingOverride> overrides) -> ParsedSettings
{
    if (text.size() > maxSettingsBytes) {
        return {{},
                {Fault{Detail::printable(file), 0, 0, "at most " + std::to_string(maxSettingsBytes) + " bytes",
                       std::to_string(text.size()) + " bytes"}}};
    }
    try {
        SettingsReader reader(file);
        reader.readText(text);
        for (const auto &it : overrides) {
            reader.readOverride(it);
        }
        return reader.finish();
    } catch (const std::exception &e) {
        return {{}, {Fault{Detail::printable(file), 0, 0, "readable settings", Detail::printable(e.what())}}};
    }
}

auto loadSettings(const std::string &file, std::span<const SettingOverride> overrides) -> ParsedSettings
{
    if (file.empty()) {
        return parseSettings(file, {}, overrides);
    }
    std::ifstream in(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in.is_open() || in.bad()) {
        return {{}, {Fault{Detail::printable(file), 0, 0, "a readable settings file", "no file that can be read"}}};
    }
    return parseSettings(file, text, overrides);
}

} // namespace Acaciarail::Operator
