#pragma once

#include <LibCore/Result.h>
#include <LibModel/Simulation.h>
#include <LibRoles/Settings.h>
#include <string>

namespace Measure {

/// The settings that trials may vary; the defaults are those of the daemon.
struct Trial {
    Routing::Settings routing;
    Roles::Settings roles;
    Model::EngineSettings engine;
    std::uint32_t tellAtOnceTokens { 1000 };
    bool isFair { false };
    Model::Gate::Settings gate;
    double admitShare { 0.9 }; ///< Share of the first token's limit that the estimated wait may reach; 0: admit all.
};

/// Changes one setting by `NAME=VALUE`. Fails with `BadInput` for an unknown name or a bad number.
Core::Result<void> change(Trial&, std::string const& assignment);

/// The names that `change` knows, for the help text.
std::string settingNames();

}
