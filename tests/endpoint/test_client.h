#pragma once

#include "fake_endpoint.h"

#include <acaciarail/endpoint/endpoint_client.h>

#include <cstddef>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

/// Client that records its outcomes.
class TestClient
{
public:
    explicit TestClient(Loop &loop, Acaciarail::Endpoint::EndpointClientSettings settings = {})
    {
        Acaciarail::Endpoint::EndpointClientHooks hooks;
        hooks.onOutcome = [this](Acaciarail::Endpoint::AttemptOutcome outcome) { outcomes.push_back(std::move(outcome)); };
        hooks.onStopped = [this] { ++stopped; };
        client = std::make_unique<Acaciarail::Endpoint::EndpointClient>(loop.base(), settings, std::move(hooks));
    }

    [[nodiscard]] auto response(std::size_t i) const -> const Acaciarail::Endpoint::AttemptResponse *
    {
        return std::get_if<Acaciarail::Endpoint::AttemptResponse>(&outcomes.at(i).result);
    }
    [[nodiscard]] auto failure(std::size_t i) const -> const Acaciarail::Endpoint::AttemptFailure *
    {
        return std::get_if<Acaciarail::Endpoint::AttemptFailure>(&outcomes.at(i).result);
    }

    std::vector<Acaciarail::Endpoint::AttemptOutcome> outcomes;
    int stopped = 0;
    std::unique_ptr<Acaciarail::Endpoint::EndpointClient> client;
};
