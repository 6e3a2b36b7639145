#pragma once

#include <acaciarail/caller/caller_server.h>
#include <acaciarail/caller/http_message.h>
#include <acaciarail/caller/job_json.h>
#include <acaciarail/caller/problem.h>
#include <acaciarail/caller/request_framer.h>
#include <acaciarail/caller/request_parser.h>
