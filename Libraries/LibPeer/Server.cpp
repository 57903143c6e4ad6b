#include <LibPeer/CheckSettings.h>
#include <LibPeer/Server.h>
#include <LibPeer/ServerState.h>

namespace Peer {

Core::Result<std::shared_ptr<Server>> Server::create(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint const& endpoint, Settings const& settings, Handler handler)
{
    BOOST_OUTCOME_TRY(checkSettings(settings));
    std::shared_ptr<ServerState> state = std::make_shared<ServerState>(context, settings, std::move(handler));
    BOOST_OUTCOME_TRY(state->listen(endpoint));
    return std::shared_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<ServerState> state)
    : m_state(std::move(state))
{
}

Server::~Server()
{
    m_state->close();
}

boost::asio::ip::tcp::endpoint Server::localEndpoint() const
{
    return m_state->localEndpoint();
}

void Server::shutDown(std::function<void()> onDone)
{
    m_state->shutDown(std::move(onDone));
}

std::size_t Server::connections() const
{
    return m_state->connections();
}

std::size_t Server::openStreams() const
{
    return m_state->openStreams();
}

}
