#include <acaciarail/scheduling/job_command.h>

#include <array>

namespace Acaciarail::Scheduling {

namespace {

constexpr std::array<std::string_view, 6> stopReasonNames{"reclaimed", "preempted",   "reservation-due",
                                                          "cancelled", "worker-lost", "organisation-removed"};

} // namespace

auto stopReasonName(StopReason reason) noexcept -> std::string_view
{
    return stopReasonNames.at(static_cast<std::size_t>(reason));
}

} // namespace Acaciarail::Scheduling
