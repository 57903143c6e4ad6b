#include <LibDaemon/Eligibility.h>

namespace Daemon {

Core::Result<std::vector<std::uint32_t>> eligibleTargets(FleetSnapshot const& fleet, Work const& work)
{
    bool isKnown = false;
    std::vector<std::uint32_t> eligible;
    State::TargetSet selected = fleet.view->allowedTargets(work.labels);
    Platform::VmKind kind = work.kind == Work::Kind::Model ? Platform::VmKind::Engine : Platform::VmKind::Service;
    for (std::uint32_t position = 0; position < fleet.targets.size(); ++position) {
        FleetTarget const& target = fleet.targets[position];
        if (target.kind != kind || target.work() != work.name)
            continue;
        isKnown = true;
        if (selected.contains(position))
            eligible.push_back(position);
    }
    // A configured service without targets may get one soon, so that the error is temporary.
    bool isConfigured = fleet.services && fleet.services->find(work.name);
    std::string what = (work.kind == Work::Kind::Model ? "model \"" : "service \"") + work.name + "\"";
    if (isConfigured && eligible.empty())
        return Core::fail(Core::ErrorCode::Unavailable, "no target of " + what + " is listed now");
    if (!isKnown)
        return Core::fail(Core::ErrorCode::NotFound, "unknown " + what);
    if (eligible.empty())
        return Core::fail(Core::ErrorCode::NotAllowed, "no route lets this request go to a target of " + what);
    return eligible;
}

}
