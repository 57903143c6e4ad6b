#include <LibDaemon/PeerClients.h>

namespace Daemon {

PeerClients::PeerClients(boost::asio::io_context& context, Peer::Settings const& settings)
    : m_context(context)
    , m_settings(settings)
{
}

Core::Result<std::shared_ptr<Peer::Client>> PeerClients::clientFor(boost::asio::ip::tcp::endpoint const& endpoint)
{
    std::map<boost::asio::ip::tcp::endpoint, std::shared_ptr<Peer::Client>>::iterator it = m_clients.find(endpoint);
    if (it != m_clients.end())
        return it->second;
    BOOST_OUTCOME_TRY(std::shared_ptr<Peer::Client> client, Peer::Client::create(m_context, endpoint, m_settings));
    m_clients.emplace(endpoint, client);
    return client;
}

void PeerClients::forget(boost::asio::ip::tcp::endpoint const& endpoint)
{
    m_clients.erase(endpoint);
}

}
