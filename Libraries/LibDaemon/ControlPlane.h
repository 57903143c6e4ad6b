#pragma once

#include <LibDaemon/AuthorityAgent.h>
#include <LibDaemon/ConfigFollower.h>
#include <LibDaemon/Control.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/MembershipAgent.h>
#include <LibDaemon/SnapshotWriter.h>
#include <LibHttp/Client.h>
#include <LibPeer/Request.h>
#include <LibPlatform/EngineControl.h>
#include <LibPlatform/VmList.h>
#include <LibRouting/LoadTable.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
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

/// How far a daemon has read the configuration.
struct DaemonProgress {
    std::string name;
    std::optional<std::uint64_t> offset; ///< Absent: it did not answer.
};

/// The control thread's state: follows configuration, VM list and targets, and publishes what traffic needs as
/// immutable snapshots. Use from the control thread only.
class ControlPlane final : public Control {
public:
    struct Hooks {
        std::function<void(FleetPointer)> publish;
        std::function<void(std::function<void()>)> onApplied; ///< Calls back, on the control thread, once all traffic threads use what was published.
        std::function<std::size_t()> openRequests;
        std::function<std::map<std::string, Roles::MixCounts>()> takeMix;
        std::function<void(std::uint32_t targetId, Routing::LoadReport const&)> report;
    };

    /// Preconditions: context and settings outlive the object. Errors: BadInput from one of the parts.
    static Core::Result<std::unique_ptr<ControlPlane>> create(boost::asio::io_context&, Settings::DaemonSettings const&, std::uint64_t incarnation, Peer::Settings const&, Hooks);

    void start() override;
    void stop() override;
    void startLeaving() override;

    /// Releases all leases first.
    void leave(std::function<void()> onDone) override;

    /// Answers a control message of a peer.
    void handlePeerMessage(Peer::Request const&, std::function<void(int status, std::string body)> reply);

    /// Asks all live daemons how far they have read the configuration.
    boost::asio::awaitable<std::vector<DaemonProgress>> askProgress();

    AuthorityAgent& authority() { return *m_authority; }
    MembershipAgent& membership() { return *m_membership; }
    ConfigFollower& config() { return *m_config; }
    FleetPointer const& fleet() const { return m_fleet; }
    std::map<std::string, TargetStatus> const& targets() const { return m_targets; }

    /// Returns why the VM list cannot be read now; empty while it can.
    std::string const& vmListProblem() const { return m_vmListProblem; }

private:
    ControlPlane(boost::asio::io_context&, Settings::DaemonSettings const&, std::uint64_t incarnation, std::shared_ptr<Peer::Clients>, Hooks);
    Core::Result<void> setUp(std::uint64_t incarnation);
    void createSnapshotWriters();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> followVms();
    boost::asio::awaitable<void> watch(std::string name);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);
    void takeVms(std::vector<Platform::Vm> const&);
    void takeState(TargetStatus&, Core::Result<Platform::EngineState> const&);
    void noteIsolation();
    void reportMix();
    boost::asio::awaitable<void> sendMix(boost::asio::ip::tcp::endpoint, MixReport);
    void informAuthority(FleetSnapshot const&);
    void addEntries(FleetSnapshot&) const;
    bool takesWork(Platform::Vm const&) const;
    std::uint32_t snapshotRank() const;
    void rebuild();
    FleetTarget describe(TargetStatus const&, Label::LabelSet const&) const;
    std::string whyClosed(TargetStatus const&, Label::LabelSet const&) const;
    Routing::ZoneDistance distanceTo(Platform::Vm const&) const;
    static Label::LabelSet platformLabels(Platform::Vm const&);

    static constexpr std::uint32_t failuresUntilUnreachable = 3; ///< Reads of an engine's state in a row.

    boost::asio::io_context& m_context;
    Settings::DaemonSettings const& m_settings;
    Hooks m_hooks;
    std::unique_ptr<Http::Client> m_client;
    std::unique_ptr<Platform::LogService> m_log;
    std::unique_ptr<Platform::VmList> m_vmList;
    std::unique_ptr<Platform::EngineControl> m_engines;
    std::shared_ptr<Peer::Clients> m_peers;
    std::string m_incarnation;
    std::unique_ptr<ConfigFollower> m_config;
    std::unique_ptr<MembershipAgent> m_membership;
    std::unique_ptr<AuthorityAgent> m_authority;
    std::vector<std::unique_ptr<SnapshotWriter>> m_snapshotWriters;
    std::set<std::string> m_closedForChange; ///< As last published.
    std::map<std::string, TargetStatus> m_targets;
    std::vector<Platform::Vm> m_entries;
    std::uint32_t m_nextTargetId { 0 };
    FleetPointer m_fleet;
    std::string m_vmListProblem;
    bool m_hasVms { false };
    bool m_isIsolated { false };
    bool m_isStopped { false };
};

}
