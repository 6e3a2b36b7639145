#pragma once

#include <acaciarail/telemetry/metrics.h>
#include <acaciarail/telemetry/span.h>
#include <acaciarail/telemetry/trace_buffer.h>
