#include "SocketPeers.h"

#include <LibHttp/HostProbes.h>
#include <boost/asio/io_context.hpp>

namespace {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

class HostProbes : public testing::Test {
protected:
    using Time = Http::HostProbes::Time;

    /// Asks again and again for this long, and returns the last answer.
    std::optional<Time> askFor(std::chrono::milliseconds time, Tcp::endpoint const& endpoint)
    {
        std::optional<Time> answeredAt;
        for (Time end = std::chrono::steady_clock::now() + time; std::chrono::steady_clock::now() < end;) {
            answeredAt = m_probes->ask(endpoint);
            m_context.restart();
            m_context.run_for(10ms);
        }
        return answeredAt;
    }

    std::size_t countAccepted()
    {
        m_acceptor.non_blocking(true);
        std::size_t count = 0;
        boost::system::error_code ec;
        for (Tcp::socket socket = m_acceptor.accept(ec); !ec; socket = m_acceptor.accept(ec))
            ++count;
        return count;
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor { m_context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
    std::shared_ptr<Http::HostProbes> m_probes { Http::HostProbes::create(m_context.get_executor(), std::nullopt, 100ms) };
};

}

TEST_F(HostProbes, AHostThatTakesOrRefusesConnectionsAnswers)
{
    Time before = std::chrono::steady_clock::now();
    EXPECT_GE(askFor(100ms, m_acceptor.local_endpoint()).value_or(Time()), before);
    Tcp::endpoint endpoint = m_acceptor.local_endpoint();
    m_acceptor.close();
    Time refusedFrom = std::chrono::steady_clock::now();
    EXPECT_GE(askFor(500ms, endpoint).value_or(Time()), refusedFrom);
}

// Guards against a connection for each of many requests that wait for one host.
TEST_F(HostProbes, ManyWhoAskAtOnceMakeOneConnection)
{
    for (int n = 0; n < 1'000; ++n)
        m_probes->ask(m_acceptor.local_endpoint());
    m_context.run_for(100ms);
    EXPECT_EQ(countAccepted(), 1U);
}

TEST_F(HostProbes, ASilentHostDoesNotAnswerUntilItIsHeardAgain)
{
    SocketPeers::goSilent(m_acceptor);
    EXPECT_FALSE(askFor(1s, m_acceptor.local_endpoint()));
    SocketPeers::hearAgain(m_acceptor);
    EXPECT_TRUE(askFor(4s, m_acceptor.local_endpoint())); // Twice the longest interval, and some.
}
