#pragma once

#include <LibDaemon/ConfigFollower.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibHttp/Client.h>
#include <LibPlatform/EngineControl.h>
#include <LibPlatform/VmList.h>
#include <LibRouting/LoadTable.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Daemon {

/// What the control thread last heard of a target.
struct TargetStatus {
    std::uint32_t id { 0 };
    Platform::Vm vm;
    std::optional<Platform::EngineState> state; ///< Of engines that have answered.
    std::uint32_t failures { 0 }; ///< Reads of the state that failed in a row.
    bool isWatched { false }; ///< A coroutine of this daemon reads its state.
};

/// The control thread's state: follows configuration, VM list and targets, and publishes what traffic needs as
/// immutable snapshots. Use from the control thread only.
class ControlPlane {
public:
    struct Hooks {
        std::function<void(FleetPointer)> publish;
        std::function<void(std::uint32_t targetId, Routing::LoadReport const&)> report;
    };

    /// Preconditions: context and settings outlive the object.
    ControlPlane(boost::asio::io_context&, Settings::DaemonSettings const&, Hooks);

    /// Starts to follow everything. Precondition: called once.
    void start();

    void stop();

    ConfigFollower& config() { return *m_config; }
    FleetPointer const& fleet() const { return m_fleet; }
    std::map<std::string, TargetStatus> const& targets() const { return m_targets; }

    /// Returns why the VM list cannot be read now; empty while it can.
    std::string const& vmListProblem() const { return m_vmListProblem; }

private:
    boost::asio::awaitable<void> followVms();
    boost::asio::awaitable<void> watch(std::string name);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);
    void takeVms(std::vector<Platform::Vm> const&);
    void takeState(TargetStatus&, Core::Result<Platform::EngineState> const&);
    void rebuild();
    FleetTarget describe(TargetStatus const&, Label::LabelSet const&) const;
    std::string whyClosed(TargetStatus const&, Label::LabelSet const&) const;
    Routing::ZoneDistance distanceTo(Platform::Vm const&) const;
    static Label::LabelSet platformLabels(Platform::Vm const&);

    boost::asio::io_context& m_context;
    Settings::DaemonSettings const& m_settings;
    Hooks m_hooks;
    std::unique_ptr<Http::Client> m_client;
    std::unique_ptr<Platform::LogService> m_log;
    std::unique_ptr<Platform::VmList> m_vmList;
    std::unique_ptr<Platform::EngineControl> m_engines;
    std::unique_ptr<ConfigFollower> m_config;
    std::map<std::string, TargetStatus> m_targets;
    std::vector<Platform::Vm> m_entries;
    std::uint32_t m_nextTargetId { 0 };
    FleetPointer m_fleet;
    std::string m_vmListProblem;
    bool m_hasVms { false };
    bool m_isStopped { false };
};

}
