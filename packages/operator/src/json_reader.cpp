#include "json_reader.h"

#include "printable.h"

#include <algorithm>
#include <exception>

namespace Acaciarail::Operator::Detail {

namespace {

constexpr int maxJsonDepth = 64;

auto describe(const nlohmann::json &json) -> std::string
{
    return json.is_structured() ? std::string(json.type_name()) : printable(jsonText(json));
}

} // namespace

JsonReader::JsonReader(const nlohmann::json &json)
    : m_json(json)
{
    if (!json.is_object()) {
        m_fault = "expected a JSON object, found " + describe(json);
    }
}

auto JsonReader::find(const char *key) -> const nlohmann::json *
{
    if (!m_json.is_object()) {
        return nullptr;
    }
    const auto it = m_json.find(key);
    if (it == m_json.end()) {
        fault(key, "a value", "no such field");
        return nullptr;
    }
    return &*it;
}

auto JsonReader::text(const char *key) -> std::string
{
    const auto *value = find(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        fault(key, "a string", describe(*value));
        return {};
    }
    return value->get<std::string>();
}

auto JsonReader::integer(const char *key) -> std::uint64_t
{
    const auto *value = find(key);
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_number_unsigned() && !(value->is_number_integer() && value->get<std::int64_t>() >= 0)) {
        fault(key, "an integer that is not negative", describe(*value));
        return 0;
    }
    return value->get<std::uint64_t>();
}

auto JsonReader::boolean(const char *key) -> bool
{
    const auto *value = find(key);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        fault(key, "true or false", describe(*value));
        return false;
    }
    return value->get<bool>();
}

auto JsonReader::texts(const char *key) -> std::vector<std::string>
{
    std::vector<std::string> result;
    const auto *value = array(key);
    if (value == nullptr) {
        return result;
    }
    for (const auto &it : *value) {
        if (!it.is_string()) {
            fault(key, "strings only", describe(it));
            return {};
        }
        result.push_back(it.get<std::string>());
    }
    return result;
}

auto JsonReader::array(const char *key) -> const nlohmann::json *
{
    const auto *value = find(key);
    if (value != nullptr && !value->is_array()) {
        fault(key, "an array", describe(*value));
        return nullptr;
    }
    return value;
}

auto JsonReader::object(const char *key) -> const nlohmann::json *
{
    const auto *value = find(key);
    if (value != nullptr && !value->is_object()) {
        fault(key, "an object", describe(*value));
        return nullptr;
    }
    return value;
}

auto JsonReader::has(const char *key) const -> bool
{
    return m_json.is_object() && m_json.contains(key) && !m_json.find(key)->is_null();
}

auto JsonReader::fault(std::string_view key, std::string_view expected, std::string_view found) -> void
{
    if (m_fault.empty()) {
        m_fault = "field " + quotedText(key) + ": expected " + std::string(expected) + ", found " + std::string(found);
    }
}

auto JsonReader::merge(const JsonReader &part) -> void
{
    if (m_fault.empty()) {
        m_fault = part.m_fault;
    }
}

auto jsonText(const nlohmann::json &json) -> std::string
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto jsonPage(const nlohmann::json &json) -> std::string
{
    return json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto parseJson(std::string_view text) -> std::optional<nlohmann::json>
{
    try {
        bool isTooDeep = false;
        const auto limitDepth = [&isTooDeep](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
            isTooDeep = isTooDeep || depth > maxJsonDepth;
            return !isTooDeep;
        };
        auto json = nlohmann::json::parse(text, limitDepth, false);
        if (json.is_discarded() || isTooDeep) {
            return std::nullopt;
        }
        return json;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Acaciarail::Operator::Detail
