#pragma once

#include <LibDaemon/CallerShared.h>
#include <LibDaemon/PeerMessages.h>
#include <LibDaemon/TicketHome.h>
#include <LibDaemon/TrafficContext.h>
#include <LibPeer/Server.h>
#include <memory>

namespace Daemon {

/// What this daemon does for its peers: it runs the requests of its tickets that reached them, and gives out kept
/// answers. Use from the traffic thread of the peer server only.
class PeerApi {
public:
    /// Preconditions: both outlive the object.
    PeerApi(TrafficContext&, CallerShared&);

    /// Takes one stream.
    void handle(Peer::Request, std::shared_ptr<Peer::ServerStream>);

private:
    boost::asio::awaitable<void> serveForwarded(Peer::Request, std::shared_ptr<Peer::ServerStream>);
    Core::Result<Request::Ticket> begin(ForwardedRequest const&);

    TrafficContext& m_context;
    CallerShared& m_shared;
    TicketHome m_home;
};

}
