#pragma once

#include <acaciarail/operator/audit.h>
#include <acaciarail/operator/command.h>
#include <acaciarail/operator/document.h>
#include <acaciarail/operator/fault.h>
#include <acaciarail/operator/http_client.h>
#include <acaciarail/operator/nearest_key.h>
#include <acaciarail/operator/settings.h>
#include <acaciarail/operator/sha256.h>
