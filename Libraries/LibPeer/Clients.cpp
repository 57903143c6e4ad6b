#include <LibPeer/CheckSettings.h>
#include <LibPeer/Clients.h>

namespace Peer {

Core::Result<std::shared_ptr<Clients>> Clients::create(boost::asio::io_context& context, Settings const& settings)
{
    BOOST_OUTCOME_TRY(checkSettings(settings));
    return std::shared_ptr<Clients>(new Clients(context, settings));
}

Clients::Clients(boost::asio::io_context& context, Settings const& settings)
    : m_context(context)
    , m_settings(settings)
{
}

std::shared_ptr<Client> Clients::get(boost::asio::ip::tcp::endpoint const& endpoint)
{
    std::shared_ptr<Client>& client = m_clients[endpoint];
    if (!client)
        client = Client::create(m_context, endpoint, m_settings).value(); // The settings were checked by `create`.
    return client;
}

void Clients::retain(std::set<boost::asio::ip::tcp::endpoint> const& wanted)
{
    std::erase_if(m_clients, [&wanted](std::pair<boost::asio::ip::tcp::endpoint const, std::shared_ptr<Client>> const& entry) {
        return !wanted.contains(entry.first) && entry.second->openStreams() == 0;
    });
}

}
