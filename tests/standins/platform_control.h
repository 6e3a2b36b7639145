#pragma once

#include "platform_model.h"

#include <acaciarail/core/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Acaciarail::Standins {

/// Applies the JSON body of `POST /control`. Returns nothing on success, otherwise what was expected and what was found.
/// The whole body is checked first; when it is invalid, nothing is applied. \pre none.
///
/// Keys: `mode` with `delay_ms`, `retain_from`, `retention`, `list_lag_ms`, `set_state` (`name`, `state`), `add` (one entry or an array
/// of entries of the instance list; absent fields get defaults), `remove` (a name), `cut_zone`, `heal_zone` (empty: all zones).
[[nodiscard]] auto applyControl(PlatformModel &model, std::string_view body, TimePoint now) -> std::optional<std::string>;

/// Returns the JSON array of `GET /v1/instances`. \pre none.
[[nodiscard]] auto instancesToJson(const std::vector<ListedInstance> &instances) -> std::string;

/// Returns the JSON object of one entry. \pre none.
[[nodiscard]] auto instanceToJson(const ListedInstance &instance) -> std::string;

} // namespace Acaciarail::Standins
