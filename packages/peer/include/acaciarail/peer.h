#pragma once

#include <acaciarail/peer/messages.h>
#include <acaciarail/peer/peer_links.h>
