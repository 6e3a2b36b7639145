#pragma once

#include <acaciarail/runtime/backoff.h>
#include <acaciarail/runtime/event_loop.h>
#include <acaciarail/runtime/frame_connection.h>
#include <acaciarail/runtime/mailbox.h>
#include <acaciarail/runtime/reconnecting_connection.h>
#include <acaciarail/runtime/signal_watcher.h>
#include <acaciarail/runtime/socket_address.h>
#include <acaciarail/runtime/timer.h>
