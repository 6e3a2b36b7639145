#include <acaciarail/operator/fault.h>

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

} // namespace Acaciarail::Operator
