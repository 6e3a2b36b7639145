#include <acaciarail/operator/fault.h>

#include <nlohmann/json.hpp>

namespace Acaciarail::Operator {

auto faultText(const Fault &fault) -> std::string
{
    std::string text = fault.file;
    if (fault.line > 0) {
        text += ':' + std::to_string(fault.line);
    }
    if (fault.line > 0 && fault.column > 0) {
        text += ':' + std::to_string(fault.column);
    }
    return text + ": expected " + fault.expected + ", found " + fault.found;
}

auto faultsToJson(std::span<const Fault> faults) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &it : faults) {
        list.push_back({{"file", it.file}, {"line", it.line}, {"column", it.column}, {"expected", it.expected}, {"found", it.found}});
    }
    return list;
}

} // namespace Acaciarail::Operator
