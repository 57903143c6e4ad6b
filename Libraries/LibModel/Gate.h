#pragma once

#include <LibAdmission/Controller.h>
#include <LibModel/Job.h>
#include <functional>
#include <memory>
#include <vector>

namespace Model {

/// One entry's admission: the daemon's own controller, with the hooks that a simulation needs.
class Gate {
public:
    /// Chooses an engine for a request, or none while its wait would be too long.
    using Place = std::function<std::optional<std::uint32_t>(std::uint32_t job)>;

    /// What the gate decides, now or later: a request may go to an engine, or is refused.
    struct Hooks {
        Place place;
        std::function<void(std::uint32_t job, std::uint32_t engine)> grant;
        std::function<void(std::uint32_t job)> refuse;
    };

    struct Settings {
        std::uint32_t inFlightPerOrganisation { 6 };
        double longestWaitSeconds { 0.01 }; ///< What is left of the first token's limit is for the engine.
    };

    Gate(std::size_t engines, Settings const&, Hooks);

    /// Asks for a request; a hook answers, at once or later.
    void enter(std::uint32_t index, Job const&, Time now);

    /// A request that was granted has ended. Unknown ones change nothing.
    void release(std::uint32_t index, Time now);

    /// Refuses what has waited too long and tries the others again. Call it every few tens of milliseconds.
    void poke(Time now);

private:
    void grantAll(std::vector<Admission::Grant> const&);
    void settle();

    Settings m_settings;
    Hooks m_hooks;
    std::unique_ptr<Admission::Controller> m_controller;
};

}
