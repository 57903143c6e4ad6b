#pragma once

#include <LibPeer/Client.h>
#include <map>
#include <set>

namespace Peer {

/// The clients of one daemon, one for each remote address. Belongs to the thread that runs the
/// `io_context`; no method is thread-safe.
class Clients {
public:
    /// Fails with BadInput when a time or window is zero.
    static Core::Result<std::shared_ptr<Clients>> create(boost::asio::io_context&, Settings const&);

    /// Returns the client for that address and creates it when there is none.
    std::shared_ptr<Client> get(boost::asio::ip::tcp::endpoint const&);
    /// Forgets the clients of all other addresses that have no open stream.
    void retain(std::set<boost::asio::ip::tcp::endpoint> const&);
    std::size_t size() const { return m_clients.size(); }

    /// Returns the settings given to `create`.
    Settings const& settings() const { return m_settings; }

private:
    Clients(boost::asio::io_context&, Settings const&);

    boost::asio::io_context& m_context;
    Settings m_settings;
    std::map<boost::asio::ip::tcp::endpoint, std::shared_ptr<Client>> m_clients;
};

}
