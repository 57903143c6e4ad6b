#include <LibPeer/CheckSettings.h>
#include <LibPeer/Client.h>
#include <LibPeer/ClientState.h>

namespace Peer {

Core::Result<std::shared_ptr<Client>> Client::create(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint, Settings const& settings)
{
    BOOST_OUTCOME_TRY(checkSettings(settings));
    return std::shared_ptr<Client>(new Client(std::make_shared<ClientState>(context, std::move(endpoint), settings)));
}

Client::Client(std::shared_ptr<ClientState> state)
    : m_state(std::move(state))
{
}

Client::~Client()
{
    m_state->shutDown();
}

std::shared_ptr<ClientStream> Client::open(std::string path, std::string body, StreamHooks hooks)
{
    std::shared_ptr<ClientStream> stream = std::make_shared<ClientStream>(std::move(path), std::move(body), std::move(hooks));
    m_state->open(stream);
    return stream;
}

ClientCounters const& Client::counters() const
{
    return m_state->counters();
}

boost::asio::ip::tcp::endpoint const& Client::endpoint() const
{
    return m_state->endpoint();
}

Settings const& Client::settings() const
{
    return m_state->settings();
}

std::size_t Client::openStreams() const
{
    return m_state->openStreams();
}

}
