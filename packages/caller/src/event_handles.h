#pragma once

#include <acaciarail/runtime/event_timer.h>

#include <evhtp/evhtp.h>

#include <memory>

namespace Acaciarail::Caller::Detail {

struct EvhtpDeleter
{
    auto operator()(evhtp_t *htp) const noexcept -> void
    {
        evhtp_free(htp);
    }
};

using EvhtpHandle = std::unique_ptr<evhtp_t, EvhtpDeleter>;

using Runtime::toTimeval;
using Timer = Runtime::EventTimer;

} // namespace Acaciarail::Caller::Detail
