#pragma once

#include <LibRouting/DemandMeter.h>
#include <chrono>
#include <map>
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

    /// Replaces a peer's load. It lapses when the peer has not said it again for some seconds. Values that are no loads are ignored.
    void setPeer(std::string const& service, std::string const& peer, double load, Time now);

    /// Returns the load of all daemons, at most half a second old; 0: not known. Precondition: `now` does not go back.
    double total(std::string const& service, Time now);

private:
    struct PeerLoad {
        double load { 0 };
        Time at;
    };

    struct Service {
        std::map<std::string, PeerLoad> peers;
        double total { 0 };
        Time summedAt;
    };

    DemandMeter m_own;
    std::map<std::string, Service> m_services;
};

}
