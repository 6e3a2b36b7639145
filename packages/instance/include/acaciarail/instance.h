#pragma once

#include <acaciarail/instance/explanation_json.h>
#include <acaciarail/instance/instance.h>
#include <acaciarail/instance/operation.h>
#include <acaciarail/instance/witness_planner.h>
