#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Operator::Detail {

using Json = nlohmann::json;

/// Reads typed fields of a JSON object that came from outside, and keeps the first fault.
class JsonReader
{
public:
    /// \pre json outlives the reader.
    explicit JsonReader(const nlohmann::json &json);

    /// Empty when the field is missing or not a string, which is a fault.
    [[nodiscard]] auto text(const char *key) -> std::string;
    [[nodiscard]] auto integer(const char *key) -> std::uint64_t;
    [[nodiscard]] auto boolean(const char *key) -> bool;
    /// Elements that are not strings are faults.
    [[nodiscard]] auto texts(const char *key) -> std::vector<std::string>;
    /// Returns the element or a null pointer with a fault.
    [[nodiscard]] auto array(const char *key) -> const nlohmann::json *;
    [[nodiscard]] auto object(const char *key) -> const nlohmann::json *;

    /// True when the field is there and not null.
    [[nodiscard]] auto has(const char *key) const -> bool;

    /// Adds a fault unless there is one already.
    auto fault(std::string_view key, std::string_view expected, std::string_view found) -> void;

    /// Keeps the fault of a reader of a part of this object.
    auto merge(const JsonReader &part) -> void;

    /// The first fault as a sentence; empty when there is none.
    [[nodiscard]] auto faultText() const noexcept -> const std::string &
    {
        return m_fault;
    }

private:
    [[nodiscard]] auto find(const char *key) -> const nlohmann::json *;

    const nlohmann::json &m_json;
    std::string m_fault;
};

/// Returns compact JSON; invalid UTF-8 is replaced, so that writing never throws.
[[nodiscard]] auto jsonText(const nlohmann::json &json) -> std::string;

/// Returns indented JSON, in the same way.
[[nodiscard]] auto jsonPage(const nlohmann::json &json) -> std::string;

/// Parses text of bounded nesting; empty for anything that is not JSON. Never throws.
[[nodiscard]] auto parseJson(std::string_view text) -> std::optional<nlohmann::json>;

} // namespace Acaciarail::Operator::Detail
