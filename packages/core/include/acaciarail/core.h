#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/job.h>
#include <acaciarail/core/log_entry.h>
#include <acaciarail/core/logging.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/policy.h>
#include <acaciarail/core/shape.h>
#include <acaciarail/core/term.h>
#include <acaciarail/core/time.h>
