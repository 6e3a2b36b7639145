#pragma once

#include <acaciarail/core/wire.h>
#include <acaciarail/workflow/records.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Acaciarail::Workflow::Tests {

/// The record of a unit as builds encode and decode it that know neither load summaries nor whether a run has begun.
struct EarlierUnitRecord
{
    std::uint64_t phase = 0;
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    std::string checkpoint;
    std::vector<std::string> workers;
    std::uint32_t failedRun = 0;

    friend auto operator==(const EarlierUnitRecord &, const EarlierUnitRecord &) noexcept -> bool = default;
};

} // namespace Acaciarail::Workflow::Tests

ACACIARAIL_WIRE_STRUCT(Acaciarail::Workflow::Tests::EarlierUnitRecord, v.phase, v.run, v.failures, v.checkpoint, v.workers, v.failedRun);
