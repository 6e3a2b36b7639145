#include "http_settings.h"

#include <acaciarail/platform/instance_list_client.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>

namespace Acaciarail::Platform {

namespace {

constexpr int statusOk = 200;
constexpr std::size_t maxTextBytes = 256;

/// Reads the fields of one entry and records the first fault.
class EntryReader
{
public:
    EntryReader(const nlohmann::json &entry, std::size_t index)
        : m_entry(entry)
        , m_entryLabel("instance list entry " + std::to_string(index))
    {
    }

    auto text(const char *field) -> std::string
    {
        const auto it = m_entry.find(field);
        if (it == m_entry.end() || !it->is_string()) {
            recordFault(field, "text", it == m_entry.end() ? "nothing" : it->type_name());
            return {};
        }
        const auto &value = it->get_ref<const std::string &>();
        if (value.empty() || value.size() > maxTextBytes) {
            recordFault(field, "text of 1 to 256 bytes", std::to_string(value.size()) + " bytes");
            return {};
        }
        return value;
    }

    auto number(const char *field, std::uint32_t minimum = 0) -> std::uint32_t
    {
        const auto it = m_entry.find(field);
        if (it == m_entry.end() || !it->is_number_unsigned()) {
            recordFault(field, "a whole number", it == m_entry.end() ? "nothing" : it->type_name());
            return 0;
        }
        const auto value = it->get<std::uint64_t>();
        if (value < minimum || value > std::numeric_limits<std::uint32_t>::max()) {
            recordFault(field, "a number from " + std::to_string(minimum) + " to 4294967295", std::to_string(value));
            return 0;
        }
        return static_cast<std::uint32_t>(value);
    }

    auto address() -> std::string
    {
        auto value = text("address");
        const auto parsed = Runtime::parseSocketAddress(value);
        if (!parsed || parsed->port == 0) {
            recordFault("address", "HOST:PORT with a numeric host", value);
        }
        return value;
    }

    auto leaving() -> bool
    {
        const auto value = text("state");
        if (value != "live" && value != "leaving") {
            recordFault("state", "live or leaving", value);
        }
        return value == "leaving";
    }

    auto recordFault(const std::string &field, const std::string &expected, const std::string &found) -> void
    {
        if (!m_failure) {
            m_failure = Failure{Error::MalformedInput, Execution::NotRun,
                                m_entryLabel + ": " + field + ": expected " + expected + ", found " + found};
        }
    }

    [[nodiscard]] auto failure() const -> const std::optional<Failure> &
    {
        return m_failure;
    }

private:
    const nlohmann::json &m_entry;
    std::string m_entryLabel;
    std::optional<Failure> m_failure;
};

auto readInstance(EntryReader &reader) -> InstanceInfo
{
    InstanceInfo out;
    out.name = InstanceName(reader.text("name"));
    out.region = RegionName(reader.text("region"));
    out.zone = ZoneName(reader.text("zone"));
    out.leaving = reader.leaving();
    out.address = reader.address();
    return out;
}

auto readWorker(EntryReader &reader) -> ListedWorker
{
    ListedWorker out;
    out.info.name = WorkerName(reader.text("name"));
    out.info.region = RegionName(reader.text("region"));
    out.info.zone = ZoneName(reader.text("zone"));
    out.info.rack = RackName(reader.text("rack"));
    out.info.rackPosition = reader.number("rack_position");
    out.info.capacity = {reader.number("accelerators"), reader.number("cores"), reader.number("memory_mib")};
    out.info.address = reader.address();
    out.leaving = reader.leaving();
    return out;
}

auto readEndpoint(EntryReader &reader) -> EndpointInfo
{
    EndpointInfo out;
    out.name = EndpointName(reader.text("name"));
    out.service = ServiceName(reader.text("service"));
    out.region = RegionName(reader.text("region"));
    out.zone = ZoneName(reader.text("zone"));
    out.slots = reader.number("slots", 1);
    out.connections = reader.number("connections", 1);
    out.leaving = reader.leaving();
    out.address = reader.address();
    return out;
}

/// Appends \a value, or the fault of its entry to \a faults.
template<typename T>
auto appendValid(std::vector<T> &list, T value, const EntryReader &reader, std::vector<Failure> &faults) -> void
{
    if (reader.failure()) {
        faults.push_back(*reader.failure());
        return;
    }
    list.push_back(std::move(value));
}

auto readEntry(const nlohmann::json &entry, std::size_t index, InstanceList &list, std::set<std::string> &names) -> void
{
    EntryReader reader(entry, index);
    if (!entry.is_object()) {
        reader.recordFault("entry", "an object", entry.type_name());
        list.faults.push_back(*reader.failure());
        return;
    }
    const auto kind = reader.text("kind");
    const auto name = reader.text("name");
    if (!name.empty() && !names.insert(name).second) {
        reader.recordFault("name", "a unique name", name);
    }
    if (kind == "entry") {
        appendValid(list.instances, readInstance(reader), reader, list.faults);
    } else if (kind == "worker") {
        appendValid(list.workers, readWorker(reader), reader, list.faults);
    } else if (kind == "endpoint") {
        appendValid(list.endpoints, readEndpoint(reader), reader, list.faults);
    } else if (reader.failure()) {
        list.faults.push_back(*reader.failure());
    }
}

auto failedList(Error error, std::string detail) -> InstanceListResult
{
    return {std::nullopt, {error, Execution::Unknown, std::move(detail)}};
}

auto toListResult(const Runtime::HttpResult &http) -> InstanceListResult
{
    if (http.error) {
        return failedList(static_cast<Error>(http.error.value()), "instance list: expected an answer, found " + http.error.message());
    }
    if (http.status != statusOk) {
        return failedList(Error::EndpointFailed, "instance list: expected status 200, found " + std::to_string(http.status));
    }
    return parseInstanceList(http.body);
}

} // namespace

auto parseInstanceList(std::string_view json) -> InstanceListResult
{
    const auto root = nlohmann::json::parse(json, nullptr, false);
    if (!root.is_array()) {
        return failedList(Error::MalformedInput,
                          std::string("instance list: expected a JSON array, found ")
                              + (root.is_discarded() ? "text that is not JSON" : root.type_name()));
    }
    InstanceList list;
    std::set<std::string> names;
    std::size_t index = 0;
    for (const auto &entry : root) {
        readEntry(entry, index, list, names);
        ++index;
    }
    return {std::move(list), {}};
}

struct InstanceListClient::State
{
    State(Runtime::EventLoop &loop, const PlatformSettings &s)
        : timeout(s.requestTimeout)
        , http(loop, Detail::httpSettings(s))
    {
    }
    Duration timeout;
    Runtime::HttpClient http;
};

InstanceListClient::InstanceListClient(Runtime::EventLoop &loop, const PlatformSettings &settings)
    : m_state(std::make_unique<State>(loop, settings))
{
}

InstanceListClient::~InstanceListClient() = default;

auto InstanceListClient::fetch(std::function<void(InstanceListResult)> done) -> void
{
    m_state->http.start({"/v1/instances", std::nullopt, m_state->timeout},
                        [hook = std::move(done)](const Runtime::HttpResult &http) { hook(toListResult(http)); });
}

} // namespace Acaciarail::Platform
