#include "http_settings.h"

#include <acaciarail/core/error.h>
#include <acaciarail/platform/log_client.h>

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace Acaciarail::Platform {

namespace {

constexpr std::array<std::string_view, 3> appendStatusNames{"appended", "not-appended", "outcome-unknown"};
constexpr std::array<std::string_view, 3> readStatusNames{"ok", "not-retained", "failed"};

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusGone = 410;
constexpr int statusServerError = 500;
constexpr int statusUnavailable = 503;

/// The response to a read has three levels: an array with a list of records, which are arrays of scalars.
constexpr std::size_t maxReadDepth = 4;

auto encodeRecords(const std::vector<std::string> &records) -> std::string
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(static_cast<std::uint32_t>(records.size()));
    for (const auto &it : records) {
        out.pack_bin(static_cast<std::uint32_t>(it.size()));
        out.pack_bin_body(it.data(), static_cast<std::uint32_t>(it.size()));
    }
    return {buf.data(), buf.size()};
}

auto unsignedField(const nlohmann::json &json, const char *name) -> std::optional<std::uint64_t>
{
    const auto it = json.find(name);
    if (it == json.end() || !it->is_number_unsigned()) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

auto unknownOutcome(std::error_code error, std::string detail) -> AppendResult
{
    return {AppendStatus::OutcomeUnknown, error, std::move(detail), 0, 0};
}

auto notAppended(std::error_code error, std::string detail) -> AppendResult
{
    return {AppendStatus::NotAppended, error, std::move(detail), 0, 0};
}

auto failedRead(std::error_code error, std::string detail) -> ReadResult
{
    return {ReadStatus::Failed, error, std::move(detail), 0, 0, {}};
}

/// Returns whether a response with this status guarantees that the request had no effect. 500, 502 and 504 do not, because a
/// gateway may send them.
auto guaranteesNoEffect(int status) -> bool
{
    return status == statusUnavailable || (status >= statusBadRequest && status < statusServerError && status != statusRequestTimeout);
}

auto toAppendResult(const Runtime::HttpResult &http, std::size_t count) -> AppendResult
{
    if (http.error && !http.maybeSent) {
        return notAppended(Error::LogUnavailable, "append: expected a connection to the log, found " + http.error.message());
    }
    if (http.error) {
        return unknownOutcome(http.error, "append: expected an answer, found " + http.error.message());
    }
    if (http.status == statusOk) {
        return parseAppendResponse(http.body, count);
    }
    auto detail = "append: expected status 200, found " + std::to_string(http.status);
    return guaranteesNoEffect(http.status) ? notAppended(Error::LogUnavailable, std::move(detail))
                                           : unknownOutcome(Error::LogUnavailable, std::move(detail));
}

auto toNotRetainedResult(const std::string &body) -> ReadResult
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto earliest = json.is_object() ? unsignedField(json, "earliest") : std::nullopt;
    if (!earliest) {
        return failedRead(Error::MalformedInput, "read: expected {\"earliest\":N} with status 410, found other content");
    }
    return {ReadStatus::NotRetained, {}, "read: the requested offset is no longer retained", *earliest, 0, {}};
}

auto toReadResult(const Runtime::HttpResult &http, LogOffset from) -> ReadResult
{
    if (http.error) {
        return failedRead(http.maybeSent ? http.error : make_error_code(Error::LogUnavailable),
                          "read: expected an answer, found " + http.error.message());
    }
    if (http.status == statusOk) {
        return parseReadResponse(http.body, from);
    }
    if (http.status == statusGone) {
        return toNotRetainedResult(http.body);
    }
    return failedRead(Error::LogUnavailable, "read: expected status 200 or 410, found " + std::to_string(http.status));
}

auto convertEntries(const msgpack::object &list, ReadResult &result, LogOffset from) -> bool
{
    if (list.type != msgpack::type::ARRAY) {
        return false;
    }
    auto expected = from;
    for (std::uint32_t i = 0; i < list.via.array.size; ++i) {
        const auto &pair = list.via.array.ptr[i];
        if (pair.type != msgpack::type::ARRAY || pair.via.array.size < 2) {
            return false;
        }
        LogEntry entry{pair.via.array.ptr[0].as<LogOffset>(), pair.via.array.ptr[1].as<std::string>()};
        if (entry.offset != expected || entry.offset >= result.next) {
            return false;
        }
        ++expected;
        result.entries.push_back(std::move(entry));
    }
    return true;
}

auto convertRead(const msgpack::object &root, LogOffset from) -> std::optional<ReadResult>
{
    if (root.type != msgpack::type::ARRAY || root.via.array.size < 3) {
        return std::nullopt;
    }
    ReadResult result{ReadStatus::Ok, {}, {}, root.via.array.ptr[0].as<LogOffset>(), root.via.array.ptr[1].as<LogOffset>(), {}};
    if (result.earliest > result.next || !convertEntries(root.via.array.ptr[2], result, from)) {
        return std::nullopt;
    }
    return result;
}

} // namespace

auto appendStatusName(AppendStatus status) noexcept -> std::string_view
{
    return appendStatusNames.at(static_cast<std::size_t>(status));
}

auto readStatusName(ReadStatus status) noexcept -> std::string_view
{
    return readStatusNames.at(static_cast<std::size_t>(status));
}

auto parseAppendResponse(std::string_view body, std::size_t count) -> AppendResult
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto first = json.is_object() ? unsignedField(json, "first") : std::nullopt;
    const auto next = json.is_object() ? unsignedField(json, "next") : std::nullopt;
    if (!first || !next) {
        return unknownOutcome(Error::MalformedInput, "append: expected {\"first\":N,\"next\":M}, found other content");
    }
    if (*next < *first || *next - *first != count) {
        return unknownOutcome(Error::MalformedInput,
                              "append: expected an answer for " + std::to_string(count) + " records, found first " + std::to_string(*first)
                                  + " and next " + std::to_string(*next));
    }
    return {AppendStatus::Appended, {}, {}, *first, *next};
}

auto parseReadResponse(std::string_view body, LogOffset from) -> ReadResult
{
    try {
        // Each declared element takes at least one byte, so the size of the body is a sufficient limit.
        const auto size = body.size();
        const msgpack::unpack_limit limit(size, 0, size, size, 0, maxReadDepth);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(body.data(), size, offset, nullptr, nullptr, limit);
        if (offset == size) {
            if (auto result = convertRead(handle.get(), from)) {
                return std::move(*result);
            }
        }
    } catch (const msgpack::unpack_error &) {
        // Reported below.
    } catch (const msgpack::type_error &) {
        // Reported below.
    }
    return failedRead(Error::MalformedInput,
                      "read: expected [earliest, next, records] with consecutive offsets from " + std::to_string(from)
                          + " on, found other content");
}

struct LogClient::State
{
    State(Runtime::EventLoop &loop, const PlatformSettings &s)
        : settings(s)
        , http(loop, Detail::httpSettings(s))
    {
    }
    PlatformSettings settings;
    Runtime::HttpClient http;
};

LogClient::LogClient(Runtime::EventLoop &loop, const PlatformSettings &settings)
    : m_state(std::make_unique<State>(loop, settings))
{
}

LogClient::~LogClient() = default;

auto LogClient::append(const std::vector<std::string> &records, std::function<void(AppendResult)> done) -> void
{
    m_state->http.start(
        {"/v1/log/append", encodeRecords(records), m_state->settings.requestTimeout},
        [count = records.size(), hook = std::move(done)](const Runtime::HttpResult &http) { hook(toAppendResult(http, count)); });
}

auto LogClient::read(const ReadRequest &request, std::function<void(ReadResult)> done) -> void
{
    const auto wait = std::max(request.wait, Duration::zero());
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto target = "/v1/log/read?from=" + std::to_string(request.from) + "&max=" + std::to_string(request.maxRecords)
        + "&wait_ms=" + std::to_string(waitMs);
    m_state->http.start({std::move(target), std::nullopt, m_state->settings.requestTimeout + wait},
                        [from = request.from, hook = std::move(done)](const Runtime::HttpResult &http) { hook(toReadResult(http, from)); });
}

} // namespace Acaciarail::Platform
