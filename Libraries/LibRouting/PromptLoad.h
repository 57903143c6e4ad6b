#pragma once

#include <LibRouting/DemandMeter.h>
#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// How many average targets the prompts of each service keep busy, over all daemons. Unlike the demand, it counts what was sent to
/// targets: shared parts that had to be computed again are included. Performs no I/O. Not thread-safe.
class PromptLoad {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records a prompt that this daemon sent, by the seconds that it takes at an average target.
    void note(std::string const& service, double averageSeconds, Time now);

    /// Returns the load of this daemon's prompts, for its peers. Precondition: `now` does not go back.
    double own(std::string const& service, Time now) const;

    /// Replaces a peer's load; empty: the peer does not measure it. It lapses when the peer has not said it again for some seconds. Values
    /// that are no loads, and services that this daemon has sent no prompt to, are ignored.
    void setPeer(std::string const& service, std::string const& peer, std::optional<double> load, Time now);

    /// Returns the load of all daemons; empty while not all can have told theirs, or one does not measure it. Precondition: `now` does not
    /// go back.
    std::optional<double> total(std::string const& service, Time now);

private:
    struct PeerLoad {
        std::optional<double> load;
        Time at;
    };

    struct Service {
        std::map<std::string, PeerLoad> peers;
        Time since; ///< Of this daemon's first prompt.
    };

    DemandMeter m_own;
    std::map<std::string, Service> m_services;
};

}
