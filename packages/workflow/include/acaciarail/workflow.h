#pragma once

#include <acaciarail/workflow/configuration.h>
#include <acaciarail/workflow/dispatcher.h>
#include <acaciarail/workflow/job.h>
#include <acaciarail/workflow/placement.h>
#include <acaciarail/workflow/records.h>
#include <acaciarail/workflow/start_trace.h>
#include <acaciarail/workflow/worker.h>
