#pragma once

#include "bench.h"

namespace Acaciarail::Bench {

/// Measures one decision of a holder whose pool is full, and adds rows for it. \pre none.
auto measureDispatch(const Options &options, Report &report) -> void;

} // namespace Acaciarail::Bench
