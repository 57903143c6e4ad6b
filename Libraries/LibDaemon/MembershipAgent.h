#pragma once

#include <LibMembership/Protocol.h>
#include <LibPeer/Clients.h>
#include <LibPlatform/VmList.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Daemon {

/// Runs the membership protocol of this daemon over the streams between daemons. Use from the control thread only.
class MembershipAgent {
public:
    using ChangeHook = std::function<void(std::vector<Membership::Change> const&)>;

    /// Preconditions: context, clients and settings outlive the object. Errors: BadInput.
    static Core::Result<std::unique_ptr<MembershipAgent>> create(boost::asio::io_context&, Peer::Clients&, Settings::DaemonSettings const&, std::uint64_t incarnation, std::uint64_t seed, ChangeHook);

    /// Starts the protocol's timer. Precondition: called once.
    void start();

    void stop();

    /// Takes the VM list as just read.
    void takeVms(std::vector<Platform::Vm> const& entries);

    /// Takes a message of another daemon and returns the answer. Errors: Corrupt.
    Core::Result<std::string> handleMessage(std::string_view bytes);

    /// Sets the load that others are told of.
    void setLoad(Membership::Load const&);

    /// Tells the others that this daemon takes no new work.
    void startLeaving();

    /// Tells the others that this process ends.
    void leave();

    Membership::Protocol& protocol() { return m_protocol; }

    /// Returns what is known of a daemon by its name, or null.
    Membership::Member const* find(std::string const& name) const;

private:
    MembershipAgent(boost::asio::io_context&, Peer::Clients&, Membership::Protocol, ChangeHook);
    void advance();
    void arm();
    void deliver(Membership::Output);
    void reportChanges();
    boost::asio::awaitable<void> send(Membership::Outgoing);

    boost::asio::io_context& m_context;
    Peer::Clients& m_clients;
    Membership::Protocol m_protocol;
    ChangeHook m_onChange;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_reportedGeneration { 0 };
    bool m_isStopped { false };
};

inline constexpr char const* membershipPath = "/v1/membership";

}
