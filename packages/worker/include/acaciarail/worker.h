#pragma once

#include <acaciarail/worker/messages.h>
