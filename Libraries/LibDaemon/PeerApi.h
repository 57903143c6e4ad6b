#pragma once

#include <LibDaemon/CallerShared.h>
#include <LibDaemon/PeerMessages.h>
#include <LibDaemon/TicketHome.h>
#include <LibDaemon/TrafficContext.h>
#include <LibPeer/Server.h>
#include <functional>
#include <memory>
#include <string>

namespace Daemon {

/// Answers a control message of a peer; the answer is called from any thread, once.
using ControlMessageHook = std::function<void(Peer::Request, std::function<void(int status, std::string body)>)>;

/// What this daemon does for its peers: it runs the requests of its tickets that reached them, and gives out kept
/// answers. Use from the traffic thread of the peer server only.
class PeerApi {
public:
    /// Preconditions: both outlive the object. What is no forwarded request goes to the hook.
    PeerApi(TrafficContext&, CallerShared&, ControlMessageHook);

    /// Takes one stream.
    void handle(Peer::Request, std::shared_ptr<Peer::ServerStream>);

private:
    boost::asio::awaitable<void> serveForwarded(Peer::Request, std::shared_ptr<Peer::ServerStream>);
    void serveControl(Peer::Request, std::shared_ptr<Peer::ServerStream>);
    Core::Result<Request::Ticket> begin(ForwardedRequest const&);

    TrafficContext& m_context;
    CallerShared& m_shared;
    TicketHome m_home;
    ControlMessageHook m_controlMessage;
};

}
