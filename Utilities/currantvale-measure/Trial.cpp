#include "Trial.h"
#include <charconv>
#include <functional>
#include <utility>
#include <vector>

namespace Measure {

namespace {

using Setter = std::function<void(Trial&, double)>;

std::vector<std::pair<std::string, Setter>> const& setters()
{
    static std::vector<std::pair<std::string, Setter>> const table {
        { "routing.beside", [](Trial& it, double n) { it.routing.interferenceSecondsPerPromptToken = n; } },
        { "routing.beside-rate", [](Trial& it, double n) { it.routing.interferenceTokensPerSecond = n; } },
        { "routing.beside-over", [](Trial& it, double n) { it.routing.interferenceOverloadSeconds = n; } },
        { "routing.imbalance", [](Trial& it, double n) { it.routing.imbalanceSeconds = n; } },
        { "routing.per-request", [](Trial& it, double n) { it.routing.secondsPerRequest = n; } },
        { "routing.per-slot", [](Trial& it, double n) { it.routing.secondsPerSlot = n; } },
        { "routing.sample", [](Trial& it, double n) { it.routing.sampleSize = static_cast<std::size_t>(n); } },
        { "routing.zone", [](Trial& it, double n) { it.routing.zonePenaltySeconds[1] = n; } },
        { "roles.fast", [](Trial& it, double n) { it.roles.mix.fastSeconds = n; } },
        { "roles.slow", [](Trial& it, double n) { it.roles.mix.slowSeconds = n; } },
        { "roles.band", [](Trial& it, double n) { it.roles.mix.band = n; } },
        { "roles.phase", [](Trial& it, double n) { it.roles.mix.firstPhaseSeconds = n; } },
        { "roles.horizon", [](Trial& it, double n) { it.roles.horizonSeconds = n; } },
        { "roles.least-gain", [](Trial& it, double n) { it.roles.minGainShare = n; } },
        { "roles.margin", [](Trial& it, double n) { it.roles.margin = n; } },
        { "roles.changing", [](Trial& it, double n) { it.roles.maxChanging = static_cast<std::size_t>(n); } },
        { "roles.min-prefill", [](Trial& it, double n) { it.roles.minPrefill = static_cast<std::size_t>(n); } },
        { "roles.mixed-rate", [](Trial& it, double n) { it.roles.rates.mixedPrefillTokensPerSecond = n; } },
        { "roles.decode-rate", [](Trial& it, double n) { it.roles.rates.decodeTokensPerSecond = n; } },
        { "roles.ratio", [](Trial& it, double n) { it.roles.pressureRatio = n; } },
        { "roles.sustain", [](Trial& it, double n) { it.roles.sustainSeconds = n; } },
        { "engine.chunk", [](Trial& it, double n) { it.engine.chunkTokens = static_cast<std::uint32_t>(n); } },
        { "engine.change", [](Trial& it, double n) { it.engine.changeSeconds = n; } },
        { "engine.cache", [](Trial& it, double n) { it.engine.cacheCapacityTokens = static_cast<std::uint32_t>(n); } },
        { "peers.at-once", [](Trial& it, double n) { it.tellAtOnceTokens = static_cast<std::uint32_t>(n); } },
        { "admit.fair", [](Trial& it, double n) { it.isFair = n != 0; } },
        { "admit.per-organisation", [](Trial& it, double n) { it.gate.inFlightPerOrganisation = static_cast<std::uint32_t>(n); } },
        { "admit.wait", [](Trial& it, double n) { it.gate.longestWaitSeconds = n; } },
        { "admit.share", [](Trial& it, double n) { it.admitShare = n; } },
    };
    return table;
}

}

Core::Result<void> change(Trial& trial, std::string const& assignment)
{
    std::size_t equals = assignment.find('=');
    std::string name = assignment.substr(0, equals);
    for (auto const& [known, set] : setters()) {
        if (known != name || equals == std::string::npos)
            continue;
        char const* first = assignment.data() + equals + 1;
        char const* last = assignment.data() + assignment.size();
        double n = 0;
        std::from_chars_result read = std::from_chars(first, last, n);
        if (read.ec != std::errc() || read.ptr != last)
            return Core::fail(Core::ErrorCode::BadInput, "'" + assignment + "': not a number after '='.");
        set(trial, n);
        return Core::ok();
    }
    return Core::fail(Core::ErrorCode::BadInput, "'" + assignment + "': not NAME=VALUE with NAME one of" + settingNames() + ".");
}

std::string settingNames()
{
    std::string names;
    for (auto const& [name, set] : setters())
        names += " " + name;
    return names;
}

}
