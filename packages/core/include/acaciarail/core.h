#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/logging.h>
#include <acaciarail/core/time.h>
