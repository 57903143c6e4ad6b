#pragma once

#include <LibPeer/Client.h>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace Daemon {

/// The clients of one thread to other daemons, one for each address that was used. Use from that thread only.
class PeerClients {
public:
    /// Precondition: the context outlives the object.
    PeerClients(boost::asio::io_context&, Peer::Settings const&);

    /// Returns the client for an address. Errors: as `Peer::Client::create`.
    Core::Result<std::shared_ptr<Peer::Client>> clientFor(boost::asio::ip::tcp::endpoint const&);

    /// Forgets the client for an address that no daemon listens on any more.
    void forget(boost::asio::ip::tcp::endpoint const&);

private:
    boost::asio::io_context& m_context;
    Peer::Settings m_settings;
    std::map<boost::asio::ip::tcp::endpoint, std::shared_ptr<Peer::Client>> m_clients;
};

}
