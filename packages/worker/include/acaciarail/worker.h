#pragma once

#include <acaciarail/worker/messages.h>
#include <acaciarail/worker/worker_links.h>
