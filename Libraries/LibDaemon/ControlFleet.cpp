// The part of ControlPlane that makes the fleet's snapshot of what was read.

#include <LibDaemon/ControlPlane.h>
#include <algorithm>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

Routing::TargetRole roleOf(std::string const& name)
{
    return Core::valueOf(Routing::targetRoleNames, name).value_or(Routing::TargetRole::Mixed);
}

}

Label::LabelSet ControlPlane::platformLabels(Platform::Vm const& vm)
{
    Label::LabelSet labels;
    // A value outside the label syntax is left out: no selector could name it.
    std::ignore = labels.set("name", vm.name);
    std::ignore = labels.set("zone", vm.availabilityZone);
    std::ignore = labels.set("region", vm.region);
    std::ignore = labels.set("kind", Core::nameOf(Platform::vmKindNames, vm.kind));
    std::ignore = labels.set("pool", vm.pool);
    return labels;
}

Routing::ZoneDistance ControlPlane::distanceTo(Platform::Vm const& vm) const
{
    if (vm.region != m_settings.daemon.region)
        return Routing::ZoneDistance::OtherRegion;
    if (vm.availabilityZone != m_settings.daemon.availabilityZone)
        return Routing::ZoneDistance::SameRegion;
    return Routing::ZoneDistance::SameZone;
}

std::string ControlPlane::whyClosed(TargetStatus const& status, Label::LabelSet const& labels) const
{
    if (status.vm.state == Platform::VmState::Leaving)
        return "leaving";
    if (labels.get("drain") && *labels.get("drain") != "no")
        return "drained by label";
    if (status.vm.kind != Platform::VmKind::Engine)
        return {};
    if (status.failures >= failuresUntilUnreachable)
        return "unreachable";
    if (!status.state)
        return "state not read yet";
    if (m_authority->isClosed(status.vm.name))
        return "closed for a change";
    if (status.state->phase != Platform::EnginePhase::Serving)
        return std::string(Core::nameOf(Platform::enginePhaseNames, status.state->phase));
    return {};
}

FleetTarget ControlPlane::describe(TargetStatus const& status, Label::LabelSet const& labels) const
{
    FleetTarget target;
    target.id = status.id;
    target.name = status.vm.name;
    target.key = targetKeyOf(status.vm.name, status.state ? status.state->incarnation : std::string());
    target.isLeaving = status.vm.state == Platform::VmState::Leaving;
    target.endpoint = status.vm.address;
    target.kind = status.vm.kind;
    target.pool = status.vm.pool;
    target.incarnation = status.state ? status.state->incarnation : std::string();
    target.service = std::string(labels.get("service").value_or(""));
    target.model = std::string(labels.get("model").value_or(status.state ? status.state->model : ""));
    target.role = status.state ? roleOf(status.state->role) : Routing::TargetRole::Mixed;
    target.distance = distanceTo(status.vm);
    // Nothing but the operators' label tells its software. What its weights write does not fit together either.
    std::optional<std::string_view> release = labels.get("release");
    if (release && status.state)
        target.streamRelease = std::string(*release) + "/" + status.state->model + "@" + status.state->version + "/" + status.state->adapter;
    target.closeReason = whyClosed(status, labels);
    return target;
}

void ControlPlane::rebuild()
{
    std::vector<State::PlatformTarget> platformTargets;
    for (std::pair<std::string const, TargetStatus> const& it : m_targets)
        platformTargets.push_back({ it.first, platformLabels(it.second.vm) });
    std::shared_ptr<FleetSnapshot> fleet = std::make_shared<FleetSnapshot>();
    fleet->view = State::TargetView::create(m_config->config(), platformTargets);
    std::uint32_t position = 0;
    for (std::pair<std::string const, TargetStatus> const& it : m_targets)
        fleet->targets.push_back(describe(it.second, fleet->view->labels(position++)));
    fleet->configVersion = m_config->config()->nextOffset();
    fleet->configConfirmedAt = m_config->confirmedAt();
    addEntries(*fleet);
    fleet->isReady = m_hasVms && m_config->isCaughtUp();
    m_closedForChange.clear();
    for (FleetTarget const& target : fleet->targets) {
        if (m_authority->isClosed(target.name))
            m_closedForChange.insert(target.name);
    }
    informAuthority(*fleet);
    m_fleet = std::move(fleet);
    m_hooks.publish(m_fleet);
}

// The VM list lags: who is heard to be leaving or dead is left out before the list says so.
bool ControlPlane::takesWork(Platform::Vm const& vm) const
{
    if (vm.state != Platform::VmState::Live)
        return false;
    if (vm.name == m_settings.daemon.name)
        return !m_membership->protocol().self().isLeaving;
    Membership::Member const* member = m_membership->find(vm.name);
    return !member || member->acceptsWork() || member->record.status == Membership::Status::Unheard;
}

void ControlPlane::addEntries(FleetSnapshot& fleet) const
{
    Clock::time_point now = Clock::now();
    for (Platform::Vm const& vm : m_entries) {
        EntryAddress entry { vm.name, vm.callerAddress, vm.address, vm.availabilityZone, distanceTo(vm), 0 };
        if (Membership::Member const* member = m_membership->find(vm.name)) {
            std::optional<Membership::MemberLoad> load = m_membership->protocol().loads().memberLoad(member->record.id, now);
            entry.openRequests = load ? load->load.running : 0;
        }
        if (vm.name != m_settings.daemon.name)
            fleet.peers.push_back(entry);
        if (takesWork(vm))
            fleet.entries.push_back(std::move(entry));
    }
    std::sort(fleet.entries.begin(), fleet.entries.end(), [](EntryAddress const& a, EntryAddress const& b) { return std::tie(a.distance, a.openRequests, a.name) < std::tie(b.distance, b.openRequests, b.name); });
}

void ControlPlane::informAuthority(FleetSnapshot const& fleet)
{
    std::map<std::string, std::vector<ManagedEngine>> engines;
    std::set<std::string> listed;
    for (FleetTarget const& target : fleet.targets) {
        if (target.kind != Platform::VmKind::Engine)
            continue;
        TargetStatus const& status = m_targets.at(target.name);
        std::uint32_t position = *fleet.view->positionOf(target.name);
        ManagedEngine engine { target.id, target.name, target.endpoint, fleet.view->groupDecision(position), false, false, status.state };
        std::optional<std::string_view> drain = fleet.view->labels(position).get("drain");
        engine.isDrained = status.vm.state == Platform::VmState::Leaving || (drain && *drain != "no");
        // An engine that is not said to check is taken as one that does not.
        std::optional<std::string_view> checks = fleet.view->labels(position).get("checks-fencing");
        engine.checksFencing = checks ? *checks == "yes" : status.state && status.state->checksFencing;
        engines[target.pool].push_back(std::move(engine));
    }
    std::vector<KnownDaemon> daemons;
    for (Platform::Vm const& vm : m_entries) {
        listed.insert(vm.name);
        KnownDaemon daemon { vm.name, vm.address, m_incarnation, takesWork(vm) };
        if (vm.name != m_settings.daemon.name) {
            Membership::Member const* member = m_membership->find(vm.name);
            daemon.incarnation = member ? std::to_string(member->record.incarnation) : std::string();
        }
        daemons.push_back(std::move(daemon));
    }
    m_authority->setFleet(std::move(engines), std::move(daemons), std::move(listed));
}

}
