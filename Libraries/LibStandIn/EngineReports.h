#pragma once

#include <LibHttp/Message.h>
#include <LibStandIn/EngineCore.h>
#include <string>
#include <string_view>

namespace StandIn {

/// Reads the body of `POST /control/orders`. Error: BadInput. Thread-safe.
Core::Result<EngineOrder> parseOrder(std::string_view body);

/// Answers `GET /control/state`.
Http::Response stateResponse(EngineCore&, std::string const& incarnation, EngineCore::Time now);

/// Answers `GET /control/cache-events`.
Http::Response cacheEventsResponse(PromptCache const&, std::uint64_t from, PromptCache::Time now);

/// Answers `GET /v1/models`.
Http::Response modelsResponse(EngineConfiguration const&);

}
