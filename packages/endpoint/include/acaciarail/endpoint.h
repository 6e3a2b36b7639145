#pragma once

#include <acaciarail/endpoint/endpoint_client.h>
