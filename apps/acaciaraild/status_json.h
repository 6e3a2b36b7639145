#pragma once

#include <acaciarail/caller/job_json.h>
#include <acaciarail/instance/instance.h>

#include <string>

namespace Acaciarail::Daemon {

/// Renders the status of an instance as one JSON object. \pre none. Thread-safe.
[[nodiscard]] auto renderStatus(const Instance::InstanceStatus &status) -> std::string;

/// Renders all configuration documents in force as `{"version":N,"documents":[...]}`. \pre none. Thread-safe.
[[nodiscard]] auto renderDocuments(const State::Replica &replica) -> std::string;

/// Converts a job of the replica to the form shown to callers. \pre none. Thread-safe.
[[nodiscard]] auto toJobDocument(const State::JobState &state) -> Caller::JobDocument;

} // namespace Acaciarail::Daemon
