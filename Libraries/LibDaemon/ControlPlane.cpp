#include <LibCore/EventLog.h>
#include <LibDaemon/ControlPlane.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t failuresUntilUnreachable = 3;

Http::ClientSettings controlClient()
{
    Http::ClientSettings settings;
    settings.headTimeout = std::chrono::milliseconds(3'000);
    settings.pieceTimeout = std::chrono::milliseconds(3'000);
    return settings;
}

Routing::TargetRole roleOf(std::string const& name)
{
    return Core::valueOf(Routing::targetRoleNames, name).value_or(Routing::TargetRole::Mixed);
}

}

ControlPlane::ControlPlane(boost::asio::io_context& context, Settings::DaemonSettings const& settings, Hooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_client(Http::Client::create(context, controlClient()))
    , m_log(Platform::createHttpLogService(*m_client, settings.platform.log))
    , m_vmList(Platform::createHttpVmList(*m_client, settings.platform.vms))
    , m_engines(Platform::createHttpEngineControl(*m_client))
    , m_config(std::make_unique<ConfigFollower>(context, *m_log, settings.platform.retryDelay, [this](std::shared_ptr<State::Config const> const&) { rebuild(); }))
    , m_fleet(std::make_shared<FleetSnapshot>())
{
}

void ControlPlane::start()
{
    m_config->start();
    boost::asio::co_spawn(
        m_context, [this] { return followVms(); }, boost::asio::detached);
}

void ControlPlane::stop()
{
    m_isStopped = true;
    m_config->stop();
}

boost::asio::awaitable<void> ControlPlane::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

boost::asio::awaitable<void> ControlPlane::followVms()
{
    while (!m_isStopped) {
        Core::Result<std::vector<Platform::Vm>> vms = co_await m_vmList->read();
        if (m_isStopped)
            co_return;
        // While the list cannot be read the last one stays in force.
        m_vmListProblem = vms.has_error() ? vms.error().message : std::string();
        if (vms.has_value())
            takeVms(vms.value());
        co_await wait(m_settings.platform.vmsInterval);
    }
}

void ControlPlane::takeVms(std::vector<Platform::Vm> const& vms)
{
    std::vector<Platform::Vm> entries;
    std::vector<std::string> listed;
    bool isChanged = !std::exchange(m_hasVms, true);
    for (Platform::Vm const& vm : vms) {
        if (vm.kind == Platform::VmKind::Entry) {
            entries.push_back(vm);
            continue;
        }
        listed.push_back(vm.name);
        std::pair<std::map<std::string, TargetStatus>::iterator, bool> added = m_targets.try_emplace(vm.name);
        TargetStatus& status = added.first->second;
        if (added.second) {
            status.id = m_nextTargetId++;
            Core::logEvent(Core::Severity::Info, Core::Event::TargetAdded, { { "target", vm.name }, { "address", Http::toString(vm.address) }, { "availability_zone", vm.availabilityZone } });
        }
        isChanged = isChanged || added.second || status.vm != vm;
        status.vm = vm;
        if (vm.kind == Platform::VmKind::Engine && !std::exchange(status.isWatched, true))
            boost::asio::co_spawn(
                m_context, [this, name = vm.name] { return watch(name); }, boost::asio::detached);
    }
    std::size_t removed = std::erase_if(m_targets, [&](std::pair<std::string const, TargetStatus> const& it) {
        bool isGone = std::find(listed.begin(), listed.end(), it.first) == listed.end();
        if (isGone)
            Core::logEvent(Core::Severity::Info, Core::Event::TargetRemoved, { { "target", it.first } });
        return isGone;
    });
    isChanged = isChanged || removed > 0 || entries != m_entries;
    m_entries = std::move(entries);
    if (isChanged)
        rebuild();
}

boost::asio::awaitable<void> ControlPlane::watch(std::string name)
{
    while (!m_isStopped) {
        std::map<std::string, TargetStatus>::iterator it = m_targets.find(name);
        if (it == m_targets.end())
            co_return;
        Core::Result<Platform::EngineState> state = co_await m_engines->state(it->second.vm.address);
        it = m_targets.find(name);
        if (m_isStopped || it == m_targets.end())
            co_return;
        takeState(it->second, state);
        co_await wait(m_settings.platform.stateInterval);
    }
}

void ControlPlane::takeState(TargetStatus& status, Core::Result<Platform::EngineState> const& state)
{
    if (state.has_error()) {
        ++status.failures;
        if (status.failures != failuresUntilUnreachable)
            return;
        Core::logEvent(Core::Severity::Warning, Core::Event::TargetUnreachable, { { "target", status.vm.name }, { "error", state.error().message } });
        rebuild();
        return;
    }
    bool isChanged = status.failures >= failuresUntilUnreachable || !status.state || status.state->role != state.value().role || status.state->phase != state.value().phase || status.state->model != state.value().model;
    if (status.failures >= failuresUntilUnreachable)
        Core::logEvent(Core::Severity::Info, Core::Event::TargetRecovered, { { "target", status.vm.name } });
    status.failures = 0;
    status.state = state.value();
    Routing::LoadReport report { Clock::now() - state.value().asOfAge, state.value().running, state.value().waiting, state.value().waitingPromptTokens, state.value().kvUsedTokens, state.value().kvCapacityTokens };
    m_hooks.report(status.id, report);
    if (isChanged)
        rebuild();
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
    if (status.state->phase != Platform::EnginePhase::Serving)
        return std::string(Core::nameOf(Platform::enginePhaseNames, status.state->phase));
    return {};
}

FleetTarget ControlPlane::describe(TargetStatus const& status, Label::LabelSet const& labels) const
{
    FleetTarget target;
    target.id = status.id;
    target.name = status.vm.name;
    target.endpoint = status.vm.address;
    target.kind = status.vm.kind;
    target.service = std::string(labels.get("service").value_or(""));
    target.model = std::string(labels.get("model").value_or(status.state ? status.state->model : ""));
    target.role = status.state ? roleOf(status.state->role) : Routing::TargetRole::Mixed;
    target.distance = distanceTo(status.vm);
    target.closedBecause = whyClosed(status, labels);
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
    for (Platform::Vm const& vm : m_entries) {
        EntryAddress entry { vm.name, vm.callerAddress, vm.address, vm.availabilityZone, distanceTo(vm), 0 };
        if (vm.name != m_settings.daemon.name)
            fleet->peers.push_back(entry);
        if (vm.state == Platform::VmState::Live)
            fleet->entries.push_back(std::move(entry));
    }
    std::sort(fleet->entries.begin(), fleet->entries.end(), [](EntryAddress const& a, EntryAddress const& b) { return std::tie(a.distance, a.name) < std::tie(b.distance, b.name); });
    fleet->isReady = m_hasVms && m_config->isCaughtUp();
    m_fleet = std::move(fleet);
    m_hooks.publish(m_fleet);
}

}
