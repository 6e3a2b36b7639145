#pragma once

#include <acaciarail/runtime/event_timer.h>

namespace Acaciarail::Endpoint::Detail {

using Timer = Runtime::EventTimer;

} // namespace Acaciarail::Endpoint::Detail
