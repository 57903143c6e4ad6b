#pragma once

#include <LibDaemon/CallerProtocol.h>
#include <LibDaemon/TargetProtocol.h>
#include <LibPlatform/Directory.h>
#include <LibPlatform/DutyService.h>
#include <LibPlatform/EngineControl.h>
#include <LibPlatform/KeyedStore.h>
#include <LibState/ServiceConfig.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Daemon {

/// How operators and targets write their records in the platform's store, as pure functions. Thread-safe.
struct StoreCodec {
    std::string configurationKey; ///< Of the record that holds the whole configuration.

    /// Reads a configuration. Errors (BadInput) name the field, what was read and what is allowed.
    std::function<Core::Result<State::ServiceConfig>(std::string_view value)> decodeConfiguration;

    /// Reads a target's entry. Errors: as above.
    std::function<Core::Result<Platform::ListedTarget>(std::string const& key, std::string_view value)> decodeTarget;
};

/// Everything that a platform says in its own words. Each part has an implementation for the product's own protocols.
struct Adapters {
    CallerProtocol callers;
    TargetProtocol targets;
    std::function<std::unique_ptr<Platform::EngineControl>(Http::Client&)> createEngineControl;

    // Only for a platform whose store keeps the newest record of each key.
    std::function<std::unique_ptr<Platform::KeyedStore>(Http::Client&, std::function<boost::asio::ip::tcp::endpoint()>)> createStore; ///< The endpoint is asked for at each call.
    StoreCodec codec;
    std::function<std::unique_ptr<Platform::DutyService>(Http::Client&, std::function<boost::asio::ip::tcp::endpoint()>)> createDutyService; ///< Likewise.
};

/// The adapters for the product's own protocols: docs/design/platform-protocols.md and docs/callers.md.
Adapters ownAdapters();

}
