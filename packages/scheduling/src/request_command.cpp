#include <acaciarail/scheduling/request_command.h>

namespace Acaciarail::Scheduling {

auto attemptResultName(AttemptResultKind kind) noexcept -> std::string_view
{
    switch (kind) {
    case AttemptResultKind::Answered:
        return "answered";
    case AttemptResultKind::Busy:
        return "busy";
    case AttemptResultKind::Leaving:
        return "leaving";
    case AttemptResultKind::Failed:
        return "failed";
    case AttemptResultKind::ConnectFailed:
        return "connect-failed";
    case AttemptResultKind::TimedOut:
        break;
    }
    return "timed-out";
}

} // namespace Acaciarail::Scheduling
