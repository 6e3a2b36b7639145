#pragma once

#include <acaciarail/state/holder_lease.h>
#include <acaciarail/state/membership.h>
#include <acaciarail/state/outbox.h>
#include <acaciarail/state/record.h>
#include <acaciarail/state/replica.h>
#include <acaciarail/state/snapshot_scanner.h>
