#pragma once

#include <acaciarail/scheduling/guarantee.h>
#include <acaciarail/scheduling/request_router.h>
#include <acaciarail/scheduling/zone_scheduler.h>
