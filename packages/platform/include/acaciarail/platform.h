#pragma once

#include <acaciarail/platform/instance_list_client.h>
#include <acaciarail/platform/log_client.h>
#include <acaciarail/platform/platform_settings.h>
