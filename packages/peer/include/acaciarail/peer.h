#pragma once

#include <acaciarail/peer/messages.h>
